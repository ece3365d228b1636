package ptroom

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// OfferTimeout is how long offered capacity stays reserved for its entry. The offer and the
// order that uses it each take one network trip, which is some milliseconds if the entry is
// busy.
const OfferTimeout = 10 * time.Millisecond

const (
	// reportIntervalPerEntry is the minimum interval between frames that carry only a capacity
	// report, per entry that receives them. minReportInterval is the lower bound regardless of
	// the number of entries: the tick of the entries.
	reportIntervalPerEntry = 32 * time.Millisecond
	minReportInterval      = 25 * time.Millisecond
)

// ReportInterval returns the minimum interval between two frames to an entry that carry only a
// capacity report. Entries in the worker's availability zone use the worker most and receive
// reports more often; the other entries receive them half as often as they would if all entries
// were treated alike. Offers of capacity are sent immediately, irrespective of this interval.
func ReportInterval(near bool, nearEntries, entries int) time.Duration {
	if near {
		return max(minReportInterval, time.Duration(nearEntries)*reportIntervalPerEntry)
	}
	return max(minReportInterval, 2*time.Duration(entries)*reportIntervalPerEntry)
}

// RequestCapacity updates the capacity that an entry needs for its waiting tasks.
func (core *Core) RequestCapacity(entry ptid.EntryName, request ptrun.CapacityRequest, now ptid.Instant) (effects []Effect) {
	owner := core.owners[entry]
	if owner == nil {
		return nil
	}
	if owner.request.Rate == 0 && request.Rate > 0 {
		// The entry starts level with the others: it earns no credit for the time in which it
		// needed nothing.
		owner.usage = max(owner.usage, core.lowestUsage())
	}
	owner.request = request
	if request.Rate == 0 {
		owner.offered = ptrun.Demand{}
	}
	core.offer(now)
	return core.takeEffects()
}

// lowestUsage returns the lowest normalized usage among the entries that need capacity.
func (core *Core) lowestUsage() (lowest float64) {
	found := false
	for _, owner := range core.owners {
		if owner.request.Rate > 0 && (!found || owner.usage < lowest) {
			lowest, found = owner.usage, true
		}
	}
	return lowest
}

// offer reserves free capacity for the entries with waiting tasks, in proportion to the
// rates at which they need capacity, and sends them the offers.
//
// Offers matter when all capacity is in use and some entries have more callers than others. The
// entry whose run ends is the first to learn of the capacity that becomes free. Without offers
// it would use that capacity for its own next task, capacity would stay with the entries that
// already have it, and the callers of entries that need more would starve.
func (core *Core) offer(now ptid.Instant) {
	if !core.known || !core.reachable || core.worker.Draining || core.draining {
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

// entriesByUsage returns the connected entries that need capacity and have no offer, sorted by
// increasing normalized usage.
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

// wantedByOthers returns the rate at which all connected entries except the given one need
// capacity.
func (core *Core) wantedByOthers(entry ptid.EntryName) (rate ptrun.MillicoresPerSecond) {
	for name, owner := range core.owners {
		if name != entry && owner.connected {
			rate += owner.request.Rate
		}
	}
	return rate
}

// expireOffers withdraws offers that were not used in time.
func (core *Core) expireOffers(now ptid.Instant) {
	for _, owner := range core.owners {
		if owner.offered != (ptrun.Demand{}) && now >= owner.offerExpiresAt {
			owner.offered, owner.request = ptrun.Demand{}, ptrun.CapacityRequest{}
		}
	}
}

// charge adds the CPU of an ordered run to the entry's usage, normalized by the rate at which
// the entry needs capacity.
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
