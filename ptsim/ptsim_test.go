package ptsim_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptsim"
)

// targetUtility is the utility that the users require on their busiest days.
const targetUtility = 0.84

// mediumDeployment returns the load of the users' medium deployment with a surge of the given
// factor. It has eight entries in three zones, two of which get twice the load of each of the others.
func mediumDeployment(seed uint64, factor float64) ptsim.Setting {
	kind := func(name ptid.ProfileName, perSecond, meanTasks float64, meanRunTime time.Duration, priority int, callerTimeout time.Duration) ptsim.Kind {
		return ptsim.Kind{
			Name: name, PerSecond: perSecond, MeanTasks: meanTasks, MeanRunTime: meanRunTime, CPU: 5000, Priority: priority,
			Stretch: 1.6, TargetLatency: 60 * time.Millisecond, CallerTimeout: callerTimeout,
		}
	}
	return ptsim.Setting{
		Seed: seed, Zones: 3, Workers: 53, Capacity: ptrun.Demand{CPU: 64_000, Memory: 262_144},
		Kinds: []ptsim.Kind{
			kind("check", 223, 8, 60*time.Millisecond, 0, 1500*time.Millisecond),
			kind("match", 50.7, 4, 900*time.Millisecond, 2, 5*time.Second),
			kind("message", 648, 2, 200*time.Millisecond, 1, 1500*time.Millisecond),
		},
		Entries: []ptsim.Entry{
			{Zone: 0, Share: 1}, {Zone: 0, Share: 1}, {Zone: 0, Share: 1}, {Zone: 1, Share: 1},
			{Zone: 1, Share: 1}, {Zone: 1, Share: 1}, {Zone: 2, Share: 2}, {Zone: 2, Share: 2},
		},
		Surges: []ptsim.Surge{{For: 4 * time.Second, Factor: factor}}, Span: 4 * time.Second,
		InZone: 100 * time.Microsecond, CrossZone: 900 * time.Microsecond,
	}
}

// utilities simulates a load with several seeds. It returns the mean utility of all jobs, of
// the jobs at two entries with a small share and of those at the two with a large share.
func utilities(setting func(seed uint64) ptsim.Setting) (all, smallShare, largeShare float64) {
	const seeds = 6
	reports := make([]ptsim.Report, seeds)
	var group sync.WaitGroup
	for seed := range seeds {
		group.Go(func() { reports[seed] = ptsim.Run(setting(uint64(100 + seed))) })
	}
	group.Wait()
	for _, report := range reports {
		last := len(report.Entries) - 1
		all += report.Total.Utility() / seeds
		smallShare += (report.Entries[0].Utility() + report.Entries[1].Utility()) / 2 / seeds
		largeShare += (report.Entries[last-1].Utility() + report.Entries[last].Utility()) / 2 / seeds
	}
	return all, smallShare, largeShare
}

// utilityTolerance is the difference in utility that the tests accept as equal.
const utilityTolerance = 0.05

// The load is 1.6 times the normal load for eight seconds, which exceeds the capacity of the
// workers. Utility must be equal at all entries, whatever their share of the load.
func TestUtilityIsEqualAtAllEntries(test *testing.T) {
	ptassert.PanicOnFailure()
	expect := NewWithT(test)
	all, smallShare, largeShare := utilities(func(seed uint64) ptsim.Setting {
		setting := mediumDeployment(seed, 1.6)
		setting.Surges[0].For, setting.Span = 8*time.Second, 8*time.Second
		return setting
	})
	test.Logf("utility %.3f; entries with a small share %.3f, with a large share %.3f", all, smallShare, largeShare)
	expect.Expect(all).To(BeNumerically(">=", targetUtility))
	expect.Expect(largeShare).To(BeNumerically("~", smallShare, utilityTolerance))
}

// Under the normal load, 99 % of the jobs must complete in time.
func TestNormalLoadCompletesInTime(test *testing.T) {
	expect := NewWithT(test)
	report := ptsim.Run(mediumDeployment(1, 1))
	expect.Expect(report.Total.InTime).To(BeNumerically(">=", report.Total.Submitted*99/100), report.Total.String())
}

// A tenth of the workers have an outage and another tenth fail every run, while the load is
// 1.1 times the normal load. Utility must stay at its target.
func TestUtilityWithWorkerFaults(test *testing.T) {
	expect := NewWithT(test)
	all, _, largeShare := utilities(func(seed uint64) ptsim.Setting {
		setting := mediumDeployment(seed, 1.1)
		setting.Faults = []ptsim.Fault{
			ptsim.Outage{Workers: 5, From: time.Second, For: 2 * time.Second},
			ptsim.Failing{Workers: 5, From: 1500 * time.Millisecond, For: 2 * time.Second},
		}
		return setting
	})
	test.Logf("utility %.3f; entries with a large share %.3f", all, largeShare)
	expect.Expect(all).To(BeNumerically(">=", targetUtility))
	expect.Expect(largeShare).To(BeNumerically(">=", targetUtility))
}
