// Package pthealth decides from answers alone which upstreams get no work. It
// has no I/O and sends no messages.
//
// # How it works
//
//  1. An upstream goes into quarantine after [FailureThreshold] failures in a row, where its
//     answers take [SlowAverageFactor] times the learned run time of their profiles on average,
//     over [MinSlowSamples] answers at least, or where its oldest task is out for [HangFactor] times
//     the learned run time (at least [MinHangTime]) and nothing has come back since.
//  2. A quarantine ends with a probe: a single real task. Its success readmits the
//     upstream; its failure doubles the wait, up to [MaxQuarantine].
//  3. At most [MaxQuarantinedDivisor] of a service's slots are in quarantine. Where more
//     upstreams fail, the cause lies elsewhere, and taking them out would only move
//     the load to the rest. So upstreams that are all bad at once all stay.
//  4. An upstream that its agent can't reach goes into quarantine at once, whatever
//     rule 3 says: nothing of what it gets is run, so it carries no load. Its probes
//     come back as not run and are placed elsewhere.
//  5. Run times are learned for each profile; declared ones are not used.
//
// A black hole therefore fails at most StreakLimit tasks and what it had
// outstanding, for each entry, and one more for each probe.
//
// # Usage
//
//	tracker.Answered(upstream, profile, run, now)
//	tracker.Failed(upstream, now)
//	switch tracker.Status(upstream, now) { … }
package pthealth

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// FailureThreshold is how many failures in a row lead to quarantine.
	FailureThreshold = 5
	// SlowAverageFactor is how many times the learned run time an upstream may take on average.
	SlowAverageFactor = 4
	// MinSlowSamples is how many answers an average needs.
	MinSlowSamples = 20
	// SlowAnswerFactor is how much slower than learned a single answer is slow: a probe that
	// is fails, and it teaches little.
	SlowAnswerFactor = 5
	// HangFactor is how much longer than learned a task may be out.
	HangFactor = 20
	// MinHangTime is the least time after which an upstream can count as hanging.
	MinHangTime = 2 * time.Second
	// InitialQuarantine is the length of the first quarantine.
	InitialQuarantine = 2 * time.Second
	// InitialUnreachableQuarantine is the length of the first quarantine of an upstream that
	// can't be reached.
	InitialUnreachableQuarantine = 250 * time.Millisecond
	// MaxQuarantine bounds the doubling.
	MaxQuarantine = time.Minute
	// MaxQuarantinedDivisor is the largest part of the slots in quarantine, as a divisor.
	MaxQuarantinedDivisor = 3
	// paceRate is the least weight of the newest answer in an upstream's pace.
	paceRate = 0.05
	// learnRate is the weight of the newest run time.
	learnRate = 0.05
	// slowLearnRate is the weight of a slow one.
	slowLearnRate = 0.005
	// slowFloor is the run time in seconds below which nothing counts as slow.
	slowFloor = 0.05
)

// Status is what an upstream may get.
type Status uint8

const (
	// Healthy upstreams get work.
	Healthy Status = iota
	// Quarantined upstreams get none.
	Quarantined
	// Probing upstreams get a single task.
	Probing
)

type upstream struct {
	slots    int
	failures int
	// pace is the average of run times over the learned ones.
	pace       float64
	samples    int
	until      ptid.Instant
	length     time.Duration
	quarantine bool
}

// Tracker follows the upstreams of one service. It is not safe for concurrent use.
type Tracker struct {
	upstreams map[ptid.AgentName]*upstream
	learned   map[ptid.ProfileName]float64
}

// New returns a tracker without upstreams.
func New() *Tracker {
	return &Tracker{upstreams: make(map[ptid.AgentName]*upstream), learned: make(map[ptid.ProfileName]float64)}
}

// Add adds an upstream, as healthy. What is known of its name is forgotten: a
// new incarnation starts anew.
func (tracker *Tracker) Add(name ptid.AgentName, slots int) {
	tracker.upstreams[name] = &upstream{slots: slots, length: InitialQuarantine}
}

// Remove forgets an upstream.
func (tracker *Tracker) Remove(name ptid.AgentName) { delete(tracker.upstreams, name) }

// LearnedRunTime returns the learned run time of a profile; zero where there is none.
func (tracker *Tracker) LearnedRunTime(profile ptid.ProfileName) time.Duration {
	return time.Duration(tracker.learned[profile] * float64(time.Second))
}

// RecordAnswer records a whole answer and how long its task ran.
func (tracker *Tracker) RecordAnswer(name ptid.AgentName, profile ptid.ProfileName, run time.Duration, now ptid.Instant) {
	seconds, known := tracker.learned[profile]
	slow := known && run.Seconds() > slowFloor && run.Seconds() > SlowAnswerFactor*seconds
	tracker.learn(profile, run.Seconds(), known, slow)
	found := tracker.upstreams[name]
	if found == nil {
		return
	}
	found.failures = 0
	switch {
	case found.quarantine && slow:
		tracker.isolate(found, now)
	case found.quarantine:
		found.quarantine, found.length = false, InitialQuarantine
		found.pace, found.samples = 1, 0
	case known:
		found.samples++
		sample := run.Seconds() / max(seconds, slowFloor)
		found.pace += max(paceRate, 1/float64(found.samples)) * (sample - found.pace)
		if found.samples >= MinSlowSamples && found.pace > SlowAverageFactor {
			tracker.isolate(found, now)
		}
	}
}

// learn takes in a run time. Slow ones count little, and no more than just slow: one
// bad upstream must not teach that its pace is the usual one, while a change of all
// of them is still learned.
func (tracker *Tracker) learn(profile ptid.ProfileName, seconds float64, known, slow bool) {
	learned := tracker.learned[profile]
	switch {
	case !known:
		tracker.learned[profile] = seconds
	case slow:
		tracker.learned[profile] += slowLearnRate * (min(seconds, SlowAnswerFactor*learned) - learned)
	default:
		tracker.learned[profile] += learnRate * (seconds - learned)
	}
}

// RecordFailure records a task that failed at an upstream, or that it could not take.
func (tracker *Tracker) RecordFailure(name ptid.AgentName, now ptid.Instant) {
	found := tracker.upstreams[name]
	if found == nil {
		return
	}
	found.failures++
	if found.failures >= FailureThreshold || found.quarantine {
		tracker.isolate(found, now)
	}
}

// RecordUnreachable records a task that an agent could not hand to its upstream.
func (tracker *Tracker) RecordUnreachable(name ptid.AgentName, now ptid.Instant) {
	found := tracker.upstreams[name]
	switch {
	case found == nil:
	case !found.quarantine:
		found.quarantine, found.length = true, InitialUnreachableQuarantine
		found.until = now.Add(found.length)
	default:
		tracker.isolate(found, now)
	}
}

// CheckHang tells of the oldest task that is out at an upstream since it was
// last heard of. The owner calls it at a steady pace.
func (tracker *Tracker) CheckHang(name ptid.AgentName, profile ptid.ProfileName, since, now ptid.Instant) {
	found := tracker.upstreams[name]
	if found == nil || found.quarantine {
		return
	}
	limit := max(MinHangTime, HangFactor*tracker.LearnedRunTime(profile))
	if now.Sub(since) > limit {
		tracker.isolate(found, now)
	}
}

func (tracker *Tracker) isolate(found *upstream, now ptid.Instant) {
	if found.quarantine {
		if now < found.until {
			return
		}
		found.length = min(2*found.length, MaxQuarantine)
	} else if !tracker.mayIsolate(found) {
		return
	}
	found.quarantine = true
	found.until = now.Add(found.length)
}

// mayIsolate keeps rule 3.
func (tracker *Tracker) mayIsolate(candidate *upstream) bool {
	all, isolated := 0, candidate.slots
	for _, other := range tracker.upstreams {
		all += other.slots
		if other.quarantine {
			isolated += other.slots
		}
	}
	return isolated*MaxQuarantinedDivisor <= all
}

// Status returns what an upstream may get now.
func (tracker *Tracker) Status(name ptid.AgentName, now ptid.Instant) Status {
	found := tracker.upstreams[name]
	switch {
	case found == nil || !found.quarantine:
		return Healthy
	case now < found.until:
		return Quarantined
	default:
		return Probing
	}
}

// QuarantinedCount returns how many upstreams are in quarantine.
func (tracker *Tracker) QuarantinedCount() (count int) {
	for _, found := range tracker.upstreams {
		if found.quarantine {
			count++
		}
	}
	return count
}
