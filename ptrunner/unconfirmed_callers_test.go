package ptrunner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against review/12 (TWICE): orders of an entry that was paused, whose callers have left. The order may
// lie in a frame for as long as the pause lasts, and the frame may also bring the stop.
func TestOrdersThatAreOlderThanTheLossOfTheirCallersAreNotStarted(test *testing.T) {
	for name, testCase := range map[string]struct {
		confirmedAgo time.Duration
		stop, starts bool
	}{
		"confirmed":                       {confirmedAgo: 20 * time.Millisecond, starts: true},
		"confirmed before a pause":        {confirmedAgo: 2400 * time.Millisecond},
		"confirmed, with its stop":        {confirmedAgo: 20 * time.Millisecond, stop: true},
		"from an entry that says nothing": {starts: true},
	} {
		test.Run(name, func(test *testing.T) {
			runner, worker, expect := zonedRunner(test)
			owner := runner.addPeer("entry")
			now := runner.deps.Clock.Now()
			frame := runner.orderFrame(1)
			if testCase.confirmedAgo > 0 {
				frame.CallersConfirmedNanos = int64(now.Add(-testCase.confirmedAgo))
			}
			if testCase.stop {
				frame.RunStops = append(frame.RunStops, frame.RunOrders[0].Run)
			}
			owner.Receive(nil, frame)
			if testCase.starts {
				expect.Eventually(worker.ActiveRuns).Should(HaveLen(1))
			} else {
				expect.Expect(runner.core.Idle()).To(BeTrue(), "the order was refused")
				expect.Consistently(worker.ActiveRuns, "50ms").Should(BeEmpty())
			}
		})
	}
}
