package ptassign_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	start   = ptid.Instant(time.Hour)
	service = ptid.ServiceName("service")
)

func at(millis int) ptid.Instant { return start.Add(time.Duration(millis) * time.Millisecond) }

var queue = ptqueue.Queue{Name: "queue", Service: service, Stretch: 1.6, TargetLatency: 60 * time.Millisecond}

// fixture is a core with agents whose workers run one task of 1,000 each.
type fixture struct {
	*ptassign.Core
	expect *WithT
	jobs   int
}

func newFixture(test *testing.T, agents int) *fixture {
	ptassert.PanicOnFailure()
	fixture := &fixture{Core: ptassign.New(1), expect: NewWithT(test)}
	for i := range agents {
		fixture.AgentConnected(agentName(i), 1, service, true, start)
		fixture.report(i, ptassign.AgentState{})
	}
	return fixture
}

func agentName(index int) ptid.AgentName { return ptid.AgentName(fmt.Sprint("agent", index)) }

func (fixture *fixture) report(index int, state ptassign.AgentState) []ptassign.Effect {
	state.Worker, state.Capacity = ptrun.WorkerID(fmt.Sprint("worker", index)), ptrun.Demand{CPU: 1000, Memory: 1000}
	return fixture.AgentReported(agentName(index), state, start)
}

func (fixture *fixture) submit(tasks int, estimate time.Duration, now ptid.Instant) (*ptassign.Job, *ptassign.Refusal, []ptassign.Effect) {
	fixture.jobs++
	job, refusal, effects, err := fixture.Submit(ptassign.Spec{
		Spec: ptgraph.Spec{
			ID: ptid.JobID(fmt.Sprintf("%016x", fixture.jobs)), MaxAttempts: 3,
			Steps: []ptgraph.Step{{Count: tasks, Demand: ptrun.Demand{CPU: 1000}, Estimate: estimate}},
		},
		Queue: queue, Deadline: now.Add(1500 * time.Millisecond),
	}, now)
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	return job, refusal, effects
}

func orders(effects []ptassign.Effect) (sent []ptassign.SendOrder) {
	for _, effect := range effects {
		if order, is := effect.(ptassign.SendOrder); is {
			sent = append(sent, order)
		}
	}
	return sent
}

func ended(effects []ptassign.Effect) (jobs []ptassign.JobEnded) {
	for _, effect := range effects {
		if end, is := effect.(ptassign.JobEnded); is {
			jobs = append(jobs, end)
		}
	}
	return jobs
}

func TestPlacesOneTaskAWorkerAndQueuesTheRest(test *testing.T) {
	fixture := newFixture(test, 2)
	job, _, effects := fixture.submit(3, 100*time.Millisecond, at(0))
	sent := orders(effects)
	fixture.expect.Expect(sent).To(HaveLen(2))
	fixture.expect.Expect(sent[0].Agent).NotTo(Equal(sent[1].Agent))
	after := fixture.RunEnded(sent[0].Agent, ptrun.End{Run: sent[0].Run, Result: ptrun.Done, RunTime: 100 * time.Millisecond}, at(100))
	fixture.expect.Expect(orders(after)).To(HaveLen(1))
	fixture.expect.Expect(job.State()).To(Equal(ptgraph.Running))
}

func TestRoomOfOtherEntriesCounts(test *testing.T) {
	fixture := newFixture(test, 1)
	fixture.report(0, ptassign.AgentState{Held: ptrun.Demand{CPU: 500}})
	_, _, effects := fixture.submit(1, 100*time.Millisecond, at(0))
	fixture.expect.Expect(orders(effects)).To(BeEmpty())
	fixture.expect.Expect(orders(fixture.report(0, ptassign.AgentState{}))).To(HaveLen(1))
}

// The load: a burst of jobs of 100 ms, twenty times what two workers can do in time.
// Callers of those that can't be served are told at once, and those that were taken in
// are served in time.
func TestBurstIsRefusedAtTheDoor(test *testing.T) {
	fixture := newFixture(test, 2)
	taken, refused := 0, 0
	for range 40 {
		_, refusal, _ := fixture.submit(1, 100*time.Millisecond, at(0))
		if refusal == nil {
			taken++
			continue
		}
		refused++
		fixture.expect.Expect(refusal.Reason).To(Equal(ptassign.ForecastTooLate))
		fixture.expect.Expect(refusal.RetryAfter).To(BeNumerically(">=", time.Second))
	}
	// The objective is 1.6 times 100 ms and 60 ms more: one job runs and one waits for
	// each worker.
	fixture.expect.Expect(taken).To(BeNumerically(">=", 2))
	fixture.expect.Expect(taken).To(BeNumerically("<=", 4))
	fixture.expect.Expect(refused).To(Equal(40 - taken))
}

// The load: a long job waits for room, and a short one comes that must start first to
// meet its objective.
func TestShortWorkGoesBeforeLongWorkWithTimeToSpare(test *testing.T) {
	fixture := newFixture(test, 1)
	_, _, effects := fixture.submit(1, 40*time.Millisecond, at(0))
	running := orders(effects)[0]
	long, refusal, _ := fixture.submit(1, 900*time.Millisecond, at(0))
	fixture.expect.Expect(refusal).To(BeNil())
	short, refusal, _ := fixture.submit(1, 60*time.Millisecond, at(1))
	fixture.expect.Expect(refusal).To(BeNil())
	sent := orders(fixture.RunEnded(running.Agent, ptrun.End{Run: running.Run, Result: ptrun.Done, RunTime: 40 * time.Millisecond}, at(40)))
	fixture.expect.Expect(sent).To(HaveLen(1))
	fixture.expect.Expect(sent[0].Job).To(Equal(short))
	fixture.expect.Expect(sent[0].Job).NotTo(Equal(long))
}

func TestUntouchedJobsAreRefusedAsSoonAsTheyCantEndInTime(test *testing.T) {
	fixture := newFixture(test, 1)
	fixture.submit(1, 40*time.Millisecond, at(0))
	_, refusal, _ := fixture.submit(1, 100*time.Millisecond, at(0))
	fixture.expect.Expect(refusal).To(BeNil())
	// The objective is 220 ms at 100 ms of work; three times that less the work is 560.
	fixture.expect.Expect(ended(fixture.Tick(at(300)))).To(BeEmpty())
	over := ended(fixture.Tick(at(600)))
	fixture.expect.Expect(over).NotTo(BeEmpty())
	for _, end := range over {
		if end.Job.FirstPlacedAt == 0 {
			fixture.expect.Expect(end.Refusal).NotTo(BeNil())
		} else {
			fixture.expect.Expect(end.Refusal).To(BeNil(), "something of it may have run")
		}
	}
}

// The load: the links to all agents go silent at once, as those of a restarted switch do, and
// jobs come before the agents have dialed anew.
func TestJobsWaitForAgentsThatWereLostAMomentAgo(test *testing.T) {
	fixture := newFixture(test, 2)
	for index := range 2 {
		fixture.AgentDisconnected(agentName(index), at(0))
	}
	job, refusal, effects := fixture.submit(1, 100*time.Millisecond, at(50))
	fixture.expect.Expect(refusal).To(BeNil())
	fixture.expect.Expect(orders(effects)).To(BeEmpty())
	fixture.expect.Expect(ended(fixture.Tick(at(75)))).To(BeEmpty())
	fixture.AgentConnected(agentName(0), 1, service, true, at(90))
	sent := orders(fixture.report(0, ptassign.AgentState{}))
	fixture.expect.Expect(sent).To(HaveLen(1))
	fixture.expect.Expect(sent[0].Job).To(Equal(job))
}

// Callers are told as soon as it is known that no worker comes back in time.
func TestJobsAreRefusedWhereNoAgentIsExpectedBack(test *testing.T) {
	fixture := newFixture(test, 1)
	fixture.AgentDisconnected(agentName(0), at(0))
	_, refusal, _ := fixture.submit(1, 100*time.Millisecond, at(900))
	fixture.expect.Expect(refusal).To(BeNil())
	back := at(0).Add(ptlink.ReconnectTimeout)
	fixture.expect.Expect(ended(fixture.Tick(back))).To(BeEmpty())
	over := ended(fixture.Tick(back + 1))
	fixture.expect.Expect(over).To(HaveLen(1))
	fixture.expect.Expect(over[0].Refusal.Reason).To(Equal(ptassign.NoWorker))
	_, refusal, _ = fixture.submit(1, 900*time.Millisecond, back+1)
	fixture.expect.Expect(refusal.Reason).To(Equal(ptassign.NoWorker))

	fixture = newFixture(test, 1)
	fixture.report(0, ptassign.AgentState{Unusable: true})
	fixture.AgentDisconnected(agentName(0), at(0))
	_, refusal, _ = fixture.submit(1, 900*time.Millisecond, at(1))
	fixture.expect.Expect(refusal.Reason).To(Equal(ptassign.NoWorker))
}

func TestNoRunIsPlacedAgainWithoutProof(test *testing.T) {
	fixture := newFixture(test, 2)
	_, _, effects := fixture.submit(1, 100*time.Millisecond, at(0))
	sent := orders(effects)[0]
	fixture.AgentDisconnected(sent.Agent, at(10))
	fixture.expect.Expect(orders(fixture.Tick(at(400)))).To(BeEmpty())
	// The same incarnation is asked; another one proves that the run is over.
	back := fixture.AgentConnected(sent.Agent, 1, service, true, at(410))
	fixture.expect.Expect(orders(back)).To(BeEmpty())
	fixture.expect.Expect(back).To(ContainElement(ptassign.SendQuery{Agent: sent.Agent, Run: sent.Run}))
	fixture.AgentDisconnected(sent.Agent, at(420))
	again := orders(fixture.AgentConnected(sent.Agent, 2, service, true, at(430)))
	fixture.expect.Expect(again).To(HaveLen(1))
	fixture.expect.Expect(again[0].Run.Number).To(Equal(sent.Run.Number + 1))
}

func TestWorkersThatFailEverythingAreIsolated(test *testing.T) {
	fixture := newFixture(test, 2)
	bad := ptid.AgentName("")
	counts := make(map[ptid.AgentName]int)
	for now := 0; now < 400; now += 10 {
		_, _, effects := fixture.submit(1, 5*time.Millisecond, at(now))
		for pending := orders(effects); len(pending) > 0; {
			order := pending[0]
			pending = pending[1:]
			if bad == "" {
				bad = order.Agent
			}
			counts[order.Agent]++
			result := ptrun.Done
			if order.Agent == bad {
				result = ptrun.Failed
			}
			pending = append(pending, orders(fixture.RunEnded(order.Agent, ptrun.End{Run: order.Run, Result: result, RunTime: 5 * time.Millisecond}, at(now+5)))...)
		}
	}
	fixture.expect.Expect(counts[bad]).To(BeNumerically("<=", 4))
}

// A worker that its agent says is bad, by the runs of all entries, gets one task where its
// agent gives the turn, and all again once its agent says that it is sound.
func TestAWorkerThatItsAgentSaysIsBadIsTriedInTurn(test *testing.T) {
	fixture := newFixture(test, 4)
	sound := ptfitness.Assessment{Slowdown: 1, MeasuredAt: start}
	for index := range 4 {
		fixture.report(index, ptassign.AgentState{Assessment: sound})
	}
	bad := ptassign.AgentState{Assessment: ptfitness.Assessment{Slowdown: 1, FailureRate: 0.8, MeasuredAt: start}}
	effects := fixture.report(0, bad)
	fixture.expect.Expect(effects).To(ContainElement(ptassign.WorkerQuarantined{Agent: agentName(0), Quarantined: true, Assessment: bad.Assessment}))
	_, refusal, effects := fixture.submit(4, 100*time.Millisecond, at(0))
	fixture.expect.Expect(refusal).To(BeNil())
	fixture.expect.Expect(orders(effects)).To(HaveLen(3))
	bad.MayProbe = true
	tried := orders(fixture.report(0, bad))
	fixture.expect.Expect(tried).To(HaveLen(1))
	fixture.expect.Expect(tried[0].Agent).To(Equal(agentName(0)))
	fixture.expect.Expect(tried[0].ExpectedRunTime).To(BeNumerically(">", 0))
	failed := orders(fixture.RunEnded(agentName(0), ptrun.End{Run: tried[0].Run, Result: ptrun.Failed}, at(10)))
	fixture.expect.Expect(failed).To(BeEmpty(), "the turn is used")
	fixture.expect.Expect(orders(fixture.report(0, ptassign.AgentState{Assessment: sound}))).To(HaveLen(1))
}

// The load: many entries hear the same words of all agents, which differ by what just runs
// there. They must not all choose the worker with the best word.
func TestWordsOfSoundWorkersDoNotDecide(test *testing.T) {
	fixture := newFixture(test, 2)
	chosen := make(map[ptid.AgentName]int)
	const jobs = 100
	for job := range jobs {
		now := at(100 * job)
		fixture.report(0, ptassign.AgentState{Assessment: ptfitness.Assessment{Slowdown: 0.6, MeasuredAt: now}})
		fixture.report(1, ptassign.AgentState{Assessment: ptfitness.Assessment{Slowdown: 1.4, MeasuredAt: now}})
		_, _, effects := fixture.submit(1, 50*time.Millisecond, now)
		sent := orders(effects)[0]
		chosen[sent.Agent]++
		fixture.RunEnded(sent.Agent, ptrun.End{Run: sent.Run, Result: ptrun.Done, RunTime: 50 * time.Millisecond}, now.Add(50*time.Millisecond))
	}
	fixture.expect.Expect(chosen[agentName(1)]).To(BeNumerically(">", jobs/4))
}

func TestTasksThatStandStillAreStoppedAndTheirWorkerIsolated(test *testing.T) {
	fixture := newFixture(test, 1)
	fixture.AgentReported(agentName(0), ptassign.AgentState{Worker: "wide", Capacity: ptrun.Demand{CPU: 4000}}, start)
	fixture.submit(2, 60*time.Millisecond, at(0))
	var stopped int
	for _, effect := range fixture.Tick(at(300)) {
		if _, is := effect.(ptassign.SendStop); is {
			stopped++
		}
	}
	fixture.expect.Expect(stopped).To(Equal(2))
	_, _, effects := fixture.submit(1, 60*time.Millisecond, at(310))
	fixture.expect.Expect(orders(effects)).To(BeEmpty())
}

func TestGangsArePlacedWholeOrNotAtAll(test *testing.T) {
	fixture := newFixture(test, 2)
	submit := func(id ptid.JobID, tasks int) []ptassign.Effect {
		_, effects, err := fixture.SubmitDurable(ptassign.Spec{Queue: queue, Spec: ptgraph.Spec{ID: id, MaxAttempts: 3, Steps: []ptgraph.Step{
			{Count: tasks, Demand: ptrun.Demand{CPU: 1000}, Gang: true},
		}}}, nil, false, at(0))
		fixture.expect.Expect(err).NotTo(HaveOccurred())
		return effects
	}
	fixture.expect.Expect(orders(submit("00000000000000a1", 3))).To(BeEmpty())
	sent := orders(submit("00000000000000a2", 2))
	fixture.expect.Expect(sent).To(HaveLen(2))
	fixture.expect.Expect(sent[0].Run.Number).To(Equal(sent[1].Run.Number))
	// With one member refused, the other is stopped before it waits in vain.
	effects := fixture.RunEnded(sent[0].Agent, ptrun.End{Run: sent[0].Run, Result: ptrun.NeverStarted}, at(10))
	fixture.expect.Expect(effects).To(ContainElement(ptassign.SendStop{Agent: sent[1].Agent, Run: sent[1].Run, Reason: ptrun.ReasonGangIncomplete}))
	fixture.expect.Expect(orders(effects)).To(BeEmpty())
	fixture.expect.Expect(orders(fixture.RunEnded(sent[1].Agent, ptrun.End{Run: sent[1].Run, Result: ptrun.Stopped}, at(20)))).To(HaveLen(2))
}

func TestStepsKeepTheirWorkersApart(test *testing.T) {
	fixture := newFixture(test, 0)
	fixture.AgentConnected("wide", 1, service, true, start)
	fixture.AgentReported("wide", ptassign.AgentState{Worker: "w", Capacity: ptrun.Demand{CPU: 9000}, Labels: []string{"a", "r1"}}, start)
	_, effects, err := fixture.SubmitDurable(ptassign.Spec{Queue: queue, Spec: ptgraph.Spec{ID: "00000000000000a1", Steps: []ptgraph.Step{
		{Count: 4, Demand: ptrun.Demand{CPU: 1000}, MaxPerWorker: 2}, {Count: 1, Label: "b"},
	}}}, nil, false, at(0))
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	fixture.expect.Expect(orders(effects)).To(HaveLen(2))
}

func TestPlacesOnlyWhereTheAdvisorAllows(test *testing.T) {
	fixture := newFixture(test, 3)
	advised := queue
	advised.Advice = &ptqueue.AdvicePolicy{Valid: time.Second}
	_, effects, err := fixture.SubmitDurable(ptassign.Spec{Queue: advised, Spec: ptgraph.Spec{ID: "00000000000000a1", MaxAttempts: 3, Steps: []ptgraph.Step{
		{Count: 2, Demand: ptrun.Demand{CPU: 1000}},
	}}}, nil, false, at(0))
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	fixture.expect.Expect(orders(effects)).To(BeEmpty())
	asked := effects[0].(ptassign.RequestAdvice)
	fixture.expect.Expect(asked.Workers).To(HaveLen(3))
	sent := orders(fixture.AdviceReceived(asked, map[ptrun.WorkerID]string{"worker1": "ticket"}, false, at(0), at(50)))
	fixture.expect.Expect(sent).To(HaveLen(1))
	fixture.expect.Expect(sent[0].Agent).To(Equal(agentName(1)))
	fixture.expect.Expect(sent[0].Ticket).To(Equal("ticket"))
	// A ticket that has lapsed is asked for again, of that worker alone.
	var again []ptassign.RequestAdvice
	for _, effect := range fixture.RunEnded(sent[0].Agent, ptrun.End{Run: sent[0].Run, Result: ptrun.Done}, at(900)) {
		if ask, is := effect.(ptassign.RequestAdvice); is {
			again = append(again, ask)
		}
	}
	fixture.expect.Expect(again).To(HaveLen(1))
	fixture.expect.Expect(again[0].Workers).To(ConsistOf(ptrun.WorkerID("worker1")))
}

// The load: a backlog of kept jobs that fills every worker for minutes. What an entry does
// for one message must not grow with it, or its sessions starve.
func TestABacklogIsNotWalkedThroughForEachMessage(test *testing.T) {
	fixture := newFixture(test, 1)
	const backlog = 4000
	var running ptassign.SendOrder
	for index := range backlog {
		_, effects, err := fixture.SubmitDurable(ptassign.Spec{Queue: queue, Spec: ptgraph.Spec{
			ID: ptid.JobID(fmt.Sprintf("%016x", index)), MaxAttempts: 3,
			Steps: []ptgraph.Step{{Count: 1, Demand: ptrun.Demand{CPU: 1000}, Estimate: 50 * time.Millisecond}},
		}}, nil, false, at(index/100))
		fixture.expect.Expect(err).NotTo(HaveOccurred())
		if sent := orders(effects); len(sent) > 0 {
			running = sent[0]
		}
	}
	allocated := testing.AllocsPerRun(100, func() { fixture.report(0, ptassign.AgentState{}) })
	fixture.expect.Expect(allocated).To(BeNumerically("<", 1000))
	fixture.expect.Expect(fixture.PendingJobs(queue.Name)).To(Equal(backlog - 1))
	next := orders(fixture.RunEnded(running.Agent, ptrun.End{Run: running.Run, Result: ptrun.Done, RunTime: 50 * time.Millisecond}, at(100)))
	fixture.expect.Expect(next).To(HaveLen(1))
	// A job that was placed and given back unstarted waits again.
	fixture.RunEnded(next[0].Agent, ptrun.End{Run: next[0].Run, Result: ptrun.NeverStarted}, at(110))
	fixture.expect.Expect(fixture.PendingJobs(queue.Name)).To(Equal(backlog - 2))
}

func TestAdoptedPartOfAGangIsStopped(test *testing.T) {
	fixture := newFixture(test, 2)
	job, _, err := fixture.SubmitDurable(ptassign.Spec{Queue: queue, Spec: ptgraph.Spec{ID: "00000000000000a1", Steps: []ptgraph.Step{
		{Count: 2, Demand: ptrun.Demand{CPU: 1000}, Gang: true},
	}}}, nil, true, at(0))
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	former := ptrun.ID{Task: ptrun.TaskID{Job: "00000000000000a1", Index: 1}, Number: 7}
	fixture.Adopt(agentName(0), former, at(1))
	fixture.expect.Expect(fixture.FinishRecovery(job, at(2))).To(ContainElement(ptassign.SendStop{Agent: agentName(0), Run: former, Reason: ptrun.ReasonGangIncomplete}))
}

// The load: most workers go away while jobs wait that were taken in by the room of all.
// Callers whose jobs have become hopeless are told long before these can't end any more.
func TestHopelessJobsAreRefusedWhileTheirCallersHaveTime(test *testing.T) {
	const agents = 8
	fixture := newFixture(test, agents)
	var running []ptassign.SendOrder
	for range agents {
		_, _, effects := fixture.submit(1, 100*time.Millisecond, at(0))
		running = append(running, orders(effects)...)
	}
	var waiting []*ptassign.Job
	for range agents {
		job, refusal, _ := fixture.submit(1, 100*time.Millisecond, at(1))
		fixture.expect.Expect(refusal).To(BeNil())
		waiting = append(waiting, job)
	}
	for index := range agents {
		if agentName(index) != running[0].Agent {
			fixture.AgentDisconnected(agentName(index), at(10))
		}
	}
	fixture.expect.Expect(ended(fixture.Tick(at(50)))).To(BeEmpty(), "they can still start in time")
	over := ended(fixture.Tick(at(125)))
	fixture.expect.Expect(len(over)).To(And(BeNumerically(">", 0), BeNumerically("<", agents)))
	for _, end := range over {
		fixture.expect.Expect(waiting).To(ContainElement(end.Job))
		fixture.expect.Expect(end.Refusal.Reason).To(Equal(ptassign.TooLate))
		fixture.expect.Expect(end.Job.ExpiresAt).To(BeNumerically(">", at(500)))
	}
}

// The load: another entry needs room at ten times the rate of this one. Of the room that
// ends free this one gets less than a tenth, and its callers are told so.
func TestForecastCountsWhatOtherEntriesNeed(test *testing.T) {
	firstRefusal := func(others ptrun.MillicoresPerSecond) (taken int, wait time.Duration) {
		fixture := newFixture(test, 2)
		for index := range 2 {
			fixture.report(index, ptassign.AgentState{RequestedByOthers: others})
		}
		for {
			_, refusal, _ := fixture.submit(1, 100*time.Millisecond, at(0))
			if refusal != nil {
				return taken, refusal.ForecastWait
			}
			taken++
		}
	}
	aloneTaken, aloneWait := firstRefusal(0)
	// A job of 1,000 that must start within 105 ms needs room at 9,500 a second.
	sharedTaken, sharedWait := firstRefusal(95_000)
	expect := NewWithT(test)
	expect.Expect(sharedTaken).To(BeNumerically("<", aloneTaken))
	expect.Expect(sharedWait).To(BeNumerically(">", 2*aloneWait))
}

// The load: all connections are reset at once. A caller leaves, and the stop of its run is
// lost with the session; the caller may submit the job elsewhere, so the run must not go on.
func TestStopsThatWereLostWithASessionAreRepeated(test *testing.T) {
	fixture := newFixture(test, 1)
	stops := func(effects []ptassign.Effect) (runs []ptrun.ID) {
		for _, effect := range effects {
			if stop, is := effect.(ptassign.SendStop); is {
				runs = append(runs, stop.Run)
			}
		}
		return runs
	}
	job, _, effects := fixture.submit(1, 100*time.Millisecond, at(0))
	run := orders(effects)[0].Run
	fixture.AgentDisconnected(agentName(0), at(10))
	fixture.expect.Expect(stops(fixture.Cancel(job.Key(), at(20)))).To(ConsistOf(run))
	fixture.expect.Expect(stops(fixture.AgentConnected(agentName(0), 1, service, true, at(30)))).To(ConsistOf(run))
	fixture.RunEnded(agentName(0), ptrun.End{Run: run, Result: ptrun.Stopped}, at(40))
	fixture.expect.Expect(stops(fixture.AgentConnected(agentName(0), 1, service, true, at(50)))).To(BeEmpty())
}

// The load: two zones with room alike. Entries of a zone use its workers first, and others
// where these are full.
func TestWorkersOfTheOwnZoneAreUsedFirst(test *testing.T) {
	const agents, near = 16, 8
	fixture := newFixture(test, agents)
	zone := make(map[ptid.AgentName]bool)
	for index := range agents {
		zone[agentName(index)] = index < near
		fixture.AgentConnected(agentName(index), 1, queue.Service, index < near, at(0))
	}
	for job := range agents {
		_, _, effects := fixture.submit(1, 60*time.Millisecond, at(0))
		sent := orders(effects)
		fixture.expect.Expect(sent).To(HaveLen(1))
		fixture.expect.Expect(zone[sent[0].Agent]).To(Equal(job < near))
	}
}

// The load: a worker's room ends free while an urgent job waits behind others that came
// before it and are due sooner.
func TestUrgentJobsGoFirst(test *testing.T) {
	fixture := newFixture(test, 1)
	submit := func(id ptid.JobID, priority int, estimate time.Duration) []ptassign.Effect {
		of := queue
		of.Name, of.Priority = ptid.ProfileName(fmt.Sprint("queue", priority)), priority
		_, refusal, effects, err := fixture.Submit(ptassign.Spec{
			Spec:  ptgraph.Spec{ID: id, MaxAttempts: 3, Steps: []ptgraph.Step{{Count: 1, Demand: ptrun.Demand{CPU: 1000}, Estimate: estimate}}},
			Queue: of, Deadline: at(1500),
		}, at(0))
		fixture.expect.Expect(err).NotTo(HaveOccurred())
		fixture.expect.Expect(refusal).To(BeNil())
		return effects
	}
	running := orders(submit("00000000000000a0", 1, 30*time.Millisecond))[0]
	submit("00000000000000a1", 1, 60*time.Millisecond)
	submit("00000000000000a2", 0, 200*time.Millisecond)
	sent := orders(fixture.RunEnded(running.Agent, ptrun.End{Run: running.Run, Result: ptrun.Done, RunTime: 30 * time.Millisecond}, at(30)))
	fixture.expect.Expect(sent).To(HaveLen(1))
	fixture.expect.Expect(sent[0].Job.ID).To(Equal(ptid.JobID("00000000000000a2")))
}

// The load: kept jobs need a label that only a bad worker has. The agent's turns go round all
// entries, so the owner's may come many seconds later.
func TestKeptJobsUseABadWorkerRatherThanNone(test *testing.T) {
	fixture := newFixture(test, 3)
	for index := range 3 {
		state := ptassign.AgentState{Assessment: ptfitness.Assessment{Slowdown: 1, MeasuredAt: start}}
		if index == 0 {
			state.Labels, state.Assessment.Slowdown = []string{"b"}, 6
		}
		fixture.report(index, state)
	}
	fixture.Tick(at(0))
	_, effects, err := fixture.SubmitDurable(ptassign.Spec{Queue: queue, Spec: ptgraph.Spec{ID: "00000000000000a1", MaxAttempts: 3, Steps: []ptgraph.Step{
		{Count: 1, Demand: ptrun.Demand{CPU: 1000}, Label: "b"},
	}}}, nil, false, at(0))
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	fixture.expect.Expect(orders(effects)).To(BeEmpty())
	fixture.expect.Expect(orders(fixture.Tick(at(900)))).To(BeEmpty())
	fixture.expect.Expect(orders(fixture.Tick(at(1100)))).To(HaveLen(1))
}
