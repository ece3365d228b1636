package ptruncontrol

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// A run is a straggler if its progress shows that it will take stragglerFactor times its expected run time
	// on this worker, and the rest of it restartFactor times that and restartTime. Ordinary runs deviate from the
	// expected run time by 0.32 (standard deviation of the logarithm): one in ten thousand takes 3.5 times as
	// long. restartTime is the time to stop the run and to start the task elsewhere.
	stragglerFactor = 3.5
	restartFactor   = 2
	restartTime     = 30 * time.Millisecond
	// minStragglerTime is the least run time after which progress in percents tells enough.
	minStragglerTime = 20 * time.Millisecond
	// stragglerInterval is the least time between two stops on a worker. If many runs are that slow, the
	// worker is.
	stragglerInterval = 100 * time.Millisecond
	wholeRun          = 100
)

// StopStragglers makes the core stop stragglers. It is off by default: it helps only where a task that has
// straggled takes its ordinary time when it is started again. Otherwise the work is done twice.
func (core *Core) StopStragglers(enabled bool) { core.stopsStragglers = enabled }

// stopStraggler stops a run of a best-effort job that takes far longer than expected on a worker that is
// otherwise sound. Its entry starts the task again, mostly elsewhere.
//
// A job ends with its last task: if 3 % of the runs take seven times as long, 22 % of the jobs of eight tasks
// are late, and a fifth of the capacity is spent on these runs. Runs whose order names no queue are left
// alone: their entry does not use speeds, or has started the task again already.
func (core *Core) stopStraggler(run *run, percent int, now ptid.Instant) {
	if !core.stopsStragglers {
		return
	}
	// Without progress, or with the speed limit in its place, nothing is known.
	if percent <= 0 || percent >= wholeRun || run.Queue == "" || run.ExpectedRunTime <= 0 || run.isDurable() || run.isolated || run.Checkpoint != "" {
		return
	}
	elapsed := now.Sub(run.startedAt)
	if run.state != running || elapsed < minStragglerTime || now.Sub(core.straggledAt) < stragglerInterval || core.estimator.Assessment().Suspect() {
		return
	}
	expected := core.expectedHere(run)
	total := elapsed * wholeRun / time.Duration(percent+1)
	if total > time.Duration(stragglerFactor*float64(expected)) && total-elapsed > restartFactor*expected+restartTime {
		core.straggledAt = now
		core.emit(StragglerStopped{Run: run.Run, RunTime: elapsed, Percent: percent, Expected: expected})
		core.stop(run, ptrun.ReasonUnanswered, now)
	}
}

// StragglerStopped reports that a run is stopped because it would take far longer than expected.
type StragglerStopped struct {
	Run      ptrun.ID
	RunTime  time.Duration
	Percent  int
	Expected time.Duration
}

func (StragglerStopped) isEffect() {}
