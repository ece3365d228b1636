// Package ptconfig folds the records of the configuration stream into the
// configuration in force. It has no I/O.
//
// # How it works
//
//  1. Every reader folds the records in the order of the log with the same pure
//     function, so all agree without talking to each other.
//  2. A change names the revision that it is based on. It is accepted unless one
//     of the declarations that it touches was changed after that revision; so of
//     two racing changes to one declaration the first in the log wins, and changes
//     to different declarations both win.
//  3. The revision counts accepted changes. It never falls: a snapshot with a
//     lower or equal revision is ignored.
//  4. A change is identified by its id. An id that was folded before is ignored, so
//     an append that is repeated because its answer was lost counts once.
//  5. A snapshot record holds a whole state and the offset up to which it was
//     folded. A reader that meets a gap, because older records have expired, takes
//     the next snapshot and folds on from its offset.
//
// # Usage
//
//	state, verdict := ptconfig.Fold(state, offset, data)
//
// # Limits
//
// The ids of the last [rememberedIDs] changes are kept; a repetition that comes
// later than that is judged by its base revision alone.
package ptconfig

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptprofile"
)

// Stream is the stream of the platform's log that holds the configuration.
const Stream = "configuration"

// rememberedIDs is how many change ids a state remembers.
const rememberedIDs = 256

// ChangeID identifies one attempt to change the configuration.
type ChangeID string

// NewChangeID returns an id that no other change has.
func NewChangeID() ChangeID {
	return ChangeID(strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36))
}

// Key names one declaration.
type Key string

// keyOf returns the key of a declaration.
func keyOf[Name ~string](kind ptprofile.Kind, name Name) Key {
	return Key(string(kind) + "/" + string(name))
}

// ProfileKey returns the key of a profile's declaration.
func ProfileKey(name ptid.ProfileName) Key { return keyOf(ptprofile.KindProfile, name) }

// TeamKey returns the key of a team's declaration.
func TeamKey(name ptid.TeamName) Key { return keyOf(ptprofile.KindTeam, name) }

// UpstreamKey returns the key of an upstream's declaration.
func UpstreamKey(name ptid.AgentName) Key { return keyOf(ptprofile.KindUpstream, name) }

// Change is a record that changes declarations.
type Change struct {
	ID      ChangeID               `json:"id"`
	BasedOn ptid.Revision          `json:"basedOn"`
	Author  string                 `json:"author,omitempty"`
	Set     ptprofile.Declarations `json:"set"`
	Remove  []Key                  `json:"remove,omitempty"`
}

// Record is one record of the stream: exactly one field is set.
type Record struct {
	Change   *Change `json:"change,omitempty"`
	Snapshot *State  `json:"snapshot,omitempty"`
}

// State is the configuration after some prefix of the stream.
type State struct {
	Revision  ptid.Revision                          `json:"revision"`
	Offset    ptid.Offset                            `json:"offset"`
	Profiles  map[ptid.ProfileName]ptprofile.Profile `json:"profiles"`
	Teams     map[ptid.TeamName]ptprofile.Team       `json:"teams"`
	Upstreams map[ptid.AgentName]ptprofile.Upstream  `json:"upstreams"`
	// ChangedAt holds the revision at which each declaration was last changed or removed.
	ChangedAt map[Key]ptid.Revision `json:"changedAt"`
	// ChangeResults holds the results of the latest changes, oldest first.
	ChangeResults []ChangeResult `json:"verdicts"`
}

// ChangeResult is the remembered result of one change.
type ChangeResult struct {
	ID       ChangeID      `json:"id"`
	Accepted bool          `json:"accepted"`
	Revision ptid.Revision `json:"revision"`
	// Conflicts lists the declarations that were changed since.
	Conflicts []Key `json:"conflicts,omitempty"`
}

// FoldResult is what folding one record did.
type FoldResult interface{ isVerdict() }

// Accepted is the verdict of a change that took effect.
type Accepted struct{ ChangeResult }

// Conflict is the verdict of a change that lost against an earlier one.
type Conflict struct{ ChangeResult }

// Restored is the verdict of a snapshot that was taken over.
type Restored struct{ Revision ptid.Revision }

// Ignored is the verdict of a record without effect.
type Ignored struct{ Reason string }

func (Accepted) isVerdict() {}
func (Conflict) isVerdict() {}
func (Restored) isVerdict() {}
func (Ignored) isVerdict()  {}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Offset:    -1,
		Profiles:  make(map[ptid.ProfileName]ptprofile.Profile),
		Teams:     make(map[ptid.TeamName]ptprofile.Team),
		Upstreams: make(map[ptid.AgentName]ptprofile.Upstream),
		ChangedAt: make(map[Key]ptid.Revision),
	}
}

// Fold returns the state after a record. The given state is not changed, so
// readers may keep it. Records must come in the order of their offsets.
func Fold(state *State, offset ptid.Offset, data []byte) (next *State, verdict FoldResult) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return state.at(offset), Ignored{Reason: "not a record: " + err.Error()}
	}
	switch {
	case record.Snapshot != nil:
		return restore(state, offset, record.Snapshot)
	case record.Change != nil && offset > state.Offset:
		return apply(state, offset, record.Change)
	default:
		return state, Ignored{Reason: "folded before, or empty"}
	}
}

func (state *State) at(offset ptid.Offset) *State {
	next := *state
	next.Offset = max(state.Offset, offset)
	return &next
}

// restore takes a snapshot that is ahead. Its offset is kept, so that the reader
// folds on from there.
func restore(state *State, offset ptid.Offset, snapshot *State) (next *State, verdict FoldResult) {
	if snapshot.Revision <= state.Revision {
		return state.at(offset), Ignored{Reason: "the snapshot is not ahead"}
	}
	restored := snapshot.clone()
	return restored, Restored{Revision: restored.Revision}
}

func (state *State) clone() *State {
	next := NewState()
	next.Revision, next.Offset = state.Revision, state.Offset
	maps.Copy(next.Profiles, state.Profiles)
	maps.Copy(next.Teams, state.Teams)
	maps.Copy(next.Upstreams, state.Upstreams)
	maps.Copy(next.ChangedAt, state.ChangedAt)
	next.ChangeResults = slices.Clone(state.ChangeResults)
	return next
}

func apply(state *State, offset ptid.Offset, change *Change) (next *State, verdict FoldResult) {
	if _, known := state.ChangeResult(change.ID); known {
		return state.at(offset), Ignored{Reason: "the change was folded before"}
	}
	next = state.clone()
	next.Offset = offset
	decided := ChangeResult{ID: change.ID}
	for _, key := range change.keys() {
		if state.ChangedAt[key] > change.BasedOn {
			decided.Conflicts = append(decided.Conflicts, key)
		}
	}
	if len(decided.Conflicts) > 0 || change.BasedOn > state.Revision {
		decided.Revision = state.Revision
		next.remember(decided)
		return next, Conflict{decided}
	}
	next.Revision++
	decided.Accepted, decided.Revision = true, next.Revision
	next.put(change)
	next.remember(decided)
	return next, Accepted{decided}
}

// keys returns the declarations that a change touches.
func (change *Change) keys() (keys []Key) {
	for _, profile := range change.Set.Profiles {
		keys = append(keys, keyOf(ptprofile.KindProfile, profile.Name))
	}
	for _, team := range change.Set.Teams {
		keys = append(keys, keyOf(ptprofile.KindTeam, team.Name))
	}
	for _, upstream := range change.Set.Upstreams {
		keys = append(keys, keyOf(ptprofile.KindUpstream, upstream.Name))
	}
	return append(keys, change.Remove...)
}

func (state *State) put(change *Change) {
	for _, key := range change.Remove {
		state.remove(key)
	}
	for _, profile := range change.Set.Profiles {
		state.Profiles[profile.Name] = profile
	}
	for _, team := range change.Set.Teams {
		state.Teams[team.Name] = team
	}
	for _, upstream := range change.Set.Upstreams {
		state.Upstreams[upstream.Name] = upstream
	}
	for _, key := range change.keys() {
		state.ChangedAt[key] = state.Revision
	}
}

func (state *State) remove(key Key) {
	for name := range state.Profiles {
		if keyOf(ptprofile.KindProfile, name) == key {
			delete(state.Profiles, name)
		}
	}
	for name := range state.Teams {
		if keyOf(ptprofile.KindTeam, name) == key {
			delete(state.Teams, name)
		}
	}
	for name := range state.Upstreams {
		if keyOf(ptprofile.KindUpstream, name) == key {
			delete(state.Upstreams, name)
		}
	}
}

func (state *State) remember(decided ChangeResult) {
	state.ChangeResults = append(state.ChangeResults, decided)
	if surplus := len(state.ChangeResults) - rememberedIDs; surplus > 0 {
		state.ChangeResults = state.ChangeResults[surplus:]
	}
}

// ChangeResult returns the remembered result of a change.
func (state *State) ChangeResult(id ChangeID) (decided ChangeResult, known bool) {
	for _, decided := range slices.Backward(state.ChangeResults) {
		if decided.ID == id {
			return decided, true
		}
	}
	return ChangeResult{}, false
}

// Declarations returns all declarations in force, sorted by name.
func (state *State) Declarations() (set ptprofile.Declarations) {
	for _, name := range slices.Sorted(maps.Keys(state.Profiles)) {
		set.Profiles = append(set.Profiles, state.Profiles[name])
	}
	for _, name := range slices.Sorted(maps.Keys(state.Teams)) {
		set.Teams = append(set.Teams, state.Teams[name])
	}
	for _, name := range slices.Sorted(maps.Keys(state.Upstreams)) {
		set.Upstreams = append(set.Upstreams, state.Upstreams[name])
	}
	return set
}

// KeysMissingFrom returns the keys of the declarations in force that a set lacks.
func (state *State) KeysMissingFrom(set ptprofile.Declarations) (keys []Key) {
	declared := make(map[Key]bool)
	for _, key := range (&Change{Set: set}).keys() {
		declared[key] = true
	}
	for _, key := range (&Change{Set: state.Declarations()}).keys() {
		if !declared[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

// UpstreamState returns the declared state of an upstream; undeclared ones are active.
func (state *State) UpstreamState(name ptid.AgentName) ptprofile.UpstreamState {
	if upstream, declared := state.Upstreams[name]; declared {
		return upstream.State
	}
	return ptprofile.UpstreamActive
}

// TeamMaxRunning returns the quota of a team; undeclared teams have none.
func (state *State) TeamMaxRunning(name ptid.TeamName) int {
	if team, declared := state.Teams[name]; declared {
		return team.MaxRunning
	}
	return ptprofile.Unlimited
}

// EncodeChange returns the record of a change.
func EncodeChange(change *Change) (data []byte, err error) {
	data, err = json.Marshal(Record{Change: change})
	return data, errors.Wrap(err, "encode a change")
}

// EncodeSnapshot returns the record of a whole state.
func EncodeSnapshot(state *State) (data []byte, err error) {
	data, err = json.Marshal(Record{Snapshot: state})
	return data, errors.Wrap(err, "encode a snapshot")
}

// CompressSnapshot returns a whole state for the way between processes.
func CompressSnapshot(state *State) (packed []byte, err error) {
	defer func() { err = errors.Wrap(err, "pack the configuration") }()
	record, err := EncodeSnapshot(state)
	if err != nil {
		return nil, err
	}
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(record); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// largestSnapshot bounds what a packed state may unpack to, in bytes.
const largestSnapshot = 64 << 20

// DecompressSnapshot returns the state that Pack has packed.
func DecompressSnapshot(packed []byte) (state *State, err error) {
	defer func() { err = errors.Wrap(err, "unpack the configuration") }()
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	record, err := io.ReadAll(io.LimitReader(reader, largestSnapshot))
	if err != nil {
		return nil, err
	}
	return DecodeSnapshot(record)
}

// DecodeSnapshot returns the state of a snapshot record.
func DecodeSnapshot(data []byte) (state *State, err error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, errors.Wrap(err, "decode a snapshot")
	}
	if record.Snapshot == nil {
		return nil, errors.New("the record is not a snapshot")
	}
	return record.Snapshot.clone(), nil
}
