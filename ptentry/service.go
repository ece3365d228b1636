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

// service carries out what the core of one service decides.
type service struct {
	entry *Entry
	name  ptid.ServiceName

	mu    sync.Mutex
	core  *ptservice.Core
	links map[*ptsched.Upstream]*link
	spans map[ptid.TaskID]*pttrace.Span
}

func newService(entry *Entry, name ptid.ServiceName, setting ptsched.Setting) *service {
	return &service{
		entry: entry, name: name, core: ptservice.New(setting, entry.ledger),
		links: make(map[*ptsched.Upstream]*link), spans: make(map[ptid.TaskID]*pttrace.Span),
	}
}

// submit admits a job and queues its tasks, or refuses it.
func (service *service) submit(job *heldJob) (refusal ptadmit.Refusal) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.entry.jobs.add(job)
	refusal, effects := service.core.Submit(job.Job, service.entry.deps.Clock.Now())
	if refusal.Reason != "" {
		service.entry.jobs.remove(job)
		return refusal
	}
	service.do(effects)
	return ptadmit.Refusal{}
}

// do carries out effects. The caller holds the lock.
func (service *service) do(effects []ptservice.Effect) {
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
			service.finish(effect.Job)
		case ptservice.Requeued:
			count.retries.Inc()
		case ptservice.LateMessage:
			count.late.Inc()
		}
	}
}

func (service *service) post(upstream *ptsched.Upstream, add func(frame *ptwire.Frame)) {
	if link := service.links[upstream]; link != nil {
		link.session.Post(add)
	}
}

// dispatch sends one task. Where the session has just ended, the task stays on the
// upstream's list, and the next session asks what became of it.
func (service *service) dispatch(effect ptservice.Dispatch) {
	link := service.links[effect.Upstream]
	if !ptassert.That(link != nil, "a usable upstream has a session", "upstream", effect.Upstream.Name) {
		return
	}
	job := effect.Job
	service.entry.count.queueTime.Update(service.entry.deps.Clock.Now().Sub(job.SubmittedAt).Seconds())
	service.entry.count.dispatch.Inc()
	payload, id := job.Tasks[effect.Index], ptid.TaskID{Job: job.ID, Index: effect.Index}
	link.session.PostDispatch(&ptwire.Dispatch{
		Job: string(id.Job), Index: uint32(id.Index), Attempt: uint32(effect.Attempt),
		Profile: string(job.Profile.Name), Team: string(job.Profile.Team),
		ContentType: payload.ContentType, Payload: payload.Data,
		StartByNanos:  int64(link.clock.ToPeerClock(job.StartBy)),
		FinishByNanos: int64(link.clock.ToPeerClock(job.Deadline)),
		OrderNanos:    int64(link.clock.ToPeerClock(job.SubmittedAt)),
		RunForNanos:   int64(job.Profile.RunTimeout),
		Traceparent:   service.traceDispatch(job, id),
	})
}

// traceDispatch opens the span of a dispatch and returns its traceparent.
func (service *service) traceDispatch(job *ptjob.Job, id ptid.TaskID) (traceparent string) {
	if job.Traceparent == "" || service.entry.deps.Tracer == nil {
		return job.Traceparent
	}
	waited := service.entry.deps.Clock.Now().Sub(job.SubmittedAt)
	service.entry.deps.Tracer.RecordCompleted(job.Traceparent, pttrace.SpanQueue, string(id.Job), uint32(id.Index), waited)
	span := service.entry.deps.Tracer.Start(job.Traceparent, pttrace.SpanDispatch, string(id.Job), uint32(id.Index))
	service.spans[id] = span
	return span.Traceparent()
}

func (service *service) endSpan(id ptid.TaskID, reason ptreason.Reason) {
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

func (service *service) cancelTasks(effect ptservice.Cancel) {
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

func (service *service) resolve(effect ptservice.Resolve) {
	link := service.links[effect.Upstream]
	if link == nil {
		return
	}
	ask := &ptwire.Resolve{
		Job: string(effect.ID.Job), Index: uint32(effect.ID.Index), Attempt: uint32(effect.Attempt),
		StartByNanos: int64(link.clock.ToPeerClock(effect.StartBy)),
	}
	link.session.Post(func(frame *ptwire.Frame) { frame.Resolves = append(frame.Resolves, ask) })
}

// receive handles the task messages of a frame.
func (service *service) receive(link *link, frame *ptwire.Frame) {
	now := service.entry.deps.Clock.Now()
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.links[link.upstream] != link {
		service.entry.count.late.Inc()
		return
	}
	service.core.Scheduler().UpdateStatus(link.upstream, heardFrame(frame), now)
	for _, answer := range frame.Answers {
		service.answer(link, answer, now)
	}
	for _, refusal := range frame.Refusals {
		service.refusal(link, refusal, now)
	}
	service.do(service.core.Place(now))
}

func heardFrame(frame *ptwire.Frame) ptsched.SlotStatus {
	return ptsched.SlotStatus{
		Window: int(frame.Window), Outstanding: int(frame.Outstanding), TotalOutstanding: int(frame.Busy), Draining: frame.Leaving,
	}
}

// answer handles the end of a task. The caller holds the lock.
func (service *service) answer(link *link, answer *ptwire.Answer, now ptid.Instant) {
	service.entry.count.answer.Inc()
	effects := service.core.TaskFinished(link.upstream, ptslots.TaskID(answer.Job, answer.Index), ptid.Attempt(answer.Attempt), ptservice.TaskResult{
		Answer: ptjob.Answer{ContentType: answer.ContentType, Body: answer.Body},
		Reason: ptreason.Reason(answer.Reason), RunTime: time.Duration(answer.RunNanos),
	}, now)
	for _, effect := range effects {
		if _, late := effect.(ptservice.LateMessage); late {
			service.entry.count.wasted[kindAnswer].Inc()
		}
	}
	service.do(effects)
}

// refusal handles the proof that an attempt has not started. The caller holds the lock.
func (service *service) refusal(link *link, refusal *ptwire.Refusal, now ptid.Instant) {
	count, kind := &service.entry.count, kindRefusal
	if refusal.Sealed {
		kind = kindSeal
		count.seal.Inc()
	} else {
		count.refusal.Inc()
	}
	count.wasted[kind].Inc()
	count.wasted[kindDispatch].Inc()
	service.do(service.core.AttemptRefused(link.upstream, ptslots.TaskID(refusal.Job, refusal.Index),
		ptid.Attempt(refusal.Attempt), ptreason.Reason(refusal.Reason), now))
}

// finish counts an ended job and keeps its outcome.
func (service *service) finish(job *ptjob.Job) {
	outcome := job.Outcome()
	service.entry.deps.Metrics.Counter(ptmetric.Jobs, "outcome", string(outcome.Result)).Inc()
	counts := make(map[ptjob.State]int)
	for _, task := range outcome.Tasks {
		counts[task.State]++
	}
	for state, count := range counts {
		service.entry.deps.Metrics.Counter(ptmetric.Tasks, "state", state.String()).Add(count)
	}
	service.entry.jobs.ended(job.ID)
}

// startDeadline ends the tasks of a job that have not been sent in time.
func (service *service) startDeadline(id ptid.JobID) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.do(service.core.StartDeadlinePassed(id))
}

// deadline ends a job whatever its tasks do.
func (service *service) deadline(id ptid.JobID) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.do(service.core.DeadlinePassed(id, service.entry.deps.Clock.Now()))
}

// cancel withdraws a job and cuts off what runs.
func (service *service) cancel(id ptid.JobID) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.do(service.core.Cancel(id))
}

// place sends what can be sent.
func (service *service) place(now ptid.Instant) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.do(service.core.Place(now))
}

// tick does what is due at a steady pace.
func (service *service) tick(now ptid.Instant) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.do(service.core.Tick(now))
}
