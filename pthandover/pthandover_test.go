package pthandover_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/pthandover"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	acquiredAt = ptid.Instant(time.Hour)
	bound      = ptassign.DurableRunLossTimeout
)

// sessions is what an entry knows of its agents.
type sessions struct {
	since     ptid.Instant
	connected map[ptid.AgentName]bool
	lostAt    map[ptid.AgentName]ptid.Instant
	runs      map[ptid.AgentName]bool
}

func newSessions(connected ...ptid.AgentName) *sessions {
	sessions := &sessions{since: 1, connected: make(map[ptid.AgentName]bool), lostAt: make(map[ptid.AgentName]ptid.Instant), runs: make(map[ptid.AgentName]bool)}
	for _, agent := range connected {
		sessions.connected[agent] = true
	}
	return sessions
}

func (sessions *sessions) ConnectedSince() ptid.Instant { return sessions.since }

func (sessions *sessions) Session(agent ptid.AgentName) (connected bool, lostAt ptid.Instant) {
	return sessions.connected[agent], sessions.lostAt[agent]
}

func (sessions *sessions) HasRuns(agent ptid.AgentName) bool { return sessions.runs[agent] }

func record(agents ...ptid.AgentName) *ptjobstore.Agents { return &ptjobstore.Agents{Names: agents} }

func order(agent ptid.AgentName, number ptrun.Number) ptassign.SendOrder {
	return ptassign.SendOrder{Agent: agent, Run: ptrun.ID{Number: number}}
}

func TestHandoverWaitsForTheAgentsOfTheRecord(test *testing.T) {
	for name, scenario := range map[string]struct {
		record               *ptjobstore.Agents
		connected, confirmed []ptid.AgentName
		// at is when the handover is expected to finish.
		at      time.Duration
		unknown bool
	}{
		"all have confirmed":                   {record("a", "b"), []ptid.AgentName{"a", "b"}, []ptid.AgentName{"a", "b"}, 0, false},
		"an agent has never had a session":     {record("a", "unseen"), []ptid.AgentName{"a"}, []ptid.AgentName{"a"}, bound + 1, true},
		"no agent may have runs":               {record(), []ptid.AgentName{"a"}, []ptid.AgentName{"a"}, 0, false},
		"an earlier version left no record":    {nil, []ptid.AgentName{"a"}, []ptid.AgentName{"a"}, bound + 1, true},
		"a connected agent does not confirm":   {record("a"), []ptid.AgentName{"a"}, nil, ptid.Never.Sub(acquiredAt), false},
		"one outside the record does not":      {record("a"), []ptid.AgentName{"a", "b"}, []ptid.AgentName{"a"}, ptid.Never.Sub(acquiredAt), false},
		"an agent that confirmed has gone":     {record("a", "gone"), []ptid.AgentName{"a"}, []ptid.AgentName{"a", "gone"}, 0, false},
		"no agent of the record has a session": {record("unseen"), []ptid.AgentName{"a"}, []ptid.AgentName{"a"}, bound + 1, true},
	} {
		test.Run(name, func(test *testing.T) {
			expect := NewWithT(test)
			handover, known := pthandover.New(0, acquiredAt), newSessions(scenario.connected...)
			expect.Expect(handover.TryFinish(known, acquiredAt)).To(BeFalse(), "not loaded")
			handover.Load(scenario.record, scenario.connected)
			for _, agent := range scenario.confirmed {
				handover.AgentConnected(agent)
				handover.AgentConfirmed(agent)
			}
			// The entry's own record says nothing about earlier owners.
			if _, changed := handover.RecordToWrite(known, acquiredAt); changed {
				handover.RecordWritten()
			}
			if scenario.at > 0 {
				expect.Expect(handover.TryFinish(known, acquiredAt.Add(scenario.at-1))).To(BeFalse())
			}
			if scenario.at == ptid.Never.Sub(acquiredAt) {
				return
			}
			expect.Expect(handover.TryFinish(known, acquiredAt.Add(scenario.at))).To(BeTrue())
			expect.Expect(handover.MayHaveUnknownRuns()).To(Equal(scenario.unknown))
			expect.Expect(handover.TryFinish(known, acquiredAt.Add(scenario.at))).To(BeFalse(), "finished before")
		})
	}
}

// While the entry reaches no agent, the silence of one says nothing.
func TestHandoverDoesNotFinishWhileTheEntryReachesNoAgent(test *testing.T) {
	expect, known := NewWithT(test), newSessions()
	handover := pthandover.New(0, acquiredAt)
	handover.Load(record("a"), nil)
	known.since = ptid.Never
	expect.Expect(handover.TryFinish(known, acquiredAt.Add(10*bound))).To(BeFalse())
	known.since = acquiredAt.Add(10 * bound)
	expect.Expect(handover.TryFinish(known, acquiredAt.Add(11*bound))).To(BeFalse())
	expect.Expect(handover.TryFinish(known, acquiredAt.Add(11*bound+1))).To(BeTrue())
}

func TestAgentThatConnectsAgainMustConfirmAgain(test *testing.T) {
	expect, known := NewWithT(test), newSessions("a")
	handover := pthandover.New(0, acquiredAt)
	handover.Load(record("a"), []ptid.AgentName{"a"})
	handover.AgentConfirmed("a")
	handover.AgentConnected("a")
	expect.Expect(handover.TryFinish(known, acquiredAt.Add(2*bound))).To(BeFalse())
	handover.AgentConfirmed("a")
	expect.Expect(handover.TryFinish(known, acquiredAt)).To(BeTrue())
}

func TestOrderWaitsUntilTheLogHoldsItsAgent(test *testing.T) {
	expect, known := NewWithT(test), newSessions("a", "b")
	handover := pthandover.New(0, acquiredAt)
	handover.Load(record("a"), []ptid.AgentName{"a"})
	handover.AgentConnected("b")
	expect.Expect(handover.RetainOrder(order("a", 1))).To(BeFalse())
	expect.Expect(handover.RetainOrder(order("b", 2))).To(BeTrue())
	expect.Expect(handover.RetainOrder(order("b", 3))).To(BeTrue())
	agents, changed := handover.RecordToWrite(known, acquiredAt)
	expect.Expect(changed).To(BeTrue())
	expect.Expect(agents).To(Equal([]ptid.AgentName{"a", "b"}))
	_, changed = handover.RecordToWrite(known, acquiredAt)
	expect.Expect(changed).To(BeFalse(), "one is being written")
	expect.Expect(handover.MayOrder("b")).To(BeFalse())
	expect.Expect(handover.DropOrder("b", ptrun.ID{Number: 2})).To(BeTrue(), "the run is stopped")
	expect.Expect(handover.RecordWritten()).To(ConsistOf(order("b", 3)))
	expect.Expect(handover.MayOrder("b")).To(BeTrue())
	expect.Expect(handover.DropOrder("b", ptrun.ID{Number: 3})).To(BeFalse(), "the order was sent")
}

// The entry asks an agent that connects again for the runs that it ordered over the earlier session.
func TestRetainedOrderIsNotSentOverTheNextSession(test *testing.T) {
	expect, known := NewWithT(test), newSessions("a")
	handover := pthandover.New(0, acquiredAt)
	handover.Load(record(), []ptid.AgentName{"a"})
	expect.Expect(handover.RetainOrder(order("a", 1))).To(BeTrue())
	handover.AgentConnected("a")
	expect.Expect(handover.RetainOrder(order("a", 2))).To(BeTrue())
	handover.RecordToWrite(known, acquiredAt)
	expect.Expect(handover.RecordWritten()).To(ConsistOf(order("a", 2)))
}

func TestAgentLeavesTheRecordOnceNoRunCanBeActiveThere(test *testing.T) {
	expect, known := NewWithT(test), newSessions("a", "lost")
	handover := pthandover.New(0, acquiredAt)
	handover.Load(record("a", "lost"), []ptid.AgentName{"a", "lost"})
	handover.AgentConfirmed("a")
	handover.AgentConfirmed("lost")
	expect.Expect(handover.TryFinish(known, acquiredAt)).To(BeTrue())
	written := func(at ptid.Instant) (agents []ptid.AgentName) {
		agents, _ = handover.RecordToWrite(known, at)
		return agents
	}
	lostAt := acquiredAt.Add(time.Minute)
	known.connected["lost"], known.lostAt["lost"], known.runs["lost"] = false, lostAt, true
	expect.Expect(written(lostAt.Add(bound))).To(BeEmpty(), "a run may be active")
	expect.Expect(written(lostAt.Add(2*bound))).To(BeEmpty(), "the entry has not declared its run lost")
	known.runs["lost"] = false
	expect.Expect(written(lostAt.Add(3 * bound))).To(Equal([]ptid.AgentName{"a"}))
	expect.Expect(handover.MayOrder("lost")).To(BeFalse(), "the record without it may be in the log")
	handover.AgentConnected("lost")
	handover.RecordWritten()
	expect.Expect(written(lostAt.Add(3 * bound))).To(Equal([]ptid.AgentName{"a", "lost"}))
	expect.Expect(handover.MayOrder("lost")).To(BeFalse())
	handover.RecordWritten()
	expect.Expect(handover.MayOrder("lost")).To(BeTrue())
}

// At any instant the log must hold every agent that has got an order, whichever write was the last to
// reach it.
func TestEveryAgentWithAnOrderIsInEveryRecordThatTheLogMayHold(test *testing.T) {
	for seed := range uint64(200) {
		expect, random := NewWithT(test), rand.New(rand.NewPCG(seed, 1))
		handover, known, now := pthandover.New(0, acquiredAt), newSessions(), acquiredAt
		inLog, inFlight := map[ptid.AgentName]bool{}, map[ptid.AgentName]bool(nil)
		handover.Load(record(), nil)
		for range 300 {
			now = now.Add(time.Duration(random.Int64N(int64(bound))))
			agent := ptid.AgentName(fmt.Sprint(random.IntN(4)))
			switch random.IntN(6) {
			case 0:
				if !known.connected[agent] {
					known.connected[agent] = true
					handover.AgentConnected(agent)
					handover.AgentConfirmed(agent)
				}
			case 1:
				if known.connected[agent] {
					known.connected[agent], known.lostAt[agent] = false, now
				}
			case 2:
				if known.connected[agent] && !handover.RetainOrder(order(agent, 1)) {
					known.runs[agent] = true
				}
			case 3:
				if known.connected[agent] || now.Sub(known.lostAt[agent]) > bound {
					delete(known.runs, agent)
				}
			case 4:
				if agents, changed := handover.RecordToWrite(known, now); changed {
					inFlight = make(map[ptid.AgentName]bool)
					for _, agent := range agents {
						inFlight[agent] = true
					}
				}
			case 5:
				if inFlight != nil {
					inLog, inFlight = inFlight, nil
					for _, order := range handover.RecordWritten() {
						known.runs[order.Agent] = true
					}
				}
			}
			handover.TryFinish(known, now)
			for agent := range known.runs {
				expect.Expect(inLog[agent]).To(BeTrue(), "seed %d: the log lacks agent %s, which has runs", seed, agent)
				expect.Expect(inFlight == nil || inFlight[agent]).To(BeTrue(), "seed %d: the log may lack agent %s, which has runs", seed, agent)
			}
		}
	}
}
