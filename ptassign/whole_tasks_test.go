package ptassign_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// Nine workers each have a remainder of half a task, and a tenth worker is full. The remainders
// add up to four and a half tasks, but no task can be placed. The test guards against a
// forecast that counts the sum as free: it admitted ten jobs, of which half were late.
func TestForecastCountsFreeCapacityInWholeTasks(test *testing.T) {
	const workers = 10
	fixture := newFixture(test, workers)
	_, _, effects := fixture.submit(1, 100*time.Millisecond, at(0))
	sent := orders(effects)
	fixture.expect.Expect(sent).To(HaveLen(1))
	for index := range workers {
		if agentName(index) != sent[0].Agent {
			fixture.report(index, ptassign.AgentState{Held: ptrun.Demand{CPU: 500}})
		}
	}
	admitted := 0
	for {
		_, refusal, effects := fixture.submit(1, 100*time.Millisecond, at(1))
		if refusal != nil {
			fixture.expect.Expect(refusal.Reason).To(Equal(ptassign.ForecastTooLate))
			fixture.expect.Expect(refusal.Capacity.Free).To(BeZero())
			break
		}
		admitted++
		fixture.expect.Expect(orders(effects)).To(BeEmpty())
	}
	// 5,500 millicores become free every 100 ms, and a job can wait for 104 ms.
	fixture.expect.Expect(admitted).To(Equal(5))
}
