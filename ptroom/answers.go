package ptroom

import (
	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// HandleStartResponse takes the answer to a start order.
func (core *Core) HandleStartResponse(id ptrun.ID, clock ptrun.WorkerTime, err error, now ptid.Instant) (effects []Effect) {
	run := core.runs[id]
	if run == nil || run.state != starting {
		return nil
	}
	run.answeredAt = now
	switch {
	case err == nil:
		core.tick(clock, now)
		run.state, run.confirmed = running, true
		if run.stopAsked {
			core.orderStop(run, now)
		}
	case errors.Is(err, ptrun.ErrUnanswered):
		run.state = unanswered
		core.emit(ListRuns{})
	default:
		core.neverStarted(run, refusalReason(err), now)
		core.fill(now)
	}
	return core.take()
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

// HandleStopResponse takes the answer to a stop order.
func (core *Core) HandleStopResponse(id ptrun.ID, clock ptrun.WorkerTime, err error, now ptid.Instant) (effects []Effect) {
	if err == nil {
		core.tick(clock, now)
	}
	run := core.runs[id]
	if run == nil || run.state != stopping || err != nil {
		return nil
	}
	run.stopAcked, run.answeredAt = true, now
	core.emit(ListRuns{})
	return core.take()
}

// HandleListing takes a listing that was asked for at requestedAt.
func (core *Core) HandleListing(listing ptrun.Listing, requestedAt, now ptid.Instant) (effects []Effect) {
	if !core.known {
		return nil
	}
	if !listing.WorkerStartedAt.IsZero() && !listing.WorkerStartedAt.Equal(core.worker.StartedAt) {
		if listing.WorkerStartedAt.Before(core.worker.StartedAt) {
			return nil
		}
		core.replaced(now)
		core.worker.StartedAt, core.known = listing.WorkerStartedAt, false
		core.refuseWaiting(ptrun.ReasonWorkerAbsent, now)
		return core.take()
	}
	core.reachable, core.listedAt = true, now
	core.tick(listing.Clock, now)
	for _, listed := range listing.Ends {
		core.listedEnd(listed, now)
	}
	active := make(map[ptrun.ID]bool, len(listing.Active))
	for _, listed := range listing.Active {
		active[listed.Run] = true
		core.listedActive(listed, now)
	}
	if len(active) == 0 {
		core.clean = true
	}
	for _, run := range core.sorted() {
		if !active[run.Run] {
			core.absent(run, listing.Clock, requestedAt, now)
		}
	}
	core.fill(now)
	return core.take()
}

// listedActive handles a run that the worker says it runs.
func (core *Core) listedActive(listed ptrun.ListedRun, now ptid.Instant) {
	id := listed.Run
	run := core.runs[id]
	if run == nil {
		if _, over := core.ends[id]; over {
			// An older listing; the end has been listed since.
			return
		}
		if again, asked := core.strangers[id]; !asked || now >= again {
			core.strangers[id] = now.Add(StopRetryInterval)
			core.emit(StopRun{Worker: core.worker.WorkerIdentity, Token: core.token, Run: id, Reason: ptrun.ReasonUnknownRun})
		}
		return
	}
	run.confirmed, run.percent, run.tail = true, listed.Percent, listed.TailLatency
	core.gauge.Progressed(id, listed.Percent, now)
	if listed.Checkpoint != "" {
		run.Checkpoint = listed.Checkpoint
	}
	if run.state == unanswered {
		run.state = running
		if run.stopAsked {
			core.orderStop(run, now)
		}
	}
}

// absent handles a run that a listing lacks.
func (core *Core) absent(run *run, clock ptrun.WorkerTime, requestedAt, now ptid.Instant) {
	asked := requestedAt > run.answeredAt
	switch run.state {
	case waiting, starting:
	case running:
		if asked {
			core.finish(run, ptrun.End{Run: run.Run, Result: ptrun.Lost, Reason: ptrun.ReasonUnknownRun}, now)
		}
	case unanswered:
		switch {
		case asked && clock > run.startBy:
			core.neverStarted(run, ptrun.ReasonUnanswered, now)
		case asked:
			run.reason = ptrun.ReasonUnanswered
			core.orderStop(run, now)
		}
	case stopping:
		if !asked || !run.stopAcked && clock <= run.startBy {
			return
		}
		result := ptrun.Stopped
		if !run.confirmed {
			result = ptrun.NeverStarted
		}
		core.finish(run, ptrun.End{Run: run.Run, Result: result, Reason: run.reason}, now)
	}
}

// HandleListFailure records that a call to list has failed. A single one says little: some
// calls get no answer while others do. Once every lease has lapsed that may have been
// granted, the runs are over.
func (core *Core) HandleListFailure(now ptid.Instant) (effects []Effect) {
	if now.Sub(core.listedAt) <= UnreachableTimeout {
		return nil
	}
	core.reachable = false
	core.refuseWaiting(ptrun.ReasonWorkerAbsent, now)
	if now <= core.leaseLapsesBy() {
		return core.take()
	}
	for _, run := range core.sorted() {
		if run.holdsRoom() && run.state != starting {
			core.finish(run, ptrun.End{Run: run.Run, Result: ptrun.Lost, Reason: ptrun.ReasonLeaseExpired}, now)
		}
	}
	return core.take()
}

// SessionOpened records that an incarnation of an entry has a session. The runs of an earlier
// one are stopped.
func (core *Core) SessionOpened(owner Owner, now ptid.Instant) (effects []Effect) {
	core.owners[owner.Entry] = &ownerState{incarnation: owner.Incarnation, connected: true}
	for _, run := range core.sorted() {
		if run.Owner.Entry == owner.Entry && run.Owner.Incarnation != owner.Incarnation && !run.kept() {
			core.stop(run, ptrun.ReasonOwnerTimeout, now)
		}
	}
	for id, ended := range core.ends {
		switch {
		case ended.owner.Entry != owner.Entry:
		case ended.owner.Incarnation != owner.Incarnation:
			delete(core.ends, id)
		case ended.forgetAt == ptid.Never:
			ended.forgetAt = now.Add(EndRetention)
		}
	}
	core.fill(now)
	return core.take()
}

// SessionClosed records that the session to an entry has ended.
func (core *Core) SessionClosed(entry ptid.EntryName, now ptid.Instant) {
	owner := core.owners[entry]
	if owner == nil {
		return
	}
	owner.connected, owner.silentSince = false, now
	owner.want, owner.offered, owner.share = ptrun.CapacityRequest{}, ptrun.Demand{}, 0
	for _, ended := range core.ends {
		if ended.owner.Entry == entry && ended.forgetAt != ptid.Never {
			ended.forgetAt = ptid.Never
		}
	}
}

// QueryRun tells an entry over a new session what became of a run. A run that is not over
// needs no message: its end is told as usual.
func (core *Core) QueryRun(owner Owner, id ptrun.ID, now ptid.Instant) (effects []Effect) {
	if core.runs[id] != nil {
		return nil
	}
	known := core.ends[id]
	if known == nil {
		known = &ended{owner: owner, at: now, end: ptrun.End{Run: id, Result: ptrun.NeverStarted, Reason: ptrun.ReasonUnknownRun}}
		core.ends[id] = known
	}
	known.forgetAt = now.Add(EndRetention)
	return []Effect{SendEnd{Owner: owner, End: known.end}}
}

// Drain makes the core refuse new orders and waiting runs.
func (core *Core) Drain(now ptid.Instant) (effects []Effect) {
	core.drain = true
	core.refuseWaiting(ptrun.ReasonDraining, now)
	return core.take()
}

// Idle reports whether no run is left.
func (core *Core) Idle() bool { return len(core.runs) == 0 }

// Tick does what the passing of time asks for.
func (core *Core) Tick(now ptid.Instant) (effects []Effect) {
	for _, run := range core.sorted() {
		switch {
		case run.state == waiting && now >= min(run.WaitUntil, run.StartBy):
			core.neverStarted(run, ptrun.ReasonStartDeadline, now)
		case run.state == stopping && !run.stopAcked && now >= run.stopAgain:
			core.orderStop(run, now)
		default:
			if owner := core.owners[run.Owner.Entry]; owner != nil && !owner.connected && now.Sub(owner.silentSince) > run.orphanAfter() {
				core.stop(run, ptrun.ReasonOwnerTimeout, now)
			}
		}
	}
	for id, ended := range core.ends {
		if core.unacked[id] == nil && (now >= ended.forgetAt || now.Sub(ended.at) > forgetAfter) {
			delete(core.ends, id)
		}
	}
	core.tellUnowned(now)
	core.pace(now)
	core.giveTurn(now)
	core.fill(now)
	return core.take()
}

// CapacityReport is what a frame to an entry tells of the room.
type CapacityReport struct {
	Worker   ptrun.WorkerID
	Capacity ptrun.Demand
	Held     ptrun.Demand
	Own      ptrun.Demand
	Labels   []string
	Unusable bool
	// RequestedByOthers is the rate at which other entries need room.
	RequestedByOthers ptrun.MillicoresPerSecond
	// Assessment judges the worker; Turn lets the entry try one that it has set aside.
	Assessment ptfitness.Assessment
	MayProbe   bool
}

// CapacityReport returns what a frame to an entry tells now. Waiting runs and the room that is kept for
// other entries count as held.
func (core *Core) CapacityReport(entry ptid.EntryName) (report CapacityReport) {
	report = CapacityReport{
		Worker: core.worker.ID, Capacity: core.worker.Capacity, Labels: core.worker.Labels,
		RequestedByOthers: core.wantedByOthers(entry),
		Assessment:        core.gauge.Assessment(), MayProbe: core.turns.Holder() == entry,
		Unusable: !core.known || !core.reachable || core.drain || core.worker.Draining,
	}
	for _, run := range core.runs {
		report.Held = report.Held.Plus(run.Demand)
		if run.Owner.Entry == entry {
			report.Own = report.Own.Plus(run.Demand)
		}
	}
	report.Held = report.Held.Plus(core.offeredToOthers(entry))
	return report
}

// RunCounts returns how many runs wait and how many hold room.
func (core *Core) RunCounts() (waitingRuns, holdingRuns int) {
	for _, run := range core.runs {
		if run.state == waiting {
			waitingRuns++
		}
	}
	return waitingRuns, len(core.runs) - waitingRuns
}
