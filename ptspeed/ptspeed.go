// Package ptspeed learns how fast a worker is by nature, apart from the run times of the queues
// whose tasks it runs. It has no I/O.
//
// # How it works
//
// The model is: run time = run time of the queue on a worker of speed 1 / speed of the worker, in
// logarithms.
//
//  1. The agent beside a worker measures. Each start order names its queue and carries the run time
//     that the entry expects on a worker of speed 1. Each run that is done is one observation
//     ([Estimator.Observe]).
//  2. The estimate of each queue is a Huber estimate of location: an observation moves it by no
//     more than maxDeviation, divided by the number of runs. Runs that take seven times as long as
//     usual thus count little more than runs that take twice as long. The speed is the mean of the
//     queues, so that a queue with many runs and a wrong expected run time does not decide alone.
//  3. Several consecutive runs that are clearly faster reduce the weight of earlier ones: the worker was
//     slow for a while.
//  4. Old runs are forgotten after about maxRuns newer ones, and all runs with the incarnation of
//     the worker.
//  5. The entries agree on speed 1 without a message: it is the geometric mean of the speeds of
//     all workers of the service ([Unit]). An entry divides the reported speeds by it.
//
// # Why the estimates don't drift
//
// Agents learn speeds from the run times that entries expect, and entries learn expected run times
// from the run times and speeds that agents report. If an entry's run times are too long by a
// factor, all agents report speeds that are too high by the same factor, which the division by the
// geometric mean removes. What remains is the measured run time on a worker of average speed. There
// is no loop in which an error feeds itself.
//
// # Usage
//
//	estimator := ptspeed.NewEstimator()
//	estimator.Observe("check", 60*time.Millisecond, 75*time.Millisecond)
//	report := estimator.Report()
//
// # Limits
//
// Nothing here is safe for concurrent use.
package ptspeed

import (
	"math"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// maxDeviation bounds, in logarithms, how far an observation may lie from the estimate before it
	// is cut. Run times of healthy runs deviate from the expected ones by 0.32 (standard deviation).
	// With 3 % of runs that take seven times as long, the bias is 2 %.
	maxDeviation = 0.6
	// priorRuns is the weight of the initial speed of 1, as a number of runs.
	priorRuns = 3
	// maxRuns is the number of runs after which older ones are forgotten: some seconds on a busy
	// worker. The standard error of an estimate is then 0.32/sqrt(100), since an estimate with a
	// constant gain of 1/maxRuns averages over twice as many runs.
	maxRuns = 50
	// If changeRuns consecutive runs of a queue are faster than estimated by more than changeDeviation, the worker
	// was slow for a while when it was measured. The estimate then counts as one of changedRuns runs and follows
	// quickly, because a worker that is taken for slow gets few runs. In the other direction, the worker may be
	// slow for a while.
	changeRuns      = 4
	changeDeviation = 0.4
	changedRuns     = 3
	// maxQueues bounds the number of queues that are told apart. Runs of further queues share one
	// estimate.
	maxQueues = 16
	// minRunTime is the least expected run time that counts. The time for the start and the report of
	// the end, about a millisecond, is part of the measured run time.
	minRunTime = 10 * time.Millisecond
	// Speeds are reported between minSpeed and maxSpeed. Workers that are slower are slow for a
	// reason that package ptfitness looks after.
	minSpeed, maxSpeed = 0.3, 3.0
	// reliableRuns is the number of runs after which a reported speed counts in full.
	reliableRuns = 10
	// loggedDifference is the difference of the logarithms of two speeds from which on they differ
	// clearly: four standard deviations of an estimate of 40 runs.
	loggedDifference = 0.2
)

// Report is the speed of a worker as its agent reports it.
type Report struct {
	// Speed is the speed relative to the speed 1 of the expected run times. Weight is the number of runs
	// behind it. Both are zero if no run was measured.
	Speed, Weight float64
}

// NewReport returns the report that a message contains. If a value is out of range, it returns a
// report of no runs.
func NewReport(speed, weight float64) (report Report) {
	if !(speed >= minSpeed && speed <= maxSpeed && weight > 0 && !math.IsInf(weight, 1)) {
		return Report{}
	}
	return Report{Speed: speed, Weight: weight}
}

// Log returns the logarithm of the speed, drawn towards zero while few runs are behind it.
func (report Report) Log() float64 {
	if report.Weight <= 0 {
		return 0
	}
	return math.Log(report.Speed) * min(1, report.Weight/reliableRuns)
}

// DiffersFrom reports whether the speed is reliable and differs clearly from an earlier one.
func (report Report) DiffersFrom(earlier Report) bool {
	return report.Weight >= reliableRuns && math.Abs(report.Log()-earlier.Log()) > loggedDifference
}

// Unit returns the speed that counts as speed 1: the geometric mean of the speeds of all workers of
// a service; 1 if none is known.
func Unit(reports []Report) float64 {
	sum, known := 0.0, 0
	for _, report := range reports {
		if report.Weight > 0 {
			sum += report.Log()
			known++
		}
	}
	if known == 0 {
		return 1
	}
	return math.Exp(sum / float64(known))
}

// Relative returns the speed of a worker relative to a unit; 1 if it is not known.
func (report Report) Relative(unit float64) float64 {
	if report.Weight <= 0 {
		return 1
	}
	return min(maxSpeed, max(minSpeed, math.Exp(report.Log())/unit))
}

// location is the estimate of one queue. faster counts the consecutive runs that were clearly faster.
type location struct {
	log, runs float64
	faster    int
}

// countDeviation reduces the weight of the estimate if the worker has become faster.
func (estimate *location) countDeviation(deviation float64) {
	estimate.faster++
	if deviation <= changeDeviation {
		estimate.faster = 0
	}
	if estimate.faster >= changeRuns {
		estimate.runs, estimate.faster = min(estimate.runs, changedRuns), 0
	}
}

// Estimator measures the speed of one worker.
type Estimator struct {
	queues map[ptid.ProfileName]*location
}

// NewEstimator returns an estimator for a worker of which no run was measured.
func NewEstimator() *Estimator { return &Estimator{queues: make(map[ptid.ProfileName]*location)} }

// Observe records that a run of a queue was done in runTime. expected is its run time on a worker of
// speed 1; zero means unknown.
func (estimator *Estimator) Observe(queue ptid.ProfileName, expected, runTime time.Duration) {
	if queue == "" || expected < minRunTime || runTime <= 0 {
		return
	}
	estimate := estimator.queues[queue]
	if estimate == nil {
		if len(estimator.queues) >= maxQueues {
			queue = ""
			estimate = estimator.queues[queue]
		}
		if estimate == nil {
			estimate = &location{}
			estimator.queues[queue] = estimate
		}
	}
	deviation := math.Log(expected.Seconds()/runTime.Seconds()) - estimate.log
	estimate.countDeviation(deviation)
	estimate.runs = min(estimate.runs+1, maxRuns)
	estimate.log += min(maxDeviation, max(-maxDeviation, deviation)) / (estimate.runs + priorRuns)
}

// Report returns the current estimate.
func (estimator *Estimator) Report() (report Report) {
	sum := 0.0
	for _, estimate := range estimator.queues {
		sum += estimate.log * estimate.runs
		report.Weight += estimate.runs
	}
	if report.Weight == 0 {
		return Report{}
	}
	report.Speed = min(maxSpeed, max(minSpeed, math.Exp(sum/report.Weight)))
	return report
}
