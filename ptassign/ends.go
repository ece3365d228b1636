package ptassign

import (
	"slices"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// RunEnded processes a report from an agent that a run has ended.
func (core *Core) RunEnded(name ptid.AgentName, end ptrun.End, now ptid.Instant) (effects []Effect) {
	if agent := core.agents[name]; agent != nil {
		core.runEnded(agent, end, now)
	}
	core.placeWaiting(now)
	return core.takeEffects()
}

func (core *Core) runEnded(agent *agentRecord, end ptrun.End, now ptid.Instant) {
	run := agent.runs[end.Run]
	if run == nil {
		return
	}
	if end.Result == ptrun.NeverStarted && run.incarnation != agent.connectedIncarnation {
		// An agent process does not know whether an earlier one has started a run.
		end.Result, end.Reason = ptrun.Lost, ptrun.ReasonRestarted
		if agent.state.Worker != run.worker {
			// The worker has ended as well, perhaps in a crash.
			end.Reason, end.Worker = ptrun.ReasonLeaseExpired, run.worker
		}
	}
	agent.release(end.Run, run)
	core.learn(agent, run, end, now)
	core.dropRejectedTicket(agent, run, end)
	job := run.job
	job.recordSuspect(agent.name, run, end, now)
	change := job.RunEnded(end)
	if change.GivenUp {
		core.emit(TaskGivenUp{Agent: agent.name, Run: end.Run, Losses: run.task.Losses()})
	}
	if core.stopping[job.Key()] == job && len(job.PlacedRuns()) == 0 {
		delete(core.stopping, job.Key())
	}
	switch {
	case !job.Durable:
	case change.Abandoned:
		// The agent may still have the end of the run.
		core.emit(SaveProgress{Job: job})
	default:
		core.emit(SaveProgress{Job: job, Agent: agent.name, Run: end.Run})
	}
	if !change.Accepted || job.State() == ptgraph.GivenUp {
		return
	}
	if run.task.Step.Gang && end.Result != ptrun.Done {
		core.stopGang(job, end.Run.Task.Step)
	}
	if change.JobEnded {
		core.closeJob(job, nil, now)
		return
	}
	if !job.State().Ended() {
		core.enqueue(job, now)
		core.noteHeldTasks(job, now)
	}
}

// learn updates the run time averages and the observations of the worker from the end of a
// run.
func (core *Core) learn(agent *agentRecord, run *placedRun, end ptrun.End, now ptid.Instant) {
	switch end.Result {
	case ptrun.Done:
		agent.observed.runDone(end.RunTime.Seconds()/max(run.expectedRunTime.Seconds(), 0.001), run.placedAt, now)
		core.learnRunTime(run, core.nearSeconds(agent, run, end)*run.speed)
	case ptrun.Failed:
		agent.observed.runFailed(end.Run.Task.Job, now)
	case ptrun.Stopped, ptrun.Lost, ptrun.NeverStarted:
		if end.Result == ptrun.Stopped && !run.stopped && core.speeds.enabled {
			// The agent has stopped a straggler.
			run.task.TimedOutRuns++
		}
		agent.observed.runDiscarded()
		run.job.farRunDiscarded()
	}
}

// closeJob removes an ended job from the core and stops its remaining runs.
func (core *Core) closeJob(job *Job, refusal *Refusal, now ptid.Instant) {
	if !job.Durable {
		core.countOutcome(job, refusal == nil && job.State() == ptgraph.Completed && now <= job.Objective, now)
	}
	delete(core.jobs, job.Key())
	delete(core.bestEffort, job.Key())
	core.dequeue(job)
	if len(job.PlacedRuns()) > 0 {
		if !job.Durable {
			core.stopping[job.Key()] = job
		}
		for _, agent := range core.sortedAgents {
			for _, id := range sortedRuns(agent.runs) {
				if run := agent.runs[id]; run.job == job {
					core.stopRun(agent, id, run, ptrun.ReasonStopRequested)
				}
			}
		}
	}
	core.emit(JobEnded{Job: job, Refusal: refusal})
}

func (core *Core) stopRun(agent *agentRecord, id ptrun.ID, run *placedRun, reason ptrun.Reason) {
	if run.stopped {
		return
	}
	run.stopped = true
	core.emit(SendStop{Agent: agent.name, Run: id, Reason: reason})
}

// expired reports whether the job can no longer end in time.
func (job *Job) expired(now ptid.Instant) bool {
	return now >= job.ExpiresAt || job.CertainlyUnstarted() && now.Add(job.expectedDuration) >= job.ExpiresAt
}

// expireAll ends jobs that can no longer end in time.
func (core *Core) expireAll(keys []Key, reason RefusalReason, now ptid.Instant) {
	slices.SortFunc(keys, compareKeys)
	for _, key := range slices.Compact(keys) {
		core.expire(core.bestEffort[key], reason, now)
	}
}

// expire ends a job that can no longer end in time. If no run of the job can have started, the
// job ends with a refusal that has the given reason.
func (core *Core) expire(job *Job, reason RefusalReason, now ptid.Instant) {
	unstarted := job.CertainlyUnstarted()
	if !job.GiveUp() {
		return
	}
	var refusal *Refusal
	if unstarted {
		refusal = &Refusal{Reason: reason, RetryAfter: core.retryAfter(job, 0, now)}
	}
	core.closeJob(job, refusal, now)
}

// RunsLost reports that the entry has declared runs lost without a report from their agent.
// DisconnectedAt is when the session with the agent ended.
type RunsLost struct {
	Agent          ptid.AgentName
	Reason         ptrun.Reason
	Runs           int
	DisconnectedAt ptid.Instant
}

func (RunsLost) isEffect() {}
