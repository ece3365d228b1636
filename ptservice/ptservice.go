// Package ptservice decides, for one service at one entry, what becomes of jobs and
// their tasks. It joins the scheduler with the jobs' life cycle and has no I/O.
//
// # How it works
//
//  1. Every event (a submission, a session, an answer, a refusal, a deadline, a
//     cancellation) is a call that returns the effects its owner carries out.
//  2. A task is placed again only after a refusal or a seal, before its start
//     deadline, and within the budget.
//  3. The first task of a job that can't be answered withdraws those that have not
//     started; the ones that run go on, and the job ends when all have.
//  4. At the start deadline, waiting tasks end as not run. At the deadline the job
//     ends whatever its tasks do; those that were sent are then unknown.
//  5. A new incarnation of an upstream makes the tasks of the old one unknown.
//
// # Usage
//
//	refusal, effects := core.Submit(job, now)
//	effects = core.Answer(upstream, id, attempt, end, now)
//	effects = core.Place(now)
//
// # Limits
//
// Core is not safe for concurrent use.
package ptservice

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptadmit"
	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjob"
	"github.com/primrosetiller/primrosetiller/ptorder"
	"github.com/primrosetiller/primrosetiller/ptplace"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptquota"
	"github.com/primrosetiller/primrosetiller/ptreason"
	"github.com/primrosetiller/primrosetiller/ptsched"
)

// Effect is something that the owner has to do.
type Effect interface{ isEffect() }

// Dispatch sends a task to an upstream.
type Dispatch struct {
	Upstream *ptsched.Upstream
	Job      *ptjob.Job
	Index    ptid.TaskIndex
	Attempt  ptid.Attempt
}

// TaskRef names an attempt of a task.
type TaskRef struct {
	ID      ptid.TaskID
	Attempt ptid.Attempt
}

// Cancel tells an upstream that tasks are not wanted.
type Cancel struct {
	Upstream   *ptsched.Upstream
	Tasks      []TaskRef
	RunningToo bool
}

// Demand tells an upstream that tasks wait.
type Demand struct{ Upstream *ptsched.Upstream }

// Resolve asks an upstream what became of a task.
type Resolve struct {
	Upstream *ptsched.Upstream
	TaskRef
	StartBy ptid.Instant
}

// TaskEnded tells that a sent task is no longer with an upstream. An empty reason
// is an answer.
type TaskEnded struct {
	ID     ptid.TaskID
	Reason ptreason.Reason
}

// JobEnded tells that a job has ended.
type JobEnded struct{ Job *ptjob.Job }

// LateMessage tells that a message was for nothing that is waited for.
type LateMessage struct{ ID ptid.TaskID }

// Requeued tells that a task is to be placed again.
type Requeued struct{ ID ptid.TaskID }

func (Dispatch) isEffect()    {}
func (Cancel) isEffect()      {}
func (Demand) isEffect()      {}
func (Resolve) isEffect()     {}
func (TaskEnded) isEffect()   {}
func (JobEnded) isEffect()    {}
func (LateMessage) isEffect() {}
func (Requeued) isEffect()    {}

// Core is the state of one service.
type Core struct {
	sched   *ptsched.Scheduler
	ledger  *ptquota.Limiter
	jobs    map[ptid.JobID]*ptjob.Job
	patient bool
	effects []Effect
}

// New returns a core without jobs or upstreams. The ledger is shared between the
// services of an entry.
func New(setting ptsched.Setting, ledger *ptquota.Limiter) *Core {
	return &Core{sched: ptsched.New(setting), ledger: ledger, jobs: make(map[ptid.JobID]*ptjob.Job)}
}

// Scheduler gives access to the scheduler, for reading.
func (core *Core) Scheduler() *ptsched.Scheduler { return core.sched }

// ReadyTasks returns how many tasks wait for nothing but room, and when the first of their
// jobs arrived.
func (core *Core) ReadyTasks() (tasks int, first ptid.Instant) {
	return core.sched.ReadyTasks(core.ledger.Headroom)
}

// OpenJobs returns how many jobs have not ended.
func (core *Core) OpenJobs() int { return len(core.jobs) }

// take returns the effects since the last call.
func (core *Core) take() (effects []Effect) {
	effects, core.effects = core.effects, nil
	return effects
}

func (core *Core) emit(effect Effect) { core.effects = append(core.effects, effect) }

// Submit admits a job and places what it can, or refuses it.
func (core *Core) Submit(job *ptjob.Job, now ptid.Instant) (refusal ptadmit.Refusal, effects []Effect) {
	profile := job.Profile
	order := &ptorder.Job{
		ID: job.ID, Profile: profile.Name, Team: profile.Team, SubmittedAt: job.SubmittedAt, StartBy: job.StartBy, Tasks: len(job.Tasks),
	}
	refusal = core.sched.Admit(order, core.ledger.Limit(profile.Name, profile.Team), job.StartBy.Sub(now), now)
	if refusal.Reason != "" {
		return refusal, nil
	}
	core.jobs[job.ID] = job
	core.patient = profile.Favour == ptprofile.FavourMessages
	core.ledger.AddWaiting(profile.Name, profile.Team, order.Tasks)
	core.sched.Enqueue(order)
	core.place(now)
	return ptadmit.Refusal{}, core.take()
}

// Place sends what can be sent.
func (core *Core) Place(now ptid.Instant) (effects []Effect) {
	core.place(now)
	return core.take()
}

// Tick does what is due at a steady pace.
func (core *Core) Tick(now ptid.Instant) (effects []Effect) {
	core.sched.DetectHangs(now)
	return core.Place(now)
}

func (core *Core) place(now ptid.Instant) {
	core.sched.Place(now, core.ledger.Allows, core.send)
	for _, upstream := range core.sched.DemandTargets(now, core.ledger.Headroom, core.patient) {
		core.emit(Demand{Upstream: upstream})
	}
}

// send commits a placement. It is false where the job no longer waits for the task.
func (core *Core) send(task ptorder.Task, upstream *ptsched.Upstream) (attempt ptid.Attempt, sent bool) {
	job := core.jobs[task.Job.ID]
	core.ledger.AddWaiting(task.Job.Profile, task.Job.Team, -1)
	if !ptassert.That(job != nil, "a waiting task has an open job", "job", task.Job.ID) {
		return 0, false
	}
	attempt, sent = job.MarkSent(task.Index, agentOf(upstream))
	if !sent {
		return 0, false
	}
	core.ledger.Acquire(task.Job.Profile, task.Job.Team)
	core.emit(Dispatch{Upstream: upstream, Job: job, Index: task.Index, Attempt: attempt})
	return attempt, true
}

func agentOf(upstream *ptsched.Upstream) ptjob.AgentIncarnation {
	return ptjob.AgentIncarnation{Name: upstream.Name, Incarnation: upstream.Incarnation}
}

// SessionOpened takes up an upstream whose session has opened, and asks what became of the
// tasks that an earlier session left open.
func (core *Core) SessionOpened(agent ptjob.AgentIncarnation, slots int, distance ptplace.Distance, now ptid.Instant) (upstream *ptsched.Upstream, effects []Effect) {
	upstream, orphans := core.sched.SessionOpened(agent.Name, agent.Incarnation, slots, distance, now)
	for _, id := range ptid.SortedTasks(orphans) {
		sent := orphans[id]
		core.ledger.Release(sent.Job.Profile, sent.Job.Team)
		core.emit(TaskEnded{ID: id, Reason: ptreason.AgentLost})
		if job := core.jobs[id.Job]; job != nil {
			core.changed(job, job.RecordAgentLost(id.Index, agent.Name, sent.Attempt, ptreason.AgentLost))
		}
	}
	for _, id := range ptid.SortedTasks(upstream.Outstanding) {
		sent := upstream.Outstanding[id]
		if job := core.jobs[id.Job]; job != nil && now < job.Deadline {
			core.emit(Resolve{Upstream: upstream, TaskRef: TaskRef{ID: id, Attempt: sent.Attempt}, StartBy: job.StartBy})
		}
	}
	return upstream, core.take()
}

// SessionClosed records that the session to an upstream has ended. Nothing else changes.
func (core *Core) SessionClosed(upstream *ptsched.Upstream, now ptid.Instant) {
	core.sched.SessionClosed(upstream, now)
}

// TaskResult is how a task ended at an upstream: an answer, or a failure with a reason.
type TaskResult struct {
	Answer  ptjob.Answer
	Reason  ptreason.Reason
	RunTime time.Duration
}

// TaskFinished handles the end of a task that has started.
func (core *Core) TaskFinished(upstream *ptsched.Upstream, id ptid.TaskID, attempt ptid.Attempt, end TaskResult, now ptid.Instant) (effects []Effect) {
	var result ptsched.Result
	switch end.Reason {
	case "":
		result = ptsched.Answered{RunTime: end.RunTime}
	case ptreason.Cancelled:
		result = ptsched.Cancelled{}
	default:
		result = ptsched.Failed{}
	}
	job, found := core.ended(upstream, id, attempt, result, end.Reason, now)
	if !found {
		return core.take()
	}
	agent := agentOf(upstream)
	if end.Reason == "" {
		core.changed(job, job.RecordAnswer(id.Index, agent, attempt, end.Answer))
	} else {
		core.changed(job, job.RecordFailure(id.Index, agent, attempt, end.Reason))
	}
	return core.take()
}

// ended takes a task off the scheduler's list and the quota. Where nothing waits
// for it, the message was late.
func (core *Core) ended(upstream *ptsched.Upstream, id ptid.TaskID, attempt ptid.Attempt, result ptsched.Result, reason ptreason.Reason, now ptid.Instant) (job *ptjob.Job, found bool) {
	sent, listed := core.sched.TaskEnded(upstream, id, attempt, result, now)
	if !listed {
		core.emit(LateMessage{ID: id})
		return nil, false
	}
	core.ledger.Release(sent.Job.Profile, sent.Job.Team)
	core.emit(TaskEnded{ID: id, Reason: reason})
	job = core.jobs[id.Job]
	return job, ptassert.That(job != nil, "a sent task has an open job", "job", id.Job)
}

// AttemptRefused handles the proof that an attempt has not started and never will.
func (core *Core) AttemptRefused(upstream *ptsched.Upstream, id ptid.TaskID, attempt ptid.Attempt, reason ptreason.Reason, now ptid.Instant) (effects []Effect) {
	sent := upstream.Outstanding[id]
	result := ptsched.Refused{UpstreamUnreachable: reason == ptreason.UpstreamUnreachable}
	job, found := core.ended(upstream, id, attempt, result, reason, now)
	if !found {
		return core.take()
	}
	again := now < job.StartBy && reason != ptreason.Cancelled
	if again && !core.sched.AllowRetry(attempt) {
		again, reason = false, ptreason.RetryBudget
	}
	change, requeued := job.RecordRefusal(id.Index, agentOf(upstream), attempt, reason, again)
	if requeued {
		core.ledger.AddWaiting(sent.Job.Profile, sent.Job.Team, 1)
		core.sched.Requeue(sent)
		core.emit(Requeued{ID: id})
	} else {
		core.changed(job, change)
	}
	return core.take()
}

// changed does what a change of a job asks for.
func (core *Core) changed(job *ptjob.Job, change ptjob.Transition) {
	if change.FirstFailure && !change.Ended {
		change.Ended = core.withdraw(job, ptreason.SiblingFailed, false).Ended
	}
	core.conclude(job, change)
}

func (core *Core) conclude(job *ptjob.Job, change ptjob.Transition) {
	if change.Ended {
		delete(core.jobs, job.ID)
		core.emit(JobEnded{Job: job})
	}
}

// withdraw takes what has not started out of the queue and cancels it at the
// upstreams.
func (core *Core) withdraw(job *ptjob.Job, why ptreason.Reason, runningToo bool) (change ptjob.Transition) {
	waiting := core.sched.RemoveJob(job.ID)
	core.ledger.AddWaiting(job.Profile.Name, job.Profile.Team, -waiting)
	change = job.EndQueued(why)
	for _, upstream := range core.sched.Upstreams() {
		var tasks []TaskRef
		for _, id := range ptid.SortedTasks(upstream.Outstanding) {
			sent := upstream.Outstanding[id]
			if id.Job == job.ID {
				tasks = append(tasks, TaskRef{ID: id, Attempt: sent.Attempt})
			}
		}
		if len(tasks) > 0 {
			core.emit(Cancel{Upstream: upstream, Tasks: tasks, RunningToo: runningToo})
		}
	}
	return change
}

// Cancel withdraws a job and cuts off what runs.
func (core *Core) Cancel(id ptid.JobID) (effects []Effect) {
	if job := core.jobs[id]; job != nil {
		core.conclude(job, core.withdraw(job, ptreason.Cancelled, true))
	}
	return core.take()
}

// StartDeadlinePassed ends the tasks of a job that have not been sent in time.
func (core *Core) StartDeadlinePassed(id ptid.JobID) (effects []Effect) {
	job := core.jobs[id]
	if job == nil {
		return nil
	}
	waiting := core.sched.RemoveJob(id)
	core.ledger.AddWaiting(job.Profile.Name, job.Profile.Team, -waiting)
	core.changed(job, job.EndQueued(ptreason.StartDeadline))
	return core.take()
}

// DeadlinePassed ends a job whatever its tasks do.
func (core *Core) DeadlinePassed(id ptid.JobID, now ptid.Instant) (effects []Effect) {
	job := core.jobs[id]
	if job == nil {
		return nil
	}
	withdrawn := core.withdraw(job, ptreason.JobDeadline, true)
	for _, upstream := range core.sched.Upstreams() {
		for _, task := range ptid.SortedTasks(upstream.Outstanding) {
			sent := upstream.Outstanding[task]
			if task.Job == id {
				core.ended(upstream, task, sent.Attempt, ptsched.Failed{}, ptreason.JobDeadline, now)
			}
		}
	}
	expired := job.Expire()
	core.conclude(job, ptjob.Transition{Ended: withdrawn.Ended || expired.Ended})
	core.place(now)
	return core.take()
}
