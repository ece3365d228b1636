package ptbroker

import (
	"context"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptrunner"
	"github.com/primrosetiller/primrosetiller/ptstandin"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

var learnedQueue = ptqueue.Queue{Name: "learned", Service: "service", MaxAttempts: 3, Stretch: 2, TargetLatency: 10 * time.Second}

// learningSystem has entries that start and stop, and one agent that goes on.
type learningSystem struct {
	test   *testing.T
	expect *WithT

	mu        sync.Mutex
	addresses []string
}

func (system *learningSystem) startEntry(name ptid.EntryName, log logr.Logger) (entry *Broker, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	system.expect.Expect(err).NotTo(HaveOccurred())
	queues := ptqueue.NewCatalogStore()
	queues.Update(ptqueue.NewCatalog(1, []ptqueue.Queue{learnedQueue}, ptqueue.Limits{}))
	entry = New(Setting{Name: name, Zone: "zone", Seed: 1, ShutdownTimeout: time.Second}, Dependencies{
		Log: log, Metrics: ptmetric.New(), Clock: ptid.NewClock(), Queues: queues,
		JobStore: ptstandin.NewJobStore(1).Client(string(name)), PeerAddress: listener.Addr().String(),
	})
	system.mu.Lock()
	system.addresses = append(system.addresses, listener.Addr().String())
	system.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := entry.Run(ctx, listener); err != nil {
			system.test.Error(err)
		}
	}()
	stop = func() {
		cancel()
		<-done
	}
	system.test.Cleanup(stop)
	system.expect.Eventually(entry.Ready).WithTimeout(30 * time.Second).Should(BeTrue())
	return entry, stop
}

func (system *learningSystem) startAgent(runTime time.Duration) (stop func()) {
	worker := ptstandin.NewWorker("worker", ptrun.Demand{CPU: 4000, Memory: 1000})
	worker.RunTime = runTime
	runner := ptrunner.New(ptrunner.Setting{Name: "agent", Zone: "zone", Service: "service"}, ptrunner.Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Executor: worker, Discover: func() []string {
			system.mu.Lock()
			defer system.mu.Unlock()
			return append([]string(nil), system.addresses...)
		},
	})
	runner.WorkerAnnounced(worker.Announcement(), worker.Clock())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := runner.Run(ctx); err != nil {
			system.test.Error(err)
		}
	}()
	stop = func() {
		cancel()
		<-done
	}
	system.test.Cleanup(stop)
	return stop
}

// agentKnows reports whether the agent sends learned run times to an entry that is added.
func (system *learningSystem) agentKnows() bool {
	added, stop := system.startEntry("added", logr.Discard())
	defer stop()
	return added.hasAdoptedRunTimes()
}

// runJob runs a job without a declared estimate and returns the run time that its objective contains.
func (system *learningSystem) runJob(entry *Broker, id ptid.JobID) (expected time.Duration) {
	handle, refusal, err := entry.Submit(ptassign.Spec{Deadline: ptid.Never, Queue: learnedQueue, Spec: ptgraph.Spec{
		ID: id, MaxAttempts: 3, Steps: []ptgraph.Step{{Count: 1, Demand: ptrun.Demand{CPU: 1000}}},
	}}, &ptstandin.Caller{})
	system.expect.Expect(err).NotTo(HaveOccurred())
	system.expect.Expect(refusal).To(BeNil())
	entry.mu.Lock()
	if job := entry.core.Job(ptassign.Key{ID: id}); job != nil {
		expected = (job.Objective.Sub(job.SubmittedAt) - learnedQueue.TargetLatency) / 2
	}
	entry.mu.Unlock()
	system.expect.Eventually(handle.Done()).WithTimeout(30 * time.Second).Should(BeClosed())
	return expected
}

func (broker *Broker) hasAdoptedRunTimes() bool {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	return broker.runTimes.adopted
}

// An entry that has restarted would otherwise expect the default run time of each queue, and admit, order
// and place its first jobs by it.
func TestRestartedEntryExpectsTheLearnedRunTime(test *testing.T) {
	system := &learningSystem{test: test, expect: NewWithT(test)}
	const runTime = 700 * time.Millisecond
	system.startAgent(runTime)
	former, stopFormer := system.startEntry("entry0", logr.Discard())
	system.expect.Expect(system.runJob(former, "00000000000000a1")).To(BeNumerically("<", runTime/2), "the default")
	learned := system.runJob(former, "00000000000000a2")
	system.expect.Expect(learned).To(BeNumerically(">=", runTime))
	system.expect.Eventually(system.agentKnows).WithTimeout(30 * time.Second).WithPolling(300 * time.Millisecond).Should(BeTrue())
	stopFormer()
	var lines []string
	var linesMu sync.Mutex
	restarted, _ := system.startEntry("entry0", funcr.New(func(_, line string) {
		linesMu.Lock()
		defer linesMu.Unlock()
		lines = append(lines, line)
	}, funcr.Options{}))
	system.expect.Expect(system.runJob(restarted, "00000000000000a3")).To(BeNumerically("~", learned, learned/4))
	linesMu.Lock()
	defer linesMu.Unlock()
	system.expect.Expect(lines).To(ContainElement(And(ContainSubstring("learned run times adopted"), ContainSubstring(`"queues"=1`), ContainSubstring(`"agent"="agent"`))))
}

// An agent that has restarted holds no run times. If it did not learn them again from the entries, those
// would be lost with the last agent that has not restarted.
func TestRestartedAgentLearnsRunTimesAgain(test *testing.T) {
	system := &learningSystem{test: test, expect: NewWithT(test)}
	stopAgent := system.startAgent(10 * time.Millisecond)
	entry, _ := system.startEntry("entry0", logr.Discard())
	system.runJob(entry, "00000000000000a1")
	system.expect.Eventually(system.agentKnows).WithTimeout(30 * time.Second).WithPolling(300 * time.Millisecond).Should(BeTrue())
	stopAgent()
	system.startAgent(10 * time.Millisecond)
	system.expect.Eventually(system.agentKnows).WithTimeout(30 * time.Second).WithPolling(300 * time.Millisecond).Should(BeTrue())
}

// A greeting with malformed values must neither be refused nor change what the entry expects.
func TestMalformedRunTimesInAGreetingAreIgnored(test *testing.T) {
	expect := NewWithT(test)
	broker := New(Setting{Name: "entry", Zone: "zone", Seed: 1}, Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Queues: ptqueue.NewCatalogStore(),
	})
	client, server := net.Pipe()
	defer func() { _, _ = client.Close(), server.Close() }()
	_, err := broker.welcome(&greetingStream{onSend: func() {}}, server, &ptwire.Frame{
		Greeting: &ptwire.Greeting{Agent: "agent", Service: "service", Incarnation: 2, Session: 1, Protocol: protocolVersion},
		RunTimes: []*ptwire.QueueRunTime{nil, {}, {Queue: "learned", Seconds: math.NaN(), Weight: 9}, {Queue: "learned", Seconds: -1, Weight: 9}, {Queue: "\n", Seconds: 1, Weight: 9}},
	})
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(broker.hasAdoptedRunTimes()).To(BeFalse())
}
