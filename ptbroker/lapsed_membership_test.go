package ptbroker

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
)

func TestPartitionThatAnotherEntryMayHaveOwnedIsAcquiredAnew(test *testing.T) {
	for name, scenario := range map[string]struct {
		lapsed        bool
		next, current ptjobstore.Epoch
	}{
		"the membership may have expired":                        {lapsed: true, next: 3, current: 3},
		"the membership was renewed in time":                     {next: 3, current: 1},
		"no partition was assigned since the membership expired": {lapsed: true, next: 1, current: 1},
	} {
		expect := NewWithT(test)
		broker, _, _ := newRecoveringBroker(nil)
		clear(broker.ownership.partitions)
		assign := func(epoch ptjobstore.Epoch, requestedAt ptid.Instant) {
			broker.applyAssignment(test.Context(), ptjobstore.Membership{Epoch: epoch, Partitions: []ptjobstore.Partition{0}}, requestedAt)
		}
		requestedAt := broker.deps.Clock.Now()
		if scenario.lapsed {
			requestedAt = requestedAt.Add(-membershipTTL)
		}
		assign(1, requestedAt)
		assign(scenario.next, broker.deps.Clock.Now())
		broker.mu.Lock()
		expect.Expect(broker.ownership.partitions[0].epoch).To(Equal(scenario.current), name)
		broker.mu.Unlock()
	}
}
