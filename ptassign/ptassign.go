// Package ptassign decides, at one entry, which jobs of tasks with demands are taken
// in, in which order their tasks are placed, and on which worker. It has no I/O.
//
// # How it works
//
//  1. A job's tasks are ordered by the latest instant at which the job can start and
//     still meet its objective, so that short work overtakes long work with time to
//     spare. Jobs that can't meet it any more go after all that can.
//  2. A task goes to a worker that has room for it, by all that is known: its capacity
//     less what its agent said that others hold, less what this entry holds there now.
//     Among these the one with the best pace and the least load is taken.
//  3. A job is refused at once where the forecast of its start, from the work ahead of
//     it and the room that ends free, lies past its objective; and as soon as it can't
//     end in time any more, where it is untouched. Under overload that spends the room
//     on jobs that still earn their answer in time.
//  4. Run times are learned: the expected one is the geometric mean of the declared one
//     and of the queue's average, since both are off by about as much.
//  5. Entries tell agents at what rate they need room (see want.go); agents offer the
//     room that ends free in proportion, so that callers wait alike at every entry.
//  6. Workers that fail, hang or are slow get less or nothing, by what their agents say
//     and by what became of the runs that were placed there (see fitness.go).
//  7. A task is placed again only when its run is proved to be over: its end was told,
//     another incarnation of the agent has joined, or nothing was heard from the agent
//     for [RunLossTimeout].
//
// # Usage
//
//	core := ptassign.New(seed)
//	refusal, effects := core.Submit(spec, now)
//	effects = core.RunEnded(agent, end, now)
//
// # Limits
//
// Placing scans the agents of the service for each task. Core is not safe for
// concurrent use.
package ptassign

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// RunLossTimeout is how long after the last word of an agent its runs are over: it
	// stops the runs of a silent entry, or its worker's lease lapses. The sum of the
	// bounds stands in docs/design/10-platform.md.
	RunLossTimeout = 2500 * time.Millisecond
	// ExpiryFactor is how many times its objective a job may take and still be useful.
	ExpiryFactor = 3
	// OrderTTL is until when an order may reach its agent: an entry or a link that is busy
	// holds it up by some hundreds of milliseconds at most.
	OrderTTL = 500 * time.Millisecond
	// WaitAtAgent is how long an order may wait for room at its agent. Room that was
	// free by the last report is taken by another entry at times, and freed soon; an urgent
	// job has some 80 ms to find all of its room, so a longer wait at a full worker costs it
	// the next try (docs/design/11-fitness-and-urgency.md).
	WaitAtAgent = 10 * time.Millisecond
	// GangWaitAtAgent is the same for members of a gang: a refusal ends the work of all
	// the others, so it is worth more time, well below that after which they give up.
	GangWaitAtAgent = 300 * time.Millisecond
	// RoundTripMargin is what a job's answer takes beside its work, both ways.
	RoundTripMargin = 15 * time.Millisecond
	// scanJobs bounds how many jobs that find no room are passed over for later ones.
	scanJobs = 64
	// learnRate is the weight of the newest run in averages.
	learnRate = 0.05
	// firstExpectation stands in for a run time that nobody has declared or seen.
	firstExpectation = 200 * time.Millisecond
	// retryAfter is the least time that refused callers are told to wait.
	retryAfter = time.Second
)

// Spec is a job as it arrives.
type Spec struct {
	ptgraph.Spec
	Queue ptqueue.Queue
	// Deadline is when the caller stops waiting; Never where it does not.
	Deadline ptid.Instant
}

// Key tells the occurrences of one job apart.
type Key struct {
	ID         ptid.JobID
	Occurrence ptrun.Occurrence
}

func keyOf(task ptrun.TaskID) Key { return Key{ID: task.Job, Occurrence: task.Occurrence} }

func compareKeys(left, right Key) int {
	return cmp.Or(cmp.Compare(left.ID, right.ID), cmp.Compare(left.Occurrence, right.Occurrence))
}

// RefusalReason says why a job was not taken in or was put out untouched.
type RefusalReason string

// Reasons of refusals.
const (
	NoWorker        RefusalReason = "noWorker"
	NoFittingWorker RefusalReason = "unfitting"
	ForecastTooLate RefusalReason = "forecast"
	TooLate         RefusalReason = "tooLate"
)

// Refusal says that nothing of a job has run or will.
type Refusal struct {
	Reason     RefusalReason
	RetryAfter time.Duration
	// ForecastWait is the forecast that decided, Ahead the work before the job, and Supply the room
	// that it could have.
	ForecastWait time.Duration
	DemandAhead  ptrun.Millicores
	Capacity     AvailableCapacity
}

// Job is a job that was taken in.
type Job struct {
	*ptgraph.Job
	Queue       ptqueue.Queue
	SubmittedAt ptid.Instant
	// Objective is until when the answer is worth most; UsefulBy until when anything.
	Objective ptid.Instant
	ExpiresAt ptid.Instant
	Deadline  ptid.Instant
	// FirstPlacedAt is zero until a task was placed, lastPlacedAt is the same of the last one.
	FirstPlacedAt, lastPlacedAt ptid.Instant
	// Durable jobs were accepted for good: they are never refused or given up.
	Durable bool
	// Recovering jobs wait until the runs of an earlier owner are known.
	Recovering bool
	span       time.Duration
	// queued is true while the job is on the waiting list.
	queued bool
	// ready is the processor time that its ready tasks ask for, below zero where it must
	// be counted anew; least is the least that one of them asks for of each resource.
	ready   ptrun.Millicores
	least   ptrun.Demand
	advised map[ptrun.StepIndex]*advice
}

// Key returns the key of the job.
func (job *Job) Key() Key { return Key{ID: job.ID, Occurrence: job.Occurrence} }

// Effect is something that the owner has to do.
type Effect interface{ isEffect() }

// SendOrder sends a run to an agent.
type SendOrder struct {
	Agent  ptid.AgentName
	Run    ptrun.ID
	Job    *Job
	Demand ptrun.Demand
	// StartBy is after when nothing is started; Wait is how long the run may wait for room.
	// It counts from the arrival: counted from here, the orders of an entry that is behind
	// with its work would all come too late, and their return would be work again.
	StartBy  ptid.Instant
	MaxWait  time.Duration
	QueueKey ptid.Instant
	// ExpectedRunTime is how long the run should take on a sound worker; zero where that says
	// nothing of the worker.
	ExpectedRunTime time.Duration
	// Checkpoint is what the run resumes from.
	Checkpoint ptrun.Checkpoint
	Ticket     string
}

// SendStop asks an agent to end a run.
type SendStop struct {
	Agent  ptid.AgentName
	Run    ptrun.ID
	Reason ptrun.Reason
}

// SendQuery asks an agent over a new session what became of a run.
type SendQuery struct {
	Agent ptid.AgentName
	Run   ptrun.ID
}

// SaveProgress tells that a kept job has changed by the end of a run. The end is to be
// acknowledged when the progress is kept.
type SaveProgress struct {
	Job   *Job
	Agent ptid.AgentName
	Run   ptrun.ID
}

// JobEnded tells the end of a job. Refusal is set where it was put out untouched.
type JobEnded struct {
	Job     *Job
	Refusal *Refusal
}

func (SendOrder) isEffect()    {}
func (SendStop) isEffect()     {}
func (SendQuery) isEffect()    {}
func (SaveProgress) isEffect() {}
func (JobEnded) isEffect()     {}

// sent is a run that an agent has.
type sent struct {
	job      *Job
	task     *ptgraph.Task
	at       ptid.Instant
	expected time.Duration
	stopped  bool
}

// AgentState is what an agent tells of its worker.
type AgentState struct {
	Worker   ptrun.WorkerID
	Capacity ptrun.Demand
	// Held is what the runs of all entries hold, Own the part of this entry's.
	Held     ptrun.Demand
	Own      ptrun.Demand
	Labels   []string
	Unusable bool
	// RequestedByOthers is the rate at which other entries need room.
	RequestedByOthers ptrun.MillicoresPerSecond
	// Assessment is the agent's judgement of the worker, by the runs of all entries; Turn lets
	// this entry try a worker that it has set aside.
	Assessment ptfitness.Assessment
	MayProbe   bool
}

type agent struct {
	name        ptid.AgentName
	incarnation ptid.Incarnation
	service     ptid.ServiceName
	near        bool
	connected   bool
	lostAt      ptid.Instant
	state       AgentState
	reported    bool
	others      ptrun.Demand
	own         ptrun.Demand
	runs        map[ptrun.ID]*sent
	fitness     fitness
	// aside is true where the worker gets no ordinary work by the words of all agents.
	aside bool
	// expected adds up the expected run times of the runs, weighed by their processor time.
	expected float64
}

// free returns the room by all that is known.
func (agent *agent) free() ptrun.Demand {
	return agent.state.Capacity.Minus(agent.others).Minus(agent.own)
}

func (agent *agent) usable(now ptid.Instant) bool {
	return agent.isThere() && agent.admits(now)
}

// Core is the state of one entry's jobs. Make it with [New].
type Core struct {
	agents  map[ptid.AgentName]*agent
	ordered []*agent
	jobs    map[Key]*Job
	// passing has the jobs that nobody keeps: they end when they can't end in time.
	passing map[Key]*Job
	// waiting is sorted by the keys of sortedAt; a job that has become late since stands
	// too early until the next time.
	waiting  []*Job
	sortedAt ptid.Instant
	average  map[ptid.ProfileName]float64
	demands  map[ptid.ProfileName]*demand
	bias     float64
	random   *rand.Rand
	effects  []Effect
	// open are the agents that may get tasks now, of all services, and roomiest the most
	// that one of them has free of each resource; both hold during a call of place.
	open     []*agent
	roomiest ptrun.Demand
	// lastResort are the agents of workers that are set aside.
	lastResort []*agent
	// waitingSince is since when jobs wait, wantsToldAt when all agents were last told.
	waitingSince, wantsToldAt ptid.Instant
}

// New returns a core without jobs or agents.
func New(seed uint64) *Core {
	return &Core{
		agents: make(map[ptid.AgentName]*agent), jobs: make(map[Key]*Job), passing: make(map[Key]*Job),
		average: make(map[ptid.ProfileName]float64), demands: make(map[ptid.ProfileName]*demand), bias: 1, waitingSince: ptid.Never,
		random: rand.New(rand.NewPCG(seed, 1)),
	}
}

func (core *Core) emit(effect Effect) { core.effects = append(core.effects, effect) }

func (core *Core) take() (effects []Effect) {
	effects, core.effects = core.effects, nil
	return effects
}

// expected returns the run time of a step's tasks on a sound worker.
func (core *Core) expected(queue ptid.ProfileName, step *ptgraph.Step) time.Duration {
	average := core.average[queue]
	switch {
	case step.Estimate <= 0 && average == 0:
		return firstExpectation
	case step.Estimate <= 0:
		return time.Duration(average * float64(time.Second))
	case average == 0:
		return step.Estimate
	default:
		return time.Duration(math.Sqrt(step.Estimate.Seconds()*core.bias*average) * float64(time.Second))
	}
}

// chain returns the longest chain of expected work that is left of a job.
func (core *Core) chain(job *ptgraph.Job, queue ptid.ProfileName) time.Duration {
	declared := job.CriticalPath()
	if declared <= 0 || len(job.Steps) == 1 {
		return core.expected(queue, &job.Steps[0])
	}
	return declared
}

// Submit takes a job in, or refuses it.
func (core *Core) Submit(spec Spec, now ptid.Instant) (job *Job, refusal *Refusal, effects []Effect, err error) {
	graph, err := ptgraph.New(spec.Spec)
	if err != nil {
		return nil, nil, nil, err
	}
	span := core.chain(graph, spec.Queue.Name)
	objective := time.Duration(spec.Queue.Stretch*float64(span)) + spec.Queue.TargetLatency
	job = &Job{
		Job: graph, Queue: spec.Queue, SubmittedAt: now, Deadline: spec.Deadline, span: span, ready: -1,
		Objective: now.Add(objective), ExpiresAt: min(now.Add(ExpiryFactor*objective), spec.Deadline),
	}
	if refusal = core.refuse(job, now); refusal != nil {
		core.answered(job, false, now)
		return nil, refusal, nil, nil
	}
	core.demandOf(job, now).cpu += float64(core.readyDemand(job))
	core.jobs[job.Key()], core.passing[job.Key()] = job, job
	core.enqueue(job, now)
	core.place(now)
	return job, nil, core.take(), nil
}

// latestStart returns when a job must start to meet its objective.
func (job *Job) latestStart() ptid.Instant { return job.Objective.Add(-job.span - RoundTripMargin) }

// key orders jobs: those that can meet their objective by their latest start, then the
// others by their arrival.
func (job *Job) key(now ptid.Instant) ptid.Instant {
	if latest := job.latestStart(); latest >= now || job.Started() {
		return latest.Add(time.Duration(job.Queue.Priority) * priorityStep)
	}
	return job.SubmittedAt.Add(lateShift)
}

const priorityStep = time.Second

// lateShift puts late jobs behind all others in the order of keys.
const lateShift = 24 * time.Hour

// WaitingJobs returns how many jobs have tasks that wait for a place.
func (core *Core) WaitingJobs() int { return len(core.waiting) }

// PendingJobs returns how many jobs of a queue have started nothing.
func (core *Core) PendingJobs(queue ptid.ProfileName) (pending int) {
	for _, job := range core.waiting {
		if job.Queue.Name == queue && job.CertainlyUnstarted() {
			pending++
		}
	}
	return pending
}

// OpenJobs returns how many jobs have not ended.
func (core *Core) OpenJobs() int { return len(core.jobs) }

// Job returns an open job.
func (core *Core) Job(key Key) *Job { return core.jobs[key] }

const (
	// sortInterval is the least time between two sorts of the waiting list, and sortShare
	// what each job on it adds: a long list must not take the processor from sessions.
	sortInterval = 25 * time.Millisecond
	sortShare    = 100 * time.Microsecond
)

// before reports the order of two waiting jobs.
func before(left, right *Job, now ptid.Instant) int {
	return cmp.Or(cmp.Compare(left.key(now), right.key(now)), cmp.Compare(left.Queue.Priority, right.Queue.Priority))
}

// enqueue puts a job on the waiting list, at its place.
func (core *Core) enqueue(job *Job, now ptid.Instant) {
	job.ready = -1
	if job.queued {
		return
	}
	job.queued = true
	index, _ := slices.BinarySearchFunc(core.waiting, job, func(other, wanted *Job) int {
		if before(other, wanted, now) <= 0 {
			return -1
		}
		return 1
	})
	core.waiting = slices.Insert(core.waiting, index, job)
}

// unqueue takes a job off the waiting list.
func (core *Core) unqueue(job *Job) {
	if !job.queued {
		return
	}
	job.queued = false
	if index := slices.Index(core.waiting, job); index >= 0 {
		core.waiting = slices.Delete(core.waiting, index, index+1)
	}
}

// place gives waiting tasks to agents with room. It looks at the first jobs alone: what
// is behind many that find no room would find none either.
func (core *Core) place(now ptid.Instant) {
	if len(core.waiting) == 0 {
		return
	}
	if now.Sub(core.sortedAt) >= sortInterval+time.Duration(len(core.waiting))*sortShare {
		core.sortedAt = now
		slices.SortStableFunc(core.waiting, func(left, right *Job) int { return before(left, right, now) })
	}
	core.lookForRoom(now)
	blocked, seen, kept := 0, 0, 0
	for ; seen < len(core.waiting) && blocked < scanJobs; seen++ {
		job := core.waiting[seen]
		switch {
		case job.State().Ended():
			job.queued = false
			continue
		case job.Recovering:
		case !core.placeJob(job, now):
			blocked++
		}
		if core.readyDemand(job) == 0 && len(job.PlacedRuns()) > 0 {
			job.queued = false
			continue
		}
		core.waiting[kept] = job
		kept++
	}
	core.waiting = slices.Delete(core.waiting, kept, seen)
}

// lookForRoom finds the agents that may get tasks now.
func (core *Core) lookForRoom(now ptid.Instant) {
	core.open, core.lastResort = core.open[:0], core.lastResort[:0]
	for _, known := range core.ordered {
		switch {
		case known.usable(now):
			core.open = append(core.open, known)
		case known.aside:
			core.lastResort = append(core.lastResort, known)
		}
	}
	core.measureRoom()
}

// measureRoom finds the most that an agent has free of each resource.
func (core *Core) measureRoom() {
	core.roomiest = ptrun.Demand{}
	for _, known := range core.open {
		core.roomiest = core.roomiest.Max(known.free())
	}
}

// placeJob places the ready tasks of a job and reports whether all found room.
func (core *Core) placeJob(job *Job, now ptid.Instant) (all bool) {
	if core.readyDemand(job) > 0 && job.Queue.Advice == nil && !core.roomiest.Covers(job.least) && !core.isLastResortDue(job, now) {
		return false
	}
	ready := job.Ready()
	for len(ready) > 0 {
		task := ready[0]
		if task.Step.Gang {
			size := task.Step.Count
			if !core.placeGang(job, ready[:size], now) {
				return false
			}
			ready = ready[size:]
			continue
		}
		ready = ready[1:]
		chosen := core.choose(job, task, now)
		if chosen == nil {
			core.seekAdvice(job, task, now)
			return false
		}
		core.order(chosen, job, task, job.Place(task), task.Checkpoint, now)
	}
	return true
}

// order books a run at an agent and sends it.
func (core *Core) order(chosen *agent, job *Job, task *ptgraph.Task, run ptrun.ID, checkpoint ptrun.Checkpoint, now ptid.Instant) {
	core.book(chosen, job, task, run, now)
	core.measureRoom()
	job.ready = -1
	chosen.placed()
	if job.FirstPlacedAt == 0 {
		job.FirstPlacedAt = now
	}
	job.lastPlacedAt = now
	startBy, wait := now.Add(OrderTTL), WaitAtAgent
	if task.Step.Gang {
		wait = GangWaitAtAgent
	}
	if !job.Durable {
		startBy = min(startBy, job.Deadline)
	}
	text, _ := ticketFor(chosen, job, task, now)
	core.emit(SendOrder{
		Agent: chosen.name, Ticket: text, Run: run, Job: job, Demand: task.Step.Reservation(), StartBy: startBy, MaxWait: wait, QueueKey: job.key(now), Checkpoint: checkpoint,
		ExpectedRunTime: core.telling(chosen, job, task.Step),
	})
}

func (core *Core) book(chosen *agent, job *Job, task *ptgraph.Task, run ptrun.ID, now ptid.Instant) {
	booked := &sent{job: job, task: task, at: now, expected: core.expected(job.Queue.Name, task.Step)}
	chosen.runs[run] = booked
	chosen.own = chosen.own.Plus(task.Step.Reservation())
	chosen.expected += booked.weight()
}

// unbook takes a run off an agent's books.
func (agent *agent) unbook(id ptrun.ID, run *sent) {
	delete(agent.runs, id)
	agent.own = agent.own.Minus(run.task.Step.Reservation())
	agent.expected -= run.weight()
}

// weight returns the expected run time, weighed by the processor time that the run holds.
func (run *sent) weight() float64 {
	return float64(run.task.Step.Reservation().CPU) * run.expected.Seconds()
}

// choose returns the agent for a task; nil where none has room.
func (core *Core) choose(job *Job, task *ptgraph.Task, now ptid.Instant) (chosen *agent) {
	chosen = core.chooseOf(core.open, job, task, now)
	if chosen == nil && core.isLastResortDue(job, now) {
		chosen = core.chooseOf(core.lastResort, job, task, now)
	}
	return chosen
}

func (core *Core) chooseOf(candidates []*agent, job *Job, task *ptgraph.Task, now ptid.Instant) (chosen *agent) {
	best := math.Inf(1)
	for _, candidate := range candidates {
		if candidate.service != job.Queue.Service || !candidate.free().Covers(task.Step.Reservation()) || !core.usableFor(candidate, job, now) {
			continue
		}
		if _, allowed := ticketFor(candidate, job, task, now); !allowed || !fits(candidate, job, task) {
			continue
		}
		if cost := core.cost(candidate, task); cost < best {
			best, chosen = cost, candidate
		}
	}
	return chosen
}

// fits reports whether the step's rules allow the worker.
func fits(candidate *agent, job *Job, task *ptgraph.Task) bool {
	step := task.Step
	if step.Label != "" && !slices.Contains(candidate.state.Labels, step.Label) {
		return false
	}
	if step.MaxPerWorker <= 0 {
		return true
	}
	count := 0
	for id := range candidate.runs {
		if id.Task.Job == job.ID && id.Task.Step == task.ID.Step {
			count++
		}
	}
	return count < step.MaxPerWorker
}

const (
	// farPenalty is the cost of another availability zone against a pace of 1. It is as
	// much as that of a full worker: the entries of a zone use its workers first, so that
	// the orders of fewer entries meet at each, and what they know of its room is newer.
	farPenalty = 0.3
	// remotePenalty is the cost of a worker away from the step's data.
	remotePenalty = 0.5
	// loadPenalty is the cost of a full worker; its room may be taken by the time that
	// the order arrives.
	loadPenalty = 0.3
	// jitter keeps entries that see the same from choosing the same.
	jitter = 0.1
)

func (core *Core) cost(candidate *agent, task *ptgraph.Task) (cost float64) {
	capacity := candidate.state.Capacity
	load := 1 - float64(candidate.free().CPU)/float64(max(1, capacity.CPU))
	cost = candidate.pace() + loadPenalty*load*load + jitter*core.random.Float64()
	if !candidate.near {
		cost += farPenalty
	}
	if task.Step.PreferredLabel != "" && !slices.Contains(candidate.state.Labels, task.Step.PreferredLabel) {
		cost += remotePenalty
	}
	return cost
}

// AgentConnected records that an incarnation of an agent has a session. Runs that an earlier
// one had are over; what became of the others is asked.
func (core *Core) AgentConnected(name ptid.AgentName, incarnation ptid.Incarnation, service ptid.ServiceName, near bool, now ptid.Instant) (effects []Effect) {
	known := core.agents[name]
	if known == nil {
		known = &agent{name: name, runs: make(map[ptrun.ID]*sent), fitness: newFitness()}
		core.agents[name] = known
		core.ordered = slices.SortedFunc(maps.Values(core.agents), func(left, right *agent) int { return cmp.Compare(left.name, right.name) })
	}
	if known.incarnation != incarnation {
		core.lose(known, ptrun.ReasonRestarted, nonDurableRuns, now)
		known.fitness, known.aside = newFitness(), false
	}
	known.incarnation, known.service, known.near, known.connected = incarnation, service, near, true
	for _, run := range sortedRuns(known.runs) {
		core.emit(SendQuery{Agent: name, Run: run})
		if known.runs[run].stopped {
			// The stop may have been lost with the former session.
			core.emit(SendStop{Agent: name, Run: run, Reason: ptrun.ReasonStopRequested})
		}
	}
	core.place(now)
	return core.take()
}

func sortedRuns(runs map[ptrun.ID]*sent) []ptrun.ID {
	return slices.SortedFunc(maps.Keys(runs), ptrun.Compare)
}

// which says which runs of an agent are meant.
type which bool

const (
	// nonDurableRuns runs are those whose ends nobody keeps for their job.
	nonDurableRuns which = false
	// allRuns are these and those of kept jobs, whose ends outlast their agent at the worker.
	allRuns which = true
)

// lose ends runs of an agent as lost.
func (core *Core) lose(lost *agent, reason ptrun.Reason, meant which, now ptid.Instant) {
	for _, run := range sortedRuns(lost.runs) {
		if meant == allRuns || !lost.runs[run].job.Durable {
			core.end(lost, ptrun.End{Run: run, Result: ptrun.Lost, Reason: reason}, now)
		}
	}
}

// AgentDisconnected records that the session to an agent has ended.
func (core *Core) AgentDisconnected(name ptid.AgentName, now ptid.Instant) {
	if known := core.agents[name]; known != nil {
		known.connected, known.lostAt, known.reported = false, now, false
	}
}

// AgentReported takes what an agent tells of its worker.
func (core *Core) AgentReported(name ptid.AgentName, state AgentState, now ptid.Instant) (effects []Effect) {
	known := core.agents[name]
	if known == nil {
		return nil
	}
	if known.state.Worker != state.Worker {
		known.fitness, known.aside = newFitness(), false
	}
	known.fitness.told(state.Assessment, now)
	regraded := known.state.Assessment.Severity() != state.Assessment.Severity()
	known.state, known.reported = state, true
	if regraded {
		core.weighWords()
	}
	known.others = state.Held.Minus(state.Own)
	core.place(now)
	return core.take()
}

// RunEnded takes the end of a run from its agent.
func (core *Core) RunEnded(name ptid.AgentName, end ptrun.End, now ptid.Instant) (effects []Effect) {
	if known := core.agents[name]; known != nil {
		core.end(known, end, now)
	}
	core.place(now)
	return core.take()
}

func (core *Core) end(known *agent, end ptrun.End, now ptid.Instant) {
	run := known.runs[end.Run]
	if run == nil {
		return
	}
	known.unbook(end.Run, run)
	core.learn(known, run, end, now)
	core.ticketRefused(known, run, end)
	job := run.job
	change := job.RunEnded(end)
	if job.Durable {
		core.emit(SaveProgress{Job: job, Agent: known.name, Run: end.Run})
	}
	if !change.Accepted || job.State() == ptgraph.GivenUp {
		return
	}
	if run.task.Step.Gang && end.Result != ptrun.Done {
		core.stopGang(job, end.Run.Task.Step)
	}
	if change.JobEnded {
		core.conclude(job, nil, now)
		return
	}
	if !job.State().Ended() {
		core.enqueue(job, now)
	}
}

// learn takes what an end tells of run times and of the worker.
func (core *Core) learn(known *agent, run *sent, end ptrun.End, now ptid.Instant) {
	switch end.Result {
	case ptrun.Done:
		seconds := end.RunTime.Seconds()
		known.fitness.done(seconds/max(run.expected.Seconds(), 0.001), now)
		queue := run.job.Queue.Name
		if average, seen := core.average[queue]; seen {
			core.average[queue] = average + learnRate*(min(seconds, 4*average)-average)
		} else {
			core.average[queue] = seconds
		}
		if declared := run.task.Step.Estimate.Seconds(); declared > 0 {
			core.bias += learnRate * (min(seconds/declared, 4) - core.bias)
		}
	case ptrun.Failed:
		known.fitness.failed(end.Run.Task.Job, now)
	case ptrun.Stopped, ptrun.Lost, ptrun.NeverStarted:
		known.fitness.returned()
	}
}

// conclude takes an ended job off the books and stops what is left of it.
func (core *Core) conclude(job *Job, refusal *Refusal, now ptid.Instant) {
	if !job.Durable {
		core.answered(job, refusal == nil && job.State() == ptgraph.Completed && now <= job.Objective, now)
	}
	delete(core.jobs, job.Key())
	delete(core.passing, job.Key())
	core.unqueue(job)
	if len(job.PlacedRuns()) > 0 {
		for _, known := range core.ordered {
			for _, id := range sortedRuns(known.runs) {
				if run := known.runs[id]; run.job == job {
					core.stop(known, id, run, ptrun.ReasonStopRequested)
				}
			}
		}
	}
	core.emit(JobEnded{Job: job, Refusal: refusal})
}

func (core *Core) stop(known *agent, id ptrun.ID, run *sent, why ptrun.Reason) {
	if run.stopped {
		return
	}
	run.stopped = true
	core.emit(SendStop{Agent: known.name, Run: id, Reason: why})
}

// Cancel ends a job that nobody waits for any more.
func (core *Core) Cancel(key Key, now ptid.Instant) (effects []Effect) {
	if job := core.jobs[key]; job != nil && job.GiveUp() {
		core.conclude(job, nil, now)
	}
	core.place(now)
	return core.take()
}

// Tick does what the passing of time asks for.
func (core *Core) Tick(now ptid.Instant) (effects []Effect) {
	core.weighWords()
	for _, known := range core.ordered {
		if !known.connected && len(known.runs) > 0 && now.Sub(known.lostAt) > RunLossTimeout {
			core.lose(known, ptrun.ReasonLeaseExpired, nonDurableRuns, now)
		}
		if !known.connected && len(known.runs) > 0 && now.Sub(known.lostAt) > DurableRunLossTimeout {
			core.lose(known, ptrun.ReasonLeaseExpired, allRuns, now)
		}
		core.watch(known, now)
	}
	core.expireAll(core.stranded(now), NoWorker, now)
	var over []Key
	for key, job := range core.passing {
		if now.Add(job.span) >= job.ExpiresAt && job.over(now) {
			over = append(over, key)
		}
	}
	core.expireAll(append(over, core.hopeless(now)...), TooLate, now)
	core.place(now)
	return core.take()
}

// over reports whether a job can't end in time any more.
func (job *Job) over(now ptid.Instant) bool {
	return now >= job.ExpiresAt || job.CertainlyUnstarted() && now.Add(job.span) >= job.ExpiresAt
}

// expireAll ends jobs that can't end in time any more.
func (core *Core) expireAll(keys []Key, reason RefusalReason, now ptid.Instant) {
	slices.SortFunc(keys, compareKeys)
	for _, key := range slices.Compact(keys) {
		core.expire(core.passing[key], reason, now)
	}
}

// expire ends a job that can't end in time any more; reason is told where it is untouched.
func (core *Core) expire(job *Job, reason RefusalReason, now ptid.Instant) {
	untouched := job.CertainlyUnstarted()
	if !job.GiveUp() {
		return
	}
	var refusal *Refusal
	if untouched {
		refusal = &Refusal{Reason: reason, RetryAfter: retryAfter}
	}
	core.conclude(job, refusal, now)
}
