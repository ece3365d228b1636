// Package ptjob is the life cycle of a job and its tasks at the entry that owns
// it. It has no I/O.
//
// # How it works
//
//  1. A task is queued, then sent to one agent under one attempt, then answered,
//     failed, notRun or unknown. It goes back from sent to queued only with the
//     proof that the attempt never starts: a refusal or a seal.
//  2. An answer counts only where the task is sent, to that agent, under that
//     attempt. Every other one is late or not this job's, and changes nothing.
//  3. The job ends when every task has ended. It is complete where all are
//     answered, notRun where none was ever started, and failed otherwise. So an
//     answer is never partial, and "not run" is never said of a started task.
//  4. The first task that can't be answered dooms the job: the owner is told to
//     withdraw what has not started, and the job waits for the rest, so that the
//     state of every task is known where it can be.
//  5. At the deadline, sent tasks become unknown and queued ones notRun.
//
// # Usage
//
//	job := ptjob.New(spec)
//	job.Sent(index, agent, attempt)
//	change := job.Answered(index, agent, attempt, answer)
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
	// Sent tasks are with an agent; whether they have started is not known.
	Sent
	// Answered tasks have a whole answer.
	Answered
	// Failed tasks have started and have no answer.
	Failed
	// NotRun tasks have never started and never will.
	NotRun
	// Unknown tasks may have started.
	Unknown
)

// String returns the name of the state at the interface.
func (state State) String() string {
	return [...]string{"queued", "sent", "answered", "failed", "notRun", "unknown"}[state]
}

func (state State) final() bool { return state >= Answered }

// Result is the outcome of a job.
type Result string

const (
	// ResultComplete jobs have an answer for every task.
	ResultComplete Result = "complete"
	// ResultFailed jobs have no answer.
	ResultFailed Result = "failed"
	// ResultNotRun jobs have started no task.
	ResultNotRun Result = "notRun"
)

// AgentIncarnation is one incarnation of an agent.
type AgentIncarnation struct {
	Name        ptid.AgentName
	Incarnation ptid.Incarnation
}

// Payload is the input of a task.
type Payload struct {
	ContentType string
	Data        []byte
}

// Answer is the whole answer to a task.
type Answer struct {
	ContentType string
	Body        []byte
}

// Spec is what a job is made of.
type Spec struct {
	ID          ptid.JobID
	Profile     ptprofile.Profile
	Tasks       []Payload
	SubmittedAt ptid.Instant
	StartBy     ptid.Instant
	Deadline    ptid.Instant
	Traceparent string
}

// TaskReport is the end of a task as callers see it.
type TaskReport struct {
	State  State
	Reason ptreason.Reason
}

// Outcome is the end of a job.
type Outcome struct {
	Result  Result
	Reason  ptreason.Reason
	Answers []Answer
	Tasks   []TaskReport
}

// Transition tells the owner what a call has done.
type Transition struct {
	// Accepted is false where the message was late or not this job's.
	Accepted bool
	// FirstFailure is true once: where the job can no longer complete since this call.
	FirstFailure bool
	// Ended is true once: where the job has ended with this call.
	Ended bool
}

type task struct {
	state   State
	attempt ptid.Attempt
	agent   AgentIncarnation
	reason  ptreason.Reason
}

// Job is one job. It is safe for concurrent use.
type Job struct {
	Spec

	mu        sync.Mutex
	tasks     []task
	answers   []Answer
	remaining int
	doomed    bool
	reason    ptreason.Reason
	late      bool
	outcome   Outcome
	done      chan struct{}
}

// New returns a job whose tasks are all queued.
func New(spec Spec) *Job {
	return &Job{
		Spec: spec, tasks: make([]task, len(spec.Tasks)), answers: make([]Answer, len(spec.Tasks)),
		remaining: len(spec.Tasks), done: make(chan struct{}),
	}
}

// Done is closed when the job has ended.
func (job *Job) Done() <-chan struct{} { return job.done }

// Outcome returns the end of the job; it must have ended.
func (job *Job) Outcome() Outcome {
	job.mu.Lock()
	defer job.mu.Unlock()
	return job.outcome
}

// MarkSent records that a queued task goes to an agent. It is false where the task
// is no longer queued; then it must not be sent.
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

// current returns the task if it is sent to this agent under this attempt.
func (job *Job) current(index ptid.TaskIndex, agent AgentIncarnation, attempt ptid.Attempt) *task {
	if int(index) >= len(job.tasks) {
		return nil
	}
	task := &job.tasks[index]
	if task.state != Sent || task.agent != agent || task.attempt != attempt {
		return nil
	}
	return task
}

// RecordAnswer records the whole answer to a sent task.
func (job *Job) RecordAnswer(index ptid.TaskIndex, agent AgentIncarnation, attempt ptid.Attempt, answer Answer) (change Transition) {
	job.mu.Lock()
	defer job.mu.Unlock()
	task := job.current(index, agent, attempt)
	if task == nil {
		return Transition{}
	}
	job.answers[index] = answer
	return job.end(task, Answered, "")
}

// RecordFailure records that a sent task has started and ended without an answer.
func (job *Job) RecordFailure(index ptid.TaskIndex, agent AgentIncarnation, attempt ptid.Attempt, reason ptreason.Reason) (change Transition) {
	job.mu.Lock()
	defer job.mu.Unlock()
	task := job.current(index, agent, attempt)
	if task == nil {
		return Transition{}
	}
	return job.end(task, Failed, reason)
}

// RecordRefusal records the proof that a sent task has not started. again says
// whether it is to be queued anew; otherwise it ends as notRun.
func (job *Job) RecordRefusal(index ptid.TaskIndex, agent AgentIncarnation, attempt ptid.Attempt, reason ptreason.Reason, again bool) (change Transition, requeued bool) {
	job.mu.Lock()
	defer job.mu.Unlock()
	task := job.current(index, agent, attempt)
	if task == nil {
		return Transition{}, false
	}
	if again && !job.doomed {
		task.state = Queued
		return Transition{Accepted: true}, true
	}
	return job.end(task, NotRun, reason), false
}

// RecordAgentLost records that nobody can tell what became of a task that was sent to some
// incarnation of an agent which has ended.
func (job *Job) RecordAgentLost(index ptid.TaskIndex, name ptid.AgentName, attempt ptid.Attempt, reason ptreason.Reason) (change Transition) {
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

// EndQueued ends all queued tasks as notRun. The owner calls it when the job is
// doomed, cancelled or past startBy, after it has taken them out of its queue.
func (job *Job) EndQueued(reason ptreason.Reason) (change Transition) {
	job.mu.Lock()
	defer job.mu.Unlock()
	return job.endAll(Queued, NotRun, reason)
}

// Expire ends every open task at the deadline.
func (job *Job) Expire() (change Transition) {
	job.mu.Lock()
	defer job.mu.Unlock()
	job.late = true
	queued := job.endAll(Queued, NotRun, ptreason.JobDeadline)
	sent := job.endAll(Sent, Unknown, ptreason.JobDeadline)
	return Transition{
		Accepted:     queued.Accepted || sent.Accepted,
		FirstFailure: queued.FirstFailure || sent.FirstFailure,
		Ended:        queued.Ended || sent.Ended,
	}
}

func (job *Job) endAll(from, to State, reason ptreason.Reason) (change Transition) {
	for i := range job.tasks {
		if job.tasks[i].state != from {
			continue
		}
		ended := job.end(&job.tasks[i], to, reason)
		change.Accepted = true
		change.FirstFailure = change.FirstFailure || ended.FirstFailure
		change.Ended = change.Ended || ended.Ended
	}
	return change
}

// end moves a task into a final state.
func (job *Job) end(task *task, state State, reason ptreason.Reason) (change Transition) {
	ptassert.That(!task.state.final() && state.final(), "a task ends once", "job", job.ID)
	task.state, task.reason = state, reason
	job.remaining--
	change.Accepted = true
	if state != Answered && !job.doomed {
		job.doomed, job.reason = true, reason
		change.FirstFailure = true
	}
	if job.remaining == 0 {
		job.conclude()
		change.Ended = true
	}
	return change
}

func (job *Job) conclude() {
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
		job.outcome = Outcome{Result: ResultNotRun, Reason: job.reason, Tasks: reports}
	default:
		job.outcome = Outcome{Result: ResultFailed, Reason: job.failure(), Tasks: reports}
	}
	ptassert.That(job.outcome.Result != ResultComplete || len(job.outcome.Answers) == len(job.tasks),
		"a complete job has every answer", "job", job.ID)
	job.answers = nil
	close(job.done)
}

// failure returns the reason of a failed job: the deadline, or that of its first
// task that can't be answered.
func (job *Job) failure() ptreason.Reason {
	if job.late {
		return ptreason.JobDeadline
	}
	return job.reason
}
