package ptassign_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruntime"
)

// expected returns the run time that the core expects of a new job: the order of the job carries it.
// The run then ends after the given time.
func (fixture *fixture) expected(job int, estimate, runTime time.Duration, now ptid.Instant) (expected time.Duration) {
	spec := ptassign.Spec{
		Spec: ptgraph.Spec{ID: ptid.JobID(fmt.Sprintf("%016x", job+1)), MaxAttempts: 3, Steps: []ptgraph.Step{
			{Count: 1, Demand: ptrun.Demand{CPU: 1000, Memory: 64}, Estimate: estimate},
		}},
		Queue: ptqueue.Queue{Name: "learned", Service: service, MaxAttempts: 3, Stretch: 2, TargetLatency: time.Minute}, Deadline: ptid.Never,
	}
	_, refusal, effects, err := fixture.Submit(spec, now)
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	fixture.expect.Expect(refusal).To(BeNil())
	sent := orders(effects)
	fixture.expect.Expect(sent).To(HaveLen(1))
	fixture.RunEnded(sent[0].Agent, ptrun.End{Run: sent[0].Run, Result: ptrun.Done, RunTime: runTime}, now.Add(runTime))
	return sent[0].ExpectedRunTime
}

func learned(seconds, bias, weight float64) []ptruntime.Value {
	return []ptruntime.Value{{Queue: "learned", Seconds: seconds, EstimateBias: bias, Weight: weight}}
}

// A restarted entry would otherwise expect the default or the declared run time of each queue until it
// has seen some runs.
func TestAdoptedRunTimesAreExpectedFromTheFirstJobOn(test *testing.T) {
	former := newFixture(test, 1)
	for job := range 30 {
		former.expected(job, 0, 300*time.Millisecond, at(1000*job))
	}
	restarted := newFixture(test, 1)
	values := former.AppendRunTimes(nil)
	former.expect.Expect(values).To(HaveLen(1))
	former.expect.Expect(values[0].Weight).To(BeEquivalentTo(30))
	former.expect.Expect(restarted.AdoptRunTimes(values)).To(Equal(1))
	restarted.expect.Expect(restarted.expected(0, 0, 300*time.Millisecond, at(0))).To(BeNumerically("~", 300*time.Millisecond, time.Millisecond))
	// The learned ratio to declared estimates is adopted as well.
	declared := newFixture(test, 1)
	declared.AdoptRunTimes(learned(0.4, 4, 50))
	declared.expect.Expect(declared.expected(0, 100*time.Millisecond, 400*time.Millisecond, at(0))).To(BeNumerically("~", 400*time.Millisecond, time.Millisecond))
}

// Agents that return the values of entries to entries must not keep them alive without runs.
func TestAdoptedRunTimesAreSentOnlyAfterAnOwnRun(test *testing.T) {
	fixture := newFixture(test, 1)
	fixture.expect.Expect(fixture.AdoptRunTimes(learned(0.3, 2, 100))).To(Equal(1))
	fixture.expect.Expect(fixture.AppendRunTimes(nil)).To(BeEmpty())
	fixture.expected(0, 0, 300*time.Millisecond, at(0))
	values := fixture.AppendRunTimes(nil)
	fixture.expect.Expect(values).To(HaveLen(1))
	fixture.expect.Expect(values[0].Weight).To(BeEquivalentTo(1))
	fixture.expect.Expect(values[0].EstimateBias).To(BeZero(), "no own run had a declared estimate")
}

// All agents send their values to a restarted entry. Only those that weigh more than what it knows count.
func TestOnlyRunTimesOfMoreWeightAreAdopted(test *testing.T) {
	fixture := newFixture(test, 1)
	fixture.expect.Expect(fixture.AdoptRunTimes(learned(0.3, 1, 20))).To(Equal(1))
	fixture.expect.Expect(fixture.AdoptRunTimes(learned(0.9, 1, 20))).To(BeZero())
	fixture.expect.Expect(fixture.AdoptRunTimes(learned(0.5, 1, 60))).To(Equal(1))
	fixture.expect.Expect(fixture.expected(0, 0, 500*time.Millisecond, at(0))).To(BeNumerically("~", 500*time.Millisecond, time.Millisecond))
	for job := 1; job < 10; job++ {
		fixture.expected(job, 0, 500*time.Millisecond, at(1000*job))
	}
	fixture.expect.Expect(fixture.AdoptRunTimes(learned(0.9, 1, ptruntime.MaxWeight))).To(BeZero(), "ten own runs weigh more")
}

// The workers were replaced by faster or slower ones while all entries were down. Adopted values must not
// hold as long as averages of own runs, which forget half in 14 runs.
func TestOwnRunsSoonOutweighAdoptedRunTimes(test *testing.T) {
	for _, stale := range []time.Duration{75 * time.Millisecond, 1200 * time.Millisecond} {
		fixture := newFixture(test, 1)
		const actual = 300 * time.Millisecond
		fixture.AdoptRunTimes(learned(stale.Seconds(), 1, ptruntime.MaxWeight))
		for job := range 12 {
			fixture.expected(job, 0, actual, at(2000*job))
		}
		expected := fixture.expected(12, 0, actual, at(2000*12))
		test.Logf("stale %v, after 12 runs of %v: %v", stale, actual, expected)
		fixture.expect.Expect(max(expected, actual)).To(BeNumerically("<", 2*min(expected, actual)))
	}
}

// Without adopted values, what the core learns from runs must stay as it was: a moving average with a
// weight of 0.05 for each run, whose influence is bounded.
func TestRunTimesAreLearnedAsBeforeIfNoneWereAdopted(test *testing.T) {
	fixture := newFixture(test, 1)
	fixture.expect.Expect(fixture.AdoptRunTimes(nil)).To(BeZero())
	average := 0.0
	for job := range 20 {
		runTime := time.Duration(100+37*(job%7)+900*(job%3/2)) * time.Millisecond
		expected := fixture.expected(job, 0, runTime, at(5000*job))
		if job == 0 {
			average = runTime.Seconds()
			continue
		}
		fixture.expect.Expect(expected.Seconds()).To(BeNumerically("~", average, 1e-6))
		average += 0.05 * (min(runTime.Seconds(), 4*average) - average)
	}
}

func TestNumberOfAdoptedQueuesIsBounded(test *testing.T) {
	fixture := newFixture(test, 1)
	adopted := 0
	for index := range 3 * ptruntime.MaxQueues {
		adopted += fixture.AdoptRunTimes([]ptruntime.Value{{Queue: ptid.ProfileName(fmt.Sprint("queue", index)), Seconds: 1, Weight: 1}})
	}
	fixture.expect.Expect(adopted).To(Equal(ptruntime.MaxQueues))
}
