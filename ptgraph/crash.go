package ptgraph

import (
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// minCrashes is how many workers must have crashed under a task before the task is given up.
	minCrashes = 2
	// maxLosses is how many runs of a task may be lost with workers that are not known to have survived.
	// It also bounds the starts of a task whose workers don't come back, so that none of its crashes is
	// proved. It leaves one loss that no owner has heard of until the limit of the platform is reached.
	maxLosses = 4
	// minSuspectLosses is how many lost runs make a task a suspect. Most workers end by other causes
	// than their tasks, and isolation costs capacity.
	minSuspectLosses = 2
	// minProvenRunTime is the run time after which a long-running task is not the cause of a crash.
	minProvenRunTime = 10 * time.Second
	// A suspect runs in isolation for twice the run time after which it was lost, plus
	// isolationMargin, but at most for maxIsolation.
	isolationMargin = 200 * time.Millisecond
	maxIsolation    = 2 * time.Second
)

// RunLoss is a run of a task that was lost with its worker. The worker may have crashed, or may only
// be silent. A silent worker that responds again has survived; a loss is unresolved until that is
// known. The states are stored with the job, so that its next owner counts the same.
type RunLoss struct {
	Run    ptrun.Number   `json:"run"`
	Worker ptrun.WorkerID `json:"worker,omitempty"`
	// RunTime is how long the run was active at least, before its worker fell silent.
	RunTime time.Duration `json:"runNanos,omitempty"`
	// Crashed means that the worker has crashed. Isolated means that no other run was active on it
	// then.
	Crashed  bool `json:"crashed,omitempty"`
	Isolated bool `json:"isolated,omitempty"`
	// Survived means that the worker has not crashed under the run. Such a loss does not count.
	Survived bool `json:"survived,omitempty"`
	// Gone means that nobody can tell any more.
	Gone bool `json:"gone,omitempty"`
}

// IsResolved reports whether it is known what has become of the worker.
func (loss *RunLoss) IsResolved() bool { return loss.Crashed || loss.Survived || loss.Gone }

// WorkerFate is what has become of the worker of a lost run.
type WorkerFate uint8

const (
	// WorkerSurvived means that the worker has responded again.
	WorkerSurvived WorkerFate = iota
	// WorkerGone means that nobody can tell any more whether the worker has crashed.
	WorkerGone
)

// isLoss reports whether a run was lost with its worker, by the word of its agent.
func isLoss(end ptrun.End) bool {
	switch end.Reason {
	case ptrun.ReasonLeaseExpired, ptrun.ReasonWorkerCrashed, ptrun.ReasonCrashedWorker:
		return end.Result == ptrun.Lost
	default:
		return false
	}
}

// provesSurvival reports whether the worker has listed the end of the run, so that the run was not lost
// in a crash.
func provesSurvival(end ptrun.End) bool {
	return end.Result == ptrun.Done || end.Result == ptrun.Failed || end.Reason == ptrun.ReasonLeaseEnforced
}

// loss returns the loss of a run of the task; nil if the run is not recorded as lost.
func (task *Task) loss(run ptrun.Number) *RunLoss {
	if index := slices.IndexFunc(task.losses, func(loss RunLoss) bool { return loss.Run == run }); index >= 0 {
		return &task.losses[index]
	}
	return nil
}

// RecordSurvival takes back the loss of a run if its end shows that its worker has not crashed under
// it. It reports whether there was such a loss.
func (job *Job) RecordSurvival(end ptrun.End) (takenBack bool) {
	task := job.Task(end.Run.Task)
	if task == nil || !provesSurvival(end) {
		return false
	}
	loss := task.loss(end.Run.Number)
	if loss == nil || loss.Crashed || loss.Survived {
		return false
	}
	loss.Survived, loss.Gone = true, false
	return true
}

// ResolveLoss records what has become of the worker of an unresolved loss. The job fails if the task
// has lost too many runs.
func (job *Job) ResolveLoss(task *Task, run ptrun.Number, fate WorkerFate) (change Change) {
	loss := task.loss(run)
	if loss == nil || loss.IsResolved() || job.state.Ended() {
		return Change{}
	}
	loss.Survived, loss.Gone = fate == WorkerSurvived, fate == WorkerGone
	givenUp := job.giveUpIfCrashing(task)
	return Change{Accepted: true, GivenUp: givenUp, JobEnded: givenUp}
}

// recordLoss records the loss of a run. An agent reports a loss again once it knows that the worker
// has crashed.
func (job *Job) recordLoss(task *Task, end ptrun.End) {
	if task.done {
		return
	}
	if task.Step.LongRunning && end.RunTime >= minProvenRunTime {
		task.losses = nil
		return
	}
	loss := task.loss(end.Run.Number)
	if loss == nil {
		task.losses = append(task.losses, RunLoss{Run: end.Run.Number, Worker: end.Worker, RunTime: end.RunTime})
		loss = &task.losses[len(task.losses)-1]
	}
	loss.Isolated = loss.Isolated || end.Reason == ptrun.ReasonCrashedWorker
	loss.Crashed = loss.Crashed || loss.Isolated || end.Reason == ptrun.ReasonWorkerCrashed
	loss.Survived, loss.Gone = loss.Survived && !loss.Crashed, loss.Gone && !loss.Crashed
	job.hasLosses = true
}

// countLosses returns how many losses count against the task, how many of them are crashes, and
// whether one of these occurred in isolation.
func (task *Task) countLosses() (losses, crashes int, isolated bool) {
	for _, loss := range task.losses {
		if loss.Survived {
			continue
		}
		losses++
		if loss.Crashed {
			crashes++
			isolated = isolated || loss.Isolated
		}
	}
	return losses, crashes, isolated
}

// IsHeld reports whether the task is not placed before its unresolved losses are resolved: if their
// workers have crashed, the task may not crash another one, and if they are only silent, they are no
// cause to fail the job.
func (task *Task) IsHeld() bool {
	if len(task.losses) < maxLosses {
		return false
	}
	losses, _, _ := task.countLosses()
	return losses >= maxLosses && slices.ContainsFunc(task.losses, func(loss RunLoss) bool { return !loss.IsResolved() })
}

// HeldTasks returns the tasks that wait for the resolution of their losses.
func (job *Job) HeldTasks() (held []*Task) {
	if !job.hasLosses || job.state.Ended() {
		return nil
	}
	for _, tasks := range job.tasks {
		for i := range tasks {
			if task := &tasks[i]; task.Pending() && task.IsHeld() {
				held = append(held, task)
			}
		}
	}
	return held
}

// giveUpIfCrashing fails the job if the task crashes its workers. A task that merely ran beside
// such a task may have lost several runs as well, so one of the crashes must have occurred in
// isolation. Unresolved losses don't fail a job.
func (job *Job) giveUpIfCrashing(task *Task) (givenUp bool) {
	losses, crashes, isolated := task.countLosses()
	if job.state.Ended() || (losses < maxLosses || task.IsHeld()) && (crashes < minCrashes || !isolated) {
		return false
	}
	job.state = Failed
	return true
}

// HasLosses reports whether a run of the job was lost with its worker.
func (job *Job) HasLosses() bool { return job.hasLosses }

// Losses returns the runs of the task that were lost with their workers.
func (task *Task) Losses() []RunLoss { return task.losses }

// Isolation returns how long the next run of the task must be the only active run on its worker;
// zero if the task is not suspected of crashing its workers. Members of a gang are never isolated,
// because all of them must be active at the same time.
func (task *Task) Isolation() time.Duration {
	losses, _, _ := task.countLosses()
	if losses < minSuspectLosses || task.Step.Gang {
		return 0
	}
	longest := time.Duration(0)
	for _, loss := range task.losses {
		longest = max(longest, loss.RunTime)
	}
	return min(2*longest+isolationMargin, maxIsolation)
}
