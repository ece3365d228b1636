package ptbroker_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// failPuts makes the puts of some clients fail.
func (system *system) failPuts(faults map[string]error) {
	system.store.SetFault(func(call ptstandin.JobStoreCall, client string) error {
		if call == ptstandin.JobStorePut {
			return faults[client]
		}
		return nil
	})
}

// cacheOwners makes both entries read the list of partition owners.
func (system *system) cacheOwners() {
	system.expect.Eventually(func() int {
		owners, err := system.store.Owners(context.Background())
		system.expect.Expect(err).NotTo(HaveOccurred())
		members := make(map[string]bool)
		for _, member := range owners {
			members[member] = true
		}
		return len(members)
	}).WithTimeout(conditionTimeout).Should(Equal(2))
	for index := range system.brokers {
		for partition := range system.store.Partitions() {
			for number := 0; ; number++ {
				if id := ptid.JobID(fmt.Sprintf("%016x", number)); int(ptjobstore.PartitionOf(id, system.store.Partitions())) == partition {
					system.expect.Expect(system.state(index, string(id))()).To(Equal("unknown"))
					break
				}
			}
		}
	}
}

// One entry cannot reach the log, or is refused by it, while another entry can reach it. The
// jobs and cancellations of its callers must still be written.
func TestPutFallsBackToAnotherEntry(test *testing.T) {
	for name, fault := range map[string]error{"silent": ptjobstore.ErrUnanswered, "refused by log": ptjobstore.ErrRefused} {
		test.Run(name, func(test *testing.T) {
			system := newSystem(test, 2, 1)
			system.cacheOwners()
			system.failPuts(map[string]error{"entry0": fault})
			const id = "00000000000000a1"
			system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec(id, 2))).To(Succeed())
			system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(2))
			system.expect.Expect(system.brokers[0].CancelDurable(context.Background(), id)).To(Succeed())
			system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(BeZero())
			system.expect.Expect(system.starts(id, 2)).To(Equal(1))
		})
	}
}

// A refused job must never run. A put is therefore refused only if every attempt was refused: an
// attempt without a response may still be carried out.
func TestPutIsRefusedOnlyIfNoAttemptCanBeCarriedOut(test *testing.T) {
	for _, attempts := range []struct{ own, other, want error }{
		{own: ptjobstore.ErrRefused, other: ptjobstore.ErrRefused, want: ptjobstore.ErrRefused},
		{own: ptjobstore.ErrRefused, other: ptjobstore.ErrUnanswered, want: ptjobstore.ErrUnanswered},
		{own: ptjobstore.ErrUnanswered, other: ptjobstore.ErrRefused, want: ptjobstore.ErrUnanswered},
		{own: ptjobstore.ErrUnanswered, other: ptjobstore.ErrUnanswered, want: ptjobstore.ErrUnanswered},
	} {
		test.Run(fmt.Sprintf("%s, %s", attempts.own, attempts.other), func(test *testing.T) {
			system := newSystem(test, 2, 1)
			system.cacheOwners()
			system.failPuts(map[string]error{"entry0": attempts.own, "entry1": attempts.other})
			system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec("00000000000000b1", 1))).To(MatchError(attempts.want))
		})
	}
}
