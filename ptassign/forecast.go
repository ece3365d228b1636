package ptassign

import (
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// refusalFor decides whether to refuse a job; nil means that the job is admitted.
//
// Refusals limit the queue during bursts above the capacity. Otherwise every job would wait
// until it is late, and all of the capacity would go to results that are of little use.
func (core *Core) refusalFor(job *Job, now ptid.Instant) (refusal *Refusal) {
	workers, fitting := 0, 0
	for _, agent := range core.sortedAgents {
		if agent.service != job.Queue.Service || !agent.isAvailable() && !agent.mayReconnect(now) {
			continue
		}
		workers++
		if core.fitsWorker(agent, job) {
			fitting++
		}
	}
	switch {
	case workers == 0 && core.expectsAgents(job.Queue.Service, now):
		return nil
	case core.isRefusedForEvacuation(job, now):
		return &Refusal{Reason: Evacuated, RetryAfter: minRetryAfter}
	case workers == 0:
		return &Refusal{Reason: NoWorker, RetryAfter: core.retryAfter(job, 0, now)}
	case fitting == 0:
		return &Refusal{Reason: NoFittingWorker, RetryAfter: core.retryAfter(job, 0, now)}
	}
	core.expectFar(job, now)
	wait, ahead, capacity := core.forecast(job, now)
	if now.Add(wait) > job.latestStart() && wait > 0 || now.Add(wait+job.expectedDuration) > job.ExpiresAt {
		return &Refusal{Reason: ForecastTooLate, RetryAfter: core.retryAfter(job, wait, now), ForecastWait: wait, DemandAhead: ahead, Capacity: capacity}
	}
	return nil
}

// isAvailable reports whether the agent has a session and has reported a usable worker, which is not
// withheld for an evacuation.
func (agent *agentRecord) isAvailable() bool {
	return agent.connected && agent.hasReport && !agent.state.Unusable && agent.inService
}

// HasWorker reports whether any agent has a session and has reported a usable worker.
func (core *Core) HasWorker() bool {
	return slices.ContainsFunc(core.sortedAgents, (*agentRecord).hasUsableWorker)
}

// mayReconnect reports whether the agent lost its session so recently that it may soon
// reconnect.
//
// If all links fail at once, an entry has no agents for some hundreds of milliseconds. Most
// jobs that arrive in this period can still be completed in time, so they are not refused.
func (agent *agentRecord) mayReconnect(now ptid.Instant) bool {
	return !agent.isAvailable() && agent.inService && !agent.state.Unusable && agent.state.Worker != "" && now.Sub(agent.disconnectedAt) <= ptlink.ReconnectTimeout
}

// jobsWithoutWorker returns the jobs of which no run can have started and whose service has no
// connected agent and no agent that may reconnect.
func (core *Core) jobsWithoutWorker(now ptid.Instant) (keys []Key) {
	if len(core.waiting) == 0 {
		return nil
	}
	served := make(map[ptid.ServiceName]bool)
	for _, agent := range core.sortedAgents {
		if agent.connected && agent.inService || agent.mayReconnect(now) {
			served[agent.service] = true
		}
	}
	for _, job := range core.waiting {
		if !job.Durable && !served[job.Queue.Service] && !core.expectsAgents(job.Queue.Service, now) && job.CertainlyUnstarted() && !job.State().Ended() {
			keys = append(keys, job.Key())
		}
	}
	return keys
}

func (core *Core) fitsWorker(agent *agentRecord, job *Job) bool {
	for _, task := range job.Ready() {
		if !agent.state.Capacity.Covers(task.Step.Demand) || !meetsConstraints(agent, job, task) {
			return false
		}
	}
	return true
}

// forecast returns how long the last ready task of a job will wait for capacity. It computes
// the wait from the demand that is queued ahead of the job and from the rate at which runs
// release capacity, and returns both as well.
func (core *Core) forecast(job *Job, now ptid.Instant) (wait time.Duration, ahead ptrun.Millicores, capacity AvailableCapacity) {
	queueKey := job.queueKey(now)
	ownRate := core.requestRate(job, now)
	for _, other := range core.waiting {
		if other.Queue.Service != job.Queue.Service || core.awaitsReturn(other) || !core.isServed(other, now) {
			continue
		}
		ownRate += core.requestRate(other, now)
		if other.queueKey(now) <= queueKey {
			ahead += core.readyDemand(other) - other.nearWaitDemand()
		}
	}
	capacity = core.availableCapacity(job.Queue.Service, ownRate, job.minDemand.CPU, now)
	capacity.ReservedPerSecond = ptrun.MillicoresPerSecond(core.reservedRate(job, now))
	return capacity.waitFor(ahead + core.readyDemand(job)), ahead, capacity
}

// jobsForecastToExpire returns the jobs of which no run can have started, that have missed their
// latest start, and that are forecast to be placed too late to end before they expire.
//
// Under lasting overload, these jobs are refused early enough for their callers to try another
// entry. Otherwise the callers would wait without result.
func (core *Core) jobsForecastToExpire(now ptid.Instant) (keys []Key) {
	if len(core.waiting) == 0 {
		return nil
	}
	capacities := make(map[ptid.ServiceName]AvailableCapacity)
	for service, request := range core.CapacityRequests(now) {
		capacities[service] = core.availableCapacity(service, request.Rate, request.MinDemand.CPU, now)
	}
	ahead := make(map[ptid.ServiceName]ptrun.Millicores)
	for _, job := range core.waiting {
		service := job.Queue.Service
		if job.State().Ended() || core.isOnHold(job, now) || !core.isServed(job, now) {
			continue
		}
		demand := core.readyDemand(job) - job.nearWaitDemand()
		ahead[service] += demand
		if job.Durable || now <= job.latestStart() || !job.CertainlyUnstarted() {
			continue
		}
		if wait := capacities[service].waitFor(ahead[service]); now.Add(wait+job.expectedDuration) > job.ExpiresAt {
			keys = append(keys, job.Key())
			ahead[service] -= demand
		}
	}
	return keys
}

// AvailableCapacity is the capacity that is available to the jobs of an entry.
type AvailableCapacity struct {
	// Free is the CPU capacity that is free now, counted in whole tasks on each worker.
	// FreedPerSecond is the rate at which capacity
	// becomes free for this entry.
	Free           ptrun.Millicores
	FreedPerSecond ptrun.MillicoresPerSecond
	// ReservedPerSecond is the part of FreedPerSecond that more urgent jobs will take.
	ReservedPerSecond ptrun.MillicoresPerSecond
}

// availableCapacity returns the capacity that is available to this entry's jobs if they need
// capacity at the given rate and their smallest task has the given CPU demand.
func (core *Core) availableCapacity(service ptid.ServiceName, ownRate ptrun.MillicoresPerSecond, taskCPU ptrun.Millicores, now ptid.Instant) (capacity AvailableCapacity) {
	runningCPU, reservedCPU, expectedWork, requestedByOthers, reporting := 0.0, ptrun.Millicores(0), 0.0, ptrun.MillicoresPerSecond(0), 0
	for _, agent := range core.sortedAgents {
		if agent.service != service || !agent.connected || agent.state.Unusable || !agent.inService {
			continue
		}
		if agent.isUsable(now) {
			capacity.Free += wholeTasks(agent.free().CPU, taskCPU)
		}
		// Capacity that the runs of other entries release is available to all entries, so
		// heldByOthers counts too. A slow worker releases capacity later.
		if !agent.quarantined {
			runningCPU += float64(agent.reserved.CPU+agent.heldByOthers.CPU) / max(1, agent.slowdown())
		}
		reservedCPU += agent.reserved.CPU
		expectedWork += agent.expectedWork
		requestedByOthers += agent.state.RequestedByOthers
		reporting++
	}
	if expectedWork == 0 {
		return capacity
	}
	meanRunTime := expectedWork / float64(reservedCPU)
	// Each agent reports the same quantity: the total rate that the other entries request.
	// othersRate is therefore the mean of the reports and not their sum. Agents divide released
	// capacity in proportion to the requested rates.
	othersRate := requestedByOthers / ptrun.MillicoresPerSecond(reporting)
	capacity.FreedPerSecond = ptrun.MillicoresPerSecond(runningCPU/meanRunTime) * ownRate / (ownRate + othersRate)
	return capacity
}

// wholeTasks returns the part of a worker's free CPU capacity that whole tasks can use.
//
// Workers that are full have remainders smaller than a task. Their sum over many workers is
// enough for many jobs, none of whose tasks could be placed: 5 % of the capacity of 61 workers.
func wholeTasks(free, task ptrun.Millicores) ptrun.Millicores {
	task = max(1, task)
	return max(0, free) / task * task
}

// minUnreservedShare is the least share of FreedPerSecond that remains for a job after the
// reservation for more urgent jobs.
const minUnreservedShare = 0.05

// waitFor returns how long it takes until the demand fits into the available capacity; zero
// if it already fits, or if the rate at which capacity becomes free is unknown.
func (capacity AvailableCapacity) waitFor(demand ptrun.Millicores) (wait time.Duration) {
	missing := demand - capacity.Free
	if missing <= 0 || capacity.FreedPerSecond <= 0 {
		return 0
	}
	rate := max(capacity.FreedPerSecond-capacity.ReservedPerSecond, capacity.FreedPerSecond*minUnreservedShare)
	return time.Duration(float64(missing) / float64(rate) * float64(time.Second))
}

// readyDemand returns the CPU demand of the job's ready tasks, without suspects: these don't wait for
// free capacity. Each task counts as at least one millicore. The sum is cached in the job.
func (core *Core) readyDemand(job *Job) (cpu ptrun.Millicores) {
	if job.readyCPU >= 0 {
		return job.readyCPU
	}
	job.waitingSuspects = 0
	for _, task := range job.Ready() {
		if job.needsIsolation(task) {
			job.waitingSuspects++
			core.constraints.of(isolationOf(job))
			continue
		}
		if cpu == 0 {
			job.minDemand = task.Step.Reservation()
			job.firstNeed = needOf(task.Step)
			job.constrained = core.constraints.add(constraintOf(job, task.Step), job.firstNeed)
		}
		cpu += max(1, task.Step.Demand.CPU)
		job.minDemand = job.minDemand.Min(task.Step.Reservation())
	}
	job.readyCPU = cpu
	return cpu
}
