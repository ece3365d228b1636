package ptstandin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/primrosetiller/primrosetiller/ptrun"
)

// Worker is an in-memory ptrun.Executor, a test double of the worker beside an agent. A run
// ends after RunTime or when the test calls EndRun.
type Worker struct {
	Identity ptrun.WorkerIdentity
	Capacity ptrun.Demand
	// RunTime is the duration of each run; zero means until [Worker.EndRun].
	RunTime time.Duration

	mu           sync.Mutex
	startedAt    time.Time
	token        ptrun.FenceToken
	active       []ptrun.ID
	ends         []ptrun.ListedEnd
	sequence     ptrun.EndSequence
	acknowledged ptrun.EndSequence
	leaseUntil   ptrun.WorkerTime
	// voided is the latest end before the lease expired last, and noted counts the ends that were
	// acknowledged before the lease expired.
	voided   ptrun.EndSequence
	noted    int
	starts   map[ptrun.TaskID][]ptrun.Number
	runEnded chan struct{}
}

// NewWorker returns a worker without runs.
func NewWorker(id ptrun.WorkerID, capacity ptrun.Demand) *Worker {
	return &Worker{
		Identity: ptrun.WorkerIdentity{ID: id, StartedAt: time.UnixMilli(time.Now().UnixMilli())}, Capacity: capacity,
		startedAt: time.Now(), starts: make(map[ptrun.TaskID][]ptrun.Number), runEnded: make(chan struct{}),
	}
}

// Announcement returns the worker's announcement of its current state.
func (worker *Worker) Announcement() ptrun.Worker {
	return ptrun.Worker{WorkerIdentity: worker.Identity, Capacity: worker.Capacity, Sequence: uint64(time.Since(worker.startedAt))}
}

// Clock returns the time since the worker's start.
func (worker *Worker) Clock() ptrun.WorkerTime {
	return ptrun.WorkerTime(time.Since(worker.startedAt).Milliseconds() + 1)
}

// RunNumbers returns the numbers of the runs of a task, in the order of their starts.
func (worker *Worker) RunNumbers(task ptrun.TaskID) []ptrun.Number {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return slices.Clone(worker.starts[task])
}

// ActiveRuns returns the runs that have started and not ended.
func (worker *Worker) ActiveRuns() []ptrun.ID {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return slices.Clone(worker.active)
}

// AllEndsAcknowledged reports whether the ends of all runs have been acknowledged.
func (worker *Worker) AllEndsAcknowledged() bool {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.acknowledged >= worker.sequence
}

// NotedEnds returns how many ends were acknowledged although the lease had not expired since.
func (worker *Worker) NotedEnds() int {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.noted
}

// extendLease extends the lease. The ends before an expiry of the lease are void. The caller holds
// the lock.
func (worker *Worker) extendLease(until ptrun.WorkerTime) {
	if worker.Clock() > worker.leaseUntil {
		worker.voided = worker.sequence
	}
	worker.leaseUntil = max(worker.leaseUntil, until)
}

// EndRun ends a run with a result.
func (worker *Worker) EndRun(id ptrun.ID, result ptrun.Result) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.end(id, result)
}

func (worker *Worker) end(id ptrun.ID, result ptrun.Result) {
	index := slices.Index(worker.active, id)
	if index < 0 {
		return
	}
	worker.active = slices.Delete(worker.active, index, index+1)
	worker.sequence++
	worker.ends = append(worker.ends, ptrun.ListedEnd{Sequence: worker.sequence, End: ptrun.End{Run: id, Result: result}})
	close(worker.runEnded)
	worker.runEnded = make(chan struct{})
}

func (worker *Worker) checkOrder(identity ptrun.WorkerIdentity, token ptrun.FenceToken) error {
	switch {
	case identity.ID != worker.Identity.ID:
		return ptrun.ErrWorkerMismatch
	case token < worker.token:
		return ptrun.ErrFenced
	}
	worker.token = token
	return nil
}

// Start implements [ptrun.Executor].
func (worker *Worker) Start(_ context.Context, to ptrun.WorkerIdentity, token ptrun.FenceToken, start ptrun.Start) (clock ptrun.WorkerTime, err error) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if err := worker.checkOrder(to, token); err != nil {
		return worker.Clock(), err
	}
	worker.extendLease(start.StartBy)
	if !slices.Contains(worker.active, start.Run) {
		worker.active = append(worker.active, start.Run)
		worker.starts[start.Run.Task] = append(worker.starts[start.Run.Task], start.Run.Number)
		if worker.RunTime > 0 {
			time.AfterFunc(worker.RunTime, func() { worker.EndRun(start.Run, ptrun.Done) })
		}
	}
	return worker.Clock(), nil
}

// Stop implements [ptrun.Executor].
func (worker *Worker) Stop(_ context.Context, to ptrun.WorkerIdentity, token ptrun.FenceToken, run ptrun.ID) (clock ptrun.WorkerTime, err error) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if err := worker.checkOrder(to, token); err != nil {
		return worker.Clock(), err
	}
	worker.end(run, ptrun.Stopped)
	return worker.Clock(), nil
}

// Throttle implements [ptrun.Executor].
func (worker *Worker) Throttle(context.Context, ptrun.WorkerIdentity, ptrun.FenceToken, ptrun.ID, int) (clock ptrun.WorkerTime, err error) {
	return worker.Clock(), nil
}

// RenewLease implements [ptrun.Executor].
func (worker *Worker) RenewLease(ctx context.Context, to ptrun.WorkerIdentity, token ptrun.FenceToken, renewal ptrun.LeaseRenewal) (listing ptrun.Listing, err error) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if err := worker.checkOrder(to, token); err != nil {
		return listing, err
	}
	worker.extendLease(renewal.ExpiresAt)
	for _, listed := range worker.ends {
		if listed.Sequence <= renewal.Acknowledged && listed.Sequence > worker.voided {
			worker.noted++
		}
	}
	worker.acknowledged = max(worker.acknowledged, renewal.Acknowledged)
	worker.ends = slices.DeleteFunc(worker.ends, func(listed ptrun.ListedEnd) bool { return listed.Sequence <= renewal.Acknowledged })
	if len(worker.ends) == 0 && renewal.PollTimeout > 0 {
		runEnded := worker.runEnded
		worker.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-runEnded:
		case <-time.After(renewal.PollTimeout):
		}
		worker.mu.Lock()
	}
	listing = ptrun.Listing{WorkerStartedAt: worker.Identity.StartedAt, Clock: worker.Clock(), Ends: slices.Clone(worker.ends)}
	for _, id := range worker.active {
		listing.Active = append(listing.Active, ptrun.ListedRun{Run: id, Percent: 100})
	}
	return listing, nil
}
