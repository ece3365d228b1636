// Package ptgraph is the life cycle of a job that is a graph of steps, at the entry
// that owns it. It has no I/O.
//
// # How it works
//
//  1. A step is ready when every task of the steps that it comes after is done.
//  2. A task is pending, then placed under a run number that rises, then done. A run
//     that failed uses up an attempt; every other end puts the task back at no cost.
//  3. A task that has failed as often as the queue allows fails the job.
//  4. A job ends when all tasks are done, when it fails, or when it is given up. The
//     owner stops what is still placed.
//  5. A job that has never had a run that may have started is untouched: refusing it
//     is true. [Job.CertainlyUnstarted] says so.
//
// # Usage
//
//	job, err := ptgraph.New(spec)
//	for _, task := range job.Ready() { number := job.Placed(task) … }
//	change := job.Ended(end)
package ptgraph

import (
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// MaxTasks bounds the tasks of a job; the target size has jobs of 220.
	MaxTasks = 2000
	// MaxDemand bounds what a task may ask for of each resource, far above any worker's
	// capacity; sums over all tasks of many jobs stay in range.
	MaxDemand = 1 << 32
	// renumber is how far a run number jumps where a worker has seen a higher run:
	// a caller that submits again may reach another entry.
	renumber = 16
)

// Step is a part of a job whose tasks are alike.
type Step struct {
	Count    int           `json:"count"`
	Demand   ptrun.Demand  `json:"demand"`
	Estimate time.Duration `json:"estimateNanos,omitempty"`
	// After lists earlier steps that must be done first.
	After []ptrun.StepIndex `json:"after,omitempty"`
	// Label is one that the worker must have; empty means any.
	Label string `json:"label,omitempty"`
	// PreferredLabel is the rack that holds the data; elsewhere the tasks take longer.
	PreferredLabel string `json:"nearLabel,omitempty"`
	// MaxPerWorker bounds how many tasks of the step one worker may run; zero means any.
	MaxPerWorker int `json:"mostPerWorker,omitempty"`
	// Gang tasks work only together; they are placed, run and end as one.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks take longer where they run on several racks.
	SameRack    bool `json:"sameRack,omitempty"`
	Checkpoints bool `json:"checkpoints,omitempty"`
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled, and are started again however they end.
	LongRunning bool `json:"endless,omitempty"`
	// Opportunistic tasks take the processor time that others leave; it is not counted.
	Opportunistic bool `json:"filling,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TailLatencyTarget bounds the tail of the response times of tasks that serve users.
	TailLatencyTarget time.Duration `json:"tailTargetNanos,omitempty"`
	// MaxUnavailable is how many endless tasks the system itself may keep from work at a time.
	MaxUnavailable int `json:"mayMiss,omitempty"`
}

// Reservation returns what a task of the step holds of a worker's capacity.
func (step *Step) Reservation() ptrun.Demand {
	room := step.Demand
	if step.Opportunistic {
		room.CPU = 0
	}
	return room
}

// Spec is what a job is made of.
type Spec struct {
	ID      ptid.JobID
	Payload string
	Steps   []Step
	// MaxAttempts is how many failed runs of one task fail the job.
	MaxAttempts int
	// Occurrence numbers the repetitions of a timed job.
	Occurrence ptrun.Occurrence
	// RunNumberBase is the number below which no run of the job is started: a later owner
	// of the job starts above all runs of earlier ones.
	RunNumberBase ptrun.Number
}

// State is the state of a job.
type State uint8

const (
	// Pending jobs have started nothing.
	Pending State = iota
	// Running jobs have started something.
	Running
	// Completed jobs have done all tasks.
	Completed
	// Failed jobs have a task that failed too often.
	Failed
	// GivenUp jobs are not wanted any more, or can't be done in time.
	GivenUp
)

// String returns the name of the state, for logs.
func (state State) String() string {
	return [...]string{"pending", "running", "completed", "failed", "givenUp"}[state]
}

// Ended reports whether the state is final.
func (state State) Ended() bool { return state >= Completed }

// Task is one member of a step.
type Task struct {
	ID     ptrun.TaskID
	Step   *Step
	placed bool
	done   bool
	number ptrun.Number
	fails  int
	// TimedOutRuns counts the runs that were stopped since they took far longer than
	// expected; each one makes the next be waited for longer.
	TimedOutRuns int
	// Checkpoint is the newest that a run of the task has left.
	Checkpoint ptrun.Checkpoint
}

// CurrentRun returns the present run of a placed task.
func (task *Task) CurrentRun() ptrun.ID { return ptrun.ID{Task: task.ID, Number: task.number} }

// Pending reports whether the task waits for a place.
func (task *Task) Pending() bool { return !task.placed && !task.done }

// Failures returns how many runs of the task have failed.
func (task *Task) Failures() int { return task.fails }

// Job is one job. It is not safe for concurrent use.
type Job struct {
	Spec
	state     State
	tasks     [][]Task
	left      []int
	remaining int
	started   bool
}

// New returns a job whose tasks are all pending.
func New(spec Spec) (job *Job, err error) {
	defer func() { err = errors.Wrapf(err, "job %s", spec.ID) }()
	if len(spec.Steps) == 0 {
		return nil, errors.New("a job needs a step")
	}
	job = &Job{Spec: spec, tasks: make([][]Task, len(spec.Steps)), left: make([]int, len(spec.Steps))}
	for i := range job.Steps {
		step := &job.Steps[i]
		if step.Count < 1 || job.remaining+step.Count > MaxTasks {
			return nil, errors.Errorf("step %d: %d tasks are not allowed", i, step.Count)
		}
		if step.Demand.CPU < 0 || step.Demand.Memory < 0 || step.Demand.Accelerators < 0 {
			return nil, errors.Errorf("step %d: a demand is negative", i)
		}
		if step.Demand.CPU > MaxDemand || step.Demand.Memory > MaxDemand || step.Demand.Accelerators > MaxDemand {
			return nil, errors.Errorf("step %d: a demand is too large", i)
		}
		for _, before := range step.After {
			if int(before) >= i {
				return nil, errors.Errorf("step %d comes after step %d, which is not an earlier one", i, before)
			}
		}
		job.tasks[i] = make([]Task, step.Count)
		for index := range job.tasks[i] {
			job.tasks[i][index] = Task{Step: step, ID: ptrun.TaskID{Job: spec.ID, Occurrence: spec.Occurrence, Step: ptrun.StepIndex(i), Index: ptid.TaskIndex(index)}}
		}
		job.left[i] = step.Count
		job.remaining += step.Count
	}
	return job, nil
}

// State returns the state of the job.
func (job *Job) State() State { return job.state }

// CertainlyUnstarted reports whether no run of the job may have started.
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

// Ready returns the pending tasks whose step's turn has come.
func (job *Job) Ready() (ready []*Task) {
	if job.state.Ended() {
		return nil
	}
	for i := range job.Steps {
		if job.left[i] == 0 || !job.due(i) {
			continue
		}
		if job.Steps[i].Gang && len(job.GangRuns(ptrun.StepIndex(i))) > 0 {
			// The next run of a gang starts when every member of the last one is over.
			continue
		}
		for index := range job.tasks[i] {
			if job.tasks[i][index].Pending() {
				ready = append(ready, &job.tasks[i][index])
			}
		}
	}
	return ready
}

func (job *Job) due(step int) bool {
	for _, before := range job.Steps[step].After {
		if job.left[before] > 0 {
			return false
		}
	}
	return true
}

// Task returns a task by its id; nil where the job has none.
func (job *Job) Task(id ptrun.TaskID) *Task {
	if int(id.Step) >= len(job.tasks) || int(id.Index) >= len(job.tasks[id.Step]) {
		return nil
	}
	return &job.tasks[id.Step][id.Index]
}

// Place gives a pending task the next run number.
func (job *Job) Place(task *Task) (run ptrun.ID) {
	task.placed = true
	task.number = max(task.number, job.RunNumberBase) + 1
	return task.CurrentRun()
}

// PlaceGang gives all tasks of a gang's step the same next run number.
func (job *Job) PlaceGang(step ptrun.StepIndex) (runs []ptrun.ID) {
	tasks := job.tasks[step]
	highest := job.RunNumberBase
	for i := range tasks {
		highest = max(highest, tasks[i].number)
	}
	for i := range tasks {
		tasks[i].placed, tasks[i].number = true, highest+1
		runs = append(runs, tasks[i].CurrentRun())
	}
	return runs
}

// Adopt takes a run that an earlier owner has started as the present one of its task.
func (job *Job) Adopt(run ptrun.ID) (adopted bool) {
	task := job.Task(run.Task)
	if task == nil || task.done || task.placed || job.state.Ended() {
		return false
	}
	task.placed, task.number, job.started = true, run.Number, true
	job.run()
	return true
}

// AdoptEnd takes the end of a run that an earlier owner has started and that nobody has
// taken note of.
func (job *Job) AdoptEnd(end ptrun.End) (change Change) {
	if end.Result == ptrun.NeverStarted || !job.Adopt(end.Run) {
		return Change{}
	}
	return job.RunEnded(end)
}

func (job *Job) run() {
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

// Change tells what an end has done.
type Change struct {
	// Accepted is false where the run is not the present one of its task.
	Accepted bool
	// JobEnded is true once: where the job has ended with this end.
	JobEnded bool
}

// RunEnded takes the end of a run.
func (job *Job) RunEnded(end ptrun.End) (change Change) {
	task := job.Task(end.Run.Task)
	if task == nil || !task.placed || task.number != end.Run.Number {
		return Change{}
	}
	task.placed = false
	change.Accepted = true
	if end.Result != ptrun.NeverStarted {
		job.started = true
		job.run()
	}
	if end.Checkpoint != "" {
		task.Checkpoint = end.Checkpoint
	}
	switch end.Result {
	case ptrun.Done:
		job.done(task)
	case ptrun.Failed:
		task.fails++
	case ptrun.NeverStarted:
		if end.Reason == ptrun.ReasonHigherRunEnded {
			task.number += renumber
		}
	case ptrun.Stopped, ptrun.Lost:
	}
	if job.state.Ended() {
		return change
	}
	switch {
	case job.remaining == 0:
		job.state, change.JobEnded = Completed, true
	case !task.Step.LongRunning && task.fails >= max(1, job.MaxAttempts):
		job.state, change.JobEnded = Failed, true
	}
	return change
}

// done takes a task as done; with one task of a gang all of them are.
func (job *Job) done(task *Task) {
	step := task.ID.Step
	if task.Step.LongRunning {
		return
	}
	if !task.Step.Gang {
		task.done = true
		job.left[step]--
		job.remaining--
		return
	}
	for i := range job.tasks[step] {
		job.tasks[step][i].done = true
	}
	job.remaining -= job.left[step]
	job.left[step] = 0
}

// GangRuns returns the runs of a gang's step that have not ended.
func (job *Job) GangRuns(step ptrun.StepIndex) (runs []ptrun.ID) {
	for i := range job.tasks[step] {
		if task := &job.tasks[step][i]; task.placed {
			runs = append(runs, task.CurrentRun())
		}
	}
	return runs
}

// GangCheckpoint returns the newest checkpoint of any member of a gang's step.
func (job *Job) GangCheckpoint(step ptrun.StepIndex) (checkpoint ptrun.Checkpoint) {
	newest := ptrun.Number(0)
	for i := range job.tasks[step] {
		if task := &job.tasks[step][i]; task.Checkpoint != "" && task.number >= newest {
			checkpoint, newest = task.Checkpoint, task.number
		}
	}
	return checkpoint
}

// GiveUp ends the job where it has not ended, and reports whether it did.
func (job *Job) GiveUp() (ended bool) {
	if job.state.Ended() {
		return false
	}
	job.state = GivenUp
	return true
}

// CriticalPath returns the longest chain of estimated work that is left.
func (job *Job) CriticalPath() (longest time.Duration) {
	ends := make([]time.Duration, len(job.Steps))
	for i := range job.Steps {
		for _, before := range job.Steps[i].After {
			ends[i] = max(ends[i], ends[before])
		}
		if job.left[i] > 0 {
			ends[i] += job.Steps[i].Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// RemainingWork returns the estimated processor time that is left, in core-seconds.
func (job *Job) RemainingWork() (coreSeconds float64) {
	for i := range job.Steps {
		step := &job.Steps[i]
		coreSeconds += float64(job.left[i]) * step.Estimate.Seconds() * float64(step.Demand.CPU) / 1000
	}
	return coreSeconds
}
