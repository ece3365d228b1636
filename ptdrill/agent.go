package ptdrill

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptevacuation"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

// These limits are those of package ptrunner.
const (
	listWait            = 100 * time.Millisecond
	orderTimeout        = 25 * time.Millisecond
	listTimeout         = 40 * time.Millisecond
	backupListDuration  = 5 * time.Second
	listRetryDelay      = 20 * time.Millisecond
	unackedListInterval = 10 * time.Millisecond
	idleListDelay       = 50 * time.Millisecond
)

// agent is one incarnation of a simulated agent process.
type agent struct {
	process

	index    int
	core     *ptruncontrol.Core
	sessions [entries]*session
	// connections contains all sessions that the agent has not closed, including those without a
	// welcome.
	connections []*session
	lastSession int
	reported    [entries]ptruncontrol.CapacityReport
	reportedAt  [entries]ptid.Instant
	// recorded is the newest announcement that the agent has stored.
	recorded ptrun.Worker
	// backupListUntil is the time until which the backup loop requests listings.
	backupListUntil ptid.Instant
	// starvedUntil is the time until which calls and their outcomes are late.
	starvedUntil ptid.Instant
	// evacuation is the state of the evacuated zones as the agent knows it.
	evacuation ptevacuation.State
}

// minStarvation and maxStarvation bound how late a starved machine is.
const (
	minStarvation = 20 * time.Millisecond
	maxStarvation = 500 * time.Millisecond
)

// starvation draws how late a call or its outcome is.
func (agent *agent) starvation() time.Duration {
	if simulation := agent.simulation; agent.starvedUntil > simulation.Now() && simulation.happens(50) {
		return simulation.between(minStarvation, maxStarvation)
	}
	return 0
}

// maxClockSkew is how far the wall clock of an agent process, which is its first fence token, may
// be ahead or behind.
const maxClockSkew = 2 * time.Second

func (simulation *simulation) startAgent(index int) {
	token := simulation.Now()
	if simulation.happens(20) {
		token = token.Add(simulation.between(-maxClockSkew, maxClockSkew))
	}
	started := &agent{
		index: index, core: ptruncontrol.New(ptrun.FenceToken(int64(token) / int64(time.Millisecond))),
		process: process{simulation: simulation, alive: true, incarnation: 1},
	}
	started.core.StopStragglers(true)
	if previous := simulation.agents[index]; previous != nil {
		started.incarnation = previous.incarnation + 1
	}
	simulation.agents[index] = started
	simulation.trace("%s starts", started.name())
	if simulation.happens(80) {
		started.after(simulation.between(time.Millisecond, 50*time.Millisecond), started.restoreWorker)
	}
	started.after(0, func() { started.listLoop(false) })
	started.after(0, func() { started.listLoop(true) })
	started.after(0, started.dialWhenTakenOver)
	started.after(simulation.between(0, tickInterval), func() { started.every(tickInterval, started.tick) })
}

func (agent *agent) name() ptid.AgentName { return ptid.AgentName(fmt.Sprint("agent", agent.index)) }

// agentIndex returns the index in the name of an agent.
func agentIndex(name ptid.AgentName) (index int) {
	index, _ = strconv.Atoi(strings.TrimPrefix(string(name), "agent"))
	return index
}

// restoreWorker restores the worker that was stored before this process started.
func (agent *agent) restoreWorker() {
	record := agent.simulation.records[agent.index]
	if _, known := agent.core.Worker(); known || record == nil {
		return
	}
	agent.simulation.trace("%s restores %s", agent.name(), workerName(record.WorkerIdentity))
	agent.applyEffects(agent.core.RestoreWorker(*record, agent.simulation.Now()))
}

func (agent *agent) tick() {
	simulation, now := agent.simulation, agent.simulation.Now()
	for _, session := range agent.sessions {
		if session != nil {
			session.tick(ptlink.AgentSide)
		}
	}
	agent.applyEffects(agent.core.Tick(now))
	for index, session := range agent.sessions {
		if session == nil {
			continue
		}
		report := agent.core.CapacityReport(simulation.entries[index].name())
		interval := max(minHeartbeatInterval, agents*heartbeatIntervalPerSession)
		if report.Own != (ptrun.Demand{}) {
			interval = min(interval, busyHeartbeat)
		}
		session.sides[ptlink.AgentSide].link.SetHeartbeatInterval(now, interval)
		if !sameReport(report, agent.reported[index]) && now.Sub(agent.reportedAt[index]) >= ptruncontrol.ReportInterval(true, entries, entries) {
			agent.post(index, nil)
		}
	}
}

func sameReport(left, right ptruncontrol.CapacityReport) bool {
	return left.Worker == right.Worker && left.Capacity == right.Capacity && left.Unusable == right.Unusable && left.Isolating == right.Isolating &&
		left.Held.Minus(left.Own) == right.Held.Minus(right.Own)
}

// open makes a session that an entry has accepted the current one.
func (agent *agent) open(opened *session) {
	now, index := agent.simulation.Now(), opened.entry.index
	opened.sides[ptlink.AgentSide].link = ptlink.New(ptlink.AgentSide, now, max(minHeartbeatInterval, agents*heartbeatIntervalPerSession))
	previous := agent.sessions[index]
	agent.sessions[index] = opened
	agent.simulation.trace("%s opens a session with %s", agent.name(), opened.entry.name())
	agent.applyEffects(agent.core.SessionOpened(opened.entry.owner(), now))
	agent.postEvacuation(index)
	if previous != nil {
		previous.close(ptlink.AgentSide)
	}
}

// post sends a message and a capacity report to an entry.
func (agent *agent) post(index int, receive func(entry *entry)) {
	session := agent.sessions[index]
	if session == nil {
		return
	}
	target := session.entry
	report := agent.core.CapacityReport(target.name())
	agent.reported[index], agent.reportedAt[index] = report, agent.simulation.Now()
	session.post(ptlink.AgentSide, func() {
		if target.sessions[agent.index] != session {
			return
		}
		target.checkCallersIfDue()
		target.applyEffects(target.core.AgentReported(agent.name(), ptassign.AgentState{
			Worker: report.Worker, Capacity: report.Capacity, Held: report.Held, Own: report.Own, Unusable: report.Unusable,
			RequestedByOthers: report.RequestedByOthers, Assessment: report.Assessment, MayProbe: report.MayProbe, Isolating: report.Isolating, Speed: report.Speed,
		}, target.simulation.Now()))
		if receive != nil {
			receive(target)
		}
	})
}

// postTo sends a message to an incarnation of an entry, if there is a session with it.
func (agent *agent) postTo(owner ptruncontrol.Owner, receive func(entry *entry)) {
	for index, session := range agent.sessions {
		if session != nil && session.entry.owner() == owner {
			agent.post(index, receive)
		}
	}
}

// applyEffects executes the effects that the agent's core returned.
func (agent *agent) applyEffects(effects []ptruncontrol.Effect) {
	simulation := agent.simulation
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptruncontrol.StartRun:
			simulation.monitor.checkEvacuation(agent)
			agent.order(startCall, func(worker *worker) error {
				return worker.start(effect.Worker, effect.Token, effect.Start)
			}, func(clock ptrun.WorkerTime, err error) {
				agent.raiseTokenIfFenced(effect.Token, err)
				simulation.trace("%s starts %v: %v", agent.name(), effect.Start.Run, err)
				agent.applyEffects(agent.core.HandleStartResponse(effect.Start.Run, clock, err, simulation.Now()))
			})
		case ptruncontrol.StopRun:
			simulation.trace("%s orders the stop of %v: %s", agent.name(), effect.Run, effect.Reason)
			agent.order(stopCall, func(worker *worker) error { return worker.stop(effect.Worker, effect.Token, effect.Run) }, func(clock ptrun.WorkerTime, err error) {
				agent.raiseTokenIfFenced(effect.Token, err)
				agent.applyEffects(agent.core.HandleStopResponse(effect.Run, clock, err, simulation.Now()))
			})
		case ptruncontrol.SendReport:
			agent.postTo(effect.Owner, nil)
		case ptruncontrol.AssessmentChanged:
			for index := range entries {
				agent.post(index, nil)
			}
		case ptruncontrol.ListRuns:
			agent.list(0, func(error) {})
		case ptruncontrol.SendEnd:
			simulation.trace("%s ends %v: %s %s", agent.name(), effect.End.Run, effect.End.Result, effect.End.Reason)
			agent.postTo(effect.Owner, func(entry *entry) {
				entry.receiveEnd(agent, effect.End)
			})
		case ptruncontrol.UnaccountedRunsChanged, ptruncontrol.WorkerReplaced, ptruncontrol.LeaseExpired, ptruncontrol.OrderJoined,
			ptruncontrol.WorkerCrashed, ptruncontrol.WorkerResumed, ptruncontrol.StragglerStopped, ptruncontrol.SpeedChanged:
			simulation.trace("%s: %T%+v", agent.name(), effect, effect)
		case ptruncontrol.BroadcastEnd:
			agent.postBroadcast(effect.End)
		case ptruncontrol.SendAdopted:
			simulation.trace("%s gives %s partition %d: %v", agent.name(), effect.Owner.Entry, effect.Partition, effect.Runs)
			agent.postTo(effect.Owner, func(entry *entry) {
				entry.ownership.handleAdopted(agent, effect.Partition, effect.Epoch, effect.Runs)
			})
		case ptruncontrol.ThrottleRun:
		}
	}
}

func (agent *agent) raiseTokenIfFenced(token ptrun.FenceToken, err error) {
	if errors.Is(err, ptrun.ErrFenced) {
		agent.core.RaiseToken(token)
	}
}

// listLoop requests listings. The backup loop does so only until backupListUntil.
func (agent *agent) listLoop(backup bool) {
	again := func() { agent.listLoop(backup) }
	_, known := agent.core.WorkerToList()
	if !known || backup && agent.simulation.Now() >= agent.backupListUntil {
		agent.after(idleListDelay, again)
		return
	}
	list := func(wait time.Duration) {
		agent.list(wait, func(err error) {
			if err != nil {
				agent.after(listRetryDelay, again)
				return
			}
			again()
		})
	}
	if agent.core.HasUnacknowledgedEnds() {
		agent.after(unackedListInterval, func() { list(0) })
		return
	}
	list(listWait)
}

// list requests a listing, which also renews the lease.
func (agent *agent) list(wait time.Duration, done func(err error)) {
	simulation := agent.simulation
	current, known := agent.core.WorkerToList()
	requestedAt, token := simulation.Now(), agent.core.FenceToken()
	renewal := agent.core.LeaseRenewal(requestedAt)
	if !known {
		done(errors.New("no worker is known"))
		return
	}
	renewal.PollTimeout = wait
	var listing ptrun.Listing
	agent.call(listCall, wait+listTimeout, func(target *worker, respond func(err error)) {
		target.renewLease(current, token, renewal, func(listed ptrun.Listing, err error) {
			listing = listed
			respond(err)
		})
	}, func(_ ptrun.WorkerTime, err error) {
		now := simulation.Now()
		switch {
		case err == nil:
			agent.applyEffects(agent.core.HandleListing(listing, requestedAt, now))
		case errors.Is(err, ptrun.ErrFenced):
			agent.core.RaiseToken(token)
		case errors.Is(err, ptrun.ErrWorkerMismatch):
			simulation.trace("%s learns that %s is gone", agent.name(), workerName(current))
			agent.applyEffects(agent.core.HandleWorkerGone(current, now))
		default:
			agent.backupListUntil = now.Add(backupListDuration)
			simulation.trace("%s gets no listing: %v", agent.name(), err)
			agent.applyEffects(agent.core.HandleListFailure(err, requestedAt, now))
		}
		done(err)
	})
}

// order sends a start or stop order to the worker.
func (agent *agent) order(kind callKind, execute func(worker *worker) error, onResponse func(clock ptrun.WorkerTime, err error)) {
	agent.call(kind, orderTimeout, func(worker *worker, respond func(err error)) { respond(execute(worker)) }, onResponse)
}

// callKind is the kind of a call to a worker.
type callKind int

const (
	startCall callKind = iota
	stopCall
	listCall
	callKinds
)

// network is the state of the connection between an agent and its worker.
type network struct {
	// unanswered is the share of the calls of each kind that get no response until the instant
	// unansweredUntil, in percent.
	unanswered      [callKinds]int
	unansweredUntil [callKinds]ptid.Instant
}

// call calls the worker at the agent's address. Either a response or the timeout is handled.
func (agent *agent) call(kind callKind, timeout time.Duration, execute func(worker *worker, respond func(err error)), onResponse func(clock ptrun.WorkerTime, err error)) {
	simulation := agent.simulation
	settled := false
	settle := func(clock ptrun.WorkerTime, err error) {
		handle := func() {
			if !settled {
				settled = true
				onResponse(clock, err)
			}
		}
		if late := agent.starvation(); late > 0 {
			agent.after(late, handle)
			return
		}
		agent.handle(handle)
	}
	simulation.After(timeout, func() { settle(0, ptrun.ErrUnanswered) })
	simulation.After(simulation.delay()/10+agent.starvation(), func() {
		target := simulation.workers[agent.index]
		answer := func(err error) {
			clock := target.clock()
			simulation.After(simulation.delay()/10, func() { settle(clock, err) })
		}
		switch simulation.drawFate(agent.index, kind) {
		case lostCall:
		case lateCall:
			simulation.After(simulation.lateness(agent.index, kind), func() {
				next := simulation.workers[agent.index]
				if next == target || simulation.setting.Faults.LateOrdersToNextWorker {
					next.receive(func() { execute(next, func(error) {}) })
				}
			})
		case lostResponse:
			target.receive(func() { execute(target, func(error) {}) })
		case refusedCall:
			if target.alive {
				answer(ptrun.ErrUnhealthy)
			} else {
				answer(ptrun.ErrNotListening)
			}
		case mismatchedCall:
			answer(ptrun.ErrWorkerMismatch)
		case answeredCall:
			target.receive(func() { execute(target, answer) })
		}
	})
}

// fate is what happens to a call.
type fate int

const (
	answeredCall fate = iota
	lostCall
	lateCall
	lostResponse
	// refusedCall is refused by a worker that is unhealthy or down.
	refusedCall
	// mismatchedCall is answered by the wrong worker.
	mismatchedCall
)

func (simulation *simulation) drawFate(index int, kind callKind) fate {
	network, faults := &simulation.network[index], simulation.setting.Faults
	percent, draw := 0, simulation.random.IntN(1000)
	if network.unansweredUntil[kind] > simulation.Now() {
		percent = network.unanswered[kind]
	}
	switch {
	case !simulation.workers[index].alive:
		return [...]fate{lostCall, refusedCall}[simulation.random.IntN(2)]
	case simulation.quiescent:
		return answeredCall
	case draw < 10*percent:
		return [...]fate{lostCall, lateCall, lateCall, lostResponse}[simulation.random.IntN(4)]
	case faults.Single && draw >= 960:
		return [...]fate{lostCall, lateCall, lateCall, lostResponse}[simulation.random.IntN(4)]
	case faults.Single && draw >= 950:
		return refusedCall
	case faults.RepeatedAnnouncements && kind == listCall && draw >= 940:
		return mismatchedCall
	default:
		return answeredCall
	}
}

// lateness draws how late a call is carried out.
func (simulation *simulation) lateness(index int, kind callKind) time.Duration {
	if simulation.network[index].unansweredUntil[kind] > simulation.Now() {
		return simulation.between(2*time.Second, 12*time.Second)
	}
	return simulation.between(100*time.Millisecond, 6100*time.Millisecond)
}
