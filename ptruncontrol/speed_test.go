package ptruncontrol_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
	"github.com/primrosetiller/primrosetiller/ptspeed"
)

const speedRunTime = 100 * time.Millisecond

// playSpeedRuns plays consecutive runs of a queue, from index first, that take slowdown times their expected
// run time on a worker of speed 1. It returns the time after the last one.
func (fixture *fixture) playSpeedRuns(queue ptid.ProfileName, first, runs int, slowdown float64, millis int) (until int) {
	clock := func() ptrun.WorkerTime { return ptrun.WorkerTime(1000 + millis) }
	for index := first; index < first+runs; index++ {
		id, now := run(index, 1), at(millis)
		fixture.list(clock(), now, now, nil)
		fixture.Order(ptruncontrol.Order{
			Run: id, Owner: owner, Demand: ptrun.Demand{CPU: 1000}, StartBy: now.Add(time.Second), WaitUntil: now.Add(40 * time.Millisecond), QueueKey: now,
			ExpectedRunTime: speedRunTime, Queue: queue,
		}, now)
		fixture.HandleStartResponse(id, clock(), nil, now)
		millis += int(slowdown * float64(speedRunTime.Milliseconds()))
		fixture.list(clock(), at(millis), at(millis), []ptrun.ListedEnd{{Sequence: ptrun.EndSequence(index + 1), End: ptrun.End{Run: id, Result: ptrun.Done}}})
		millis++
	}
	return millis
}

// A worker that is slow by nature must be reported with its speed, and as healthy, to every entry.
func TestSpeedIsLearnedAndForgottenWithTheIncarnation(test *testing.T) {
	fixture := newFixture(test)
	millis := fixture.playSpeedRuns("check", 0, 60, 1/0.55, 1)
	report := fixture.CapacityReport("another entry")
	fixture.expect.Expect(report.Speed.Speed).To(BeNumerically("~", 0.55, 0.05))
	fixture.expect.Expect(report.Assessment.Slowdown).To(BeNumerically("~", 1, 0.15))
	fixture.expect.Expect(report.Assessment.NeedsProbes()).To(BeFalse())
	fixture.HandleAnnouncement(ptrun.Worker{
		WorkerIdentity: ptrun.WorkerIdentity{ID: "next", StartedAt: time.UnixMilli(int64(10 + millis))}, Capacity: ptrun.Demand{CPU: 4000, Memory: 1000}, Sequence: 1,
	}, 1000, at(millis))
	fixture.expect.Expect(fixture.CapacityReport("another entry").Speed).To(Equal(ptspeed.Report{}))
}

// A worker that is slow for a while must not be taken for one that is slow by nature: its quarantine
// would end while it is slow, and it would count as slow afterwards.
func TestTemporarySlownessIsNotLearnedAsSpeed(test *testing.T) {
	fixture := newFixture(test)
	millis := fixture.playSpeedRuns("check", 0, 30, 1, 1)
	millis = fixture.playSpeedRuns("check", 30, 20, 7.5, millis)
	report := fixture.CapacityReport("entry")
	fixture.expect.Expect(report.Speed.Speed).To(BeNumerically(">", 0.9))
	fixture.expect.Expect(report.Assessment.Slowdown).To(BeNumerically(">", 5))
	fixture.playSpeedRuns("check", 50, 1, 1, millis+500)
	fixture.expect.Expect(fixture.CapacityReport("entry").Assessment.NeedsProbes()).To(BeFalse())
}

// An entry that does not use speeds names no queue, and its runs must not change the speed.
func TestRunsWithoutQueueDontCount(test *testing.T) {
	fixture := newFixture(test)
	fixture.playSpeedRuns("", 0, 30, 1/0.55, 1)
	report := fixture.CapacityReport("entry")
	fixture.expect.Expect(report.Speed).To(Equal(ptspeed.Report{}))
	fixture.expect.Expect(report.Assessment.Slowdown).To(BeNumerically(">", 1.5))
}
