// Package ptdrill tests the scheduling decisions about runs (packages ptassign and
// ptruncontrol) in long seeded simulations with faults, and checks invariants at the workers.
//
// # How it works
//
//  1. Time is simulated. Entries, agents and workers exchange messages with delays. All
//     random choices are derived from the seed.
//  2. Faults occur at any time and overlap: orders that are executed seconds late, links
//     that are cut, processes that are killed or paused, workers that crash.
//  3. A caller whose entry was killed, or whose connection broke, submits its job to a random
//     entry again, after the same delay as the callers of the platform.
//  4. The monitor checks that no task has two active runs at the same time, that no worker
//     exceeds its capacity, and that all jobs and runs end once faults and load have ended.
//
// # Usage
//
//	report, err := ptdrill.Run(seed, steps)
package ptdrill

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
	"github.com/primrosetiller/primrosetiller/pttimeline"
)

const (
	entries = 3
	agents  = 5
	service = ptid.ServiceName("service")
	// resubmitDelay is the time from the loss of a caller's connection until the caller submits
	// its job again.
	resubmitDelay = 1300 * time.Millisecond
	// sessionTimeout is the longest time that either side needs to detect a broken session:
	// a heartbeat interval, the acknowledgement timeout, and a tick.
	sessionTimeout = 600 * time.Millisecond
	tickInterval   = 25 * time.Millisecond
	orderTimeout   = 60 * time.Millisecond
	firstToken     = 1000
)

// Report counts the events of a simulation. GivenUp counts the jobs that ended without
// completing, failing or being refused.
type Report struct {
	Starts, Done, Completed, Failed, Refused, GivenUp, Resubmitted, Faults int
}

// simulation is the state of one simulation.
type simulation struct {
	*pttimeline.Timeline

	random  *rand.Rand
	monitor *monitor
	entries []*entry
	agents  []*agent
	// cutLinks contains the links that are cut, by the indexes of entry and agent.
	cutLinks map[[2]int]bool
	report   Report
	jobs     int
	// quiescent means that load and faults have ended.
	quiescent bool
}

// entry is a simulated entry process.
type entry struct {
	simulation  *simulation
	index       int
	incarnation ptid.Incarnation
	core        *ptassign.Core
	alive       bool
	pausedUntil ptid.Instant
	// callers contains the jobs whose callers are waiting for a reply.
	callers map[ptid.JobID]ptgraph.Spec
	// sessions is the number of the session that the entry uses for each agent; zero means none.
	sessions [agents]int
}

// agent is a simulated agent process with its worker.
type agent struct {
	simulation  *simulation
	index       int
	incarnation ptid.Incarnation
	core        *ptruncontrol.Core
	worker      *worker
	alive       bool
	pausedUntil ptid.Instant
	// sessions is the number of the open session with each entry; zero means none.
	sessions    [entries]int
	demands     map[ptrun.ID]ptrun.Demand
	lastSession int
}

// Run simulates the given number of events and returns the report. err describes the first
// violation of an invariant.
func Run(seed uint64, steps int) (report Report, err error) {
	simulation := &simulation{random: rand.New(rand.NewPCG(seed, 7)), Timeline: pttimeline.New(ptid.Instant(time.Hour)), cutLinks: make(map[[2]int]bool)}
	simulation.monitor = newMonitor()
	for i := range entries {
		simulation.entries = append(simulation.entries, &entry{simulation: simulation, index: i})
		simulation.startEntry(i)
	}
	for i := range agents {
		simulation.agents = append(simulation.agents, &agent{simulation: simulation, index: i, worker: simulation.newWorker(i)})
		simulation.startAgent(i)
	}
	simulation.Every(tickInterval, simulation.tick)
	simulation.Every(40*time.Millisecond, simulation.submitRandomJob)
	simulation.Every(300*time.Millisecond, simulation.injectFault)
	for step := 0; step < steps && simulation.monitor.violation == nil; step++ {
		simulation.Step()
	}
	if simulation.monitor.violation == nil {
		simulation.settle()
	}
	return simulation.report, errors.Wrapf(simulation.monitor.violation, "seed %d at %s", seed, time.Duration(simulation.Now())-time.Hour)
}

// settle ends faults and load, and checks after 20 s that no job is open and no run active.
func (simulation *simulation) settle() {
	simulation.quiescent = true
	simulation.cutLinks = make(map[[2]int]bool)
	simulation.RunUntil(simulation.Now().Add(20 * time.Second))
	for _, entry := range simulation.entries {
		if open := entry.core.OpenJobs(); open > 0 {
			simulation.monitor.fail(errors.Errorf("entry %d has %d open jobs 20 s after the end of load and faults", entry.index, open))
		}
	}
	for _, agent := range simulation.agents {
		if !agent.core.Idle() {
			simulation.monitor.fail(errors.Errorf("agent %d has runs 20 s after the end of load and faults", agent.index))
		}
	}
}

// delay draws the delay of a message.
func (simulation *simulation) delay() time.Duration {
	return time.Duration(100+simulation.random.IntN(1900)) * time.Microsecond
}

// whenResumed calls handle at pausedUntil, or immediately if pausedUntil has passed.
func (simulation *simulation) whenResumed(pausedUntil ptid.Instant, handle func()) {
	if pausedUntil > simulation.Now() {
		simulation.After(pausedUntil.Sub(simulation.Now()), handle)
		return
	}
	handle()
}

func (simulation *simulation) startEntry(index int) {
	entry := simulation.entries[index]
	entry.incarnation++
	entry.core, entry.alive, entry.callers = ptassign.New(uint64(simulation.random.Int64())), true, make(map[ptid.JobID]ptgraph.Spec)
	entry.sessions = [agents]int{}
}

func (simulation *simulation) startAgent(index int) {
	agent := simulation.agents[index]
	agent.incarnation++
	token := ptrun.FenceToken(firstToken + simulation.random.IntN(5000))
	agent.core, agent.alive, agent.demands = ptruncontrol.New(token), true, make(map[ptrun.ID]ptrun.Demand)
	agent.announce()
	incarnation := agent.incarnation
	var list func()
	list = func() {
		if agent.incarnation != incarnation || !agent.alive {
			return
		}
		agent.list()
		simulation.After(30*time.Millisecond, list)
	}
	simulation.After(time.Millisecond, list)
}

func (simulation *simulation) tick() {
	for _, entry := range simulation.entries {
		if entry.alive && entry.pausedUntil <= simulation.Now() {
			entry.applyEffects(entry.core.Tick(simulation.Now()))
		}
	}
	for _, agent := range simulation.agents {
		agent.worker.advance()
		if agent.alive && agent.pausedUntil <= simulation.Now() {
			agent.applyEffects(agent.core.Tick(simulation.Now()))
			agent.dial()
			agent.sendReports()
		}
	}
	simulation.monitor.checkCapacity(simulation)
}

// submitRandomJob submits a random job to a random entry.
func (simulation *simulation) submitRandomJob() {
	if simulation.quiescent {
		return
	}
	simulation.jobs++
	random := simulation.random
	spec := ptgraph.Spec{ID: ptid.JobID(fmt.Sprintf("%016x", simulation.jobs)), MaxAttempts: 3}
	for range 1 + random.IntN(2) {
		step := ptgraph.Step{
			Count: 1 + random.IntN(6), Demand: ptrun.Demand{CPU: ptrun.Millicores(500 + random.IntN(3000)), Memory: 100}, Estimate: 200 * time.Millisecond,
		}
		if len(spec.Steps) > 0 && random.IntN(2) == 0 {
			step.After = []ptrun.StepIndex{0}
		}
		spec.Steps = append(spec.Steps, step)
	}
	simulation.submit(spec, random.IntN(entries))
}

// submit submits a job to an entry. The job is dropped if the entry is down or paused. The
// connection of one in 40 callers breaks within 400 ms.
func (simulation *simulation) submit(spec ptgraph.Spec, index int) {
	entry := simulation.entries[index]
	if !entry.alive || entry.pausedUntil > simulation.Now() {
		return
	}
	_, refusal, effects, err := entry.core.Submit(ptassign.Spec{
		Spec: spec, Deadline: simulation.Now().Add(4 * time.Second),
		Queue: ptqueue.Queue{Name: "queue", Service: service, Stretch: 2, TargetLatency: time.Second},
	}, simulation.Now())
	if err != nil || refusal != nil {
		simulation.report.Refused++
		return
	}
	entry.callers[spec.ID] = spec
	entry.applyEffects(effects)
	if simulation.random.IntN(40) == 0 {
		wait := time.Duration(simulation.random.IntN(400)) * time.Millisecond
		simulation.After(wait, func() { simulation.disconnectCaller(entry, spec) })
	}
}

// disconnectCaller breaks the connection of the caller of a job. The entry cancels the job,
// and the caller submits it again to a random entry.
func (simulation *simulation) disconnectCaller(entry *entry, spec ptgraph.Spec) {
	if _, waiting := entry.callers[spec.ID]; !waiting || !entry.alive {
		return
	}
	delete(entry.callers, spec.ID)
	simulation.resubmit(spec)
	simulation.whenResumed(entry.pausedUntil, func() { entry.applyEffects(entry.core.Cancel(ptassign.Key{ID: spec.ID}, simulation.Now())) })
}

func (simulation *simulation) resubmit(spec ptgraph.Spec) {
	if simulation.quiescent {
		return
	}
	simulation.report.Resubmitted++
	simulation.After(resubmitDelay, func() { simulation.submit(spec, simulation.random.IntN(entries)) })
}

// applyEffects executes the effects that the entry's core returned.
func (entry *entry) applyEffects(effects []ptassign.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptassign.SendOrder:
			owner := ptruncontrol.Owner{Entry: entry.name(), Incarnation: entry.incarnation}
			entry.send(effect.Agent, func(agent *agent) {
				agent.demands[effect.Run] = effect.Demand
				agent.applyEffects(agent.core.Order(ptruncontrol.Order{
					Run: effect.Run, Owner: owner, Demand: effect.Demand, StartBy: effect.StartBy, WaitUntil: agent.simulation.Now().Add(effect.MaxWait), QueueKey: effect.QueueKey,
				}, agent.simulation.Now()))
			})
		case ptassign.SendStop:
			entry.send(effect.Agent, func(agent *agent) {
				agent.applyEffects(agent.core.Stop(effect.Run, effect.Reason, agent.simulation.Now()))
			})
		case ptassign.SendQuery:
			owner := ptruncontrol.Owner{Entry: entry.name(), Incarnation: entry.incarnation}
			entry.send(effect.Agent, func(agent *agent) { agent.applyEffects(agent.core.QueryRun(owner, effect.Run, agent.simulation.Now())) })
		case ptassign.JobEnded:
			entry.jobEnded(effect)
		case ptassign.SaveProgress:
		}
	}
}

func (entry *entry) jobEnded(effect ptassign.JobEnded) {
	report := &entry.simulation.report
	delete(entry.callers, effect.Job.ID)
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

func (entry *entry) name() ptid.EntryName { return ptid.EntryName(fmt.Sprint("entry", entry.index)) }

func (agent *agent) name() ptid.AgentName { return ptid.AgentName(fmt.Sprint("agent", agent.index)) }
