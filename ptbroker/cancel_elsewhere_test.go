package ptbroker_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// Guards against an acknowledged cancellation that nothing follows: a best-effort job is known to the
// entry at which its caller waits, and to no other.
func TestBestEffortJobIsCancelledAtAnotherEntry(test *testing.T) {
	system := newSystem(test, 3, 1)
	spec := graph("00000000000000a1", 1)
	spec.Steps = append(spec.Steps, ptgraph.Step{Count: 1, Demand: ptrun.Demand{CPU: 1000}, After: []ptrun.StepIndex{0}})
	handle, refusal, err := system.brokers[0].Submit(ptassign.Spec{Spec: spec, Queue: queue, Deadline: ptid.Never}, &ptstandin.Caller{})
	system.expect.Expect(err).NotTo(HaveOccurred())
	system.expect.Expect(refusal).To(BeNil())
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(1))
	system.expect.Eventually(func() int {
		owners, err := system.store.Owners(context.Background())
		system.expect.Expect(err).NotTo(HaveOccurred())
		members := make(map[string]bool)
		for _, member := range owners {
			members[member] = true
		}
		return len(members)
	}).WithTimeout(conditionTimeout).Should(Equal(3))
	system.expect.Expect(system.brokers[1].CancelJob(context.Background(), spec.ID)).To(Succeed())
	system.expect.Eventually(handle.Done()).WithTimeout(conditionTimeout).Should(BeClosed())
	system.expect.Expect(handle.Outcome().State).To(Equal(ptgraph.GivenUp))
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(BeZero())
}

func TestCancellationIsNotAcknowledgedWhileAnEntryThatMayHaveTheJobIsUnreachable(test *testing.T) {
	system := newSystem(test, 1, 1)
	client := system.store.Client("unreachable")
	_, err := client.Join(context.Background(), "127.0.0.1:1/a", 0, conditionTimeout)
	system.expect.Expect(err).NotTo(HaveOccurred())
	unknown, known := ptid.JobID("00000000000000a1"), ptid.JobID("00000000000000a2")
	system.expect.Expect(system.brokers[0].CancelJob(context.Background(), unknown)).NotTo(Succeed())
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec(string(known), 1))).To(Succeed())
	system.expect.Expect(system.brokers[0].CancelJob(context.Background(), known)).To(Succeed(), "a durable job")
	_ = client.Leave(context.Background(), "127.0.0.1:1/a")
	system.expect.Eventually(func() error { return system.brokers[0].CancelJob(context.Background(), unknown) }).WithTimeout(conditionTimeout).Should(Succeed())
}
