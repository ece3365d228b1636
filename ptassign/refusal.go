package ptassign

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptrun"
)

// RefusalReason is why a job was not admitted, or was ended before any run of it started.
type RefusalReason string

// Refusal reasons.
const (
	NoWorker        RefusalReason = "noWorker"
	NoFittingWorker RefusalReason = "unfitting"
	ForecastTooLate RefusalReason = "forecast"
	TooLate         RefusalReason = "tooLate"
	// Evacuated means that only workers of evacuated availability zones could run the job.
	Evacuated RefusalReason = "evacuated"
)

// Refusal reports that no run of a job has started or will start.
type Refusal struct {
	Reason     RefusalReason
	RetryAfter time.Duration
	// ForecastWait is the forecast waiting time that led to the refusal. DemandAhead is the
	// demand that was queued ahead of the job. Capacity is the capacity that was available to the
	// entry's jobs.
	ForecastWait time.Duration
	DemandAhead  ptrun.Millicores
	Capacity     AvailableCapacity
}
