package ptquota

import (
	"sync"
	"sync/atomic"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptprofile"
)

// entryAccount is the entry's side of one account.
type entryAccount struct {
	limit   atomic.Int64
	share   atomic.Int64
	running atomic.Int64
	waiting atomic.Int64
	// contended tells that unused parts of the share are wanted elsewhere.
	contended atomic.Bool
	version   atomic.Uint64
	// lowered tells that the share was lowered since the last claim, which the keeper
	// has to be told before it gives the difference to others.
	lowered atomic.Bool
	// claimed is what the keeper was last told to be wanted.
	claimed Claim
}

// Limiter is the entry's side of all accounts. It is safe for concurrent use.
type Limiter struct {
	mu       sync.RWMutex
	accounts map[Account]*entryAccount
}

// NewLimiter returns a ledger without accounts.
func NewLimiter() *Limiter { return &Limiter{accounts: make(map[Account]*entryAccount)} }

// SetLimit sets the limit of an account from the configuration.
func (ledger *Limiter) SetLimit(account Account, limit int) {
	ledger.account(account).limit.Store(int64(limit))
}

func (ledger *Limiter) account(name Account) *entryAccount {
	ledger.mu.RLock()
	found := ledger.accounts[name]
	ledger.mu.RUnlock()
	if found != nil {
		return found
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if found = ledger.accounts[name]; found == nil {
		found = &entryAccount{}
		found.limit.Store(ptprofile.Unlimited)
		ledger.accounts[name] = found
	}
	return found
}

func (account *entryAccount) limited() bool { return account.limit.Load() < ptprofile.Unlimited }

func (account *entryAccount) headroom() int {
	if !account.limited() {
		return ptprofile.Unlimited
	}
	return int(account.share.Load() - account.running.Load())
}

func (account *entryAccount) allows() bool {
	return !account.limited() || account.running.Load() < account.share.Load()
}

// Allows reports whether one more task of a profile and its team may be sent.
func (ledger *Limiter) Allows(profile ptid.ProfileName, team ptid.TeamName) bool {
	return ledger.account(ProfileAccount(profile)).allows() && ledger.account(TeamAccount(team)).allows()
}

// Headroom returns how many more tasks of a profile and its team may be sent.
func (ledger *Limiter) Headroom(profile ptid.ProfileName, team ptid.TeamName) int {
	return min(ledger.account(ProfileAccount(profile)).headroom(), ledger.account(TeamAccount(team)).headroom())
}

// Limit returns the lower limit of a profile and its team, over all entries.
func (ledger *Limiter) Limit(profile ptid.ProfileName, team ptid.TeamName) int {
	return int(min(ledger.account(ProfileAccount(profile)).limit.Load(), ledger.account(TeamAccount(team)).limit.Load()))
}

// AddWaiting counts tasks that wait; a negative count takes them back.
func (ledger *Limiter) AddWaiting(profile ptid.ProfileName, team ptid.TeamName, tasks int) {
	ledger.account(ProfileAccount(profile)).waiting.Add(int64(tasks))
	ledger.account(TeamAccount(team)).waiting.Add(int64(tasks))
}

// Acquire counts a task as sent.
func (ledger *Limiter) Acquire(profile ptid.ProfileName, team ptid.TeamName) {
	for _, account := range []Account{ProfileAccount(profile), TeamAccount(team)} {
		ledger.account(account).running.Add(1)
	}
}

// Release counts a sent task as ended.
func (ledger *Limiter) Release(profile ptid.ProfileName, team ptid.TeamName) {
	for _, account := range []Account{ProfileAccount(profile), TeamAccount(team)} {
		running := ledger.account(account).running.Add(-1)
		ptassert.That(running >= 0, "no more tasks end than were sent", "account", account)
	}
}

// SetShare takes the share that a keeper has given.
func (ledger *Limiter) SetShare(share Share) {
	account := ledger.account(share.Account)
	if before := account.share.Swap(int64(share.Count)); int64(share.Count) < before {
		account.lowered.Store(true)
	}
	account.version.Store(share.Version)
	account.contended.Store(share.Contended)
}

// Share returns the share of an account, for metrics.
func (ledger *Limiter) Share(account Account) int { return int(ledger.account(account).share.Load()) }

// DueClaims returns the claims that keepers have to be told now: those whose want or
// holding has changed in a way that matters. all asks for every claim in use.
func (ledger *Limiter) DueClaims(all bool) (claims []Claim) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	for name, account := range ledger.accounts {
		if !account.limited() {
			continue
		}
		// The mark is taken before the share is read: a share that is lowered in between
		// marks the account anew and is confirmed with the next claim.
		lowered := account.lowered.Swap(false)
		claim := account.claim(name)
		if !lowered && account.unchanged(claim) && (!all || claim.Demand == 0) {
			continue
		}
		account.claimed = claim
		claims = append(claims, claim)
	}
	return claims
}

func (account *entryAccount) claim(name Account) Claim {
	limit, running := int(account.limit.Load()), int(account.running.Load())
	return Claim{
		Account: name, Limit: limit, InUse: running, Share: int(account.share.Load()),
		Version: account.version.Load(),
		Demand:  min(limit, running+max(0, int(account.waiting.Load()))),
	}
}

// unchanged reports whether the keeper needs no new claim: where the want is
// covered by the share and no share has to be given back.
func (account *entryAccount) unchanged(claim Claim) bool {
	share, last := int(account.share.Load()), account.claimed
	if claim.Limit != last.Limit && (claim.Demand > 0 || last.Demand > 0) {
		return false
	}
	sinking := share < last.InUse && claim.InUse < last.InUse
	needsMore := claim.Demand > share && claim.Demand != last.Demand
	returns := account.contended.Load() && claim.Demand < last.Demand
	return !sinking && !needsMore && !returns
}
