package ptdrill

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

const (
	// clockDriftDivisor sets the drift of the worker's clock: it runs slow by
	// 1/clockDriftDivisor, which is 2 %.
	clockDriftDivisor = 50
	// maxLease is the longest lease that a worker grants.
	maxLease = time.Second
	// stopGrace is the longest time that a stop takes.
	stopGrace = 40 * time.Millisecond
	// maxListedEnds is how many ends a listing contains at most.
	maxListedEnds = 500
	// slowFactor is how much longer runs take on a slow worker.
	slowFactor = 4
	// maxLeaseDelay is how late a worker may enforce its lease with [Faults.LateLeases].
	maxLeaseDelay = 2 * time.Second
)

// announceInterval is the interval of the announcements of a worker.
const announceInterval = 300 * time.Millisecond

type workerRun struct {
	startedAt, endsAt ptid.Instant
	result            ptrun.Result
	demand            ptrun.Demand
}

// worker is one incarnation of a simulated worker. It follows the rules of the worker protocol
// and reports the start and end of its runs to the monitor.
type worker struct {
	simulation *simulation
	index      int
	identity   ptrun.WorkerIdentity
	startedAt  ptid.Instant
	capacity   ptrun.Demand
	// fullCapacity is the capacity that the worker has unless it has shrunk. formerCapacity counts
	// until formerUntil.
	fullCapacity, formerCapacity ptrun.Demand
	formerUntil                  ptid.Instant
	token                        ptrun.FenceToken
	// leaseExpiry is on the worker's clock. expiryDelay is how late the worker enforces it.
	leaseExpiry  ptrun.WorkerTime
	expiryDelay  time.Duration
	runs         map[ptrun.ID]*workerRun
	highestEnded map[ptrun.TaskID]ptrun.Number
	ends         []ptrun.ListedEnd
	// lapsedEnds is the sequence number of the last end before the latest expiry of the lease.
	lapsedEnds   ptrun.EndSequence
	sequence     ptrun.EndSequence
	announcement uint64
	alive        bool
	slow         bool
	// The worker responds to nothing until stalledUntil, and stands still until frozenUntil.
	// stoodStill is how long it has stood still since frozenAt.
	stalledUntil, frozenUntil, frozenAt ptid.Instant
	stoodStill                          time.Duration
	// polls contains the listing calls that wait for a run to end.
	polls []func()
}

// newWorker returns a worker with the given ID, or with a new ID if none is given.
func (simulation *simulation) newWorker(index int, id ptrun.WorkerID) *worker {
	if id == "" {
		id = ptrun.WorkerID(fmt.Sprintf("worker%d-%d", index, simulation.random.IntN(1000000)))
	}
	started := &worker{
		simulation: simulation, index: index, startedAt: simulation.Now(), capacity: ptrun.Demand{CPU: 10_000, Memory: 14_000}, alive: true,
		identity: ptrun.WorkerIdentity{ID: id, StartedAt: time.UnixMilli(1 + int64(simulation.Now())/int64(time.Millisecond))},
		runs:     make(map[ptrun.ID]*workerRun), highestEnded: make(map[ptrun.TaskID]ptrun.Number),
	}
	started.fullCapacity = started.capacity
	if simulation.setting.Faults.LateLeases && !simulation.quiescent {
		started.expiryDelay = simulation.between(0, maxLeaseDelay)
	}
	simulation.After(simulation.between(0, announceInterval), started.announce)
	simulation.trace("%s starts", workerName(started.identity))
	return started
}

func workerName(identity ptrun.WorkerIdentity) string {
	return fmt.Sprintf("%s/%d", identity.ID, identity.StartedAt.UnixMilli())
}

// announce announces the worker to the agent at its address, and repeats this at an interval.
func (worker *worker) announce() {
	simulation := worker.simulation
	if !worker.alive {
		return
	}
	simulation.After(announceInterval, worker.announce)
	if max(worker.stalledUntil, worker.frozenUntil) > simulation.Now() {
		return
	}
	worker.announcement++
	announced := ptrun.Worker{WorkerIdentity: worker.identity, Service: service, Capacity: worker.capacity, Sequence: worker.announcement}
	clock, delay := worker.clock(), simulation.delay()
	if simulation.setting.Faults.Mismatches && !simulation.quiescent && simulation.happens(10) {
		delay = simulation.between(100*time.Millisecond, 6*time.Second)
	}
	simulation.After(delay, func() {
		target := simulation.agents[worker.index]
		target.handle(func() {
			target.applyEffects(target.core.HandleAnnouncement(announced, clock, simulation.Now()))
			if simulation.setting.Faults.Mismatches && !simulation.happens(30) || target.recorded.SaysSame(&announced) {
				return
			}
			target.recorded, simulation.records[worker.index] = announced, &announced
		})
	})
}

// clock returns the time on the worker's clock, which runs slow.
func (worker *worker) clock() ptrun.WorkerTime { return worker.clockAt(worker.simulation.Now()) }

func (worker *worker) clockAt(instant ptid.Instant) ptrun.WorkerTime {
	if worker.frozenUntil > instant {
		instant = worker.frozenAt
	}
	elapsed := instant.Sub(worker.startedAt) - worker.stoodStill
	return ptrun.WorkerTime((elapsed - elapsed/clockDriftDivisor).Milliseconds() + 1)
}

// owner returns the entry process that ordered a run on this worker.
func (worker *worker) owner(id ptrun.ID) ptruncontrol.Owner {
	return worker.simulation.owners[worker.index][id]
}

func (worker *worker) held() (held ptrun.Demand) {
	for _, run := range worker.runs {
		held = held.Plus(run.demand)
	}
	return held
}

// leaseExpiresAt returns when the worker ends its runs unless the lease is renewed.
func (worker *worker) leaseExpiresAt() ptid.Instant {
	remaining := time.Duration(worker.leaseExpiry-worker.clock()+1) * time.Millisecond
	return worker.simulation.Now().Add(remaining + remaining/(clockDriftDivisor-1) + worker.expiryDelay)
}

// advance ends the runs whose run time has elapsed, and all runs if the lease has expired.
func (worker *worker) advance() {
	now := worker.simulation.Now()
	if len(worker.runs) == 0 || worker.frozenUntil > now {
		return
	}
	expiresAt := worker.leaseExpiresAt()
	ids := slices.SortedFunc(maps.Keys(worker.runs), func(left, right ptrun.ID) int {
		return cmp.Or(cmp.Compare(worker.runs[left].endsAt, worker.runs[right].endsAt), ptrun.Compare(left, right))
	})
	for _, id := range ids {
		switch run := worker.runs[id]; {
		case run.endsAt <= min(now, expiresAt):
			worker.end(id, run.result)
		case expiresAt < now:
			worker.simulation.report.Lapsed++
			worker.end(id, ptrun.Lost)
		}
	}
}

func (worker *worker) end(id ptrun.ID, result ptrun.Result) {
	simulation := worker.simulation
	simulation.trace("%s ended %v: %s", workerName(worker.identity), id, result)
	if result == ptrun.Done {
		simulation.report.Done++
		simulation.monitor.runDone(id, worker)
	}
	if result == ptrun.Failed {
		simulation.monitor.runFailed(id)
	}
	delete(worker.runs, id)
	worker.recordEnded(id)
	worker.sequence++
	listed := ptrun.End{Run: id, Result: result}
	if result == ptrun.Lost {
		listed.Reason = ptrun.ReasonLeaseEnforced
	}
	worker.ends = append(worker.ends, ptrun.ListedEnd{Sequence: worker.sequence, End: listed})
	simulation.monitor.runEnded(id, worker)
	polls := worker.polls
	worker.polls = nil
	for _, respond := range polls {
		simulation.After(0, func() { worker.receive(respond) })
	}
}

// recordEnded prevents this run and all earlier runs of the task from starting.
func (worker *worker) recordEnded(id ptrun.ID) {
	worker.highestEnded[id.Task] = max(worker.highestEnded[id.Task], id.Number)
}

// receive executes a call as soon as the worker responds. A worker that has ended executes none.
func (worker *worker) receive(execute func()) {
	simulation := worker.simulation
	switch until := max(worker.stalledUntil, worker.frozenUntil); {
	case !worker.alive:
	case until > simulation.Now():
		simulation.After(until.Sub(simulation.Now())+simulation.between(0, resumeJitter), func() { worker.receive(execute) })
	default:
		worker.advance()
		execute()
	}
}

// authorize returns an error if an order is for another worker or has a lower fence token than
// an earlier order. Orders name only the ID of the worker.
func (worker *worker) authorize(identity ptrun.WorkerIdentity, token ptrun.FenceToken) error {
	switch {
	case identity.ID != worker.identity.ID:
		return ptrun.ErrWorkerMismatch
	case token < worker.token:
		return ptrun.ErrFenced
	}
	worker.token = token
	return nil
}

// start executes a start order.
func (worker *worker) start(identity ptrun.WorkerIdentity, token ptrun.FenceToken, start ptrun.Start) error {
	if err := worker.authorize(identity, token); err != nil {
		return err
	}
	if worker.runs[start.Run] != nil {
		return nil
	}
	if worker.clock() > start.StartBy {
		return ptrun.ErrStartDeadlineExceeded
	}
	worker.extendLease(start.StartBy)
	if start.Run.Number <= worker.highestEnded[start.Run.Task] {
		return ptrun.ErrHigherRunEnded
	}
	simulation, task := worker.simulation, worker.simulation.tasks[start.Run.Task]
	started := &workerRun{startedAt: simulation.Now(), endsAt: simulation.Now().Add(task.runTime), result: ptrun.Done, demand: task.demand}
	if simulation.setting.Faults.Stragglers && simulation.happens(stragglerPercent) {
		started.endsAt = simulation.Now().Add(stragglerFactor * task.runTime)
	}
	if worker.slow {
		started.endsAt = simulation.Now().Add(slowFactor * task.runTime)
	}
	if simulation.happens(2) {
		started.result = ptrun.Failed
	}
	worker.runs[start.Run] = started
	simulation.trace("%s started %v", workerName(worker.identity), start.Run)
	simulation.monitor.runStarted(start.Run, worker)
	worker.watch(started)
	if task.crashesAfter > 0 {
		simulation.After(task.crashesAfter, func() {
			worker.receiveSilently(func() {
				if worker.runs[start.Run] == started {
					simulation.monitor.crashedBy(start.Run)
					simulation.crashWorker(worker.index, simulation.between(time.Second, 4*time.Second))
				}
			})
		})
	}
	return nil
}

// watch advances the worker when a run ends.
func (worker *worker) watch(run *workerRun) {
	simulation := worker.simulation
	simulation.After(max(0, run.endsAt.Sub(simulation.Now())), func() {
		worker.receiveSilently(func() {
			if simulation.Now() < run.endsAt {
				worker.watch(run)
				return
			}
			worker.advance()
		})
	})
}

// receiveSilently performs an action of the worker itself, also while it does not respond.
func (worker *worker) receiveSilently(action func()) {
	simulation := worker.simulation
	switch {
	case !worker.alive:
	case worker.frozenUntil > simulation.Now():
		simulation.After(worker.frozenUntil.Sub(simulation.Now()), func() { worker.receiveSilently(action) })
	default:
		action()
	}
}

// stop ends a run within stopGrace, and prevents it from starting if it has not started.
func (worker *worker) stop(identity ptrun.WorkerIdentity, token ptrun.FenceToken, id ptrun.ID) error {
	if err := worker.authorize(identity, token); err != nil {
		return err
	}
	worker.recordEnded(id)
	if run := worker.runs[id]; run != nil {
		if endsAt := worker.simulation.Now().Add(worker.simulation.between(0, stopGrace)); endsAt < run.endsAt {
			run.endsAt, run.result = endsAt, ptrun.Stopped
			worker.watch(run)
		}
	}
	return nil
}

// shrinkTimeout is how long after the next announcement a reduced capacity counts.
const shrinkTimeout = 3 * time.Second

// setCapacity changes the capacity of the worker to a share of its full capacity, in percent.
func (worker *worker) setCapacity(percent int64) {
	if !worker.alive {
		return
	}
	now := worker.simulation.Now()
	worker.formerCapacity, worker.formerUntil = worker.countedCapacity(now).Max(worker.capacity), now.Add(shrinkTimeout+announceInterval)
	worker.capacity = ptrun.Demand{
		CPU: worker.fullCapacity.CPU * ptrun.Millicores(percent) / 100, Memory: worker.fullCapacity.Memory * ptrun.Mebibytes(percent) / 100,
	}
	worker.simulation.trace("%s has %d %% of its capacity", workerName(worker.identity), percent)
}

// countedCapacity returns the capacity that starts must not exceed.
func (worker *worker) countedCapacity(now ptid.Instant) ptrun.Demand {
	if now < worker.formerUntil {
		return worker.formerCapacity.Max(worker.capacity)
	}
	return worker.capacity
}

// extendLease extends the lease to the requested time, but at most to maxLease from now.
func (worker *worker) extendLease(requested ptrun.WorkerTime) {
	if worker.clock() > worker.leaseExpiry {
		worker.lapsedEnds = worker.sequence
	}
	limit := worker.clock() + ptrun.WorkerTime(maxLease.Milliseconds())
	worker.leaseExpiry = max(worker.leaseExpiry, min(requested, limit))
}

// renewLease renews the lease, deletes the acknowledged ends, waits for a run to end, and responds
// with the listing of the active runs and the remaining ends.
func (worker *worker) renewLease(identity ptrun.WorkerIdentity, token ptrun.FenceToken, renewal ptrun.LeaseRenewal, respond func(listing ptrun.Listing, err error)) {
	if err := worker.authorize(identity, token); err != nil {
		respond(ptrun.Listing{}, err)
		return
	}
	worker.extendLease(renewal.ExpiresAt)
	for _, listed := range worker.ends {
		if listed.Sequence <= renewal.Acknowledged && listed.Sequence > worker.lapsedEnds && listed.End.Result == ptrun.Done {
			worker.simulation.monitor.doneAcknowledged(listed.End.Run, worker)
		}
	}
	worker.ends = slices.DeleteFunc(worker.ends, func(listed ptrun.ListedEnd) bool { return listed.Sequence <= renewal.Acknowledged })
	if len(worker.ends) > 0 || renewal.PollTimeout == 0 {
		respond(worker.list(), nil)
		return
	}
	responded := false
	finish := func() {
		if !responded {
			responded = true
			respond(worker.list(), nil)
		}
	}
	worker.polls = append(worker.polls, finish)
	worker.simulation.After(renewal.PollTimeout, func() { worker.receive(finish) })
}

func (worker *worker) list() (listing ptrun.Listing) {
	listing = ptrun.Listing{
		WorkerStartedAt: worker.identity.StartedAt, Clock: worker.clock(), Ends: slices.Clone(worker.ends[:min(len(worker.ends), maxListedEnds)]),
		EndsTruncated: len(worker.ends) >= maxListedEnds,
	}
	for _, id := range slices.SortedFunc(maps.Keys(worker.runs), ptrun.Compare) {
		listing.Active = append(listing.Active, ptrun.ListedRun{Run: id, Percent: worker.percentOf(id)})
	}
	return listing
}

// setSlow changes the speed of the worker and thereby the remaining time of its runs.
func (worker *worker) setSlow(slow bool) {
	if !worker.alive || worker.slow == slow {
		return
	}
	worker.advance()
	worker.slow = slow
	now := worker.simulation.Now()
	for _, id := range slices.SortedFunc(maps.Keys(worker.runs), ptrun.Compare) {
		run := worker.runs[id]
		remaining := run.endsAt.Sub(now) * slowFactor
		if !slow {
			remaining = run.endsAt.Sub(now) / slowFactor
		}
		run.endsAt = now.Add(remaining)
		worker.watch(run)
	}
}

// freeze makes the worker stand still with its clock and its runs.
func (worker *worker) freeze(duration time.Duration) {
	simulation := worker.simulation
	now := simulation.Now()
	if !worker.alive || worker.frozenUntil > now {
		return
	}
	worker.advance()
	worker.frozenAt, worker.frozenUntil = now, now.Add(duration)
	for _, run := range worker.runs {
		run.endsAt = run.endsAt.Add(duration)
	}
	simulation.After(duration, func() { worker.stoodStill += duration })
}

// crash ends the worker and its runs without reporting their ends to the agent.
func (worker *worker) crash() {
	worker.simulation.trace("%s crashes", workerName(worker.identity))
	for _, id := range slices.SortedFunc(maps.Keys(worker.runs), ptrun.Compare) {
		worker.simulation.monitor.runEnded(id, worker)
		worker.simulation.monitor.runCrashed(id)
	}
	worker.runs, worker.alive = nil, false
}

const (
	stragglerPercent = 5
	stragglerFactor  = 7
)

// percentOf returns the percentage that the worker lists for a run: its speed limit, or its progress if
// there are stragglers.
func (worker *worker) percentOf(id ptrun.ID) int {
	const whole = 100
	run := worker.runs[id]
	if !worker.simulation.setting.Faults.Stragglers || run.endsAt <= run.startedAt {
		return whole
	}
	return min(whole-1, int(whole*worker.simulation.Now().Sub(run.startedAt)/run.endsAt.Sub(run.startedAt)))
}
