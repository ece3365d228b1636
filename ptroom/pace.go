package ptroom

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// fullPace is the share, in percent, at which runs start.
	fullPace = 100
	// paceInterval is how often shares are reviewed: an order takes a tenth of a second
	// to have effect, and the figures are of the last half second.
	paceInterval = 500 * time.Millisecond
	// paceStep is by how much a share grows again while all targets are met.
	paceStep = 15
	// tailHigh and tailLow are the parts of a target from which filling runs are slowed
	// down and below which they get more. The gap keeps the share from swinging.
	tailHigh = 0.85
	tailLow  = 0.6
)

// pacing is the share that filling runs of this worker may work at.
//
// It answers the load of tasks that fill beside tasks that serve users: by how much they
// disturb differs by image and within seconds, so it is measured and not declared.
type pacing struct {
	share    int
	started  bool
	reviewAt ptid.Instant
}

// pace reviews the share of the filling runs and orders what has changed.
func (core *Core) pace(now ptid.Instant) {
	if now < core.pacing.reviewAt {
		return
	}
	core.pacing.reviewAt = now.Add(paceInterval)
	if !core.pacing.started {
		core.pacing.share, core.pacing.started = fullPace, true
	}
	worst := 0.0
	for _, run := range core.runs {
		if run.TailLatencyTarget > 0 && run.state == running {
			worst = max(worst, float64(run.tail)/float64(run.TailLatencyTarget))
		}
	}
	switch {
	case worst > 1:
		core.pacing.share = 0
	case worst > tailHigh:
		core.pacing.share /= 2
	case worst < tailLow:
		core.pacing.share = min(fullPace, core.pacing.share+paceStep)
	}
	for _, run := range core.sorted() {
		if run.Opportunistic && run.state == running && run.asked != core.pacing.share {
			run.asked = core.pacing.share
			core.emit(ThrottleRun{Worker: core.worker.WorkerIdentity, Token: core.token, Run: run.Run, Percent: run.asked})
		}
	}
}

// HandleThrottleFailure records that an order to change a share may not have had effect; the next
// review repeats it.
func (core *Core) HandleThrottleFailure(effect ThrottleRun) {
	if run := core.runs[effect.Run]; run != nil {
		run.asked = -1
	}
}
