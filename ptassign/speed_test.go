package ptassign_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptspeed"
)

// newSpeedFixture returns a core with a worker of each speed. The reported speeds have the given unit.
func newSpeedFixture(test *testing.T, enabled bool, unit float64, speeds ...float64) *fixture {
	fixture := &fixture{Core: ptassign.New(1), expect: NewWithT(test)}
	fixture.PlaceBySpeed(enabled)
	for index, speed := range speeds {
		fixture.AgentConnected(agentName(index), 1, service, true, start)
		fixture.AgentReported(agentName(index), ptassign.AgentState{
			Worker: ptrun.WorkerID(fmt.Sprint("worker", index)), Capacity: ptrun.Demand{CPU: 32_000, Memory: 128_000}, Speed: ptspeed.Report{Speed: speed * unit, Weight: 100},
		}, start)
	}
	fixture.Tick(start)
	return fixture
}

var lowSpeeds = []float64{0.55, 1.2, 1.2, 1.2}

func speedSpec(job, count int, runTime time.Duration, now ptid.Instant) ptassign.Spec {
	return ptassign.Spec{
		Spec: ptgraph.Spec{ID: ptid.JobID(fmt.Sprintf("%016x", job+1)), MaxAttempts: 3, Steps: []ptgraph.Step{
			{Count: count, Demand: ptrun.Demand{CPU: 2700, Memory: 64}, Estimate: runTime},
		}},
		Queue:    ptqueue.Queue{Name: "speeds", Service: service, MaxAttempts: 3, Stretch: 1.6, TargetLatency: 60 * time.Millisecond},
		Deadline: now.Add(1500 * time.Millisecond),
	}
}

// placeOn submits a job and returns the numbers of its tasks by the index of the worker.
func (fixture *fixture) placeOn(job, count int, runTime time.Duration, now ptid.Instant) (tasks map[ptid.AgentName]int, sent []ptassign.SendOrder) {
	_, refusal, effects, err := fixture.Submit(speedSpec(job, count, runTime, now), now)
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	fixture.expect.Expect(refusal).To(BeNil())
	tasks, sent = make(map[ptid.AgentName]int), orders(effects)
	for _, order := range sent {
		tasks[order.Agent]++
	}
	return tasks, sent
}

// A confirm of 760 ms takes 1.38 s at a speed of 0.55, and its objective is 1.28 s. It must go to a fast
// worker if one has room, and to the slow one if none has. A check of 51 ms meets its objective anywhere
// and must leave the fast workers free.
func TestTasksThatNeedAFastWorkerGetOne(test *testing.T) {
	for _, unit := range []float64{0.5, 1, 2} {
		fixture := newSpeedFixture(test, true, unit, lowSpeeds...)
		tasks, _ := fixture.placeOn(0, 4, 51*time.Millisecond, start)
		fixture.expect.Expect(tasks[agentName(0)]).To(BeZero(), "checks beside idle workers, unit %g", unit)
		fixture = newSpeedFixture(test, true, unit, lowSpeeds...)
		for index, speed := range lowSpeeds {
			fixture.AgentReported(agentName(index), ptassign.AgentState{
				Worker: ptrun.WorkerID(fmt.Sprint("worker", index)), Capacity: ptrun.Demand{CPU: 32_000, Memory: 128_000}, Speed: ptspeed.Report{Speed: speed * unit, Weight: 100},
				Held: ptrun.Demand{CPU: 28_500},
			}, start)
		}
		fixture.Tick(start)
		tasks, _ = fixture.placeOn(2, 1, 51*time.Millisecond, start)
		fixture.expect.Expect(tasks[agentName(0)]).To(Equal(1), "checks beside busy workers, unit %g", unit)

		fixture = newSpeedFixture(test, true, unit, lowSpeeds...)
		tasks, _ = fixture.placeOn(0, 32, 760*time.Millisecond, start)
		fixture.expect.Expect(tasks[agentName(0)]).To(BeZero(), "confirms, unit %g", unit)
		tasks, _ = fixture.placeOn(1, 5, 760*time.Millisecond, start)
		fixture.expect.Expect(tasks[agentName(0)]).To(Equal(4), "the fast workers have room for 33 tasks, unit %g", unit)
	}
}

// Where no worker lets a task meet its objective, the fastest that has room is used.
func TestLateTasksGetTheFastestWorker(test *testing.T) {
	fixture := newSpeedFixture(test, true, 1, 0.55, 0.8, 0.7, 0.6, 4, 3)
	for agent := range 2 {
		fixture.AgentReported(agentName(4+agent), ptassign.AgentState{
			Worker: ptrun.WorkerID(fmt.Sprint("worker", 4+agent)), Capacity: ptrun.Demand{CPU: 32_000, Memory: 128_000}, Speed: ptspeed.Report{Speed: 3, Weight: 100}, Held: ptrun.Demand{CPU: 32_000},
		}, start)
	}
	fixture.Tick(start)
	tasks, _ := fixture.placeOn(0, 4, 900*time.Millisecond, start)
	fixture.expect.Expect(tasks).To(Equal(map[ptid.AgentName]int{agentName(1): 4}))
}

// Without the option, the speeds that agents report must not change any decision.
func TestSpeedsChangeNothingWithoutTheOption(test *testing.T) {
	var histories []string
	for _, speeds := range [][]float64{{1, 1, 1, 1}, lowSpeeds} {
		fixture := newSpeedFixture(test, false, 1, speeds...)
		history := ""
		for job := range 200 {
			now := at(job * 5)
			tasks, sent := fixture.placeOn(job, 2, 170*time.Millisecond, now)
			history += fmt.Sprint(tasks)
			for _, order := range sent {
				fixture.expect.Expect(order.Queue).To(BeEmpty())
				history += fmt.Sprint(order.ExpectedRunTime)
				fixture.RunEnded(order.Agent, ptrun.End{Run: order.Run, Result: ptrun.Done, RunTime: time.Duration(100+job) * time.Millisecond}, now)
			}
			fixture.Tick(now)
		}
		histories = append(histories, history)
	}
	NewWithT(test).Expect(histories[0]).To(Equal(histories[1]))
}

// Two confirms of 760 ms at a speed of 0.55 take 1.4 s. They must be neither stopped nor count against
// their worker: a run hangs after three times its expected run time there, which is 4.2 s.
func TestLongRunsOnSlowWorkersDoNotHang(test *testing.T) {
	for _, check := range []struct {
		speed float64
		stops int
	}{{0.55, 0}, {1.2, 2}} {
		fixture := newSpeedFixture(test, true, 1, check.speed, check.speed*0.99)
		// The second worker makes the first one slow or fast in comparison.
		other := 1 / check.speed
		fixture.AgentReported(agentName(1), ptassign.AgentState{
			Worker: "worker1", Capacity: ptrun.Demand{CPU: 32_000, Memory: 128_000}, Speed: ptspeed.Report{Speed: other, Weight: 100}, Held: ptrun.Demand{CPU: 32_000},
		}, start)
		fixture.Tick(start)
		spec := speedSpec(0, 2, 200*time.Millisecond, start)
		spec.Deadline = ptid.Never
		_, effects, err := fixture.SubmitDurable(spec, nil, false, start)
		fixture.expect.Expect(err).NotTo(HaveOccurred())
		fixture.expect.Expect(orders(effects)).To(HaveLen(2))
		// Three times 200 ms at a speed of 0.55 plus 100 ms are 1190 ms, at a speed of 1.2 they are 600 ms.
		stops := 0
		for millis := 0; millis <= 1150; millis += 25 {
			stops += countStops(fixture.Tick(at(millis)))
		}
		fixture.expect.Expect(stops).To(Equal(check.stops), "speed %g", check.speed)
	}
}

// A straggler that is alone on a sound worker is not the worker's fault: it must be neither stopped nor
// start a backoff.
func TestStragglerDoesNotCountAgainstItsWorker(test *testing.T) {
	fixture := newSpeedFixture(test, true, 1, 1)
	_, straggler := fixture.placeOn(0, 1, 200*time.Millisecond, start)
	fixture.expect.Expect(straggler).To(HaveLen(1))
	for millis := 0; millis <= 850; millis += 25 {
		fixture.expect.Expect(countStops(fixture.Tick(at(millis)))).To(BeZero())
	}
	tasks, _ := fixture.placeOn(1, 2, 200*time.Millisecond, at(860))
	fixture.expect.Expect(tasks[agentName(0)]).To(Equal(2))
}

// The entry must learn the run time of a queue on a worker of average speed, whichever workers run its
// tasks, and despite 3 % of runs that take seven times as long.
func TestRunTimeOfAQueueIsNormalized(test *testing.T) {
	fixture := newSpeedFixture(test, true, 1, lowSpeeds...)
	const runTime = 100 * time.Millisecond
	geometricMean := 0.988
	expected := time.Duration(0)
	for job := range 400 {
		now := at(job * 10)
		spec := speedSpec(job, 1, 0, now)
		_, _, effects, err := fixture.Submit(spec, now)
		fixture.expect.Expect(err).NotTo(HaveOccurred())
		for _, order := range orders(effects) {
			actual := time.Duration(float64(runTime) / map[bool]float64{true: 0.55, false: 1.2}[order.Agent == agentName(0)])
			if job%33 == 0 {
				actual *= 7
			}
			fixture.RunEnded(order.Agent, ptrun.End{Run: order.Run, Result: ptrun.Done, RunTime: actual}, now)
			expected = order.ExpectedRunTime
		}
	}
	fixture.expect.Expect(expected.Seconds()).To(BeNumerically("~", runTime.Seconds()/geometricMean, 0.07*runTime.Seconds()))
}
