package ptassign

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// placeGang places all tasks of a gang's step, or none.
//
// It answers the load of steps whose tasks work only together: placed one by one, two
// gangs would each hold half of the room that either needs.
func (core *Core) placeGang(job *Job, tasks []*ptgraph.Task, now ptid.Instant) (placed bool) {
	step := tasks[0].ID.Step
	for _, candidates := range core.gangPools(job, tasks[0], now) {
		chosen := core.spread(job, tasks, candidates)
		if chosen == nil {
			continue
		}
		checkpoint := job.GangCheckpoint(step)
		runs := job.PlaceGang(step)
		for i, task := range tasks {
			core.order(chosen[i], job, task, runs[i], checkpoint, now)
		}
		return true
	}
	core.seekAdvice(job, tasks[0], now)
	return false
}

// gangPools returns the sets of agents to try, in order: each rack by itself where the
// step works better in one, then all together.
func (core *Core) gangPools(job *Job, task *ptgraph.Task, now ptid.Instant) (pools [][]*agent) {
	var all []*agent
	racks := make(map[string][]*agent)
	for _, candidate := range core.ordered {
		if candidate.service != job.Queue.Service || !core.usableFor(candidate, job, now) || !fits(candidate, job, task) {
			continue
		}
		if _, allowed := ticketFor(candidate, job, task, now); !allowed {
			continue
		}
		all = append(all, candidate)
		if rack := candidate.rack(); rack != "" {
			racks[rack] = append(racks[rack], candidate)
		}
	}
	if task.Step.SameRack {
		names := slices.SortedFunc(maps.Keys(racks), func(left, right string) int {
			near := task.Step.PreferredLabel
			return cmp.Or(-compareBool(left == near, right == near), cmp.Compare(left, right))
		})
		for _, name := range names {
			pools = append(pools, racks[name])
		}
	}
	return append(pools, all)
}

func compareBool(left, right bool) int {
	switch {
	case left == right:
		return 0
	case left:
		return 1
	default:
		return -1
	}
}

// rack returns the label of the worker's rack: the last one, after its kind.
func (agent *agent) rack() string {
	if labels := agent.state.Labels; len(labels) > 1 {
		return labels[len(labels)-1]
	}
	return ""
}

// spread returns an agent for each task, or nil where they do not all fit.
func (core *Core) spread(job *Job, tasks []*ptgraph.Task, candidates []*agent) (chosen []*agent) {
	room := make(map[*agent]ptrun.Demand, len(candidates))
	count := make(map[*agent]int, len(candidates))
	for _, candidate := range candidates {
		room[candidate] = candidate.free()
	}
	for _, task := range tasks {
		demand, best := task.Step.Reservation(), math.Inf(1)
		var found *agent
		for _, candidate := range candidates {
			if !room[candidate].Covers(demand) || task.Step.MaxPerWorker > 0 && count[candidate] >= task.Step.MaxPerWorker {
				continue
			}
			if cost := core.cost(candidate, task); cost < best {
				best, found = cost, candidate
			}
		}
		if found == nil {
			return nil
		}
		room[found] = room[found].Minus(demand)
		count[found]++
		chosen = append(chosen, found)
	}
	return chosen
}

// stopGang stops what is left of a gang's run: without one member the others would
// wait in vain.
func (core *Core) stopGang(job *Job, step ptrun.StepIndex) {
	for _, known := range core.ordered {
		for _, id := range sortedRuns(known.runs) {
			if run := known.runs[id]; run.job == job && id.Task.Step == step {
				core.stop(known, id, run, ptrun.ReasonGangIncomplete)
			}
		}
	}
}
