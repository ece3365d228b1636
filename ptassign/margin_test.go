package ptassign_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptrun"
)

// Ten workers are busy with runs of 100 ms, so that a task becomes free every 10 ms. A job of
// 100 ms can start within 105 ms. Jobs that would start at the last moment must be refused, since
// they are late if only one of their tasks takes longer than expected. The test guards against
// their admission: at twice the load of customer H they used 10 % of the capacity.
func TestJobsAreNotAdmittedToTheLastMoment(test *testing.T) {
	const workers = 10
	fixture := newFixture(test, workers)
	for range workers {
		_, refusal, effects := fixture.submit(1, 100*time.Millisecond, at(0))
		fixture.expect.Expect(refusal).To(BeNil(), "a job that needn't wait needs no margin")
		fixture.expect.Expect(orders(effects)).To(HaveLen(1))
	}
	longest := time.Duration(0)
	for {
		_, refusal, _ := fixture.submit(1, 100*time.Millisecond, at(0))
		if refusal != nil {
			fixture.expect.Expect(refusal.ForecastWait).To(BeNumerically("~", longest+10*time.Millisecond, time.Microsecond))
			fixture.expect.Expect(refusal.Capacity.FreedPerSecond).To(Equal(ptrun.MillicoresPerSecond(100_000)))
			break
		}
		longest += 10 * time.Millisecond
	}
	fixture.expect.Expect(longest).To(Equal(80*time.Millisecond), "the slack less a quarter of the run time")
}
