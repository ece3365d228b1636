package ptruncontrol_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

// confirmedOrder orders a run that needs half of the worker. The entry has sent the order just now, and has
// confirmed its callers some time ago.
func (fixture *fixture) confirmedOrder(id ptrun.ID, confirmedAt, now ptid.Instant) []ptruncontrol.Effect {
	return fixture.Order(ptruncontrol.Order{
		Run: id, Owner: owner, Demand: ptrun.Demand{CPU: 2000}, SentAt: now, CallersConfirmedAt: confirmedAt,
		StartBy: now.Add(500 * time.Millisecond), WaitUntil: now.Add(500 * time.Millisecond), QueueKey: now,
	}, now)
}

// Guards against review/12 (TWICE): an entry that was paused sends an order before it has handled the loss of a
// caller, which submits its job to another entry 1.3 s after it has left.
func TestOrderOfAnEntryThatHasNotConfirmedItsCallersIsRefused(test *testing.T) {
	for age, wantStarts := range map[int]int{0: 1, 300: 1, 1000: 0, 1300: 0, 2400: 0, 60_000: 0} {
		fixture := newFixture(test)
		now := at(60_000)
		fixture.list(61_000, now-1, now, nil)
		effects := fixture.confirmedOrder(run(0, 1), at(60_000-age), now)
		fixture.expect.Expect(starts(effects)).To(HaveLen(wantStarts), "confirmed %d ms ago", age)
		fixture.expect.Expect(sentEnds(effects)).To(HaveLen(1-wantStarts), "confirmed %d ms ago", age)
	}
}

// The order arrived in time and waits for room. Its entry has been paused since, and its session is open.
func TestWaitingRunOfAnEntryThatHasNotConfirmedItsCallersIsNotStarted(test *testing.T) {
	for _, confirmed := range []bool{true, false} {
		fixture := newFixture(test)
		fixture.startRun(run(0, 1))
		fixture.Order(ptruncontrol.Order{
			Run: run(1, 1), Owner: owner, Demand: ptrun.Demand{CPU: 4000}, SentAt: at(1), CallersConfirmedAt: at(1),
			StartBy: at(10_000), WaitUntil: at(10_000), QueueKey: at(1),
		}, at(1))
		fixture.OwnerConfirmed(owner, at(1500))
		if confirmed {
			fixture.CallersConfirmed(owner, at(1500))
		}
		effects := fixture.list(2501, at(1500), at(1501), []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: run(0, 1), Result: ptrun.Done}}})
		if confirmed {
			fixture.expect.Expect(starts(effects)).To(ConsistOf(run(1, 1)))
		} else {
			fixture.expect.Expect(starts(effects)).To(BeEmpty())
		}
	}
}

// The entry acknowledges all frames and has not handled the loss of a caller, for whatever reason.
func TestRunOfAnEntryThatDoesNotConfirmItsCallersEndsBeforeTheySubmitAgain(test *testing.T) {
	fixture := newFixture(test)
	fixture.list(1000, start, start, nil)
	fixture.expect.Expect(starts(fixture.confirmedOrder(run(0, 1), at(0), at(0)))).To(ConsistOf(run(0, 1)))
	fixture.HandleStartResponse(run(0, 1), 1001, nil, at(1))
	latest := 0
	for now := 2; now <= resubmitDelay; now += 25 {
		fixture.OwnerConfirmed(owner, at(now))
		latest = max(latest, fixture.lastLease(now, now+24, run(0, 1)))
	}
	fixture.expect.Expect(latest).To(BeNumerically("<=", resubmitDelay*49/50))
}

// An agent whose machine was suspended learns from the clock of its worker that a confirmation is older than it seems.
func TestConfirmationAgesWhileTheAgentIsSuspended(test *testing.T) {
	fixture := newFixture(test)
	fixture.CallersConfirmed(owner, at(100))
	fixture.list(1000+2500, at(100), at(101), nil)
	effects := fixture.Order(ptruncontrol.Order{
		Run: run(0, 1), Owner: owner, Demand: ptrun.Demand{CPU: 2000}, SentAt: at(102), CallersConfirmedAt: 1, StartBy: at(600), WaitUntil: at(600), QueueKey: at(102),
	}, at(102))
	fixture.expect.Expect(starts(effects)).To(BeEmpty())
}
