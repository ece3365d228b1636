package ptassign

import (
	"math"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// demandMemory is the age at which what jobs of a queue asked for and got weighs a third.
	demandMemory = 500 * time.Millisecond
	// lossGain is how many times the share of urgent jobs that are not served in time counts
	// as the share of their arrivals that less urgent ones must leave room for.
	lossGain = 4
	// fewJobs keeps the fate of one or two jobs from counting as a share.
	fewJobs = 4
)

// demand is what the jobs of a queue asked for and got lately, weighed by age.
type demand struct {
	service  ptid.ServiceName
	priority int
	// cpu is the processor time that jobs asked for which were taken in; ended counts the
	// jobs that have an answer, lost those of them that were not served in time.
	cpu, ended, lost float64
	at               ptid.Instant
}

func (demand *demand) fade(now ptid.Instant) {
	keep := math.Exp(-now.Sub(demand.at).Seconds() / demandMemory.Seconds())
	demand.cpu, demand.ended, demand.lost, demand.at = demand.cpu*keep, demand.ended*keep, demand.lost*keep, now
}

// demandOf returns the demand of a job's queue as of now.
func (core *Core) demandOf(job *Job, now ptid.Instant) (known *demand) {
	if known = core.demands[job.Queue.Name]; known == nil {
		known = &demand{at: now}
		core.demands[job.Queue.Name] = known
	}
	known.service, known.priority = job.Queue.Service, job.Queue.Priority
	known.fade(now)
	return known
}

// answered counts a job that has its answer.
func (core *Core) answered(job *Job, inTime bool, now ptid.Instant) {
	known := core.demandOf(job, now)
	known.ended++
	if !inTime {
		known.lost++
	}
}

// reserve returns the rate at which more urgent jobs will take the room that a job waits for.
//
// It answers the load of an overload that lasts. Urgent jobs go before all others, but runs
// are not interrupted: while others are taken in that fill every worker, urgent ones with
// little time to spare find no room. So as far as they are not served in time, others are
// taken in by the room that is left after them.
func (core *Core) reserve(job *Job, now ptid.Instant) (rate float64) {
	for _, known := range core.demands {
		if known.service == job.Queue.Service && known.priority < job.Queue.Priority {
			known.fade(now)
			rate += known.cpu / demandMemory.Seconds() * min(1, lossGain*known.lost/(known.ended+fewJobs))
		}
	}
	return rate
}
