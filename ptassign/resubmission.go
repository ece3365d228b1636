package ptassign

// takeOverRuns assigns the runs of the previous submission of a job to the job, if these runs have
// not ended. They are being stopped. Each submission numbers its runs from one, so without the
// takeover their tasks would be placed a second time under the same run IDs.
func (core *Core) takeOverRuns(job *Job) {
	previous := core.stopping[job.Key()]
	if previous == nil {
		return
	}
	delete(core.stopping, job.Key())
	for _, agent := range core.sortedAgents {
		for _, id := range sortedRuns(agent.runs) {
			if run := agent.runs[id]; run.job == previous && job.Adopt(id) {
				run.job, run.task = job, job.Task(id.Task)
			}
		}
	}
}
