package ptadmit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptadmit"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptreason"
)

func TestDecide(t *testing.T) {
	base := ptadmit.Request{
		Tasks: 10, WaitingTeams: 1, MaxQueued: 1000, Slots: 10, FreeSlots: 10, Quota: 1 << 20, RunTime: 100 * time.Millisecond, QueueTimeout: time.Second,
	}
	for name, test := range map[string]struct {
		change func(request *ptadmit.Request)
		reason ptreason.Reason
	}{
		"idle":                                   {func(*ptadmit.Request) {}, ""},
		"no upstream":                            {func(r *ptadmit.Request) { r.Slots = 0 }, ptreason.NoUpstream},
		"quota zero":                             {func(r *ptadmit.Request) { r.Quota = 0 }, ptreason.QuotaZero},
		"queue full":                             {func(r *ptadmit.Request) { r.MaxQueued = 9 }, ptreason.QueueFull},
		"no run time or rate known":              {func(r *ptadmit.Request) { r.RunTime, r.Queued, r.TeamQueued = 0, 500, 500 }, ""},
		"wait too long by the run time":          {func(r *ptadmit.Request) { r.FreeSlots, r.Queued, r.TeamQueued = 0, 100, 100 }, ptreason.PredictedWait},
		"wait too long by the rate":              {func(r *ptadmit.Request) { r.FreeSlots, r.Queued, r.TeamQueued, r.Rate = 0, 30, 30, 20 }, ptreason.PredictedWait},
		"another team has many queued tasks":     {func(r *ptadmit.Request) { r.FreeSlots, r.Queued, r.WaitingTeams = 0, 900, 2 }, ""},
		"the quota allows too few tasks at once": {func(r *ptadmit.Request) { r.Quota = 1 }, ptreason.PredictedWait},
	} {
		request := base
		test.change(&request)
		refusal := ptadmit.Decide(request)
		NewWithT(t).Expect(refusal.Reason).To(Equal(test.reason), name)
		if test.reason != "" {
			NewWithT(t).Expect(refusal.RetryAfter).To(BeNumerically(">=", ptadmit.MinRetryAfter), name)
		}
	}
}

func TestMeter(t *testing.T) {
	expect := NewWithT(t)
	var meter ptadmit.Meter
	now := ptid.Instant(time.Hour)
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		meter.TasksEnded(1, true, now)
	}
	expect.Expect(meter.Rate(now)).To(BeNumerically("~", 100, 5))
	var fresh ptadmit.Meter
	for range 3 {
		now = now.Add(300 * time.Millisecond)
		fresh.TasksEnded(1, true, now)
	}
	expect.Expect(fresh.Rate(now)).To(BeZero(), "a few completions at the start of a busy period give no rate")
	meter.TasksEnded(1, false, now)
	expect.Expect(meter.Rate(now.Add(time.Minute))).To(BeZero(), "an old rate has expired")
}
