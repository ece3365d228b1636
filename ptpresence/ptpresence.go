// Package ptpresence finds entries through a stream of the platform's log.
//
// # How it works
//
//  1. An entry appends its name, address and incarnation when it starts, and again
//     before the record expires.
//  2. Entries follow the stream; agents read it now and then. The latest record of
//     a name counts.
//  3. Nothing depends on the stream: settings and the lists that entries send to
//     their agents carry the same addresses, so an outage of the log blinds nobody.
//
// # Usage
//
//	presence := ptpresence.New(log, logger)
//	go presence.Announce(ctx, entry, retention)
//	addresses := presence.Addresses()
package ptpresence

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlog"
)

const (
	// Stream is the stream of the platform's log that holds the records.
	Stream      = "presence"
	retryAfter  = time.Second
	readLimit   = 1000
	refreshPart = 3
)

// Entry is one record of the stream.
type Entry struct {
	Name        ptid.EntryName   `json:"name"`
	Address     string           `json:"address"`
	Incarnation ptid.Incarnation `json:"incarnation"`
}

// Registry knows the entries that the stream tells of. It is safe for concurrent use.
type Registry struct {
	log    ptlog.Log
	logger logr.Logger

	mu      sync.Mutex
	entries map[ptid.EntryName]Entry
	next    ptid.Offset
}

// New returns a presence that has read nothing yet.
func New(log ptlog.Log, logger logr.Logger) *Registry {
	return &Registry{log: log, logger: logger, entries: make(map[ptid.EntryName]Entry)}
}

// Announce appends the entry's record and renews it until ctx ends.
func (presence *Registry) Announce(ctx context.Context, entry Entry, retention time.Duration) {
	data, err := json.Marshal(entry)
	if err != nil {
		presence.logger.Error(err, "the presence record can't be encoded")
		return
	}
	for ctx.Err() == nil {
		wait := retention/refreshPart + rand.N(retention/refreshPart+1)
		if _, err := presence.log.Append(ctx, Stream, data); err != nil {
			wait = retryAfter + rand.N(retryAfter)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// Follow reads the stream until ctx ends.
func (presence *Registry) Follow(ctx context.Context) {
	ptlog.Tail(ctx, presence.log, Stream, 0, presence)
}

// Refresh reads what is new in the stream, without waiting.
func (presence *Registry) Refresh(ctx context.Context) (err error) {
	presence.mu.Lock()
	from := presence.next
	presence.mu.Unlock()
	batch, err := presence.log.Read(ctx, Stream, from, readLimit, 0)
	if err != nil {
		return err
	}
	for _, record := range batch.Records {
		next := presence.HandleRecord(record)
		presence.mu.Lock()
		presence.next = next
		presence.mu.Unlock()
	}
	return nil
}

// Addresses returns the addresses of all entries that the stream tells of, sorted.
func (presence *Registry) Addresses() (addresses []string) {
	presence.mu.Lock()
	defer presence.mu.Unlock()
	for _, entry := range presence.entries {
		addresses = append(addresses, entry.Address)
	}
	slices.Sort(addresses)
	return addresses
}

// HandleRecord implements [ptlog.Consumer].
func (presence *Registry) HandleRecord(record ptlog.Record) (next ptid.Offset) {
	var entry Entry
	if json.Unmarshal(record.Data, &entry) == nil && entry.Name != "" {
		presence.mu.Lock()
		presence.entries[entry.Name] = entry
		presence.mu.Unlock()
	}
	return record.Offset + 1
}

// HandleGap implements [ptlog.Consumer]: what has expired is of no interest.
func (presence *Registry) HandleGap(ptid.Offset, ptid.Offset) {}

// HandleCaughtUp implements [ptlog.Consumer].
func (presence *Registry) HandleCaughtUp() {}

// HandleReadError implements [ptlog.Consumer]: the other sources go on.
func (presence *Registry) HandleReadError(error) {}
