package ptruncontrol

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// LostRun is a run that was active on a worker when the worker fell silent.
type LostRun struct {
	Run ptrun.ID
	// RunTime is how long the run had been active by then.
	RunTime time.Duration
}

// WorkerCrashed reports that an incarnation of the worker has ended without announcing it, while runs
// were active on it. Runs are sorted by run time, the latest start first.
type WorkerCrashed struct {
	Worker, Next ptrun.WorkerIdentity
	Runs         []LostRun
}

// WorkerResumed reports that a worker responds again after its runs were declared lost. It has not
// crashed.
type WorkerResumed struct {
	Worker ptrun.WorkerIdentity
	Lost   int
}

func (WorkerCrashed) isEffect() {}
func (WorkerResumed) isEffect() {}

// activeTime returns how long a run was active: until now, or until the worker fell silent.
func (core *Core) activeTime(run *run, now ptid.Instant) time.Duration {
	if core.silentFrom != 0 {
		now = min(now, core.silentFrom)
	}
	return max(0, now.Sub(run.startedAt))
}

// reportCrash reports the runs that were active on the previous incarnation of the worker, unless it
// had announced its end.
func (core *Core) reportCrash(next ptrun.WorkerIdentity, now ptid.Instant) {
	lost := core.lost
	core.lost = nil
	for _, run := range core.runs {
		if run.holdsCapacity() {
			lost = append(lost, LostRun{Run: run.Run, RunTime: core.activeTime(run, now)})
		}
	}
	if len(lost) == 0 || core.worker.Draining {
		return
	}
	slices.SortFunc(lost, func(left, right LostRun) int {
		return cmp.Or(cmp.Compare(left.RunTime, right.RunTime), ptrun.Compare(left.Run, right.Run))
	})
	core.emit(WorkerCrashed{Worker: core.worker.WorkerIdentity, Next: next, Runs: lost})
}

// reportResumed reports that the runs that were declared lost with the lease were not lost in a crash.
func (core *Core) reportResumed() {
	if len(core.lost) > 0 {
		core.emit(WorkerResumed{Worker: core.worker.WorkerIdentity, Lost: len(core.lost)})
		core.lost = nil
	}
}
