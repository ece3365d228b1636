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
	// soundPace is the most that a sound worker may look like.
	soundPace = 1.5
)

func at(millis int) ptid.Instant { return start.Add(time.Duration(millis) * time.Millisecond) }

func runOf(job, index int) ptrun.ID {
	return ptrun.ID{Task: ptrun.TaskID{Job: ptid.JobID(fmt.Sprintf("%016x", job)), Index: ptid.TaskIndex(index)}, Number: 1}
}

// percent is how much of a run is done after a time on a worker that is so slow.
func percent(millis int, slowness float64) int {
	return int(float64(millis) / slowness / float64(expected.Milliseconds()) * 100)
}

// The load: a worker with six runs turns five times slower. It shows within 200 ms, before
// any of them ends, and is gone soon after the worker is sound again.
func TestASlowWorkerShowsBeforeItsRunsEnd(test *testing.T) {
	expect := NewWithT(test)
	gauge := ptfitness.NewEstimator()
	for run := range 6 {
		gauge.Started(runOf(run, 0), expected, false, at(0))
	}
	for millis := 50; millis <= 200; millis += 50 {
		for run := range 6 {
			gauge.Progressed(runOf(run, 0), percent(millis, 5), at(millis))
		}
	}
	expect.Expect(gauge.Assessment().Slowdown).To(BeNumerically(">", 3))
	expect.Expect(gauge.Assessment().MeasuredAt).To(Equal(at(200)))
	for run := range 6 {
		gauge.Dropped(runOf(run, 0))
	}
	for millis := 1000; millis < 2000; millis += 200 {
		gauge.Started(runOf(millis, 0), expected, false, at(millis))
		gauge.Done(runOf(millis, 0), at(millis+200))
	}
	expect.Expect(gauge.Assessment().Slowdown).To(BeNumerically("<", soundPace))
}

func TestAWorkerOnWhichRunsStandStillLooksEverSlower(test *testing.T) {
	expect := NewWithT(test)
	gauge := ptfitness.NewEstimator()
	gauge.Started(runOf(1, 0), expected, false, at(0))
	before := gauge.Assessment().Slowdown
	for millis := 100; millis <= 1000; millis += 100 {
		gauge.Progressed(runOf(1, 0), 0, at(millis))
		expect.Expect(gauge.Assessment().Slowdown).To(BeNumerically(">", before))
		before = gauge.Assessment().Slowdown
	}
	expect.Expect(before).To(BeNumerically(">", 5))
}

// Run times differ from what is expected by as much as on the users' days.
func TestASoundWorkerLooksSound(test *testing.T) {
	expect := NewWithT(test)
	random := rand.New(rand.NewPCG(1, 1))
	gauge := ptfitness.NewEstimator()
	worst := 0.0
	for job := range 2000 {
		now := at(job * 30)
		gauge.Started(runOf(job, 0), expected, false, now)
		took := time.Duration(float64(expected) * (0.5 + random.Float64()))
		gauge.Progressed(runOf(job, 0), 40, now.Add(2*took/5))
		gauge.Done(runOf(job, 0), now.Add(took))
		worst = max(worst, gauge.Assessment().Slowdown)
	}
	expect.Expect(worst).To(BeNumerically("<", soundPace))
}

func TestRunsThatTellNothingAreLeftOut(test *testing.T) {
	expect := NewWithT(test)
	gauge := ptfitness.NewEstimator()
	gauge.Started(runOf(1, 0), 0, false, at(0))
	gauge.Progressed(runOf(1, 0), 0, at(5000))
	// A resumed run begins with what an earlier one has done.
	gauge.Started(runOf(2, 0), expected, true, at(0))
	gauge.Progressed(runOf(2, 0), 90, at(1))
	expect.Expect(gauge.Assessment().Known()).To(BeFalse())
	gauge.Progressed(runOf(2, 0), 95, at(11))
	expect.Expect(gauge.Assessment().Slowdown).To(BeNumerically("~", 1, 0.05))
}

func TestThreeFailuresOfDifferentJobsAreEnough(test *testing.T) {
	expect := NewWithT(test)
	gauge := ptfitness.NewEstimator()
	for index := range 20 {
		gauge.Failed(runOf(1, index), at(index))
	}
	expect.Expect(gauge.Assessment().Suspect()).To(BeFalse(), "the fault may be the job's")
	sound := ptfitness.Assessment{Slowdown: 1, MeasuredAt: at(0)}
	aside := func() []bool {
		return ptfitness.SelectQuarantined([]ptfitness.Assessment{gauge.Assessment(), sound, sound, sound})
	}
	gauge.Failed(runOf(2, 0), at(30))
	gauge.Failed(runOf(3, 0), at(40))
	expect.Expect(aside()).To(Equal([]bool{true, false, false, false}))
	for job := range 20 {
		gauge.Failed(runOf(10+job, 0), at(50+job))
	}
	for job := range 3 {
		expect.Expect(aside()).To(Equal([]bool{true, false, false, false}))
		gauge.Done(runOf(40+job, 0), at(80+job))
	}
	expect.Expect(aside()).To(Equal([]bool{false, false, false, false}))
}

func TestWordsAreWeighedAgainstEachOther(test *testing.T) {
	word := func(pace, failing float64) ptfitness.Assessment {
		return ptfitness.Assessment{Slowdown: pace, FailureRate: failing, MeasuredAt: at(0)}
	}
	repeat := func(word ptfitness.Assessment, count int) (words []ptfitness.Assessment) {
		for range count {
			words = append(words, word)
		}
		return words
	}
	count := func(aside []bool) (number int) {
		for _, is := range aside {
			if is {
				number++
			}
		}
		return number
	}
	for name, check := range map[string]struct {
		words []ptfitness.Assessment
		aside int
	}{
		"a slow one":                   {append(repeat(word(1, 0), 9), word(4, 0)), 1},
		"a failing one":                {append(repeat(word(1, 0.05), 9), word(1, 0.9)), 1},
		"all slow, by load or by jobs": {repeat(word(4, 0), 10), 0},
		"hopeless jobs everywhere":     {repeat(word(1, 0.5), 10), 0},
		"false words of most":          {append(repeat(word(1, 0), 3), repeat(word(20, 1), 7)...), 0},
		"false words of nearly half":   {append(repeat(word(1, 0), 6), repeat(word(20, 1), 4)...), 4},
		"one worker alone":             {repeat(word(20, 1), 1), 0},
		"one of two":                   {[]ptfitness.Assessment{word(1, 0), word(9, 1)}, 0},
		"none":                         {nil, 0},
	} {
		test.Run(name, func(test *testing.T) {
			expect := NewWithT(test)
			expect.Expect(count(ptfitness.SelectQuarantined(check.words))).To(Equal(check.aside))
		})
	}
}

func TestTurnsGoRoundOneAtATimeAndGrowRare(test *testing.T) {
	expect := NewWithT(test)
	turns := ptfitness.NewProbeTurns()
	entries := func() []ptid.EntryName { return []ptid.EntryName{"c", "a", "b"} }
	got := map[ptid.EntryName]int{}
	given := 0
	for millis := 0; millis < 20_000; millis += 25 {
		holder, changed := turns.Next(true, true, entries(), at(millis))
		if changed {
			got[holder]++
			given++
			expect.Expect(turns.Holder()).To(Equal(holder))
			turns.Probed()
			expect.Expect(turns.Holder()).To(BeEmpty())
		}
	}
	// Every two seconds in the end.
	expect.Expect(given).To(BeNumerically("<=", 13))
	for _, name := range entries() {
		expect.Expect(got[name]).To(BeNumerically(">=", given/3))
	}
	_, changed := turns.Next(false, true, entries(), at(30_000))
	expect.Expect(changed).To(BeFalse())
	expect.Expect(turns.Holder()).To(BeEmpty())
	// An entry that does not use its turn hands it on.
	first, _ := turns.Next(true, true, entries(), at(30_025))
	second, changed := turns.Next(true, true, entries(), at(30_500))
	expect.Expect(changed).To(BeTrue())
	expect.Expect(second).NotTo(Equal(first))
}

func TestWordsThatMakeNoSenseAreNotKnown(test *testing.T) {
	expect := NewWithT(test)
	heard := ptfitness.NewAssessment(2, 0.5, time.Second, at(2000))
	expect.Expect(heard).To(Equal(ptfitness.Assessment{Slowdown: 2, FailureRate: 0.5, MeasuredAt: at(1000)}))
	for _, pace := range []float64{0, -1, 1e9, math.Inf(1), math.NaN()} {
		expect.Expect(ptfitness.NewAssessment(pace, 0, 0, at(0)).Known()).To(BeFalse())
	}
	for _, failing := range []float64{-1, 2, math.Inf(1), math.NaN()} {
		expect.Expect(ptfitness.NewAssessment(1, failing, 0, at(0)).Known()).To(BeFalse())
	}
	expect.Expect(ptfitness.NewAssessment(1, 0, -1, at(0)).Known()).To(BeFalse())
	expect.Expect(ptfitness.NewAssessment(1, 0, math.MaxInt64, at(0)).Known()).To(BeFalse())
}
