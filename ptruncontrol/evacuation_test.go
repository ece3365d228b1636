package ptruncontrol_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

// Guards against a start in an evacuated zone by an entry that does not know of the evacuation.
func TestLateOrderIsReturnedAsNeverStarted(test *testing.T) {
	fixture := newFixture(test)
	expect := fixture.expect
	fixture.SetEvacuated(true, at(1))
	expect.Expect(fixture.IsEvacuated()).To(BeTrue())
	for index, cpu := range []ptrun.Millicores{1000, 9000} {
		effects := fixture.order(run(index, 1), cpu, at(2))
		expect.Expect(starts(effects)).To(BeEmpty())
		ends := sentEnds(effects)
		expect.Expect(ends).To(HaveLen(1))
		expect.Expect(ends[0].Result).To(Equal(ptrun.NeverStarted))
		expect.Expect(ends[0].Reason).To(Equal(ptrun.ReasonEvacuated))
	}
	expect.Expect(starts(fixture.Tick(at(30)))).To(BeEmpty())
	// The same order again, after the evacuation: it must not start what was returned.
	fixture.SetEvacuated(false, at(40))
	expect.Expect(starts(fixture.order(run(0, 1), 1000, at(41)))).To(BeEmpty())
	expect.Expect(starts(fixture.order(run(0, 2), 1000, at(42)))).To(ConsistOf(run(0, 2)))
}

// Guards against a run that waits at the agent and starts after the evacuation, when another run ends.
func TestWaitingRunIsReturnedAtOnceAndActiveRunsGoOn(test *testing.T) {
	fixture := newFixture(test)
	expect := fixture.expect
	expect.Expect(starts(fixture.order(run(0, 1), 4000, at(1)))).To(ConsistOf(run(0, 1)))
	fixture.HandleStartResponse(run(0, 1), 1002, nil, at(2))
	fixture.order(run(1, 1), 1000, at(3))
	effects := fixture.SetEvacuated(true, at(4))
	ends := sentEnds(effects)
	expect.Expect(ends).To(HaveLen(1))
	expect.Expect(ends[0].Run).To(Equal(run(1, 1)))
	expect.Expect(ends[0].Result).To(Equal(ptrun.NeverStarted))
	expect.Expect(ends[0].Reason).To(Equal(ptrun.ReasonEvacuated))
	expect.Expect(stops(effects)).To(BeEmpty())
	expect.Expect(fixture.SetEvacuated(true, at(5))).To(BeEmpty(), "nothing has changed")
	expect.Expect(fixture.LeaseRenewal(at(6)).ExpiresAt).To(BeNumerically(">", 0), "the active run must go on")
	effects = fixture.list(1010, at(9), at(10), []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: run(0, 1), Result: ptrun.Done}}})
	expect.Expect(starts(effects)).To(BeEmpty())
	expect.Expect(sentEnds(effects)).To(HaveLen(1))
	expect.Expect(sentEnds(effects)[0].Result).To(Equal(ptrun.Done))
}

// Guards against an offer that reserves capacity in an evacuated zone, and against entries that see free
// capacity there.
func TestEvacuatedWorkerOffersNoCapacity(test *testing.T) {
	fixture := newFixture(test)
	expect := fixture.expect
	request := ptrun.CapacityRequest{Rate: 1000, MinDemand: ptrun.Demand{CPU: 1000}}
	expect.Expect(fixture.RequestCapacity("entry", request, at(1))).To(ContainElement(ptruncontrol.SendReport{Owner: owner}))
	expect.Expect(fixture.CapacityReport("other").Held.CPU).To(Equal(ptrun.Millicores(1000)))
	fixture.SetEvacuated(true, at(2))
	report := fixture.CapacityReport("entry")
	expect.Expect(report.Held).To(Equal(report.Capacity))
	expect.Expect(report.Unusable).To(BeFalse(), "a job that needs this worker is refused for the evacuation, not for the lack of a worker")
	expect.Expect(fixture.RequestCapacity("entry", request, at(3))).To(BeEmpty())
	expect.Expect(fixture.SetEvacuated(false, at(4))).To(ContainElement(ptruncontrol.SendReport{Owner: owner}))
}

// Guards against an adoption that an evacuation refuses: the run goes on and must have an owner.
func TestRunsInAnEvacuatedZoneAreAdopted(test *testing.T) {
	fixture := newFixture(test)
	durable := run(0, 1)
	durable.Number = ptjobstore.RunNumberBase(1) + 1
	fixture.Order(ptruncontrol.Order{
		Run: durable, Owner: owner, Demand: ptrun.Demand{CPU: 1000}, StartBy: at(1000), WaitUntil: at(40), Partition: 1, Epoch: 1,
	}, at(1))
	fixture.HandleStartResponse(durable, 1002, nil, at(2))
	fixture.SetEvacuated(true, at(3))
	later := ptruncontrol.Owner{Entry: "later", Incarnation: 1}
	fixture.SessionOpened(later, at(4))
	var adopted []ptrun.ID
	for _, effect := range fixture.AdoptPartition(later, 1, 4, 2, at(5)) {
		if sent, is := effect.(ptruncontrol.SendAdopted); is {
			adopted = append(adopted, sent.Runs...)
		}
	}
	fixture.expect.Expect(adopted).To(ConsistOf(durable))
}

// Guards against ordinary work for a worker that has not warmed up when its zone returns. A worker that is
// cold at another time is used as before.
func TestColdWorkerReturnsWhenItIsWarm(test *testing.T) {
	fixture := newFixture(test)
	expect := fixture.expect
	announce := func(sequence uint64, coldFor time.Duration, millis int) {
		worker, _ := fixture.Worker()
		worker.Sequence, worker.ColdFor = sequence, coldFor
		fixture.HandleAnnouncement(worker, ptrun.WorkerTime(1000+millis), at(millis))
	}
	unusable := func() bool { return fixture.CapacityReport("entry").Unusable }
	announce(2, 10*time.Second, 1)
	expect.Expect(unusable()).To(BeFalse())
	fixture.SetEvacuated(true, at(2))
	announce(3, 2*time.Second, 3)
	fixture.SetEvacuated(false, at(4))
	expect.Expect(unusable()).To(BeTrue())
	announce(4, 100*time.Millisecond, 5)
	fixture.Tick(at(104))
	expect.Expect(unusable()).To(BeTrue())
	fixture.Tick(at(105))
	expect.Expect(unusable()).To(BeFalse())
	announce(5, time.Second, 106)
	expect.Expect(unusable()).To(BeFalse(), "the return is over")
}
