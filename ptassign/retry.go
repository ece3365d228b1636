package ptassign

import (
	"hash/fnv"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// minRetryAfter is the shortest retry delay that is returned with a refusal.
	minRetryAfter = time.Second
	// minRetrySpread is the least span over which the retries of refused jobs are spread. Callers
	// get whole seconds, so a shorter span would give all of them the same delay. maxRetrySpread
	// is the longest span: it is about as long as most bursts.
	minRetrySpread = 2 * time.Second
	maxRetrySpread = 8 * time.Second
)

// retryAfter returns the delay after which the caller of a refused job should submit it again. It
// is at least the forecast wait. The delays of several jobs are spread over as many seconds as
// the queue's recent demand exceeds its admitted demand, since callers who all return at once
// would be refused again.
func (core *Core) retryAfter(job *Job, wait time.Duration, now ptid.Instant) time.Duration {
	demand := core.demandOf(job, now)
	spread := time.Duration((1 + demand.offered/max(demand.cpu, 1)) * float64(time.Second))
	spread = min(max(spread, minRetrySpread), maxRetrySpread)
	return max(minRetryAfter, wait+time.Duration(jobFraction(job)*float64(spread)))
}

// jobFraction returns a number from 0 to 1 that depends on the ID of the job only, so that decisions
// draw the same random numbers whether or not jobs are refused.
func jobFraction(job *Job) float64 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(job.ID))
	return float64(sum.Sum32()) / (1 << 32)
}
