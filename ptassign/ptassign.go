// Package ptassign implements the scheduling decisions of one entry for jobs whose tasks
// declare resource demands: which jobs are admitted, in which order their tasks are placed,
// and on which worker. It has no I/O.
//
// # How it works
//
//  1. Waiting jobs are sorted by their latest start: the last instant at which a job can
//     start and still meet its objective. Short jobs therefore overtake longer jobs that
//     have slack. Unstarted jobs that can no longer meet their objective come after all
//     other jobs.
//  2. A task is placed on a worker with enough free capacity: the worker's capacity, less
//     the capacity that its agent reports as held by other entries, less the capacity that
//     this entry has reserved on the worker. Among these workers, the worker with the lowest
//     cost is chosen. The cost depends mainly on slowdown and utilization.
//  3. A job is refused on submission if its forecast start is too late for its objective.
//     The forecast uses the demand that is queued ahead of the job and the rate at which
//     capacity becomes free. A job of which no run can have started is also refused as soon
//     as the job can't end before it expires. Under overload the capacity is thus spent on
//     jobs whose results are still useful.
//  4. Run times are learned. The expected run time is the geometric mean of the declared
//     estimate and the average of the queue, since the errors of both are about equal.
//  5. Entries report to the agents the rate at which they need capacity (see
//     capacity_request.go). Agents offer capacity that becomes free in proportion to these
//     rates, so that jobs wait about equally long at every entry.
//  6. Workers that fail, hang or are slow get fewer tasks or none. The decision uses the
//     assessments of the agents and the results of this entry's own runs (see fitness.go).
//  7. A task that has lost two runs with their workers is a suspect: its next run is isolated on
//     a worker (see suspect.go). It is given up if it crashes its workers (package ptgraph).
//  8. A task is placed again only when its previous run has provably ended: the agent
//     reported the end, another incarnation of the agent has connected, or no message from
//     the agent has arrived for [RunLossTimeout]. Runs of durable jobs survive a restart of
//     their agent, so a new incarnation proves nothing about them, and the timeout is
//     [DurableRunLossTimeout], counted while the entry has a session with any agent: an entry
//     that has lost all agents at once is probably cut off itself, and the ends of its runs wait
//     at the agents. This also holds across submissions: a job that is submitted
//     again takes over the runs of its earlier submission that have not ended.
//
// # Usage
//
//	core := ptassign.New(seed)
//	job, refusal, effects, err := core.Submit(spec, now)
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
	// RunLossTimeout is how long after the last message from an agent all runs of best-effort
	// jobs at this agent have certainly ended: either the agent has stopped these runs, because
	// it received no messages from the entry, or the lease of the agent's worker has expired.
	// docs/design/10-platform.md adds up the time limits behind this value.
	RunLossTimeout = 2500 * time.Millisecond
	// ExpiryFactor is the ratio of the time after which a job expires to the job's objective.
	// Both are counted from the submission of the job. A job expires because its result is no
	// longer useful. It expires earlier if the caller's deadline is earlier.
	ExpiryFactor = 3
	// OrderTTL is how long after it was sent a start order may still start its run. A busy
	// entry or link delays an order by some hundreds of milliseconds at most.
	OrderTTL = 500 * time.Millisecond
	// WaitAtAgent is how long a start order may wait for free capacity at its agent. Sometimes
	// another entry has taken the capacity that the last report showed as free, but soon releases
	// this capacity again. An urgent job has about 80 ms to find capacity for all of its tasks,
	// so after a longer wait at a full worker there would be no time for the next attempt
	// (docs/design/11-fitness-and-urgency.md).
	WaitAtAgent = 10 * time.Millisecond
	// GangWaitAtAgent replaces WaitAtAgent for members of a gang. One refused member ends the
	// work of all other members, so GangWaitAtAgent is longer than WaitAtAgent, which makes a
	// refusal less likely. GangWaitAtAgent is well below the time within which a gang must
	// become complete; after that time the started members of the gang give up.
	GangWaitAtAgent = 300 * time.Millisecond
	// RoundTripMargin is the time for sending a job's start orders and returning its result,
	// in addition to its run time.
	RoundTripMargin = 15 * time.Millisecond
	// placeWaiting stops scanning the queue after it has found maxBlockedJobs jobs whose ready
	// tasks it could not all place.
	maxBlockedJobs = 64
	// averageWeight is the weight of the newest run in moving averages.
	averageWeight = 0.05
	// defaultRunTime is the expected run time where no estimate was declared and no run has
	// been measured.
	defaultRunTime = 200 * time.Millisecond
	// minRetryAfter is the shortest retry delay that is returned with a refusal.
	minRetryAfter = time.Second
)

// Spec describes a submitted job.
type Spec struct {
	ptgraph.Spec
	Queue ptqueue.Queue
	// Deadline is when the caller stops waiting; [ptid.Never] if the caller does not wait.
	Deadline ptid.Instant
}

// Key identifies one occurrence of a job.
type Key struct {
	ID         ptid.JobID
	Occurrence ptrun.Occurrence
}

func keyOf(task ptrun.TaskID) Key { return Key{ID: task.Job, Occurrence: task.Occurrence} }

func compareKeys(left, right Key) int {
	return cmp.Or(cmp.Compare(left.ID, right.ID), cmp.Compare(left.Occurrence, right.Occurrence))
}

// RefusalReason is why a job was not admitted, or was ended before any run of it started.
type RefusalReason string

// Refusal reasons.
const (
	NoWorker        RefusalReason = "noWorker"
	NoFittingWorker RefusalReason = "unfitting"
	ForecastTooLate RefusalReason = "forecast"
	TooLate         RefusalReason = "tooLate"
)

// Refusal reports that no run of a job has started or will start.
type Refusal struct {
	Reason     RefusalReason
	RetryAfter time.Duration
	// ForecastWait is the forecast waiting time that led to the refusal. DemandAhead is the
	// demand that was queued ahead of the job. Capacity is the capacity that was available to the
	// entry's jobs.
	ForecastWait time.Duration
	DemandAhead  ptrun.Millicores
	Capacity     AvailableCapacity
}

// Job is an admitted job.
type Job struct {
	*ptgraph.Job
	Queue       ptqueue.Queue
	SubmittedAt ptid.Instant
	// Objective is the target completion time. The job is ended at ExpiresAt, after which its
	// result is no longer useful.
	Objective ptid.Instant
	ExpiresAt ptid.Instant
	Deadline  ptid.Instant
	// FirstPlacedAt is when a task of the job was first placed. lastPlacedAt is when a task of
	// the job was last placed. Both are zero if no task has been placed.
	FirstPlacedAt, lastPlacedAt ptid.Instant
	// Durable jobs have been accepted for execution and survive their owner. They are never
	// refused and never expire.
	Durable bool
	// Recovering jobs are not placed until the runs that an earlier owner has started are
	// known.
	Recovering       bool
	expectedDuration time.Duration
	// inQueue is true while the job is in the waiting queue.
	inQueue bool
	// readyCPU is the CPU demand of the ready tasks; a negative value means that the demand must
	// be recomputed. minDemand is the component-wise minimum of the demands of the ready tasks.
	readyCPU     ptrun.Millicores
	minDemand    ptrun.Demand
	adviceByStep map[ptrun.StepIndex]*stepAdvice
	// suspects contains the tasks of which a run was lost. waitingSuspects is the number of ready
	// tasks that must be isolated; it is valid with readyCPU, which does not include them.
	suspects        map[ptrun.TaskID]*suspect
	waitingSuspects int
	isolatedRuns    int
	// heldSince contains the tasks that wait for the resolution of their losses.
	heldSince map[ptrun.TaskID]ptid.Instant
}

// Key returns the key of the job.
func (job *Job) Key() Key { return Key{ID: job.ID, Occurrence: job.Occurrence} }

// Effect is an action that the caller of the core must carry out, or an event that it must
// handle.
type Effect interface{ isEffect() }

// SendOrder sends the start order of a run to an agent.
type SendOrder struct {
	Agent  ptid.AgentName
	Run    ptrun.ID
	Job    *Job
	Demand ptrun.Demand
	// StartBy is the deadline for the start of the run. MaxWait is how long the run may wait
	// at the agent for free capacity. The agent counts MaxWait from the arrival of the order.
	// If it were counted from the time when the entry sends the order, all orders of an
	// overloaded entry would arrive too late, and handling the runs that the agents return
	// unstarted would add to the overload.
	StartBy ptid.Instant
	MaxWait time.Duration
	// QueueKey orders the runs that wait at the agent; the lowest starts first.
	QueueKey ptid.Instant
	// ExpectedRunTime is how long the run should take on a healthy worker; zero if the actual run
	// time can't be used to assess the worker.
	ExpectedRunTime time.Duration
	// Checkpoint is the state from which the run resumes.
	Checkpoint ptrun.Checkpoint
	Ticket     string
	// Isolation is how long the run must be the only active run on its worker; zero if others may be
	// active beside it.
	Isolation time.Duration
}

// SendStop asks an agent to stop a run.
type SendStop struct {
	Agent  ptid.AgentName
	Run    ptrun.ID
	Reason ptrun.Reason
}

// SendQuery asks an agent, after it has reconnected, for the state of a run.
type SendQuery struct {
	Agent ptid.AgentName
	Run   ptrun.ID
}

// RejectEnd tells an agent that a task has started again after the end of the given run as done. The
// agent must not acknowledge this end to its worker.
type RejectEnd struct {
	Agent ptid.AgentName
	Run   ptrun.ID
}

// SaveProgress asks to store the progress of a durable job, mostly after the end of a run.
// Acknowledge the end to the agent once the progress is stored, and then call
// [Core.ProgressSaved]. Agent is empty if no agent has reported an end.
type SaveProgress struct {
	Job   *Job
	Agent ptid.AgentName
	Run   ptrun.ID
}

// JobEnded reports the end of a job. Refusal is set if the core gave up the job because the job
// could not end in time, and no run of the job can have started.
type JobEnded struct {
	Job     *Job
	Refusal *Refusal
}

// RunsLost reports that the entry has declared runs lost without a report from their agent.
// DisconnectedAt is when the session with the agent ended.
type RunsLost struct {
	Agent          ptid.AgentName
	Reason         ptrun.Reason
	Runs           int
	DisconnectedAt ptid.Instant
}

func (SendOrder) isEffect()    {}
func (SendStop) isEffect()     {}
func (SendQuery) isEffect()    {}
func (SaveProgress) isEffect() {}
func (RejectEnd) isEffect()    {}
func (JobEnded) isEffect()     {}
func (RunsLost) isEffect()     {}

// placedRun is a run that was sent to an agent and has not ended.
type placedRun struct {
	job             *Job
	task            *ptgraph.Task
	reservation     ptrun.Demand
	placedAt        ptid.Instant
	expectedRunTime time.Duration
	// hangsAt is when the run counts as hanging.
	hangsAt  ptid.Instant
	stopped  bool
	isolated bool
	// worker is the agent's worker when the run was placed.
	worker ptrun.WorkerID
	// incarnation is the incarnation of the agent that was asked to start the run.
	incarnation ptid.Incarnation
}

// AgentState is what an agent reports about its worker.
type AgentState struct {
	Worker   ptrun.WorkerID
	Capacity ptrun.Demand
	// Held is the capacity that the runs of all entries hold. Own is the part of Held that the
	// runs of this entry hold.
	Held     ptrun.Demand
	Own      ptrun.Demand
	Labels   []string
	Unusable bool
	// RequestedByOthers is the rate at which other entries request capacity.
	RequestedByOthers ptrun.MillicoresPerSecond
	// Assessment is the agent's assessment of the worker, based on the runs of all entries.
	// MayProbe allows this entry to send one probe task to a quarantined worker.
	Assessment ptfitness.Assessment
	MayProbe   bool
	// Isolating is true while a run is active in isolation, or waits for that.
	Isolating bool
}

// agentRecord is what the core knows about one agent and its worker.
type agentRecord struct {
	name ptid.AgentName
	// incarnation is the latest incarnation that has opened a session.
	incarnation ptid.Incarnation
	// connectedIncarnation is the incarnation that opened the latest session. It is earlier than
	// incarnation if the wall clock of the agent's VM was set back.
	connectedIncarnation ptid.Incarnation
	service              ptid.ServiceName
	sameZone             bool
	connected            bool
	// connectedAt is when the agent opened its first session after it had none.
	connectedAt, disconnectedAt ptid.Instant
	state                       AgentState
	// formerWorkers contains the workers that the agent has reported before.
	formerWorkers []ptrun.WorkerID
	hasReport     bool
	heldByOthers  ptrun.Demand
	reserved      ptrun.Demand
	runs          map[ptrun.ID]*placedRun
	isolatedRuns  int
	observed      observations
	// quarantined is true if the worker gets only probe tasks, because its assessment is bad
	// compared with the assessments of the other workers of the service.
	quarantined bool
	// expectedWork is the sum of the expected run times of the runs, each multiplied by its
	// reserved CPU.
	expectedWork float64
}

// free returns the worker's capacity less all known reservations.
func (agent *agentRecord) free() ptrun.Demand {
	return agent.state.Capacity.Minus(agent.heldByOthers).Minus(agent.reserved)
}

func (agent *agentRecord) isUsable(now ptid.Instant) bool {
	return agent.isAvailable() && agent.acceptsTask(now)
}

// Core is the scheduling state of one entry. Create it with [New].
type Core struct {
	agents       map[ptid.AgentName]*agentRecord
	sortedAgents []*agentRecord
	jobs         map[Key]*Job
	// bestEffort contains the best-effort jobs; unlike durable jobs they expire at Job.ExpiresAt.
	bestEffort map[Key]*Job
	// stopping contains the ended best-effort jobs that still have runs.
	stopping map[Key]*Job
	// heldJobs contains the jobs with tasks that wait for the resolution of their losses.
	heldJobs map[Key]*Job
	// waiting is sorted by the queue keys as of sortedAt. A job that has become late after
	// sortedAt stays too far ahead in the queue until the next sort.
	waiting  []*Job
	sortedAt ptid.Instant
	// averageRunTime is the moving average of the run time by queue, in seconds.
	averageRunTime map[ptid.ProfileName]float64
	demands        map[ptid.ProfileName]*queueDemand
	// estimateBias is the moving average of the ratio of run time to declared estimate.
	estimateBias float64
	random       *rand.Rand
	effects      []Effect
	// usable contains the agents of all services that may get tasks now, and maxFree the
	// component-wise maximum of their free capacity. Both are valid only during a call of
	// placeWaiting.
	usable  []*agentRecord
	maxFree ptrun.Demand
	// quarantinedAgents contains the agents whose worker is quarantined, except the agents in
	// usable. It is updated together with usable.
	quarantinedAgents []*agentRecord
	// waitingSince is the start of the current period in which jobs request capacity;
	// [ptid.Never] if no job requests capacity. requestsSentAt is when CapacityRequestsToSend
	// last asked for frames that carry only capacity requests.
	waitingSince, requestsSentAt ptid.Instant
	// ownershipExpiresAt is when another entry may own the durable jobs.
	ownershipExpiresAt ptid.Instant
	lastTickAt         ptid.Instant
}

// New returns a core without jobs or agents. The seed makes its random choices reproducible.
func New(seed uint64) *Core {
	return &Core{
		agents: make(map[ptid.AgentName]*agentRecord), jobs: make(map[Key]*Job), bestEffort: make(map[Key]*Job),
		stopping: make(map[Key]*Job), heldJobs: make(map[Key]*Job),
		averageRunTime: make(map[ptid.ProfileName]float64), demands: make(map[ptid.ProfileName]*queueDemand), estimateBias: 1, waitingSince: ptid.Never,
		ownershipExpiresAt: ptid.Never,
		random:             rand.New(rand.NewPCG(seed, 1)),
	}
}

func (core *Core) emit(effect Effect) { core.effects = append(core.effects, effect) }

func (core *Core) takeEffects() (effects []Effect) {
	effects, core.effects = core.effects, nil
	return effects
}

// expectedRunTime returns the run time of the step's tasks on a healthy worker.
func (core *Core) expectedRunTime(queue ptid.ProfileName, step *ptgraph.Step) time.Duration {
	average := core.averageRunTime[queue]
	switch {
	case step.Estimate <= 0 && average == 0:
		return defaultRunTime
	case step.Estimate <= 0:
		return time.Duration(average * float64(time.Second))
	case average == 0:
		return step.Estimate
	default:
		return time.Duration(math.Sqrt(step.Estimate.Seconds()*core.estimateBias*average) * float64(time.Second))
	}
}

// criticalPath returns the expected duration of the longest chain of unfinished steps of a
// job.
func (core *Core) criticalPath(job *ptgraph.Job, queue ptid.ProfileName) time.Duration {
	declared := job.CriticalPath()
	if declared <= 0 || len(job.Steps) == 1 {
		return core.expectedRunTime(queue, &job.Steps[0])
	}
	return declared
}

// Submit admits a job or refuses it.
func (core *Core) Submit(spec Spec, now ptid.Instant) (job *Job, refusal *Refusal, effects []Effect, err error) {
	graph, err := ptgraph.New(spec.Spec)
	if err != nil {
		return nil, nil, nil, err
	}
	duration := core.criticalPath(graph, spec.Queue.Name)
	objective := time.Duration(spec.Queue.Stretch*float64(duration)) + spec.Queue.TargetLatency
	job = &Job{
		Job: graph, Queue: spec.Queue, SubmittedAt: now, Deadline: spec.Deadline, expectedDuration: duration, readyCPU: -1,
		Objective: now.Add(objective), ExpiresAt: min(now.Add(ExpiryFactor*objective), spec.Deadline),
	}
	if refusal = core.refusalFor(job, now); refusal != nil {
		core.countOutcome(job, false, now)
		return nil, refusal, nil, nil
	}
	core.demandOf(job, now).cpu += float64(core.readyDemand(job))
	core.jobs[job.Key()], core.bestEffort[job.Key()] = job, job
	core.takeOverRuns(job)
	core.enqueue(job, now)
	core.placeWaiting(now)
	return job, nil, core.takeEffects(), nil
}

// latestStart returns when the job must start to meet its objective.
func (job *Job) latestStart() ptid.Instant {
	return job.Objective.Add(-job.expectedDuration - RoundTripMargin)
}

// queueKey returns the sort key of the job in the waiting queue. Jobs that can still meet
// their objective and jobs that have started come first, by their latest start and priority.
// The other jobs are late; they come last, by their submission time.
func (job *Job) queueKey(now ptid.Instant) ptid.Instant {
	if latest := job.latestStart(); latest >= now || job.Started() {
		return latest.Add(time.Duration(job.Queue.Priority) * priorityStep)
	}
	return job.SubmittedAt.Add(lateOffset)
}

// priorityStep is how much later a job is sorted for each step of its queue's priority.
const priorityStep = time.Second

// lateOffset sorts late jobs after all other jobs.
const lateOffset = 24 * time.Hour

// WaitingJobs returns how many jobs have tasks that are waiting to be placed.
func (core *Core) WaitingJobs() int { return len(core.waiting) }

// PendingJobs returns the number of waiting jobs of a queue of which no run can have started.
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

// Job returns a job that has not ended; nil if there is none with this key.
func (core *Core) Job(key Key) *Job { return core.jobs[key] }

const (
	// sortInterval is the least time between two sorts of the waiting queue, and
	// sortIntervalPerJob is added to it for each waiting job: sorting a long queue must not
	// take CPU time away from the sessions.
	sortInterval       = 25 * time.Millisecond
	sortIntervalPerJob = 100 * time.Microsecond
)

// compareJobs compares two waiting jobs by their position in the queue.
func compareJobs(left, right *Job, now ptid.Instant) int {
	return cmp.Or(cmp.Compare(left.queueKey(now), right.queueKey(now)), cmp.Compare(left.Queue.Priority, right.Queue.Priority))
}

// enqueue inserts a job into the waiting queue at its sorted position.
func (core *Core) enqueue(job *Job, now ptid.Instant) {
	job.readyCPU = -1
	if job.inQueue {
		return
	}
	job.inQueue = true
	index, _ := slices.BinarySearchFunc(core.waiting, job, func(other, inserted *Job) int {
		if compareJobs(other, inserted, now) <= 0 {
			return -1
		}
		return 1
	})
	core.waiting = slices.Insert(core.waiting, index, job)
}

// dequeue removes a job from the waiting queue.
func (core *Core) dequeue(job *Job) {
	if !job.inQueue {
		return
	}
	job.inQueue = false
	if index := slices.Index(core.waiting, job); index >= 0 {
		core.waiting = slices.Delete(core.waiting, index, index+1)
	}
}

// placeWaiting places waiting tasks on workers with free capacity. It scans the queue from the
// head and stops after maxBlockedJobs jobs that could not be placed completely, because the
// jobs behind them would find no free capacity either.
func (core *Core) placeWaiting(now ptid.Instant) {
	if len(core.waiting) == 0 {
		return
	}
	if now.Sub(core.sortedAt) >= sortInterval+time.Duration(len(core.waiting))*sortIntervalPerJob {
		core.sortedAt = now
		slices.SortStableFunc(core.waiting, func(left, right *Job) int { return compareJobs(left, right, now) })
	}
	core.updateUsable(now)
	blocked, examined, retained := 0, 0, 0
	for ; examined < len(core.waiting) && blocked < maxBlockedJobs; examined++ {
		job := core.waiting[examined]
		switch {
		case job.State().Ended():
			job.inQueue = false
			continue
		case core.isOnHold(job, now):
		case !core.placeJob(job, now):
			blocked++
		}
		if core.readyDemand(job) == 0 && job.waitingSuspects == 0 && len(job.PlacedRuns()) > 0 {
			job.inQueue = false
			continue
		}
		core.waiting[retained] = job
		retained++
	}
	core.waiting = slices.Delete(core.waiting, retained, examined)
}

// updateUsable determines the agents that may get tasks now.
func (core *Core) updateUsable(now ptid.Instant) {
	core.usable, core.quarantinedAgents = core.usable[:0], core.quarantinedAgents[:0]
	for _, agent := range core.sortedAgents {
		switch {
		case agent.isUsable(now):
			core.usable = append(core.usable, agent)
		case agent.quarantined:
			core.quarantinedAgents = append(core.quarantinedAgents, agent)
		}
	}
	core.updateMaxFree()
}

// updateMaxFree computes the component-wise maximum of the usable agents' free capacity.
func (core *Core) updateMaxFree() {
	core.maxFree = ptrun.Demand{}
	for _, agent := range core.usable {
		core.maxFree = core.maxFree.Max(agent.free())
	}
}

// placeJob places the ready tasks of a job and reports whether all of them were placed. Suspects that
// wait for isolation don't count: the jobs behind may find capacity.
func (core *Core) placeJob(job *Job, now ptid.Instant) (all bool) {
	if core.readyDemand(job); job.waitingSuspects > 0 {
		core.placeSuspects(job, now)
	}
	if core.readyDemand(job) > 0 && job.Queue.Advice == nil && !core.maxFree.Covers(job.minDemand) && !core.mayUseQuarantined(job, now) {
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
		if !task.Pending() || job.needsIsolation(task) {
			continue
		}
		chosen := core.choose(job, task, now)
		if chosen == nil {
			core.requestAdvice(job, task, now)
			return false
		}
		core.sendOrder(chosen, job, task, job.Place(task), placement{checkpoint: task.Checkpoint}, now)
	}
	return true
}

// placement describes how a run is started.
type placement struct {
	checkpoint ptrun.Checkpoint
	isolation  time.Duration
}

// sendOrder reserves capacity for a run at an agent and emits its start order.
func (core *Core) sendOrder(chosen *agentRecord, job *Job, task *ptgraph.Task, run ptrun.ID, placement placement, now ptid.Instant) {
	core.reserve(chosen, job, task, run, placement.isolation > 0, now)
	core.updateMaxFree()
	job.readyCPU = -1
	chosen.taskPlaced()
	if job.FirstPlacedAt == 0 {
		job.FirstPlacedAt = now
	}
	job.lastPlacedAt = now
	startBy, wait := now.Add(OrderTTL), WaitAtAgent
	if task.Step.Gang {
		wait = GangWaitAtAgent
	}
	if placement.isolation > 0 {
		startBy, wait = now.Add(IsolationWait+OrderTTL), IsolationWait
	}
	if job.Durable {
		startBy = min(startBy, core.ownershipExpiresAt)
	} else {
		startBy = min(startBy, job.Deadline)
	}
	ticket, _ := ticketFor(chosen, job, task, now)
	core.emit(SendOrder{
		Agent: chosen.name, Ticket: ticket, Run: run, Job: job, Demand: task.Step.Reservation(), StartBy: startBy, MaxWait: wait, QueueKey: job.queueKey(now), Checkpoint: placement.checkpoint, Isolation: placement.isolation,
		ExpectedRunTime: core.assessableRunTime(chosen, job, task.Step),
	})
}

// reserve adds a run to the agent's list and reserves the run's capacity; for an isolated run, that is
// the whole worker.
func (core *Core) reserve(chosen *agentRecord, job *Job, task *ptgraph.Task, run ptrun.ID, isolated bool, now ptid.Instant) {
	expected := core.expectedRunTime(job.Queue.Name, task.Step)
	placed := &placedRun{
		job: job, task: task, reservation: task.Step.Reservation(), placedAt: now, expectedRunTime: expected,
		hangsAt: now.Add(hangTimeout(task, expected)), incarnation: chosen.connectedIncarnation, isolated: isolated, worker: chosen.state.Worker,
	}
	if isolated {
		placed.reservation = chosen.state.Capacity
		chosen.isolatedRuns++
		job.isolatedRuns++
	}
	chosen.runs[run] = placed
	chosen.reserved = chosen.reserved.Plus(placed.reservation)
	chosen.expectedWork += placed.work()
}

// release removes a run from the agent's list and frees its reservation.
func (agent *agentRecord) release(id ptrun.ID, run *placedRun) {
	delete(agent.runs, id)
	if run.isolated {
		agent.isolatedRuns--
		run.job.isolatedRuns--
	}
	agent.reserved = agent.reserved.Minus(run.reservation)
	agent.expectedWork -= run.work()
}

// work returns the expected run time of the run in seconds, multiplied by its reserved CPU.
func (run *placedRun) work() float64 {
	return float64(run.reservation.CPU) * run.expectedRunTime.Seconds()
}

// choose returns the agent on whose worker the task is placed; nil if no worker can run it
// now.
func (core *Core) choose(job *Job, task *ptgraph.Task, now ptid.Instant) (chosen *agentRecord) {
	chosen = core.chooseFrom(core.usable, job, task, now)
	if chosen == nil && core.mayUseQuarantined(job, now) {
		chosen = core.chooseFrom(core.quarantinedAgents, job, task, now)
	}
	return chosen
}

func (core *Core) chooseFrom(candidates []*agentRecord, job *Job, task *ptgraph.Task, now ptid.Instant) (chosen *agentRecord) {
	best := math.Inf(1)
	for _, candidate := range candidates {
		if candidate.service != job.Queue.Service || !candidate.free().Covers(task.Step.Reservation()) || !core.isUsableFor(candidate, job, now) {
			continue
		}
		if _, allowed := ticketFor(candidate, job, task, now); !allowed || !meetsConstraints(candidate, job, task) {
			continue
		}
		if cost := core.cost(candidate, task); cost < best {
			best, chosen = cost, candidate
		}
	}
	return chosen
}

// meetsConstraints reports whether the label and the per-worker limit of the task's step
// allow the worker.
func meetsConstraints(candidate *agentRecord, job *Job, task *ptgraph.Task) bool {
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
	// otherZonePenalty is added to the cost of a worker in another availability zone; for
	// comparison, the slowdown of a healthy worker adds 1. The penalty equals loadPenalty, so
	// that entries use the workers of their own zone first. Fewer entries then send orders to
	// each worker, and each of these entries has a more current view of the worker's free
	// capacity.
	otherZonePenalty = 0.3
	// remotePenalty is added to the cost of a worker without the step's preferred label, because
	// such a worker is not in the rack that holds the step's data.
	remotePenalty = 0.5
	// loadPenalty times the square of a worker's CPU utilization is added to the worker's cost,
	// because the free capacity of a highly utilized worker may be gone when the order arrives.
	loadPenalty = 0.3
	// jitter is the upper bound of the random part of the cost. It keeps entries with the same
	// view from choosing the same worker.
	jitter = 0.1
)

func (core *Core) cost(candidate *agentRecord, task *ptgraph.Task) (cost float64) {
	capacity := candidate.state.Capacity
	load := 1 - float64(candidate.free().CPU)/float64(max(1, capacity.CPU))
	cost = candidate.slowdown() + loadPenalty*load*load + jitter*core.random.Float64()
	if !candidate.sameZone {
		cost += otherZonePenalty
	}
	if task.Step.PreferredLabel != "" && !slices.Contains(candidate.state.Labels, task.Step.PreferredLabel) {
		cost += remotePenalty
	}
	return cost
}

// AgentConnected records that an incarnation of an agent has opened a session. Runs of
// best-effort jobs that were sent to an earlier incarnation end with the result lost. The agent
// is asked for the state of all other runs. A greeting of an earlier incarnation proves nothing:
// a paused entry may read it late, and the wall clock of the agent's VM may have been set back.
func (core *Core) AgentConnected(name ptid.AgentName, incarnation ptid.Incarnation, service ptid.ServiceName, sameZone bool, now ptid.Instant) (effects []Effect) {
	agent := core.agents[name]
	if agent == nil {
		agent = &agentRecord{name: name, runs: make(map[ptrun.ID]*placedRun), observed: newObservations()}
		core.agents[name] = agent
		core.sortedAgents = slices.SortedFunc(maps.Values(core.agents), func(left, right *agentRecord) int { return cmp.Compare(left.name, right.name) })
	}
	if agent.incarnation < incarnation {
		core.loseRuns(agent, ptrun.ReasonRestarted, bestEffortRuns, now)
		agent.observed, agent.quarantined = newObservations(), false
		agent.incarnation = incarnation
	}
	if !agent.connected {
		agent.connectedAt = now
	}
	agent.service, agent.sameZone, agent.connected, agent.connectedIncarnation = service, sameZone, true, incarnation
	for _, run := range sortedRuns(agent.runs) {
		core.emit(SendQuery{Agent: name, Run: run})
		if agent.runs[run].stopped {
			// The first stop may have been lost with the previous session.
			core.emit(SendStop{Agent: name, Run: run, Reason: ptrun.ReasonStopRequested})
		}
	}
	core.placeWaiting(now)
	return core.takeEffects()
}

func sortedRuns(runs map[ptrun.ID]*placedRun) []ptrun.ID {
	return slices.SortedFunc(maps.Keys(runs), ptrun.Compare)
}

// runScope selects which runs of an agent are meant.
type runScope bool

const (
	// bestEffortRuns selects only the runs of best-effort jobs. The ends of these runs are not
	// stored and can be lost when the agent restarts. A restarted agent still reports the ends of
	// runs of durable jobs, because the worker keeps each of these ends until the job's owner has
	// stored it.
	bestEffortRuns runScope = false
	// allRuns selects the runs of durable and best-effort jobs.
	allRuns runScope = true
)

// loseRuns ends runs of an agent with the result lost.
func (core *Core) loseRuns(agent *agentRecord, reason ptrun.Reason, scope runScope, now ptid.Instant) {
	lost := 0
	for _, run := range sortedRuns(agent.runs) {
		if scope == allRuns || !agent.runs[run].job.Durable {
			lost++
			core.runEnded(agent, ptrun.End{Run: run, Result: ptrun.Lost, Reason: reason}, now)
		}
	}
	if lost > 0 {
		core.emit(RunsLost{Agent: agent.name, Reason: reason, Runs: lost, DisconnectedAt: agent.disconnectedAt})
	}
}

// AgentDisconnected records that the session with an agent has ended.
func (core *Core) AgentDisconnected(name ptid.AgentName, now ptid.Instant) {
	if agent := core.agents[name]; agent != nil {
		agent.connected, agent.disconnectedAt, agent.hasReport = false, now, false
	}
}

// AgentReported processes the state that an agent reports about its worker.
func (core *Core) AgentReported(name ptid.AgentName, state AgentState, now ptid.Instant) (effects []Effect) {
	agent := core.agents[name]
	if agent == nil {
		return nil
	}
	if agent.state.Worker != state.Worker {
		agent.observed, agent.quarantined = newObservations(), false
	}
	agent.observed.mergeReport(state.Assessment, now)
	agent.setWorker(state.Worker)
	severityChanged := agent.state.Assessment.Severity() != state.Assessment.Severity()
	agent.state, agent.hasReport = state, true
	if severityChanged {
		core.updateQuarantine()
	}
	agent.heldByOthers = state.Held.Minus(state.Own)
	core.placeWaiting(now)
	return core.takeEffects()
}

// RunEnded processes a report from an agent that a run has ended.
func (core *Core) RunEnded(name ptid.AgentName, end ptrun.End, now ptid.Instant) (effects []Effect) {
	if agent := core.agents[name]; agent != nil {
		core.runEnded(agent, end, now)
	}
	core.placeWaiting(now)
	return core.takeEffects()
}

func (core *Core) runEnded(agent *agentRecord, end ptrun.End, now ptid.Instant) {
	run := agent.runs[end.Run]
	if run == nil {
		return
	}
	if end.Result == ptrun.NeverStarted && run.incarnation != agent.connectedIncarnation {
		// An agent process does not know whether an earlier one has started a run.
		end.Result, end.Reason = ptrun.Lost, ptrun.ReasonRestarted
		if agent.state.Worker != run.worker {
			// The worker has ended as well, perhaps in a crash.
			end.Reason, end.Worker = ptrun.ReasonLeaseExpired, run.worker
		}
	}
	agent.release(end.Run, run)
	core.learn(agent, run, end, now)
	core.dropRejectedTicket(agent, run, end)
	job := run.job
	job.recordSuspect(agent.name, run, end, now)
	change := job.RunEnded(end)
	if change.GivenUp {
		core.emit(TaskGivenUp{Agent: agent.name, Run: end.Run, Losses: run.task.Losses()})
	}
	if core.stopping[job.Key()] == job && len(job.PlacedRuns()) == 0 {
		delete(core.stopping, job.Key())
	}
	switch {
	case !job.Durable:
	case change.Abandoned:
		// The agent may still have the end of the run.
		core.emit(SaveProgress{Job: job})
	default:
		core.emit(SaveProgress{Job: job, Agent: agent.name, Run: end.Run})
	}
	if !change.Accepted || job.State() == ptgraph.GivenUp {
		return
	}
	if run.task.Step.Gang && end.Result != ptrun.Done {
		core.stopGang(job, end.Run.Task.Step)
	}
	if change.JobEnded {
		core.closeJob(job, nil, now)
		return
	}
	if !job.State().Ended() {
		core.enqueue(job, now)
		core.noteHeldTasks(job, now)
	}
}

// learn updates the run time averages and the observations of the worker from the end of a
// run.
func (core *Core) learn(agent *agentRecord, run *placedRun, end ptrun.End, now ptid.Instant) {
	switch end.Result {
	case ptrun.Done:
		seconds := end.RunTime.Seconds()
		agent.observed.runDone(seconds/max(run.expectedRunTime.Seconds(), 0.001), now)
		queue := run.job.Queue.Name
		if average, seen := core.averageRunTime[queue]; seen {
			core.averageRunTime[queue] = average + averageWeight*(min(seconds, 4*average)-average)
		} else {
			core.averageRunTime[queue] = seconds
		}
		if declared := run.task.Step.Estimate.Seconds(); declared > 0 {
			core.estimateBias += averageWeight * (min(seconds/declared, 4) - core.estimateBias)
		}
	case ptrun.Failed:
		agent.observed.runFailed(end.Run.Task.Job, now)
	case ptrun.Stopped, ptrun.Lost, ptrun.NeverStarted:
		agent.observed.runDiscarded()
	}
}

// closeJob removes an ended job from the core and stops its remaining runs.
func (core *Core) closeJob(job *Job, refusal *Refusal, now ptid.Instant) {
	if !job.Durable {
		core.countOutcome(job, refusal == nil && job.State() == ptgraph.Completed && now <= job.Objective, now)
	}
	delete(core.jobs, job.Key())
	delete(core.bestEffort, job.Key())
	core.dequeue(job)
	if len(job.PlacedRuns()) > 0 {
		if !job.Durable {
			core.stopping[job.Key()] = job
		}
		for _, agent := range core.sortedAgents {
			for _, id := range sortedRuns(agent.runs) {
				if run := agent.runs[id]; run.job == job {
					core.stopRun(agent, id, run, ptrun.ReasonStopRequested)
				}
			}
		}
	}
	core.emit(JobEnded{Job: job, Refusal: refusal})
}

func (core *Core) stopRun(agent *agentRecord, id ptrun.ID, run *placedRun, reason ptrun.Reason) {
	if run.stopped {
		return
	}
	run.stopped = true
	core.emit(SendStop{Agent: agent.name, Run: id, Reason: reason})
}

// Cancel ends a job that no caller waits for any more.
func (core *Core) Cancel(key Key, now ptid.Instant) (effects []Effect) {
	if job := core.jobs[key]; job != nil && job.GiveUp() {
		core.closeJob(job, nil, now)
	}
	core.placeWaiting(now)
	return core.takeEffects()
}

// Tick performs the time-based work: quarantine changes, lost and hanging runs, expired jobs,
// and placing.
func (core *Core) Tick(now ptid.Instant) (effects []Effect) {
	core.updateQuarantine()
	core.extendHangDeadlines(now)
	connectedSince := core.ConnectedSince()
	for _, agent := range core.sortedAgents {
		if !agent.connected && len(agent.runs) > 0 && now.Sub(agent.disconnectedAt) > RunLossTimeout {
			core.loseRuns(agent, ptrun.ReasonAgentSilent, bestEffortRuns, now)
		}
		if !agent.connected && len(agent.runs) > 0 && connectedSince != ptid.Never && now.Sub(max(agent.disconnectedAt, connectedSince)) > DurableRunLossTimeout {
			core.loseRuns(agent, ptrun.ReasonAgentSilent, allRuns, now)
		}
		core.stopHangingRuns(agent, now)
	}
	core.reviewHeldTasks(now)
	core.expireAll(core.jobsWithoutWorker(now), NoWorker, now)
	var expired []Key
	for key, job := range core.bestEffort {
		if now.Add(job.expectedDuration) >= job.ExpiresAt && job.expired(now) {
			expired = append(expired, key)
		}
	}
	core.expireAll(append(expired, core.jobsForecastToExpire(now)...), TooLate, now)
	core.placeWaiting(now)
	return core.takeEffects()
}

// expired reports whether the job can no longer end in time.
func (job *Job) expired(now ptid.Instant) bool {
	return now >= job.ExpiresAt || job.CertainlyUnstarted() && now.Add(job.expectedDuration) >= job.ExpiresAt
}

// expireAll ends jobs that can no longer end in time.
func (core *Core) expireAll(keys []Key, reason RefusalReason, now ptid.Instant) {
	slices.SortFunc(keys, compareKeys)
	for _, key := range slices.Compact(keys) {
		core.expire(core.bestEffort[key], reason, now)
	}
}

// expire ends a job that can no longer end in time. If no run of the job can have started, the
// job ends with a refusal that has the given reason.
func (core *Core) expire(job *Job, reason RefusalReason, now ptid.Instant) {
	unstarted := job.CertainlyUnstarted()
	if !job.GiveUp() {
		return
	}
	var refusal *Refusal
	if unstarted {
		refusal = &Refusal{Reason: reason, RetryAfter: minRetryAfter}
	}
	core.closeJob(job, refusal, now)
}
