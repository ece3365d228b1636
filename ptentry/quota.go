package ptentry

import (
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptquota"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// sendClaims sends the quota claims that are due to the coordinators of their accounts.
func (entry *Entry) sendClaims() {
	entry.mu.Lock()
	stale := entry.coordinatorsStale
	entry.coordinatorsStale = false
	entry.mu.Unlock()
	if stale {
		entry.chooseCoordinators()
	}
	for _, claim := range entry.limiter.DueClaims(false) {
		entry.sendClaim(claim, false)
	}
}

// chooseCoordinators recomputes the coordinators after agents have been added or removed, and
// sends the claims of all accounts at once.
func (entry *Entry) chooseCoordinators() {
	entry.mu.Lock()
	before := entry.coordinators
	entry.coordinators = make(map[ptquota.Account]ptid.AgentName, len(before))
	entry.mu.Unlock()
	for _, claim := range entry.limiter.DueClaims(true) {
		previous, known := before[claim.Account]
		name := entry.coordinator(claim.Account)
		entry.sendClaim(claim, known && previous != "" && previous != name)
	}
}

func (entry *Entry) sendClaim(claim ptquota.Claim, coordinatorChanged bool) {
	name := entry.coordinator(claim.Account)
	entry.mu.Lock()
	agent := entry.agents[name]
	entry.mu.Unlock()
	if agent == nil {
		return
	}
	message := &ptwire.QuotaClaim{
		Account: string(claim.Account), Limit: uint32(claim.Limit), Want: uint32(claim.Demand),
		Holding: uint32(claim.InUse), Share: uint32(claim.Share), Version: claim.Version, Moved: coordinatorChanged,
	}
	agent.session.Post(func(frame *ptwire.Frame) { frame.QuotaClaims = append(frame.QuotaClaims, message) })
}

// coordinator returns the agent that coordinates an account. It is empty if there are no
// agents.
func (entry *Entry) coordinator(account ptquota.Account) (name ptid.AgentName) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	name, known := entry.coordinators[account]
	if !known {
		names := make([]ptid.AgentName, 0, len(entry.agents))
		for agent := range entry.agents {
			names = append(names, agent)
		}
		name = ptquota.CoordinatorOf(account, names)
		entry.coordinators[account] = name
	}
	return name
}

// placeInOtherServices places the queued tasks of all services except one. A new share of a team's
// quota can allow tasks of every service to start, but receiving the frame with the share places
// only tasks of the sending agent's service. That service is the excepted one.
func (entry *Entry) placeInOtherServices(except *serviceScheduler, now ptid.Instant) {
	for _, service := range *entry.services.Load() {
		if service != except {
			service.place(now)
		}
	}
}
