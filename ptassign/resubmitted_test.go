package ptassign_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// The caller of a cancelled job submits it again while the stop order has not been carried out.
func TestResubmittedJobWaitsForRunsOfItsCancelledPredecessor(test *testing.T) {
	fixture := newFixture(test, 2)
	job, _, effects := fixture.submit(1, 100*time.Millisecond, at(0))
	first := orders(effects)[0]
	fixture.Cancel(job.Key(), at(10))
	fixture.jobs--
	again, refusal, effects := fixture.submit(1, 100*time.Millisecond, at(20))
	fixture.expect.Expect(again.ID).To(Equal(job.ID))
	fixture.expect.Expect(refusal).To(BeNil())
	effects = append(effects, fixture.report(0, ptassign.AgentState{})...)
	effects = append(effects, fixture.Tick(at(45))...)
	fixture.expect.Expect(orders(effects)).To(BeEmpty(), "the run of the cancelled job has not ended")
	effects = fixture.RunEnded(first.Agent, ptrun.End{Run: first.Run, Result: ptrun.Stopped}, at(50))
	fixture.expect.Expect(orders(effects)).To(HaveLen(1))
}
