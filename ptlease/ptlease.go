// Package ptlease shares the slots of one upstream between entries. It runs in the agent
// and has no I/O.
//
// # How it works
//
//  1. The window of an entry is the maximum number of tasks that it may have outstanding
//     at the agent. A window is an absolute count, so a duplicated or delayed window does
//     no harm. The slot leases of an entry are its window minus its outstanding tasks.
//  2. Windows are carried by frames that are sent for other reasons. A finished task thus
//     returns its lease to the entry with its answer, without a separate message.
//  3. The shared capacity is the number of slots plus a short queue ([Setting].Prefetch),
//     which hides the round trip between an answer and the next dispatch.
//  4. While no other entry has waiting tasks, the window of an entry includes the whole
//     free capacity. Two idle entries may therefore hold leases for the same slot. If both
//     entries send a task for this slot, the later task is not refused: it waits in the
//     agent's queue, which orders the tasks of all entries.
//  5. While several entries have waiting tasks, a freed slot stays with the entry that
//     used it, unless the first waiting task of another entry is older by more than
//     [Setting].MoveThreshold. In that case the lease moves to the entry with the older
//     task, in the next frame that the agent sends to that entry. A separate grant message
//     is sent only if a slot would be idle otherwise.
//  6. A reported demand is valid for [DemandTTL]. Entries report their demand with every
//     frame.
//  7. With [Setting].Recall, the agent recalls the idle leases of an entry while the
//     upstream is full and another entry has waiting tasks. After a recall, the leases of
//     the entry are not recalled again until the entry has sent another task.
//
// # Usage
//
//	allocator.UpdateDemand(entry, queued, firstOrder, now)
//	allocator.TaskReceived(entry)
//	allocator.TaskEnded(entry)
//	status.Window = allocator.Window(entry, now)
//	for _, change := range allocator.WindowChanges(now) { … }
//
// # Limits
//
// Because slots may be leased twice (rule 4), the agent's queue can grow to the number of
// entries times the capacity. The start deadlines of the tasks also limit its length.
package ptlease

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
)

// DemandTTL is how long a reported demand is valid.
const DemandTTL = 500 * time.Millisecond

// Setting holds the operator's settings for sharing slots.
type Setting struct {
	// Slots is how many tasks the upstream runs at once.
	Slots int
	// Prefetch is how many tasks may wait at the agent in addition to the slots.
	Prefetch int
	// MoveThreshold limits how often a freed slot moves from entry A, which used the slot, to
	// entry B. The slot moves only if the first waiting task of B is older than the first
	// waiting task of A by more than MoveThreshold.
	MoveThreshold time.Duration
	// Recall enables the recall of idle leases (rule 7) while the upstream is full and
	// another entry has waiting tasks.
	Recall bool
}

// entryState is the allocator's state of one entry.
type entryState struct {
	outstanding     int
	window          int
	queued          int
	firstOrder      ptid.Instant
	demandExpiresAt ptid.Instant
	recalled        bool
}

func (state *entryState) hasDemand(now ptid.Instant) bool {
	return state.queued > 0 && now < state.demandExpiresAt
}

// Allocator shares the slots of one upstream. It is not safe for concurrent use.
type Allocator struct {
	setting Setting
	entries map[ptid.EntryName]*entryState
	// sorted holds the names of all entries in order.
	sorted      []ptid.EntryName
	outstanding int
}

// WindowChange is a change of a window that has to be sent in a separate message.
type WindowChange interface{ isWindowChange() }

// Grant raises the window of an entry that has waiting tasks.
type Grant struct{ Entry ptid.EntryName }

// Recall lowers the window of an entry that holds idle leases.
type Recall struct{ Entry ptid.EntryName }

func (Grant) isWindowChange()  {}
func (Recall) isWindowChange() {}

// New returns an allocator with all slots free.
func New(setting Setting) *Allocator {
	return &Allocator{setting: setting, entries: make(map[ptid.EntryName]*entryState)}
}

// AddEntry adds an entry. It does nothing if the entry is known.
func (allocator *Allocator) AddEntry(entry ptid.EntryName) {
	if allocator.entries[entry] == nil {
		allocator.entries[entry] = &entryState{}
		allocator.sorted = slices.Sorted(maps.Keys(allocator.entries))
	}
}

// RemoveEntry clears the demand and the window of an entry. An entry without outstanding
// tasks is removed. An entry with outstanding tasks is kept, and these tasks continue to
// use slots.
func (allocator *Allocator) RemoveEntry(entry ptid.EntryName) {
	state := allocator.entries[entry]
	if state == nil {
		return
	}
	state.queued, state.window = 0, 0
	if state.outstanding == 0 {
		delete(allocator.entries, entry)
		allocator.sorted = slices.Sorted(maps.Keys(allocator.entries))
	}
}

// UpdateDemand records how many tasks wait at an entry. firstOrder is the order key of the
// first waiting task: the submission time of the task's job, on the agent's clock.
func (allocator *Allocator) UpdateDemand(entry ptid.EntryName, queued int, firstOrder, now ptid.Instant) {
	state := allocator.entries[entry]
	if state == nil {
		return
	}
	state.queued, state.firstOrder = queued, firstOrder
	state.demandExpiresAt = now.Add(DemandTTL)
}

// TaskReceived records that an entry has sent a task, which now waits or runs.
func (allocator *Allocator) TaskReceived(entry ptid.EntryName) {
	allocator.AddEntry(entry)
	allocator.entries[entry].outstanding++
	allocator.entries[entry].recalled = false
	allocator.outstanding++
}

// TaskEnded records that a task of an entry no longer waits or runs.
func (allocator *Allocator) TaskEnded(entry ptid.EntryName) {
	state := allocator.entries[entry]
	if !ptassert.That(state != nil && state.outstanding > 0, "an ended task was outstanding", "entry", entry) {
		return
	}
	state.outstanding--
	allocator.outstanding--
}

// FreeCapacity returns the capacity minus the outstanding tasks of all entries. It is
// negative if several entries have sent tasks with leases for the same slot (rule 4).
func (allocator *Allocator) FreeCapacity() int {
	return allocator.setting.Slots + allocator.setting.Prefetch - allocator.outstanding
}

// Outstanding returns the number of outstanding tasks of one entry and of all entries.
func (allocator *Allocator) Outstanding(entry ptid.EntryName) (own, all int) {
	if state := allocator.entries[entry]; state != nil {
		own = state.outstanding
	}
	return own, allocator.outstanding
}

// Window computes, records and returns the window to send to the entry.
func (allocator *Allocator) Window(entry ptid.EntryName, now ptid.Instant) (window int) {
	state := allocator.entries[entry]
	if state == nil {
		return 0
	}
	state.window = state.outstanding + allocator.share(entry, now)
	return state.window
}

// share returns how much of the free capacity an entry may use.
func (allocator *Allocator) share(entry ptid.EntryName, now ptid.Instant) (share int) {
	free := allocator.FreeCapacity()
	if free <= 0 {
		return 0
	}
	own := allocator.entries[entry]
	othersQueued, othersFirstOrder := 0, ptid.Never
	for name, other := range allocator.entries {
		if name != entry && other.hasDemand(now) {
			othersQueued += other.queued
			othersFirstOrder = min(othersFirstOrder, other.firstOrder)
		}
	}
	switch {
	case othersQueued == 0:
		return free
	case !own.hasDemand(now):
		return max(0, free-othersQueued)
	case own.firstOrder <= othersFirstOrder.Add(allocator.setting.MoveThreshold):
		return max(1, free*own.queued/(own.queued+othersQueued))
	default:
		return free * own.queued / (own.queued + othersQueued)
	}
}

// WindowChanges returns the grants and recalls that are due. Call it after every change of
// the demand or of the outstanding tasks.
func (allocator *Allocator) WindowChanges(now ptid.Instant) (changes []WindowChange) {
	full, waiting := allocator.FreeCapacity() <= 0, false
	idle := allocator.setting.Slots - allocator.outstanding
	for _, name := range allocator.sorted {
		state := allocator.entries[name]
		if !state.hasDemand(now) {
			continue
		}
		waiting = true
		if idle > 0 && state.window <= state.outstanding && allocator.share(name, now) > 0 {
			changes = append(changes, Grant{Entry: name})
		}
	}
	if !allocator.setting.Recall || !full || !waiting {
		return changes
	}
	for _, name := range allocator.sorted {
		state := allocator.entries[name]
		if state.queued == 0 && state.window > state.outstanding && !state.recalled {
			state.recalled = true
			changes = append(changes, Recall{Entry: name})
		}
	}
	return changes
}
