package ptassign_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const hangTickInterval = 25 * time.Millisecond

func newWideFixture(test *testing.T) *fixture {
	fixture := newFixture(test, 1)
	fixture.AgentReported(agentName(0), ptassign.AgentState{Worker: "wide", Capacity: ptrun.Demand{CPU: 4000}}, start)
	return fixture
}

func countStops(effects []ptassign.Effect) (stops int) {
	for _, effect := range effects {
		if _, is := effect.(ptassign.SendStop); is {
			stops++
		}
	}
	return stops
}

// Ends of runs may be unread when an entry that was paused or starved of CPU time continues.
func TestWorkerIsNotTakenForHangingBecauseItsEntryWasPaused(test *testing.T) {
	for name, pausedBeforePlacing := range map[string]bool{"after placing": false, "while placing": true} {
		fixture := newWideFixture(test)
		fixture.Tick(at(0))
		placedAt := at(1)
		if pausedBeforePlacing {
			placedAt = at(100)
		}
		_, _, effects := fixture.submit(2, 60*time.Millisecond, placedAt)
		sent := orders(effects)
		fixture.expect.Expect(sent).To(HaveLen(2))
		fixture.expect.Expect(countStops(fixture.Tick(at(400)))).To(BeZero(), name)
		for _, order := range sent {
			effects = fixture.RunEnded(order.Agent, ptrun.End{Run: order.Run, Result: ptrun.Done, RunTime: 60 * time.Millisecond}, at(401))
		}
		fixture.expect.Expect(ended(effects)).To(HaveLen(1), name)
		_, _, effects = fixture.submit(1, 60*time.Millisecond, at(410))
		fixture.expect.Expect(orders(effects)).To(HaveLen(1), name)
	}
}

// An entry whose ticks are always late must detect a hanging worker, too.
func TestStarvedEntryDetectsHangingWorkers(test *testing.T) {
	const timeout, counted = 280 * time.Millisecond, 2 * hangTickInterval
	for _, interval := range []time.Duration{hangTickInterval, counted, 100 * time.Millisecond, 300 * time.Millisecond} {
		fixture := newWideFixture(test)
		fixture.Tick(at(0))
		_, effects, err := fixture.SubmitDurable(ptassign.Spec{Queue: queue, Spec: ptgraph.Spec{ID: "00000000000000a1", Steps: []ptgraph.Step{
			{Count: 2, Demand: ptrun.Demand{CPU: 1000}, Estimate: 60 * time.Millisecond},
		}}}, nil, false, at(0))
		fixture.expect.Expect(err).NotTo(HaveOccurred())
		fixture.expect.Expect(orders(effects)).To(HaveLen(2))
		ticks := timeout/min(interval, counted) + 1
		for tick := range ticks {
			fixture.expect.Expect(countStops(fixture.Tick(at(0).Add(tick*interval)))).To(BeZero(), interval.String())
		}
		fixture.expect.Expect(countStops(fixture.Tick(at(0).Add(ticks*interval)))).To(Equal(2), interval.String())
	}
}
