package ptruncontrol_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptrun"
)

// resize announces another capacity of the worker.
func (fixture *fixture) resize(sequence uint64, cpu ptrun.Millicores, millis int) (started []ptrun.ID) {
	worker, _ := fixture.Worker()
	worker.Sequence, worker.Capacity.CPU = sequence, cpu
	return starts(fixture.HandleAnnouncement(worker, ptrun.WorkerTime(1000+millis), at(millis)))
}

func TestNothingStartsBeyondAReducedCapacity(test *testing.T) {
	fixture := newFixture(test)
	expect := fixture.expect
	expect.Expect(starts(fixture.order(run(0, 1), 3000, at(1)))).To(HaveLen(1))
	fixture.HandleStartResponse(run(0, 1), 1002, nil, at(2))
	expect.Expect(starts(fixture.order(run(1, 1), 1500, at(3)))).To(BeEmpty())
	expect.Expect(fixture.resize(2, 2000, 4)).To(BeEmpty())
	expect.Expect(starts(fixture.order(run(2, 1), 100, at(5)))).To(BeEmpty())
	ended := []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: run(0, 1), Result: ptrun.Done}}}
	expect.Expect(starts(fixture.list(1007, at(6), at(7), ended))).To(ConsistOf(run(1, 1), run(2, 1)))
	expect.Expect(starts(fixture.order(run(3, 1), 500, at(8)))).To(BeEmpty())
	expect.Expect(fixture.resize(3, 4000, 9)).To(ConsistOf(run(3, 1)))
}

func TestOrderBeyondAReducedCapacityIsRefused(test *testing.T) {
	fixture := newFixture(test)
	fixture.resize(2, 1000, 1)
	ends := sentEnds(fixture.order(run(0, 1), 2000, at(2)))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Reason).To(Equal(ptrun.ReasonNoCapacity))
}

func TestLateAnnouncementDoesNotRestoreTheFormerCapacity(test *testing.T) {
	fixture := newFixture(test)
	fixture.resize(3, 1000, 1)
	fixture.resize(2, 4000, 2)
	fixture.expect.Expect(fixture.CapacityReport("entry").Capacity.CPU).To(Equal(ptrun.Millicores(1000)))
}
