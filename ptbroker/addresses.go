package ptbroker

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// discoverInterval is the interval at which the broker looks for changed addresses of entries.
const discoverInterval = 250 * time.Millisecond

// addressList holds the addresses of the entries that agents are told. An agent that can't reach the log
// learns of an added entry from those that it has sessions with.
type addressList struct {
	// current is read without a lock. The broker's lock guards nextAt.
	current atomic.Pointer[[]string]
	nextAt  ptid.Instant
}

// messages returns the addresses for a frame.
func (list *addressList) messages() (entries []*ptwire.EntryAddress) {
	if current := list.current.Load(); current != nil {
		for _, address := range *current {
			entries = append(entries, &ptwire.EntryAddress{Address: address})
		}
	}
	return entries
}

// passOnAddresses sends the addresses of the entries to all agents if they have changed. The caller holds
// the lock.
func (broker *Broker) passOnAddresses(now ptid.Instant) {
	list := &broker.addresses
	if broker.deps.Discover == nil || now < list.nextAt {
		return
	}
	list.nextAt = now.Add(discoverInterval)
	addresses, known := broker.deps.Discover(), list.current.Load()
	if known != nil && slices.Equal(addresses, *known) {
		return
	}
	list.current.Store(&addresses)
	broker.deps.Log.Info("entry addresses changed", "entries", len(addresses), "agents", len(broker.agentSessions))
	entries := list.messages()
	for _, agent := range broker.agentSessions {
		agent.session.Post(func(frame *ptwire.Frame) { frame.Entries = entries })
	}
}
