package ptassign

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

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
	core.readyDemand(job)
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
// head. After maxBlockedJobs jobs that could not be placed completely, it passes over the jobs
// with the same constraint, because they would find no free capacity either. Jobs with other
// constraints are not blocked by them.
func (core *Core) placeWaiting(now ptid.Instant) {
	if len(core.waiting) == 0 || core.awaitsEvacuation() {
		return
	}
	if now.Sub(core.sortedAt) >= sortInterval+time.Duration(len(core.waiting))*sortIntervalPerJob {
		core.sortedAt = now
		slices.SortStableFunc(core.waiting, func(left, right *Job) int { return compareJobs(left, right, now) })
		core.constraints.collect(core.waiting)
	}
	core.updateUsable(now)
	core.startNearScan(now)
	core.constraints.startScan(len(core.waiting), now)
	examined, retained := 0, 0
	for ; examined < len(core.waiting) && !core.constraints.scanEnds(now); examined++ {
		job := core.waiting[examined]
		switch {
		case job.State().Ended():
			job.inQueue = false
			continue
		case core.isOnHold(job, now) || core.constraints.skips(job):
		case !core.placeJob(job, now) && !core.isBlockedByEvacuation(job):
			core.readyDemand(job)
			core.constraints.count(job)
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
	core.usable, core.quarantinedAgents, core.probeTargets = core.usable[:0], core.quarantinedAgents[:0], core.probeTargets[:0]
	for _, agent := range core.sortedAgents {
		switch {
		case agent.isUsable(now):
			core.usable = append(core.usable, agent)
			if agent.mustProbe() {
				core.probeTargets = append(core.probeTargets, agent)
			}
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
	if core.readyDemand(job) > 0 && job.Queue.Advice == nil && !core.mayUseQuarantined(job, now) && (!core.maxFree.Covers(job.minDemand) || core.constraints.isKnownBlocked(job)) {
		core.noteBlocked(job)
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
		if core.waitsForNear(chosen, job, task, len(ready)+1, now) {
			continue
		}
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
		ExpectedRunTime: core.assessableRunTime(chosen, job, task.Step), Queue: core.orderQueue(job, task),
	})
}

// reserve adds a run to the agent's list and reserves the run's capacity; for an isolated run, that is
// the whole worker.
func (core *Core) reserve(chosen *agentRecord, job *Job, task *ptgraph.Task, run ptrun.ID, isolated bool, now ptid.Instant) {
	expected := chosen.expectedRunTime(core.expectedRunTimeAt(chosen, job, task.Step))
	placed := &placedRun{
		job: job, task: task, reservation: task.Step.Reservation(), placedAt: now, expectedRunTime: expected,
		hangsAt: now.Add(hangTimeout(task, expected)), incarnation: chosen.connectedIncarnation, isolated: isolated, worker: chosen.state.Worker, speed: chosen.speed,
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
