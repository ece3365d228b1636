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

// side is one entry with its ledger and the messages between it and the keeper.
type side struct {
	name    ptid.EntryName
	ledger  *ptquota.Limiter
	running int
	waiting int
	claims  []ptquota.Claim
	shares  []ptquota.Share
}

func newSide(number int) *side {
	made := &side{name: ptid.EntryName(fmt.Sprintf("entry%d", number)), ledger: ptquota.NewLimiter()}
	made.ledger.SetLimit(ptquota.TeamAccount("team"), limit)
	return made
}

// TestNeverOver lets three entries and a keeper exchange delayed messages in any
// order and checks that the limit holds at every moment.
func TestNeverOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keeper := ptquota.NewCoordinator()
		now := ptid.Instant(time.Hour)
		sides := []*side{newSide(1), newSide(2), newSide(3)}
		byName := map[ptid.EntryName]*side{}
		for _, side := range sides {
			byName[side.name] = side
		}
		pick := func(t *rapid.T) *side { return sides[rapid.IntRange(0, 2).Draw(t, "entry")] }
		deliverClaim := func(side *side) {
			if len(side.claims) == 0 {
				return
			}
			claim := side.claims[0]
			side.claims = side.claims[1:]
			for _, share := range keeper.HandleClaim(side.name, claim, now) {
				byName[share.Entry].shares = append(byName[share.Entry].shares, share)
			}
		}
		deliverShare := func(side *side) {
			if len(side.shares) > 0 {
				side.ledger.SetShare(side.shares[0])
				side.shares = side.shares[1:]
			}
		}
		run := func(side *side) {
			for side.waiting > 0 && side.ledger.Allows("profile", "team") {
				side.ledger.Acquire("profile", "team")
				side.ledger.AddWaiting("profile", "team", -1)
				side.waiting--
				side.running++
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				side, tasks := pick(t), rapid.IntRange(1, 15).Draw(t, "tasks")
				side.waiting += tasks
				side.ledger.AddWaiting("profile", "team", tasks)
			},
			"claim": func(t *rapid.T) {
				side := pick(t)
				side.claims = append(side.claims, side.ledger.DueClaims(false)...)
			},
			"deliverClaim": func(t *rapid.T) { deliverClaim(pick(t)) },
			"deliverShare": func(t *rapid.T) { deliverShare(pick(t)) },
			"run":          func(t *rapid.T) { run(pick(t)) },
			"end": func(t *rapid.T) {
				if side := pick(t); side.running > 0 {
					side.running--
					side.ledger.Release("profile", "team")
				}
			},
			"": func(t *rapid.T) {
				total := 0
				for _, side := range sides {
					total += side.running
				}
				if total > limit {
					t.Fatalf("%d tasks run, the limit is %d", total, limit)
				}
			},
		})
		// With every message delivered, no part of the quota stays unused while tasks wait.
		for range 20 {
			for _, side := range sides {
				side.claims = append(side.claims, side.ledger.DueClaims(false)...)
				for len(side.claims) > 0 {
					deliverClaim(side)
				}
			}
			for _, side := range sides {
				for len(side.shares) > 0 {
					deliverShare(side)
				}
				run(side)
			}
			now = now.Add(50 * time.Millisecond)
			for _, share := range keeper.Tick(now) {
				byName[share.Entry].shares = append(byName[share.Entry].shares, share)
			}
		}
		total, waiting := 0, 0
		for _, side := range sides {
			total += side.running
			waiting += side.waiting
		}
		if waiting > 0 && total < limit {
			for _, side := range sides {
				t.Logf("%s: %d run, %d wait, share %d, claims %v", side.name, side.running, side.waiting,
					side.ledger.Share(ptquota.TeamAccount("team")), side.ledger.DueClaims(true))
			}
			t.Fatalf("%d tasks wait while %d of %d run", waiting, total, limit)
		}
	})
}

func TestKeeperIsTheSameForAll(t *testing.T) {
	agents := []ptid.AgentName{"a", "b", "c", "d"}
	reversed := []ptid.AgentName{"d", "c", "b", "a"}
	chosen := make(map[ptid.AgentName]int)
	for i := range 200 {
		account := ptquota.TeamAccount(ptid.TeamName(fmt.Sprint("team", i)))
		keeper := ptquota.CoordinatorOf(account, agents)
		if other := ptquota.CoordinatorOf(account, reversed); other != keeper {
			t.Fatalf("%s: %s and %s", account, keeper, other)
		}
		chosen[keeper]++
	}
	if len(chosen) != len(agents) {
		t.Fatalf("only %d of %d agents keep accounts", len(chosen), len(agents))
	}
}
