package ptbroker

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// blockingLog fails the first put and does not respond to the second.
type blockingLog struct {
	*ptstandin.JobStoreClient
	puts    atomic.Int64
	blocked chan struct{}
	release chan struct{}
}

func (log *blockingLog) Put(ctx context.Context, partition ptjobstore.Partition, record ptjobstore.Record) error {
	switch log.puts.Add(1) {
	case 1:
		return ptjobstore.ErrUnanswered
	case 2:
		close(log.blocked)
		<-log.release
		return ptjobstore.ErrUnanswered
	}
	return log.JobStoreClient.Put(ctx, partition, record)
}

// The log is unreachable for all entries and recovers later, but never responds to a call that
// it lost during the outage. During the outage, other puts must be refused immediately. They
// must succeed as soon as the log responds again.
func TestPutsSucceedWhileAnEarlierPutIsBlocked(test *testing.T) {
	expect := NewWithT(test)
	log := &blockingLog{JobStoreClient: ptstandin.NewJobStore(4).Client("entry"), blocked: make(chan struct{}), release: make(chan struct{})}
	broker := New(Setting{Name: "entry", Zone: "zone", Seed: 1}, Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Queues: ptqueue.NewCatalogStore(), JobStore: log, PeerAddress: "127.0.0.1:1",
	})
	number := 0
	submit := func() error {
		number++
		return broker.SubmitDurable(context.Background(), ptjobstore.Spec{ID: ptid.JobID(fmt.Sprintf("%016x", number)), Steps: []ptgraph.Step{
			{Count: 1, Demand: ptrun.Demand{CPU: 1}},
		}})
	}
	expect.Expect(submit()).To(MatchError(ptjobstore.ErrUnanswered))
	// The circuit stays open for the whole test, so only a put that probes the log can succeed.
	broker.putFailedAt.Store(int64(broker.deps.Clock.Now().Add(time.Hour)))
	blockedPut := make(chan error, 1)
	go func() {
		blockedPut <- broker.putRecord(context.Background(), "00000000000000a1", ptjobstore.Record{Key: "00000000000000a1", Value: []byte("{}")})
	}()
	expect.Eventually(log.blocked).Should(BeClosed())
	expect.Expect(submit()).To(MatchError(ptjobstore.ErrRefused), "refused immediately, because the circuit is open")
	expect.Eventually(submit).WithTimeout(10 * time.Second).Should(Succeed())
	expect.Expect(blockedPut).NotTo(Receive())
	close(log.release)
	expect.Eventually(blockedPut).Should(Receive(MatchError(ptjobstore.ErrUnanswered)))
}
