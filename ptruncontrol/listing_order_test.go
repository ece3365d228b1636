package ptruncontrol_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptrun"
)

// newFixtureWithUnansweredStart is a fixture whose worker has not answered the start order for run 1
// of task 0, which needs three of four cores.
func newFixtureWithUnansweredStart(test *testing.T) *fixture {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 3000, at(1))
	fixture.HandleStartResponse(run(0, 1), 0, ptrun.ErrUnanswered, at(26))
	return fixture
}

func TestOlderListingDoesNotEndRunThatNewerListingContains(test *testing.T) {
	fixture := newFixtureWithUnansweredStart(test)
	expect := fixture.expect
	// The worker carries the start order out after it has answered the listing requested at 27.
	expect.Expect(sentEnds(fixture.list(1055, at(28), at(60), nil, run(0, 1)))).To(BeEmpty())
	expect.Expect(sentEnds(fixture.list(1030, at(27), at(62), nil))).To(BeEmpty())
	fixture.expectNoStartBeside(63)
	ended := []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: run(0, 1), Result: ptrun.Done}}}
	ends := sentEnds(fixture.list(1080, at(70), at(80), ended))
	expect.Expect(ends).NotTo(BeEmpty())
	expect.Expect(ends[0].Result).To(Equal(ptrun.Done))
}

func TestRunMissingFromListingRequestedAfterItWasListedIsLost(test *testing.T) {
	fixture := newFixtureWithUnansweredStart(test)
	fixture.list(1055, at(28), at(60), nil, run(0, 1))
	ends := sentEnds(fixture.list(1062, at(61), at(63), nil))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.Lost))
}
