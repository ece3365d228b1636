package ptruncontrol_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

func TestRunsOfAReleasedPartitionEndUnlessALaterOwnerAdoptsThem(test *testing.T) {
	for name, adopt := range map[string]bool{"no later owner": false, "a later owner": true} {
		test.Run(name, func(test *testing.T) {
			fixture := newFixture(test)
			id := run(0, ptjobstore.RunNumberBase(4)+1)
			fixture.Order(ptruncontrol.Order{Run: id, Owner: owner, Demand: ptrun.Demand{CPU: 10}, StartBy: at(50), WaitUntil: at(50), Epoch: 4, Partition: 2}, at(1))
			fixture.HandleStartResponse(id, 1001, nil, at(2))
			fixture.ReleasePartition(owner, 2, 4, at(10))
			expect := NewWithT(test)
			expect.Expect(stops(fixture.Tick(at(2000)))).To(BeEmpty())
			if adopt {
				next := ptruncontrol.Owner{Entry: "next", Incarnation: 1}
				fixture.SessionOpened(next, at(2000))
				fixture.AdoptPartition(next, 2, 32, 5, at(2001))
				// The release of an earlier owner arrives late.
				fixture.ReleasePartition(owner, 2, 4, at(2002))
				expect.Expect(stops(fixture.Tick(at(6000)))).To(BeEmpty())
				return
			}
			expect.Expect(stops(fixture.Tick(at(2600)))).To(ConsistOf(id))
		})
	}
}

// Guards against a run that goes on under an entry that has given up its partition while it had no session
// with the agent, and that was therefore not told of the release.
func TestRunsOfAPartitionThatWasReleasedWithoutASessionEndUnlessAnOwnerAdoptsThem(test *testing.T) {
	for name, adopt := range map[string]bool{"released": false, "still owned": true} {
		test.Run(name, func(test *testing.T) {
			fixture := newFixture(test)
			id := run(0, ptjobstore.RunNumberBase(4)+1)
			fixture.Order(ptruncontrol.Order{Run: id, Owner: owner, Demand: ptrun.Demand{CPU: 10}, StartBy: at(50), WaitUntil: at(50), Epoch: 4, Partition: 2}, at(1))
			fixture.HandleStartResponse(id, 1001, nil, at(2))
			fixture.SessionClosed(owner.Entry, at(10))
			fixture.SessionOpened(owner, at(1000))
			expect := NewWithT(test)
			if adopt {
				fixture.AdoptPartition(owner, 2, 32, 4, at(1001))
				expect.Expect(stops(fixture.Tick(at(6000)))).To(BeEmpty())
				return
			}
			expect.Expect(stops(fixture.Tick(at(2500)))).To(BeEmpty())
			expect.Expect(stops(fixture.Tick(at(2600)))).To(ConsistOf(id))
		})
	}
}
