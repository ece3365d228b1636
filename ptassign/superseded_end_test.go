package ptassign_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// answers returns how many ends are rejected, and how many are stored.
func answers(effects []ptassign.Effect) (rejected, stored int) {
	for _, effect := range effects {
		switch effect.(type) {
		case ptassign.RejectEnd:
			rejected++
		case ptassign.SaveProgress:
			stored++
		}
	}
	return rejected, stored
}

func TestDoneEndThatArrivesAfterTheTaskHasStartedAgainIsNotStored(test *testing.T) {
	for name, scenario := range map[string]struct {
		// results are the results of the later runs that have ended; the next one has not.
		results            []ptrun.Result
		earlier            ptrun.Result
		rejected, accepted int
	}{
		"the later run is active":                   {earlier: ptrun.Done, rejected: 1},
		"the later run is done":                     {results: []ptrun.Result{ptrun.Done}, earlier: ptrun.Done, rejected: 1},
		"a later run was stopped":                   {results: []ptrun.Result{ptrun.Stopped}, earlier: ptrun.Done, rejected: 1},
		"the earlier run was stopped":               {earlier: ptrun.Stopped, accepted: 1},
		"the earlier run has failed, a later is on": {earlier: ptrun.Failed, accepted: 1},
	} {
		expect := NewWithT(test)
		fixture := newFixture(test, 2)
		fixture.SetOwnershipExpiry(ptid.Never)
		_, effects, err := fixture.SubmitDurable(ptassign.Spec{Queue: queue, Spec: ptgraph.Spec{
			ID: "00000000000000a1", MaxAttempts: 3, RunNumberBase: ptjobstore.RunNumberBase(5),
			Steps: []ptgraph.Step{{Count: 1, Demand: ptrun.Demand{CPU: 1000}}, {Count: 1, Demand: ptrun.Demand{CPU: 1000}, After: []ptrun.StepIndex{0}}},
		}}, nil, false, at(0))
		expect.Expect(err).NotTo(HaveOccurred())
		sent := orders(effects)[0]
		for _, result := range scenario.results {
			fixture.RunEnded(sent.Agent, ptrun.End{Run: sent.Run, Result: result}, at(10))
		}
		earlier := ptrun.ID{Task: sent.Run.Task, Number: ptjobstore.RunNumberBase(4) + 1}
		effects, found := fixture.AdoptEnd(agentName(1), ptrun.End{Run: earlier, Result: scenario.earlier}, at(20))
		expect.Expect(found).To(BeTrue(), name)
		rejected, stored := answers(effects)
		expect.Expect(rejected).To(Equal(scenario.rejected), name)
		expect.Expect(stored).To(Equal(scenario.accepted), name)
	}
}

func TestRepeatedDoneEndIsStored(test *testing.T) {
	fixture := newFixture(test, 1)
	fixture.SetOwnershipExpiry(ptid.Never)
	_, effects, err := fixture.SubmitDurable(ptassign.Spec{Queue: queue, Spec: ptgraph.Spec{ID: "00000000000000a1", MaxAttempts: 3, Steps: []ptgraph.Step{
		{Count: 1, Demand: ptrun.Demand{CPU: 1000}}, {Count: 1, Demand: ptrun.Demand{CPU: 1000}, After: []ptrun.StepIndex{0}},
	}}}, nil, false, at(0))
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	done := ptrun.End{Run: orders(effects)[0].Run, Result: ptrun.Done}
	fixture.RunEnded(agentName(0), done, at(10))
	effects, _ = fixture.AdoptEnd(agentName(0), done, at(20))
	rejected, stored := answers(effects)
	fixture.expect.Expect(rejected).To(BeZero())
	fixture.expect.Expect(stored).To(Equal(1))
}
