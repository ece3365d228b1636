package ptevacuation_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptevacuation"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const start = ptid.Instant(time.Hour)

func merged(left, right ptevacuation.State) (newest ptevacuation.State) {
	newest, _ = left.Merge(right)
	return newest
}

// Guards against processes that disagree after they have received the same states in another order.
func TestMergeDoesNotDependOnTheOrder(test *testing.T) {
	expect := NewWithT(test)
	random := rand.New(rand.NewPCG(1, 1))
	draw := func() ptevacuation.State {
		var zones []ptid.Zone
		for range random.IntN(4) {
			zones = append(zones, ptid.Zone(fmt.Sprint("z", random.IntN(3))))
		}
		return ptevacuation.New(ptevacuation.Revision(random.IntN(3)), zones...)
	}
	for range 2000 {
		first, second, third := draw(), draw(), draw()
		expect.Expect(merged(first, second)).To(Equal(merged(second, first)))
		expect.Expect(merged(merged(first, second), third)).To(Equal(merged(first, merged(second, third))))
		expect.Expect(merged(first, first)).To(Equal(first))
	}
}

// Guards against an older state that replaces a newer one, and against a change that is not noticed.
func TestNewerStateWins(test *testing.T) {
	expect := NewWithT(test)
	older, newer := ptevacuation.New(3, "a", "b"), ptevacuation.New(5, "b")
	newest, changed := older.Merge(newer)
	expect.Expect(newest).To(Equal(newer))
	expect.Expect(changed).To(BeTrue())
	newest, changed = newer.Merge(older)
	expect.Expect(newest).To(Equal(newer))
	expect.Expect(changed).To(BeFalse())
	newest, changed = newer.Merge(ptevacuation.New(9, "b"))
	expect.Expect(newest.Revision()).To(Equal(ptevacuation.Revision(9)))
	expect.Expect(changed).To(BeFalse(), "the zones are the same")
	_, changed = ptevacuation.State{}.Merge(ptevacuation.New(1))
	expect.Expect(changed).To(BeTrue(), "the state was unknown before")
}

// Guards against a state that changes with a later one that was derived from it.
func TestStatesAreImmutable(test *testing.T) {
	expect := NewWithT(test)
	zones := []ptid.Zone{"b", "a", "b"}
	state := ptevacuation.New(1, zones...)
	zones[0] = "changed"
	state.Zones()[0] = "changed"
	later := state.With("c", true, 2).With("a", false, 3).With("unknown", false, 4)
	expect.Expect(state.Zones()).To(Equal([]ptid.Zone{"a", "b"}))
	expect.Expect(later.Zones()).To(Equal([]ptid.Zone{"b", "c"}))
	expect.Expect(later.Revision()).To(Equal(ptevacuation.Revision(4)))
	expect.Expect(state.Contains("a")).To(BeTrue())
	expect.Expect(later.Contains("a")).To(BeFalse())
}

// Guards against the evacuation of processes without a zone, and of zones that a faulty peer names.
func TestInvalidZonesAreLeftOut(test *testing.T) {
	expect := NewWithT(test)
	for _, invalid := range []ptid.Zone{"", " ", "a b", "a/b", "a\n", "\xff", ptid.Zone(strings.Repeat("a", 300))} {
		expect.Expect(ptevacuation.IsValidZone(invalid)).To(BeFalse(), "%q", invalid)
	}
	expect.Expect(ptevacuation.IsValidZone("eu-west_1.a")).To(BeTrue())
	state := ptevacuation.FromMessage(&ptwire.Evacuation{Revision: 4, AvailabilityZones: []string{"", "b", "\xff", "a", "a"}})
	expect.Expect(state.Zones()).To(Equal([]ptid.Zone{"a", "b"}))
	expect.Expect(state.Contains("")).To(BeFalse())
	expect.Expect(ptevacuation.FromMessage(state.Message())).To(Equal(state))
	expect.Expect(ptevacuation.FromMessage(nil).IsKnown()).To(BeFalse())
	expect.Expect(ptevacuation.FromMessage(&ptwire.Evacuation{AvailabilityZones: []string{"a"}}).Len()).To(BeZero())
	expect.Expect(ptevacuation.FromMessage(&ptwire.Evacuation{Revision: 1, AvailabilityZones: make([]string, 5000)}).IsKnown()).To(BeFalse())
}

// Guards against frames that all carry the state, and against a state that is never sent.
func TestStateIsSentOnceAndOnChange(test *testing.T) {
	expect := NewWithT(test)
	var exchange ptevacuation.Exchange
	expect.Expect(exchange.ToSend(ptevacuation.State{})).To(BeNil(), "nothing is known")
	expect.Expect(exchange.ToSend(ptevacuation.New(2))).NotTo(BeNil(), "the first known state is news although nothing is evacuated")
	expect.Expect(exchange.ToSend(ptevacuation.New(2))).To(BeNil())
	expect.Expect(exchange.ToSend(ptevacuation.New(4)).Revision).To(Equal(uint64(4)))
	expect.Expect(exchange.ToSend(ptevacuation.New(4))).To(BeNil())
	expect.Expect(exchange.ToSend(ptevacuation.New(5, "a")).Revision).To(Equal(uint64(5)))
	expect.Expect(exchange.ToSend(ptevacuation.New(5, "a"))).To(BeNil())
	expect.Expect(exchange.Received(ptevacuation.New(6), ptevacuation.New(6))).To(BeFalse())
	expect.Expect(exchange.ToSend(ptevacuation.New(6))).To(BeNil(), "the peer has sent it")
	expect.Expect(exchange.ToSend(ptevacuation.New(3, "a"))).To(BeNil(), "older than what the peer knows")
}

// Guards against a lost update: the peer has learned elsewhere of a state between two that have the same
// zones.
func TestPeerThatKnowsAnOlderStateIsAnswered(test *testing.T) {
	expect := NewWithT(test)
	var exchange ptevacuation.Exchange
	current := ptevacuation.New(9, "a")
	expect.Expect(exchange.Received(ptevacuation.New(7), current)).To(BeTrue())
	expect.Expect(exchange.ToSend(current).Revision).To(Equal(uint64(9)))
	expect.Expect(exchange.Received(ptevacuation.New(7), current)).To(BeFalse(), "a delayed frame")
	expect.Expect(exchange.Received(ptevacuation.New(8, "a"), current)).To(BeFalse(), "the zones are the same")
}

// A random network of processes: guards against states that don't reach every process, whatever the order
// of the frames of different sessions.
func TestAllConnectedProcessesAgree(test *testing.T) {
	expect := NewWithT(test)
	const processes, records = 6, 8
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		states := make([]ptevacuation.State, processes)
		exchanges := make(map[[2]int]*ptevacuation.Exchange)
		inFlight := make(map[[2]int][]*ptwire.Evacuation)
		for from := range processes {
			for _, to := range []int{(from + 1) % processes, (from + processes - 1) % processes} {
				exchanges[[2]int{from, to}] = &ptevacuation.Exchange{}
			}
		}
		log := []ptevacuation.State{{}}
		for position := range records {
			last := log[len(log)-1]
			zone := ptid.Zone(fmt.Sprint("z", random.IntN(2)))
			log = append(log, last.With(zone, !last.Contains(zone), ptevacuation.Revision(position+1)))
		}
		step := func(link [2]int) {
			if message := exchanges[link].ToSend(states[link[0]]); message != nil {
				inFlight[link] = append(inFlight[link], message)
			}
			if queue := inFlight[link]; len(queue) > 0 && random.IntN(2) == 0 {
				inFlight[link] = queue[1:]
				received := ptevacuation.FromMessage(queue[0])
				states[link[1]], _ = states[link[1]].Merge(received)
				exchanges[[2]int{link[1], link[0]}].Received(received, states[link[1]])
			}
		}
		links := make([][2]int, 0, len(exchanges))
		for from := range processes {
			links = append(links, [2]int{from, (from + 1) % processes}, [2]int{from, (from + processes - 1) % processes})
		}
		for range 300 {
			// The first two processes read the store, each at its own pace.
			if reader := random.IntN(2); random.IntN(8) == 0 {
				states[reader], _ = states[reader].Merge(log[random.IntN(len(log))])
			}
			step(links[random.IntN(len(links))])
		}
		states[0], _ = states[0].Merge(log[records])
		for range 1000 {
			step(links[random.IntN(len(links))])
		}
		for index := range states {
			expect.Expect(states[index].Zones()).To(Equal(log[records].Zones()), "seed %d, process %d", seed, index)
		}
	}
}

// Guards against workers that all return at once, or at different times at different entries.
func TestWorkersReturnInStepsOfAQuarter(test *testing.T) {
	expect := NewWithT(test)
	var first, second ptevacuation.Returns
	evacuated, free := ptevacuation.New(2, "a", "b"), ptevacuation.New(3, "b")
	first.Update(evacuated, free, start)
	second.Update(evacuated, free, start)
	byStep := make(map[time.Duration]int)
	for index := range 400 {
		name := ptid.AgentName(fmt.Sprint("agent", index))
		at := first.ReturnsAt("a", name)
		expect.Expect(second.ReturnsAt("a", name)).To(Equal(at))
		expect.Expect(first.ReturnsAt("b", name)).To(BeZero())
		byStep[at.Sub(start)]++
	}
	expect.Expect(byStep).To(HaveLen(4))
	for step, count := range byStep {
		expect.Expect(step % (500 * time.Millisecond)).To(BeZero())
		expect.Expect(step).To(BeNumerically("<=", 1500*time.Millisecond))
		expect.Expect(count).To(BeNumerically("~", 100, 30))
	}
}

// Guards against the return of a zone that was evacuated again.
func TestReturnEndsWithTheNextEvacuation(test *testing.T) {
	expect := NewWithT(test)
	var returns ptevacuation.Returns
	evacuated, free := ptevacuation.New(2, "a"), ptevacuation.New(3)
	returns.Update(ptevacuation.State{}, evacuated, start)
	expect.Expect(returns.ReturnsAt("a", "agent")).To(BeZero())
	returns.Update(evacuated, free, start)
	expect.Expect(returns.ReturnsAt("a", "agent")).NotTo(BeZero())
	returns.Update(free, ptevacuation.New(4, "a"), start.Add(time.Millisecond))
	expect.Expect(returns.ReturnsAt("a", "agent")).To(BeZero())
	returns.Update(ptevacuation.New(4, "a"), ptevacuation.New(5), start.Add(time.Second))
	returns.Update(ptevacuation.New(5), ptevacuation.New(5), start.Add(time.Minute))
	expect.Expect(returns.ReturnsAt("a", "agent")).To(BeZero(), "all workers have returned")
}
