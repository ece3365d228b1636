package ptbroker

import (
	"context"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// leaveLostEpoch leaves the consumer group if it has not changed since this entry released a partition on
// the word of an agent: no other entry has the partition then. The next renewal starts a new epoch.
func (broker *Broker) leaveLostEpoch(ctx context.Context, epoch ptjobstore.Epoch) {
	broker.mu.Lock()
	lost := epoch <= broker.ownership.lostEpoch
	if lost {
		for _, partition := range broker.ownership.partitions {
			broker.releasePartition(partition, "leaving the consumer group to get a new epoch")
		}
	}
	broker.mu.Unlock()
	if !lost {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := broker.ownership.store.Leave(ctx, broker.ownership.memberID)
	broker.deps.Log.Info("left the consumer group to get a new epoch", "epoch", epoch, "error", errorText(err))
}

// decodeAgents decodes the record of the agents of a partition. An undecodable record counts as none.
func (broker *Broker) decodeAgents(partition *ownedPartition, value []byte) (agents *ptjobstore.Agents) {
	decoded, err := ptjobstore.DecodeAgents(value)
	if err != nil {
		broker.deps.Log.Error(err, "ignoring undecodable record of agents", "partition", partition.number)
		return nil
	}
	return &decoded
}

// handleAdopted processes an agent's response to an adoption. The caller holds the lock.
func (broker *Broker) handleAdopted(agent *agentSession, message *ptwire.Adopted, now ptid.Instant) {
	partition := broker.ownership.partitions[ptjobstore.Partition(message.Partition)]
	switch {
	case partition == nil || message.Epoch < uint64(partition.epoch):
		return
	case message.Epoch > uint64(partition.epoch):
		broker.handleLaterOwner(agent, partition, ptjobstore.Epoch(message.Epoch), now)
		return
	}
	for _, ref := range message.Runs {
		run := ptrun.IDFromRef(ref)
		if partition.jobs[run.Task.Job] == nil {
			broker.addUnresolved(partition, unresolvedRun{agent: agent.name(), run: run})
			continue
		}
		broker.execute(broker.core.Adopt(agent.name(), run, now))
	}
	partition.handover.AgentConfirmed(agent.name())
}

// handleLaterOwner processes the word of an agent that a partition has a later owner. An owner whose
// membership may have expired does not wait for the log, which may not respond to it: agents that the
// later owner can't reach keep their runs until the partition is released. The caller holds the lock.
func (broker *Broker) handleLaterOwner(agent *agentSession, partition *ownedPartition, epoch ptjobstore.Epoch, now ptid.Instant) {
	ownership := &broker.ownership
	switch {
	case now >= ownership.expiresAt:
		broker.deps.Log.Info("later owner of partition", "partition", partition.number, "epoch", partition.epoch, "laterEpoch", epoch, "agent", agent.name(),
			"membershipExpiredFor", now.Sub(ownership.expiresAt).String())
		ownership.lostEpoch = max(ownership.lostEpoch, partition.epoch)
		broker.releasePartition(partition, "an agent knows a later owner, and the membership may have expired")
	case !partition.verifying:
		partition.verifying = true
		go broker.verifyOwnership(partition)
	}
}

// verifyOwnership releases a partition of which an agent knows a later owner, if the log knows that
// owner as well. The group may assign a partition to another entry and back between two renewals of
// the membership: it is assigned to this entry then, but its epoch is fenced.
func (broker *Broker) verifyOwnership(partition *ownedPartition) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	err := broker.ownership.store.Fence(ctx, partition.number, partition.epoch)
	broker.mu.Lock()
	defer broker.mu.Unlock()
	partition.verifying = false
	if errors.Is(err, ptjobstore.ErrFenced) && broker.ownership.partitions[partition.number] == partition {
		broker.releasePartition(partition, "fenced")
	}
}

// finishRecovery resumes placement in a recovered partition. The caller holds the lock.
func (broker *Broker) finishRecovery(partition *ownedPartition, now ptid.Instant) {
	handover := partition.handover
	missing := handover.Missing()
	broker.deps.Log.Info("partition recovered", "partition", partition.number, "epoch", partition.epoch, "jobs", len(partition.jobs), "after", now.Sub(handover.AcquiredAt()).String(),
		"mayHaveUnknownRuns", handover.MayHaveUnknownRuns(), "entryAge", handover.AcquiredAt().Sub(broker.ownership.startedAt).String(),
		"connectedAgents", len(broker.agentSessions), "hasRecord", handover.HasRecord(), "missingAgents", len(missing), "missing", missing[:min(len(missing), maxLoggedAgents)])
	if handover.MayHaveUnknownRuns() {
		broker.deps.Metrics.Counter(ptmetric.IncompleteRecoveries).Inc()
	}
	for _, id := range slices.Sorted(maps.Keys(partition.jobs)) {
		for _, open := range partition.jobs[id].open {
			broker.resume(partition, open, now)
		}
	}
}

// resume allows a recovered job to be placed. The caller holds the lock.
func (broker *Broker) resume(partition *ownedPartition, open *ptassign.Job, now ptid.Instant) {
	if partition.handover.MayHaveUnknownRuns() {
		broker.execute(broker.core.AbandonUnknownRuns(open))
	}
	broker.execute(broker.core.FinishRecovery(open, now))
}

// saveIfChanged writes the changed progress and the changed record of agents to the log. The caller
// holds the lock.
func (broker *Broker) saveIfChanged(partition *ownedPartition, now ptid.Instant) {
	agents, agentsChanged := partition.handover.RecordToWrite(broker.core, now)
	if agentsChanged {
		record, err := ptjobstore.Encode(ptjobstore.Agents{Names: agents})
		if err != nil {
			broker.deps.Log.Error(err, "failed to encode record of agents", "partition", partition.number)
			return
		}
		broker.save(partition, ptjobstore.Record{Key: ptjobstore.AgentsKey, Value: record})
		return
	}
	if len(partition.dirty) > 0 {
		broker.save(partition)
	}
}

// agentsRecorded sends the orders that waited for the record of agents. The caller holds the lock.
func (broker *Broker) agentsRecorded(partition *ownedPartition) {
	orders := partition.handover.RecordWritten()
	broker.deps.Log.Info("agents of partition recorded", "partition", partition.number, "epoch", partition.epoch, "agents", partition.handover.RecordedAgents(), "retainedOrders", len(orders))
	for _, order := range orders {
		if agent := broker.agentSessions[order.Agent]; agent != nil {
			agent.postOrder(order)
		}
	}
}
