package ptassign

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// refuse decides whether a job is not taken in.
//
// It answers the load of bursts beyond the capacity: without it every job waits until
// it is late, and all of the room goes to answers that are worth little.
func (core *Core) refuse(job *Job, now ptid.Instant) (refusal *Refusal) {
	workers, fitting := 0, 0
	for _, known := range core.ordered {
		if known.service != job.Queue.Service || !known.connected || !known.reported || known.state.Unusable {
			continue
		}
		workers++
		if core.fitsSomewhere(known, job) {
			fitting++
		}
	}
	switch {
	case workers == 0:
		return &Refusal{Reason: NoWorker, RetryAfter: retryAfter}
	case fitting == 0:
		return &Refusal{Reason: Unfitting, RetryAfter: retryAfter}
	}
	wait, ahead := core.forecast(job, now)
	if now.Add(wait) > job.latestStart() && wait > 0 || now.Add(wait+job.span) > job.UsefulBy {
		return &Refusal{Reason: Forecast, RetryAfter: max(retryAfter, wait), Wait: wait, Ahead: ahead}
	}
	return nil
}

func (core *Core) fitsSomewhere(known *agent, job *Job) bool {
	for _, task := range job.Ready() {
		if !known.state.Capacity.Holds(task.Step.Demand) || !fits(known, job, task) {
			return false
		}
	}
	return true
}

// forecast returns how long the last ready task of a job will wait for room, from what
// waits before it and the pace at which runs free room.
func (core *Core) forecast(job *Job, now ptid.Instant) (wait time.Duration, ahead ptrun.Millicores) {
	key := job.key(now)
	for _, other := range core.waiting {
		if other.key(now) <= key {
			ahead += core.readyDemand(other)
		}
	}
	free, held, known, weighted := ptrun.Millicores(0), ptrun.Millicores(0), ptrun.Millicores(0), 0.0
	for _, agent := range core.ordered {
		if agent.service != job.Queue.Service || !agent.connected || agent.state.Unusable {
			continue
		}
		if agent.usable(now) {
			free += max(0, agent.free().CPU)
		}
		// Room that the runs of other entries free is there for all.
		held += agent.own.CPU + agent.others.CPU
		for _, run := range agent.runs {
			cpu := run.task.Step.Demand.CPU
			known += cpu
			weighted += float64(cpu) * run.expected.Seconds()
		}
	}
	missing := ahead + core.readyDemand(job) - free
	if missing <= 0 {
		return 0, ahead
	}
	if held == 0 || known == 0 {
		return 0, ahead
	}
	mean := weighted / float64(known)
	return time.Duration(float64(missing) / float64(held) * mean * float64(time.Second)), ahead
}

// readyDemand returns the processor time that the ready tasks of a job ask for, at least
// one where there are any.
func (core *Core) readyDemand(job *Job) (cpu ptrun.Millicores) {
	if job.ready >= 0 {
		return job.ready
	}
	for _, task := range job.Ready() {
		cpu += max(1, task.Step.Demand.CPU)
	}
	job.ready = cpu
	return cpu
}
