package ptagent

import (
	"sync"

	"github.com/primrosetiller/primrosetiller/ptwire"
)

// addressSet holds the known addresses of entries and which of them are being dialed. The zero
// value is an empty set.
type addressSet struct {
	mu sync.Mutex
	// dialed maps each known address to whether a goroutine is dialing it.
	dialed map[string]bool
	signal chan struct{}
}

// add adds addresses to the set. Known and empty addresses are ignored.
func (set *addressSet) add(addresses ...string) {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.init()
	for _, address := range addresses {
		if _, known := set.dialed[address]; known || address == "" {
			continue
		}
		set.dialed[address] = false
		select {
		case set.signal <- struct{}{}:
		default:
		}
	}
}

func (set *addressSet) init() {
	if set.dialed == nil {
		set.dialed = make(map[string]bool)
		set.signal = make(chan struct{}, 1)
	}
}

func (set *addressSet) addEntries(entries []*ptwire.EntryAddress) {
	for _, entry := range entries {
		set.add(entry.Address)
	}
}

// takeUndialed returns the addresses that are not being dialed, and marks them as being dialed.
// The caller starts a goroutine for each of them.
func (set *addressSet) takeUndialed() (addresses []string) {
	set.mu.Lock()
	defer set.mu.Unlock()
	for address, dialed := range set.dialed {
		if !dialed {
			set.dialed[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// remove deletes an address after its goroutine has stopped dialing it.
func (set *addressSet) remove(address string) {
	set.mu.Lock()
	defer set.mu.Unlock()
	delete(set.dialed, address)
}

// added returns a channel that receives a value after addresses have been added.
func (set *addressSet) added() <-chan struct{} {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.init()
	return set.signal
}
