package ptassign

import (
	"math"
	"slices"

	"github.com/primrosetiller/primrosetiller/ptevacuation"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// evacuation is what the core knows about evacuated availability zones. Where no zone has been
// evacuated, it affects no decision.
type evacuation struct {
	state   ptevacuation.State
	returns ptevacuation.Returns
	// required means that nothing is placed until known is true: an entry that has restarted while a
	// zone is evacuated does not know that yet.
	required, known bool
	// withheld is the number of agents whose workers get no orders.
	withheld int
}

// evacuationNeed is how many of a job's ready tasks can run only on withheld workers.
type evacuationNeed uint8

const (
	noneNeedsEvacuated evacuationNeed = iota
	someNeedEvacuated
	allNeedEvacuated
)

// RequireEvacuation makes the core place nothing before the first call of [Core.SetEvacuation].
func (core *Core) RequireEvacuation() { core.evacuation.required = true }

// Evacuation returns the state of the evacuated zones.
func (core *Core) Evacuation() ptevacuation.State { return core.evacuation.state }

// awaitsEvacuation reports whether nothing may be placed yet.
func (core *Core) awaitsEvacuation() bool {
	return core.evacuation.required && !core.evacuation.known
}

// SetEvacuation sets the evacuated zones. Their workers get no further orders. Best-effort jobs that
// only these workers could run are refused, durable ones wait.
func (core *Core) SetEvacuation(state ptevacuation.State, now ptid.Instant) (effects []Effect) {
	core.evacuation.returns.Update(core.evacuation.state, state, now)
	core.evacuation.state, core.evacuation.known = state, true
	core.updateWithheld(now)
	core.refuseEvacuated(now)
	core.placeWaiting(now)
	return core.takeEffects()
}

// AgentLocated records the availability zone of an agent. Call it before [Core.AgentConnected], which
// may place tasks on the agent's worker.
func (core *Core) AgentLocated(name ptid.AgentName, zone ptid.Zone, now ptid.Instant) {
	core.agentOf(name).zone = zone
	core.updateWithheld(now)
}

// HasAgentIn reports whether an agent in the availability zone has had a session with this entry.
func (core *Core) HasAgentIn(zone ptid.Zone) bool {
	return slices.ContainsFunc(core.sortedAgents, func(agent *agentRecord) bool { return agent.zone == zone })
}

// updateWithheld determines the workers that get no orders.
func (core *Core) updateWithheld(now ptid.Instant) {
	core.evacuation.withheld = 0
	for _, agent := range core.sortedAgents {
		agent.inService = !core.evacuation.state.Contains(agent.zone) && now >= core.evacuation.returns.ReturnsAt(agent.zone, agent.name)
		if !agent.inService {
			core.evacuation.withheld++
		}
	}
}

// hasUsableWorker reports whether the agent has a session and has reported a usable worker, be it
// withheld or not.
func (agent *agentRecord) hasUsableWorker() bool {
	return agent.connected && agent.hasReport && !agent.state.Unusable
}

// isServing reports whether the worker can run tasks now or soon.
func (agent *agentRecord) isServing(now ptid.Instant) bool {
	return agent.isAvailable() || agent.mayReconnect(now)
}

// refuseUnservable refuses the jobs of which no run can have started and that no worker can run.
func (core *Core) refuseUnservable(now ptid.Instant) {
	if core.evacuation.withheld > 0 {
		core.updateWithheld(now)
		core.refuseEvacuated(now)
	}
	core.expireAll(core.jobsWithoutWorker(now), NoWorker, now)
}

// refuseEvacuated determines which waiting jobs only withheld workers could run, and refuses those of
// them that are best-effort and of which no run can have started.
func (core *Core) refuseEvacuated(now ptid.Instant) {
	if core.evacuation.withheld == 0 {
		return
	}
	var refused []Key
	withheldServices := make(map[ptid.ServiceName]bool)
	for _, agent := range core.sortedAgents {
		if !agent.inService {
			withheldServices[agent.service] = core.isWithheld(agent.service, now)
		}
	}
	for _, job := range core.waiting {
		job.evacuationNeed = core.evacuationNeedOf(job, now)
		needs := job.evacuationNeed != noneNeedsEvacuated || withheldServices[job.Queue.Service]
		if needs && !job.Durable && job.CertainlyUnstarted() && !job.State().Ended() {
			refused = append(refused, job.Key())
		}
	}
	core.expireAll(refused, Evacuated, now)
}

// isWithheld reports whether all workers of a service that could run tasks are withheld.
func (core *Core) isWithheld(service ptid.ServiceName, now ptid.Instant) bool {
	if core.expectsAgents(service, now) {
		return false
	}
	withheld := false
	for _, agent := range core.sortedAgents {
		if agent.service == service && agent.isServing(now) {
			return false
		}
		withheld = withheld || agent.service == service && !agent.inService && agent.state.Worker != ""
	}
	return withheld
}

// isRefusedForEvacuation reports whether a submitted job is refused because of an evacuation.
func (core *Core) isRefusedForEvacuation(job *Job, now ptid.Instant) bool {
	return core.evacuation.withheld > 0 && (core.evacuationNeedOf(job, now) != noneNeedsEvacuated || core.isWithheld(job.Queue.Service, now))
}

// awaitsReturn reports whether none of the job's ready tasks can run before withheld workers return.
// Such a job waits without blocking others: it is not placed, requests no capacity, and is not ahead of
// other jobs in the forecast.
func (core *Core) awaitsReturn(job *Job) bool {
	return core.evacuation.withheld > 0 && job.evacuationNeed == allNeedEvacuated
}

// isBlockedByEvacuation reports whether a task of the job can't be placed for the lack of a withheld
// worker, which says nothing about the jobs behind it.
func (core *Core) isBlockedByEvacuation(job *Job) bool {
	return core.evacuation.withheld > 0 && job.evacuationNeed != noneNeedsEvacuated
}

// evacuationNeedOf returns how many of the job's ready tasks can run only on withheld workers. Withheld
// workers count also without a session: the operator may have stopped the machines of the zone.
func (core *Core) evacuationNeedOf(job *Job, now ptid.Instant) evacuationNeed {
	if core.evacuation.withheld == 0 || core.expectsAgents(job.Queue.Service, now) {
		return noneNeedsEvacuated
	}
	ready, needing := 0, 0
	var step *ptgraph.Step
	needsEvacuated := false
	for _, task := range job.Ready() {
		if task.Step != step {
			step = task.Step
			needsEvacuated = core.needsEvacuated(job, step, now)
		}
		ready++
		if needsEvacuated {
			needing++
		}
	}
	switch needing {
	case 0:
		return noneNeedsEvacuated
	case ready:
		return allNeedEvacuated
	default:
		return someNeedEvacuated
	}
}

// needsEvacuated reports whether the workers that are not withheld can't run a task of the step, or all
// tasks of a gang, even with no other runs, and all workers together can.
func (core *Core) needsEvacuated(job *Job, step *ptgraph.Step, now ptid.Instant) bool {
	needed := 1
	if step.Gang {
		needed = step.Count
	}
	serving, withheld := 0, 0
	for _, agent := range core.sortedAgents {
		switch {
		case agent.service != job.Queue.Service:
		case !agent.inService:
			withheld += agent.tasksAtOnce(step, needed)
		case agent.isServing(now):
			if serving += agent.tasksAtOnce(step, needed); serving >= needed {
				return false
			}
		}
	}
	return serving+withheld >= needed
}

// tasksAtOnce returns how many tasks of a step the worker could run at a time if it had no other runs,
// up to a limit.
func (agent *agentRecord) tasksAtOnce(step *ptgraph.Step, limit int) (tasks int) {
	if agent.state.Worker == "" || !agent.state.Capacity.Covers(step.Demand) || step.Label != "" && !slices.Contains(agent.state.Labels, step.Label) {
		return 0
	}
	tasks = min(limit, demandsIn(agent.state.Capacity, step.Reservation()))
	if step.MaxPerWorker > 0 {
		tasks = min(tasks, step.MaxPerWorker)
	}
	return tasks
}

// demandsIn returns how often a demand fits into a capacity.
func demandsIn(capacity, demand ptrun.Demand) (count int) {
	count = math.MaxInt
	for _, part := range [][2]int64{
		{int64(capacity.CPU), int64(demand.CPU)}, {int64(capacity.Memory), int64(demand.Memory)}, {capacity.Accelerators, demand.Accelerators},
	} {
		if part[1] > 0 {
			count = min(count, int(max(0, part[0])/part[1]))
		}
	}
	return count
}
