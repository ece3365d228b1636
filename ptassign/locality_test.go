package ptassign_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const nearLabel = "rack-1"

// newRackFixture returns a fixture whose first agent is in rack 1; the other agents are in rack 2.
// A task takes three times as long away from its rack.
func newRackFixture(test *testing.T, agents int) *fixture {
	ptassert.PanicOnFailure()
	fixture := &fixture{Core: ptassign.New(1), expect: NewWithT(test)}
	fixture.SetRemoteFactor(3)
	for index := range agents {
		fixture.AgentConnected(agentName(index), 1, service, true, start)
		fixture.reportInRack(index, ptassign.AgentState{}, at(0))
	}
	return fixture
}

func (fixture *fixture) reportInRack(index int, state ptassign.AgentState, now ptid.Instant) []ptassign.Effect {
	state.Labels = []string{"worker", "rack-2"}
	if index == 0 {
		state.Labels[1] = nearLabel
	}
	state.Worker, state.Capacity = ptrun.WorkerID(fmt.Sprint("worker", index)), ptrun.Demand{CPU: 1000, Memory: 1000}
	return fixture.AgentReported(agentName(index), state, now)
}

func (fixture *fixture) submitNear(tasks int, estimate time.Duration, now ptid.Instant) (*ptassign.Job, *ptassign.Refusal, []ptassign.Effect) {
	fixture.jobs++
	job, refusal, effects, err := fixture.Submit(ptassign.Spec{
		Spec: ptgraph.Spec{
			ID: ptid.JobID(fmt.Sprintf("%016x", fixture.jobs)), MaxAttempts: 3,
			Steps: []ptgraph.Step{{Count: tasks, Demand: ptrun.Demand{CPU: 1000}, Estimate: estimate, PreferredLabel: nearLabel}},
		},
		Queue: queue, Deadline: now.Add(1500 * time.Millisecond),
	}, now)
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	return job, refusal, effects
}

func outcomes(effects []ptassign.Effect) (outcomes []ptassign.LocalityOutcome) {
	for _, effect := range effects {
		if event, is := effect.(ptassign.LocalityEvent); is {
			outcomes = append(outcomes, event.Outcome)
		}
	}
	return outcomes
}

// startNear starts a job of one task of 200 ms on the near worker.
func (fixture *fixture) startNear(now ptid.Instant) ptassign.SendOrder {
	_, _, effects := fixture.submitNear(1, 200*time.Millisecond, now)
	sent := orders(effects)
	fixture.expect.Expect(sent).To(HaveLen(1))
	fixture.expect.Expect(sent[0].Agent).To(Equal(agentName(0)))
	return sent[0]
}

// A task that would be late far away must wait for the near worker that soon has room, and take
// its place. A second task must not wait for the same place, and other jobs must not be blocked.
func TestTaskWaitsForNearWorker(test *testing.T) {
	fixture := newRackFixture(test, 3)
	first := fixture.startNear(at(0))
	_, _, effects := fixture.submitNear(1, 200*time.Millisecond, at(150))
	fixture.expect.Expect(orders(effects)).To(BeEmpty())
	fixture.expect.Expect(outcomes(effects)).To(Equal([]ptassign.LocalityOutcome{ptassign.WaitBegun}))
	_, _, effects = fixture.submitNear(1, 200*time.Millisecond, at(151))
	fixture.expect.Expect(orders(effects)).To(HaveLen(1), "the place is taken by the task that waits already")
	fixture.expect.Expect(outcomes(effects)).To(Equal([]ptassign.LocalityOutcome{ptassign.PlacedFar}))
	_, _, effects = fixture.submit(1, 200*time.Millisecond, at(152))
	fixture.expect.Expect(orders(effects)).To(HaveLen(1), "a job without a preference")
	effects = fixture.RunEnded(first.Agent, ptrun.End{Run: first.Run, Result: ptrun.Done, RunTime: 200 * time.Millisecond}, at(200))
	fixture.expect.Expect(orders(effects)).To(HaveLen(1))
	fixture.expect.Expect(orders(effects)[0].Agent).To(Equal(agentName(0)))
	fixture.expect.Expect(outcomes(effects)).To(Equal([]ptassign.LocalityOutcome{ptassign.WaitPaid}))
}

// A wait must end when the near worker is cut off, becomes unusable or is quarantined, or when the
// slack is used up although the near worker is still busy.
func TestWaitEndsWithItsReason(test *testing.T) {
	for name, end := range map[string]func(fixture *fixture) []ptassign.Effect{
		"disconnected": func(fixture *fixture) []ptassign.Effect {
			fixture.AgentDisconnected(agentName(0), at(160))
			return fixture.Tick(at(160))
		},
		"unusable": func(fixture *fixture) []ptassign.Effect {
			return fixture.reportInRack(0, ptassign.AgentState{Unusable: true}, at(160))
		},
		"quarantined": func(fixture *fixture) (effects []ptassign.Effect) {
			good := ptassign.AgentState{Assessment: ptfitness.Assessment{Slowdown: 1, MeasuredAt: at(160)}}
			bad := ptassign.AgentState{Assessment: ptfitness.Assessment{Slowdown: 8, MeasuredAt: at(160)}}
			for index := range 3 {
				if index > 0 {
					effects = append(effects, fixture.reportInRack(index, good, at(160))...)
				}
			}
			return append(effects, fixture.reportInRack(0, bad, at(160))...)
		},
		"slack used up": func(fixture *fixture) []ptassign.Effect { return fixture.Tick(at(400)) },
	} {
		test.Run(name, func(test *testing.T) {
			fixture := newRackFixture(test, 3)
			fixture.startNear(at(0))
			_, _, effects := fixture.submitNear(1, 200*time.Millisecond, at(150))
			fixture.expect.Expect(outcomes(effects)).To(Equal([]ptassign.LocalityOutcome{ptassign.WaitBegun}))
			effects = end(fixture)
			fixture.expect.Expect(outcomes(effects)).To(Equal([]ptassign.LocalityOutcome{ptassign.WaitFar, ptassign.PlacedFar}))
			fixture.expect.Expect(orders(effects)).To(HaveLen(1))
			fixture.expect.Expect(orders(effects)[0].Agent).NotTo(Equal(agentName(0)))
		})
	}
}

// If another entry takes the place that a task waits for, the wait must end earlier than if the
// near worker is only late.
func TestWaitEndsEarlierIfPlaceIsTaken(test *testing.T) {
	waitsUntil := func(held ptrun.Millicores) (millis int) {
		fixture := newRackFixture(test, 3)
		fixture.startNear(at(0))
		fixture.submitNear(1, 200*time.Millisecond, at(150))
		fixture.reportInRack(0, ptassign.AgentState{Held: ptrun.Demand{CPU: held}}, at(160))
		for millis = 165; millis < 1000; millis += 5 {
			if len(outcomes(fixture.Tick(at(millis)))) > 0 {
				break
			}
		}
		return millis
	}
	expect := NewWithT(test)
	late := waitsUntil(0)
	expect.Expect(late).To(BeNumerically("<=", 400))
	expect.Expect(waitsUntil(1000)).To(BeNumerically("<", late-50))
}

// A far run must not count as hanging after the time that a near run may take, and its run time
// must not make the expected run time of near runs longer.
func TestFarRunTimesAreConverted(test *testing.T) {
	fixture := newRackFixture(test, 2)
	fixture.AgentDisconnected(agentName(0), at(0))
	_, _, effects := fixture.submitNear(1, 100*time.Millisecond, at(0))
	sent := orders(effects)
	fixture.expect.Expect(sent).To(HaveLen(1))
	for now := 25; now < 800; now += 25 {
		for _, effect := range fixture.Tick(at(now)) {
			fixture.expect.Expect(effect).NotTo(BeAssignableToTypeOf(ptassign.SendStop{}))
		}
		if now == 300 {
			fixture.RunEnded(sent[0].Agent, ptrun.End{Run: sent[0].Run, Result: ptrun.Done, RunTime: 300 * time.Millisecond}, at(now))
		}
	}
	job, _, _ := fixture.submitNear(1, 0, at(1000))
	fixture.expect.Expect(job.Objective).To(BeNumerically("~", at(1000+160+60), time.Millisecond))
}

// If the rack of a job's data has no worker, the job must be admitted if it is useful far away, and
// refused if it could only end after its expiry.
func TestJobOfALostRackIsAdmittedIfUseful(test *testing.T) {
	fixture := newRackFixture(test, 3)
	fixture.reportInRack(0, ptassign.AgentState{Unusable: true}, at(0))
	_, refusal, effects := fixture.submitNear(1, 100*time.Millisecond, at(0))
	fixture.expect.Expect(refusal).To(BeNil())
	fixture.expect.Expect(orders(effects)).To(HaveLen(1))
	_, refusal, _ = fixture.submitNear(1, 700*time.Millisecond, at(1))
	fixture.expect.Expect(refusal).NotTo(BeNil(), "2,100 ms far away, and the caller waits for 1,500 ms")
}

// script runs a seeded mix of jobs with and without a preferred label on full and failing workers,
// and returns the text of all decisions.
func script(factor float64, seed uint64) (decisions string) {
	core, random := ptassign.New(seed), rand.New(rand.NewPCG(seed, 2))
	core.SetRemoteFactor(factor)
	const agents = 12
	for index := range agents {
		core.AgentConnected(agentName(index), 1, service, index%3 == 0, start)
		core.AgentReported(agentName(index), ptassign.AgentState{
			Worker: ptrun.WorkerID(fmt.Sprint("worker", index)), Capacity: ptrun.Demand{CPU: 8000, Memory: 8000}, Labels: []string{"worker", fmt.Sprint("rack-", index%4)},
		}, start)
	}
	type active struct {
		order ptassign.SendOrder
		endAt ptid.Instant
	}
	var running []active
	now := start
	handle := func(effects []ptassign.Effect) {
		for _, effect := range effects {
			if order, is := effect.(ptassign.SendOrder); is {
				decisions += fmt.Sprintln(now, order.Agent, order.Run, order.ExpectedRunTime, order.QueueKey)
				running = append(running, active{order: order, endAt: now.Add(time.Duration(50+random.IntN(400)) * time.Millisecond)})
			} else {
				decisions += fmt.Sprintf("%d %T\n", now, effect)
			}
		}
	}
	for step := range 1500 {
		now = now.Add(time.Millisecond)
		for index := 0; index < len(running); index++ {
			if run := running[index]; run.endAt <= now {
				running = append(running[:index], running[index+1:]...)
				index--
				result := []ptrun.Result{ptrun.Done, ptrun.Done, ptrun.Done, ptrun.Done, ptrun.Failed, ptrun.NeverStarted}[random.IntN(6)]
				handle(core.RunEnded(run.order.Agent, ptrun.End{Run: run.order.Run, Result: result, RunTime: now.Sub(run.endAt) + 200*time.Millisecond}, now))
			}
		}
		if step%25 == 0 {
			handle(core.Tick(now))
		}
		if random.IntN(4) > 0 {
			continue
		}
		label := ""
		if random.IntN(2) == 0 {
			label = nearLabel
		}
		_, refusal, effects, err := core.Submit(ptassign.Spec{
			Spec: ptgraph.Spec{ID: ptid.JobID(fmt.Sprintf("%016x", step)), MaxAttempts: 3, Steps: []ptgraph.Step{{
				Count: 1 + random.IntN(5), Demand: ptrun.Demand{CPU: ptrun.Millicores(1000 + random.IntN(2000)), Memory: 64},
				Estimate: time.Duration(100+random.IntN(300)) * time.Millisecond, PreferredLabel: label,
			}}},
			Queue: queue, Deadline: now.Add(1500 * time.Millisecond),
		}, now)
		if err != nil {
			panic(err)
		}
		decisions += fmt.Sprintln(now, refusal != nil)
		handle(effects)
	}
	return decisions
}

// With a factor that is zero or at most the stretch of the queue (1.6), all decisions must be as
// without a factor. A factor above it must have an effect in the same script.
func TestDecisionsAreUnchangedUpToTheStretch(test *testing.T) {
	expect := NewWithT(test)
	for seed := range uint64(5) {
		without := script(0, seed)
		expect.Expect(script(1.5, seed) == without).To(BeTrue(), "1.5, seed %d", seed)
		expect.Expect(script(1.6, seed) == without).To(BeTrue(), "1.6, seed %d", seed)
		expect.Expect(script(2, seed) == without).To(BeFalse(), "2, seed %d", seed)
	}
}

// BenchmarkPlacingNear submits and cancels jobs of eight tasks that prefer a full rack of seven
// workers beside free ones: without a remote factor, and with one of 2.
func BenchmarkPlacingNear(bench *testing.B) {
	for _, agents := range []int{61, 160} {
		for _, factor := range []float64{0, 2} {
			bench.Run(fmt.Sprintf("%d agents, factor %g", agents, factor), func(bench *testing.B) {
				core := ptassign.New(1)
				core.SetRemoteFactor(factor)
				for index := range agents {
					state := ptassign.AgentState{
						Worker: ptrun.WorkerID(fmt.Sprint("worker", index)), Capacity: ptrun.Demand{CPU: 64_000, Memory: 128_000}, Labels: []string{"worker", fmt.Sprint("rack-", index/7)},
					}
					if state.Labels[1] == nearLabel {
						state.Held = state.Capacity
					}
					core.AgentConnected(agentName(index), 1, service, index%5 == 0, start)
					core.AgentReported(agentName(index), state, start)
				}
				now := start
				for job := 0; bench.Loop(); job++ {
					now = now.Add(time.Millisecond)
					id := ptid.JobID(fmt.Sprintf("%016x", job))
					_, refusal, effects, err := core.Submit(ptassign.Spec{
						Spec: ptgraph.Spec{ID: id, MaxAttempts: 3, Steps: []ptgraph.Step{
							{Count: 8, Demand: ptrun.Demand{CPU: 2900, Memory: 64}, Estimate: 60 * time.Millisecond, PreferredLabel: nearLabel},
						}},
						Queue: queue, Deadline: now.Add(time.Second),
					}, now)
					if err != nil || refusal != nil {
						bench.Fatal(err, refusal)
					}
					for _, order := range orders(effects) {
						core.RunEnded(order.Agent, ptrun.End{Run: order.Run, Result: ptrun.Done, RunTime: 60 * time.Millisecond}, now)
					}
					core.Cancel(ptassign.Key{ID: id}, now)
				}
			})
		}
	}
}
