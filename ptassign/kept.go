package ptassign

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// DurableRunLossTimeout is how long after the last word of an agent the runs of kept jobs are
// over. They go on longer without their owner than others, so that a later owner can
// adopt them; the sum of the bounds stands in docs/design/10-platform.md.
const DurableRunLossTimeout = 4500 * time.Millisecond

// SubmitDurable takes a kept job in, with the progress that an earlier owner has left; nil means
// none. A frozen job is not placed before [Core.FinishRecovery].
func (core *Core) SubmitDurable(spec Spec, progress *ptgraph.Progress, frozen bool, now ptid.Instant) (job *Job, effects []Effect, err error) {
	graph, err := ptgraph.New(spec.Spec)
	if err != nil {
		return nil, nil, err
	}
	if progress != nil {
		graph.Restore(*progress)
	}
	span := core.chain(graph, spec.Queue.Name)
	job = &Job{
		Job: graph, Queue: spec.Queue, SubmittedAt: now, Deadline: ptid.Never, ExpiresAt: ptid.Never, span: span, ready: -1,
		Objective: now.Add(time.Duration(spec.Queue.Stretch*float64(span)) + spec.Queue.TargetLatency),
		Durable:   true, Recovering: frozen,
	}
	if job.State().Ended() {
		return job, nil, nil
	}
	core.jobs[job.Key()] = job
	core.enqueue(job, now)
	core.place(now)
	return job, core.take(), nil
}

// FinishRecovery lets a job be placed: the runs of its earlier owner are known.
func (core *Core) FinishRecovery(job *Job, now ptid.Instant) (effects []Effect) {
	job.Recovering = false
	// Of a gang whose members were not all adopted, those that were would wait in vain.
	for index := range job.Steps {
		step := ptrun.StepIndex(index)
		if runs := len(job.GangRuns(step)); job.Steps[index].Gang && runs > 0 && runs < job.Steps[index].Count {
			core.stopGang(job, step)
		}
	}
	core.place(now)
	return core.take()
}

// Release forgets a job that has another owner now. Its runs go on: they are the other's.
func (core *Core) Release(job *Job) {
	delete(core.jobs, job.Key())
	core.unqueue(job)
	for _, known := range core.ordered {
		for id, run := range known.runs {
			if run.job == job {
				known.unbook(id, run)
			}
		}
	}
}

// Adopt takes a run of a kept job that an earlier owner has started. A run that is not
// wanted any more is stopped.
func (core *Core) Adopt(name ptid.AgentName, run ptrun.ID, now ptid.Instant) (effects []Effect) {
	known, job := core.agents[name], core.jobs[keyOf(run.Task)]
	if known == nil || known.runs[run] != nil {
		return nil
	}
	if job == nil || !job.Adopt(run) {
		core.emit(SendStop{Agent: name, Run: run, Reason: ptrun.ReasonUnknownRun})
		return core.take()
	}
	core.book(known, job, job.Task(run.Task), run, now)
	job.ready = -1
	return core.take()
}

// AdoptEnd takes the end of a run of a kept job that this entry has not started. It is
// false where the job is not open here.
func (core *Core) AdoptEnd(name ptid.AgentName, end ptrun.End, now ptid.Instant) (effects []Effect, found bool) {
	job := core.jobs[keyOf(end.Run.Task)]
	if job == nil {
		return nil, false
	}
	change := job.AdoptEnd(end)
	job.ready = -1
	core.emit(SaveProgress{Job: job, Agent: name, Run: end.Run})
	if change.JobEnded {
		core.conclude(job, nil, now)
	}
	core.place(now)
	return core.take(), true
}

// HasRun reports whether a run is on an agent's list.
func (core *Core) HasRun(name ptid.AgentName, run ptrun.ID) bool {
	known := core.agents[name]
	return known != nil && known.runs[run] != nil
}

// DisconnectedAgents returns which agents are known and have no session, and since when.
func (core *Core) DisconnectedAgents() (absent map[ptid.AgentName]ptid.Instant) {
	absent = make(map[ptid.AgentName]ptid.Instant)
	for _, known := range core.ordered {
		if !known.connected {
			absent[known.name] = known.lostAt
		}
	}
	return absent
}
