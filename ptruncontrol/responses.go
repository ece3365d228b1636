package ptruncontrol

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptspeed"
)

// HandleStartResponse processes the worker's response to a start order.
func (core *Core) HandleStartResponse(id ptrun.ID, _ ptrun.WorkerTime, err error, now ptid.Instant) (effects []Effect) {
	run := core.runs[id]
	if run == nil || run.state != starting {
		return nil
	}
	run.checkedAt = now
	switch {
	case err == nil:
		run.state, run.confirmed = running, true
		if run.stopRequested {
			core.orderStop(run, now)
		}
	case errors.Is(err, ptrun.ErrUnanswered):
		run.state = unanswered
		core.emit(ListRuns{})
	default:
		core.finishUnstarted(run, refusalReason(err), now)
		core.startWaiting(now)
	}
	return core.takeEffects()
}

func refusalReason(err error) ptrun.Reason {
	switch {
	case errors.Is(err, ptrun.ErrHigherRunEnded):
		return ptrun.ReasonHigherRunEnded
	case errors.Is(err, ptrun.ErrNoCapacity):
		return ptrun.ReasonNoCapacity
	case errors.Is(err, ptrun.ErrStartDeadlineExceeded):
		return ptrun.ReasonUnanswered
	case errors.Is(err, ptrun.ErrWorkerMismatch):
		return ptrun.ReasonRestarted
	default:
		return ptrun.ReasonRejected
	}
}

// HandleStopResponse processes the worker's response to a stop order.
func (core *Core) HandleStopResponse(id ptrun.ID, _ ptrun.WorkerTime, err error, now ptid.Instant) (effects []Effect) {
	run := core.runs[id]
	if run == nil || run.state != stopping || err != nil {
		return nil
	}
	run.stopAcked, run.checkedAt = true, now
	core.emit(ListRuns{})
	return core.takeEffects()
}

// HandleListing processes a listing that was requested at requestedAt.
func (core *Core) HandleListing(listing ptrun.Listing, requestedAt, now ptid.Instant) (effects []Effect) {
	if _, ok := core.WorkerToList(); !ok {
		return nil
	}
	switch {
	case listing.WorkerStartedAt.IsZero() || listing.WorkerStartedAt.Equal(core.worker.StartedAt):
	case listing.WorkerStartedAt.Before(core.worker.StartedAt) && requestedAt <= core.identifiedAt:
		// An earlier incarnation has responded.
		return nil
	default:
		// The worker has restarted, with its wall clock set back if the start time is earlier. Its
		// capacity may differ, so it is not used before it is announced.
		next := ptrun.WorkerIdentity{ID: core.worker.ID, StartedAt: listing.WorkerStartedAt}
		core.replaceWorker(next, now)
		core.worker.WorkerIdentity, core.worker.Sequence, core.known, core.unannounced = next, 0, false, true
		core.refuseWaiting(ptrun.ReasonWorkerAbsent, now)
	}
	core.reachable, core.listedAt, core.listCalledAt, core.silentSince = true, now, now, now
	core.reportResumed()
	core.updateClock(listing.Clock, now)
	complete := requestedAt > core.fencedAt
	if complete && core.fencePending {
		core.fencePending = false
		core.leaseExpiresAt = max(core.leaseExpiresAt, listing.Clock+ptrun.WorkerTime(maxLease.Milliseconds()))
	}
	for _, listed := range listing.Ends {
		core.handleListedEnd(listed, now)
	}
	active := make(map[ptrun.ID]bool, len(listing.Active))
	for _, listed := range listing.Active {
		active[listed.Run] = true
		core.handleListedRun(listed, requestedAt, now)
	}
	if complete {
		core.pruneUnaccounted(listing, active, requestedAt, now)
		core.takeoverComplete = core.takeoverComplete || len(active) == 0
	}
	core.reportUnaccounted()
	for _, run := range core.sortedRuns() {
		switch {
		case active[run.Run] || mayHaveEnd(listing, run.Run):
		case run.fenced && complete:
			core.finish(run, ptrun.End{Run: run.Run, Result: ptrun.Lost, Reason: run.crash}, now)
		case !run.fenced:
			core.handleUnlistedRun(run, listing.Clock, requestedAt, now)
		}
	}
	core.startWaiting(now)
	return core.takeEffects()
}

// mayHaveEnd reports whether the worker may have an end of a run of a durable job beyond the listed
// ends. Its result may be Done, and then the task must not start again.
func mayHaveEnd(listing ptrun.Listing, id ptrun.ID) bool {
	return listing.EndsTruncated && ptjobstore.IsDurable(id.Number)
}

// handleListedRun processes a run that the worker lists as active. Listings overtake each other,
// so a listing that was requested before the end of the run was recorded is out of date.
func (core *Core) handleListedRun(listed ptrun.ListedRun, requestedAt, now ptid.Instant) {
	id := listed.Run
	run := core.runs[id]
	if run == nil || run.state == waiting {
		if !core.isOutdated(id, requestedAt) {
			core.handleUnaccountedRun(id, now)
		}
		return
	}
	if !run.confirmed {
		run.confirmed, run.checkedAt = true, now
	}
	run.crash = ""
	run.percent, run.tailLatency = listed.Percent, listed.TailLatency
	core.estimator.Progressed(id, listed.Percent, now)
	core.stopStraggler(run, listed.Percent, now)
	if listed.Checkpoint != "" {
		run.Checkpoint = listed.Checkpoint
	}
	if run.state == unanswered {
		run.state = running
		if run.stopRequested {
			core.orderStop(run, now)
		}
	}
}

// handleUnlistedRun processes a run that is missing from a listing.
func (core *Core) handleUnlistedRun(run *run, clock ptrun.WorkerTime, requestedAt, now ptid.Instant) {
	requestedAfterCheck := requestedAt > run.checkedAt
	switch run.state {
	case waiting, starting:
	case running:
		if requestedAfterCheck {
			core.finish(run, ptrun.End{Run: run.Run, Result: ptrun.Lost, Reason: cmp.Or(run.crash, ptrun.ReasonUnknownRun)}, now)
		}
	case unanswered:
		switch {
		case requestedAfterCheck && clock > run.workerStartBy:
			core.finishUnstarted(run, ptrun.ReasonUnanswered, now)
		case requestedAfterCheck:
			run.stopReason = ptrun.ReasonUnanswered
			core.orderStop(run, now)
		}
	case stopping:
		if !requestedAfterCheck || !run.confirmed && !run.stopAcked && clock <= run.workerStartBy {
			return
		}
		result, reason := ptrun.Stopped, run.stopReason
		switch {
		case run.crash != "":
			result, reason = ptrun.Lost, run.crash
		case !run.confirmed:
			result = ptrun.NeverStarted
		}
		core.finish(run, ptrun.End{Run: run.Run, Result: result, Reason: reason}, now)
	}
}

// HandleListFailure records that a listing call failed that was requested at requestedAt. A single
// failure has no effect, since some calls time out while others succeed. Once no call has
// succeeded for [UnreachableTimeout], the waiting runs are refused. Once a call that was requested
// after the expiry of every lease that may have been granted has failed too, the active runs are
// declared lost, except the runs whose start call is still in progress. An earlier call proves
// nothing: the agent may have been paused while it waited for the response. A worker that does
// not respond or refuses calls may be overloaded and end its runs late, so it gets
// [SilentWorkerTimeout], unless nobody listens at its address. While the agent is paused nobody
// calls the worker, so the time between two outcomes counts up to UnreachableTimeout only.
func (core *Core) HandleListFailure(err error, requestedAt, now ptid.Instant) (effects []Effect) {
	core.silentSince = core.silentSince.Add(max(0, now.Sub(core.listCalledAt)-UnreachableTimeout))
	core.listCalledAt = now
	if now.Sub(core.listedAt) <= UnreachableTimeout {
		return nil
	}
	core.reachable = false
	core.refuseWaiting(ptrun.ReasonWorkerAbsent, now)
	down := errors.Is(err, ptrun.ErrNotListening)
	if requestedAt <= core.leasesExpireBy() || !down && now.Sub(core.silentSince) <= SilentWorkerTimeout {
		return core.takeEffects()
	}
	core.loseRuns(now)
	return core.takeEffects()
}

// loseRuns declares the active runs lost, except the runs whose start call is still in progress.
// While the fence of a restarted worker is pending, no bound holds: the worker may execute earlier
// orders, which extend its lease.
func (core *Core) loseRuns(now ptid.Instant) {
	if _, present := core.WorkerToList(); present && core.fencePending {
		return
	}
	lost := 0
	for _, run := range core.sortedRuns() {
		if run.holdsCapacity() && run.state != starting && !core.awaitsVerdict(run, now) {
			lost++
			core.lost = append(core.lost, LostRun{Run: run.Run, RunTime: core.activeTime(run), Confirmed: run.confirmed})
			core.finish(run, ptrun.End{Run: run.Run, Result: ptrun.Lost, Reason: ptrun.ReasonLeaseExpired}, now)
		}
	}
	core.loseUnaccounted(ptrun.ReasonLeaseExpired, now)
	if lost > 0 {
		core.emit(LeaseExpired{Worker: core.worker.WorkerIdentity, ListedAt: core.listedAt, ExpiredAt: core.leasesExpireBy(), Lost: lost})
	}
}

// SessionOpened records that an incarnation of an entry has opened a session. The best-effort
// runs of its earlier incarnations are stopped.
func (core *Core) SessionOpened(owner Owner, now ptid.Instant) (effects []Effect) {
	previous := core.owners[owner.Entry]
	for _, run := range core.sortedRuns() {
		switch {
		case run.Owner.Entry != owner.Entry:
		case !run.isDurable():
			if run.Owner.Incarnation != owner.Incarnation {
				core.stop(run, ptrun.ReasonOwnerTimeout, now)
			}
		case run.ownerLostAt == 0:
			// The entry may have given up the partition while it had no session. It adopts the runs of
			// its partitions at the start of each session.
			run.ownerLostAt = now
			if previous != nil && !previous.connected {
				run.ownerLostAt = previous.disconnectedAt
			}
		}
		run.joined = slices.DeleteFunc(run.joined, func(joined Owner) bool {
			return joined.Entry == owner.Entry && joined.Incarnation != owner.Incarnation
		})
	}
	opened := &ownerState{incarnation: owner.Incarnation, connected: true, openedAt: now}
	if previous != nil && previous.incarnation == owner.Incarnation {
		opened.aliveAt, opened.callersConfirmedAt = previous.aliveAt, previous.callersConfirmedAt
	}
	core.owners[owner.Entry] = opened
	for id, ended := range core.ends {
		switch {
		case ended.owner.Entry != owner.Entry:
		case ended.owner.Incarnation != owner.Incarnation:
			delete(core.ends, id)
		case ended.expiresAt == ptid.Never:
			ended.expiresAt = now.Add(EndRetention)
		}
	}
	core.startWaiting(now)
	return core.takeEffects()
}

// SessionClosed records that the session with an entry has ended.
func (core *Core) SessionClosed(entry ptid.EntryName, now ptid.Instant) {
	owner := core.owners[entry]
	if owner == nil {
		return
	}
	owner.connected, owner.disconnectedAt = false, now
	owner.request, owner.offered, owner.usage = ptrun.CapacityRequest{}, ptrun.Demand{}, 0
	for _, ended := range core.ends {
		if ended.owner.Entry == entry && ended.expiresAt != ptid.Never {
			ended.expiresAt = ptid.Never
		}
	}
}

// QueryRun responds to the query of an entry for the outcome of a run. Entries send such queries
// after they have opened a new session. If the run has not ended, QueryRun sends no response,
// because the end of the run will be sent as usual. An unknown run that the worker does not list
// is recorded as never started, so that a later order for the run is refused.
func (core *Core) QueryRun(owner Owner, id ptrun.ID, now ptid.Instant) (effects []Effect) {
	if core.runs[id] != nil || core.askForEnd(id, owner) {
		return nil
	}
	known := core.ends[id]
	if known == nil {
		known = &endRecord{owner: owner, at: now, end: ptrun.End{Run: id, Result: ptrun.NeverStarted, Reason: ptrun.ReasonUnknownRun}}
		core.ends[id] = known
	}
	known.expiresAt = now.Add(EndRetention)
	return []Effect{SendEnd{Owner: owner, End: known.end}}
}

// Drain makes the core refuse new orders and the runs that wait for capacity.
func (core *Core) Drain(now ptid.Instant) (effects []Effect) {
	core.draining = true
	core.refuseWaiting(ptrun.ReasonDraining, now)
	return core.takeEffects()
}

// Idle reports whether no runs are left.
func (core *Core) Idle() bool { return len(core.runs) == 0 }

// Tick processes timeouts, deadlines and retries that are due.
func (core *Core) Tick(now ptid.Instant) (effects []Effect) {
	for _, run := range core.sortedRuns() {
		switch {
		case run.state == waiting && now >= min(run.WaitUntil, run.StartBy):
			if run.isolated {
				core.reorderBy = now.Add(reorderTime)
			}
			core.finishUnstarted(run, ptrun.ReasonStartDeadline, now)
		case run.state == stopping && !run.stopAcked && now >= run.stopRetryAt:
			core.orderStop(run, now)
		default:
			if orphanedAt := core.orphanedAt(run); now > orphanedAt {
				core.stop(run, ptrun.ReasonOwnerTimeout, now)
				// The stop may be late, but the entry does not wait longer.
				run.stopDeadline = min(run.stopDeadline, orphanedAt.Add(StopTimeout))
			}
		}
	}
	for id, ended := range core.ends {
		if core.unacked[id] == nil && (now >= ended.expiresAt || now.Sub(ended.at) > maxEndRetention) {
			delete(core.ends, id)
		}
	}
	if _, present := core.WorkerToList(); !present && now > core.leasesExpireBy() {
		core.loseRuns(now)
	}
	core.rebroadcastEnds(now)
	core.broadcastCrashes(now)
	core.endIsolations(now)
	core.evacuation.updateReturn(now)
	core.reviewThrottle(now)
	core.assignProbeTurn(now)
	core.startWaiting(now)
	return core.takeEffects()
}

// CapacityReport is the state of the worker as it is reported to one entry.
type CapacityReport struct {
	Worker   ptrun.WorkerID
	Capacity ptrun.Demand
	// Held is the capacity in use, and Own the part of it that the entry's own runs hold.
	Held   ptrun.Demand
	Own    ptrun.Demand
	Labels []string
	// HasRuns is true while a run that the entry has ordered has not ended. Another entry may have
	// ordered it first.
	HasRuns bool
	// Unusable is true while the worker takes no orders.
	Unusable bool
	// RequestedByOthers is the rate at which the other entries request capacity.
	RequestedByOthers ptrun.MillicoresPerSecond
	// Assessment is the health of the worker. MayProbe permits the entry to place one probe
	// run on the worker although the entry has quarantined it.
	Assessment ptfitness.Assessment
	MayProbe   bool
	// Speed is the speed of the worker relative to the expected run times of the orders.
	Speed ptspeed.Report
	// Isolating is true while a run is active in isolation or waits for that.
	Isolating bool
}

// CapacityReport returns the current report for an entry. The demands of waiting runs and the
// capacity offered to other entries count as held. Unaccounted runs, overdue stops,
// a pending fence and an evacuation count as the whole capacity.
func (core *Core) CapacityReport(entry ptid.EntryName) (report CapacityReport) {
	report = CapacityReport{
		Worker: core.worker.ID, Capacity: core.worker.Capacity, Labels: core.worker.Labels,
		RequestedByOthers: core.requestedByOthers(entry),
		Assessment:        core.estimator.Assessment(), MayProbe: core.probeTurns.Holder() == entry, Isolating: core.isIsolating(), Speed: core.speed.Report(),
		Unusable: !core.isUsable() || core.draining || core.worker.Draining || core.evacuation.isReturning(),
	}
	for _, run := range core.runs {
		report.Held = report.Held.Plus(run.Demand)
		report.HasRuns = report.HasRuns || run.isOwnedBy(entry)
		if run.Owner.Entry == entry {
			report.Own = report.Own.Plus(run.Demand)
		}
	}
	report.Held = report.Held.Plus(core.offeredToOthers(entry))
	if core.UnaccountedRuns() > 0 || core.leaseMustExpire || core.fencePending || report.Isolating || core.evacuation.active {
		report.Held = report.Held.Max(report.Capacity)
	}
	return report
}

// RunCounts returns the number of runs that wait and the number of runs that hold capacity.
func (core *Core) RunCounts() (waitingRuns, holdingRuns int) {
	for _, run := range core.runs {
		if run.state == waiting {
			waitingRuns++
		}
	}
	return waitingRuns, len(core.runs) - waitingRuns
}

func (core *Core) holdingRuns() int {
	_, holding := core.RunCounts()
	return holding
}
