package ptsim_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptsim"
)

const (
	// leastShare is the part of the fluid bound that must be done in time: what workers that
	// are busy all the while could do, of what was asked for.
	leastShare = 0.85
	surgeFor   = 10 * time.Second
	// calmWithin is how soon after a surge callers are served as before it.
	calmWithin = 2 * time.Second
)

// small returns the load of the users' small deployments, so many times as heavy for a
// while: three entries, of which one has twice the callers of the others, and 11 workers.
func small(seed uint64, factor float64) ptsim.Setting {
	kind := func(name ptid.ProfileName, perSecond, width float64, work time.Duration, priority int) ptsim.Kind {
		return ptsim.Kind{
			Name: name, PerSecond: perSecond, MeanTasks: width, MeanRunTime: work, CPU: 6200, Priority: priority,
			Stretch: 1.6, TargetLatency: 60 * time.Millisecond, CallerTimeout: 1500 * time.Millisecond,
		}
	}
	return ptsim.Setting{
		Seed: seed, Zones: 3, Workers: 11, Capacity: ptrun.Demand{CPU: 64_000, Memory: 262_144},
		Kinds: []ptsim.Kind{
			kind("check", 34.4, 8, 60*time.Millisecond, 0), kind("match", 6.25, 4, 900*time.Millisecond, 2),
			kind("message", 100, 2, 200*time.Millisecond, 1),
		},
		Entries: []ptsim.Entry{{Zone: 0, Share: 1}, {Zone: 1, Share: 1}, {Zone: 2, Share: 2}},
		Surges:  []ptsim.Surge{{For: surgeFor, Factor: factor}}, Span: surgeFor,
		InZone: 100 * time.Microsecond, CrossZone: 1400 * time.Microsecond, MessageCost: 100 * time.Microsecond,
	}
}

// played adds up some seeds of a load.
type played struct {
	kinds []ptsim.Count
	// share is the work done in time over the fluid bound.
	share float64
}

func play(setting func(seed uint64) ptsim.Setting, lost int) (sum played) {
	const seeds = 4
	reports := make([]ptsim.Report, seeds)
	var group sync.WaitGroup
	for index := range reports {
		group.Go(func() { reports[index] = ptsim.Run(setting(uint64(5 + index))) })
	}
	group.Wait()
	like := setting(1)
	sum.kinds = make([]ptsim.Count, len(like.Kinds))
	asked, done := 0.0, 0.0
	for index, kind := range like.Kinds {
		work := kind.MeanTasks * kind.MeanRunTime.Seconds() * float64(kind.CPU)
		for _, report := range reports {
			count := report.Kinds[index]
			sum.kinds[index].Submitted += count.Submitted
			sum.kinds[index].InTime += count.InTime
			sum.kinds[index].Late += count.Late
			asked += work * float64(count.Submitted) / seeds
			done += work * float64(count.InTime) / seeds
		}
	}
	capacity := ptsim.CapacityOf(like) * like.Span.Seconds() * float64(like.Workers-lost) / float64(like.Workers)
	sum.share = done / min(asked, capacity)
	return sum
}

// The load: for ten seconds up to three times that of an ordinary day, by itself and while
// workers are slow or fail. What is done in time stays near what could be, and urgent jobs
// fare no worse than others.
func TestOverloadIsSpentOnWhatEndsInTime(test *testing.T) {
	const bad = 2
	for name, trouble := range map[string][]ptsim.Fault{
		"alone":                {},
		"with slow workers":    {ptsim.Slow{Workers: bad, For: surgeFor, Factor: 6}},
		"with failing workers": {ptsim.Failing{Workers: bad, For: surgeFor}},
	} {
		for _, factor := range []float64{1.5, 2, 3} {
			test.Run(fmt.Sprintf("%g times %s", factor, name), func(test *testing.T) {
				expect := NewWithT(test)
				lost := 0
				if len(trouble) > 0 {
					lost = bad
				}
				sum := play(func(seed uint64) ptsim.Setting {
					setting := small(seed, factor)
					setting.Faults = trouble
					return setting
				}, lost)
				check, match, message := sum.kinds[0].Utility(), sum.kinds[1].Utility(), sum.kinds[2].Utility()
				test.Logf("share %.3f; check %.3f, match %.3f, message %.3f", sum.share, check, match, message)
				expect.Expect(sum.share).To(BeNumerically(">=", leastShare))
				expect.Expect(check).To(BeNumerically(">=", max(match, message)-alike))
			})
		}
	}
}

func TestASurgeLeavesNothingBehind(test *testing.T) {
	expect := NewWithT(test)
	sum := play(func(seed uint64) ptsim.Setting {
		setting := small(seed, 3)
		setting.Span = surgeFor + calmWithin + 3*time.Second
		setting.CountFrom = surgeFor + calmWithin
		return setting
	}, 0)
	calm := play(func(seed uint64) ptsim.Setting { return small(seed, 1) }, 0)
	for index := range sum.kinds {
		test.Logf("after %s, calm %s", sum.kinds[index], calm.kinds[index])
		expect.Expect(sum.kinds[index].Utility()).To(BeNumerically(">=", calm.kinds[index].Utility()-alike))
	}
}

// The load: once and a half and twice that of an ordinary day at 35 entries, of which some
// have twice the callers of the others.
func TestOverloadAtManyEntries(test *testing.T) {
	const entries, span = 35, 3 * time.Second
	for _, factor := range []float64{1.5, 2} {
		test.Run(fmt.Sprintf("%g times", factor), func(test *testing.T) {
			expect := NewWithT(test)
			sum := play(func(seed uint64) ptsim.Setting {
				setting := large(seed, entries)
				setting.Surges = []ptsim.Surge{{For: span, Factor: factor}}
				for index := range setting.Entries {
					if index%4 == 0 {
						setting.Entries[index].Share = 2
					}
				}
				return setting
			}, 0)
			check, match, message := sum.kinds[0].Utility(), sum.kinds[1].Utility(), sum.kinds[2].Utility()
			test.Logf("share %.3f; check %.3f, match %.3f, message %.3f", sum.share, check, match, message)
			expect.Expect(sum.share).To(BeNumerically(">=", leastShare))
			expect.Expect(check).To(BeNumerically(">=", max(match, message)-alike))
		})
	}
}
