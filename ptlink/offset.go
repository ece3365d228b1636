package ptlink

import (
	"sync/atomic"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// clockDrift is how much an offset between two clocks may have drifted, as a divisor
// of the time since it was taken.
const clockDrift = 5000

// ClockOffset converts instants of ours to the clock of the other side, by the stamps that
// its frames carry. It is safe for concurrent use.
type ClockOffset struct {
	// offset is the other clock less ours, at most; measuredAt is when it was taken.
	offset     atomic.Int64
	measuredAt atomic.Int64
}

// ToPeerClock returns the instant on the other clock, erring early: the offset was measured
// as too low by the time that the frame was on its way.
func (offset *ClockOffset) ToPeerClock(instant ptid.Instant) ptid.Instant {
	if instant == ptid.Never {
		return ptid.Never
	}
	return instant + ptid.Instant(offset.offset.Load())
}

// AddSample takes the stamp of a frame. The highest offset is the closest one; older ones
// lose what the clocks may have drifted since.
func (offset *ClockOffset) AddSample(stamp int64, now ptid.Instant) {
	if stamp == 0 {
		return
	}
	age := int64(now) - offset.measuredAt.Load()
	measured, kept := stamp-int64(now), offset.offset.Load()-age/clockDrift
	if offset.measuredAt.Load() == 0 || measured > kept {
		offset.offset.Store(measured)
		offset.measuredAt.Store(int64(now))
	}
}
