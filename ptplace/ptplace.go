// Package ptplace selects the upstream for the next task. It has no I/O.
//
// # How it works
//
// Three baseline policies send a task at once, even if it then has to wait at the agent:
//
//  1. random selects any usable upstream;
//  2. twoChoices selects the less loaded of two random upstreams;
//  3. leastKnown selects the upstream with the least known load per slot.
//
// The main policy, leases, keeps a task at the entry until the window of some upstream
// has free capacity (see package ptlease). It prefers upstreams in this order:
//
//  4. Upstreams that have a free slot, according to the entry's view, come before
//     upstreams that have free capacity only in the agent's short queue. Among upstreams
//     without a free slot, the upstream with the least known load per slot comes first.
//  5. The nearest upstream: same availability zone, same region, other regions. A free
//     slot further away is preferred to a queue nearby, because the network round trip
//     is shorter than any wait for a slot.
//  6. The upstream with the lowest preference rank at this entry. The preference ranks
//     differ between entries, because an entry learns of the dispatches of other entries
//     only with a delay. Different ranks limit the effect of the dispatches that the entry
//     has not learned of yet.
//
// # Usage
//
//	index, ok := ptplace.Pick(ptplace.Leases, views, random)
//
// # Limits
//
// Pick scans all upstreams of the service that this entry has a session with.
package ptplace

import (
	"math/rand/v2"
)

// Policy is a placement policy.
type Policy string

const (
	// Random selects any usable upstream.
	Random Policy = "random"
	// TwoChoices selects the less loaded of two random upstreams.
	TwoChoices Policy = "twoChoices"
	// LeastKnownLoad selects the upstream with the least known load per slot.
	LeastKnownLoad Policy = "leastKnown"
	// Leases selects an upstream at which the entry has fewer outstanding tasks than its
	// window allows.
	Leases Policy = "leases"
)

// Policies lists all placement policies.
var Policies = []Policy{Random, TwoChoices, LeastKnownLoad, Leases}

// Distance is the network distance between the entry and an upstream.
type Distance uint8

const (
	// SameZone means that the upstream is in the entry's availability zone.
	SameZone Distance = iota
	// SameRegion means that the upstream is in another availability zone of the entry's
	// region.
	SameRegion
	// OtherRegion means that the upstream is in another region than the entry.
	OtherRegion
)

// UpstreamView is the entry's view of one upstream.
type UpstreamView struct {
	Slots int
	// Window is the maximum number of tasks that the entry may have outstanding at the
	// upstream.
	Window int
	// Outstanding is the number of tasks that the entry has sent to the upstream and that
	// have not ended.
	Outstanding int
	// OthersOutstanding is how many tasks of other entries were outstanding at the
	// upstream according to its latest frame.
	OthersOutstanding int
	Distance          Distance
	PreferenceRank    int
	// Usable is false if the upstream is draining, stopped, disconnected or quarantined.
	Usable bool
	// Probing limits the upstream to one outstanding task, the probe after a
	// quarantine.
	Probing bool
}

func (view *UpstreamView) hasFreeSlot() bool {
	return view.Outstanding+view.OthersOutstanding < view.Slots
}

func (view *UpstreamView) hasCapacity() bool {
	if !view.Usable {
		return false
	}
	if view.Probing {
		return view.Outstanding == 0
	}
	return view.Outstanding < view.Window
}

// load returns the known load in tasks per 1024 slots. It is an integer, so that equal
// loads compare as equal.
func (view *UpstreamView) load() int {
	return (view.Outstanding + view.OthersOutstanding) << 10 / max(1, view.Slots)
}

// candidate reports whether the baseline policies may select the upstream.
func (view *UpstreamView) candidate() bool {
	return view.Usable && (!view.Probing || view.Outstanding == 0)
}

// Pick returns the index of the selected upstream. ok is false if the task has to wait at
// the entry.
func Pick(policy Policy, views []*UpstreamView, random *rand.Rand) (index int, ok bool) {
	switch policy {
	case Random:
		return pickRandom(views, random)
	case TwoChoices:
		return pickTwoChoices(views, random)
	case LeastKnownLoad:
		return pickBest(views, (*UpstreamView).candidate, func(left, right *UpstreamView) bool { return left.load() < right.load() })
	case Leases:
		return pickBest(views, (*UpstreamView).hasCapacity, leaseLess)
	default:
		return 0, false
	}
}

func pickRandom(views []*UpstreamView, random *rand.Rand) (index int, ok bool) {
	if len(views) == 0 {
		return 0, false
	}
	start := random.IntN(len(views))
	for i := range views {
		index = (start + i) % len(views)
		if views[index].candidate() {
			return index, true
		}
	}
	return 0, false
}

func pickTwoChoices(views []*UpstreamView, random *rand.Rand) (index int, ok bool) {
	first, ok := pickRandom(views, random)
	if !ok {
		return 0, false
	}
	second, _ := pickRandom(views, random)
	if views[second].load() < views[first].load() {
		return second, true
	}
	return first, true
}

func pickBest(views []*UpstreamView, usable func(*UpstreamView) bool, less func(left, right *UpstreamView) bool) (best int, ok bool) {
	for i, view := range views {
		if !usable(view) {
			continue
		}
		if !ok || less(view, views[best]) {
			best, ok = i, true
		}
	}
	return best, ok
}

func leaseLess(left, right *UpstreamView) bool {
	leftFree, rightFree := left.hasFreeSlot(), right.hasFreeSlot()
	switch {
	case leftFree != rightFree:
		return leftFree
	case !leftFree && left.load() != right.load():
		return left.load() < right.load()
	case left.Distance != right.Distance:
		return left.Distance < right.Distance
	default:
		return left.PreferenceRank < right.PreferenceRank
	}
}

// PreferenceRanks returns the preference ranks that one entry gives to the upstreams. The
// ranks are in the order of the upstream names. The entry fills upstreams with a low
// preference rank first. entryRank is the position of the entry among all entries, from 0
// to entryCount-1.
//
// The list of upstreams is divided into one segment per entry. An entry fills its own
// segment first, from the start to the end. It then fills the segments of the other entries
// from the end to the start, because every other entry fills the end of its segment last.
func PreferenceRanks(upstreamCount, entryRank, entryCount int) (ranks []int) {
	ranks = make([]int, upstreamCount)
	if entryCount < 1 {
		entryCount, entryRank = 1, 0
	}
	for position := range ranks {
		segment := position * entryCount / max(1, upstreamCount)
		start, end := (segment*upstreamCount+entryCount-1)/entryCount, ((segment+1)*upstreamCount+entryCount-1)/entryCount
		if segment == entryRank {
			ranks[position] = position - start
		} else {
			ranks[position] = upstreamCount + end - position
		}
	}
	return ranks
}
