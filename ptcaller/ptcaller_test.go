package ptcaller_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptcaller"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

const start = ptid.Instant(time.Hour)

func TestCheckReturnsTheJobsWhoseCallersHaveAllLeft(test *testing.T) {
	expect, roster := NewWithT(test), ptcaller.New()
	var callers []*ptstandin.Caller
	for _, job := range []ptid.JobID{"b", "a", "a", "c", "d"} {
		caller := &ptstandin.Caller{}
		expect.Expect(roster.Join(job, caller)).To(BeTrue())
		callers = append(callers, caller)
	}
	for _, gone := range []int{0, 1, 3} {
		callers[gone].Leave()
	}
	expect.Expect(roster.Check(start)).To(Equal([]ptid.JobID{"b", "c"}))
	expect.Expect(roster.Check(start)).To(BeEmpty(), "each job is returned once")
	expect.Expect(roster.Leave("b", callers[0])).To(BeFalse(), "the check has removed the caller")
	expect.Expect(roster.Leave("a", callers[1])).To(BeFalse())
	expect.Expect(roster.Callers("a")).To(Equal(1))
	expect.Expect(roster.Leave("a", callers[2])).To(BeTrue())
	roster.End("d")
	callers[4].Leave()
	expect.Expect(roster.Check(start)).To(BeEmpty(), "the job has ended")
}

func TestCallerThatHasLeftDoesNotJoin(test *testing.T) {
	expect, roster, caller := NewWithT(test), ptcaller.New(), &ptstandin.Caller{}
	caller.Leave()
	expect.Expect(roster.Join("a", caller)).To(BeFalse())
	expect.Expect(roster.Callers("a")).To(BeZero())
}

func TestCheckIsDueAfterItsInterval(test *testing.T) {
	expect, roster := NewWithT(test), ptcaller.New()
	expect.Expect(roster.IsCheckDue(start)).To(BeTrue())
	expect.Expect(roster.SinceCheck(start)).To(BeZero())
	roster.Check(start)
	expect.Expect(roster.IsCheckDue(start.Add(ptcaller.CheckInterval - 1))).To(BeFalse())
	expect.Expect(roster.IsCheckDue(start.Add(ptcaller.CheckInterval))).To(BeTrue())
	expect.Expect(roster.SinceCheck(start.Add(time.Second))).To(Equal(time.Second))
}

func BenchmarkCheck(bench *testing.B) {
	roster := ptcaller.New()
	for job := range 1000 {
		roster.Join(ptid.JobID(rune(job)), &ptstandin.Caller{})
	}
	for bench.Loop() {
		roster.Check(start)
	}
}
