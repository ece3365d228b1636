package ptruncontrol

import (
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// recordOutcome updates the health assessment of the worker with the end of a run.
func (core *Core) recordOutcome(end ptrun.End, now ptid.Instant) {
	switch end.Result {
	case ptrun.Done:
		core.estimator.Done(end.Run, now)
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
