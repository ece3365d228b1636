package ptruncontrol_test

import (
	"testing"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"

	. "github.com/onsi/gomega"
)

func TestRejectedEndIsNotAcknowledgedBeforeTheLeaseHasExpired(test *testing.T) {
	fixture := newFixture(test)
	durable := run(0, ptjobstore.RunNumberBase(4)+1)
	fixture.Order(ptruncontrol.Order{Run: durable, Owner: owner, Demand: ptrun.Demand{CPU: 10}, StartBy: at(50), WaitUntil: at(50), Epoch: 4, Partition: 2}, at(1))
	fixture.HandleStartResponse(durable, 1001, nil, at(2))
	granted := fixture.LeaseRenewal(at(5)).ExpiresAt
	done := []ptrun.ListedEnd{{Sequence: 1, End: ptrun.End{Run: durable, Result: ptrun.Done}}}
	fixture.list(1009, at(8), at(9), done)
	fixture.RejectEnd(durable)
	fixture.AcknowledgeEnd(durable)
	acknowledgedAt := ptid.Never
	for millis := 10; millis < 1500 && acknowledgedAt == ptid.Never; millis += 10 {
		renewal := fixture.LeaseRenewal(at(millis))
		if renewal.Acknowledged > 0 {
			acknowledgedAt = at(millis)
			continue
		}
		fixture.expect.Expect(renewal.ExpiresAt).To(BeZero(), "renewed after %d ms", millis)
		fixture.expect.Expect(starts(fixture.order(run(millis, 1), 100, at(millis)))).To(BeEmpty(), "a start extends the lease")
		fixture.list(1000+ptrun.WorkerTime(millis), at(millis-1), at(millis), done)
		fixture.Tick(at(millis + 5))
	}
	// The worker's clock may be 2 % slow.
	fixture.expect.Expect(acknowledgedAt).To(BeNumerically(">", at(int(granted)-1000)))
	fixture.expect.Expect(acknowledgedAt).To(BeNumerically("<", at(1000)))
	fixture.expect.Expect(starts(fixture.order(run(1, 1), 100, at(1500)))).To(HaveLen(1))
}
