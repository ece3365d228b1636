// Package ptroom is the agent's decisions about the runs on its worker: what starts,
// what waits, what is stopped, and when a run is known to be over. It has no I/O.
//
// # How it works
//
//  1. Nothing else calls the worker, so the core alone keeps its room. A run holds its
//     demand from the start order until its end is proved; a stop in progress counts.
//  2. Ordered runs that do not fit wait, in the order of their key, until their
//     WaitUntil; then they are refused as never started.
//  3. Each start order carries a deadline on the worker's clock ([StartOrderTTL]), so one
//     that is carried out late does nothing. A start without an answer is resolved by a
//     listing that was asked for afterwards: the run is in it, or it is stopped, or the
//     deadline has passed.
//  4. The lease of the worker is renewed up to [LeaseDuration] ahead of the earliest that
//     its clock can show. A run is over when its end is listed; when a listing that was
//     asked for after the answer to its start or stop lacks it; when another life of
//     the worker answers; or when the last lease that may have been granted has lapsed
//     on a clock that is [ClockDriftDivisor] slow.
//  5. The runs of an entry that has been silent for [OrphanTimeout] are stopped, and those
//     of an earlier incarnation of an entry at once.
//  6. Runs that the worker lists and nobody here ordered are stopped. Until the worker
//     has been seen without any, or every lease of a former agent has lapsed, the agent
//     takes no orders ([Core.TakeoverComplete]).
//  7. The end of a run of a kept job is acknowledged to the worker only when its owner
//     has kept it ([Core.AcknowledgeEnd]). Ends that nobody here has ordered are told to
//     every entry, again and again, until their owner does. An entry that takes over a
//     partition adopts its runs ([Core.AdoptPartition]); orders of a lower epoch are refused.
//  8. A worker whose kept ends no entry can be told of is left to lapse: an owner that
//     can't reach the agent starts those tasks again after that bound.
//  9. The worker is judged by the runs of all entries (package ptfitness). Every frame
//     tells the word; each entry is told at once where the worker looks better or
//     worse, and one at a time gets the turn to try one that does.
//  10. Ends are remembered until the session that carried them has outlived them by
//     [EndRetention], since the next session may ask for them.
//
// # Usage
//
//	core := ptroom.New(token, now)
//	effects := core.Announced(worker, clock, now)
//	effects = core.Order(order, now)
//	effects = core.Listed(listing, requestedAt, now)
//
// # Limits
//
// Core is not safe for concurrent use.
package ptroom

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptkept"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// LeaseDuration is how far ahead the worker's lease is renewed; workers cut it at one second.
	LeaseDuration = 900 * time.Millisecond
	// StartOrderTTL bounds how late a start order may be carried out: a local call takes
	// about a millisecond, and a paused worker some hundreds.
	StartOrderTTL = 300 * time.Millisecond
	// ClockDriftDivisor is how much slower than ours the worker's clock may run, as a divisor.
	ClockDriftDivisor = 50
	// OrphanTimeout is how long the runs of an entry without a session go on. Together
	// with the time to find the silence it stays below the time after which callers
	// submit again, see docs/design/10-platform.md.
	OrphanTimeout = 300 * time.Millisecond
	// DurableOrphanTimeout is the same for runs of kept jobs, which a later owner may adopt: it
	// gets a silent owner's partitions after about a second and a half.
	DurableOrphanTimeout = 2500 * time.Millisecond
	// UnreachableTimeout is how long a worker may list nothing before its agent takes no
	// more orders: a few calls that all got no answer.
	UnreachableTimeout = 300 * time.Millisecond
	// tellAgainAfter is when ends without an owner are told again.
	tellAgainAfter = 500 * time.Millisecond
	// StopRetryInterval is when a stop without effect is repeated.
	StopRetryInterval = 150 * time.Millisecond
	// EndRetention is how long an end is kept beyond its delivery.
	EndRetention = 5 * time.Second
	// forgetAfter bounds the memory of ends that nobody has come for.
	forgetAfter = 2 * time.Minute
	// firstTokenStep is added to a token that the worker refuses, and doubles each
	// time: a former agent's time of day may have been ahead by seconds.
	firstTokenStep = 1000
)

// Owner is the incarnation of an entry that ordered a run.
type Owner struct {
	Entry       ptid.EntryName
	Incarnation ptid.Incarnation
}

// Order asks for a run.
type Order struct {
	Run    ptrun.ID
	Owner  Owner
	Spec   string
	Demand ptrun.Demand
	// StartBy is after when nothing is started, WaitUntil after when the run no longer waits
	// for room.
	StartBy    ptid.Instant
	WaitUntil  ptid.Instant
	QueueKey   ptid.Instant
	Checkpoint ptrun.Checkpoint
	Ticket     string
	// Partition and Epoch are set for runs of kept jobs.
	Partition ptkept.Partition
	Epoch     ptkept.Epoch
	// Opportunistic runs take the processor time that others leave; TailTarget is set for runs
	// that serve users.
	Opportunistic     bool
	TailLatencyTarget time.Duration
	// ExpectedRunTime is how long the run should take on a sound worker; zero where nobody knows.
	ExpectedRunTime time.Duration
}

// kept reports whether the run is of a kept job.
func (order *Order) kept() bool { return ptkept.IsDurable(order.Run.Number) }

// Effect is something that the owner of the core has to do.
type Effect interface{ isEffect() }

// StartRun asks for a start order to the worker; report the answer with [Core.HandleStartResponse].
type StartRun struct {
	Worker ptrun.WorkerIdentity
	Token  ptrun.FenceToken
	Start  ptrun.Start
}

// StopRun asks for a stop order; report the answer with [Core.HandleStopResponse].
type StopRun struct {
	Worker ptrun.WorkerIdentity
	Token  ptrun.FenceToken
	Run    ptrun.ID
	Reason ptrun.Reason
}

// ListRuns asks for a listing at once.
type ListRuns struct{}

// SendEnd tells an entry the end of a run.
type SendEnd struct {
	Owner Owner
	End   ptrun.End
}

// BroadcastEnd tells every entry the end of a run of a kept job that has no owner here.
type BroadcastEnd struct{ End ptrun.End }

// SendAdopted answers an adoption.
type SendAdopted struct {
	Owner     Owner
	Partition ptkept.Partition
	Epoch     ptkept.Epoch
	Runs      []ptrun.ID
}

// ThrottleRun asks for an order that lets a run work at a share of what it could.
type ThrottleRun struct {
	Worker  ptrun.WorkerIdentity
	Token   ptrun.FenceToken
	Run     ptrun.ID
	Percent int
}

// AssessmentChanged tells that the worker looks better or worse than before; every entry is to
// be told at once.
type AssessmentChanged struct{ Assessment ptfitness.Assessment }

// SendReport asks for a frame to an entry that room is kept for.
type SendReport struct{ Owner Owner }

func (StartRun) isEffect()          {}
func (SendReport) isEffect()        {}
func (AssessmentChanged) isEffect() {}
func (StopRun) isEffect()           {}
func (ListRuns) isEffect()          {}
func (SendEnd) isEffect()           {}
func (BroadcastEnd) isEffect()      {}
func (SendAdopted) isEffect()       {}
func (ThrottleRun) isEffect()       {}

type state uint8

const (
	waiting state = iota
	starting
	unanswered
	running
	stopping
)

// run is an ordered run whose end is not proved.
type run struct {
	Order
	state state
	// startBy is the deadline of the start order on the worker's clock.
	startBy   ptrun.WorkerTime
	startedAt ptid.Instant
	// answeredAt is when the last order for the run was answered or given up.
	answeredAt ptid.Instant
	// confirmed is true once the worker has said that it runs it.
	confirmed bool
	stopAsked bool
	stopAcked bool
	stopAgain ptid.Instant
	reason    ptrun.Reason
	// percent is the share at which the run may work, asked the one that was ordered last.
	percent int
	asked   int
	tail    time.Duration
}

func (run *run) holdsRoom() bool { return run.state != waiting }

// ended is a remembered end.
type ended struct {
	owner Owner
	end   ptrun.End
	at    ptid.Instant
	// forgetAt is Never until a session that carries the end is known to be alive.
	forgetAt ptid.Instant
}

type ownerState struct {
	incarnation ptid.Incarnation
	connected   bool
	silentSince ptid.Instant
	want        ptrun.CapacityRequest
	// share is the room that the entry has got against what it had waiting.
	share float64
	// offered is room that is kept for the entry until offerLapsesAt.
	offered       ptrun.Demand
	offerLapsesAt ptid.Instant
}

// Core is the state of one agent's runs.
type Core struct {
	token     ptrun.FenceToken
	tokenStep ptrun.FenceToken
	createdAt ptid.Instant
	clean     bool

	worker     ptrun.Worker
	known      bool
	reachable  bool
	listedAt   ptid.Instant
	clock      ptrun.WorkerTime
	clockAt    ptid.Instant
	leaseUntil ptrun.WorkerTime
	seen       ptrun.EndSequence
	// unacked are the listed ends of kept jobs that the worker must not forget yet.
	unacked   map[ptrun.ID]*unackedEnd
	strangers map[ptrun.ID]ptid.Instant

	runs   map[ptrun.ID]*run
	ends   map[ptrun.ID]*ended
	owners map[ptid.EntryName]*ownerState
	epochs map[ptkept.Partition]ptkept.Epoch
	pacing pacing
	// gauge judges the worker by the runs of all entries, turns deals out who may try one
	// that looks bad; graded is what entries were told last.
	gauge  *ptfitness.Estimator
	turns  *ptfitness.ProbeTurns
	graded ptfitness.Severity
	drain  bool
	held   ptrun.Demand

	effects []Effect
}

// New returns a core that knows no worker. token is the first fence token to try; it
// should be above those of former agents, and rises where it is not.
func New(token ptrun.FenceToken, now ptid.Instant) *Core {
	return &Core{
		token: token, tokenStep: firstTokenStep, createdAt: now, strangers: make(map[ptrun.ID]ptid.Instant),
		runs: make(map[ptrun.ID]*run), ends: make(map[ptrun.ID]*ended), owners: make(map[ptid.EntryName]*ownerState),
		unacked: make(map[ptrun.ID]*unackedEnd), epochs: make(map[ptkept.Partition]ptkept.Epoch),
		gauge: ptfitness.NewEstimator(), turns: ptfitness.NewProbeTurns(),
	}
}

func (core *Core) emit(effect Effect) { core.effects = append(core.effects, effect) }

func (core *Core) take() (effects []Effect) {
	effects, core.effects = core.effects, nil
	return effects
}

// Worker returns the worker, and whether there is one.
func (core *Core) Worker() (worker ptrun.Worker, known bool) { return core.worker, core.known }

// FenceToken returns the fence token to call the worker with.
func (core *Core) FenceToken() ptrun.FenceToken { return core.token }

// TakeoverComplete reports whether no run of a former agent can be left on the worker.
func (core *Core) TakeoverComplete(now ptid.Instant) bool {
	return core.clean || now.Sub(core.createdAt) > LeaseDuration+LeaseDuration/ClockDriftDivisor+StartOrderTTL
}

// RaiseToken raises the token after the worker has refused it.
func (core *Core) RaiseToken(refused ptrun.FenceToken) {
	if refused < core.token {
		return
	}
	core.token += core.tokenStep
	core.tokenStep *= 2
}

// HandleAnnouncement takes what the worker says of itself.
func (core *Core) HandleAnnouncement(worker ptrun.Worker, clock ptrun.WorkerTime, now ptid.Instant) (effects []Effect) {
	if core.known && core.worker.WorkerIdentity == worker.WorkerIdentity {
		if worker.Sequence <= core.worker.Sequence {
			return nil
		}
	} else {
		if worker.StartedAt.Before(core.worker.StartedAt) {
			// It was held up on its way, and another life has been heard of since.
			return nil
		}
		core.replaced(now)
		core.clock, core.clockAt = clock, now
	}
	core.worker, core.known, core.reachable = worker, true, true
	core.tick(clock, now)
	if worker.Draining {
		core.refuseWaiting(ptrun.ReasonDraining, now)
	}
	core.fill(now)
	return core.take()
}

// replaced ends all runs of the former life of the worker.
func (core *Core) replaced(now ptid.Instant) {
	for _, run := range core.sorted() {
		if run.holdsRoom() {
			core.finish(run, ptrun.End{Run: run.Run, Result: ptrun.Lost, Reason: ptrun.ReasonRestarted}, now)
		}
	}
	core.seen, core.leaseUntil, core.clock = 0, 0, 0
	core.gauge, core.turns = ptfitness.NewEstimator(), ptfitness.NewProbeTurns()
	clear(core.strangers)
	clear(core.unacked)
}

// HandleWorkerGone records that the worker has left or another life answered at its address.
func (core *Core) HandleWorkerGone(worker ptrun.WorkerIdentity, now ptid.Instant) (effects []Effect) {
	if core.known && core.worker.WorkerIdentity == worker {
		core.known = false
		core.refuseWaiting(ptrun.ReasonWorkerAbsent, now)
	}
	return core.take()
}

// tick takes a reading of the worker's clock.
func (core *Core) tick(clock ptrun.WorkerTime, now ptid.Instant) {
	if clock >= core.estimate(now) {
		core.clock, core.clockAt = clock, now
	}
}

// estimate returns the earliest that the worker's clock can show.
func (core *Core) estimate(now ptid.Instant) ptrun.WorkerTime {
	passed := now.Sub(core.clockAt)
	passed -= passed / ClockDriftDivisor
	return core.clock + ptrun.WorkerTime(passed.Milliseconds())
}

// LeaseRenewal returns what the next call that renews the lease should carry. A worker that does
// not answer gets no longer lease: each call may be carried out, and with another lease
// each time its runs would never be over.
func (core *Core) LeaseRenewal(now ptid.Instant) (hold ptrun.LeaseRenewal) {
	hold.Acknowledged = core.acknowledged()
	silent := now.Sub(core.listedAt) > UnreachableTimeout
	if core.clock > 0 && !silent && !core.mustLapse(now) {
		hold.ExpiresAt = core.extend(now)
	}
	return hold
}

func (core *Core) extend(now ptid.Instant) ptrun.WorkerTime {
	until := core.estimate(now) + ptrun.WorkerTime(LeaseDuration.Milliseconds())
	core.leaseUntil = max(core.leaseUntil, until)
	return until
}

// leaseLapsesBy returns the instant by which every lease has lapsed that may have
// been granted.
func (core *Core) leaseLapsesBy() ptid.Instant {
	left := time.Duration(max(0, core.leaseUntil-core.clock)) * time.Millisecond
	return core.clockAt.Add(left + left/(ClockDriftDivisor-1) + time.Millisecond)
}

// Order takes an order from an entry.
func (core *Core) Order(order Order, now ptid.Instant) (effects []Effect) {
	if core.runs[order.Run] != nil {
		return nil
	}
	if known := core.ends[order.Run]; known != nil {
		return []Effect{SendEnd{Owner: order.Owner, End: known.end}}
	}
	if order.kept() && order.Epoch < core.epochs[order.Partition] {
		return []Effect{SendEnd{Owner: order.Owner, End: ptrun.End{Run: order.Run, Result: ptrun.NeverStarted, Reason: ptrun.ReasonOtherOwner}}}
	}
	ordered := &run{Order: order, percent: fullPace, asked: fullPace}
	core.runs[order.Run] = ordered
	if core.graded > 0 {
		core.turns.Probed()
	}
	offered := core.useOffer(&order)
	switch {
	case core.drain || core.worker.Draining:
		core.neverStarted(ordered, ptrun.ReasonDraining, now)
	case !core.known || !core.reachable:
		core.neverStarted(ordered, ptrun.ReasonWorkerAbsent, now)
	case !core.worker.Capacity.Covers(order.Demand):
		core.neverStarted(ordered, ptrun.ReasonNoCapacity, now)
	default:
		if offered && core.startable(ordered) {
			// It goes before what waits here: the room was kept for it.
			core.start(ordered, now)
		}
		core.fill(now)
	}
	return core.take()
}

func (core *Core) neverStarted(run *run, reason ptrun.Reason, now ptid.Instant) {
	core.finish(run, ptrun.End{Run: run.Run, Result: ptrun.NeverStarted, Reason: reason}, now)
}

func (core *Core) refuseWaiting(reason ptrun.Reason, now ptid.Instant) {
	for _, run := range core.sorted() {
		if run.state == waiting {
			core.neverStarted(run, reason, now)
		}
	}
}

// sorted returns the runs in a fixed order.
func (core *Core) sorted() (runs []*run) {
	runs = slices.Collect(maps.Values(core.runs))
	slices.SortFunc(runs, func(left, right *run) int {
		if left.QueueKey != right.QueueKey {
			return int(min(1, max(-1, left.QueueKey-right.QueueKey)))
		}
		return ptrun.Compare(left.Run, right.Run)
	})
	return runs
}

// fill starts the waiting runs that fit, in the order of their keys.
func (core *Core) fill(now ptid.Instant) {
	core.lapseOffers(now)
	if !core.known || !core.reachable || core.worker.Draining || core.clock == 0 {
		return
	}
	for _, run := range core.sorted() {
		if core.startable(run) {
			core.start(run, now)
		}
	}
	core.offer(now)
}

// startable reports whether there is room for a waiting run.
func (core *Core) startable(run *run) bool {
	if run.state != waiting || core.clock == 0 || core.taskActive(run) {
		return false
	}
	return core.worker.Capacity.Minus(core.held).Minus(core.offeredToOthers(run.Owner.Entry)).Covers(run.Demand)
}

// taskActive reports whether another run of the same task may be on the worker.
func (core *Core) taskActive(wanted *run) bool {
	for id, run := range core.runs {
		if id.Task == wanted.Run.Task && run != wanted && run.holdsRoom() {
			return true
		}
	}
	return false
}

func (core *Core) start(run *run, now ptid.Instant) {
	if now >= run.StartBy {
		core.neverStarted(run, ptrun.ReasonStartDeadline, now)
		return
	}
	run.state, run.startedAt = starting, now
	run.startBy = core.estimate(now) + ptrun.WorkerTime(StartOrderTTL.Milliseconds())
	core.leaseUntil = max(core.leaseUntil, run.startBy)
	core.gauge.Started(run.Run, run.ExpectedRunTime, run.Checkpoint != "", now)
	core.held = core.held.Plus(run.Demand)
	ptassert.That(core.worker.Capacity.Covers(core.held), "runs hold no more than the worker's capacity", "held", core.held)
	core.emit(StartRun{
		Worker: core.worker.WorkerIdentity, Token: core.token,
		Start: ptrun.Start{Run: run.Run, Spec: run.Spec, StartBy: run.startBy, Checkpoint: run.Checkpoint, Ticket: run.Ticket},
	})
}

// Stop handles an entry's wish to end a run.
func (core *Core) Stop(id ptrun.ID, reason ptrun.Reason, now ptid.Instant) (effects []Effect) {
	if run := core.runs[id]; run != nil {
		core.stop(run, reason, now)
	}
	core.fill(now)
	return core.take()
}

func (core *Core) stop(run *run, reason ptrun.Reason, now ptid.Instant) {
	if run.stopAsked {
		return
	}
	run.stopAsked, run.reason = true, reason
	switch run.state {
	case waiting:
		core.neverStarted(run, reason, now)
	case starting:
		// The answer to the start comes first; a stop that overtakes it would be wasted.
	case unanswered, running, stopping:
		core.orderStop(run, now)
	}
}

func (core *Core) orderStop(run *run, now ptid.Instant) {
	run.state = stopping
	run.stopAgain = now.Add(StopRetryInterval)
	core.emit(StopRun{Worker: core.worker.WorkerIdentity, Token: core.token, Run: run.Run, Reason: run.reason})
}

// finish takes a run off the books and tells its owner.
func (core *Core) finish(run *run, end ptrun.End, now ptid.Instant) {
	if run.holdsRoom() {
		core.held = core.held.Minus(run.Demand)
		end.RunTime = now.Sub(run.startedAt)
	}
	core.measure(end, now)
	if end.Checkpoint == "" {
		end.Checkpoint = run.Checkpoint
	}
	delete(core.runs, run.Run)
	core.ends[run.Run] = &ended{owner: run.Owner, end: end, at: now, forgetAt: ptid.Never}
	if owner := core.owners[run.Owner.Entry]; owner != nil && owner.connected && owner.incarnation == run.Owner.Incarnation {
		core.ends[run.Run].forgetAt = now.Add(EndRetention)
		core.emit(SendEnd{Owner: run.Owner, End: end})
	}
}

// DemandOf returns what a run holds; nothing where there is no such run.
func (core *Core) DemandOf(id ptrun.ID) (demand ptrun.Demand) {
	if run := core.runs[id]; run != nil {
		return run.Demand
	}
	return demand
}
