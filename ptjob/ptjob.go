// Package ptjob implements the life cycle of a job and its tasks at the entry that owns
// the job. It has no I/O.
//
// # How it works
//
//  1. A task is queued, then sent to one agent under one attempt, then answered, failed,
//     notRun or unknown. It returns from sent to queued only after the proof that the
//     attempt never starts: it was refused or sealed (see package ptstart).
//  2. An answer is accepted only if the task is in the state sent, and the answer is from
//     the agent and for the attempt that the task was sent with. Every other answer is late
//     or belongs to another job, and changes nothing.
//  3. The job ends when every task has ended. Its result is complete if all tasks are
//     answered, notRun if no task was ever started, and failed otherwise. Answers are thus
//     never partial, and a started task is never reported as not run.
//  4. When a task has ended without an answer, the result of the job can no longer be
//     complete. The owner is told to withdraw the tasks that have not started. The job
//     waits until all its tasks have ended, so that the final state of as many tasks as
//     possible is known.
//  5. At the deadline, sent tasks become unknown and queued tasks notRun.
//
// # Usage
//
//	job := ptjob.New(spec)
//	attempt, ok := job.MarkSent(index, agent)
//	transition := job.RecordAnswer(index, agent, attempt, answer)
//	<-job.Done(); outcome := job.Outcome()
package ptjob

import (
	"sync"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptreason"
)

// State is the state of a task.
type State uint8

const (
	// Queued tasks wait at the entry.
	Queued State = iota
	// Sent tasks were sent to an agent; it is not known whether they have started.
	Sent
	// Answered tasks have a complete answer.
	Answered
	// Failed tasks have started and ended without an answer.
	Failed
	// NotRun tasks have never started and never will.
	NotRun
	// Unknown tasks may have started, and their result can't be learned.
	Unknown
)

// String returns the name of the state as it is reported to callers.
func (state State) String() string {
	return [...]string{"queued", "sent", "answered", "failed", "notRun", "unknown"}[state]
}

func (state State) final() bool { return state >= Answered }

// Result is the result of a job.
type Result string

const (
	// ResultComplete means that every task was answered.
	ResultComplete Result = "complete"
	// ResultFailed means that not all tasks were answered, and that at least one task has
	// started or may have started.
	ResultFailed Result = "failed"
	// ResultNotRun means that no task of the job has started.
	ResultNotRun Result = "notRun"
)

// AgentIncarnation identifies one incarnation of an agent.
type AgentIncarnation struct {
	Name        ptid.AgentName
	Incarnation ptid.Incarnation
}

// Payload is the input of a task.
type Payload struct {
	ContentType string
	Data        []byte
}

// Answer is the complete answer to a task.
type Answer struct {
	ContentType string
	Body        []byte
}

// Spec is the specification of a job.
type Spec struct {
	ID          ptid.JobID
	Profile     ptprofile.Profile
	Tasks       []Payload
	SubmittedAt ptid.Instant
	StartBy     ptid.Instant
	Deadline    ptid.Instant
	Traceparent string
}

// TaskReport is the final state of a task, as reported to the caller.
type TaskReport struct {
	State  State
	Reason ptreason.Reason
}

// Outcome is the final state of a job.
type Outcome struct {
	Result  Result
	Reason  ptreason.Reason
	Answers []Answer
	Tasks   []TaskReport
}

// Transition reports to the owner what a call has changed.
type Transition struct {
	// Accepted is false if the call has changed nothing: the message was late, the message
	// belongs to another job, or there was no task to end.
	Accepted bool
	// FirstFailure is true if the call has ended a task without an answer, and no earlier
	// call has done so for this job.
	FirstFailure bool
	// Ended is true only for the call in which the job ended.
	Ended bool
}

type task struct {
	state   State
	attempt ptid.Attempt
	agent   AgentIncarnation
	reason  ptreason.Reason
}

// Job is a job with its tasks. It is safe for concurrent use.
type Job struct {
	Spec

	mu                 sync.Mutex
	tasks              []task
	answers            []Answer
	openTasks          int
	failing            bool
	firstFailureReason ptreason.Reason
	deadlinePassed     bool
	outcome            Outcome
	done               chan struct{}
}

// New returns a job whose tasks are all queued.
func New(spec Spec) *Job {
	return &Job{
		Spec: spec, tasks: make([]task, len(spec.Tasks)), answers: make([]Answer, len(spec.Tasks)),
		openTasks: len(spec.Tasks), done: make(chan struct{}),
	}
}

// Done returns a channel that is closed when the job has ended.
func (job *Job) Done() <-chan struct{} { return job.done }

// Outcome returns the outcome of the job. It must be called only after the job has ended.
func (job *Job) Outcome() Outcome {
	job.mu.Lock()
	defer job.mu.Unlock()
	return job.outcome
}

// MarkSent changes a queued task to sent and returns its attempt number. ok is false if the
// task is no longer queued; the caller must not send the task in this case.
func (job *Job) MarkSent(index ptid.TaskIndex, agent AgentIncarnation) (attempt ptid.Attempt, ok bool) {
	job.mu.Lock()
	defer job.mu.Unlock()
	task := &job.tasks[index]
	if task.state != Queued {
		return 0, false
	}
	task.state, task.agent = Sent, agent
	task.attempt++
	return task.attempt, true
}

// sentTask returns the task if its state is sent and it was sent to this agent under this
// attempt, and nil otherwise.
func (job *Job) sentTask(index ptid.TaskIndex, agent AgentIncarnation, attempt ptid.Attempt) *task {
	if int(index) >= len(job.tasks) {
		return nil
	}
	task := &job.tasks[index]
	if task.state != Sent || task.agent != agent || task.attempt != attempt {
		return nil
	}
	return task
}

// RecordAnswer records the complete answer to a sent task.
func (job *Job) RecordAnswer(index ptid.TaskIndex, agent AgentIncarnation, attempt ptid.Attempt, answer Answer) (transition Transition) {
	job.mu.Lock()
	defer job.mu.Unlock()
	task := job.sentTask(index, agent, attempt)
	if task == nil {
		return Transition{}
	}
	job.answers[index] = answer
	return job.end(task, Answered, "")
}

// RecordFailure records that a sent task has started and ended without an answer.
func (job *Job) RecordFailure(index ptid.TaskIndex, agent AgentIncarnation, attempt ptid.Attempt, reason ptreason.Reason) (transition Transition) {
	job.mu.Lock()
	defer job.mu.Unlock()
	task := job.sentTask(index, agent, attempt)
	if task == nil {
		return Transition{}
	}
	return job.end(task, Failed, reason)
}

// RecordRefusal records the proof that a sent task has not started. If retry is set and no
// task of the job has ended without an answer, the task is queued again. Otherwise the task
// ends as notRun.
func (job *Job) RecordRefusal(index ptid.TaskIndex, agent AgentIncarnation, attempt ptid.Attempt, reason ptreason.Reason, retry bool) (transition Transition, requeued bool) {
	job.mu.Lock()
	defer job.mu.Unlock()
	task := job.sentTask(index, agent, attempt)
	if task == nil {
		return Transition{}, false
	}
	if retry && !job.failing {
		task.state = Queued
		return Transition{Accepted: true}, true
	}
	return job.end(task, NotRun, reason), false
}

// RecordAgentLost records that the final state of a sent task can't be learned, because the
// task was sent to an incarnation of the agent that has ended.
func (job *Job) RecordAgentLost(index ptid.TaskIndex, name ptid.AgentName, attempt ptid.Attempt, reason ptreason.Reason) (transition Transition) {
	job.mu.Lock()
	defer job.mu.Unlock()
	if int(index) >= len(job.tasks) {
		return Transition{}
	}
	task := &job.tasks[index]
	if task.state != Sent || task.agent.Name != name || task.attempt != attempt {
		return Transition{}
	}
	return job.end(task, Unknown, reason)
}

// EndQueued ends all queued tasks as notRun. On the first failure, a cancellation or a
// deadline, the owner removes the tasks from its queue and then calls EndQueued.
func (job *Job) EndQueued(reason ptreason.Reason) (transition Transition) {
	job.mu.Lock()
	defer job.mu.Unlock()
	return job.endAll(Queued, NotRun, reason)
}

// Expire ends the job at its deadline: queued tasks end as notRun, sent tasks as unknown.
func (job *Job) Expire() (transition Transition) {
	job.mu.Lock()
	defer job.mu.Unlock()
	job.deadlinePassed = true
	queued := job.endAll(Queued, NotRun, ptreason.JobDeadline)
	sent := job.endAll(Sent, Unknown, ptreason.JobDeadline)
	return Transition{
		Accepted:     queued.Accepted || sent.Accepted,
		FirstFailure: queued.FirstFailure || sent.FirstFailure,
		Ended:        queued.Ended || sent.Ended,
	}
}

func (job *Job) endAll(from, to State, reason ptreason.Reason) (transition Transition) {
	for i := range job.tasks {
		if job.tasks[i].state != from {
			continue
		}
		ended := job.end(&job.tasks[i], to, reason)
		transition.Accepted = true
		transition.FirstFailure = transition.FirstFailure || ended.FirstFailure
		transition.Ended = transition.Ended || ended.Ended
	}
	return transition
}

// end changes a task to a final state.
func (job *Job) end(task *task, state State, reason ptreason.Reason) (transition Transition) {
	ptassert.That(!task.state.final() && state.final(), "a task ends only once", "job", job.ID)
	task.state, task.reason = state, reason
	job.openTasks--
	transition.Accepted = true
	if state != Answered && !job.failing {
		job.failing, job.firstFailureReason = true, reason
		transition.FirstFailure = true
	}
	if job.openTasks == 0 {
		job.finish()
		transition.Ended = true
	}
	return transition
}

func (job *Job) finish() {
	counts := [Unknown + 1]int{}
	reports := make([]TaskReport, len(job.tasks))
	for i := range job.tasks {
		counts[job.tasks[i].state]++
		reports[i] = TaskReport{State: job.tasks[i].state, Reason: job.tasks[i].reason}
	}
	switch len(job.tasks) {
	case counts[Answered]:
		job.outcome = Outcome{Result: ResultComplete, Answers: job.answers, Tasks: reports}
	case counts[NotRun]:
		job.outcome = Outcome{Result: ResultNotRun, Reason: job.firstFailureReason, Tasks: reports}
	default:
		job.outcome = Outcome{Result: ResultFailed, Reason: job.failureReason(), Tasks: reports}
	}
	ptassert.That(job.outcome.Result != ResultComplete || len(job.outcome.Answers) == len(job.tasks),
		"a complete job has every answer", "job", job.ID)
	job.answers = nil
	close(job.done)
}

// failureReason returns the reason of a failed job: [ptreason.JobDeadline] if the deadline
// has passed, and otherwise the reason with which a task first ended without an answer.
func (job *Job) failureReason() ptreason.Reason {
	if job.deadlinePassed {
		return ptreason.JobDeadline
	}
	return job.firstFailureReason
}
