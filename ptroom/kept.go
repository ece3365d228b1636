package ptroom

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptkept"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// unackedEnd is a listed end of a kept job that its owner has not kept yet.
type unackedEnd struct {
	sequence ptrun.EndSequence
	end      ptrun.End
	since    ptid.Instant
	tellAt   ptid.Instant
}

func (run *run) orphanAfter() time.Duration {
	if run.kept() {
		return DurableOrphanTimeout
	}
	return OrphanTimeout
}

// listedEnd takes an end that the worker lists.
func (core *Core) listedEnd(listed ptrun.ListedEnd, now ptid.Instant) {
	id := listed.End.Run
	fresh := listed.Sequence > core.seen
	core.seen = max(core.seen, listed.Sequence)
	delete(core.strangers, id)
	if fresh && ptkept.IsDurable(id.Number) {
		core.unacked[id] = &unackedEnd{sequence: listed.Sequence, end: listed.End, since: now, tellAt: now.Add(tellAgainAfter)}
	}
	run := core.runs[id]
	switch {
	case run != nil && run.holdsRoom():
		core.finish(run, listed.End, now)
	case run == nil && fresh && core.unacked[id] != nil && core.ends[id] == nil:
		core.ends[id] = &ended{end: listed.End, at: now, forgetAt: ptid.Never}
		core.emit(BroadcastEnd{End: listed.End})
	}
}

// acknowledged returns up to which end the worker may forget.
func (core *Core) acknowledged() (sequence ptrun.EndSequence) {
	sequence = core.seen
	for _, unacked := range core.unacked {
		sequence = min(sequence, unacked.sequence-1)
	}
	return sequence
}

// HasUnacknowledgedEnds reports whether ends wait for their owners, so that the worker lists them
// again at once.
func (core *Core) HasUnacknowledgedEnds() bool { return len(core.unacked) > 0 }

// AcknowledgeEnd records that the owner of a run has kept its end.
func (core *Core) AcknowledgeEnd(id ptrun.ID) { delete(core.unacked, id) }

// AdoptPartition gives the runs of a partition to an entry that owns it now, and tells it which
// have not ended and which ends are not kept.
func (core *Core) AdoptPartition(owner Owner, partition ptkept.Partition, partitions int, epoch ptkept.Epoch, now ptid.Instant) (effects []Effect) {
	if epoch < core.epochs[partition] {
		return nil
	}
	core.epochs[partition] = epoch
	adopted := SendAdopted{Owner: owner, Partition: partition, Epoch: epoch}
	for _, run := range core.sorted() {
		if !run.kept() || run.Partition != partition {
			continue
		}
		if run.state == waiting {
			core.neverStarted(run, ptrun.ReasonOtherOwner, now)
			continue
		}
		run.Owner = owner
		adopted.Runs = append(adopted.Runs, run.Run)
	}
	for _, id := range slices.SortedFunc(maps.Keys(core.unacked), ptrun.Compare) {
		if ptkept.PartitionOf(id.Task.Job, partitions) == partition {
			core.emit(SendEnd{Owner: owner, End: core.unacked[id].end})
		}
	}
	core.emit(adopted)
	return core.take()
}

// tellUnowned tells ends again that no owner has kept.
func (core *Core) tellUnowned(now ptid.Instant) {
	for _, id := range slices.SortedFunc(maps.Keys(core.unacked), ptrun.Compare) {
		if unacked := core.unacked[id]; now >= unacked.tellAt {
			unacked.tellAt = now.Add(tellAgainAfter)
			core.emit(BroadcastEnd{End: unacked.end})
		}
	}
	if core.clock > 0 && core.mustLapse(now) && now > core.leaseLapsesBy() {
		// The worker's lease has lapsed since these ends, so they stand for nothing.
		clear(core.unacked)
	}
}

// mustLapse reports whether the lease is not to be renewed: kept ends are withheld and
// no entry has been there to be told of them.
func (core *Core) mustLapse(now ptid.Instant) bool {
	if len(core.unacked) == 0 {
		return false
	}
	for _, owner := range core.owners {
		if owner.connected || now.Sub(owner.silentSince) <= DurableOrphanTimeout {
			return false
		}
	}
	return len(core.owners) > 0
}
