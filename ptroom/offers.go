package ptroom

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// OfferTimeout is how long room is kept for the entry that it was offered to: an offer and
// the order that uses it take a trip each, some milliseconds where the entry is busy.
const OfferTimeout = 10 * time.Millisecond

const (
	// roomShare is the least time between two frames that tell of the room alone, for each
	// entry that is told, and shortestRoomInterval that of all: the entries' tick.
	roomShare            = 32 * time.Millisecond
	shortestRoomInterval = 25 * time.Millisecond
)

// ReportInterval returns the least time between two frames to an entry that tell of the room
// alone. Entries of the worker's availability zone use it most and are told more often,
// others half as often as if all were alike. Room that an entry waits for is offered at once.
func ReportInterval(near bool, nearEntries, entries int) time.Duration {
	if near {
		return max(shortestRoomInterval, time.Duration(nearEntries)*roomShare)
	}
	return max(shortestRoomInterval, 2*time.Duration(entries)*roomShare)
}

// RequestCapacity takes what an entry has waiting.
func (core *Core) RequestCapacity(entry ptid.EntryName, want ptrun.CapacityRequest, now ptid.Instant) (effects []Effect) {
	owner := core.owners[entry]
	if owner == nil {
		return nil
	}
	if owner.want.Rate == 0 && want.Rate > 0 {
		// It starts level with the others: time without a want earns nothing.
		owner.share = max(owner.share, core.lowestShare())
	}
	owner.want = want
	if want.Rate == 0 {
		owner.offered = ptrun.Demand{}
	}
	core.offer(now)
	return core.take()
}

// lowestShare returns the lowest share of the entries that want room.
func (core *Core) lowestShare() (lowest float64) {
	found := false
	for _, owner := range core.owners {
		if owner.want.Rate > 0 && (!found || owner.share < lowest) {
			lowest, found = owner.share, true
		}
	}
	return lowest
}

// offer keeps free room for the entries that have work waiting, in proportion to how
// much, and tells them.
//
// It answers the load of entries with more callers than others, when all of the room is
// taken. The entry whose run ends knows first of the room that this frees; without
// offers it uses it for whatever comes next, room stays with the entries that have it,
// and the callers of those that need more wait in vain.
func (core *Core) offer(now ptid.Instant) {
	if !core.known || !core.reachable || core.worker.Draining || core.drain {
		return
	}
	core.lapseOffers(now)
	for _, name := range core.byShare() {
		owner := core.owners[name]
		if !core.unclaimed().Covers(owner.want.MinDemand) {
			continue
		}
		owner.offered, owner.offerLapsesAt = owner.want.MinDemand, now.Add(OfferTimeout)
		core.emit(SendReport{Owner: Owner{Entry: name, Incarnation: owner.incarnation}})
	}
}

// byShare returns the entries that want room and have no offer, those first that have
// got the least for what they have waiting.
func (core *Core) byShare() (names []ptid.EntryName) {
	for name, owner := range core.owners {
		if owner.connected && owner.want.Rate > 0 && owner.offered == (ptrun.Demand{}) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(left, right ptid.EntryName) int {
		return cmp.Or(cmp.Compare(core.owners[left].share, core.owners[right].share), cmp.Compare(left, right))
	})
	return names
}

// unclaimed returns the room that nothing holds, waits for or was offered.
func (core *Core) unclaimed() (room ptrun.Demand) {
	room = core.worker.Capacity.Minus(core.held).Minus(core.offeredToOthers(""))
	for _, run := range core.runs {
		if run.state == waiting {
			room = room.Minus(run.Demand)
		}
	}
	return room
}

// offeredToOthers returns the room that is kept for all entries but one.
func (core *Core) offeredToOthers(entry ptid.EntryName) (offered ptrun.Demand) {
	for name, owner := range core.owners {
		if name != entry {
			offered = offered.Plus(owner.offered)
		}
	}
	return offered
}

// wantedByOthers returns the rate at which all entries but one need room.
func (core *Core) wantedByOthers(entry ptid.EntryName) (rate ptrun.MillicoresPerSecond) {
	for name, owner := range core.owners {
		if name != entry && owner.connected {
			rate += owner.want.Rate
		}
	}
	return rate
}

// lapseOffers takes back offers that were not used in time.
func (core *Core) lapseOffers(now ptid.Instant) {
	for _, owner := range core.owners {
		if owner.offered != (ptrun.Demand{}) && now >= owner.offerLapsesAt {
			owner.offered, owner.want = ptrun.Demand{}, ptrun.CapacityRequest{}
		}
	}
}

// charge counts room that an entry has got against what it has waiting.
func (core *Core) charge(owner *ownerState, cpu ptrun.Millicores) {
	owner.share += float64(max(1, cpu)) / float64(max(1, owner.want.Rate))
}

// useOffer counts an order against what its entry has waiting, and ends its offer. offered
// is true where there was one.
func (core *Core) useOffer(order *Order) (offered bool) {
	owner := core.owners[order.Owner.Entry]
	if owner == nil {
		return false
	}
	offered = owner.offered != ptrun.Demand{}
	owner.offered = ptrun.Demand{}
	core.charge(owner, order.Demand.CPU)
	return offered
}
