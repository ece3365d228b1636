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

// resubmittable is a job whose caller submits it more than once, with the same ID.
func (fixture *fixture) resubmittable(demand ptrun.Millicores, tasks int, now ptid.Instant) (*ptassign.Job, []ptassign.Effect) {
	job, refusal, effects, err := fixture.Submit(ptassign.Spec{
		Spec: ptgraph.Spec{ID: "00000000000000a1", MaxAttempts: 3, Steps: []ptgraph.Step{
			{Count: tasks, Demand: ptrun.Demand{CPU: demand}, Estimate: 100 * time.Millisecond},
		}},
		Queue: queue, Deadline: now.Add(1500 * time.Millisecond),
	}, now)
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	fixture.expect.Expect(refusal).To(BeNil())
	return job, effects
}

// The end of the first submission's run is not known when the job is submitted again.
func TestResubmittedJobWaitsForRunsOfItsFirstSubmission(test *testing.T) {
	fixture := newFixture(test, 2)
	first, effects := fixture.resubmittable(1000, 1, at(0))
	sent := orders(effects)
	fixture.expect.Expect(sent).To(HaveLen(1))
	fixture.Cancel(first.Key(), at(50))
	second, effects := fixture.resubmittable(1000, 1, at(100))
	fixture.expect.Expect(orders(effects)).To(BeEmpty(), "the first run may be active")
	fixture.expect.Expect(orders(fixture.Tick(at(125)))).To(BeEmpty())
	effects = fixture.RunEnded(sent[0].Agent, ptrun.End{Run: sent[0].Run, Result: ptrun.Stopped}, at(150))
	fixture.expect.Expect(orders(effects)).To(HaveLen(1))
	again := orders(effects)[0]
	fixture.expect.Expect(again.Run.Task).To(Equal(sent[0].Run.Task))
	fixture.expect.Expect(again.Run.Number).To(BeNumerically(">", sent[0].Run.Number))
	effects = fixture.RunEnded(again.Agent, ptrun.End{Run: again.Run, Result: ptrun.Done}, at(250))
	fixture.expect.Expect(ended(effects)).To(HaveLen(1))
	fixture.expect.Expect(second.State()).To(Equal(ptgraph.Completed))
}

// The first submission's run ends as done before its stop takes effect.
func TestResubmittedJobUsesResultOfItsFirstSubmission(test *testing.T) {
	fixture := newFixture(test, 2)
	first, effects := fixture.resubmittable(1000, 2, at(0))
	sent := orders(effects)
	fixture.expect.Expect(sent).To(HaveLen(2))
	fixture.RunEnded(sent[0].Agent, ptrun.End{Run: sent[0].Run, Result: ptrun.Done}, at(40))
	fixture.Cancel(first.Key(), at(50))
	second, effects := fixture.resubmittable(1000, 2, at(60))
	placed := orders(effects)
	fixture.expect.Expect(placed).To(HaveLen(1), "only the task without a run is placed")
	fixture.expect.Expect(placed[0].Run.Task).To(Equal(sent[0].Run.Task))
	fixture.expect.Expect(ended(fixture.RunEnded(sent[1].Agent, ptrun.End{Run: sent[1].Run, Result: ptrun.Done}, at(70)))).To(BeEmpty())
	fixture.expect.Expect(ended(fixture.RunEnded(placed[0].Agent, ptrun.End{Run: placed[0].Run, Result: ptrun.Done}, at(160)))).To(HaveLen(1))
	fixture.expect.Expect(second.State()).To(Equal(ptgraph.Completed))
}

// Both submissions' runs would have the same ID at the only agent.
func TestResubmissionsDoNotLeakReservedCapacity(test *testing.T) {
	fixture := newFixture(test, 1)
	for submission := range 4 {
		now := at(1000 * submission)
		job, effects := fixture.resubmittable(300, 1, now)
		sent := orders(effects)
		fixture.Cancel(job.Key(), now.Add(10*time.Millisecond))
		again, effects := fixture.resubmittable(300, 1, now.Add(20*time.Millisecond))
		fixture.Cancel(again.Key(), now.Add(30*time.Millisecond))
		for _, order := range append(sent, orders(effects)...) {
			fixture.RunEnded(order.Agent, ptrun.End{Run: order.Run, Result: ptrun.Stopped}, now.Add(40*time.Millisecond))
		}
	}
	_, _, effects := fixture.submit(1, 100*time.Millisecond, at(5000))
	fixture.expect.Expect(orders(effects)).To(HaveLen(1), "the whole worker is free")
}

// A changed job with the ID of an earlier one has other tasks and demands.
func TestReservationOfEarlierSubmissionIsReleasedWhenTheDemandChanges(test *testing.T) {
	fixture := newFixture(test, 1)
	job, effects := fixture.resubmittable(300, 1, at(0))
	sent := orders(effects)
	fixture.expect.Expect(sent).To(HaveLen(1))
	fixture.Cancel(job.Key(), at(10))
	again, _ := fixture.resubmittable(600, 1, at(20))
	fixture.Cancel(again.Key(), at(30))
	fixture.RunEnded(sent[0].Agent, ptrun.End{Run: sent[0].Run, Result: ptrun.Stopped}, at(40))
	_, _, effects = fixture.submit(1, 100*time.Millisecond, at(50))
	fixture.expect.Expect(orders(effects)).To(HaveLen(1), "the whole worker is free")
}
