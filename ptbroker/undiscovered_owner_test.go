package ptbroker_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// An agent cannot reach the log and does not learn of an entry that is added. The entry becomes
// the owner of partitions whose runs this agent has, while the earlier owner is alive.
func TestLaterOwnerThatAnAgentDoesNotKnowStartsNoTaskTwice(test *testing.T) {
	system := newSystem(test, 0, 0)
	system.startBroker(0)
	earlier := system.addresses[0]
	system.startAgentThatKnows(0, func() []string { return []string{earlier} })
	const jobs = 4
	for index := range jobs {
		system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec(fmt.Sprintf("%016x", index+1), 1))).To(Succeed())
	}
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(jobs))
	system.startBroker(1)
	system.startAgent(1)
	system.expect.Consistently(func() (most int) {
		for index := range jobs {
			active := 0
			for _, worker := range system.workers {
				for _, run := range worker.ActiveRuns() {
					if run.Task == (ptrun.TaskID{Job: ptid.JobID(fmt.Sprintf("%016x", index+1))}) {
						active++
					}
				}
			}
			most = max(most, active)
		}
		return most
	}).WithTimeout(8*time.Second).Should(BeNumerically("<=", 1), "active runs of one task")
}
