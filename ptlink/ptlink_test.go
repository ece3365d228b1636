package ptlink_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	// A fixed seed gives the same order of the specs in each run.
	suite.RandomSeed = 1
	RunSpecs(t, "ptlink", suite, reporter)
}

const start = ptid.Instant(time.Hour)

// run ticks a link every 50 ms and returns the first action and its time, or NoAction if there
// is none until the given time.
func run(link *ptlink.Link, from, until time.Duration) (action ptlink.Action, at time.Duration) {
	for at = from; at <= until; at += 50 * time.Millisecond {
		if action = link.Tick(start.Add(at)); action != ptlink.NoAction {
			return action, at
		}
	}
	return ptlink.NoAction, until
}

var _ = Describe("a link", func() {
	DescribeTable("reports a missing acknowledgement within 500 ms of the first unacknowledged frame", func(role ptlink.Role) {
		link := ptlink.New(role, start, time.Second)
		link.OnSend(start, ptlink.AckEliciting)
		action, at := run(link, 0, time.Second)
		Expect(action).To(Equal(ptlink.AckTimedOut))
		Expect(at).To(BeNumerically("<=", 500*time.Millisecond))
	}, Entry("agent", ptlink.AgentSide), Entry("entry", ptlink.EntrySide))

	It("reports no missing acknowledgement if the frame is acknowledged", func() {
		link := ptlink.New(ptlink.EntrySide, start, time.Second)
		sequence, _ := link.OnSend(start, ptlink.AckEliciting)
		Expect(link.OnReceive(start.Add(200*time.Millisecond), 0, sequence)).To(BeTrue())
		action, _ := run(link, 0, 900*time.Millisecond)
		Expect(action).To(Equal(ptlink.NoAction))
		Expect(link.HighestAcknowledged()).To(Equal(sequence))
	})

	It("sends an acknowledgement alone only if no other frame is sent within the delay", func() {
		link := ptlink.New(ptlink.EntrySide, start, time.Second)
		link.OnReceive(start, 1, 0)
		action, at := run(link, 0, time.Second)
		Expect(action).To(Equal(ptlink.SendAck))
		Expect(at).To(Equal(ptlink.MaxAckDelay))
		_, ack := link.OnSend(start.Add(at), ptlink.AckOnly)
		Expect(ack).To(Equal(ptid.Sequence(1)))
		link.OnReceive(start.Add(at), 2, 0)
		_, ack = link.OnSend(start.Add(at), ptlink.AckEliciting)
		Expect(ack).To(Equal(ptid.Sequence(2)))
		link.OnReceive(start.Add(at), 0, 1)
		action, _ = run(link, at, at+500*time.Millisecond)
		Expect(action).To(Equal(ptlink.NoAction))
	})

	It("sends heartbeats only in the absence of other traffic, and only from the agent", func() {
		agent := ptlink.New(ptlink.AgentSide, start, time.Second)
		sequence, _ := agent.OnSend(start.Add(500*time.Millisecond), ptlink.AckEliciting)
		agent.OnReceive(start.Add(500*time.Millisecond), 0, sequence)
		action, at := run(agent, 0, 3*time.Second)
		Expect(action).To(Equal(ptlink.SendHeartbeat))
		Expect(at).To(Equal(1500 * time.Millisecond))
		entry := ptlink.New(ptlink.EntrySide, start, time.Second)
		action, at = run(entry, 0, 10*time.Second)
		Expect(action).To(Equal(ptlink.ReceiveTimedOut))
		Expect(at).To(BeNumerically(">", 3*time.Second))
	})

	It("reports duplicate and older frames as not fresh", func() {
		link := ptlink.New(ptlink.EntrySide, start, time.Second)
		Expect(link.OnReceive(start, 2, 0)).To(BeTrue())
		Expect(link.OnReceive(start, 2, 0)).To(BeFalse())
		Expect(link.OnReceive(start, 1, 0)).To(BeFalse())
	})

	It("restarts its timeouts after the process was paused", func() {
		link := ptlink.New(ptlink.AgentSide, start, time.Second)
		link.OnSend(start, ptlink.AckEliciting)
		Expect(link.Tick(start.Add(50 * time.Millisecond))).To(Equal(ptlink.NoAction))
		Expect(link.Tick(start.Add(20 * time.Second))).NotTo(BeElementOf(ptlink.AckTimedOut, ptlink.ReceiveTimedOut))
		action, _ := run(link, 20*time.Second, 21*time.Second)
		Expect(action).To(BeElementOf(ptlink.AckTimedOut, ptlink.SendHeartbeat))
	})
})
