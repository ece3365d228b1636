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
)

// submitStep submits a job with one step, as a durable job or with the deadline of a caller.
func (fixture *fixture) submitStep(queue ptqueue.Queue, step ptgraph.Step, durable bool, now ptid.Instant) []ptassign.Effect {
	fixture.jobs++
	spec := ptassign.Spec{Queue: queue, Deadline: now.Add(1500 * time.Millisecond), Spec: ptgraph.Spec{
		ID: ptid.JobID(fmt.Sprintf("%016x", fixture.jobs)), MaxAttempts: 3, Steps: []ptgraph.Step{step},
	}}
	if durable {
		_, effects, err := fixture.SubmitDurable(spec, nil, false, now)
		fixture.expect.Expect(err).NotTo(HaveOccurred())
		return effects
	}
	_, refusal, effects, err := fixture.Submit(spec, now)
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	fixture.expect.Expect(refusal).To(BeNil())
	return effects
}

// Three hundred jobs need the label of two workers that are lost, or a gang of more workers
// than there are. Nine other workers are idle. The test guards against jobs that block those
// behind them in the queue, or have them refused, though these wait for something else.
func TestJobsThatNeedALostLabelDoNotBlockOtherJobs(test *testing.T) {
	const constrained, ordinary, idleWorkers = 300, 60, 9
	type scenario struct {
		labels, gang             int
		durable, ordinaryDurable bool
	}
	for name, scenario := range map[string]scenario{
		"one label, durable":                           {labels: 1, durable: true, ordinaryDurable: true},
		"one label, best-effort":                       {labels: 1},
		"one label, durable beside best-effort":        {labels: 1, durable: true},
		"twenty labels, durable":                       {labels: 20, durable: true, ordinaryDurable: true},
		"twenty labels, best-effort":                   {labels: 20},
		"twenty labels, durable beside best-effort":    {labels: 20, durable: true},
		"gang of more workers than there are, durable": {gang: idleWorkers + 2, durable: true, ordinaryDurable: true},
	} {
		test.Run(name, func(test *testing.T) {
			fixture := newFixture(test, idleWorkers+2)
			full := ptrun.Demand{CPU: 1000}
			for index := range constrained {
				step := ptgraph.Step{Count: 1, Demand: full, Estimate: 500 * time.Millisecond}
				if scenario.labels > 0 {
					step.Label = fmt.Sprint("rack", index%scenario.labels)
				} else {
					step.Count, step.Gang = scenario.gang, true
				}
				for worker := range 2 {
					fixture.report(idleWorkers+worker, ptassign.AgentState{Labels: []string{"worker", step.Label}, Held: full})
				}
				fixture.submitStep(queue, step, scenario.durable, at(0))
			}
			for worker := range 2 {
				fixture.AgentDisconnected(agentName(idleWorkers+worker), at(0))
			}
			// The priority sorts the ordinary jobs behind the others.
			less := queue
			less.Name, less.Priority = "ordinary", 1
			done, now := 0, 1
			for ; done < ordinary; now++ {
				var running []ptassign.SendOrder
				for range idleWorkers {
					running = append(running, orders(fixture.submitStep(less, ptgraph.Step{Count: 1, Demand: full, Estimate: 10 * time.Millisecond}, scenario.ordinaryDurable, at(now)))...)
				}
				fixture.expect.Expect(running).To(HaveLen(idleWorkers))
				for _, order := range running {
					done++
					fixture.RunEnded(order.Agent, ptrun.End{Run: order.Run, Result: ptrun.Done, RunTime: time.Millisecond}, at(now))
				}
			}
			fixture.expect.Expect(fixture.WaitingJobs()).To(Equal(constrained))
			if scenario.labels > 0 {
				fixture.expect.Expect(fixture.CapacityRequests(at(now))).To(BeEmpty(), "no worker can serve them")
			}
		})
	}
}
