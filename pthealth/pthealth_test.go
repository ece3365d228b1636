package pthealth_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/pthealth"
	"github.com/primrosetiller/primrosetiller/ptid"
)

const now = ptid.Instant(time.Hour)

func tracker(upstreams ...ptid.AgentName) *pthealth.Tracker {
	made := pthealth.New()
	for _, name := range upstreams {
		made.Add(name, 8)
	}
	return made
}

func fail(tracker *pthealth.Tracker, name ptid.AgentName, count int, at ptid.Instant) {
	for range count {
		tracker.RecordFailure(name, at)
	}
}

func TestBlackHoleAndProbe(t *testing.T) {
	expect := NewWithT(t)
	made := tracker("a", "b", "c", "d")
	fail(made, "a", pthealth.FailureThreshold-1, now)
	expect.Expect(made.Status("a", now)).To(Equal(pthealth.Healthy))
	made.RecordAnswer("a", "p", time.Millisecond, now)
	fail(made, "a", pthealth.FailureThreshold, now)
	expect.Expect(made.Status("a", now)).To(Equal(pthealth.Quarantined))
	later := now.Add(pthealth.InitialQuarantine)
	expect.Expect(made.Status("a", later)).To(Equal(pthealth.Probing))
	made.RecordFailure("a", later)
	expect.Expect(made.Status("a", later.Add(pthealth.InitialQuarantine))).To(Equal(pthealth.Quarantined), "a failed probe doubles the wait")
	later = later.Add(2 * pthealth.InitialQuarantine)
	expect.Expect(made.Status("a", later)).To(Equal(pthealth.Probing))
	made.RecordAnswer("a", "p", time.Millisecond, later)
	expect.Expect(made.Status("a", later)).To(Equal(pthealth.Healthy))
}

func TestAllBadStay(t *testing.T) {
	expect := NewWithT(t)
	made := tracker("a", "b", "c", "d", "e", "f")
	for _, name := range []ptid.AgentName{"a", "b", "c", "d", "e", "f"} {
		fail(made, name, 3*pthealth.FailureThreshold, now)
	}
	expect.Expect(made.QuarantinedCount()).To(Equal(2), "a third of the slots at the most")
}

func TestUnreachableGoesAtOnce(t *testing.T) {
	expect := NewWithT(t)
	made := tracker("a")
	made.RecordUnreachable("a", now)
	expect.Expect(made.Status("a", now)).To(Equal(pthealth.Quarantined), "also where it is the only one")
	expect.Expect(made.Status("a", now.Add(pthealth.InitialUnreachableQuarantine))).To(Equal(pthealth.Probing))
}

func TestSlowAndHanging(t *testing.T) {
	expect := NewWithT(t)
	made := tracker("a", "b", "c")
	for range 200 {
		made.RecordAnswer("b", "p", 100*time.Millisecond, now)
	}
	for i := range pthealth.MinSlowSamples {
		// Half of its answers are not slow by themselves.
		made.RecordAnswer("a", "p", time.Duration(300+i%2*1200)*time.Millisecond, now)
		made.RecordAnswer("b", "p", 100*time.Millisecond, now)
		made.RecordAnswer("c", "p", time.Duration(50+i%2*400)*time.Millisecond, now)
	}
	expect.Expect(made.Status("c", now)).To(Equal(pthealth.Healthy), "a wide spread is not slow")
	expect.Expect(made.Status("a", now)).To(Equal(pthealth.Quarantined))
	hanging := tracker("a", "b", "c")
	hanging.RecordAnswer("b", "p", 50*time.Millisecond, now)
	hanging.CheckHang("a", "p", now, now.Add(pthealth.MinHangTime))
	expect.Expect(hanging.Status("a", now)).To(Equal(pthealth.Healthy))
	hanging.CheckHang("a", "p", now, now.Add(pthealth.MinHangTime+1))
	expect.Expect(hanging.Status("a", now.Add(pthealth.MinHangTime+1))).To(Equal(pthealth.Quarantined))
}
