package pthealth_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/pthealth"
	"github.com/primrosetiller/primrosetiller/ptid"
)

const now = ptid.Instant(time.Hour)

func newTracker(upstreams ...ptid.AgentName) *pthealth.Tracker {
	tracker := pthealth.New()
	for _, name := range upstreams {
		tracker.Add(name, 8)
	}
	return tracker
}

func recordFailures(tracker *pthealth.Tracker, name ptid.AgentName, count int, at ptid.Instant) {
	for range count {
		tracker.RecordFailure(name, at)
	}
}

func TestConsecutiveFailuresAndProbe(t *testing.T) {
	expect := NewWithT(t)
	tracker := newTracker("a", "b", "c", "d")
	recordFailures(tracker, "a", pthealth.FailureThreshold-1, now)
	expect.Expect(tracker.Status("a", now)).To(Equal(pthealth.Healthy))
	tracker.RecordAnswer("a", "p", time.Millisecond, now)
	recordFailures(tracker, "a", pthealth.FailureThreshold, now)
	expect.Expect(tracker.Status("a", now)).To(Equal(pthealth.Quarantined))
	later := now.Add(pthealth.InitialQuarantine)
	expect.Expect(tracker.Status("a", later)).To(Equal(pthealth.Probing))
	tracker.RecordFailure("a", later)
	expect.Expect(tracker.Status("a", later.Add(pthealth.InitialQuarantine))).To(Equal(pthealth.Quarantined), "a failed probe doubles the quarantine")
	later = later.Add(2 * pthealth.InitialQuarantine)
	expect.Expect(tracker.Status("a", later)).To(Equal(pthealth.Probing))
	tracker.RecordAnswer("a", "p", time.Millisecond, later)
	expect.Expect(tracker.Status("a", later)).To(Equal(pthealth.Healthy))
}

func TestQuarantineIsLimitedToAThirdOfTheSlots(t *testing.T) {
	expect := NewWithT(t)
	tracker := newTracker("a", "b", "c", "d", "e", "f")
	for _, name := range []ptid.AgentName{"a", "b", "c", "d", "e", "f"} {
		recordFailures(tracker, name, 3*pthealth.FailureThreshold, now)
	}
	expect.Expect(tracker.QuarantinedCount()).To(Equal(2), "at most a third of the slots")
}

func TestUnreachableUpstreamIsQuarantinedAtOnce(t *testing.T) {
	expect := NewWithT(t)
	tracker := newTracker("a")
	tracker.RecordUnreachable("a", now)
	expect.Expect(tracker.Status("a", now)).To(Equal(pthealth.Quarantined), "even if it is the only upstream")
	expect.Expect(tracker.Status("a", now.Add(pthealth.InitialUnreachableQuarantine))).To(Equal(pthealth.Probing))
}

func TestSlowAndHangingUpstreamsAreQuarantined(t *testing.T) {
	expect := NewWithT(t)
	slow := newTracker("a", "b", "c")
	for range 200 {
		slow.RecordAnswer("b", "p", 100*time.Millisecond, now)
	}
	for i := range pthealth.MinSlowSamples {
		// Only half of the answers of upstream a exceed the learned run time by the factor
		// SlowAnswerFactor.
		slow.RecordAnswer("a", "p", time.Duration(300+i%2*1200)*time.Millisecond, now)
		slow.RecordAnswer("b", "p", 100*time.Millisecond, now)
		slow.RecordAnswer("c", "p", time.Duration(50+i%2*400)*time.Millisecond, now)
	}
	expect.Expect(slow.Status("c", now)).To(Equal(pthealth.Healthy), "a wide spread of run times is not slow")
	expect.Expect(slow.Status("a", now)).To(Equal(pthealth.Quarantined))
	hanging := newTracker("a", "b", "c")
	hanging.RecordAnswer("b", "p", 50*time.Millisecond, now)
	hanging.CheckHang("a", "p", now, now.Add(pthealth.MinHangTime))
	expect.Expect(hanging.Status("a", now)).To(Equal(pthealth.Healthy))
	hanging.CheckHang("a", "p", now, now.Add(pthealth.MinHangTime+1))
	expect.Expect(hanging.Status("a", now.Add(pthealth.MinHangTime+1))).To(Equal(pthealth.Quarantined))
}
