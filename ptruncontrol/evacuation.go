package ptruncontrol

import (
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// evacuation is the state of the agent's own availability zone.
type evacuation struct {
	// active means that the zone is evacuated: no run starts on the worker, whatever entries order.
	active bool
	// coldUntil is when the worker will have warmed up according to its announcements. returnsAt is
	// when it may be used after the zone has been evacuated; zero if that is over, or never happened.
	coldUntil, returnsAt ptid.Instant
}

// SetEvacuated records that the agent's availability zone is evacuated, or is no longer. Waiting runs
// are returned as never started. Active runs, adoptions and the ends of runs are not affected.
//
// The agent is the last instance that can prevent a start: entries may be paused, cut off from the store
// or not know of the evacuation yet.
func (core *Core) SetEvacuated(evacuated bool, now ptid.Instant) (effects []Effect) {
	if evacuated == core.evacuation.active {
		return nil
	}
	core.evacuation.active, core.evacuation.returnsAt = evacuated, 0
	if evacuated {
		core.withdrawOffers()
		core.refuseWaiting(ptrun.ReasonEvacuated, now)
	} else if core.evacuation.coldUntil > now {
		core.evacuation.returnsAt = core.evacuation.coldUntil
	}
	core.startWaiting(now)
	return core.takeEffects()
}

// IsEvacuated reports whether the agent's availability zone is evacuated.
func (core *Core) IsEvacuated() bool { return core.evacuation.active }

// withdrawOffers withdraws the offers of capacity to all entries.
func (core *Core) withdrawOffers() {
	for _, owner := range core.owners {
		owner.offered = ptrun.Demand{}
	}
}

// noteColdness records from an announcement until when the worker is cold.
func (evacuation *evacuation) noteColdness(worker *ptrun.Worker, now ptid.Instant) {
	evacuation.coldUntil = now.Add(worker.ColdFor)
	if evacuation.returnsAt != 0 {
		evacuation.returnsAt = evacuation.coldUntil
	}
}

// updateReturn ends the wait for a worker that was cold when its zone's evacuation was taken back.
func (evacuation *evacuation) updateReturn(now ptid.Instant) {
	if now >= evacuation.returnsAt {
		evacuation.returnsAt = 0
	}
}

// isReturning reports whether the worker is still cold after the evacuation of its zone was taken back.
func (evacuation *evacuation) isReturning() bool { return evacuation.returnsAt != 0 }

// refusalOf returns why an ordered run can't start on the worker, now or while it may wait; empty if it
// can.
func (core *Core) refusalOf(ordered *run, now ptid.Instant) (reason ptrun.Reason) {
	switch {
	case core.evacuation.active:
		return ptrun.ReasonEvacuated
	case core.draining || core.worker.Draining:
		return ptrun.ReasonDraining
	case !core.isUsable():
		return ptrun.ReasonWorkerAbsent
	case !core.worker.Capacity.Covers(ordered.Demand) || !ordered.Demand.Covers(ptrun.Demand{}):
		return ptrun.ReasonNoCapacity
	case ordered.isolated && !core.mayIsolate(now):
		return ptrun.ReasonNoCapacity
	default:
		return ptrun.ReasonNone
	}
}
