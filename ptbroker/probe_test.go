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
	"github.com/primrosetiller/primrosetiller/ptkept"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// swallowing is a log that fails the first put and never answers the second.
type swallowing struct {
	*ptstandin.JobStoreClient
	puts      atomic.Int64
	swallowed chan struct{}
	end       chan struct{}
}

func (log *swallowing) Put(ctx context.Context, partition ptkept.Partition, record ptkept.Record) error {
	switch log.puts.Add(1) {
	case 1:
		return ptkept.ErrUnanswered
	case 2:
		close(log.swallowed)
		<-log.end
		return ptkept.ErrUnanswered
	}
	return log.JobStoreClient.Put(ctx, partition, record)
}

// The load: the log is silent for all entries, and back. What it has swallowed is never
// answered; others are refused at once meanwhile, and kept as soon as it is back.
func TestPutsGoOnBesideOneThatIsNeverAnswered(test *testing.T) {
	expect := NewWithT(test)
	log := &swallowing{JobStoreClient: ptstandin.NewJobStore(4).Client("entry"), swallowed: make(chan struct{}), end: make(chan struct{})}
	broker := New(Setting{Name: "entry", Zone: "zone", Seed: 1}, Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Queues: ptqueue.NewCatalogStore(), JobStore: log, PeerAddress: "127.0.0.1:1",
	})
	number := 0
	accept := func() error {
		number++
		return broker.SubmitDurable(context.Background(), ptkept.Spec{ID: ptid.JobID(fmt.Sprintf("%016x", number)), Steps: []ptgraph.Step{
			{Count: 1, Demand: ptrun.Demand{CPU: 1}},
		}})
	}
	expect.Expect(accept()).To(MatchError(ptkept.ErrUnanswered))
	// However long it takes, only a put that looks for the log succeeds.
	broker.cutAt.Store(int64(broker.deps.Clock.Now().Add(time.Hour)))
	hangs := make(chan error, 1)
	go func() {
		hangs <- broker.putKept(context.Background(), "00000000000000a1", ptkept.Record{Key: "00000000000000a1", Value: []byte("{}")})
	}()
	expect.Eventually(log.swallowed).Should(BeClosed())
	expect.Expect(accept()).To(MatchError(ptkept.ErrRefused), "at once, since nothing was tried")
	expect.Eventually(accept).WithTimeout(10 * time.Second).Should(Succeed())
	expect.Expect(hangs).NotTo(Receive())
	close(log.end)
	expect.Eventually(hangs).Should(Receive(MatchError(ptkept.ErrUnanswered)))
}
