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
	broker.ownership.partitions[1] = partition
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
