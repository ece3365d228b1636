package ptgraph

import (
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// minCrashes is how many workers must have crashed under a task before the task is given up.
	minCrashes = 2
	// maxLosses is how many runs of a task may be lost with their workers. It also bounds the starts
	// of a task whose workers don't come back, so that none of its crashes is proved. It leaves one
	// loss that no owner has heard of until the limit of the platform is reached.
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

// RunLoss is a run of a task that was lost with its worker.
type RunLoss struct {
	Run    ptrun.Number   `json:"run"`
	Worker ptrun.WorkerID `json:"worker,omitempty"`
	// RunTime is how long the run was active at least, before its worker fell silent.
	RunTime time.Duration `json:"runNanos,omitempty"`
	// Crashed means that the worker has crashed; otherwise it may have been cut off. Isolated means
	// that no other run was active on it then.
	Crashed  bool `json:"crashed,omitempty"`
	Isolated bool `json:"isolated,omitempty"`
}

// isLoss reports whether a run was lost with its worker, by the word of its agent.
func isLoss(end ptrun.End) bool {
	switch end.Reason {
	case ptrun.ReasonLeaseExpired, ptrun.ReasonWorkerCrashed, ptrun.ReasonCrashedWorker:
		return end.Result == ptrun.Lost
	default:
		return false
	}
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
	index := slices.IndexFunc(task.losses, func(loss RunLoss) bool { return loss.Run == end.Run.Number })
	if index < 0 {
		index = len(task.losses)
		task.losses = append(task.losses, RunLoss{Run: end.Run.Number, Worker: end.Worker, RunTime: end.RunTime})
	}
	loss := &task.losses[index]
	loss.Isolated = loss.Isolated || end.Reason == ptrun.ReasonCrashedWorker
	loss.Crashed = loss.Crashed || loss.Isolated || end.Reason == ptrun.ReasonWorkerCrashed
	job.hasLosses = true
}

// giveUpIfCrashing fails the job if the task crashes its workers. A task that merely ran beside
// such a task may have lost several runs as well, so one of the crashes must have occurred in
// isolation.
func (job *Job) giveUpIfCrashing(task *Task) (givenUp bool) {
	crashes, isolated := 0, false
	for _, loss := range task.losses {
		if loss.Crashed {
			crashes++
			isolated = isolated || loss.Isolated
		}
	}
	if job.state.Ended() || len(task.losses) < maxLosses && (crashes < minCrashes || !isolated) {
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
	if len(task.losses) < minSuspectLosses || task.Step.Gang {
		return 0
	}
	longest := time.Duration(0)
	for _, loss := range task.losses {
		longest = max(longest, loss.RunTime)
	}
	return min(2*longest+isolationMargin, maxIsolation)
}
