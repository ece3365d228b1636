package ptquota

import (
	"sync"
	"sync/atomic"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptprofile"
)

// entryAccount is the entry's state of one account.
type entryAccount struct {
	limit   atomic.Int64
	share   atomic.Int64
	running atomic.Int64
	waiting atomic.Int64
	// contended is true if other entries need the unused part of the share.
	contended atomic.Bool
	version   atomic.Uint64
	// lowered is true if the share was lowered since the last claim. The coordinator gives
	// the difference to other entries only after a claim has confirmed the lower share.
	lowered atomic.Bool
	// lastClaim is the latest claim that was sent to the coordinator.
	lastClaim Claim
}

// Limiter enforces the entry's shares of all accounts. It is safe for concurrent use.
type Limiter struct {
	mu       sync.RWMutex
	accounts map[Account]*entryAccount
}

// NewLimiter returns a limiter without accounts.
func NewLimiter() *Limiter { return &Limiter{accounts: make(map[Account]*entryAccount)} }

// SetLimit sets the limit of an account from the configuration. The limit applies to all
// entries together.
func (limiter *Limiter) SetLimit(account Account, limit int) {
	limiter.account(account).limit.Store(int64(limit))
}

func (limiter *Limiter) account(name Account) *entryAccount {
	limiter.mu.RLock()
	found := limiter.accounts[name]
	limiter.mu.RUnlock()
	if found != nil {
		return found
	}
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if found = limiter.accounts[name]; found == nil {
		found = &entryAccount{}
		found.limit.Store(ptprofile.Unlimited)
		limiter.accounts[name] = found
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
func (limiter *Limiter) Allows(profile ptid.ProfileName, team ptid.TeamName) bool {
	return limiter.account(ProfileAccount(profile)).allows() && limiter.account(TeamAccount(team)).allows()
}

// Headroom returns how many more tasks of a profile and its team may be sent.
func (limiter *Limiter) Headroom(profile ptid.ProfileName, team ptid.TeamName) int {
	return min(limiter.account(ProfileAccount(profile)).headroom(), limiter.account(TeamAccount(team)).headroom())
}

// Limit returns the lower of the limits of a profile and its team. Both limits apply to all
// entries together.
func (limiter *Limiter) Limit(profile ptid.ProfileName, team ptid.TeamName) int {
	return int(min(limiter.account(ProfileAccount(profile)).limit.Load(), limiter.account(TeamAccount(team)).limit.Load()))
}

// AddWaiting adds a number, which may be negative, to the waiting tasks of a profile and
// its team.
func (limiter *Limiter) AddWaiting(profile ptid.ProfileName, team ptid.TeamName, tasks int) {
	limiter.account(ProfileAccount(profile)).waiting.Add(int64(tasks))
	limiter.account(TeamAccount(team)).waiting.Add(int64(tasks))
}

// Acquire counts a task as sent.
func (limiter *Limiter) Acquire(profile ptid.ProfileName, team ptid.TeamName) {
	for _, account := range []Account{ProfileAccount(profile), TeamAccount(team)} {
		limiter.account(account).running.Add(1)
	}
}

// Release counts a sent task as ended.
func (limiter *Limiter) Release(profile ptid.ProfileName, team ptid.TeamName) {
	for _, account := range []Account{ProfileAccount(profile), TeamAccount(team)} {
		running := limiter.account(account).running.Add(-1)
		ptassert.That(running >= 0, "no more tasks end than were sent", "account", account)
	}
}

// SetShare sets a share that the coordinator of the account has sent.
func (limiter *Limiter) SetShare(share Share) {
	account := limiter.account(share.Account)
	if previous := account.share.Swap(int64(share.Count)); int64(share.Count) < previous {
		account.lowered.Store(true)
	}
	account.version.Store(share.Version)
	account.contended.Store(share.Contended)
}

// Share returns the entry's share of an account.
func (limiter *Limiter) Share(account Account) int { return int(limiter.account(account).share.Load()) }

// DueClaims returns the claims that have to be sent to the coordinators now: a claim for
// each account whose share was lowered since its last claim, or that needs a claim for
// another reason (see needsNoClaim). If all is set, it also returns a claim for every other
// account with a demand.
func (limiter *Limiter) DueClaims(all bool) (claims []Claim) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	for name, account := range limiter.accounts {
		if !account.limited() {
			continue
		}
		// The flag is cleared before the share is read. If the share is lowered in between,
		// the flag is set again, and the next claim confirms the lower share.
		lowered := account.lowered.Swap(false)
		claim := account.newClaim(name)
		if !lowered && account.needsNoClaim(claim) && (!all || claim.Demand == 0) {
			continue
		}
		account.lastClaim = claim
		claims = append(claims, claim)
	}
	return claims
}

func (account *entryAccount) newClaim(name Account) Claim {
	limit, running := int(account.limit.Load()), int(account.running.Load())
	return Claim{
		Account: name, Limit: limit, InUse: running, Share: int(account.share.Load()),
		Version: account.version.Load(),
		Demand:  min(limit, running+max(0, int(account.waiting.Load()))),
	}
}

// needsNoClaim reports whether the coordinator needs no new claim, provided that the share
// was not lowered since the last claim. A claim is needed if:
//   - the limit has changed since the last claim, and the entry has or had a demand;
//   - the demand exceeds the share, and differs from the demand in the last claim;
//   - the last claim reported more running tasks than the share, and fewer tasks run now; or
//   - the account is contended and the demand has decreased since the last claim, so that the
//     coordinator may lower the share.
func (account *entryAccount) needsNoClaim(claim Claim) bool {
	share, last := int(account.share.Load()), account.lastClaim
	if claim.Limit != last.Limit && (claim.Demand > 0 || last.Demand > 0) {
		return false
	}
	useDecreased := share < last.InUse && claim.InUse < last.InUse
	needsLargerShare := claim.Demand > share && claim.Demand != last.Demand
	returnsShare := account.contended.Load() && claim.Demand < last.Demand
	return !useDecreased && !needsLargerShare && !returnsShare
}
