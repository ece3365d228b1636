package ptfitness

import (
	"math"
	"time"
)

const (
	// recentDecay is the time constant with which evidence of the recent slowdown decays. It is
	// about the run time of a short task, so that one probe run suffices.
	recentDecay = 60 * time.Millisecond
	// minRecentWall is the least wall time of a single observation that may end the memory of a
	// slow period. Shorter observations are dominated by the rounding of the progress to percents.
	minRecentWall = 20 * time.Millisecond
	// A worker counts as recovered if its recent slowdown is below recoveredShare of the slowdown
	// over slowdownDecay. With 0.5, a worker that was
	// three times slower is found after a second only if its runs are shorter than expected.
	recoveredShare = 0.6
	// maxProbeRuns is the number of concurrent runs up to which a worker may be taken for
	// recovered at once. With more runs, the evidence of slowdownDecay is renewed within 200 ms.
	maxProbeRuns = 2
)

// recentEvidence is the evidence of the last moments: observed wall time and the work done in it,
// in seconds. It decays with recentDecay.
type recentEvidence struct{ wall, work float64 }

func (recent *recentEvidence) add(wall, work float64) {
	decay := math.Exp(-wall / recentDecay.Seconds())
	recent.wall, recent.work = recent.wall*decay+wall, recent.work*decay+work
}

func (recent *recentEvidence) slowdown() float64 {
	return recent.wall / max(recent.work, recent.wall/maxSlowdown)
}

// detectRecovery replaces the evidence of a slow period if the worker has since done as much work
// as a faster worker would.
//
// A worker in quarantine has one short run at a time, with pauses. These runs renew the evidence of
// slowdownDecay only after several seconds.
func (estimator *Estimator) detectRecovery(wall float64) {
	slowdown, recent := estimator.Assessment().Slowdown, estimator.recent.slowdown()
	if wall < minRecentWall.Seconds() || len(estimator.runs) > maxProbeRuns || !estimator.Assessment().NeedsProbes() || recent > recoveredShare*slowdown {
		return
	}
	estimator.work = priorWork.Seconds()
	estimator.wall = estimator.work * recent
}
