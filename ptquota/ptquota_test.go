package ptquota_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptquota"
)

const limit = 10

// simulatedEntry is an entry with its limiter and the messages in transit between it and
// the coordinator.
type simulatedEntry struct {
	name    ptid.EntryName
	limiter *ptquota.Limiter
	running int
	waiting int
	claims  []ptquota.Claim
	shares  []ptquota.Share
}

func newSimulatedEntry(number int) *simulatedEntry {
	entry := &simulatedEntry{name: ptid.EntryName(fmt.Sprintf("entry%d", number)), limiter: ptquota.NewLimiter()}
	entry.limiter.SetLimit(ptquota.TeamAccount("team"), limit)
	return entry
}

// TestLimitIsNeverExceeded delays the messages between three entries and a coordinator at
// random, and checks that the limit holds at every moment.
func TestLimitIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		coordinator := ptquota.NewCoordinator()
		now := ptid.Instant(time.Hour)
		entries := []*simulatedEntry{newSimulatedEntry(1), newSimulatedEntry(2), newSimulatedEntry(3)}
		byName := map[ptid.EntryName]*simulatedEntry{}
		for _, entry := range entries {
			byName[entry.name] = entry
		}
		pick := func(t *rapid.T) *simulatedEntry { return entries[rapid.IntRange(0, 2).Draw(t, "entry")] }
		deliverClaim := func(entry *simulatedEntry) {
			if len(entry.claims) == 0 {
				return
			}
			claim := entry.claims[0]
			entry.claims = entry.claims[1:]
			for _, share := range coordinator.HandleClaim(entry.name, claim, now) {
				byName[share.Entry].shares = append(byName[share.Entry].shares, share)
			}
		}
		deliverShare := func(entry *simulatedEntry) {
			if len(entry.shares) > 0 {
				entry.limiter.SetShare(entry.shares[0])
				entry.shares = entry.shares[1:]
			}
		}
		run := func(entry *simulatedEntry) {
			for entry.waiting > 0 && entry.limiter.Allows("profile", "team") {
				entry.limiter.Acquire("profile", "team")
				entry.limiter.AddWaiting("profile", "team", -1)
				entry.waiting--
				entry.running++
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				entry, tasks := pick(t), rapid.IntRange(1, 15).Draw(t, "tasks")
				entry.waiting += tasks
				entry.limiter.AddWaiting("profile", "team", tasks)
			},
			"claim": func(t *rapid.T) {
				entry := pick(t)
				entry.claims = append(entry.claims, entry.limiter.DueClaims(false)...)
			},
			"deliverClaim": func(t *rapid.T) { deliverClaim(pick(t)) },
			"deliverShare": func(t *rapid.T) { deliverShare(pick(t)) },
			"run":          func(t *rapid.T) { run(pick(t)) },
			"end": func(t *rapid.T) {
				if entry := pick(t); entry.running > 0 {
					entry.running--
					entry.limiter.Release("profile", "team")
				}
			},
			"": func(t *rapid.T) {
				total := 0
				for _, entry := range entries {
					total += entry.running
				}
				if total > limit {
					t.Fatalf("%d tasks run, the limit is %d", total, limit)
				}
			},
		})
		// When all messages have been delivered, no part of the quota is unused while tasks
		// wait.
		for range 20 {
			for _, entry := range entries {
				entry.claims = append(entry.claims, entry.limiter.DueClaims(false)...)
				for len(entry.claims) > 0 {
					deliverClaim(entry)
				}
			}
			for _, entry := range entries {
				for len(entry.shares) > 0 {
					deliverShare(entry)
				}
				run(entry)
			}
			now = now.Add(50 * time.Millisecond)
			for _, share := range coordinator.Tick(now) {
				byName[share.Entry].shares = append(byName[share.Entry].shares, share)
			}
		}
		total, waiting := 0, 0
		for _, entry := range entries {
			total += entry.running
			waiting += entry.waiting
		}
		if waiting > 0 && total < limit {
			for _, entry := range entries {
				t.Logf("%s: %d run, %d wait, share %d, claims %v", entry.name, entry.running, entry.waiting,
					entry.limiter.Share(ptquota.TeamAccount("team")), entry.limiter.DueClaims(true))
			}
			t.Fatalf("%d tasks wait while %d of %d run", waiting, total, limit)
		}
	})
}

func TestAllEntriesChooseTheSameCoordinator(t *testing.T) {
	agents := []ptid.AgentName{"a", "b", "c", "d"}
	reversed := []ptid.AgentName{"d", "c", "b", "a"}
	chosen := make(map[ptid.AgentName]int)
	for i := range 200 {
		account := ptquota.TeamAccount(ptid.TeamName(fmt.Sprint("team", i)))
		coordinator := ptquota.CoordinatorOf(account, agents)
		if other := ptquota.CoordinatorOf(account, reversed); other != coordinator {
			t.Fatalf("%s: coordinators %s and %s differ", account, coordinator, other)
		}
		chosen[coordinator]++
	}
	if len(chosen) != len(agents) {
		t.Fatalf("only %d of %d agents coordinate accounts", len(chosen), len(agents))
	}
}
