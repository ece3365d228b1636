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
	"github.com/primrosetiller/primrosetiller/ptkept"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptrunner"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// patience is how long a test waits for what must come; nothing is measured by it.
const patience = 30 * time.Second

// rememberEnded is longer than a test asks for ended jobs.
const rememberEnded = 3 * time.Second

var queue = ptqueue.Queue{Name: "queue", Service: "service", MaxAttempts: 3, Stretch: 2, TargetLatency: 10 * time.Second}

// system is brokers and agents over loopback, with stand-ins for the log and the workers.
type system struct {
	test    *testing.T
	expect  *WithT
	kept    *ptstandin.JobStore
	workers []*ptstandin.Worker
	brokers []*broker

	mu        sync.Mutex
	addresses []string
}

type broker struct {
	*ptbroker.Broker
	stop context.CancelFunc
	done chan struct{}
}

func newSystem(test *testing.T, brokers, agents int) *system {
	ptassert.PanicOnFailure()
	system := &system{test: test, expect: NewWithT(test), kept: ptstandin.NewJobStore(4)}
	for i := range brokers {
		system.startBroker(i)
	}
	for i := range agents {
		system.startAgent(i)
	}
	for _, broker := range system.brokers {
		system.expect.Eventually(broker.Ready).WithTimeout(patience).Should(BeTrue())
	}
	return system
}

func (system *system) startBroker(index int) *broker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	system.expect.Expect(err).NotTo(HaveOccurred())
	queues := ptqueue.NewCatalogStore()
	queues.Update(ptqueue.NewCatalog(1, []ptqueue.Queue{queue}, ptqueue.Limits{}))
	ctx, stop := context.WithCancel(context.Background())
	started := &broker{stop: stop, done: make(chan struct{}), Broker: ptbroker.New(ptbroker.Setting{
		Name: ptid.EntryName(fmt.Sprint("entry", index)), Zone: "zone", ShutdownTimeout: 2 * time.Second, Seed: 1, EndedJobRetention: rememberEnded,
	}, ptbroker.Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Queues: queues, JobStore: system.kept.Client(fmt.Sprint("entry", index)), PeerAddress: listener.Addr().String(),
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
	worker := ptstandin.NewWorker(ptrun.WorkerID(fmt.Sprint("worker", index)), ptrun.Demand{CPU: 4000, Memory: 1000})
	system.workers = append(system.workers, worker)
	runner := ptrunner.New(ptrunner.Setting{Name: ptid.AgentName(fmt.Sprint("agent", index)), Zone: "zone", Service: "service"}, ptrunner.Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Executor: worker, Discover: func() []string {
			system.mu.Lock()
			defer system.mu.Unlock()
			return append([]string(nil), system.addresses...)
		},
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

func keptSpec(id string, tasks int) ptkept.Spec {
	return ptkept.Spec{ID: ptid.JobID(id), Queue: queue.Name, Service: queue.Service, MaxAttempts: 3, Steps: graph(id, tasks).Steps, Stretch: 2, TargetLatency: time.Second}
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

// starts returns how often the tasks of a job were started, the most of any task.
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

func TestServesACaller(test *testing.T) {
	system := newSystem(test, 2, 2)
	for _, worker := range system.workers {
		worker.RunTime = 10 * time.Millisecond
	}
	ticket, refusal, err := system.brokers[0].Submit(ptassign.Spec{Spec: graph("00000000000000a1", 6), Queue: queue, Deadline: ptid.Never})
	system.expect.Expect(err).NotTo(HaveOccurred())
	system.expect.Expect(refusal).To(BeNil())
	system.expect.Eventually(ticket.Done()).WithTimeout(patience).Should(BeClosed())
	system.expect.Expect(ticket.Outcome().State).To(Equal(ptgraph.Completed))
	system.expect.Expect(system.starts("00000000000000a1", 6)).To(Equal(1))
}

func TestKeptJobIsShownByEveryEntryAndDoneOnce(test *testing.T) {
	system := newSystem(test, 3, 2)
	for _, worker := range system.workers {
		worker.RunTime = 10 * time.Millisecond
	}
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), keptSpec("00000000000000b1", 5))).To(Succeed())
	// The caller that got no answer sends it again, elsewhere.
	system.expect.Expect(system.brokers[1].SubmitDurable(context.Background(), keptSpec("00000000000000b1", 5))).To(Succeed())
	for index := range system.brokers {
		system.expect.Eventually(system.state(index, "00000000000000b1")).WithTimeout(patience).Should(Equal("completed"))
	}
	system.expect.Expect(system.starts("00000000000000b1", 5)).To(Equal(1))
}

func TestEndsAreAcknowledgedOnlyWhenTheLogHasThem(test *testing.T) {
	system := newSystem(test, 2, 1)
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), keptSpec("00000000000000c1", 2))).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(patience).Should(Equal(2))
	system.kept.SetFault(func(call ptstandin.JobStoreCall, _ string) error {
		if call == ptstandin.JobStoreSave {
			return ptkept.ErrUnanswered
		}
		return nil
	})
	system.endAll()
	// Ends that wait for their owner are told again every half second; an owner that
	// has taken them into its memory alone must not acknowledge them.
	system.expect.Consistently(system.workers[0].AllEndsAcknowledged).WithTimeout(2 * time.Second).Should(BeFalse())
	system.expect.Expect(system.state(0, "00000000000000c1")()).NotTo(Equal("completed"))
	system.kept.SetFault(nil)
	system.expect.Eventually(system.workers[0].AllEndsAcknowledged).WithTimeout(patience).Should(BeTrue())
	system.expect.Eventually(system.state(0, "00000000000000c1")).WithTimeout(patience).Should(Equal("completed"))
}

func TestALaterOwnerAdoptsRuns(test *testing.T) {
	system := newSystem(test, 2, 2)
	const jobs = 8
	for index := range jobs {
		system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), keptSpec(fmt.Sprintf("%016x", index+1), 1))).To(Succeed())
	}
	system.expect.Eventually(system.active).WithTimeout(patience).Should(Equal(jobs))
	// The first entry leaves; the other one gets its partitions, and the runs go on.
	system.brokers[0].stop()
	system.expect.Eventually(system.brokers[0].done).WithTimeout(patience).Should(BeClosed())
	time.Sleep(time.Second)
	system.expect.Expect(system.active()).To(Equal(jobs))
	system.endAll()
	for index := range jobs {
		id := fmt.Sprintf("%016x", index+1)
		system.expect.Eventually(system.state(1, id)).WithTimeout(patience).Should(Equal("completed"))
		system.expect.Expect(system.starts(id, 1)).To(Equal(1))
	}
}

// An entry that is cut from the log believes that it owns partitions which another has
// by now. It knows nothing of the jobs that came since, and must not acknowledge their
// ends.
func TestAFormerOwnerAcknowledgesNothingOfALaterOne(test *testing.T) {
	system := newSystem(test, 2, 1)
	var first string
	for index := range 64 {
		id := fmt.Sprintf("%016x", index+1)
		if ptkept.PartitionOf(ptid.JobID(id), system.kept.Partitions()) == 0 {
			first = id
			break
		}
	}
	owners, err := system.kept.Owners(context.Background())
	system.expect.Expect(err).NotTo(HaveOccurred())
	member, cut := owners[0], ""
	for index, broker := range system.brokers {
		if broker.MemberID() == member {
			cut = fmt.Sprint("entry", index)
		}
	}
	system.kept.SetFault(func(_ ptstandin.JobStoreCall, client string) error {
		if client == cut {
			return ptkept.ErrUnanswered
		}
		return nil
	})
	system.expect.Eventually(func() string {
		owners, _ := system.kept.Owners(context.Background())
		return owners[0]
	}).WithTimeout(patience).ShouldNot(Equal(member))
	for _, broker := range system.brokers {
		if broker.MemberID() != member {
			system.expect.Expect(broker.SubmitDurable(context.Background(), keptSpec(first, 1))).To(Succeed())
		}
	}
	system.expect.Eventually(system.active).WithTimeout(patience).Should(Equal(1))
	system.kept.SetFault(func(call ptstandin.JobStoreCall, client string) error {
		if call == ptstandin.JobStoreSave || client == cut {
			return ptkept.ErrUnanswered
		}
		return nil
	})
	system.endAll()
	system.expect.Consistently(system.workers[0].AllEndsAcknowledged).WithTimeout(2 * time.Second).Should(BeFalse())
	system.kept.SetFault(nil)
	system.expect.Eventually(system.workers[0].AllEndsAcknowledged).WithTimeout(patience).Should(BeTrue())
}

// changeHands lets a job be put while its partition changes hands: the former owner reads
// it and starts its two tasks, and the later one has read the specs just before. meanwhile
// happens before the later owner goes on.
func changeHands(test *testing.T, meanwhile func(system *system)) (changed *system, id string) {
	system := newSystem(test, 2, 1)
	owners, err := system.kept.Owners(context.Background())
	system.expect.Expect(err).NotTo(HaveOccurred())
	former, moved := system.brokers[0].MemberID(), 0
	for _, member := range owners {
		if member == former {
			moved++
		}
	}
	for index := 1; id == ""; index++ {
		candidate := fmt.Sprintf("%016x", index)
		if owners[ptkept.PartitionOf(ptid.JobID(candidate), len(owners))] == former {
			id = candidate
		}
	}
	var loading sync.WaitGroup
	loading.Add(moved)
	started := make(chan struct{})
	system.kept.SetFault(func(call ptstandin.JobStoreCall, client string) error {
		switch {
		case client == "entry0" && (call == ptstandin.JobStoreJoin || call == ptstandin.JobStoreSave), client == "entry1" && call == ptstandin.JobStoreFollow:
			return ptkept.ErrUnanswered
		case client == "entry1" && call == ptstandin.JobStoreProgress:
			loading.Done()
			<-started
		}
		return nil
	})
	loading.Wait()
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), keptSpec(id, 2))).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(patience).Should(Equal(2))
	meanwhile(system)
	close(started)
	return system, id
}

func TestRunsOfAJobThatTheLaterOwnerHasNotReadGoOn(test *testing.T) {
	system, id := changeHands(test, func(*system) {})
	system.expect.Consistently(system.active).WithTimeout(2 * time.Second).Should(Equal(2))
	system.kept.SetFault(nil)
	system.endAll()
	system.expect.Eventually(system.state(1, id)).WithTimeout(patience).Should(Equal("completed"))
	system.expect.Expect(system.starts(id, 2)).To(Equal(1))
}

// The runs end as done before the later owner knows the job, and the former one can no
// longer keep that.
func TestEndsOfAJobThatTheLaterOwnerHasNotReadCount(test *testing.T) {
	system, id := changeHands(test, func(system *system) { system.endAll() })
	system.expect.Eventually(system.state(1, id)).WithTimeout(patience).Should(Equal("completed"))
	system.kept.SetFault(nil)
	system.expect.Eventually(system.workers[0].AllEndsAcknowledged).WithTimeout(patience).Should(BeTrue())
	system.expect.Expect(system.starts(id, 2)).To(Equal(1))
}

func TestLongEndedJobsLeaveNothingBehind(test *testing.T) {
	system := newSystem(test, 2, 1)
	system.workers[0].RunTime = time.Millisecond
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), keptSpec("00000000000000f1", 2))).To(Succeed())
	system.expect.Eventually(system.state(0, "00000000000000f1")).WithTimeout(patience).Should(Equal("completed"))
	system.expect.Expect(system.kept.RecordCount()).To(Equal(2), "its spec and its progress")
	// While specs can't be taken away the progress must stay, or the job would run again.
	system.kept.SetFault(func(call ptstandin.JobStoreCall, _ string) error {
		if call == ptstandin.JobStorePut {
			return ptkept.ErrRefused
		}
		return nil
	})
	system.expect.Consistently(system.kept.RecordCount).WithTimeout(rememberEnded + time.Second).Should(Equal(2))
	system.kept.SetFault(nil)
	system.expect.Eventually(system.kept.RecordCount).WithTimeout(patience).Should(BeZero())
	system.expect.Eventually(system.state(1, "00000000000000f1")).WithTimeout(patience).Should(Equal("unknown"))
}

func TestCancelledKeptJobsAreStopped(test *testing.T) {
	system := newSystem(test, 2, 1)
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), keptSpec("00000000000000d1", 3))).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(patience).Should(Equal(3))
	system.expect.Expect(system.brokers[1].CancelDurable(context.Background(), "00000000000000d1")).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(patience).Should(BeZero())
	system.expect.Eventually(system.state(0, "00000000000000d1")).WithTimeout(patience).Should(Equal("givenUp"))
	system.expect.Eventually(system.workers[0].AllEndsAcknowledged).WithTimeout(patience).Should(BeTrue())
}

func TestTimedJobsRunAtTheirTimes(test *testing.T) {
	system := newSystem(test, 2, 1)
	system.workers[0].RunTime = 5 * time.Millisecond
	spec := keptSpec("00000000000000e1", 1)
	spec.OccurrenceCount, spec.StartAt, spec.Interval = 3, time.Now().Add(100*time.Millisecond), 150*time.Millisecond
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), spec)).To(Succeed())
	system.expect.Eventually(system.state(0, "00000000000000e1")).WithTimeout(patience).Should(Equal("completed"))
	for occurrence := range 3 {
		task := ptrun.TaskID{Job: spec.ID, Occurrence: ptrun.Occurrence(occurrence)}
		system.expect.Expect(system.workers[0].RunNumbers(task)).To(HaveLen(1))
	}
}
