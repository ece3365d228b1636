package ptassign

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// minSlack is the least slack from which a rate is computed, so that the rate stays bounded
	// for a job that must start at once. It is about the time that a busy entry takes to process
	// an offer of capacity and to send the start order that uses the offer.
	minSlack = 20 * time.Millisecond
	// lateSlack replaces the slack of unstarted jobs that have missed their latest start. It is
	// far above the slack of other jobs, so that late jobs request capacity at a low rate.
	lateSlack = time.Second
	// requestAfter is how long jobs must have been waiting before frames are sent that carry only
	// capacity requests. Most jobs wait only for milliseconds and need no such frame.
	requestAfter = 25 * time.Millisecond
	// CapacityRequestInterval is the least time between two frames to an agent that carry only
	// a capacity request. Frames that are sent for other reasons carry the request as well.
	CapacityRequestInterval = 200 * time.Millisecond
)

// CapacityRequests returns the capacity that waiting jobs need, by service.
func (core *Core) CapacityRequests(now ptid.Instant) (requests map[ptid.ServiceName]ptrun.CapacityRequest) {
	requests = make(map[ptid.ServiceName]ptrun.CapacityRequest)
	for _, job := range core.waiting {
		if core.isOnHold(job, now) || job.State().Ended() || core.readyDemand(job) == 0 || !core.isServed(job, now) {
			continue
		}
		request, found := requests[job.Queue.Service]
		if !found {
			request.MinDemand = job.minDemand
		}
		requests[job.Queue.Service] = ptrun.CapacityRequest{Rate: request.Rate + core.requestRate(job, now), MinDemand: request.MinDemand.Min(job.minDemand)}
	}
	return requests
}

// CapacityRequestsToSend returns the capacity requests by service. The caller includes the
// requests in every frame to an agent. If dedicated is true and the caller has sent no frame
// to an agent for [CapacityRequestInterval], the caller must send this agent a frame that
// carries only the requests.
func (core *Core) CapacityRequestsToSend(now ptid.Instant) (requests map[ptid.ServiceName]ptrun.CapacityRequest, dedicated bool) {
	if requests = core.CapacityRequests(now); len(requests) == 0 {
		core.waitingSince = ptid.Never
		return requests, false
	}
	core.waitingSince = min(core.waitingSince, now)
	dedicated = now.Sub(core.waitingSince) >= requestAfter && now.Sub(core.requestsSentAt) >= CapacityRequestInterval
	if dedicated {
		core.requestsSentAt = now
	}
	return requests, dedicated
}

// requestRate returns the rate at which capacity must become free for a job to start in time.
func (core *Core) requestRate(job *Job, now ptid.Instant) (rate ptrun.MillicoresPerSecond) {
	slack := lateSlack
	if latest := job.latestStart(); latest >= now || job.Started() {
		slack = max(minSlack, latest.Sub(now))
	}
	return ptrun.MillicoresPerSecond(float64(core.readyDemand(job)) / slack.Seconds())
}
