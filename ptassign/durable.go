package ptassign

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// DurableRunLossTimeout is how long after the last message from an agent all runs of durable
// jobs at this agent have certainly ended. Without messages from its owner, a run of a durable
// job continues for longer than a run of a best-effort job, so that a later owner can adopt
// it. docs/design/10-platform.md adds up the time limits behind this value.
const DurableRunLossTimeout = 4500 * time.Millisecond

// SetOwnershipExpiry sets when another entry may become the owner of the durable jobs, unless the
// ownership is renewed before. An earlier owner does not learn of that at once. After the expiry,
// the core therefore places no tasks of durable jobs, and runs that it ordered before do not start.
func (core *Core) SetOwnershipExpiry(expiresAt ptid.Instant) { core.ownershipExpiresAt = expiresAt }

// isOnHold reports whether the tasks of a job are not placed now.
func (core *Core) isOnHold(job *Job, now ptid.Instant) bool {
	return job.Recovering || job.Durable && now >= core.ownershipExpiresAt || core.awaitsReturn(job)
}

// SubmitDurable admits a durable job with the progress that an earlier owner has stored; nil
// means that there is none. A recovering job is not placed before [Core.FinishRecovery].
func (core *Core) SubmitDurable(spec Spec, progress *ptgraph.Progress, recovering bool, now ptid.Instant) (job *Job, effects []Effect, err error) {
	spec.Durable = true
	graph, err := ptgraph.New(spec.Spec)
	if err != nil {
		return nil, nil, err
	}
	if progress != nil {
		graph.Restore(*progress)
	}
	duration := core.criticalPath(graph, spec.Queue.Name)
	job = &Job{
		Job: graph, Queue: spec.Queue, SubmittedAt: now, Deadline: ptid.Never, ExpiresAt: ptid.Never, expectedDuration: duration, readyCPU: -1,
		Objective: now.Add(time.Duration(spec.Queue.Stretch*float64(duration)) + spec.Queue.TargetLatency),
		Durable:   true, Recovering: recovering,
	}
	if job.State().Ended() {
		return job, nil, nil
	}
	core.jobs[job.Key()] = job
	core.enqueue(job, now)
	core.noteHeldTasks(job, now)
	core.placeWaiting(now)
	return job, core.takeEffects(), nil
}

// FinishRecovery records that the entry now knows all active runs that an earlier owner of the job
// has started, and allows the job to be placed.
func (core *Core) FinishRecovery(job *Job, now ptid.Instant) (effects []Effect) {
	job.Recovering = false
	// If only some members of a gang were adopted, these members can't make progress and are
	// stopped.
	for index := range job.Steps {
		step := ptrun.StepIndex(index)
		if runs := len(job.GangRuns(step)); job.Steps[index].Gang && runs > 0 && runs < job.Steps[index].Count {
			core.stopGang(job, step)
		}
	}
	core.placeWaiting(now)
	return core.takeEffects()
}

// AbandonUnknownRuns records, before [Core.FinishRecovery], that runs of earlier owners may have ended
// with results that this entry does not know.
func (core *Core) AbandonUnknownRuns(job *Job) (effects []Effect) {
	job.AbandonUnknownRuns()
	job.readyCPU = -1
	core.emit(SaveProgress{Job: job})
	return core.takeEffects()
}

// ProgressSaved records that the log holds the given progress of a job.
func (core *Core) ProgressSaved(job *Job, progress ptgraph.Progress, now ptid.Instant) (effects []Effect) {
	if !job.AbandonmentsSaved(progress) || job.State().Ended() {
		return nil
	}
	core.enqueue(job, now)
	core.placeWaiting(now)
	return core.takeEffects()
}

// Release removes a job that another entry now owns, without stopping its runs. The runs
// continue under the new owner.
func (core *Core) Release(job *Job) {
	delete(core.jobs, job.Key())
	core.dequeue(job)
	for _, agent := range core.sortedAgents {
		for id, run := range agent.runs {
			if run.job == job {
				agent.release(id, run)
			}
		}
	}
}

// Adopt takes over a run of a durable job that an earlier owner has started. A run that the
// job no longer needs is stopped.
func (core *Core) Adopt(name ptid.AgentName, run ptrun.ID, now ptid.Instant) (effects []Effect) {
	agent, job := core.agents[name], core.jobs[keyOf(run.Task)]
	if agent == nil || agent.runs[run] != nil {
		return nil
	}
	if job == nil || !job.Adopt(run) {
		core.emit(SendStop{Agent: name, Run: run, Reason: ptrun.ReasonUnknownRun})
		return core.takeEffects()
	}
	core.reserve(agent, job, job.Task(run.Task), run, false, now)
	job.readyCPU = -1
	return core.takeEffects()
}

// AdoptEnd processes the end of a run of a durable job. The run was started by an earlier
// owner of the job, or this entry has declared it lost. found is false if the job is not open at this
// entry.
func (core *Core) AdoptEnd(name ptid.AgentName, end ptrun.End, now ptid.Instant) (effects []Effect, found bool) {
	job := core.jobs[keyOf(end.Run.Task)]
	if job == nil {
		return nil, false
	}
	core.takeBackLoss(job, end)
	if job.IsSuperseded(end) {
		core.emit(RejectEnd{Agent: name, Run: end.Run})
		return core.takeEffects(), true
	}
	change := job.AdoptEnd(end)
	job.readyCPU = -1
	core.emit(SaveProgress{Job: job, Agent: name, Run: end.Run})
	if change.GivenUp {
		core.emit(TaskGivenUp{Agent: name, Run: end.Run, Losses: job.Task(end.Run.Task).Losses()})
	}
	if change.JobEnded {
		core.closeJob(job, nil, now)
	} else {
		core.enqueue(job, now)
		core.noteHeldTasks(job, now)
	}
	core.placeWaiting(now)
	return core.takeEffects(), true
}

// HasRun reports whether the agent's list of placed runs contains the run.
func (core *Core) HasRun(name ptid.AgentName, run ptrun.ID) bool {
	agent := core.agents[name]
	return agent != nil && agent.runs[run] != nil
}

// ConnectedSince returns since when the entry has had a session with an agent without interruption;
// [ptid.Never] if it has none. While it has none, the silence of the agents says nothing about them.
func (core *Core) ConnectedSince() (since ptid.Instant) {
	since = ptid.Never
	for _, agent := range core.sortedAgents {
		if agent.connected {
			since = min(since, agent.connectedAt)
		}
	}
	return since
}

// Session reports whether an agent has a session with this entry, and otherwise when it lost the latest
// one; zero if it had none.
func (core *Core) Session(name ptid.AgentName) (connected bool, lostAt ptid.Instant) {
	agent := core.agents[name]
	switch {
	case agent == nil:
		return false, 0
	case agent.connected:
		return true, 0
	default:
		return false, agent.disconnectedAt
	}
}

// HasRuns reports whether the agent's list of placed runs is not empty.
func (core *Core) HasRuns(name ptid.AgentName) bool {
	agent := core.agents[name]
	return agent != nil && len(agent.runs) > 0
}
