package ptevacuation

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// returnSteps is the number of steps in which the workers of a zone return, and returnInterval the
	// time between two steps. If all returned at once, every entry would send its queue to the same
	// idle workers, whose free capacity it knows only with a delay.
	returnSteps    = 4
	returnInterval = 500 * time.Millisecond
)

// Returns is the return of the workers of zones whose evacuation was taken back. The zero value has no
// returning zones.
type Returns struct {
	startedAt map[ptid.Zone]ptid.Instant
}

// Update records a change of the state. A process that knew no state returns no workers: it has not
// withheld any.
func (returns *Returns) Update(before, after State, now ptid.Instant) {
	for _, zone := range before.zones {
		if !after.Contains(zone) {
			if returns.startedAt == nil {
				returns.startedAt = make(map[ptid.Zone]ptid.Instant)
			}
			returns.startedAt[zone] = now
		}
	}
	maps.DeleteFunc(returns.startedAt, func(zone ptid.Zone, startedAt ptid.Instant) bool {
		return after.Contains(zone) || now >= startedAt.Add(returnSteps*returnInterval)
	})
}

// ReturnsAt returns when a worker of a zone that is no longer evacuated returns; zero if it has not been
// away or has returned long ago. The step depends only on the name of the worker's agent, so that all
// entries use the same workers.
func (returns *Returns) ReturnsAt(zone ptid.Zone, agent ptid.AgentName) (at ptid.Instant) {
	startedAt, returning := returns.startedAt[zone]
	if !returning {
		return 0
	}
	return startedAt.Add(time.Duration(xxhash.Sum64String(string(agent))%returnSteps) * returnInterval)
}
