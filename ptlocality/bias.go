package ptlocality

import (
	"math"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// biasWeight is the weight of the newest wait in the bias. biasDecay is the time constant with
	// which the bias returns to 1: if it has become so high that no task waits, nothing else
	// corrects it.
	biasWeight = 0.1
	biasDecay  = 2 * time.Second
	minBias    = 0.25
	maxBias    = 10
	// minExpectedWait is the shortest expected wait from which a ratio is computed.
	minExpectedWait = 2 * time.Millisecond
)

// Bias is the moving average of the ratio of actual to estimated waits. It corrects for what an
// entry does not know: which tasks of other entries wait for the same workers.
type Bias struct {
	excess    float64
	updatedAt ptid.Instant
}

// Value returns the ratio at an instant.
func (bias *Bias) Value(now ptid.Instant) (ratio float64) {
	return 1 + bias.excess*math.Exp(-now.Sub(bias.updatedAt).Seconds()/biasDecay.Seconds())
}

// WaitEnded learns from the end of a wait. expected is its expected duration, which was computed
// with the given bias. placedNear is false if the wait was given up: it then shows only that the
// actual wait is longer.
func (bias *Bias) WaitEnded(waited, expected time.Duration, usedBias float64, placedNear bool, now ptid.Instant) {
	ratio := usedBias * waited.Seconds() / max(expected, minExpectedWait).Seconds()
	value := bias.Value(now)
	if placedNear || ratio > value {
		value += biasWeight * (min(max(ratio, minBias), maxBias) - value)
	}
	bias.excess, bias.updatedAt = value-1, now
}
