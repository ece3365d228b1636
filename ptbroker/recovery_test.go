package ptbroker

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/ptstandin"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// newRecoveringBroker returns a broker with one session whose agent has confirmed the adoption of
// the broker's only partition.
func newRecoveringBroker() (broker *Broker, partition *ownedPartition) {
	broker = New(Setting{Name: "entry", Zone: "zone", Seed: 1}, Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Queues: ptqueue.NewCatalogStore(),
		JobStore: ptstandin.NewJobStore(4).Client("entry"),
	})
	connectAgent(broker, "agent")
	partition = &ownedPartition{epoch: 1, loaded: true, recovering: true, unconfirmedAgents: make(map[ptid.AgentName]bool), acquiredAt: broker.deps.Clock.Now()}
	broker.ownership.partitions[0] = partition
	return broker, partition
}

func TestPartitionIsNotRecoveredBeforeAnAgentThatConnectsMeanwhileHasConfirmed(test *testing.T) {
	expect := NewWithT(test)
	broker, partition := newRecoveringBroker()
	grown := broker.ownership.startedAt.Add(ptassign.DurableRunLossTimeout)
	partition.acquiredAt = grown
	expect.Expect(broker.isRecovered(partition, grown)).To(BeTrue())
	connecting := connectAgent(broker, "connecting")
	broker.sessionEnded(connecting, ptsession.ErrClosed)
	expect.Expect(broker.isRecovered(partition, grown)).To(BeFalse(), "an agent has lost its session")
	connecting.greeting.Session++
	expect.Expect(broker.register(connecting, nil)).To(BeEmpty())
	for _, now := range []ptid.Instant{grown, grown.Add(2 * ptassign.DurableRunLossTimeout)} {
		expect.Expect(broker.isRecovered(partition, now)).To(BeFalse(), "the agent has not confirmed")
	}
	broker.handleAdopted(connecting, &ptwire.Adopted{Epoch: 1}, grown)
	expect.Expect(broker.isRecovered(partition, grown)).To(BeTrue())
}

func TestPartitionOfANewEntryIsNotRecoveredWhileAnAgentWithItsRunsMayBeUnknown(test *testing.T) {
	expect := NewWithT(test)
	broker, partition := newRecoveringBroker()
	partition.acquiredAt = broker.ownership.startedAt.Add(ptassign.DurableRunLossTimeout - 1)
	bound := partition.acquiredAt.Add(ptassign.DurableRunLossTimeout)
	expect.Expect(broker.isRecovered(partition, bound)).To(BeFalse())
	expect.Expect(broker.isRecovered(partition, bound+1)).To(BeTrue())
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
	partition := &ownedPartition{epoch: 1, loaded: true, recovering: true, unconfirmedAgents: make(map[ptid.AgentName]bool), acquiredAt: clock.Now()}
	broker.ownership.partitions[0] = partition
	reconnect := func(agent *agentSession) {
		agent.greeting.Session++
		expect.Expect(broker.register(agent, nil)).To(BeEmpty())
		broker.handleAdopted(agent, &ptwire.Adopted{Epoch: 1}, clock.Now())
	}
	reconnect(agents[0])
	expect.Expect(broker.isRecovered(partition, clock.Now())).To(BeFalse(), "the other agent may have runs")
	reconnect(agents[1])
	expect.Expect(broker.isRecovered(partition, clock.Now())).To(BeTrue())
	broker.sessionEnded(agents[1], ptsession.ErrClosed)
	expect.Expect(broker.isRecovered(partition, partition.acquiredAt.Add(ptassign.DurableRunLossTimeout))).To(BeFalse())
	expect.Expect(broker.isRecovered(partition, partition.acquiredAt.Add(ptassign.DurableRunLossTimeout+1))).To(BeTrue())
	clock.Advance(time.Hour)
	partition.acquiredAt = clock.Now()
	expect.Expect(broker.isRecovered(partition, clock.Now())).To(BeTrue(), "an agent that was removed must not delay later recoveries")
}
