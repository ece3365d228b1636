package ptgraph_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// Agents repeat the end of a run until its owner has stored it.
func TestRepeatedFailureUsesUpOneAttempt(test *testing.T) {
	job, expect := newJob(test, ptgraph.Step{Count: 1})
	task := job.Ready()[0]
	failed := end(job.Place(task), ptrun.Failed)
	expect.Expect(job.RunEnded(failed).Accepted).To(BeTrue())
	for range 3 {
		expect.Expect(job.AdoptEnd(failed).JobEnded).To(BeFalse())
	}
	expect.Expect(task.Failures()).To(Equal(1))
	expect.Expect(job.Ready()).To(HaveLen(1))
}

// The owner stored the failure, and a later owner receives it before it is acknowledged.
func TestStoredFailureThatALaterOwnerReceivesUsesUpOneAttempt(test *testing.T) {
	earlier, expect := newJob(test, ptgraph.Step{Count: 2})
	failed := end(earlier.Place(earlier.Ready()[1]), ptrun.Failed)
	earlier.RunEnded(failed)
	later, err := ptgraph.New(ptgraph.Spec{ID: earlier.ID, Steps: earlier.Steps, MaxAttempts: 2, RunNumberBase: 1000})
	expect.Expect(err).NotTo(HaveOccurred())
	later.Restore(earlier.Progress())
	expect.Expect(later.AdoptEnd(failed).JobEnded).To(BeFalse())
	expect.Expect(later.Task(failed.Run.Task).Failures()).To(Equal(1))
	// A failure of another run counts.
	expect.Expect(later.AdoptEnd(end(ptrun.ID{Task: failed.Run.Task, Number: 7}, ptrun.Failed)).JobEnded).To(BeTrue())
}

// A run that was declared lost ends after all.
func TestLateFailureOfLostRunUsesUpAnAttempt(test *testing.T) {
	job, expect := newJob(test, ptgraph.Step{Count: 1})
	task := job.Ready()[0]
	run := job.Place(task)
	job.RunEnded(end(run, ptrun.Lost))
	job.AdoptEnd(end(run, ptrun.Failed))
	expect.Expect(task.Failures()).To(Equal(1))
}

func TestRunNumbersRiseAfterTheEndOfAnOlderRunIsRepeated(test *testing.T) {
	job, expect := newJob(test, ptgraph.Step{Count: 1, LongRunning: true})
	task := job.Ready()[0]
	first := job.Place(task)
	job.RunEnded(end(first, ptrun.Stopped))
	second := job.Place(task)
	job.RunEnded(end(second, ptrun.Stopped))
	job.AdoptEnd(end(first, ptrun.Stopped))
	expect.Expect(job.Place(task).Number).To(BeNumerically(">", second.Number))
}

func TestRunNumbersOfGangRiseAfterTheEndOfAnOlderRunIsRepeated(test *testing.T) {
	job, expect := newJob(test, ptgraph.Step{Count: 2, Gang: true})
	first := job.PlaceGang(0)
	for _, run := range first {
		job.RunEnded(end(run, ptrun.Stopped))
	}
	second := job.PlaceGang(0)
	for _, run := range second {
		job.RunEnded(end(run, ptrun.Stopped))
	}
	for _, run := range first {
		job.AdoptEnd(end(run, ptrun.Stopped))
	}
	expect.Expect(job.PlaceGang(0)[0].Number).To(BeNumerically(">", second[0].Number))
}
