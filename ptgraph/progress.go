package ptgraph

import "github.com/primrosetiller/primrosetiller/ptrun"

// Progress is what must last of a job: which tasks are done, how often the others have
// failed, and their checkpoints. Run numbers need not: a later owner starts above them.
type Progress struct {
	State State `json:"state"`
	// Done has a bit for each task of each step.
	Done [][]byte `json:"done,omitempty"`
	// Tasks lists the tasks that have failed or left a checkpoint.
	Tasks []TaskProgress `json:"tasks,omitempty"`
}

// TaskProgress is what must last of one task that is not done.
type TaskProgress struct {
	Step       ptrun.StepIndex  `json:"step"`
	Index      int              `json:"index"`
	Failures   int              `json:"fails,omitempty"`
	Checkpoint ptrun.Checkpoint `json:"checkpoint,omitempty"`
}

const bitsPerByte = 8

// Progress returns what must last of the job now.
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
			case task.fails > 0 || task.Checkpoint != "":
				progress.Tasks = append(progress.Tasks, TaskProgress{
					Step: ptrun.StepIndex(step), Index: index, Failures: task.fails, Checkpoint: task.Checkpoint,
				})
			}
		}
	}
	return progress
}

// Restore brings a new job to the progress that an earlier owner has kept. What does
// not fit the job is left out: the record is another job's.
func (job *Job) Restore(progress Progress) {
	for step, bits := range progress.Done {
		if step >= len(job.tasks) {
			break
		}
		for index := range job.tasks[step] {
			if index/bitsPerByte < len(bits) && bits[index/bitsPerByte]&(1<<(index%bitsPerByte)) != 0 {
				job.tasks[step][index].done = true
				job.left[step]--
				job.remaining--
			}
		}
	}
	for _, kept := range progress.Tasks {
		if int(kept.Step) < len(job.tasks) && kept.Index >= 0 && kept.Index < len(job.tasks[kept.Step]) {
			task := &job.tasks[kept.Step][kept.Index]
			task.fails, task.Checkpoint = kept.Failures, kept.Checkpoint
		}
	}
	job.state = progress.State
	job.started = progress.State != Pending
	if job.remaining == 0 && !job.state.Ended() {
		job.state = Completed
	}
}
