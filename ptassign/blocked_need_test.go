package ptassign_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// Guards against jobs that are never started (LOST) beside idle workers: hundreds of jobs that need more
// than any worker has are ahead of them in the queue, under the same constraint.
func TestJobsThatNeedMoreThanThereIsDoNotBlockSmallerOnes(test *testing.T) {
	const workers, others = 9, 5
	step := func(step ptgraph.Step) ptgraph.Step {
		step.Count, step.Estimate = max(1, step.Count), 500*time.Millisecond
		return step
	}
	small := step(ptgraph.Step{Demand: ptrun.Demand{CPU: 100}})
	for name, scenario := range map[string]struct {
		blocking int
		large    ptgraph.Step
		small    ptgraph.Step
	}{
		"more cores than a worker has":     {300, step(ptgraph.Step{Demand: ptrun.Demand{CPU: 2000}}), small},
		"more memory than a worker has":    {300, step(ptgraph.Step{Demand: ptrun.Demand{CPU: 10, Memory: 2000}}), small},
		"thousands of jobs":                {4000, step(ptgraph.Step{Demand: ptrun.Demand{CPU: 2000}}), small},
		"a gang of more than all workers":  {300, step(ptgraph.Step{Count: workers + 2, Gang: true, Demand: ptrun.Demand{CPU: 1000}}), step(ptgraph.Step{Count: 2, Gang: true, Demand: ptrun.Demand{CPU: 100}})},
		"a gang of too large members":      {300, step(ptgraph.Step{Count: 2, Gang: true, Demand: ptrun.Demand{CPU: 2000}}), step(ptgraph.Step{Count: 2, Gang: true, Demand: ptrun.Demand{CPU: 100}})},
		"a limit of one task for a worker": {300, step(ptgraph.Step{MaxPerWorker: 1, Demand: ptrun.Demand{CPU: 2000}}), step(ptgraph.Step{MaxPerWorker: 1, Demand: ptrun.Demand{CPU: 100}})},
	} {
		test.Run(name, func(test *testing.T) {
			fixture := newFixture(test, workers)
			fixture.SetOwnershipExpiry(ptid.Never)
			for index := range workers {
				fixture.report(index, ptassign.AgentState{Held: ptrun.Demand{CPU: 1000}})
			}
			for range scenario.blocking {
				fixture.submitStep(queue, scenario.large, true, at(0))
			}
			for range others {
				fixture.submitStep(queue, scenario.small, true, at(1))
			}
			// The workers become idle when all jobs are late, which are sorted by their submission.
			started := 0
			for index := range workers {
				started += len(orders(fixture.AgentReported(agentName(index), ptassign.AgentState{Worker: "worker", Capacity: ptrun.Demand{CPU: 1000, Memory: 1000}}, at(60_000))))
			}
			for millis := 60_025; millis < 61_000; millis += 25 {
				started += len(orders(fixture.Tick(at(millis))))
			}
			fixture.expect.Expect(started).To(Equal(others * scenario.small.Count))
		})
	}
}
