package ptruncontrol

import (
	"maps"
	"slices"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// unaccountedRun is a run that the worker lists as active and that holds no capacity in the
// agent's records: an earlier agent process has started it, an order to an earlier incarnation
// of the worker was executed late, or its end was declared too early. Its demand is unknown, so
// no run starts while the worker lists it.
type unaccountedRun struct {
	// listedAt is when the latest listing that contains the run was processed.
	listedAt ptid.Instant
	// stopRetryAt is when the stop order is repeated.
	stopRetryAt ptid.Instant
}

// isOutdated reports whether a listing that was requested at requestedAt may be older than the
// recorded end of a run.
func (core *Core) isOutdated(id ptrun.ID, requestedAt ptid.Instant) bool {
	end := core.ends[id]
	return end != nil && requestedAt <= end.at
}

// handleUnaccountedRun stops a listed run that holds no capacity in the agent's records.
func (core *Core) handleUnaccountedRun(id ptrun.ID, now ptid.Instant) {
	run := core.unaccounted[id]
	if run == nil {
		run = &unaccountedRun{stopRetryAt: now}
		core.unaccounted[id] = run
	}
	run.listedAt = now
	if now >= run.stopRetryAt {
		run.stopRetryAt = now.Add(StopRetryInterval)
		core.emit(StopRun{Worker: core.worker.WorkerIdentity, Token: core.token, Run: id, Reason: ptrun.ReasonUnknownRun})
	}
}

// pruneUnaccounted removes the unaccounted runs that have ended: a listing that was requested
// after the run was last listed does not contain it.
func (core *Core) pruneUnaccounted(active map[ptrun.ID]bool, requestedAt ptid.Instant) {
	for id, run := range core.unaccounted {
		if !active[id] && requestedAt > run.listedAt {
			delete(core.unaccounted, id)
		}
	}
}

// reportUnaccounted reports a change of the set of unaccounted runs.
func (core *Core) reportUnaccounted() {
	ids := slices.SortedFunc(maps.Keys(core.unaccounted), ptrun.Compare)
	if slices.Equal(ids, core.reportedUnaccounted) {
		return
	}
	core.reportedUnaccounted = ids
	ended := 0
	for _, id := range ids {
		if core.ends[id] != nil {
			ended++
		}
	}
	core.emit(UnaccountedRunsChanged{Worker: core.worker.WorkerIdentity, Runs: ids, Ended: ended, TakeoverComplete: core.TakeoverComplete()})
}

// UnaccountedRuns returns the number of active runs on the worker that are not in the records of
// this agent.
func (core *Core) UnaccountedRuns() int { return len(core.unaccounted) }
