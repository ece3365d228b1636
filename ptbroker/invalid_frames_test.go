package ptbroker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/pthandover"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/ptstandin"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now atomic.Int64 }

func newManualClock() (clock *manualClock) {
	clock = &manualClock{}
	clock.Advance(time.Hour)
	return clock
}

func (clock *manualClock) Now() ptid.Instant { return ptid.Instant(clock.now.Load()) }

func (clock *manualClock) Advance(duration time.Duration) { clock.now.Add(int64(duration)) }

// Invalid frames from one agent must neither crash the entry nor prevent it from using the
// workers of other agents.
func TestInvalidFramesOfOneAgentDoNotAffectOthers(test *testing.T) {
	ptassert.PanicOnFailure()
	// All frames of a seed arrive before the runs at the sound worker, which do not end, count as
	// hanging.
	const seeds, frames, frameInterval = 20, 300, 300 * time.Microsecond
	for seed := range uint64(seeds) {
		expect := NewWithT(test)
		random, clock := rand.New(rand.NewPCG(seed, 1)), newManualClock()
		broker := New(Setting{Name: "entry", Zone: "zone", Seed: seed}, Dependencies{
			Log: logr.Discard(), Metrics: ptmetric.New(), Clock: clock, Queues: ptqueue.NewCatalogStore(),
			JobStore: ptstandin.NewJobStore(4).Client("entry"), PeerAddress: "127.0.0.1:1",
		})
		handover := pthandover.New(0, clock.Now())
		handover.Load(&ptjobstore.Agents{}, nil)
		broker.ownership.partitions[1] = &ownedPartition{
			number: 1, epoch: 1, handover: handover, stop: func() {}, jobs: make(map[ptid.JobID]*durableJob), dirty: make(map[ptid.JobID]bool),
			scheduled: make(map[ptid.JobID]*durableJob), orphanProgress: make(map[ptid.JobID]ptjobstore.Progress),
			unresolved: make(map[ptid.JobID][]unresolvedRun), resolving: make(map[ptid.JobID]bool), missing: make(map[ptid.JobID]bool),
		}
		faulty, healthy := connectAgent(broker, "broken"), connectAgent(broker, "sound")
		report := &ptwire.Room{Worker: "worker", CpuMillicores: 4000, MemoryMebibytes: 4000, Pace: 1}
		for frame := range frames {
			if frame%10 == 0 {
				healthy.Receive(nil, &ptwire.Frame{Room: report})
				submit(expect, broker, frame)
			}
			faulty.Receive(nil, ptstandin.ArbitraryFrame(random, []string{"", "done", "failed", "service", "broken", fmt.Sprintf("%016x", frame/10*10), "\xff"}))
			clock.Advance(frameInterval)
			broker.mu.Lock()
			broker.execute(broker.core.Tick(broker.deps.Clock.Now()))
			broker.mu.Unlock()
		}
		broker.sessionEnded(faulty, context.Canceled)
		healthy.Receive(nil, &ptwire.Frame{Room: report})
		handle := submit(expect, broker, frames)
		for run := range placedRuns(broker, handle) {
			healthy.Receive(nil, &ptwire.Frame{Room: report, RunEnds: []*ptwire.RunEnd{{Run: run, Result: string(ptrun.Done)}}})
		}
		expect.Expect(handle.Done()).To(BeClosed())
		expect.Expect(handle.Outcome().State).To(Equal(ptgraph.Completed))
	}
}

// A ready entry must not refuse jobs for lack of a worker. A session alone does not show that
// there is a worker, and a worker takes no orders until it has been listed without runs of an
// earlier agent process.
func TestBrokerIsReadyOnceAWorkerTakesOrders(test *testing.T) {
	expect := NewWithT(test)
	queues := ptqueue.NewCatalogStore()
	queues.Update(ptqueue.NewCatalog(1, nil, ptqueue.Limits{}))
	broker := New(Setting{Name: "entry", Zone: "zone", Seed: 1}, Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Queues: queues, JobStore: ptstandin.NewJobStore(4).Client("entry"), PeerAddress: "127.0.0.1:1",
	})
	expect.Expect(broker.Ready()).To(BeFalse())
	agent := connectAgent(broker, "agent")
	broker.sessions.Store(1)
	expect.Expect(broker.Ready()).To(BeFalse(), "with only a session")
	report := &ptwire.Room{Worker: "worker", CpuMillicores: 4000, MemoryMebibytes: 4000, Pace: 1, Unusable: true}
	agent.Receive(nil, &ptwire.Frame{Room: report})
	expect.Expect(broker.Ready()).To(BeFalse(), "with a worker that takes no orders yet")
	report.Unusable = false
	agent.Receive(nil, &ptwire.Frame{Room: report})
	expect.Expect(broker.Ready()).To(BeTrue())
	submit(expect, broker, 1)
}

func connectAgent(broker *Broker, name string) (agent *agentSession) {
	agent = &agentSession{broker: broker, greeting: &ptwire.Greeting{Agent: name, Service: "service", Incarnation: 1, Session: 1}}
	agent.session = ptsession.New(ptlink.EntrySide, broker.deps.Clock, ptstandin.DiscardStream{}, func() {}, time.Second, agent)
	broker.agentSessions[agent.name()] = agent
	broker.execute(broker.core.AgentConnected(agent.name(), 1, "service", true, broker.deps.Clock.Now()))
	return agent
}

func submit(expect *WithT, broker *Broker, number int) (handle *JobHandle) {
	handle, refusal, err := broker.Submit(ptassign.Spec{
		Spec: ptgraph.Spec{ID: ptid.JobID(fmt.Sprintf("%016x", number)), MaxAttempts: 3, Steps: []ptgraph.Step{
			{Count: 1, Demand: ptrun.Demand{CPU: 1}, Estimate: time.Millisecond},
		}},
		Queue: ptqueue.Queue{Name: "queue", Service: "service", Stretch: 2, TargetLatency: time.Minute}, Deadline: ptid.Never,
	}, &ptstandin.Caller{})
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(refusal).To(BeNil())
	return handle
}

// placedRuns yields the placed runs of a job until it has ended.
func placedRuns(broker *Broker, handle *JobHandle) func(yield func(*ptwire.RunRef) bool) {
	return func(yield func(*ptwire.RunRef) bool) {
		for job := broker.core.Job(ptassign.Key{ID: handle.ID}); job != nil; job = broker.core.Job(ptassign.Key{ID: handle.ID}) {
			runs := job.PlacedRuns()
			if len(runs) == 0 || !yield(runs[0].Ref()) {
				return
			}
		}
	}
}
