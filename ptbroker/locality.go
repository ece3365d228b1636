package ptbroker

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptmetric"
)

// localityLogInterval is the least time between two lines on waits that ended otherwise than
// expected. Under load there are hundreds of them per second.
const localityLogInterval = time.Second

// localityReport counts and logs choices between near and far workers.
type localityReport struct {
	log                       logr.Logger
	begun, paid, far          *metrics.Counter
	loggedAt                  ptid.Instant
	lateSinceLog, farSinceLog int
}

func newLocalityReport(deps Dependencies) (report *localityReport) {
	return &localityReport{
		log:   deps.Log,
		begun: deps.Metrics.Counter(ptmetric.NearWaits), paid: deps.Metrics.Counter(ptmetric.NearWaitsPaid), far: deps.Metrics.Counter(ptmetric.FarPlacements),
	}
}

// handle counts an event. Of the waits that ended otherwise than expected, it logs at most one in
// each localityLogInterval, with the number of those since the previous line.
func (report *localityReport) handle(event ptassign.LocalityEvent, now ptid.Instant) {
	switch event.Outcome {
	case ptassign.WaitBegun:
		report.begun.Inc()
		return
	case ptassign.WaitPaid:
		report.paid.Inc()
		return
	case ptassign.PlacedFar:
		report.far.Inc()
		return
	case ptassign.WaitLate:
		report.lateSinceLog++
	case ptassign.WaitFar:
		report.farSinceLog++
	}
	if report.loggedAt > 0 && now.Sub(report.loggedAt) < localityLogInterval {
		return
	}
	report.log.Info("wait for near worker ended otherwise than expected", "job", event.Job.ID, "queue", event.Job.Queue.Name, "step", event.Task.Step,
		"task", event.Task.Index, "label", event.Label, "outcome", event.Outcome, "waited", event.Waited.String(), "expected", event.Expected.String(),
		"lateSinceLastLine", report.lateSinceLog, "farSinceLastLine", report.farSinceLog)
	report.loggedAt, report.lateSinceLog, report.farSinceLog = now, 0, 0
}
