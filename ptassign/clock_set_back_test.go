package ptassign_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// The wall clock was set back before the restart, so the incarnation is lower than the earlier one.
func TestJobThatMayHaveRunIsNotRefusedAfterItsAgentRestartedWithAnEarlierClock(test *testing.T) {
	fixture := newFixture(test, 1)
	fixture.AgentConnected(agentName(0), 5, service, true, at(10))
	fixture.report(0, ptassign.AgentState{})
	job, _, effects := fixture.submit(1, 100*time.Millisecond, at(20))
	run := orders(effects)[0].Run
	fixture.AgentDisconnected(agentName(0), at(30))
	fixture.AgentConnected(agentName(0), 3, service, true, at(400))
	fixture.RunEnded(agentName(0), ptrun.End{Run: run, Result: ptrun.NeverStarted, Reason: ptrun.ReasonUnknownRun}, at(401))
	expired := ended(fixture.Tick(job.ExpiresAt.Add(time.Millisecond)))
	fixture.expect.Expect(expired).To(HaveLen(1))
	fixture.expect.Expect(expired[0].Refusal).To(BeNil())
}
