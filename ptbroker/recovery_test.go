package ptbroker

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/pthandover"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/ptstandin"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// newRecoveringBroker returns a broker with one session whose agent has confirmed the adoption of
// the broker's only partition.
func newRecoveringBroker(record *ptjobstore.Agents) (broker *Broker, partition *ownedPartition, clock *manualClock) {
	clock = newManualClock()
	broker = New(Setting{Name: "entry", Zone: "zone", Seed: 1}, Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: clock, Queues: ptqueue.NewCatalogStore(),
		JobStore: ptstandin.NewJobStore(4).Client("entry"),
	})
	agent := connectAgent(broker, "agent")
	clock.Advance(ptassign.DurableRunLossTimeout)
	return broker, acquire(broker, record, agent), clock
}

// acquire gives the broker a partition whose adoption the agents have confirmed.
func acquire(broker *Broker, record *ptjobstore.Agents, confirmed ...*agentSession) (partition *ownedPartition) {
	now := broker.deps.Clock.Now()
	partition = &ownedPartition{epoch: 1, handover: pthandover.New(broker.ownership.startedAt, now)}
	partition.handover.Load(record, nil)
	for _, agent := range confirmed {
		partition.handover.AgentConnected(agent.name())
		partition.handover.AgentConfirmed(agent.name())
	}
	broker.ownership.partitions[0] = partition
	return partition
}

func TestPartitionIsNotRecoveredBeforeAnAgentThatConnectsMeanwhileHasConfirmed(test *testing.T) {
	expect := NewWithT(test)
	record := &ptjobstore.Agents{Names: []ptid.AgentName{"agent"}}
	broker, partition, clock := newRecoveringBroker(record)
	expect.Expect(partition.handover.TryFinish(broker.core, clock.Now())).To(BeTrue())
	broker, partition, clock = newRecoveringBroker(&ptjobstore.Agents{Names: []ptid.AgentName{"agent", "connecting"}})
	connecting := connectAgent(broker, "connecting")
	broker.sessionEnded(connecting, ptsession.ErrClosed)
	expect.Expect(partition.handover.TryFinish(broker.core, clock.Now())).To(BeFalse(), "an agent has lost its session")
	connecting.greeting.Session++
	expect.Expect(broker.register(connecting, nil)).To(BeEmpty())
	for _, now := range []ptid.Instant{clock.Now(), clock.Now().Add(2 * ptassign.DurableRunLossTimeout)} {
		expect.Expect(partition.handover.TryFinish(broker.core, now)).To(BeFalse(), "the agent has not confirmed")
	}
	broker.handleAdopted(connecting, &ptwire.Adopted{Epoch: 1}, clock.Now())
	expect.Expect(partition.handover.TryFinish(broker.core, clock.Now())).To(BeTrue())
}

func TestPartitionOfANewEntryIsNotRecoveredBeforeTheCrashesOfWorkersAreReported(test *testing.T) {
	expect := NewWithT(test)
	broker, _, clock := newRecoveringBroker(nil)
	clock.Advance(-1)
	partition := acquire(broker, &ptjobstore.Agents{Names: []ptid.AgentName{"agent"}}, broker.agentSessions["agent"])
	bound := clock.Now().Add(ptassign.DurableRunLossTimeout)
	expect.Expect(partition.handover.TryFinish(broker.core, bound)).To(BeFalse())
	expect.Expect(partition.handover.TryFinish(broker.core, bound+1)).To(BeTrue())
	expect.Expect(partition.handover.MayHaveUnknownRuns()).To(BeFalse())
}

// The partition was owned by an earlier version, which wrote no record.
func TestPartitionWithoutARecordIsNotRecoveredWhileAnAgentWithItsRunsMayBeUnknown(test *testing.T) {
	expect := NewWithT(test)
	broker, partition, clock := newRecoveringBroker(nil)
	bound := clock.Now().Add(ptassign.DurableRunLossTimeout)
	expect.Expect(partition.handover.TryFinish(broker.core, bound)).To(BeFalse())
	expect.Expect(partition.handover.TryFinish(broker.core, bound+1)).To(BeTrue())
	expect.Expect(partition.handover.MayHaveUnknownRuns()).To(BeTrue())
}

// Guards against review/8 (TWICE): the entry has run for an hour and has never had a session with an
// agent that has runs of the partition.
func TestPartitionIsNotRecoveredWhileAnAgentThatTheEntryHasNeverSeenMayHaveItsRuns(test *testing.T) {
	expect := NewWithT(test)
	broker, _, clock := newRecoveringBroker(nil)
	clock.Advance(time.Hour)
	partition := acquire(broker, &ptjobstore.Agents{Names: []ptid.AgentName{"agent", "neverSeen"}}, broker.agentSessions["agent"])
	bound := clock.Now().Add(ptassign.DurableRunLossTimeout)
	expect.Expect(partition.handover.TryFinish(broker.core, clock.Now())).To(BeFalse())
	expect.Expect(partition.handover.TryFinish(broker.core, bound)).To(BeFalse())
	expect.Expect(partition.handover.TryFinish(broker.core, bound+1)).To(BeTrue())
	expect.Expect(partition.handover.MayHaveUnknownRuns()).To(BeTrue())
}

// An entry that was cut off for long acquires partitions as soon as it reaches the log again. Agents
// with runs of the earlier owner may reconnect to it later than others.
func TestPartitionIsNotRecoveredWhileAnAgentThatWasCutOffForLongMayReconnect(test *testing.T) {
	expect, clock := NewWithT(test), newManualClock()
	broker := New(Setting{Name: "entry", Zone: "zone", Seed: 1}, Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: clock, Queues: ptqueue.NewCatalogStore(), JobStore: ptstandin.NewJobStore(4).Client("entry"),
	})
	agents := []*agentSession{connectAgent(broker, "agent0"), connectAgent(broker, "agent1")}
	clock.Advance(time.Hour)
	for _, agent := range agents {
		broker.sessionEnded(agent, ptsession.ErrClosed)
	}
	clock.Advance(10 * time.Minute)
	record := &ptjobstore.Agents{Names: []ptid.AgentName{"agent0", "agent1"}}
	partition := acquire(broker, record)
	reconnect := func(agent *agentSession) {
		agent.greeting.Session++
		expect.Expect(broker.register(agent, nil)).To(BeEmpty())
		broker.handleAdopted(agent, &ptwire.Adopted{Epoch: 1}, clock.Now())
	}
	reconnect(agents[0])
	expect.Expect(partition.handover.TryFinish(broker.core, clock.Now())).To(BeFalse(), "the other agent may have runs")
	reconnect(agents[1])
	expect.Expect(partition.handover.TryFinish(broker.core, clock.Now())).To(BeTrue())

	partition = acquire(broker, record, agents[0])
	broker.sessionEnded(agents[1], ptsession.ErrClosed)
	bound := clock.Now().Add(ptassign.DurableRunLossTimeout)
	expect.Expect(partition.handover.TryFinish(broker.core, bound)).To(BeFalse())
	expect.Expect(partition.handover.TryFinish(broker.core, bound+1)).To(BeTrue())

	clock.Advance(ptassign.DurableRunLossTimeout + 1)
	remaining, changed := partition.handover.RecordToWrite(broker.core, clock.Now())
	expect.Expect(changed).To(BeTrue())
	expect.Expect(remaining).To(ConsistOf(ptid.AgentName("agent0")))
	partition = acquire(broker, &ptjobstore.Agents{Names: remaining}, agents[0])
	expect.Expect(partition.handover.TryFinish(broker.core, clock.Now())).To(BeTrue(), "an agent that was removed must not delay later recoveries")
}
