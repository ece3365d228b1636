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
	"github.com/primrosetiller/primrosetiller/ptorder"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptreason"
	"github.com/primrosetiller/primrosetiller/ptsched"
	"github.com/primrosetiller/primrosetiller/pttrace"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// service places the tasks of one service: the scheduler and its effects.
type service struct {
	entry *Entry
	name  ptid.ServiceName

	mu      sync.Mutex
	sched   *ptsched.Scheduler
	links   map[*ptsched.Upstream]*link
	patient bool
	spans   map[ptid.TaskID]*pttrace.Span
}

func newService(entry *Entry, name ptid.ServiceName, setting ptsched.Setting) *service {
	return &service{
		entry: entry, name: name, sched: ptsched.New(setting),
		links: make(map[*ptsched.Upstream]*link), spans: make(map[ptid.TaskID]*pttrace.Span),
	}
}

// submit admits a job and queues its tasks, or refuses it.
func (service *service) submit(job *heldJob) (refusal ptadmit.Refusal) {
	now := service.entry.deps.Clock.Now()
	profile := job.Profile
	quota := service.entry.ledger.Limit(profile.Name, profile.Team)
	service.mu.Lock()
	defer service.mu.Unlock()
	refusal = service.sched.Admit(job.order, quota, job.StartBy.Sub(now), now)
	if refusal.Reason != "" {
		return refusal
	}
	service.entry.jobs.add(job)
	service.patient = profile.Favour == ptprofile.Messages
	service.entry.ledger.Wait(profile.Name, profile.Team, job.order.Tasks)
	service.sched.Enqueue(job.order)
	service.place(now)
	return ptadmit.Refusal{}
}

// place sends what can be sent. The caller holds the lock.
func (service *service) place(now ptid.Instant) {
	service.sched.Place(now, service.entry.ledger.Allows, func(task ptorder.Task, upstream *ptsched.Upstream) (ptid.Attempt, bool) {
		return service.send(task, upstream, now)
	})
	for _, upstream := range service.sched.Demands(now, service.patient) {
		if link := service.links[upstream]; link != nil {
			service.entry.count.demand.Inc()
			link.session.Post(func(frame *ptwire.Frame) { frame.Demand = true })
		}
	}
}

// send dispatches one task. It is false where the job no longer waits for it.
func (service *service) send(task ptorder.Task, upstream *ptsched.Upstream, now ptid.Instant) (attempt ptid.Attempt, sent bool) {
	job, link := service.entry.jobs.get(task.Job.ID), service.links[upstream]
	if !ptassert.That(job != nil && link != nil, "a waiting task has a job and a usable upstream a session", "job", task.Job.ID) {
		return 0, false
	}
	ledger := service.entry.ledger
	ledger.Wait(task.Job.Profile, task.Job.Team, -1)
	attempt, sent = job.Sent(task.Index, link.agent())
	if !sent {
		return 0, false
	}
	ledger.Take(task.Job.Profile, task.Job.Team)
	service.entry.count.queueTime.Update(now.Sub(task.Job.SubmittedAt).Seconds())
	service.entry.count.dispatch.Inc()
	payload := job.Tasks[task.Index]
	id := ptid.TaskID{Job: task.Job.ID, Index: task.Index}
	link.session.PostDispatch(&ptwire.Dispatch{
		Job: string(id.Job), Index: uint32(id.Index), Attempt: uint32(attempt),
		Profile: string(task.Job.Profile), Team: string(task.Job.Team),
		ContentType: payload.ContentType, Payload: payload.Data,
		StartByNanos:  int64(link.agentInstant(job.StartBy)),
		FinishByNanos: int64(link.agentInstant(job.Deadline)),
		OrderNanos:    int64(link.agentInstant(job.SubmittedAt)),
		RunForNanos:   int64(job.Profile.RunFor),
		Traceparent:   service.traceDispatch(job, id),
	})
	return attempt, true
}

// traceDispatch opens the span of a dispatch and returns its traceparent.
func (service *service) traceDispatch(job *heldJob, id ptid.TaskID) (traceparent string) {
	if job.Traceparent == "" || service.entry.deps.Tracer == nil {
		return job.Traceparent
	}
	span := service.entry.deps.Tracer.Start(job.Traceparent, pttrace.SpanDispatch, string(id.Job), uint32(id.Index))
	service.spans[id] = span
	return span.Traceparent()
}

func (service *service) endSpan(id ptid.TaskID, reason string) {
	span := service.spans[id]
	if span == nil {
		return
	}
	delete(service.spans, id)
	if reason == "" {
		span.End(nil)
		return
	}
	span.End(errors.New(reason))
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
	service.sched.Heard(link.upstream, ptsched.Frame{
		Window: int(frame.Window), Outstanding: int(frame.Outstanding), Busy: int(frame.Busy), Leaving: frame.Leaving,
	}, now)
	for _, answer := range frame.Answers {
		service.answer(link, answer, now)
	}
	for _, refusal := range frame.Refusals {
		service.refusal(link, refusal, now)
	}
	service.place(now)
}

func taskID(job string, index uint32) ptid.TaskID {
	return ptid.TaskID{Job: ptid.JobID(job), Index: ptid.TaskIndex(index)}
}

// answer handles the end of a task. The caller holds the lock.
func (service *service) answer(link *link, answer *ptwire.Answer, now ptid.Instant) {
	service.entry.count.answer.Inc()
	id, attempt := taskID(answer.Job, answer.Index), ptid.Attempt(answer.Attempt)
	var result ptsched.Result = ptsched.Answered{Run: time.Duration(answer.RunNanos)}
	if answer.Reason != "" {
		result = ptsched.Failed{}
		if ptreason.Reason(answer.Reason) == ptreason.Cancelled {
			result = ptsched.Abandoned{}
		}
	}
	job := service.entry.jobs.get(id.Job)
	if !service.ended(link.upstream, id, attempt, result, now) || job == nil {
		service.entry.count.wasted[kindAnswer].Inc()
		service.entry.count.late.Inc()
		return
	}
	service.endSpan(id, answer.Reason)
	var change ptjob.Change
	if answer.Reason == "" {
		change = job.Answered(id.Index, link.agent(), attempt, ptjob.Answer{ContentType: answer.ContentType, Body: answer.Body})
	} else {
		change = job.Failed(id.Index, link.agent(), attempt, ptreason.Reason(answer.Reason))
	}
	service.changed(job, change, ptreason.SiblingFailed, false)
}

// ended takes a task off the scheduler's list and the quota. The caller holds the lock.
func (service *service) ended(upstream *ptsched.Upstream, id ptid.TaskID, attempt ptid.Attempt, result ptsched.Result, now ptid.Instant) (found bool) {
	sent, found := service.sched.Ended(upstream, id, attempt, result, now)
	if found {
		service.entry.ledger.Release(sent.Job.Profile, sent.Job.Team)
	}
	return found
}

// refusal handles the proof that an attempt has not started. The caller holds the lock.
func (service *service) refusal(link *link, refusal *ptwire.Refusal, now ptid.Instant) {
	kind := kindRefusal
	if refusal.Sealed {
		kind = kindSeal
		service.entry.count.seal.Inc()
	} else {
		service.entry.count.refusal.Inc()
	}
	service.entry.count.wasted[kind].Inc()
	service.entry.count.wasted[kindDispatch].Inc()
	reason := ptreason.Reason(refusal.Reason)
	service.returned(link.upstream, taskID(refusal.Job, refusal.Index), ptid.Attempt(refusal.Attempt), reason, now)
}

// returned puts a task that has not started back into the queue, or ends it. The
// caller holds the lock.
func (service *service) returned(upstream *ptsched.Upstream, id ptid.TaskID, attempt ptid.Attempt, reason ptreason.Reason, now ptid.Instant) {
	sent, listed := upstream.Sent[id]
	unfit := reason == ptreason.UpstreamUnreachable
	job := service.entry.jobs.get(id.Job)
	if !listed || !service.ended(upstream, id, attempt, ptsched.Refused{Unfit: unfit}, now) || job == nil {
		service.entry.count.late.Inc()
		return
	}
	service.endSpan(id, string(reason))
	again := now < job.StartBy && reason != ptreason.Cancelled
	if again && !service.sched.MayReturn(attempt) {
		again, reason = false, ptreason.RetryBudget
	}
	agent := ptjob.Agent{Name: upstream.Name, Incarnation: upstream.Incarnation}
	change, requeued := job.Returned(id.Index, agent, attempt, reason, again)
	if requeued {
		service.entry.count.retries.Inc()
		service.entry.ledger.Wait(sent.Job.Profile, sent.Job.Team, 1)
		service.sched.Return(sent)
		return
	}
	service.changed(job, change, ptreason.SiblingFailed, false)
}

// changed does what a change of a job asks for. why is the reason of the tasks
// that are withdrawn with it; runningToo cancels those that run as well. The
// caller holds the lock.
func (service *service) changed(job *heldJob, change ptjob.Change, why ptreason.Reason, runningToo bool) {
	if change.Doomed && !change.Ended {
		withdrawn := service.withdraw(job, why, runningToo)
		change.Ended = change.Ended || withdrawn.Ended
	}
	if change.Ended {
		service.finish(job)
	}
}

// withdraw takes what has not started out of the queue and cancels it at the
// agents. The caller holds the lock.
func (service *service) withdraw(job *heldJob, why ptreason.Reason, runningToo bool) (change ptjob.Change) {
	waiting := service.sched.Withdraw(job.ID)
	service.entry.ledger.Wait(job.Profile.Name, job.Profile.Team, -waiting)
	change = job.Withdraw(why)
	service.cancelSent(job, runningToo)
	return change
}

// cancelSent tells the agents, in one message each, that a job's tasks are not
// wanted. The caller holds the lock.
func (service *service) cancelSent(job *heldJob, runningToo bool) {
	for upstream, link := range service.links {
		var refs []*ptwire.TaskRef
		for id, sent := range upstream.Sent {
			if id.Job == job.ID {
				refs = append(refs, &ptwire.TaskRef{
					Job: string(id.Job), Index: uint32(id.Index), Attempt: uint32(sent.Attempt), RunningToo: runningToo,
				})
			}
		}
		if len(refs) > 0 {
			service.entry.count.cancel.Inc()
			service.entry.count.wasted[kindCancel].Inc()
			link.session.Post(func(frame *ptwire.Frame) { frame.Cancels = append(frame.Cancels, refs...) })
		}
	}
}

// finish counts an ended job and keeps its outcome.
func (service *service) finish(job *heldJob) {
	if job.timer != nil {
		job.timer.Stop()
	}
	outcome := job.Outcome()
	service.entry.deps.Metrics.Counter(ptmetric.Jobs, "outcome", string(outcome.Result)).Inc()
	counts := make(map[ptjob.State]int)
	for _, task := range outcome.Tasks {
		counts[task.State]++
	}
	for state, count := range counts {
		service.entry.deps.Metrics.Counter(ptmetric.Tasks, "state", state.String()).Add(count)
	}
	service.entry.jobs.ended(job)
}

// startDeadline ends the tasks of a job that have not been sent in time.
func (service *service) startDeadline(job *heldJob) {
	service.mu.Lock()
	defer service.mu.Unlock()
	waiting := service.sched.Withdraw(job.ID)
	service.entry.ledger.Wait(job.Profile.Name, job.Profile.Team, -waiting)
	service.changed(job, job.Withdraw(ptreason.StartDeadline), ptreason.StartDeadline, false)
}

// deadline ends a job whatever its tasks do.
func (service *service) deadline(job *heldJob) {
	now := service.entry.deps.Clock.Now()
	service.mu.Lock()
	defer service.mu.Unlock()
	withdrawn := service.withdraw(job, ptreason.JobDeadline, true)
	for _, upstream := range service.sched.Upstreams() {
		for id, sent := range upstream.Sent {
			if id.Job == job.ID {
				service.ended(upstream, id, sent.Attempt, ptsched.Failed{}, now)
				service.endSpan(id, string(ptreason.JobDeadline))
			}
		}
	}
	if expired := job.Expire(); withdrawn.Ended || expired.Ended {
		service.finish(job)
	}
	service.place(now)
}

// cancel withdraws a job and cuts off what runs.
func (service *service) cancel(job *heldJob) {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.withdraw(job, ptreason.Cancelled, true).Ended {
		service.finish(job)
	}
}

// tick does what is due at a steady pace.
func (service *service) tick(now ptid.Instant) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.sched.Watch(now)
	service.place(now)
}
