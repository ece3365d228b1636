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

func (fixture *fixture) submitDurable(id ptid.JobID, tasks int) []ptassign.Effect {
	_, effects, err := fixture.SubmitDurable(ptassign.Spec{
		Spec:  ptgraph.Spec{ID: id, MaxAttempts: 3, Steps: []ptgraph.Step{{Count: tasks, Demand: ptrun.Demand{CPU: 100}, Estimate: 60 * time.Millisecond}}},
		Queue: queue,
	}, nil, false, start)
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	return effects
}

// lose ends the ordered runs with their workers twice and returns the orders that follow.
func (fixture *fixture) lose(sent []ptassign.SendOrder, millis int) (next []ptassign.SendOrder) {
	for range 2 {
		next = nil
		for _, order := range sent {
			fixture.expect.Expect(order.Isolation).To(BeZero())
			next = append(next, orders(fixture.RunEnded(order.Agent, ptrun.End{Run: order.Run, Result: ptrun.Lost, Reason: ptrun.ReasonLeaseExpired}, at(millis)))...)
		}
		sent = next
	}
	return next
}

func TestTasksLostWithTheirWorkerAreIsolatedOneAtATime(test *testing.T) {
	fixture := newFixture(test, 4)
	expect := fixture.expect
	first := orders(fixture.submitDurable("00000000000000aa", 2))
	expect.Expect(first).To(HaveLen(2))
	expect.Expect(first[0].Isolation).To(BeZero())
	next := fixture.lose(first, 1000)
	expect.Expect(next).To(HaveLen(1))
	expect.Expect(next[0].Isolation).NotTo(BeZero())
	after := orders(fixture.RunEnded(next[0].Agent, ptrun.End{Run: next[0].Run, Result: ptrun.Done}, at(1100)))
	expect.Expect(after).To(HaveLen(1))
	expect.Expect(after[0].Isolation).NotTo(BeZero())
}

func TestIsolatedRunsUseAtMostHalfOfTheWorkers(test *testing.T) {
	fixture := newFixture(test, 4)
	var first []ptassign.SendOrder
	for _, id := range []ptid.JobID{"00000000000000a1", "00000000000000a2", "00000000000000a3", "00000000000000a4"} {
		first = append(first, orders(fixture.submitDurable(id, 1))...)
	}
	// Another entry isolates a run on the first worker.
	fixture.report(0, ptassign.AgentState{Isolating: true})
	fixture.expect.Expect(fixture.lose(first, 1000)).To(HaveLen(1))
}

func TestSuspectsDoNotKeepOtherTasksFromBeingPlaced(test *testing.T) {
	fixture := newFixture(test, 2)
	fixture.expect.Expect(fixture.lose(orders(fixture.submitDurable("00000000000000aa", 3)), 1000)).To(HaveLen(1))
	other := orders(fixture.submitDurable("00000000000000bb", 1))
	fixture.expect.Expect(other).To(HaveLen(1))
	fixture.expect.Expect(other[0].Isolation).To(BeZero())
}

func TestSuspectIsNotIsolatedWhereIsolationIsImpossible(test *testing.T) {
	fixture := newFixture(test, 1)
	sent := fixture.lose(orders(fixture.submitDurable("00000000000000aa", 1)), 1000)
	isolated := 0
	for millis := 1000; millis < 8000 && len(sent) == 1 && sent[0].Isolation > 0; millis += 100 {
		isolated++
		effects := fixture.RunEnded(sent[0].Agent, ptrun.End{Run: sent[0].Run, Result: ptrun.NeverStarted, Reason: ptrun.ReasonNoCapacity}, at(millis))
		sent = orders(append(effects, fixture.Tick(at(millis+100))...))
	}
	fixture.expect.Expect(isolated).To(BeNumerically(">", 10))
	fixture.expect.Expect(sent).To(HaveLen(1))
	fixture.expect.Expect(sent[0].Isolation).To(BeZero())
}

func TestTaskGivenUpIsReportedWithItsLosses(test *testing.T) {
	fixture := newFixture(test, 4)
	first := orders(fixture.submitDurable("00000000000000aa", 1))
	next := fixture.lose(first, 1000)
	fixture.RunEnded(next[0].Agent, ptrun.End{Run: next[0].Run, Result: ptrun.Lost, Reason: ptrun.ReasonCrashedWorker}, at(5000))
	effects, found := fixture.AdoptEnd(first[0].Agent, ptrun.End{Run: first[0].Run, Result: ptrun.Lost, Reason: ptrun.ReasonWorkerCrashed}, at(5100))
	fixture.expect.Expect(found).To(BeTrue())
	fixture.expect.Expect(effects).To(ContainElement(WithTransform(func(effect ptassign.Effect) int {
		givenUp, _ := effect.(ptassign.TaskGivenUp)
		return len(givenUp.Losses)
	}, Equal(3))))
	fixture.expect.Expect(ended(effects)).To(HaveLen(1))
}
