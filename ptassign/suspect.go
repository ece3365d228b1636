package ptassign

import (
	"math"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// IsolationWait is how long the order of an isolated run may wait at its agent for the end of the
	// other runs. Most tasks take less than that.
	IsolationWait = time.Second
	// isolationRetryDelay is the time between two attempts to isolate a run of a task.
	isolationRetryDelay = 100 * time.Millisecond
	// maxIsolationDelay is how long after the first refusal of an isolated run the task is started
	// beside others: where runs take long, isolation may be impossible.
	maxIsolationDelay = 5 * time.Second
	// All entries together use one of isolatingDivisor workers of a service for isolated runs, rounded
	// up. That also bounds how many workers suspects may crash at a time.
	isolatingDivisor = 2
	// avoidedWorkerPenalty is added to the cost of a worker that was lost with the task before, so that
	// the crashes of the task are observed on several workers, or that has refused to isolate it.
	avoidedWorkerPenalty = 10
)

// suspect is what the core knows about a task that may crash its workers.
type suspect struct {
	// avoided contains the agents whose workers were lost with the task, or have refused to isolate it.
	avoided []ptid.AgentName
	// drained is the agent at which the task has waited for isolation last. No other runs have started
	// there meanwhile.
	drained ptid.AgentName
	// retryAt is when the next isolated run may be placed, and fallbackAt when the next run need not
	// be isolated; zero if none was refused.
	retryAt, fallbackAt ptid.Instant
}

// TaskGivenUp reports that a job has failed because one of its tasks crashes its workers. Run is the
// run whose end has decided this.
type TaskGivenUp struct {
	Agent  ptid.AgentName
	Run    ptrun.ID
	Losses []ptgraph.RunLoss
}

func (TaskGivenUp) isEffect() {}

// needsIsolation reports whether the next run of the task must be isolated.
func (job *Job) needsIsolation(task *ptgraph.Task) bool {
	if !job.HasLosses() || task.Isolation() == 0 {
		return false
	}
	known := job.suspects[task.ID]
	return known == nil || known.fallbackAt == 0 || known.retryAt < known.fallbackAt
}

// suspect returns the record of a task, which it creates if there is none.
func (job *Job) suspect(id ptrun.TaskID) *suspect {
	if job.suspects == nil {
		job.suspects = make(map[ptrun.TaskID]*suspect)
	}
	if job.suspects[id] == nil {
		job.suspects[id] = &suspect{}
	}
	return job.suspects[id]
}

// recordSuspect updates the record of a task at the end of one of its runs.
func (job *Job) recordSuspect(agent ptid.AgentName, run *placedRun, end ptrun.End, now ptid.Instant) {
	switch {
	case end.Result == ptrun.Lost:
		record := job.suspect(run.task.ID)
		record.drained, record.retryAt, record.fallbackAt = "", 0, 0
		record.avoid(agent)
	case end.Result == ptrun.NeverStarted && run.isolated:
		record := job.suspect(run.task.ID)
		if record.fallbackAt == 0 {
			record.fallbackAt = now.Add(maxIsolationDelay)
		}
		if end.Reason == ptrun.ReasonStartDeadline {
			record.drained = agent
			return
		}
		record.retryAt = now.Add(isolationRetryDelay)
		record.avoid(agent)
	}
}

func (record *suspect) avoid(agent ptid.AgentName) {
	if !slices.Contains(record.avoided, agent) {
		record.avoided = append(record.avoided, agent)
	}
}

// placeSuspects places the ready tasks of a job that must be isolated. A job has one isolated run at
// a time: if several of its tasks crash their workers, the first one that is known to do so ends the
// job.
func (core *Core) placeSuspects(job *Job, now ptid.Instant) {
	if job.isolatedRuns > 0 {
		return
	}
	mayUseOther := core.mayIsolate(job.Queue.Service)
	for _, task := range job.Ready() {
		if !job.needsIsolation(task) || job.suspects[task.ID] != nil && now < job.suspects[task.ID].retryAt {
			continue
		}
		if chosen := core.chooseForIsolation(job, task, mayUseOther, now); chosen != nil {
			core.sendOrder(chosen, job, task, job.Place(task), placement{checkpoint: task.Checkpoint, isolation: task.Isolation()}, now)
			return
		}
		if mayUseOther {
			core.requestAdvice(job, task, now)
		}
	}
}

// mayIsolate reports whether a further worker of a service may be used for an isolated run.
func (core *Core) mayIsolate(service ptid.ServiceName) bool {
	workers, isolating := 0, 0
	for _, agent := range core.sortedAgents {
		if agent.service != service || !agent.connected || !agent.inService {
			continue
		}
		workers++
		if agent.isIsolating() {
			isolating++
		}
	}
	return isolating < (workers+isolatingDivisor-1)/isolatingDivisor
}

func (agent *agentRecord) isIsolating() bool { return agent.state.Isolating || agent.isolatedRuns > 0 }

// chooseForIsolation returns the agent that isolates the next run of the task; nil if there is none
// now. Unlike other tasks, the task may be placed on a worker without free capacity: it waits for the
// end of the runs there. If it has waited in vain, it waits at the same agent again, also where no
// other worker may be used.
func (core *Core) chooseForIsolation(job *Job, task *ptgraph.Task, mayUseOther bool, now ptid.Instant) (chosen *agentRecord) {
	known := job.suspects[task.ID]
	if known == nil {
		known = &suspect{}
	}
	if drained := core.agents[known.drained]; drained != nil && drained.isAvailable() && drained.isolatedRuns == 0 && core.fitsIsolated(drained, job, task, now) {
		return drained
	}
	if !mayUseOther {
		return nil
	}
	best := math.Inf(1)
	for _, candidates := range [][]*agentRecord{core.usable, core.quarantinedAgents} {
		for _, candidate := range candidates {
			if candidate.isIsolating() || !core.isUsableFor(candidate, job, now) || !core.fitsIsolated(candidate, job, task, now) {
				continue
			}
			cost := core.cost(candidate, task)
			if slices.Contains(known.avoided, candidate.name) {
				cost += avoidedWorkerPenalty
			}
			if cost < best {
				best, chosen = cost, candidate
			}
		}
		if chosen != nil {
			return chosen
		}
	}
	return nil
}

// fitsIsolated reports whether the worker can run the task once it has no other runs.
func (core *Core) fitsIsolated(candidate *agentRecord, job *Job, task *ptgraph.Task, now ptid.Instant) bool {
	if candidate.service != job.Queue.Service || !candidate.state.Capacity.Covers(task.Step.Reservation()) {
		return false
	}
	_, allowed := ticketFor(candidate, job, task, now)
	return allowed && meetsConstraints(candidate, job, task)
}
