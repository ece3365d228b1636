package ptruncontrol_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

// crashes returns the reported crashes of the worker.
func crashes(effects []ptruncontrol.Effect) (reported []ptruncontrol.WorkerCrashed) {
	for _, effect := range effects {
		if crash, ok := effect.(ptruncontrol.WorkerCrashed); ok {
			reported = append(reported, crash)
		}
	}
	return reported
}

// newFixtureWithLostRuns returns a fixture with two runs that were declared lost after a last listing
// at 110 ms.
func newFixtureWithLostRuns(test *testing.T) *fixture {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 1000, at(10))
	fixture.HandleStartResponse(run(0, 1), 1011, nil, at(11))
	fixture.order(run(1, 1), 1000, at(100))
	fixture.HandleStartResponse(run(1, 1), 1101, nil, at(101))
	fixture.list(1109, at(109), at(110), nil, run(0, 1), run(1, 1))
	for millis := 130; millis <= 1600; millis += 20 {
		fixture.HandleListFailure(ptrun.ErrNotListening, at(millis), at(millis))
	}
	waiting, holding := fixture.RunCounts()
	fixture.expect.Expect(waiting + holding).To(BeZero())
	return fixture
}

func nextWorker() ptrun.Worker {
	return ptrun.Worker{
		WorkerIdentity: ptrun.WorkerIdentity{ID: "next", StartedAt: time.UnixMilli(4000)}, Capacity: ptrun.Demand{CPU: 4000, Memory: 1000}, Sequence: 1,
	}
}

func TestCrashOfWorkerIsReportedWithItsLostRuns(test *testing.T) {
	fixture := newFixtureWithLostRuns(test)
	reported := crashes(fixture.HandleAnnouncement(nextWorker(), 1, at(4000)))
	fixture.expect.Expect(reported).To(HaveLen(1))
	fixture.expect.Expect(reported[0].Runs).To(Equal([]ptruncontrol.LostRun{
		{Run: run(1, 1), RunTime: 10 * time.Millisecond, Confirmed: true}, {Run: run(0, 1), RunTime: 100 * time.Millisecond, Confirmed: true},
	}))
}

func TestSilentWorkerThatRespondsAgainHasNotCrashed(test *testing.T) {
	fixture := newFixtureWithLostRuns(test)
	effects := fixture.list(3000, at(2000), at(2001), nil)
	fixture.expect.Expect(effects).To(ContainElement(BeAssignableToTypeOf(ptruncontrol.WorkerResumed{})))
	fixture.expect.Expect(crashes(fixture.HandleAnnouncement(nextWorker(), 1, at(4000)))).To(BeEmpty())
}

func TestWorkerThatAnnouncedItsEndHasNotCrashed(test *testing.T) {
	fixture := newFixture(test)
	fixture.order(run(0, 1), 1000, at(10))
	fixture.HandleStartResponse(run(0, 1), 1011, nil, at(11))
	worker, _ := fixture.Worker()
	worker.Draining, worker.Sequence = true, 2
	fixture.HandleAnnouncement(worker, 1020, at(20))
	fixture.expect.Expect(crashes(fixture.HandleAnnouncement(nextWorker(), 1, at(4000)))).To(BeEmpty())
}

func TestCrashDoesNotCountForRunsThatMayNotHaveStarted(test *testing.T) {
	fixture := newFixture(test)
	fixture.isolate(0, 1)
	fixture.HandleStartResponse(durableRun(0), 0, ptrun.ErrUnanswered, at(26))
	fixture.fall(40, 3000)
	ends := sentEnds(fixture.HandleAnnouncement(nextWorker(), 1, at(3500)))
	fixture.expect.Expect(ends).To(HaveLen(1))
	fixture.expect.Expect(ends[0].Reason).To(Equal(ptrun.ReasonLeaseExpired))
}
