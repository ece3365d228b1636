package ptbroker_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
)

// later is an instant that no test waits for.
var later = ptid.NewClock().Now().Add(time.Hour)

// asks returns what a caller of an entry hears that waits for the end of a job.
func (system *system) asks(index int, id string) (heard chan ptgraph.State) {
	heard = make(chan ptgraph.State, 1)
	go func() {
		if state, found, err := system.brokers[index].AwaitDurable(context.Background(), ptid.JobID(id), later); err == nil && found {
			heard <- state
		}
	}()
	return heard
}

// A caller that asks now and then would hear of an end long after it.
func TestCallersHearOfTheEndThatTheyWaitFor(test *testing.T) {
	system := newSystem(test, 2, 1)
	const id = "00000000000000a1"
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), keptSpec(id, 2))).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(patience).Should(Equal(2))
	first, second := system.asks(0, id), system.asks(1, id)
	system.expect.Consistently(first).WithTimeout(300 * time.Millisecond).ShouldNot(Receive())
	system.expect.Expect(second).NotTo(Receive())
	system.endAll()
	// Both hear of it, that of the owner and that of the other entry.
	system.expect.Eventually(first).WithTimeout(patience).Should(Receive(Equal(ptgraph.Completed)))
	system.expect.Eventually(second).WithTimeout(patience).Should(Receive(Equal(ptgraph.Completed)))
}

// Nobody waits for what ends at a set time, or when it is cancelled, or was never there.
func TestOnlyEndsThatComeSoonAreWaitedFor(test *testing.T) {
	system := newSystem(test, 2, 1)
	timed, lasting := keptSpec("00000000000000b1", 1), keptSpec("00000000000000b2", 1)
	timed.OccurrenceCount, timed.StartAt = 1, time.Now().Add(time.Hour)
	lasting.Steps[0].LongRunning = true
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), timed)).To(Succeed())
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), lasting)).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(patience).Should(Equal(1))
	for index := range system.brokers {
		system.expect.Eventually(system.asks(index, string(timed.ID))).WithTimeout(patience).Should(Receive(Equal(ptgraph.Pending)))
		system.expect.Eventually(system.asks(index, string(lasting.ID))).WithTimeout(patience).Should(Receive(Equal(ptgraph.Running)))
		_, found, err := system.brokers[index].AwaitDurable(context.Background(), "00000000000000b3", later)
		system.expect.Expect(err).NotTo(HaveOccurred())
		system.expect.Expect(found).To(BeFalse())
	}
}

// An entry that leaves answers what it is asked at once.
func TestALeavingEntryLetsNobodyWait(test *testing.T) {
	system := newSystem(test, 2, 1)
	const id = "00000000000000c1"
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), keptSpec(id, 1))).To(Succeed())
	system.expect.Eventually(system.active).WithTimeout(patience).Should(Equal(1))
	heard := system.asks(0, id)
	system.expect.Consistently(heard).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
	system.brokers[0].stop()
	var state ptgraph.State
	system.expect.Eventually(heard).WithTimeout(patience).Should(Receive(&state))
	system.expect.Expect(state.Ended()).To(BeFalse())
}
