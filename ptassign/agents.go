package ptassign

import (
	"cmp"
	"maps"
	"slices"

	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptspeed"
)

// AgentState is what an agent reports about its worker.
type AgentState struct {
	Worker   ptrun.WorkerID
	Capacity ptrun.Demand
	// Held is the capacity that the runs of all entries hold. Own is the part of Held that the
	// runs of this entry hold.
	Held     ptrun.Demand
	Own      ptrun.Demand
	Labels   []string
	Unusable bool
	// RequestedByOthers is the rate at which other entries request capacity.
	RequestedByOthers ptrun.MillicoresPerSecond
	// Assessment is the agent's assessment of the worker, based on the runs of all entries.
	// MayProbe allows this entry to send one probe task to a quarantined worker.
	Assessment ptfitness.Assessment
	MayProbe   bool
	// Speed is the speed of the worker, as measured by the agent.
	Speed ptspeed.Report
	// Isolating is true while a run is active in isolation, or waits for that.
	Isolating bool
}

// agentRecord is what the core knows about one agent and its worker.
type agentRecord struct {
	name ptid.AgentName
	// incarnation is the latest incarnation that has opened a session.
	incarnation ptid.Incarnation
	// connectedIncarnation is the incarnation that opened the latest session. It is earlier than
	// incarnation if the wall clock of the agent's VM was set back.
	connectedIncarnation ptid.Incarnation
	service              ptid.ServiceName
	sameZone             bool
	connected            bool
	// inService is false while the availability zone is evacuated, and until the worker has returned
	// afterwards: the worker is withheld.
	inService bool
	// connectedAt is when the agent opened its first session after it had none.
	connectedAt, disconnectedAt ptid.Instant
	state                       AgentState
	// formerWorkers contains the workers that the agent has reported before.
	formerWorkers []ptrun.WorkerID
	hasReport     bool
	heldByOthers  ptrun.Demand
	reserved      ptrun.Demand
	runs          map[ptrun.ID]*placedRun
	isolatedRuns  int
	observed      observations
	// quarantined is true if the worker gets only probe tasks, because its assessment is bad
	// compared with the assessments of the other workers of the service.
	quarantined bool
	// speed is the speed of the worker relative to the other workers of the service; 1 unless the
	// entry uses speeds. idleSince is when the worker last had runs; it is updated only with speeds.
	speed     float64
	idleSince ptid.Instant
	// expectedWork is the sum of the expected run times of the runs, each multiplied by its
	// reserved CPU.
	expectedWork float64
	zone         ptid.Zone
}

// free returns the worker's capacity less all known reservations.
func (agent *agentRecord) free() ptrun.Demand {
	return agent.state.Capacity.Minus(agent.heldByOthers).Minus(agent.reserved)
}

func (agent *agentRecord) isUsable(now ptid.Instant) bool {
	return agent.isAvailable() && agent.acceptsTask(now)
}

// AgentConnected records that an incarnation of an agent has opened a session. Runs of
// best-effort jobs that were sent to an earlier incarnation end with the result lost. The agent
// is asked for the state of all other runs. A greeting of an earlier incarnation proves nothing:
// a paused entry may read it late, and the wall clock of the agent's VM may have been set back.
func (core *Core) AgentConnected(name ptid.AgentName, incarnation ptid.Incarnation, service ptid.ServiceName, sameZone bool, now ptid.Instant) (effects []Effect) {
	agent := core.agentOf(name)
	if agent.incarnation < incarnation {
		core.loseRuns(agent, ptrun.ReasonRestarted, bestEffortRuns, now)
		agent.observed, agent.quarantined = newObservations(), false
		agent.incarnation = incarnation
	}
	if !agent.connected {
		agent.connectedAt = now
	}
	agent.service, agent.sameZone, agent.connected, agent.connectedIncarnation = service, sameZone, true, incarnation
	for _, run := range sortedRuns(agent.runs) {
		core.emit(SendQuery{Agent: name, Run: run})
		if agent.runs[run].stopped {
			// The first stop may have been lost with the previous session.
			core.emit(SendStop{Agent: name, Run: run, Reason: ptrun.ReasonStopRequested})
		}
	}
	core.placeWaiting(now)
	return core.takeEffects()
}

// agentOf returns the record of an agent, which it creates if there is none.
func (core *Core) agentOf(name ptid.AgentName) (agent *agentRecord) {
	if agent = core.agents[name]; agent == nil {
		agent = &agentRecord{name: name, inService: true, runs: make(map[ptrun.ID]*placedRun), observed: newObservations(), speed: 1}
		core.agents[name] = agent
		core.sortedAgents = slices.SortedFunc(maps.Values(core.agents), func(left, right *agentRecord) int { return cmp.Compare(left.name, right.name) })
	}
	return agent
}

func sortedRuns(runs map[ptrun.ID]*placedRun) []ptrun.ID {
	return slices.SortedFunc(maps.Keys(runs), ptrun.Compare)
}

// runScope selects which runs of an agent are meant.
type runScope bool

const (
	// bestEffortRuns selects only the runs of best-effort jobs. The ends of these runs are not
	// stored and can be lost when the agent restarts. A restarted agent still reports the ends of
	// runs of durable jobs, because the worker keeps each of these ends until the job's owner has
	// stored it.
	bestEffortRuns runScope = false
	// allRuns selects the runs of durable and best-effort jobs.
	allRuns runScope = true
)

// loseRuns ends runs of an agent with the result lost.
func (core *Core) loseRuns(agent *agentRecord, reason ptrun.Reason, scope runScope, now ptid.Instant) {
	lost := 0
	for _, run := range sortedRuns(agent.runs) {
		if scope == allRuns || !agent.runs[run].job.Durable {
			lost++
			core.runEnded(agent, ptrun.End{Run: run, Result: ptrun.Lost, Reason: reason}, now)
		}
	}
	if lost > 0 {
		core.emit(RunsLost{Agent: agent.name, Reason: reason, Runs: lost, DisconnectedAt: agent.disconnectedAt})
	}
}

// AgentDisconnected records that the session with an agent has ended.
func (core *Core) AgentDisconnected(name ptid.AgentName, now ptid.Instant) {
	if agent := core.agents[name]; agent != nil {
		agent.connected, agent.disconnectedAt, agent.hasReport = false, now, false
	}
}

// AgentReported processes the state that an agent reports about its worker.
func (core *Core) AgentReported(name ptid.AgentName, state AgentState, now ptid.Instant) (effects []Effect) {
	agent := core.agents[name]
	if agent == nil {
		return nil
	}
	if agent.state.Worker != state.Worker {
		agent.observed, agent.quarantined = newObservations(), false
	}
	agent.mergeReport(&state, now)
	agent.setWorker(state.Worker)
	severityChanged := agent.state.Assessment.Severity() != state.Assessment.Severity()
	agent.state, agent.hasReport = state, true
	core.noteServing(agent)
	core.updateSpeed(agent)
	if severityChanged {
		core.updateQuarantine()
	}
	agent.heldByOthers = state.Held.Minus(state.Own)
	core.placeWaiting(now)
	return core.takeEffects()
}
