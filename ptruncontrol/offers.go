package ptruncontrol

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// OfferTimeout is how long offered capacity stays reserved for its entry. The offer and the
// order that uses it each take one trip through the network, which is some milliseconds if the
// entry is busy.
const OfferTimeout = 10 * time.Millisecond

const (
	// Frames that carry only a capacity report are sent to an entry at a minimum interval of
	// reportIntervalPerEntry, multiplied by the number of entries that receive such frames. The
	// interval is never shorter than minReportInterval, which is the tick interval of the
	// entries.
	reportIntervalPerEntry = 32 * time.Millisecond
	minReportInterval      = 25 * time.Millisecond
)

// ReportInterval returns the minimum interval between two frames to an entry that carry only a
// capacity report. Entries in the worker's availability zone use the worker most and receive
// reports more often: for them the interval grows with the number of near entries only. For all
// other entries it grows with twice the number of all entries, which is twice the interval that
// equal treatment of all entries would give. Offers of capacity are sent immediately,
// irrespective of this interval.
func ReportInterval(near bool, nearEntries, entries int) time.Duration {
	if near {
		return max(minReportInterval, time.Duration(nearEntries)*reportIntervalPerEntry)
	}
	return max(minReportInterval, 2*time.Duration(entries)*reportIntervalPerEntry)
}

// RequestCapacity updates the capacity that an entry requests for its waiting tasks.
func (core *Core) RequestCapacity(entry ptid.EntryName, request ptrun.CapacityRequest, now ptid.Instant) (effects []Effect) {
	owner := core.owners[entry]
	if owner == nil {
		return nil
	}
	if owner.request.Rate == 0 && request.Rate > 0 {
		// The usage is raised to the lowest usage of the requesting entries, so that the entry
		// gets no priority for the time in which it requested nothing.
		owner.usage = max(owner.usage, core.lowestUsage())
	}
	owner.request = request
	if request.Rate == 0 {
		owner.offered = ptrun.Demand{}
	}
	core.offer(now)
	return core.takeEffects()
}

// lowestUsage returns the lowest usage among the entries that request capacity.
func (core *Core) lowestUsage() (lowest float64) {
	found := false
	for _, owner := range core.owners {
		if owner.request.Rate > 0 && (!found || owner.usage < lowest) {
			lowest, found = owner.usage, true
		}
	}
	return lowest
}

// offer reserves free capacity for the entries with waiting tasks, in proportion to the rates at
// which they request capacity, and sends them the offers.
//
// Offers matter when all capacity is in use and some entries have more callers than others. When
// a run ends, the entry that ordered the run is the first to learn of the capacity that becomes
// free. Without offers this entry would use the capacity for its own next task. Entries that
// already have capacity would keep it, and the callers of entries that need more would starve.
func (core *Core) offer(now ptid.Instant) {
	if core.draining || !core.mayStart(now) || core.isIsolating() {
		return
	}
	core.expireOffers(now)
	for _, name := range core.entriesByUsage() {
		owner := core.owners[name]
		if !core.unreserved().Covers(owner.request.MinDemand) {
			continue
		}
		owner.offered, owner.offerExpiresAt = owner.request.MinDemand, now.Add(OfferTimeout)
		core.emit(SendReport{Owner: Owner{Entry: name, Incarnation: owner.incarnation}})
	}
}

// entriesByUsage returns the connected entries that request capacity and have no offer, sorted
// by increasing usage.
func (core *Core) entriesByUsage() (names []ptid.EntryName) {
	for name, owner := range core.owners {
		if owner.connected && owner.request.Rate > 0 && owner.offered == (ptrun.Demand{}) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(left, right ptid.EntryName) int {
		return cmp.Or(cmp.Compare(core.owners[left].usage, core.owners[right].usage), cmp.Compare(left, right))
	})
	return names
}

// unreserved returns the capacity that is neither held by a run, nor needed by a waiting run,
// nor offered to an entry.
func (core *Core) unreserved() (free ptrun.Demand) {
	free = core.worker.Capacity.Minus(core.held).Minus(core.offeredToOthers(""))
	for _, run := range core.runs {
		if run.state == waiting {
			free = free.Minus(run.Demand)
		}
	}
	return free
}

// offeredToOthers returns the capacity that is offered to all entries except the given one.
func (core *Core) offeredToOthers(entry ptid.EntryName) (offered ptrun.Demand) {
	for name, owner := range core.owners {
		if name != entry {
			offered = offered.Plus(owner.offered)
		}
	}
	return offered
}

// requestedByOthers returns the rate at which all connected entries except the given one request
// capacity.
func (core *Core) requestedByOthers(entry ptid.EntryName) (rate ptrun.MillicoresPerSecond) {
	for name, owner := range core.owners {
		if name != entry && owner.connected {
			rate += owner.request.Rate
		}
	}
	return rate
}

// expireOffers withdraws offers that were not used in time, and clears the capacity requests of
// their entries.
func (core *Core) expireOffers(now ptid.Instant) {
	for _, owner := range core.owners {
		if owner.offered != (ptrun.Demand{}) && now >= owner.offerExpiresAt {
			owner.offered, owner.request = ptrun.Demand{}, ptrun.CapacityRequest{}
		}
	}
}

// charge increases the usage of an entry by the quotient of the CPU demand of an ordered run and
// the rate at which the entry requests capacity.
func (core *Core) charge(owner *ownerState, cpu ptrun.Millicores) {
	owner.usage += float64(max(1, cpu)) / float64(max(1, owner.request.Rate))
}

// consumeOffer charges an order to its entry and ends the entry's offer. It reports whether
// there was an offer.
func (core *Core) consumeOffer(order *Order) (offered bool) {
	owner := core.owners[order.Owner.Entry]
	if owner == nil {
		return false
	}
	offered = owner.offered != ptrun.Demand{}
	owner.offered = ptrun.Demand{}
	core.charge(owner, order.Demand.CPU)
	return offered
}
