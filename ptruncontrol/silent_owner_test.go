package ptruncontrol_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

// The entry ends at the start. Its caller submits the job to another entry, and the agent may be
// paused or killed at any time.
func TestRunOfSilentOwnerEndsBeforeItsCallerSubmitsAgainIfAgentIsPaused(test *testing.T) {
	fixture := newFixture(test)
	fixture.startRun(run(0, 1))
	latest := fixture.lastLease(2, silenceDetection, run(0, 1))
	fixture.SessionClosed(owner.Entry, at(silenceDetection))
	latest = max(latest, fixture.lastLease(silenceDetection+1, silenceDetection+300, run(0, 1)))
	fixture.expect.Expect(latest).To(BeNumerically("<=", resubmitDelay*49/50))
}

// The caller's connection breaks at the start, and the entry is paused for 300 ms.
func TestRunWithLateStopRequestEndsBeforeItsCallerSubmitsAgain(test *testing.T) {
	fixture := newFixture(test)
	fixture.startRun(run(0, 1))
	latest := fixture.lastLease(2, 300, run(0, 1))
	fixture.CallersConfirmed(owner, at(290))
	fixture.Stop(run(0, 1), ptrun.ReasonStopRequested, at(301))
	latest = max(latest, fixture.lastLease(302, resubmitDelay, run(0, 1)))
	fixture.expect.Expect(latest).To(BeNumerically("<=", resubmitDelay*49/50))
}

func TestLeaseIsRenewedWhileOwnersAreConfirmed(test *testing.T) {
	fixture := newFixture(test)
	fixture.startRun(run(0, 1))
	for millis := 100; millis <= 5000; millis += 100 {
		fixture.CallersConfirmed(owner, at(millis-400))
		fixture.list(ptrun.WorkerTime(1000+millis), at(millis-1), at(millis), nil, run(0, 1))
		fixture.expect.Expect(fixture.LeaseRenewal(at(millis)).ExpiresAt).To(BeNumerically(">=", 1000+millis+800))
	}
}

// The lease that was granted before the order arrived is longer than the run may be active.
func TestDelayedOrderOfSilentOwnerIsRefused(test *testing.T) {
	for delay, wantStarts := range map[int]int{100: 1, 450: 0} {
		fixture := newFixture(test)
		fixture.list(3000, at(1999), at(2000), nil)
		fixture.LeaseRenewal(at(2000))
		fixture.list(3000, at(2000), at(2000), nil)
		effects := fixture.Order(ptruncontrol.Order{
			Run: run(0, 1), Owner: owner, Demand: ptrun.Demand{CPU: 1000}, SentAt: at(2000 - delay), StartBy: at(2000 - delay + 500), WaitUntil: at(2010), QueueKey: at(2000),
		}, at(2000))
		fixture.expect.Expect(starts(effects)).To(HaveLen(wantStarts), "delay %d ms", delay)
		if wantStarts == 0 {
			fixture.expect.Expect(sentEnds(effects)).To(HaveLen(1))
		}
	}
}

func TestRunIsStoppedIfAnyOfItsOwnersIsSilent(test *testing.T) {
	fixture := newFixtureWithSecondOwner(test)
	fixture.SessionClosed(secondOwner.Entry, at(20))
	fixture.expect.Expect(stops(fixture.Tick(at(20).Add(ptruncontrol.OrphanTimeout + 10*time.Millisecond)))).To(ConsistOf(run(0, 1)))
}

// A pause of the agent postpones the end of its session with the entry by up to 0.8 s.
func TestDurableRunOfSilentOwnerEndsBeforeItsTaskIsPlacedAgainAfterALateDetection(test *testing.T) {
	const detected = silenceDetection + 800
	fixture := newFixture(test)
	id := run(0, 1<<20+1)
	fixture.startRun(id)
	until := milliseconds(ptassign.DurableRunLossTimeout)
	latest := fixture.lastLease(2, detected, id)
	fixture.SessionClosed(owner.Entry, at(detected))
	latest = max(latest, fixture.lastLease(detected+1, until, id))
	fixture.expect.Expect(latest).To(BeNumerically("<=", until))
}

func TestAdoptedRunKeepsItsLeaseBeforeItsNewOwnerAcknowledgesAFrame(test *testing.T) {
	fixture := newFixture(test)
	id := run(0, 1<<20+1)
	fixture.startRun(id)
	fixture.SessionClosed(owner.Entry, at(600))
	later := ptruncontrol.Owner{Entry: "later", Incarnation: 1}
	fixture.list(3500, at(2499), at(2500), nil, id)
	fixture.SessionOpened(later, at(2501))
	fixture.AdoptPartition(later, 0, 4, 2, at(2502))
	fixture.expect.Expect(fixture.LeaseRenewal(at(2503)).ExpiresAt).To(BeNumerically(">", 4390))
}
