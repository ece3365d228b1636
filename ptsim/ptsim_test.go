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

// targetWorth is what the users ask for on their heaviest days.
const targetWorth = 0.84

// grown returns the load of the users' larger deployment, so many times as heavy: eight
// entries in three zones, of which two have twice the callers of the others.
func grown(seed uint64, factor float64) ptsim.Setting {
	kind := func(name ptid.ProfileName, perSecond, width float64, work time.Duration, priority int, patience time.Duration) ptsim.Kind {
		return ptsim.Kind{
			Name: name, PerSecond: perSecond, MeanTasks: width, MeanRunTime: work, CPU: 5000, Priority: priority,
			Stretch: 1.6, TargetLatency: 60 * time.Millisecond, CallerTimeout: patience,
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

// worths plays a load with some seeds, and returns the mean worth of all callers, and of
// those of the entries with few and with many.
func worths(setting func(seed uint64) ptsim.Setting) (all, few, many float64) {
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
		few += (report.Entries[0].Utility() + report.Entries[1].Utility()) / 2 / seeds
		many += (report.Entries[last-1].Utility() + report.Entries[last].Utility()) / 2 / seeds
	}
	return all, few, many
}

// alike is by how much callers of one entry may fare worse than those of another.
const alike = 0.05

// The load: for eight seconds more than half as much again as on an ordinary day, more
// than the workers can do. Callers fare alike at every entry.
func TestCallersOfAllEntriesAreServedAlike(test *testing.T) {
	ptassert.PanicOnFailure()
	expect := NewWithT(test)
	all, few, many := worths(func(seed uint64) ptsim.Setting {
		setting := grown(seed, 1.6)
		setting.Surges[0].For, setting.Span = 8*time.Second, 8*time.Second
		return setting
	})
	test.Logf("worth %.3f, with few callers %.3f, with many %.3f", all, few, many)
	expect.Expect(all).To(BeNumerically(">=", targetWorth))
	expect.Expect(many).To(BeNumerically("~", few, alike))
}

// The load of an ordinary day: nobody waits.
func TestOrdinaryLoadIsServedInTime(test *testing.T) {
	expect := NewWithT(test)
	report := ptsim.Run(grown(1, 1))
	expect.Expect(report.Total.InTime).To(BeNumerically(">=", report.Total.Submitted*99/100), report.Total.String())
}

// The load: a tenth of the workers go away without a word and as many fail all that they
// start, while more callers come than usual.
func TestSurgeWithoutSomeWorkers(test *testing.T) {
	expect := NewWithT(test)
	all, _, many := worths(func(seed uint64) ptsim.Setting {
		setting := grown(seed, 1.1)
		setting.Faults = []ptsim.Fault{
			ptsim.Outage{Workers: 5, From: time.Second, For: 2 * time.Second},
			ptsim.Failing{Workers: 5, From: 1500 * time.Millisecond, For: 2 * time.Second},
		}
		return setting
	})
	test.Logf("worth %.3f, with many callers %.3f", all, many)
	expect.Expect(all).To(BeNumerically(">=", targetWorth))
	expect.Expect(many).To(BeNumerically(">=", targetWorth))
}
