// Package ptruncontrol makes the decisions of an agent about the runs on its worker: which runs
// start, wait or are stopped, and when a run is known to have ended. The end of a run is the
// record of its result (ptrun.End). The package does no I/O.
//
// # How it works
//
//  1. Only the agent calls the worker, so the core alone accounts for the worker's
//     capacity. A run holds its demand from its start order until its end is proved. A run
//     that is being stopped still holds its demand.
//  2. Ordered runs that do not fit wait in a queue, sorted by QueueKey. At WaitUntil they
//     are refused with the result NeverStarted.
//  3. Each start order carries a deadline on the worker's clock ([StartOrderTTL]), so an
//     order that arrives late has no effect. If a start order gets no response, a listing
//     requested afterwards determines the outcome. If the listing contains the run, the
//     run is active. If it does not and the deadline has passed, the run has not started.
//     Otherwise the agent stops the run. Listings overtake each other: one that lacks a
//     run proves its end only if it was requested after the run was known to be active.
//  4. The worker's lease is renewed to [LeaseDuration] after the earliest time that the
//     worker's clock can show. A run has ended when the worker lists its end; when a
//     listing that was requested after the response to the run's start or stop order (rule
//     3, for a restarted worker rule 12) does not contain the run; when an incarnation of the
//     worker with another ID is announced; or when the last lease that may have been granted
//     has expired, even if the worker's clock is slow by one part in [ClockDriftDivisor].
//     A run that is active for [StopTimeout] after its first stop order is ended by the
//     lease: the agent does not renew it and starts no run, which ends all runs on the worker.
//     A lease never extends beyond [OwnerTimeout] after an entry that has best-effort runs on the
//     worker has last confirmed the callers of its jobs ([DurableOwnerTimeout] after the last proof
//     of life of the owner, for runs of durable jobs), nor,
//     while a best-effort run is to be stopped, beyond a lease after the stop was requested
//     (owners.go).
//  5. If an entry has had no session for [OrphanTimeout], its best-effort runs are stopped.
//     Its runs of durable jobs are stopped after [DurableOrphanTimeout], unless an entry has
//     adopted them. When a new incarnation of an entry opens a session, the best-effort runs of
//     the earlier incarnations are stopped immediately.
//  6. Runs that the worker lists and that hold no capacity in the agent's records are stopped:
//     runs that this agent has not ordered, and runs whose end it has declared. While the
//     worker lists such a run, no run starts, because its demand is unknown. The agent
//     opens no sessions until the worker has listed no active runs
//     ([Core.TakeoverComplete]), and does not renew the lease before that.
//  7. The end of a run of a durable job (a durable end) is acknowledged to the worker only
//     when its owner has stored it ([Core.AcknowledgeEnd]). Until then it is sent to every
//     entry repeatedly, also if this agent has not ordered the run. An entry that takes
//     over a partition adopts the runs of that partition ([Core.AdoptPartition]). From
//     then on, orders of a lower epoch for that partition are refused.
//  8. If no entry can be reached to store durable ends, the agent lets the worker's lease
//     expire. An owner that cannot reach the agent waits for
//     ptassign.DurableRunLossTimeout before it starts the tasks of these runs again. The
//     lease expires before that. If only their owner cannot be reached, and it has started a task
//     again when the end of an earlier run as done arrives, it rejects that end ([Core.RejectEnd]).
//     The agent then lets the lease expire as well.
//  9. The health of the worker is assessed from the runs of all entries (package
//     ptfitness). Every frame carries the assessment. A change of its severity is sent to
//     each entry immediately, and one entry at a time may place a probe run on a suspect
//     worker.
//  10. An end is retained for [EndRetention] after it was sent to its entry. If the session
//     with the entry closes within this time, the same incarnation of the entry may query
//     the end in its next session. The end is therefore retained until [EndRetention]
//     after the start of that session. The retention is limited to two minutes, except for
//     durable ends that are not stored yet.
//  11. A run of a task that is suspected of crashing its workers is active in isolation
//     ([Order].Isolation): it starts once no other run is active, and no other run starts before its
//     isolation is over. If the lease of its worker expires, its end is reported only when the worker
//     is back, so that it tells whether the run has crashed the worker (isolation.go). The ends of
//     durable runs that were lost in a crash are repeated until their owner has stored them.
//  12. A worker that restarts under its ID may execute orders to its earlier incarnation, whose
//     deadlines mean nothing on its clock. The agent then raises its fence token. Until a
//     listing requested with the raised token arrives, no run starts and none of the earlier
//     orders is known to have no effect. That listing is complete: the worker has executed the
//     earlier orders before it, or refuses them.
//
// # Usage
//
//	core := ptruncontrol.New(token)
//	effects := core.HandleAnnouncement(worker, clock, now)
//	effects = core.Order(order, now)
//	effects = core.HandleListing(listing, requestedAt, now)
//
// # Limits
//
// Core is not safe for concurrent use.
package ptruncontrol

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// LeaseDuration is how far ahead the worker's lease is renewed. It is below maxLease, at which
	// workers cap a lease.
	LeaseDuration = 900 * time.Millisecond
	maxLease      = time.Second
	// StartOrderTTL is how long a start order stays valid. A local call takes about a
	// millisecond, and up to some hundred milliseconds if the worker is paused.
	StartOrderTTL = 300 * time.Millisecond
	// minSuspension is the difference of two clocks from which on this process counts as
	// suspended. Shorter ones are those of the readings.
	minSuspension = 50 * time.Millisecond
	// ClockDriftDivisor bounds the drift of the worker's clock: it may be slow by one part in
	// ClockDriftDivisor.
	ClockDriftDivisor = 50
	// OrphanTimeout is how long the runs of an entry without a session continue. The sum of
	// OrphanTimeout and the time to detect the lost session is less than the time after which
	// callers resubmit; see docs/design/10-platform.md.
	OrphanTimeout = 300 * time.Millisecond
	// DurableOrphanTimeout is the orphan timeout for runs of durable jobs. It leaves time for a
	// later owner to adopt the runs: the partitions of an owner that does not renew its
	// membership are assigned to other entries after about 1.5 s.
	DurableOrphanTimeout = 2500 * time.Millisecond
	// UnreachableTimeout is how long listings may fail before the agent takes no more orders.
	// It covers a few calls without a response.
	UnreachableTimeout = 300 * time.Millisecond
	// SilentWorkerTimeout is how long a worker may leave listings without a response, or refuse
	// them, before its runs are declared lost. Entries wait as long for the runs of a silent agent
	// (ptassign.RunLossTimeout).
	SilentWorkerTimeout = 2500 * time.Millisecond
	// rebroadcastInterval is the interval at which the agent broadcasts the end of a run again
	// while no owner has stored this end.
	rebroadcastInterval = 500 * time.Millisecond
	// StopRetryInterval is the interval after which an unacknowledged stop order is repeated. A
	// stop order times out after half of it.
	StopRetryInterval = 50 * time.Millisecond
	// StopTimeout is how long after its first stop order a run may be active before the agent lets
	// the worker's lease expire. The sum of StopTimeout and a lease is less than the time after
	// which callers resubmit; see docs/design/10-platform.md.
	StopTimeout = 350 * time.Millisecond
	// EndRetention is how long an end is retained after its delivery.
	EndRetention = 5 * time.Second
	// maxEndRetention limits the retention of an end, in particular if its owner opens no
	// further session. Ends of runs of durable jobs are retained until they are stored, even if
	// that takes longer.
	maxEndRetention = 2 * time.Minute
	// firstTokenStep is by how much the fence token is raised after the worker has refused it for
	// the first time. The increment doubles with each refusal. The initial token is the wall
	// clock in milliseconds. The worker refuses it if the wall clock of an earlier agent process
	// was ahead, which may be by seconds.
	firstTokenStep = 1000
)

// Owner is the incarnation of an entry that ordered a run.
type Owner struct {
	Entry       ptid.EntryName
	Incarnation ptid.Incarnation
}

// Order is an entry's request to execute a run.
type Order struct {
	Run    ptrun.ID
	Owner  Owner
	Spec   string
	Demand ptrun.Demand
	// SentAt is an instant before which the entry has not sent the order; zero means unknown.
	SentAt ptid.Instant
	// CallersConfirmedAt is when the entry last confirmed the callers of its best-effort jobs
	// ([Core.CallersConfirmed]). Zero means that the entry does not do so: it runs an earlier version.
	CallersConfirmedAt ptid.Instant
	// StartBy is the deadline for the start of the run. WaitUntil is the instant at which the
	// run is refused if it still waits for capacity. Waiting runs start in ascending order of
	// QueueKey.
	StartBy    ptid.Instant
	WaitUntil  ptid.Instant
	QueueKey   ptid.Instant
	Checkpoint ptrun.Checkpoint
	Ticket     string
	// Partition and Epoch are set for runs of durable jobs.
	Partition ptjobstore.Partition
	Epoch     ptjobstore.Epoch
	// Opportunistic runs use CPU time that other runs leave idle. TailLatencyTarget is the
	// target of a run that serves users; zero means none.
	Opportunistic     bool
	TailLatencyTarget time.Duration
	// ExpectedRunTime is how long the run should take on a healthy worker of speed 1; zero means
	// unknown. Queue is the queue of the job; empty if the entry does not use the speeds of workers.
	ExpectedRunTime time.Duration
	Queue           ptid.ProfileName
	// Isolation is how long the run must be the only active run on the worker; zero if others may be
	// active beside it.
	Isolation time.Duration
}

// isDurable reports whether the run belongs to a durable job.
func (order *Order) isDurable() bool { return ptjobstore.IsDurable(order.Run.Number) }

// Effect is an action that the caller of the core must perform.
type Effect interface{ isEffect() }

// StartRun sends a start order to the worker. Pass the response to [Core.HandleStartResponse].
type StartRun struct {
	Worker ptrun.WorkerIdentity
	Token  ptrun.FenceToken
	Start  ptrun.Start
}

// StopRun sends a stop order to the worker. Pass the response to [Core.HandleStopResponse].
type StopRun struct {
	Worker ptrun.WorkerIdentity
	Token  ptrun.FenceToken
	Run    ptrun.ID
	Reason ptrun.Reason
	// SentAt is the Order.SentAt of the run, ReceivedAt when the order arrived, and StartedAt when the
	// start order was sent. They are zero for runs that this agent has not ordered.
	SentAt, ReceivedAt, StartedAt ptid.Instant
}

// ListRuns requests a listing from the worker immediately.
type ListRuns struct{}

// SendEnd sends the end of a run to an entry.
type SendEnd struct {
	Owner Owner
	End   ptrun.End
}

// BroadcastEnd sends the end of a run of a durable job to all entries, because this agent does
// not know the owner, or because the owner has not stored the end yet.
type BroadcastEnd struct{ End ptrun.End }

// SendAdopted notifies an entry that it has adopted a partition, and lists the adopted runs.
type SendAdopted struct {
	Owner     Owner
	Partition ptjobstore.Partition
	Epoch     ptjobstore.Epoch
	Runs      []ptrun.ID
}

// ThrottleRun limits a run to a percentage of its full speed. Report a failure with
// [Core.HandleThrottleFailure].
type ThrottleRun struct {
	Worker  ptrun.WorkerIdentity
	Token   ptrun.FenceToken
	Run     ptrun.ID
	Percent int
}

// AssessmentChanged sends the worker's new health assessment to all entries immediately.
type AssessmentChanged struct{ Assessment ptfitness.Assessment }

// SendReport sends a capacity report immediately to an entry for which capacity is reserved, or
// whose turn it is to probe the worker.
type SendReport struct{ Owner Owner }

// UnaccountedRunsChanged reports that the worker lists other active runs without an entry in the
// agent's records than before. Ended counts those whose end the agent has already reported.
type UnaccountedRunsChanged struct {
	Worker           ptrun.WorkerIdentity
	Runs             []ptrun.ID
	Ended            int
	TakeoverComplete bool
}

// WorkerReplaced reports that another incarnation of the worker has replaced the previous one,
// and how many runs were lost with the previous one.
type WorkerReplaced struct {
	Previous ptrun.WorkerIdentity
	Lost     int
}

// LeaseExpired reports that the runs were declared lost, because no listing has arrived since
// ListedAt and the last lease that may have been granted expired at ExpiredAt.
type LeaseExpired struct {
	Worker    ptrun.WorkerIdentity
	ListedAt  ptid.Instant
	ExpiredAt ptid.Instant
	Lost      int
}

// OrderJoined reports that an owner has ordered a run that another owner has ordered before. It
// gets the end of that run.
type OrderJoined struct {
	Run   ptrun.ID
	Owner Owner
	First Owner
}

func (StartRun) isEffect()               {}
func (SendReport) isEffect()             {}
func (AssessmentChanged) isEffect()      {}
func (StopRun) isEffect()                {}
func (ListRuns) isEffect()               {}
func (SendEnd) isEffect()                {}
func (BroadcastEnd) isEffect()           {}
func (SendAdopted) isEffect()            {}
func (ThrottleRun) isEffect()            {}
func (UnaccountedRunsChanged) isEffect() {}
func (WorkerReplaced) isEffect()         {}
func (LeaseExpired) isEffect()           {}
func (OrderJoined) isEffect()            {}

// state is the state of a run at the agent.
type state uint8

const (
	// waiting runs wait for capacity; runs in all other states hold their demand.
	waiting state = iota
	starting
	// unanswered means that the start order got no response.
	unanswered
	running
	stopping
)

// run is an ordered run whose end has not been proved.
type run struct {
	Order
	state state
	// workerStartBy is the deadline of the start order on the worker's clock. Order.StartBy is
	// the deadline of the run on the agent's clock.
	workerStartBy ptrun.WorkerTime
	// receivedAt is when the order arrived.
	receivedAt, startedAt ptid.Instant
	// checkedAt is when the latest order for the run got a response or timed out, or when a
	// listing contained the run for the first time. Only a listing that was requested later
	// proves that the worker no longer executes the run.
	checkedAt ptid.Instant
	// confirmed is true once the worker has confirmed that it executes the run.
	confirmed     bool
	stopRequested bool
	stopAcked     bool
	stopRetryAt   ptid.Instant
	// stopDeadline is when the run must have ended after its first stop order.
	stopDeadline ptid.Instant
	// mustEndBy is when the run must have ended after its stop was requested.
	mustEndBy  ptid.Instant
	stopReason ptrun.Reason
	// ownerLostAt is when the session with the owner of a durable run ended, if the owner has been
	// restarted since; zero if not.
	ownerLostAt ptid.Instant
	// joined contains the further owners that have ordered the run: a caller may submit its job
	// to two entries, which number its runs alike.
	joined []Owner
	// isolated means that the run is active in isolation, at least until isolatedUntil, or waits for
	// that.
	isolated      bool
	isolatedUntil ptid.Instant
	// verdictBy is when the run is declared lost if it is still unknown whether it has crashed its
	// worker; zero unless its lease has expired.
	verdictBy ptid.Instant
	// crash is why the run was lost if the worker does not execute it: an incarnation with the same
	// ID has replaced the worker. It is empty if none has. crashRunTime is the run time until then.
	crash        ptrun.Reason
	crashRunTime time.Duration
	// fenced means that the fence token was raised for a later incarnation of the worker before
	// the worker had confirmed the run.
	fenced bool
	// percent is the speed limit that the worker lists for the run, and orderedPercent the speed
	// limit that was ordered last. Both are percentages of the full speed.
	percent        int
	orderedPercent int
	tailLatency    time.Duration
}

func (run *run) holdsCapacity() bool { return run.state != waiting }

// endRecord is a retained end.
type endRecord struct {
	owner Owner
	end   ptrun.End
	at    ptid.Instant
	// expiresAt is Never while the owner is unknown or has no session.
	expiresAt ptid.Instant
}

// ownerState is the state of one entry, including the capacity that is offered to it.
type ownerState struct {
	incarnation    ptid.Incarnation
	connected      bool
	disconnectedAt ptid.Instant
	// aliveAt is the latest instant at which the incarnation is known to have been alive, and
	// openedAt when it opened its latest session.
	aliveAt, openedAt ptid.Instant
	// callersConfirmedAt is the latest instant at which every open best-effort job of the incarnation
	// is known to have had a caller.
	callersConfirmedAt ptid.Instant
	request            ptrun.CapacityRequest
	// usage is the sum of the CPU demands of the runs that the entry has ordered, each divided
	// by the rate at which the entry requested capacity. The entry with the lowest usage gets
	// the next offer.
	usage float64
	// offered is the capacity that is reserved for the entry until offerExpiresAt.
	offered        ptrun.Demand
	offerExpiresAt ptid.Instant
}

// Core is the state of the runs of one agent.
type Core struct {
	token            ptrun.FenceToken
	tokenStep        ptrun.FenceToken
	takeoverComplete bool

	worker ptrun.Worker
	known  bool
	// restored means that the worker is known from a record only, whose capacity may be outdated.
	restored bool
	// identifiedAt is when the present incarnation was first heard from.
	identifiedAt ptid.Instant
	// unannounced means that the worker is not known because a later incarnation has responded
	// that was not announced yet.
	unannounced bool
	// fencedAt is when the fence token was raised for the present incarnation. fencePending is true
	// until that incarnation has responded to a listing call with the raised token.
	fencedAt     ptid.Instant
	fencePending bool
	reachable    bool
	listedAt     ptid.Instant
	// listCalledAt is when the latest listing call succeeded or failed. The worker has been silent
	// since silentSince, not counting the pauses of this process.
	listCalledAt, silentSince ptid.Instant
	// lost contains the runs on the present incarnation that were declared lost since the latest
	// listing.
	lost []LostRun
	// reorderBy is until when the order of an isolated run that has expired may be repeated; zero if
	// there is none.
	reorderBy ptid.Instant
	// crashNotices contains the ends of durable runs that were lost in crashes and are not stored yet.
	crashNotices map[ptrun.ID]*crashNotice
	// clock is a reading of the worker's clock at the instant clockAt; zero means unknown.
	// leaseExpiresAt is the latest expiry of a lease that may have been granted.
	clock          ptrun.WorkerTime
	clockAt        ptid.Instant
	leaseExpiresAt ptrun.WorkerTime
	highestEnd     ptrun.EndSequence
	// unacked holds the listed ends of runs of durable jobs that the worker must not discard
	// yet.
	unacked map[ptrun.ID]*unackedEnd
	// unaccounted holds the listed active runs that hold no capacity in runs, and
	// reportedUnaccounted the identities that were reported last.
	unaccounted         map[ptrun.ID]*unaccountedRun
	reportedUnaccounted []ptrun.ID

	runs   map[ptrun.ID]*run
	ends   map[ptrun.ID]*endRecord
	owners map[ptid.EntryName]*ownerState
	// epochs holds the epoch of the latest adoption of each partition, and adopters its owner.
	epochs   map[ptjobstore.Partition]ptjobstore.Epoch
	adopters map[ptjobstore.Partition]Owner
	throttle throttle
	health
	// stopsStragglers is set by StopStragglers. It outlasts the worker, unlike health.
	stopsStragglers bool
	draining        bool
	evacuation      evacuation
	// held is the sum of the demands of the runs that hold capacity.
	held ptrun.Demand
	// leaseMustExpire is true while the lease must expire, since a run that is to be stopped is active
	// after its stop deadline or an end was rejected, or while a start order would extend the lease
	// beyond mustEndBy of such a run.
	leaseMustExpire bool

	effects []Effect
}

// New returns a core without a worker. token is the first fence token to try. It should be
// higher than the tokens of earlier agent processes, and is raised if the worker refuses it.
func New(token ptrun.FenceToken) *Core {
	return &Core{
		token: token, tokenStep: firstTokenStep, unaccounted: make(map[ptrun.ID]*unaccountedRun),
		runs: make(map[ptrun.ID]*run), ends: make(map[ptrun.ID]*endRecord), owners: make(map[ptid.EntryName]*ownerState),
		unacked: make(map[ptrun.ID]*unackedEnd), crashNotices: make(map[ptrun.ID]*crashNotice), epochs: make(map[ptjobstore.Partition]ptjobstore.Epoch), adopters: make(map[ptjobstore.Partition]Owner),
		health: newHealth(),
	}
}

func (core *Core) emit(effect Effect) { core.effects = append(core.effects, effect) }

func (core *Core) takeEffects() (effects []Effect) {
	effects, core.effects = core.effects, nil
	return effects
}

// Worker returns the worker and whether it is known.
func (core *Core) Worker() (worker ptrun.Worker, known bool) { return core.worker, core.known }

// WorkerToList returns the incarnation of the worker to request listings from. That includes an
// incarnation that was not announced yet.
func (core *Core) WorkerToList() (worker ptrun.WorkerIdentity, ok bool) {
	return core.worker.WorkerIdentity, core.known || core.unannounced
}

// FenceToken returns the fence token for calls to the worker.
func (core *Core) FenceToken() ptrun.FenceToken { return core.token }

// TakeoverComplete reports whether all runs that earlier agent processes started on the worker
// have certainly ended: the worker has listed no active runs. The listing call carries this
// process's fence token, so no order of an earlier process is executed after it.
func (core *Core) TakeoverComplete() bool { return core.takeoverComplete }

// RaiseToken raises the fence token after the worker has refused the given one.
func (core *Core) RaiseToken(refused ptrun.FenceToken) {
	if refused < core.token {
		return
	}
	core.token += core.tokenStep
	core.tokenStep *= 2
}

// HandleAnnouncement processes an announcement of the worker. An incarnation that is announced
// again after [Core.HandleWorkerGone] keeps its runs. An incarnation with an earlier start time is
// a successor only if the present one is gone: the wall clock may have been set back.
func (core *Core) HandleAnnouncement(worker ptrun.Worker, clock ptrun.WorkerTime, now ptid.Instant) (effects []Effect) {
	_, present := core.WorkerToList()
	switch {
	case present && worker.StartedAt.Before(core.worker.StartedAt):
		// The announcement was delayed, and a later incarnation of the worker is known.
		return nil
	case core.worker.WorkerIdentity != worker.WorkerIdentity:
		core.replaceWorker(worker.WorkerIdentity, now)
	case worker.Sequence <= core.worker.Sequence:
		return nil
	}
	core.worker, core.known, core.unannounced, core.restored = worker, true, false, false
	core.evacuation.noteColdness(&worker, now)
	core.updateClock(clock, now)
	if worker.Draining {
		core.refuseWaiting(ptrun.ReasonDraining, now)
	}
	core.startWaiting(now)
	return core.takeEffects()
}

// RestoreWorker sets the worker that an earlier agent process has recorded, so that it can be listed.
// Nothing starts before the worker is announced: its capacity may have been reduced while no agent
// process was there to record it.
func (core *Core) RestoreWorker(worker ptrun.Worker, now ptid.Instant) (effects []Effect) {
	worker.Sequence = 0
	effects = core.HandleAnnouncement(worker, 0, now)
	core.restored = true
	return effects
}

// Restored reports whether the worker is known from a record only.
func (core *Core) Restored() bool { return core.restored }

// replaceWorker makes a later incarnation the current worker. An incarnation with another ID
// executes no orders to the previous one, whose runs have therefore ended. Orders name the worker
// only by its ID, so a later incarnation with the same ID may execute orders to the previous one
// until it has seen a higher fence token.
func (core *Core) replaceWorker(next ptrun.WorkerIdentity, now ptid.Instant) {
	previous, lost := core.worker.WorkerIdentity, 0
	core.reportCrash(next, now)
	if next.ID == previous.ID {
		core.markCrashed()
	} else {
		lost = core.loseRunsOfPrevious(now)
	}
	core.highestEnd, core.leaseExpiresAt, core.clock, core.clockAt = 0, 0, 0, now
	core.identifiedAt, core.listedAt, core.listCalledAt, core.silentSince, core.reachable = now, now, now, now, true
	if next.ID == previous.ID {
		core.fence(now)
	} else {
		core.fencePending = false
	}
	if previous.ID != "" {
		core.emit(WorkerReplaced{Previous: previous, Lost: lost})
	}
	core.forgetWorker()
	clear(core.unacked)
}

// fence raises the fence token. A listing requested with the raised token then shows which of the
// unconfirmed runs the incarnation executes: it refuses all earlier orders from then on.
func (core *Core) fence(now ptid.Instant) {
	core.token++
	core.fencedAt, core.fencePending = now, true
	core.leaseExpiresAt = ptrun.WorkerTime(maxLease.Milliseconds())
	for _, run := range core.runs {
		if run.holdsCapacity() {
			run.fenced, run.stopAcked = !run.confirmed, false
		}
	}
}

// loseRunsOfPrevious declares the runs on the previous incarnation lost.
func (core *Core) loseRunsOfPrevious(now ptid.Instant) (lost int) {
	for _, run := range core.sortedRuns() {
		if run.holdsCapacity() {
			lost++
			core.finish(run, ptrun.End{Run: run.Run, Result: ptrun.Lost, Reason: core.crashReason(run)}, now)
		}
	}
	core.loseUnaccounted(ptrun.ReasonRestarted, now)
	return lost
}

// HandleWorkerGone records that another incarnation responded at the address of the worker. The
// runs end when the other incarnation is announced, or when the lease has expired.
func (core *Core) HandleWorkerGone(worker ptrun.WorkerIdentity, now ptid.Instant) (effects []Effect) {
	if current, ok := core.WorkerToList(); ok && current == worker {
		core.known, core.unannounced = false, false
		core.refuseWaiting(ptrun.ReasonWorkerAbsent, now)
	}
	return core.takeEffects()
}

// updateClock records a reading of the worker's clock, unless the reading is out of date. When the
// first reading is taken, a lease that an earlier agent process has granted may still run.
func (core *Core) updateClock(clock ptrun.WorkerTime, now ptid.Instant) {
	if core.clock == 0 && clock > 0 {
		core.leaseExpiresAt = max(core.leaseExpiresAt, clock+ptrun.WorkerTime(LeaseDuration.Milliseconds()))
	}
	if clock >= core.earliestClock(now) {
		core.countSuspension(clock, now)
		core.clock, core.clockAt = clock, now
	}
}

// countSuspension moves the deadlines that entries rely on by the time for which this process was
// suspended with its steady clock. The worker's clock, which is not fast, has then advanced by
// more than the clock of this process.
func (core *Core) countSuspension(clock ptrun.WorkerTime, now ptid.Instant) {
	suspended := time.Duration(clock-core.clock)*time.Millisecond - now.Sub(core.clockAt)
	if core.clock == 0 || suspended < minSuspension {
		return
	}
	for _, owner := range core.owners {
		owner.disconnectedAt, owner.aliveAt = owner.disconnectedAt.Add(-suspended), owner.aliveAt.Add(-suspended)
		owner.openedAt, owner.callersConfirmedAt = owner.openedAt.Add(-suspended), owner.callersConfirmedAt.Add(-suspended)
	}
	for _, run := range core.runs {
		run.stopDeadline = run.stopDeadline.Add(-suspended)
		if run.ownerLostAt != 0 {
			run.ownerLostAt = run.ownerLostAt.Add(-suspended)
		}
		if run.mustEndBy != ptid.Never {
			run.mustEndBy = run.mustEndBy.Add(-suspended)
		}
	}
	for _, run := range core.unaccounted {
		run.stopDeadline = run.stopDeadline.Add(-suspended)
	}
}

// earliestClock returns the earliest time that the worker's clock can show now.
func (core *Core) earliestClock(now ptid.Instant) ptrun.WorkerTime {
	elapsed := now.Sub(core.clockAt)
	elapsed -= elapsed / ClockDriftDivisor
	return core.clock + ptrun.WorkerTime(elapsed.Milliseconds())
}

// LeaseRenewal returns the parameters of the next call that renews the lease. It does not extend
// the lease of a worker that has not responded for [UnreachableTimeout]. The worker may still
// carry out a call to which it has not responded. If such calls extended the lease, the latest
// possible expiry would move on with each call, and the runs could never be declared lost.
// Nor does it extend the lease before the takeover is complete, while orders to an earlier
// incarnation may be executed, while a run ignores its stop orders, or beyond the instant at which
// a run must have ended: entries and callers rely on the end of a run that is to be stopped, or
// of which an owner is silent.
func (core *Core) LeaseRenewal(now ptid.Instant) (renewal ptrun.LeaseRenewal) {
	renewal.Acknowledged = core.ackableSequence()
	unreachable := now.Sub(core.listedAt) > UnreachableTimeout
	if core.clock > 0 && !unreachable && core.takeoverComplete && !core.fencePending && !core.mustLetLeaseExpire(now) && !core.isStopOverdue(now) {
		renewal.ExpiresAt = core.extendLease(now)
	}
	return renewal
}

// isStopOverdue reports whether a run that is to be stopped is active after its stop deadline.
func (core *Core) isStopOverdue(now ptid.Instant) bool {
	for _, run := range core.runs {
		if run.state == stopping && now > run.stopDeadline {
			return true
		}
	}
	for _, run := range core.unaccounted {
		if !run.ended && now > run.stopDeadline {
			return true
		}
	}
	return false
}

func (core *Core) extendLease(now ptid.Instant) ptrun.WorkerTime {
	expiresAt := core.limitLease(core.earliestClock(now) + ptrun.WorkerTime(LeaseDuration.Milliseconds()))
	core.leaseExpiresAt = max(core.leaseExpiresAt, expiresAt)
	return expiresAt
}

// leasesExpireBy returns the time by which every lease that may have been granted has expired.
func (core *Core) leasesExpireBy() ptid.Instant {
	remaining := time.Duration(max(0, core.leaseExpiresAt-core.clock)) * time.Millisecond
	return core.clockAt.Add(remaining + remaining/(ClockDriftDivisor-1) + time.Millisecond)
}

// Order processes an order of an entry.
func (core *Core) Order(order Order, now ptid.Instant) (effects []Effect) {
	core.OwnerConfirmed(order.Owner, order.sentAt(now))
	core.CallersConfirmed(order.Owner, order.confirmedAt(now))
	if existing := core.runs[order.Run]; existing != nil {
		return core.join(existing, order.Owner)
	}
	if core.askForEnd(order.Run, order.Owner) {
		return nil
	}
	if known := core.ends[order.Run]; known != nil {
		return []Effect{SendEnd{Owner: order.Owner, End: known.end}}
	}
	if order.isDurable() && order.Epoch < core.epochs[order.Partition] {
		return []Effect{SendEnd{Owner: order.Owner, End: ptrun.End{Run: order.Run, Result: ptrun.NeverStarted, Reason: ptrun.ReasonOtherOwner}}}
	}
	ordered := &run{Order: order, receivedAt: now, percent: fullPercent, orderedPercent: fullPercent, isolated: order.Isolation > 0}
	core.runs[order.Run] = ordered
	if core.reported.NeedsProbes() {
		core.probeTurns.Probed()
	}
	offered := core.consumeOffer(&order)
	if reason := core.refusalOf(ordered, now); reason != ptrun.ReasonNone {
		core.finishUnstarted(ordered, reason, now)
		return core.takeEffects()
	}
	if offered && core.mayStart(now) && core.canStart(ordered) {
		// The run starts before the waiting runs, because the capacity was reserved for it.
		core.start(ordered, now)
	}
	core.startWaiting(now)
	return core.takeEffects()
}

func (core *Core) finishUnstarted(run *run, reason ptrun.Reason, now ptid.Instant) {
	core.finish(run, ptrun.End{Run: run.Run, Result: ptrun.NeverStarted, Reason: reason}, now)
}

func (core *Core) refuseWaiting(reason ptrun.Reason, now ptid.Instant) {
	for _, run := range core.sortedRuns() {
		if run.state == waiting {
			core.finishUnstarted(run, reason, now)
		}
	}
}

// sortedRuns returns the runs sorted by queue key, in a deterministic order.
func (core *Core) sortedRuns() (runs []*run) {
	runs = slices.Collect(maps.Values(core.runs))
	slices.SortFunc(runs, func(left, right *run) int {
		if left.QueueKey != right.QueueKey {
			return int(min(1, max(-1, left.QueueKey-right.QueueKey)))
		}
		return ptrun.Compare(left.Run, right.Run)
	})
	return runs
}

// startWaiting starts the waiting runs that fit, in the order of their queue keys.
func (core *Core) startWaiting(now ptid.Instant) {
	core.expireOffers(now)
	if !core.mayStart(now) {
		return
	}
	for _, run := range core.sortedRuns() {
		if core.canStart(run) {
			core.start(run, now)
		}
	}
	core.offer(now)
}

// mayStart reports whether runs may start on the worker. A start extends the lease of all runs
// there, so none is sent while the lease must expire. While the fence is pending, runs of unknown
// demand may start.
func (core *Core) mayStart(now ptid.Instant) bool {
	core.leaseMustExpire = core.isStopOverdue(now) || core.mustLetLeaseExpire(now) || now.Add(maxStartTime) > core.leaseLimit()
	return core.isUsable() && !core.worker.Draining && !core.evacuation.active && core.clock > 0 && !core.fencePending && core.UnaccountedRuns() == 0 && !core.leaseMustExpire
}

// isUsable reports whether the worker responds and has announced its capacity.
func (core *Core) isUsable() bool { return core.known && core.reachable && !core.restored }

// canStart reports whether there is capacity for a waiting run.
func (core *Core) canStart(run *run) bool {
	if run.state != waiting || core.taskActive(run) || run.isolated && core.holdingRuns() > 0 || !run.isolated && core.isIsolating() {
		return false
	}
	return core.worker.Capacity.Minus(core.held).Minus(core.offeredToOthers(run.Owner.Entry)).Covers(run.Demand)
}

// taskActive reports whether another run of the same task may be on the worker.
func (core *Core) taskActive(candidate *run) bool {
	for id, run := range core.runs {
		if id.Task == candidate.Run.Task && run != candidate && run.holdsCapacity() {
			return true
		}
	}
	return false
}

func (core *Core) start(run *run, now ptid.Instant) {
	if now >= run.StartBy || core.mayOutliveOwner(run, now) {
		core.finishUnstarted(run, ptrun.ReasonStartDeadline, now)
		return
	}
	run.state, run.startedAt, run.isolatedUntil = starting, now, now.Add(run.Isolation)
	run.workerStartBy = core.earliestClock(now) + ptrun.WorkerTime(StartOrderTTL.Milliseconds())
	core.leaseExpiresAt = max(core.leaseExpiresAt, run.workerStartBy)
	core.estimator.Started(run.Run, core.expectedHere(run), run.Checkpoint != "", now)
	core.held = core.held.Plus(run.Demand)
	ptassert.That(core.worker.Capacity.Covers(core.held), "runs hold no more than the worker's capacity", "held", core.held)
	core.emit(StartRun{
		Worker: core.worker.WorkerIdentity, Token: core.token,
		Start: ptrun.Start{Run: run.Run, Spec: run.Spec, StartBy: run.workerStartBy, Checkpoint: run.Checkpoint, Ticket: run.Ticket},
	})
}

// Stop processes an entry's request to stop a run.
func (core *Core) Stop(id ptrun.ID, reason ptrun.Reason, now ptid.Instant) (effects []Effect) {
	if run := core.runs[id]; run != nil {
		core.stop(run, reason, now)
	}
	core.startWaiting(now)
	return core.takeEffects()
}

func (core *Core) stop(run *run, reason ptrun.Reason, now ptid.Instant) {
	if run.stopRequested {
		return
	}
	if run.verdictBy != 0 {
		core.finish(run, ptrun.End{Run: run.Run, Result: ptrun.Lost, Reason: ptrun.ReasonLeaseExpired}, now)
		return
	}
	run.stopRequested, run.stopReason = true, reason
	core.limitStopped(run, now)
	switch run.state {
	case waiting:
		core.finishUnstarted(run, reason, now)
	case starting:
		// The stop order is sent after the response to the start order; a stop order that
		// overtakes the start order would have no effect.
	case unanswered, running, stopping:
		core.orderStop(run, now)
	}
}

func (core *Core) orderStop(run *run, now ptid.Instant) {
	if run.state != stopping {
		run.state, run.stopDeadline = stopping, now.Add(StopTimeout)
	}
	run.stopRetryAt = now.Add(StopRetryInterval)
	core.emit(StopRun{
		Worker: core.worker.WorkerIdentity, Token: core.token, Run: run.Run, Reason: run.stopReason,
		SentAt: run.SentAt, ReceivedAt: run.receivedAt, StartedAt: run.startedAt,
	})
}

// join makes the end of a run known to a further owner that has ordered the run. A refusal would
// allow the owner to start the task elsewhere beside the run.
func (core *Core) join(run *run, owner Owner) (effects []Effect) {
	if run.Owner == owner || slices.Contains(run.joined, owner) {
		return nil
	}
	run.joined = append(run.joined, owner)
	return []Effect{OrderJoined{Run: run.Run, Owner: owner, First: run.Owner}}
}

// isConnected reports whether an incarnation of an entry has a session.
func (core *Core) isConnected(owner Owner) bool {
	state := core.owners[owner.Entry]
	return state != nil && state.connected && state.incarnation == owner.Incarnation
}

// finish removes a run, releases its capacity and sends its end to its owners.
func (core *Core) finish(run *run, end ptrun.End, now ptid.Instant) {
	if run.holdsCapacity() {
		core.held = core.held.Minus(run.Demand)
		end.RunTime = now.Sub(run.startedAt)
		if end.Result == ptrun.Lost {
			end.RunTime, end.Worker = core.activeTime(run), core.worker.ID
		}
	}
	core.recordOutcome(end, now)
	if end.Checkpoint == "" {
		end.Checkpoint = run.Checkpoint
	}
	core.noticeCrash(end, now.Add(rebroadcastInterval), now)
	delete(core.runs, run.Run)
	core.ends[run.Run] = &endRecord{owner: run.Owner, end: end, at: now, expiresAt: ptid.Never}
	if core.isConnected(run.Owner) {
		core.ends[run.Run].expiresAt = now.Add(EndRetention)
		core.emit(SendEnd{Owner: run.Owner, End: end})
	}
	for _, owner := range run.joined {
		if core.isConnected(owner) {
			core.emit(SendEnd{Owner: owner, End: end})
		}
	}
}

// DemandOf returns the demand of a run, or the zero value if the run is not known.
func (core *Core) DemandOf(id ptrun.ID) (demand ptrun.Demand) {
	if run := core.runs[id]; run != nil {
		return run.Demand
	}
	return demand
}
