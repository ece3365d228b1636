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

// TestReadersAgree folds random histories with races, repetitions and snapshots in
// two ways and checks that both end alike, that the revision never falls and that
// every accepted change is in force until the next to the same team.
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
				// A snapshot by a process that may be behind.
				of := state
				if len(states) > 0 {
					of = states[rapid.IntRange(0, len(states)-1).Draw(t, "of")]
				}
				data, err := ptconfig.EncodeSnapshot(of)
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
			next, verdict := ptconfig.Fold(state, ptid.Offset(i), log[i])
			if next.Revision < state.Revision {
				t.Fatalf("the revision fell from %d to %d", state.Revision, next.Revision)
			}
			if accepted, ok := verdict.(ptconfig.Accepted); ok {
				var record ptconfig.Record
				if err := json.Unmarshal(log[i], &record); err != nil {
					t.Fatalf("%v", err)
				}
				expected[string(record.Change.Set.Teams[0].Name)] = record.Change.Set.Teams[0].MaxRunning
				if accepted.Revision != next.Revision {
					t.Fatalf("accepted as %d, in force is %d", accepted.Revision, next.Revision)
				}
			}
			state = next
			states = append(states, state)
		}
		for name, running := range expected {
			if got := state.Teams[ptid.TeamName(name)].MaxRunning; got != running {
				t.Fatalf("%s: %d in force, %d was accepted last", name, got, running)
			}
		}
		late := states[rapid.IntRange(0, len(states)-1).Draw(t, "from")]
		for i := int(late.Offset) + 1; i < len(log); i++ {
			late, _ = ptconfig.Fold(late, ptid.Offset(i), log[i])
		}
		if fmt.Sprint(late.Declarations()) != fmt.Sprint(state.Declarations()) || late.Revision != state.Revision {
			t.Fatalf("a reader that started from a peer's state ends otherwise")
		}
	})
}

func TestConflicts(t *testing.T) {
	expect := NewWithT(t)
	state := ptconfig.NewState()
	state, verdict := ptconfig.Fold(state, 0, encode(t, &ptconfig.Change{ID: "1", Set: team("a", 1)}))
	expect.Expect(verdict).To(BeAssignableToTypeOf(ptconfig.Accepted{}))
	// Two operators start from revision 1.
	state, _ = ptconfig.Fold(state, 1, encode(t, &ptconfig.Change{ID: "2", BasedOn: 1, Set: team("a", 2)}))
	state, verdict = ptconfig.Fold(state, 2, encode(t, &ptconfig.Change{ID: "3", BasedOn: 1, Set: team("a", 3)}))
	expect.Expect(verdict).To(Equal(ptconfig.Conflict{ChangeResult: ptconfig.ChangeResult{ID: "3", Revision: 2, Conflicts: []ptconfig.Key{"teams/a"}}}))
	state, verdict = ptconfig.Fold(state, 3, encode(t, &ptconfig.Change{ID: "4", BasedOn: 1, Set: team("b", 4)}))
	expect.Expect(verdict).To(BeAssignableToTypeOf(ptconfig.Accepted{}), "another declaration does not conflict")
	state, verdict = ptconfig.Fold(state, 4, encode(t, &ptconfig.Change{ID: "4", BasedOn: 1, Set: team("b", 4)}))
	expect.Expect(verdict).To(BeAssignableToTypeOf(ptconfig.Ignored{}), "a repeated append counts once")
	state, verdict = ptconfig.Fold(state, 5, encode(t, &ptconfig.Change{ID: "5", BasedOn: 99, Set: team("c", 5)}))
	expect.Expect(verdict).To(BeAssignableToTypeOf(ptconfig.Conflict{}), "nobody has seen revision 99")
	state, _ = ptconfig.Fold(state, 6, encode(t, &ptconfig.Change{ID: "6", BasedOn: 3, Remove: []ptconfig.Key{"teams/a"}}))
	expect.Expect(state.Teams).NotTo(HaveKey(ptid.TeamName("a")))
	expect.Expect(state.KeysMissingFrom(team("x", 1))).To(Equal([]ptconfig.Key{"teams/b"}))
}
