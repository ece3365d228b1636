package ptbroker_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
)

// Guards against starting a cancelled job whose spec the log carries out after the cancellation. The
// cancellation has been acknowledged to its caller.
func TestJobWhoseSpecFollowsItsCancellationDoesNotStart(test *testing.T) {
	for name, scenario := range map[string]struct {
		occurrences int
		// The owner that has read the cancellation is replaced before the spec is written.
		replaced bool
	}{
		"a job that runs once":   {},
		"a timed job":            {occurrences: 3},
		"the next owner gets it": {replaced: true},
	} {
		test.Run(name, func(test *testing.T) {
			system := newSystem(test, 1, 1)
			const id = "00000000000000a1"
			system.expect.Expect(system.brokers[0].CancelDurable(context.Background(), ptid.JobID(id))).To(Succeed())
			time.Sleep(100 * time.Millisecond)
			broker := 0
			if scenario.replaced {
				system.brokers[0].stop()
				<-system.brokers[0].done
				system.startBroker(1)
				broker = 1
				system.expect.Eventually(system.brokers[1].Ready).WithTimeout(conditionTimeout).Should(BeTrue())
			}
			spec := durableSpec(id, 1)
			if scenario.occurrences > 0 {
				spec.OccurrenceCount, spec.StartAt, spec.Interval = scenario.occurrences, time.Now(), 50*time.Millisecond
			}
			system.expect.Expect(system.brokers[broker].SubmitDurable(context.Background(), spec)).To(Succeed())
			system.expect.Eventually(system.state(broker, id)).WithTimeout(conditionTimeout).Should(Equal("givenUp"))
			system.expect.Consistently(system.active).WithTimeout(time.Second).Should(BeZero())
			system.expect.Expect(system.starts(id, 1)).To(BeZero())
			system.expect.Eventually(system.store.RecordCount).WithTimeout(conditionTimeout).Should(BeZero(), "the records of the job")
		})
	}
}

// Guards against a log that is filled by cancellations of jobs that do not exist.
func TestCancellationOfAnUnknownJobIsDeletedAfterTheRetention(test *testing.T) {
	system := newSystem(test, 1, 1)
	cancelledAt := time.Now()
	for _, id := range []ptid.JobID{"00000000000000a1", "00000000000000a2"} {
		system.expect.Expect(system.brokers[0].CancelDurable(context.Background(), id)).To(Succeed())
	}
	system.expect.Expect(system.store.RecordCount()).To(Equal(2))
	system.expect.Eventually(system.store.RecordCount).WithTimeout(conditionTimeout).Should(BeZero())
	system.expect.Expect(time.Since(cancelledAt)).To(BeNumerically(">=", endedJobRetention))
}

// Guards against showing a cancelled job as pending while its owner does not respond.
func TestStateOfACancelledJobIsReadFromTheLog(test *testing.T) {
	system := newSystem(test, 0, 0)
	system.startBroker(0)
	const id = ptid.JobID("00000000000000a1")
	client := system.store.Client("caller")
	partition := ptjobstore.PartitionOf(id, client.Partitions())
	system.brokers[0].stop()
	<-system.brokers[0].done
	record, err := ptjobstore.Encode(durableSpec(string(id), 1))
	system.expect.Expect(err).NotTo(HaveOccurred())
	system.expect.Expect(client.Put(context.Background(), partition, ptjobstore.Record{Key: ptjobstore.SpecKey(id), Value: record})).To(Succeed())
	system.expect.Expect(system.state(0, string(id))()).To(Equal("pending"))
	system.expect.Expect(client.Put(context.Background(), partition, ptjobstore.Record{Key: ptjobstore.CancelKey(id), Value: []byte("{}")})).To(Succeed())
	system.expect.Expect(system.state(0, string(id))()).To(Equal("givenUp"))
}
