package ptruncontrol_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

// durableRun returns a run of a durable job.
func durableRun(index int) ptrun.ID { return run(index, ptjobstore.RunNumberBase(1)+1) }

// isolate orders a run of a durable job in isolation.
func (fixture *fixture) isolate(index, millis int) []ptruncontrol.Effect {
	return fixture.Order(ptruncontrol.Order{
		Run: durableRun(index), Owner: owner, Demand: ptrun.Demand{CPU: 1000}, StartBy: at(millis + 1500), WaitUntil: at(millis + 1000), QueueKey: at(millis),
		ExpectedRunTime: 100 * time.Millisecond, Isolation: 200 * time.Millisecond, Epoch: 1,
	}, at(millis))
}

// fall makes the worker silent until its lease has expired.
func (fixture *fixture) fall(from, until int) (effects []ptruncontrol.Effect) {
	for millis := from; millis <= until; millis += 20 {
		effects = append(effects, fixture.HandleListFailure(ptrun.ErrNotListening, at(millis), at(millis))...)
		effects = append(effects, fixture.Tick(at(millis))...)
	}
	return effects
}

func TestIsolatedRunWaitsForOthersAndKeepsThemFromStarting(test *testing.T) {
	fixture := newFixture(test)
	expect := fixture.expect
	fixture.order(run(0, 1), 1000, at(1))
	fixture.HandleStartResponse(run(0, 1), 1002, nil, at(2))
	expect.Expect(starts(fixture.isolate(1, 3))).To(BeEmpty())
	expect.Expect(starts(fixture.order(run(2, 1), 1000, at(4)))).To(BeEmpty())
	report := fixture.CapacityReport("other")
	expect.Expect(report.Isolating).To(BeTrue())
	expect.Expect(report.Held).To(Equal(report.Capacity))
	ended := []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: run(0, 1), Result: ptrun.Done}}}
	expect.Expect(starts(fixture.list(1006, at(5), at(6), ended))).To(ConsistOf(durableRun(1)))
	fixture.HandleStartResponse(durableRun(1), 1007, nil, at(7))
	expect.Expect(starts(fixture.order(run(3, 1), 1000, at(100)))).To(BeEmpty())
	// A listing after the end of the isolation shows that the worker has not crashed.
	fixture.list(1210, at(209), at(210), nil, durableRun(1))
	fixture.Tick(at(211))
	expect.Expect(starts(fixture.order(run(4, 1), 1000, at(212)))).To(ConsistOf(run(4, 1)))
}

func TestOrderOfIsolatedRunIsRefusedBesideLongRuns(test *testing.T) {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 1000, at(1))
	fixture.HandleStartResponse(run(0, 1), 1002, nil, at(2))
	fixture.list(3990, at(2990), at(2991), nil, run(0, 1))
	ends := sentEnds(fixture.isolate(1, 3000))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Reason).To(Equal(ptrun.ReasonNoCapacity))
}

func TestEndOfIsolatedRunTellsThatItCrashedTheWorker(test *testing.T) {
	fixture := newFixture(test)
	fixture.isolate(0, 1)
	fixture.HandleStartResponse(durableRun(0), 1002, nil, at(2))
	fixture.expect.Expect(sentEnds(fixture.fall(20, 3000))).To(BeEmpty())
	ends := sentEnds(fixture.HandleAnnouncement(nextWorker(), 1, at(3500)))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Reason).To(Equal(ptrun.ReasonCrashedWorker))
}

func TestIsolatedRunOnCutWorkerDidNotCrashIt(test *testing.T) {
	fixture := newFixture(test)
	fixture.isolate(0, 1)
	fixture.HandleStartResponse(durableRun(0), 1002, nil, at(2))
	fixture.fall(20, 3000)
	ended := []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: durableRun(0), Result: ptrun.Lost, Reason: ptrun.ReasonLeaseEnforced}}}
	ends := sentEnds(fixture.list(4400, at(3500), at(3501), ended))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Reason).To(Equal(ptrun.ReasonLeaseEnforced))
}

func TestIsolatedRunIsLostIfTheWorkerDoesNotReturn(test *testing.T) {
	fixture := newFixture(test)
	fixture.isolate(0, 1)
	fixture.HandleStartResponse(durableRun(0), 1002, nil, at(2))
	ends := sentEnds(fixture.fall(20, 9000))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Reason).To(Equal(ptrun.ReasonLeaseExpired))
}

func TestCrashUnderDurableRunIsRepeatedUntilItIsStored(test *testing.T) {
	fixture := newFixture(test)
	fixture.Order(ptruncontrol.Order{Run: durableRun(0), Owner: owner, Demand: ptrun.Demand{CPU: 1000}, StartBy: at(500), WaitUntil: at(50), Epoch: 1}, at(1))
	fixture.HandleStartResponse(durableRun(0), 1002, nil, at(2))
	fixture.expect.Expect(sentEnds(fixture.fall(20, 3000))).To(HaveLen(1))
	fixture.HandleAnnouncement(nextWorker(), 1, at(3500))
	broadcast := func(effects []ptruncontrol.Effect) (reasons []ptrun.Reason) {
		for _, effect := range effects {
			if sent, ok := effect.(ptruncontrol.BroadcastEnd); ok {
				reasons = append(reasons, sent.End.Reason)
			}
		}
		return reasons
	}
	fixture.expect.Expect(broadcast(fixture.Tick(at(3510)))).To(ConsistOf(ptrun.ReasonWorkerCrashed))
	fixture.expect.Expect(broadcast(fixture.Tick(at(4100)))).To(ConsistOf(ptrun.ReasonWorkerCrashed))
	// A later owner learns of it before it places the task.
	adopted := sentEnds(fixture.AdoptPartition(owner, ptjobstore.PartitionOf(durableRun(0).Task.Job, 4), 4, 2, at(4200)))
	fixture.expect.Expect(adopted).To(HaveLen(1))
	fixture.AcknowledgeEnd(durableRun(0))
	fixture.expect.Expect(broadcast(fixture.Tick(at(5000)))).To(BeEmpty())
}

func TestCrashOfWorkerThatRestartsUnderItsIDIsKnown(test *testing.T) {
	fixture := newFixture(test)
	fixture.isolate(0, 1)
	fixture.HandleStartResponse(durableRun(0), 1002, nil, at(2))
	restarted := ptrun.Listing{WorkerStartedAt: time.UnixMilli(3000), Clock: 1}
	effects := fixture.HandleListing(restarted, at(3000), at(3001))
	ends := sentEnds(append(effects, fixture.HandleListing(restarted, at(3010), at(3011))...))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Reason).To(Equal(ptrun.ReasonCrashedWorker))
}
