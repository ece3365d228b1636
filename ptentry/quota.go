package ptentry

import (
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptquota"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// sendClaims sends the quota claims that are due to their keepers.
func (entry *Entry) sendClaims() {
	entry.mu.Lock()
	stale := entry.keepersStale
	entry.keepersStale = false
	entry.mu.Unlock()
	if stale {
		entry.chooseKeepers()
	}
	for _, claim := range entry.ledger.DueClaims(false) {
		entry.sendClaim(claim, false)
	}
}

// chooseKeepers finds the keepers anew after agents have come or gone, and claims
// at once from those that have changed.
func (entry *Entry) chooseKeepers() {
	entry.mu.Lock()
	before := entry.keepers
	entry.keepers = make(map[ptquota.Account]ptid.AgentName, len(before))
	entry.mu.Unlock()
	for _, claim := range entry.ledger.DueClaims(true) {
		previous, known := before[claim.Account]
		name := entry.keeper(claim.Account)
		entry.sendClaim(claim, known && previous != "" && previous != name)
	}
}

func (entry *Entry) sendClaim(claim ptquota.Claim, moved bool) {
	name := entry.keeper(claim.Account)
	entry.mu.Lock()
	link := entry.links[name]
	entry.mu.Unlock()
	if link == nil {
		return
	}
	message := &ptwire.QuotaClaim{
		Account: string(claim.Account), Limit: uint32(claim.Limit), Want: uint32(claim.Demand),
		Holding: uint32(claim.InUse), Share: uint32(claim.Share), Version: claim.Version, Moved: moved,
	}
	link.session.Post(func(frame *ptwire.Frame) { frame.QuotaClaims = append(frame.QuotaClaims, message) })
}

// keeper returns the agent that keeps an account; it is empty without agents.
func (entry *Entry) keeper(account ptquota.Account) (name ptid.AgentName) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	name, known := entry.keepers[account]
	if !known {
		names := make([]ptid.AgentName, 0, len(entry.links))
		for agent := range entry.links {
			names = append(names, agent)
		}
		name = ptquota.CoordinatorOf(account, names)
		entry.keepers[account] = name
	}
	return name
}

// placeElsewhere places what a new share lets through in the services that the frame
// with it did not concern: a team's quota spans services.
func (entry *Entry) placeElsewhere(except *service, now ptid.Instant) {
	for _, service := range *entry.services.Load() {
		if service != except {
			service.place(now)
		}
	}
}
