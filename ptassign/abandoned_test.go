package ptassign_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

func saves(effects []ptassign.Effect) (saved []ptassign.SaveProgress) {
	for _, effect := range effects {
		if save, is := effect.(ptassign.SaveProgress); is {
			saved = append(saved, save)
		}
	}
	return saved
}

func lossTimeout(millis int) int { return millis + int(ptassign.DurableRunLossTimeout.Milliseconds()) }

// Guards against starting a task again whose end waits at an agent, after an entry was cut off from
// all agents and reaches some of them earlier than others.
func TestEntryWithoutAgentsDoesNotDeclareDurableRunsLost(test *testing.T) {
	fixture := newFixture(test, 2)
	fixture.SetOwnershipExpiry(ptid.Never)
	sent := orders(fixture.submitDurable("00000000000000aa", 1))[0]
	other := agentName(1)
	if sent.Agent == other {
		other = agentName(0)
	}
	for index := range 2 {
		fixture.AgentDisconnected(agentName(index), at(0))
	}
	fixture.expect.Expect(fixture.Tick(at(60_000))).To(BeEmpty())
	fixture.AgentConnected(other, 1, service, true, at(60_000))
	fixture.expect.Expect(saves(fixture.Tick(at(lossTimeout(60_000))))).To(BeEmpty())
	fixture.expect.Expect(saves(fixture.Tick(at(lossTimeout(60_001))))).To(HaveLen(1))
}

// Guards against acknowledging an end that the entry has not received: it has declared the run lost
// itself.
func TestLossDeclaredByTheEntryIsSavedBeforeTheTaskIsPlacedAndNotAcknowledged(test *testing.T) {
	fixture := newFixture(test, 2)
	expect := fixture.expect
	fixture.SetOwnershipExpiry(ptid.Never)
	sent := orders(fixture.submitDurable("00000000000000aa", 1))[0]
	fixture.AgentDisconnected(sent.Agent, at(0))
	effects := fixture.Tick(at(lossTimeout(1)))
	expect.Expect(orders(effects)).To(BeEmpty())
	saved := saves(effects)
	expect.Expect(saved).To(HaveLen(1))
	expect.Expect(saved[0].Agent).To(BeEmpty())
	job := saved[0].Job
	next := orders(fixture.ProgressSaved(job, job.Progress(), at(lossTimeout(2))))
	expect.Expect(next).To(HaveLen(1))
	expect.Expect(next[0].Agent).NotTo(Equal(sent.Agent))
	expect.Expect(fixture.ProgressSaved(job, job.Progress(), at(lossTimeout(3)))).To(BeEmpty())
	effects, found := fixture.AdoptEnd(sent.Agent, ptrun.End{Run: sent.Run, Result: ptrun.Done}, at(lossTimeout(3)))
	expect.Expect(found).To(BeTrue())
	rejected, _ := answers(effects)
	expect.Expect(rejected).To(Equal(1))
}
