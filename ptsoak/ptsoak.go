// Package ptsoak tests the scheduling decisions of entries and agents in long seeded
// simulations with faults, and checks the reported outcomes against the tasks that started.
//
// # How it works
//
//  1. The cores of entries and agents are those used in production (packages ptservice
//     and ptslots). Only clocks, sessions and upstreams are simulated.
//  2. Every step draws one event: a submission, the delivery of a message, the end of a
//     run, an advance of the clock, or a fault. Faults close sessions and lose their
//     messages, drop all messages of one direction, replace agents and entries by new
//     incarnations, drain upstreams, cancel jobs and make runs fail.
//  3. The clocks of agents have an offset from the clock of the entries. When an entry
//     converts an instant to an agent's clock, the result is early by a random error, as
//     in production.
//  4. The simulation checks after every step that no task has started twice, and that no
//     task that was reported as not run has started, whether before the report or after it.
//     It checks at the end of a job that a complete job has the answer of each of its
//     tasks, and that every job ends by its deadline.
//
// # Usage
//
//	result, err := ptsoak.Run(ptsoak.Setting{Seed: 1, Steps: 1_000_000})
//
// # Limits
//
// Messages of an open session are delivered in order, as on a TCP connection. Messages of
// a closed session are dropped, or delivered at any later time in any order. In production
// the session number prevents that, so the simulation is harsher than production.
package ptsoak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjob"
	"github.com/primrosetiller/primrosetiller/ptlease"
	"github.com/primrosetiller/primrosetiller/ptorder"
	"github.com/primrosetiller/primrosetiller/ptplace"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptquota"
	"github.com/primrosetiller/primrosetiller/ptreason"
	"github.com/primrosetiller/primrosetiller/ptsched"
	"github.com/primrosetiller/primrosetiller/ptservice"
	"github.com/primrosetiller/primrosetiller/ptslots"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	entryCount   = 3
	agentCount   = 4
	slotCount    = 3
	maxTasks     = 6
	maxOpenJobs  = 40
	queueTimeout = 2 * time.Second
	runTimeout   = 3 * time.Second
	maxClockStep = 5 * time.Millisecond
	// clockError is the upper bound of the time by which a conversion to an agent's clock is
	// early.
	clockError = 3 * time.Millisecond
	// expiryInterval is the number of steps between two expirations of old start records.
	expiryInterval = 64
)

// Setting configures a simulation. Steps is the number of events.
type Setting struct {
	Seed  uint64
	Steps int
	// Placement is the placement policy of all entries; empty means ptplace.Leases.
	Placement ptplace.Policy
}

// Result counts the events of a simulation. Lost counts the jobs whose entry was killed, Late
// the messages about tasks that their entry no longer waited for.
type Result struct {
	Submitted int `json:"submitted"`
	Refused   int `json:"refused"`
	Complete  int `json:"complete"`
	Failed    int `json:"failed"`
	NotRun    int `json:"notRun"`
	Lost      int `json:"lost"`
	Starts    int `json:"starts"`
	Faults    int `json:"faults"`
	Requeued  int `json:"requeued"`
	Late      int `json:"late"`
}

// entry is one incarnation of an entry.
type entry struct {
	name                 ptid.EntryName
	incarnation          ptid.Incarnation
	sequence             uint64
	core                 *ptservice.Core
	openJobs             map[ptid.JobID]*ptjob.Job
	startDeadlinePending map[ptid.JobID]bool
	sessions             map[*ptsched.Upstream]*session
}

// agent is one incarnation of an agent and its upstream.
type agent struct {
	name        ptid.AgentName
	incarnation ptid.Incarnation
	clockOffset ptid.Instant
	core        *ptslots.Core
	running     []*ptslots.Task
	cancelled   map[ptid.TaskID]bool
}

// session is a connection with the messages in transit in both directions.
type session struct {
	agent    *agent
	entry    *entry
	upstream *ptsched.Upstream
	toEntry  []message
	toAgent  []message
	// dropToEntry and dropToAgent drop all new messages in that direction.
	dropToEntry bool
	dropToAgent bool
	closed      bool
}

// message is a message on a session.
type message interface{ isMessage() }

type (
	dispatchMessage struct{ dispatch *ptwire.Dispatch }
	cancelMessage   struct{ refs []*ptwire.TaskRef }
	resolveMessage  struct{ resolve *ptwire.Resolve }
	ackMessage      struct{ id ptid.AttemptID }
	answerMessage   struct {
		answer *ptwire.Answer
		status ptslots.SlotStatus
	}
	refusalMessage struct {
		refusal ptslots.Refuse
		status  ptslots.SlotStatus
	}
	statusMessage struct{ status ptslots.SlotStatus }
)

func (dispatchMessage) isMessage() {}
func (cancelMessage) isMessage()   {}
func (resolveMessage) isMessage()  {}
func (ackMessage) isMessage()      {}
func (answerMessage) isMessage()   {}
func (refusalMessage) isMessage()  {}
func (statusMessage) isMessage()   {}

// simulation is the state of one simulation.
type simulation struct {
	setting  Setting
	random   *rand.Rand
	now      ptid.Instant
	entries  []*entry
	agents   []*agent
	sessions map[ptid.AgentName]map[ptid.EntryName]*session
	starts   map[ptid.TaskID]int
	notRun   map[ptid.TaskID]bool
	// stale contains messages of closed sessions that may still be delivered.
	stale           []staleMessage
	result          Result
	violation       error
	lastIncarnation ptid.Incarnation
}

// Run executes one seeded simulation. err describes the first violation of an invariant and
// the step at which it occurred.
func Run(setting Setting) (result Result, err error) {
	if setting.Placement == "" {
		setting.Placement = ptplace.Leases
	}
	simulation := &simulation{
		setting: setting, random: rand.New(rand.NewPCG(setting.Seed, setting.Seed)), now: ptid.Instant(time.Hour),
		sessions: make(map[ptid.AgentName]map[ptid.EntryName]*session),
		starts:   make(map[ptid.TaskID]int), notRun: make(map[ptid.TaskID]bool),
	}
	for i := range entryCount {
		simulation.entries = append(simulation.entries, simulation.newEntry(ptid.EntryName(fmt.Sprintf("entry%d", i))))
	}
	for i := range agentCount {
		simulation.agents = append(simulation.agents, simulation.newAgent(ptid.AgentName(fmt.Sprintf("agent%d", i))))
	}
	for step := range setting.Steps {
		simulation.step(step)
		if simulation.violation != nil {
			return simulation.result, errors.Wrapf(simulation.violation, "seed %d, step %d", setting.Seed, step)
		}
	}
	return simulation.result, simulation.drain()
}

func (simulation *simulation) fail(format string, details ...any) {
	if simulation.violation == nil {
		simulation.violation = errors.Errorf(format, details...)
	}
}

func (simulation *simulation) newEntry(name ptid.EntryName) *entry {
	simulation.lastIncarnation++
	return &entry{
		name: name, incarnation: simulation.lastIncarnation, openJobs: make(map[ptid.JobID]*ptjob.Job), startDeadlinePending: make(map[ptid.JobID]bool),
		sessions: make(map[*ptsched.Upstream]*session),
		core: ptservice.New(ptsched.Setting{
			Placement: simulation.setting.Placement, Order: ptorder.FirstCome, MaxQueued: 1000, Seed: simulation.random.Uint64(),
		}, ptquota.NewLimiter()),
	}
}

func (simulation *simulation) newAgent(name ptid.AgentName) *agent {
	simulation.lastIncarnation++
	return &agent{
		name: name, incarnation: simulation.lastIncarnation, clockOffset: ptid.Instant(simulation.random.Int64N(int64(time.Hour))),
		core:      ptslots.New(ptlease.Setting{Slots: slotCount, Prefetch: 2, MoveThreshold: 5 * time.Millisecond}),
		cancelled: make(map[ptid.TaskID]bool),
	}
}

func (simulation *simulation) clock(agent *agent) ptid.Instant {
	return simulation.now + agent.clockOffset
}

// toAgentClock converts an instant to an agent's clock, like an entry in production. The result
// is early by a random error of less than clockError.
func (simulation *simulation) toAgentClock(agent *agent, instant ptid.Instant) int64 {
	return int64(instant + agent.clockOffset - ptid.Instant(simulation.random.Int64N(int64(clockError))))
}

// step draws and executes one event.
func (simulation *simulation) step(step int) {
	draw := simulation.random.IntN(1000)
	switch {
	case draw < 80:
		simulation.submit()
	case draw < 600:
		simulation.deliver()
	case draw < 750:
		simulation.endRun()
	case draw < 890:
		simulation.advanceClock()
	case draw < 900:
		simulation.deliverStale()
	case draw < 985:
		simulation.reconnect()
	default:
		simulation.result.Faults++
		simulation.injectFault()
	}
	if step%expiryInterval == 0 {
		for _, agent := range simulation.agents {
			agent.core.ExpireStartRecords(simulation.clock(agent))
		}
	}
}

func (simulation *simulation) submit() {
	entry := simulation.entries[simulation.random.IntN(len(simulation.entries))]
	if len(entry.openJobs) >= maxOpenJobs {
		return
	}
	entry.sequence++
	profile := ptprofile.NewProfile()
	profile.Name, profile.Team, profile.RunTimeout = "profile", "team", runTimeout
	id := ptid.NewJobID(entry.name, entry.incarnation, entry.sequence)
	job := ptjob.New(ptjob.Spec{
		ID: id, Profile: profile, Tasks: make([]ptjob.Payload, 1+simulation.random.IntN(maxTasks)), SubmittedAt: simulation.now,
		StartBy: simulation.now.Add(queueTimeout), Deadline: simulation.now.Add(queueTimeout + runTimeout),
	})
	refusal, effects := entry.core.Submit(job, simulation.now)
	if refusal.Reason != "" {
		simulation.result.Refused++
		return
	}
	simulation.result.Submitted++
	entry.openJobs[id], entry.startDeadlinePending[id] = job, true
	simulation.applyEntryEffects(entry, effects)
}

// applyEntryEffects executes the effects that an entry's core returned.
func (simulation *simulation) applyEntryEffects(entry *entry, effects []ptservice.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptservice.Dispatch:
			simulation.sendDispatch(entry, effect)
		case ptservice.Cancel:
			var refs []*ptwire.TaskRef
			for _, task := range effect.Tasks {
				refs = append(refs, &ptwire.TaskRef{
					Job: string(task.ID.Job), Index: uint32(task.ID.Index), Attempt: uint32(task.Attempt), RunningToo: effect.RunningToo,
				})
			}
			entry.send(effect.Upstream, cancelMessage{refs})
		case ptservice.Resolve:
			if session := entry.sessions[effect.Upstream]; session != nil {
				entry.send(effect.Upstream, resolveMessage{&ptwire.Resolve{
					Job: string(effect.ID.Job), Index: uint32(effect.ID.Index), Attempt: uint32(effect.Attempt),
					StartByNanos: simulation.toAgentClock(session.agent, effect.StartBy),
				}})
			}
		case ptservice.JobEnded:
			simulation.jobEnded(entry, effect.Job)
		case ptservice.Requeued:
			simulation.result.Requeued++
		case ptservice.LateMessage:
			simulation.result.Late++
		case ptservice.Demand, ptservice.TaskEnded:
		}
	}
}

func (entry *entry) send(upstream *ptsched.Upstream, sent message) {
	if session := entry.sessions[upstream]; session != nil && !session.dropToAgent {
		session.toAgent = append(session.toAgent, sent)
	}
}

func (simulation *simulation) sendDispatch(entry *entry, effect ptservice.Dispatch) {
	session := entry.sessions[effect.Upstream]
	if session == nil {
		simulation.fail("a task was placed on an upstream that has no session")
		return
	}
	job := effect.Job
	entry.send(effect.Upstream, dispatchMessage{&ptwire.Dispatch{
		Job: string(job.ID), Index: uint32(effect.Index), Attempt: uint32(effect.Attempt), Profile: "profile", Team: "team",
		StartByNanos: simulation.toAgentClock(session.agent, job.StartBy), FinishByNanos: simulation.toAgentClock(session.agent, job.Deadline),
		OrderNanos: simulation.toAgentClock(session.agent, job.SubmittedAt), RunForNanos: int64(runTimeout),
	}})
}

// jobEnded checks the outcome of a job against the tasks that started.
func (simulation *simulation) jobEnded(entry *entry, job *ptjob.Job) {
	delete(entry.openJobs, job.ID)
	delete(entry.startDeadlinePending, job.ID)
	outcome := job.Outcome()
	switch outcome.Result {
	case ptjob.ResultComplete:
		simulation.result.Complete++
		for i, answer := range outcome.Answers {
			if string(answer.Body) != expectedAnswer(ptid.TaskID{Job: job.ID, Index: ptid.TaskIndex(i)}) {
				simulation.fail("job %s: answer %d is not the answer of its task: %q", job.ID, i, answer.Body)
			}
		}
	case ptjob.ResultFailed:
		simulation.result.Failed++
	case ptjob.ResultNotRun:
		simulation.result.NotRun++
	}
	for i, task := range outcome.Tasks {
		if task.State != ptjob.NotRun {
			continue
		}
		id := ptid.TaskID{Job: job.ID, Index: ptid.TaskIndex(i)}
		simulation.notRun[id] = true
		if simulation.starts[id] > 0 {
			simulation.fail("task %s/%d was reported as not run (%s) but had started", job.ID, i, task.Reason)
		}
	}
}

// expectedAnswer returns the answer of a task, which identifies the task.
func expectedAnswer(id ptid.TaskID) string { return fmt.Sprintf("%s/%d", id.Job, id.Index) }

// applyAgentEffects executes the effects that an agent's core returned.
func (simulation *simulation) applyAgentEffects(agent *agent, effects []ptslots.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptslots.Run:
			simulation.startTask(agent, effect.Task)
		case ptslots.CancelRun:
			agent.cancelled[effect.ID] = true
		case ptslots.Refuse:
			simulation.send(agent, effect.Entry, refusalMessage{effect, agent.core.SlotStatus(effect.Entry, simulation.clock(agent))})
		case ptslots.SendAnswer:
			simulation.send(agent, effect.Entry, answerMessage{effect.Answer, agent.core.SlotStatus(effect.Entry, simulation.clock(agent))})
		case ptslots.Grant:
			simulation.send(agent, effect.Entry, statusMessage{agent.core.SlotStatus(effect.Entry, simulation.clock(agent))})
		case ptslots.Recall:
			simulation.send(agent, effect.Entry, statusMessage{agent.core.SlotStatus(effect.Entry, simulation.clock(agent))})
		}
	}
}

func (simulation *simulation) send(agent *agent, entry ptid.EntryName, sent message) {
	if session := simulation.sessions[agent.name][entry]; session != nil && !session.closed && !session.dropToEntry {
		session.toEntry = append(session.toEntry, sent)
	}
}

// startTask starts a task at the upstream. One in 50 upstream connections fails.
func (simulation *simulation) startTask(agent *agent, task *ptslots.Task) {
	if simulation.random.IntN(50) == 0 {
		simulation.applyAgentEffects(agent, agent.core.ReleaseSlot(task, nil, ptreason.UpstreamUnreachable, simulation.clock(agent)))
		return
	}
	if !agent.core.Start(task, simulation.clock(agent)) {
		simulation.applyAgentEffects(agent, agent.core.ReleaseSlot(task, nil, ptreason.StartDeadline, simulation.clock(agent)))
		return
	}
	simulation.result.Starts++
	simulation.starts[task.ID]++
	if simulation.starts[task.ID] > 1 {
		simulation.fail("task %s started twice", expectedAnswer(task.ID))
	}
	if simulation.notRun[task.ID] {
		simulation.fail("task %s started after it was reported as not run", expectedAnswer(task.ID))
	}
	agent.running = append(agent.running, task)
}

// endRun ends a random running task of a random agent.
func (simulation *simulation) endRun() {
	agent := simulation.agents[simulation.random.IntN(len(simulation.agents))]
	if len(agent.running) == 0 {
		return
	}
	at := simulation.random.IntN(len(agent.running))
	task := agent.running[at]
	agent.running = append(agent.running[:at:at], agent.running[at+1:]...)
	answer := &ptwire.Answer{Job: task.Dispatch.Job, Index: task.Dispatch.Index, Attempt: task.Dispatch.Attempt, RunNanos: int64(time.Millisecond)}
	switch {
	case agent.cancelled[task.ID]:
		answer.Reason = string(ptreason.Cancelled)
	case simulation.random.IntN(100) == 0:
		answer.Reason = string(ptreason.UpstreamStatus)
	default:
		answer.Body = []byte(expectedAnswer(task.ID))
	}
	delete(agent.cancelled, task.ID)
	agent.core.TaskEnded(task)
	simulation.applyAgentEffects(agent, agent.core.ReleaseSlot(task, answer, "", simulation.clock(agent)))
}

// advanceClock advances the clock by a random time below maxClockStep and handles the timers.
func (simulation *simulation) advanceClock() {
	simulation.now = simulation.now.Add(time.Duration(simulation.random.Int64N(int64(maxClockStep))))
	simulation.handleTimers()
}

func (simulation *simulation) handleTimers() {
	for _, entry := range simulation.entries {
		for _, id := range slices.Sorted(maps.Keys(entry.openJobs)) {
			job := entry.openJobs[id]
			if simulation.now >= job.StartBy && entry.startDeadlinePending[id] {
				delete(entry.startDeadlinePending, id)
				simulation.applyEntryEffects(entry, entry.core.StartDeadlinePassed(id))
			}
			if simulation.now >= job.Deadline {
				simulation.applyEntryEffects(entry, entry.core.DeadlinePassed(id, simulation.now))
				if entry.openJobs[id] != nil {
					simulation.fail("job %s has not ended at its deadline", id)
				}
			}
		}
		simulation.applyEntryEffects(entry, entry.core.Tick(simulation.now))
	}
	for _, agent := range simulation.agents {
		simulation.applyAgentEffects(agent, agent.core.Expire(simulation.clock(agent)))
	}
}

// drain advances the clock until every job must have ended.
func (simulation *simulation) drain() (err error) {
	for range int((queueTimeout + runTimeout) / maxClockStep * 2) {
		simulation.now = simulation.now.Add(maxClockStep)
		simulation.handleTimers()
	}
	for _, entry := range simulation.entries {
		if len(entry.openJobs) > 0 {
			simulation.fail("%d jobs of %s did not end by their deadline", len(entry.openJobs), entry.name)
		}
	}
	return errors.Wrapf(simulation.violation, "seed %d, after the last step", simulation.setting.Seed)
}
