package ptsim_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlocality"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptsim"
)

// rackLoad returns a load of 60 workers in racks of seven and ten entries, of which the given
// queue has 0.6 of its jobs' data on one rack for five seconds.
func rackLoad(seed uint64, queue ptid.ProfileName, burst, far float64) ptsim.Setting {
	kind := func(name ptid.ProfileName, perSecond, meanTasks float64, meanRunTime time.Duration, priority int) ptsim.Kind {
		return ptsim.Kind{
			Name: name, PerSecond: perSecond, MeanTasks: meanTasks, MeanRunTime: meanRunTime, CPU: 2900, Priority: priority,
			Stretch: 1.6, TargetLatency: 60 * time.Millisecond, CallerTimeout: 1500 * time.Millisecond,
		}
	}
	const span = 5 * time.Second
	setting := ptsim.Setting{
		Seed: seed, Zones: 4, Workers: 60, Capacity: ptrun.Demand{CPU: 32_000, Memory: 131_072},
		Kinds: []ptsim.Kind{
			kind("check", 206, 8, 60*time.Millisecond, 0), kind("confirm", 37.5, 4, 900*time.Millisecond, 2),
			kind("hold", 600, 2, 200*time.Millisecond, 1),
		},
		Surges: []ptsim.Surge{{For: span, Factor: burst}}, Span: span,
		InZone: 100 * time.Microsecond, CrossZone: 1400 * time.Microsecond, MessageCost: 100 * time.Microsecond,
		Locality: ptsim.Locality{RackSize: 7, FarFactor: far, Hotspots: []ptsim.Hotspot{{Kind: queue, Rack: 1, Share: 0.6, For: span}}},
	}
	for index := range 10 {
		setting.Entries = append(setting.Entries, ptsim.Entry{Zone: index % 4, Share: 1})
	}
	return setting
}

// BenchmarkLocality compares the policies for near and far workers. Run it with -benchtime 1x.
func BenchmarkLocality(bench *testing.B) {
	for _, queue := range []ptid.ProfileName{"check", "hold", "confirm"} {
		for _, far := range []float64{2, 3} {
			for _, burst := range []float64{1, 1.7} {
				for _, policy := range []string{"off", "never", "fixed", "gain"} {
					bench.Run(fmt.Sprintf("%s/%g/%g/%s", queue, far, burst, policy), func(bench *testing.B) {
						const seeds = 4
						for bench.Loop() {
							sum, outcomes, kinds := 0.0, map[ptassign.LocalityOutcome]int{}, make([]float64, 3)
							for seed := range seeds {
								setting := rackLoad(uint64(1+seed), queue, burst, far)
								if policy != "off" {
									setting.Locality.KnownFactor = far
									setting.Locality.Policy = map[string]ptlocality.Policy{"never": ptlocality.Never(), "fixed": ptlocality.Fixed(50 * time.Millisecond)}[policy]
								}
								report := ptsim.Run(setting)
								sum += report.WeightedUtility(setting) / seeds
								for index, count := range report.Kinds {
									kinds[index] += count.Utility() / seeds
								}
								for outcome, count := range report.LocalityOutcomes {
									outcomes[outcome] += count
								}
							}
							bench.ReportMetric(0, "ns/op")
							bench.ReportMetric(sum, "weighted")
							for index, name := range []string{"check", "confirm", "hold"} {
								bench.ReportMetric(kinds[index], name)
							}
							for _, outcome := range []ptassign.LocalityOutcome{ptassign.WaitBegun, ptassign.WaitPaid, ptassign.WaitLate, ptassign.WaitFar, ptassign.PlacedFar} {
								bench.ReportMetric(float64(outcomes[outcome])/seeds, string(outcome))
							}
						}
					})
				}
			}
		}
	}
}

// A rack gets the data of six of ten checks for five seconds, and a task takes three times as long
// elsewhere, which is late. Waiting by expected value must have a higher utility than never
// waiting, most waits must pay, and other queues must not lose by it.
func TestWaitsForNearWorkersPay(test *testing.T) {
	expect := NewWithT(test)
	const seeds, far = 2, 3
	var never, gain [3]float64
	waits := make(map[ptassign.LocalityOutcome]int)
	for seed := range uint64(seeds) {
		setting := rackLoad(1+seed, "check", 1, far)
		setting.Locality.KnownFactor, setting.Locality.Policy = far, ptlocality.Never()
		for index, count := range ptsim.Run(setting).Kinds {
			never[index] += count.Utility() / seeds
		}
		setting.Locality.Policy = ptlocality.ExpectedGain()
		report := ptsim.Run(setting)
		for index, count := range report.Kinds {
			gain[index] += count.Utility() / seeds
		}
		for outcome, count := range report.LocalityOutcomes {
			waits[outcome] += count
		}
	}
	test.Logf("utility of check, confirm, hold: never %.3f, expected gain %.3f; %v", never, gain, waits)
	expect.Expect(gain[0]).To(BeNumerically(">=", never[0]+utilityTolerance))
	for index := range gain {
		expect.Expect(gain[index]).To(BeNumerically(">=", never[index]-utilityTolerance))
	}
	expect.Expect(waits[ptassign.WaitPaid]).To(BeNumerically(">=", waits[ptassign.WaitBegun]*3/4))
}

// With a factor of at most the stretch, all outcomes must be as without a factor.
func TestOutcomesAreUnchangedUpToTheStretch(test *testing.T) {
	expect := NewWithT(test)
	setting := rackLoad(1, "check", 1.7, 1.6)
	setting.Span = time.Second
	without := ptsim.Run(setting)
	setting.Locality.KnownFactor = 1.6
	expect.Expect(ptsim.Run(setting)).To(Equal(without))
}
