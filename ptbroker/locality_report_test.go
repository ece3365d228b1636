package ptbroker

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptmetric"
)

// Under load, hundreds of waits per second end otherwise than expected. They must not fill the log,
// and none of them may be missing from the counts.
func TestUnexpectedEndsOfWaitsAreLoggedOncePerSecond(test *testing.T) {
	expect := NewWithT(test)
	var lines []string
	metrics := ptmetric.New()
	report := newLocalityReport(Dependencies{Log: funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{}), Metrics: metrics})
	job := &ptassign.Job{Job: &ptgraph.Job{}}
	start := ptid.Instant(time.Hour)
	for millis := range 2500 {
		for _, outcome := range []ptassign.LocalityOutcome{ptassign.WaitBegun, ptassign.WaitPaid, ptassign.WaitLate, ptassign.WaitFar, ptassign.PlacedFar} {
			report.handle(ptassign.LocalityEvent{Outcome: outcome, Job: job}, start.Add(time.Duration(millis)*time.Millisecond))
		}
	}
	expect.Expect(lines).To(HaveLen(3))
	expect.Expect(lines[1]).To(ContainSubstring(`"lateSinceLastLine"=1000`))
	expect.Expect(lines[1]).To(ContainSubstring(`"farSinceLastLine"=1000`))
	var text strings.Builder
	metrics.Write(&text)
	for _, name := range []ptmetric.Name{ptmetric.NearWaits, ptmetric.NearWaitsPaid, ptmetric.FarPlacements} {
		expect.Expect(text.String()).To(ContainSubstring(string(name) + " 2500\n"))
	}
}
