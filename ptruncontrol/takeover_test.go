package ptruncontrol_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

// sameWorker is an announcement of the fixture's worker with a later sequence number.
func sameWorker(sequence uint64) ptrun.Worker {
	return ptrun.Worker{
		WorkerIdentity: ptrun.WorkerIdentity{ID: "worker", StartedAt: time.UnixMilli(5)}, Capacity: ptrun.Demand{CPU: 4000, Memory: 1000}, Sequence: sequence,
	}
}

// newFixtureWithRun is a fixture whose worker executes run 1 of task 0, which holds three of four
// cores. The lease is renewed by the listing at 10 ms.
func newFixtureWithRun(test *testing.T) *fixture {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 3000, at(1))
	fixture.HandleStartResponse(run(0, 1), 1002, nil, at(2))
	fixture.LeaseRenewal(at(9))
	fixture.list(1010, at(9), at(10), nil, run(0, 1))
	return fixture
}

// expectNoStartBeside expects that neither a run beyond the capacity that run 1 of task 0 leaves
// nor another run of its task starts.
func (fixture *fixture) expectNoStartBeside(millis int) {
	fixture.expect.Expect(starts(fixture.order(run(millis, 1), 3000, at(millis)))).To(BeEmpty(), "a run beyond the free capacity")
	fixture.expect.Expect(starts(fixture.order(run(0, ptrun.Number(millis)), 1000, at(millis)))).To(BeEmpty(), "a second run of the task")
}

func TestRestartedAgentStartsNothingBesideUnknownRuns(test *testing.T) {
	core := ptruncontrol.New(100)
	expect := NewWithT(test)
	worker := sameWorker(1)
	core.HandleAnnouncement(worker, 1000, start)
	stopOrders := 0
	for millis := 50; millis <= 5000; millis += 50 {
		requestedAt := at(millis - 1)
		core.LeaseRenewal(requestedAt)
		effects := core.HandleListing(ptrun.Listing{
			WorkerStartedAt: worker.StartedAt, Clock: 1000 + ptrun.WorkerTime(millis), Active: []ptrun.ListedRun{{Run: run(0, 1)}},
		}, requestedAt, at(millis))
		for _, id := range stops(effects) {
			stopOrders++
			core.HandleStopResponse(id, 0, ptrun.ErrUnanswered, at(millis))
		}
		expect.Expect(core.TakeoverComplete()).To(BeFalse(), "%d ms after the restart", millis)
	}
	expect.Expect(stopOrders).To(BeNumerically(">", 10))
	core.SessionOpened(owner, at(5000))
	order := func(index, millis int) []ptruncontrol.Effect {
		return core.Order(ptruncontrol.Order{
			Run: run(index, 1), Owner: owner, Demand: worker.Capacity, StartBy: at(millis + 500), WaitUntil: at(millis + 500), QueueKey: at(millis),
		}, at(millis))
	}
	expect.Expect(starts(order(1, 5000))).To(BeEmpty())
	ended := []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: run(0, 1), Result: ptrun.Done}}}
	effects := core.HandleListing(ptrun.Listing{WorkerStartedAt: worker.StartedAt, Clock: 6050, Ends: ended}, at(5049), at(5050))
	expect.Expect(starts(append(effects, order(2, 5051)...))).To(HaveLen(1))
	expect.Expect(core.TakeoverComplete()).To(BeTrue())
}

func TestSilentWorkerDoesNotCompleteTakeover(test *testing.T) {
	core := ptruncontrol.New(100)
	expect := NewWithT(test)
	worker := sameWorker(1)
	core.HandleAnnouncement(worker, 1000, start)
	core.HandleListing(ptrun.Listing{WorkerStartedAt: worker.StartedAt, Clock: 1001, Active: []ptrun.ListedRun{{Run: run(0, 1)}}}, start, at(1))
	core.LeaseRenewal(at(200))
	core.HandleListFailure(ptrun.ErrNotListening, at(1150), at(1290))
	expect.Expect(core.TakeoverComplete()).To(BeFalse(), "only a listing shows that the unknown run has ended")
}

func TestSameWorkerAnnouncedAgainKeepsItsRuns(test *testing.T) {
	fixture := newFixtureWithRun(test)
	identity := sameWorker(1).WorkerIdentity
	effects := fixture.HandleWorkerGone(identity, at(20))
	effects = append(effects, fixture.HandleAnnouncement(sameWorker(2), 1030, at(30))...)
	fixture.expect.Expect(sentEnds(effects)).To(BeEmpty())
	fixture.expectNoStartBeside(31)
	fixture.expect.Expect(sentEnds(fixture.list(1040, at(39), at(40), nil, run(0, 1)))).To(BeEmpty())
	fixture.expect.Expect(fixture.CapacityReport(owner.Entry).Held.CPU).To(BeNumerically(">=", 3000))
	// The end that the worker lists is the end of the run.
	ends := sentEnds(fixture.list(1050, at(49), at(50), []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: run(0, 1), Result: ptrun.Done}}}))
	fixture.expect.Expect(ends).NotTo(BeEmpty())
	fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.Done))
}

func TestOtherWorkerIncarnationAfterWorkerGoneEndsRuns(test *testing.T) {
	fixture := newFixtureWithRun(test)
	fixture.HandleWorkerGone(sameWorker(1).WorkerIdentity, at(20))
	later := sameWorker(2)
	later.StartedAt = time.UnixMilli(9)
	effects := fixture.HandleAnnouncement(later, 3, at(30))
	effects = append(effects, fixture.HandleListing(ptrun.Listing{WorkerStartedAt: later.StartedAt, Clock: 5}, at(31), at(32))...)
	ends := sentEnds(effects)
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.Lost))
}

func TestWorkerWithOtherIDEndsRuns(test *testing.T) {
	fixture := newFixtureWithRun(test)
	other := sameWorker(2)
	other.ID, other.StartedAt = "other", time.UnixMilli(9)
	ends := sentEnds(fixture.HandleAnnouncement(other, 3, at(30)))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.Lost))
}

func TestRunsOfSilentWorkerAreNotLostWithTheLease(test *testing.T) {
	for _, failure := range []error{ptrun.ErrUnanswered, ptrun.ErrNotSent, ptrun.ErrUnhealthy} {
		fixture := newFixtureWithRun(test)
		var lostAt int
		for millis := 60; millis < 4000 && lostAt == 0; millis += 60 {
			fixture.LeaseRenewal(at(millis - 50))
			if len(sentEnds(fixture.HandleListFailure(failure, at(millis-50), at(millis)))) > 0 {
				lostAt = millis
			}
		}
		fixture.expect.Expect(lostAt).To(BeNumerically("~", milliseconds(ptassign.RunLossTimeout)+60, 60), "%v", failure)
	}
}

// listedAfterLapse processes a listing that contains a run whose lease the agent takes for
// expired. The run must continue, or be stopped, and hold its capacity until the worker no longer
// lists it.
func (fixture *fixture) listedAfterLapse(clock ptrun.WorkerTime, millis int) {
	effects := fixture.list(clock, at(millis), at(millis+1), nil, run(0, 1))
	_, holding := fixture.RunCounts()
	fixture.expect.Expect(len(stops(effects))+holding).To(BeNumerically(">", 0), "the listed run is neither stopped nor in the books")
	fixture.expectNoStartBeside(millis + 2)
	fixture.Tick(at(millis + 200))
	fixture.expect.Expect(starts(fixture.list(clock+200, at(millis+200), at(millis+201), nil, run(0, 1)))).To(BeEmpty())
	fixture.expectNoStartBeside(millis + 202)
}

func TestRunListedAfterFailedListingsHoldsItsCapacity(test *testing.T) {
	fixture := newFixtureWithRun(test)
	for millis := 60; millis < 2000; millis += 60 {
		fixture.LeaseRenewal(at(millis - 50))
		fixture.HandleListFailure(ptrun.ErrNotListening, at(millis-50), at(millis))
		fixture.Tick(at(millis))
	}
	fixture.listedAfterLapse(1100, 2000)
}

func TestRunListedAfterAgentWasFrozenHoldsItsCapacity(test *testing.T) {
	fixture := newFixtureWithRun(test)
	fixture.LeaseRenewal(at(11))
	// The first call after the freeze is the listing call that was under way.
	effects := fixture.HandleListFailure(ptrun.ErrNotListening, at(11), at(5000))
	effects = append(effects, fixture.Tick(at(5000))...)
	fixture.expect.Expect(sentEnds(effects)).To(BeEmpty(), "no listing call has failed while the agent was running")
	fixture.listedAfterLapse(1020, 5001)
}

func TestRunListedAfterTimeJumpHoldsItsCapacity(test *testing.T) {
	fixture := newFixtureWithRun(test)
	fixture.expect.Expect(sentEnds(fixture.Tick(at(5000)))).To(BeEmpty())
	fixture.listedAfterLapse(1020, 5001)
}

func TestQueryForListedRunIsNotAnsweredNeverStarted(test *testing.T) {
	for name, number := range map[string]ptrun.Number{"best-effort": 1, "durable": ptjobstore.RunNumberBase(4) + 1} {
		core := ptruncontrol.New(100)
		expect := NewWithT(test)
		worker := sameWorker(1)
		core.HandleAnnouncement(worker, 1000, start)
		listing := ptrun.Listing{WorkerStartedAt: worker.StartedAt, Clock: 1050, Active: []ptrun.ListedRun{{Run: run(0, number)}}}
		core.HandleListing(listing, at(49), at(50))
		core.SessionOpened(owner, at(51))
		for _, end := range sentEnds(core.QueryRun(owner, run(0, number), at(52))) {
			expect.Expect(end.Result).NotTo(Equal(ptrun.NeverStarted), name)
		}
	}
}

func TestRunWithSentEndThatIsListedAgainIsStopped(test *testing.T) {
	fixture := newFixtureWithRun(test)
	// The run is missing from a listing, and a later listing contains it.
	fixture.list(1020, at(19), at(20), nil)
	var stopped []ptrun.ID
	for millis := 30; millis < 400; millis += 30 {
		stopped = append(stopped, stops(fixture.list(1000+ptrun.WorkerTime(millis), at(millis-1), at(millis), nil, run(0, 1)))...)
		fixture.expectNoStartBeside(millis)
	}
	fixture.expect.Expect(stopped).To(ContainElement(run(0, 1)))
}

func TestRunsOfGoneWorkerAreLostAfterLeaseExpiry(test *testing.T) {
	fixture := newFixtureWithRun(test)
	fixture.HandleWorkerGone(sameWorker(1).WorkerIdentity, at(20))
	fixture.expect.Expect(sentEnds(fixture.Tick(at(900)))).To(BeEmpty())
	ends := sentEnds(fixture.Tick(at(935)))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.Lost))
}

func TestLeaseOfEarlierAgentProcessIsWaitedFor(test *testing.T) {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 3000, at(1))
	fixture.HandleStartResponse(run(0, 1), 1002, nil, at(2))
	for millis := 100; millis < 900; millis += 50 {
		fixture.expect.Expect(sentEnds(fixture.HandleListFailure(ptrun.ErrNotListening, at(millis-40), at(millis)))).To(BeEmpty(), "%d ms", millis)
	}
}

func TestEndOfListedRunIsSentToEntryThatAskedForIt(test *testing.T) {
	for name, ask := range map[string]func(core *ptruncontrol.Core) []ptruncontrol.Effect{
		"query": func(core *ptruncontrol.Core) []ptruncontrol.Effect { return core.QueryRun(owner, run(0, 1), at(52)) },
		"order": func(core *ptruncontrol.Core) []ptruncontrol.Effect {
			return core.Order(ptruncontrol.Order{Run: run(0, 1), Owner: owner, StartBy: at(500), WaitUntil: at(500)}, at(52))
		},
	} {
		core := ptruncontrol.New(100)
		expect := NewWithT(test)
		worker := sameWorker(1)
		core.HandleAnnouncement(worker, 1000, start)
		core.HandleListing(ptrun.Listing{WorkerStartedAt: worker.StartedAt, Clock: 1050, Active: []ptrun.ListedRun{{Run: run(0, 1)}}}, at(49), at(50))
		core.SessionOpened(owner, at(51))
		expect.Expect(sentEnds(ask(core))).To(BeEmpty(), name)
		ends := sentEnds(core.HandleListing(ptrun.Listing{WorkerStartedAt: worker.StartedAt, Clock: 1080}, at(79), at(80)))
		expect.Expect(ends).To(HaveLen(1), name)
		expect.Expect(ends[0].Result).To(Equal(ptrun.Stopped), name)
	}
}

// A worker lists a limited number of ends at once, and repeats them until they are acknowledged.
func TestDurableRunIsNotLostWhileItsEndMayBeBeyondTheListedEnds(test *testing.T) {
	fixture := newFixture(test)
	id := run(0, ptjobstore.RunNumberBase(4)+1)
	fixture.order(id, 1000, at(1))
	fixture.HandleStartResponse(id, 1002, nil, at(2))
	truncated := ptrun.Listing{WorkerStartedAt: time.UnixMilli(5), Clock: 1010, EndsTruncated: true}
	fixture.expect.Expect(sentEnds(fixture.HandleListing(truncated, at(9), at(10)))).To(BeEmpty())
	ends := sentEnds(fixture.list(1020, at(19), at(20), []ptrun.ListedEnd{{Sequence: 501, End: ptrun.End{Run: id, Result: ptrun.Done}}}))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.Done))
}

func TestEntryThatAskedForListedRunIsToldThatItsWorkerIsGone(test *testing.T) {
	fixture := newFixture(test)
	fixture.list(1010, at(9), at(10), nil, run(0, 1))
	fixture.expect.Expect(sentEnds(fixture.QueryRun(owner, run(0, 1), at(11)))).To(BeEmpty())
	other := sameWorker(2)
	other.ID, other.StartedAt = "other", time.UnixMilli(9)
	ends := sentEnds(fixture.HandleAnnouncement(other, 3, at(30)))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.Lost))
}

// An overloaded machine stops the agent and delays the worker.
func TestSilenceOfWorkerDoesNotCountWhileTheAgentIsPaused(test *testing.T) {
	fixture := newFixtureWithRun(test)
	fixture.LeaseRenewal(at(11))
	fixture.HandleListFailure(ptrun.ErrUnanswered, at(11), at(5000))
	lostAt := 0
	for millis := 5140; millis < 9000 && lostAt == 0; millis += 140 {
		if len(sentEnds(fixture.HandleListFailure(ptrun.ErrUnanswered, at(millis-140), at(millis)))) > 0 {
			lostAt = millis
		}
	}
	fixture.expect.Expect(lostAt).To(BeNumerically(">", 5000+milliseconds(ptruncontrol.SilentWorkerTimeout-ptruncontrol.UnreachableTimeout)))
}

// The worker lists the run no longer, and its end may follow on a later page.
func TestUnaccountedRunThatHasEndedDoesNotHoldTheWorker(test *testing.T) {
	fixture := newFixtureWithRun(test)
	id := run(1, ptjobstore.RunNumberBase(4)+1)
	fixture.list(1020, at(19), at(20), nil, run(0, 1), id)
	fixture.expect.Expect(sentEnds(fixture.QueryRun(owner, id, at(21)))).To(BeEmpty())
	page := ptrun.Listing{WorkerStartedAt: time.UnixMilli(5), EndsTruncated: true, Active: []ptrun.ListedRun{{Run: run(0, 1)}}}
	for millis := 100; millis <= 3000; millis += 100 {
		page.Clock = 1000 + ptrun.WorkerTime(millis)
		fixture.CallersConfirmed(owner, at(millis))
		fixture.expect.Expect(sentEnds(fixture.HandleListing(page, at(millis-1), at(millis)))).To(BeEmpty())
	}
	fixture.expect.Expect(fixture.LeaseRenewal(at(3001)).ExpiresAt).To(BeNumerically(">", 4500))
	fixture.expect.Expect(starts(fixture.order(run(2, 1), 1000, at(3002)))).To(HaveLen(1))
	fixture.HandleStartResponse(run(2, 1), 4003, nil, at(3003))
	ended := []ptrun.ListedEnd{{Sequence: 501, End: ptrun.End{Run: id, Result: ptrun.Done}}}
	ends := sentEnds(fixture.list(4010, at(3009), at(3010), ended, run(0, 1), run(2, 1)))
	fixture.expect.Expect(ends).NotTo(BeEmpty())
	fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.Done), "the entry that asked for the run gets its end")
}
