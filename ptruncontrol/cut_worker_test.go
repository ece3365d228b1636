package ptruncontrol_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

// Guards against counting a cut as a crash: the owner must hear that the worker has listed the end of a
// run that was declared lost, at once, and instead of the loss if it asks for the run only then.
func TestOwnerIsToldThatAWorkerHasSurvivedTheLossOfARun(test *testing.T) {
	fixture := newFixture(test)
	durable := run(0, ptjobstore.RunNumberBase(4)+1)
	fixture.Order(ptruncontrol.Order{Run: durable, Owner: owner, Demand: ptrun.Demand{CPU: 10}, StartBy: at(50), WaitUntil: at(50), Epoch: 4, Partition: 2}, at(1))
	fixture.HandleStartResponse(durable, 1001, nil, at(2))
	fixture.list(1009, at(8), at(9), nil, durable)
	for millis := 30; millis <= 1600; millis += 20 {
		fixture.HandleListFailure(ptrun.ErrNotListening, at(millis), at(millis))
	}
	lapsed := ptrun.End{Run: durable, Result: ptrun.Lost, Reason: ptrun.ReasonLeaseEnforced}
	effects := fixture.list(3000, at(2000), at(2001), []ptrun.ListedEnd{{Sequence: 1, End: lapsed}})
	fixture.expect.Expect(effects).To(ContainElement(ptruncontrol.BroadcastEnd{End: lapsed}))
	fixture.expect.Expect(fixture.QueryRun(owner, durable, at(2002))).To(ConsistOf(ptruncontrol.SendEnd{Owner: owner, End: lapsed}))
}
