// Package ptagent is the process beside one upstream. It announces the upstream,
// owns its slots, and is the only place where a task starts.
//
// # How it works
//
//  1. The agent dials every entry that it knows and keeps one session to each.
//  2. What becomes of tasks is decided by package ptslots; this package carries its
//     effects out.
//  3. The upstream's connection is opened before the start is recorded, so a task
//     whose upstream can't be reached is refused as not run.
//  4. A session that turns silent is replaced by a new one with a higher number;
//     messages of the old one are dropped.
//
// Files: ptagent.go runs the tasks, dial.go holds the sessions, serve.go starts and
// stops and serves the admin interface.
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

// Setting is what an operator chooses for an agent.
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

// Dependencies are the adapters of an agent.
type Dependencies struct {
	Log     logr.Logger
	Metrics *ptmetric.Set
	Tracer  *pttrace.Tracer
	Clock   *ptid.Clock
	// Discover returns further addresses of entries, or nil.
	Discover func() []string
}

// Agent is one agent. It is safe for concurrent use.
type Agent struct {
	setting     Setting
	deps        Dependencies
	incarnation ptid.Incarnation
	upstream    *ptupstream.Client
	stopping    atomic.Bool
	config      configurationCache

	mu       sync.Mutex
	core     *ptslots.Core
	calls    map[ptid.TaskID]*ptupstream.Call
	peers    map[ptid.EntryName]*peer
	stateRev uint64
	sessions uint64
	keeper   *ptquota.Coordinator
	workers  pool

	addresses addressBook
	starts    *metrics.Counter
	runTime   *metrics.Histogram
	late      *metrics.Counter
}

// New returns an agent that has not connected yet.
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
		keeper:  ptquota.NewCoordinator(),
		workers: pool{work: make(chan func())},
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
	gauge(ptmetric.BusySlots, func() int { _, running, _ := agent.core.Counts(); return running })
	gauge(ptmetric.BacklogTasks, func() int { waiting, _, _ := agent.core.Counts(); return waiting })
	gauge(ptmetric.KeptAnswers, func() int { _, _, kept := agent.core.Counts(); return kept })
	gauge(ptmetric.Sessions, func() int { return len(agent.peers) })
	gauge(ptmetric.Slots, func() int { return agent.setting.Lease.Slots })
	agent.deps.Metrics.Gauge(ptmetric.Revision, func() float64 { return float64(agent.config.revision()) })
}

// do carries out effects. The caller holds the lock.
func (agent *Agent) do(effects []ptslots.Effect) {
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

// start runs a task on a goroutine of its own. The caller holds the lock.
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
	agent.workers.do(func() {
		answer, refusal := agent.run(task, call, traceparent)
		span.End(nil)
		agent.release(task, answer, refusal)
	})
}

// run executes one task in its slot. answer is nil where it has not started.
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
	runBy := min(started.Add(time.Duration(task.Dispatch.RunForNanos)), ptid.Instant(task.Dispatch.FinishByNanos))
	got, err := call.Do(time.Now().Add(runBy.Sub(started)))
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
		answer.ContentType, answer.Body = got.ContentType, got.Body
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

// release gives up the slot of a task and starts the next one.
func (agent *Agent) release(task *ptslots.Task, answer *ptwire.Answer, refusal ptreason.Reason) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	delete(agent.calls, task.ID)
	agent.do(agent.core.ReleaseSlot(task, answer, refusal, agent.deps.Clock.Now()))
}

// expire does what the passing of time asks for.
func (agent *Agent) expire() {
	now := agent.deps.Clock.Now()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.do(agent.core.Expire(now))
	agent.sendShares(agent.keeper.Tick(now))
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
	agent.stampSlots(peer.name, frame, now)
}

// stampSlots fills what a frame tells of the slots. The caller holds the lock.
func (agent *Agent) stampSlots(entry ptid.EntryName, frame *ptwire.Frame, now ptid.Instant) {
	slots := agent.core.SlotStatus(entry, now)
	frame.Window, frame.Outstanding, frame.Busy = uint32(slots.Window), uint32(slots.Outstanding), uint32(slots.TotalOutstanding)
	frame.Leaving = slots.Draining
}

// Delivered implements [ptsession.Handler].
func (agent *Agent) Delivered(_ *ptsession.Session, tasks []ptid.AttemptID) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	for _, id := range tasks {
		agent.core.Acknowledge(id)
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
		session.SetHeartbeatInterval(time.Duration(frame.HeartbeatIntervalNanos))
	}
	now := agent.deps.Clock.Now()
	agent.core.UpdateDemand(peer.name, int(frame.Queued), ptid.Instant(frame.FirstOrderNanos), now)
	for _, claim := range frame.QuotaClaims {
		agent.claimQuota(peer, claim)
	}
	for _, ask := range frame.Resolves {
		agent.do(agent.core.Resolve(peer.name, ask))
	}
	for _, dispatch := range frame.Dispatches {
		agent.do(agent.core.DispatchReceived(peer.name, dispatch, now))
	}
	for _, ref := range frame.Cancels {
		agent.do(agent.core.Cancel(peer.name, ref))
	}
	agent.do(agent.core.AssignSlots(now))
}

// claimQuota handles the claim of an entry as the keeper of an account. The caller
// holds the lock.
func (agent *Agent) claimQuota(peer *peer, claim *ptwire.QuotaClaim) {
	agent.sendShares(agent.keeper.HandleClaim(peer.name, ptquota.Claim{
		Account: ptquota.Account(claim.Account), Limit: int(claim.Limit), Demand: int(claim.Want), InUse: int(claim.Holding),
		CoordinatorChanged: claim.Moved, Share: int(claim.Share), Version: claim.Version,
	}, agent.deps.Clock.Now()))
}

// sendShares tells entries their shares of quotas. The caller holds the lock.
func (agent *Agent) sendShares(shares []ptquota.Share) {
	for _, share := range shares {
		message := &ptwire.QuotaShare{Account: string(share.Account), Count: uint32(share.Count), Contended: share.Contended, Version: share.Version}
		agent.post(share.Entry, func(frame *ptwire.Frame) { frame.QuotaShares = append(frame.QuotaShares, message) })
	}
}

// drained reports whether nothing is left to be done for anybody who can be reached.
// Entries without a session have until patientUntil to come back for their answers.
func (agent *Agent) drained(patientUntil ptid.Instant) bool {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.core.Idle() || (agent.deps.Clock.Now() > patientUntil && agent.core.OnlyUndeliverableAnswers())
}
