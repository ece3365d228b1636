// Package pthandover decides when an entry that has become the owner of a partition of durable jobs
// may place the tasks of the partition, and at which agents. It does no I/O.
//
// # How it works
//
//  1. The log holds a record for each partition (ptjobstore.Agents): the agents that may have runs of
//     the partition. An owner writes an agent into the record before it sends the agent an order of
//     the partition ([Handover.MayOrder]). Like progress, records are fenced by the epoch of the owner.
//  2. A later owner reads the record after it has fenced the earlier owners. The record then lists all
//     agents at which any earlier owner may have started runs, whether that owner was stopped,
//     killed, paused or cut off, and whether or not the later owner has ever had a session with them.
//  3. An agent confirms the adoption of the partition with its active runs and the ends that are not
//     stored. Once all agents of the record have confirmed, every run of an earlier owner is known
//     and the partition is recovered.
//  4. If an agent of the record has no session, the partition is recovered after
//     ptassign.DurableRunLossTimeout. Runs that nobody has adopted have ended by then, but their
//     results are unknown ([Handover.MayHaveUnknownRuns]). While the entry has no session with any
//     agent, the time does not count.
//  5. An entry that had started less than that time before the acquisition waits for it in any case.
//     Agents and workers often restart together with entries, and the crashes of workers, which
//     limit the starts of tasks, are reported meanwhile.
//  6. An agent leaves the record once it has had no session for that time and the entry knows of no
//     run there. The runs that were abandoned are part of the progress that is written with that
//     record or before it. The removed agent therefore delays no later owner.
//  7. A partition without a record was owned by an earlier version, or never. Its owner knows of no
//     agent with certainty, and waits as in rule 4.
//  8. Orders for agents that are not in the record are retained until the record is written.
//
// # Usage
//
//	handover := pthandover.New(entryStartedAt, now)
//	handover.Load(record, connectedAgents)
//	handover.AgentConfirmed(agent)
//	if handover.TryFinish(core, now) { ... }
//	if handover.RetainOrder(order) { return }
//	if agents, changed := handover.RecordToWrite(core, now); changed { ... }
//	for _, order := range handover.RecordWritten() { ... }
//
// # Limits
//
// Rule 4 relies on the earlier owner: one that is alive and has not learned that it has lost the
// partition keeps the runs at its agents (docs/incidents/16-owner-without-the-log.md). Handover is not
// safe for concurrent use.
package pthandover

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// reviewInterval is the interval at which agents without a session are considered for removal from
// the record.
const reviewInterval = time.Second

// Sessions is what the entry knows of its sessions. It is implemented by ptassign.Core.
type Sessions interface {
	// ConnectedSince returns since when the entry has had a session with an agent without
	// interruption; ptid.Never if it has none.
	ConnectedSince() (since ptid.Instant)
	// Session reports whether an agent has a session, and otherwise when it lost the latest one;
	// zero if it had none.
	Session(agent ptid.AgentName) (connected bool, lostAt ptid.Instant)
	// HasRuns reports whether the entry knows of runs at an agent that have not ended.
	HasRuns(agent ptid.AgentName) bool
}

// Handover is the state of the handover of one partition to its present owner.
type Handover struct {
	entryStartedAt     ptid.Instant
	acquiredAt         ptid.Instant
	loaded, finished   bool
	mayHaveUnknownRuns bool
	// unconfirmed contains the agents that were asked to confirm the adoption and have not, confirmed
	// those that have, in their latest session.
	unconfirmed, confirmed map[ptid.AgentName]bool
	// inherited contains the agents in the record of the earlier owners; nil if there was none.
	inherited map[ptid.AgentName]bool
	// recorded contains the agents in the record that the log holds; nil if it holds none. writing is
	// the record that is being written; nil if there is none. wanted is the record that the log must
	// hold, and changed is true if it may differ from both.
	recorded, writing, wanted map[ptid.AgentName]bool
	changed                   bool
	reviewAt                  ptid.Instant
	// retained contains the orders that wait for the record.
	retained []ptassign.SendOrder
}

// New returns the handover of a partition that was acquired at an instant, by an entry that has run since
// entryStartedAt. The partition has not been loaded.
func New(entryStartedAt, acquiredAt ptid.Instant) *Handover {
	return &Handover{
		entryStartedAt: entryStartedAt, acquiredAt: acquiredAt, unconfirmed: make(map[ptid.AgentName]bool), confirmed: make(map[ptid.AgentName]bool), wanted: make(map[ptid.AgentName]bool),
	}
}

// Load processes the record that was read after the earlier owners were fenced, nil if there was none.
// The connected agents are asked to confirm the adoption.
func (handover *Handover) Load(record *ptjobstore.Agents, connected []ptid.AgentName) {
	handover.loaded, handover.changed = true, true
	if record != nil {
		handover.inherited = make(map[ptid.AgentName]bool, len(record.Names))
		for _, agent := range record.Names {
			handover.inherited[agent], handover.wanted[agent] = true, true
		}
		handover.recorded = handover.inherited
	}
	for _, agent := range connected {
		handover.AgentConnected(agent)
	}
}

// IsLoaded reports whether Load was called.
func (handover *Handover) IsLoaded() bool { return handover.loaded }

// AcquiredAt returns when the partition was acquired.
func (handover *Handover) AcquiredAt() ptid.Instant { return handover.acquiredAt }

// AgentConnected records that an agent has opened a session and is asked to confirm the adoption. It
// has no effect before Load. Call it before orders are sent over that session: the entry asks the agent
// for the state of the runs that it ordered over earlier ones, so their retained orders are dropped.
func (handover *Handover) AgentConnected(agent ptid.AgentName) {
	if !handover.loaded {
		return
	}
	handover.retained = slices.DeleteFunc(handover.retained, func(order ptassign.SendOrder) bool { return order.Agent == agent })
	if !handover.wanted[agent] {
		handover.wanted[agent], handover.changed = true, true
	}
	if !handover.finished {
		handover.unconfirmed[agent] = true
		delete(handover.confirmed, agent)
	}
}

// AgentConfirmed records that an agent has sent all its runs of the partition.
func (handover *Handover) AgentConfirmed(agent ptid.AgentName) {
	if !handover.finished {
		handover.confirmed[agent] = true
		delete(handover.unconfirmed, agent)
	}
}

// IsFinished reports whether the tasks of the partition may be placed.
func (handover *Handover) IsFinished() bool { return handover.finished }

// MayHaveUnknownRuns reports whether runs of earlier owners may have ended with unknown results. It is
// valid once the handover is finished.
func (handover *Handover) MayHaveUnknownRuns() bool { return handover.mayHaveUnknownRuns }

// TryFinish finishes the handover if every run of the earlier owners is known or has certainly ended.
// It reports whether the handover is finished by this call.
func (handover *Handover) TryFinish(sessions Sessions, now ptid.Instant) (finished bool) {
	if !handover.loaded || handover.finished {
		return false
	}
	for agent := range handover.unconfirmed {
		if connected, _ := sessions.Session(agent); connected {
			return false
		}
	}
	connectedSince := sessions.ConnectedSince()
	if connectedSince == ptid.Never {
		return false
	}
	unknown := handover.inherited == nil || len(handover.Missing()) > 0
	isNewEntry := handover.acquiredAt.Sub(handover.entryStartedAt) < ptassign.DurableRunLossTimeout
	if (unknown || isNewEntry) && now.Sub(max(handover.acquiredAt, connectedSince)) <= ptassign.DurableRunLossTimeout {
		return false
	}
	handover.finished, handover.mayHaveUnknownRuns = true, unknown
	return true
}

// HasRecord reports whether the earlier owners have left a record.
func (handover *Handover) HasRecord() bool { return handover.inherited != nil }

// RecordedAgents returns the number of agents in the record that the log holds.
func (handover *Handover) RecordedAgents() int { return len(handover.recorded) }

// Missing returns the agents in the record of the earlier owners that have not confirmed the adoption.
func (handover *Handover) Missing() (missing []ptid.AgentName) {
	for agent := range handover.inherited {
		if !handover.confirmed[agent] {
			missing = append(missing, agent)
		}
	}
	slices.Sort(missing)
	return missing
}

// RecordToWrite returns the agents of the record to write next; changed is false if there is no need
// to write one now. Call RecordWritten once the log holds the record.
func (handover *Handover) RecordToWrite(sessions Sessions, now ptid.Instant) (agents []ptid.AgentName, changed bool) {
	if !handover.loaded || handover.writing != nil {
		return nil, false
	}
	if handover.finished && now >= handover.reviewAt {
		handover.reviewAt = now.Add(reviewInterval)
		handover.removeLostAgents(sessions, now)
	}
	if !handover.changed {
		return nil, false
	}
	handover.changed = false
	if handover.recorded != nil && maps.Equal(handover.recorded, handover.wanted) {
		return nil, false
	}
	handover.writing = maps.Clone(handover.wanted)
	return slices.Sorted(maps.Keys(handover.writing)), true
}

// removeLostAgents removes the agents at which no run of the partition can be active any more.
func (handover *Handover) removeLostAgents(sessions Sessions, now ptid.Instant) {
	connectedSince := sessions.ConnectedSince()
	if connectedSince == ptid.Never {
		return
	}
	for agent := range handover.wanted {
		connected, lostAt := sessions.Session(agent)
		if !connected && !sessions.HasRuns(agent) && now.Sub(max(handover.acquiredAt, connectedSince, lostAt)) > ptassign.DurableRunLossTimeout {
			delete(handover.wanted, agent)
			handover.changed = true
		}
	}
}

// RecordWritten records that the log holds the record that RecordToWrite has returned. It returns the
// retained orders that may be sent now.
func (handover *Handover) RecordWritten() (orders []ptassign.SendOrder) {
	handover.recorded, handover.writing = handover.writing, nil
	var retained []ptassign.SendOrder
	for _, order := range handover.retained {
		if handover.MayOrder(order.Agent) {
			orders = append(orders, order)
		} else {
			retained = append(retained, order)
		}
	}
	handover.retained = retained
	return orders
}

// MayOrder reports whether orders may be sent to an agent: any later owner will know that the agent
// may have runs of the partition.
func (handover *Handover) MayOrder(agent ptid.AgentName) bool {
	return handover.recorded[agent] && (handover.writing == nil || handover.writing[agent])
}

// RetainOrder retains an order that must not be sent before the record is written. It returns false if
// the order may be sent.
func (handover *Handover) RetainOrder(order ptassign.SendOrder) (retained bool) {
	if handover.MayOrder(order.Agent) {
		return false
	}
	handover.retained = append(handover.retained, order)
	return true
}

// DropOrder drops a retained order, and reports whether there was one. The run has certainly not
// started.
func (handover *Handover) DropOrder(agent ptid.AgentName, run ptrun.ID) (dropped bool) {
	before := len(handover.retained)
	handover.retained = slices.DeleteFunc(handover.retained, func(order ptassign.SendOrder) bool { return order.Agent == agent && order.Run == run })
	return len(handover.retained) < before
}
