package ptassign

import (
	"math"
	"slices"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
)

// choose returns the agent on whose worker the task is placed; nil if no worker can run it
// now.
func (core *Core) choose(job *Job, task *ptgraph.Task, now ptid.Instant) (chosen *agentRecord) {
	if chosen = core.probeTarget(job, task, now); chosen != nil {
		return chosen
	}
	core.prepareFarCost(job, task, now)
	chosen = core.chooseFrom(core.usable, job, task, now)
	if chosen == nil && core.mayUseQuarantined(job, now) {
		chosen = core.chooseFrom(core.quarantinedAgents, job, task, now)
	}
	return chosen
}

func (core *Core) chooseFrom(candidates []*agentRecord, job *Job, task *ptgraph.Task, now ptid.Instant) (chosen *agentRecord) {
	best := math.Inf(1)
	need := core.speedNeed(job, task, now)
	for _, candidate := range candidates {
		if candidate.service != job.Queue.Service || !candidate.free().Covers(task.Step.Reservation()) || !core.isUsableFor(candidate, job, now) {
			continue
		}
		if _, allowed := ticketFor(candidate, job, task, now); !allowed || !meetsConstraints(candidate, job, task) {
			continue
		}
		if cost := core.cost(candidate, task) + need.cost(candidate); cost < best {
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
	// such a worker is not in the rack that holds the step's data. Where the remote factor is
	// known and matters, the cost is computed instead (locality.go).
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
		cost += core.remoteCost(task)
	}
	if len(core.locality.contestedUntil) > 0 {
		cost += core.contestedCost(candidate, task)
	}
	return cost
}
