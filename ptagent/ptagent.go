// Package ptagent implements the agent process, which runs beside one upstream. The agent
// announces the upstream to the entries, owns its slots, and is the only process that starts
// tasks on it.
//
// # How it works
//
//  1. The agent dials every known entry and keeps one session open to each.
//  2. Package ptslots decides about tasks; this package executes the effects that it returns.
//  3. The connection to the upstream is opened before the start of a task is recorded, so a
//     task whose upstream can't be reached is refused as not run.
//  4. If the agent or the entry closes a session because the other side is unresponsive, the
//     agent opens a new session with a higher number. Messages of the old session are dropped.
//
// Files: ptagent.go runs the tasks, pool.go reuses goroutines, dial.go and addresses.go open the
// sessions, serve.go starts and stops the agent and serves the admin interface.
//
// # Usage
//
//	agent, err := ptagent.New(setting, dependencies)
//	err = agent.Run(ctx) // returns after a drain
package ptagent

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlease"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptquota"
	"github.com/primrosetiller/primrosetiller/ptreason"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/ptslots"
	"github.com/primrosetiller/primrosetiller/pttrace"
	"github.com/primrosetiller/primrosetiller/ptupstream"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// Setting holds the settings of an agent.
type Setting struct {
	Name           ptid.AgentName
	Zone           ptid.Zone
	Region         ptid.Region
	Service        ptid.ServiceName
	Upstream       string
	Entries        []string
	AdminListen    string
	MaxAnswerBytes int
	Lease          ptlease.Setting
}

// Dependencies are the external interfaces of an agent.
type Dependencies struct {
	Log     logr.Logger
	Metrics *ptmetric.Set
	Tracer  *pttrace.Tracer
	Clock   *ptid.Clock
	// Discover returns further addresses of entries; nil disables discovery.
	Discover func() []string
}

// Agent is the agent process. It is safe for concurrent use.
type Agent struct {
	setting     Setting
	deps        Dependencies
	incarnation ptid.Incarnation
	upstream    *ptupstream.Client
	stopping    atomic.Bool
	config      configurationCache

	mu               sync.Mutex
	core             *ptslots.Core
	calls            map[ptid.TaskID]*ptupstream.Call
	peers            map[ptid.EntryName]*peer
	stateRevision    uint64
	lastSession      uint64
	quotaCoordinator *ptquota.Coordinator
	goroutines       goroutinePool

	addresses  addressSet
	starts     *metrics.Counter
	runTime    *metrics.Histogram
	lateFrames *metrics.Counter
}

// New returns an agent. It does not connect until Run is called.
func New(setting Setting, deps Dependencies) (agent *Agent, err error) {
	defer func() { err = errors.Wrapf(err, "agent %s", setting.Name) }()
	upstream, err := ptupstream.New(setting.Upstream, setting.MaxAnswerBytes)
	if err != nil {
		return nil, err
	}
	agent = &Agent{
		setting: setting, deps: deps, incarnation: ptid.NewIncarnation(time.Now()),
		upstream: upstream, core: ptslots.New(setting.Lease),
		calls: make(map[ptid.TaskID]*ptupstream.Call), peers: make(map[ptid.EntryName]*peer),
		quotaCoordinator: ptquota.NewCoordinator(),
		goroutines:       goroutinePool{tasks: make(chan func())},
		starts:           deps.Metrics.Counter(ptmetric.Starts),
		runTime:          deps.Metrics.Histogram(ptmetric.RunSeconds),
		lateFrames:       deps.Metrics.Counter(ptmetric.LateFrames),
	}
	agent.addresses.add(setting.Entries...)
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
	gauge(ptmetric.BusySlots, func() int { _, running, _ := agent.core.Counts(); return running })
	gauge(ptmetric.BacklogTasks, func() int { waiting, _, _ := agent.core.Counts(); return waiting })
	gauge(ptmetric.KeptAnswers, func() int { _, _, kept := agent.core.Counts(); return kept })
	gauge(ptmetric.Sessions, func() int { return len(agent.peers) })
	gauge(ptmetric.Slots, func() int { return agent.setting.Lease.Slots })
	agent.deps.Metrics.Gauge(ptmetric.Revision, func() float64 { return float64(agent.config.revision()) })
}

// execute carries out effects of the core. The caller holds the lock.
func (agent *Agent) execute(effects []ptslots.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptslots.Run:
			agent.start(effect.Task)
		case ptslots.CancelRun:
			if call := agent.calls[effect.ID]; call != nil {
				call.Cancel()
			}
		case ptslots.Refuse:
			refusal := &ptwire.Refusal{
				Job: string(effect.ID.Job), Index: uint32(effect.ID.Index), Attempt: uint32(effect.Attempt),
				Reason: string(effect.Reason), Sealed: effect.Sealed,
			}
			agent.post(effect.Entry, func(frame *ptwire.Frame) { frame.Refusals = append(frame.Refusals, refusal) })
		case ptslots.SendAnswer:
			if peer := agent.peers[effect.Entry]; peer != nil {
				peer.session.PostAnswer(effect.Answer)
			}
		case ptslots.Grant:
			agent.post(effect.Entry, func(frame *ptwire.Frame) { frame.Grant = true })
		case ptslots.Recall:
			agent.post(effect.Entry, func(frame *ptwire.Frame) { frame.Recall = true })
		}
	}
}

func (agent *Agent) post(entry ptid.EntryName, add func(frame *ptwire.Frame)) {
	if peer := agent.peers[entry]; peer != nil {
		peer.session.Post(add)
	}
}

// start runs a task on a goroutine of the pool. The caller holds the lock.
func (agent *Agent) start(task *ptslots.Task) {
	dispatch := task.Dispatch
	span := agent.deps.Tracer.Start(dispatch.Traceparent, pttrace.SpanAgent, dispatch.Job, dispatch.Index)
	traceparent := dispatch.Traceparent
	if span != nil {
		traceparent = span.Traceparent()
	}
	untilDeadline := ptid.Instant(dispatch.FinishByNanos).Sub(agent.deps.Clock.Now())
	call := agent.upstream.Prepare(ptupstream.Task{
		ID: task.ID, Profile: ptid.ProfileName(dispatch.Profile), Payload: dispatch.Payload,
		ContentType: dispatch.ContentType, Traceparent: traceparent, Deadline: time.Now().Add(untilDeadline),
	})
	agent.calls[task.ID] = call
	agent.goroutines.run(func() {
		answer, refusal := agent.run(task, call, traceparent)
		span.End(nil)
		agent.release(task, answer, refusal)
	})
}

// run executes a task in its slot. If the task has not started, answer is nil and refusal is
// the reason.
func (agent *Agent) run(task *ptslots.Task, call *ptupstream.Call, traceparent string) (answer *ptwire.Answer, refusal ptreason.Reason) {
	if err := call.Connect(); err != nil {
		return nil, reasonOf(err)
	}
	started := agent.deps.Clock.Now()
	if !agent.core.Start(task, started) {
		call.Abandon()
		return nil, ptreason.StartDeadline
	}
	agent.starts.Inc()
	span := agent.deps.Tracer.Start(traceparent, pttrace.SpanUpstream, string(task.ID.Job), uint32(task.ID.Index))
	deadline := min(started.Add(time.Duration(task.Dispatch.RunForNanos)), ptid.Instant(task.Dispatch.FinishByNanos))
	response, err := call.Do(time.Now().Add(deadline.Sub(started)))
	ended := agent.deps.Clock.Now()
	span.End(err)
	agent.core.TaskEnded(task)
	agent.runTime.Update(ended.Sub(started).Seconds())
	answer = &ptwire.Answer{
		Job: task.Dispatch.Job, Index: task.Dispatch.Index, Attempt: task.Dispatch.Attempt,
		RunNanos: int64(ended.Sub(started)), WaitNanos: int64(started.Sub(task.AcceptedAt)),
	}
	if err != nil {
		answer.Reason = string(reasonOf(err))
	} else {
		answer.ContentType, answer.Body = response.ContentType, response.Body
	}
	answer.Checksum = xxhash.Sum64(answer.Body)
	return answer, ""
}

func reasonOf(err error) ptreason.Reason {
	var failure *ptupstream.Failure
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return ptreason.UpstreamClosed
}

// release frees the slot of a task and starts the next task.
func (agent *Agent) release(task *ptslots.Task, answer *ptwire.Answer, refusal ptreason.Reason) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	delete(agent.calls, task.ID)
	agent.execute(agent.core.ReleaseSlot(task, answer, refusal, agent.deps.Clock.Now()))
}

// expire handles the timeouts of the core and of the quota coordinator.
func (agent *Agent) expire() {
	now := agent.deps.Clock.Now()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.execute(agent.core.Expire(now))
	agent.sendShares(agent.quotaCoordinator.Tick(now))
}

// PrepareFrame implements [ptsession.Handler].
func (agent *Agent) PrepareFrame(session *ptsession.Session, frame *ptwire.Frame) {
	now := agent.deps.Clock.Now()
	frame.AgentClockNanos = int64(now)
	frame.Revision = agent.config.revision()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	peer := agent.peerOf(session)
	if peer == nil {
		return
	}
	agent.fillSlotCounts(peer.name, frame, now)
}

// fillSlotCounts sets the fields of a frame that report the slots. The caller holds the lock.
func (agent *Agent) fillSlotCounts(entry ptid.EntryName, frame *ptwire.Frame, now ptid.Instant) {
	slots := agent.core.SlotStatus(entry, now)
	frame.Window, frame.Outstanding, frame.Busy = uint32(slots.Window), uint32(slots.Outstanding), uint32(slots.TotalOutstanding)
	frame.Leaving = slots.Draining
}

// Delivered implements [ptsession.Handler].
func (agent *Agent) Delivered(_ *ptsession.Session, attempts []ptid.AttemptID) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	for _, id := range attempts {
		agent.core.Acknowledge(id)
	}
}

// Receive implements [ptsession.Handler].
func (agent *Agent) Receive(session *ptsession.Session, frame *ptwire.Frame) {
	agent.exchangeConfiguration(session, frame)
	agent.addresses.addEntries(frame.Entries)
	agent.mu.Lock()
	defer agent.mu.Unlock()
	peer := agent.peerOf(session)
	if peer == nil {
		agent.lateFrames.Inc()
		return
	}
	if frame.HeartbeatIntervalNanos > 0 {
		session.SetHeartbeatInterval(time.Duration(frame.HeartbeatIntervalNanos))
	}
	now := agent.deps.Clock.Now()
	agent.core.UpdateDemand(peer.name, int(frame.Queued), ptid.Instant(frame.FirstOrderNanos), now)
	for _, claim := range frame.QuotaClaims {
		agent.claimQuota(peer, claim)
	}
	for _, resolve := range frame.Resolves {
		agent.execute(agent.core.Resolve(peer.name, resolve))
	}
	for _, dispatch := range frame.Dispatches {
		agent.execute(agent.core.DispatchReceived(peer.name, dispatch, now))
	}
	for _, ref := range frame.Cancels {
		agent.execute(agent.core.Cancel(peer.name, ref))
	}
	agent.execute(agent.core.AssignSlots(now))
}

// claimQuota handles an entry's quota claim as the coordinator of the account. The caller holds
// the lock.
func (agent *Agent) claimQuota(peer *peer, claim *ptwire.QuotaClaim) {
	agent.sendShares(agent.quotaCoordinator.HandleClaim(peer.name, ptquota.Claim{
		Account: ptquota.Account(claim.Account), Limit: int(claim.Limit), Demand: int(claim.Want), InUse: int(claim.Holding),
		CoordinatorChanged: claim.Moved, Share: int(claim.Share), Version: claim.Version,
	}, agent.deps.Clock.Now()))
}

// sendShares sends quota shares to their entries. The caller holds the lock.
func (agent *Agent) sendShares(shares []ptquota.Share) {
	for _, share := range shares {
		message := &ptwire.QuotaShare{Account: string(share.Account), Count: uint32(share.Count), Contended: share.Contended, Version: share.Version}
		agent.post(share.Entry, func(frame *ptwire.Frame) { frame.QuotaShares = append(frame.QuotaShares, message) })
	}
}

// drained reports whether the agent has no work left. After reconnectDeadline, answers to
// entries without a session no longer count as work.
func (agent *Agent) drained(reconnectDeadline ptid.Instant) bool {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.core.Idle() || (agent.deps.Clock.Now() > reconnectDeadline && agent.core.OnlyUndeliverableAnswers())
}
