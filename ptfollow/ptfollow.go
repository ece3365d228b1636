// Package ptfollow maintains the current configuration of a process. It follows the
// configuration stream, adopts the state of peers while the log is unavailable, and
// appends snapshots before records expire.
//
// # How it works
//
//  1. [Reader] folds the records in order (package ptconfig). After a gap it waits for
//     a snapshot that covers the gap, because it can't know which changes it missed.
//  2. [Follower] publishes its reader's state through an atomic pointer, so that requests
//     read the configuration without a lock. The published revision never decreases.
//  3. A state that a peer offers is adopted if its revision is higher. Reading resumes
//     at its offset when the log is available again.
//  4. A follower that has read no snapshot for half of the log's retention appends one
//     after a random delay. Duplicate snapshots by several processes are harmless.
//  5. [Apply] appends a change and reports its result only after it has read the change
//     back. An append whose response was lost is found by the ID of the change.
//
// # Usage
//
//	follower := ptfollow.New(log, retention, logger, metrics, changed)
//	go follower.Run(ctx)
//	state := follower.State()
package ptfollow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptconfig"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlog"
	"github.com/primrosetiller/primrosetiller/ptmetric"
)

// Reader folds the records of the stream and detects gaps.
type Reader struct {
	state *ptconfig.State
	// neededFrom is the minimum offset that a snapshot must have to close the current gap. It
	// is -1 if there is no gap.
	neededFrom ptid.Offset
}

// NewReader returns a reader with an initial state.
func NewReader(state *ptconfig.State) *Reader { return &Reader{state: state, neededFrom: -1} }

// State returns the state after the records folded so far.
func (reader *Reader) State() *ptconfig.State { return reader.state }

// Complete reports whether no gap is open, so that the state contains all changes up to its
// offset.
func (reader *Reader) Complete() bool { return reader.neededFrom < 0 }

// MarkGap tells the reader that the records before first have expired. It opens a gap if the
// reader has not folded all expired records.
func (reader *Reader) MarkGap(first ptid.Offset) {
	if first > reader.state.Offset+1 {
		reader.neededFrom = first - 1
	}
}

// Fold applies a record and returns the offset to read next.
func (reader *Reader) Fold(record ptlog.Record) (next ptid.Offset, result ptconfig.FoldResult) {
	if !reader.Complete() {
		snapshot, err := ptconfig.DecodeSnapshot(record.Data)
		if err != nil || snapshot.Offset < reader.neededFrom || snapshot.Revision < reader.state.Revision {
			return record.Offset + 1, ptconfig.Ignored{Reason: "waiting for a snapshot that covers the gap"}
		}
		reader.state, reader.neededFrom = snapshot, -1
		return snapshot.Offset + 1, ptconfig.Restored{Revision: snapshot.Revision}
	}
	state, result := ptconfig.Fold(reader.state, record.Offset, record.Data)
	ptassert.That(state.Revision >= reader.state.Revision, "configuration revision never decreases",
		"from", reader.state.Revision, "to", state.Revision)
	reader.state = state
	if _, restored := result.(ptconfig.Restored); restored {
		return state.Offset + 1, result
	}
	return record.Offset + 1, result
}

// AdoptIfNewer replaces the state by the state of a peer if its revision is higher, and
// reports whether it did.
func (reader *Reader) AdoptIfNewer(state *ptconfig.State) (adopted bool) {
	if state.Revision <= reader.state.Revision {
		return false
	}
	reader.state, reader.neededFrom = state, -1
	return true
}

// Follower maintains the current configuration of a process. It is safe for concurrent
// use.
type Follower struct {
	log            ptlog.Log
	retention      time.Duration
	logger         logr.Logger
	countReadError func()

	current  atomic.Pointer[ptconfig.State]
	caughtUp atomic.Bool
	changed  func(state *ptconfig.State)

	mu             sync.Mutex
	reader         *Reader
	nextSnapshotAt time.Time
	logUnavailable bool
}

// New returns a follower with an empty configuration. changed is called after every
// change of the revision; calls do not overlap.
func New(log ptlog.Log, retention time.Duration, logger logr.Logger, metrics *ptmetric.Set, changed func(state *ptconfig.State)) *Follower {
	follower := &Follower{
		log: log, retention: retention, logger: logger, changed: changed,
		countReadError: metrics.Counter(ptmetric.LogErrors, "operation", "read").Inc,
		reader:         NewReader(ptconfig.NewState()),
	}
	follower.current.Store(follower.reader.State())
	follower.scheduleSnapshot()
	metrics.Gauge(ptmetric.Revision, func() float64 { return float64(follower.State().Revision) })
	return follower
}

// State returns the current configuration.
func (follower *Follower) State() *ptconfig.State { return follower.current.Load() }

// Run follows the stream until ctx ends.
func (follower *Follower) Run(ctx context.Context) {
	go follower.appendSnapshots(ctx)
	ptlog.Tail(ctx, follower.log, ptconfig.Stream, follower.State().Offset+1, follower)
}

// AdoptIfNewer adopts the state of a peer if its revision is higher, and reports whether
// it did.
func (follower *Follower) AdoptIfNewer(state *ptconfig.State) (adopted bool) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if !follower.reader.AdoptIfNewer(state) {
		return false
	}
	follower.logger.Info("configuration adopted from peer", "revision", state.Revision)
	follower.publish()
	return true
}

// publish makes the reader's state the current configuration. The caller holds the lock.
func (follower *Follower) publish() {
	state := follower.reader.State()
	if state.Revision < follower.State().Revision {
		return
	}
	revisionChanged := state.Revision > follower.State().Revision
	follower.current.Store(state)
	if revisionChanged {
		follower.logger.Info("configuration changed", "revision", state.Revision)
		follower.changed(state)
	}
}

// HandleRecord implements [ptlog.Consumer].
func (follower *Follower) HandleRecord(record ptlog.Record) (next ptid.Offset) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if _, err := ptconfig.DecodeSnapshot(record.Data); err == nil {
		follower.scheduleSnapshot()
	}
	if follower.reader.Complete() && record.Offset <= follower.reader.State().Offset {
		return follower.reader.State().Offset + 1
	}
	next, _ = follower.reader.Fold(record)
	follower.publish()
	return next
}

// HandleGap implements [ptlog.Consumer].
func (follower *Follower) HandleGap(from, first ptid.Offset) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.reader.MarkGap(first)
	follower.logger.Info("configuration records expired", "from", from, "first", first, "whole", follower.reader.Complete())
}

// HandleCaughtUp implements [ptlog.Consumer].
func (follower *Follower) HandleCaughtUp() {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if follower.logUnavailable {
		follower.logger.Info("log available again")
		follower.logUnavailable = false
	}
	follower.caughtUp.Store(true)
}

// HandleReadError implements [ptlog.Consumer].
func (follower *Follower) HandleReadError(err error) {
	follower.countReadError()
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if !follower.logUnavailable {
		follower.logger.Info("log unavailable", "error", err.Error())
		follower.logUnavailable = true
	}
}

// scheduleSnapshot sets the time of the next snapshot. The caller holds the lock, or no
// other goroutine has access yet.
func (follower *Follower) scheduleSnapshot() {
	interval := follower.retention / 2
	follower.nextSnapshotAt = time.Now().Add(interval + rand.N(interval/4+1))
}

// snapshotCheckDivisor determines how often the follower checks whether a snapshot is due: the
// interval is the retention of the log divided by snapshotCheckDivisor.
const snapshotCheckDivisor = 20

func (follower *Follower) appendSnapshots(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(follower.retention/snapshotCheckDivisor, 10*time.Millisecond)):
		}
		if state := follower.snapshotDue(); state != nil {
			follower.appendSnapshot(ctx, state)
		}
	}
}

func (follower *Follower) snapshotDue() *ptconfig.State {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	state := follower.reader.State()
	if time.Now().Before(follower.nextSnapshotAt) || state.Revision == 0 || follower.logUnavailable {
		return nil
	}
	follower.scheduleSnapshot()
	return state
}

func (follower *Follower) appendSnapshot(ctx context.Context, state *ptconfig.State) {
	data, err := ptconfig.EncodeSnapshot(state)
	if err == nil {
		_, err = follower.log.Append(ctx, ptconfig.Stream, data)
	}
	if err != nil {
		follower.logger.Info("append of configuration snapshot not confirmed", "error", err.Error())
		return
	}
	follower.logger.Info("configuration snapshot appended", "revision", state.Revision)
}

// ErrUnconfirmed means that it is unknown whether a change took effect.
var ErrUnconfirmed = errors.New("log did not confirm the change in time; read the configuration before you try again")

const readBatchSize = 1000

// Load reads the whole stream and returns a reader with the resulting state.
func Load(ctx context.Context, log ptlog.Log) (reader *Reader, err error) {
	defer func() { err = errors.Wrap(err, "read the configuration") }()
	reader = NewReader(ptconfig.NewState())
	offset := ptid.Offset(0)
	for {
		next, more, err := reader.advance(ctx, log, offset, 0)
		if err != nil {
			return nil, err
		}
		if !more {
			return reader, nil
		}
		offset = next
	}
}

// advance reads and folds one batch from an offset on.
func (reader *Reader) advance(ctx context.Context, log ptlog.Log, from ptid.Offset, wait time.Duration) (next ptid.Offset, more bool, err error) {
	batch, err := log.Read(ctx, ptconfig.Stream, from, readBatchSize, wait)
	if err != nil {
		return from, false, err
	}
	if batch.OldestOffset > from {
		reader.MarkGap(batch.OldestOffset)
		from = batch.OldestOffset
	}
	for _, record := range batch.Records {
		next, _ := reader.Fold(record)
		from = record.Offset + 1
		if next != from {
			return next, true, nil
		}
	}
	return from, len(batch.Records) > 0, nil
}

// confirmTimeout bounds the wait until an appended change has been read back.
const confirmTimeout = 10 * time.Second

// Apply appends a change, waits until it has been read back, and returns its result. The
// caller must have set the revision on which the change is based.
func Apply(ctx context.Context, log ptlog.Log, reader *Reader, change *ptconfig.Change) (result ptconfig.ChangeResult, err error) {
	defer func() { err = errors.Wrap(err, "apply change") }()
	data, err := ptconfig.EncodeChange(change)
	if err != nil {
		return ptconfig.ChangeResult{}, err
	}
	_, appendErr := log.Append(ctx, ptconfig.Stream, data)
	offset := reader.State().Offset + 1
	for deadline := time.Now().Add(confirmTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		next, _, err := reader.advance(ctx, log, offset, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		offset = next
		if result, known := reader.State().ChangeResult(change.ID); known {
			return result, nil
		}
	}
	if appendErr != nil {
		return ptconfig.ChangeResult{}, errors.Wrap(ErrUnconfirmed, appendErr.Error())
	}
	return ptconfig.ChangeResult{}, ErrUnconfirmed
}
