package ptassign

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlocality"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// waitTolerance is how much later than expected a near worker may have room, for the wait to
// count as one that paid. It is the tick interval of the entry.
const waitTolerance = 25 * time.Millisecond

const (
	// contestedPenalty is added to the cost of a worker for tasks that do not prefer its label, for
	// contestedFor after a task that does found no room on the workers with the label.
	contestedPenalty = 0.5
	contestedFor     = 500 * time.Millisecond
)

// LocalityOutcome is the result of a choice between a near and a far worker.
type LocalityOutcome string

// Locality outcomes. WaitPaid, WaitLate and WaitFar end a wait, whose task was placed on a near
// worker within the expected time, on a near worker later than that, or on a far worker.
const (
	WaitBegun LocalityOutcome = "begun"
	WaitPaid  LocalityOutcome = "paid"
	WaitLate  LocalityOutcome = "late"
	WaitFar   LocalityOutcome = "far"
	// PlacedFar is a task that was placed on a far worker; after WaitFar or without a wait.
	PlacedFar LocalityOutcome = "placedFar"
)

// LocalityEvent reports a choice between a near and a far worker. Waited and Expected are set at
// the end of a wait.
type LocalityEvent struct {
	Outcome          LocalityOutcome
	Job              *Job
	Task             ptrun.TaskID
	Label            string
	Waited, Expected time.Duration
}

func (LocalityEvent) isEffect() {}

// nearWait is a task that waits for a near worker although a far worker has room. expectedAt is
// when room was expected at the start of the wait.
type nearWait struct {
	begunAt, expectedAt ptid.Instant
	bias                float64
}

// jobLocality is the locality state of one job.
type jobLocality struct {
	waits map[ptrun.TaskID]nearWait
	// farEndsAt is the latest expected end of the runs on far workers; zero if there are none.
	farEndsAt ptid.Instant
}

// locality is the locality state of the core.
type locality struct {
	// factor is how many times as long a task takes on a worker without its step's preferred
	// label; zero if it is unknown.
	factor float64
	policy ptlocality.Policy
	bias   ptlocality.Bias
	// near contains the near workers by service and label. Together with load, it is computed on
	// demand in each call of placeWaiting.
	near map[nearKey]*ptlocality.Near
	load float64
	// preceding is the CPU demand of the tasks that this call of placeWaiting has left waiting.
	preceding map[nearKey]ptrun.Millicores
	// contestedUntil contains, by label, until when workers with the label are left to the tasks
	// that prefer it.
	contestedUntil map[nearKey]ptid.Instant
	// farCost is the cost of a far worker for the task costTask.
	costTask *ptgraph.Task
	farCost  float64
}

type nearKey struct {
	service ptid.ServiceName
	label   string
}

// SetRemoteFactor sets how many times as long a task takes on a worker without its step's
// preferred label. It has an effect on queues whose stretch is below the factor. On other queues a
// far run that starts at once is in time, so that a wait can't pay, and a factor of zero disables
// all decisions on locality.
func (core *Core) SetRemoteFactor(factor float64) { core.locality.factor = factor }

// SetLocalityPolicy sets how tasks choose between waiting and running far away.
func (core *Core) SetLocalityPolicy(policy ptlocality.Policy) { core.locality.policy = policy }

// remoteFactor returns by how much a run of the task takes longer on the worker than near its
// data; 1 if locality does not matter.
func (core *Core) remoteFactor(agent *agentRecord, job *Job, step *ptgraph.Step) (factor float64) {
	if core.prefersNear(job, step) && !slices.Contains(agent.state.Labels, step.PreferredLabel) {
		return core.locality.factor
	}
	return 1
}

// prefersNear reports whether it matters for a step that a worker has its preferred label.
func (core *Core) prefersNear(job *Job, step *ptgraph.Step) bool {
	return step.PreferredLabel != "" && core.locality.factor > max(1, job.Queue.Stretch)
}

// mayWait reports whether tasks of the step may wait for a near worker. Durable jobs have no
// expiry, gangs are placed as a unit, and long-running tasks have no expected end.
func (core *Core) mayWait(job *Job, step *ptgraph.Step) bool {
	return core.prefersNear(job, step) && !job.Durable && !step.Gang && !step.LongRunning && !step.Opportunistic
}

// expectedRunTimeAt returns the expected run time of the step's tasks on an agent's worker.
func (core *Core) expectedRunTimeAt(agent *agentRecord, job *Job, step *ptgraph.Step) (expected time.Duration) {
	expected = core.expectedRunTime(job.Queue.Name, step)
	if factor := core.remoteFactor(agent, job, step); factor > 1 {
		expected = time.Duration(factor * float64(expected))
	}
	return expected
}

// nearSeconds returns the run time of an ended run in seconds, converted to the run time on a near
// worker.
func (core *Core) nearSeconds(agent *agentRecord, run *placedRun, end ptrun.End) (seconds float64) {
	seconds = end.RunTime.Seconds()
	if factor := core.remoteFactor(agent, run.job, run.task.Step); factor > 1 {
		seconds /= factor
	}
	return seconds
}

// expectFar sets the expected duration of a job to that of far runs if no worker is near the data
// of a step: all its near workers have failed or were taken away. The job is then admitted only if
// it is useful after runs on far workers.
func (core *Core) expectFar(job *Job, now ptid.Instant) {
	if core.locality.factor <= job.Queue.Stretch {
		return
	}
	for index := range job.Steps {
		step := &job.Steps[index]
		if !core.prefersNear(job, step) {
			continue
		}
		hasNear := slices.ContainsFunc(core.sortedAgents, func(agent *agentRecord) bool {
			return agent.service == job.Queue.Service && (agent.isAvailable() && !agent.quarantined || agent.mayReconnect(now)) && slices.Contains(agent.state.Labels, step.PreferredLabel)
		})
		if !hasNear {
			job.expectedDuration = time.Duration(core.locality.factor * float64(job.expectedDuration))
			return
		}
	}
}

// localityTask returns the description of a task for package ptlocality. tasks is the number of the
// job's tasks that are not placed and do not wait.
func (core *Core) localityTask(job *Job, task *ptgraph.Task, tasks int) (described ptlocality.Task) {
	runTime := core.expectedRunTime(job.Queue.Name, task.Step)
	rest := max(0, job.expectedDuration-runTime)
	if len(job.Steps) == 1 {
		rest = 0
	}
	described = ptlocality.Task{
		Demand: max(1, task.Step.Reservation().CPU), Tasks: tasks, RunTime: runTime, Factor: core.locality.factor,
		SubmittedAt: job.SubmittedAt, Objective: job.Objective.Add(-rest - RoundTripMargin), ExpiresAt: job.ExpiresAt.Add(-rest - RoundTripMargin),
		Stretch: job.Queue.Stretch, Load: core.locality.load,
	}
	if job.locality != nil {
		described.JobEndsAt = job.locality.farEndsAt
	}
	return described
}

// prepareFarCost computes the cost of far workers for the task.
func (core *Core) prepareFarCost(job *Job, task *ptgraph.Task, now ptid.Instant) {
	core.locality.costTask = nil
	if core.mayWait(job, task.Step) {
		core.locality.costTask = task
		core.locality.farCost = core.locality.factor - 1 + ptlocality.FarCost(core.localityTask(job, task, 1), now)
	}
}

// remoteCost returns what is added to the cost of a worker without the preferred label. Where
// locality matters, that is the additional run time in units of the run time near the data, as for
// a slow worker, plus the value that the job loses.
func (core *Core) remoteCost(task *ptgraph.Task) (cost float64) {
	if core.locality.costTask == task {
		return core.locality.farCost
	}
	return remotePenalty
}

// contestedCost returns what is added to the cost of a worker that tasks of other steps wait for.
func (core *Core) contestedCost(candidate *agentRecord, task *ptgraph.Task) (cost float64) {
	for key := range core.locality.contestedUntil {
		if key.service == candidate.service && key.label != task.Step.PreferredLabel && slices.Contains(candidate.state.Labels, key.label) {
			return contestedPenalty
		}
	}
	return 0
}

// noteContested records that the near workers of a step have no room for one of its tasks.
func (core *Core) noteContested(job *Job, task *ptgraph.Task, now ptid.Instant) {
	if core.locality.contestedUntil == nil {
		core.locality.contestedUntil = make(map[nearKey]ptid.Instant)
	}
	core.locality.contestedUntil[nearKey{service: job.Queue.Service, label: task.Step.PreferredLabel}] = now.Add(contestedFor)
}

// startNearScan discards what was computed in the previous call of placeWaiting.
func (core *Core) startNearScan(now ptid.Instant) {
	if core.locality.factor > 0 {
		clear(core.locality.near)
		clear(core.locality.preceding)
		maps.DeleteFunc(core.locality.contestedUntil, func(_ nearKey, until ptid.Instant) bool { return now >= until })
	}
}

// noteBlocked records that a job that no worker has room for precedes the jobs behind it on the
// near workers of its ready tasks.
func (core *Core) noteBlocked(job *Job) {
	if core.locality.factor <= job.Queue.Stretch {
		return
	}
	for _, task := range job.Ready() {
		if core.mayWait(job, task.Step) {
			core.precede(nearKey{service: job.Queue.Service, label: task.Step.PreferredLabel}, task)
		}
	}
}

// precede records that a task precedes the following ones on near workers.
func (core *Core) precede(key nearKey, task *ptgraph.Task) {
	if core.locality.preceding == nil {
		core.locality.preceding = make(map[nearKey]ptrun.Millicores)
	}
	core.locality.preceding[key] += max(1, task.Step.Reservation().CPU)
}

// waitsForNear reports whether a task waits for a near worker although the chosen far worker has
// room. Otherwise it records where the task is placed. remaining is the number of the job's tasks
// that are not placed, including this one.
func (core *Core) waitsForNear(chosen *agentRecord, job *Job, task *ptgraph.Task, remaining int, now ptid.Instant) (waits bool) {
	if !core.mayWait(job, task.Step) {
		return false
	}
	if chosen != nil && slices.Contains(chosen.state.Labels, task.Step.PreferredLabel) {
		core.placedNear(job, task, now)
		return false
	}
	core.noteContested(job, task, now)
	if chosen != nil {
		near := core.nearWorkers(job, task, now)
		described := core.localityTask(job, task, remaining)
		described.FarSlowdown = chosen.slowdown() / chosen.speed
		decision := ptlocality.Decide(core.locality.policy, described, near, now)
		if !decision.Wait {
			core.placedFar(job, task, now.Add(time.Duration(described.Factor*float64(described.RunTime))), now)
			return false
		}
		core.noteWait(job, task, decision.Until, now)
	}
	// Tasks that find no room anywhere count too: they take room on near workers first.
	core.precede(nearKey{service: job.Queue.Service, label: task.Step.PreferredLabel}, task)
	return chosen != nil
}

// nearWorkers returns the near workers of a task's step that get tasks now. Runs on them are
// recorded as of the first call in a call of placeWaiting.
func (core *Core) nearWorkers(job *Job, task *ptgraph.Task, now ptid.Instant) (near *ptlocality.Near) {
	key := nearKey{service: job.Queue.Service, label: task.Step.PreferredLabel}
	if near = core.locality.near[key]; near != nil {
		near.Waiting = core.locality.preceding[key]
		return near
	}
	if core.locality.near == nil {
		core.locality.near = make(map[nearKey]*ptlocality.Near)
	}
	near = &ptlocality.Near{Share: 1, Bias: core.locality.bias.Value(now), Waiting: core.locality.preceding[key], MeanRunTime: core.expectedRunTime(job.Queue.Name, task.Step)}
	core.locality.near[key] = near
	ownRate, waitingCPU := ptrun.MillicoresPerSecond(0), ptrun.Millicores(0)
	for _, other := range core.waiting {
		if other.Queue.Service == job.Queue.Service {
			ownRate += core.requestRate(other, now)
			waitingCPU += core.readyDemand(other) - other.nearWaitDemand()
		}
	}
	free, reserved, expectedWork, othersRate, reporting := ptrun.Millicores(0), ptrun.Millicores(0), 0.0, ptrun.MillicoresPerSecond(0), 0
	for _, agent := range core.usable {
		if agent.service != job.Queue.Service {
			continue
		}
		free += max(0, agent.free().CPU)
		reserved += agent.reserved.CPU
		expectedWork += agent.expectedWork
		othersRate += agent.state.RequestedByOthers
		reporting++
		if !slices.Contains(agent.state.Labels, task.Step.PreferredLabel) || !agent.state.Capacity.Covers(task.Step.Reservation()) || !meetsConstraints(agent, job, task) {
			continue
		}
		if _, allowed := ticketFor(agent, job, task, now); !allowed {
			continue
		}
		worker := ptlocality.Worker{Free: agent.free().CPU, HeldByOthers: agent.heldByOthers.CPU, Runs: make([]ptlocality.Run, 0, len(agent.runs))}
		slowdown := agent.slowdown()
		near.Slowdown += slowdown / agent.speed
		for _, run := range agent.runs {
			worker.Runs = append(worker.Runs, ptlocality.Run{
				EndsAt: run.placedAt.Add(time.Duration(slowdown * float64(run.expectedRunTime))), RunTime: run.expectedRunTime, CPU: run.reservation.CPU,
			})
		}
		near.Workers = append(near.Workers, worker)
	}
	near.Slowdown /= float64(max(1, len(near.Workers)))
	if expectedWork > 0 {
		near.MeanRunTime = time.Duration(expectedWork / float64(reserved) * float64(time.Second))
	}
	if othersRate > 0 {
		near.Share = float64(ownRate / (ownRate + othersRate/ptrun.MillicoresPerSecond(reporting)))
	}
	core.locality.load = math.Min(1, math.Max(0, float64(waitingCPU))/float64(max(1, free)))
	return near
}

// nearWaitDemand returns the CPU demand of the job's tasks that wait for near workers although far
// workers have room.
func (job *Job) nearWaitDemand() (cpu ptrun.Millicores) {
	if job.locality == nil {
		return 0
	}
	return ptrun.Millicores(len(job.locality.waits)) * max(1, job.minDemand.CPU)
}

func (job *Job) localityState() (state *jobLocality) {
	if job.locality == nil {
		job.locality = &jobLocality{waits: make(map[ptrun.TaskID]nearWait)}
	}
	return job.locality
}

// noteWait records that a task waits, if it has not waited before.
func (core *Core) noteWait(job *Job, task *ptgraph.Task, until, now ptid.Instant) {
	state := job.localityState()
	if _, found := state.waits[task.ID]; !found {
		state.waits[task.ID] = nearWait{begunAt: now, expectedAt: until, bias: core.locality.bias.Value(now)}
		core.emit(LocalityEvent{Outcome: WaitBegun, Job: job, Task: task.ID, Label: task.Step.PreferredLabel})
	}
}

// placedNear ends the wait of a task that is placed on a near worker.
func (core *Core) placedNear(job *Job, task *ptgraph.Task, now ptid.Instant) {
	outcome := WaitPaid
	if job.locality != nil && now > job.locality.waits[task.ID].expectedAt.Add(waitTolerance) {
		outcome = WaitLate
	}
	core.endWait(job, task, outcome, now)
}

// placedFar ends the wait of a task that is placed on a far worker, where it is expected to end at
// the given instant.
func (core *Core) placedFar(job *Job, task *ptgraph.Task, endsAt, now ptid.Instant) {
	core.endWait(job, task, WaitFar, now)
	state := job.localityState()
	state.farEndsAt = max(state.farEndsAt, endsAt)
	core.emit(LocalityEvent{Outcome: PlacedFar, Job: job, Task: task.ID, Label: task.Step.PreferredLabel})
}

func (core *Core) endWait(job *Job, task *ptgraph.Task, outcome LocalityOutcome, now ptid.Instant) {
	if job.locality == nil {
		return
	}
	wait, found := job.locality.waits[task.ID]
	if !found {
		return
	}
	delete(job.locality.waits, task.ID)
	core.locality.bias.WaitEnded(now.Sub(wait.begunAt), wait.expectedAt.Sub(wait.begunAt), wait.bias, outcome != WaitFar, now)
	core.emit(LocalityEvent{
		Outcome: outcome, Job: job, Task: task.ID, Label: task.Step.PreferredLabel,
		Waited: now.Sub(wait.begunAt), Expected: wait.expectedAt.Sub(wait.begunAt),
	})
}

// farRunDiscarded forgets the expected end of the job's far runs, one of which ended without a
// result. It becomes known again with the next far run.
func (job *Job) farRunDiscarded() {
	if job.locality != nil {
		job.locality.farEndsAt = 0
	}
}
