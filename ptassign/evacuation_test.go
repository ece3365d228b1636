package ptassign_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptevacuation"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// zonedFixture returns a fixture whose agents are in the zones "a" and "b" in turn, and whose workers have
// the label of their zone.
func zonedFixture(test *testing.T, agents int) *fixture {
	fixture := newFixture(test, 0)
	fixture.SetOwnershipExpiry(ptid.Never)
	for index := range agents {
		fixture.connect(index, at(0))
	}
	return fixture
}

func zoneOf(index int) ptid.Zone { return []ptid.Zone{"a", "b"}[index%2] }

func (fixture *fixture) connect(index int, now ptid.Instant) []ptassign.Effect {
	fixture.AgentLocated(agentName(index), zoneOf(index), now)
	fixture.AgentConnected(agentName(index), 1, service, true, now)
	return fixture.report(index, ptassign.AgentState{Labels: []string{string(zoneOf(index))}})
}

// step is a step of tasks that fill a worker.
func step(count int, label string) ptgraph.Step {
	return ptgraph.Step{Count: count, Demand: ptrun.Demand{CPU: 1000}, Estimate: 100 * time.Millisecond, Label: label}
}

func (fixture *fixture) submitSteps(now ptid.Instant, steps ...ptgraph.Step) (*ptassign.Job, *ptassign.Refusal, []ptassign.Effect) {
	fixture.jobs++
	job, refusal, effects, err := fixture.Submit(ptassign.Spec{
		Spec:  ptgraph.Spec{ID: ptid.JobID(fmt.Sprintf("%016x", fixture.jobs)), MaxAttempts: 3, Steps: steps},
		Queue: queue, Deadline: now.Add(1500 * time.Millisecond),
	}, now)
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	return job, refusal, effects
}

func (fixture *fixture) submitDurableSteps(now ptid.Instant, steps ...ptgraph.Step) []ptassign.Effect {
	fixture.jobs++
	_, effects, err := fixture.SubmitDurable(ptassign.Spec{
		Spec: ptgraph.Spec{ID: ptid.JobID(fmt.Sprintf("%016x", fixture.jobs)), MaxAttempts: 3, Steps: steps}, Queue: queue,
	}, nil, false, now)
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	return effects
}

func agentsOf(sent []ptassign.SendOrder) (agents []ptid.AgentName) {
	for _, order := range sent {
		agents = append(agents, order.Agent)
	}
	return agents
}

func evacuated(revision ptevacuation.Revision, zones ...ptid.Zone) ptevacuation.State {
	return ptevacuation.New(revision, zones...)
}

// Guards against orders to an evacuated zone, and against runs there that are given up.
func TestEvacuatedWorkersGetNoOrders(test *testing.T) {
	fixture := zonedFixture(test, 4)
	expect := fixture.expect
	_, _, effects := fixture.submit(4, 100*time.Millisecond, at(0))
	expect.Expect(orders(effects)).To(HaveLen(4))
	expect.Expect(fixture.SetEvacuation(evacuated(1, "a"), at(1))).To(BeEmpty(), "runs that have started go on")
	for _, sent := range orders(effects) {
		fixture.RunEnded(sent.Agent, ptrun.End{Run: sent.Run, Result: ptrun.Done, RunTime: 100 * time.Millisecond}, at(100))
	}
	_, refusal, effects := fixture.submit(4, 100*time.Millisecond, at(101))
	expect.Expect(refusal).To(BeNil())
	expect.Expect(agentsOf(orders(effects))).To(ConsistOf(agentName(1), agentName(3)))
	expect.Expect(fixture.HasWorker()).To(BeTrue())
}

// Guards against a forecast that counts on the capacity of an evacuated zone.
func TestForecastLeavesEvacuatedWorkersOutAtOnce(test *testing.T) {
	fixture := zonedFixture(test, 8)
	admitted := func(now ptid.Instant) (count int) {
		for range 100 {
			if _, refusal, _ := fixture.submit(1, 100*time.Millisecond, now); refusal == nil {
				count++
			}
		}
		return count
	}
	before := admitted(at(0))
	fixture = zonedFixture(test, 8)
	fixture.SetEvacuation(evacuated(1, "b"), at(0))
	fixture.expect.Expect(admitted(at(0))).To(BeNumerically("~", before/2, 1))
}

// Guards against callers who wait until their deadline for workers that get no work.
func TestWaitingBestEffortJobsThatNeedTheZoneAreRefused(test *testing.T) {
	fixture := zonedFixture(test, 2)
	expect := fixture.expect
	running, _, effects := fixture.submitSteps(at(0), step(1, "a"))
	order := orders(effects)[0]
	needing, refusal, _ := fixture.submitSteps(at(0), step(1, "a"))
	expect.Expect(refusal).To(BeNil())
	fixture.submitSteps(at(0), step(1, "b"))
	other, refusal, _ := fixture.submitSteps(at(0), step(1, ""))
	expect.Expect(refusal).To(BeNil())
	ends := ended(fixture.SetEvacuation(evacuated(3, "a"), at(1)))
	expect.Expect(ends).To(HaveLen(1))
	expect.Expect(ends[0].Job).To(BeIdenticalTo(needing))
	expect.Expect(ends[0].Refusal.Reason).To(Equal(ptassign.Evacuated))
	expect.Expect(ends[0].Refusal.RetryAfter).To(BeNumerically(">", 0))
	expect.Expect(other.State().Ended()).To(BeFalse())
	// The agent returns the run that waited there: now it is certain that nothing of the job has started.
	expect.Expect(running.State().Ended()).To(BeFalse())
	fixture.RunEnded(order.Agent, ptrun.End{Run: order.Run, Result: ptrun.NeverStarted, Reason: ptrun.ReasonEvacuated}, at(2))
	ends = ended(fixture.Tick(at(25)))
	expect.Expect(ends).To(HaveLen(1))
	expect.Expect(ends[0].Job).To(BeIdenticalTo(running))
	expect.Expect(ends[0].Refusal.Reason).To(Equal(ptassign.Evacuated))
	_, refusal, _ = fixture.submitSteps(at(30), step(1, "a"))
	expect.Expect(refusal.Reason).To(Equal(ptassign.Evacuated))
	_, refusal, _ = fixture.submitSteps(at(30), step(1, "nowhere"))
	expect.Expect(refusal.Reason).To(Equal(ptassign.NoFittingWorker))
}

// Guards against a refusal that is not true: a run of the job has started.
func TestStartedJobsAreNotRefusedForAnEvacuation(test *testing.T) {
	fixture := zonedFixture(test, 2)
	_, _, effects := fixture.submitSteps(at(0), step(2, "a"))
	sent := orders(effects)
	fixture.expect.Expect(sent).To(HaveLen(1))
	fixture.SetEvacuation(evacuated(1, "a"), at(1))
	fixture.RunEnded(sent[0].Agent, ptrun.End{Run: sent[0].Run, Result: ptrun.Done, RunTime: 50 * time.Millisecond}, at(50))
	fixture.expect.Expect(ended(fixture.Tick(at(75)))).To(BeEmpty())
	for _, end := range ended(fixture.Tick(at(2000))) {
		fixture.expect.Expect(end.Refusal).To(BeNil())
	}
}

// Guards against the reason `noWorker`, which says that a failure has taken the workers.
func TestAllZonesEvacuated(test *testing.T) {
	fixture := zonedFixture(test, 4)
	expect := fixture.expect
	waiting, _, _ := fixture.submit(6, 100*time.Millisecond, at(0))
	effects := fixture.submitDurableSteps(at(0), step(1, ""))
	expect.Expect(orders(effects)).To(BeEmpty())
	fixture.SetEvacuation(evacuated(1, "a", "b"), at(1))
	_, refusal, _ := fixture.submit(1, 100*time.Millisecond, at(2))
	expect.Expect(refusal.Reason).To(Equal(ptassign.Evacuated))
	_, refusal, _ = fixture.submitSteps(at(2), ptgraph.Step{Count: 1, Demand: ptrun.Demand{CPU: 9000}})
	expect.Expect(refusal.Reason).To(Equal(ptassign.Evacuated))
	for _, run := range waiting.PlacedRuns() {
		for index := range 4 {
			fixture.RunEnded(agentName(index), ptrun.End{Run: run, Result: ptrun.NeverStarted, Reason: ptrun.ReasonEvacuated}, at(3))
		}
	}
	ends := ended(fixture.Tick(at(25)))
	expect.Expect(ends).To(HaveLen(1))
	expect.Expect(ends[0].Refusal.Reason).To(Equal(ptassign.Evacuated))
	expect.Expect(fixture.OpenJobs()).To(Equal(1), "the durable job waits")
	expect.Expect(fixture.HasWorker()).To(BeTrue(), "the entry stays ready, so that callers are told the reason")
	expect.Expect(orders(fixture.SetEvacuation(evacuated(2, "a"), at(100)))).To(BeEmpty(), "no worker of the first step")
	expect.Expect(fixture.placedUntil(100, 1600)).NotTo(BeEmpty())
}

// placedUntil returns the orders that ticks send between two instants.
func (fixture *fixture) placedUntil(from, to int) (sent []ptassign.SendOrder) {
	for millis := from; millis <= to; millis += 25 {
		sent = append(sent, orders(fixture.Tick(at(millis)))...)
	}
	return sent
}

// Guards against a core that only notices the latest of several evacuations.
func TestSeveralZonesAreTakenBackOneByOne(test *testing.T) {
	fixture := zonedFixture(test, 2)
	expect := fixture.expect
	fixture.SetEvacuation(evacuated(1, "b"), at(0))
	fixture.SetEvacuation(evacuated(2, "a", "b"), at(1))
	fixture.SetEvacuation(evacuated(3, "b"), at(10))
	fixture.placedUntil(25, 2000)
	_, refusal, effects := fixture.submit(1, 100*time.Millisecond, at(2000))
	expect.Expect(refusal).To(BeNil())
	expect.Expect(agentsOf(orders(effects))).To(ConsistOf(agentName(0)))
	_, refusal, _ = fixture.submitSteps(at(2000), step(1, "b"))
	expect.Expect(refusal.Reason).To(Equal(ptassign.Evacuated))
}

// Guards against a return of all workers at once.
func TestWorkersReturnInSteps(test *testing.T) {
	const workers = 64
	fixture := zonedFixture(test, workers)
	expect := fixture.expect
	fixture.SetEvacuation(evacuated(1, "a"), at(0))
	fixture.submitDurableSteps(at(0), step(workers, ""))
	returned := make(map[int]int)
	record := func(effects []ptassign.Effect, millis int) {
		for range orders(effects) {
			returned[millis/500*500]++
		}
	}
	record(fixture.SetEvacuation(evacuated(2), at(1000)), 1000)
	for millis := 1025; millis <= 4000; millis += 25 {
		record(fixture.Tick(at(millis)), millis)
	}
	total := 0
	for _, step := range []int{1000, 1500, 2000, 2500} {
		expect.Expect(returned[step]).To(BeNumerically("~", workers/8, workers/16), "%v", returned)
		total += returned[step]
	}
	expect.Expect(total).To(Equal(workers/2), "%v", returned)
}

// Guards against durable jobs that wait for an evacuated zone and keep all others from being placed, and
// against a forecast and requests for capacity that count them.
func TestDurableJobsThatNeedTheZoneWaitWithoutBlocking(test *testing.T) {
	fixture := zonedFixture(test, 6)
	expect := fixture.expect
	fixture.SetEvacuation(evacuated(1, "a"), at(0))
	gang := ptgraph.Step{Count: 4, Demand: ptrun.Demand{CPU: 1000}, Estimate: 100 * time.Millisecond, Gang: true}
	for range 100 {
		expect.Expect(orders(fixture.submitDurableSteps(at(0), step(1, "a")))).To(BeEmpty())
		expect.Expect(orders(fixture.submitDurableSteps(at(0), gang))).To(BeEmpty())
	}
	fixture.Tick(at(25))
	expect.Expect(fixture.CapacityRequests(at(25))).To(BeEmpty())
	_, refusal, effects := fixture.submit(3, 100*time.Millisecond, at(30))
	expect.Expect(refusal).To(BeNil())
	sent := orders(effects)
	expect.Expect(sent).To(HaveLen(3), "the three workers that are not evacuated")
	_, refusal, _ = fixture.submit(1, 100*time.Millisecond, at(30))
	expect.Expect(refusal).To(BeNil(), "nothing is ahead of the job")
	sent = orders(fixture.SetEvacuation(evacuated(2), at(40)))
	expect.Expect(agentsOf(append(sent, fixture.placedUntil(50, 2000)...))).To(ConsistOf(agentName(0), agentName(2), agentName(4)))
	// The machines of the zone are stopped during the next evacuation.
	fixture = zonedFixture(test, 2)
	fixture.SetEvacuation(evacuated(1, "a"), at(0))
	fixture.AgentDisconnected(agentName(0), at(0))
	for range 100 {
		fixture.submitDurableSteps(at(5000), step(1, "a"))
	}
	fixture.Tick(at(5025))
	expect.Expect(orders(fixture.submitDurableSteps(at(5030), step(1, "b")))).To(HaveLen(1))
}

// Guards against a durable job that stays on hold after the end of an evacuation.
func TestDurableJobIsPlacedAfterTheZoneHasReturned(test *testing.T) {
	fixture := zonedFixture(test, 2)
	fixture.SetEvacuation(evacuated(1, "a"), at(0))
	fixture.submitDurableSteps(at(0), step(1, "a"))
	fixture.expect.Expect(fixture.placedUntil(25, 500)).To(BeEmpty())
	sent := orders(fixture.SetEvacuation(evacuated(2), at(500)))
	fixture.expect.Expect(agentsOf(append(sent, fixture.placedUntil(525, 2100)...))).To(ConsistOf(agentName(0)))
}

// Guards against starts in an evacuated zone by an entry that has restarted and does not know of it.
func TestNothingIsPlacedBeforeARequiredState(test *testing.T) {
	fixture := newFixture(test, 0)
	expect := fixture.expect
	fixture.SetOwnershipExpiry(ptid.Never)
	fixture.RequireEvacuation()
	for index := range 2 {
		fixture.connect(index, at(0))
	}
	expect.Expect(orders(fixture.submitDurableSteps(at(0), step(2, "")))).To(BeEmpty())
	expect.Expect(orders(fixture.Tick(at(25)))).To(BeEmpty())
	expect.Expect(agentsOf(orders(fixture.SetEvacuation(evacuated(7, "a"), at(30))))).To(ConsistOf(agentName(1)))
	// The store has no records: that is known as well.
	empty := newFixture(test, 0)
	empty.SetOwnershipExpiry(ptid.Never)
	empty.RequireEvacuation()
	empty.connect(0, at(0))
	empty.submitDurableSteps(at(0), step(1, ""))
	empty.expect.Expect(orders(empty.SetEvacuation(ptevacuation.State{}, at(10)))).To(HaveLen(1))
}

// Guards against an evacuated worker that is used because its agent has just reconnected, or is expected to.
func TestEvacuatedAgentThatReconnectsGetsNoOrders(test *testing.T) {
	fixture := zonedFixture(test, 2)
	expect := fixture.expect
	fixture.SetEvacuation(evacuated(1, "a"), at(0))
	fixture.AgentDisconnected(agentName(0), at(10))
	fixture.AgentDisconnected(agentName(1), at(10))
	_, refusal, _ := fixture.submitSteps(at(20), step(1, "a"))
	expect.Expect(refusal.Reason).To(Equal(ptassign.Evacuated))
	_, refusal, _ = fixture.submit(1, 100*time.Millisecond, at(20))
	expect.Expect(refusal).To(BeNil(), "the other agent may reconnect")
	expect.Expect(orders(fixture.connect(0, at(30)))).To(BeEmpty())
	expect.Expect(agentsOf(orders(fixture.connect(1, at(40))))).To(ConsistOf(agentName(1)))
}

// Guards against an evacuation of agents whose zone is unknown, and against a state without effect.
func TestUnknownZoneHasNoEffect(test *testing.T) {
	fixture := zonedFixture(test, 2)
	fixture.SetEvacuation(evacuated(1, "elsewhere"), at(0))
	fixture.AgentConnected(agentName(2), 1, service, true, at(0))
	fixture.report(2, ptassign.AgentState{})
	fixture.expect.Expect(fixture.HasAgentIn("elsewhere")).To(BeFalse())
	fixture.expect.Expect(fixture.HasAgentIn("b")).To(BeTrue())
	_, _, effects := fixture.submit(3, 100*time.Millisecond, at(1))
	fixture.expect.Expect(orders(effects)).To(HaveLen(3))
}

// Guards against decisions that differ where no zone was ever evacuated. The run ends and the jobs are drawn
// from the order in which they arrive, so that any difference spreads.
func TestDecisionsWithoutEvacuationsAreTheSame(test *testing.T) {
	play := func(prepare func(fixture *fixture)) (trace []string) {
		fixture := zonedFixture(test, 6)
		prepare(fixture)
		note := func(effects []ptassign.Effect) {
			for _, effect := range effects {
				if _, is := effect.(ptassign.JobEnded); !is {
					trace = append(trace, fmt.Sprintf("%T", effect))
				}
			}
			for _, order := range orders(effects) {
				trace = append(trace, fmt.Sprint(order.Agent, order.Run, order.StartBy))
			}
		}
		var active []ptassign.SendOrder
		for millis := 0; millis < 3000; millis += 5 {
			_, refusal, effects := fixture.submit(1+millis%3, time.Duration(20+millis%130)*time.Millisecond, at(millis))
			if refusal != nil {
				trace = append(trace, fmt.Sprint(*refusal))
			}
			active = append(active, orders(effects)...)
			note(effects)
			if len(active) > 4 {
				effects = fixture.RunEnded(active[0].Agent, ptrun.End{Run: active[0].Run, Result: ptrun.Done, RunTime: 60 * time.Millisecond}, at(millis))
				active = append(active[1:], orders(effects)...)
				note(effects)
			}
			effects = fixture.Tick(at(millis))
			active = append(active, orders(effects)...)
			note(effects)
		}
		return trace
	}
	without := play(func(*fixture) {})
	NewWithT(test).Expect(len(without)).To(BeNumerically(">", 1000))
	NewWithT(test).Expect(play(func(fixture *fixture) {
		fixture.RequireEvacuation()
		fixture.SetEvacuation(evacuated(4), at(0))
	})).To(Equal(without))
}

// Guards against a forecast that counts on the capacity that runs in an evacuated zone will release.
func TestRunsInAnEvacuatedZoneReleaseNoCapacity(test *testing.T) {
	admitted := func(fixture *fixture, now ptid.Instant) (count int) {
		for range 100 {
			if _, refusal, _ := fixture.submit(1, 100*time.Millisecond, now); refusal == nil {
				count++
			}
		}
		return count
	}
	without := newFixture(test, 0)
	for _, index := range []int{1, 3, 5, 7} {
		without.connect(index, at(0))
	}
	without.submit(4, 100*time.Millisecond, at(0))
	with := zonedFixture(test, 8)
	_, _, effects := with.submit(8, 100*time.Millisecond, at(0))
	with.expect.Expect(orders(effects)).To(HaveLen(8))
	with.SetEvacuation(evacuated(1, "a"), at(1))
	with.expect.Expect(admitted(with, at(2))).To(Equal(admitted(without, at(2))))
}

// Guards against the reasons `unfitting` and `noWorker` for an entry that has just lost the sessions with the
// evacuated zones, and against jobs that wait for an agent that can't serve them.
func TestLostSessionsWithEvacuatedZones(test *testing.T) {
	fixture := zonedFixture(test, 2)
	expect := fixture.expect
	fixture.SetEvacuation(evacuated(1, "a", "b"), at(0))
	fixture.AgentDisconnected(agentName(0), at(10))
	fixture.AgentDisconnected(agentName(1), at(10))
	_, refusal, _ := fixture.submitSteps(at(20), ptgraph.Step{Count: 1, Demand: ptrun.Demand{CPU: 9000}})
	expect.Expect(refusal.Reason).To(Equal(ptassign.Evacuated))

	fixture = zonedFixture(test, 2)
	fixture.AgentDisconnected(agentName(0), at(0))
	fixture.submit(1, 100*time.Millisecond, at(0))
	_, refusal, _ = fixture.submit(1, 100*time.Millisecond, at(0))
	fixture.expect.Expect(refusal).To(BeNil())
	fixture.SetEvacuation(evacuated(1, "c"), at(1))
	fixture.AgentDisconnected(agentName(1), at(2))
	// The only agent with a session is in an evacuated zone, and has not reported its worker.
	fixture.AgentLocated("other", "c", at(3))
	fixture.AgentConnected("other", 1, service, true, at(3))
	ends := ended(fixture.Tick(at(1100)))
	fixture.expect.Expect(ends).NotTo(BeEmpty())
	fixture.expect.Expect(ends[0].Refusal.Reason).To(Equal(ptassign.NoWorker))
}

// Guards against jobs of which a part needs the zone, and which keep all others from being placed.
func TestDurableJobsOfWhichAPartNeedsTheZoneDoNotBlock(test *testing.T) {
	fixture := zonedFixture(test, 2)
	fixture.SetEvacuation(evacuated(1, "a"), at(0))
	for range 100 {
		fixture.submitDurableSteps(at(0), step(1, "a"), step(1, "b"))
	}
	fixture.Tick(at(25))
	fixture.expect.Expect(orders(fixture.submitDurableSteps(at(30), step(1, "b")))).To(HaveLen(1))
}

// Guards against a gang that is admitted although its limit per worker needs workers of the zone.
func TestGangWithALimitPerWorkerNeedsTheZone(test *testing.T) {
	fixture := zonedFixture(test, 2)
	expect := fixture.expect
	gang := ptgraph.Step{Count: 2, Demand: ptrun.Demand{CPU: 100}, Estimate: 100 * time.Millisecond, Gang: true}
	limited := gang
	limited.MaxPerWorker = 1
	fixture.SetEvacuation(evacuated(1, "a"), at(0))
	_, refusal, effects := fixture.submitSteps(at(1), gang)
	expect.Expect(refusal).To(BeNil())
	expect.Expect(orders(effects)).To(HaveLen(2))
	_, refusal, _ = fixture.submitSteps(at(1), limited)
	expect.Expect(refusal.Reason).To(Equal(ptassign.Evacuated))
}

// Guards against isolated runs on more than half of the workers that are left.
func TestIsolatedRunsUseHalfOfTheWorkersThatAreNotEvacuated(test *testing.T) {
	fixture := zonedFixture(test, 8)
	var first []ptassign.SendOrder
	fixture.SetEvacuation(evacuated(1, "a"), at(0))
	for _, id := range []ptid.JobID{"00000000000000a1", "00000000000000a2", "00000000000000a3", "00000000000000a4"} {
		first = append(first, orders(fixture.submitDurable(id, 1))...)
	}
	fixture.expect.Expect(first).To(HaveLen(4))
	fixture.expect.Expect(fixture.lose(first, 1000)).To(HaveLen(2))
}
