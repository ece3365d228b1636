package ptassign_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// loseFour loses four runs of the only task of a durable job with workers that have not responded again,
// and returns them with the effects of the last loss.
func (fixture *fixture) loseFour() (lost []ptassign.SendOrder, effects []ptassign.Effect) {
	fixture.SetOwnershipExpiry(ptid.Never)
	effects = fixture.submitDurable("00000000000000aa", 1)
	for index := range 4 {
		sent := orders(effects)
		fixture.expect.Expect(sent).To(HaveLen(1), "run %d", index)
		lost = append(lost, sent[0])
		effects = fixture.RunEnded(sent[0].Agent, ptrun.End{
			Run: sent[0].Run, Result: ptrun.Lost, Reason: ptrun.ReasonLeaseExpired, Worker: ptrun.WorkerID("worker" + sent[0].Agent[len("agent"):]),
		}, at(1000*(index+1)))
	}
	return lost, effects
}

func resolved(effects []ptassign.Effect) (fates []ptgraph.WorkerFate) {
	for _, effect := range effects {
		if loss, is := effect.(ptassign.LossResolved); is {
			fates = append(fates, loss.Fate)
		}
	}
	return fates
}

// Guards against failing a job whose workers were only cut off.
func TestHeldTaskIsPlacedOnceAWorkerListsTheEndOfALostRun(test *testing.T) {
	fixture := newFixture(test, 4)
	lost, effects := fixture.loseFour()
	expect := fixture.expect
	expect.Expect(effects).To(ContainElement(BeAssignableToTypeOf(ptassign.TaskHeld{})))
	expect.Expect(orders(effects)).To(BeEmpty())
	expect.Expect(orders(fixture.Tick(at(60_000)))).To(BeEmpty())
	effects, found := fixture.AdoptEnd(lost[1].Agent, ptrun.End{Run: lost[1].Run, Result: ptrun.Lost, Reason: ptrun.ReasonLeaseEnforced}, at(60_000))
	expect.Expect(found).To(BeTrue())
	expect.Expect(resolved(effects)).To(Equal([]ptgraph.WorkerFate{ptgraph.WorkerSurvived}))
	expect.Expect(saves(effects)).NotTo(BeEmpty())
	expect.Expect(orders(effects)).To(HaveLen(1))
}

func TestJobFailsOnceTheWorkersOfItsHeldTaskWereReplaced(test *testing.T) {
	fixture := newFixture(test, 4)
	fixture.loseFour()
	for index := range 4 {
		fixture.AgentReported(agentName(index), ptassign.AgentState{Worker: "next", Capacity: ptrun.Demand{CPU: 1000, Memory: 1000}}, at(6000))
	}
	fixture.expect.Expect(ended(fixture.Tick(at(6000)))).To(HaveLen(1))
}

// No agent sends word of the workers any more.
func TestLossesOfAHeldTaskAreResolvedAfterATimeout(test *testing.T) {
	for name, scenario := range map[string]struct {
		silent bool
		fate   ptgraph.WorkerFate
		failed int
	}{
		"the workers are in use":   {fate: ptgraph.WorkerSurvived},
		"the workers don't return": {silent: true, fate: ptgraph.WorkerGone, failed: 1},
	} {
		fixture := newFixture(test, 4)
		fixture.loseFour()
		if scenario.silent {
			for index := range 4 {
				fixture.report(index, ptassign.AgentState{Unusable: true})
			}
		}
		held := at(4000)
		fixture.expect.Expect(resolved(fixture.Tick(held.Add(2*time.Minute)))).To(BeEmpty(), name)
		effects := fixture.Tick(held.Add(2*time.Minute + 1))
		fixture.expect.Expect(resolved(effects)).To(HaveEach(scenario.fate), name)
		fixture.expect.Expect(resolved(effects)).To(HaveLen(4), name)
		fixture.expect.Expect(ended(effects)).To(HaveLen(scenario.failed), name)
		fixture.expect.Expect(orders(effects)).To(HaveLen(1-scenario.failed), name)
	}
}
