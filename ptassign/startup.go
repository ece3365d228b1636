package ptassign

import (
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
)

// StartupGrace is how long an entry that has just started expects agents to open their first
// sessions. It equals the time within which an agent that has lost its session dials again.
const StartupGrace = ptlink.ReconnectTimeout

// startup is what the core knows about the first sessions after the start of the entry.
type startup struct {
	// expectedUntil is the end of the time in which agents may open their first sessions.
	expectedUntil ptid.Instant
	// served contains the services of which a worker has been available for orders.
	served map[ptid.ServiceName]bool
}

// ExpectAgents makes the core admit jobs until the given instant although no agent has a session yet.
//
// After a loss of power of all VMs, callers reach an entry some hundred milliseconds before its agents
// do. No worker is connected then, which does not mean that none will be in time for these jobs.
func (core *Core) ExpectAgents(until ptid.Instant) {
	core.startup = startup{expectedUntil: until, served: make(map[ptid.ServiceName]bool)}
}

// noteServing records that a worker of the agent's service may get orders.
func (core *Core) noteServing(agent *agentRecord) {
	if core.startup.served != nil && agent.isAvailable() {
		core.startup.served[agent.service] = true
	}
}

// expectsAgents reports whether agents of the service may still open their first sessions. Once one of
// them has reported a worker that may get orders, the forecast decides. Agents of evacuated zones don't
// count: they may be the first ones that connect.
func (core *Core) expectsAgents(service ptid.ServiceName, now ptid.Instant) bool {
	return now < core.startup.expectedUntil && !core.startup.served[service]
}
