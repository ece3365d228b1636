package ptassign

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// leastSlack bounds the rate that a job needs which must start at once: about what an
	// offer and the order that uses it take on a busy entry.
	leastSlack = 20 * time.Millisecond
	// lateSlack stands in for the time that is left to jobs that are late anyway. It is
	// far above the slack of jobs that are not.
	lateSlack = time.Second
	// wantAfter is how long jobs must have waited before all agents are told: most wait for
	// milliseconds.
	wantAfter = 25 * time.Millisecond
	// CapacityRequestInterval is the least time between two frames to an agent that tell of it alone;
	// others that go to it tell as well.
	CapacityRequestInterval = 200 * time.Millisecond
)

// CapacityRequests returns what waits for room, by service.
func (core *Core) CapacityRequests(now ptid.Instant) (wants map[ptid.ServiceName]ptrun.CapacityRequest) {
	wants = make(map[ptid.ServiceName]ptrun.CapacityRequest)
	for _, job := range core.waiting {
		if job.Recovering || job.State().Ended() || core.readyDemand(job) == 0 {
			continue
		}
		want, found := wants[job.Queue.Service]
		if !found {
			want.MinDemand = job.least
		}
		wants[job.Queue.Service] = ptrun.CapacityRequest{Rate: want.Rate + core.need(job, now), MinDemand: want.MinDemand.Min(job.least)}
	}
	return wants
}

// CapacityRequestsToSend returns what waits for room, by service, for all frames to tell. alone is true
// where agents that had no frame for [CapacityRequestInterval] are to get one by itself.
func (core *Core) CapacityRequestsToSend(now ptid.Instant) (wants map[ptid.ServiceName]ptrun.CapacityRequest, alone bool) {
	if wants = core.CapacityRequests(now); len(wants) == 0 {
		core.waitingSince = ptid.Never
		return wants, false
	}
	core.waitingSince = min(core.waitingSince, now)
	alone = now.Sub(core.waitingSince) >= wantAfter && now.Sub(core.wantsToldAt) >= CapacityRequestInterval
	if alone {
		core.wantsToldAt = now
	}
	return wants, alone
}

// need returns the rate at which room must become free for a job to start in time.
func (core *Core) need(job *Job, now ptid.Instant) (rate ptrun.MillicoresPerSecond) {
	slack := lateSlack
	if latest := job.latestStart(); latest >= now || job.Started() {
		slack = max(leastSlack, latest.Sub(now))
	}
	return ptrun.MillicoresPerSecond(float64(core.readyDemand(job)) / slack.Seconds())
}
