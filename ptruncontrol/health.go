package ptruncontrol

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptspeed"
)

// health is what the agent has measured of the current incarnation of its worker.
type health struct {
	// estimator assesses the health of the worker from the runs of all entries. probeTurns
	// assigns the turn to probe a suspect worker. reported is the assessment that was last sent to
	// all entries because it had changed.
	estimator  *ptfitness.Estimator
	probeTurns *ptfitness.ProbeTurns
	reported   ptfitness.Assessment
	// speed estimates how fast the worker is by nature. suspectAt is when the worker was last slow
	// beyond that; runs that were active then don't count for the speed.
	speed *ptspeed.Estimator
	// loggedSpeed is the speed that was reported last by SpeedChanged.
	// straggledAt is when a straggler was stopped last.
	suspectAt   ptid.Instant
	straggledAt ptid.Instant
	loggedSpeed ptspeed.Report
}

// SpeedChanged reports that the speed of the worker differs clearly from the one reported before.
type SpeedChanged struct{ Speed ptspeed.Report }

func (SpeedChanged) isEffect() {}

// Speed returns the speed of the worker relative to the expected run times of the orders.
func (core *Core) Speed() ptspeed.Report { return core.speed.Report() }

func newHealth() health {
	return health{estimator: ptfitness.NewEstimator(), probeTurns: ptfitness.NewProbeTurns(), speed: ptspeed.NewEstimator()}
}

// forgetWorker discards what was measured of the previous incarnation of the worker.
func (health *health) forgetWorker() {
	reported := health.reported
	*health = newHealth()
	health.reported = reported
}

// maxOrdinarySeverity is the highest severity of a worker whose runs count for its speed. A worker
// that the entries may quarantine is slow for another reason.
const maxOrdinarySeverity = 1

// expectedHere returns how long a run should take on this worker; zero if that is unknown.
func (core *Core) expectedHere(run *run) time.Duration {
	if run.Queue == "" {
		return run.ExpectedRunTime
	}
	return time.Duration(float64(run.ExpectedRunTime) / core.speed.Report().Relative(1))
}

// observeSpeed updates the speed of the worker with a run that was done.
func (core *Core) observeSpeed(run *run, runTime time.Duration, now ptid.Instant) {
	if core.estimator.Assessment().Severity() > maxOrdinarySeverity {
		core.suspectAt = now
		return
	}
	if run != nil && run.startedAt > core.suspectAt && run.Checkpoint == "" {
		core.speed.Observe(run.Queue, run.ExpectedRunTime, runTime)
		if report := core.speed.Report(); report.DiffersFrom(core.loggedSpeed) {
			core.loggedSpeed = report
			core.emit(SpeedChanged{Speed: report})
		}
	}
}

// recordOutcome updates the health assessment of the worker with the end of a run.
func (core *Core) recordOutcome(end ptrun.End, now ptid.Instant) {
	switch end.Result {
	case ptrun.Done:
		core.estimator.Done(end.Run, now)
		core.observeSpeed(core.runs[end.Run], end.RunTime, now)
	case ptrun.Failed:
		core.estimator.Failed(end.Run, now)
	case ptrun.Stopped, ptrun.Lost, ptrun.NeverStarted:
		core.estimator.Dropped(end.Run)
	}
	core.reportSeverity()
}

// reportSeverity notifies all entries when the severity of the worker's health assessment
// changes, or whether the worker needs probes. Entries must learn of it at once: a worker on which every run fails immediately
// looks idle, and receives dozens of runs within a few milliseconds. An idle worker that no longer
// needs probes sends no other frame soon, and would stay in quarantine without a probe turn.
func (core *Core) reportSeverity() {
	assessment := core.estimator.Assessment()
	if assessment.Severity() != core.reported.Severity() || assessment.NeedsProbes() != core.reported.NeedsProbes() {
		core.reported = assessment
		core.emit(AssessmentChanged{Assessment: assessment})
	}
}

// assignProbeTurn permits one entry at a time to place a probe run on a worker that may be in
// quarantine.
func (core *Core) assignProbeTurn(now ptid.Instant) {
	core.reportSeverity()
	assessment := core.estimator.Assessment()
	core.probeTurns.Observe(assessment)
	var entries []ptid.EntryName
	if assessment.NeedsProbes() {
		for name, owner := range core.owners {
			if owner.connected {
				entries = append(entries, name)
			}
		}
	}
	if holder, changed := core.probeTurns.Next(assessment.NeedsProbes(), len(core.runs) == 0, entries, now); changed {
		core.emit(SendReport{Owner: Owner{Entry: holder, Incarnation: core.owners[holder].incarnation}})
	}
}
