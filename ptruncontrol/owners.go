package ptruncontrol

import (
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// OwnerTimeout is how long after its owner has confirmed the callers of its jobs a run of a
	// best-effort job may be active, even if the agent fails or stop orders have no effect. The lease
	// of the worker never extends beyond that. OwnerTimeout is less than the time after which callers
	// resubmit; see docs/design/10-platform.md.
	OwnerTimeout = 1250 * time.Millisecond
	// DurableOwnerTimeout is the same for a run of a durable job. It is less than the time after
	// which its owner places the task again (ptassign.DurableRunLossTimeout).
	DurableOwnerTimeout = 4300 * time.Millisecond
	// orderTTL is how long after they were sent orders are valid at most (ptassign.OrderTTL).
	orderTTL = 500 * time.Millisecond
	// maxLeaseTime and maxStartTime are the longest times that a lease and a start order may
	// last: by a slow clock of the worker, with the rounding of its milliseconds.
	maxLeaseTime = LeaseDuration + LeaseDuration/(ClockDriftDivisor-1) + 2*time.Millisecond
	maxStartTime = StartOrderTTL + StartOrderTTL/(ClockDriftDivisor-1) + 2*time.Millisecond
)

// OwnerConfirmed records that an incarnation of an entry was alive at aliveAt, which is what runs of
// durable jobs rely on. The agent knows this from an order, which names the instant at which it was
// sent, and from the acknowledgement of a frame, which was sent after the frame. All stop requests
// that the entry sent before must have been processed.
func (core *Core) OwnerConfirmed(owner Owner, aliveAt ptid.Instant) {
	if state := core.owners[owner.Entry]; state != nil && state.incarnation == owner.Incarnation {
		state.aliveAt = max(state.aliveAt, aliveAt)
	}
}

// CallersConfirmed records that every open best-effort job of an incarnation of an entry had a caller at
// confirmedAt (package ptcaller). That the entry was alive then proves nothing: after a pause it may act
// before it handles the loss of a caller. All stop requests that the entry sent before must have been
// processed.
func (core *Core) CallersConfirmed(owner Owner, confirmedAt ptid.Instant) {
	if state := core.owners[owner.Entry]; state != nil && state.incarnation == owner.Incarnation {
		state.callersConfirmedAt = max(state.callersConfirmedAt, confirmedAt)
	}
}

// confirmedAt returns the instant at which the callers were confirmed when the order was sent. The clocks
// of entries are estimated, so Order.CallersConfirmedAt may lie ahead.
func (order *Order) confirmedAt(now ptid.Instant) ptid.Instant {
	if order.CallersConfirmedAt == 0 {
		return order.sentAt(now)
	}
	return min(now, order.CallersConfirmedAt)
}

// sentAt returns the latest instant before which the order has certainly not been sent. The clocks
// of entries are estimated, so it may lie ahead.
func (order *Order) sentAt(now ptid.Instant) ptid.Instant {
	if order.SentAt == 0 {
		return min(now, order.StartBy.Add(-orderTTL))
	}
	return min(now, order.SentAt)
}

// owners returns the owners that have ordered the run.
func (run *run) owners() []Owner { return append(run.joined, run.Owner) }

// isOwnedBy reports whether an entry has ordered the run.
func (run *run) isOwnedBy(entry ptid.EntryName) bool {
	return run.Owner.Entry == entry || slices.ContainsFunc(run.joined, func(owner Owner) bool { return owner.Entry == entry })
}

// ownerLimit returns when a run must have ended unless its owners are confirmed again.
func (core *Core) ownerLimit(run *run) (limit ptid.Instant) {
	if run.isDurable() {
		return core.durableOwnerAliveAt(run).Add(DurableOwnerTimeout)
	}
	limit = ptid.Never
	for _, owner := range run.owners() {
		confirmedAt := ptid.Instant(0)
		if state := core.owners[owner.Entry]; state != nil && state.incarnation == owner.Incarnation {
			confirmedAt = state.callersConfirmedAt
		}
		limit = min(limit, confirmedAt.Add(OwnerTimeout))
	}
	return limit
}

// durableOwnerAliveAt returns when the owner of a run of a durable job is known to have had its
// session with this agent. Unlike for best-effort jobs, the opening of the session counts: the
// owner waits from the end of its latest session.
func (core *Core) durableOwnerAliveAt(run *run) (aliveAt ptid.Instant) {
	if state := core.owners[run.Owner.Entry]; run.ownerLostAt == 0 && state != nil {
		return max(state.aliveAt, state.openedAt)
	}
	return run.ownerLostAt
}

// limitStopped fixes the instant at which a run that is to be stopped must have ended. A lease
// that was granted before may still run; it is not extended.
func (core *Core) limitStopped(run *run, now ptid.Instant) {
	run.mustEndBy = core.ownerLimit(run)
	if !run.isDurable() {
		run.mustEndBy = min(run.mustEndBy, now.Add(maxLeaseTime))
	}
}

// leaseLimit returns the latest instant at which the lease of the worker may expire.
func (core *Core) leaseLimit() (limit ptid.Instant) {
	limit = ptid.Never
	for _, run := range core.runs {
		switch {
		case !run.holdsCapacity():
		case run.stopRequested:
			limit = min(limit, run.mustEndBy)
		default:
			limit = min(limit, core.ownerLimit(run))
		}
	}
	return limit
}

// limitLease returns the expiry of a lease, or an earlier one if the lease must expire earlier.
func (core *Core) limitLease(expiresAt ptrun.WorkerTime) ptrun.WorkerTime {
	if limit := core.leaseLimit(); limit != ptid.Never {
		return min(expiresAt, core.earliestClock(limit))
	}
	return expiresAt
}

// mayOutliveOwner reports whether a run that starts now might go on after ownerLimit: its order
// was delayed, and the lease that has been granted is longer.
func (core *Core) mayOutliveOwner(run *run, now ptid.Instant) bool {
	return max(core.leasesExpireBy(), now.Add(maxStartTime)) > core.ownerLimit(run)
}

// orphanedAt returns when an owner of a run will have had no session for the orphan timeout; Never
// if all owners have sessions.
func (core *Core) orphanedAt(run *run) (orphanedAt ptid.Instant) {
	orphanedAt = ptid.Never
	if run.ownerLostAt != 0 {
		orphanedAt = run.ownerLostAt.Add(run.orphanTimeout())
	}
	for _, owner := range run.owners() {
		if state := core.owners[owner.Entry]; state != nil && !state.connected {
			orphanedAt = min(orphanedAt, state.disconnectedAt.Add(run.orphanTimeout()))
		}
	}
	return orphanedAt
}
