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

// unevenDeployment returns the load of the customers H and L at the given factor (docs/design/13-hard-load.md). L
// has workers of uneven speeds and stragglers.
func unevenDeployment(seed uint64, customer string, factor float64) ptsim.Setting {
	scale, cores, rate := 1.0, ptrun.Millicores(2900), 1.0
	if customer == "L" {
		scale, cores, rate = 0.85, 2700, 0.88
	}
	kind := func(name ptid.ProfileName, perSecond, meanTasks float64, meanRunTime time.Duration, priority int) ptsim.Kind {
		return ptsim.Kind{
			Name: name, PerSecond: perSecond * rate * factor, MeanTasks: meanTasks, MeanRunTime: time.Duration(float64(meanRunTime) * scale), CPU: cores, Priority: priority,
			Stretch: 1.6, TargetLatency: 60 * time.Millisecond, CallerTimeout: 1500 * time.Millisecond,
		}
	}
	setting := ptsim.Setting{
		Seed: seed, Zones: 4, Workers: 60, Capacity: ptrun.Demand{CPU: 32_000, Memory: 131_072},
		Kinds: []ptsim.Kind{
			kind("check", 206, 8, 60*time.Millisecond, 0), kind("confirm", 37.5, 4, 900*time.Millisecond, 2),
			kind("hold", 600, 2, 200*time.Millisecond, 1),
		},
		Span: 4 * time.Second, InZone: 100 * time.Microsecond, CrossZone: 1400 * time.Microsecond, MessageCost: 50 * time.Microsecond,
		HardLoad: ptsim.HardLoad{Speeds: []float64{0.8, 1, 1.25}},
	}
	if customer == "L" {
		setting.CrossZone = 500 * time.Microsecond
		setting.Speeds, setting.StragglerShare, setting.StragglerFactor = []float64{0.55, 1.2, 1.2, 1.2}, 0.03, 7
	}
	for index := range 9 {
		setting.Entries = append(setting.Entries, ptsim.Entry{Zone: index % setting.Zones, Share: 1})
	}
	return setting
}

// A tenth of the workers are slow for three seconds. A second after that they must have ordinary load,
// under normal load as well as under overload, and while they are slow they must get few runs.
func TestRecoveredWorkersGetOrdinaryLoad(test *testing.T) {
	const (
		slowWorkers, slowFor, seeds = 6, 3 * time.Second, 2
		from                        = 500 * time.Millisecond
		recoveredAfter              = time.Second
		// The utilization of single workers differs by up to a fifth from the mean under normal load.
		minRelativeUtilization = 0.75
		// A worker gets at most a probe every 500 ms.
		maxProbes = slowWorkers * int(slowFor/(500*time.Millisecond))
	)
	for _, factor := range []float64{1, 1.8} {
		for _, slowdown := range []float64{3, 7.5} {
			test.Run(fmt.Sprintf("%g times slower, load %g", slowdown, factor), func(test *testing.T) {
				expect := NewWithT(test)
				reports := make([]ptsim.Report, seeds)
				var group sync.WaitGroup
				for seed := range seeds {
					group.Go(func() {
						setting := unevenDeployment(uint64(3+seed), "H", factor)
						setting.Span = from + slowFor + 2*recoveredAfter
						setting.Faults = []ptsim.Fault{ptsim.Slow{Workers: slowWorkers, From: from, For: slowFor, Factor: slowdown}}
						reports[seed] = ptsim.Run(setting)
					})
				}
				group.Wait()
				for step := recoveredAfter / ptsim.RecoveryStep; step < 2*recoveredAfter/ptsim.RecoveryStep; step++ {
					ratio := 0.0
					for _, report := range reports {
						ratio += report.Recovery[step] / seeds
					}
					test.Logf("%s after the recovery: %.2f of the mean utilization", step*ptsim.RecoveryStep, ratio)
					expect.Expect(ratio).To(BeNumerically(">=", minRelativeUtilization))
				}
				for _, report := range reports {
					test.Logf("%d wasted starts, %d of them probes; %s", report.WastedStarts, report.WastedProbes, report.Total)
					expect.Expect(report.WastedProbes).To(BeNumerically("<=", maxProbes))
				}
			})
		}
	}
}
