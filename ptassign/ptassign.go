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
	"math"
	"math/rand/v2"
	"time"

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
	// averageWeight is the weight of the newest run in moving averages.
	averageWeight = 0.05
	// defaultRunTime is the expected run time where no estimate was declared and no run has
	// been measured.
	defaultRunTime = 200 * time.Millisecond
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
	// constrained is the record of the constraint of the first ready task, firstNeed its need.
	readyCPU     ptrun.Millicores
	minDemand    ptrun.Demand
	firstNeed    need
	constrained  *constrainedJobs
	adviceByStep map[ptrun.StepIndex]*stepAdvice
	// suspects contains the tasks of which a run was lost. waitingSuspects is the number of ready
	// tasks that must be isolated; it is valid with readyCPU, which does not include them.
	suspects        map[ptrun.TaskID]*suspect
	waitingSuspects int
	isolatedRuns    int
	// heldSince contains the tasks that wait for the resolution of their losses.
	heldSince map[ptrun.TaskID]ptid.Instant
	// evacuationNeed is valid while the job waits and workers are withheld.
	evacuationNeed evacuationNeed
	locality       *jobLocality
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
	// ExpectedRunTime is how long the run should take on a healthy worker of speed 1; zero if the
	// actual run time can't be used to assess the worker. Queue is empty unless speeds are used.
	ExpectedRunTime time.Duration
	Queue           ptid.ProfileName
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

func (SendOrder) isEffect() {}

func (SendStop) isEffect() {}

func (SendQuery) isEffect() {}

func (SaveProgress) isEffect() {}

func (RejectEnd) isEffect() {}

func (JobEnded) isEffect() {}

// placedRun is a run that was sent to an agent and has not ended.
type placedRun struct {
	job         *Job
	task        *ptgraph.Task
	reservation ptrun.Demand
	placedAt    ptid.Instant
	// expectedRunTime is the expected run time on the worker, which has the given speed.
	expectedRunTime time.Duration
	speed           float64
	// hangsAt is when the run counts as hanging.
	hangsAt  ptid.Instant
	stopped  bool
	isolated bool
	// worker is the agent's worker when the run was placed.
	worker ptrun.WorkerID
	// incarnation is the incarnation of the agent that was asked to start the run.
	incarnation ptid.Incarnation
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
	waiting     []*Job
	sortedAt    ptid.Instant
	constraints constraints
	learned     learnedRunTimes
	demands     map[ptid.ProfileName]*queueDemand
	random      *rand.Rand
	effects     []Effect
	// usable contains the agents of all services that may get tasks now, and maxFree the maximum
	// of their free capacity by component. Both are valid only during a call of placeWaiting.
	usable  []*agentRecord
	maxFree ptrun.Demand
	// probeTargets are the agents in usable to probe, quarantinedAgents the quarantined other ones.
	quarantinedAgents, probeTargets []*agentRecord
	// waitingSince is the start of the current period in which jobs request capacity;
	// [ptid.Never] if no job requests capacity. requestsSentAt is when CapacityRequestsToSend
	// last asked for frames that carry only capacity requests.
	waitingSince, requestsSentAt ptid.Instant
	// ownershipExpiresAt is when another entry may own the durable jobs.
	ownershipExpiresAt ptid.Instant
	lastTickAt         ptid.Instant
	startup            startup
	evacuation         evacuation
	locality           locality
	speeds             speeds
}

// New returns a core without jobs or agents. The seed makes its random choices reproducible.
func New(seed uint64) *Core {
	return &Core{
		agents: make(map[ptid.AgentName]*agentRecord), jobs: make(map[Key]*Job), bestEffort: make(map[Key]*Job),
		stopping: make(map[Key]*Job), heldJobs: make(map[Key]*Job),
		learned: learnedRunTimes{queues: make(map[ptid.ProfileName]learnedAverage), estimateBias: learnedAverage{value: 1}}, demands: make(map[ptid.ProfileName]*queueDemand), waitingSince: ptid.Never,
		ownershipExpiresAt: ptid.Never, random: rand.New(rand.NewPCG(seed, 1)),
	}
}

func (core *Core) emit(effect Effect) { core.effects = append(core.effects, effect) }

func (core *Core) takeEffects() (effects []Effect) {
	effects, core.effects = core.effects, nil
	return effects
}

// expectedRunTime returns the run time of the step's tasks on a healthy worker.
func (core *Core) expectedRunTime(queue ptid.ProfileName, step *ptgraph.Step) time.Duration {
	average := core.averageRunTime(queue)
	switch {
	case step.Estimate <= 0 && average == 0:
		return defaultRunTime
	case step.Estimate <= 0:
		return time.Duration(average * float64(time.Second))
	case average == 0:
		return step.Estimate
	default:
		return time.Duration(math.Sqrt(step.Estimate.Seconds()*core.learned.estimateBias.value*average) * float64(time.Second))
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
	core.demandOf(job, now).offered += float64(core.readyDemand(job))
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
	core.updateSpeeds(now)
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
	core.refuseUnservable(now)
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
