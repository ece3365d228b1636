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

// TestOneHolder applies random claims and checks that a key keeps its first holder until a
// claim supersedes exactly that holder, and that a reader that starts later applies the
// records without an error.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const retention = 100 * time.Second
		table, lateTable := ptclaim.NewTable(retention), ptclaim.NewTable(retention)
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
			_, got, err := table.Apply(data)
			if err != nil {
				t.Fatalf("%v", err)
			}
			held, known := holders[claim.Key]
			known = known && at.Sub(claimed[claim.Key]) < retention
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
				if _, _, err := lateTable.Apply(data); err != nil {
					t.Fatalf("%v", err)
				}
			}
		}
		if table.Keys() > 4 {
			t.Fatalf("the table holds %d keys, expected 4 at most", table.Keys())
		}
	})
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"id":"x","at":"2026-01-01T00:00:00Z","claims":[{"key":"AAAAAAAAAAAAAAAAAAAAAA","request":"AAAAAAAAAAAAAAAAAAAAAA","job":"j"}]}`))
	f.Add([]byte(`{"claims":[{"key":"x"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		table := ptclaim.NewTable(time.Minute)
		record, holders, err := table.Apply(data)
		if err == nil && len(holders) != len(record.Claims) {
			t.Fatalf("%d holders for %d claims", len(holders), len(record.Claims))
		}
	})
}
