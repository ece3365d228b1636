package ptruncontrol

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// LostRun is a run that was active on a worker when the worker fell silent.
type LostRun struct {
	Run ptrun.ID
	// RunTime is how long the run had been active at the latest listing.
	RunTime time.Duration
	// Confirmed is true if the worker had confirmed that it executes the run.
	Confirmed bool
}

// WorkerCrashed reports that an incarnation of the worker has ended without announcing it, while runs
// were active on it. Runs are sorted by run time, the latest start first.
type WorkerCrashed struct {
	Worker, Next ptrun.WorkerIdentity
	Runs         []LostRun
}

// WorkerResumed reports that a worker responds again after its runs were declared lost. It has not
// crashed.
type WorkerResumed struct {
	Worker ptrun.WorkerIdentity
	Lost   int
}

func (WorkerCrashed) isEffect() {}
func (WorkerResumed) isEffect() {}

// activeTime returns how long a run was active until the latest listing. Its worker may have fallen
// silent any time later.
func (core *Core) activeTime(run *run) time.Duration {
	if run.crash != "" {
		return run.crashRunTime
	}
	return max(0, core.listedAt.Sub(run.startedAt))
}

// markCrashed records for the runs on the previous incarnation, which has the same ID as its
// successor, that they are lost unless the successor executes them.
func (core *Core) markCrashed() {
	for _, run := range core.runs {
		if run.holdsCapacity() {
			run.crashRunTime = core.activeTime(run)
			run.crash = core.crashReason(run)
		}
	}
}

// reportCrash reports the runs that were active on the previous incarnation of the worker, unless it
// had announced its end.
func (core *Core) reportCrash(next ptrun.WorkerIdentity, now ptid.Instant) {
	lost := core.lost
	core.lost = nil
	if core.worker.Draining {
		return
	}
	for _, run := range lost {
		if !run.Confirmed {
			continue
		}
		core.noticeCrash(ptrun.End{
			Run: run.Run, Result: ptrun.Lost, Reason: ptrun.ReasonWorkerCrashed, RunTime: run.RunTime, Worker: core.worker.ID,
		}, now, now)
	}
	for _, run := range core.runs {
		if run.holdsCapacity() {
			lost = append(lost, LostRun{Run: run.Run, RunTime: core.activeTime(run), Confirmed: run.confirmed})
		}
	}
	if len(lost) == 0 {
		return
	}
	slices.SortFunc(lost, func(left, right LostRun) int {
		return cmp.Or(cmp.Compare(left.RunTime, right.RunTime), ptrun.Compare(left.Run, right.Run))
	})
	core.emit(WorkerCrashed{Worker: core.worker.WorkerIdentity, Next: next, Runs: lost})
}

// reportResumed reports that the runs that were declared lost with the lease were not lost in a crash.
func (core *Core) reportResumed() {
	if len(core.lost) > 0 {
		core.emit(WorkerResumed{Worker: core.worker.WorkerIdentity, Lost: len(core.lost)})
		core.lost = nil
	}
}

// crashNotice is the end of a durable run that was lost in a crash. It is sent until its owner has
// stored it, since the count of these ends limits the starts of the task.
type crashNotice struct {
	end             ptrun.End
	at              ptid.Instant
	nextBroadcastAt ptid.Instant
}

// noticeCrash keeps the end of a durable run that was lost in a crash for its owner.
func (core *Core) noticeCrash(end ptrun.End, nextBroadcastAt, now ptid.Instant) {
	if ptjobstore.IsDurable(end.Run.Number) && (end.Reason == ptrun.ReasonWorkerCrashed || end.Reason == ptrun.ReasonCrashedWorker) {
		core.crashNotices[end.Run] = &crashNotice{end: end, at: now, nextBroadcastAt: nextBroadcastAt}
	}
}

// broadcastCrashes sends the crash notices that are due to all entries.
func (core *Core) broadcastCrashes(now ptid.Instant) {
	for _, id := range slices.SortedFunc(maps.Keys(core.crashNotices), ptrun.Compare) {
		switch notice := core.crashNotices[id]; {
		case now.Sub(notice.at) > maxEndRetention:
			delete(core.crashNotices, id)
		case now >= notice.nextBroadcastAt:
			notice.nextBroadcastAt = now.Add(rebroadcastInterval)
			core.emit(BroadcastEnd{End: notice.end})
		}
	}
}
