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
