// Package ptlease shares the slots of one upstream between entries. It runs in
// the agent and has no I/O.
//
// # How it works
//
//  1. An entry may have as many tasks outstanding at an agent as its window
//     says. A window is an absolute count, so a repeated or late one does no harm;
//     the slot leases that an entry holds are its window less what it has
//     outstanding.
//  2. Windows ride on frames that are sent anyhow. A finished task therefore
//     brings its lease back with its answer, and costs no message of its own.
//  3. The capacity that is shared is the slots plus a short queue ([Setting].Ahead),
//     which hides the trip between an answer and the next dispatch.
//  4. While no other entry has work waiting, an entry's window takes all the free
//     capacity. Idle entries may so hold the same lease twice. Where both spend it
//     at once, the later task waits in the agent's queue, which is ordered across
//     entries; it is not refused.
//  5. While several entries have work waiting, a freed slot stays with the entry
//     that had it unless another one's first task is older by more than
//     [Setting].MoveAfter. Then it moves with the next frame to the other entry; a
//     grant is sent alone only where a slot would stand idle otherwise.
//  6. A demand is believed for [DemandTTL]; the entry tells it anew with every frame.
//  7. With [Setting].Recall, an entry with idle leases at an upstream that is full, while another one has
//     work waiting, has them recalled, at most once until it spends one again.
//
// # Usage
//
//	allocator.Demand(entry, queued, firstOrder, now)
//	allocator.Received(entry)
//	allocator.Ended(entry)
//	frame.Window = allocator.Window(entry, now)
//	for _, move := range allocator.Moves(now) { … }
//
// # Limits
//
// With windows given twice (rule 4) the agent's queue can grow to the number of
// entries times the capacity. It is bounded by that and by startBy.
package ptlease

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
)

// DemandTTL is how long a reported demand counts without being renewed.
const DemandTTL = 500 * time.Millisecond

// Setting is what an operator chooses for the sharing of slots.
type Setting struct {
	// Slots is how many tasks the upstream runs at once.
	Slots int
	// Prefetch is how many tasks may wait at the agent beyond the slots.
	Prefetch int
	// MoveThreshold is the advantage in age from which a freed slot moves to another entry.
	MoveThreshold time.Duration
	// Recall lets the agent take back idle leases while another entry waits.
	Recall bool
}

// holder is the agent's view of one entry.
type holder struct {
	outstanding int
	window      int
	queued      int
	firstOrder  ptid.Instant
	demandUntil ptid.Instant
	recalled    bool
}

func (holder *holder) wants(now ptid.Instant) bool {
	return holder.queued > 0 && now < holder.demandUntil
}

// Allocator shares the slots of one upstream. It is not safe for concurrent use.
type Allocator struct {
	setting Setting
	holders map[ptid.EntryName]*holder
	// sorted holds the names of all holders in order.
	sorted      []ptid.EntryName
	outstanding int
}

// WindowChange is a change of a window that is worth a message of its own.
type WindowChange interface{ isMove() }

// Grant raises the window of an entry that has work waiting.
type Grant struct{ Entry ptid.EntryName }

// Recall lowers the window of an entry that holds idle leases.
type Recall struct{ Entry ptid.EntryName }

func (Grant) isMove()  {}
func (Recall) isMove() {}

// New returns an allocator with all slots free.
func New(setting Setting) *Allocator {
	return &Allocator{setting: setting, holders: make(map[ptid.EntryName]*holder)}
}

// AddEntry adds an entry. Joining again changes nothing.
func (allocator *Allocator) AddEntry(entry ptid.EntryName) {
	if allocator.holders[entry] == nil {
		allocator.holders[entry] = &holder{}
		allocator.sorted = slices.Sorted(maps.Keys(allocator.holders))
	}
}

// RemoveEntry forgets the demand and the window of an entry. What it has outstanding
// still fills slots, so the entry stays until that has ended.
func (allocator *Allocator) RemoveEntry(entry ptid.EntryName) {
	holder := allocator.holders[entry]
	if holder == nil {
		return
	}
	holder.queued, holder.window = 0, 0
	if holder.outstanding == 0 {
		delete(allocator.holders, entry)
		allocator.sorted = slices.Sorted(maps.Keys(allocator.holders))
	}
}

// UpdateDemand records what an entry says of its waiting tasks. firstOrder is the
// order key of the first of them on the agent's clock.
func (allocator *Allocator) UpdateDemand(entry ptid.EntryName, queued int, firstOrder, now ptid.Instant) {
	holder := allocator.holders[entry]
	if holder == nil {
		return
	}
	holder.queued, holder.firstOrder = queued, firstOrder
	holder.demandUntil = now.Add(DemandTTL)
}

// TaskReceived counts a task that an entry has sent and that now waits or runs.
func (allocator *Allocator) TaskReceived(entry ptid.EntryName) {
	allocator.AddEntry(entry)
	allocator.holders[entry].outstanding++
	allocator.holders[entry].recalled = false
	allocator.outstanding++
}

// TaskEnded counts a task of an entry that no longer waits or runs.
func (allocator *Allocator) TaskEnded(entry ptid.EntryName) {
	holder := allocator.holders[entry]
	if !ptassert.That(holder != nil && holder.outstanding > 0, "an ended task was outstanding", "entry", entry) {
		return
	}
	holder.outstanding--
	allocator.outstanding--
}

// FreeCapacity returns how much of the capacity is neither running nor waiting. It is
// negative where entries have spent the same lease.
func (allocator *Allocator) FreeCapacity() int {
	return allocator.setting.Slots + allocator.setting.Prefetch - allocator.outstanding
}

// Outstanding returns what one entry, and what all of them, have waiting or running.
func (allocator *Allocator) Outstanding(entry ptid.EntryName) (own, all int) {
	if holder := allocator.holders[entry]; holder != nil {
		own = holder.outstanding
	}
	return own, allocator.outstanding
}

// Window returns the window that a frame to the entry carries now.
func (allocator *Allocator) Window(entry ptid.EntryName, now ptid.Instant) (window int) {
	holder := allocator.holders[entry]
	if holder == nil {
		return 0
	}
	holder.window = holder.outstanding + allocator.share(entry, now)
	return holder.window
}

// share returns how much of the free capacity an entry may use now.
func (allocator *Allocator) share(entry ptid.EntryName, now ptid.Instant) (share int) {
	free := allocator.FreeCapacity()
	if free <= 0 {
		return 0
	}
	own := allocator.holders[entry]
	rivals, rivalFirst := 0, ptid.Never
	for name, rival := range allocator.holders {
		if name != entry && rival.wants(now) {
			rivals += rival.queued
			rivalFirst = min(rivalFirst, rival.firstOrder)
		}
	}
	switch {
	case rivals == 0:
		return free
	case !own.wants(now):
		return max(0, free-rivals)
	case own.firstOrder <= rivalFirst.Add(allocator.setting.MoveThreshold):
		return max(1, free*own.queued/(own.queued+rivals))
	default:
		return free * own.queued / (own.queued + rivals)
	}
}

// WindowChanges returns the grants and recalls that are due after the state has changed.
func (allocator *Allocator) WindowChanges(now ptid.Instant) (moves []WindowChange) {
	full, waiting := allocator.FreeCapacity() <= 0, false
	idle := allocator.setting.Slots - allocator.outstanding
	for _, name := range allocator.sorted {
		holder := allocator.holders[name]
		if !holder.wants(now) {
			continue
		}
		waiting = true
		if idle > 0 && holder.window <= holder.outstanding && allocator.share(name, now) > 0 {
			moves = append(moves, Grant{Entry: name})
		}
	}
	if !allocator.setting.Recall || !full || !waiting {
		return moves
	}
	for _, name := range allocator.sorted {
		holder := allocator.holders[name]
		if holder.queued == 0 && holder.window > holder.outstanding && !holder.recalled {
			holder.recalled = true
			moves = append(moves, Recall{Entry: name})
		}
	}
	return moves
}
