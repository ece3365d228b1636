package ptfitness_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	start    = ptid.Instant(time.Hour)
	expected = 200 * time.Millisecond
	// maxHealthySlowdown is the highest slowdown that is accepted for a healthy worker.
	maxHealthySlowdown = 1.5
)

func at(millis int) ptid.Instant { return start.Add(time.Duration(millis) * time.Millisecond) }

func runOf(job, index int) ptrun.ID {
	return ptrun.ID{Task: ptrun.TaskID{Job: ptid.JobID(fmt.Sprintf("%016x", job)), Index: ptid.TaskIndex(index)}, Number: 1}
}

// percent returns how much of a run is done after a time on a worker with the given slowdown.
func percent(millis int, slowdown float64) int {
	return int(float64(millis) / slowdown / float64(expected.Milliseconds()) * 100)
}

// Six runs are on a worker that becomes five times slower. The estimator must show it within
// 200 ms, before any of the runs ends, and must show a healthy worker again soon after it has
// recovered.
func TestSlowWorkersAreDetectedBeforeTheirRunsEnd(test *testing.T) {
	expect := NewWithT(test)
	estimator := ptfitness.NewEstimator()
	for run := range 6 {
		estimator.Started(runOf(run, 0), expected, false, at(0))
	}
	for millis := 50; millis <= 200; millis += 50 {
		for run := range 6 {
			estimator.Progressed(runOf(run, 0), percent(millis, 5), at(millis))
		}
	}
	expect.Expect(estimator.Assessment().Slowdown).To(BeNumerically(">", 3))
	expect.Expect(estimator.Assessment().MeasuredAt).To(Equal(at(200)))
	for run := range 6 {
		estimator.Dropped(runOf(run, 0))
	}
	for millis := 1000; millis < 2000; millis += 200 {
		estimator.Started(runOf(millis, 0), expected, false, at(millis))
		estimator.Done(runOf(millis, 0), at(millis+200))
	}
	expect.Expect(estimator.Assessment().Slowdown).To(BeNumerically("<", maxHealthySlowdown))
}

func TestSlowdownGrowsWhileRunsHang(test *testing.T) {
	expect := NewWithT(test)
	estimator := ptfitness.NewEstimator()
	estimator.Started(runOf(1, 0), expected, false, at(0))
	before := estimator.Assessment().Slowdown
	for millis := 100; millis <= 1000; millis += 100 {
		estimator.Progressed(runOf(1, 0), 0, at(millis))
		expect.Expect(estimator.Assessment().Slowdown).To(BeNumerically(">", before))
		before = estimator.Assessment().Slowdown
	}
	expect.Expect(before).To(BeNumerically(">", 5))
}

// Run times deviate from the expected ones as much as in the workloads of users.
func TestHealthyWorkersAreAssessedAsHealthy(test *testing.T) {
	expect := NewWithT(test)
	random := rand.New(rand.NewPCG(1, 1))
	estimator := ptfitness.NewEstimator()
	highest := 0.0
	for job := range 2000 {
		now := at(job * 30)
		estimator.Started(runOf(job, 0), expected, false, now)
		runTime := time.Duration(float64(expected) * (0.5 + random.Float64()))
		estimator.Progressed(runOf(job, 0), 40, now.Add(2*runTime/5))
		estimator.Done(runOf(job, 0), now.Add(runTime))
		highest = max(highest, estimator.Assessment().Slowdown)
	}
	expect.Expect(highest).To(BeNumerically("<", maxHealthySlowdown))
}

func TestUninformativeRunsAreIgnored(test *testing.T) {
	expect := NewWithT(test)
	estimator := ptfitness.NewEstimator()
	estimator.Started(runOf(1, 0), 0, false, at(0))
	estimator.Progressed(runOf(1, 0), 0, at(5000))
	// A resumed run starts with the progress that an earlier run has made.
	estimator.Started(runOf(2, 0), expected, true, at(0))
	estimator.Progressed(runOf(2, 0), 90, at(1))
	expect.Expect(estimator.Assessment().Known()).To(BeFalse())
	estimator.Progressed(runOf(2, 0), 95, at(11))
	expect.Expect(estimator.Assessment().Slowdown).To(BeNumerically("~", 1, 0.05))
}

func TestThreeFailuresOfDifferentJobsQuarantineAWorker(test *testing.T) {
	expect := NewWithT(test)
	estimator := ptfitness.NewEstimator()
	for index := range 20 {
		estimator.Failed(runOf(1, index), at(index))
	}
	expect.Expect(estimator.Assessment().Suspect()).To(BeFalse(), "the job may have caused the failures")
	healthy := ptfitness.Assessment{Slowdown: 1, MeasuredAt: at(0)}
	quarantined := func() []bool {
		return ptfitness.SelectQuarantined([]ptfitness.Assessment{estimator.Assessment(), healthy, healthy, healthy}, make([]bool, 4))
	}
	estimator.Failed(runOf(2, 0), at(30))
	estimator.Failed(runOf(3, 0), at(40))
	expect.Expect(quarantined()).To(Equal([]bool{true, false, false, false}))
	for job := range 20 {
		estimator.Failed(runOf(10+job, 0), at(50+job))
	}
	for job := range 3 {
		expect.Expect(quarantined()).To(Equal([]bool{true, false, false, false}))
		estimator.Done(runOf(40+job, 0), at(80+job))
	}
	expect.Expect(quarantined()).To(Equal([]bool{false, false, false, false}))
}

func TestAssessmentsAreComparedWithEachOther(test *testing.T) {
	assessment := func(slowdown, failureRate float64) ptfitness.Assessment {
		return ptfitness.Assessment{Slowdown: slowdown, FailureRate: failureRate, MeasuredAt: at(0)}
	}
	repeat := func(assessment ptfitness.Assessment, count int) (assessments []ptfitness.Assessment) {
		for range count {
			assessments = append(assessments, assessment)
		}
		return assessments
	}
	count := func(quarantined []bool) (number int) {
		for _, is := range quarantined {
			if is {
				number++
			}
		}
		return number
	}
	for name, check := range map[string]struct {
		assessments []ptfitness.Assessment
		quarantined int
	}{
		"a slow worker":                        {append(repeat(assessment(1, 0), 9), assessment(4, 0)), 1},
		"a failing worker":                     {append(repeat(assessment(1, 0.05), 9), assessment(1, 0.9)), 1},
		"all slow because of load or jobs":     {repeat(assessment(4, 0), 10), 0},
		"jobs that always fail on all workers": {repeat(assessment(1, 0.5), 10), 0},
		"wrong assessments of most workers":    {append(repeat(assessment(1, 0), 3), repeat(assessment(20, 1), 7)...), 0},
		"wrong assessments of nearly half":     {append(repeat(assessment(1, 0), 6), repeat(assessment(20, 1), 4)...), 4},
		"a single worker":                      {repeat(assessment(20, 1), 1), 0},
		"one worker of two":                    {[]ptfitness.Assessment{assessment(1, 0), assessment(9, 1)}, 0},
		"none":                                 {nil, 0},
	} {
		test.Run(name, func(test *testing.T) {
			expect := NewWithT(test)
			expect.Expect(count(ptfitness.SelectQuarantined(check.assessments, make([]bool, len(check.assessments))))).To(Equal(check.quarantined))
		})
	}
}

func TestProbeTurnsRotateAndBecomeRarer(test *testing.T) {
	expect := NewWithT(test)
	turns := ptfitness.NewProbeTurns()
	entries := func() []ptid.EntryName { return []ptid.EntryName{"c", "a", "b"} }
	turnsOf := map[ptid.EntryName]int{}
	total := 0
	for millis := 0; millis < 20_000; millis += 25 {
		holder, changed := turns.Next(true, true, entries(), at(millis))
		if changed {
			turnsOf[holder]++
			total++
			expect.Expect(turns.Holder()).To(Equal(holder))
			turns.Probed()
			expect.Expect(turns.Holder()).To(BeEmpty())
		}
	}
	// After the pause has reached its maximum, there are at most two turns a second.
	expect.Expect(total).To(BeNumerically("<=", 41))
	for _, name := range entries() {
		expect.Expect(turnsOf[name]).To(BeNumerically(">=", total/3))
	}
	_, changed := turns.Next(false, true, entries(), at(30_000))
	expect.Expect(changed).To(BeFalse())
	expect.Expect(turns.Holder()).To(BeEmpty())
	// If an entry does not use its turn, the next entry gets it.
	first, _ := turns.Next(true, true, entries(), at(30_025))
	second, changed := turns.Next(true, true, entries(), at(30_500))
	expect.Expect(changed).To(BeTrue())
	expect.Expect(second).NotTo(Equal(first))
}

// A worker in quarantine has one short run at a time. One run as fast as expected must end the memory
// of a slow period, and slow runs must not, whether the worker reports progress, nothing, or the speed
// limit of the run in its place. Otherwise the worker would be probed for several seconds, or be used
// while it is slow.
func TestOneProbeShowsThatAWorkerHasRecovered(test *testing.T) {
	for _, slow := range []float64{3, 7.5} {
		for _, reported := range []string{"progress", "nothing", "speed limit"} {
			expect := NewWithT(test)
			estimator := ptfitness.NewEstimator()
			// run plays a run with a listing every 50 ms.
			run := func(job, from int, slowdown float64) (until int) {
				estimator.Started(runOf(job, 0), expected, false, at(from))
				until = from + int(float64(expected.Milliseconds())*slowdown)
				for millis := from + 50; millis < until; millis += 50 {
					done := map[string]int{"progress": percent(millis-from, slowdown), "speed limit": 100}[reported]
					estimator.Progressed(runOf(job, 0), done, at(millis))
					if job > 0 && slowdown > 1 {
						expect.Expect(estimator.Assessment().NeedsProbes()).To(BeTrue(), "a slow run must not look like a recovery")
					}
				}
				estimator.Done(runOf(job, 0), at(until))
				return until
			}
			now := 0
			for job := range 3 {
				now = run(job, now, slow)
				// The evidence that a new estimator starts with must have decayed.
				expect.Expect(job == 0 || estimator.Assessment().NeedsProbes()).To(BeTrue(), "a slow run must not look like a recovery")
			}
			run(9, now+500, 1)
			expect.Expect(estimator.Assessment().NeedsProbes()).To(BeFalse(), "slow %g, %s", slow, reported)
		}
	}
}

// Probes that improve the assessment must follow each other without a pause. Otherwise a worker that
// needs four successful probes is avoided for seconds after its recovery.
func TestProbesThatImproveTheAssessmentFollowWithoutPause(test *testing.T) {
	expect := NewWithT(test)
	turns := ptfitness.NewProbeTurns()
	entries := []ptid.EntryName{"a"}
	turns.Observe(ptfitness.Assessment{Slowdown: 1, FailureRate: 0.9, MeasuredAt: at(0)})
	for _, check := range []struct {
		millis      int
		failureRate float64
		turn        bool
	}{{0, 0.9, true}, {25, 0.9, false}, {50, 0.63, true}, {75, 0.63, false}, {100, 0.44, true}, {125, 0.5, false}} {
		turns.Observe(ptfitness.Assessment{Slowdown: 1, FailureRate: check.failureRate, MeasuredAt: at(check.millis)})
		_, changed := turns.Next(true, true, entries, at(check.millis))
		expect.Expect(changed).To(Equal(check.turn), "%d ms", check.millis)
		turns.Probed()
	}
}

func TestOutOfRangeAssessmentsAreNotKnown(test *testing.T) {
	expect := NewWithT(test)
	assessment := ptfitness.NewAssessment(2, 0.5, time.Second, at(2000))
	expect.Expect(assessment).To(Equal(ptfitness.Assessment{Slowdown: 2, FailureRate: 0.5, MeasuredAt: at(1000)}))
	for _, slowdown := range []float64{0, -1, 1e9, math.Inf(1), math.NaN()} {
		expect.Expect(ptfitness.NewAssessment(slowdown, 0, 0, at(0)).Known()).To(BeFalse())
	}
	for _, failureRate := range []float64{-1, 2, math.Inf(1), math.NaN()} {
		expect.Expect(ptfitness.NewAssessment(1, failureRate, 0, at(0)).Known()).To(BeFalse())
	}
	expect.Expect(ptfitness.NewAssessment(1, 0, -1, at(0)).Known()).To(BeFalse())
	expect.Expect(ptfitness.NewAssessment(1, 0, math.MaxInt64, at(0)).Known()).To(BeFalse())
}

func TestQuarantineEndsWellBelowTheThreshold(test *testing.T) {
	healthy := ptfitness.Assessment{Slowdown: 1, MeasuredAt: 1}
	selected := func(worker ptfitness.Assessment, before bool) bool {
		return ptfitness.SelectQuarantined([]ptfitness.Assessment{worker, healthy, healthy, healthy}, []bool{before, false, false, false})[0]
	}
	for _, check := range []struct {
		slowdown, failureRate float64
		begins, goesOn        bool
	}{
		{slowdown: 1, begins: false, goesOn: false}, {slowdown: 1.7, begins: false, goesOn: false}, {slowdown: 1.8, begins: false, goesOn: true},
		{slowdown: 2.6, begins: true, goesOn: true}, {slowdown: 1, failureRate: 0.2, begins: false, goesOn: false},
		{slowdown: 1, failureRate: 0.3, begins: false, goesOn: true}, {slowdown: 1, failureRate: 0.4, begins: true, goesOn: true},
	} {
		worker := ptfitness.Assessment{Slowdown: check.slowdown, FailureRate: check.failureRate, MeasuredAt: 1}
		NewWithT(test).Expect(selected(worker, false)).To(Equal(check.begins), "%+v", check)
		NewWithT(test).Expect(selected(worker, true)).To(Equal(check.goesOn), "%+v", check)
	}
}

func TestNoWorkerIsQuarantinedWithoutProbes(test *testing.T) {
	fast := ptfitness.Assessment{Slowdown: 0.4, MeasuredAt: 1}
	worker := ptfitness.Assessment{Slowdown: 1.2, MeasuredAt: 1}
	NewWithT(test).Expect(worker.NeedsProbes()).To(BeFalse())
	suspect := ptfitness.Assessment{Slowdown: 9, MeasuredAt: 1}
	quarantined := ptfitness.SelectQuarantined([]ptfitness.Assessment{worker, suspect, fast, fast, fast}, make([]bool, 5))
	NewWithT(test).Expect(quarantined).To(Equal([]bool{false, true, false, false, false}))
}
