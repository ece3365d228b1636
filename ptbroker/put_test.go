package ptbroker_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptkept"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// putFault lets the puts of some clients fail.
func (system *system) putFault(faults map[string]error) {
	system.kept.SetFault(func(call ptstandin.JobStoreCall, client string) error {
		if call == ptstandin.JobStorePut {
			return faults[client]
		}
		return nil
	})
}

// knowEachOther lets both entries read who owns the partitions.
func (system *system) knowEachOther() {
	system.expect.Eventually(func() int {
		owners, err := system.kept.Owners(context.Background())
		system.expect.Expect(err).NotTo(HaveOccurred())
		members := make(map[string]bool)
		for _, member := range owners {
			members[member] = true
		}
		return len(members)
	}).WithTimeout(patience).Should(Equal(2))
	for index := range system.brokers {
		for partition := range system.kept.Partitions() {
			for number := 0; ; number++ {
				if id := ptid.JobID(fmt.Sprintf("%016x", number)); int(ptkept.PartitionOf(id, system.kept.Partitions())) == partition {
					system.expect.Expect(system.state(index, string(id))()).To(Equal("unknown"))
					break
				}
			}
		}
	}
}

// The load: one entry is cut from the log, or turned away by it, while another reaches it.
// Its callers' jobs and cancellations are kept all the same.
func TestAnotherEntryPutsWhatOneCannot(test *testing.T) {
	for name, fault := range map[string]error{"silent": ptkept.ErrUnanswered, "turned away": ptkept.ErrRefused} {
		test.Run(name, func(test *testing.T) {
			system := newSystem(test, 2, 1)
			system.knowEachOther()
			system.putFault(map[string]error{"entry0": fault})
			const id = "00000000000000a1"
			system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), keptSpec(id, 2))).To(Succeed())
			system.expect.Eventually(system.active).WithTimeout(patience).Should(Equal(2))
			system.expect.Expect(system.brokers[0].CancelDurable(context.Background(), id)).To(Succeed())
			system.expect.Eventually(system.active).WithTimeout(patience).Should(BeZero())
			system.expect.Expect(system.starts(id, 2)).To(Equal(1))
		})
	}
}

// A job that was refused never runs: it is refused only where no try may yet be carried out.
func TestAPutIsRefusedOnlyWhereNoTryMayBeCarriedOut(test *testing.T) {
	for _, tries := range []struct{ own, other, want error }{
		{own: ptkept.ErrRefused, other: ptkept.ErrRefused, want: ptkept.ErrRefused},
		{own: ptkept.ErrRefused, other: ptkept.ErrUnanswered, want: ptkept.ErrUnanswered},
		{own: ptkept.ErrUnanswered, other: ptkept.ErrRefused, want: ptkept.ErrUnanswered},
		{own: ptkept.ErrUnanswered, other: ptkept.ErrUnanswered, want: ptkept.ErrUnanswered},
	} {
		test.Run(fmt.Sprintf("%s, %s", tries.own, tries.other), func(test *testing.T) {
			system := newSystem(test, 2, 1)
			system.knowEachOther()
			system.putFault(map[string]error{"entry0": tries.own, "entry1": tries.other})
			system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), keptSpec("00000000000000b1", 1))).To(MatchError(tries.want))
		})
	}
}
