package ptlink_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptlink"
)

// A process that is paused or starved again and again has only ticks that follow a pause.
func TestRepeatedPausesDoNotPostponeTimeoutsForever(test *testing.T) {
	const tickInterval = ptlink.PauseThreshold + 50*time.Millisecond
	for name, role := range map[string]ptlink.Role{"agent": ptlink.AgentSide, "entry": ptlink.EntrySide} {
		expect := NewWithT(test)
		link := ptlink.New(role, start, 250*time.Millisecond)
		var silent, ackMissing bool
		for at := tickInterval; at <= 10*time.Second && !silent; at += tickInterval {
			switch link.Tick(start.Add(at)) {
			case ptlink.ReceiveTimedOut:
				silent = true
				expect.Expect(at).To(BeNumerically("<=", 2*time.Second), name)
			case ptlink.NoAction, ptlink.SendAck, ptlink.SendHeartbeat, ptlink.AckTimedOut:
			}
		}
		expect.Expect(silent).To(BeTrue(), "%s: no frame was received", name)
		link = ptlink.New(role, start, time.Minute)
		link.OnSend(start, ptlink.AckEliciting)
		for at := tickInterval; at <= 10*time.Second && !ackMissing; at += tickInterval {
			if link.Tick(start.Add(at)) == ptlink.AckTimedOut {
				ackMissing = true
				expect.Expect(at).To(BeNumerically("<=", time.Second), name)
			}
		}
		expect.Expect(ackMissing).To(BeTrue(), "%s: the frame was not acknowledged", name)
	}
}

// The peer's frames may still be unread after a pause, also if they are the first in a long time.
func TestPauseAfterAReceivedFrameRestartsTheTimeouts(test *testing.T) {
	expect := NewWithT(test)
	link := ptlink.New(ptlink.EntrySide, start, time.Second)
	for _, pause := range []time.Duration{10 * time.Second, 20 * time.Second, 30 * time.Second} {
		sequence, _ := link.OnSend(start.Add(pause), ptlink.AckEliciting)
		expect.Expect(link.Tick(start.Add(pause + 5*time.Second))).NotTo(BeElementOf(ptlink.AckTimedOut, ptlink.ReceiveTimedOut))
		link.OnReceive(start.Add(pause+5*time.Second), 0, sequence)
		expect.Expect(link.Tick(start.Add(pause + 5*time.Second + 50*time.Millisecond))).NotTo(BeElementOf(ptlink.AckTimedOut, ptlink.ReceiveTimedOut))
	}
}
