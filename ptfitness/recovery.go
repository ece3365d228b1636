package ptfitness

import (
	"math"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
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
	// A recent slowdown below minPlausibleSlowdown comes from a wrong expected run time or from progress
	// that means something else.
	minPlausibleSlowdown = 0.3
	// maxProbeRuns is the number of concurrent runs up to which a worker may be taken for
	// recovered at once. With more runs, the evidence of slowdownDecay is renewed within 200 ms.
	maxProbeRuns = 2
)

// recentEvidence is the evidence of the last moments: observed wall time and the work done in it,
// in seconds. It decays with recentDecay.
type recentEvidence struct{ wall, work float64 }

// add adds an observation. Its own beginning has decayed as well, so that a single long run does not
// outweigh the runs that follow it.
func (recent *recentEvidence) add(wall, work float64) {
	decay := math.Exp(-wall / recentDecay.Seconds())
	weight := (1 - decay) * recentDecay.Seconds() / wall
	recent.wall, recent.work = recent.wall*decay+wall*weight, recent.work*decay+work*weight
}

func (recent *recentEvidence) slowdown() float64 {
	return recent.wall / max(recent.work, recent.wall/maxSlowdown)
}

const (
	// A run without progress is taken to be nearly done, by almostDone, once it has taken overdueFactor
	// times its expected run time.
	overdueFactor = 1.5
	almostDone    = 0.95
)

// recordWithoutProgress records that a run is active that is listed as done by 100 percent. Some workers
// report the speed limit of a run in place of its progress, which is 100 all the time. Such a run counts
// only once it is overdue: if it counted as done, a slow worker would look fast at the start of each run.
func (estimator *Estimator) recordWithoutProgress(id ptrun.ID, now ptid.Instant) {
	run := estimator.runs[id]
	if run == nil || run.done == 0 && now.Sub(run.observedAt) < time.Duration(overdueFactor*float64(run.expected)) {
		return
	}
	estimator.recordProgress(id, max(run.done, almostDone), now)
}

// recentObservation is the part of a run that has been counted in the recent evidence.
type recentObservation struct {
	done float64
	at   ptid.Instant
}

// recordRecent adds the progress of a run to the recent evidence.
//
// Progress of 0 or 100 percent is left out until the next observation, because not all workers report
// the progress.
func (estimator *Estimator) recordRecent(id ptrun.ID, done float64, now ptid.Instant) {
	run := estimator.runs[id]
	if run == nil || run.resumed || now <= run.recent.at || done < run.recent.done {
		return
	}
	wall := now.Sub(run.recent.at).Seconds()
	estimator.recent.add(wall, (done-run.recent.done)*run.expected.Seconds())
	run.recent = recentObservation{done: done, at: now}
	estimator.detectRecovery(wall)
}

// detectRecovery replaces the evidence of a slow period if the worker has since done as much work
// as a faster worker would.
//
// A worker in quarantine has one short run at a time, with pauses. These runs renew the evidence of
// slowdownDecay only after several seconds.
func (estimator *Estimator) detectRecovery(wall float64) {
	assessment, recent := estimator.Assessment(), estimator.recent.slowdown()
	if wall < minRecentWall.Seconds() || len(estimator.runs) > maxProbeRuns || !assessment.NeedsProbes() {
		return
	}
	if recent >= minPlausibleSlowdown && recent <= recoveredShare*assessment.Slowdown {
		estimator.work = priorWork.Seconds()
		estimator.wall = estimator.work * recent
	}
}
