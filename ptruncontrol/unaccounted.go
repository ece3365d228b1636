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
	// ended means that a later listing did not contain the run, and its end may follow.
	ended bool
	// listedAt is when the latest listing that contains the run was processed.
	listedAt ptid.Instant
	// stopRetryAt is when the stop order is repeated, and stopDeadline when the run must have
	// ended.
	stopRetryAt, stopDeadline ptid.Instant
	// askers are the entries that have ordered the run or queried its end.
	askers []Owner
}

// askForEnd makes the end of an unaccounted run known to an entry once the run has ended. It
// reports whether the run is unaccounted.
func (core *Core) askForEnd(id ptrun.ID, asker Owner) (unaccounted bool) {
	run := core.unaccounted[id]
	if run == nil {
		return false
	}
	if !slices.Contains(run.askers, asker) {
		run.askers = append(run.askers, asker)
	}
	return true
}

// endUnaccounted removes an unaccounted run that has ended and sends its end to the entries that
// have asked for it. An end that was declared before is sent unchanged.
func (core *Core) endUnaccounted(end ptrun.End, now ptid.Instant) {
	run := core.unaccounted[end.Run]
	if run == nil {
		return
	}
	delete(core.unaccounted, end.Run)
	for _, asker := range run.askers {
		known := core.ends[end.Run]
		if known == nil {
			known = &endRecord{owner: asker, end: end, at: now, expiresAt: now.Add(EndRetention)}
			core.ends[end.Run] = known
		}
		core.emit(SendEnd{Owner: asker, End: known.end})
	}
}

// loseUnaccounted declares the unaccounted runs lost.
func (core *Core) loseUnaccounted(reason ptrun.Reason, now ptid.Instant) {
	for _, id := range slices.SortedFunc(maps.Keys(core.unaccounted), ptrun.Compare) {
		core.endUnaccounted(ptrun.End{Run: id, Result: ptrun.Lost, Reason: reason}, now)
	}
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
		run = &unaccountedRun{stopRetryAt: now, stopDeadline: now.Add(StopTimeout)}
		core.unaccounted[id] = run
	}
	run.listedAt, run.ended = now, false
	if now >= run.stopRetryAt {
		run.stopRetryAt = now.Add(StopRetryInterval)
		core.emit(StopRun{Worker: core.worker.WorkerIdentity, Token: core.token, Run: id, Reason: ptrun.ReasonUnknownRun})
	}
}

// pruneUnaccounted removes the unaccounted runs that have ended: a listing that was requested
// after the run was last listed does not contain it. Runs whose end the worker may list later stay
// until then for the entries that have asked for them.
func (core *Core) pruneUnaccounted(listing ptrun.Listing, active map[ptrun.ID]bool, requestedAt, now ptid.Instant) {
	for _, id := range slices.SortedFunc(maps.Keys(core.unaccounted), ptrun.Compare) {
		switch run := core.unaccounted[id]; {
		case active[id] || requestedAt <= run.listedAt:
		case mayHaveEnd(listing, id):
			run.ended = true
		default:
			core.endUnaccounted(ptrun.End{Run: id, Result: ptrun.Stopped, Reason: ptrun.ReasonUnknownRun}, now)
		}
	}
}

// reportUnaccounted reports a change of the set of unaccounted runs.
func (core *Core) reportUnaccounted() {
	var ids []ptrun.ID
	for _, id := range slices.SortedFunc(maps.Keys(core.unaccounted), ptrun.Compare) {
		if !core.unaccounted[id].ended {
			ids = append(ids, id)
		}
	}
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
func (core *Core) UnaccountedRuns() (count int) {
	for _, run := range core.unaccounted {
		if !run.ended {
			count++
		}
	}
	return count
}
