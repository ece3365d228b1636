package ptdrill

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// clockDriftDivisor sets the drift of the worker's clock: it runs slow by 1/clockDriftDivisor,
// which is 2 %.
const clockDriftDivisor = 50

// maxLease is the longest lease that a worker grants.
const maxLease = time.Second

type workerRun struct {
	endsAt ptid.Instant
	fails  bool
	demand ptrun.Demand
}

// worker is a simulated worker. It follows the rules of the worker protocol and reports the
// start and end of its runs to the monitor.
type worker struct {
	simulation   *simulation
	identity     ptrun.WorkerIdentity
	startedAt    ptid.Instant
	capacity     ptrun.Demand
	token        ptrun.FenceToken
	leaseExpiry  ptrun.WorkerTime
	runs         map[ptrun.ID]*workerRun
	highestEnded map[ptrun.TaskID]ptrun.Number
	ends         []ptrun.ListedEnd
	sequence     ptrun.EndSequence
	alive        bool
}

func (simulation *simulation) newWorker(index int) *worker {
	return &worker{
		simulation: simulation, startedAt: simulation.Now(), capacity: ptrun.Demand{CPU: 10_000, Memory: 10_000}, alive: true,
		identity: ptrun.WorkerIdentity{ID: ptrun.WorkerID(fmt.Sprint("worker", index)), StartedAt: time.UnixMilli(1 + int64(simulation.Now())/int64(time.Millisecond))},
		runs:     make(map[ptrun.ID]*workerRun), highestEnded: make(map[ptrun.TaskID]ptrun.Number),
	}
}

// clock returns the time on the worker's clock, which runs slow.
func (worker *worker) clock() ptrun.WorkerTime {
	elapsed := worker.simulation.Now().Sub(worker.startedAt)
	return ptrun.WorkerTime((elapsed - elapsed/clockDriftDivisor).Milliseconds() + 1)
}

func (worker *worker) held() (held ptrun.Demand) {
	for _, run := range worker.runs {
		held = held.Plus(run.demand)
	}
	return held
}

// advance ends all runs if the lease has expired, and otherwise the runs whose run time has
// elapsed.
func (worker *worker) advance() {
	if len(worker.runs) > 0 && worker.clock() > worker.leaseExpiry {
		for _, id := range slices.SortedFunc(maps.Keys(worker.runs), ptrun.Compare) {
			worker.end(id, ptrun.Lost)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(worker.runs), ptrun.Compare) {
		if run := worker.runs[id]; worker.simulation.Now() >= run.endsAt {
			result := ptrun.Done
			if run.fails {
				result = ptrun.Failed
			}
			worker.end(id, result)
		}
	}
}

func (worker *worker) end(id ptrun.ID, result ptrun.Result) {
	delete(worker.runs, id)
	worker.recordEnded(id)
	worker.sequence++
	worker.ends = append(worker.ends, ptrun.ListedEnd{Sequence: worker.sequence, End: ptrun.End{Run: id, Result: result}})
	worker.simulation.monitor.runEnded(id)
}

// recordEnded prevents this run and all earlier runs of the task from starting.
func (worker *worker) recordEnded(id ptrun.ID) {
	worker.highestEnded[id.Task] = max(worker.highestEnded[id.Task], id.Number)
}

// authorize returns an error if an order is for another incarnation of the worker or has a lower
// fence token than an earlier order.
func (worker *worker) authorize(identity ptrun.WorkerIdentity, token ptrun.FenceToken) error {
	worker.advance()
	switch {
	case identity != worker.identity:
		return ptrun.ErrWorkerMismatch
	case token < worker.token:
		return ptrun.ErrFenced
	}
	worker.token = token
	return nil
}

// start executes a start order.
func (worker *worker) start(identity ptrun.WorkerIdentity, token ptrun.FenceToken, start ptrun.Start, demand ptrun.Demand) error {
	if err := worker.authorize(identity, token); err != nil {
		return err
	}
	switch {
	case worker.runs[start.Run] != nil:
		return nil
	case start.Run.Number <= worker.highestEnded[start.Run.Task]:
		return ptrun.ErrHigherRunEnded
	case worker.clock() > start.StartBy:
		return ptrun.ErrStartDeadlineExceeded
	}
	worker.extendLease(start.StartBy)
	random := worker.simulation.random
	worker.runs[start.Run] = &workerRun{
		endsAt: worker.simulation.Now().Add(time.Duration(20+random.IntN(400)) * time.Millisecond), fails: random.IntN(50) == 0, demand: demand,
	}
	worker.simulation.monitor.runStarted(start.Run, worker)
	return nil
}

// stop ends a run, and prevents it from starting if it has not started.
func (worker *worker) stop(identity ptrun.WorkerIdentity, token ptrun.FenceToken, id ptrun.ID) error {
	if err := worker.authorize(identity, token); err != nil {
		return err
	}
	if worker.runs[id] != nil {
		worker.end(id, ptrun.Stopped)
	}
	worker.recordEnded(id)
	return nil
}

// extendLease extends the lease to the requested time, but at most to maxLease from now.
func (worker *worker) extendLease(requested ptrun.WorkerTime) {
	limit := worker.clock() + ptrun.WorkerTime(maxLease.Milliseconds())
	worker.leaseExpiry = max(worker.leaseExpiry, min(requested, limit))
}

// renewLease renews the lease, deletes the acknowledged run ends and returns the listing of the
// active runs and the remaining run ends.
func (worker *worker) renewLease(identity ptrun.WorkerIdentity, token ptrun.FenceToken, renewal ptrun.LeaseRenewal) (listing ptrun.Listing, err error) {
	if err := worker.authorize(identity, token); err != nil {
		return listing, err
	}
	worker.extendLease(renewal.ExpiresAt)
	worker.ends = slices.DeleteFunc(worker.ends, func(listed ptrun.ListedEnd) bool { return listed.Sequence <= renewal.Acknowledged })
	listing = ptrun.Listing{WorkerStartedAt: worker.identity.StartedAt, Clock: worker.clock(), Ends: slices.Clone(worker.ends)}
	for _, id := range slices.SortedFunc(maps.Keys(worker.runs), ptrun.Compare) {
		listing.Active = append(listing.Active, ptrun.ListedRun{Run: id, Percent: 100})
	}
	return listing, nil
}

// crash ends the worker and its runs without reporting their ends to the agent.
func (worker *worker) crash() {
	for _, id := range slices.SortedFunc(maps.Keys(worker.runs), ptrun.Compare) {
		worker.simulation.monitor.runEnded(id)
	}
	worker.runs, worker.alive = nil, false
}
