package ptroom

import (
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// measure takes what the end of a run tells of the worker.
func (core *Core) measure(end ptrun.End, now ptid.Instant) {
	switch end.Result {
	case ptrun.Done:
		core.gauge.Done(end.Run, now)
	case ptrun.Failed:
		core.gauge.Failed(end.Run, now)
	case ptrun.Stopped, ptrun.Lost, ptrun.NeverStarted:
		core.gauge.Dropped(end.Run)
	}
	core.grade()
}

// grade tells all entries where the worker looks better or worse than before: a worker that
// fails everything at once looks empty, and gets dozens of runs in a few milliseconds.
func (core *Core) grade() {
	word := core.gauge.Assessment()
	if grade := word.Severity(); grade != core.graded {
		core.graded = grade
		core.emit(AssessmentChanged{Assessment: word})
	}
}

// giveTurn gives one entry the turn to try a worker that looks bad.
func (core *Core) giveTurn(now ptid.Instant) {
	core.grade()
	word := core.gauge.Assessment()
	var entries []ptid.EntryName
	if word.Suspect() {
		for name, owner := range core.owners {
			if owner.connected {
				entries = append(entries, name)
			}
		}
	}
	if holder, changed := core.turns.Next(word.Suspect(), len(core.runs) == 0, entries, now); changed {
		core.emit(SendReport{Owner: Owner{Entry: holder, Incarnation: core.owners[holder].incarnation}})
	}
}
