package ptbroker_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// While the log does not respond, the agent repeats the end of a failed run whose task waits for
// capacity. The job has three attempts and may use up only one.
func TestRepeatedEndOfFailedRunDoesNotFailItsJob(test *testing.T) {
	system := newSystem(test, 1, 1)
	spec := func(id string, priority int) ptjobstore.Spec {
		spec := durableSpec(id, 1)
		spec.Steps[0].Demand = ptrun.Demand{CPU: 4000}
		spec.Priority = priority
		return spec
	}
	const failing, waiting = "00000000000000a1", "00000000000000a2"
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), spec(failing, 5))).To(Succeed())
	worker := system.workers[0]
	system.expect.Eventually(worker.ActiveRuns).WithTimeout(conditionTimeout).Should(HaveLen(1))
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), spec(waiting, 0))).To(Succeed())
	time.Sleep(200 * time.Millisecond)
	system.store.SetFault(func(call ptstandin.JobStoreCall, _ string) error {
		if call == ptstandin.JobStoreSave {
			return ptjobstore.ErrUnanswered
		}
		return nil
	})
	worker.EndRun(worker.ActiveRuns()[0], ptrun.Failed)
	system.expect.Eventually(func() (jobs []ptid.JobID) {
		for _, run := range worker.ActiveRuns() {
			jobs = append(jobs, run.Task.Job)
		}
		return jobs
	}).WithTimeout(conditionTimeout).Should(ConsistOf(ptid.JobID(waiting)))
	time.Sleep(2 * time.Second)
	system.store.SetFault(nil)
	system.expect.Eventually(worker.AllEndsAcknowledged).WithTimeout(conditionTimeout).Should(BeTrue())
	system.expect.Expect(system.state(0, failing)()).NotTo(Equal("failed"))
	worker.EndRun(worker.ActiveRuns()[0], ptrun.Done)
	system.expect.Eventually(worker.ActiveRuns).WithTimeout(conditionTimeout).Should(HaveLen(1))
	worker.EndRun(worker.ActiveRuns()[0], ptrun.Done)
	system.expect.Eventually(system.state(0, failing)).WithTimeout(conditionTimeout).Should(Equal("completed"))
}
