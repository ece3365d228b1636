package ptlink

import (
	"sync/atomic"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// driftDivisor bounds the drift between two clocks: within a time t, their offset changes by at
// most t/driftDivisor, which is 200 ppm.
const driftDivisor = 5000

// ClockOffset converts instants of the local clock to the clock of the peer. It is computed
// from the timestamps in the peer's frames. It is safe for concurrent use.
type ClockOffset struct {
	// offset is a lower bound of the peer's clock minus the local clock. measuredAt is the
	// local instant at which offset was measured.
	offset     atomic.Int64
	measuredAt atomic.Int64
}

// ToPeerClock converts a local instant to the peer's clock. Apart from clock drift, the result is
// too early by the transmission time of the frame from which the offset was measured.
func (clock *ClockOffset) ToPeerClock(instant ptid.Instant) ptid.Instant {
	if instant == ptid.Never {
		return ptid.Never
	}
	return instant + ptid.Instant(clock.offset.Load())
}

// AddSample measures the offset from the timestamp of a received frame. A transmission delay always
// lowers the measured offset, so the highest offset is the most accurate. AddSample first reduces
// the previous offset by the maximum drift since its measurement, and replaces it if the new
// offset is higher. A timestamp of zero is ignored.
func (clock *ClockOffset) AddSample(timestamp int64, now ptid.Instant) {
	if timestamp == 0 {
		return
	}
	age := int64(now) - clock.measuredAt.Load()
	measured, previous := timestamp-int64(now), clock.offset.Load()-age/driftDivisor
	if clock.measuredAt.Load() == 0 || measured > previous {
		clock.offset.Store(measured)
		clock.measuredAt.Store(int64(now))
	}
}
