package ptroom_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptroom"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

var other = ptroom.Owner{Entry: "other", Incarnation: 1}

// want is a wish for room at a rate, by tasks of four cores.
func want(rate ptrun.MillicoresPerSecond) ptrun.CapacityRequest {
	return ptrun.CapacityRequest{Rate: rate, MinDemand: ptrun.Demand{CPU: 4000}}
}

func offers(effects []ptroom.Effect) (owners []ptid.EntryName) {
	for _, effect := range effects {
		if offer, is := effect.(ptroom.SendReport); is {
			owners = append(owners, offer.Owner.Entry)
		}
	}
	return owners
}

func (fixture *fixture) orderOf(from ptroom.Owner, id ptrun.ID, now ptid.Instant) []ptroom.Effect {
	return fixture.Order(ptroom.Order{Run: id, Owner: from, Demand: ptrun.Demand{CPU: 4000}, StartBy: now.Add(time.Second), WaitUntil: now.Add(40 * time.Millisecond), QueueKey: now}, now)
}

// end lets a run of four cores start and end.
func (fixture *fixture) end(id ptrun.ID, sequence ptrun.EndSequence, now ptid.Instant) []ptroom.Effect {
	fixture.HandleStartResponse(id, 1000, nil, now)
	return fixture.list(1000, now.Add(time.Millisecond), now.Add(time.Millisecond), []ptrun.ListedEnd{{Sequence: sequence, End: ptrun.End{Run: id, Result: ptrun.Done}}})
}

// The load: all of the room is taken, and an entry waits for it whose run is not the one
// that ends.
func TestRoomThatEndsFreeIsKeptForWhoWaits(test *testing.T) {
	fixture := newFixture(test)
	expect := fixture.expect
	fixture.SessionOpened(other, at(0))
	fixture.orderOf(owner, run(0, 1), at(1))
	expect.Expect(offers(fixture.RequestCapacity(other.Entry, want(1000), at(2)))).To(BeEmpty())
	expect.Expect(offers(fixture.end(run(0, 1), 1, at(3)))).To(ConsistOf(other.Entry))
	expect.Expect(fixture.CapacityReport(owner.Entry).Held.CPU).To(BeEquivalentTo(4000), "the room is kept for another entry")
	expect.Expect(fixture.CapacityReport(owner.Entry).RequestedByOthers).To(BeEquivalentTo(1000))
	expect.Expect(fixture.CapacityReport(other.Entry).Held.CPU).To(BeZero())
	expect.Expect(starts(fixture.orderOf(owner, run(1, 1), at(5)))).To(BeEmpty())
	expect.Expect(starts(fixture.orderOf(other, run(2, 1), at(6)))).To(ConsistOf(run(2, 1)))
}

func TestOffersThatAreNotUsedLapse(test *testing.T) {
	fixture := newFixture(test)
	expect := fixture.expect
	fixture.SessionOpened(other, at(0))
	expect.Expect(offers(fixture.RequestCapacity(other.Entry, want(1000), at(1)))).To(ConsistOf(other.Entry))
	expect.Expect(starts(fixture.orderOf(owner, run(0, 1), at(2)))).To(BeEmpty())
	lapsed := at(1).Add(ptroom.OfferTimeout)
	expect.Expect(starts(fixture.Tick(lapsed))).To(ConsistOf(run(0, 1)))
	// An entry that has nothing left to wait gives its offer back at once.
	fixture.end(run(0, 1), 1, lapsed)
	fixture.RequestCapacity(other.Entry, ptrun.CapacityRequest{}, lapsed.Add(2*time.Millisecond))
	expect.Expect(starts(fixture.orderOf(owner, run(1, 1), lapsed.Add(3*time.Millisecond)))).To(ConsistOf(run(1, 1)))
}

// The load: two entries wait all the time, one for three times as much as the other.
func TestOffersAreInProportionToWhatWaits(test *testing.T) {
	fixture := newFixture(test)
	fixture.SessionOpened(other, at(0))
	fixture.RequestCapacity(owner.Entry, want(3000), at(1))
	fixture.RequestCapacity(other.Entry, want(1000), at(1))
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
		fixture.expect.Expect(starts(fixture.orderOf(from, run(round, 1), now))).To(HaveLen(1))
		next = offers(fixture.end(run(round, 1), ptrun.EndSequence(1+round), now))
	}
	fixture.expect.Expect(counts[owner.Entry]).To(BeNumerically("~", 30, 1))
}

func TestALostEntryKeepsNoRoom(test *testing.T) {
	fixture := newFixture(test)
	fixture.SessionOpened(other, at(0))
	fixture.RequestCapacity(other.Entry, want(1000), at(1))
	fixture.SessionClosed(other.Entry, at(2))
	fixture.expect.Expect(starts(fixture.orderOf(owner, run(0, 1), at(3)))).To(ConsistOf(run(0, 1)))
}

// The load: 35 entries in five zones, of which those of the worker's zone use it most. Most
// frames go to them, and no more in all than when each entry is told alike.
func TestNearEntriesAreToldOfRoomMoreOften(test *testing.T) {
	expect := NewWithT(test)
	const near, entries = 7, 35
	nearly, farther := ptroom.ReportInterval(true, near, entries), ptroom.ReportInterval(false, near, entries)
	expect.Expect(nearly).To(BeNumerically("<=", farther/5))
	expect.Expect(near/nearly.Seconds()+(entries-near)/farther.Seconds()).To(BeNumerically("<=", 50), "frames a second")
	expect.Expect(ptroom.ReportInterval(true, 1, 1)).To(BeNumerically(">=", 25*time.Millisecond), "a small deployment")
}
