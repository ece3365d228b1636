// Package ptfitness assesses workers by the runs on them: how slow a worker is, and which
// share of its runs fails. It has no I/O.
//
// # How it works
//
// The package is made for deployments with many entries and some slow or failing workers. An
// entry sees only its own runs: with 35 entries, each entry would have to lose some runs on a
// slow or failing worker before it detects this worker. The agent beside a worker sees the
// runs of all entries.
//
//  1. An agent reports each run to the [Estimator] of its worker: the start with the run
//     time that the entry expects, the progress, and the end. The slowdown is the wall time
//     of the runs divided by the expected run time of the work that they did in this wall
//     time. A slow worker is thus detected before its runs end, and the slowdown of a worker
//     on which runs hang keeps growing.
//  2. Old evidence decays. Evidence of the slowdown decays with the wall time of runs that
//     is observed later. Evidence of the failure rate decays with the number of runs that
//     end later.
//  3. Consecutive failures of the same job count once, since the job may be the cause.
//  4. An [Assessment] is what an agent reports about its worker. Entries compare the
//     assessments of all workers of a service with [SelectQuarantined]. If all workers are
//     slow, or jobs that can't succeed fail on all workers, no worker is worse than the
//     others and none is quarantined. Even if most assessments are bad, half of the workers
//     stay in use, so that wrong assessments can't disable the whole service.
//  5. A quarantined worker gets one probe run at a time, from one entry at a time: its
//     agent assigns the [ProbeTurns]. While the probes don't improve the assessment, the
//     pause between two turns doubles.
//  6. A sharp rise of the progress of a probe replaces the evidence of a slow period (see
//     recovery.go), so that a recovered worker is used again after one probe.
//
// # Usage
//
//	estimator := ptfitness.NewEstimator()
//	estimator.Started(run, expected, false, now)
//	estimator.Progressed(run, 40, now)
//	estimator.Done(run, now)
//	assessment := estimator.Assessment()
//
//	quarantined := ptfitness.SelectQuarantined(assessments)
//
// # Limits
//
// Nothing here is safe for concurrent use.
package ptfitness

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// slowdownDecay is the time constant with which older evidence of the slowdown decays: after
	// this time a third of its weight is left. The time is the observed wall time summed over all
	// runs. A slow worker is thus detected within a tenth of a second if it has half a dozen
	// concurrent runs, and within a second if it has one run.
	slowdownDecay = 600 * time.Millisecond
	// priorWork is the initial value of both the wall time and the work of an estimator, so that
	// the slowdown is 1 before there is any evidence.
	priorWork = 300 * time.Millisecond
	// maxSlowdown bounds the slowdown of workers on which all runs hang.
	maxSlowdown = 20.0
	// A failed run multiplies the failure rate by failureDecay and adds 1-failureDecay; a
	// successful run multiplies it by successDecay. With these values, three consecutive
	// failures or three consecutive successes change the decision.
	failureDecay = 0.85
	successDecay = 0.7
	// A worker is quarantined if its slowdown is above slowdownThreshold times the median. At
	// this slowdown, tasks far exceed an objective of 1.6 times their expected run time.
	slowdownThreshold = 2.5
	// A worker is quarantined if its failure rate is above failureRateThreshold and above
	// failureRateFactor times the median.
	failureRateThreshold = 0.35
	failureRateFactor    = 3
	// releaseFactor is the share of the thresholds at which a quarantine ends. Hysteresis keeps the
	// quarantine from changing with each run on a worker near a threshold.
	releaseFactor = 0.7
	// maxQuarantinedShare bounds the share of a service's workers that are quarantined.
	maxQuarantinedShare = 0.5
)

// Assessment is what an agent reports about the performance of its worker.
type Assessment struct {
	// Slowdown is the wall time of the runs divided by the expected run time of the work that
	// they did in this wall time; 1 is a healthy worker.
	Slowdown float64
	// FailureRate is the share of the latest runs that failed.
	FailureRate float64
	// MeasuredAt is when the latest evidence was measured; zero if there is no evidence.
	MeasuredAt ptid.Instant
}

// NewAssessment returns the assessment that a message contains. If a value is out of range, it
// returns an assessment for which Known is false.
func NewAssessment(slowdown, failureRate float64, age time.Duration, now ptid.Instant) (assessment Assessment) {
	valid := slowdown > 0 && slowdown <= maxSlowdown && failureRate >= 0 && failureRate <= 1
	if !valid || age < 0 || age >= time.Duration(now) {
		return Assessment{}
	}
	return Assessment{Slowdown: slowdown, FailureRate: failureRate, MeasuredAt: now.Add(-age)}
}

// Known reports whether the assessment is based on evidence.
func (assessment Assessment) Known() bool { return assessment.MeasuredAt != 0 }

// Severity is how bad an assessment is; zero is a healthy worker. A change of severity is sent
// to every entry at once.
type Severity uint8

// severityBounds are the bounds between severities, in rising order: each bound that an
// assessment exceeds adds one to its severity. If the other workers are healthy, entries
// quarantine a worker whose assessment exceeds the second bound.
var severityBounds = []Assessment{{Slowdown: 2, FailureRate: 0.25}, {Slowdown: slowdownThreshold, FailureRate: failureRateThreshold}, {Slowdown: 2 * slowdownThreshold, FailureRate: 2 * failureRateThreshold}}

// Severity returns the number of severityBounds that the assessment exceeds.
func (assessment Assessment) Severity() (severity Severity) {
	for _, bound := range severityBounds {
		if assessment.Slowdown > bound.Slowdown || assessment.FailureRate > bound.FailureRate {
			severity++
		}
	}
	return severity
}

// Suspect reports whether the assessment is worse than that of a healthy worker.
func (assessment Assessment) Suspect() bool { return assessment.Severity() > 0 }

// NeedsProbes reports whether the worker may be in quarantine, and therefore needs probe runs.
func (assessment Assessment) NeedsProbes() bool {
	return assessment.Slowdown > releaseFactor*slowdownThreshold || assessment.FailureRate > releaseFactor*failureRateThreshold
}

// observedRun is a run as of its latest observation.
type observedRun struct {
	expected time.Duration
	// done is the completed fraction of the run at observedAt, from 0 to 1.
	done       float64
	observedAt ptid.Instant
	// resumed is true from the start of a run that resumes from a checkpoint until the first
	// progress of the run is recorded. This progress shows how much of the run was done before.
	resumed bool
	// recent is the latest observation that counts for the recent slowdown.
	recent recentObservation
}

// Estimator measures the slowdown and the failure rate of one worker.
type Estimator struct {
	runs map[ptrun.ID]*observedRun
	// wall is the sum of the observed wall times of runs. work is the expected run time of the
	// work that was done in this wall time. Both are in seconds and decay exponentially.
	wall, work float64
	// recent is the evidence that ends the memory of a slow period.
	recent        recentEvidence
	failureRate   float64
	lastFailedJob ptid.JobID
	measuredAt    ptid.Instant
}

// NewEstimator returns an estimator for a worker without evidence.
func NewEstimator() *Estimator {
	return &Estimator{runs: make(map[ptrun.ID]*observedRun), wall: priorWork.Seconds(), work: priorWork.Seconds()}
}

// Started records the start of a run. expected is zero for runs whose run time is unknown or
// unlimited; they don't count for the slowdown.
func (estimator *Estimator) Started(run ptrun.ID, expected time.Duration, resumed bool, now ptid.Instant) {
	if expected > 0 {
		estimator.runs[run] = &observedRun{expected: expected, observedAt: now, resumed: resumed, recent: recentObservation{at: now}}
	}
}

// Progressed records how much of a run is done, in percent.
func (estimator *Estimator) Progressed(run ptrun.ID, percent int, now ptid.Instant) {
	const whole = 100
	if percent >= whole {
		estimator.recordWithoutProgress(run, now)
		return
	}
	estimator.recordProgress(run, float64(percent)/whole, now)
	if percent > 0 {
		estimator.recordRecent(run, float64(percent)/whole, now)
	}
}

func (estimator *Estimator) recordProgress(id ptrun.ID, done float64, now ptid.Instant) {
	run := estimator.runs[id]
	if run == nil || now <= run.observedAt {
		return
	}
	if run.resumed {
		run.resumed, run.done, run.observedAt = false, done, now
		return
	}
	if done < run.done {
		// The progress comes from an older listing.
		return
	}
	wall, work := now.Sub(run.observedAt).Seconds(), (done-run.done)*run.expected.Seconds()
	run.done, run.observedAt = done, now
	decay := math.Exp(-wall / slowdownDecay.Seconds())
	estimator.wall, estimator.work = estimator.wall*decay+wall, estimator.work*decay+work
	estimator.measuredAt = now
}

// Done records the end of a run that succeeded.
func (estimator *Estimator) Done(run ptrun.ID, now ptid.Instant) {
	estimator.recordProgress(run, 1, now)
	estimator.recordRecent(run, 1, now)
	estimator.failureRate *= successDecay
	estimator.lastFailedJob, estimator.measuredAt = "", now
	estimator.Dropped(run)
}

// Failed records the end of a run that failed.
func (estimator *Estimator) Failed(run ptrun.ID, now ptid.Instant) {
	if run.Task.Job != estimator.lastFailedJob {
		estimator.failureRate = estimator.failureRate*failureDecay + 1 - failureDecay
	}
	estimator.lastFailedJob, estimator.measuredAt = run.Task.Job, now
	estimator.Dropped(run)
}

// Dropped records the end of a run that must not change the assessment of the worker.
func (estimator *Estimator) Dropped(run ptrun.ID) { delete(estimator.runs, run) }

// Assessment returns the current assessment of the worker.
func (estimator *Estimator) Assessment() Assessment {
	return Assessment{Slowdown: estimator.wall / max(estimator.work, estimator.wall/maxSlowdown), FailureRate: estimator.failureRate, MeasuredAt: estimator.measuredAt}
}

// SelectQuarantined returns, for each assessment, whether the assessed worker should be
// quarantined. before contains the workers that are quarantined now.
func SelectQuarantined(assessments []Assessment, before []bool) (quarantined []bool) {
	quarantined = make([]bool, len(assessments))
	if !slices.ContainsFunc(assessments, Assessment.Suspect) && !slices.Contains(before, true) {
		return quarantined
	}
	slowdown := max(median(assessments, func(assessment Assessment) float64 { return assessment.Slowdown }), 1/slowdownThreshold)
	failureRate := max(median(assessments, func(assessment Assessment) float64 { return assessment.FailureRate })*failureRateFactor, failureRateThreshold)
	badness := func(index int) float64 {
		return max(assessments[index].Slowdown/(slowdownThreshold*slowdown), assessments[index].FailureRate/failureRate)
	}
	order := make([]int, len(assessments))
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(left, right int) int { return cmp.Compare(badness(right), badness(left)) })
	for _, index := range order[:int(maxQuarantinedShare*float64(len(assessments)))] {
		threshold := 1.0
		if before[index] {
			threshold = releaseFactor
		}
		quarantined[index] = badness(index) > threshold && assessments[index].NeedsProbes()
	}
	return quarantined
}

func median(assessments []Assessment, value func(Assessment) float64) float64 {
	values := make([]float64, 0, len(assessments))
	for _, assessment := range assessments {
		values = append(values, value(assessment))
	}
	slices.Sort(values)
	return values[len(values)/2]
}
