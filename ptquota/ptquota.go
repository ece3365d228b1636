// Package ptquota limits how many tasks of a team and of a profile run at once across
// all entries. It has no I/O.
//
// # How it works
//
//  1. Every team and every profile with a limit is an account. An entry runs at most its
//     share of an account; the shares of all entries add up to no more than the limit.
//  2. One agent, the coordinator of the account, gives out the shares of the account. The
//     coordinator is the agent with the highest hash of account and agent name
//     (rendezvous hashing), so that all entries choose the same agent without
//     communication.
//  3. An entry sends claims to the coordinator: its demand, and how many tasks it has
//     running. The coordinator computes max-min fair shares of the limit.
//  4. The coordinator reserves for every entry the highest of its share, its running
//     tasks, and every earlier share that the entry may still apply. It raises a share to
//     at most the limit minus the reservations of the other entries. Shares have version
//     numbers. A claim contains the version of the share that the entry applies; the
//     coordinator then knows that the entry no longer applies earlier versions. An entry
//     whose share is lowered sends a new claim, and starts no task until it runs fewer
//     tasks than the new share. While the total demand of all entries exceeds the limit,
//     an entry returns the unused part of its share at once. Otherwise the entry keeps its
//     share, because no other entry needs the unused part.
//  5. A coordinator that takes over an account does not know the shares that its
//     predecessor gave. For [TakeoverGrace] it raises no share above the number of tasks
//     that the entry has running.
//  6. The claim of an entry whose session has ended counts for [ClaimRetention].
//
// # Usage
//
//	limiter.Acquire(profile, team); limiter.Release(profile, team)   // entry
//	shares := coordinator.HandleClaim(entry, claim, now)             // agent
//
// # Limits
//
// While entries have sessions with different agents, they may choose two coordinators
// for an account, and the shares of the second one can exceed the limit. This lasts for
// one heartbeat interval.
package ptquota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// TakeoverGrace is how long a new coordinator raises no share above the number of tasks
	// that the entry has running.
	TakeoverGrace = 300 * time.Millisecond
	// ClaimRetention is how long the claim of an entry counts after its session has ended.
	ClaimRetention = 3 * time.Second
)

// Account identifies a team or a profile with a limit.
type Account string

// TeamAccount returns the account of a team.
func TeamAccount(team ptid.TeamName) Account { return "team/" + Account(team) }

// ProfileAccount returns the account of a profile.
func ProfileAccount(profile ptid.ProfileName) Account { return "profile/" + Account(profile) }

// CoordinatorOf returns the agent that coordinates an account, or an empty name without
// agents.
func CoordinatorOf(account Account, agents []ptid.AgentName) (coordinator ptid.AgentName) {
	var best uint64
	for _, agent := range agents {
		hash := xxhash.Sum64String(string(account) + "\x00" + string(agent))
		if coordinator == "" || hash > best || (hash == best && agent > coordinator) {
			coordinator, best = agent, hash
		}
	}
	return coordinator
}

// Claim is an entry's request for a share of an account.
type Claim struct {
	Account Account
	Limit   int
	// Demand is how many tasks the entry has running or waiting, at most the limit.
	Demand int
	// InUse is how many tasks the entry has running.
	InUse int
	// Share is the share that the entry applies, and Version the version of that share.
	Share   int
	Version uint64
	// CoordinatorChanged is true if the entry previously used another coordinator for the
	// account.
	CoordinatorChanged bool
}

// Share is the part of an account's limit that one entry may use.
type Share struct {
	Account Account
	Entry   ptid.EntryName
	Count   int
	// Version is the sequence number of the share. It increases with every share of the
	// account that is sent to the entry.
	Version uint64
	// Contended is true if the total demand of all entries exceeds the limit. While it is
	// true, the entry has to return the unused part of its share at once.
	Contended bool
}

// claimant is the coordinator's state of one entry with a claim on an account.
type claimant struct {
	demand int
	inUse  int
	// share is the latest share of the entry. sentShares holds the shares that the entry
	// may still apply: the share in its latest claim, and all later shares that were sent
	// to it.
	share      int
	sentShares []sentShare
	version    uint64
	// sessionClosedAt is zero while the entry has a session.
	sessionClosedAt ptid.Instant
}

type sentShare struct {
	version uint64
	count   int
}

func (claimant *claimant) reserved() (reserved int) {
	reserved = max(claimant.share, claimant.inUse)
	for _, sent := range claimant.sentShares {
		reserved = max(reserved, sent.count)
	}
	return reserved
}

// acknowledge processes the version in a claim of the entry. It discards the shares that the
// coordinator has sent to the entry with a lower version than this version, because the entry no
// longer applies these shares. It never discards the latest sent share.
func (claimant *claimant) acknowledge(version uint64) {
	for len(claimant.sentShares) > 1 && claimant.sentShares[0].version < version {
		claimant.sentShares = claimant.sentShares[1:]
	}
}

type coordinatedAccount struct {
	limit int
	// takenOverAt is when the coordinator last received a claim with CoordinatorChanged set,
	// which starts the takeover grace period. It is zero if there was no such claim.
	takenOverAt ptid.Instant
	contended   bool
	claimants   map[ptid.EntryName]*claimant
}

// Coordinator gives out the shares of the accounts that an agent coordinates. It is not
// safe for concurrent use.
type Coordinator struct {
	accounts map[Account]*coordinatedAccount
}

// NewCoordinator returns a coordinator without accounts.
func NewCoordinator() *Coordinator {
	return &Coordinator{accounts: make(map[Account]*coordinatedAccount)}
}

// HandleClaim records a claim of an entry. It returns the shares of all entries whose
// share has changed, and in any case the share of the claiming entry.
func (coordinator *Coordinator) HandleClaim(entry ptid.EntryName, claim Claim, now ptid.Instant) (shares []Share) {
	account := coordinator.accounts[claim.Account]
	if account == nil {
		account = &coordinatedAccount{claimants: make(map[ptid.EntryName]*claimant)}
		coordinator.accounts[claim.Account] = account
	}
	account.limit = claim.Limit
	if claim.CoordinatorChanged {
		account.takenOverAt = now
	}
	own := account.claimants[entry]
	if own == nil {
		own = &claimant{version: claim.Version, sentShares: []sentShare{{version: claim.Version, count: claim.Share}}}
		account.claimants[entry] = own
	}
	own.demand, own.inUse, own.sessionClosedAt = claim.Demand, claim.InUse, 0
	own.acknowledge(claim.Version)
	changed := account.recompute(now)
	changed = append(changed, entry)
	slices.Sort(changed)
	for _, name := range slices.Compact(changed) {
		shares = append(shares, account.newShare(claim.Account, name))
	}
	return shares
}

// SessionClosed records that the session with an entry has ended.
func (coordinator *Coordinator) SessionClosed(entry ptid.EntryName, now ptid.Instant) {
	for _, account := range coordinator.accounts {
		if claimant := account.claimants[entry]; claimant != nil {
			claimant.sessionClosedAt = now
		}
	}
}

// Tick deletes the claims of entries without a session after [ClaimRetention], and returns
// the shares that have changed.
func (coordinator *Coordinator) Tick(now ptid.Instant) (shares []Share) {
	for accountName, account := range coordinator.accounts {
		for entry, claimant := range account.claimants {
			if claimant.sessionClosedAt != 0 && now.Sub(claimant.sessionClosedAt) > ClaimRetention {
				delete(account.claimants, entry)
			}
		}
		for _, name := range account.recompute(now) {
			shares = append(shares, account.newShare(accountName, name))
		}
		if len(account.claimants) == 0 {
			delete(coordinator.accounts, accountName)
		}
	}
	return shares
}

func (account *coordinatedAccount) newShare(name Account, entry ptid.EntryName) Share {
	claimant := account.claimants[entry]
	claimant.version++
	if last := &claimant.sentShares[len(claimant.sentShares)-1]; last.count == claimant.share {
		last.version = claimant.version
	} else {
		claimant.sentShares = append(claimant.sentShares, sentShare{version: claimant.version, count: claimant.share})
	}
	return Share{Account: name, Entry: entry, Count: claimant.share, Version: claimant.version, Contended: account.contended}
}

// recompute computes the shares and returns the entries that need a new share message: the
// entries whose share has changed, or all entries if the value of contended has changed.
func (account *coordinatedAccount) recompute(now ptid.Instant) (changed []ptid.EntryName) {
	fairShares := account.fairShares()
	demand := 0
	for _, claimant := range account.claimants {
		demand += claimant.demand
	}
	contentionChanged := account.contended != (demand > account.limit)
	account.contended = demand > account.limit
	names := make([]ptid.EntryName, 0, len(fairShares))
	for name := range fairShares {
		names = append(names, name)
	}
	slices.Sort(names)
	// Shares are lowered first, because a share can be raised only by capacity that no other
	// entry has reserved.
	for _, name := range names {
		if claimant := account.claimants[name]; fairShares[name] < claimant.share {
			claimant.share = fairShares[name]
			changed = append(changed, name)
		}
	}
	inGracePeriod := account.takenOverAt != 0 && now.Sub(account.takenOverAt) < TakeoverGrace
	for _, name := range names {
		claimant := account.claimants[name]
		allowed := min(fairShares[name], account.limit-account.reservedByOthers(name))
		if inGracePeriod {
			allowed = min(allowed, claimant.inUse)
		}
		if allowed > claimant.share {
			claimant.share = allowed
			changed = append(changed, name)
		}
	}
	if contentionChanged {
		return names
	}
	return changed
}

func (account *coordinatedAccount) reservedByOthers(entry ptid.EntryName) (reserved int) {
	for name, claimant := range account.claimants {
		if name != entry {
			reserved += claimant.reserved()
		}
	}
	return reserved
}

// fairShares returns the max-min fair shares of the limit.
func (account *coordinatedAccount) fairShares() (fairShares map[ptid.EntryName]int) {
	fairShares = make(map[ptid.EntryName]int, len(account.claimants))
	names := make([]ptid.EntryName, 0, len(account.claimants))
	for name := range account.claimants {
		names = append(names, name)
	}
	slices.SortFunc(names, func(left, right ptid.EntryName) int {
		if difference := account.claimants[left].demand - account.claimants[right].demand; difference != 0 {
			return difference
		}
		if left < right {
			return -1
		}
		return 1
	})
	remaining := account.limit
	for i, name := range names {
		fair := (remaining + len(names) - i - 1) / (len(names) - i)
		fairShares[name] = min(account.claimants[name].demand, fair)
		remaining -= fairShares[name]
	}
	return fairShares
}
