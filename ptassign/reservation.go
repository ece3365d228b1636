package ptassign

import (
	"math"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// demandDecay is the time constant of the exponential decay of a queue's demand and
	// outcomes: after this time a third of their weight is left.
	demandDecay = 500 * time.Millisecond
	// The reserved share of the demand of an urgent queue is missGain times the share of the
	// queue's jobs that missed their objective, but at most 1.
	missGain = 4
	// priorJobs is added to the number of ended jobs when the share of missed jobs is computed,
	// so that one or two missed jobs are not yet a large share.
	priorJobs = 4
)

// queueDemand is the recent demand of a queue and the outcomes of its jobs, with exponential
// decay.
type queueDemand struct {
	service  ptid.ServiceName
	priority int
	// cpu is the CPU demand of admitted jobs, offered that of all submitted jobs. ended is the number of jobs that have ended or were
	// refused. missed is the number of these jobs that did not complete by their objective; it
	// includes the refused jobs.
	cpu, offered, ended, missed float64
	// decayedAt is the instant up to which the decay has been applied.
	decayedAt ptid.Instant
}

func (demand *queueDemand) decay(now ptid.Instant) {
	factor := math.Exp(-now.Sub(demand.decayedAt).Seconds() / demandDecay.Seconds())
	demand.cpu, demand.offered, demand.decayedAt = demand.cpu*factor, demand.offered*factor, now
	demand.ended, demand.missed = demand.ended*factor, demand.missed*factor
}

// demandOf returns the demand of the job's queue, decayed to the given instant.
func (core *Core) demandOf(job *Job, now ptid.Instant) (demand *queueDemand) {
	if demand = core.demands[job.Queue.Name]; demand == nil {
		demand = &queueDemand{decayedAt: now}
		core.demands[job.Queue.Name] = demand
	}
	demand.service, demand.priority = job.Queue.Service, job.Queue.Priority
	demand.decay(now)
	return demand
}

// countOutcome counts a job that has ended or was refused.
func (core *Core) countOutcome(job *Job, inTime bool, now ptid.Instant) {
	demand := core.demandOf(job, now)
	demand.ended++
	if !inTime {
		demand.missed++
	}
}

// reservedRate returns the rate at which more urgent jobs will take the capacity that a job
// waits for.
//
// The reservation matters under lasting overload. Urgent jobs are placed before all other
// jobs, but runs are not interrupted: if less urgent jobs fill every worker, urgent jobs with
// little slack find no free capacity. While urgent jobs miss their objective, capacity is
// therefore reserved for them, and the forecast for a less urgent job counts only the
// remaining capacity.
func (core *Core) reservedRate(job *Job, now ptid.Instant) (rate float64) {
	for _, demand := range core.demands {
		if demand.service == job.Queue.Service && demand.priority < job.Queue.Priority {
			demand.decay(now)
			rate += demand.cpu / demandDecay.Seconds() * min(1, missGain*demand.missed/(demand.ended+priorJobs))
		}
	}
	return rate
}
