// Package ptconfig computes the current configuration by folding the records of the
// configuration stream. It has no I/O.
//
// # How it works
//
//  1. Every reader folds the records in log order with the same pure function, so all
//     readers compute the same state without coordination.
//  2. A change names the revision that it is based on (optimistic concurrency control). It
//     is rejected if one of its declarations was changed after that revision, or if that
//     revision is higher than the current one. Of two concurrent changes to the same
//     declaration, the first in the log is accepted; concurrent changes to different
//     declarations are both accepted.
//  3. The revision counts accepted changes and never decreases: a snapshot with a lower or
//     equal revision is ignored.
//  4. A change is identified by its ID. Folding ignores a change whose ID has been folded before,
//     so a change that is appended again after a lost response takes effect once.
//  5. A snapshot record holds a complete state and the offset up to which it was
//     folded. A reader that finds a gap, because older records have expired, adopts
//     the next snapshot and continues at its offset.
//
// # Usage
//
//	state, result := ptconfig.Fold(state, offset, data)
//
// # Limits
//
// Only the IDs of the last [maxChangeResults] changes are kept. A duplicate of an older change is
// not recognized by its ID; only the check of its base revision can reject it.
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

// Stream is the name of the log stream that holds the configuration.
const Stream = "configuration"

// maxChangeResults is the number of change IDs that a state keeps for deduplication.
const maxChangeResults = 256

// ChangeID identifies one attempt to change the configuration.
type ChangeID string

// NewChangeID returns a random, unique ID.
func NewChangeID() ChangeID {
	return ChangeID(strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36))
}

// Key identifies a declaration by its kind and name.
type Key string

func keyOf[Name ~string](kind ptprofile.Kind, name Name) Key {
	return Key(string(kind) + "/" + string(name))
}

// ProfileKey returns the key of a profile.
func ProfileKey(name ptid.ProfileName) Key { return keyOf(ptprofile.KindProfile, name) }

// TeamKey returns the key of a team.
func TeamKey(name ptid.TeamName) Key { return keyOf(ptprofile.KindTeam, name) }

// UpstreamKey returns the key of an upstream.
func UpstreamKey(name ptid.AgentName) Key { return keyOf(ptprofile.KindUpstream, name) }

// Change is a record that sets or removes declarations.
type Change struct {
	ID      ChangeID               `json:"id"`
	BasedOn ptid.Revision          `json:"basedOn"`
	Author  string                 `json:"author,omitempty"`
	Set     ptprofile.Declarations `json:"set"`
	Remove  []Key                  `json:"remove,omitempty"`
}

// Record is one record of the stream. Exactly one field is set.
type Record struct {
	Change   *Change `json:"change,omitempty"`
	Snapshot *State  `json:"snapshot,omitempty"`
}

// State is the configuration after all records up to Offset.
type State struct {
	Revision  ptid.Revision                          `json:"revision"`
	Offset    ptid.Offset                            `json:"offset"`
	Profiles  map[ptid.ProfileName]ptprofile.Profile `json:"profiles"`
	Teams     map[ptid.TeamName]ptprofile.Team       `json:"teams"`
	Upstreams map[ptid.AgentName]ptprofile.Upstream  `json:"upstreams"`
	// ChangedAt holds the revision at which each declaration was last set or removed.
	ChangedAt map[Key]ptid.Revision `json:"changedAt"`
	// ChangeResults holds the results of the latest changes, oldest first.
	ChangeResults []ChangeResult `json:"verdicts"`
}

// ChangeResult is the stored result of a change.
type ChangeResult struct {
	ID       ChangeID      `json:"id"`
	Accepted bool          `json:"accepted"`
	Revision ptid.Revision `json:"revision"`
	// Conflicts lists those declarations of the change that another change had set or removed
	// after the base revision.
	Conflicts []Key `json:"conflicts,omitempty"`
}

// FoldResult is the result of folding one record.
type FoldResult interface{ isFoldResult() }

// Accepted is the result of a change that took effect.
type Accepted struct{ ChangeResult }

// Conflict is the result of a change that was rejected because of a concurrent change, or because
// its base revision is higher than the current revision.
type Conflict struct{ ChangeResult }

// Restored is the result of a snapshot that replaced the state.
type Restored struct{ Revision ptid.Revision }

// Ignored is the result of a record without effect.
type Ignored struct{ Reason string }

func (Accepted) isFoldResult() {}
func (Conflict) isFoldResult() {}
func (Restored) isFoldResult() {}
func (Ignored) isFoldResult()  {}

// NewState returns the empty state before the first record.
func NewState() *State {
	return &State{
		Offset:    -1,
		Profiles:  make(map[ptid.ProfileName]ptprofile.Profile),
		Teams:     make(map[ptid.TeamName]ptprofile.Team),
		Upstreams: make(map[ptid.AgentName]ptprofile.Upstream),
		ChangedAt: make(map[Key]ptid.Revision),
	}
}

// Fold returns the state after a record. It does not modify the given state, so
// readers may keep it. Records must be folded in the order of their offsets.
func Fold(state *State, offset ptid.Offset, data []byte) (next *State, result FoldResult) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return state.withOffset(offset), Ignored{Reason: "malformed record: " + err.Error()}
	}
	switch {
	case record.Snapshot != nil:
		return restore(state, offset, record.Snapshot)
	case record.Change != nil && offset > state.Offset:
		return applyChange(state, offset, record.Change)
	default:
		return state, Ignored{Reason: "record is empty or was folded before"}
	}
}

func (state *State) withOffset(offset ptid.Offset) *State {
	next := *state
	next.Offset = max(state.Offset, offset)
	return &next
}

// restore replaces state by a snapshot if the snapshot has a higher revision. The new state has
// the offset of the snapshot, so that the reader continues there.
func restore(state *State, offset ptid.Offset, snapshot *State) (next *State, result FoldResult) {
	if snapshot.Revision <= state.Revision {
		return state.withOffset(offset), Ignored{Reason: "snapshot revision is not higher"}
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

func applyChange(state *State, offset ptid.Offset, change *Change) (next *State, result FoldResult) {
	if _, known := state.ChangeResult(change.ID); known {
		return state.withOffset(offset), Ignored{Reason: "change was folded before"}
	}
	next = state.clone()
	next.Offset = offset
	changeResult := ChangeResult{ID: change.ID}
	for _, key := range change.keys() {
		if state.ChangedAt[key] > change.BasedOn {
			changeResult.Conflicts = append(changeResult.Conflicts, key)
		}
	}
	if len(changeResult.Conflicts) > 0 || change.BasedOn > state.Revision {
		changeResult.Revision = state.Revision
		next.addChangeResult(changeResult)
		return next, Conflict{changeResult}
	}
	next.Revision++
	changeResult.Accepted, changeResult.Revision = true, next.Revision
	next.applyDeclarations(change)
	next.addChangeResult(changeResult)
	return next, Accepted{changeResult}
}

// keys returns the keys of the declarations that the change sets or removes.
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

func (state *State) applyDeclarations(change *Change) {
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

func (state *State) addChangeResult(result ChangeResult) {
	state.ChangeResults = append(state.ChangeResults, result)
	if surplus := len(state.ChangeResults) - maxChangeResults; surplus > 0 {
		state.ChangeResults = state.ChangeResults[surplus:]
	}
}

// ChangeResult returns the stored result of a change.
func (state *State) ChangeResult(id ChangeID) (stored ChangeResult, known bool) {
	for _, stored := range slices.Backward(state.ChangeResults) {
		if stored.ID == id {
			return stored, true
		}
	}
	return ChangeResult{}, false
}

// Declarations returns all current declarations, sorted by name.
func (state *State) Declarations() (declarations ptprofile.Declarations) {
	for _, name := range slices.Sorted(maps.Keys(state.Profiles)) {
		declarations.Profiles = append(declarations.Profiles, state.Profiles[name])
	}
	for _, name := range slices.Sorted(maps.Keys(state.Teams)) {
		declarations.Teams = append(declarations.Teams, state.Teams[name])
	}
	for _, name := range slices.Sorted(maps.Keys(state.Upstreams)) {
		declarations.Upstreams = append(declarations.Upstreams, state.Upstreams[name])
	}
	return declarations
}

// KeysMissingFrom returns the keys of the current declarations that are missing from the given
// declarations.
func (state *State) KeysMissingFrom(declarations ptprofile.Declarations) (keys []Key) {
	declared := make(map[Key]bool)
	for _, key := range (&Change{Set: declarations}).keys() {
		declared[key] = true
	}
	for _, key := range (&Change{Set: state.Declarations()}).keys() {
		if !declared[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

// UpstreamState returns the declared state of an upstream; the default is active.
func (state *State) UpstreamState(name ptid.AgentName) ptprofile.UpstreamState {
	if upstream, declared := state.Upstreams[name]; declared {
		return upstream.State
	}
	return ptprofile.UpstreamActive
}

// TeamMaxRunning returns the quota of a team; the default is unlimited.
func (state *State) TeamMaxRunning(name ptid.TeamName) int {
	if team, declared := state.Teams[name]; declared {
		return team.MaxRunning
	}
	return ptprofile.Unlimited
}

// EncodeChange returns the encoded record of a change.
func EncodeChange(change *Change) (data []byte, err error) {
	data, err = json.Marshal(Record{Change: change})
	return data, errors.Wrap(err, "encode change")
}

// EncodeSnapshot returns the encoded snapshot record of a state.
func EncodeSnapshot(state *State) (data []byte, err error) {
	data, err = json.Marshal(Record{Snapshot: state})
	return data, errors.Wrap(err, "encode snapshot")
}

// CompressSnapshot returns the gzip-compressed snapshot record of a state, for transfer
// between processes.
func CompressSnapshot(state *State) (compressed []byte, err error) {
	defer func() { err = errors.Wrap(err, "compress configuration snapshot") }()
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

// maxSnapshotSize bounds the decompressed size of a snapshot, in bytes.
const maxSnapshotSize = 64 << 20

// DecompressSnapshot returns the state that CompressSnapshot has compressed.
func DecompressSnapshot(compressed []byte) (state *State, err error) {
	defer func() { err = errors.Wrap(err, "decompress configuration snapshot") }()
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	record, err := io.ReadAll(io.LimitReader(reader, maxSnapshotSize))
	if err != nil {
		return nil, err
	}
	return DecodeSnapshot(record)
}

// DecodeSnapshot returns the state in a snapshot record.
func DecodeSnapshot(data []byte) (state *State, err error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	if record.Snapshot == nil {
		return nil, errors.New("record is not a snapshot")
	}
	return record.Snapshot.clone(), nil
}
