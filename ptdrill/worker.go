package ptdrill

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// clockSlowness slows the worker's clock by two parts in a hundred.
const clockSlowness = 50

// longestLease is the longest lease that a worker grants.
const longestLease = time.Second

type workerRun struct {
	endsAt ptid.Instant
	fails  bool
	demand ptrun.Demand
}

// worker is a simulated worker: it follows the rules that the product relies on, and
// tells the monitor what it runs.
type worker struct {
	drill    *drill
	identity ptrun.WorkerIdentity
	bornAt   ptid.Instant
	capacity ptrun.Demand
	token    ptrun.FenceToken
	until    ptrun.WorkerTime
	runs     map[ptrun.ID]*workerRun
	barred   map[ptrun.TaskID]ptrun.Number
	ends     []ptrun.ListedEnd
	sequence ptrun.EndSequence
	alive    bool
}

func (drill *drill) newWorker(index int) *worker {
	return &worker{
		drill: drill, bornAt: drill.Now(), capacity: ptrun.Demand{CPU: 10_000, Memory: 10_000}, alive: true,
		identity: ptrun.WorkerIdentity{ID: ptrun.WorkerID(fmt.Sprint("worker", index)), StartedAt: time.UnixMilli(1 + int64(drill.Now())/int64(time.Millisecond))},
		runs:     make(map[ptrun.ID]*workerRun), barred: make(map[ptrun.TaskID]ptrun.Number),
	}
}

// clock returns the worker's own time, which is slow.
func (worker *worker) clock() ptrun.WorkerTime {
	passed := worker.drill.Now().Sub(worker.bornAt)
	return ptrun.WorkerTime((passed - passed/clockSlowness).Milliseconds() + 1)
}

func (worker *worker) held() (held ptrun.Demand) {
	for _, run := range worker.runs {
		held = held.Plus(run.demand)
	}
	return held
}

// advance ends what has ended by now.
func (worker *worker) advance() {
	if len(worker.runs) > 0 && worker.clock() > worker.until {
		for _, id := range slices.SortedFunc(maps.Keys(worker.runs), ptrun.Compare) {
			worker.end(id, ptrun.Lost)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(worker.runs), ptrun.Compare) {
		if run := worker.runs[id]; worker.drill.Now() >= run.endsAt {
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
	worker.bar(id)
	worker.sequence++
	worker.ends = append(worker.ends, ptrun.ListedEnd{Sequence: worker.sequence, End: ptrun.End{Run: id, Result: result}})
	worker.drill.monitor.ended(id)
}

func (worker *worker) bar(id ptrun.ID) {
	worker.barred[id.Task] = max(worker.barred[id.Task], id.Number)
}

func (worker *worker) check(identity ptrun.WorkerIdentity, token ptrun.FenceToken) error {
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

// start carries a start order out.
func (worker *worker) start(identity ptrun.WorkerIdentity, token ptrun.FenceToken, start ptrun.Start, demand ptrun.Demand) error {
	if err := worker.check(identity, token); err != nil {
		return err
	}
	switch {
	case worker.runs[start.Run] != nil:
		return nil
	case start.Run.Number <= worker.barred[start.Run.Task]:
		return ptrun.ErrHigherRunEnded
	case worker.clock() > start.StartBy:
		return ptrun.ErrStartDeadlineExceeded
	}
	worker.extend(start.StartBy)
	random := worker.drill.random
	worker.runs[start.Run] = &workerRun{
		endsAt: worker.drill.Now().Add(time.Duration(20+random.IntN(400)) * time.Millisecond), fails: random.IntN(50) == 0, demand: demand,
	}
	worker.drill.monitor.started(start.Run, worker)
	return nil
}

// stop ends a run, and bars it.
func (worker *worker) stop(identity ptrun.WorkerIdentity, token ptrun.FenceToken, id ptrun.ID) error {
	if err := worker.check(identity, token); err != nil {
		return err
	}
	if worker.runs[id] != nil {
		worker.end(id, ptrun.Stopped)
	}
	worker.bar(id)
	return nil
}

func (worker *worker) extend(until ptrun.WorkerTime) {
	longest := worker.clock() + ptrun.WorkerTime(longestLease.Milliseconds())
	worker.until = max(worker.until, min(until, longest))
}

// hold renews the lease and lists.
func (worker *worker) hold(identity ptrun.WorkerIdentity, token ptrun.FenceToken, hold ptrun.LeaseRenewal) (listing ptrun.Listing, err error) {
	if err := worker.check(identity, token); err != nil {
		return listing, err
	}
	worker.extend(hold.ExpiresAt)
	worker.ends = slices.DeleteFunc(worker.ends, func(listed ptrun.ListedEnd) bool { return listed.Sequence <= hold.Acknowledged })
	listing = ptrun.Listing{WorkerStartedAt: worker.identity.StartedAt, Clock: worker.clock(), Ends: slices.Clone(worker.ends)}
	for _, id := range slices.SortedFunc(maps.Keys(worker.runs), ptrun.Compare) {
		listing.Active = append(listing.Active, ptrun.ListedRun{Run: id, Percent: 100})
	}
	return listing, nil
}

// crash ends everything without a trace.
func (worker *worker) crash() {
	for _, id := range slices.SortedFunc(maps.Keys(worker.runs), ptrun.Compare) {
		worker.drill.monitor.ended(id)
	}
	worker.runs, worker.alive = nil, false
}
