// Package ptevacuation holds the state of evacuated availability zones, the rules by which entries
// and agents pass it on, and the order in which the workers of a zone return. It has no I/O.
//
// # How it works
//
//  1. The operator's records in the platform's store are the only source. A [State] is what they say
//     up to a position in their log. The position is the state's revision, so of two states the one
//     with the higher revision is newer.
//  2. Entries read the store. Entries and agents pass the state on over their sessions: in the first
//     frame, and when the zones change ([Exchange]). An entry that the store turns away learns the
//     state from the agents, an agent from any entry.
//  3. When an evacuation is taken back, the workers of the zone return in steps ([Returns]).
//
// # Usage
//
//	state, changed := state.Merge(ptevacuation.FromMessage(frame.Evacuation))
//	if state.Contains(zone) { … }
//
// # Limits
//
// Revisions are positions in one log. If the store loses its records and counts from the start
// again, earlier states count as newer until it has passed their positions.
package ptevacuation

import (
	"slices"
	"unicode"
	"unicode/utf8"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	// maxZones bounds the zones of a message, and maxZoneLength the length of a name in bytes, so that
	// a faulty peer can't make a process hold a large state. Keys in the store are shorter.
	maxZones      = 1024
	maxZoneLength = 255
)

// Revision is one more than the position of the newest record that a state includes. Zero means that
// the state is unknown.
type Revision uint64

// State is the set of evacuated zones at a revision. It is immutable. The zero value is the unknown
// state.
type State struct {
	revision Revision
	// zones is sorted and has no duplicates.
	zones []ptid.Zone
}

// New returns the state with the given zones. Invalid names of zones are left out.
func New(revision Revision, zones ...ptid.Zone) State {
	valid := slices.DeleteFunc(slices.Clone(zones), func(zone ptid.Zone) bool { return !IsValidZone(zone) })
	slices.Sort(valid)
	return State{revision: revision, zones: slices.Compact(valid)}
}

// IsValidZone reports whether a zone can be evacuated by this name: it is not empty, not too long, and
// consists of printable characters without spaces and slashes.
func IsValidZone(zone ptid.Zone) bool {
	if zone == "" || len(zone) > maxZoneLength || !utf8.ValidString(string(zone)) {
		return false
	}
	for _, character := range string(zone) {
		if character == '/' || unicode.IsSpace(character) || !unicode.IsPrint(character) {
			return false
		}
	}
	return true
}

// Revision returns the revision of the state.
func (state State) Revision() Revision { return state.revision }

// IsKnown reports whether the state includes any record.
func (state State) IsKnown() bool { return state.revision > 0 }

// Zones returns the evacuated zones in ascending order.
func (state State) Zones() []ptid.Zone { return slices.Clone(state.zones) }

// Len returns the number of evacuated zones.
func (state State) Len() int { return len(state.zones) }

// Contains reports whether a zone is evacuated.
func (state State) Contains(zone ptid.Zone) bool {
	_, found := slices.BinarySearch(state.zones, zone)
	return found
}

// HasSameZones reports whether the same zones are evacuated in both states.
func (state State) HasSameZones(other State) bool { return slices.Equal(state.zones, other.zones) }

// With returns the state after a record at the position before revision, which evacuates a zone or
// takes its evacuation back.
func (state State) With(zone ptid.Zone, evacuated bool, revision Revision) State {
	zones := state.Zones()
	if evacuated {
		return New(revision, append(zones, zone)...)
	}
	return New(revision, slices.DeleteFunc(zones, func(other ptid.Zone) bool { return other == zone })...)
}

// Merge returns the newer of two states, and whether it evacuates other zones than the receiver or is
// the first that is known.
//
// Two states of the same revision can differ, because the pages of a snapshot of the store are read one
// after the other and may include later records. Then all zones of both count: the next record sets it
// right, and until then a zone that is not used costs less than one that is.
func (state State) Merge(other State) (newest State, changed bool) {
	newest = state
	switch {
	case other.revision > state.revision:
		newest = other
	case other.revision == state.revision && !state.HasSameZones(other):
		newest = New(state.revision, append(state.Zones(), other.zones...)...)
	}
	return newest, !newest.HasSameZones(state) || newest.IsKnown() != state.IsKnown()
}

// Message returns the message that passes the state on.
func (state State) Message() *ptwire.Evacuation {
	message := &ptwire.Evacuation{Revision: uint64(state.revision)}
	for _, zone := range state.zones {
		message.AvailabilityZones = append(message.AvailabilityZones, string(zone))
	}
	return message
}

// FromMessage returns the state that a message passes on; the unknown state if there is no message.
func FromMessage(message *ptwire.Evacuation) State {
	if message == nil || message.Revision == 0 || len(message.AvailabilityZones) > maxZones {
		return State{}
	}
	zones := make([]ptid.Zone, 0, len(message.AvailabilityZones))
	for _, zone := range message.AvailabilityZones {
		zones = append(zones, ptid.Zone(zone))
	}
	return New(Revision(message.Revision), zones...)
}
