// Package ptsoak drives the decisions of entries and agents through long seeded
// runs with faults, and checks the promises against what really started.
//
// # How it works
//
//  1. The cores are the ones that run in service (packages ptservice, ptslots); only
//     clocks, sessions and upstreams are made up here.
//  2. Every step draws one event: a submission, the delivery of a message, the end
//     of a run, the passing of time, or a fault. Faults cut sessions with what is on
//     them, swallow one direction, replace agents and entries by new incarnations,
//     drain upstreams, cancel jobs and make runs fail.
//  3. Clocks of agents are shifted against those of entries, and an entry's
//     conversion errs early by a random time, as it does in service.
//  4. Checked after every step: no task has started twice, and none that was
//     reported as not run has started, then or later. Checked at the end of a job: a
//     complete one has every answer and each is its own; a job ends by its deadline.
//
// # Usage
//
//	result, err := ptsoak.Run(ptsoak.Setting{Seed: 1, Steps: 1_000_000})
//
// # Limits
//
// Messages of an open session keep their order, as on a TCP connection. Those of an
// ended one are dropped, or arrive at any later time in any order; in service the
// session number keeps them out, so the runs are harsher than the service.
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
	entryCount  = 3
	agentCount  = 4
	slotCount   = 3
	mostTasks   = 6
	mostOpen    = 40
	queueFor    = 2 * time.Second
	runFor      = 3 * time.Second
	longestStep = 5 * time.Millisecond
	// clockError is the most by which a conversion to an agent's clock errs early.
	clockError = 3 * time.Millisecond
	// recordInterval is how many steps lie between two expiries of start records.
	recordInterval = 64
)

// Setting says what is run.
type Setting struct {
	Seed  uint64
	Steps int
	// Placement is the policy of all entries.
	Placement ptplace.Policy
}

// Result counts what happened.
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
	name        ptid.EntryName
	incarnation ptid.Incarnation
	sequence    uint64
	core        *ptservice.Core
	open        map[ptid.JobID]*ptjob.Job
	startsDue   map[ptid.JobID]bool
	links       map[*ptsched.Upstream]*session
}

// agent is one incarnation of an agent and its upstream.
type agent struct {
	name        ptid.AgentName
	incarnation ptid.Incarnation
	shift       ptid.Instant
	core        *ptslots.Core
	running     []*ptslots.Task
	cancelled   map[ptid.TaskID]bool
}

// session is a connection with what is on its way in both directions.
type session struct {
	agent    *agent
	entry    *entry
	upstream *ptsched.Upstream
	toEntry  []message
	toAgent  []message
	// deafEntry and deafAgent tell that a direction swallows everything.
	deafEntry bool
	deafAgent bool
	closed    bool
}

// message is one message on a session.
type message interface{ isMessage() }

type (
	dispatchMessage struct{ dispatch *ptwire.Dispatch }
	cancelMessage   struct{ refs []*ptwire.TaskRef }
	resolveMessage  struct{ ask *ptwire.Resolve }
	ackMessage      struct{ id ptid.AttemptID }
	answerMessage   struct {
		answer *ptwire.Answer
		frame  ptslots.SlotStatus
	}
	refusalMessage struct {
		refusal ptslots.Refuse
		frame   ptslots.SlotStatus
	}
	frameMessage struct{ frame ptslots.SlotStatus }
)

func (dispatchMessage) isMessage() {}
func (cancelMessage) isMessage()   {}
func (resolveMessage) isMessage()  {}
func (ackMessage) isMessage()      {}
func (answerMessage) isMessage()   {}
func (refusalMessage) isMessage()  {}
func (frameMessage) isMessage()    {}

// world is everything that a run knows.
type world struct {
	setting  Setting
	random   *rand.Rand
	now      ptid.Instant
	entries  []*entry
	agents   []*agent
	sessions map[ptid.AgentName]map[ptid.EntryName]*session
	starts   map[ptid.TaskID]int
	notRun   map[ptid.TaskID]bool
	// stale holds messages of ended sessions that arrive all the same.
	stale  []staleMessage
	result Result
	broken error
	born   ptid.Incarnation
}

// Run executes one seeded run. The error tells the first promise that was broken,
// with the step at which it was.
func Run(setting Setting) (result Result, err error) {
	if setting.Placement == "" {
		setting.Placement = ptplace.Leases
	}
	world := &world{
		setting: setting, random: rand.New(rand.NewPCG(setting.Seed, setting.Seed)), now: ptid.Instant(time.Hour),
		sessions: make(map[ptid.AgentName]map[ptid.EntryName]*session),
		starts:   make(map[ptid.TaskID]int), notRun: make(map[ptid.TaskID]bool),
	}
	for i := range entryCount {
		world.entries = append(world.entries, world.newEntry(ptid.EntryName(fmt.Sprintf("entry%d", i))))
	}
	for i := range agentCount {
		world.agents = append(world.agents, world.newAgent(ptid.AgentName(fmt.Sprintf("agent%d", i))))
	}
	for step := range setting.Steps {
		world.step(step)
		if world.broken != nil {
			return world.result, errors.Wrapf(world.broken, "seed %d, step %d", setting.Seed, step)
		}
	}
	return world.result, world.drain()
}

func (world *world) fail(format string, details ...any) {
	if world.broken == nil {
		world.broken = errors.Errorf(format, details...)
	}
}

func (world *world) newEntry(name ptid.EntryName) *entry {
	world.born++
	return &entry{
		name: name, incarnation: world.born, open: make(map[ptid.JobID]*ptjob.Job), startsDue: make(map[ptid.JobID]bool),
		links: make(map[*ptsched.Upstream]*session),
		core: ptservice.New(ptsched.Setting{
			Placement: world.setting.Placement, Order: ptorder.FirstCome, MaxQueued: 1000, Seed: world.random.Uint64(),
		}, ptquota.NewLimiter()),
	}
}

func (world *world) newAgent(name ptid.AgentName) *agent {
	world.born++
	return &agent{
		name: name, incarnation: world.born, shift: ptid.Instant(world.random.Int64N(int64(time.Hour))),
		core:      ptslots.New(ptlease.Setting{Slots: slotCount, Prefetch: 2, MoveThreshold: 5 * time.Millisecond}),
		cancelled: make(map[ptid.TaskID]bool),
	}
}

func (world *world) clock(agent *agent) ptid.Instant { return world.now + agent.shift }

// toAgentClock converts an instant as an entry does: it errs early.
func (world *world) toAgentClock(agent *agent, instant ptid.Instant) int64 {
	return int64(instant + agent.shift - ptid.Instant(world.random.Int64N(int64(clockError))))
}

// step draws and carries out one event.
func (world *world) step(step int) {
	draw := world.random.IntN(1000)
	switch {
	case draw < 80:
		world.submit()
	case draw < 600:
		world.deliver()
	case draw < 750:
		world.endRun()
	case draw < 890:
		world.pass()
	case draw < 900:
		world.deliverStale()
	case draw < 985:
		world.reconnect()
	default:
		world.result.Faults++
		world.fault()
	}
	if step%recordInterval == 0 {
		for _, agent := range world.agents {
			agent.core.ExpireStartRecords(world.clock(agent))
		}
	}
}

func (world *world) submit() {
	entry := world.entries[world.random.IntN(len(world.entries))]
	if len(entry.open) >= mostOpen {
		return
	}
	entry.sequence++
	profile := ptprofile.NewProfile()
	profile.Name, profile.Team, profile.RunTimeout = "profile", "team", runFor
	id := ptid.NewJobID(entry.name, entry.incarnation, entry.sequence)
	job := ptjob.New(ptjob.Spec{
		ID: id, Profile: profile, Tasks: make([]ptjob.Payload, 1+world.random.IntN(mostTasks)), SubmittedAt: world.now,
		StartBy: world.now.Add(queueFor), Deadline: world.now.Add(queueFor + runFor),
	})
	refusal, effects := entry.core.Submit(job, world.now)
	if refusal.Reason != "" {
		world.result.Refused++
		return
	}
	world.result.Submitted++
	entry.open[id], entry.startsDue[id] = job, true
	world.doEntry(entry, effects)
}

// doEntry carries out the effects of an entry's core.
func (world *world) doEntry(entry *entry, effects []ptservice.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptservice.Dispatch:
			world.sendDispatch(entry, effect)
		case ptservice.Cancel:
			var refs []*ptwire.TaskRef
			for _, task := range effect.Tasks {
				refs = append(refs, &ptwire.TaskRef{
					Job: string(task.ID.Job), Index: uint32(task.ID.Index), Attempt: uint32(task.Attempt), RunningToo: effect.RunningToo,
				})
			}
			entry.post(effect.Upstream, cancelMessage{refs})
		case ptservice.Resolve:
			if session := entry.links[effect.Upstream]; session != nil {
				entry.post(effect.Upstream, resolveMessage{&ptwire.Resolve{
					Job: string(effect.ID.Job), Index: uint32(effect.ID.Index), Attempt: uint32(effect.Attempt),
					StartByNanos: world.toAgentClock(session.agent, effect.StartBy),
				}})
			}
		case ptservice.JobEnded:
			world.jobEnded(entry, effect.Job)
		case ptservice.Requeued:
			world.result.Requeued++
		case ptservice.LateMessage:
			world.result.Late++
		case ptservice.Demand, ptservice.TaskEnded:
		}
	}
}

func (entry *entry) post(upstream *ptsched.Upstream, posted message) {
	if session := entry.links[upstream]; session != nil && !session.deafAgent {
		session.toAgent = append(session.toAgent, posted)
	}
}

func (world *world) sendDispatch(entry *entry, effect ptservice.Dispatch) {
	session := entry.links[effect.Upstream]
	if session == nil {
		world.fail("a task was placed on an upstream without a session")
		return
	}
	job := effect.Job
	entry.post(effect.Upstream, dispatchMessage{&ptwire.Dispatch{
		Job: string(job.ID), Index: uint32(effect.Index), Attempt: uint32(effect.Attempt), Profile: "profile", Team: "team",
		StartByNanos: world.toAgentClock(session.agent, job.StartBy), FinishByNanos: world.toAgentClock(session.agent, job.Deadline),
		OrderNanos: world.toAgentClock(session.agent, job.SubmittedAt), RunForNanos: int64(runFor),
	}})
}

// jobEnded checks the outcome of a job against what really started.
func (world *world) jobEnded(entry *entry, job *ptjob.Job) {
	delete(entry.open, job.ID)
	delete(entry.startsDue, job.ID)
	outcome := job.Outcome()
	switch outcome.Result {
	case ptjob.ResultComplete:
		world.result.Complete++
		for i, answer := range outcome.Answers {
			if string(answer.Body) != token(ptid.TaskID{Job: job.ID, Index: ptid.TaskIndex(i)}) {
				world.fail("job %s: answer %d is not its own: %q", job.ID, i, answer.Body)
			}
		}
	case ptjob.ResultFailed:
		world.result.Failed++
	case ptjob.ResultNotRun:
		world.result.NotRun++
	}
	for i, task := range outcome.Tasks {
		if task.State != ptjob.NotRun {
			continue
		}
		id := ptid.TaskID{Job: job.ID, Index: ptid.TaskIndex(i)}
		world.notRun[id] = true
		if world.starts[id] > 0 {
			world.fail("task %s/%d was reported as not run (%s) and had started", job.ID, i, task.Reason)
		}
	}
}

// token is the answer that belongs to a task.
func token(id ptid.TaskID) string { return fmt.Sprintf("%s/%d", id.Job, id.Index) }

// doAgent carries out the effects of an agent's core.
func (world *world) doAgent(agent *agent, effects []ptslots.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptslots.Run:
			world.begin(agent, effect.Task)
		case ptslots.CancelRun:
			agent.cancelled[effect.ID] = true
		case ptslots.Refuse:
			world.post(agent, effect.Entry, refusalMessage{effect, agent.core.SlotStatus(effect.Entry, world.clock(agent))})
		case ptslots.SendAnswer:
			world.post(agent, effect.Entry, answerMessage{effect.Answer, agent.core.SlotStatus(effect.Entry, world.clock(agent))})
		case ptslots.Grant:
			world.post(agent, effect.Entry, frameMessage{agent.core.SlotStatus(effect.Entry, world.clock(agent))})
		case ptslots.Recall:
			world.post(agent, effect.Entry, frameMessage{agent.core.SlotStatus(effect.Entry, world.clock(agent))})
		}
	}
}

func (world *world) post(agent *agent, entry ptid.EntryName, posted message) {
	if session := world.sessions[agent.name][entry]; session != nil && !session.closed && !session.deafEntry {
		session.toEntry = append(session.toEntry, posted)
	}
}

// begin starts a task at the upstream, or finds it unreachable now and then.
func (world *world) begin(agent *agent, task *ptslots.Task) {
	if world.random.IntN(50) == 0 {
		world.doAgent(agent, agent.core.ReleaseSlot(task, nil, ptreason.UpstreamUnreachable, world.clock(agent)))
		return
	}
	if !agent.core.Start(task, world.clock(agent)) {
		world.doAgent(agent, agent.core.ReleaseSlot(task, nil, ptreason.StartDeadline, world.clock(agent)))
		return
	}
	world.result.Starts++
	world.starts[task.ID]++
	if world.starts[task.ID] > 1 {
		world.fail("task %s started twice", token(task.ID))
	}
	if world.notRun[task.ID] {
		world.fail("task %s started after it was reported as not run", token(task.ID))
	}
	agent.running = append(agent.running, task)
}

// endRun ends one running task of one agent.
func (world *world) endRun() {
	agent := world.agents[world.random.IntN(len(world.agents))]
	if len(agent.running) == 0 {
		return
	}
	at := world.random.IntN(len(agent.running))
	task := agent.running[at]
	agent.running = append(agent.running[:at:at], agent.running[at+1:]...)
	answer := &ptwire.Answer{Job: task.Dispatch.Job, Index: task.Dispatch.Index, Attempt: task.Dispatch.Attempt, RunNanos: int64(time.Millisecond)}
	switch {
	case agent.cancelled[task.ID]:
		answer.Reason = string(ptreason.Cancelled)
	case world.random.IntN(100) == 0:
		answer.Reason = string(ptreason.UpstreamStatus)
	default:
		answer.Body = []byte(token(task.ID))
	}
	delete(agent.cancelled, task.ID)
	agent.core.TaskEnded(task)
	world.doAgent(agent, agent.core.ReleaseSlot(task, answer, "", world.clock(agent)))
}

// pass lets time pass and does what is due.
func (world *world) pass() {
	world.now = world.now.Add(time.Duration(world.random.Int64N(int64(longestStep))))
	world.due()
}

func (world *world) due() {
	for _, entry := range world.entries {
		for _, id := range slices.Sorted(maps.Keys(entry.open)) {
			job := entry.open[id]
			if world.now >= job.StartBy && entry.startsDue[id] {
				delete(entry.startsDue, id)
				world.doEntry(entry, entry.core.StartDeadlinePassed(id))
			}
			if world.now >= job.Deadline {
				world.doEntry(entry, entry.core.DeadlinePassed(id, world.now))
				if entry.open[id] != nil {
					world.fail("job %s has not ended at its deadline", id)
				}
			}
		}
		world.doEntry(entry, entry.core.Tick(world.now))
	}
	for _, agent := range world.agents {
		world.doAgent(agent, agent.core.Expire(world.clock(agent)))
	}
}

// drain ends the run: time passes until every job must have ended.
func (world *world) drain() (err error) {
	for range int((queueFor + runFor) / longestStep * 2) {
		world.now = world.now.Add(longestStep)
		world.due()
	}
	for _, entry := range world.entries {
		if len(entry.open) > 0 {
			world.fail("%d jobs of %s have not ended", len(entry.open), entry.name)
		}
	}
	return errors.Wrapf(world.broken, "seed %d, at the end", world.setting.Seed)
}
