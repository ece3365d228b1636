package ptruncontrol_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

// A run of 200 ms whose progress shows that it will take seven times as long must be stopped early, so that its
// task can still be done in time elsewhere. Ordinary long runs, runs without progress or with the speed limit in its
// place, runs of entries that don't use speeds and durable runs must go on.
func TestStragglersAreStopped(test *testing.T) {
	const expected = 200 * time.Millisecond
	ordinary := ptruncontrol.Order{Owner: owner, Demand: ptrun.Demand{CPU: 1000}, ExpectedRunTime: expected, Queue: "hold"}
	changed := func(change func(order *ptruncontrol.Order)) ptruncontrol.Order {
		order := ordinary
		change(&order)
		return order
	}
	for name, check := range map[string]struct {
		order   ptruncontrol.Order
		percent func(millis int) int
		stopped bool
	}{
		"straggler":             {ordinary, func(millis int) int { return millis / 14 }, true},
		"three times as long":   {ordinary, func(millis int) int { return millis / 6 }, false},
		"no progress":           {ordinary, func(int) int { return 0 }, false},
		"speed limit":           {ordinary, func(int) int { return 100 }, false},
		"without queue":         {changed(func(order *ptruncontrol.Order) { order.Queue = "" }), func(millis int) int { return millis / 14 }, false},
		"without expectation":   {changed(func(order *ptruncontrol.Order) { order.ExpectedRunTime = 0 }), func(millis int) int { return millis / 14 }, false},
		"with a checkpoint":     {changed(func(order *ptruncontrol.Order) { order.Checkpoint = "state" }), func(millis int) int { return millis / 14 }, false},
		"nearly done meanwhile": {ordinary, func(millis int) int { return min(99, millis/3) }, false},
	} {
		test.Run(name, func(test *testing.T) {
			fixture := newFixture(test)
			fixture.StopStragglers(true)
			order := check.order
			order.Run, order.StartBy, order.WaitUntil, order.QueueKey = run(0, 1), at(1000), at(40), at(1)
			fixture.Order(order, at(1))
			fixture.HandleStartResponse(order.Run, 1001, nil, at(1))
			var stopped []ptrun.ID
			for millis := 20; millis <= 200; millis += 20 {
				listing := ptrun.Listing{WorkerStartedAt: time.UnixMilli(5), Clock: ptrun.WorkerTime(1000 + millis), Active: []ptrun.ListedRun{{Run: order.Run, Percent: check.percent(millis)}}}
				stopped = append(stopped, stops(fixture.HandleListing(listing, at(millis), at(millis)))...)
			}
			if check.stopped {
				fixture.expect.Expect(stopped).To(ConsistOf(order.Run))
			} else {
				fixture.expect.Expect(stopped).To(BeEmpty())
			}
		})
	}
}

// If all runs of a worker straggle, the worker is slow: the runs must not be stopped one and all.
func TestRunsOnASlowWorkerAreNotStoppedAsStragglers(test *testing.T) {
	fixture := newFixture(test)
	fixture.StopStragglers(true)
	var listing ptrun.Listing
	for index := range 4 {
		id := run(index, 1)
		fixture.Order(ptruncontrol.Order{
			Run: id, Owner: owner, Demand: ptrun.Demand{CPU: 1000}, StartBy: at(1000), WaitUntil: at(40), QueueKey: at(1), ExpectedRunTime: 900 * time.Millisecond, Queue: "confirm",
		}, at(1))
		fixture.HandleStartResponse(id, 1001, nil, at(1))
		listing.Active = append(listing.Active, ptrun.ListedRun{Run: id})
	}
	stopped := 0
	for millis := 20; millis <= 600; millis += 20 {
		listing.WorkerStartedAt, listing.Clock = time.UnixMilli(5), ptrun.WorkerTime(1000+millis)
		for index := range listing.Active {
			listing.Active[index].Percent = millis * 100 / 6300
		}
		stopped += len(stops(fixture.HandleListing(listing, at(millis), at(millis))))
	}
	fixture.expect.Expect(stopped).To(BeNumerically("<=", 2))
}
