package ptassign

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// streakLimit is how many failures of different jobs in a row isolate a worker.
	streakLimit = 3
	// firstIsolation is the first time without work; it doubles up to longestIsolation.
	firstIsolation   = time.Second
	longestIsolation = 8 * time.Second
	// paceRate is the weight of the newest run in a worker's pace.
	paceRate = 0.1
	// slowPace is the pace from which a worker gets single probes only: its tasks miss
	// an objective of 1.6 times their work.
	slowPace = 2.5
	// hangFactor and hangFloor say when a run counts as late beyond doubt.
	hangFactor = 3
	hangFloor  = 100 * time.Millisecond
	// mostPatience bounds how often the patience with a task doubles.
	mostPatience = 10
	// hangRuns is how many late runs without any end in between make a worker hang.
	hangRuns = 2
)

// fitness is what one entry has learned of a worker.
type fitness struct {
	// pace is the average of run times over the expected ones.
	pace      float64
	streak    int
	lastFail  ptid.JobID
	lastEndAt ptid.Instant
	isolation time.Duration
	until     ptid.Instant
	probing   bool
}

func newFitness() fitness { return fitness{pace: 1, isolation: firstIsolation} }

// admits reports whether the worker may get a task beside those that it has.
func (fitness *fitness) admits(runs int, now ptid.Instant) bool {
	if now < fitness.until {
		return false
	}
	if fitness.until > 0 || fitness.pace > slowPace {
		return runs == 0 && !fitness.probing
	}
	return true
}

func (fitness *fitness) placed() {
	if fitness.until > 0 {
		fitness.probing = true
	}
}

func (fitness *fitness) returned() { fitness.probing = false }

func (fitness *fitness) done(ratio float64, now ptid.Instant) {
	fitness.pace += paceRate * (min(ratio, 10) - fitness.pace)
	fitness.streak, fitness.lastEndAt, fitness.probing = 0, now, false
	fitness.until, fitness.isolation = 0, firstIsolation
}

// failed counts a failure. Failures of one job in a row count once: the fault may be
// the job's.
func (fitness *fitness) failed(job ptid.JobID, now ptid.Instant) {
	fitness.lastEndAt = now
	if job != fitness.lastFail || fitness.probing {
		fitness.streak++
	}
	fitness.lastFail = job
	if fitness.streak >= streakLimit || fitness.probing {
		fitness.isolate(now)
	}
}

func (fitness *fitness) isolate(now ptid.Instant) {
	fitness.probing, fitness.streak = false, 0
	fitness.until = now.Add(fitness.isolation)
	fitness.isolation = min(2*fitness.isolation, longestIsolation)
}

// watch isolates a worker on which tasks stand still, and stops these.
func (core *Core) watch(known *agent, now ptid.Instant) {
	late := 0
	for _, run := range known.runs {
		if !run.stopped && !run.task.Step.Endless && run.at > known.fitness.lastEndAt && isLate(run, now) {
			late++
		}
	}
	if late < hangRuns && (late == 0 || !known.fitness.probing) {
		return
	}
	known.fitness.isolate(now)
	for _, id := range sortedRuns(known.runs) {
		if run := known.runs[id]; !run.stopped && !run.task.Step.Endless && isLate(run, now) {
			run.task.Overdue++
			core.stop(known, id, run, ptrun.ReasonUnanswered)
		}
	}
}

func isLate(run *sent, now ptid.Instant) bool {
	patience := hangFactor*run.expected + hangFloor
	return now.Sub(run.at) > patience<<min(run.task.Overdue, mostPatience)
}
