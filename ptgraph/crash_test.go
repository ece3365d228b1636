package ptgraph_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

func newCrashJob(test *testing.T) (job *ptgraph.Job, task *ptgraph.Task, expect *WithT) {
	expect = NewWithT(test)
	job, err := ptgraph.New(crashSpec)
	expect.Expect(err).NotTo(HaveOccurred())
	return job, job.Ready()[0], expect
}

var crashSpec = ptgraph.Spec{ID: ptid.JobID("00000000000000aa"), MaxAttempts: 2, Steps: []ptgraph.Step{{Count: 1}}}

// lose ends the next run of the task with its worker.
func lose(job *ptgraph.Job, task *ptgraph.Task, reason ptrun.Reason, runTime time.Duration) (run ptrun.ID, change ptgraph.Change) {
	run = job.Place(task)
	return run, job.RunEnded(ptrun.End{Run: run, Result: ptrun.Lost, Reason: reason, RunTime: runTime})
}

func TestTaskThatCrashesWorkersIsGivenUpAfterTwoCrashes(test *testing.T) {
	job, task, expect := newCrashJob(test)
	_, change := lose(job, task, ptrun.ReasonWorkerCrashed, 0)
	expect.Expect(change.JobEnded).To(BeFalse())
	_, change = lose(job, task, ptrun.ReasonCrashedWorker, 0)
	expect.Expect(change).To(Equal(ptgraph.Change{Accepted: true, JobEnded: true, GivenUp: true}))
	expect.Expect(job.State()).To(Equal(ptgraph.Failed))
}

func TestTaskBesideCrashingTasksIsNotGivenUp(test *testing.T) {
	job, task, expect := newCrashJob(test)
	for range 2 {
		_, change := lose(job, task, ptrun.ReasonWorkerCrashed, 0)
		expect.Expect(change.JobEnded).To(BeFalse())
	}
	run := job.Place(task)
	expect.Expect(job.RunEnded(end(run, ptrun.Done)).JobEnded).To(BeTrue())
	expect.Expect(job.State()).To(Equal(ptgraph.Completed))
}

func TestCutWorkersDoNotCountAsCrashes(test *testing.T) {
	job, task, expect := newCrashJob(test)
	for range 2 {
		lose(job, task, ptrun.ReasonLeaseExpired, 0)
	}
	_, change := lose(job, task, ptrun.ReasonCrashedWorker, 0)
	expect.Expect(change.JobEnded).To(BeFalse())
}

func TestCrashThatIsKnownLateCountsOnce(test *testing.T) {
	job, task, expect := newCrashJob(test)
	first, _ := lose(job, task, ptrun.ReasonLeaseExpired, 0)
	second, _ := lose(job, task, ptrun.ReasonCrashedWorker, 0)
	job.Place(task)
	expect.Expect(job.AdoptEnd(ptrun.End{Run: second, Result: ptrun.Lost, Reason: ptrun.ReasonCrashedWorker}).JobEnded).To(BeFalse())
	expect.Expect(job.AdoptEnd(ptrun.End{Run: first, Result: ptrun.Lost, Reason: ptrun.ReasonWorkerCrashed}).GivenUp).To(BeTrue())
}

// loseFour loses four runs of the task with workers that have not responded again.
func loseFour(expect *WithT, job *ptgraph.Job, task *ptgraph.Task) (runs []ptrun.ID) {
	for range 4 {
		expect.Expect(job.Ready()).To(HaveLen(1))
		run, change := lose(job, task, ptrun.ReasonLeaseExpired, 0)
		expect.Expect(change.JobEnded).To(BeFalse())
		runs = append(runs, run)
	}
	expect.Expect(job.Ready()).To(BeEmpty(), "a fifth worker may crash")
	return runs
}

func TestTaskWhoseWorkersDoNotReturnIsGivenUpAfterFourLosses(test *testing.T) {
	job, task, expect := newCrashJob(test)
	for index, run := range loseFour(expect, job, task) {
		expect.Expect(job.ResolveLoss(task, run.Number, ptgraph.WorkerGone).GivenUp).To(Equal(index == 3))
	}
	expect.Expect(job.State()).To(Equal(ptgraph.Failed))
}

// Guards against failing a job whose workers were only cut off. They list the ends of its runs later.
func TestJobIsNotFailedByCutsAfterWhichItsWorkersAreAlive(test *testing.T) {
	for name, listed := range map[string]ptrun.End{
		"lapsed": {Result: ptrun.Lost, Reason: ptrun.ReasonLeaseEnforced},
		"done":   {Result: ptrun.Done},
	} {
		job, task, expect := newCrashJob(test)
		for _, run := range loseFour(expect, job, task) {
			listed.Run = run
			expect.Expect(job.RecordSurvival(listed)).To(BeTrue(), name)
			expect.Expect(job.RecordSurvival(listed)).To(BeFalse(), name)
			expect.Expect(job.Ready()).To(HaveLen(1), name)
		}
		expect.Expect(task.Isolation()).To(BeZero(), name)
		loseFour(expect, job, task)
		expect.Expect(job.State()).To(Equal(ptgraph.Running), name)
	}
}

func TestCrashCountsBesideLossesThatAreTakenBack(test *testing.T) {
	job, task, expect := newCrashJob(test)
	runs := loseFour(expect, job, task)
	for _, run := range runs[:2] {
		expect.Expect(job.RecordSurvival(ptrun.End{Run: run, Result: ptrun.Lost, Reason: ptrun.ReasonLeaseEnforced})).To(BeTrue())
	}
	crash := func(run ptrun.ID, reason ptrun.Reason) ptgraph.Change {
		return job.AdoptEnd(ptrun.End{Run: run, Result: ptrun.Lost, Reason: reason})
	}
	expect.Expect(crash(runs[2], ptrun.ReasonWorkerCrashed).JobEnded).To(BeFalse())
	_, change := lose(job, task, ptrun.ReasonCrashedWorker, 0)
	expect.Expect(change.GivenUp).To(BeTrue())
}

func TestStopsAndDeclaredLossesDoNotProveThatTheWorkerHasSurvived(test *testing.T) {
	job, task, expect := newCrashJob(test)
	run := loseFour(expect, job, task)[0]
	for _, end := range []ptrun.End{
		{Run: run, Result: ptrun.Lost, Reason: ptrun.ReasonLeaseExpired}, {Run: run, Result: ptrun.Lost, Reason: ptrun.ReasonUnknownRun},
		{Run: run, Result: ptrun.Stopped}, {Run: run, Result: ptrun.NeverStarted},
	} {
		expect.Expect(job.RecordSurvival(end)).To(BeFalse(), "%+v", end)
	}
}

func TestResolvedLossesSurviveTheOwner(test *testing.T) {
	job, task, expect := newCrashJob(test)
	runs := loseFour(expect, job, task)
	job.RecordSurvival(ptrun.End{Run: runs[0], Result: ptrun.Lost, Reason: ptrun.ReasonLeaseEnforced})
	spec := crashSpec
	spec.RunNumberBase = 1000
	later, err := ptgraph.New(spec)
	expect.Expect(err).NotTo(HaveOccurred())
	later.Restore(job.Progress())
	task = later.Ready()[0]
	lose(later, task, ptrun.ReasonLeaseExpired, 0)
	expect.Expect(later.HeldTasks()).To(ConsistOf(task))
	expect.Expect(later.RecordSurvival(ptrun.End{Run: runs[1], Result: ptrun.Lost, Reason: ptrun.ReasonLeaseEnforced})).To(BeTrue())
	expect.Expect(later.HeldTasks()).To(BeEmpty())
}

func TestCountOfCrashesSurvivesTheOwner(test *testing.T) {
	job, task, expect := newCrashJob(test)
	lose(job, task, ptrun.ReasonWorkerCrashed, 0)
	lose(job, task, ptrun.ReasonWorkerCrashed, 0)
	spec := crashSpec
	spec.RunNumberBase = 1000
	later, err := ptgraph.New(spec)
	expect.Expect(err).NotTo(HaveOccurred())
	later.Restore(job.Progress())
	task = later.Ready()[0]
	expect.Expect(task.Isolation()).NotTo(BeZero())
	_, change := lose(later, task, ptrun.ReasonCrashedWorker, 0)
	expect.Expect(change.GivenUp).To(BeTrue())
}

func TestOnlyRepeatedLossesRequireIsolation(test *testing.T) {
	job, task, expect := newCrashJob(test)
	lose(job, task, ptrun.ReasonLeaseExpired, 10*time.Millisecond)
	expect.Expect(task.Isolation()).To(BeZero())
	lose(job, task, ptrun.ReasonLeaseExpired, 300*time.Millisecond)
	expect.Expect(task.Isolation()).To(BeNumerically(">", 600*time.Millisecond))
}

func TestLongRunningTaskIsNotBlamedForCrashesAfterALongTime(test *testing.T) {
	expect := NewWithT(test)
	spec := crashSpec
	spec.Steps = []ptgraph.Step{{Count: 1, LongRunning: true}}
	job, err := ptgraph.New(spec)
	expect.Expect(err).NotTo(HaveOccurred())
	task := job.Ready()[0]
	for range 10 {
		lose(job, task, ptrun.ReasonWorkerCrashed, time.Hour)
	}
	expect.Expect(job.State()).To(Equal(ptgraph.Running))
	expect.Expect(task.Isolation()).To(BeZero())
}
