package ptrunner

import (
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptpresence"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// maxToldAddresses bounds the addresses of entries that an agent takes from other entries.
const maxToldAddresses = 1024

// addressSet is a set of addresses of entries.
type addressSet map[string]bool

// handleAddresses processes the addresses of entries that an entry has passed on. The caller holds the
// lock.
func (runner *Runner) handleAddresses(from ptid.EntryName, entries []*ptwire.EntryAddress) {
	for _, entry := range entries {
		address := entry.GetAddress()
		if runner.told[address] || len(runner.told) >= maxToldAddresses || !ptpresence.IsDialable(address) {
			continue
		}
		runner.told[address] = true
		if !runner.dialing[address] {
			runner.deps.Log.Info("entry learned of from another entry", "address", address, "from", from)
		}
	}
}

func (runner *Runner) toldAddresses() (addresses []string) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	for address := range runner.told {
		addresses = append(addresses, address)
	}
	return addresses
}
