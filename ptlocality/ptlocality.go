// Package ptlocality decides whether a task waits for room on a worker near its data, or runs on
// a far worker, where it takes longer. It is pure: time and the state of the workers are
// arguments.
//
// # How it works
//
//  1. [Near.OpensAt] estimates when near workers have room for a task and for all tasks that wait
//     before it. It uses the expected ends of the runs that the entry knows. Capacity that other
//     entries hold is expected to become free evenly over the mean run time.
//  2. The value of an end is 1 in time, [LateValue] late, and 0 after the job's expiry. The
//     expected value of a start is the mean over the distributions of the run time and of the
//     wait.
//  3. The tasks of a job that are not placed are judged together: they wait if their last one
//     gains by it, since a job is as late as its last task.
//  4. A far run holds its cores longer. While other work waits for capacity, this counts against
//     the far run, up to [maxCoreSecondsPrice].
//
// # Usage
//
//	decision := ptlocality.Decide(policy, task, near, now)
//	if decision.Wait {
//		// Decide again whenever placing runs.
//	}
//
// # Limits
//
// Only the CPU demand is considered for the time at which room becomes free. A decision is valid
// only for the state that it was based on, and there is no time-out: call [Decide] again after
// every change.
package ptlocality

import (
	"math"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// LateValue is the value of a job that ends after its objective and before its expiry. A job
	// that ends in time has the value 1.
	LateValue = 0.2
	// minGain is the least gain in expected value for which a task waits. The expected values are
	// means over 25 cases, so smaller differences are within their resolution.
	minGain = 0.02
	// Expected run times are off by a factor whose logarithm has the standard deviation
	// runTimeSpread: declared estimates and run times of a queue's jobs each have one of 0.4, and
	// the expected run time is their geometric mean. The objective moves with the actual run time.
	runTimeSpread = 0.28
	// endSpread is the standard deviation of the logarithm of the ratio of a run's time to the run
	// time that the objective is based on. It covers worker speeds of 0.8 to 1.25 and differences
	// of 0.15 between the tasks of a job.
	endSpread = 0.15
	// waitSpread is the standard deviation of the logarithm of the ratio of the actual wait to the
	// estimated wait.
	waitSpread = 0.75
	// overdueRemainder is the part of its expected run time that a run is expected to take yet
	// when its expected end has passed.
	overdueRemainder = 0.25
	// coreSecondsPrice is the value of the core-seconds of the job's near runs while other work
	// waits for all capacity; maxCoreSecondsPrice bounds what a far run is charged, so that a wait
	// is never paid for by core-seconds alone if the far run is in time. A price that only decides
	// between equal values gives 0.001 to 0.018 less utility at 1.7 times the load
	// (docs/design/18-near-places.md).
	coreSecondsPrice    = 0.5
	maxCoreSecondsPrice = 0.3
)

// quantiles are the medians of the five equal parts of the standard normal distribution.
var quantiles = [...]float64{-1.2816, -0.5244, 0, 0.5244, 1.2816}

// Policy selects how tasks choose between waiting and running far away. The zero value is
// [ExpectedGain]. The other policies are kept for comparison.
type Policy struct {
	kind      policyKind
	fixedWait time.Duration
}

type policyKind int

const (
	expectedGain policyKind = iota
	never
	fixed
)

// ExpectedGain returns the policy that waits while waiting has the higher expected value.
func ExpectedGain() (policy Policy) { return Policy{} }

// Never returns the policy that never waits.
func Never() (policy Policy) { return Policy{kind: never} }

// Fixed returns the policy that waits for at most the given time after the job's submission.
func Fixed(wait time.Duration) (policy Policy) { return Policy{kind: fixed, fixedWait: wait} }

// Run is a run whose expected end is known.
type Run struct {
	EndsAt  ptid.Instant
	RunTime time.Duration
	CPU     ptrun.Millicores
}

// Worker is a near worker that may be used. Workers that are quarantined, evacuated or
// disconnected must be left out.
type Worker struct {
	// Free is negative if more is held than the worker's capacity, by orders that met.
	Free ptrun.Millicores
	// Runs are the runs of this entry. HeldByOthers is the capacity that other entries hold.
	Runs         []Run
	HeldByOthers ptrun.Millicores
}

// Near describes the near workers of a step.
type Near struct {
	Workers []Worker
	// MeanRunTime is the mean run time of the runs of other entries.
	MeanRunTime time.Duration
	// Slowdown is the mean observed slowdown of the near workers.
	Slowdown float64
	// Share is the part of the released capacity that this entry gets; the rest goes to other
	// entries with waiting tasks.
	Share float64
	// Bias is the learned ratio of actual to estimated waits; see [Bias].
	Bias float64
	// Waiting is the CPU demand of the tasks that wait for these workers before the task.
	Waiting ptrun.Millicores
}

// openAt returns how many tasks with the given demand fit on the near workers at an instant, if
// none is placed there until then.
func (near *Near) openAt(at, now ptid.Instant, demand ptrun.Millicores) (places int) {
	released := min(1, at.Sub(now).Seconds()/max(near.MeanRunTime.Seconds(), 0.001))
	for index := range near.Workers {
		worker := &near.Workers[index]
		freed := released * float64(worker.HeldByOthers)
		for _, run := range worker.Runs {
			if max(run.EndsAt, now.Add(time.Duration(overdueRemainder*float64(run.RunTime)))) <= at {
				freed += float64(run.CPU)
			}
		}
		places += max(0, int((float64(worker.Free)+near.Share*freed)/float64(max(1, demand))))
	}
	return places
}

// OpensAt estimates when room for the given number of tasks becomes free on the near workers, in
// addition to the tasks that wait already. It returns [ptid.Never] if that is after the horizon.
func (near *Near) OpensAt(tasks int, demand ptrun.Millicores, now, horizon ptid.Instant) (at ptid.Instant) {
	bias := max(minBias, near.Bias)
	horizon = now.Add(time.Duration(float64(max(0, horizon.Sub(now))) / bias))
	needed := tasks + int((near.Waiting+demand-1)/max(1, demand))
	if len(near.Workers) == 0 || near.openAt(horizon, now, demand) < needed {
		return ptid.Never
	}
	// The resolution of the search is below a message delay between zones.
	const resolution = 500 * time.Microsecond
	early, late := now, horizon
	if near.openAt(early, now, demand) >= needed {
		return now
	}
	for late.Sub(early) > resolution {
		if middle := early.Add(late.Sub(early) / 2); near.openAt(middle, now, demand) >= needed {
			late = middle
		} else {
			early = middle
		}
	}
	return now.Add(time.Duration(bias * float64(late.Sub(now))))
}

// Task describes a task for which no near worker has room, and its job.
type Task struct {
	Demand ptrun.Millicores
	// Tasks is the number of tasks of the job that are not placed and do not wait, including this
	// one.
	Tasks int
	// RunTime is the expected run time near the data. A far run takes Factor times as long.
	RunTime time.Duration
	Factor  float64
	// FarSlowdown is the observed slowdown of the best far worker.
	FarSlowdown float64
	// SubmittedAt is when the job was submitted. The job is in time until Objective, which moves
	// by Stretch times the difference if the actual run time differs from the expected one. After
	// ExpiresAt its result is of no use.
	SubmittedAt, Objective, ExpiresAt ptid.Instant
	Stretch                           float64
	// JobEndsAt is the expected end of the job's runs that are already placed on far workers;
	// zero if there are none.
	JobEndsAt ptid.Instant
	// Load is the part of the free capacity that other waiting work can use, from 0 to 1.
	Load float64
}

// Decision is the result of [Decide].
type Decision struct {
	// Wait is true if the task waits for a near worker until the instant Until, when room is
	// expected. If it is false, the task is placed on the best worker that has room.
	Wait  bool
	Until ptid.Instant
}

// Decide decides whether a task waits for a near worker or is placed on the best far worker. It
// is called only if there is a far worker with room.
func Decide(policy Policy, task Task, near *Near, now ptid.Instant) (decision Decision) {
	if policy.kind == never || len(near.Workers) == 0 || task.Factor <= 1 {
		return Decision{}
	}
	horizon := max(now, task.ExpiresAt.Add(-task.RunTime))
	first := near.OpensAt(1, task.Demand, now, horizon)
	if first == now || first == ptid.Never {
		// If there is room now, the caller has preferred a far worker for another reason.
		return Decision{}
	}
	if policy.kind == fixed {
		return Decision{Wait: now.Sub(task.SubmittedAt) < policy.fixedWait, Until: first}
	}
	farValue := task.value(0, task.Factor*task.FarSlowdown, now)
	price := min(maxCoreSecondsPrice, coreSecondsPrice*task.Load*(task.Factor-1))
	if last := near.OpensAt(task.Tasks, task.Demand, now, horizon); last != ptid.Never {
		if task.value(last.Sub(now), near.Slowdown, now)-farValue+price > minGain {
			return Decision{Wait: true, Until: first}
		}
	}
	// The job is as late as its last task. A task that ends before the others' far runs costs the
	// job nothing by waiting, and saves core-seconds.
	farEnd := max(task.JobEndsAt, now.Add(time.Duration(task.Factor*task.FarSlowdown*float64(task.RunTime))))
	if price > minGain && first.Add(task.RunTime) <= farEnd {
		return Decision{Wait: true, Until: first}
	}
	return Decision{}
}

// FarCost returns the value that a job is expected to lose by a far run of one of its tasks
// instead of a near run that starts at the same time.
func FarCost(task Task, now ptid.Instant) (cost float64) {
	return max(0, task.value(0, 1, now)-task.value(0, task.Factor, now))
}

// value returns the expected value of the job if its last task starts after the wait and takes
// factor times as long as near its data.
func (task *Task) value(wait time.Duration, factor float64, now ptid.Instant) (value float64) {
	expected := float64(task.RunTime)
	for _, runTimeQuantile := range quantiles {
		runTime := expected * math.Exp(runTimeSpread*runTimeQuantile)
		objective := task.Objective.Add(time.Duration(task.Stretch * (runTime - expected)))
		for _, quantile := range quantiles {
			took := float64(wait)*math.Exp(waitSpread*quantile) + runTime*factor*math.Exp(endSpread*quantile)
			switch end := max(task.JobEndsAt, now.Add(time.Duration(took))); {
			case end <= objective && end <= task.ExpiresAt:
				value++
			case end <= task.ExpiresAt:
				value += LateValue
			}
		}
	}
	return value / float64(len(quantiles)*len(quantiles))
}
