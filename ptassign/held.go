package ptassign

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// lossVerdictTimeout is how long a task waits for word of the workers that were lost with its runs.
	// Agents send that word for as long at most.
	lossVerdictTimeout = 2 * time.Minute
	// maxFormerWorkers is how many replaced workers of an agent are remembered.
	maxFormerWorkers = 16
)

// TaskHeld reports that a task is not placed before it is known what has become of the workers that
// were lost with its runs.
type TaskHeld struct {
	Job    *Job
	Task   ptrun.TaskID
	Losses []ptgraph.RunLoss
}

// LossResolved reports that it is known what has become of the worker of a lost run.
type LossResolved struct {
	Run  ptrun.ID
	Fate ptgraph.WorkerFate
}

func (TaskHeld) isEffect()     {}
func (LossResolved) isEffect() {}

// noteHeldTasks records the tasks of a job that wait for the resolution of their losses.
func (core *Core) noteHeldTasks(job *Job, now ptid.Instant) {
	for _, task := range job.HeldTasks() {
		if _, known := job.heldSince[task.ID]; known {
			continue
		}
		if job.heldSince == nil {
			job.heldSince = make(map[ptrun.TaskID]ptid.Instant)
		}
		job.heldSince[task.ID] = now
		core.heldJobs[job.Key()] = job
		core.emit(TaskHeld{Job: job, Task: task.ID, Losses: slices.Clone(task.Losses())})
	}
}

// reviewHeldTasks resolves the losses of which no agent will send word any more.
func (core *Core) reviewHeldTasks(now ptid.Instant) {
	for _, key := range slices.SortedFunc(maps.Keys(core.heldJobs), compareKeys) {
		job := core.heldJobs[key]
		held := job.HeldTasks()
		if len(held) == 0 || core.jobs[key] != job {
			delete(core.heldJobs, key)
			job.heldSince = nil
			continue
		}
		for _, task := range held {
			core.resolveLosses(job, task, now)
		}
	}
}

func (core *Core) resolveLosses(job *Job, task *ptgraph.Task, now ptid.Instant) {
	expired := now.Sub(job.heldSince[task.ID]) > lossVerdictTimeout
	for _, loss := range slices.Clone(task.Losses()) {
		fate := ptgraph.WorkerGone
		switch {
		case loss.IsResolved() || !expired && !core.wasReplaced(loss.Worker):
			continue
		case expired && core.isInUse(loss.Worker):
			fate = ptgraph.WorkerSurvived
		}
		change := job.ResolveLoss(task, loss.Run, fate)
		run := ptrun.ID{Task: task.ID, Number: loss.Run}
		core.emit(LossResolved{Run: run, Fate: fate})
		core.emit(SaveProgress{Job: job})
		if change.JobEnded {
			core.emit(TaskGivenUp{Run: run, Losses: task.Losses()})
			core.closeJob(job, nil, now)
			return
		}
	}
	if !task.IsHeld() {
		delete(job.heldSince, task.ID)
		core.enqueue(job, now)
	}
}

// takeBackLoss takes back the loss of a run if its end shows that its worker has survived.
func (core *Core) takeBackLoss(job *Job, end ptrun.End) {
	if job.RecordSurvival(end) {
		core.emit(LossResolved{Run: end.Run, Fate: ptgraph.WorkerSurvived})
		core.emit(SaveProgress{Job: job})
	}
}

// wasReplaced reports whether the agent of a worker has reported another one since.
func (core *Core) wasReplaced(worker ptrun.WorkerID) bool {
	return slices.ContainsFunc(core.sortedAgents, func(agent *agentRecord) bool { return slices.Contains(agent.formerWorkers, worker) })
}

// isInUse reports whether an agent uses a worker with this ID.
func (core *Core) isInUse(worker ptrun.WorkerID) bool {
	return slices.ContainsFunc(core.sortedAgents, func(agent *agentRecord) bool {
		return agent.state.Worker == worker && agent.hasReport && !agent.state.Unusable
	})
}

// setWorker records the worker that an agent reports.
func (agent *agentRecord) setWorker(worker ptrun.WorkerID) {
	if former := agent.state.Worker; former != "" && former != worker {
		agent.formerWorkers = append(agent.formerWorkers, former)
		agent.formerWorkers = agent.formerWorkers[max(0, len(agent.formerWorkers)-maxFormerWorkers):]
	}
	agent.formerWorkers = slices.DeleteFunc(agent.formerWorkers, func(former ptrun.WorkerID) bool { return former == worker })
}
