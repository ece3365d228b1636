package ptruncontrol

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// VerdictTimeout is how long after the expiry of the lease the agent waits for its worker, to know
	// whether an isolated run has crashed it. Workers are back some seconds after a crash.
	VerdictTimeout = 6 * time.Second
	// maxDrainTime is how long the other runs on the worker may go on before an isolated run starts. Its
	// owner repeats the order meanwhile.
	maxDrainTime = 4 * time.Second
	// reorderTime is how long no other run starts after the order of an isolated run has expired, so
	// that its owner can repeat the order.
	reorderTime = 50 * time.Millisecond
	// minLongRunTime is how long a run of unknown duration is active until it is expected to go on.
	minLongRunTime = 2 * time.Second
)

// isIsolating reports whether a run is active in isolation or waits for that, or its order may be
// repeated. No other run starts meanwhile.
func (core *Core) isIsolating() bool {
	if core.reorderBy != 0 {
		return true
	}
	for _, run := range core.runs {
		if run.isolated {
			return true
		}
	}
	return false
}

// mayIsolate reports whether the runs on the worker are expected to end so soon that an isolated run
// may wait for them.
func (core *Core) mayIsolate(now ptid.Instant) bool {
	for _, run := range core.runs {
		unknown := run.ExpectedRunTime == 0 && now.Sub(run.startedAt) > minLongRunTime
		if run.holdsCapacity() && (unknown || run.startedAt.Add(run.ExpectedRunTime) > now.Add(maxDrainTime)) {
			return false
		}
	}
	return true
}

// endIsolations ends the isolation of runs under which the worker has not crashed.
func (core *Core) endIsolations(now ptid.Instant) {
	if now >= core.reorderBy {
		core.reorderBy = 0
	}
	for _, run := range core.runs {
		if run.isolated && run.holdsCapacity() && core.listedAt >= run.isolatedUntil {
			run.isolated = false
		}
	}
}

// awaitsVerdict reports whether the end of a run whose lease has expired is reported only once it is
// known whether the worker has crashed: the owner must not start a task on the next worker that has
// just crashed one. The first call sets until when. Callers of best-effort jobs don't wait that long.
func (core *Core) awaitsVerdict(run *run, now ptid.Instant) bool {
	if !run.isolated || !run.isDurable() || run.stopRequested || core.worker.Draining {
		return false
	}
	if run.verdictBy == 0 {
		run.verdictBy = now.Add(VerdictTimeout)
	}
	return now < run.verdictBy
}

// crashReason returns why a run was lost that was ordered on the previous incarnation of the worker.
func (core *Core) crashReason(run *run) ptrun.Reason {
	switch {
	case core.worker.Draining:
		return ptrun.ReasonRestarted
	case !run.confirmed:
		// The worker may have crashed before it received the order.
		return ptrun.ReasonLeaseExpired
	case run.isolated:
		return ptrun.ReasonCrashedWorker
	default:
		return ptrun.ReasonWorkerCrashed
	}
}
