package ptruncontrol

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// unackedEnd is the end of a run of a durable job. The worker has listed this end, and the
// owner of the run has not stored it yet.
type unackedEnd struct {
	sequence        ptrun.EndSequence
	end             ptrun.End
	listedAt        ptid.Instant
	nextBroadcastAt ptid.Instant
	// rejected means that the task has started again since. The end must not be acknowledged unless
	// the lease of the worker has expired in between.
	rejected bool
}

func (run *run) orphanTimeout() time.Duration {
	if run.isDurable() {
		return DurableOrphanTimeout
	}
	return OrphanTimeout
}

// handleListedEnd processes the end of a run that the worker lists.
func (core *Core) handleListedEnd(listed ptrun.ListedEnd, now ptid.Instant) {
	id := listed.End.Run
	isNew := listed.Sequence > core.highestEnd
	core.highestEnd = max(core.highestEnd, listed.Sequence)
	core.endUnaccounted(listed.End, now)
	if isNew && ptjobstore.IsDurable(id.Number) {
		core.unacked[id] = &unackedEnd{sequence: listed.Sequence, end: listed.End, listedAt: now, nextBroadcastAt: now.Add(rebroadcastInterval)}
	}
	run := core.runs[id]
	switch {
	case run != nil && run.holdsCapacity():
		core.finish(run, listed.End, now)
	case run == nil && isNew && core.unacked[id] != nil && core.ends[id] == nil:
		core.ends[id] = &endRecord{end: listed.End, at: now, expiresAt: ptid.Never}
		core.emit(BroadcastEnd{End: listed.End})
	case run == nil && isNew && core.unacked[id] != nil:
		// The end was declared before, for lack of a response. The listed one shows that the worker has
		// not crashed.
		core.ends[id].end = listed.End
		core.emit(BroadcastEnd{End: listed.End})
	}
}

// ackableSequence returns the highest sequence number up to which the worker may discard its
// ends.
func (core *Core) ackableSequence() (sequence ptrun.EndSequence) {
	sequence = core.highestEnd
	for _, end := range core.unacked {
		sequence = min(sequence, end.sequence-1)
	}
	return sequence
}

// HasUnacknowledgedEnds reports whether there are ends that the owners of the runs have not
// stored yet. The worker lists these ends again in each response. While there are such ends, it
// therefore responds to each listing call at once, without waiting for another run to end.
func (core *Core) HasUnacknowledgedEnds() bool { return len(core.unacked) > 0 }

// AcknowledgeEnd records that the owner of a run has stored its end. A rejection holds: a later owner
// does not know that the task has started again.
func (core *Core) AcknowledgeEnd(id ptrun.ID) {
	delete(core.crashNotices, id)
	if end := core.unacked[id]; end != nil && !end.rejected {
		delete(core.unacked, id)
	}
}

// RejectEnd records that a task has started again after the end of a run as done. The agent lets the
// lease of the worker expire, which voids the end.
func (core *Core) RejectEnd(id ptrun.ID) {
	if end := core.unacked[id]; end != nil {
		end.rejected = true
	}
}

// AdoptPartition assigns the runs of a partition that hold capacity to a later owner, and sends
// the later owner these runs and the ends that have not been stored. The runs of the partition
// that wait for capacity are refused. An owner of a lower epoch than a later one is told that epoch, also
// if it has adopted the partition before: it may be cut off from the log.
func (core *Core) AdoptPartition(owner Owner, partition ptjobstore.Partition, partitions int, epoch ptjobstore.Epoch, now ptid.Instant) (effects []Effect) {
	if epoch < core.epochs[partition] {
		return []Effect{SendAdopted{Owner: owner, Partition: partition, Epoch: core.epochs[partition]}}
	}
	if earlier, known := core.adopters[partition]; known && earlier != owner && epoch > core.epochs[partition] {
		core.emit(SendAdopted{Owner: earlier, Partition: partition, Epoch: epoch})
	}
	core.epochs[partition], core.adopters[partition] = epoch, owner
	adopted := SendAdopted{Owner: owner, Partition: partition, Epoch: epoch}
	for _, run := range core.sortedRuns() {
		if !run.isDurable() || run.Partition != partition {
			continue
		}
		if run.state == waiting {
			core.finishUnstarted(run, ptrun.ReasonOtherOwner, now)
			continue
		}
		run.Owner, run.ownerLostAt = owner, 0
		adopted.Runs = append(adopted.Runs, run.Run)
	}
	for _, id := range slices.SortedFunc(maps.Keys(core.unacked), ptrun.Compare) {
		if end := core.unacked[id]; ptjobstore.PartitionOf(id.Task.Job, partitions) == partition && !end.rejected {
			core.emit(SendEnd{Owner: owner, End: end.end})
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(core.crashNotices), ptrun.Compare) {
		if ptjobstore.PartitionOf(id.Task.Job, partitions) == partition {
			core.emit(SendEnd{Owner: owner, End: core.crashNotices[id].end})
		}
	}
	core.emit(adopted)
	return core.takeEffects()
}

// ReleasePartition records that an entry has given up a partition. Its runs go on for a later owner
// until the orphan timeout, also if the agent learns of no later owner. The runs of the partition
// that wait for capacity are refused.
func (core *Core) ReleasePartition(owner Owner, partition ptjobstore.Partition, epoch ptjobstore.Epoch, now ptid.Instant) (effects []Effect) {
	if epoch < core.epochs[partition] {
		return nil
	}
	for _, run := range core.sortedRuns() {
		switch {
		case !run.isDurable() || run.Partition != partition || run.Owner != owner:
		case run.state == waiting:
			core.finishUnstarted(run, ptrun.ReasonOtherOwner, now)
		case run.ownerLostAt == 0:
			run.ownerLostAt = now
		}
	}
	core.startWaiting(now)
	return core.takeEffects()
}

// rebroadcastEnds repeats the broadcasts of the ends that no owner has stored. It discards these
// ends if the worker's lease has expired.
func (core *Core) rebroadcastEnds(now ptid.Instant) {
	for _, id := range slices.SortedFunc(maps.Keys(core.unacked), ptrun.Compare) {
		if end := core.unacked[id]; now >= end.nextBroadcastAt && !end.rejected {
			end.nextBroadcastAt = now.Add(rebroadcastInterval)
			core.emit(BroadcastEnd{End: end.end})
		}
	}
	if core.clock > 0 && core.mustLetLeaseExpire(now) && now > core.leasesExpireBy() {
		// The ends are obsolete, because the lease has expired since these runs ended. An owner
		// that has not received the end of a run by the expiry starts the task again.
		reachable := core.mayReachOwners(now)
		maps.DeleteFunc(core.unacked, func(_ ptrun.ID, end *unackedEnd) bool { return end.rejected || !reachable })
	}
}

// mustLetLeaseExpire reports whether the lease must not be extended, because ends of runs of durable
// jobs are unacknowledged and either rejected, or no entry can be reached to store them.
func (core *Core) mustLetLeaseExpire(now ptid.Instant) bool {
	for _, end := range core.unacked {
		if end.rejected {
			return true
		}
	}
	return len(core.unacked) > 0 && !core.mayReachOwners(now)
}

// mayReachOwners reports whether an entry has had a session within [DurableOrphanTimeout], or none has
// had a session yet.
func (core *Core) mayReachOwners(now ptid.Instant) bool {
	for _, owner := range core.owners {
		if owner.connected || now.Sub(owner.disconnectedAt) <= DurableOrphanTimeout {
			return true
		}
	}
	return len(core.owners) == 0
}
