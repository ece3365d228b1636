package ptgraph

import "github.com/primrosetiller/primrosetiller/ptrun"

// abandonment describes the runs of a task that have certainly ended, but whose ends may still
// arrive, because their agents could not be reached.
type abandonment struct {
	// run is the highest number of these runs. Their ends count until the task is placed again.
	run ptrun.Number
	// voidRun is the highest number of a run whose end as done is void, because the task may have
	// started again.
	voidRun ptrun.Number
	// sequence is the number of the abandonment within the job.
	sequence int
}

// isAbandonment reports whether a run was declared lost without an agent's word on its result.
func isAbandonment(end ptrun.End) bool {
	return end.Result == ptrun.Lost && (end.Reason == ptrun.ReasonAgentSilent || end.Reason == ptrun.ReasonRestarted)
}

// abandon records that runs up to the given number have ended with unknown results.
func (job *Job) abandon(task *Task, run ptrun.Number) {
	abandoned := &task.abandonment
	if abandoned.run < run {
		abandoned.voidRun = max(abandoned.voidRun, abandoned.run)
	}
	abandoned.run = max(abandoned.run, run)
	job.abandonments++
	abandoned.sequence = job.abandonments
}

// AbandonUnknownRuns abandons the runs that earlier owners may have started and that were not
// adopted, because some agents could not be reached.
func (job *Job) AbandonUnknownRuns() {
	for _, tasks := range job.tasks {
		for i := range tasks {
			if task := &tasks[i]; task.Pending() {
				job.abandon(task, job.RunNumberBase)
			}
		}
	}
}

// adopted records that a run is active. Abandoned runs are not, so its end is not void.
func (task *Task) adopted(run ptrun.Number) {
	if task.abandonment.voidRun >= run {
		task.abandonment.voidRun = run - 1
	}
}

// awaitsSave reports whether the log does not hold an abandoned run of the task yet. The next owner
// would accept the end of that run although the task had been placed again.
func (job *Job) awaitsSave(task *Task) bool {
	return job.Durable && task.abandonment.sequence > job.savedAbandonments
}

// AbandonmentsSaved records that the log holds a progress of the job. It reports whether tasks may be
// placed that could not be before.
func (job *Job) AbandonmentsSaved(progress Progress) (mayPlace bool) {
	if progress.abandonments <= job.savedAbandonments {
		return false
	}
	job.savedAbandonments = progress.abandonments
	return true
}

// allowsSeveralRuns reports whether a task of the step may start again after an end as done.
func (step *Step) allowsSeveralRuns() bool { return step.LongRunning || step.Speculative }

// IsSuperseded reports whether the end is that of a run that has ended as done, after which another
// run of the task may have started. Such an end is void: it must not be acknowledged to the worker
// before the worker's lease has expired.
func (job *Job) IsSuperseded(end ptrun.End) bool {
	task := job.Task(end.Run.Task)
	if task == nil || end.Result != ptrun.Done || task.Step.allowsSeveralRuns() {
		return false
	}
	return task.placed && task.runNumber > end.Run.Number || task.highestStarted > end.Run.Number || task.abandonment.voidRun >= end.Run.Number
}

// voidRun returns the highest number of an abandoned run after which the task was placed again.
func (task *Task) voidRun() ptrun.Number {
	abandoned := &task.abandonment
	if abandoned.run > 0 && max(task.highestRun, task.highestStarted) > abandoned.run {
		return max(abandoned.run, abandoned.voidRun)
	}
	return abandoned.voidRun
}

// VoidRun returns the highest number of a run whose end as done is void in any task of the job; zero
// if there is none. It is all that is kept of the abandoned runs once the job has ended.
func (job *Job) VoidRun() (run ptrun.Number) {
	run = job.endedVoidRun
	for _, tasks := range job.tasks {
		for i := range tasks {
			if !tasks[i].Step.allowsSeveralRuns() {
				run = max(run, tasks[i].voidRun())
			}
		}
	}
	return run
}

// IsVoidAfterEnd reports whether the end of a run is void that arrives after the end of its job. run
// is the VoidRun of the job.
func IsVoidAfterEnd(end ptrun.End, run ptrun.Number) bool {
	return end.Result == ptrun.Done && end.Run.Number <= run
}
