package ptagent

import (
	"sync"

	"github.com/primrosetiller/primrosetiller/ptwire"
)

// addressBook knows the addresses of entries and which of them are being dialed. The
// zero value is empty.
type addressBook struct {
	mu sync.Mutex
	// dialed tells of each known address whether a goroutine dials it.
	dialed map[string]bool
	signal chan struct{}
}

// learn adds addresses; known ones change nothing.
func (book *addressBook) learn(addresses ...string) {
	book.mu.Lock()
	defer book.mu.Unlock()
	book.init()
	for _, address := range addresses {
		if _, known := book.dialed[address]; known || address == "" {
			continue
		}
		book.dialed[address] = false
		select {
		case book.signal <- struct{}{}:
		default:
		}
	}
}

func (book *addressBook) init() {
	if book.dialed == nil {
		book.dialed = make(map[string]bool)
		book.signal = make(chan struct{}, 1)
	}
}

func (book *addressBook) learnEntries(entries []*ptwire.EntryAddress) {
	for _, entry := range entries {
		book.learn(entry.Address)
	}
}

// take returns the addresses that nobody dials yet and marks them as dialed.
func (book *addressBook) take() (addresses []string) {
	book.mu.Lock()
	defer book.mu.Unlock()
	for address, dialed := range book.dialed {
		if !dialed {
			book.dialed[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// ended forgets an address that is no longer dialed.
func (book *addressBook) ended(address string) {
	book.mu.Lock()
	defer book.mu.Unlock()
	delete(book.dialed, address)
}

// news is signalled when there are addresses to take.
func (book *addressBook) news() <-chan struct{} {
	book.mu.Lock()
	defer book.mu.Unlock()
	book.init()
	return book.signal
}
