package ptentry

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptadmit"
	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjob"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptreason"
	"github.com/primrosetiller/primrosetiller/ptsched"
	"github.com/primrosetiller/primrosetiller/ptservice"
	"github.com/primrosetiller/primrosetiller/ptslots"
	"github.com/primrosetiller/primrosetiller/pttrace"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// serviceScheduler executes the decisions of the scheduling core of one service.
type serviceScheduler struct {
	entry *Entry
	name  ptid.ServiceName

	mu     sync.Mutex
	core   *ptservice.Core
	agents map[*ptsched.Upstream]*agentSession
	spans  map[ptid.TaskID]*pttrace.Span
}

func newServiceScheduler(entry *Entry, name ptid.ServiceName, setting ptsched.Setting) *serviceScheduler {
	return &serviceScheduler{
		entry: entry, name: name, core: ptservice.New(setting, entry.limiter),
		agents: make(map[*ptsched.Upstream]*agentSession), spans: make(map[ptid.TaskID]*pttrace.Span),
	}
}

// submit admits a job and queues its tasks, or refuses it.
func (service *serviceScheduler) submit(job *openJob) (refusal ptadmit.Refusal) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.entry.jobs.add(job)
	refusal, effects := service.core.Submit(job.Job, service.entry.deps.Clock.Now())
	if refusal.Reason != "" {
		service.entry.jobs.remove(job)
		return refusal
	}
	service.execute(effects)
	return ptadmit.Refusal{}
}

// execute carries out effects of the core. The caller holds the lock.
func (service *serviceScheduler) execute(effects []ptservice.Effect) {
	count := &service.entry.count
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptservice.Dispatch:
			service.dispatch(effect)
		case ptservice.Demand:
			count.demand.Inc()
			service.post(effect.Upstream, func(frame *ptwire.Frame) { frame.Demand = true })
		case ptservice.Cancel:
			service.cancelTasks(effect)
		case ptservice.Resolve:
			service.resolve(effect)
		case ptservice.TaskEnded:
			service.endSpan(effect.ID, effect.Reason)
		case ptservice.JobEnded:
			service.recordJobEnd(effect.Job)
		case ptservice.Requeued:
			count.retries.Inc()
		case ptservice.LateMessage:
			count.lateMessages.Inc()
		}
	}
}

func (service *serviceScheduler) post(upstream *ptsched.Upstream, add func(frame *ptwire.Frame)) {
	if agent := service.agents[upstream]; agent != nil {
		agent.session.Post(add)
	}
}

// dispatch sends a task to an agent. If the session has just ended, the message is lost. The
// core still counts the task as sent, and queries the state of the task in the next session.
func (service *serviceScheduler) dispatch(effect ptservice.Dispatch) {
	agent := service.agents[effect.Upstream]
	if !ptassert.That(agent != nil, "a usable upstream has a session", "upstream", effect.Upstream.Name) {
		return
	}
	job := effect.Job
	service.entry.count.queueTime.Update(service.entry.deps.Clock.Now().Sub(job.SubmittedAt).Seconds())
	service.entry.count.dispatch.Inc()
	payload, id := job.Tasks[effect.Index], ptid.TaskID{Job: job.ID, Index: effect.Index}
	agent.session.PostDispatch(&ptwire.Dispatch{
		Job: string(id.Job), Index: uint32(id.Index), Attempt: uint32(effect.Attempt),
		Profile: string(job.Profile.Name), Team: string(job.Profile.Team),
		ContentType: payload.ContentType, Payload: payload.Data,
		StartByNanos:  int64(agent.clock.ToPeerClock(job.StartBy)),
		FinishByNanos: int64(agent.clock.ToPeerClock(job.Deadline)),
		OrderNanos:    int64(agent.clock.ToPeerClock(job.SubmittedAt)),
		RunForNanos:   int64(job.Profile.RunTimeout),
		Traceparent:   service.traceDispatch(job, id),
	})
}

// traceDispatch records the queue span of a task, opens its dispatch span, and returns the
// traceparent of the dispatch span.
func (service *serviceScheduler) traceDispatch(job *ptjob.Job, id ptid.TaskID) (traceparent string) {
	if job.Traceparent == "" || service.entry.deps.Tracer == nil {
		return job.Traceparent
	}
	waited := service.entry.deps.Clock.Now().Sub(job.SubmittedAt)
	service.entry.deps.Tracer.RecordCompleted(job.Traceparent, pttrace.SpanQueue, string(id.Job), uint32(id.Index), waited)
	span := service.entry.deps.Tracer.Start(job.Traceparent, pttrace.SpanDispatch, string(id.Job), uint32(id.Index))
	service.spans[id] = span
	return span.Traceparent()
}

func (service *serviceScheduler) endSpan(id ptid.TaskID, reason ptreason.Reason) {
	span := service.spans[id]
	if span == nil {
		return
	}
	delete(service.spans, id)
	if reason == "" {
		span.End(nil)
		return
	}
	span.End(errors.New(string(reason)))
}

func (service *serviceScheduler) cancelTasks(effect ptservice.Cancel) {
	service.entry.count.cancel.Inc()
	service.entry.count.wasted[kindCancel].Inc()
	refs := make([]*ptwire.TaskRef, 0, len(effect.Tasks))
	for _, task := range effect.Tasks {
		refs = append(refs, &ptwire.TaskRef{
			Job: string(task.ID.Job), Index: uint32(task.ID.Index), Attempt: uint32(task.Attempt), RunningToo: effect.RunningToo,
		})
	}
	service.post(effect.Upstream, func(frame *ptwire.Frame) { frame.Cancels = append(frame.Cancels, refs...) })
}

func (service *serviceScheduler) resolve(effect ptservice.Resolve) {
	agent := service.agents[effect.Upstream]
	if agent == nil {
		return
	}
	query := &ptwire.Resolve{
		Job: string(effect.ID.Job), Index: uint32(effect.ID.Index), Attempt: uint32(effect.Attempt),
		StartByNanos: int64(agent.clock.ToPeerClock(effect.StartBy)),
	}
	agent.session.Post(func(frame *ptwire.Frame) { frame.Resolves = append(frame.Resolves, query) })
}

// handleFrame handles the slot counts and the task messages of a frame.
func (service *serviceScheduler) handleFrame(agent *agentSession, frame *ptwire.Frame) {
	now := service.entry.deps.Clock.Now()
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.agents[agent.upstream] != agent {
		service.entry.count.lateMessages.Inc()
		return
	}
	service.core.Scheduler().UpdateStatus(agent.upstream, slotStatus(frame), now)
	for _, answer := range frame.Answers {
		service.handleAnswer(agent, answer, now)
	}
	for _, refusal := range frame.Refusals {
		service.handleRefusal(agent, refusal, now)
	}
	service.execute(service.core.Place(now))
}

func slotStatus(frame *ptwire.Frame) ptsched.SlotStatus {
	return ptsched.SlotStatus{
		Window: int(frame.Window), Outstanding: int(frame.Outstanding), TotalOutstanding: int(frame.Busy), Draining: frame.Leaving,
	}
}

// handleAnswer handles the answer of a task. The caller holds the lock.
func (service *serviceScheduler) handleAnswer(agent *agentSession, answer *ptwire.Answer, now ptid.Instant) {
	service.entry.count.answer.Inc()
	effects := service.core.TaskFinished(agent.upstream, ptslots.TaskID(answer.Job, answer.Index), ptid.Attempt(answer.Attempt), ptservice.TaskResult{
		Answer: ptjob.Answer{ContentType: answer.ContentType, Body: answer.Body},
		Reason: ptreason.Reason(answer.Reason), RunTime: time.Duration(answer.RunNanos),
	}, now)
	for _, effect := range effects {
		if _, late := effect.(ptservice.LateMessage); late {
			service.entry.count.wasted[kindAnswer].Inc()
		}
	}
	service.execute(effects)
}

// handleRefusal handles a refusal, which proves that the attempt never starts. The caller holds
// the lock.
func (service *serviceScheduler) handleRefusal(agent *agentSession, refusal *ptwire.Refusal, now ptid.Instant) {
	count, kind := &service.entry.count, kindRefusal
	if refusal.Sealed {
		kind = kindSeal
		count.seal.Inc()
	} else {
		count.refusal.Inc()
	}
	count.wasted[kind].Inc()
	count.wasted[kindDispatch].Inc()
	service.execute(service.core.AttemptRefused(agent.upstream, ptslots.TaskID(refusal.Job, refusal.Index),
		ptid.Attempt(refusal.Attempt), ptreason.Reason(refusal.Reason), now))
}

// recordJobEnd updates the metrics of an ended job and retains its outcome.
func (service *serviceScheduler) recordJobEnd(job *ptjob.Job) {
	outcome := job.Outcome()
	service.entry.deps.Metrics.Counter(ptmetric.Jobs, "outcome", string(outcome.Result)).Inc()
	counts := make(map[ptjob.State]int)
	for _, task := range outcome.Tasks {
		counts[task.State]++
	}
	for state, count := range counts {
		service.entry.deps.Metrics.Counter(ptmetric.Tasks, "state", state.String()).Add(count)
	}
	service.entry.jobs.recordEnd(job.ID)
}

// startDeadlinePassed ends the tasks of a job that were not sent before the start deadline.
func (service *serviceScheduler) startDeadlinePassed(id ptid.JobID) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.execute(service.core.StartDeadlinePassed(id))
}

// deadlinePassed ends a job at its deadline, whatever the state of its tasks.
func (service *serviceScheduler) deadlinePassed(id ptid.JobID) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.execute(service.core.DeadlinePassed(id, service.entry.deps.Clock.Now()))
}

// cancel cancels a job, including its running tasks.
func (service *serviceScheduler) cancel(id ptid.JobID) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.execute(service.core.Cancel(id))
}

// place dispatches the queued tasks for which there is capacity.
func (service *serviceScheduler) place(now ptid.Instant) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.execute(service.core.Place(now))
}

// tick runs the periodic work of the core.
func (service *serviceScheduler) tick(now ptid.Instant) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.execute(service.core.Tick(now))
}
