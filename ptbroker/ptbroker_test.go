package ptbroker_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptbroker"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptrunner"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// conditionTimeout is the timeout of expected conditions; no measurement depends on it.
const conditionTimeout = 30 * time.Second

// endedJobRetention is longer than the time for which any test queries an ended job.
const endedJobRetention = 3 * time.Second

var queue = ptqueue.Queue{Name: "queue", Service: "service", MaxAttempts: 3, Stretch: 2, TargetLatency: 10 * time.Second}

// system consists of brokers and agents connected over loopback, with test doubles of the log
// and of the workers.
type system struct {
	test    *testing.T
	expect  *WithT
	store   *ptstandin.JobStore
	workers []*ptstandin.Worker
	brokers []*testBroker

	// passOn makes the brokers pass on the addresses of all brokers to their agents.
	passOn bool

	mu        sync.Mutex
	addresses []string
}

type testBroker struct {
	*ptbroker.Broker
	stop context.CancelFunc
	done chan struct{}
}

func newSystem(test *testing.T, brokers, agents int) *system {
	ptassert.PanicOnFailure()
	system := &system{test: test, expect: NewWithT(test), store: ptstandin.NewJobStore(4)}
	for i := range brokers {
		system.startBroker(i)
	}
	for i := range agents {
		system.startAgent(i)
	}
	for _, broker := range system.brokers {
		system.expect.Eventually(broker.Ready).WithTimeout(conditionTimeout).Should(BeTrue())
	}
	return system
}

func (system *system) startBroker(index int) *testBroker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	system.expect.Expect(err).NotTo(HaveOccurred())
	queues := ptqueue.NewCatalogStore()
	queues.Update(ptqueue.NewCatalog(1, []ptqueue.Queue{queue}, ptqueue.Limits{}))
	var discover func() []string
	if system.passOn {
		discover = system.knownAddresses
	}
	ctx, stop := context.WithCancel(context.Background())
	started := &testBroker{stop: stop, done: make(chan struct{}), Broker: ptbroker.New(ptbroker.Setting{
		Name: ptid.EntryName(fmt.Sprint("entry", index)), Zone: "zone", ShutdownTimeout: 2 * time.Second, Seed: 1, EndedJobRetention: endedJobRetention,
	}, ptbroker.Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Queues: queues, JobStore: system.store.Client(fmt.Sprint("entry", index)), PeerAddress: listener.Addr().String(), Discover: discover,
	})}
	system.mu.Lock()
	system.addresses = append(system.addresses, listener.Addr().String())
	system.mu.Unlock()
	system.brokers = append(system.brokers, started)
	go func() {
		defer close(started.done)
		if err := started.Run(ctx, listener); err != nil {
			system.test.Error(err)
		}
	}()
	system.test.Cleanup(func() {
		stop()
		<-started.done
	})
	return started
}

func (system *system) startAgent(index int) {
	system.startAgentThatKnows(index, system.knownAddresses)
}

func (system *system) knownAddresses() []string {
	system.mu.Lock()
	defer system.mu.Unlock()
	return append([]string(nil), system.addresses...)
}

// startAgentThatKnows starts an agent that discovers the given entry addresses.
func (system *system) startAgentThatKnows(index int, discover func() []string) {
	worker := ptstandin.NewWorker(ptrun.WorkerID(fmt.Sprint("worker", index)), ptrun.Demand{CPU: 4000, Memory: 1000})
	system.startRunner(index, worker, worker, discover)
}

// startRunner starts an agent that calls its worker through an executor.
func (system *system) startRunner(index int, executor ptrun.Executor, worker *ptstandin.Worker, discover func() []string) {
	system.workers = append(system.workers, worker)
	runner := ptrunner.New(ptrunner.Setting{Name: ptid.AgentName(fmt.Sprint("agent", index)), Zone: "zone", Service: "service"}, ptrunner.Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Executor: executor, Discover: discover,
	})
	runner.WorkerAnnounced(worker.Announcement(), worker.Clock())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := runner.Run(ctx); err != nil {
			system.test.Error(err)
		}
	}()
	system.test.Cleanup(func() {
		stop()
		<-done
	})
}

func graph(id string, tasks int) ptgraph.Spec {
	return ptgraph.Spec{ID: ptid.JobID(id), MaxAttempts: 3, Steps: []ptgraph.Step{
		{Count: tasks, Demand: ptrun.Demand{CPU: 1000}, Estimate: time.Minute},
	}}
}

func durableSpec(id string, tasks int) ptjobstore.Spec {
	return ptjobstore.Spec{ID: ptid.JobID(id), Queue: queue.Name, Service: queue.Service, MaxAttempts: 3, Steps: graph(id, tasks).Steps, Stretch: 2, TargetLatency: time.Second}
}

func (system *system) state(index int, id string) func() string {
	return func() string {
		state, found, err := system.brokers[index].AwaitDurable(context.Background(), ptid.JobID(id), 0)
		if err != nil || !found {
			return "unknown"
		}
		return state.String()
	}
}

func (system *system) active() (runs int) {
	for _, worker := range system.workers {
		runs += len(worker.ActiveRuns())
	}
	return runs
}

// starts returns the highest number of starts of any task of a job.
func (system *system) starts(id string, tasks int) (most int) {
	for index := range tasks {
		count := 0
		for _, worker := range system.workers {
			count += len(worker.RunNumbers(ptrun.TaskID{Job: ptid.JobID(id), Index: ptid.TaskIndex(index)}))
		}
		most = max(most, count)
	}
	return most
}

func (system *system) endAll() {
	for _, worker := range system.workers {
		for _, id := range worker.ActiveRuns() {
			worker.EndRun(id, ptrun.Done)
		}
	}
}

func TestSubmittedJobCompletes(test *testing.T) {
	system := newSystem(test, 2, 2)
	for _, worker := range system.workers {
		worker.RunTime = 10 * time.Millisecond
	}
	handle, refusal, err := system.brokers[0].Submit(ptassign.Spec{Spec: graph("00000000000000a1", 6), Queue: queue, Deadline: ptid.Never}, &ptstandin.Caller{})
	system.expect.Expect(err).NotTo(HaveOccurred())
	system.expect.Expect(refusal).To(BeNil())
	system.expect.Eventually(handle.Done()).WithTimeout(conditionTimeout).Should(BeClosed())
	system.expect.Expect(handle.Outcome().State).To(Equal(ptgraph.Completed))
	system.expect.Expect(system.starts("00000000000000a1", 6)).To(Equal(1))
}

func TestDurableJobRunsOnceAndIsVisibleAtEveryEntry(test *testing.T) {
	system := newSystem(test, 3, 2)
	for _, worker := range system.workers {
		worker.RunTime = 10 * time.Millisecond
	}
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec("00000000000000b1", 5))).To(Succeed())
	// A caller that got no response submits the job again, at another entry.
	system.expect.Expect(system.brokers[1].SubmitDurable(context.Background(), durableSpec("00000000000000b1", 5))).To(Succeed())
	for index := range system.brokers {
		system.expect.Eventually(system.state(index, "00000000000000b1")).WithTimeout(conditionTimeout).Should(Equal("completed"))
	}
	system.expect.Expect(system.starts("00000000000000b1", 5)).To(Equal(1))
}

func TestEndsAreAcknowledgedOnlyAfterTheSave(test *testing.T) {
	system := newSystem(test, 2, 1)
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec("00000000000000c1", 2))).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(2))
	system.store.SetFault(func(call ptstandin.JobStoreCall, _ string) error {
		if call == ptstandin.JobStoreSave {
			return ptjobstore.ErrUnanswered
		}
		return nil
	})
	system.endAll()
	// Agents send unacknowledged ends again every half second. An owner that holds them only in
	// memory must not acknowledge them.
	system.expect.Consistently(system.workers[0].AllEndsAcknowledged).WithTimeout(2 * time.Second).Should(BeFalse())
	system.expect.Expect(system.state(0, "00000000000000c1")()).NotTo(Equal("completed"))
	system.store.SetFault(nil)
	system.expect.Eventually(system.workers[0].AllEndsAcknowledged).WithTimeout(conditionTimeout).Should(BeTrue())
	system.expect.Eventually(system.state(0, "00000000000000c1")).WithTimeout(conditionTimeout).Should(Equal("completed"))
}

func TestLaterOwnerAdoptsRuns(test *testing.T) {
	system := newSystem(test, 2, 2)
	const jobs = 8
	for index := range jobs {
		system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec(fmt.Sprintf("%016x", index+1), 1))).To(Succeed())
	}
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(jobs))
	// The first entry shuts down. The other entry is assigned its partitions, and the runs
	// continue.
	system.brokers[0].stop()
	system.expect.Eventually(system.brokers[0].done).WithTimeout(conditionTimeout).Should(BeClosed())
	time.Sleep(time.Second)
	system.expect.Expect(system.active()).To(Equal(jobs))
	system.endAll()
	for index := range jobs {
		id := fmt.Sprintf("%016x", index+1)
		system.expect.Eventually(system.state(1, id)).WithTimeout(conditionTimeout).Should(Equal("completed"))
		system.expect.Expect(system.starts(id, 1)).To(Equal(1))
	}
}

// An entry without a connection to the log believes that it owns partitions that already have a
// later owner. It does not know the jobs that were submitted since then, and must not
// acknowledge the ends of their runs.
func TestEarlierOwnerDoesNotAcknowledgeEndsOfLaterOwner(test *testing.T) {
	system := newSystem(test, 2, 1)
	var jobID string
	for index := range 64 {
		id := fmt.Sprintf("%016x", index+1)
		if ptjobstore.PartitionOf(ptid.JobID(id), system.store.Partitions()) == 0 {
			jobID = id
			break
		}
	}
	owners, err := system.store.Owners(context.Background())
	system.expect.Expect(err).NotTo(HaveOccurred())
	member, disconnected := owners[0], ""
	for index, broker := range system.brokers {
		if broker.MemberID() == member {
			disconnected = fmt.Sprint("entry", index)
		}
	}
	system.store.SetFault(func(_ ptstandin.JobStoreCall, client string) error {
		if client == disconnected {
			return ptjobstore.ErrUnanswered
		}
		return nil
	})
	system.expect.Eventually(func() string {
		owners, _ := system.store.Owners(context.Background())
		return owners[0]
	}).WithTimeout(conditionTimeout).ShouldNot(Equal(member))
	for _, broker := range system.brokers {
		if broker.MemberID() != member {
			system.expect.Expect(broker.SubmitDurable(context.Background(), durableSpec(jobID, 1))).To(Succeed())
		}
	}
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(1))
	system.store.SetFault(func(call ptstandin.JobStoreCall, client string) error {
		if call == ptstandin.JobStoreSave || client == disconnected {
			return ptjobstore.ErrUnanswered
		}
		return nil
	})
	system.endAll()
	system.expect.Consistently(system.workers[0].AllEndsAcknowledged).WithTimeout(2 * time.Second).Should(BeFalse())
	system.store.SetFault(nil)
	system.expect.Eventually(system.workers[0].AllEndsAcknowledged).WithTimeout(conditionTimeout).Should(BeTrue())
}

// changeOwner submits a job while its partition changes owners. A second entry joins the owners. It
// reads the specs, then the job is submitted, and the earlier owner, whose membership has not expired
// yet, reads the job and starts its two tasks. changeOwner then calls meanwhile, and finally lets the
// later owner load the partition.
func changeOwner(test *testing.T, meanwhile func(system *system)) (changed *system, id string) {
	system := newSystem(test, 1, 1)
	const first = "00000000000000ff"
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec(first, 1))).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(1))
	system.expect.Expect(system.brokers[0].CancelDurable(context.Background(), first)).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(BeZero())
	const moved = 2
	loading, started := make(chan struct{}, 2*moved), make(chan struct{})
	system.store.SetFault(func(call ptstandin.JobStoreCall, client string) error {
		switch {
		case client == "entry0" && (call == ptstandin.JobStoreJoin || call == ptstandin.JobStoreSave), client == "entry1" && call == ptstandin.JobStoreFollow:
			return ptjobstore.ErrUnanswered
		case client == "entry1" && call == ptstandin.JobStoreProgress:
			loading <- struct{}{}
			<-started
		}
		return nil
	})
	system.startBroker(1)
	for range moved {
		<-loading
	}
	owners, err := system.store.Owners(context.Background())
	system.expect.Expect(err).NotTo(HaveOccurred())
	for index := 1; id == ""; index++ {
		candidate := fmt.Sprintf("%016x", index)
		if owners[ptjobstore.PartitionOf(ptid.JobID(candidate), len(owners))] == system.brokers[1].MemberID() {
			id = candidate
		}
	}
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec(id, 2))).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(2))
	system.expect.Eventually(system.brokers[1].Ready).WithTimeout(conditionTimeout).Should(BeTrue())
	meanwhile(system)
	close(started)
	return system, id
}

func TestRunsOfJobUnknownToLaterOwnerContinue(test *testing.T) {
	system, id := changeOwner(test, func(*system) {})
	system.expect.Consistently(system.active).WithTimeout(2 * time.Second).Should(Equal(2))
	system.store.SetFault(nil)
	system.endAll()
	system.expect.Eventually(system.state(1, id)).WithTimeout(conditionTimeout).Should(Equal("completed"))
	system.expect.Expect(system.starts(id, 2)).To(Equal(1))
}

// Both runs end before the later owner knows the job, and the earlier owner can no longer save
// the ends. The later owner must look up the job in the log and save the ends.
func TestEndsOfJobUnknownToLaterOwnerAreSaved(test *testing.T) {
	system, id := changeOwner(test, func(system *system) { system.endAll() })
	system.expect.Eventually(system.state(1, id)).WithTimeout(conditionTimeout).Should(Equal("completed"))
	system.store.SetFault(nil)
	system.expect.Eventually(system.workers[0].AllEndsAcknowledged).WithTimeout(conditionTimeout).Should(BeTrue())
	system.expect.Expect(system.starts(id, 2)).To(Equal(1))
}

func TestRecordsOfExpiredJobsAreDeleted(test *testing.T) {
	system := newSystem(test, 2, 1)
	system.workers[0].RunTime = time.Millisecond
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec("00000000000000f1", 2))).To(Succeed())
	system.expect.Eventually(system.state(0, "00000000000000f1")).WithTimeout(conditionTimeout).Should(Equal("completed"))
	system.expect.Expect(system.store.RecordCount()).To(Equal(2), "the spec and the progress of the job")
	// While the spec cannot be deleted, the progress must stay; otherwise the job would run
	// again.
	system.store.SetFault(func(call ptstandin.JobStoreCall, _ string) error {
		if call == ptstandin.JobStorePut {
			return ptjobstore.ErrRefused
		}
		return nil
	})
	system.expect.Consistently(system.store.RecordCount).WithTimeout(endedJobRetention + time.Second).Should(Equal(2))
	system.store.SetFault(nil)
	system.expect.Eventually(system.store.RecordCount).WithTimeout(conditionTimeout).Should(BeZero())
	system.expect.Eventually(system.state(1, "00000000000000f1")).WithTimeout(conditionTimeout).Should(Equal("unknown"))
}

func TestCancelledDurableJobsAreStopped(test *testing.T) {
	system := newSystem(test, 2, 1)
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec("00000000000000d1", 3))).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(3))
	system.expect.Expect(system.brokers[1].CancelDurable(context.Background(), "00000000000000d1")).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(BeZero())
	system.expect.Eventually(system.state(0, "00000000000000d1")).WithTimeout(conditionTimeout).Should(Equal("givenUp"))
	system.expect.Eventually(system.workers[0].AllEndsAcknowledged).WithTimeout(conditionTimeout).Should(BeTrue())
}

func TestScheduledJobsRunAtTheirTimes(test *testing.T) {
	system := newSystem(test, 2, 1)
	system.workers[0].RunTime = 5 * time.Millisecond
	spec := durableSpec("00000000000000e1", 1)
	spec.OccurrenceCount, spec.StartAt, spec.Interval = 3, time.Now().Add(100*time.Millisecond), 150*time.Millisecond
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), spec)).To(Succeed())
	system.expect.Eventually(system.state(0, "00000000000000e1")).WithTimeout(conditionTimeout).Should(Equal("completed"))
	for occurrence := range 3 {
		task := ptrun.TaskID{Job: spec.ID, Occurrence: ptrun.Occurrence(occurrence)}
		system.expect.Expect(system.workers[0].RunNumbers(task)).To(HaveLen(1))
	}
}
