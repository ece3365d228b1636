package ptlocality_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlocality"
)

const (
	now     = ptid.Instant(time.Hour)
	runTime = 200 * time.Millisecond
	demand  = 1000
)

func at(millis int) ptid.Instant { return now.Add(time.Duration(millis) * time.Millisecond) }

// nearWith returns a near worker that is full with runs that end at the given instants, in
// milliseconds from now.
func nearWith(ends ...int) *ptlocality.Near {
	worker := ptlocality.Worker{}
	for _, end := range ends {
		worker.Runs = append(worker.Runs, ptlocality.Run{EndsAt: at(end), RunTime: runTime, CPU: demand})
	}
	return &ptlocality.Near{Workers: []ptlocality.Worker{worker}, MeanRunTime: runTime, Slowdown: 1, Share: 1, Bias: 1}
}

// task returns a task of 200 ms whose job has just been submitted. Its objective is 380 ms and its
// expiry 1,140 ms after the submission.
func task(factor float64) ptlocality.Task {
	return ptlocality.Task{
		Demand: demand, Tasks: 1, RunTime: runTime, Factor: factor, FarSlowdown: 1, SubmittedAt: now,
		Objective: at(380), ExpiresAt: at(1140), Stretch: 1.6,
	}
}

func decide(task ptlocality.Task, near *ptlocality.Near) ptlocality.Decision {
	return ptlocality.Decide(ptlocality.ExpectedGain(), task, near, now)
}

// A task that would be late far away and in time after a short wait must wait until then.
func TestTaskWaitsIfOnlyTheNearRunIsInTime(test *testing.T) {
	expect := NewWithT(test)
	decision := decide(task(3), nearWith(60))
	expect.Expect(decision.Wait).To(BeTrue())
	expect.Expect(decision.Until).To(beAbout(60))
}

// beAbout matches an instant within the resolution of the estimate.
func beAbout(millis int) types.GomegaMatcher {
	return BeNumerically("~", at(millis), time.Millisecond)
}

// A task that is in time far away must go there at once: a wait could only make it late.
func TestTaskInTimeFarAwayDoesNotWait(test *testing.T) {
	NewWithT(test).Expect(decide(task(1.2), nearWith(60)).Wait).To(BeFalse())
}

// If the near workers have room only when the slack is used up, a wait has no gain.
func TestTaskDoesNotWaitLongerThanItsSlack(test *testing.T) {
	NewWithT(test).Expect(decide(task(3), nearWith(700)).Wait).To(BeFalse())
}

// Two tasks must not wait for one place: the second one must be judged by the next place.
func TestWaitingTasksAreCounted(test *testing.T) {
	expect := NewWithT(test)
	near := nearWith(60, 700)
	expect.Expect(decide(task(3), near).Wait).To(BeTrue())
	near.Waiting = demand
	expect.Expect(decide(task(3), near).Wait).To(BeFalse())
}

// A job is as late as its last task: its tasks must not wait if the last one would be late anyway,
// or if one of them already runs far away and will be late.
func TestTasksOfAJobAreJudgedTogether(test *testing.T) {
	expect := NewWithT(test)
	several := task(3)
	several.Tasks = 2
	expect.Expect(decide(several, nearWith(60, 65)).Wait).To(BeTrue())
	expect.Expect(decide(several, nearWith(60, 700)).Wait).To(BeFalse())
	other := task(3)
	other.JobEndsAt = at(600)
	expect.Expect(decide(other, nearWith(60)).Wait).To(BeFalse())
}

// While other work waits for capacity, the core-seconds that a near run saves decide between ends
// of equal value. Without a load, a task with nothing to gain must not wait beside idle workers.
func TestCoreSecondsDecideUnderLoad(test *testing.T) {
	expect := NewWithT(test)
	late := task(3)
	late.JobEndsAt = at(600)
	late.Load = 1
	expect.Expect(decide(late, nearWith(60)).Wait).To(BeTrue())
	late.Load = 0
	expect.Expect(decide(late, nearWith(60)).Wait).To(BeFalse())
	inTime := task(1.2)
	inTime.Load = 1
	expect.Expect(decide(inTime, nearWith(700)).Wait).To(BeFalse(), "saved core-seconds must not outweigh an end in time")
}

// No wait may be based on workers that can't be used, or on a factor that makes no difference.
func TestNothingToWaitFor(test *testing.T) {
	expect := NewWithT(test)
	expect.Expect(decide(task(3), &ptlocality.Near{Bias: 1, Share: 1}).Wait).To(BeFalse())
	expect.Expect(decide(task(1), nearWith(60)).Wait).To(BeFalse())
	withRoom := nearWith(60)
	withRoom.Workers[0].Free = demand
	expect.Expect(decide(task(3), withRoom).Wait).To(BeFalse())
}

// The ends of the runs of other entries are not known: the capacity must be expected to become
// free evenly over the mean run time, and only the entry's share of it.
func TestCapacityHeldByOthersIsExpectedToBeReleased(test *testing.T) {
	expect := NewWithT(test)
	near := &ptlocality.Near{Workers: []ptlocality.Worker{{HeldByOthers: 4 * demand}}, MeanRunTime: runTime, Share: 1, Bias: 1}
	expect.Expect(near.OpensAt(1, demand, now, at(1000))).To(beAbout(50))
	expect.Expect(near.OpensAt(3, demand, now, at(1000))).To(beAbout(150))
	near.Share = 0.5
	expect.Expect(near.OpensAt(1, demand, now, at(1000))).To(beAbout(100))
	expect.Expect(near.OpensAt(3, demand, now, at(1000))).To(Equal(ptid.Never))
	near.Bias = 2
	expect.Expect(near.OpensAt(1, demand, now, at(1000))).To(beAbout(200))
}

// A run that is overdue must not be expected to end at once, again and again.
func TestOverdueRunsTakeAPartOfTheirRunTime(test *testing.T) {
	NewWithT(test).Expect(nearWith(-100).OpensAt(1, demand, now, at(1000))).To(beAbout(50))
}

// Waits that take longer than estimated must make later estimates longer, and without waits the
// estimates must recover: otherwise one bad second would end all waiting.
func TestBiasLearnsAndRecovers(test *testing.T) {
	expect := NewWithT(test)
	var bias ptlocality.Bias
	for range 50 {
		bias.WaitEnded(90*time.Millisecond, 30*time.Millisecond, 1, true, now)
	}
	expect.Expect(bias.Value(now)).To(BeNumerically("~", 3, 0.1))
	bias.WaitEnded(time.Millisecond, 30*time.Millisecond, 1, false, now)
	expect.Expect(bias.Value(now)).To(BeNumerically("~", 3, 0.1), "an early end without room says nothing about the wait")
	expect.Expect(bias.Value(now.Add(20 * time.Second))).To(BeNumerically("~", 1, 0.01))
}

// The comparison policies must do what their names say.
func TestPoliciesForComparison(test *testing.T) {
	expect := NewWithT(test)
	expect.Expect(ptlocality.Decide(ptlocality.Never(), task(3), nearWith(60), now).Wait).To(BeFalse())
	fixed := ptlocality.Fixed(50 * time.Millisecond)
	expect.Expect(ptlocality.Decide(fixed, task(1.2), nearWith(60), now).Wait).To(BeTrue())
	expect.Expect(ptlocality.Decide(fixed, task(3), nearWith(120), at(50)).Wait).To(BeFalse())
}

func BenchmarkDecide(bench *testing.B) {
	near := &ptlocality.Near{MeanRunTime: runTime, Slowdown: 1, Share: 0.3, Bias: 1}
	for range 7 {
		near.Workers = append(near.Workers, ptlocality.Worker{Runs: nearWith(40, 80, 120).Workers[0].Runs, HeldByOthers: 8 * demand})
	}
	for bench.Loop() {
		decide(task(2), near)
	}
}
