package ptspeed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptspeed"
)

// stragglerShare of the runs take stragglerFactor times as long. Run times and expected run times deviate
// as in the load of docs/design/13-hard-load.md.
const (
	stragglerShare  = 0.03
	stragglerFactor = 7
	deviation       = 0.32
)

func drawRunTime(random *rand.Rand, seconds, speed float64) time.Duration {
	seconds *= math.Exp(random.NormFloat64()*deviation) / speed
	if random.Float64() < stragglerShare {
		seconds *= stragglerFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

// A mean of the run times would make the speeds 15 % too low with these stragglers.
func TestSpeedIsLearnedDespiteStragglers(test *testing.T) {
	for _, speed := range []float64{0.55, 0.8, 1, 1.25} {
		expect := NewWithT(test)
		mean := 0.0
		const workers = 40
		for seed := range uint64(workers) {
			random := rand.New(rand.NewPCG(seed, 1))
			estimator := ptspeed.NewEstimator()
			for range 60 {
				estimator.Observe("check", 60*time.Millisecond, drawRunTime(random, 0.06, speed))
				estimator.Observe("hold", 200*time.Millisecond, drawRunTime(random, 0.2, speed))
			}
			report := estimator.Report()
			expect.Expect(report.Speed).To(BeNumerically("~", speed, 0.2*speed), "speed %g, seed %d", speed, seed)
			mean += report.Speed / workers
		}
		expect.Expect(mean).To(BeNumerically("~", speed, 0.05*speed))
	}
}

// A queue whose expected run time is wrong must not decide alone, however many runs it has.
func TestQueueWithManyRunsDoesNotDecideAlone(test *testing.T) {
	estimator := ptspeed.NewEstimator()
	for run := range 2000 {
		estimator.Observe("wrong", 20*time.Millisecond, 30*time.Millisecond)
		if run%20 == 0 {
			estimator.Observe("right", 20*time.Millisecond, 20*time.Millisecond)
		}
	}
	NewWithT(test).Expect(estimator.Report().Speed).To(BeNumerically(">", 0.8))
}

// Entries and agents learn from each other. Whatever the entries start with, their run times must reach
// the true ones on a worker of average speed, and stay there.
func TestRunTimesAndSpeedsDoNotDrift(test *testing.T) {
	const trueSeconds = 0.2
	speeds := []float64{0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2}
	unit := 1.0
	for _, speed := range speeds {
		unit *= math.Pow(speed, 1/float64(len(speeds)))
	}
	for _, initial := range []float64{0.05, trueSeconds, 0.8} {
		expect := NewWithT(test)
		random := rand.New(rand.NewPCG(5, 1))
		averages := []float64{initial, initial * 1.5, initial / 1.5}
		estimators := make([]*ptspeed.Estimator, len(speeds))
		for worker := range estimators {
			estimators[worker] = ptspeed.NewEstimator()
		}
		for run := range 60_000 {
			average, worker := &averages[run%len(averages)], random.IntN(len(speeds))
			runTime := drawRunTime(random, trueSeconds, speeds[worker])
			reports := make([]ptspeed.Report, len(speeds))
			for index, estimator := range estimators {
				reports[index] = estimator.Report()
			}
			normalized := runTime.Seconds() * reports[worker].Relative(ptspeed.Unit(reports))
			estimators[worker].Observe("queue", time.Duration(*average*float64(time.Second)), runTime)
			*average += 0.05 * (min(normalized, 2**average) - *average)
			if run < 5000 || run%1000 != 0 {
				continue
			}
			for _, average := range averages {
				// The expected value of a run time is 5 % above its median.
				expect.Expect(average).To(BeNumerically("~", trueSeconds/unit*1.05, 0.3*trueSeconds), "run %d from %g", run, initial)
			}
			for index, report := range reports {
				expect.Expect(report.Relative(ptspeed.Unit(reports))).To(BeNumerically("~", speeds[index]/unit, 0.25*speeds[index]), "run %d from %g", run, initial)
			}
		}
	}
}

// A worker that was slow when it was new must not count as slow for long: it gets few runs then.
func TestChangedSpeedIsLearnedWithinAFewRuns(test *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		estimator := ptspeed.NewEstimator()
		for range 200 {
			estimator.Observe("hold", 200*time.Millisecond, drawRunTime(random, 0.2, 0.4))
		}
		for range 25 {
			estimator.Observe("hold", 200*time.Millisecond, drawRunTime(random, 0.2, 1.2))
		}
		NewWithT(test).Expect(estimator.Report().Speed).To(BeNumerically(">", 0.75), "seed %d", seed)
	}
}

func TestUninformativeRunsAreIgnored(test *testing.T) {
	expect := NewWithT(test)
	estimator := ptspeed.NewEstimator()
	estimator.Observe("", time.Second, time.Second)
	estimator.Observe("queue", 0, time.Second)
	estimator.Observe("queue", time.Second, 0)
	estimator.Observe("queue", time.Millisecond, 2*time.Millisecond)
	expect.Expect(estimator.Report()).To(Equal(ptspeed.Report{}))
	expect.Expect(ptspeed.Report{}.Relative(2)).To(Equal(1.0))
	expect.Expect(ptspeed.Unit([]ptspeed.Report{{}, {}})).To(Equal(1.0))
}

func TestNumberOfQueuesIsBounded(test *testing.T) {
	estimator := ptspeed.NewEstimator()
	for index := range 1000 {
		estimator.Observe(ptid.ProfileName(rune('a'+index)), 100*time.Millisecond, 50*time.Millisecond)
	}
	report := estimator.Report()
	NewWithT(test).Expect(report.Weight).To(BeNumerically("<=", 17*50))
	NewWithT(test).Expect(report.Speed).To(BeNumerically(">", 1))
}

func TestOutOfRangeReportsAreOfNoRuns(test *testing.T) {
	expect := NewWithT(test)
	expect.Expect(ptspeed.NewReport(0.55, 12)).To(Equal(ptspeed.Report{Speed: 0.55, Weight: 12}))
	for _, report := range []ptspeed.Report{
		ptspeed.NewReport(0, 1), ptspeed.NewReport(-1, 1), ptspeed.NewReport(math.NaN(), 1), ptspeed.NewReport(math.Inf(1), 1), ptspeed.NewReport(1e9, 1),
		ptspeed.NewReport(1, 0), ptspeed.NewReport(1, -1), ptspeed.NewReport(1, math.NaN()), ptspeed.NewReport(1, math.Inf(1)),
	} {
		expect.Expect(report).To(Equal(ptspeed.Report{}))
	}
}
