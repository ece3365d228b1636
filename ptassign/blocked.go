package ptassign

import (
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// placeWaiting passes over the jobs of a constraint after it has found maxBlockedJobs of them
	// whose ready tasks it could not all place, except over those that need less.
	maxBlockedJobs = 64
	// placeWaiting stops after it has passed over maxSkippedJobs jobs, except once in
	// scanIntervalPerJob for each waiting job. Passing over a job takes 17 ns (measured with 4,000
	// jobs), so that a long queue takes about 1 % of the CPU time.
	maxSkippedJobs     = 256
	scanIntervalPerJob = 2 * time.Microsecond
)

// constraintKind tells apart tasks that are placed by different rules.
type constraintKind uint8

const (
	anyWorker constraintKind = iota
	limitedPerWorker
	gangMember
	adviceNeeded
	isolationNeeded
)

// constraint limits the workers on which a task can be placed, besides the free capacity.
type constraint struct {
	service ptid.ServiceName
	label   string
	kind    constraintKind
}

func constraintOf(job *Job, step *ptgraph.Step) (key constraint) {
	key = constraint{service: job.Queue.Service, label: step.Label}
	switch {
	case job.Queue.Advice != nil:
		key.kind = adviceNeeded
	case step.Gang:
		key.kind = gangMember
	case step.MaxPerWorker > 0:
		key.kind = limitedPerWorker
	}
	return key
}

// isolationOf returns the constraint of the job's tasks that must be isolated. No scan counts a job as
// blocked by it: free capacity is not what these tasks wait for.
func isolationOf(job *Job) constraint {
	return constraint{service: job.Queue.Service, kind: isolationNeeded}
}

// need is the free capacity that the first ready task of a job needs: on one worker, or for a gang on as
// many as it has members.
type need struct {
	demand  ptrun.Demand
	members int
}

func needOf(step *ptgraph.Step) (first need) {
	first = need{demand: step.Reservation(), members: 1}
	if step.Gang {
		first.members = step.Count
	}
	return first
}

// covers reports whether capacity that does not suffice for the other need doesn't for this one either.
func (first need) covers(other need) bool {
	return first.members >= other.members && first.demand.Covers(other.demand)
}

func (first need) min(other need) need {
	return need{demand: first.demand.Min(other.demand), members: min(first.members, other.members)}
}

// constrainedJobs is what placeWaiting knows about the waiting jobs whose first ready task has the
// same constraint.
type constrainedJobs struct {
	constraint
	// blocked counts the blocked jobs in the given scan of the queue. leastNeed is the smallest need that
	// the free capacity did not suffice for in this scan. exhausted means that no waiting job needs less.
	scan      int
	blocked   int
	leastNeed need
	exhausted bool
	// smallestNeed is at most the need of any of the waiting jobs.
	smallestNeed need
	// served is whether a worker had the label at checkedAt.
	served    bool
	checkedAt ptid.Instant
}

// constraints contains the constraints of the waiting jobs. A constraint that no job has any more
// remains until the next sort of the queue.
type constraints struct {
	byKey map[constraint]*constrainedJobs
	// scan is the number of the current scan. exhausted is the number of constraints that have
	// maxBlockedJobs blocked jobs in it, and skipped the number of jobs that it has passed over.
	scan, exhausted, skipped int
	// limited means that the scan passes over at most maxSkippedJobs jobs.
	limited       bool
	unlimitedScan ptid.Instant
}

func (all *constraints) startScan(waiting int, now ptid.Instant) {
	all.scan++
	all.exhausted, all.skipped = 0, 0
	all.limited = now.Sub(all.unlimitedScan) < time.Duration(waiting)*scanIntervalPerJob
}

// scanEnds reports whether no further job of the queue can be placed or may be examined in the
// current scan.
func (all *constraints) scanEnds(now ptid.Instant) bool {
	if all.skipped > maxSkippedJobs {
		if all.limited {
			return true
		}
		all.unlimitedScan = now
	}
	return len(all.byKey) > 0 && all.exhausted >= len(all.byKey)
}

// of returns the record of a constraint, which it creates if there is none.
func (all *constraints) of(key constraint) *constrainedJobs {
	jobs := all.byKey[key]
	if jobs == nil {
		if all.byKey == nil {
			all.byKey = make(map[constraint]*constrainedJobs)
		}
		jobs = &constrainedJobs{constraint: key}
		all.byKey[key] = jobs
	}
	return jobs
}

// add returns the record of the constraint of a waiting job whose first ready task has the given need.
func (all *constraints) add(key constraint, first need) *constrainedJobs {
	isNew := all.byKey[key] == nil
	jobs := all.of(key)
	if isNew {
		jobs.smallestNeed = first
	}
	jobs.smallestNeed = jobs.smallestNeed.min(first)
	return jobs
}

// skips reports whether the scan passes over a job, because enough jobs with its constraint that need
// no more are blocked.
func (all *constraints) skips(job *Job) bool {
	jobs := job.constrained
	if jobs == nil || jobs.scan != all.scan || jobs.blocked < maxBlockedJobs || job.waitingSuspects > 0 {
		return false
	}
	all.skipped++
	return job.firstNeed.covers(jobs.leastNeed)
}

// isKnownBlocked reports whether a smaller task with the constraint of the job's tasks was blocked
// in the current scan. Capacity does not become free during a scan.
func (all *constraints) isKnownBlocked(job *Job) bool {
	jobs := job.constrained
	return jobs.kind == anyWorker && jobs.scan == all.scan && job.firstNeed.covers(jobs.leastNeed)
}

// count counts a blocked job.
func (all *constraints) count(job *Job) {
	jobs := job.constrained
	if jobs.scan != all.scan {
		jobs.scan, jobs.blocked, jobs.leastNeed, jobs.exhausted = all.scan, 0, job.firstNeed, false
	}
	if jobs.leastNeed.covers(job.firstNeed) {
		jobs.leastNeed = job.firstNeed
	}
	if jobs.blocked++; !jobs.exhausted && jobs.blocked >= maxBlockedJobs && jobs.smallestNeed.covers(jobs.leastNeed) {
		jobs.exhausted = true
		all.exhausted++
	}
}

// collect determines the constraints of all waiting jobs anew.
func (all *constraints) collect(waiting []*Job) {
	clear(all.byKey)
	for _, job := range waiting {
		if jobs := job.constrained; jobs != nil {
			if all.byKey[jobs.constraint] == nil {
				jobs.smallestNeed = job.firstNeed
				all.byKey[jobs.constraint] = jobs
			}
			all.add(jobs.constraint, job.firstNeed)
		}
		if job.waitingSuspects > 0 {
			all.of(isolationOf(job))
		}
	}
}

// isServed reports whether a worker has the label that the job's first ready task needs. Other jobs
// need not wait for a job that is not served, and no worker need keep capacity for it.
func (core *Core) isServed(job *Job, now ptid.Instant) bool {
	jobs := job.constrained
	if jobs == nil || jobs.label == "" {
		return true
	}
	if jobs.checkedAt != now {
		jobs.checkedAt = now
		jobs.served = slices.ContainsFunc(core.sortedAgents, func(agent *agentRecord) bool {
			return agent.service == jobs.service && agent.isAvailable() && slices.Contains(agent.state.Labels, jobs.label)
		})
	}
	return jobs.served
}
