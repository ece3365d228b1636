// Package ptcaller keeps the callers that wait for the best-effort jobs of an entry, and decides when
// they must be checked and which jobs are abandoned. It does no I/O; the callers are behind the interface
// [Caller].
//
// # How it works
//
//  1. Nothing is stored of a best-effort job. A caller whose connection breaks sends the job again, to any
//     entry, after the resubmission delay of the platform. By then no run of the first submission may be
//     active, and none may start.
//  2. The loss of a caller and the reasons to start a task reach an entry over different connections.
//     After a pause of the entry, or while it is short of processor time, the latter may be handled first.
//     Therefore the entry does not wait for news of a loss: it asks the connections of all callers
//     ([Roster.Check]) at least every [CheckInterval], before it handles anything else.
//  3. Before a check the entry reads its clock and converts the instant to the clock of each agent. After
//     the check, once the stops of the abandoned jobs are on their way, it confirms that instant to the
//     agents: every open job had a caller then, or later. The conversion must come first. If the entry
//     is suspended in between, the confirmed instant is too early, never too late.
//  4. An agent neither starts nor continues a run for longer than ptruncontrol.OwnerTimeout after the
//     confirmed instant, which is less than the resubmission delay. This holds wherever the entry is
//     paused, and wherever an order or a stop is delayed.
//  5. A caller is checked when it joins the roster ([Roster.Join]), so that the confirmation of a check
//     covers the jobs that are submitted after it.
//
// # Usage
//
//	if !roster.Join(job, caller) { … refuse the request … }
//	if roster.Leave(job, caller) { … cancel the job … }
//	roster.End(job)
//
//	if roster.IsCheckDue(now) {
//		instants := … now on the clock of each agent …
//		for _, abandoned := range roster.Check(now) { … cancel the job … }
//		… confirm the instants to the agents …
//	}
//
// # Limits
//
// A caller whose connection has gone silent is not known to be lost. Roster is not safe for concurrent
// use.
package ptcaller

import (
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// CheckInterval is the interval at which an entry checks its callers. A check asks the operating system
// once for each caller.
const CheckInterval = 50 * time.Millisecond

// Caller is a caller that waits for the end of a job.
type Caller interface {
	// IsConnected asks the connection itself whether the caller has closed it. It does not block.
	IsConnected() bool
}

// Roster contains the callers of the open best-effort jobs of an entry.
type Roster struct {
	callers map[ptid.JobID][]Caller
	// checkedAt is when the latest check began. nextCheckAt is when the next one is due.
	checkedAt, nextCheckAt ptid.Instant
}

// New returns an empty roster.
func New() *Roster { return &Roster{callers: make(map[ptid.JobID][]Caller)} }

// Join adds a caller of a job. It returns false and adds nothing if the caller is no longer connected.
func (roster *Roster) Join(job ptid.JobID, caller Caller) (joined bool) {
	if !caller.IsConnected() {
		return false
	}
	roster.callers[job] = append(roster.callers[job], caller)
	return true
}

// Callers returns the number of callers of a job.
func (roster *Roster) Callers(job ptid.JobID) int { return len(roster.callers[job]) }

// Leave removes a caller of a job. It reports whether the job is abandoned: the caller was its last one. It
// has no effect if a check has removed the caller, or the job has ended.
func (roster *Roster) Leave(job ptid.JobID, caller Caller) (abandoned bool) {
	callers := roster.callers[job]
	index := slices.Index(callers, caller)
	if index < 0 {
		return false
	}
	return roster.keep(job, slices.Delete(callers, index, index+1))
}

// End removes the callers of a job that has ended.
func (roster *Roster) End(job ptid.JobID) { delete(roster.callers, job) }

// keep sets the remaining callers of a job, and reports whether there are none.
func (roster *Roster) keep(job ptid.JobID, remaining []Caller) (abandoned bool) {
	if len(remaining) == 0 {
		delete(roster.callers, job)
		return true
	}
	roster.callers[job] = remaining
	return false
}

// IsCheckDue reports whether the callers must be checked before anything else is handled.
func (roster *Roster) IsCheckDue(now ptid.Instant) bool { return now >= roster.nextCheckAt }

// SinceCheck returns how long ago the latest check began; zero if there was none.
func (roster *Roster) SinceCheck(now ptid.Instant) time.Duration {
	if roster.checkedAt == 0 {
		return 0
	}
	return now.Sub(roster.checkedAt)
}

// Check asks all callers whether they are connected, and removes those that are not. It returns the jobs
// that are abandoned, sorted. now must have been read before.
func (roster *Roster) Check(now ptid.Instant) (abandoned []ptid.JobID) {
	roster.checkedAt, roster.nextCheckAt = now, now.Add(CheckInterval)
	for job, callers := range roster.callers {
		remaining := slices.DeleteFunc(callers, func(caller Caller) bool { return !caller.IsConnected() })
		if len(remaining) < len(callers) && roster.keep(job, remaining) {
			abandoned = append(abandoned, job)
		}
	}
	slices.Sort(abandoned)
	return abandoned
}
