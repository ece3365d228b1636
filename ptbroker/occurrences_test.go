package ptbroker_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestJobWithManyOccurrencesAtOnceDoesNotStopItsOwner(test *testing.T) {
	system := newSystem(test, 1, 1)
	system.workers[0].RunTime = time.Millisecond
	many := durableSpec("00000000000000f1", 5)
	many.OccurrenceCount, many.StartAt, many.Priority = 300_000, time.Now(), 9
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), many)).To(Succeed())
	system.expect.Eventually(system.state(0, "00000000000000f1")).WithTimeout(conditionTimeout).ShouldNot(Equal("unknown"))
	urgent := durableSpec("00000000000000f2", 1)
	system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), urgent)).To(Succeed())
	system.expect.Eventually(system.state(0, "00000000000000f2")).WithTimeout(conditionTimeout).Should(Equal("completed"))
}
