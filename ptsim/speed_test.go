package ptsim_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptsim"
)

// Workers have uneven speeds, and 3 % of the runs of customer L take seven times as long. The use of speeds must
// raise the utility of jobs where stragglers prevail, must not lower it elsewhere, and must stop hardly any run that is
// no straggler.
func TestUtilityWithUnevenWorkers(test *testing.T) {
	const seeds = 2
	for name, check := range map[string]struct {
		customer               string
		minUtility, minGain    float64
		minStopped, maxStopped int
	}{
		"H": {customer: "H", minUtility: 0.98, minGain: -0.005, maxStopped: 20},
		"L": {customer: "L", minUtility: 0.96, minGain: 0.05, minStopped: 300, maxStopped: 800},
	} {
		test.Run(name, func(test *testing.T) {
			expect := NewWithT(test)
			var reports [2][seeds]ptsim.Report
			var group sync.WaitGroup
			for on := range reports {
				for seed := range reports[on] {
					group.Go(func() {
						setting := unevenDeployment(uint64(31+seed), check.customer, 1.4)
						setting.Span, setting.CountFrom = 4*time.Second, 2*time.Second
						setting.PlaceBySpeed = on == 1
						reports[on][seed] = ptsim.Run(setting)
					})
				}
			}
			group.Wait()
			var utility [2]float64
			for on := range reports {
				for _, report := range reports[on] {
					test.Logf("on %t: %s, confirm %.3f; of %d orders %d stragglers were stopped", on == 1, report.Total, report.Kinds[1].Utility(), report.Orders, report.StoppedStragglers)
					utility[on] += report.Total.Utility() / seeds
				}
			}
			expect.Expect(utility[1]).To(BeNumerically(">=", check.minUtility))
			expect.Expect(utility[1]).To(BeNumerically(">=", utility[0]+check.minGain))
			for seed := range reports[1] {
				expect.Expect(reports[0][seed].StoppedStragglers).To(BeZero())
				expect.Expect(reports[1][seed].StoppedStragglers).To(And(BeNumerically(">=", check.minStopped), BeNumerically("<=", check.maxStopped)))
			}
		})
	}
}
