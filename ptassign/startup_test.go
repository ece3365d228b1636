package ptassign_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptevacuation"
)

// After a loss of power of all VMs, callers reach an entry before its agents do. Without the grace, their
// jobs are refused although a worker is connected some hundred milliseconds later.
func TestJobsOfAStartingEntryWaitForTheFirstAgents(test *testing.T) {
	fixture := newFixture(test, 0)
	fixture.ExpectAgents(at(0).Add(ptassign.StartupGrace))
	job, refusal, effects := fixture.submit(1, 500*time.Millisecond, at(20))
	fixture.expect.Expect(refusal).To(BeNil())
	fixture.expect.Expect(orders(effects)).To(BeEmpty())
	fixture.expect.Expect(ended(fixture.Tick(at(200)))).To(BeEmpty())
	fixture.AgentConnected(agentName(0), 1, service, true, at(250))
	sent := orders(fixture.report(0, ptassign.AgentState{}))
	fixture.expect.Expect(sent).To(HaveLen(1))
	fixture.expect.Expect(sent[0].Job).To(Equal(job))
}

// A job that waits for the first agents must be refused as soon as it can't end in time, or when the
// grace is over, and jobs that arrive later at once.
func TestJobsOfAStartingEntryAreRefusedIfNoAgentConnects(test *testing.T) {
	fixture := newFixture(test, 0)
	graceEnd := at(0).Add(ptassign.StartupGrace)
	fixture.ExpectAgents(graceEnd)
	_, refusal, _ := fixture.submit(1, 50*time.Millisecond, at(20))
	fixture.expect.Expect(refusal).To(BeNil())
	_, refusal, _ = fixture.submit(1, 900*time.Millisecond, at(500))
	fixture.expect.Expect(refusal).To(BeNil())
	early := ended(fixture.Tick(graceEnd - 1))
	fixture.expect.Expect(early).To(HaveLen(1))
	fixture.expect.Expect(early[0].Refusal.Reason).To(Equal(ptassign.TooLate))
	late := ended(fixture.Tick(graceEnd))
	fixture.expect.Expect(late).To(HaveLen(1))
	fixture.expect.Expect(late[0].Refusal.Reason).To(Equal(ptassign.NoWorker))
	_, refusal, _ = fixture.submit(1, 900*time.Millisecond, graceEnd)
	fixture.expect.Expect(refusal.Reason).To(Equal(ptassign.NoWorker))
}

// The agents of an evacuated zone may be the first ones that connect. The jobs must then wait for the
// other agents instead of being refused as if the whole service were evacuated.
func TestJobsOfAStartingEntryWaitWhileOnlyEvacuatedAgentsAreConnected(test *testing.T) {
	fixture := newFixture(test, 0)
	fixture.ExpectAgents(at(0).Add(ptassign.StartupGrace))
	fixture.SetEvacuation(ptevacuation.New(1, "evacuated"), at(0))
	fixture.AgentLocated(agentName(0), "evacuated", at(10))
	fixture.AgentConnected(agentName(0), 1, service, true, at(10))
	fixture.report(0, ptassign.AgentState{})
	_, refusal, effects := fixture.submit(1, 500*time.Millisecond, at(20))
	fixture.expect.Expect(refusal).To(BeNil())
	fixture.expect.Expect(orders(effects)).To(BeEmpty())
	fixture.expect.Expect(ended(fixture.Tick(at(100)))).To(BeEmpty())
	fixture.AgentLocated(agentName(1), "other", at(150))
	fixture.AgentConnected(agentName(1), 1, service, true, at(150))
	sent := orders(fixture.report(1, ptassign.AgentState{}))
	fixture.expect.Expect(sent).To(HaveLen(1))
	fixture.expect.Expect(sent[0].Agent).To(Equal(agentName(1)))
	fixture.expect.Expect(ended(fixture.Tick(at(200)))).To(BeEmpty())
}

// Once a worker could get orders, the evacuation of all zones must refuse jobs at once, also in the first
// second after the start.
func TestJobsOfAStartingEntryAreRefusedAtOnceAfterTheLastZoneIsEvacuated(test *testing.T) {
	fixture := newFixture(test, 0)
	fixture.ExpectAgents(at(0).Add(ptassign.StartupGrace))
	fixture.AgentLocated(agentName(0), "zone", at(10))
	fixture.AgentConnected(agentName(0), 1, service, true, at(10))
	fixture.report(0, ptassign.AgentState{})
	fixture.SetEvacuation(ptevacuation.New(1, "zone"), at(20))
	_, refusal, _ := fixture.submit(1, 500*time.Millisecond, at(30))
	fixture.expect.Expect(refusal).NotTo(BeNil())
	fixture.expect.Expect(refusal.Reason).To(Equal(ptassign.Evacuated))
}
