// Package ptpresence implements the discovery of entries through a stream of the platform's
// log.
//
// # How it works
//
//  1. An entry appends its name, address and incarnation when it starts, and again
//     before the record expires.
//  2. Entries follow the stream continuously; agents read it occasionally. The latest
//     record of each name is valid.
//  3. The stream is not required: the settings and the lists that entries send to their
//     agents contain the same addresses, so discovery keeps working while the log is
//     unavailable.
//
// # Usage
//
//	registry := ptpresence.New(log, logger)
//	go registry.Announce(ctx, entry, retention)
//	addresses := registry.Addresses()
package ptpresence

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlog"
)

const (
	// Stream is the name of the log stream that holds the records.
	Stream        = "presence"
	retryDelay    = time.Second
	readBatchSize = 1000
	// renewDivisor gives the interval of renewals, which is drawn between 1/renewDivisor
	// and 2/renewDivisor of the retention.
	renewDivisor = 3
)

// Entry is the registration of an entry process. It is stored as a record in the log stream
// [Stream].
type Entry struct {
	Name        ptid.EntryName   `json:"name"`
	Address     string           `json:"address"`
	Incarnation ptid.Incarnation `json:"incarnation"`
}

// Registry holds the entries that are registered in the stream. It is safe for concurrent
// use.
type Registry struct {
	log    ptlog.Log
	logger logr.Logger

	mu      sync.Mutex
	entries map[ptid.EntryName]Entry
	next    ptid.Offset
}

// New returns a registry without entries.
func New(log ptlog.Log, logger logr.Logger) *Registry {
	return &Registry{log: log, logger: logger, entries: make(map[ptid.EntryName]Entry)}
}

// Announce appends the record of an entry, and appends it again before it expires, until ctx
// ends. retention is how long the log retains records.
func (registry *Registry) Announce(ctx context.Context, entry Entry, retention time.Duration) {
	data, err := json.Marshal(entry)
	if err != nil {
		registry.logger.Error(err, "failed to encode presence record")
		return
	}
	for ctx.Err() == nil {
		wait := retention/renewDivisor + rand.N(retention/renewDivisor+1)
		if _, err := registry.log.Append(ctx, Stream, data); err != nil {
			wait = retryDelay + rand.N(retryDelay)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// Follow reads the stream until ctx ends.
func (registry *Registry) Follow(ctx context.Context) {
	ptlog.Tail(ctx, registry.log, Stream, 0, registry)
}

// Refresh reads the new records of the stream without waiting.
func (registry *Registry) Refresh(ctx context.Context) (err error) {
	registry.mu.Lock()
	from := registry.next
	registry.mu.Unlock()
	batch, err := registry.log.Read(ctx, Stream, from, readBatchSize, 0)
	if err != nil {
		return err
	}
	for _, record := range batch.Records {
		next := registry.HandleRecord(record)
		registry.mu.Lock()
		registry.next = next
		registry.mu.Unlock()
	}
	return nil
}

// Addresses returns the sorted addresses of all registered entries.
func (registry *Registry) Addresses() (addresses []string) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	for _, entry := range registry.entries {
		addresses = append(addresses, entry.Address)
	}
	slices.Sort(addresses)
	return addresses
}

// HandleRecord implements [ptlog.Consumer].
func (registry *Registry) HandleRecord(record ptlog.Record) (next ptid.Offset) {
	var entry Entry
	if json.Unmarshal(record.Data, &entry) == nil && entry.Name != "" {
		if !IsDialable(entry.Address) {
			registry.logger.Info("entry record ignored", "entry", entry.Name, "address", entry.Address, "offset", record.Offset)
			return record.Offset + 1
		}
		registry.mu.Lock()
		registry.entries[entry.Name] = entry
		registry.mu.Unlock()
	}
	return record.Offset + 1
}

// IsDialable reports whether an address has a host and a port in range. The record of another writer
// may have any address.
func IsDialable(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// HandleGap implements [ptlog.Consumer]. Expired registrations are not needed.
func (registry *Registry) HandleGap(ptid.Offset, ptid.Offset) {}

// HandleCaughtUp implements [ptlog.Consumer].
func (registry *Registry) HandleCaughtUp() {}

// HandleReadError implements [ptlog.Consumer]. Errors are ignored, because the settings
// and the entries provide addresses as well.
func (registry *Registry) HandleReadError(error) {}
