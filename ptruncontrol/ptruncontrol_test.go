package ptruncontrol_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

const start = ptid.Instant(time.Hour)

// at returns the instant this many milliseconds after start.
func at(millis int) ptid.Instant { return start.Add(time.Duration(millis) * time.Millisecond) }

var owner = ptruncontrol.Owner{Entry: "entry", Incarnation: 1}

func run(index int, number ptrun.Number) ptrun.ID {
	return ptrun.ID{Task: ptrun.TaskID{Job: "00000000000000aa", Index: ptid.TaskIndex(index)}, Number: number}
}

// fixture is a core with a worker of four cores whose clock shows one second.
type fixture struct {
	*ptruncontrol.Core
	expect *WithT
}

func newFixture(test *testing.T) *fixture {
	ptassert.PanicOnFailure()
	fixture := &fixture{Core: ptruncontrol.New(100), expect: NewWithT(test)}
	fixture.HandleAnnouncement(ptrun.Worker{
		WorkerIdentity: ptrun.WorkerIdentity{ID: "worker", StartedAt: time.UnixMilli(5)}, Capacity: ptrun.Demand{CPU: 4000, Memory: 1000}, Sequence: 1,
	}, 1000, start)
	fixture.HandleListing(ptrun.Listing{WorkerStartedAt: time.UnixMilli(5), Clock: 1000}, start, start)
	fixture.SessionOpened(owner, start)
	return fixture
}

func (fixture *fixture) order(id ptrun.ID, cpu ptrun.Millicores, now ptid.Instant) []ptruncontrol.Effect {
	return fixture.Order(ptruncontrol.Order{Run: id, Owner: owner, Demand: ptrun.Demand{CPU: cpu}, StartBy: now.Add(time.Second), WaitUntil: now.Add(40 * time.Millisecond), QueueKey: now}, now)
}

func (fixture *fixture) list(clock ptrun.WorkerTime, requestedAt, now ptid.Instant, ends []ptrun.ListedEnd, active ...ptrun.ID) []ptruncontrol.Effect {
	listing := ptrun.Listing{WorkerStartedAt: time.UnixMilli(5), Clock: clock, Ends: ends}
	for _, id := range active {
		listing.Active = append(listing.Active, ptrun.ListedRun{Run: id})
	}
	return fixture.HandleListing(listing, requestedAt, now)
}

func sentEnds(effects []ptruncontrol.Effect) (ends []ptrun.End) {
	for _, effect := range effects {
		if sendEnd, ok := effect.(ptruncontrol.SendEnd); ok {
			ends = append(ends, sendEnd.End)
		}
	}
	return ends
}

func starts(effects []ptruncontrol.Effect) (ids []ptrun.ID) {
	for _, effect := range effects {
		if started, ok := effect.(ptruncontrol.StartRun); ok {
			ids = append(ids, started.Start.Run)
		}
	}
	return ids
}

func stops(effects []ptruncontrol.Effect) (ids []ptrun.ID) {
	for _, effect := range effects {
		if stopped, ok := effect.(ptruncontrol.StopRun); ok {
			ids = append(ids, stopped.Run)
		}
	}
	return ids
}

func TestRunsStartOnlyIfTheyFit(test *testing.T) {
	fixture := newFixture(test)
	expect := fixture.expect
	expect.Expect(starts(fixture.order(run(0, 1), 3000, at(1)))).To(ConsistOf(run(0, 1)))
	expect.Expect(starts(fixture.order(run(1, 1), 2000, at(1)))).To(BeEmpty())
	fixture.HandleStartResponse(run(0, 1), 1002, nil, at(2))
	// A run that is being stopped holds its capacity until its end is listed.
	expect.Expect(stops(fixture.Stop(run(0, 1), ptrun.ReasonStopRequested, at(3)))).To(ConsistOf(run(0, 1)))
	expect.Expect(starts(fixture.HandleStopResponse(run(0, 1), 1004, nil, at(4)))).To(BeEmpty())
	ended := []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: run(0, 1), Result: ptrun.Stopped}}}
	expect.Expect(starts(fixture.list(1006, at(5), at(6), ended))).To(ConsistOf(run(1, 1)))
}

func TestRunIsRefusedAfterWaitingTooLong(test *testing.T) {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 4000, at(1))
	fixture.order(run(1, 1), 1000, at(1))
	ends := sentEnds(fixture.Tick(at(42)))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.NeverStarted))
}

func TestUnansweredStartIsStoppedBeforeItIsRefused(test *testing.T) {
	fixture := newFixture(test)
	expect := fixture.expect
	fixture.order(run(0, 1), 1000, at(1))
	fixture.HandleStartResponse(run(0, 1), 0, ptrun.ErrUnanswered, at(61))
	// A listing requested before the timeout proves nothing.
	expect.Expect(fixture.list(1050, at(50), at(62), nil)).To(BeEmpty())
	effects := fixture.list(1065, at(62), at(63), nil)
	expect.Expect(stops(effects)).To(ConsistOf(run(0, 1)))
	expect.Expect(sentEnds(effects)).To(BeEmpty())
	fixture.HandleStopResponse(run(0, 1), 1066, nil, at(64))
	ends := sentEnds(fixture.list(1068, at(65), at(66), nil))
	expect.Expect(ends).To(HaveLen(1))
	expect.Expect(ends[0].Result).To(Equal(ptrun.NeverStarted))
}

func TestUnansweredStartContinuesIfListed(test *testing.T) {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 1000, at(1))
	fixture.HandleStartResponse(run(0, 1), 0, ptrun.ErrUnanswered, at(61))
	effects := fixture.list(1065, at(62), at(63), nil, run(0, 1))
	fixture.expect.Expect(effects).To(BeEmpty())
	fixture.expect.Expect(fixture.Idle()).To(BeFalse())
}

func TestUnansweredStartEndsAfterItsDeadline(test *testing.T) {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 1000, at(1))
	fixture.HandleStartResponse(run(0, 1), 0, ptrun.ErrUnanswered, at(61))
	ends := sentEnds(fixture.list(1400, at(400), at(401), nil))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.NeverStarted))
}

func TestRunsOfDisconnectedEntryAreStopped(test *testing.T) {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 1000, at(1))
	fixture.HandleStartResponse(run(0, 1), 1002, nil, at(2))
	fixture.SessionClosed(owner.Entry, at(10))
	fixture.expect.Expect(stops(fixture.Tick(at(300)))).To(BeEmpty())
	fixture.expect.Expect(stops(fixture.Tick(at(311)))).To(ConsistOf(run(0, 1)))
}

func TestRunsOfEarlierEntryIncarnationAreStoppedImmediately(test *testing.T) {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 1000, at(1))
	fixture.HandleStartResponse(run(0, 1), 1002, nil, at(2))
	effects := fixture.SessionOpened(ptruncontrol.Owner{Entry: owner.Entry, Incarnation: 2}, at(5))
	fixture.expect.Expect(stops(effects)).To(ConsistOf(run(0, 1)))
}

func TestRunsAreLostOnlyAfterLeaseExpiry(test *testing.T) {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 1000, at(1))
	fixture.HandleStartResponse(run(0, 1), 1001, nil, at(2))
	until := fixture.LeaseRenewal(at(10)).ExpiresAt
	fixture.expect.Expect(until).To(BeNumerically("<=", 1910))
	fixture.expect.Expect(sentEnds(fixture.HandleListFailure(ptrun.ErrNotListening, at(899), at(900)))).To(BeEmpty())
	// The worker's clock may be slow by two percent: while it advances by 910 ms, the agent's
	// clock may advance by 929 ms.
	fixture.expect.Expect(sentEnds(fixture.HandleListFailure(ptrun.ErrNotListening, at(924), at(925)))).To(BeEmpty())
	// A call that was requested before the expiry proves nothing.
	fixture.expect.Expect(sentEnds(fixture.HandleListFailure(ptrun.ErrNotListening, at(920), at(935)))).To(BeEmpty())
	ends := sentEnds(fixture.HandleListFailure(ptrun.ErrNotListening, at(934), at(935)))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.Lost))
}

func TestSingleListFailureHasNoEffect(test *testing.T) {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 4000, at(1))
	fixture.order(run(1, 1), 1000, at(1))
	fixture.expect.Expect(sentEnds(fixture.HandleListFailure(ptrun.ErrNotListening, at(29), at(30)))).To(BeEmpty())
	fixture.expect.Expect(fixture.CapacityReport(owner.Entry).Unusable).To(BeFalse())
	// The waiting run is refused once the worker has been unreachable for the timeout.
	fixture.expect.Expect(sentEnds(fixture.HandleListFailure(ptrun.ErrNotListening, at(349), at(350)))).To(HaveLen(1))
	fixture.expect.Expect(fixture.CapacityReport(owner.Entry).Unusable).To(BeTrue())
}

func TestNewWorkerIncarnationEndsRuns(test *testing.T) {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 1000, at(1))
	fixture.HandleStartResponse(run(0, 1), 1001, nil, at(2))
	effects := fixture.HandleListing(ptrun.Listing{WorkerStartedAt: time.UnixMilli(9), Clock: 3}, at(5), at(6))
	fixture.expect.Expect(sentEnds(effects)).To(HaveLen(1))
	// A delayed announcement of the earlier incarnation has no effect.
	fixture.HandleAnnouncement(ptrun.Worker{WorkerIdentity: ptrun.WorkerIdentity{ID: "worker", StartedAt: time.UnixMilli(5)}, Sequence: 2}, 1010, at(7))
	_, known := fixture.Worker()
	fixture.expect.Expect(known).To(BeFalse())
}

func TestUnknownRunsAreStoppedAndDelayTakeover(test *testing.T) {
	core := ptruncontrol.New(100)
	expect := NewWithT(test)
	core.HandleAnnouncement(ptrun.Worker{WorkerIdentity: ptrun.WorkerIdentity{ID: "worker"}, Capacity: ptrun.Demand{CPU: 10}, Sequence: 1}, 1000, start)
	effects := core.HandleListing(ptrun.Listing{Clock: 1001, Active: []ptrun.ListedRun{{Run: run(0, 3)}}}, start, at(1))
	expect.Expect(stops(effects)).To(ConsistOf(run(0, 3)))
	expect.Expect(core.TakeoverComplete()).To(BeFalse())
	core.HandleListing(ptrun.Listing{Clock: 1005}, at(4), at(5))
	expect.Expect(core.TakeoverComplete()).To(BeTrue())
}

func TestRestoredWorkerIsListedAndUsedAfterItsAnnouncement(test *testing.T) {
	core := ptruncontrol.New(100)
	expect := NewWithT(test)
	worker := ptrun.Worker{WorkerIdentity: ptrun.WorkerIdentity{ID: "worker", StartedAt: time.UnixMilli(5)}, Capacity: ptrun.Demand{CPU: 10}}
	core.RestoreWorker(worker, start)
	expect.Expect(core.TakeoverComplete()).To(BeFalse())
	expect.Expect(core.LeaseRenewal(at(1)).ExpiresAt).To(BeZero(), "the clock of the worker is not known")
	core.HandleListing(ptrun.Listing{WorkerStartedAt: time.UnixMilli(5), Clock: 90_000}, at(1), at(2))
	expect.Expect(core.TakeoverComplete()).To(BeTrue())
	core.SessionOpened(owner, at(2))
	order := func(index, millis int) []ptruncontrol.Effect {
		return core.Order(ptruncontrol.Order{Run: run(index, 1), Owner: owner, Demand: ptrun.Demand{CPU: 5}, SentAt: at(millis), StartBy: at(millis + 40), WaitUntil: at(millis + 40)}, at(millis))
	}
	// The capacity may have been reduced since it was recorded.
	expect.Expect(starts(order(0, 3))).To(BeEmpty())
	expect.Expect(core.CapacityReport(owner.Entry).Unusable).To(BeTrue())
	worker.Sequence, worker.Capacity.CPU = 7, 5
	core.HandleAnnouncement(worker, 90_002, at(4))
	expect.Expect(starts(order(1, 5))).To(HaveLen(1))
	expect.Expect(starts(order(2, 6))).To(BeEmpty())
	// The restored worker is not used if another incarnation responds at its address.
	other := ptruncontrol.New(100)
	other.RestoreWorker(worker, start)
	other.HandleListing(ptrun.Listing{WorkerStartedAt: time.UnixMilli(9), Clock: 10}, at(1), at(2))
	_, known := other.Worker()
	expect.Expect(known).To(BeFalse())
}

func TestTokenIsRaisedAboveRefusedToken(test *testing.T) {
	core := ptruncontrol.New(100)
	core.RaiseToken(100)
	raisedToken := core.FenceToken()
	core.RaiseToken(100)
	NewWithT(test).Expect(raisedToken).To(BeNumerically(">", 100))
	NewWithT(test).Expect(core.FenceToken()).To(Equal(raisedToken))
}

func TestUndeliveredEndsAreReturnedInNextSession(test *testing.T) {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 1000, at(1))
	fixture.HandleStartResponse(run(0, 1), 1001, nil, at(2))
	fixture.SessionClosed(owner.Entry, at(3))
	fixture.list(1010, at(8), at(9), []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: run(0, 1), Result: ptrun.Done}}})
	fixture.SessionOpened(owner, at(20))
	ends := sentEnds(fixture.QueryRun(owner, run(0, 1), at(21)))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.Done))
	// A query for an unknown run makes the agent refuse a later order for this run.
	fixture.expect.Expect(sentEnds(fixture.QueryRun(owner, run(5, 1), at(22)))[0].Result).To(Equal(ptrun.NeverStarted))
	late := fixture.order(run(5, 1), 100, at(23))
	fixture.expect.Expect(starts(late)).To(BeEmpty())
	fixture.expect.Expect(sentEnds(late)).To(HaveLen(1))
}

func TestDurableEndsAreAcknowledgedOnlyAfterOwner(test *testing.T) {
	fixture := newFixture(test)
	expect := fixture.expect
	durableRun := run(0, ptjobstore.RunNumberBase(4)+1)
	fixture.Order(ptruncontrol.Order{Run: durableRun, Owner: owner, Demand: ptrun.Demand{CPU: 10}, StartBy: at(50), WaitUntil: at(50), Epoch: 4, Partition: 2}, at(1))
	fixture.HandleStartResponse(durableRun, 1001, nil, at(2))
	done := []ptrun.ListedEnd{{Sequence: 7, End: ptrun.End{Run: durableRun, Result: ptrun.Done}}}
	expect.Expect(sentEnds(fixture.list(1010, at(8), at(9), done))).To(HaveLen(1))
	expect.Expect(fixture.LeaseRenewal(at(10)).Acknowledged).To(Equal(ptrun.EndSequence(6)))
	fixture.AcknowledgeEnd(durableRun)
	expect.Expect(fixture.LeaseRenewal(at(11)).Acknowledged).To(Equal(ptrun.EndSequence(7)))
}

func TestAdoptionTransfersRunsAndFencesEarlierOwner(test *testing.T) {
	fixture := newFixture(test)
	expect := fixture.expect
	durableRun, next := run(0, ptjobstore.RunNumberBase(4)+1), ptruncontrol.Owner{Entry: "next", Incarnation: 1}
	fixture.Order(ptruncontrol.Order{Run: durableRun, Owner: owner, Demand: ptrun.Demand{CPU: 10}, StartBy: at(50), WaitUntil: at(50), Epoch: 4, Partition: 2}, at(1))
	fixture.HandleStartResponse(durableRun, 1001, nil, at(2))
	fixture.SessionOpened(next, at(3))
	var adopted ptruncontrol.SendAdopted
	for _, effect := range fixture.AdoptPartition(next, 2, 32, 5, at(4)) {
		if sent, ok := effect.(ptruncontrol.SendAdopted); ok {
			adopted = sent
		}
	}
	expect.Expect(adopted.Runs).To(ConsistOf(durableRun))
	// The earlier owner learns of the later one if it still takes itself for the owner.
	expect.Expect(fixture.AdoptPartition(owner, 2, 32, 4, at(4))).To(ConsistOf(ptruncontrol.SendAdopted{Owner: owner, Partition: 2, Epoch: 5}))
	refused := sentEnds(fixture.Order(ptruncontrol.Order{
		Run: run(1, ptjobstore.RunNumberBase(4)+1), Owner: owner, Demand: ptrun.Demand{CPU: 10}, StartBy: at(50), WaitUntil: at(50), Epoch: 4, Partition: 2,
	}, at(5)))
	expect.Expect(refused).To(HaveLen(1))
	expect.Expect(refused[0].Reason).To(Equal(ptrun.ReasonOtherOwner))
	// After the adoption, the run continues when the session with the earlier owner closes.
	fixture.SessionClosed(owner.Entry, at(6))
	expect.Expect(stops(fixture.Tick(at(6000)))).To(BeEmpty())
}

func TestLeaseExpiresIfDurableEndsReachNoEntry(test *testing.T) {
	fixture := newFixture(test)
	durableRun := run(0, ptjobstore.RunNumberBase(4)+1)
	fixture.Order(ptruncontrol.Order{Run: durableRun, Owner: owner, Demand: ptrun.Demand{CPU: 10}, StartBy: at(50), WaitUntil: at(50), Epoch: 4, Partition: 2}, at(1))
	fixture.HandleStartResponse(durableRun, 1001, nil, at(2))
	fixture.list(1010, at(8), at(9), []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: durableRun, Result: ptrun.Done}}})
	fixture.SessionClosed(owner.Entry, at(10))
	// The worker itself responds the whole time.
	fixture.list(3390, at(2389), at(2390), nil)
	fixture.expect.Expect(fixture.LeaseRenewal(at(2400)).ExpiresAt).NotTo(BeZero())
	fixture.list(3590, at(2589), at(2590), nil)
	fixture.expect.Expect(fixture.LeaseRenewal(at(2600)).ExpiresAt).To(BeZero())
	fixture.Tick(at(2700))
	fixture.expect.Expect(fixture.HasUnacknowledgedEnds()).To(BeTrue())
	fixture.Tick(at(3600))
	fixture.expect.Expect(fixture.HasUnacknowledgedEnds()).To(BeFalse())
}

func TestOpportunisticRunsAreThrottledAtTailLatencyTarget(test *testing.T) {
	fixture := newFixture(test)
	serving, opportunistic := run(0, 1), run(1, 1)
	fixture.Order(ptruncontrol.Order{Run: serving, Owner: owner, Demand: ptrun.Demand{CPU: 10}, SentAt: at(1), StartBy: at(50), WaitUntil: at(50), TailLatencyTarget: 100 * time.Millisecond}, at(1))
	fixture.Order(ptruncontrol.Order{Run: opportunistic, Owner: owner, SentAt: at(1), StartBy: at(50), WaitUntil: at(50), Opportunistic: true}, at(1))
	fixture.HandleStartResponse(serving, 1001, nil, at(2))
	fixture.HandleStartResponse(opportunistic, 1001, nil, at(2))
	fixture.HandleListing(ptrun.Listing{WorkerStartedAt: time.UnixMilli(5), Clock: 1010, Active: []ptrun.ListedRun{
		{Run: serving, Percent: 100, TailLatency: 120 * time.Millisecond}, {Run: opportunistic, Percent: 100},
	}}, at(8), at(9))
	var percent []int
	for _, effect := range fixture.Tick(at(600)) {
		if throttle, ok := effect.(ptruncontrol.ThrottleRun); ok {
			fixture.expect.Expect(throttle.Run).To(Equal(opportunistic))
			percent = append(percent, throttle.Percent)
		}
	}
	fixture.expect.Expect(percent).To(Equal([]int{0}))
}

// An overloaded entry sends its orders late. The waiting time of a run counts from the arrival
// of its order, not from the submission of the job. If there is capacity, the runs therefore
// start.
func TestDelayedOrdersStartIfCapacityIsFree(test *testing.T) {
	fixture := newFixture(test)
	expect := fixture.expect
	order := func(index, arrives int) []ptruncontrol.Effect {
		return fixture.Order(ptruncontrol.Order{
			Run: run(index, 1), Owner: owner, Demand: ptrun.Demand{CPU: 3000},
			StartBy: at(500), WaitUntil: at(arrives + 40), QueueKey: at(1),
		}, at(arrives))
	}
	expect.Expect(starts(order(0, 300))).To(ConsistOf(run(0, 1)))
	// Without capacity, the waiting time counts from the arrival of the order.
	expect.Expect(starts(order(1, 310))).To(BeEmpty())
	expect.Expect(sentEnds(fixture.Tick(at(345)))).To(BeEmpty())
	expect.Expect(sentEnds(fixture.Tick(at(351)))).To(HaveLen(1))
	expect.Expect(starts(order(2, 501))).To(BeEmpty(), "an order whose start deadline has passed")
}

// A worker disappears without a notice, and no other incarnation takes its place. Its runs must
// be declared lost although the agent continues to call it.
func TestRunsOfVanishedWorkerAreLost(test *testing.T) {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 1000, at(1))
	fixture.HandleStartResponse(run(0, 1), 1001, nil, at(2))
	var ends []ptrun.End
	for millis := 10; millis < 1400 && len(ends) == 0; millis += 20 {
		fixture.LeaseRenewal(at(millis))
		ends = sentEnds(fixture.HandleListFailure(ptrun.ErrNotListening, at(millis), at(millis+10)))
	}
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.Lost))
}
