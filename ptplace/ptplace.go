// Package ptplace chooses the upstream for the next task. It has no I/O.
//
// # How it works
//
// Three baselines send a task at once and let it wait at the agent:
//
//  1. random takes any usable upstream;
//  2. twoChoices takes the less loaded of two random ones;
//  3. leastKnown takes the one with the least known load for each slot.
//
// The main policy, leases, keeps a task at the entry until some upstream's window
// has room (see package ptlease):
//
//  4. An upstream with a slot that is free as far as the entry knows goes before
//     one whose room is only the short queue at the agent.
//  5. Then the nearest goes first: availability zone, region, the rest. A free slot
//     elsewhere goes before a wait at home, since the trip is shorter than any wait.
//  6. Then the preference of the entry: entries fill different upstreams first, so
//     that what one does not know of the other's dispatches matters least.
//
// # Usage
//
//	index, ok := ptplace.Pick(ptplace.Leases, views, random)
//
// # Limits
//
// The scan is linear in the upstreams of a service that this entry has a session
// with.
package ptplace

import (
	"math/rand/v2"
)

// Policy is a way to choose.
type Policy string

const (
	// Random takes any usable upstream.
	Random Policy = "random"
	// TwoChoices takes the less loaded of two random ones.
	TwoChoices Policy = "twoChoices"
	// LeastKnownLoad takes the least known load.
	LeastKnownLoad Policy = "leastKnown"
	// Leases spends slot leases.
	Leases Policy = "leases"
)

// Policies lists all policies.
var Policies = []Policy{Random, TwoChoices, LeastKnownLoad, Leases}

// Distance is how far an upstream is from the entry.
type Distance uint8

const (
	// SameZone is the entry's availability zone.
	SameZone Distance = iota
	// SameRegion is another availability zone of the region.
	SameRegion
	// OtherRegion is another region.
	OtherRegion
)

// UpstreamView is what an entry knows of one upstream.
type UpstreamView struct {
	Slots int
	// Window is the most tasks that the entry may have outstanding there.
	Window int
	// Outstanding is how many the entry has sent and not heard of.
	Outstanding int
	// OthersOutstanding is how many tasks other entries had there, by the latest frame.
	OthersOutstanding int
	Distance          Distance
	PreferenceRank    int
	// Usable is false for what is leaving, lost or in quarantine.
	Usable bool
	// Probing limits an upstream in quarantine to a single task.
	Probing bool
}

func (view *UpstreamView) free() bool { return view.Outstanding+view.OthersOutstanding < view.Slots }

func (view *UpstreamView) room() bool {
	if !view.Usable {
		return false
	}
	if view.Probing {
		return view.Outstanding == 0
	}
	return view.Outstanding < view.Window
}

// load is the known load in tasks for each 1024 slots, an integer so that equal
// loads compare equal.
func (view *UpstreamView) load() int {
	return (view.Outstanding + view.OthersOutstanding) << 10 / max(1, view.Slots)
}

// candidate reports whether the baselines may use an upstream.
func (view *UpstreamView) candidate() bool {
	return view.Usable && (!view.Probing || view.Outstanding == 0)
}

// Pick returns the index of the chosen upstream. ok is false where the task has
// to wait at the entry.
func Pick(policy Policy, views []*UpstreamView, random *rand.Rand) (index int, ok bool) {
	switch policy {
	case Random:
		return pickRandom(views, random)
	case TwoChoices:
		return pickTwo(views, random)
	case LeastKnownLoad:
		return pickBest(views, (*UpstreamView).candidate, func(left, right *UpstreamView) bool { return left.load() < right.load() })
	case Leases:
		return pickBest(views, (*UpstreamView).room, leaseBefore)
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

func pickTwo(views []*UpstreamView, random *rand.Rand) (index int, ok bool) {
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

func pickBest(views []*UpstreamView, usable func(*UpstreamView) bool, before func(left, right *UpstreamView) bool) (best int, ok bool) {
	for i, view := range views {
		if !usable(view) {
			continue
		}
		if !ok || before(view, views[best]) {
			best, ok = i, true
		}
	}
	return best, ok
}

func leaseBefore(left, right *UpstreamView) bool {
	leftFree, rightFree := left.free(), right.free()
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

// PreferenceRanks returns the order in which the entry with a rank among count
// entries fills upstreams: its own segment of the list upwards, then the others'
// segments from their ends, which their owners fill last.
func PreferenceRanks(upstreams, rank, count int) (preferences []int) {
	preferences = make([]int, upstreams)
	if count < 1 {
		count, rank = 1, 0
	}
	for position := range preferences {
		segment := position * count / max(1, upstreams)
		start, end := (segment*upstreams+count-1)/count, ((segment+1)*upstreams+count-1)/count
		if segment == rank {
			preferences[position] = position - start
		} else {
			preferences[position] = upstreams + end - position
		}
	}
	return preferences
}
