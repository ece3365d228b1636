// Package pthealth detects unhealthy upstreams from the results of their tasks and
// quarantines them. It has no I/O and sends no messages.
//
// # How it works
//
//  1. An upstream is quarantined in three cases: after [FailureThreshold] consecutive
//     failures; if its answers, at least [MinSlowSamples] of them, take on average
//     [SlowAverageFactor] times the learned run time of their profiles; or if it hangs. An
//     upstream hangs if its oldest task has been outstanding, and the upstream has sent no
//     answer, for [HangFactor] times the learned run time and at least for [MinHangTime].
//  2. A quarantine ends with a probe: a single real task. If the probe succeeds, the
//     upstream is healthy again. If the probe fails, the upstream is quarantined again for
//     twice as long as before, up to [MaxQuarantine].
//  3. At most 1/[MaxQuarantinedDivisor] of a service's slots are in quarantine. If more
//     upstreams fail, the cause lies elsewhere, and a quarantine would only move the load
//     to the remaining upstreams. Upstreams beyond this limit therefore keep getting
//     tasks.
//  4. An upstream that its agent can't reach is quarantined at once, regardless of
//     rule 3: it runs none of its tasks, so it carries no load. Its probes are returned
//     as not run and are placed on another upstream.
//  5. Run times are learned for each profile; declared run times are not used.
//
// If an upstream fails every task, the failed tasks of each entry are therefore at most
// FailureThreshold tasks, the tasks that are outstanding when the quarantine begins, and
// one task per probe.
//
// # Usage
//
//	tracker.RecordAnswer(upstream, profile, runTime, now)
//	tracker.RecordFailure(upstream, now)
//	switch tracker.Status(upstream, now) { … }
package pthealth

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// FailureThreshold is the number of consecutive failures that leads to quarantine.
	FailureThreshold = 5
	// SlowAverageFactor is the average slowdown (the run time as a multiple of the learned
	// run time) above which an upstream is quarantined.
	SlowAverageFactor = 4
	// MinSlowSamples is how many answers the average slowdown must include before it can
	// cause a quarantine.
	MinSlowSamples = 20
	// SlowAnswerFactor is the multiple of the learned run time above which a single
	// answer is slow. A slow answer fails a probe, and it has little weight in the
	// learned run time.
	SlowAnswerFactor = 5
	// HangFactor is the multiple of the learned run time after which an outstanding task
	// counts as hanging, provided that MinHangTime has also passed.
	HangFactor = 20
	// MinHangTime is the minimum time after which an outstanding task counts as hanging.
	MinHangTime = 2 * time.Second
	// InitialQuarantine is the duration of the quarantine of an upstream that was healthy
	// before. A failed probe doubles the duration.
	InitialQuarantine = 2 * time.Second
	// InitialUnreachableQuarantine replaces InitialQuarantine if the agent can't reach the
	// upstream.
	InitialUnreachableQuarantine = 250 * time.Millisecond
	// MaxQuarantine is the maximum duration of a quarantine.
	MaxQuarantine = time.Minute
	// MaxQuarantinedDivisor limits the slots in quarantine: at most all slots of the
	// service divided by this number.
	MaxQuarantinedDivisor = 3
	// minSlowdownWeight is the minimum weight of the newest answer in the average slowdown
	// of an upstream. The first answers have a higher weight: 1 divided by their number.
	minSlowdownWeight = 0.05
	// learnWeight is the weight of the newest answer in the learned run time.
	learnWeight = 0.05
	// slowLearnWeight is the weight of a slow answer in the learned run time.
	slowLearnWeight = 0.005
	// minSlowSeconds is a run time in seconds. An answer with at most this run time never
	// counts as slow. When a slowdown is computed, a learned run time below minSlowSeconds
	// is replaced by minSlowSeconds.
	minSlowSeconds = 0.05
)

// Status is the health status of an upstream.
type Status uint8

const (
	// Healthy upstreams get tasks.
	Healthy Status = iota
	// Quarantined upstreams get no tasks.
	Quarantined
	// Probing upstreams get a single task, the probe.
	Probing
)

type upstream struct {
	slots               int
	consecutiveFailures int
	// slowdown is the moving average of the ratio of actual to learned run time. samples is
	// the number of answers that the average includes.
	slowdown         float64
	samples          int
	quarantinedUntil ptid.Instant
	// quarantineTime is the duration of the current quarantine, or of the next quarantine
	// if the upstream is not quarantined.
	quarantineTime time.Duration
	// quarantined stays true during the probe after quarantinedUntil.
	quarantined bool
}

// Tracker tracks the health of the upstreams of one service. It is not safe for
// concurrent use.
type Tracker struct {
	upstreams      map[ptid.AgentName]*upstream
	learnedSeconds map[ptid.ProfileName]float64
}

// New returns a tracker without upstreams.
func New() *Tracker {
	return &Tracker{upstreams: make(map[ptid.AgentName]*upstream), learnedSeconds: make(map[ptid.ProfileName]float64)}
}

// Add adds a healthy upstream. The state of an earlier incarnation with the same name is
// discarded.
func (tracker *Tracker) Add(name ptid.AgentName, slots int) {
	tracker.upstreams[name] = &upstream{slots: slots, quarantineTime: InitialQuarantine}
}

// Remove removes an upstream.
func (tracker *Tracker) Remove(name ptid.AgentName) { delete(tracker.upstreams, name) }

// LearnedRunTime returns the learned run time of a profile, or zero if none of its tasks
// has been answered.
func (tracker *Tracker) LearnedRunTime(profile ptid.ProfileName) time.Duration {
	return time.Duration(tracker.learnedSeconds[profile] * float64(time.Second))
}

// RecordAnswer records a complete answer and the run time of its task.
func (tracker *Tracker) RecordAnswer(name ptid.AgentName, profile ptid.ProfileName, runTime time.Duration, now ptid.Instant) {
	seconds, known := tracker.learnedSeconds[profile]
	slow := known && runTime.Seconds() > minSlowSeconds && runTime.Seconds() > SlowAnswerFactor*seconds
	tracker.learn(profile, runTime.Seconds(), known, slow)
	found := tracker.upstreams[name]
	if found == nil {
		return
	}
	found.consecutiveFailures = 0
	switch {
	case found.quarantined && slow:
		tracker.quarantine(found, now)
	case found.quarantined:
		found.quarantined, found.quarantineTime = false, InitialQuarantine
		found.slowdown, found.samples = 1, 0
	case known:
		found.samples++
		sample := runTime.Seconds() / max(seconds, minSlowSeconds)
		found.slowdown += max(minSlowdownWeight, 1/float64(found.samples)) * (sample - found.slowdown)
		if found.samples >= MinSlowSamples && found.slowdown > SlowAverageFactor {
			tracker.quarantine(found, now)
		}
	}
}

// learn adds a run time to the moving average of a profile. A slow run time has little
// weight and is capped at SlowAnswerFactor times the average: a single slow upstream must
// not raise the average, but a slowdown of all upstreams must.
func (tracker *Tracker) learn(profile ptid.ProfileName, seconds float64, known, slow bool) {
	learned := tracker.learnedSeconds[profile]
	switch {
	case !known:
		tracker.learnedSeconds[profile] = seconds
	case slow:
		tracker.learnedSeconds[profile] += slowLearnWeight * (min(seconds, SlowAnswerFactor*learned) - learned)
	default:
		tracker.learnedSeconds[profile] += learnWeight * (seconds - learned)
	}
}

// RecordFailure records a task that has failed at an upstream, or that was still
// outstanding there at the deadline of its job.
func (tracker *Tracker) RecordFailure(name ptid.AgentName, now ptid.Instant) {
	found := tracker.upstreams[name]
	if found == nil {
		return
	}
	found.consecutiveFailures++
	if found.consecutiveFailures >= FailureThreshold || found.quarantined {
		tracker.quarantine(found, now)
	}
}

// RecordUnreachable records a task that an agent could not send to its upstream.
func (tracker *Tracker) RecordUnreachable(name ptid.AgentName, now ptid.Instant) {
	found := tracker.upstreams[name]
	switch {
	case found == nil:
	case !found.quarantined:
		found.quarantined, found.quarantineTime = true, InitialUnreachableQuarantine
		found.quarantinedUntil = now.Add(found.quarantineTime)
	default:
		tracker.quarantine(found, now)
	}
}

// CheckHang quarantines an upstream if the time since the given instant exceeds the hang
// limit of the profile (rule 1). since is when the oldest outstanding task was sent or when
// the upstream last answered, whichever is later. The owner calls it at a fixed interval.
func (tracker *Tracker) CheckHang(name ptid.AgentName, profile ptid.ProfileName, since, now ptid.Instant) {
	found := tracker.upstreams[name]
	if found == nil || found.quarantined {
		return
	}
	limit := max(MinHangTime, HangFactor*tracker.LearnedRunTime(profile))
	if now.Sub(since) > limit {
		tracker.quarantine(found, now)
	}
}

func (tracker *Tracker) quarantine(found *upstream, now ptid.Instant) {
	if found.quarantined {
		if now < found.quarantinedUntil {
			return
		}
		found.quarantineTime = min(2*found.quarantineTime, MaxQuarantine)
	} else if !tracker.mayQuarantine(found) {
		return
	}
	found.quarantined = true
	found.quarantinedUntil = now.Add(found.quarantineTime)
}

// mayQuarantine reports whether rule 3 allows an upstream to be quarantined.
func (tracker *Tracker) mayQuarantine(candidate *upstream) bool {
	total, quarantined := 0, candidate.slots
	for _, other := range tracker.upstreams {
		total += other.slots
		if other.quarantined {
			quarantined += other.slots
		}
	}
	return quarantined*MaxQuarantinedDivisor <= total
}

// Status returns the health status of an upstream. An unknown upstream is healthy.
func (tracker *Tracker) Status(name ptid.AgentName, now ptid.Instant) Status {
	found := tracker.upstreams[name]
	switch {
	case found == nil || !found.quarantined:
		return Healthy
	case now < found.quarantinedUntil:
		return Quarantined
	default:
		return Probing
	}
}

// QuarantinedCount returns how many upstreams are quarantined or probing.
func (tracker *Tracker) QuarantinedCount() (count int) {
	for _, found := range tracker.upstreams {
		if found.quarantined {
			count++
		}
	}
	return count
}
