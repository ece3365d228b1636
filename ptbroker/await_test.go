package ptbroker_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
)

// farDeadline is a deadline that no test reaches.
var farDeadline = ptid.NewClock().Now().Add(time.Hour)

// await calls AwaitDurable at one of the entries, and returns a channel that receives the
// resulting state.
func (system *system) await(index int, id string) (received chan ptgraph.State) {
	received = make(chan ptgraph.State, 1)
	go func() {
		if state, found, err := system.brokers[index].AwaitDurable(context.Background(), ptid.JobID(id), farDeadline); err == nil && found {
			received <- state
		}
	}()
	return received
}

// AwaitDurable must return as soon as the job ends, at the owner and at the other entry. A
// caller that polls instead would learn of the end late.
func TestCallersReceiveTheEndThatTheyWaitFor(test *testing.T) {
	system := newSystem(test, 2, 1)
	const id = "00000000000000a1"
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec(id, 2))).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(2))
	first, second := system.await(0, id), system.await(1, id)
	system.expect.Consistently(first).WithTimeout(300 * time.Millisecond).ShouldNot(Receive())
	system.expect.Expect(second).NotTo(Receive())
	system.endAll()
	// The caller at the owner and the caller at the other entry both receive the end.
	system.expect.Eventually(first).WithTimeout(conditionTimeout).Should(Receive(Equal(ptgraph.Completed)))
	system.expect.Eventually(second).WithTimeout(conditionTimeout).Should(Receive(Equal(ptgraph.Completed)))
}

// AwaitDurable returns immediately for scheduled jobs, for jobs that run until they are
// cancelled, and for unknown jobs.
func TestAwaitReturnsImmediatelyForJobsThatDoNotSelfTerminate(test *testing.T) {
	system := newSystem(test, 2, 1)
	scheduled, longRunning := durableSpec("00000000000000b1", 1), durableSpec("00000000000000b2", 1)
	scheduled.OccurrenceCount, scheduled.StartAt = 1, time.Now().Add(time.Hour)
	longRunning.Steps[0].LongRunning = true
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), scheduled)).To(Succeed())
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), longRunning)).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(1))
	for index := range system.brokers {
		system.expect.Eventually(system.await(index, string(scheduled.ID))).WithTimeout(conditionTimeout).Should(Receive(Equal(ptgraph.Pending)))
		system.expect.Eventually(system.await(index, string(longRunning.ID))).WithTimeout(conditionTimeout).Should(Receive(Equal(ptgraph.Running)))
		_, found, err := system.brokers[index].AwaitDurable(context.Background(), "00000000000000b3", farDeadline)
		system.expect.Expect(err).NotTo(HaveOccurred())
		system.expect.Expect(found).To(BeFalse())
	}
}

// A draining entry responds to waiting callers immediately.
func TestDrainingEntryRespondsToWaitingCallers(test *testing.T) {
	system := newSystem(test, 2, 1)
	const id = "00000000000000c1"
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec(id, 1))).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(1))
	received := system.await(0, id)
	system.expect.Consistently(received).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
	system.brokers[0].stop()
	var state ptgraph.State
	system.expect.Eventually(received).WithTimeout(conditionTimeout).Should(Receive(&state))
	system.expect.Expect(state.Ended()).To(BeFalse())
}
