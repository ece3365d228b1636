// Package ptadmit decides on submission whether a job is admitted: whether its tasks can
// start in time. It has no I/O.
//
// # How it works
//
//  1. A job is admitted as a whole or refused as a whole.
//  2. The wait of a job's last task is predicted as the number of queued tasks, including
//     the job's own tasks, divided by the completion rate. [Request.PredictedWait] gives
//     the details.
//  3. The completion rate is measured over at least [RateWindow] during which tasks wait.
//     Without a measurement, it is estimated as the number of slots divided by the
//     learned run time.
//  4. A job is refused if the predicted wait exceeds the fraction [MaxWaitFraction] of
//     its profile's queueFor setting, or if the queue would exceed its maximum length.
//  5. A refusal tells the caller how long to wait until the queue is expected to have
//     capacity again.
//
// # Usage
//
//	meter.TasksEnded(count, waiting, now)
//	refusal := ptadmit.Decide(request)
package ptadmit

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptreason"
)

const (
	// RateWindow is the minimum time over which the completion rate is measured.
	RateWindow = time.Second
	// MaxWaitFraction is the fraction of [Request].QueueTimeout that the predicted wait may
	// not exceed.
	MaxWaitFraction = 0.85
	// MinRetryAfter is the minimum time after which a refused caller may retry.
	MinRetryAfter = time.Second
	// MaxRetryAfter is the maximum time after which a refused caller may retry.
	MaxRetryAfter = 30 * time.Second
	// minEnded is how many tasks must have ended before a rate is computed, unless the
	// measurement has taken as long as rateTTL. With fewer tasks the rate would be too
	// low, because no task has ended yet at the start of a busy period.
	minEnded = 20
	// rateWeight is the weight of the newest measurement in the moving average.
	rateWeight = 0.5
)

// Meter measures the completion rate: the rate at which tasks end while other tasks wait.
// It is not safe for concurrent use.
type Meter struct {
	waitingSince ptid.Instant
	ended        int
	rate         float64
	measuredAt   ptid.Instant
}

// rateTTL is how long a measured rate is valid.
const rateTTL = 5 * time.Second

// TasksEnded records that count tasks have ended. waiting reports whether other tasks wait.
func (meter *Meter) TasksEnded(count int, waiting bool, now ptid.Instant) {
	if !waiting {
		meter.waitingSince = 0
		return
	}
	if meter.waitingSince == 0 {
		meter.waitingSince, meter.ended = now, 0
		return
	}
	meter.ended += count
	span := now.Sub(meter.waitingSince)
	if span < RateWindow || (meter.ended < minEnded && span < rateTTL) {
		return
	}
	measured := float64(meter.ended) / span.Seconds()
	if meter.rate == 0 || now.Sub(meter.measuredAt) > rateTTL {
		meter.rate = measured
	} else {
		meter.rate += rateWeight * (measured - meter.rate)
	}
	meter.measuredAt, meter.waitingSince, meter.ended = now, now, 0
}

// Rate returns the measured completion rate in tasks per second, or zero without a valid
// measurement.
func (meter *Meter) Rate(now ptid.Instant) float64 {
	if now.Sub(meter.measuredAt) > rateTTL {
		return 0
	}
	return meter.rate
}

// Request holds the inputs of an admission decision.
type Request struct {
	// Tasks is how many tasks the job has.
	Tasks int
	// Queued is how many tasks are queued, without the tasks of the job itself. TeamQueued
	// is how many of these queued tasks belong to the job's team.
	Queued     int
	TeamQueued int
	// WaitingTeams is how many teams have queued tasks, including the job's team.
	WaitingTeams int
	MaxQueued    int
	// Slots is the number of usable slots. FreeSlots is the number of usable slots that
	// are free.
	Slots     int
	FreeSlots int
	// Quota is the lower of the limits on the running tasks of the job's team and of its
	// profile.
	Quota int
	// Rate is the measured completion rate in tasks per second, zero if unknown.
	Rate float64
	// RunTime is the learned run time of the profile's tasks, zero if unknown.
	RunTime time.Duration
	// QueueTimeout is how long the tasks of the job may wait: the queueFor setting of its
	// profile.
	QueueTimeout time.Duration
}

// Refusal is the reason why a job is not admitted, and the time after which to retry. An
// empty reason means that the job is admitted.
type Refusal struct {
	Reason     ptreason.Reason
	RetryAfter time.Duration
}

// Decide returns whether a job is admitted.
func Decide(request Request) (refusal Refusal) {
	if request.Slots == 0 {
		return Refusal{Reason: ptreason.NoUpstream, RetryAfter: MinRetryAfter}
	}
	if request.Quota == 0 {
		return Refusal{Reason: ptreason.QuotaZero, RetryAfter: MaxRetryAfter}
	}
	wait := request.PredictedWait()
	switch {
	case request.Queued+request.Tasks > request.MaxQueued:
		return Refusal{Reason: ptreason.QueueFull, RetryAfter: clampRetry(wait)}
	case wait > time.Duration(MaxWaitFraction*float64(request.QueueTimeout)):
		return Refusal{Reason: ptreason.PredictedWait, RetryAfter: clampRetry(wait - request.QueueTimeout)}
	default:
		return Refusal{}
	}
}

// PredictedWait returns how long the last task of the job is expected to wait. Provided
// that no slot is idle while tasks wait, the wait has two upper bounds:
//   - the queued tasks of all teams, minus the free slots, divided by the completion rate;
//   - the queued tasks of the job's team, minus the free slots, divided by the team's fair
//     share of the completion rate, which is the rate divided by WaitingTeams.
//
// Both numbers of queued tasks include the tasks of the job. The prediction is the smaller
// bound. If the queued tasks of the team exceed the quota and the run time is known, the
// prediction is at least the number of excess tasks, divided by the quota, times the learned
// run time.
func (request Request) PredictedWait() (wait time.Duration) {
	rate := request.Rate
	if rate == 0 && request.RunTime > 0 {
		rate = float64(request.Slots) / request.RunTime.Seconds()
	}
	if rate > 0 {
		totalWait := float64(max(0, request.Queued+request.Tasks-request.FreeSlots)) / rate
		teamWait := float64(max(0, request.TeamQueued+request.Tasks-request.FreeSlots)) * float64(max(1, request.WaitingTeams)) / rate
		wait = seconds(min(totalWait, teamWait))
	}
	if overQuota := request.TeamQueued + request.Tasks - request.Quota; overQuota > 0 && request.RunTime > 0 {
		wait = max(wait, seconds(float64(overQuota)/float64(request.Quota)*request.RunTime.Seconds()))
	}
	return wait
}

func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

func clampRetry(wait time.Duration) time.Duration {
	return min(max(wait, MinRetryAfter), MaxRetryAfter)
}
