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
	// minGoodput is the least goodput that the tests accept. Goodput is the work completed in
	// time, relative to the smaller of the submitted work and the work that fully utilized
	// workers could do (the fluid bound).
	minGoodput    = 0.85
	surgeDuration = 10 * time.Second
	// recoveryTime is the time after a surge within which utility must return to its normal
	// level.
	recoveryTime = 2 * time.Second
)

// smallDeployment returns the load of the users' small deployments with a surge of the given
// factor. It has 11 workers and three entries, one of which gets twice the load of each of the others.
func smallDeployment(seed uint64, factor float64) ptsim.Setting {
	kind := func(name ptid.ProfileName, perSecond, meanTasks float64, meanRunTime time.Duration, priority int) ptsim.Kind {
		return ptsim.Kind{
			Name: name, PerSecond: perSecond, MeanTasks: meanTasks, MeanRunTime: meanRunTime, CPU: 6200, Priority: priority,
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
		Surges:  []ptsim.Surge{{For: surgeDuration, Factor: factor}}, Span: surgeDuration,
		InZone: 100 * time.Microsecond, CrossZone: 1400 * time.Microsecond, MessageCost: 100 * time.Microsecond,
	}
}

// outcomes are the results of the simulations of a load with several seeds.
type outcomes struct {
	// kinds are the sums over all seeds, by kind of job.
	kinds []ptsim.Count
	// goodput is the work completed in time divided by the fluid bound.
	goodput float64
}

// simulate simulates a load with four seeds. The fluid bound excludes the capacity of
// faultyWorkers workers.
func simulate(setting func(seed uint64) ptsim.Setting, faultyWorkers int) (sum outcomes) {
	const seeds = 4
	reports := make([]ptsim.Report, seeds)
	var group sync.WaitGroup
	for index := range reports {
		group.Go(func() { reports[index] = ptsim.Run(setting(uint64(5 + index))) })
	}
	group.Wait()
	first := setting(1)
	sum.kinds = make([]ptsim.Count, len(first.Kinds))
	submitted, inTime := 0.0, 0.0
	for index, kind := range first.Kinds {
		work := kind.MeanTasks * kind.MeanRunTime.Seconds() * float64(kind.CPU)
		for _, report := range reports {
			count := report.Kinds[index]
			sum.kinds[index].Submitted += count.Submitted
			sum.kinds[index].InTime += count.InTime
			sum.kinds[index].Late += count.Late
			submitted += work * float64(count.Submitted) / seeds
			inTime += work * float64(count.InTime) / seeds
		}
	}
	capacity := ptsim.CapacityOf(first) * first.Span.Seconds() * float64(first.Workers-faultyWorkers) / float64(first.Workers)
	sum.goodput = inTime / min(submitted, capacity)
	return sum
}

// The load is up to three times the normal load for ten seconds, with healthy workers and
// with slow or failing workers. Goodput must stay near the fluid bound, and the most urgent
// jobs (check) must not have a lower utility than other jobs.
func TestGoodputUnderOverload(test *testing.T) {
	const faulty = 2
	for name, faults := range map[string][]ptsim.Fault{
		"alone":                {},
		"with slow workers":    {ptsim.Slow{Workers: faulty, For: surgeDuration, Factor: 6}},
		"with failing workers": {ptsim.Failing{Workers: faulty, For: surgeDuration}},
	} {
		for _, factor := range []float64{1.5, 2, 3} {
			test.Run(fmt.Sprintf("%g times %s", factor, name), func(test *testing.T) {
				expect := NewWithT(test)
				faultyWorkers := 0
				if len(faults) > 0 {
					faultyWorkers = faulty
				}
				sum := simulate(func(seed uint64) ptsim.Setting {
					setting := smallDeployment(seed, factor)
					setting.Faults = faults
					return setting
				}, faultyWorkers)
				check, match, message := sum.kinds[0].Utility(), sum.kinds[1].Utility(), sum.kinds[2].Utility()
				test.Logf("goodput %.3f; utility: check %.3f, match %.3f, message %.3f", sum.goodput, check, match, message)
				expect.Expect(sum.goodput).To(BeNumerically(">=", minGoodput))
				expect.Expect(check).To(BeNumerically(">=", max(match, message)-utilityTolerance))
			})
		}
	}
}

func TestUtilityRecoversAfterSurge(test *testing.T) {
	expect := NewWithT(test)
	sum := simulate(func(seed uint64) ptsim.Setting {
		setting := smallDeployment(seed, 3)
		setting.Span = surgeDuration + recoveryTime + 3*time.Second
		setting.CountFrom = surgeDuration + recoveryTime
		return setting
	}, 0)
	normal := simulate(func(seed uint64) ptsim.Setting { return smallDeployment(seed, 1) }, 0)
	for index := range sum.kinds {
		test.Logf("after the surge: %s; normal load: %s", sum.kinds[index], normal.kinds[index])
		expect.Expect(sum.kinds[index].Utility()).To(BeNumerically(">=", normal.kinds[index].Utility()-utilityTolerance))
	}
}

// The load is 1.5 and 2 times the normal load at 35 entries, a quarter of which get twice the
// load of the others. Goodput must stay near the fluid bound.
func TestGoodputUnderOverloadWithManyEntries(test *testing.T) {
	const entries, span = 35, 3 * time.Second
	for _, factor := range []float64{1.5, 2} {
		test.Run(fmt.Sprintf("%g times", factor), func(test *testing.T) {
			expect := NewWithT(test)
			sum := simulate(func(seed uint64) ptsim.Setting {
				setting := largeDeployment(seed, entries)
				setting.Surges = []ptsim.Surge{{For: span, Factor: factor}}
				for index := range setting.Entries {
					if index%4 == 0 {
						setting.Entries[index].Share = 2
					}
				}
				return setting
			}, 0)
			check, match, message := sum.kinds[0].Utility(), sum.kinds[1].Utility(), sum.kinds[2].Utility()
			test.Logf("goodput %.3f; utility: check %.3f, match %.3f, message %.3f", sum.goodput, check, match, message)
			expect.Expect(sum.goodput).To(BeNumerically(">=", minGoodput))
			expect.Expect(check).To(BeNumerically(">=", max(match, message)-utilityTolerance))
		})
	}
}
