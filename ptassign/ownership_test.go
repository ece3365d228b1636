package ptassign_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

func TestOrdersOfDurableJobsStartNothingAfterTheOwnershipMayHaveExpired(test *testing.T) {
	fixture := newFixture(test, 1)
	fixture.SetOwnershipExpiry(at(200))
	_, effects, err := fixture.SubmitDurable(ptassign.Spec{Queue: queue, Spec: ptgraph.Spec{ID: "00000000000000a1", MaxAttempts: 3, Steps: []ptgraph.Step{
		{Count: 1, Demand: ptrun.Demand{CPU: 1000}},
	}}}, nil, false, at(0))
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	sent := orders(effects)
	fixture.expect.Expect(sent).To(HaveLen(1))
	fixture.expect.Expect(sent[0].StartBy).To(Equal(at(200)))
	effects = fixture.RunEnded(sent[0].Agent, ptrun.End{Run: sent[0].Run, Result: ptrun.NeverStarted}, at(200))
	fixture.expect.Expect(append(orders(effects), orders(fixture.Tick(at(300)))...)).To(BeEmpty())
	fixture.expect.Expect(fixture.CapacityRequests(at(300))).To(BeEmpty())
	fixture.SetOwnershipExpiry(at(1700))
	fixture.expect.Expect(orders(fixture.Tick(at(325)))).To(HaveLen(1))
}
