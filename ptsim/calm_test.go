package ptsim_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptsim"
)

// Within a second of the end of a burst no work remains that is of no use any more, no worker is
// quarantined and jobs are served like before the burst. The test guards against queues that
// outlast a burst and against workers that are avoided because they were busy.
//
// Single late jobs remain in every load: runs of a second that started at the end of the burst, and
// stragglers.
func TestStateIsCalmOneSecondAfterABurst(test *testing.T) {
	const burst, calmAfter, span = 3 * time.Second, time.Second, 6 * time.Second
	for name, deployment := range map[string]func(uint64, ptid.ProfileName, float64, time.Duration) ptsim.Setting{"H": deploymentH, "L": deploymentL} {
		test.Run(name, func(test *testing.T) {
			expect := NewWithT(test)
			var kinds, normalKinds [3]ptsim.Count
			for index, load := range []struct {
				kind   ptid.ProfileName
				factor float64
			}{{"", 2}, {"check", 3.5}, {"confirm", 3}, {"hold", 2.6}} {
				run := func(factor float64, kinds *[3]ptsim.Count) ptsim.Inspection {
					setting := deployment(uint64(40+index), load.kind, factor, burst)
					setting.Span, setting.CountFrom, setting.DontCountLast = span, burst+calmAfter, 0
					setting.InspectAt = burst + calmAfter
					report := ptsim.Run(setting)
					for kind, count := range report.Kinds {
						kinds[kind].Submitted += count.Submitted
						kinds[kind].InTime += count.InTime
						kinds[kind].Late += count.Late
					}
					return report.Inspected
				}
				inspected, normal := run(load.factor, &kinds), run(1, &normalKinds)
				test.Logf("%s %g times: %+v; normal load: %+v", load.kind, load.factor, inspected, normal)
				expect.Expect(inspected.WaitingJobs).To(BeNumerically("<=", normal.WaitingJobs+1))
				expect.Expect(inspected.AbandonedJobs).To(BeZero())
				expect.Expect(inspected.Quarantined).To(BeNumerically("<=", normal.Quarantined))
			}
			for kind := range kinds {
				test.Logf("utility %.3f, at normal load %.3f", kinds[kind].Utility(), normalKinds[kind].Utility())
				expect.Expect(kinds[kind].Utility()).To(BeNumerically(">=", normalKinds[kind].Utility()-utilityTolerance))
			}
		})
	}
}
