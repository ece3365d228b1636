package ptruncontrol_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

var other = ptruncontrol.Owner{Entry: "other", Incarnation: 1}

// capacityRequest returns a request for capacity at a rate, for tasks of four cores.
func capacityRequest(rate ptrun.MillicoresPerSecond) ptrun.CapacityRequest {
	return ptrun.CapacityRequest{Rate: rate, MinDemand: ptrun.Demand{CPU: 4000}}
}

func offers(effects []ptruncontrol.Effect) (owners []ptid.EntryName) {
	for _, effect := range effects {
		if offer, ok := effect.(ptruncontrol.SendReport); ok {
			owners = append(owners, offer.Owner.Entry)
		}
	}
	return owners
}

func (fixture *fixture) orderFrom(from ptruncontrol.Owner, id ptrun.ID, now ptid.Instant) []ptruncontrol.Effect {
	return fixture.Order(ptruncontrol.Order{Run: id, Owner: from, Demand: ptrun.Demand{CPU: 4000}, StartBy: now.Add(time.Second), WaitUntil: now.Add(40 * time.Millisecond), QueueKey: now}, now)
}

// finish starts and ends a run of four cores.
func (fixture *fixture) finish(id ptrun.ID, sequence ptrun.EndSequence, now ptid.Instant) []ptruncontrol.Effect {
	fixture.HandleStartResponse(id, 1000, nil, now)
	return fixture.list(1000, now.Add(time.Millisecond), now.Add(time.Millisecond), []ptrun.ListedEnd{{Sequence: sequence, End: ptrun.End{Run: id, Result: ptrun.Done}}})
}

// All capacity is in use. When a run of one entry ends, its capacity must be offered to the
// other entry, which has requested capacity.
func TestFreedCapacityIsOfferedToWaitingEntry(test *testing.T) {
	fixture := newFixture(test)
	expect := fixture.expect
	fixture.SessionOpened(other, at(0))
	fixture.orderFrom(owner, run(0, 1), at(1))
	expect.Expect(offers(fixture.RequestCapacity(other.Entry, capacityRequest(1000), at(2)))).To(BeEmpty())
	expect.Expect(offers(fixture.finish(run(0, 1), 1, at(3)))).To(ConsistOf(other.Entry))
	expect.Expect(fixture.CapacityReport(owner.Entry).Held.CPU).To(BeEquivalentTo(4000), "the capacity is reserved for another entry")
	expect.Expect(fixture.CapacityReport(owner.Entry).RequestedByOthers).To(BeEquivalentTo(1000))
	expect.Expect(fixture.CapacityReport(other.Entry).Held.CPU).To(BeZero())
	expect.Expect(starts(fixture.orderFrom(owner, run(1, 1), at(5)))).To(BeEmpty())
	expect.Expect(starts(fixture.orderFrom(other, run(2, 1), at(6)))).To(ConsistOf(run(2, 1)))
}

func TestUnusedOffersExpire(test *testing.T) {
	fixture := newFixture(test)
	expect := fixture.expect
	fixture.SessionOpened(other, at(0))
	expect.Expect(offers(fixture.RequestCapacity(other.Entry, capacityRequest(1000), at(1)))).To(ConsistOf(other.Entry))
	expect.Expect(starts(fixture.orderFrom(owner, run(0, 1), at(2)))).To(BeEmpty())
	expiry := at(1).Add(ptruncontrol.OfferTimeout)
	expect.Expect(starts(fixture.Tick(expiry))).To(ConsistOf(run(0, 1)))
	// An entry without waiting tasks returns its offer immediately.
	fixture.finish(run(0, 1), 1, expiry)
	fixture.RequestCapacity(other.Entry, ptrun.CapacityRequest{}, expiry.Add(2*time.Millisecond))
	expect.Expect(starts(fixture.orderFrom(owner, run(1, 1), expiry.Add(3*time.Millisecond)))).To(ConsistOf(run(1, 1)))
}

// Two entries always have waiting tasks, one of them three times as many as the other.
func TestOffersAreProportionalToRequestedRate(test *testing.T) {
	fixture := newFixture(test)
	fixture.SessionOpened(other, at(0))
	fixture.RequestCapacity(owner.Entry, capacityRequest(3000), at(1))
	fixture.RequestCapacity(other.Entry, capacityRequest(1000), at(1))
	counts := make(map[ptid.EntryName]int)
	const rounds = 40
	now := at(1)
	next := []ptid.EntryName{owner.Entry}
	for round := range rounds {
		fixture.expect.Expect(next).To(HaveLen(1))
		from := owner
		if next[0] == other.Entry {
			from = other
		}
		counts[from.Entry]++
		now = now.Add(2 * time.Millisecond)
		fixture.expect.Expect(starts(fixture.orderFrom(from, run(round, 1), now))).To(HaveLen(1))
		next = offers(fixture.finish(run(round, 1), ptrun.EndSequence(1+round), now))
	}
	fixture.expect.Expect(counts[owner.Entry]).To(BeNumerically("~", 30, 1))
}

func TestDisconnectedEntryHoldsNoOffer(test *testing.T) {
	fixture := newFixture(test)
	fixture.SessionOpened(other, at(0))
	fixture.RequestCapacity(other.Entry, capacityRequest(1000), at(1))
	fixture.SessionClosed(other.Entry, at(2))
	fixture.expect.Expect(starts(fixture.orderFrom(owner, run(0, 1), at(3)))).To(ConsistOf(run(0, 1)))
}

// There are 35 entries in five zones, and the entries in the worker's zone use the worker most.
// They receive most of the frames, and the total number of frames is no higher than if all
// entries were treated alike.
func TestNearEntriesReceiveReportsMoreOften(test *testing.T) {
	expect := NewWithT(test)
	const near, entries = 7, 35
	nearInterval, farInterval := ptruncontrol.ReportInterval(true, near, entries), ptruncontrol.ReportInterval(false, near, entries)
	expect.Expect(nearInterval).To(BeNumerically("<=", farInterval/5))
	expect.Expect(near/nearInterval.Seconds()+(entries-near)/farInterval.Seconds()).To(BeNumerically("<=", 50), "frames per second")
	expect.Expect(ptruncontrol.ReportInterval(true, 1, 1)).To(BeNumerically(">=", 25*time.Millisecond), "a small deployment")
}
