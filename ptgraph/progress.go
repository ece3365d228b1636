package ptgraph

import (
	"slices"

	"github.com/primrosetiller/primrosetiller/ptrun"
)

// Progress is the part of a job's state that must survive its owner: which tasks are done,
// and the failures and checkpoints of the other tasks. Except for the number of the latest failed
// run, which identifies the failures that are counted already, run numbers need not be stored,
// because a later owner uses higher numbers than all earlier owners.
type Progress struct {
	State State `json:"state"`
	// Done contains one bit for each task of each step.
	Done [][]byte `json:"done,omitempty"`
	// Tasks lists the unfinished tasks that have failed, left a checkpoint, or lost a run with its
	// worker.
	Tasks []TaskProgress `json:"tasks,omitempty"`
	// VoidRun is the highest number of a run that was abandoned: later owners don't accept its end as
	// done. It applies to the tasks in Abandoned, which has one bit for each task, and to all tasks of
	// an ended job.
	VoidRun   ptrun.Number `json:"voidRun,omitempty"`
	Abandoned [][]byte     `json:"abandoned,omitempty"`
	// abandonments is the number of abandonments that the progress contains.
	abandonments int
}

// TaskProgress is the part of an unfinished task's state that must survive the owner of the
// job.
type TaskProgress struct {
	Step       ptrun.StepIndex  `json:"step"`
	Index      int              `json:"index"`
	Failures   int              `json:"fails,omitempty"`
	FailedRun  ptrun.Number     `json:"failedRun,omitempty"`
	Checkpoint ptrun.Checkpoint `json:"checkpoint,omitempty"`
	Losses     []RunLoss        `json:"losses,omitempty"`
}

const bitsPerByte = 8

// newTaskSet returns an empty set of the tasks of each step, one bit for each task.
func newTaskSet(tasks [][]Task) (set [][]byte) {
	set = make([][]byte, len(tasks))
	for step := range tasks {
		set[step] = make([]byte, (len(tasks[step])+bitsPerByte-1)/bitsPerByte)
	}
	return set
}

func addTask(set [][]byte, step, index int) {
	set[step][index/bitsPerByte] |= 1 << (index % bitsPerByte)
}

// containsTask reports whether a stored set contains a task. The set may be that of another job.
func containsTask(set [][]byte, step, index int) bool {
	return step < len(set) && index/bitsPerByte < len(set[step]) && set[step][index/bitsPerByte]&(1<<(index%bitsPerByte)) != 0
}

// Progress returns the current progress of the job.
func (job *Job) Progress() (progress Progress) {
	progress.State, progress.abandonments = job.state, job.abandonments
	if job.state.Ended() {
		progress.VoidRun = job.VoidRun()
		return progress
	}
	progress.Done = newTaskSet(job.tasks)
	for step, tasks := range job.tasks {
		for index := range tasks {
			task := &tasks[index]
			void := task.voidRun()
			switch {
			case task.done:
				addTask(progress.Done, step, index)
			case task.failures > 0 || task.Checkpoint != "" || len(task.losses) > 0:
				progress.Tasks = append(progress.Tasks, TaskProgress{
					Step: ptrun.StepIndex(step), Index: index, Failures: task.failures, FailedRun: task.failedRun, Checkpoint: task.Checkpoint,
					Losses: slices.Clone(task.losses),
				})
			}
			if !task.done {
				// The next owner does not know whether the task was placed again.
				void = max(void, task.abandonment.run)
			}
			if void > 0 {
				if progress.Abandoned == nil {
					progress.Abandoned = newTaskSet(job.tasks)
				}
				addTask(progress.Abandoned, step, index)
				progress.VoidRun = max(progress.VoidRun, void)
			}
		}
	}
	return progress
}

// Restore applies the progress that an earlier owner has stored to a new job. If the progress
// contains a step or task that the job does not have, that element comes from the record of
// another job and is ignored.
func (job *Job) Restore(progress Progress) {
	for step, tasks := range job.tasks {
		for index := range tasks {
			if containsTask(progress.Done, step, index) {
				tasks[index].done = true
				job.unfinished[step]--
				job.remaining--
			}
			if containsTask(progress.Abandoned, step, index) {
				tasks[index].abandonment.voidRun = progress.VoidRun
			}
		}
	}
	for _, entry := range progress.Tasks {
		if int(entry.Step) < len(job.tasks) && entry.Index >= 0 && entry.Index < len(job.tasks[entry.Step]) {
			task := &job.tasks[entry.Step][entry.Index]
			task.failures, task.failedRun, task.Checkpoint = entry.Failures, entry.FailedRun, entry.Checkpoint
			task.losses = slices.Clone(entry.Losses)
			job.hasLosses = job.hasLosses || len(task.losses) > 0
		}
	}
	job.state = progress.State
	if job.state.Ended() {
		job.endedVoidRun = progress.VoidRun
	}
	job.started = progress.State != Pending
	if job.remaining == 0 && !job.state.Ended() {
		job.state = Completed
	}
}
