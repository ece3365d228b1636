package ptbroker

import (
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptstandin"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// A starved entry reads the clock, and then waits for the lock for longer than an order is valid.
func TestOrdersAreNotPlacedAtAnInstantBeforeTheLockWasTaken(test *testing.T) {
	ptassert.PanicOnFailure()
	expect, clock := NewWithT(test), newManualClock()
	broker := New(Setting{Name: "entry", Zone: "zone", Seed: 1}, Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: clock, Queues: ptqueue.NewCatalogStore(), JobStore: ptstandin.NewJobStore(4).Client("entry"), PeerAddress: "127.0.0.1:1",
	})
	agent := connectAgent(broker, "agent")
	report := &ptwire.Room{Worker: "worker", CpuMillicores: 4000, MemoryMebibytes: 4000, Pace: 1}
	agent.Receive(nil, &ptwire.Frame{Room: report})
	agent.Receive(nil, &ptwire.Frame{Room: &ptwire.Room{Worker: "worker", CpuMillicores: 4000, MemoryMebibytes: 4000, HeldCpuMillicores: 4000, Pace: 1}})
	handle := submit(expect, broker, 1)
	waitingForLock := make(chan struct{})
	broker.deps.Clock = &observedClock{manualClock: clock, read: waitingForLock}
	broker.mu.Lock()
	received := make(chan struct{})
	go func() {
		defer close(received)
		agent.Receive(nil, &ptwire.Frame{Room: report})
	}()
	<-waitingForLock
	clock.Advance(2 * ptassign.OrderTTL)
	broker.mu.Unlock()
	<-received
	job := broker.core.Job(ptassign.Key{ID: handle.ID})
	expect.Expect(job.PlacedRuns()).To(HaveLen(1))
	expect.Expect(job.FirstPlacedAt).To(Equal(clock.Now()))
}

// observedClock is a clock that closes a channel when it is read first.
type observedClock struct {
	*manualClock
	read chan struct{}
}

func (clock *observedClock) Now() (now ptid.Instant) {
	now = clock.manualClock.Now()
	select {
	case <-clock.read:
	default:
		close(clock.read)
	}
	return now
}
