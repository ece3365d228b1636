// Package ptquota bounds how many tasks of a team and of a profile run at once
// across all entries. It has no I/O.
//
// # How it works
//
//  1. Every limited team and profile is an account. An entry runs at most its share
//     of an account; the shares of all entries add up to no more than the limit.
//  2. The shares of an account are given out by one agent, its keeper: the one with
//     the highest hash of account and name, so that all entries choose alike without
//     talking to each other.
//  3. An entry claims: it tells the keeper what it wants and what it holds. The
//     keeper gives max-min fair shares of what is wanted.
//  4. A share is raised only as far as the others' shares, and what they still hold
//     above them, leave room. An entry that is told a lower share starts nothing
//     more until it is below, and claims again. Shares are numbered, and a claim names
//     the one that it was made under: until then the keeper reserves the highest that
//     the entry may still go by.
//     While more is wanted than there is, it also gives back at once what it no
//     longer wants; otherwise it keeps its share, which nobody misses.
//  5. A keeper that takes an account over knows nothing of the shares that the
//     earlier one gave. For [TakeoverGrace] it gives to nobody more than what is held already.
//  6. The claim of an entry whose session is gone counts for [ClaimRetention].
//
// # Usage
//
//	ledger.Take(profile, team); ledger.Release(profile, team)   // entry
//	shares := keeper.Claim(entry, claim, now)                   // agent
//
// # Limits
//
// While entries know different agents, an account can have two keepers, and the
// limit can be passed by what the second one gives. It lasts for a heartbeat.
package ptquota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// TakeoverGrace is how long a new keeper only confirms what is held.
	TakeoverGrace = 300 * time.Millisecond
	// ClaimRetention is how long the claim of a lost entry counts.
	ClaimRetention = 3 * time.Second
)

// Account is a limited team or profile.
type Account string

// TeamAccount returns the account of a team.
func TeamAccount(team ptid.TeamName) Account { return "team/" + Account(team) }

// ProfileAccount returns the account of a profile.
func ProfileAccount(profile ptid.ProfileName) Account { return "profile/" + Account(profile) }

// CoordinatorOf returns the agent that keeps an account. Without agents it is empty.
func CoordinatorOf(account Account, agents []ptid.AgentName) (keeper ptid.AgentName) {
	var best uint64
	for _, agent := range agents {
		hash := xxhash.Sum64String(string(account) + "\x00" + string(agent))
		if keeper == "" || hash > best || (hash == best && agent > keeper) {
			keeper, best = agent, hash
		}
	}
	return keeper
}

// Claim is what an entry tells the keeper of an account.
type Claim struct {
	Account Account
	Limit   int
	// Demand is how many tasks the entry could run now.
	Demand int
	// InUse is how many it runs now.
	InUse int
	// Share is the share that the entry goes by, and Version the one that it came with.
	Share   int
	Version uint64
	// CoordinatorChanged tells that the entry had another keeper for the account before.
	CoordinatorChanged bool
}

// Share is what the keeper allows one entry.
type Share struct {
	Account Account
	Entry   ptid.EntryName
	Count   int
	// Version numbers the shares that an entry is told.
	Version uint64
	// Contended tells that more is wanted than there is: then unused parts of a share
	// are to be given back at once.
	Contended bool
}

type claimant struct {
	want    int
	holding int
	// share is what the entry is to go by, sent what it may still go by: the share of
	// its latest claim and all that were sent since.
	share   int
	sent    []sentShare
	version uint64
	lostAt  ptid.Instant
}

type sentShare struct {
	version uint64
	count   int
}

func (claimant *claimant) reserved() (reserved int) {
	reserved = max(claimant.share, claimant.holding)
	for _, sent := range claimant.sent {
		reserved = max(reserved, sent.count)
	}
	return reserved
}

// seen forgets the shares before the one that a claim was made under.
func (claimant *claimant) seen(version uint64) {
	for len(claimant.sent) > 1 && claimant.sent[0].version < version {
		claimant.sent = claimant.sent[1:]
	}
}

type book struct {
	limit int
	// takenOverAt is when an entry last came over from another keeper.
	takenOverAt ptid.Instant
	contended   bool
	claimants   map[ptid.EntryName]*claimant
}

// Coordinator is the agent's side. It is not safe for concurrent use.
type Coordinator struct{ books map[Account]*book }

// NewCoordinator returns a keeper without accounts.
func NewCoordinator() *Coordinator { return &Coordinator{books: make(map[Account]*book)} }

// HandleClaim takes an entry's claim and returns the shares that have changed, and
// always that of the entry itself.
func (keeper *Coordinator) HandleClaim(entry ptid.EntryName, claim Claim, now ptid.Instant) (shares []Share) {
	accounts := keeper.books[claim.Account]
	if accounts == nil {
		accounts = &book{claimants: make(map[ptid.EntryName]*claimant)}
		keeper.books[claim.Account] = accounts
	}
	accounts.limit = claim.Limit
	if claim.CoordinatorChanged {
		accounts.takenOverAt = now
	}
	own := accounts.claimants[entry]
	if own == nil {
		own = &claimant{version: claim.Version, sent: []sentShare{{version: claim.Version, count: claim.Share}}}
		accounts.claimants[entry] = own
	}
	own.want, own.holding, own.lostAt = claim.Demand, claim.InUse, 0
	own.seen(claim.Version)
	changed := accounts.share(now)
	changed = append(changed, entry)
	slices.Sort(changed)
	for _, name := range slices.Compact(changed) {
		shares = append(shares, accounts.shareOf(claim.Account, name))
	}
	return shares
}

// SessionClosed tells that the session to an entry has ended.
func (keeper *Coordinator) SessionClosed(entry ptid.EntryName, now ptid.Instant) {
	for _, book := range keeper.books {
		if claimant := book.claimants[entry]; claimant != nil {
			claimant.lostAt = now
		}
	}
}

// Tick forgets lost entries and returns the shares that have changed since.
func (keeper *Coordinator) Tick(now ptid.Instant) (shares []Share) {
	for account, book := range keeper.books {
		for entry, claimant := range book.claimants {
			if claimant.lostAt != 0 && now.Sub(claimant.lostAt) > ClaimRetention {
				delete(book.claimants, entry)
			}
		}
		for _, name := range book.share(now) {
			shares = append(shares, book.shareOf(account, name))
		}
		if len(book.claimants) == 0 {
			delete(keeper.books, account)
		}
	}
	return shares
}

func (book *book) shareOf(account Account, entry ptid.EntryName) Share {
	claimant := book.claimants[entry]
	claimant.version++
	if last := &claimant.sent[len(claimant.sent)-1]; last.count == claimant.share {
		last.version = claimant.version
	} else {
		claimant.sent = append(claimant.sent, sentShare{version: claimant.version, count: claimant.share})
	}
	return Share{Account: account, Entry: entry, Count: claimant.share, Version: claimant.version, Contended: book.contended}
}

// share computes the shares anew and returns whose have changed.
func (book *book) share(now ptid.Instant) (changed []ptid.EntryName) {
	targets := book.targets()
	wanted := 0
	for _, claimant := range book.claimants {
		wanted += claimant.want
	}
	contentionChanged := book.contended != (wanted > book.limit)
	book.contended = wanted > book.limit
	names := make([]ptid.EntryName, 0, len(targets))
	for name := range targets {
		names = append(names, name)
	}
	slices.Sort(names)
	// Lower shares first: only they make room for higher ones.
	for _, name := range names {
		if claimant := book.claimants[name]; targets[name] < claimant.share {
			claimant.share = targets[name]
			changed = append(changed, name)
		}
	}
	fresh := book.takenOverAt != 0 && now.Sub(book.takenOverAt) < TakeoverGrace
	for _, name := range names {
		claimant := book.claimants[name]
		allowed := min(targets[name], book.limit-book.reservedByOthers(name))
		if fresh {
			allowed = min(allowed, claimant.holding)
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

func (book *book) reservedByOthers(entry ptid.EntryName) (reserved int) {
	for name, claimant := range book.claimants {
		if name != entry {
			reserved += claimant.reserved()
		}
	}
	return reserved
}

// targets returns the max-min fair shares of what is wanted.
func (book *book) targets() (targets map[ptid.EntryName]int) {
	targets = make(map[ptid.EntryName]int, len(book.claimants))
	names := make([]ptid.EntryName, 0, len(book.claimants))
	for name := range book.claimants {
		names = append(names, name)
	}
	slices.SortFunc(names, func(left, right ptid.EntryName) int {
		if difference := book.claimants[left].want - book.claimants[right].want; difference != 0 {
			return difference
		}
		if left < right {
			return -1
		}
		return 1
	})
	remaining := book.limit
	for i, name := range names {
		fair := (remaining + len(names) - i - 1) / (len(names) - i)
		targets[name] = min(book.claimants[name].want, fair)
		remaining -= targets[name]
	}
	return targets
}
