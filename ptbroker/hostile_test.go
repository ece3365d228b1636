package ptbroker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptkept"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/ptstandin"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// One broken agent must neither end the entry nor keep the others' workers from use.
func TestFramesOfABrokenAgentDoNoHarm(test *testing.T) {
	ptassert.PanicOnFailure()
	const seeds, frames = 20, 300
	for seed := range uint64(seeds) {
		expect := NewWithT(test)
		random := rand.New(rand.NewPCG(seed, 1))
		broker := New(Setting{Name: "entry", Zone: "zone", Seed: seed}, Dependencies{
			Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Queues: ptqueue.NewCatalogStore(),
			JobStore: ptstandin.NewJobStore(4).Client("entry"), PeerAddress: "127.0.0.1:1",
		})
		broker.keeper.owned[1] = &owned{
			number: 1, epoch: 1, loaded: true, stop: func() {}, jobs: make(map[ptid.JobID]*keptJob), dirty: make(map[ptid.JobID]bool),
			awaited: make(map[ptid.AgentName]bool), timed: make(map[ptid.JobID]*keptJob), earlier: make(map[ptid.JobID]ptkept.Progress),
			strangers: make(map[ptid.JobID][]stranger), identifying: make(map[ptid.JobID]bool), unknown: make(map[ptid.JobID]bool),
		}
		broken, sound := join(broker, "broken"), join(broker, "sound")
		room := &ptwire.Room{Worker: "worker", CpuMillicores: 4000, MemoryMebibytes: 4000, Pace: 1}
		for frame := range frames {
			if frame%10 == 0 {
				sound.Receive(nil, &ptwire.Frame{Room: room})
				submit(expect, broker, frame)
			}
			broken.Receive(nil, ptstandin.ArbitraryFrame(random, []string{"", "done", "failed", "service", "broken", fmt.Sprintf("%016x", frame/10*10), "\xff"}))
			broker.mu.Lock()
			broker.do(broker.core.Tick(broker.deps.Clock.Now()))
			broker.mu.Unlock()
		}
		broker.leave(broken, context.Canceled)
		sound.Receive(nil, &ptwire.Frame{Room: room})
		ticket := submit(expect, broker, frames)
		for run := range ticketRuns(broker, ticket) {
			sound.Receive(nil, &ptwire.Frame{Room: room, RunEnds: []*ptwire.RunEnd{{Run: run, Result: string(ptrun.Done)}}})
		}
		expect.Expect(ticket.Done()).To(BeClosed())
		expect.Expect(ticket.Outcome().State).To(Equal(ptgraph.Completed))
	}
}

// A ready entry must not refuse what comes for want of a worker: a session says nothing of the
// worker yet, and the worker may have to be seen without runs of a former agent first.
func TestIsReadyOnceAWorkerTakesOrders(test *testing.T) {
	expect := NewWithT(test)
	queues := ptqueue.NewCatalogStore()
	queues.Update(ptqueue.NewCatalog(1, nil, ptqueue.Limits{}))
	broker := New(Setting{Name: "entry", Zone: "zone", Seed: 1}, Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Queues: queues, JobStore: ptstandin.NewJobStore(4).Client("entry"), PeerAddress: "127.0.0.1:1",
	})
	expect.Expect(broker.Ready()).To(BeFalse())
	joined := join(broker, "agent")
	broker.sessions.Store(1)
	expect.Expect(broker.Ready()).To(BeFalse(), "with a session alone")
	room := &ptwire.Room{Worker: "worker", CpuMillicores: 4000, MemoryMebibytes: 4000, Pace: 1, Unusable: true}
	joined.Receive(nil, &ptwire.Frame{Room: room})
	expect.Expect(broker.Ready()).To(BeFalse(), "with a worker that takes no orders yet")
	room.Unusable = false
	joined.Receive(nil, &ptwire.Frame{Room: room})
	expect.Expect(broker.Ready()).To(BeTrue())
	submit(expect, broker, 1)
}

func join(broker *Broker, name string) (joined *link) {
	joined = &link{broker: broker, greeting: &ptwire.Greeting{Agent: name, Service: "service", Incarnation: 1, Session: 1}}
	joined.session = ptsession.New(ptlink.EntrySide, broker.deps.Clock, ptstandin.DiscardStream{}, func() {}, time.Second, joined)
	broker.links[joined.name()] = joined
	broker.do(broker.core.AgentConnected(joined.name(), 1, "service", true, broker.deps.Clock.Now()))
	return joined
}

func submit(expect *WithT, broker *Broker, number int) (ticket *JobHandle) {
	ticket, refusal, err := broker.Submit(ptassign.Spec{
		Spec: ptgraph.Spec{ID: ptid.JobID(fmt.Sprintf("%016x", number)), MaxAttempts: 3, Steps: []ptgraph.Step{
			{Count: 1, Demand: ptrun.Demand{CPU: 1}, Estimate: time.Millisecond},
		}},
		Queue: ptqueue.Queue{Name: "queue", Service: "service", Stretch: 2, TargetLatency: time.Minute}, Deadline: ptid.Never,
	})
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(refusal).To(BeNil())
	return ticket
}

// ticketRuns yields the runs of a job that were placed, until it has ended.
func ticketRuns(broker *Broker, ticket *JobHandle) func(yield func(*ptwire.RunRef) bool) {
	return func(yield func(*ptwire.RunRef) bool) {
		for job := broker.core.Job(ptassign.Key{ID: ticket.ID}); job != nil; job = broker.core.Job(ptassign.Key{ID: ticket.ID}) {
			runs := job.PlacedRuns()
			if len(runs) == 0 || !yield(runs[0].Ref()) {
				return
			}
		}
	}
}
