package ptassign

import (
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
)

// StartupGrace is how long an entry that has just started expects agents to open their first
// sessions. It equals the time within which an agent that has lost its session dials again.
const StartupGrace = ptlink.ReconnectTimeout

// ExpectAgents makes the core admit jobs until the given instant although no agent has a session yet.
//
// After a loss of power of all VMs, callers reach an entry some hundred milliseconds before its agents
// do. No worker is connected then, which does not mean that none will be in time for these jobs.
func (core *Core) ExpectAgents(until ptid.Instant) { core.agentsExpectedUntil = until }

// expectsAgents reports whether agents of the service may still open their first sessions. Once one of
// them has reported a worker that may get orders, the forecast decides. Agents of evacuated zones don't
// count: they may be the first ones that connect.
func (core *Core) expectsAgents(service ptid.ServiceName, now ptid.Instant) bool {
	if now >= core.agentsExpectedUntil {
		return false
	}
	for _, agent := range core.sortedAgents {
		if agent.service == service && agent.isAvailable() {
			return false
		}
	}
	return true
}
