package ptassign

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptspeed"
)

const (
	// Where the workers of the service are idle, 1/speed is added to the cost of a worker, as the slowdown is
	// where speeds don't count: the fastest worker leaves the most time for runs that take longer than
	// expected. Where they are busy, scarcityPenalty times the speed is added, so that a task that meets its
	// objective anywhere leaves the fast workers to those that need them. In between, that is from
	// idleUtilization to busyUtilization, the two are mixed.
	scarcityPenalty = 0.5
	idleUtilization = 0.6
	busyUtilization = 0.9
	// A worker that has been idle for minIdleTime is preferred by idleBonus for tasks that meet their objective
	// even at idleSpeedShare of its speed. Otherwise a worker that is wrongly taken for slow would get no runs that correct its
	// speed while the others have room.
	minIdleTime = 500 * time.Millisecond
	idleBonus   = 2.0
	// With 1, the utility of holds of customer L at 1.2 times is 0.992, with 0.85 it is 0.995.
	idleSpeedShare = 0.85
	// latePenalty is added to the cost of a worker on which the task would miss its objective. It is
	// above the other differences of cost between healthy workers. Among the workers where the task is late, the
	// fastest is chosen.
	latePenalty = 1.0
	// maxRunTimeRatio and maxEstimateRatio bound the influence of a single run on the averages, as
	// multiples of the average. With 3 % of runs that take seven times as long, the average run time is
	// 3 % too high; with a bound of 4 it would be 9 %.
	maxRunTimeRatio        = 2
	maxEstimateRatio       = 3
	maxRunTimeRatioUnaware = 4
)

// speeds is the state of the placing by speed.
type speeds struct {
	enabled bool
	// units contains the speed that counts as speed 1, and scarcity how busy the workers are, from 0 to 1, by
	// service.
	units, scarcity map[ptid.ServiceName]float64
}

// PlaceBySpeed makes the core use the speeds of workers: for the choice of a worker, the expected end
// of runs, and the run times that it learns. It is off by default. Call it before any other method.
func (core *Core) PlaceBySpeed(enabled bool) {
	core.speeds = speeds{enabled: enabled, units: make(map[ptid.ServiceName]float64), scarcity: make(map[ptid.ServiceName]float64)}
}

// updateSpeeds determines the speed that counts as speed 1 and the speeds of all workers relative to it.
func (core *Core) updateSpeeds(now ptid.Instant) {
	if !core.speeds.enabled {
		return
	}
	byService := make(map[ptid.ServiceName][]ptspeed.Report)
	free, capacity := make(map[ptid.ServiceName]ptrun.Millicores), make(map[ptid.ServiceName]ptrun.Millicores)
	for _, agent := range core.sortedAgents {
		if agent.isAvailable() {
			byService[agent.service] = append(byService[agent.service], agent.state.Speed)
			free[agent.service] += max(0, agent.free().CPU)
			capacity[agent.service] += agent.state.Capacity.CPU
		}
	}
	for service, reports := range byService {
		core.speeds.units[service] = ptspeed.Unit(reports)
		utilization := 1 - float64(free[service])/float64(max(1, capacity[service]))
		core.speeds.scarcity[service] = min(1, max(0, (utilization-idleUtilization)/(busyUtilization-idleUtilization)))
	}
	for _, agent := range core.sortedAgents {
		core.updateSpeed(agent)
		if len(agent.runs) > 0 || agent.heldByOthers != (ptrun.Demand{}) || agent.idleSince == 0 {
			agent.idleSince = now
		}
	}
}

// updateSpeed updates the relative speed of a worker.
func (core *Core) updateSpeed(agent *agentRecord) {
	if unit, known := core.speeds.units[agent.service]; known {
		agent.speed = agent.state.Speed.Relative(unit)
	}
}

// expectedRunTime returns the expected run time on the worker of a task that takes the given time on
// a worker of speed 1.
func (agent *agentRecord) expectedRunTime(unit time.Duration) time.Duration {
	if agent.speed == 1 {
		return unit
	}
	return time.Duration(float64(unit) / agent.speed)
}

// orderQueue returns the queue that an order names. It is empty if the agent must not learn from the run, or
// must not stop it as a straggler: a task that takes long again is long by nature.
func (core *Core) orderQueue(job *Job, task *ptgraph.Task) (queue ptid.ProfileName) {
	if core.speeds.enabled && task.TimedOutRuns == 0 {
		return job.Queue.Name
	}
	return ""
}

// learnRunTime updates the averages with the run time of a run, normalized to a worker of speed 1.
func (core *Core) learnRunTime(run *placedRun, seconds float64) {
	maxRatio, maxBias := float64(maxRunTimeRatioUnaware), float64(maxRunTimeRatioUnaware)
	if core.speeds.enabled {
		maxRatio, maxBias = maxRunTimeRatio, maxEstimateRatio
	}
	queue := run.job.Queue.Name
	average, seen := core.learned.queues[queue]
	if seen {
		average.add(seconds, maxRatio*average.value)
	} else {
		average = learnedAverage{value: seconds, runs: 1}
	}
	core.learned.queues[queue] = average
	if declared := run.task.Step.Estimate.Seconds(); declared > 0 {
		core.learned.estimateBias.add(seconds/declared, maxBias)
	}
}

// speedNeed describes how a task depends on the speed of its worker.
type speedNeed struct {
	// enabled is false if speeds don't count.
	enabled bool
	// From safeSpeed on, the task meets the objective of its job even if it takes longRunTime times its
	// expected run time. Below riskySpeed, it misses the objective if it takes the expected run time.
	safeSpeed, riskySpeed float64
	scarcity              float64
	now                   ptid.Instant
}

const (
	// longRunTime is the ratio of the actual to the expected run time that a worker of safe speed allows
	// for. Of the tasks, 6 % take longer: the standard deviation of the logarithm is 0.32.
	longRunTime = 1.65
	// maxNeededSpeed is above the speed of all workers.
	maxNeededSpeed = 100
)

// speedNeed returns how a task of a job depends on the speed of its worker.
func (core *Core) speedNeed(job *Job, task *ptgraph.Task, now ptid.Instant) (need speedNeed) {
	if !core.speeds.enabled || task.Step.LongRunning || task.Step.Opportunistic {
		return need
	}
	expected := core.expectedRunTime(job.Queue.Name, task.Step)
	following := time.Duration(0)
	if len(job.Steps) > 1 {
		// The steps that follow need the rest of the time.
		following = max(0, core.criticalPath(job.Job, job.Queue.Name)-expected)
	}
	until := func(end ptid.Instant) float64 { return (end.Sub(now) - RoundTripMargin - following).Seconds() }
	need.enabled, need.now, need.scarcity = true, now, core.speeds.scarcity[job.Queue.Service]
	need.safeSpeed = neededSpeed(longRunTime, expected.Seconds(), until(job.Objective), until(job.ExpiresAt), job.Queue.Stretch)
	need.riskySpeed = neededSpeed(1, expected.Seconds(), until(job.Objective), until(job.ExpiresAt), job.Queue.Stretch)
	return need
}

// neededSpeed returns the speed from which on a task ends in time that takes ratio times its expected
// run time. toObjective and toDeadline are the times until the objective of its job, as computed from
// the expected run time, and until the deadline. The objective that the caller applies grows by stretch
// times the excess of the run time.
func neededSpeed(ratio, expected, toObjective, toDeadline, stretch float64) (speed float64) {
	runTime := ratio * expected
	available := min(toDeadline, toObjective+stretch*(runTime-expected))
	if available <= runTime/maxNeededSpeed {
		return maxNeededSpeed
	}
	return runTime / available
}

// cost returns the part of the cost of a worker that depends on its speed.
func (need *speedNeed) cost(candidate *agentRecord) float64 {
	switch {
	case !need.enabled:
		return 0
	case candidate.speed*idleSpeedShare >= need.safeSpeed && need.now.Sub(candidate.idleSince) >= minIdleTime && len(candidate.runs) == 0:
		return -idleBonus
	case candidate.speed >= need.safeSpeed:
		return (1-need.scarcity)/candidate.speed + need.scarcity*scarcityPenalty*candidate.speed
	case candidate.speed <= need.riskySpeed:
		return latePenalty + 1/candidate.speed
	default:
		return latePenalty*(need.safeSpeed-candidate.speed)/(need.safeSpeed-need.riskySpeed) + 1/candidate.speed
	}
}
