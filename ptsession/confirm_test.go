package ptsession_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// Guards against a confirmation that overtakes the stops of the jobs that it does not cover: their runs would
// go on for longer than their callers wait.
func TestConfirmationDoesNotOvertakeEarlierMessages(test *testing.T) {
	expect := NewWithT(test)
	const rounds = 2000
	out := newPipe()
	session := ptsession.New(ptlink.EntrySide, ptid.NewClock(), stream{out: out, in: newPipe()}, out.close, time.Hour, &recorder{})
	go func() { _ = session.Run() }()
	go func() {
		for round := range rounds {
			session.Post(func(frame *ptwire.Frame) { frame.RunStops = append(frame.RunStops, &ptwire.RunRef{}) })
			session.ConfirmCallers(ptid.Instant(round + 1))
		}
		session.Post(func(*ptwire.Frame) {})
	}()
	stops, confirmed := 0, 0
	for confirmed < rounds {
		frame := &ptwire.Frame{}
		expect.Expect(frame.UnmarshalVT(<-out.frames)).To(Succeed())
		stops += len(frame.RunStops)
		expect.Expect(int(frame.CallersConfirmedNanos)).To(And(BeNumerically("<=", stops), BeNumerically(">=", confirmed)))
		confirmed = int(frame.CallersConfirmedNanos)
	}
	session.Close(ptsession.ErrClosed)
}
