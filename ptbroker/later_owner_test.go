package ptbroker

import (
	"context"
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
	"github.com/primrosetiller/primrosetiller/ptstandin"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

func TestPartitionThatHasHadALaterOwnerIsReleased(test *testing.T) {
	expect, ctx := NewWithT(test), context.Background()
	store := ptstandin.NewJobStore(4)
	broker := New(Setting{Name: "entry", Zone: "zone", Seed: 1}, Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Queues: ptqueue.NewCatalogStore(), JobStore: store.Client("entry"), PeerAddress: "127.0.0.1:1",
	})
	agent := connectAgent(broker, "agent")
	partition := &ownedPartition{number: 1, epoch: 1, stop: func() {}, handover: pthandover.New(0, broker.deps.Clock.Now())}
	partition.handover.Load(&ptjobstore.Agents{}, []ptid.AgentName{agent.name()})
	broker.ownership.partitions[1], broker.ownership.expiresAt = partition, broker.deps.Clock.Now().Add(time.Hour)
	owned := func() bool {
		broker.mu.Lock()
		defer broker.mu.Unlock()
		return broker.ownership.partitions[1] == partition
	}
	later := &ptwire.Frame{Adopted: []*ptwire.Adopted{{Partition: 1, Epoch: 5}}}
	expect.Expect(store.Client("entry").Fence(ctx, 1, 1)).To(Succeed())
	agent.Receive(nil, later)
	expect.Consistently(owned).WithTimeout(200*time.Millisecond).Should(BeTrue(), "the log knows no later owner")
	expect.Expect(store.Client("other").Fence(ctx, 1, 5)).To(Succeed())
	// Without the release, the partition never recovers: the agent confirms no adoption of its epoch.
	expect.Expect(partition.handover.TryFinish(broker.core, broker.deps.Clock.Now().Add(10*ptassign.DurableRunLossTimeout))).To(BeFalse())
	agent.Receive(nil, later)
	expect.Eventually(owned).WithTimeout(5 * time.Second).Should(BeFalse())
}

// Guards against TWICE: the owner can't reach the log, which has assigned the partition to another entry.
// Agents that this entry can't reach keep the runs until the owner gives up the partition.
func TestOwnerWhoseMembershipMayHaveExpiredReleasesAPartitionOnTheWordOfAnAgent(test *testing.T) {
	expect, ctx, clock := NewWithT(test), context.Background(), newManualClock()
	store := ptstandin.NewJobStore(4)
	broker := New(Setting{Name: "entry", Zone: "zone", Seed: 1}, Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: clock, Queues: ptqueue.NewCatalogStore(), JobStore: store.Client("entry"), PeerAddress: "127.0.0.1:1",
	})
	agent := connectAgent(broker, "agent")
	membership, err := broker.ownership.store.Join(ctx, broker.MemberID(), 0, membershipTTL)
	expect.Expect(err).NotTo(HaveOccurred())
	broker.applyAssignment(ctx, membership, clock.Now())
	clock.Advance(membershipTTL)
	later := &ptwire.Frame{Adopted: []*ptwire.Adopted{{Partition: 1, Epoch: uint64(membership.Epoch) + 1}}}
	store.SetFault(func(ptstandin.JobStoreCall, string) error { return ptjobstore.ErrUnanswered })
	agent.Receive(nil, later)
	broker.mu.Lock()
	expect.Expect(broker.ownership.partitions).NotTo(HaveKey(ptjobstore.Partition(1)))
	expect.Expect(broker.ownership.partitions).To(HaveLen(3))
	broker.mu.Unlock()

	// The agent was wrong. The partition is acquired again, but not in the same epoch.
	store.SetFault(nil)
	broker.applyAssignment(ctx, membership, clock.Now())
	broker.mu.Lock()
	expect.Expect(broker.ownership.partitions).To(HaveLen(3))
	broker.mu.Unlock()
	broker.leaveLostEpoch(ctx, membership.Epoch)
	broker.mu.Lock()
	expect.Expect(broker.ownership.partitions).To(BeEmpty(), "other entries may get all of them")
	broker.mu.Unlock()
	next, err := broker.ownership.store.Join(ctx, broker.MemberID(), membership.Epoch, membershipTTL)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(next.Epoch).To(BeNumerically(">", membership.Epoch))
	broker.applyAssignment(ctx, next, clock.Now())
	broker.mu.Lock()
	defer broker.mu.Unlock()
	expect.Expect(broker.ownership.partitions).To(HaveLen(4))
	for number, partition := range broker.ownership.partitions {
		expect.Expect(partition.epoch).To(Equal(next.Epoch), "partition %d", number)
	}
}
