package ptsim_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptsim"
)

// largeDeployment returns the load of the users' largest deployment at a utilization of 80 %,
// with the given number of entries.
func largeDeployment(seed uint64, entries int) ptsim.Setting {
	kind := func(name ptid.ProfileName, perSecond, meanTasks float64, meanRunTime time.Duration, priority int) ptsim.Kind {
		return ptsim.Kind{
			Name: name, PerSecond: perSecond, MeanTasks: meanTasks, MeanRunTime: meanRunTime, CPU: 10_000, Priority: priority,
			Stretch: 1.6, TargetLatency: 60 * time.Millisecond, CallerTimeout: 1500 * time.Millisecond,
		}
	}
	setting := ptsim.Setting{
		Seed: seed, Zones: 5, Workers: 160, Capacity: ptrun.Demand{CPU: 64_000, Memory: 131_072},
		Kinds: []ptsim.Kind{
			kind("check", 334, 8, 60*time.Millisecond, 0), kind("match", 75.8, 4, 900*time.Millisecond, 2),
			kind("message", 972, 2, 200*time.Millisecond, 1),
		},
		Span:   3 * time.Second,
		InZone: 100 * time.Microsecond, CrossZone: 500 * time.Microsecond,
	}
	for index := range entries {
		setting.Entries = append(setting.Entries, ptsim.Entry{Zone: index % setting.Zones, Share: 1})
	}
	return setting
}

// A tenth of the workers become slow or fail every run. Each entry sees only a part of the
// runs, so without the agents' assessments every entry would have to detect the faulty workers
// itself. The test checks that the number of wasted starts does not grow with the number of
// entries.
func TestWastedStartsDoNotGrowWithEntries(test *testing.T) {
	const fewEntries, manyEntries, faultyWorkers = 3, 35, 16
	for name, fault := range map[string]ptsim.Fault{
		"slow":    ptsim.Slow{Workers: faultyWorkers, From: 500 * time.Millisecond, For: 2500 * time.Millisecond, Factor: 5},
		"failing": ptsim.Failing{Workers: faultyWorkers, From: 500 * time.Millisecond, For: 2500 * time.Millisecond},
	} {
		test.Run(name, func(test *testing.T) {
			expect := NewWithT(test)
			reports := make(map[int]ptsim.Report)
			var group sync.WaitGroup
			var mu sync.Mutex
			for _, entries := range []int{fewEntries, manyEntries} {
				group.Go(func() {
					setting := largeDeployment(7, entries)
					setting.Faults = []ptsim.Fault{fault}
					report := ptsim.Run(setting)
					mu.Lock()
					defer mu.Unlock()
					reports[entries] = report
				})
			}
			group.Wait()
			for entries, report := range reports {
				test.Logf("%d entries: %d wasted starts, %s, weighted utility %.3f", entries, report.WastedStarts, report.Total, report.WeightedUtility(largeDeployment(7, entries)))
			}
			// A probe of a faulty worker may waste one run or two runs. The first bound therefore
			// allows 3/2 of the wasted starts with few entries, plus one wasted start per faulty
			// worker.
			expect.Expect(reports[manyEntries].WastedStarts).To(BeNumerically("<=", reports[fewEntries].WastedStarts*3/2+faultyWorkers))
			expect.Expect(reports[manyEntries].WastedStarts).To(BeNumerically("<=", 10*faultyWorkers))
		})
	}
}
