package ptassign_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
)

// Callers get the delay in whole seconds. Jobs that are refused at the same time must not all get
// the same delay: their callers would return together and be refused again. No delay may be
// shorter than the forecast wait.
func TestRetriesOfRefusedJobsAreSpread(test *testing.T) {
	for name, refused := range map[string]func(fixture *fixture) []*ptassign.Refusal{
		"by the forecast": func(fixture *fixture) (refusals []*ptassign.Refusal) {
			for range 400 {
				if _, refusal, _ := fixture.submit(1, 100*time.Millisecond, at(0)); refusal != nil {
					fixture.expect.Expect(refusal.Reason).To(Equal(ptassign.ForecastTooLate))
					refusals = append(refusals, refusal)
				}
			}
			return refusals
		},
		"all agents are lost for good": func(fixture *fixture) (refusals []*ptassign.Refusal) {
			fixture.AgentDisconnected(agentName(0), at(0))
			fixture.AgentDisconnected(agentName(1), at(0))
			for range 200 {
				fixture.submit(1, 800*time.Millisecond, at(900))
			}
			for _, end := range ended(fixture.Tick(at(1100))) {
				fixture.expect.Expect(end.Refusal.Reason).To(Equal(ptassign.NoWorker))
				refusals = append(refusals, end.Refusal)
			}
			return refusals
		},
	} {
		test.Run(name, func(test *testing.T) {
			fixture := newFixture(test, 2)
			refusals := refused(fixture)
			fixture.expect.Expect(len(refusals)).To(BeNumerically(">=", 200))
			seconds := make(map[float64]int)
			for _, refusal := range refusals {
				fixture.expect.Expect(refusal.RetryAfter).To(BeNumerically(">=", max(time.Second, refusal.ForecastWait)))
				fixture.expect.Expect(refusal.RetryAfter).To(BeNumerically("<=", refusal.ForecastWait+8*time.Second))
				seconds[math.Ceil(refusal.RetryAfter.Seconds())]++
			}
			test.Log(seconds)
			for _, count := range seconds {
				fixture.expect.Expect(count).To(BeNumerically("<", len(refusals)*3/5))
			}
		})
	}
}
