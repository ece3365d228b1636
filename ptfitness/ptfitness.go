// Package ptfitness judges workers by the runs on them: how slow they are, and which
// share of their runs fails. It has no I/O.
//
// # How it works
//
// The load it answers is a deployment of many entries with some bad workers. An entry
// sees its own runs alone; with 35 entries, each has to lose some on every bad worker
// before it knows. The agent beside a worker sees all of them.
//
//  1. An agent tells its [Estimator] of each run: its start with the run time that its entry
//     expects, its progress, and its end. The pace is wall time over the expected run
//     time of the work that was done in it, so a slow worker shows before its runs end,
//     and a worker on which runs stand still looks slower all the while.
//  2. What is older counts less: for the pace by the time that runs have worked since,
//     for failures by the ends since.
//  3. Failures of one job in a row count once, since the fault may be the job's.
//  4. A [Assessment] is what an agent says of its worker. Entries weigh the words of a service
//     against each other with [SelectQuarantined]: where all workers are slow, or a wave of hopeless
//     jobs fails everywhere, none is worse than the others. However many look bad, half
//     of the workers stay in use: false words must not empty the fleet.
//  5. A worker that is set aside gets one run at a time, from one entry at a time: its
//     agent gives the [ProbeTurns]. While that brings no better word, the pause between
//     two turns doubles.
//
// # Usage
//
//	gauge := ptfitness.NewEstimator()
//	gauge.Started(run, expected, false, now)
//	gauge.Progressed(run, 40, now)
//	gauge.Done(run, now)
//	word := gauge.Word()
//
//	aside := ptfitness.SelectQuarantined(words)
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
	// paceMemory is the time of runs after which older evidence weighs a third: half a
	// dozen runs show a slow worker within a tenth of a second, one within a second.
	paceMemory = 600 * time.Millisecond
	// priorWork stands in for evidence of a sound worker at the start.
	priorWork = 300 * time.Millisecond
	// slowest bounds the pace, of workers on which all runs stand still.
	slowest = 20.0
	// failureKeep and successKeep are what is kept of the share of failures at a failure
	// and at a success: three failures in a row, or three successes, change the verdict.
	failureKeep = 0.85
	successKeep = 0.7
	// slowFactor is how much slower than the others a worker is set aside: its tasks miss an
	// objective of 1.6 times their work by far.
	slowFactor = 2.5
	// failingShare is the share of failures from which a worker is set aside, and
	// failingFactor how many times that of the others it must be.
	failingShare  = 0.35
	failingFactor = 3
	// asideShare bounds the part of the workers that are set aside.
	asideShare = 0.5
)

// Assessment is what an agent says of its worker.
type Assessment struct {
	// Slowdown is wall time over the expected run time of the work done; 1 is a sound worker.
	Slowdown float64
	// FailureRate is the share of the latest runs that failed.
	FailureRate float64
	// MeasuredAt is when the last evidence came; zero where there was none.
	MeasuredAt ptid.Instant
}

// NewAssessment returns the word that a message tells; one that makes no sense is not known.
func NewAssessment(pace, failing float64, age time.Duration, now ptid.Instant) (word Assessment) {
	sensible := pace > 0 && pace <= slowest && failing >= 0 && failing <= 1
	if !sensible || age < 0 || age >= time.Duration(now) {
		return Assessment{}
	}
	return Assessment{Slowdown: pace, FailureRate: failing, MeasuredAt: now.Add(-age)}
}

// Known reports whether the word rests on evidence.
func (word Assessment) Known() bool { return word.MeasuredAt != 0 }

// Severity is how bad a worker looks; every entry is to know of a change at once.
type Severity uint8

// grades are the words from which a worker looks worse by one grade. Entries set workers
// aside from the second on, where the others are sound.
var grades = []Assessment{{Slowdown: 2, FailureRate: 0.25}, {Slowdown: slowFactor, FailureRate: failingShare}, {Slowdown: 2 * slowFactor, FailureRate: 2 * failingShare}}

// Severity returns how bad the worker looks; zero is a sound one.
func (word Assessment) Severity() (grade Severity) {
	for _, bound := range grades {
		if word.Slowdown > bound.Slowdown || word.FailureRate > bound.FailureRate {
			grade++
		}
	}
	return grade
}

// Suspect reports whether the worker may be a bad one.
func (word Assessment) Suspect() bool { return word.Severity() > 0 }

// observed is a run as it was last seen.
type observed struct {
	expected time.Duration
	// done is the part of the run that was done at the instant.
	done float64
	at   ptid.Instant
	// resumed runs have started from a checkpoint; where is not known yet.
	resumed bool
}

// Estimator measures one worker.
type Estimator struct {
	runs map[ptrun.ID]*observed
	// wall and work are in seconds, weighed by age.
	wall, work float64
	failing    float64
	lastFailed ptid.JobID
	measuredAt ptid.Instant
}

// NewEstimator returns a gauge of a worker that nothing is known of.
func NewEstimator() *Estimator {
	return &Estimator{runs: make(map[ptrun.ID]*observed), wall: priorWork.Seconds(), work: priorWork.Seconds()}
}

// Started takes the start of a run. Runs that nobody expects to end say nothing of the pace.
func (gauge *Estimator) Started(run ptrun.ID, expected time.Duration, resumed bool, now ptid.Instant) {
	if expected > 0 {
		gauge.runs[run] = &observed{expected: expected, at: now, resumed: resumed}
	}
}

// Progressed takes how much of a run is done, in percent.
func (gauge *Estimator) Progressed(run ptrun.ID, percent int, now ptid.Instant) {
	const whole = 100
	gauge.progressed(run, float64(percent)/whole, now)
}

func (gauge *Estimator) progressed(id ptrun.ID, done float64, now ptid.Instant) {
	run := gauge.runs[id]
	if run == nil || now <= run.at {
		return
	}
	if run.resumed {
		run.resumed, run.done, run.at = false, done, now
		return
	}
	if done < run.done {
		// An older listing.
		return
	}
	wall, work := now.Sub(run.at).Seconds(), (done-run.done)*run.expected.Seconds()
	run.done, run.at = done, now
	keep := math.Exp(-wall / paceMemory.Seconds())
	gauge.wall, gauge.work = gauge.wall*keep+wall, gauge.work*keep+work
	gauge.measuredAt = now
}

// Done takes the end of a run that is done.
func (gauge *Estimator) Done(run ptrun.ID, now ptid.Instant) {
	gauge.progressed(run, 1, now)
	gauge.failing *= successKeep
	gauge.lastFailed, gauge.measuredAt = "", now
	gauge.Dropped(run)
}

// Failed takes the end of a run that failed.
func (gauge *Estimator) Failed(run ptrun.ID, now ptid.Instant) {
	if run.Task.Job != gauge.lastFailed {
		gauge.failing = gauge.failing*failureKeep + 1 - failureKeep
	}
	gauge.lastFailed, gauge.measuredAt = run.Task.Job, now
	gauge.Dropped(run)
}

// Dropped takes the end of a run that says nothing of the worker.
func (gauge *Estimator) Dropped(run ptrun.ID) { delete(gauge.runs, run) }

// Assessment returns what is known of the worker.
func (gauge *Estimator) Assessment() Assessment {
	return Assessment{Slowdown: gauge.wall / max(gauge.work, gauge.wall/slowest), FailureRate: gauge.failing, MeasuredAt: gauge.measuredAt}
}

// SelectQuarantined returns which of the workers with these words should get no ordinary work.
func SelectQuarantined(words []Assessment) (aside []bool) {
	aside = make([]bool, len(words))
	if !slices.ContainsFunc(words, Assessment.Suspect) {
		return aside
	}
	pace := max(median(words, func(word Assessment) float64 { return word.Slowdown }), 1/slowFactor)
	failing := max(median(words, func(word Assessment) float64 { return word.FailureRate })*failingFactor, failingShare)
	badness := func(index int) float64 {
		return max(words[index].Slowdown/(slowFactor*pace), words[index].FailureRate/failing)
	}
	order := make([]int, len(words))
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(left, right int) int { return cmp.Compare(badness(right), badness(left)) })
	for _, index := range order[:int(asideShare*float64(len(words)))] {
		aside[index] = badness(index) > 1
	}
	return aside
}

func median(words []Assessment, figure func(Assessment) float64) float64 {
	figures := make([]float64, 0, len(words))
	for _, word := range words {
		figures = append(figures, figure(word))
	}
	slices.Sort(figures)
	return figures[len(figures)/2]
}
