package ptgraph_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const runNumberBase = ptrun.Number(5 << 20)

func newDurableJob(test *testing.T, steps ...ptgraph.Step) (job *ptgraph.Job, expect *WithT) {
	expect = NewWithT(test)
	job, err := ptgraph.New(ptgraph.Spec{ID: "00000000000000aa", Steps: steps, MaxAttempts: 2, Durable: true, RunNumberBase: runNumberBase})
	expect.Expect(err).NotTo(HaveOccurred())
	return job, expect
}

// abandon ends a run whose agent can't be reached.
func abandon(job *ptgraph.Job, run ptrun.ID) ptgraph.Change {
	return job.RunEnded(ptrun.End{Run: run, Result: ptrun.Lost, Reason: ptrun.ReasonAgentSilent})
}

// Guards against acknowledging the end of an abandoned run after the end of its job: the task has run
// twice then.
func TestEndOfAbandonedRunIsVoidAfterTheEndOfTheJobIfItsTaskWasPlacedAgain(test *testing.T) {
	job, expect := newDurableJob(test, ptgraph.Step{Count: 1})
	first := job.Place(job.Ready()[0])
	expect.Expect(abandon(job, first).Abandoned).To(BeTrue())
	expect.Expect(job.AbandonmentsSaved(job.Progress())).To(BeTrue())
	second := job.Place(job.Ready()[0])
	expect.Expect(job.IsSuperseded(end(first, ptrun.Done))).To(BeTrue())
	expect.Expect(job.RunEnded(end(second, ptrun.Done)).JobEnded).To(BeTrue())
	for _, void := range []ptrun.Number{job.VoidRun(), restored(expect, job).VoidRun()} {
		expect.Expect(ptgraph.IsVoidAfterEnd(end(first, ptrun.Done), void)).To(BeTrue())
		expect.Expect(ptgraph.IsVoidAfterEnd(end(first, ptrun.Failed), void)).To(BeFalse())
		expect.Expect(ptgraph.IsVoidAfterEnd(end(second, ptrun.Done), void)).To(BeFalse(), "the end that completed the task")
	}
}

func TestEndOfAbandonedRunCountsBeforeItsTaskIsPlacedAgain(test *testing.T) {
	job, expect := newDurableJob(test, ptgraph.Step{Count: 1})
	first := job.Place(job.Ready()[0])
	abandon(job, first)
	expect.Expect(job.IsSuperseded(end(first, ptrun.Done))).To(BeFalse())
	expect.Expect(job.AdoptEnd(end(first, ptrun.Done)).JobEnded).To(BeTrue())
	expect.Expect(job.VoidRun()).To(BeZero(), "the agent may repeat the end")
}

func TestEndsOfSeveralAbandonedRunsAreVoidOnceALaterOneCounts(test *testing.T) {
	job, expect := newDurableJob(test, ptgraph.Step{Count: 1})
	var runs []ptrun.ID
	for range 2 {
		job.AbandonmentsSaved(job.Progress())
		runs = append(runs, job.Place(job.Ready()[0]))
		abandon(job, runs[len(runs)-1])
	}
	expect.Expect(job.AdoptEnd(end(runs[1], ptrun.Done)).JobEnded).To(BeTrue())
	expect.Expect(job.VoidRun()).To(Equal(runs[0].Number))
}

// restored returns the job as the next owner reads it from the log.
func restored(expect *WithT, job *ptgraph.Job) (next *ptgraph.Job) {
	record, err := json.Marshal(job.Progress())
	expect.Expect(err).NotTo(HaveOccurred())
	var progress ptgraph.Progress
	expect.Expect(json.Unmarshal(record, &progress)).To(Succeed())
	spec := job.Spec
	spec.RunNumberBase += 1 << 20
	next, err = ptgraph.New(spec)
	expect.Expect(err).NotTo(HaveOccurred())
	next.Restore(progress)
	return next
}

// Guards against two runs of a task over a change of its owner: the earlier owner may have placed the
// task again, and the next one does not know of that run.
func TestNextOwnerDoesNotAcceptTheEndOfAnAbandonedRun(test *testing.T) {
	job, expect := newDurableJob(test, ptgraph.Step{Count: 3})
	var runs []ptrun.ID
	for _, task := range job.Ready() {
		runs = append(runs, job.Place(task))
	}
	abandon(job, runs[1])
	next := restored(expect, job)
	for index, run := range runs {
		expect.Expect(next.IsSuperseded(end(run, ptrun.Done))).To(Equal(index == 1), "task %d", index)
	}
	expect.Expect(next.VoidRun()).To(Equal(runs[1].Number))
	again := restored(expect, next)
	expect.Expect(again.IsSuperseded(end(runs[1], ptrun.Done))).To(BeTrue())
	expect.Expect(again.IsSuperseded(end(runs[0], ptrun.Done))).To(BeFalse())
}

func TestTaskIsPlacedAgainOnceTheLogHoldsItsAbandonment(test *testing.T) {
	job, expect := newDurableJob(test, ptgraph.Step{Count: 2})
	ready := job.Ready()
	first, second := job.Place(ready[0]), job.Place(ready[1])
	abandon(job, first)
	saved := job.Progress()
	abandon(job, second)
	expect.Expect(job.Ready()).To(BeEmpty())
	expect.Expect(job.AbandonmentsSaved(saved)).To(BeTrue())
	expect.Expect(job.Ready()).To(HaveLen(1), "the other abandonment is not saved")
	expect.Expect(job.AbandonmentsSaved(saved)).To(BeFalse())
	expect.Expect(job.AbandonmentsSaved(job.Progress())).To(BeTrue())
	expect.Expect(job.Ready()).To(HaveLen(2))
}

func TestGangIsPlacedAgainOnceTheLogHoldsTheAbandonmentsOfAllMembers(test *testing.T) {
	job, expect := newDurableJob(test, ptgraph.Step{Count: 2, Gang: true})
	runs := job.PlaceGang(0)
	job.RunEnded(end(runs[0], ptrun.Stopped))
	abandon(job, runs[1])
	expect.Expect(job.Ready()).To(BeEmpty())
	job.AbandonmentsSaved(job.Progress())
	expect.Expect(job.Ready()).To(HaveLen(2))
	later := job.PlaceGang(0)
	expect.Expect(job.IsSuperseded(end(runs[1], ptrun.Done))).To(BeTrue())
	expect.Expect(job.RunEnded(end(later[0], ptrun.Done)).JobEnded).To(BeTrue())
	expect.Expect(job.VoidRun()).To(Equal(runs[1].Number))
}

// Some agents could not be reached during the recovery, and may have ends of an earlier owner's runs.
func TestUnknownRunsOfEarlierOwnersAreVoidOnceTheirTasksArePlaced(test *testing.T) {
	job, expect := newDurableJob(test, ptgraph.Step{Count: 2})
	earlier := ptrun.ID{Task: job.Ready()[0].ID, Number: runNumberBase - 100}
	adopted := ptrun.ID{Task: job.Ready()[1].ID, Number: runNumberBase - 100}
	expect.Expect(job.Adopt(adopted)).To(BeTrue())
	job.AbandonUnknownRuns()
	expect.Expect(job.Ready()).To(BeEmpty())
	job.AbandonmentsSaved(job.Progress())
	run := job.Place(job.Ready()[0])
	expect.Expect(job.IsSuperseded(end(earlier, ptrun.Done))).To(BeTrue())
	expect.Expect(job.IsSuperseded(end(adopted, ptrun.Done))).To(BeFalse())
	job.RunEnded(end(run, ptrun.Done))
	expect.Expect(job.RunEnded(end(adopted, ptrun.Done)).JobEnded).To(BeTrue())
	expect.Expect(ptgraph.IsVoidAfterEnd(end(earlier, ptrun.Done), job.VoidRun())).To(BeTrue())
}

// An abandoned run has ended, so a run that an agent lists as active is not one.
func TestActiveRunIsAdoptedBesideAbandonedRunsOfItsTask(test *testing.T) {
	job, expect := newDurableJob(test, ptgraph.Step{Count: 1})
	abandon(job, job.Place(job.Ready()[0]))
	job.AbandonmentsSaved(job.Progress())
	active := job.Place(job.Ready()[0])
	next := restored(expect, job)
	expect.Expect(next.Adopt(active)).To(BeTrue())
	expect.Expect(next.RunEnded(end(active, ptrun.Done)).JobEnded).To(BeTrue())
	expect.Expect(ptgraph.IsVoidAfterEnd(end(active, ptrun.Done), next.VoidRun())).To(BeFalse())
}

func TestSpeculativeTasksHaveNoVoidRuns(test *testing.T) {
	job, expect := newDurableJob(test, ptgraph.Step{Count: 1, Speculative: true})
	first := job.Place(job.Ready()[0])
	abandon(job, first)
	job.AbandonmentsSaved(job.Progress())
	job.RunEnded(end(job.Place(job.Ready()[0]), ptrun.Done))
	expect.Expect(job.IsSuperseded(end(first, ptrun.Done))).To(BeFalse())
	expect.Expect(job.VoidRun()).To(BeZero())
}
