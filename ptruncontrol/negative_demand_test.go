package ptruncontrol_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

func TestOrderOfANegativeDemandAddsNoCapacity(test *testing.T) {
	fixture := newFixture(test)
	effects := fixture.Order(ptruncontrol.Order{Run: run(0, 1), Owner: owner, Demand: ptrun.Demand{CPU: -4000}, StartBy: at(1000), WaitUntil: at(40)}, at(1))
	fixture.expect.Expect(starts(effects)).To(BeEmpty())
	fixture.expect.Expect(sentEnds(effects)).To(HaveLen(1))
	fixture.expect.Expect(starts(fixture.order(run(1, 1), 4000, at(2)))).To(HaveLen(1))
	fixture.expect.Expect(starts(fixture.order(run(2, 1), 4000, at(3)))).To(BeEmpty())
}
