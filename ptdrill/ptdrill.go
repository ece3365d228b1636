// Package ptdrill drives the decisions about runs (packages ptassign and ptroom)
// through long seeded histories with faults, and checks what workers see.
//
// # How it works
//
//  1. Time is simulated. Entries, agents and workers exchange messages with delays;
//     everything random comes from the seed.
//  2. Faults come at any moment and overlap: orders that are carried out seconds late,
//     links that are cut, processes that are killed or frozen, workers that crash.
//  3. Callers submit again to another entry, as late as the platform's callers do, when
//     their entry is gone.
//  4. The monitor asserts that no task runs twice at the same time, that no worker is
//     over its capacity, and that every job that nobody disturbs ends.
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
	"github.com/primrosetiller/primrosetiller/ptroom"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/pttimeline"
)

const (
	entries = 3
	agents  = 5
	service = ptid.ServiceName("service")
	// resubmitAfter is how long after a broken connection a caller sends its job again.
	resubmitAfter = 1300 * time.Millisecond
	// silence is how long either side of a cut session needs to find it, at most: a
	// heartbeat interval, the wait for its acknowledgement, and a tick.
	silence    = 600 * time.Millisecond
	tick       = 25 * time.Millisecond
	orderLimit = 60 * time.Millisecond
	firstToken = 1000
)

// Report counts what happened.
type Report struct {
	Starts, Done, Completed, Failed, Refused, GivenUp, Resubmitted, Faults int
}

// drill is one history.
type drill struct {
	*pttimeline.Timeline

	random  *rand.Rand
	monitor *monitor
	entries []*entry
	agents  []*agent
	cut     map[[2]int]bool
	report  Report
	jobs    int
	calm    bool
}

// entry is a simulated entry process.
type entry struct {
	drill       *drill
	index       int
	incarnation ptid.Incarnation
	core        *ptassign.Core
	alive       bool
	frozenUntil ptid.Instant
	callers     map[ptid.JobID]ptgraph.Spec
	// links has the number of the session with each agent that the entry uses.
	links [agents]int
}

// agent is a simulated agent process with its worker.
type agent struct {
	drill       *drill
	index       int
	incarnation ptid.Incarnation
	core        *ptroom.Core
	worker      *worker
	alive       bool
	frozenUntil ptid.Instant
	// sessions has the number of the open session with each entry; zero means none.
	sessions    [entries]int
	demands     map[ptrun.ID]ptrun.Demand
	lastSession int
}

// Run plays a history of so many events and returns what happened. err names the first
// broken invariant.
func Run(seed uint64, steps int) (report Report, err error) {
	drill := &drill{random: rand.New(rand.NewPCG(seed, 7)), Timeline: pttimeline.New(ptid.Instant(time.Hour)), cut: make(map[[2]int]bool)}
	drill.monitor = newMonitor()
	for i := range entries {
		drill.entries = append(drill.entries, &entry{drill: drill, index: i})
		drill.startEntry(i)
	}
	for i := range agents {
		drill.agents = append(drill.agents, &agent{drill: drill, index: i, worker: drill.newWorker(i)})
		drill.startAgent(i)
	}
	drill.Every(tick, drill.tick)
	drill.Every(40*time.Millisecond, drill.submit)
	drill.Every(300*time.Millisecond, drill.fault)
	for step := 0; step < steps && drill.monitor.broken == nil; step++ {
		drill.Step()
	}
	if drill.monitor.broken == nil {
		drill.settle()
	}
	return drill.report, errors.Wrapf(drill.monitor.broken, "seed %d at %s", seed, time.Duration(drill.Now())-time.Hour)
}

// settle ends faults and load, and expects that everything ends.
func (drill *drill) settle() {
	drill.calm = true
	drill.cut = make(map[[2]int]bool)
	drill.RunUntil(drill.Now().Add(20 * time.Second))
	for _, entry := range drill.entries {
		if open := entry.core.OpenJobs(); open > 0 {
			drill.monitor.breaks(errors.Errorf("entry %d has %d open jobs after the calm", entry.index, open))
		}
	}
	for _, agent := range drill.agents {
		if !agent.core.Idle() {
			drill.monitor.breaks(errors.Errorf("agent %d has runs after the calm", agent.index))
		}
	}
}

// delay is the time of a message on its way.
func (drill *drill) delay() time.Duration {
	return time.Duration(100+drill.random.IntN(1900)) * time.Microsecond
}

// awake runs do when a frozen process goes on.
func (drill *drill) awake(frozenUntil ptid.Instant, do func()) {
	if frozenUntil > drill.Now() {
		drill.After(frozenUntil.Sub(drill.Now()), do)
		return
	}
	do()
}

func (drill *drill) startEntry(index int) {
	entry := drill.entries[index]
	entry.incarnation++
	entry.core, entry.alive, entry.callers = ptassign.New(uint64(drill.random.Int64())), true, make(map[ptid.JobID]ptgraph.Spec)
	entry.links = [agents]int{}
}

func (drill *drill) startAgent(index int) {
	agent := drill.agents[index]
	agent.incarnation++
	token := ptrun.FenceToken(firstToken + drill.random.IntN(5000))
	agent.core, agent.alive, agent.demands = ptroom.New(token, drill.Now()), true, make(map[ptrun.ID]ptrun.Demand)
	agent.announce()
	incarnation := agent.incarnation
	var list func()
	list = func() {
		if agent.incarnation != incarnation || !agent.alive {
			return
		}
		agent.list()
		drill.After(30*time.Millisecond, list)
	}
	drill.After(time.Millisecond, list)
}

func (drill *drill) tick() {
	for _, entry := range drill.entries {
		if entry.alive && entry.frozenUntil <= drill.Now() {
			entry.do(entry.core.Tick(drill.Now()))
		}
	}
	for _, agent := range drill.agents {
		agent.worker.advance()
		if agent.alive && agent.frozenUntil <= drill.Now() {
			agent.do(agent.core.Tick(drill.Now()))
			agent.dial()
			agent.report()
		}
	}
	drill.monitor.check(drill)
}

// submit lets callers send jobs.
func (drill *drill) submit() {
	if drill.calm {
		return
	}
	drill.jobs++
	random := drill.random
	spec := ptgraph.Spec{ID: ptid.JobID(fmt.Sprintf("%016x", drill.jobs)), MaxAttempts: 3}
	for range 1 + random.IntN(2) {
		step := ptgraph.Step{
			Count: 1 + random.IntN(6), Demand: ptrun.Demand{CPU: ptrun.Millicores(500 + random.IntN(3000)), Memory: 100}, Estimate: 200 * time.Millisecond,
		}
		if len(spec.Steps) > 0 && random.IntN(2) == 0 {
			step.After = []ptrun.StepIndex{0}
		}
		spec.Steps = append(spec.Steps, step)
	}
	drill.send(spec, random.IntN(entries))
}

// send submits a job to an entry. A caller whose entry is gone or frozen sends it again.
func (drill *drill) send(spec ptgraph.Spec, index int) {
	entry := drill.entries[index]
	if !entry.alive || entry.frozenUntil > drill.Now() {
		return
	}
	_, refusal, effects, err := entry.core.Submit(ptassign.Spec{
		Spec: spec, Deadline: drill.Now().Add(4 * time.Second),
		Queue: ptqueue.Queue{Name: "queue", Service: service, Stretch: 2, TargetLatency: time.Second},
	}, drill.Now())
	if err != nil || refusal != nil {
		drill.report.Refused++
		return
	}
	entry.callers[spec.ID] = spec
	entry.do(effects)
	if drill.random.IntN(40) == 0 {
		wait := time.Duration(drill.random.IntN(400)) * time.Millisecond
		drill.After(wait, func() { drill.breakCaller(entry, spec) })
	}
}

// breakCaller breaks the connection of one caller, which submits again elsewhere.
func (drill *drill) breakCaller(entry *entry, spec ptgraph.Spec) {
	if _, waits := entry.callers[spec.ID]; !waits || !entry.alive {
		return
	}
	delete(entry.callers, spec.ID)
	drill.resubmit(spec)
	drill.awake(entry.frozenUntil, func() { entry.do(entry.core.Cancel(ptassign.Key{ID: spec.ID}, drill.Now())) })
}

func (drill *drill) resubmit(spec ptgraph.Spec) {
	if drill.calm {
		return
	}
	drill.report.Resubmitted++
	drill.After(resubmitAfter, func() { drill.send(spec, drill.random.IntN(entries)) })
}

// do carries out an entry's effects.
func (entry *entry) do(effects []ptassign.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptassign.SendOrder:
			owner := ptroom.Owner{Entry: entry.name(), Incarnation: entry.incarnation}
			entry.post(effect.Agent, func(agent *agent) {
				agent.demands[effect.Run] = effect.Demand
				agent.do(agent.core.Order(ptroom.Order{
					Run: effect.Run, Owner: owner, Demand: effect.Demand, StartBy: effect.StartBy, WaitUntil: agent.drill.Now().Add(effect.MaxWait), QueueKey: effect.QueueKey,
				}, agent.drill.Now()))
			})
		case ptassign.SendStop:
			entry.post(effect.Agent, func(agent *agent) { agent.do(agent.core.Stop(effect.Run, effect.Reason, agent.drill.Now())) })
		case ptassign.SendQuery:
			owner := ptroom.Owner{Entry: entry.name(), Incarnation: entry.incarnation}
			entry.post(effect.Agent, func(agent *agent) { agent.do(agent.core.QueryRun(owner, effect.Run, agent.drill.Now())) })
		case ptassign.JobEnded:
			entry.ended(effect)
		case ptassign.SaveProgress:
		}
	}
}

func (entry *entry) ended(effect ptassign.JobEnded) {
	report := &entry.drill.report
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
