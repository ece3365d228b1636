package ptruncontrol

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// fullPercent is the speed limit of a run at its start; it means full speed.
	fullPercent = 100
	// reviewInterval is the interval between two reviews of the speed limit. An order takes a tenth
	// of a second to have effect, and the latency figures cover the last half second.
	reviewInterval = 500 * time.Millisecond
	// recoveryStep is the number of percentage points by which the speed limit is raised per
	// review while all tail latencies are below recoveryThreshold.
	recoveryStep = 15
	// throttleThreshold and recoveryThreshold are fractions of a tail latency target. Above
	// throttleThreshold, the speed limit of opportunistic runs is lowered; below
	// recoveryThreshold, it is raised. The gap between the two prevents oscillation.
	throttleThreshold = 0.85
	recoveryThreshold = 0.6
)

// throttle is the speed limit of the opportunistic runs on this worker, in percent of their full
// speed.
//
// Opportunistic runs share the worker with runs that serve users. How much an opportunistic run
// slows down the other runs depends on its image and changes within seconds. The speed limit
// therefore follows the measured tail latency instead of a declared value.
type throttle struct {
	percent     int
	initialized bool
	reviewAt    ptid.Instant
}

// reviewThrottle adjusts the speed limit of the opportunistic runs and orders the change for
// each of them.
func (core *Core) reviewThrottle(now ptid.Instant) {
	if now < core.throttle.reviewAt {
		return
	}
	core.throttle.reviewAt = now.Add(reviewInterval)
	if !core.throttle.initialized {
		core.throttle.percent, core.throttle.initialized = fullPercent, true
	}
	worstRatio := 0.0
	for _, run := range core.runs {
		if run.TailLatencyTarget > 0 && run.state == running {
			worstRatio = max(worstRatio, float64(run.tailLatency)/float64(run.TailLatencyTarget))
		}
	}
	switch {
	case worstRatio > 1:
		core.throttle.percent = 0
	case worstRatio > throttleThreshold:
		core.throttle.percent /= 2
	case worstRatio < recoveryThreshold:
		core.throttle.percent = min(fullPercent, core.throttle.percent+recoveryStep)
	}
	for _, run := range core.sortedRuns() {
		if run.Opportunistic && run.state == running && run.orderedPercent != core.throttle.percent {
			run.orderedPercent = core.throttle.percent
			core.emit(ThrottleRun{Worker: core.worker.WorkerIdentity, Token: core.token, Run: run.Run, Percent: run.orderedPercent})
		}
	}
}

// HandleThrottleFailure records that an order to change the speed limit of a run may not have
// had effect. The next review repeats the order.
func (core *Core) HandleThrottleFailure(effect ThrottleRun) {
	if run := core.runs[effect.Run]; run != nil {
		run.orderedPercent = -1
	}
}
