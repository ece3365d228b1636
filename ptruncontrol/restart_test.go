package ptruncontrol_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

// restartedListing is a listing of a later incarnation of the fixture's worker with the same ID.
func restartedListing(clock ptrun.WorkerTime, active ...ptrun.ID) (listing ptrun.Listing) {
	listing = ptrun.Listing{WorkerStartedAt: time.UnixMilli(9), Clock: clock}
	for _, id := range active {
		listing.Active = append(listing.Active, ptrun.ListedRun{Run: id})
	}
	return listing
}

// restartedWorker is an announcement of this later incarnation.
func restartedWorker() ptrun.Worker {
	worker := sameWorker(1)
	worker.StartedAt = time.UnixMilli(9)
	return worker
}

// Orders name only the ID of the worker, so a restarted worker with the same ID executes them.
func TestRunStartedOnRestartedWorkerWithSameIDIsNotReportedLost(test *testing.T) {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 3000, at(1))
	fixture.HandleStartResponse(run(0, 1), 3, nil, at(2))
	effects := fixture.HandleListing(restartedListing(5, run(0, 1)), at(3), at(4))
	effects = append(effects, fixture.HandleAnnouncement(restartedWorker(), 6, at(5))...)
	effects = append(effects, fixture.HandleListing(restartedListing(8, run(0, 1)), at(7), at(8))...)
	if len(stops(effects)) == 0 {
		fixture.expect.Expect(sentEnds(effects)).To(BeEmpty(), "the worker executes the run")
	}
	fixture.expectNoStartBeside(9)
}

func TestStartUnderWayToRestartedWorkerWithSameIDIsNotReportedLost(test *testing.T) {
	for name, announcedFirst := range map[string]bool{"listing first": false, "announcement first": true} {
		fixture := newFixture(test)
		fixture.order(run(0, 1), 3000, at(1))
		var effects []ptruncontrol.Effect
		if announcedFirst {
			effects = fixture.HandleAnnouncement(restartedWorker(), 2, at(2))
		}
		effects = append(effects, fixture.HandleListing(restartedListing(2), at(2), at(3))...)
		fixture.expect.Expect(sentEnds(effects)).To(BeEmpty(), "%s: the start order may still be executed", name)
		effects = fixture.HandleStartResponse(run(0, 1), 4, nil, at(5))
		effects = append(effects, fixture.HandleAnnouncement(restartedWorker(), 6, at(6))...)
		fixture.HandleListing(restartedListing(8, run(0, 1)), at(7), at(8))
		fixture.expect.Expect(sentEnds(effects)).To(BeEmpty(), name)
		fixture.expectNoStartBeside(9)
	}
}

func TestUnansweredStartIsStoppedOnRestartedWorkerWithSameID(test *testing.T) {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 3000, at(1))
	fixture.HandleStartResponse(run(0, 1), 0, ptrun.ErrUnanswered, at(26))
	effects := fixture.HandleListing(restartedListing(2), at(30), at(31))
	effects = append(effects, fixture.HandleAnnouncement(restartedWorker(), 4, at(33))...)
	effects = append(effects, fixture.HandleListing(restartedListing(6), at(34), at(35))...)
	effects = append(effects, fixture.Tick(at(300))...)
	fixture.expect.Expect(sentEnds(effects)).To(BeEmpty(), "the start deadline has not passed on the clock of the later incarnation")
	fixture.expect.Expect(stops(effects)).To(ContainElement(run(0, 1)))
	effects = fixture.HandleStopResponse(run(0, 1), 310, nil, at(301))
	effects = append(effects, fixture.HandleListing(restartedListing(312), at(302), at(303))...)
	fixture.expect.Expect(sentEnds(effects)).To(HaveLen(1))
}
