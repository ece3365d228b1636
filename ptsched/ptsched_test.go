package ptsched_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptorder"
	"github.com/primrosetiller/primrosetiller/ptplace"
	"github.com/primrosetiller/primrosetiller/ptreason"
	"github.com/primrosetiller/primrosetiller/ptsched"
)

const (
	start        = ptid.Instant(time.Hour)
	slots        = 2
	queueTimeout = 2 * time.Second
	quota        = 100
)

func newScheduler() (scheduler *ptsched.Scheduler, upstreams []*ptsched.Upstream) {
	scheduler = ptsched.New(ptsched.Setting{Placement: ptplace.LeastKnownLoad, Order: ptorder.FirstCome, MaxQueued: 100, Seed: 1})
	for _, name := range []ptid.AgentName{"first", "second"} {
		upstream, _ := scheduler.SessionOpened(name, 1, slots, ptplace.SameZone, start)
		upstreams = append(upstreams, upstream)
	}
	return scheduler, upstreams
}

func job() *ptorder.Job {
	return &ptorder.Job{ID: "job", Profile: "profile", Team: "team", Tasks: 1}
}

// The sessions of all agents end at once, and a job arrives before the agents have
// reconnected. The job must be admitted.
func TestJobsAreAdmittedWhileAgentsReconnect(test *testing.T) {
	expect := NewWithT(test)
	scheduler, upstreams := newScheduler()
	for _, upstream := range upstreams {
		scheduler.SessionClosed(upstream, start)
	}
	soon := start.Add(100 * time.Millisecond)
	expect.Expect(scheduler.Admit(job(), quota, queueTimeout, soon).Reason).To(BeEmpty())
	scheduler.Enqueue(job())
	allowAll := func(ptid.ProfileName, ptid.TeamName) bool { return true }
	commit := func(ptorder.Task, *ptsched.Upstream) (ptid.Attempt, bool) { return 1, true }
	expect.Expect(scheduler.Place(soon, allowAll, commit)).To(BeEmpty())
	scheduler.SessionOpened("first", 1, slots, ptplace.SameZone, soon)
	expect.Expect(scheduler.Place(soon, allowAll, commit)).To(HaveLen(1))
}

func TestJobsAreRefusedWithoutReconnectingAgents(test *testing.T) {
	expect := NewWithT(test)
	scheduler, upstreams := newScheduler()
	scheduler.UpdateStatus(upstreams[0], ptsched.SlotStatus{Draining: true}, start)
	scheduler.SessionClosed(upstreams[0], start)
	scheduler.SessionClosed(upstreams[1], start)
	expect.Expect(scheduler.Admit(job(), quota, queueTimeout, start.Add(ptlink.ReconnectTimeout)).Reason).To(BeEmpty())
	expect.Expect(scheduler.Admit(job(), quota, queueTimeout, start.Add(ptlink.ReconnectTimeout+1)).Reason).To(Equal(ptreason.NoUpstream))

	scheduler, upstreams = newScheduler()
	for _, upstream := range upstreams {
		scheduler.UpdateStatus(upstream, ptsched.SlotStatus{Draining: true}, start)
		scheduler.SessionClosed(upstream, start)
	}
	expect.Expect(scheduler.Admit(job(), quota, queueTimeout, start).Reason).To(Equal(ptreason.NoUpstream))
}
