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

// placeGang places all tasks of a gang step, or none of them.
//
// The tasks of a gang work only together. If they were placed one at a time, two gangs could
// each hold half of the capacity that either of them needs, and neither could start.
func (core *Core) placeGang(job *Job, tasks []*ptgraph.Task, now ptid.Instant) (placed bool) {
	step := tasks[0].ID.Step
	for _, candidates := range core.gangCandidates(job, tasks[0], now) {
		chosen := core.assignGang(job, tasks, candidates)
		if chosen == nil {
			continue
		}
		checkpoint := job.GangCheckpoint(step)
		runs := job.PlaceGang(step)
		for i, task := range tasks {
			core.sendOrder(chosen[i], job, task, runs[i], placement{checkpoint: checkpoint}, now)
		}
		return true
	}
	core.requestAdvice(job, tasks[0], now)
	return false
}

// gangCandidates returns the sets of agents to try, in order: each rack by itself if the
// step's tasks should run in the same rack, then all agents together.
func (core *Core) gangCandidates(job *Job, task *ptgraph.Task, now ptid.Instant) (candidateSets [][]*agentRecord) {
	var all []*agentRecord
	racks := make(map[string][]*agentRecord)
	for _, candidate := range core.sortedAgents {
		if candidate.service != job.Queue.Service || !core.isUsableFor(candidate, job, now) || !meetsConstraints(candidate, job, task) {
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
			preferred := task.Step.PreferredLabel
			return cmp.Or(-compareBool(left == preferred, right == preferred), cmp.Compare(left, right))
		})
		for _, name := range names {
			candidateSets = append(candidateSets, racks[name])
		}
	}
	return append(candidateSets, all)
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

// rack returns the label of the worker's rack, which is the last label; the first label is
// the kind of the worker.
func (agent *agentRecord) rack() string {
	if labels := agent.state.Labels; len(labels) > 1 {
		return labels[len(labels)-1]
	}
	return ""
}

// assignGang returns an agent for each task, or nil if not all tasks can be placed.
func (core *Core) assignGang(job *Job, tasks []*ptgraph.Task, candidates []*agentRecord) (chosen []*agentRecord) {
	free := make(map[*agentRecord]ptrun.Demand, len(candidates))
	counts := make(map[*agentRecord]int, len(candidates))
	for _, candidate := range candidates {
		free[candidate] = candidate.free()
	}
	for _, task := range tasks {
		demand, best := task.Step.Reservation(), math.Inf(1)
		var found *agentRecord
		for _, candidate := range candidates {
			if !free[candidate].Covers(demand) || task.Step.MaxPerWorker > 0 && counts[candidate] >= task.Step.MaxPerWorker {
				continue
			}
			if cost := core.cost(candidate, task); cost < best {
				best, found = cost, candidate
			}
		}
		if found == nil {
			return nil
		}
		free[found] = free[found].Minus(demand)
		counts[found]++
		chosen = append(chosen, found)
	}
	return chosen
}

// stopGang stops the remaining runs of a gang: without the missing member they can't make
// progress.
func (core *Core) stopGang(job *Job, step ptrun.StepIndex) {
	for _, agent := range core.sortedAgents {
		for _, id := range sortedRuns(agent.runs) {
			if run := agent.runs[id]; run.job == job && id.Task.Step == step {
				core.stopRun(agent, id, run, ptrun.ReasonGangIncomplete)
			}
		}
	}
}
