// Package ptgraph implements the life cycle of a job that is a graph of steps, at the entry
// that owns the job. It has no I/O.
//
// # How it works
//
//  1. A step is ready when all tasks of the steps listed in its After field are done.
//  2. A task is pending, then placed under a rising run number, then done. After a run
//     that did not complete the task, the task is pending again. Only a failed run uses up
//     an attempt; a run that was stopped, lost or never started does not.
//  3. A task that has failed as often as its queue allows fails the job. So does a task that
//     crashes its workers. A worker that is only silent has not crashed: its loss is taken back
//     once it responds (crash.go).
//  4. A job ends when all of its tasks are done, when it fails, or when it is given up. The
//     owner must then stop the runs that are still placed.
//  5. A refusal states that no run of the job has started or will start. A job can
//     therefore be refused only while [Job.CertainlyUnstarted] is true.
//  6. A run whose agent can't be reached is abandoned: it has certainly ended, but its end may
//     be that of a done task. Once the task has been placed again, that end is void
//     (abandoned.go).
//
// # Usage
//
//	job, err := ptgraph.New(spec)
//	for _, task := range job.Ready() { run := job.Place(task) … }
//	change := job.RunEnded(end)
package ptgraph

import (
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// MaxTasks bounds the number of tasks of a job. The largest jobs that the system is
	// designed for have 220 tasks.
	MaxTasks = 2000
	// MaxDemand bounds the demand of a task for each resource. It is far above the capacity of
	// any worker, but small enough that the sum of the demands of all tasks of many jobs does not
	// overflow.
	MaxDemand = 1 << 32
	// runNumberSkip is added to the run number of a task after a worker has rejected a run
	// because a run with the same or a higher number has ended there. The ended run was started
	// by another entry: a caller that submits the job again may reach another entry, and each
	// entry numbers its runs independently.
	runNumberSkip = 16
)

// Step is a part of a job whose tasks all have the same properties.
type Step struct {
	Count    int           `json:"count"`
	Demand   ptrun.Demand  `json:"demand"`
	Estimate time.Duration `json:"estimateNanos,omitempty"`
	// After lists the earlier steps whose tasks must be done before this step starts.
	After []ptrun.StepIndex `json:"after,omitempty"`
	// Label is a label that the worker must have; empty allows any worker.
	Label string `json:"label,omitempty"`
	// PreferredLabel is the label of the rack that holds the step's data; on other workers the
	// tasks take longer.
	PreferredLabel string `json:"nearLabel,omitempty"`
	// MaxPerWorker bounds how many tasks of the step one worker may run at a time; zero means
	// no bound.
	MaxPerWorker int `json:"mostPerWorker,omitempty"`
	// Gang tasks work only together: they are placed, run and ended as a unit.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks take longer if they run on several racks.
	SameRack    bool `json:"sameRack,omitempty"`
	Checkpoints bool `json:"checkpoints,omitempty"`
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled; they are started again whenever a run
	// ends.
	LongRunning bool `json:"endless,omitempty"`
	// Opportunistic tasks use the CPU time that other tasks leave idle; their CPU demand is
	// not reserved.
	Opportunistic bool `json:"filling,omitempty"`
	// Image names the program that the tasks run; tasks with the same image behave alike.
	Image string `json:"image,omitempty"`
	// TailLatencyTarget bounds the tail latency of tasks that serve users' requests.
	TailLatencyTarget time.Duration `json:"tailTargetNanos,omitempty"`
	// MaxUnavailable is how many long-running tasks the system itself may interrupt at a time.
	MaxUnavailable int `json:"mayMiss,omitempty"`
}

// Reservation returns the capacity that a task of the step reserves on its worker.
func (step *Step) Reservation() ptrun.Demand {
	reservation := step.Demand
	if step.Opportunistic {
		reservation.CPU = 0
	}
	return reservation
}

// Spec describes a job.
type Spec struct {
	ID      ptid.JobID
	Payload string
	Steps   []Step
	// MaxAttempts is how many failed runs of one task fail the job.
	MaxAttempts int
	// Occurrence numbers the repetitions of a periodic job.
	Occurrence ptrun.Occurrence
	// RunNumberBase is a lower bound: all run numbers of the job are above it. A later owner
	// of the job thus uses higher run numbers than all earlier owners.
	RunNumberBase ptrun.Number
	// Durable jobs survive their owner. Their tasks are placed again after an abandoned run only
	// once the log holds the abandonment (abandoned.go).
	Durable bool
	// UnknownRuns means that earlier owners may have started runs whose results are unknown. All of
	// them have ended.
	UnknownRuns bool
}

// State is the life-cycle state of a job.
type State uint8

const (
	// Pending jobs have not started a run.
	Pending State = iota
	// Running jobs have started a run.
	Running
	// Completed jobs have done all of their tasks.
	Completed
	// Failed jobs have a task that has used up its attempts.
	Failed
	// GivenUp jobs were cancelled, or can no longer end in time.
	GivenUp
)

// String returns the name of the state.
func (state State) String() string {
	return [...]string{"pending", "running", "completed", "failed", "givenUp"}[state]
}

// Ended reports whether the state is final.
func (state State) Ended() bool { return state >= Completed }

// Task is a task of a step.
type Task struct {
	ID     ptrun.TaskID
	Step   *Step
	placed bool
	done   bool
	// runNumber is the number of the current run, or of the latest one. It may be lower than
	// highestRun, the highest number of any run, if an older run was adopted.
	runNumber, highestRun ptrun.Number
	// highestStarted is the highest number of the runs that have ended and may have started.
	highestStarted ptrun.Number
	// failures counts the failed runs. failedRun is the highest number of these runs.
	failures  int
	failedRun ptrun.Number
	// losses contains the runs that were lost with their workers.
	losses      []RunLoss
	abandonment abandonment
	// TimedOutRuns counts the runs that were stopped because they took far longer than expected.
	// The timeout of the next run grows with this count.
	TimedOutRuns int
	// Checkpoint is the newest checkpoint that a run of the task has left.
	Checkpoint ptrun.Checkpoint
}

// CurrentRun returns the current run of a placed task.
func (task *Task) CurrentRun() ptrun.ID { return ptrun.ID{Task: task.ID, Number: task.runNumber} }

// Pending reports whether the task is waiting to be placed.
func (task *Task) Pending() bool { return !task.placed && !task.done }

// Failures returns how many runs of the task have failed.
func (task *Task) Failures() int { return task.failures }

// Job is the state of one job. It is not safe for concurrent use.
type Job struct {
	Spec
	state State
	tasks [][]Task
	// unfinished is the number of tasks that are not done, by step. remaining is the sum of
	// unfinished over all steps.
	unfinished []int
	remaining  int
	// started is true once a run of the job is known to have started, and hasLosses once a run was
	// lost with its worker.
	started, hasLosses bool
	// abandonments counts the abandoned runs, and savedAbandonments those that the log holds.
	abandonments, savedAbandonments int
	// endedVoidRun is the VoidRun of a job that had ended when it was restored.
	endedVoidRun ptrun.Number
}

// New returns a job whose tasks are all pending.
func New(spec Spec) (job *Job, err error) {
	defer func() { err = errors.Wrapf(err, "job %s", spec.ID) }()
	if len(spec.Steps) == 0 {
		return nil, errors.New("a job needs a step")
	}
	job = &Job{Spec: spec, tasks: make([][]Task, len(spec.Steps)), unfinished: make([]int, len(spec.Steps))}
	for i := range job.Steps {
		step := &job.Steps[i]
		if step.Count < 1 || step.Count > MaxTasks-job.remaining {
			return nil, errors.Errorf("step %d: %d tasks are not allowed", i, step.Count)
		}
		if step.Demand.CPU < 0 || step.Demand.Memory < 0 || step.Demand.Accelerators < 0 {
			return nil, errors.Errorf("step %d: a demand is negative", i)
		}
		if step.Demand.CPU > MaxDemand || step.Demand.Memory > MaxDemand || step.Demand.Accelerators > MaxDemand {
			return nil, errors.Errorf("step %d: a demand is too large", i)
		}
		for _, predecessor := range step.After {
			if int(predecessor) >= i {
				return nil, errors.Errorf("step %d comes after step %d, which is not an earlier one", i, predecessor)
			}
		}
		job.tasks[i] = make([]Task, step.Count)
		for index := range job.tasks[i] {
			job.tasks[i][index] = Task{Step: step, ID: ptrun.TaskID{Job: spec.ID, Occurrence: spec.Occurrence, Step: ptrun.StepIndex(i), Index: ptid.TaskIndex(index)}}
		}
		job.unfinished[i] = step.Count
		job.remaining += step.Count
	}
	if spec.UnknownRuns {
		job.AbandonUnknownRuns()
		job.savedAbandonments = job.abandonments
	}
	return job, nil
}

// State returns the life-cycle state of the job.
func (job *Job) State() State { return job.state }

// CertainlyUnstarted reports whether it is certain that no run of the job has started: no run
// is known to have started, and none is placed.
func (job *Job) CertainlyUnstarted() bool { return !job.started && job.placedTasks() == 0 }

// Started reports whether a run of the job is known to have started.
func (job *Job) Started() bool { return job.started }

func (job *Job) placedTasks() (placed int) {
	for _, tasks := range job.tasks {
		for i := range tasks {
			if tasks[i].placed {
				placed++
			}
		}
	}
	return placed
}

// Ready returns the pending tasks of the steps that may run now.
func (job *Job) Ready() (ready []*Task) {
	if job.state.Ended() {
		return nil
	}
	for i := range job.Steps {
		if job.unfinished[i] == 0 || !job.isReady(i) {
			continue
		}
		if job.Steps[i].Gang && len(job.GangRuns(ptrun.StepIndex(i))) > 0 {
			// A gang is placed again only after all members of its previous run have ended.
			continue
		}
		first := len(ready)
		for index := range job.tasks[i] {
			if task := &job.tasks[i][index]; task.Pending() && !job.awaitsSave(task) && !task.IsHeld() {
				ready = append(ready, task)
			}
		}
		if job.Steps[i].Gang && len(ready)-first < job.Steps[i].Count {
			ready = ready[:first]
		}
	}
	return ready
}

func (job *Job) isReady(step int) bool {
	for _, predecessor := range job.Steps[step].After {
		if job.unfinished[predecessor] > 0 {
			return false
		}
	}
	return true
}

// Task returns the task with the given ID; nil if the job has no such task.
func (job *Job) Task(id ptrun.TaskID) *Task {
	if int(id.Step) >= len(job.tasks) || int(id.Index) >= len(job.tasks[id.Step]) {
		return nil
	}
	return &job.tasks[id.Step][id.Index]
}

// Place marks a pending task as placed and returns its next run.
func (job *Job) Place(task *Task) (run ptrun.ID) {
	task.placed = true
	task.runNumber = max(task.highestRun, job.RunNumberBase) + 1
	task.highestRun = task.runNumber
	return task.CurrentRun()
}

// PlaceGang marks all tasks of a gang step as placed and returns their runs, which share the
// next run number.
func (job *Job) PlaceGang(step ptrun.StepIndex) (runs []ptrun.ID) {
	tasks := job.tasks[step]
	highest := job.RunNumberBase
	for i := range tasks {
		highest = max(highest, tasks[i].highestRun)
	}
	for i := range tasks {
		tasks[i].placed, tasks[i].runNumber, tasks[i].highestRun = true, highest+1, highest+1
		runs = append(runs, tasks[i].CurrentRun())
	}
	return runs
}

// Adopt takes over a run that was started by an earlier owner of the job. It sets the run as
// the current run of its task, and reports whether the task accepts the run.
func (job *Job) Adopt(run ptrun.ID) (adopted bool) {
	task := job.Task(run.Task)
	if task == nil || task.done || task.placed || job.state.Ended() {
		return false
	}
	task.placed, task.runNumber, job.started = true, run.Number, true
	task.highestRun = max(task.highestRun, run.Number)
	task.adopted(run.Number)
	job.markRunning()
	return true
}

// AdoptEnd processes the end of a run that an earlier owner has started and whose end has not
// been recorded. Agents repeat an end until its owner has stored it, so a failure may have been
// counted before.
func (job *Job) AdoptEnd(end ptrun.End) (change Change) {
	task := job.Task(end.Run.Task)
	if task != nil && task.placed && task.runNumber != end.Run.Number && isLoss(end) && !job.state.Ended() {
		// The task has been started again since.
		job.recordLoss(task, end)
		return Change{GivenUp: job.giveUpIfCrashing(task), JobEnded: job.state.Ended()}
	}
	counted := task != nil && end.Result == ptrun.Failed && end.Run.Number <= task.failedRun
	if counted || end.Result == ptrun.NeverStarted || !job.Adopt(end.Run) {
		return Change{}
	}
	return job.RunEnded(end)
}

func (job *Job) markRunning() {
	if job.state == Pending {
		job.state = Running
	}
}

// PlacedRuns returns the runs that have not ended.
func (job *Job) PlacedRuns() (runs []ptrun.ID) {
	for _, tasks := range job.tasks {
		for i := range tasks {
			if tasks[i].placed {
				runs = append(runs, tasks[i].CurrentRun())
			}
		}
	}
	return runs
}

// Change describes the effect of a run's end on its job.
type Change struct {
	// Accepted is false if the run is not the current run of its task.
	Accepted bool
	// JobEnded is true if this end of a run has ended the job.
	JobEnded bool
	// GivenUp is true if the job has ended as failed because the task crashes its workers.
	GivenUp bool
	// Abandoned is true if the result of the run is unknown.
	Abandoned bool
}

// RunEnded processes the end of a run.
func (job *Job) RunEnded(end ptrun.End) (change Change) {
	task := job.Task(end.Run.Task)
	if task == nil || !task.placed || task.runNumber != end.Run.Number {
		return Change{}
	}
	task.placed = false
	change.Accepted = true
	if end.Result != ptrun.NeverStarted {
		job.started = true
		job.markRunning()
		task.highestStarted = max(task.highestStarted, end.Run.Number)
	}
	if end.Checkpoint != "" {
		task.Checkpoint = end.Checkpoint
	}
	switch end.Result {
	case ptrun.Done:
		job.taskDone(task)
	case ptrun.Failed:
		task.failures++
		task.failedRun = max(task.failedRun, end.Run.Number)
	case ptrun.NeverStarted:
		if end.Reason == ptrun.ReasonHigherRunEnded {
			task.highestRun += runNumberSkip
		}
	case ptrun.Lost:
		if isLoss(end) {
			job.recordLoss(task, end)
		}
		if change.Abandoned = isAbandonment(end); change.Abandoned {
			job.abandon(task, end.Run.Number)
		}
	case ptrun.Stopped:
	}
	if job.state.Ended() {
		return change
	}
	switch {
	case job.remaining == 0:
		job.state, change.JobEnded = Completed, true
	case !task.Step.LongRunning && task.failures >= max(1, job.MaxAttempts):
		job.state, change.JobEnded = Failed, true
	case job.giveUpIfCrashing(task):
		change.JobEnded, change.GivenUp = true, true
	}
	return change
}

// taskDone marks a task as done. If the task is a member of a gang, taskDone marks all tasks
// of the gang as done. Long-running tasks are never marked as done.
func (job *Job) taskDone(task *Task) {
	step := task.ID.Step
	if task.Step.LongRunning {
		return
	}
	if !task.Step.Gang {
		task.done = true
		job.unfinished[step]--
		job.remaining--
		return
	}
	for i := range job.tasks[step] {
		job.tasks[step][i].done = true
	}
	job.remaining -= job.unfinished[step]
	job.unfinished[step] = 0
}

// GangRuns returns the runs of a gang step that have not ended.
func (job *Job) GangRuns(step ptrun.StepIndex) (runs []ptrun.ID) {
	for i := range job.tasks[step] {
		if task := &job.tasks[step][i]; task.placed {
			runs = append(runs, task.CurrentRun())
		}
	}
	return runs
}

// GangCheckpoint returns the newest checkpoint that any member of a gang step has left.
func (job *Job) GangCheckpoint(step ptrun.StepIndex) (checkpoint ptrun.Checkpoint) {
	newest := ptrun.Number(0)
	for i := range job.tasks[step] {
		if task := &job.tasks[step][i]; task.Checkpoint != "" && task.runNumber >= newest {
			checkpoint, newest = task.Checkpoint, task.runNumber
		}
	}
	return checkpoint
}

// GiveUp ends the job unless it has already ended, and reports whether it has ended the job.
func (job *Job) GiveUp() (ended bool) {
	if job.state.Ended() {
		return false
	}
	job.state = GivenUp
	return true
}

// CriticalPath returns the estimated duration of the longest chain of unfinished steps.
func (job *Job) CriticalPath() (longest time.Duration) {
	ends := make([]time.Duration, len(job.Steps))
	for i := range job.Steps {
		for _, predecessor := range job.Steps[i].After {
			ends[i] = max(ends[i], ends[predecessor])
		}
		if job.unfinished[i] > 0 {
			ends[i] += job.Steps[i].Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// RemainingWork returns the estimated CPU time of the unfinished tasks, in core-seconds.
func (job *Job) RemainingWork() (coreSeconds float64) {
	for i := range job.Steps {
		step := &job.Steps[i]
		coreSeconds += float64(job.unfinished[i]) * step.Estimate.Seconds() * float64(step.Demand.CPU) / 1000
	}
	return coreSeconds
}
