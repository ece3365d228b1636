package ptbroker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// resubmitDelay is the time from the loss of a caller's connection until the caller submits its
// job again.
const resubmitDelay = 1300 * time.Millisecond

// slotsPerWorker is how many runs fit on a worker.
const slotsPerWorker = 24

// runMonitor checks that no task has two active runs, on any workers, and that no worker has more
// active runs than fit.
type runMonitor struct {
	mu      sync.Mutex
	workers []*strictWorker
	random  *rand.Rand
	// lateStarts and lateStops are the shares of orders that are carried out late.
	lateStarts, lateStops float64
	starts                int
	lapsed                int
	violations            []string
}

// strictWorker is a worker that rejects orders that came too late or that are for runs that are
// not higher than an ended one, and ends its runs when its lease expires. It carries a share of its
// orders out late and without a response.
type strictWorker struct {
	*ptstandin.Worker
	monitor *runMonitor
	// stopped holds the highest run of each task that was ordered to stop.
	stopped map[ptrun.TaskID]ptrun.Number
	lease   ptrun.WorkerTime
}

func newStrictWorker(monitor *runMonitor, index int) *strictWorker {
	worker := &strictWorker{
		Worker: ptstandin.NewWorker(ptrun.WorkerID(fmt.Sprint("worker", index)), ptrun.Demand{CPU: slotsPerWorker * 1000, Memory: 1000}), monitor: monitor,
		stopped: make(map[ptrun.TaskID]ptrun.Number),
	}
	worker.RunTime = []time.Duration{120 * time.Millisecond, 900 * time.Millisecond, 2500 * time.Millisecond}[index%3]
	monitor.workers = append(monitor.workers, worker)
	return worker
}

// delayed reports whether an order is carried out late, and how late.
func (monitor *runMonitor) delayed(share float64) (delay time.Duration, isLate bool) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return time.Duration(100+monitor.random.IntN(6000)) * time.Millisecond, monitor.random.Float64() < share
}

// Start implements [ptrun.Executor].
func (worker *strictWorker) Start(ctx context.Context, to ptrun.WorkerIdentity, token ptrun.FenceToken, start ptrun.Start) (clock ptrun.WorkerTime, err error) {
	if delay, isLate := worker.monitor.delayed(worker.monitor.lateStarts); isLate {
		time.AfterFunc(delay, func() { _, _ = worker.startNow(context.Background(), to, token, start) })
		return 0, ptrun.ErrUnanswered
	}
	return worker.startNow(ctx, to, token, start)
}

func (worker *strictWorker) startNow(ctx context.Context, to ptrun.WorkerIdentity, token ptrun.FenceToken, start ptrun.Start) (clock ptrun.WorkerTime, err error) {
	monitor := worker.monitor
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if worker.Clock() > start.StartBy {
		return worker.Clock(), ptrun.ErrStartDeadlineExceeded
	}
	own := worker.ActiveRuns()
	if slices.Contains(own, start.Run) {
		return worker.Clock(), nil
	}
	for _, number := range worker.RunNumbers(start.Run.Task) {
		if number >= start.Run.Number && !slices.Contains(own, ptrun.ID{Task: start.Run.Task, Number: number}) {
			return worker.Clock(), ptrun.ErrHigherRunEnded
		}
	}
	if start.Run.Number <= worker.stopped[start.Run.Task] {
		return worker.Clock(), ptrun.ErrHigherRunEnded
	}
	for _, other := range monitor.workers {
		for _, active := range other.ActiveRuns() {
			if active.Task == start.Run.Task {
				monitor.violations = append(monitor.violations, fmt.Sprintf("run %v starts on %s beside run %v on %s", start.Run, worker.Identity.ID, active, other.Identity.ID))
			}
		}
	}
	if len(own) >= slotsPerWorker {
		monitor.violations = append(monitor.violations, fmt.Sprintf("run %v starts on the full worker %s", start.Run, worker.Identity.ID))
	}
	monitor.starts++
	worker.lease = max(worker.lease, start.StartBy)
	return worker.Worker.Start(ctx, to, token, start)
}

// Stop implements [ptrun.Executor].
func (worker *strictWorker) Stop(ctx context.Context, to ptrun.WorkerIdentity, token ptrun.FenceToken, run ptrun.ID) (clock ptrun.WorkerTime, err error) {
	stop := func() (clock ptrun.WorkerTime, err error) {
		worker.monitor.mu.Lock()
		worker.stopped[run.Task] = max(worker.stopped[run.Task], run.Number)
		worker.monitor.mu.Unlock()
		return worker.Worker.Stop(ctx, to, token, run)
	}
	if delay, isLate := worker.monitor.delayed(worker.monitor.lateStops); isLate {
		time.AfterFunc(delay, func() { _, _ = stop() })
		return 0, ptrun.ErrUnanswered
	}
	return stop()
}

// RenewLease implements [ptrun.Executor].
func (worker *strictWorker) RenewLease(ctx context.Context, to ptrun.WorkerIdentity, token ptrun.FenceToken, renewal ptrun.LeaseRenewal) (listing ptrun.Listing, err error) {
	worker.monitor.mu.Lock()
	worker.lease = max(worker.lease, renewal.ExpiresAt)
	worker.monitor.mu.Unlock()
	return worker.Worker.RenewLease(ctx, to, token, renewal)
}

// enforceLease ends the runs whose lease has expired, until ctx ends.
func (worker *strictWorker) enforceLease(ctx context.Context) {
	for ctx.Err() == nil {
		worker.monitor.mu.Lock()
		if worker.Clock() > worker.lease {
			for _, run := range worker.ActiveRuns() {
				worker.EndRun(run, ptrun.Lost)
				worker.monitor.lapsed++
			}
		}
		worker.monitor.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// callers submit jobs to random entries. Their connections break together.
type callers struct {
	system *system
	mu     sync.Mutex
	random *rand.Rand
	broken chan struct{}
	jobs   int
	again  int
	ended  map[ptgraph.State]int
	active sync.WaitGroup
	// until is when callers stop to submit jobs again.
	until time.Time
}

func (callers *callers) pick(count int) int {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	return callers.random.IntN(count)
}

func (callers *callers) breakConnections() {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	close(callers.broken)
	callers.broken = make(chan struct{})
}

// submit submits a job until an entry has answered.
func (callers *callers) submit(id ptid.JobID, tasks int) {
	defer callers.active.Done()
	resubmittable := ptqueue.Queue{Name: "queue", Service: queue.Service, MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second}
	for {
		callers.mu.Lock()
		broken := callers.broken
		callers.mu.Unlock()
		broker := callers.system.brokers[callers.pick(len(callers.system.brokers))]
		spec := ptgraph.Spec{ID: id, MaxAttempts: 3, Steps: []ptgraph.Step{{Count: tasks, Demand: ptrun.Demand{CPU: 1000}, Estimate: 100 * time.Millisecond}}}
		caller := &ptstandin.Caller{}
		handle, refusal, err := broker.Submit(ptassign.Spec{Spec: spec, Queue: resubmittable, Deadline: ptid.Never}, caller)
		if err != nil || refusal != nil {
			return
		}
		select {
		case <-handle.Done():
			if outcome := handle.Outcome(); outcome.State != ptgraph.GivenUp || outcome.Refusal != nil {
				callers.mu.Lock()
				callers.ended[outcome.State]++
				callers.mu.Unlock()
				return
			}
		case <-broken:
			// The entry sees the broken connection up to 30 ms later than the caller.
			time.Sleep(time.Duration(callers.pick(30)) * time.Millisecond)
			caller.Leave()
			broker.Detach(handle, caller, "reset")
		}
		if time.Now().After(callers.until) {
			return
		}
		callers.mu.Lock()
		callers.again++
		callers.mu.Unlock()
		time.Sleep(resubmitDelay)
	}
}

// resubmissionSeed returns the seed that CI uses, or the value of RESUBMISSION_SEED.
func resubmissionSeed() uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("RESUBMISSION_SEED"), 10, 64); err == nil {
		return seed
	}
	return 1
}

// lateStops returns the share of stops that are carried out late in CI, or the value of
// RESUBMISSION_LATE_STOPS.
func lateStops() float64 {
	if share, err := strconv.ParseFloat(os.Getenv("RESUBMISSION_LATE_STOPS"), 64); err == nil {
		return share
	}
	return 0.03
}

// Connections of callers and of sessions are reset together, and workers carry some orders out
// late. No task may run twice at a time, and no worker may run more than fits.
func TestResetConnectionsStartNoTaskTwice(test *testing.T) {
	const (
		brokers, agents = 3, 6
		duration        = 6 * time.Second
		resetInterval   = 400 * time.Millisecond
		submitInterval  = 15 * time.Millisecond
	)
	system := newSystem(test, 0, 0)
	seed := resubmissionSeed()
	random := rand.New(rand.NewPCG(seed, 1))
	monitor := &runMonitor{random: rand.New(rand.NewPCG(seed, 2)), lateStarts: 0.03, lateStops: lateStops()}
	for index := range brokers {
		system.startBroker(index)
	}
	var relays []*ptstandin.Relay
	for index := range agents {
		var addresses []string
		for _, address := range system.addresses {
			relay, err := ptstandin.NewRelay(address)
			system.expect.Expect(err).NotTo(HaveOccurred())
			test.Cleanup(func() { _ = relay.Close() })
			relays, addresses = append(relays, relay), append(addresses, relay.Address())
		}
		worker := newStrictWorker(monitor, index)
		go worker.enforceLease(test.Context())
		system.startRunner(index, worker, worker.Worker, func() []string { return addresses })
	}
	for _, broker := range system.brokers {
		system.expect.Eventually(broker.Ready).WithTimeout(conditionTimeout).Should(BeTrue())
	}
	callers := &callers{system: system, random: rand.New(rand.NewPCG(seed, 3)), broken: make(chan struct{}), ended: make(map[ptgraph.State]int), until: time.Now().Add(duration)}
	nextReset := time.Now().Add(resetInterval)
	for ; time.Now().Before(callers.until); time.Sleep(submitInterval) {
		callers.jobs++
		callers.active.Add(1)
		go callers.submit(ptid.JobID(fmt.Sprintf("%016x", callers.jobs)), 1+callers.pick(3))
		if time.Now().Before(nextReset) {
			continue
		}
		nextReset = time.Now().Add(resetInterval/2 + time.Duration(random.Int64N(int64(resetInterval))))
		for _, relay := range relays {
			switch random.IntN(4) {
			case 0, 1:
				relay.ResetConnections()
			case 2:
				relay.Blackhole([]ptstandin.Direction{ptstandin.ToServer, ptstandin.ToClient, ptstandin.ToServer | ptstandin.ToClient}[random.IntN(3)])
			}
		}
		callers.breakConnections()
	}
	callers.active.Wait()
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	test.Logf("seed %d: %d jobs, %d submitted again, %d starts, %d runs lapsed, ended: %v", seed, callers.jobs, callers.again, monitor.starts, monitor.lapsed, callers.ended)
	system.expect.Expect(monitor.violations).To(BeEmpty())
}
