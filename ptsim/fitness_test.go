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

// large returns the load of the users' largest deployment, at four fifths of its room, with
// so many entries.
func large(seed uint64, entries int) ptsim.Setting {
	kind := func(name ptid.ProfileName, perSecond, width float64, work time.Duration, priority int) ptsim.Kind {
		return ptsim.Kind{
			Name: name, PerSecond: perSecond, MeanTasks: width, MeanRunTime: work, CPU: 10_000, Priority: priority,
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

// The load: a tenth of the workers turn slow, or fail all that they start. What they waste
// must not grow with the number of entries, which each see a part of the runs.
func TestBadWorkersAreKnownToEveryEntry(test *testing.T) {
	const few, many, workers = 3, 35, 16
	for name, trouble := range map[string]ptsim.Fault{
		"slow":    ptsim.Slow{Workers: workers, From: 500 * time.Millisecond, For: 2500 * time.Millisecond, Factor: 5},
		"failing": ptsim.Failing{Workers: workers, From: 500 * time.Millisecond, For: 2500 * time.Millisecond},
	} {
		test.Run(name, func(test *testing.T) {
			expect := NewWithT(test)
			reports := make(map[int]ptsim.Report)
			var group sync.WaitGroup
			var mu sync.Mutex
			for _, entries := range []int{few, many} {
				group.Go(func() {
					setting := large(7, entries)
					setting.Faults = []ptsim.Fault{trouble}
					report := ptsim.Run(setting)
					mu.Lock()
					defer mu.Unlock()
					reports[entries] = report
				})
			}
			group.Wait()
			for entries, report := range reports {
				test.Logf("%d entries: %d wasted, %s, %.3f", entries, report.WastedStarts, report.Total, report.WeightedUtility(large(7, entries)))
			}
			// A run or two of each bad worker for each time that it is tried again.
			expect.Expect(reports[many].WastedStarts).To(BeNumerically("<=", reports[few].WastedStarts*3/2+workers))
			expect.Expect(reports[many].WastedStarts).To(BeNumerically("<=", 10*workers))
		})
	}
}
