package ptclaim_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/primrosetiller/primrosetiller/ptclaim"
	"github.com/primrosetiller/primrosetiller/ptid"
)

// TestOneHolder folds random claims and checks that a key keeps its first holder
// until somebody supersedes exactly that one, and that two readers agree although one
// starts later.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 100 * time.Second
		book, late := ptclaim.NewTable(window), ptclaim.NewTable(window)
		holders := make(map[ptclaim.Fingerprint]ptid.JobID)
		claimed := make(map[ptclaim.Fingerprint]time.Time)
		at := time.Unix(1_000_000, 0)
		lateFrom := at.Add(50 * time.Second)
		for i := range rapid.IntRange(1, 60).Draw(t, "records") {
			at = at.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "pass")) * time.Second)
			claim := ptclaim.Claim{
				Key: ptclaim.FingerprintOf([]byte{byte(rapid.IntRange(0, 3).Draw(t, "key"))}),
				Job: ptid.JobID(fmt.Sprint("job", i)),
			}
			if rapid.Bool().Draw(t, "supersede") {
				claim.Supersedes = ptid.JobID(fmt.Sprint("job", rapid.IntRange(0, i).Draw(t, "whom")))
			}
			data, err := json.Marshal(ptclaim.Record{ID: fmt.Sprint(i), At: at, Claims: []ptclaim.Claim{claim}})
			if err != nil {
				t.Fatalf("%v", err)
			}
			_, got, err := book.Apply(data)
			if err != nil {
				t.Fatalf("%v", err)
			}
			held, known := holders[claim.Key]
			known = known && at.Sub(claimed[claim.Key]) < window
			expected := claim.Job
			if known && held != claim.Supersedes {
				expected = held
			} else {
				claimed[claim.Key] = at
			}
			holders[claim.Key] = expected
			if got[0].Job != expected {
				t.Fatalf("record %d: %s holds the key, expected %s", i, got[0].Job, expected)
			}
			if at.After(lateFrom) {
				if _, _, err := late.Apply(data); err != nil {
					t.Fatalf("%v", err)
				}
			}
		}
		if book.Keys() > 4 {
			t.Fatalf("%d keys are remembered", book.Keys())
		}
	})
}

func FuzzFold(f *testing.F) {
	f.Add([]byte(`{"id":"x","at":"2026-01-01T00:00:00Z","claims":[{"key":"AAAAAAAAAAAAAAAAAAAAAA","request":"AAAAAAAAAAAAAAAAAAAAAA","job":"j"}]}`))
	f.Add([]byte(`{"claims":[{"key":"x"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		book := ptclaim.NewTable(time.Minute)
		record, holders, err := book.Apply(data)
		if err == nil && len(holders) != len(record.Claims) {
			t.Fatalf("%d holders for %d claims", len(holders), len(record.Claims))
		}
	})
}
