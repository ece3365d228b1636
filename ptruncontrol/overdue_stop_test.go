package ptruncontrol_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

const (
	// silenceDetection is the longest time that an agent with runs of an entry needs to detect
	// that the entry is silent: a heartbeat interval, the acknowledgement timeout, and a tick.
	silenceDetection = 575
	// resubmitDelay is the time from the loss of a caller's connection until the caller submits
	// its job again.
	resubmitDelay = 1300
)

// lastLease plays an agent from one instant to another, both in milliseconds after the start. The
// worker answers each listing with the active runs, and answers no stop order. lastLease returns
// the latest lease that the agent has granted, also in milliseconds after the start; the worker's
// clock shows 1000 at the start.
func (fixture *fixture) lastLease(from, until int, active ...ptrun.ID) (latest int) {
	var latestClock ptrun.WorkerTime
	for now := from; now <= until; now += 25 {
		clock := ptrun.WorkerTime(1000 + now)
		latestClock = max(latestClock, fixture.LeaseRenewal(at(now)).ExpiresAt)
		effects := append(fixture.list(clock, at(now), at(now+1), nil, active...), fixture.Tick(at(now+2))...)
		for _, id := range stops(effects) {
			fixture.HandleStopResponse(id, 0, ptrun.ErrUnanswered, at(now+20))
		}
	}
	return int(latestClock) - 1000
}

func (fixture *fixture) startRun(id ptrun.ID) {
	fixture.expect.Expect(starts(fixture.order(id, 1000, at(0)))).To(ConsistOf(id))
	fixture.HandleStartResponse(id, 1001, nil, at(1))
}

func milliseconds(duration time.Duration) int { return int(duration.Milliseconds()) }

// The entry loses the session at the start and places the task again after its timeout.
func TestOrphanedRunThatIgnoresStopsEndsBeforeItsTaskIsPlacedAgain(test *testing.T) {
	fixture := newFixture(test)
	fixture.startRun(run(0, 1))
	until := milliseconds(ptassign.RunLossTimeout)
	latest := fixture.lastLease(2, silenceDetection, run(0, 1))
	fixture.SessionClosed(owner.Entry, at(silenceDetection))
	latest = max(latest, fixture.lastLease(silenceDetection+1, until, run(0, 1)))
	fixture.expect.Expect(latest).To(BeNumerically("<=", until))
}

func TestOrphanedDurableRunThatIgnoresStopsEndsBeforeItsTaskIsPlacedAgain(test *testing.T) {
	fixture := newFixture(test)
	id := run(0, 1<<20+1)
	fixture.startRun(id)
	until := milliseconds(ptassign.DurableRunLossTimeout)
	latest := fixture.lastLease(2, silenceDetection, id)
	fixture.SessionClosed(owner.Entry, at(silenceDetection))
	latest = max(latest, fixture.lastLease(silenceDetection+1, until, id))
	fixture.expect.Expect(latest).To(BeNumerically("<=", until))
}

// The entry fails at the start and is restarted, and the partition goes to another entry, which the
// agent can't reach.
func TestDurableRunOfRestartedEntryEndsBeforeItsTaskIsPlacedAgain(test *testing.T) {
	for name, restarts := range map[string][]int{"once": {700}, "repeatedly": {700, 2000, 3300}} {
		fixture := newFixture(test)
		id := run(0, 1<<20+1)
		fixture.startRun(id)
		until := milliseconds(ptassign.DurableRunLossTimeout)
		latest, now := fixture.lastLease(2, silenceDetection, id), silenceDetection
		for index, restartedAt := range restarts {
			fixture.SessionClosed(owner.Entry, at(now))
			latest = max(latest, fixture.lastLease(now+1, restartedAt, id))
			fixture.SessionOpened(ptruncontrol.Owner{Entry: owner.Entry, Incarnation: ptid.Incarnation(index + 2)}, at(restartedAt))
			latest, now = max(latest, fixture.lastLease(restartedAt+1, restartedAt+500, id)), restartedAt+500
		}
		latest = max(latest, fixture.lastLease(now, until, id))
		fixture.expect.Expect(latest).To(BeNumerically("<=", until), name)
	}
}

// The caller's connection breaks at the start, and its entry stops the run at once. The caller
// submits the job again to another entry.
func TestStoppedRunThatIgnoresStopsEndsBeforeItsCallerSubmitsAgain(test *testing.T) {
	fixture := newFixture(test)
	fixture.startRun(run(0, 1))
	fixture.Stop(run(0, 1), ptrun.ReasonStopRequested, at(2))
	fixture.expect.Expect(fixture.lastLease(3, resubmitDelay, run(0, 1))).To(BeNumerically("<=", resubmitDelay))
}

// The earlier agent process ended at the start, and the restarted one finds its run.
func TestRunOfEarlierAgentProcessThatIgnoresStopsEndsBeforeItsTaskIsPlacedAgain(test *testing.T) {
	fixture := &fixture{Core: ptruncontrol.New(100), expect: NewWithT(test)}
	fixture.HandleAnnouncement(ptrun.Worker{
		WorkerIdentity: ptrun.WorkerIdentity{ID: "worker", StartedAt: time.UnixMilli(5)}, Capacity: ptrun.Demand{CPU: 4000, Memory: 1000}, Sequence: 1,
	}, 1000, start)
	until := milliseconds(ptassign.RunLossTimeout)
	fixture.expect.Expect(fixture.lastLease(1, until, run(0, 1))).To(BeNumerically("<=", until))
}

// The deadline of a start order is also a lease of all runs on the worker.
func TestNoRunStartsWhileAnotherIgnoresItsStops(test *testing.T) {
	fixture := newFixture(test)
	fixture.startRun(run(0, 1))
	fixture.Stop(run(0, 1), ptrun.ReasonStopRequested, at(2))
	fixture.lastLease(3, 500, run(0, 1))
	effects := append(fixture.order(run(1, 1), 1000, at(510)), fixture.Tick(at(520))...)
	fixture.expect.Expect(starts(effects)).To(BeEmpty())
	stopped := []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: run(0, 1), Result: ptrun.Stopped}}}
	fixture.expect.Expect(starts(fixture.list(1530, at(528), at(530), stopped))).To(ConsistOf(run(1, 1)))
}

// The steady clock of a suspended machine stands still, and the clock of its worker goes on.
func TestOrphanedRunOfSuspendedAgentEndsBeforeItsTaskIsPlacedAgain(test *testing.T) {
	const suspended = 800
	for name, limits := range map[string]struct {
		run                ptrun.ID
		orphaned, lossTime int
	}{
		"best-effort": {run: run(0, 1), orphaned: milliseconds(ptruncontrol.OrphanTimeout), lossTime: milliseconds(ptassign.RunLossTimeout)},
		"durable":     {run: run(0, 1<<20+1), orphaned: milliseconds(ptruncontrol.DurableOrphanTimeout), lossTime: milliseconds(ptassign.DurableRunLossTimeout)},
	} {
		fixture := newFixture(test)
		fixture.startRun(limits.run)
		fixture.lastLease(2, silenceDetection, limits.run)
		fixture.SessionClosed(owner.Entry, at(silenceDetection))
		resumedAt := silenceDetection + limits.orphaned/2
		fixture.lastLease(silenceDetection+1, resumedAt, limits.run)
		latest := 0
		for now := resumedAt + 1; now+suspended <= limits.lossTime; now += 25 {
			latest = max(latest, int(fixture.LeaseRenewal(at(now)).ExpiresAt)-1000)
			for _, id := range stops(append(fixture.list(ptrun.WorkerTime(1000+now+suspended), at(now), at(now+1), nil, limits.run), fixture.Tick(at(now+2))...)) {
				fixture.HandleStopResponse(id, 0, ptrun.ErrUnanswered, at(now+20))
			}
		}
		fixture.expect.Expect(latest).To(BeNumerically("<=", limits.lossTime), name)
	}
}

func TestAdoptedRunOfRestartedEntryIsNotStopped(test *testing.T) {
	fixture := newFixture(test)
	id := run(0, 1<<20+1)
	fixture.startRun(id)
	fixture.SessionClosed(owner.Entry, at(600))
	restarted := ptruncontrol.Owner{Entry: owner.Entry, Incarnation: 2}
	fixture.SessionOpened(restarted, at(700))
	fixture.lastLease(701, 2600, id)
	fixture.AdoptPartition(restarted, 0, 4, 2, at(2601))
	for millis := 2650; millis < 6000; millis += 50 {
		effects := append(fixture.list(ptrun.WorkerTime(1000+millis), at(millis-1), at(millis), nil, id), fixture.Tick(at(millis))...)
		fixture.expect.Expect(stops(effects)).To(BeEmpty(), "%d ms", millis)
	}
}
