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

// The worker refuses the earlier orders once it has answered a listing with the raised token.
func TestUnansweredStartEndsOnlyByAListingThatBarsItOnTheRestartedWorker(test *testing.T) {
	fixture := newFixture(test)
	token := startTokens(fixture.order(run(0, 1), 3000, at(1)))[0]
	fixture.HandleStartResponse(run(0, 1), 0, ptrun.ErrUnanswered, at(26))
	effects := fixture.HandleListing(restartedListing(2), at(30), at(31))
	effects = append(effects, fixture.HandleAnnouncement(restartedWorker(), 4, at(33))...)
	// The listing was requested with the earlier token.
	effects = append(effects, fixture.HandleListing(restartedListing(6), at(29), at(35))...)
	effects = append(effects, fixture.HandleStopResponse(run(0, 1), 0, nil, at(36))...)
	for millis := 100; millis < 6000; millis += 100 {
		effects = append(effects, fixture.HandleListFailure(ptrun.ErrUnanswered, at(millis-60), at(millis))...)
		effects = append(effects, fixture.HandleListFailure(ptrun.ErrUnhealthy, at(millis-60), at(millis))...)
		effects = append(effects, fixture.HandleListFailure(ptrun.ErrNotListening, at(millis-60), at(millis))...)
		effects = append(effects, fixture.Tick(at(millis))...)
	}
	fixture.expect.Expect(sentEnds(effects)).To(BeEmpty(), "the worker may still execute the start order")
	fixture.expect.Expect(fixture.FenceToken()).To(BeNumerically(">", token))
	ends := sentEnds(fixture.HandleListing(restartedListing(6000), at(6001), at(6002)))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.Lost), "the earlier incarnation may have executed the order")
}

// The end of the run was proved by the clock of the earlier incarnation.
func TestNothingStartsOnRestartedWorkerBeforeAListingThatBarsEarlierOrders(test *testing.T) {
	fixture := newFixture(test)
	token := startTokens(fixture.order(run(0, 1), 3000, at(1)))[0]
	fixture.HandleStartResponse(run(0, 1), 0, ptrun.ErrUnanswered, at(26))
	fixture.expect.Expect(sentEnds(fixture.list(1500, at(499), at(500), nil))).To(HaveLen(1))
	fixture.HandleAnnouncement(restartedWorker(), 4, at(510))
	fixture.expect.Expect(starts(fixture.order(run(1, 1), 3000, at(511)))).To(BeEmpty())
	fixture.expect.Expect(fixture.CapacityReport(owner.Entry).Held.CPU).To(BeNumerically(">=", 4000))
	fixture.expect.Expect(starts(fixture.HandleListing(restartedListing(6), at(509), at(512)))).To(BeEmpty(), "requested with the earlier token")
	fixture.expect.Expect(fixture.LeaseRenewal(at(513)).ExpiresAt).To(BeZero())
	effects := fixture.HandleListing(restartedListing(8, run(0, 1)), at(513), at(514))
	fixture.expect.Expect(stops(effects)).To(ContainElement(run(0, 1)))
	fixture.expect.Expect(starts(effects)).To(BeEmpty())
	tokens := startTokens(fixture.HandleListing(restartedListing(10), at(515), at(516)))
	fixture.expect.Expect(tokens).To(HaveLen(1))
	fixture.expect.Expect(tokens[0]).To(BeNumerically(">", token))
}

func TestRestartedWorkerIsListedBeforeItIsAnnounced(test *testing.T) {
	fixture := newFixtureWithRun(test)
	fixture.HandleListing(restartedListing(2), at(11), at(12))
	listed, ok := fixture.WorkerToList()
	fixture.expect.Expect(ok).To(BeTrue())
	fixture.expect.Expect(listed).To(Equal(restartedWorker().WorkerIdentity))
	fixture.HandleListing(restartedListing(4), at(13), at(14))
	fixture.expect.Expect(starts(fixture.order(run(1, 1), 1000, at(15)))).To(BeEmpty(), "the capacity of the worker is not known")
	fixture.HandleAnnouncement(restartedWorker(), 6, at(16))
	fixture.expect.Expect(starts(fixture.order(run(2, 1), 1000, at(17)))).To(HaveLen(1))
}

func startTokens(effects []ptruncontrol.Effect) (tokens []ptrun.FenceToken) {
	for _, effect := range effects {
		if start, ok := effect.(ptruncontrol.StartRun); ok {
			tokens = append(tokens, start.Token)
		}
	}
	return tokens
}
