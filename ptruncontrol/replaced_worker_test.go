package ptruncontrol_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

func TestSilenceOfPreviousWorkerDoesNotCountForItsSuccessor(test *testing.T) {
	fixture := newFixture(test)
	for millis := 100; millis < 5000; millis += 100 {
		fixture.HandleListFailure(ptrun.ErrUnanswered, at(millis-100), at(millis))
	}
	next := sameWorker(1)
	next.ID, next.StartedAt = "next", time.UnixMilli(9)
	fixture.HandleAnnouncement(next, 100, at(5000))
	fixture.expect.Expect(starts(fixture.order(run(0, 1), 1000, at(5001)))).To(HaveLen(1))
	fixture.HandleStartResponse(run(0, 1), 102, nil, at(5002))
	lostAt := 0
	for millis := 5100; millis < 10000 && lostAt == 0; millis += 100 {
		fixture.LeaseRenewal(at(millis - 100))
		if len(sentEnds(fixture.HandleListFailure(ptrun.ErrUnanswered, at(millis-100), at(millis)))) > 0 {
			lostAt = millis
		}
	}
	fixture.expect.Expect(lostAt).To(BeNumerically(">", 5000+milliseconds(ptruncontrol.SilentWorkerTimeout)))
}

// The wall clock of a worker's machine may be set back before the worker starts again.
func TestSuccessorWithAnEarlierStartTimeIsUsed(test *testing.T) {
	for name, id := range map[string]ptrun.WorkerID{"same ID": "worker", "other ID": "next"} {
		fixture := newFixtureWithRun(test)
		next := sameWorker(1)
		next.ID, next.StartedAt = id, time.UnixMilli(2)
		restarted := ptrun.Listing{WorkerStartedAt: next.StartedAt, Clock: 1}
		var ends []ptrun.End
		for millis := 100; millis < 5000; millis += 100 {
			restarted.Clock += 100
			switch listed, known := fixture.WorkerToList(); {
			case !known:
			case listed.ID != id:
				fixture.HandleWorkerGone(listed, at(millis))
			default:
				ends = append(ends, sentEnds(fixture.HandleListing(restarted, at(millis-1), at(millis)))...)
			}
			next.Sequence++
			ends = append(ends, sentEnds(fixture.HandleAnnouncement(next, restarted.Clock, at(millis+1)))...)
		}
		fixture.expect.Expect(ends).To(HaveLen(1), name)
		fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.Lost), name)
		fixture.expect.Expect(starts(fixture.order(run(1, 1), 4000, at(5000)))).To(HaveLen(1), name)
	}
}

func TestLateListingOfPreviousIncarnationIsIgnored(test *testing.T) {
	fixture := newFixture(test)
	fixture.HandleListing(restartedListing(2), at(11), at(12))
	fixture.list(1020, at(10), at(13), nil)
	listed, _ := fixture.WorkerToList()
	fixture.expect.Expect(listed).To(Equal(restartedWorker().WorkerIdentity))
}

// Only a listing shows whether the runs that were declared lost have ended.
func TestNothingStartsOnASilentWorkerThatAnnouncesItself(test *testing.T) {
	fixture := newFixtureWithRun(test)
	lost := 0
	for millis := 60; millis < 4000; millis += 60 {
		fixture.LeaseRenewal(at(millis - 50))
		lost += len(sentEnds(fixture.HandleListFailure(ptrun.ErrUnanswered, at(millis-50), at(millis))))
	}
	fixture.expect.Expect(lost).To(Equal(1))
	fixture.HandleAnnouncement(sameWorker(2), 5000, at(4001))
	fixture.expect.Expect(starts(fixture.order(run(1, 1), 3000, at(4002)))).To(BeEmpty())
	fixture.expect.Expect(fixture.CapacityReport(owner.Entry).Unusable).To(BeTrue())
	fixture.listedAfterLapse(5010, 4010)
	fixture.Tick(at(4498))
	fixture.list(5500, at(4499), at(4500), nil)
	fixture.expect.Expect(starts(fixture.order(run(2, 1), 3000, at(4501)))).To(HaveLen(1))
}

func TestEntryThatAskedForListedRunIsToldThatItsWorkerHasVanished(test *testing.T) {
	for name, vanish := range map[string]func(fixture *fixture, millis int) []ptruncontrol.Effect{
		"no listener": func(fixture *fixture, millis int) []ptruncontrol.Effect {
			return fixture.HandleListFailure(ptrun.ErrNotListening, at(millis-50), at(millis))
		},
		"no response": func(fixture *fixture, millis int) []ptruncontrol.Effect {
			return fixture.HandleListFailure(ptrun.ErrUnanswered, at(millis-50), at(millis))
		},
		"other worker": func(fixture *fixture, millis int) []ptruncontrol.Effect {
			return append(fixture.HandleWorkerGone(sameWorker(1).WorkerIdentity, at(millis)), fixture.Tick(at(millis))...)
		},
	} {
		fixture := newFixture(test)
		fixture.list(1010, at(9), at(10), nil, run(0, 1))
		fixture.expect.Expect(sentEnds(fixture.QueryRun(owner, run(0, 1), at(11)))).To(BeEmpty(), name)
		var ends []ptrun.End
		for millis := 100; millis < 5000; millis += 100 {
			ends = append(ends, sentEnds(vanish(fixture, millis))...)
			if millis < 900 {
				fixture.expect.Expect(ends).To(BeEmpty(), "%s: the lease runs", name)
			}
		}
		fixture.expect.Expect(ends).To(HaveLen(1), name)
		fixture.expect.Expect(ends[0].Result).To(Equal(ptrun.Lost), name)
	}
}
