package ptintake_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptintake"
)

const (
	second = ptid.Instant(time.Second)
	grace  = 250 * time.Millisecond
)

func newGate(total int64, limit int) (*ptintake.Intake, *ptintake.Gate) {
	intake := ptintake.New(ptintake.NewBudget(total), grace)
	return intake, intake.NewGate(limit)
}

func admit(expect *WithT, gate *ptintake.Gate, now ptid.Instant) *ptintake.Client {
	client, victim := gate.Admit(now, func() {})
	expect.Expect(client).NotTo(BeNil())
	expect.Expect(victim).To(BeNil())
	return client
}

// A full gate must not keep out new clients for as long as slow ones stay.
func TestSlowestClientLosesItsPlaceAtAFullGate(test *testing.T) {
	expect := NewWithT(test)
	_, gate := newGate(1000, 3)
	first, other, third := admit(expect, gate, second), admit(expect, gate, second+1), admit(expect, gate, second+2)
	early, victim := gate.Admit(second+ptid.Instant(grace), func() {})
	expect.Expect(early).To(BeNil(), "all are within their grace time")
	expect.Expect(victim).To(BeNil())
	first.Enter(ptintake.Serving, second)
	third.Enter(ptintake.Responding, second)
	next, victim := gate.Admit(2*second, func() {})
	expect.Expect(next).NotTo(BeNil())
	expect.Expect(victim).To(BeIdenticalTo(third), "the process has waited for it longest")
	next.Enter(ptintake.Serving, 2*second)
	_, victim = gate.Admit(2*second+1, func() {})
	expect.Expect(victim).To(BeIdenticalTo(other))
	expect.Expect(gate.Len()).To(Equal(3))
}

// A connection whose job runs must not be closed, whatever comes.
func TestServedClientsKeepTheirPlaces(test *testing.T) {
	expect := NewWithT(test)
	intake, gate := newGate(1000, 2)
	for range 2 {
		client := admit(expect, gate, second)
		expect.Expect(client.Reserve(10)).To(BeTrue())
		client.Enter(ptintake.Serving, second)
	}
	client, victim := gate.Admit(100*second, func() {})
	expect.Expect(client).To(BeNil())
	expect.Expect(victim).To(BeNil())
	expect.Expect(intake.EvictHolder(100 * second)).To(BeNil())
	expect.Expect(gate.Evict(100 * second)).To(BeNil())
}

// Callers keep idle connections; they must lose them only if no slow client is left.
func TestIdleClientsAreTakenLast(test *testing.T) {
	expect := NewWithT(test)
	_, gate := newGate(1000, 2)
	idle, slow := admit(expect, gate, second), admit(expect, gate, second)
	idle.Enter(ptintake.Idle, second)
	slow.Enter(ptintake.Receiving, 2*second)
	_, victim := gate.Admit(3*second, func() {})
	expect.Expect(victim).To(BeIdenticalTo(slow))
	_, victim = gate.Admit(3*second, func() {})
	expect.Expect(victim).To(BeIdenticalTo(idle))
}

// The budget must be complete again when its holders are gone, in whatever order they end.
func TestBudgetIsReturnedByClosedClients(test *testing.T) {
	expect := NewWithT(test)
	intake, gate := newGate(1000, 4)
	client := admit(expect, gate, second)
	expect.Expect(client.Reserve(400)).To(BeTrue())
	expect.Expect(client.Reserve(400)).To(BeTrue())
	expect.Expect(client.Reserve(400)).To(BeFalse())
	client.Release(300)
	expect.Expect(intake.Budget().Used()).To(Equal(int64(500)))
	gate.Leave(client)
	gate.Leave(client)
	client.Release(500)
	expect.Expect(intake.Budget().Used()).To(BeZero())
	expect.Expect(client.Reserve(1)).To(BeFalse(), "a client that has left holds nothing")
	expect.Expect(intake.Budget().Used()).To(BeZero())
}

// A crowd of large bodies must leave room for small requests.
func TestLastPartOfTheBudgetIsForSmallRequests(test *testing.T) {
	expect := NewWithT(test)
	const total = 16 << 20
	intake, gate := newGate(total, 100)
	large := 0
	for client := admit(expect, gate, second); client.Reserve(262_144); client = admit(expect, gate, second) {
		large++
	}
	expect.Expect(large).To(Equal(total / 8 * 7 / 262_144))
	expect.Expect(admit(expect, gate, second).Reserve(ptintake.SmallRequest)).To(BeTrue())
	expect.Expect(intake.EvictHolder(second)).To(BeNil(), "all are within their grace time")
	victim := intake.EvictHolder(2 * second)
	expect.Expect(victim).NotTo(BeNil())
	expect.Expect(intake.Budget().Used()).To(Equal(int64((large-1)*262_144 + ptintake.SmallRequest)))
}

// The limits must hold after any sequence of events, and the budget must be exact.
func TestLimitsHoldForAnySequence(test *testing.T) {
	rapid.Check(test, func(check *rapid.T) {
		expect := NewWithT(check)
		const total, limit = 1 << 20, 5
		intake, gate := newGate(total, limit)
		now, held := second, map[*ptintake.Client]int64{}
		forget := func(client *ptintake.Client) {
			if client != nil {
				expect.Expect(client.Phase()).NotTo(Equal(ptintake.Serving))
				delete(held, client)
			}
		}
		for range rapid.IntRange(1, 60).Draw(check, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(check, "ms")) * time.Millisecond)
			var chosen *ptintake.Client
			for client := range held {
				chosen = client
				break
			}
			switch event := rapid.IntRange(0, 6).Draw(check, "event"); {
			case event <= 1:
				client, victim := gate.Admit(now, func() {})
				forget(victim)
				if client != nil {
					held[client] = 0
				}
			case event == 6:
				forget(intake.EvictHolder(now))
			case chosen == nil:
			case event == 2:
				size := rapid.Int64Range(1, total).Draw(check, "size")
				if chosen.Reserve(size) {
					held[chosen] += size
				}
			case event == 3:
				size := rapid.Int64Range(0, total).Draw(check, "size")
				chosen.Release(size)
				held[chosen] -= min(size, held[chosen])
			case event == 4:
				chosen.Enter(ptintake.Phase(rapid.IntRange(0, 3).Draw(check, "phase")), now)
			default:
				gate.Leave(chosen)
				delete(held, chosen)
			}
			sum := int64(0)
			for _, size := range held {
				sum += size
			}
			expect.Expect(intake.Budget().Used()).To(Equal(sum))
			expect.Expect(sum).To(BeNumerically("<=", total))
			expect.Expect(gate.Len()).To(And(Equal(len(held)), BeNumerically("<=", limit)))
		}
	})
}

// The defaults must not touch ordinary clients of the smallest machines: some hundreds of connections, and
// the largest request while it is decoded.
func TestPlansOfTheMachines(test *testing.T) {
	expect := NewWithT(test)
	for _, machine := range []struct {
		memory      int64
		descriptors int
	}{{184, 4100}, {284, 4100}, {536, 8192}, {152, 4096}, {0, 0}} {
		plan := ptintake.Derive(machine.memory, machine.descriptors)
		expect.Expect(plan.Callers).To(BeNumerically(">=", 800), "%+v", machine)
		expect.Expect(plan.BudgetBytes).To(BeNumerically(">=", 24<<20), "%+v", machine)
		if machine.descriptors > 0 {
			taken := plan.Callers + plan.WaitingSessions + plan.Announcers + 2*plan.Admins
			expect.Expect(machine.descriptors-taken).To(BeNumerically(">=", machine.descriptors/8), "%+v", machine)
		}
	}
	smallest := ptintake.Derive(1, 8)
	expect.Expect(smallest.Callers).To(BeNumerically(">=", 1))
	expect.Expect(smallest.BudgetBytes).To(BeNumerically(">=", 8<<20))
}
