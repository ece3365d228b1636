package ptruncontrol_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

// A caller has submitted its job to two entries, which number its runs alike.
var secondOwner = ptruncontrol.Owner{Entry: "second", Incarnation: 1}

func endsFor(effects []ptruncontrol.Effect, owner ptruncontrol.Owner) (ends []ptrun.End) {
	for _, effect := range effects {
		if sent, is := effect.(ptruncontrol.SendEnd); is && sent.Owner == owner {
			ends = append(ends, sent.End)
		}
	}
	return ends
}

func newFixtureWithSecondOwner(test *testing.T) *fixture {
	fixture := newFixture(test)
	fixture.SessionOpened(secondOwner, start)
	fixture.order(run(0, 1), 1000, at(0))
	fixture.HandleStartResponse(run(0, 1), 1001, nil, at(1))
	effects := fixture.Order(ptruncontrol.Order{
		Run: run(0, 1), Owner: secondOwner, Demand: ptrun.Demand{CPU: 1000}, StartBy: at(500), WaitUntil: at(20), QueueKey: at(10),
	}, at(10))
	fixture.expect.Expect(starts(effects)).To(BeEmpty())
	fixture.expect.Expect(sentEnds(effects)).To(BeEmpty(), "the run has not ended")
	return fixture
}

func TestEveryOwnerThatOrderedARunGetsItsEnd(test *testing.T) {
	fixture := newFixtureWithSecondOwner(test)
	done := []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: run(0, 1), Result: ptrun.Done}}}
	effects := fixture.list(1050, at(49), at(50), done)
	for _, asked := range []ptruncontrol.Owner{owner, secondOwner} {
		ends := endsFor(effects, asked)
		fixture.expect.Expect(ends).To(HaveLen(1), string(asked.Entry))
		fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.Done))
	}
}

// The first owner is gone, or has been restarted, and its run is stopped.
func TestSecondOwnerLearnsThatRunOfFirstOwnerWasStopped(test *testing.T) {
	for name, leave := range map[string]func(*fixture) []ptruncontrol.Effect{
		"stop": func(fixture *fixture) []ptruncontrol.Effect {
			return fixture.Stop(run(0, 1), ptrun.ReasonStopRequested, at(20))
		},
		"silence": func(fixture *fixture) []ptruncontrol.Effect {
			fixture.SessionClosed(owner.Entry, at(20))
			return fixture.Tick(at(400))
		},
		"restart": func(fixture *fixture) []ptruncontrol.Effect {
			return fixture.SessionOpened(ptruncontrol.Owner{Entry: owner.Entry, Incarnation: 2}, at(20))
		},
	} {
		fixture := newFixtureWithSecondOwner(test)
		stopped := []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: run(0, 1), Result: ptrun.Stopped}}}
		effects := append(leave(fixture), fixture.list(ptrun.WorkerTime(1450), at(449), at(450), stopped)...)
		fixture.expect.Expect(endsFor(effects, secondOwner)).To(HaveLen(1), name)
	}
}

// The session of the second owner breaks, and it asks for the run in its next session.
func TestSecondOwnerThatReconnectsGetsTheEnd(test *testing.T) {
	fixture := newFixtureWithSecondOwner(test)
	fixture.SessionClosed(secondOwner.Entry, at(20))
	fixture.SessionOpened(secondOwner, at(30))
	fixture.expect.Expect(fixture.QueryRun(secondOwner, run(0, 1), at(31))).To(BeEmpty(), "the run has not ended")
	done := []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: run(0, 1), Result: ptrun.Done}}}
	fixture.expect.Expect(endsFor(fixture.list(1050, at(49), at(50), done), secondOwner)).To(HaveLen(1))
}
