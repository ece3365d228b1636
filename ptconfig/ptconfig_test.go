package ptconfig_test

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/primrosetiller/primrosetiller/ptconfig"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptprofile"
)

func team(name string, running int) ptprofile.Declarations {
	return ptprofile.Declarations{Teams: []ptprofile.Team{{Name: ptid.TeamName(name), MaxRunning: running}}}
}

func encode(t interface{ Fatalf(string, ...any) }, change *ptconfig.Change) []byte {
	data, err := ptconfig.EncodeChange(change)
	if err != nil {
		t.Fatalf("%v", err)
	}
	return data
}

// TestReadersAgree folds random histories that contain conflicting changes, duplicates
// and snapshots. It checks that a reader that starts from an intermediate state ends with the
// same configuration, that the revision never decreases, and that every accepted change is
// in force until the next accepted change to the same team.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := ptconfig.NewState()
		var log [][]byte
		var states []*ptconfig.State
		expected := make(map[string]int)
		count := rapid.IntRange(1, 40).Draw(t, "records")
		for i := range count {
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				log = append(log, []byte("not a record"))
			case 1:
				// A snapshot by a process that may have read fewer records.
				source := state
				if len(states) > 0 {
					source = states[rapid.IntRange(0, len(states)-1).Draw(t, "of")]
				}
				data, err := ptconfig.EncodeSnapshot(source)
				if err != nil {
					t.Fatalf("%v", err)
				}
				log = append(log, data)
			case 2:
				if len(log) > 0 {
					log = append(log, log[rapid.IntRange(0, len(log)-1).Draw(t, "again")])
				} else {
					log = append(log, []byte("{}"))
				}
			default:
				base := rapid.IntRange(0, int(state.Revision)+1).Draw(t, "base")
				log = append(log, encode(t, &ptconfig.Change{
					ID: ptconfig.ChangeID(fmt.Sprint("change", i)), BasedOn: ptid.Revision(base),
					Set: team(fmt.Sprint("team", rapid.IntRange(0, 2).Draw(t, "team")), i),
				}))
			}
			next, result := ptconfig.Fold(state, ptid.Offset(i), log[i])
			if next.Revision < state.Revision {
				t.Fatalf("revision decreased from %d to %d", state.Revision, next.Revision)
			}
			if accepted, ok := result.(ptconfig.Accepted); ok {
				var record ptconfig.Record
				if err := json.Unmarshal(log[i], &record); err != nil {
					t.Fatalf("%v", err)
				}
				expected[string(record.Change.Set.Teams[0].Name)] = record.Change.Set.Teams[0].MaxRunning
				if accepted.Revision != next.Revision {
					t.Fatalf("change accepted with revision %d, but the current revision is %d", accepted.Revision, next.Revision)
				}
			}
			state = next
			states = append(states, state)
		}
		for name, running := range expected {
			if got := state.Teams[ptid.TeamName(name)].MaxRunning; got != running {
				t.Fatalf("%s: maxRunning is %d, but the last accepted change set %d", name, got, running)
			}
		}
		replica := states[rapid.IntRange(0, len(states)-1).Draw(t, "from")]
		for i := int(replica.Offset) + 1; i < len(log); i++ {
			replica, _ = ptconfig.Fold(replica, ptid.Offset(i), log[i])
		}
		if fmt.Sprint(replica.Declarations()) != fmt.Sprint(state.Declarations()) || replica.Revision != state.Revision {
			t.Fatalf("a reader that started from an intermediate state has a different final state")
		}
	})
}

func TestConflicts(t *testing.T) {
	expect := NewWithT(t)
	state := ptconfig.NewState()
	state, result := ptconfig.Fold(state, 0, encode(t, &ptconfig.Change{ID: "1", Set: team("a", 1)}))
	expect.Expect(result).To(BeAssignableToTypeOf(ptconfig.Accepted{}))
	// Two concurrent changes based on revision 1.
	state, _ = ptconfig.Fold(state, 1, encode(t, &ptconfig.Change{ID: "2", BasedOn: 1, Set: team("a", 2)}))
	state, result = ptconfig.Fold(state, 2, encode(t, &ptconfig.Change{ID: "3", BasedOn: 1, Set: team("a", 3)}))
	expect.Expect(result).To(Equal(ptconfig.Conflict{ChangeResult: ptconfig.ChangeResult{ID: "3", Revision: 2, Conflicts: []ptconfig.Key{"teams/a"}}}))
	state, result = ptconfig.Fold(state, 3, encode(t, &ptconfig.Change{ID: "4", BasedOn: 1, Set: team("b", 4)}))
	expect.Expect(result).To(BeAssignableToTypeOf(ptconfig.Accepted{}), "changes to different declarations do not conflict")
	state, result = ptconfig.Fold(state, 4, encode(t, &ptconfig.Change{ID: "4", BasedOn: 1, Set: team("b", 4)}))
	expect.Expect(result).To(BeAssignableToTypeOf(ptconfig.Ignored{}), "a duplicate append counts once")
	state, result = ptconfig.Fold(state, 5, encode(t, &ptconfig.Change{ID: "5", BasedOn: 99, Set: team("c", 5)}))
	expect.Expect(result).To(BeAssignableToTypeOf(ptconfig.Conflict{}), "revision 99 does not exist")
	state, _ = ptconfig.Fold(state, 6, encode(t, &ptconfig.Change{ID: "6", BasedOn: 3, Remove: []ptconfig.Key{"teams/a"}}))
	expect.Expect(state.Teams).NotTo(HaveKey(ptid.TeamName("a")))
	expect.Expect(state.KeysMissingFrom(team("x", 1))).To(Equal([]ptconfig.Key{"teams/b"}))
}
