package ptassign_test

import (
	"testing"
	"time"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"

	. "github.com/onsi/gomega"
)

// Guards against a durable job that is never started again (LOST) after its owner has changed: its only
// task must be isolated, and the queue has no other job, or only jobs that no worker can run.
func TestTaskThatMustBeIsolatedIsPlacedWhereverItIsInTheQueue(test *testing.T) {
	for name, scenario := range map[string]struct{ blocked, labels int }{
		"alone":                              {},
		"behind jobs that need a lost label": {blocked: 100, labels: 1},
		"behind jobs with the same constraint on busy workers": {blocked: 100},
	} {
		test.Run(name, func(test *testing.T) {
			earlier := newFixture(test, 4)
			earlier.SetOwnershipExpiry(ptid.Never)
			spec := ptassign.Spec{
				Spec:  ptgraph.Spec{ID: "00000000000000aa", MaxAttempts: 3, Steps: []ptgraph.Step{{Count: 1, Demand: ptrun.Demand{CPU: 100}, Estimate: 60 * time.Millisecond}}},
				Queue: queue,
			}
			job, effects, err := earlier.SubmitDurable(spec, nil, false, start)
			earlier.expect.Expect(err).NotTo(HaveOccurred())
			earlier.expect.Expect(earlier.lose(orders(effects), 1000)).To(HaveLen(1))
			progress := job.Progress()

			fixture := newFixture(test, 4)
			fixture.SetOwnershipExpiry(ptid.Never)
			for index := range 4 {
				fixture.report(index, ptassign.AgentState{Held: ptrun.Demand{CPU: 950}})
			}
			for range scenario.blocked {
				step := ptgraph.Step{Count: 1, Demand: ptrun.Demand{CPU: 1000}, Estimate: 60 * time.Millisecond}
				if scenario.labels > 0 {
					step.Label = "lost"
				}
				fixture.submitStep(queue, step, true, start)
			}
			_, effects, err = fixture.SubmitDurable(spec, &progress, false, at(1))
			fixture.expect.Expect(err).NotTo(HaveOccurred())
			sent := orders(effects)
			for millis := 100; millis < 2000; millis += 100 {
				sent = append(sent, orders(fixture.Tick(at(millis)))...)
			}
			fixture.expect.Expect(sent).To(HaveLen(1))
			fixture.expect.Expect(sent[0].Isolation).NotTo(BeZero())
		})
	}
}
