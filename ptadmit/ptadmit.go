// Package ptadmit decides at the door whether a job can start in time. It has no
// I/O.
//
// # How it works
//
//  1. A job is admitted whole or not at all.
//  2. The wait of its last task is predicted as the tasks that wait before it,
//     itself included, over the rate at which tasks end while there is a queue.
//  3. The rate is measured over [RateWindow] or longer while tasks wait. Without such a
//     measurement it is the number of slots over the learned run time.
//  4. A job is refused where the prediction passes [MaxWaitFraction] of its profile's
//     queueFor, or where the queue has reached its bound.
//  5. What is refused is told when the queue will have room.
//
// # Usage
//
//	meter.Ended(count, waiting, now)
//	refusal := ptadmit.Decide(request)
package ptadmit

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptreason"
)

const (
	// RateWindow is the span over which the rate is measured.
	RateWindow = time.Second
	// MaxWaitFraction is the part of queueFor that a prediction may fill.
	MaxWaitFraction = 0.85
	// MinRetryAfter is the least that a refused caller is told to wait.
	MinRetryAfter = time.Second
	// MaxRetryAfter is the most that a refused caller is told to wait.
	MaxRetryAfter = 30 * time.Second
	// leastEnded is how many tasks must have ended for a rate, unless it takes longer
	// than a rate is believed: at the start of a busy time nothing has ended yet.
	leastEnded = 20
	// rateWeight is the weight of the newest window.
	rateWeight = 0.5
)

// Meter measures the rate at which tasks end while others wait. It is not safe
// for concurrent use.
type Meter struct {
	busySince ptid.Instant
	ended     int
	rate      float64
	ratedAt   ptid.Instant
}

// rateFor is how long a measured rate is believed.
const rateFor = 5 * time.Second

// TasksEnded counts tasks that have ended. waiting tells whether others wait.
func (meter *Meter) TasksEnded(count int, waiting bool, now ptid.Instant) {
	if !waiting {
		meter.busySince = 0
		return
	}
	if meter.busySince == 0 {
		meter.busySince, meter.ended = now, 0
		return
	}
	meter.ended += count
	span := now.Sub(meter.busySince)
	if span < RateWindow || (meter.ended < leastEnded && span < rateFor) {
		return
	}
	measured := float64(meter.ended) / span.Seconds()
	if meter.rate == 0 || now.Sub(meter.ratedAt) > rateFor {
		meter.rate = measured
	} else {
		meter.rate += rateWeight * (measured - meter.rate)
	}
	meter.ratedAt, meter.busySince, meter.ended = now, now, 0
}

// Rate returns the measured rate in tasks a second; zero where there is none.
func (meter *Meter) Rate(now ptid.Instant) float64 {
	if now.Sub(meter.ratedAt) > rateFor {
		return 0
	}
	return meter.rate
}

// Request is what a decision is made from.
type Request struct {
	// Tasks is the size of the job.
	Tasks int
	// Queued is how many tasks wait, TeamQueued how many of them are of the job's team.
	Queued     int
	TeamQueued int
	// WaitingTeams is how many teams have tasks waiting, the job's included.
	WaitingTeams int
	MaxQueued    int
	// Slots is the number of usable slots, Free how many of them are free.
	Slots     int
	FreeSlots int
	// Quota is how many tasks of the job's team and profile may run at once.
	Quota int
	// Rate is the measured rate in tasks a second, zero if unknown.
	Rate float64
	// RunTime is the learned run time, zero if unknown.
	RunTime time.Duration
	// QueueTimeout is how long the job may wait.
	QueueTimeout time.Duration
}

// Refusal says why a job is not admitted, and when to try again. An empty reason
// means that the job is admitted.
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

// PredictedWait returns how long the last task of the job is expected to wait.
// Two bounds hold where slots are never idle while tasks wait: everything that
// waits over the whole rate, and the team's own tasks over its fair share of the
// rate. The lower one counts, but never less than what the quota lets through.
func (request Request) PredictedWait() (wait time.Duration) {
	rate := request.Rate
	if rate == 0 && request.RunTime > 0 {
		rate = float64(request.Slots) / request.RunTime.Seconds()
	}
	if rate > 0 {
		all := float64(max(0, request.Queued+request.Tasks-request.FreeSlots)) / rate
		own := float64(max(0, request.TeamQueued+request.Tasks-request.FreeSlots)) * float64(max(1, request.WaitingTeams)) / rate
		wait = seconds(min(all, own))
	}
	if surplus := request.TeamQueued + request.Tasks - request.Quota; surplus > 0 && request.RunTime > 0 {
		wait = max(wait, seconds(float64(surplus)/float64(request.Quota)*request.RunTime.Seconds()))
	}
	return wait
}

func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

func clampRetry(wait time.Duration) time.Duration {
	return min(max(wait, MinRetryAfter), MaxRetryAfter)
}
