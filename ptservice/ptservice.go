// Package ptservice manages, for one service at one entry, the jobs and their tasks. It
// combines the scheduler (package ptsched) with the life cycle of jobs (package ptjob)
// and has no I/O.
//
// # How it works
//
//  1. Every event (a submission, a session, an answer, a refusal, a deadline, a
//     cancellation) is a method call. It returns the effects that the owner has to
//     carry out.
//  2. A task is placed again only after its attempt was refused or sealed (see package
//     ptstart), before its start deadline, and within the retry budget.
//  3. After the first task of a job has ended without an answer, the tasks of the job
//     that have not started are withdrawn. Running tasks continue, and the job ends when
//     all its tasks have ended.
//  4. At the start deadline, waiting tasks end as not run. At the job's deadline the job
//     ends regardless of its tasks; tasks outstanding at an upstream end as unknown.
//  5. When an upstream joins with a new incarnation, the outstanding tasks of the old
//     incarnation end as unknown.
//
// # Usage
//
//	refusal, effects := core.Submit(job, now)
//	effects = core.TaskFinished(upstream, id, attempt, result, now)
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

// Effect is an action that the owner has to carry out.
type Effect interface{ isEffect() }

// Dispatch sends a task to an upstream.
type Dispatch struct {
	Upstream *ptsched.Upstream
	Job      *ptjob.Job
	Index    ptid.TaskIndex
	Attempt  ptid.Attempt
}

// TaskRef identifies an attempt of a task.
type TaskRef struct {
	ID      ptid.TaskID
	Attempt ptid.Attempt
}

// Cancel asks an upstream to cancel tasks. Unless RunningToo is set, tasks that have
// started continue.
type Cancel struct {
	Upstream   *ptsched.Upstream
	Tasks      []TaskRef
	RunningToo bool
}

// Demand informs an upstream that tasks wait at this entry.
type Demand struct{ Upstream *ptsched.Upstream }

// Resolve asks an upstream for the state of a task that was sent over an earlier
// session.
type Resolve struct {
	Upstream *ptsched.Upstream
	TaskRef
	StartBy ptid.Instant
}

// TaskEnded reports that an attempt is no longer outstanding at an upstream. Reason states
// why the attempt ended without an answer. Reason is empty if the upstream has
// answered the task.
type TaskEnded struct {
	ID     ptid.TaskID
	Reason ptreason.Reason
}

// JobEnded reports that a job has ended.
type JobEnded struct{ Job *ptjob.Job }

// LateMessage reports that an upstream sent a result for an attempt that is no longer
// outstanding.
type LateMessage struct{ ID ptid.TaskID }

// Requeued reports that a refused task was put back into the queue.
type Requeued struct{ ID ptid.TaskID }

func (Dispatch) isEffect()    {}
func (Cancel) isEffect()      {}
func (Demand) isEffect()      {}
func (Resolve) isEffect()     {}
func (TaskEnded) isEffect()   {}
func (JobEnded) isEffect()    {}
func (LateMessage) isEffect() {}
func (Requeued) isEffect()    {}

// Core holds the jobs and the scheduler of one service.
type Core struct {
	scheduler *ptsched.Scheduler
	limiter   *ptquota.Limiter
	jobs      map[ptid.JobID]*ptjob.Job
	// favourMessages is true if the profile of the latest admitted job favours fewer
	// messages over response time.
	favourMessages bool
	effects        []Effect
}

// New returns a core without jobs or upstreams. The limiter is shared by the services
// of an entry.
func New(setting ptsched.Setting, limiter *ptquota.Limiter) *Core {
	return &Core{scheduler: ptsched.New(setting), limiter: limiter, jobs: make(map[ptid.JobID]*ptjob.Job)}
}

// Scheduler returns the scheduler of the service.
func (core *Core) Scheduler() *ptsched.Scheduler { return core.scheduler }

// ReadyTasks returns how many waiting tasks the quotas allow to be placed, regardless of
// the free capacity of the upstreams, and the earliest submission time among the first jobs
// of the profiles with headroom, or [ptid.Never] (see [ptorder.Queue.ReadyTasks]).
func (core *Core) ReadyTasks() (tasks int, first ptid.Instant) {
	return core.scheduler.ReadyTasks(core.limiter.Headroom)
}

// OpenJobs returns how many jobs have not ended.
func (core *Core) OpenJobs() int { return len(core.jobs) }

// takeEffects returns and clears the emitted effects.
func (core *Core) takeEffects() (effects []Effect) {
	effects, core.effects = core.effects, nil
	return effects
}

func (core *Core) emit(effect Effect) { core.effects = append(core.effects, effect) }

// Submit admits a job and places as many of its tasks as possible, or refuses the job.
func (core *Core) Submit(job *ptjob.Job, now ptid.Instant) (refusal ptadmit.Refusal, effects []Effect) {
	profile := job.Profile
	queued := &ptorder.Job{
		ID: job.ID, Profile: profile.Name, Team: profile.Team, SubmittedAt: job.SubmittedAt, StartBy: job.StartBy, Tasks: len(job.Tasks),
	}
	refusal = core.scheduler.Admit(queued, core.limiter.Limit(profile.Name, profile.Team), job.StartBy.Sub(now), now)
	if refusal.Reason != "" {
		return refusal, nil
	}
	core.jobs[job.ID] = job
	core.favourMessages = profile.Favour == ptprofile.FavourMessages
	core.limiter.AddWaiting(profile.Name, profile.Team, queued.Tasks)
	core.scheduler.Enqueue(queued)
	core.place(now)
	return ptadmit.Refusal{}, core.takeEffects()
}

// Place places as many waiting tasks as quotas and free capacity allow.
func (core *Core) Place(now ptid.Instant) (effects []Effect) {
	core.place(now)
	return core.takeEffects()
}

// Tick detects hanging upstreams and places waiting tasks. The owner calls it at a
// fixed interval.
func (core *Core) Tick(now ptid.Instant) (effects []Effect) {
	core.scheduler.DetectHangs(now)
	return core.Place(now)
}

func (core *Core) place(now ptid.Instant) {
	core.scheduler.Place(now, core.limiter.Allows, core.commitPlacement)
	for _, upstream := range core.scheduler.DemandTargets(now, core.limiter.Headroom, core.favourMessages) {
		core.emit(Demand{Upstream: upstream})
	}
}

// commitPlacement confirms a placement to the scheduler. sent is false if the task is no
// longer queued.
func (core *Core) commitPlacement(task ptorder.Task, upstream *ptsched.Upstream) (attempt ptid.Attempt, sent bool) {
	job := core.jobs[task.Job.ID]
	core.limiter.AddWaiting(task.Job.Profile, task.Job.Team, -1)
	if !ptassert.That(job != nil, "a waiting task has an open job", "job", task.Job.ID) {
		return 0, false
	}
	attempt, sent = job.MarkSent(task.Index, agentIncarnation(upstream))
	if !sent {
		return 0, false
	}
	core.limiter.Acquire(task.Job.Profile, task.Job.Team)
	core.emit(Dispatch{Upstream: upstream, Job: job, Index: task.Index, Attempt: attempt})
	return attempt, true
}

func agentIncarnation(upstream *ptsched.Upstream) ptjob.AgentIncarnation {
	return ptjob.AgentIncarnation{Name: upstream.Name, Incarnation: upstream.Incarnation}
}

// SessionOpened records that an upstream has opened a session, and asks the upstream for
// the state of the tasks that are outstanding from an earlier session.
func (core *Core) SessionOpened(agent ptjob.AgentIncarnation, slots int, distance ptplace.Distance, now ptid.Instant) (upstream *ptsched.Upstream, effects []Effect) {
	upstream, orphans := core.scheduler.SessionOpened(agent.Name, agent.Incarnation, slots, distance, now)
	for _, id := range ptid.SortedTasks(orphans) {
		task := orphans[id]
		core.limiter.Release(task.Job.Profile, task.Job.Team)
		core.emit(TaskEnded{ID: id, Reason: ptreason.AgentLost})
		if job := core.jobs[id.Job]; job != nil {
			core.applyTransition(job, job.RecordAgentLost(id.Index, agent.Name, task.Attempt, ptreason.AgentLost))
		}
	}
	for _, id := range ptid.SortedTasks(upstream.Outstanding) {
		task := upstream.Outstanding[id]
		if job := core.jobs[id.Job]; job != nil && now < job.Deadline {
			core.emit(Resolve{Upstream: upstream, TaskRef: TaskRef{ID: id, Attempt: task.Attempt}, StartBy: job.StartBy})
		}
	}
	return upstream, core.takeEffects()
}

// SessionClosed records that the session of an upstream has ended. The tasks that are
// outstanding at the upstream stay outstanding.
func (core *Core) SessionClosed(upstream *ptsched.Upstream, now ptid.Instant) {
	core.scheduler.SessionClosed(upstream, now)
}

// TaskResult is the result of a task that has started: an answer, or a reason for the
// failure.
type TaskResult struct {
	Answer  ptjob.Answer
	Reason  ptreason.Reason
	RunTime time.Duration
}

// TaskFinished handles the result of a task that has started.
func (core *Core) TaskFinished(upstream *ptsched.Upstream, id ptid.TaskID, attempt ptid.Attempt, result TaskResult, now ptid.Instant) (effects []Effect) {
	var schedulerResult ptsched.Result
	switch result.Reason {
	case "":
		schedulerResult = ptsched.Answered{RunTime: result.RunTime}
	case ptreason.Cancelled:
		schedulerResult = ptsched.Cancelled{}
	default:
		schedulerResult = ptsched.Failed{}
	}
	job, found := core.endAttempt(upstream, id, attempt, schedulerResult, result.Reason, now)
	if !found {
		return core.takeEffects()
	}
	agent := agentIncarnation(upstream)
	if result.Reason == "" {
		core.applyTransition(job, job.RecordAnswer(id.Index, agent, attempt, result.Answer))
	} else {
		core.applyTransition(job, job.RecordFailure(id.Index, agent, attempt, result.Reason))
	}
	return core.takeEffects()
}

// endAttempt removes an outstanding task from the scheduler and releases its quota. If
// the attempt is not outstanding, found is false and a LateMessage is emitted.
func (core *Core) endAttempt(upstream *ptsched.Upstream, id ptid.TaskID, attempt ptid.Attempt, result ptsched.Result, reason ptreason.Reason, now ptid.Instant) (job *ptjob.Job, found bool) {
	task, outstanding := core.scheduler.TaskEnded(upstream, id, attempt, result, now)
	if !outstanding {
		core.emit(LateMessage{ID: id})
		return nil, false
	}
	core.limiter.Release(task.Job.Profile, task.Job.Team)
	core.emit(TaskEnded{ID: id, Reason: reason})
	job = core.jobs[id.Job]
	return job, ptassert.That(job != nil, "an outstanding task has an open job", "job", id.Job)
}

// AttemptRefused handles the proof that an attempt has not started and never will. It
// requeues the task, unless the start deadline has passed, the attempt was cancelled, the
// retry limits are reached, or a task of the job has already ended without an answer.
func (core *Core) AttemptRefused(upstream *ptsched.Upstream, id ptid.TaskID, attempt ptid.Attempt, reason ptreason.Reason, now ptid.Instant) (effects []Effect) {
	task := upstream.Outstanding[id]
	result := ptsched.Refused{UpstreamUnreachable: reason == ptreason.UpstreamUnreachable}
	job, found := core.endAttempt(upstream, id, attempt, result, reason, now)
	if !found {
		return core.takeEffects()
	}
	retry := now < job.StartBy && reason != ptreason.Cancelled
	if retry && !core.scheduler.AllowRetry(attempt) {
		retry, reason = false, ptreason.RetryBudget
	}
	transition, requeued := job.RecordRefusal(id.Index, agentIncarnation(upstream), attempt, reason, retry)
	if requeued {
		core.limiter.AddWaiting(task.Job.Profile, task.Job.Team, 1)
		core.scheduler.Requeue(task)
		core.emit(Requeued{ID: id})
	} else {
		core.applyTransition(job, transition)
	}
	return core.takeEffects()
}

// applyTransition carries out the consequences of a transition of a job: the first
// failure withdraws the job's remaining tasks, and the end of the job is reported.
func (core *Core) applyTransition(job *ptjob.Job, transition ptjob.Transition) {
	if transition.FirstFailure && !transition.Ended {
		transition.Ended = core.withdraw(job, ptreason.SiblingFailed, false).Ended
	}
	core.reportEnd(job, transition)
}

func (core *Core) reportEnd(job *ptjob.Job, transition ptjob.Transition) {
	if transition.Ended {
		delete(core.jobs, job.ID)
		core.emit(JobEnded{Job: job})
	}
}

// withdraw removes the waiting tasks of a job from the queue, ends these tasks as not run,
// and asks the upstreams to cancel the outstanding tasks of the job. Unless runningToo is
// set, tasks that have started continue.
func (core *Core) withdraw(job *ptjob.Job, reason ptreason.Reason, runningToo bool) (transition ptjob.Transition) {
	removed := core.scheduler.RemoveJob(job.ID)
	core.limiter.AddWaiting(job.Profile.Name, job.Profile.Team, -removed)
	transition = job.EndQueued(reason)
	for _, upstream := range core.scheduler.Upstreams() {
		var tasks []TaskRef
		for _, id := range ptid.SortedTasks(upstream.Outstanding) {
			task := upstream.Outstanding[id]
			if id.Job == job.ID {
				tasks = append(tasks, TaskRef{ID: id, Attempt: task.Attempt})
			}
		}
		if len(tasks) > 0 {
			core.emit(Cancel{Upstream: upstream, Tasks: tasks, RunningToo: runningToo})
		}
	}
	return transition
}

// Cancel cancels a job, including its running tasks.
func (core *Core) Cancel(id ptid.JobID) (effects []Effect) {
	if job := core.jobs[id]; job != nil {
		core.reportEnd(job, core.withdraw(job, ptreason.Cancelled, true))
	}
	return core.takeEffects()
}

// StartDeadlinePassed removes the waiting tasks of a job from the queue and ends them as
// not run.
func (core *Core) StartDeadlinePassed(id ptid.JobID) (effects []Effect) {
	job := core.jobs[id]
	if job == nil {
		return nil
	}
	removed := core.scheduler.RemoveJob(id)
	core.limiter.AddWaiting(job.Profile.Name, job.Profile.Team, -removed)
	core.applyTransition(job, job.EndQueued(ptreason.StartDeadline))
	return core.takeEffects()
}

// DeadlinePassed ends a job, including its outstanding tasks.
func (core *Core) DeadlinePassed(id ptid.JobID, now ptid.Instant) (effects []Effect) {
	job := core.jobs[id]
	if job == nil {
		return nil
	}
	withdrawn := core.withdraw(job, ptreason.JobDeadline, true)
	for _, upstream := range core.scheduler.Upstreams() {
		for _, taskID := range ptid.SortedTasks(upstream.Outstanding) {
			task := upstream.Outstanding[taskID]
			if taskID.Job == id {
				core.endAttempt(upstream, taskID, task.Attempt, ptsched.Failed{}, ptreason.JobDeadline, now)
			}
		}
	}
	expired := job.Expire()
	core.reportEnd(job, ptjob.Transition{Ended: withdrawn.Ended || expired.Ended})
	core.place(now)
	return core.takeEffects()
}
