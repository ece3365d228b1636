// Package ptagent is the process beside one upstream. It announces the upstream,
// owns its slots, and is the only place where a task starts.
//
// # How it works
//
//  1. The agent dials every entry that it knows and keeps one session to each.
//  2. A dispatched task is offered to the start table (package ptstart). Accepted
//     ones wait in a queue that is ordered by order key across all entries.
//  3. A free slot takes the first task whose start the table allows. The upstream's
//     connection is opened before the start is recorded, so a task whose upstream
//     can't be reached is refused as not run.
//  4. An answer is kept until the entry has acknowledged it or the job's deadline
//     has passed, and is sent again over a new session when the entry asks.
//  5. A task whose startBy passes while it waits is refused at once.
//  6. A session that turns silent is replaced by a new one with a higher number;
//     messages of the old one are dropped.
//  7. A draining agent refuses new tasks and finishes those that it has.
//
// Files: ptagent.go holds the tasks, dial.go the sessions, serve.go the HTTP
// admin interface.
//
// # Usage
//
//	agent, err := ptagent.New(setting, dependencies)
//	err = agent.Run(ctx) // returns after a drain
package ptagent

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlease"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptquota"
	"github.com/primrosetiller/primrosetiller/ptreason"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/ptstart"
	"github.com/primrosetiller/primrosetiller/pttrace"
	"github.com/primrosetiller/primrosetiller/ptupstream"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// Setting is what an operator chooses for an agent.
type Setting struct {
	Name        ptid.AgentName
	Zone        ptid.Zone
	Region      ptid.Region
	Service     ptid.ServiceName
	Upstream    string
	Entries     []string
	AdminListen string
	LogURL      string
	MaxAnswer   int
	Lease       ptlease.Setting
}

// Dependencies are the adapters of an agent.
type Dependencies struct {
	Log     logr.Logger
	Metrics *ptmetric.Set
	Tracer  *pttrace.Tracer
	Clock   *ptid.Clock
	// Discover returns further addresses of entries, or nil.
	Discover func() []string
}

// task is a dispatched task from its acceptance to its end.
type task struct {
	id       ptid.TaskID
	dispatch *ptwire.Dispatch
	entry    ptid.EntryName
	accepted ptid.Instant
	call     *ptupstream.Call
	gone     bool
}

// keptAnswer is an answer that no entry has acknowledged yet.
type keptAnswer struct {
	answer   *ptwire.Answer
	finishBy ptid.Instant
}

// Agent is one agent. It is safe for concurrent use.
type Agent struct {
	setting     Setting
	deps        Dependencies
	incarnation ptid.Incarnation
	table       *ptstart.Table
	upstream    *ptupstream.Client
	draining    atomic.Bool
	stopping    atomic.Bool
	config      configurationCache

	mu       sync.Mutex
	lease    *ptlease.Allocator
	backlog  backlog
	waiting  map[ptid.TaskID]*task
	running  map[ptid.TaskID]*task
	kept     map[ptid.TaskID]keptAnswer
	peers    map[ptid.EntryName]*peer
	teams    map[ptid.TeamName]int
	busy     int
	stateRev uint64
	sessions uint64
	keeper   *ptquota.Keeper

	addresses addressBook
	starts    *metrics.Counter
	runTime   *metrics.Histogram
	late      *metrics.Counter
}

// New returns an agent that has not connected yet.
func New(setting Setting, deps Dependencies) (agent *Agent, err error) {
	defer func() { err = errors.Wrapf(err, "agent %s", setting.Name) }()
	upstream, err := ptupstream.New(setting.Upstream, setting.MaxAnswer)
	if err != nil {
		return nil, err
	}
	agent = &Agent{
		setting: setting, deps: deps, incarnation: ptid.NewIncarnation(time.Now()),
		table: ptstart.New(), upstream: upstream, lease: ptlease.New(setting.Lease),
		waiting: make(map[ptid.TaskID]*task), running: make(map[ptid.TaskID]*task),
		kept: make(map[ptid.TaskID]keptAnswer), peers: make(map[ptid.EntryName]*peer),
		teams:   make(map[ptid.TeamName]int),
		keeper:  ptquota.NewKeeper(),
		starts:  deps.Metrics.Counter(ptmetric.Starts),
		runTime: deps.Metrics.Histogram(ptmetric.RunSeconds),
		late:    deps.Metrics.Counter(ptmetric.LateFrames),
	}
	agent.addresses.learn(setting.Entries...)
	agent.registerGauges()
	return agent, nil
}

func (agent *Agent) registerGauges() {
	gauge := func(name ptmetric.Name, read func() int) {
		agent.deps.Metrics.Gauge(name, func() float64 {
			agent.mu.Lock()
			defer agent.mu.Unlock()
			return float64(read())
		})
	}
	gauge(ptmetric.BusySlots, func() int { return agent.busy })
	gauge(ptmetric.BacklogTasks, func() int { return len(agent.waiting) })
	gauge(ptmetric.KeptAnswers, func() int { return len(agent.kept) })
	gauge(ptmetric.Sessions, func() int { return len(agent.peers) })
	gauge(ptmetric.Slots, func() int { return agent.setting.Lease.Slots })
	agent.deps.Metrics.Gauge(ptmetric.Revision, func() float64 { return float64(agent.config.revision()) })
}

func taskID(job string, index uint32) ptid.TaskID {
	return ptid.TaskID{Job: ptid.JobID(job), Index: ptid.TaskIndex(index)}
}

// accept handles the dispatches of a frame. The caller holds the lock.
func (agent *Agent) accept(peer *peer, dispatch *ptwire.Dispatch) {
	id := taskID(dispatch.Job, dispatch.Index)
	attempt := ptid.Attempt(dispatch.Attempt)
	now := agent.deps.Clock.Now()
	state, accepted := agent.table.Offer(id, attempt, ptid.Instant(dispatch.StartByNanos), ptid.Instant(dispatch.FinishByNanos), now)
	if !accepted {
		if state == ptstart.Refused || state == ptstart.Sealed {
			peer.refuse(id, attempt, ptreason.StartDeadline, state == ptstart.Sealed)
		}
		return
	}
	if agent.draining.Load() {
		agent.table.Refuse(id, attempt)
		peer.refuse(id, attempt, ptreason.Draining, false)
		return
	}
	fresh := &task{id: id, dispatch: dispatch, entry: peer.name, accepted: now}
	agent.waiting[id] = fresh
	heap.Push(&agent.backlog, fresh)
	agent.lease.Received(peer.name)
}

// startWaiting fills the free slots from the queue. The caller holds the lock.
func (agent *Agent) startWaiting() {
	for agent.busy < agent.setting.Lease.Slots {
		next := agent.popWaiting()
		if next == nil {
			return
		}
		agent.busy++
		agent.running[next.id] = next
		agent.teams[ptid.TeamName(next.dispatch.Team)]++
		next.call = agent.prepare(next)
		go agent.run(next)
	}
	ptassert.That(agent.busy <= agent.setting.Lease.Slots, "no more tasks run than there are slots", "busy", agent.busy)
}

func (agent *Agent) popWaiting() (next *task) {
	for agent.backlog.Len() > 0 {
		next, _ = heap.Pop(&agent.backlog).(*task)
		if !next.gone {
			delete(agent.waiting, next.id)
			return next
		}
	}
	return nil
}

func (agent *Agent) prepare(next *task) *ptupstream.Call {
	dispatch := next.dispatch
	untilDeadline := ptid.Instant(dispatch.FinishByNanos).Sub(agent.deps.Clock.Now())
	return agent.upstream.Prepare(ptupstream.Task{
		ID: next.id, Profile: ptid.ProfileName(dispatch.Profile), Payload: dispatch.Payload,
		ContentType: dispatch.ContentType, Traceparent: dispatch.Traceparent,
		Deadline: time.Now().Add(untilDeadline),
	})
}

// run executes one task in its slot.
func (agent *Agent) run(next *task) {
	attempt := ptid.Attempt(next.dispatch.Attempt)
	if err := next.call.Connect(); err != nil {
		agent.table.Refuse(next.id, attempt)
		agent.release(next, nil, reasonOf(err))
		return
	}
	started := agent.deps.Clock.Now()
	if !agent.table.Start(next.id, attempt, started) {
		next.call.Abandon()
		agent.release(next, nil, ptreason.StartDeadline)
		return
	}
	agent.starts.Inc()
	span := agent.deps.Tracer.Upstream(next.dispatch.Traceparent, string(next.id.Job), uint32(next.id.Index))
	runBy := min(started.Add(time.Duration(next.dispatch.RunForNanos)), ptid.Instant(next.dispatch.FinishByNanos))
	answer, err := next.call.Do(time.Now().Add(runBy.Sub(started)))
	ended := agent.deps.Clock.Now()
	span.End(err)
	agent.table.End(next.id)
	agent.runTime.Update(ended.Sub(started).Seconds())
	agent.release(next, agent.answer(next, answer, err, started, ended), "")
}

func (agent *Agent) answer(next *task, answer ptupstream.Answer, err error, started, ended ptid.Instant) *ptwire.Answer {
	message := &ptwire.Answer{
		Job: next.dispatch.Job, Index: next.dispatch.Index, Attempt: next.dispatch.Attempt,
		RunNanos: int64(ended.Sub(started)), WaitNanos: int64(started.Sub(next.accepted)),
	}
	if err != nil {
		message.Reason = string(reasonOf(err))
	} else {
		message.ContentType, message.Body = answer.ContentType, answer.Body
	}
	message.Checksum = xxhash.Sum64(message.Body)
	return message
}

func reasonOf(err error) ptreason.Reason {
	var failure *ptupstream.Failure
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return ptreason.UpstreamClosed
}

// release frees the slot of a task, sends its answer or refusal, and starts the
// next one. answer is nil where the task has not started.
func (agent *Agent) release(ended *task, answer *ptwire.Answer, refusal ptreason.Reason) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.busy--
	delete(agent.running, ended.id)
	agent.teams[ptid.TeamName(ended.dispatch.Team)]--
	agent.lease.Ended(ended.entry)
	peer := agent.peers[ended.entry]
	owned := peer != nil && peer.owns(ended.id.Job)
	if answer == nil {
		if owned {
			peer.refuse(ended.id, ptid.Attempt(ended.dispatch.Attempt), refusal, false)
		}
	} else {
		agent.kept[ended.id] = keptAnswer{answer: answer, finishBy: ptid.Instant(ended.dispatch.FinishByNanos)}
		if owned {
			peer.session.PostAnswer(answer)
		}
	}
	agent.startWaiting()
	agent.sendMoves()
}

// sendMoves sends the grants and recalls that are due. The caller holds the lock.
func (agent *Agent) sendMoves() {
	for _, move := range agent.lease.Moves(agent.deps.Clock.Now()) {
		switch move := move.(type) {
		case ptlease.Grant:
			agent.postMark(move.Entry, func(frame *ptwire.Frame) { frame.Grant = true })
		case ptlease.Recall:
			agent.postMark(move.Entry, func(frame *ptwire.Frame) { frame.Recall = true })
		}
	}
}

func (agent *Agent) postMark(entry ptid.EntryName, mark func(frame *ptwire.Frame)) {
	if peer := agent.peers[entry]; peer != nil {
		peer.session.Post(mark)
	}
}

// withdraw takes a waiting attempt out of the queue as refused. The caller holds
// the lock.
func (agent *Agent) withdraw(waiting *task) (withdrawn bool) {
	if !agent.table.Refuse(waiting.id, ptid.Attempt(waiting.dispatch.Attempt)) {
		return false
	}
	agent.forget(waiting)
	return true
}

func (agent *Agent) forget(waiting *task) {
	waiting.gone = true
	delete(agent.waiting, waiting.id)
	agent.lease.Ended(waiting.entry)
}

// cancel handles the cancellation of one task. The caller holds the lock.
func (agent *Agent) cancel(peer *peer, ref *ptwire.TaskRef) {
	id := taskID(ref.Job, ref.Index)
	if waiting := agent.waiting[id]; waiting != nil {
		if agent.withdraw(waiting) {
			peer.refuse(id, ptid.Attempt(ref.Attempt), ptreason.Cancelled, false)
		}
		return
	}
	if running := agent.running[id]; running != nil && ref.RunningToo {
		running.call.Cancel()
	}
}

// resolve tells an entry over a new session what became of a task that it holds
// as sent. The caller holds the lock.
func (agent *Agent) resolve(peer *peer, ask *ptwire.Resolve) {
	id := taskID(ask.Job, ask.Index)
	attempt := ptid.Attempt(ask.Attempt)
	if running := agent.running[id]; running != nil && agent.table.State(id) == ptstart.Waiting {
		// The task holds a slot and is about to start; its end is reported as usual.
		return
	}
	waiting := agent.waiting[id]
	state := agent.table.Seal(id, attempt, ptid.Instant(ask.StartByNanos))
	switch state {
	case ptstart.Running:
	case ptstart.Ended:
		if kept, found := agent.kept[id]; found {
			again := kept.answer.CloneVT()
			again.Again = true
			peer.session.PostAnswer(again)
		}
	case ptstart.Sealed, ptstart.Refused:
		if waiting != nil {
			agent.forget(waiting)
		}
		peer.refuse(id, attempt, ptreason.Sealed, true)
	case ptstart.Unseen, ptstart.Waiting:
		ptassert.That(false, "sealing leaves a task sealed, refused or started", "state", state)
	}
}

// dropIncarnation drops the waiting tasks of an entry's incarnation that has
// ended. The caller holds the lock.
func (agent *Agent) dropIncarnation(entry ptid.EntryName, living ptid.Incarnation) {
	for _, waiting := range agent.waiting {
		name, incarnation, ok := waiting.id.Job.Owner()
		if ok && name == entry && incarnation != living && agent.withdraw(waiting) {
			agent.table.Acknowledge(waiting.id)
		}
	}
	for id := range agent.kept {
		name, incarnation, ok := id.Job.Owner()
		if ok && name == entry && incarnation != living {
			delete(agent.kept, id)
			agent.table.Acknowledge(id)
		}
	}
}

// expire refuses waiting tasks that are too late, and forgets what nobody can
// ask about any more.
func (agent *Agent) expire() {
	now := agent.deps.Clock.Now()
	agent.mu.Lock()
	for _, waiting := range agent.waiting {
		if now >= ptid.Instant(waiting.dispatch.StartByNanos) && agent.withdraw(waiting) {
			if peer := agent.peers[waiting.entry]; peer != nil && peer.owns(waiting.id.Job) {
				peer.refuse(waiting.id, ptid.Attempt(waiting.dispatch.Attempt), ptreason.StartDeadline, false)
			}
		}
	}
	for id, kept := range agent.kept {
		if now >= kept.finishBy {
			delete(agent.kept, id)
		}
	}
	agent.startWaiting()
	agent.sendMoves()
	agent.sendShares(agent.keeper.Tick(now))
	agent.mu.Unlock()
}

// Stamp implements [ptsession.Handler].
func (agent *Agent) Stamp(session *ptsession.Session, frame *ptwire.Frame) {
	now := agent.deps.Clock.Now()
	frame.AgentClockNanos = int64(now)
	frame.Revision = agent.config.revision()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	peer := agent.peerOf(session)
	if peer == nil {
		return
	}
	own, all := agent.lease.Outstanding(peer.name)
	frame.Outstanding, frame.Busy = uint32(own), uint32(all)
	if !agent.draining.Load() {
		frame.Window = uint32(agent.lease.Window(peer.name, now))
	}
	frame.Leaving = agent.draining.Load()
	if frame.Heartbeat || frame.Sequence%teamReportEvery == 1 {
		frame.Running = agent.teamsRunning()
	}
}

// teamReportEvery is how many frames lie between two reports of the teams' tasks.
const teamReportEvery = 16

func (agent *Agent) teamsRunning() (running []*ptwire.TeamRunning) {
	for team, count := range agent.teams {
		if count == 0 {
			delete(agent.teams, team)
			continue
		}
		running = append(running, &ptwire.TeamRunning{Team: string(team), Running: uint32(count)})
	}
	return running
}

// Delivered implements [ptsession.Handler].
func (agent *Agent) Delivered(_ *ptsession.Session, tasks []ptid.TaskID) {
	agent.mu.Lock()
	for _, id := range tasks {
		delete(agent.kept, id)
	}
	agent.mu.Unlock()
	for _, id := range tasks {
		agent.table.Acknowledge(id)
	}
}

// Receive implements [ptsession.Handler].
func (agent *Agent) Receive(session *ptsession.Session, frame *ptwire.Frame) {
	agent.receiveConfiguration(session, frame)
	agent.addresses.learnEntries(frame.Entries)
	agent.mu.Lock()
	defer agent.mu.Unlock()
	peer := agent.peerOf(session)
	if peer == nil {
		agent.late.Inc()
		return
	}
	if frame.HeartbeatIntervalNanos > 0 {
		session.SetInterval(time.Duration(frame.HeartbeatIntervalNanos))
	}
	agent.lease.Demand(peer.name, int(frame.Queued), ptid.Instant(frame.FirstOrderNanos), agent.deps.Clock.Now())
	for _, claim := range frame.QuotaClaims {
		agent.claimQuota(peer, claim)
	}
	for _, ask := range frame.Resolves {
		agent.resolve(peer, ask)
	}
	for _, dispatch := range frame.Dispatches {
		agent.accept(peer, dispatch)
	}
	for _, ref := range frame.Cancels {
		agent.cancel(peer, ref)
	}
	agent.startWaiting()
	agent.sendMoves()
}

// claimQuota handles the claim of an entry as the keeper of an account. The caller
// holds the lock.
func (agent *Agent) claimQuota(peer *peer, claim *ptwire.QuotaClaim) {
	agent.sendShares(agent.keeper.Claim(peer.name, ptquota.Claim{
		Account: ptquota.Account(claim.Account), Limit: int(claim.Limit), Want: int(claim.Want), Holding: int(claim.Holding),
		Moved: claim.Moved,
	}, agent.deps.Clock.Now()))
}

// sendShares tells entries their shares of quotas. The caller holds the lock.
func (agent *Agent) sendShares(shares []ptquota.Share) {
	for _, share := range shares {
		message := &ptwire.QuotaShare{Account: string(share.Account), Count: uint32(share.Count)}
		agent.postMark(share.Entry, func(frame *ptwire.Frame) { frame.QuotaShares = append(frame.QuotaShares, message) })
	}
}

// idle reports whether nothing waits, runs or awaits its acknowledgement.
func (agent *Agent) idle() bool {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return len(agent.waiting) == 0 && len(agent.running) == 0 && len(agent.kept) == 0
}
