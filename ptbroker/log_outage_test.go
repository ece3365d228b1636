package ptbroker_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

func TestOwnerWhoseMembershipMayHaveExpiredStartsNoRun(test *testing.T) {
	system := newSystem(test, 1, 1)
	const id = "00000000000000a1"
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec(id, 1))).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(1))
	system.store.SetFault(func(ptstandin.JobStoreCall, string) error { return ptjobstore.ErrUnanswered })
	// Another entry may own the partition after 1.5 s.
	time.Sleep(1600 * time.Millisecond)
	system.workers[0].EndRun(system.workers[0].ActiveRuns()[0], ptrun.Failed)
	system.expect.Consistently(func() int { return system.starts(id, 1) }).WithTimeout(time.Second).Should(Equal(1))
	system.store.SetFault(nil)
	system.expect.Eventually(func() int { return system.starts(id, 1) }).WithTimeout(conditionTimeout).Should(Equal(2))
}
