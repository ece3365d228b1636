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

// Progress returns the current progress of the job.
func (job *Job) Progress() (progress Progress) {
	progress.State = job.state
	if job.state.Ended() {
		return progress
	}
	progress.Done = make([][]byte, len(job.tasks))
	for step, tasks := range job.tasks {
		progress.Done[step] = make([]byte, (len(tasks)+bitsPerByte-1)/bitsPerByte)
		for index := range tasks {
			task := &tasks[index]
			switch {
			case task.done:
				progress.Done[step][index/bitsPerByte] |= 1 << (index % bitsPerByte)
			case task.failures > 0 || task.Checkpoint != "" || len(task.losses) > 0:
				progress.Tasks = append(progress.Tasks, TaskProgress{
					Step: ptrun.StepIndex(step), Index: index, Failures: task.failures, FailedRun: task.failedRun, Checkpoint: task.Checkpoint,
					Losses: slices.Clone(task.losses),
				})
			}
		}
	}
	return progress
}

// Restore applies the progress that an earlier owner has stored to a new job. If the progress
// contains a step or task that the job does not have, that element comes from the record of
// another job and is ignored.
func (job *Job) Restore(progress Progress) {
	for step, bits := range progress.Done {
		if step >= len(job.tasks) {
			break
		}
		for index := range job.tasks[step] {
			if index/bitsPerByte < len(bits) && bits[index/bitsPerByte]&(1<<(index%bitsPerByte)) != 0 {
				job.tasks[step][index].done = true
				job.unfinished[step]--
				job.remaining--
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
	job.started = progress.State != Pending
	if job.remaining == 0 && !job.state.Ended() {
		job.state = Completed
	}
}
