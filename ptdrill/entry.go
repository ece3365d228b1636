package ptdrill

import (
	"fmt"
	"time"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptcaller"
	"github.com/primrosetiller/primrosetiller/ptevacuation"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

// entry is one incarnation of a simulated entry process.
type entry struct {
	process

	index int
	core  *ptassign.Core
	// open contains the open jobs, and roster the callers whose disconnection the entry has not noticed.
	open      map[ptid.JobID]*openJob
	roster    *ptcaller.Roster
	sessions  [agents]*session
	request   ptrun.CapacityRequest
	ownership *ownership
	// evacuation is the state of the evacuated zones as the entry knows it.
	evacuation ptevacuation.State
}

// openJob is a job whose end callers wait for. callers contains those that have not disconnected.
type openJob struct {
	spec    ptgraph.Spec
	callers []*caller
}

// caller is a caller that waits for a job. It implements ptcaller.Caller.
type caller struct{ gone bool }

// IsConnected implements ptcaller.Caller.
func (caller *caller) IsConnected() bool { return !caller.gone }

func (simulation *simulation) startEntry(index int) {
	started := &entry{
		index: index, core: ptassign.New(uint64(simulation.random.Int64())), open: make(map[ptid.JobID]*openJob), roster: ptcaller.New(),
		process: process{simulation: simulation, alive: true, incarnation: 1},
	}
	started.core.PlaceBySpeed(simulation.setting.Faults.Stragglers)
	if previous := simulation.entries[index]; previous != nil {
		started.incarnation = previous.incarnation + 1
	}
	simulation.entries[index] = started
	started.ownership = newOwnership(started)
	if simulation.setting.Durable {
		started.ownership.join()
	}
	if simulation.setting.Faults.Evacuations {
		started.core.RequireEvacuation()
		started.readStore()
	}
	started.after(simulation.between(0, tickInterval), func() { started.every(tickInterval, started.tick) })
	simulation.trace("%s starts", started.name())
}

func (entry *entry) name() ptid.EntryName { return ptid.EntryName(fmt.Sprint("entry", entry.index)) }

func (entry *entry) tick() {
	now := entry.simulation.Now()
	for _, session := range entry.sessions {
		if session != nil {
			session.tick(ptlink.EntrySide)
		}
	}
	entry.checkCallersIfDue()
	entry.applyEffects(entry.core.Tick(now))
	entry.ownership.tick()
	requests, sendNow := entry.core.CapacityRequestsToSend(now)
	entry.request = requests[service]
	if sendNow && entry.request.Rate > 0 {
		for index := range agents {
			entry.post(index, func(*agent) {})
		}
	}
}

// post sends a message to an agent.
func (entry *entry) post(index int, receive func(agent *agent)) {
	session, request := entry.sessions[index], entry.request
	if session == nil {
		return
	}
	target := session.agent
	session.post(ptlink.EntrySide, func() {
		if target.sessions[entry.index] == session {
			target.applyEffects(target.core.RequestCapacity(entry.name(), request, target.simulation.Now()))
			receive(target)
		}
	})
}

func (entry *entry) owner() ptruncontrol.Owner {
	return ptruncontrol.Owner{Entry: entry.name(), Incarnation: entry.incarnation}
}

// applyEffects executes the effects that the entry's core returned.
func (entry *entry) applyEffects(effects []ptassign.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptassign.SendOrder:
			entry.sendOrder(effect)
		case ptassign.SendStop:
			entry.simulation.trace("%s stops %v at %s: %s", entry.name(), effect.Run, effect.Agent, effect.Reason)
			if partition, _ := entry.ownership.find(effect.Run.Task.Job); partition != nil && partition.handover.DropOrder(effect.Agent, effect.Run) {
				entry.applyEffects(entry.core.RunEnded(effect.Agent, ptrun.End{Run: effect.Run, Result: ptrun.NeverStarted, Reason: effect.Reason}, entry.simulation.Now()))
				continue
			}
			entry.post(agentIndex(effect.Agent), func(agent *agent) {
				agent.applyEffects(agent.core.Stop(effect.Run, ptrun.ReasonStopRequested, agent.simulation.Now()))
			})
		case ptassign.SendQuery:
			entry.simulation.trace("%s queries %v at %s", entry.name(), effect.Run, effect.Agent)
			entry.post(agentIndex(effect.Agent), func(agent *agent) {
				agent.applyEffects(agent.core.QueryRun(entry.owner(), effect.Run, agent.simulation.Now()))
			})
		case ptassign.JobEnded:
			entry.jobEnded(effect)
		case ptassign.RejectEnd:
			entry.reject(effect.Agent, effect.Run)
		case ptassign.SaveProgress:
			entry.ownership.progressMade(effect)
		case ptassign.TaskGivenUp:
			entry.simulation.trace("%s gives up %v: %+v", entry.name(), effect.Run, effect.Losses)
		case ptassign.TaskHeld:
			entry.simulation.trace("%s holds %v: %+v", entry.name(), effect.Task, effect.Losses)
		case ptassign.LossResolved:
			entry.simulation.trace("%s resolves the loss of %v: survived %t", entry.name(), effect.Run, effect.Fate == ptgraph.WorkerSurvived)
		case ptassign.RequestAdvice, ptassign.WorkerQuarantined, ptassign.LocalityEvent:
		}
	}
}

// sendOrder sends an order, or retains it until the log holds the agent.
func (entry *entry) sendOrder(effect ptassign.SendOrder) {
	if effect.Job.Durable {
		partition, _ := entry.ownership.find(effect.Job.ID)
		if partition == nil {
			return
		}
		if partition.handover.RetainOrder(effect) {
			entry.simulation.trace("%s retains the order of %v at %s", entry.name(), effect.Run, effect.Agent)
			return
		}
	}
	entry.postOrder(effect)
}

func (entry *entry) postOrder(effect ptassign.SendOrder) {
	var number ptjobstore.Partition
	var epoch ptjobstore.Epoch
	if effect.Job.Durable {
		partition, _ := entry.ownership.find(effect.Job.ID)
		if partition == nil {
			return
		}
		number, epoch = partition.number, partition.epoch
	}
	entry.simulation.trace("%s orders %v at %s", entry.name(), effect.Run, effect.Agent)
	session := entry.sessions[agentIndex(effect.Agent)]
	if session == nil {
		return
	}
	sentAt, confirmedAt := entry.simulation.Now(), session.callersConfirmedAt
	entry.post(agentIndex(effect.Agent), func(agent *agent) {
		now := agent.simulation.Now()
		agent.simulation.owners[agent.index][effect.Run] = entry.owner()
		agent.applyEffects(agent.core.Order(ptruncontrol.Order{
			Run: effect.Run, Owner: entry.owner(), Demand: effect.Demand, SentAt: sentAt, CallersConfirmedAt: confirmedAt, StartBy: effect.StartBy, WaitUntil: now.Add(effect.MaxWait),
			QueueKey: effect.QueueKey, ExpectedRunTime: effect.ExpectedRunTime, Queue: effect.Queue, Isolation: effect.Isolation, Partition: number, Epoch: epoch,
		}, now))
	})
}

func (entry *entry) jobEnded(effect ptassign.JobEnded) {
	report := &entry.simulation.report
	entry.simulation.trace("%s ends job %s: %v", entry.name(), effect.Job.ID, effect.Job.State())
	delete(entry.open, effect.Job.ID)
	entry.roster.End(effect.Job.ID)
	if effect.Job.Durable && effect.Job.State() == ptgraph.Failed {
		entry.simulation.monitor.jobFailed(effect.Job.Spec)
	}
	switch {
	case effect.Refusal != nil:
		report.Refused++
	case effect.Job.State() == ptgraph.Completed:
		report.Completed++
	case effect.Job.State() == ptgraph.Failed:
		report.Failed++
	default:
		report.GivenUp++
	}
}

const (
	minEstimate = 60 * time.Millisecond
	// estimateDoublings is how often minEstimate is doubled at most; the longest run takes 4 s.
	estimateDoublings = 6
)

// submitRandomJob submits a random job to a random entry.
func (simulation *simulation) submitRandomJob() {
	if simulation.quiescent {
		return
	}
	simulation.jobs++
	random := simulation.random
	spec := ptgraph.Spec{ID: ptid.JobID(fmt.Sprintf("%016x", simulation.jobs)), MaxAttempts: 3}
	for stepIndex := range 1 + random.IntN(2) {
		step := ptgraph.Step{
			Count: 1 + random.IntN(6), Estimate: minEstimate << random.IntN(estimateDoublings),
			Demand: ptrun.Demand{CPU: ptrun.Millicores(300 + random.IntN(3200)), Memory: ptrun.Mebibytes(200 + random.IntN(4800))},
		}
		if stepIndex > 0 && random.IntN(2) == 0 {
			step.After = []ptrun.StepIndex{0}
		}
		spec.Steps = append(spec.Steps, step)
		for index := range step.Count {
			simulation.tasks[ptrun.TaskID{Job: spec.ID, Step: ptrun.StepIndex(stepIndex), Index: ptid.TaskIndex(index)}] = taskProperties{
				demand: step.Demand, runTime: simulation.between(step.Estimate, 2*step.Estimate),
			}
		}
	}
	if simulation.setting.Faults.CrashingTasks && simulation.happens(3) {
		simulation.makeCrashing(spec)
	}
	if simulation.setting.Durable && simulation.happens(12) {
		simulation.submitDurable(spec)
		return
	}
	simulation.submit(spec, random.IntN(entries))
}

// makeCrashing makes a random task of the job crash its workers.
func (simulation *simulation) makeCrashing(spec ptgraph.Spec) {
	step := simulation.random.IntN(len(spec.Steps))
	id := ptrun.TaskID{Job: spec.ID, Step: ptrun.StepIndex(step), Index: ptid.TaskIndex(simulation.random.IntN(spec.Steps[step].Count))}
	task := simulation.tasks[id]
	task.crashesAfter = simulation.between(time.Millisecond, 30*time.Millisecond)
	if simulation.happens(30) {
		task.crashesAfter = simulation.between(time.Millisecond, task.runTime)
	}
	simulation.tasks[id] = task
	simulation.trace("task %v crashes its workers after %s", ptrun.ID{Task: id}, task.crashesAfter)
}

// submit submits a job to an entry. The caller of an entry that is down submits the job again.
func (simulation *simulation) submit(spec ptgraph.Spec, index int) {
	target := simulation.entries[index]
	if !target.alive {
		simulation.resubmit(spec)
		return
	}
	waiting := &caller{}
	if target.pausedUntil > simulation.Now() && simulation.setting.Faults.CallerBreaks && simulation.happens(30) {
		// The caller leaves before the entry continues and reads the request.
		simulation.After(simulation.between(0, target.pausedUntil.Sub(simulation.Now())), func() {
			waiting.gone = true
			simulation.resubmit(spec)
		})
	}
	target.handle(func() { target.submit(spec, waiting) })
}

func (entry *entry) submit(spec ptgraph.Spec, waiting *caller) {
	simulation := entry.simulation
	entry.checkCallersIfDue()
	if !entry.roster.Join(spec.ID, waiting) {
		return
	}
	if open := entry.open[spec.ID]; open != nil {
		open.callers = append(open.callers, waiting)
		return
	}
	_, refusal, effects, err := entry.core.Submit(ptassign.Spec{
		Spec: spec, Deadline: simulation.Now().Add(callerTimeout),
		Queue: ptqueue.Queue{Name: "queue", Service: service, Stretch: 2, TargetLatency: time.Second},
	}, simulation.Now())
	if err != nil || refusal != nil {
		entry.roster.End(spec.ID)
		simulation.report.Refused++
		return
	}
	simulation.trace("%s admits job %s", entry.name(), spec.ID)
	entry.open[spec.ID] = &openJob{spec: spec, callers: []*caller{waiting}}
	entry.applyEffects(effects)
	percent := 0
	switch {
	case simulation.quiescent:
	case simulation.setting.Faults.CallerBreaks:
		percent = 6
	case simulation.setting.Faults.Single:
		percent = 2
	}
	if simulation.happens(percent) {
		simulation.After(simulation.between(0, time.Second), func() { entry.disconnectCaller(spec.ID) })
	}
}

// disconnectCaller breaks the connection of a caller. The caller submits the job to a random entry
// again. The operating system of the entry learns of the loss some milliseconds later, and the entry
// handles it as soon as it runs.
func (entry *entry) disconnectCaller(id ptid.JobID) {
	simulation, open := entry.simulation, entry.open[id]
	if open == nil || len(open.callers) == 0 || !entry.alive {
		return
	}
	lost := open.callers[0]
	open.callers = open.callers[1:]
	simulation.trace("%s loses the caller of job %s", entry.name(), id)
	simulation.resubmit(open.spec)
	notice := simulation.between(0, 5*time.Millisecond)
	if simulation.setting.Faults.LateNotice && simulation.happens(30) {
		notice = simulation.between(0, 4*time.Second)
	}
	simulation.After(notice, func() {
		lost.gone = true
		entry.handle(func() {
			if entry.roster.Leave(id, lost) {
				entry.cancelAbandoned(id)
			}
		})
	})
}

func (entry *entry) cancelAbandoned(id ptid.JobID) {
	if entry.open[id] != nil {
		entry.applyEffects(entry.core.Cancel(ptassign.Key{ID: id}, entry.simulation.Now()))
	}
}

func (entry *entry) checkCallersIfDue() {
	if entry.roster.IsCheckDue(entry.simulation.Now()) {
		entry.checkCallers()
	}
}

// checkCallers checks the callers of all jobs, cancels the abandoned ones and confirms the others to the
// agents.
func (entry *entry) checkCallers() {
	now := entry.simulation.Now()
	for _, id := range entry.roster.Check(now) {
		entry.simulation.trace("%s finds job %s abandoned", entry.name(), id)
		entry.cancelAbandoned(id)
	}
	for _, session := range entry.sessions {
		if session != nil {
			session.callersConfirmedAt = now
		}
	}
}

func (simulation *simulation) resubmit(spec ptgraph.Spec) {
	if simulation.quiescent {
		return
	}
	simulation.report.Resubmitted++
	simulation.After(resubmitDelay, func() { simulation.submit(spec, simulation.random.IntN(entries)) })
}
