package ptassign

import (
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// refuse decides whether a job is not taken in.
//
// It answers the load of bursts beyond the capacity: without it every job waits until
// it is late, and all of the room goes to answers that are worth little.
func (core *Core) refuse(job *Job, now ptid.Instant) (refusal *Refusal) {
	workers, fitting := 0, 0
	for _, known := range core.ordered {
		if known.service != job.Queue.Service || !known.isThere() && !known.isExpected(now) {
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
		return &Refusal{Reason: NoFittingWorker, RetryAfter: retryAfter}
	}
	wait, ahead, supply := core.forecast(job, now)
	if now.Add(wait) > job.latestStart() && wait > 0 || now.Add(wait+job.span) > job.ExpiresAt {
		return &Refusal{Reason: ForecastTooLate, RetryAfter: max(retryAfter, wait), ForecastWait: wait, DemandAhead: ahead, Capacity: supply}
	}
	return nil
}

// isThere reports whether the agent has a session and a worker.
func (agent *agent) isThere() bool { return agent.connected && agent.reported && !agent.state.Unusable }

// HasWorker reports whether some agent has a session and a worker that takes orders.
func (core *Core) HasWorker() bool { return slices.ContainsFunc(core.ordered, (*agent).isThere) }

// isExpected reports whether the agent has lost its session a moment ago and may soon be back.
//
// It answers links that all go silent at once: for some hundred milliseconds an entry has no
// agents, and what it refused then it could mostly have served in time.
func (agent *agent) isExpected(now ptid.Instant) bool {
	return !agent.isThere() && !agent.state.Unusable && agent.state.Worker != "" && now.Sub(agent.lostAt) <= ptlink.ReconnectTimeout
}

// stranded returns the untouched jobs whose service has no worker and expects none back.
func (core *Core) stranded(now ptid.Instant) (keys []Key) {
	if len(core.waiting) == 0 {
		return nil
	}
	served := make(map[ptid.ServiceName]bool)
	for _, known := range core.ordered {
		if known.connected || known.isExpected(now) {
			served[known.service] = true
		}
	}
	for _, job := range core.waiting {
		if !job.Durable && !served[job.Queue.Service] && job.CertainlyUnstarted() && !job.State().Ended() {
			keys = append(keys, job.Key())
		}
	}
	return keys
}

func (core *Core) fitsSomewhere(known *agent, job *Job) bool {
	for _, task := range job.Ready() {
		if !known.state.Capacity.Covers(task.Step.Demand) || !fits(known, job, task) {
			return false
		}
	}
	return true
}

// forecast returns how long the last ready task of a job will wait for room, from what
// waits before it and the pace at which runs free room.
func (core *Core) forecast(job *Job, now ptid.Instant) (wait time.Duration, ahead ptrun.Millicores, room AvailableCapacity) {
	key := job.key(now)
	own := core.need(job, now)
	for _, other := range core.waiting {
		if other.Queue.Service != job.Queue.Service {
			continue
		}
		own += core.need(other, now)
		if other.key(now) <= key {
			ahead += core.readyDemand(other)
		}
	}
	room = core.supply(job.Queue.Service, own, now)
	room.ReservedPerSecond = ptrun.MillicoresPerSecond(core.reserve(job, now))
	return room.wait(ahead + core.readyDemand(job)), ahead, room
}

// hopeless returns the untouched jobs that are late, and that by the forecast will still
// wait when they can't end in time any more.
//
// It answers the load of an overload that lasts: their callers are told now, and can look
// for help elsewhere, where they would wait for nothing.
func (core *Core) hopeless(now ptid.Instant) (keys []Key) {
	if len(core.waiting) == 0 {
		return nil
	}
	supplies := make(map[ptid.ServiceName]AvailableCapacity)
	for service, want := range core.CapacityRequests(now) {
		supplies[service] = core.supply(service, want.Rate, now)
	}
	ahead := make(map[ptid.ServiceName]ptrun.Millicores)
	for _, job := range core.waiting {
		service := job.Queue.Service
		if job.State().Ended() || job.Recovering {
			continue
		}
		ahead[service] += core.readyDemand(job)
		if job.Durable || now <= job.latestStart() || !job.CertainlyUnstarted() {
			continue
		}
		if wait := supplies[service].wait(ahead[service]); now.Add(wait+job.span) > job.ExpiresAt {
			keys = append(keys, job.Key())
			ahead[service] -= core.readyDemand(job)
		}
	}
	return keys
}

// AvailableCapacity is the room that an entry's jobs can have.
type AvailableCapacity struct {
	// Free is there now, Freed becomes free, and goes to this entry.
	Free           ptrun.Millicores
	FreedPerSecond ptrun.MillicoresPerSecond
	// ReservedPerSecond is the part of it that more urgent jobs will take.
	ReservedPerSecond ptrun.MillicoresPerSecond
}

// supply returns the room that this entry's jobs can have which need it at a rate.
func (core *Core) supply(service ptid.ServiceName, own ptrun.MillicoresPerSecond, now ptid.Instant) (supply AvailableCapacity) {
	held, known, weighted, wanted, told := 0.0, ptrun.Millicores(0), 0.0, ptrun.MillicoresPerSecond(0), 0
	for _, agent := range core.ordered {
		if agent.service != service || !agent.connected || agent.state.Unusable {
			continue
		}
		if agent.usable(now) {
			supply.Free += max(0, agent.free().CPU)
		}
		// Room that the runs of other entries free is there for all, that of slow workers later.
		if !agent.aside {
			held += float64(agent.own.CPU+agent.others.CPU) / max(1, agent.pace())
		}
		known += agent.own.CPU
		weighted += agent.expected
		wanted += agent.state.RequestedByOthers
		told++
	}
	if weighted == 0 {
		return supply
	}
	mean := weighted / float64(known)
	// It is offered in proportion to the rates that entries need.
	others := wanted / ptrun.MillicoresPerSecond(told)
	supply.FreedPerSecond = ptrun.MillicoresPerSecond(held/mean) * own / (own + others)
	return supply
}

// leastLeft is the part of what becomes free that is left for jobs that are not urgent.
const leastLeft = 0.05

// wait returns when so much room was there for the entry's jobs; at once where nothing is
// known of what becomes free.
func (supply AvailableCapacity) wait(demand ptrun.Millicores) (wait time.Duration) {
	missing := demand - supply.Free
	if missing <= 0 || supply.FreedPerSecond <= 0 {
		return 0
	}
	left := max(supply.FreedPerSecond-supply.ReservedPerSecond, supply.FreedPerSecond*leastLeft)
	return time.Duration(float64(missing) / float64(left) * float64(time.Second))
}

// readyDemand returns the processor time that the ready tasks of a job ask for, at least
// one where there are any.
func (core *Core) readyDemand(job *Job) (cpu ptrun.Millicores) {
	if job.ready >= 0 {
		return job.ready
	}
	for index, task := range job.Ready() {
		cpu += max(1, task.Step.Demand.CPU)
		if index == 0 {
			job.least = task.Step.Reservation()
		}
		job.least = job.least.Min(task.Step.Reservation())
	}
	job.ready = cpu
	return cpu
}
