package ptassign_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptid"
)

// A paused entry handles the greeting of a killed agent process after that of its successor.
func TestLateGreetingOfEarlierAgentIncarnationEndsNoRuns(test *testing.T) {
	fixture := newFixture(test, 1)
	fixture.AgentDisconnected(agentName(0), at(10))
	fixture.AgentConnected(agentName(0), 2, service, true, at(20))
	fixture.report(0, ptassign.AgentState{})
	_, _, effects := fixture.submit(1, 100*time.Millisecond, at(30))
	fixture.expect.Expect(orders(effects)).To(HaveLen(1))
	for millis := 40; millis < 80; millis += 20 {
		incarnation := ptid.Incarnation(1 + (millis-40)/20)
		fixture.AgentDisconnected(agentName(0), at(millis))
		fixture.AgentConnected(agentName(0), incarnation, service, true, at(millis+10))
		fixture.expect.Expect(orders(fixture.report(0, ptassign.AgentState{}))).To(BeEmpty(), "the run continues at incarnation 2")
	}
}
