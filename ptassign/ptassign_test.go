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

// fixture is a core with agents whose workers have capacity for one task of 1,000 millicores
// each.
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

func TestPlacesOneTaskPerWorkerAndQueuesTheRest(test *testing.T) {
	fixture := newFixture(test, 2)
	job, _, effects := fixture.submit(3, 100*time.Millisecond, at(0))
	sent := orders(effects)
	fixture.expect.Expect(sent).To(HaveLen(2))
	fixture.expect.Expect(sent[0].Agent).NotTo(Equal(sent[1].Agent))
	after := fixture.RunEnded(sent[0].Agent, ptrun.End{Run: sent[0].Run, Result: ptrun.Done, RunTime: 100 * time.Millisecond}, at(100))
	fixture.expect.Expect(orders(after)).To(HaveLen(1))
	fixture.expect.Expect(job.State()).To(Equal(ptgraph.Running))
}

func TestCapacityHeldByOtherEntriesIsNotUsed(test *testing.T) {
	fixture := newFixture(test, 1)
	fixture.report(0, ptassign.AgentState{Held: ptrun.Demand{CPU: 500}})
	_, _, effects := fixture.submit(1, 100*time.Millisecond, at(0))
	fixture.expect.Expect(orders(effects)).To(BeEmpty())
	fixture.expect.Expect(orders(fixture.report(0, ptassign.AgentState{}))).To(HaveLen(1))
}

// Forty jobs of 100 ms arrive at once, twenty times as many as two workers can run at a time.
// Jobs that can't be completed in time must be refused on submission, and only jobs that can
// be completed in time may be admitted.
func TestJobsBeyondCapacityAreRefusedOnSubmission(test *testing.T) {
	fixture := newFixture(test, 2)
	admitted, refused := 0, 0
	for range 40 {
		_, refusal, _ := fixture.submit(1, 100*time.Millisecond, at(0))
		if refusal == nil {
			admitted++
			continue
		}
		refused++
		fixture.expect.Expect(refusal.Reason).To(Equal(ptassign.ForecastTooLate))
		fixture.expect.Expect(refusal.RetryAfter).To(BeNumerically(">=", time.Second))
	}
	// The objective is 1.6 times 100 ms plus 60 ms, so each worker can run one job and have
	// one waiting.
	fixture.expect.Expect(admitted).To(BeNumerically(">=", 2))
	fixture.expect.Expect(admitted).To(BeNumerically("<=", 4))
	fixture.expect.Expect(refused).To(Equal(40 - admitted))
}

// A long job is waiting for capacity when a short job arrives that must start earlier to meet
// its objective. The short job must be placed first.
func TestShortJobsOvertakeLongJobsWithSlack(test *testing.T) {
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

func TestUnstartedJobsAreRefusedOnceTheyCantEndInTime(test *testing.T) {
	fixture := newFixture(test, 1)
	fixture.submit(1, 40*time.Millisecond, at(0))
	_, refusal, _ := fixture.submit(1, 100*time.Millisecond, at(0))
	fixture.expect.Expect(refusal).To(BeNil())
	// The objective is 220 ms for a run time of 100 ms. The job expires after
	// 3 × 220 ms = 660 ms, so a run that starts after 560 ms can't end in time.
	fixture.expect.Expect(ended(fixture.Tick(at(300)))).To(BeEmpty())
	expired := ended(fixture.Tick(at(600)))
	fixture.expect.Expect(expired).NotTo(BeEmpty())
	for _, end := range expired {
		if end.Job.FirstPlacedAt == 0 {
			fixture.expect.Expect(end.Refusal).NotTo(BeNil())
		} else {
			fixture.expect.Expect(end.Refusal).To(BeNil(), "a run of the job may have started")
		}
	}
}

// All links to agents fail at once, as after the restart of a switch, and a job arrives
// before the agents have reconnected. The job must wait for them instead of being refused.
func TestJobsWaitForRecentlyDisconnectedAgents(test *testing.T) {
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

// Callers must be refused as soon as it is known that no worker will reconnect in time.
func TestJobsAreRefusedIfNoAgentMayReconnect(test *testing.T) {
	fixture := newFixture(test, 1)
	fixture.AgentDisconnected(agentName(0), at(0))
	_, refusal, _ := fixture.submit(1, 100*time.Millisecond, at(900))
	fixture.expect.Expect(refusal).To(BeNil())
	lastReconnect := at(0).Add(ptlink.ReconnectTimeout)
	fixture.expect.Expect(ended(fixture.Tick(lastReconnect))).To(BeEmpty())
	refused := ended(fixture.Tick(lastReconnect + 1))
	fixture.expect.Expect(refused).To(HaveLen(1))
	fixture.expect.Expect(refused[0].Refusal.Reason).To(Equal(ptassign.NoWorker))
	_, refusal, _ = fixture.submit(1, 900*time.Millisecond, lastReconnect+1)
	fixture.expect.Expect(refusal.Reason).To(Equal(ptassign.NoWorker))

	fixture = newFixture(test, 1)
	fixture.report(0, ptassign.AgentState{Unusable: true})
	fixture.AgentDisconnected(agentName(0), at(0))
	_, refusal, _ = fixture.submit(1, 900*time.Millisecond, at(1))
	fixture.expect.Expect(refusal.Reason).To(Equal(ptassign.NoWorker))
}

func TestTasksAreNotPlacedAgainBeforeTheirRunHasProvablyEnded(test *testing.T) {
	fixture := newFixture(test, 2)
	_, _, effects := fixture.submit(1, 100*time.Millisecond, at(0))
	sent := orders(effects)[0]
	fixture.AgentDisconnected(sent.Agent, at(10))
	fixture.expect.Expect(orders(fixture.Tick(at(400)))).To(BeEmpty())
	// If the same incarnation of the agent reconnects, it is queried for the run. If another
	// incarnation connects, the run has certainly ended.
	reconnected := fixture.AgentConnected(sent.Agent, 1, service, true, at(410))
	fixture.expect.Expect(orders(reconnected)).To(BeEmpty())
	fixture.expect.Expect(reconnected).To(ContainElement(ptassign.SendQuery{Agent: sent.Agent, Run: sent.Run}))
	fixture.AgentDisconnected(sent.Agent, at(420))
	replaced := orders(fixture.AgentConnected(sent.Agent, 2, service, true, at(430)))
	fixture.expect.Expect(replaced).To(HaveLen(1))
	fixture.expect.Expect(replaced[0].Run.Number).To(Equal(sent.Run.Number + 1))
}

func TestWorkersOnWhichAllRunsFailGetNoTasksForABackoff(test *testing.T) {
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

// The agent of one worker reports a high failure rate. The worker must get a single probe
// task when the agent grants the turn, and regular tasks again once the agent reports it as
// healthy.
func TestQuarantinedWorkersAreProbedInTurn(test *testing.T) {
	fixture := newFixture(test, 4)
	healthy := ptfitness.Assessment{Slowdown: 1, MeasuredAt: start}
	for index := range 4 {
		fixture.report(index, ptassign.AgentState{Assessment: healthy})
	}
	bad := ptassign.AgentState{Assessment: ptfitness.Assessment{Slowdown: 1, FailureRate: 0.8, MeasuredAt: start}}
	effects := fixture.report(0, bad)
	fixture.expect.Expect(effects).To(ContainElement(ptassign.WorkerQuarantined{Agent: agentName(0), Quarantined: true, Assessment: bad.Assessment}))
	_, refusal, effects := fixture.submit(4, 100*time.Millisecond, at(0))
	fixture.expect.Expect(refusal).To(BeNil())
	fixture.expect.Expect(orders(effects)).To(HaveLen(3))
	bad.MayProbe = true
	probed := orders(fixture.report(0, bad))
	fixture.expect.Expect(probed).To(HaveLen(1))
	fixture.expect.Expect(probed[0].Agent).To(Equal(agentName(0)))
	fixture.expect.Expect(probed[0].ExpectedRunTime).To(BeNumerically(">", 0))
	failed := orders(fixture.RunEnded(agentName(0), ptrun.End{Run: probed[0].Run, Result: ptrun.Failed}, at(10)))
	fixture.expect.Expect(failed).To(BeEmpty(), "the probe turn has been used")
	fixture.expect.Expect(orders(fixture.report(0, ptassign.AgentState{Assessment: healthy}))).To(HaveLen(1))
}

// Many entries get the same assessments of all agents, which differ only by the current tasks
// of the workers. The entries must not all choose the worker with the best assessment.
func TestAssessmentsOfHealthyWorkersDoNotDecidePlacement(test *testing.T) {
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

func TestHangingRunsAreStoppedAndTheirWorkerGetsNoTasks(test *testing.T) {
	fixture := newFixture(test, 1)
	fixture.AgentReported(agentName(0), ptassign.AgentState{Worker: "wide", Capacity: ptrun.Demand{CPU: 4000}}, start)
	fixture.submit(2, 60*time.Millisecond, at(0))
	for now := at(0); now < at(300); now = now.Add(hangTickInterval) {
		fixture.expect.Expect(countStops(fixture.Tick(now))).To(BeZero())
	}
	fixture.expect.Expect(countStops(fixture.Tick(at(300)))).To(Equal(2))
	_, _, effects := fixture.submit(1, 60*time.Millisecond, at(310))
	fixture.expect.Expect(orders(effects)).To(BeEmpty())
}

func TestGangsArePlacedCompletelyOrNotAtAll(test *testing.T) {
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
	// After one member of the gang was refused, the second member must be stopped, since it can't
	// make progress alone.
	effects := fixture.RunEnded(sent[0].Agent, ptrun.End{Run: sent[0].Run, Result: ptrun.NeverStarted}, at(10))
	fixture.expect.Expect(effects).To(ContainElement(ptassign.SendStop{Agent: sent[1].Agent, Run: sent[1].Run, Reason: ptrun.ReasonGangIncomplete}))
	fixture.expect.Expect(orders(effects)).To(BeEmpty())
	fixture.expect.Expect(orders(fixture.RunEnded(sent[1].Agent, ptrun.End{Run: sent[1].Run, Result: ptrun.Stopped}, at(20)))).To(HaveLen(2))
}

func TestPerWorkerLimitAndLabelRestrictPlacement(test *testing.T) {
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
	advisedQueue := queue
	advisedQueue.Advice = &ptqueue.AdvicePolicy{Valid: time.Second}
	_, effects, err := fixture.SubmitDurable(ptassign.Spec{Queue: advisedQueue, Spec: ptgraph.Spec{ID: "00000000000000a1", MaxAttempts: 3, Steps: []ptgraph.Step{
		{Count: 2, Demand: ptrun.Demand{CPU: 1000}},
	}}}, nil, false, at(0))
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	fixture.expect.Expect(orders(effects)).To(BeEmpty())
	request := effects[0].(ptassign.RequestAdvice)
	fixture.expect.Expect(request.Workers).To(HaveLen(3))
	sent := orders(fixture.AdviceReceived(request, map[ptrun.WorkerID]string{"worker1": "ticket"}, false, at(0), at(50)))
	fixture.expect.Expect(sent).To(HaveLen(1))
	fixture.expect.Expect(sent[0].Agent).To(Equal(agentName(1)))
	fixture.expect.Expect(sent[0].Ticket).To(Equal("ticket"))
	// When a ticket has expired, the advisor is asked again, but only about the worker of this
	// ticket.
	var repeated []ptassign.RequestAdvice
	for _, effect := range fixture.RunEnded(sent[0].Agent, ptrun.End{Run: sent[0].Run, Result: ptrun.Done}, at(900)) {
		if repeatedRequest, is := effect.(ptassign.RequestAdvice); is {
			repeated = append(repeated, repeatedRequest)
		}
	}
	fixture.expect.Expect(repeated).To(HaveLen(1))
	fixture.expect.Expect(repeated[0].Workers).To(ConsistOf(ptrun.WorkerID("worker1")))
}

// A backlog of durable jobs fills every worker for minutes. The work of an entry for one
// message must not grow with the backlog, otherwise the entry can no longer process its
// messages in time.
func TestMessagesDoNotScanTheBacklog(test *testing.T) {
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
	// A job whose run was returned unstarted is pending again.
	fixture.RunEnded(next[0].Agent, ptrun.End{Run: next[0].Run, Result: ptrun.NeverStarted}, at(110))
	fixture.expect.Expect(fixture.PendingJobs(queue.Name)).To(Equal(backlog - 2))
}

func TestIncompleteAdoptedGangIsStopped(test *testing.T) {
	fixture := newFixture(test, 2)
	job, _, err := fixture.SubmitDurable(ptassign.Spec{Queue: queue, Spec: ptgraph.Spec{ID: "00000000000000a1", Steps: []ptgraph.Step{
		{Count: 2, Demand: ptrun.Demand{CPU: 1000}, Gang: true},
	}}}, nil, true, at(0))
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	earlierRun := ptrun.ID{Task: ptrun.TaskID{Job: "00000000000000a1", Index: 1}, Number: 7}
	fixture.Adopt(agentName(0), earlierRun, at(1))
	fixture.expect.Expect(fixture.FinishRecovery(job, at(2))).To(ContainElement(ptassign.SendStop{Agent: agentName(0), Run: earlierRun, Reason: ptrun.ReasonGangIncomplete}))
}

// Jobs are admitted because all workers together have enough capacity for them. While these
// jobs wait, most workers disappear. The waiting jobs that can no longer end in time must be
// refused long before they expire.
func TestJobsForecastToExpireAreRefusedEarly(test *testing.T) {
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
	fixture.expect.Expect(ended(fixture.Tick(at(50)))).To(BeEmpty(), "all waiting jobs can still start in time")
	refused := ended(fixture.Tick(at(125)))
	fixture.expect.Expect(len(refused)).To(And(BeNumerically(">", 0), BeNumerically("<", agents)))
	for _, end := range refused {
		fixture.expect.Expect(waiting).To(ContainElement(end.Job))
		fixture.expect.Expect(end.Refusal.Reason).To(Equal(ptassign.TooLate))
		fixture.expect.Expect(end.Job.ExpiresAt).To(BeNumerically(">", at(500)))
	}
}

// Another entry requests capacity at ten times the rate of this entry. This entry gets less
// than a tenth of the capacity that becomes free, and its forecast must take this into
// account.
func TestForecastAccountsForCapacityRequestsOfOtherEntries(test *testing.T) {
	firstRefusal := func(requestedByOthers ptrun.MillicoresPerSecond) (admitted int, wait time.Duration) {
		fixture := newFixture(test, 2)
		for index := range 2 {
			fixture.report(index, ptassign.AgentState{RequestedByOthers: requestedByOthers})
		}
		for {
			_, refusal, _ := fixture.submit(1, 100*time.Millisecond, at(0))
			if refusal != nil {
				return admitted, refusal.ForecastWait
			}
			admitted++
		}
	}
	aloneAdmitted, aloneWait := firstRefusal(0)
	// A job of 1,000 millicores that must start within 105 ms requests 9,500 millicores per
	// second.
	sharedAdmitted, sharedWait := firstRefusal(95_000)
	expect := NewWithT(test)
	expect.Expect(sharedAdmitted).To(BeNumerically("<", aloneAdmitted))
	expect.Expect(sharedWait).To(BeNumerically(">", 2*aloneWait))
}

// All connections are reset at once. A caller disconnects, and the stop order for its run is
// lost with the session. The run must be stopped in the next session, since the caller may
// submit the job to another entry.
func TestStopsLostWithASessionAreRepeated(test *testing.T) {
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

// Two zones have equal capacity. An entry must use the workers of its own zone first, and the
// workers of the other zone only when all workers of its own zone are full.
func TestWorkersOfTheOwnZoneAreUsedFirst(test *testing.T) {
	const agents, inZone = 16, 8
	fixture := newFixture(test, agents)
	sameZone := make(map[ptid.AgentName]bool)
	for index := range agents {
		sameZone[agentName(index)] = index < inZone
		fixture.AgentConnected(agentName(index), 1, queue.Service, index < inZone, at(0))
	}
	for job := range agents {
		_, _, effects := fixture.submit(1, 60*time.Millisecond, at(0))
		sent := orders(effects)
		fixture.expect.Expect(sent).To(HaveLen(1))
		fixture.expect.Expect(sameZone[sent[0].Agent]).To(Equal(job < inZone))
	}
}

// A worker's capacity becomes free while an urgent job is waiting behind jobs that arrived
// earlier and have earlier objectives. The urgent job must be placed first.
func TestUrgentJobsArePlacedFirst(test *testing.T) {
	fixture := newFixture(test, 1)
	submit := func(id ptid.JobID, priority int, estimate time.Duration) []ptassign.Effect {
		jobQueue := queue
		jobQueue.Name, jobQueue.Priority = ptid.ProfileName(fmt.Sprint("queue", priority)), priority
		_, refusal, effects, err := fixture.Submit(ptassign.Spec{
			Spec:  ptgraph.Spec{ID: id, MaxAttempts: 3, Steps: []ptgraph.Step{{Count: 1, Demand: ptrun.Demand{CPU: 1000}, Estimate: estimate}}},
			Queue: jobQueue, Deadline: at(1500),
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

// A durable job needs a label that only a quarantined worker has. Probe turns rotate through
// all entries, so this entry's turn may come many seconds later; the job must not wait for
// it.
func TestDurableJobsFallBackToQuarantinedWorkers(test *testing.T) {
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
