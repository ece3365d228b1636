package ptsim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

const (
	// orderLatency is the time that an order from an agent to its worker takes.
	orderLatency = 500 * time.Microsecond
	// leaseRenewalInterval is the interval at which an agent renews the lease of its worker.
	leaseRenewalInterval = 100 * time.Millisecond
	// disconnectDelay is the time after which the entries detect an outage of a worker.
	disconnectDelay = 500 * time.Millisecond
)

// workerSpeeds are the speeds that workers can have, drawn at random. capacityFactors scale
// Setting.Capacity and are assigned to the workers in rotation.
var (
	workerSpeeds    = []float64{0.8, 1, 1.25}
	capacityFactors = []float64{1, 1, 1.5}
)

// sentReport is the last capacity report that an agent sent to an entry.
type sentReport struct {
	report ptruncontrol.CapacityReport
	sentAt ptid.Instant
}

// agent is a simulated agent process with its worker.
type agent struct {
	simulation  *simulation
	index       int
	core        *ptruncontrol.Core
	incarnation ptid.Incarnation
	startedAt   ptid.Instant
	capacity    ptrun.Demand
	speed       float64
	sentReports []sentReport
	running     map[ptrun.ID]*activeRun
	lastEnd     ptrun.EndSequence
	down        bool
	failing     bool
	// slowdown is the factor by which run times are longer than normal. faultySince is the
	// time at which the worker became slow or began to fail runs; ptid.Never if it is healthy.
	slowdown    float64
	faultySince ptid.Instant
	// recoveredAt is when the worker was last slow; zero if it has not been slow.
	recoveredAt ptid.Instant
}

// activeRun is a run on a worker.
type activeRun struct {
	cpu ptrun.Millicores
	// runTime is the run time without a slowdown. progress is the part of it that was done
	// at updatedAt.
	runTime, progress time.Duration
	updatedAt         ptid.Instant
	result            ptrun.Result
	// version is incremented when the end is rescheduled, which invalidates the earlier event.
	version int
}

// advance updates the progress of a run to the current time.
func (agent *agent) advance(run *activeRun) {
	now := agent.simulation.Now()
	run.progress += time.Duration(float64(now.Sub(run.updatedAt)) / agent.slowdown)
	run.updatedAt = now
}

// schedule schedules the end of a run.
func (agent *agent) schedule(id ptrun.ID, run *activeRun) {
	run.version++
	version := run.version
	agent.simulation.After(time.Duration(float64(run.runTime-run.progress)*agent.slowdown), func() {
		if agent.running[id] == run && run.version == version && !agent.down {
			agent.endRun(id, run.result)
		}
	})
}

// setSlowdown sets the slowdown of the worker and reschedules the ends of its runs.
func (agent *agent) setSlowdown(factor float64) {
	for _, run := range agent.running {
		agent.advance(run)
	}
	agent.slowdown, agent.recoveredAt = factor, 0
	if factor == 1 {
		agent.recoveredAt = agent.simulation.Now()
	}
	agent.setFaulty(factor > 1)
	for _, id := range slices.SortedFunc(maps.Keys(agent.running), ptrun.Compare) {
		agent.schedule(id, agent.running[id])
	}
}

// setFaulty sets faultySince to the current time, or to ptid.Never if faulty is false.
func (agent *agent) setFaulty(faulty bool) {
	agent.faultySince = ptid.Never
	if faulty {
		agent.faultySince = agent.simulation.Now()
	}
}

func (simulation *simulation) newAgent(index int) *agent {
	factor := capacityFactors[index%len(capacityFactors)]
	agent := &agent{
		simulation: simulation, index: index, slowdown: 1, faultySince: ptid.Never, speed: simulation.drawSpeed(),
		capacity: ptrun.Demand{
			CPU: ptrun.Millicores(factor * float64(simulation.setting.Capacity.CPU)), Memory: ptrun.Mebibytes(factor * float64(simulation.setting.Capacity.Memory)),
		},
	}
	simulation.Every(tickInterval, agent.tick)
	simulation.Every(leaseRenewalInterval, func() { agent.listRuns(nil) })
	return agent
}

func (agent *agent) name() ptid.AgentName { return ptid.AgentName(fmt.Sprint("agent-", agent.index)) }

func (simulation *simulation) agentOf(name ptid.AgentName) *agent {
	return simulation.agents[indexOf(string(name))]
}

// messageDelay returns the delay of a message between an entry and an agent.
func (simulation *simulation) messageDelay(entry *entry, agent *agent) time.Duration {
	if simulation.sameZone(entry, agent) {
		return simulation.setting.InZone
	}
	return simulation.setting.CrossZone
}

func (simulation *simulation) sameZone(entry *entry, agent *agent) bool {
	return simulation.setting.Entries[entry.index].Zone == agent.index%simulation.setting.Zones
}

// startProcess starts a new incarnation of the agent and its worker and connects it to every
// entry.
func (agent *agent) startProcess() {
	simulation, now := agent.simulation, agent.simulation.Now()
	agent.incarnation++
	agent.core, agent.startedAt, agent.running, agent.lastEnd = ptruncontrol.New(1), now, make(map[ptrun.ID]*activeRun), 0
	agent.core.StopStragglers(true)
	agent.sentReports = make([]sentReport, len(simulation.entries))
	agent.core.HandleAnnouncement(ptrun.Worker{WorkerIdentity: agent.identity(), Service: service, Capacity: agent.capacity, Labels: agent.labels(), Sequence: 1}, agent.clock(), now)
	agent.listRuns(nil)
	for _, entry := range simulation.entries {
		agent.applyEffects(agent.core.SessionOpened(entry.owner(), now))
		agent.send(entry, func() {
			entry.applyEffects(entry.core.AgentConnected(agent.name(), agent.incarnation, service, simulation.sameZone(entry, agent), simulation.Now()))
		})
	}
}

func (agent *agent) identity() ptrun.WorkerIdentity {
	return ptrun.WorkerIdentity{ID: ptrun.WorkerID(agent.name()), StartedAt: time.UnixMilli(int64(agent.incarnation))}
}

func (agent *agent) clock() ptrun.WorkerTime {
	return ptrun.WorkerTime(agent.simulation.Now().Sub(agent.startedAt).Milliseconds() + 1)
}

func (agent *agent) held() (held ptrun.Millicores) {
	for _, run := range agent.running {
		held += run.cpu
	}
	return held
}

// setDown stops the worker and its agent without a shutdown, or starts a new incarnation of
// both.
func (agent *agent) setDown(down bool) {
	if agent.down = down; !down {
		agent.startProcess()
		return
	}
	agent.running = make(map[ptrun.ID]*activeRun)
	for _, entry := range agent.simulation.entries {
		agent.simulation.After(disconnectDelay, func() { entry.core.AgentDisconnected(agent.name(), agent.simulation.Now()) })
	}
}

// send sends a frame with the current capacity report to an entry. onArrival is called before
// the entry handles the report.
func (agent *agent) send(entry *entry, onArrival func()) {
	report := agent.core.CapacityReport(entry.name())
	agent.sentReports[entry.index] = sentReport{report: report, sentAt: agent.simulation.Now()}
	agent.simulation.After(agent.simulation.messageDelay(entry, agent), func() {
		entry.process(func() {
			onArrival()
			entry.applyEffects(entry.core.AgentReported(agent.name(), ptassign.AgentState{
				Worker: report.Worker, Capacity: report.Capacity, Held: report.Held, Own: report.Own, Labels: report.Labels, Unusable: report.Unusable, RequestedByOthers: report.RequestedByOthers,
				Assessment: report.Assessment, MayProbe: report.MayProbe, Speed: report.Speed,
			}, agent.simulation.Now()))
			received := agent.simulation.Now()
			agent.simulation.After(ackDelay, func() {
				if entry.sentAt[agent.index] < received {
					agent.simulation.report.Acknowledgements++
					entry.send(agent, func() {})
				}
			})
		})
	})
}

// ackDelay is the acknowledgement delay of package ptlink plus half a tick. The link sends a due
// acknowledgement at its next tick, which is half a tick later on average.
const ackDelay = 112 * time.Millisecond

// tick runs the periodic work of the agent and sends a capacity report to every entry whose
// last report is out of date.
func (agent *agent) tick() {
	simulation, now := agent.simulation, agent.simulation.Now()
	if agent.down || agent.core == nil {
		return
	}
	// Entries do not fail here, so their heartbeats are not simulated.
	for _, entry := range simulation.entries {
		agent.core.OwnerConfirmed(entry.owner(), now)
		agent.core.CallersConfirmed(entry.owner(), now)
	}
	agent.applyEffects(agent.core.Tick(now))
	sameZoneEntries := 0
	for _, entry := range simulation.entries {
		if simulation.sameZone(entry, agent) {
			sameZoneEntries++
		}
	}
	for index, sent := range agent.sentReports {
		entry := simulation.entries[index]
		report := agent.core.CapacityReport(entry.name())
		interval := ptruncontrol.ReportInterval(simulation.sameZone(entry, agent), sameZoneEntries, len(agent.sentReports))
		if heldByOthers := report.Held.Minus(report.Own); heldByOthers != sent.report.Held.Minus(sent.report.Own) && now.Sub(sent.sentAt) >= interval {
			simulation.report.CapacityReports++
			agent.send(entry, func() {})
		}
	}
}

// listRuns renews the worker's lease, and passes a listing of the worker's active runs and of
// ends to the core.
func (agent *agent) listRuns(ends []ptrun.ListedEnd) {
	if agent.down || agent.core == nil {
		return
	}
	now := agent.simulation.Now()
	agent.core.LeaseRenewal(now)
	listing := ptrun.Listing{WorkerStartedAt: agent.identity().StartedAt, Clock: agent.clock(), Ends: ends}
	for _, id := range slices.SortedFunc(maps.Keys(agent.running), ptrun.Compare) {
		run := agent.running[id]
		agent.advance(run)
		listing.Active = append(listing.Active, ptrun.ListedRun{Run: id, Percent: min(99, int(100*run.progress/run.runTime))})
	}
	agent.applyEffects(agent.core.HandleListing(listing, now, now))
}

// applyEffects executes the effects that the core returned.
func (agent *agent) applyEffects(effects []ptruncontrol.Effect) {
	simulation := agent.simulation
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptruncontrol.StartRun:
			simulation.After(orderLatency, func() { agent.startRun(effect.Start.Run) })
		case ptruncontrol.StopRun:
			simulation.After(orderLatency, func() {
				agent.endRun(effect.Run, ptrun.Stopped)
				agent.applyEffects(agent.core.HandleStopResponse(effect.Run, agent.clock(), nil, simulation.Now()))
			})
		case ptruncontrol.SendEnd:
			agent.sendEnd(effect)
		case ptruncontrol.SendReport:
			simulation.report.ReservationReports++
			agent.send(simulation.entryOf(effect.Owner.Entry), func() {})
		case ptruncontrol.AssessmentChanged:
			for _, entry := range simulation.entries {
				agent.send(entry, func() {})
			}
		case ptruncontrol.StragglerStopped:
			simulation.report.StoppedStragglers++
		case ptruncontrol.ListRuns:
			agent.listRuns(nil)
		case ptruncontrol.BroadcastEnd, ptruncontrol.SendAdopted, ptruncontrol.ThrottleRun:
		}
	}
}

// sendEnd sends the end of a run to the entry that owns the run.
func (agent *agent) sendEnd(effect ptruncontrol.SendEnd) {
	if effect.End.Result == ptrun.NeverStarted {
		agent.simulation.report.ReturnedOrders++
	}
	entry := agent.simulation.entryOf(effect.Owner.Entry)
	agent.send(entry, func() { entry.applyEffects(entry.core.RunEnded(agent.name(), effect.End, agent.simulation.Now())) })
}

// startRun starts a run on the worker.
func (agent *agent) startRun(id ptrun.ID) {
	simulation := agent.simulation
	if agent.down {
		return
	}
	caller := simulation.callers[id.Task.Job]
	runTime, result := time.Millisecond, ptrun.Done
	if caller != nil {
		runTime = time.Duration(float64(caller.runTimes[id.Task.Index]) / agent.speed * simulation.drawStraggling() * agent.farFactor(caller))
	}
	if agent.failing {
		runTime, result = time.Millisecond, ptrun.Failed
	}
	run := &activeRun{cpu: agent.core.DemandOf(id).CPU, runTime: runTime, updatedAt: simulation.Now(), result: result}
	agent.running[id] = run
	if agent.faultySince != ptid.Never && simulation.Now().Sub(agent.faultySince) > faultDetectionTime {
		simulation.report.WastedStarts++
		if len(agent.running) == 1 {
			simulation.report.WastedProbes++
		}
	}
	agent.applyEffects(agent.core.HandleStartResponse(id, agent.clock(), nil, simulation.Now()))
	agent.schedule(id, run)
}

// endRun ends a run on the worker and reports the end to the core. It does nothing if the run
// is not active.
func (agent *agent) endRun(id ptrun.ID, result ptrun.Result) {
	if _, active := agent.running[id]; !active {
		return
	}
	delete(agent.running, id)
	agent.lastEnd++
	agent.listRuns([]ptrun.ListedEnd{{Sequence: agent.lastEnd, End: ptrun.End{Run: id, Result: result}}})
}
