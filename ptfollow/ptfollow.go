// Package ptfollow keeps the configuration in force of one process: it follows
// the configuration stream, takes the state of peers while the log is down, and
// writes snapshots before records expire.
//
// # How it works
//
//  1. [Reader] folds records in order (package ptconfig). After a gap it folds
//     nothing until a snapshot covers the gap, because it can't know which changes
//     it missed.
//  2. [Follower] publishes the state of its reader behind an atomic pointer; on the
//     path of a request it is read without a lock. A lower revision is never
//     published.
//  3. A state offered by a peer is taken where its revision is higher. Reading goes
//     on from its offset when the log is back.
//  4. A follower that has seen no snapshot for half of the log's retention appends
//     one after a random wait. Equal snapshots of several processes are harmless.
//  5. [Apply] appends a change and says accepted only after it has read its own
//     change back as won. An append whose answer was lost is resolved by its id.
//
// # Usage
//
//	follower := ptfollow.New(log, retention, logger, metrics)
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

// Reader folds the records of the stream and keeps track of gaps.
type Reader struct {
	state *ptconfig.State
	// neededFrom is the offset that a snapshot must have folded up to, at least,
	// before folding goes on; -1 where there is no gap.
	neededFrom ptid.Offset
}

// NewReader returns a reader that starts from a state.
func NewReader(state *ptconfig.State) *Reader { return &Reader{state: state, neededFrom: -1} }

// State returns the state that has been folded so far.
func (reader *Reader) State() *ptconfig.State { return reader.state }

// Complete reports whether no gap is open.
func (reader *Reader) Complete() bool { return reader.neededFrom < 0 }

// MarkGap tells that the records before first have expired.
func (reader *Reader) MarkGap(first ptid.Offset) {
	if first > reader.state.Offset+1 {
		reader.neededFrom = first - 1
	}
}

// Fold takes a record and returns the offset to read next.
func (reader *Reader) Fold(record ptlog.Record) (next ptid.Offset, verdict ptconfig.FoldResult) {
	if !reader.Complete() {
		snapshot, err := ptconfig.DecodeSnapshot(record.Data)
		if err != nil || snapshot.Offset < reader.neededFrom || snapshot.Revision < reader.state.Revision {
			return record.Offset + 1, ptconfig.Ignored{Reason: "a gap is open"}
		}
		reader.state, reader.neededFrom = snapshot, -1
		return snapshot.Offset + 1, ptconfig.Restored{Revision: snapshot.Revision}
	}
	state, verdict := ptconfig.Fold(reader.state, record.Offset, record.Data)
	ptassert.That(state.Revision >= reader.state.Revision, "the revision never falls",
		"from", reader.state.Revision, "to", state.Revision)
	reader.state = state
	if _, restored := verdict.(ptconfig.Restored); restored {
		return state.Offset + 1, verdict
	}
	return record.Offset + 1, verdict
}

// AdoptIfNewer replaces the state by a higher one of a peer. It is false where the
// peer's is not higher.
func (reader *Reader) AdoptIfNewer(state *ptconfig.State) (taken bool) {
	if state.Revision <= reader.state.Revision {
		return false
	}
	reader.state, reader.neededFrom = state, -1
	return true
}

// Follower keeps the configuration in force of one process. It is safe for
// concurrent use.
type Follower struct {
	log       ptlog.Log
	retention time.Duration
	logger    logr.Logger
	errors    func()

	current  atomic.Pointer[ptconfig.State]
	caughtUp atomic.Bool
	changed  func(state *ptconfig.State)

	mu         sync.Mutex
	reader     *Reader
	snapshotBy time.Time
	down       bool
}

// New returns a follower that knows nothing yet. changed is called after every
// new state, from one goroutine at a time.
func New(log ptlog.Log, retention time.Duration, logger logr.Logger, metrics *ptmetric.Set, changed func(state *ptconfig.State)) *Follower {
	follower := &Follower{
		log: log, retention: retention, logger: logger, changed: changed,
		errors: metrics.Counter(ptmetric.LogErrors, "operation", "read").Inc,
		reader: NewReader(ptconfig.NewState()),
	}
	follower.current.Store(follower.reader.State())
	follower.planSnapshot()
	metrics.Gauge(ptmetric.Revision, func() float64 { return float64(follower.State().Revision) })
	return follower
}

// State returns the configuration in force.
func (follower *Follower) State() *ptconfig.State { return follower.current.Load() }

// Run follows the stream until ctx ends.
func (follower *Follower) Run(ctx context.Context) {
	go follower.keepSnapshots(ctx)
	ptlog.Tail(ctx, follower.log, ptconfig.Stream, follower.State().Offset+1, follower)
}

// AdoptIfNewer takes the state of a peer where its revision is higher.
func (follower *Follower) AdoptIfNewer(state *ptconfig.State) (taken bool) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if !follower.reader.AdoptIfNewer(state) {
		return false
	}
	follower.logger.Info("configuration taken from a peer", "revision", state.Revision)
	follower.publish()
	return true
}

// publish makes the reader's state the one in force. The caller holds the lock.
func (follower *Follower) publish() {
	state := follower.reader.State()
	if state.Revision < follower.State().Revision {
		return
	}
	grown := state.Revision > follower.State().Revision
	follower.current.Store(state)
	if grown {
		follower.logger.Info("configuration changed", "revision", state.Revision)
		follower.changed(state)
	}
}

// HandleRecord implements [ptlog.Consumer].
func (follower *Follower) HandleRecord(record ptlog.Record) (next ptid.Offset) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if _, err := ptconfig.DecodeSnapshot(record.Data); err == nil {
		follower.planSnapshot()
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
	follower.logger.Info("records of the configuration have expired", "from", from, "first", first, "whole", follower.reader.Complete())
}

// HandleCaughtUp implements [ptlog.Consumer].
func (follower *Follower) HandleCaughtUp() {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if follower.down {
		follower.logger.Info("the log answers again")
		follower.down = false
	}
	follower.caughtUp.Store(true)
}

// HandleReadError implements [ptlog.Consumer].
func (follower *Follower) HandleReadError(err error) {
	follower.errors()
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if !follower.down {
		follower.logger.Info("the log does not answer", "error", err.Error())
		follower.down = true
	}
}

// planSnapshot sets when the next snapshot is due. The caller holds the lock, or
// is the only one.
func (follower *Follower) planSnapshot() {
	half := follower.retention / 2
	follower.snapshotBy = time.Now().Add(half + rand.N(half/4+1))
}

const snapshotChecks = 20

func (follower *Follower) keepSnapshots(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(follower.retention/snapshotChecks, 10*time.Millisecond)):
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
	if time.Now().Before(follower.snapshotBy) || state.Revision == 0 || follower.down {
		return nil
	}
	follower.planSnapshot()
	return state
}

func (follower *Follower) appendSnapshot(ctx context.Context, state *ptconfig.State) {
	data, err := ptconfig.EncodeSnapshot(state)
	if err == nil {
		_, err = follower.log.Append(ctx, ptconfig.Stream, data)
	}
	if err != nil {
		follower.logger.Info("a snapshot was not confirmed", "error", err.Error())
		return
	}
	follower.logger.Info("snapshot appended", "revision", state.Revision)
}

// ErrUnconfirmed says that nobody knows whether a change took effect.
var ErrUnconfirmed = errors.New("the log did not confirm the change in time; read the configuration before you try again")

const readLimit = 1000

// Load reads the whole stream and returns a reader of its end.
func Load(ctx context.Context, log ptlog.Log) (reader *Reader, err error) {
	defer func() { err = errors.Wrap(err, "read the configuration") }()
	reader = NewReader(ptconfig.NewState())
	at := ptid.Offset(0)
	for {
		next, more, err := reader.advance(ctx, log, at, 0)
		if err != nil {
			return nil, err
		}
		if !more {
			return reader, nil
		}
		at = next
	}
}

// advance folds one batch from an offset on.
func (reader *Reader) advance(ctx context.Context, log ptlog.Log, from ptid.Offset, wait time.Duration) (next ptid.Offset, more bool, err error) {
	batch, err := log.Read(ctx, ptconfig.Stream, from, readLimit, wait)
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

// confirmWithin bounds the wait for an own change to be read back.
const confirmWithin = 10 * time.Second

// Apply appends a change and waits until it has read it back. Where the state of
// the reader has no base for the change, the caller sets BasedOn before.
func Apply(ctx context.Context, log ptlog.Log, reader *Reader, change *ptconfig.Change) (decided ptconfig.ChangeResult, err error) {
	defer func() { err = errors.Wrap(err, "apply a change") }()
	data, err := ptconfig.EncodeChange(change)
	if err != nil {
		return ptconfig.ChangeResult{}, err
	}
	_, appendErr := log.Append(ctx, ptconfig.Stream, data)
	at := reader.State().Offset + 1
	for confirmBy := time.Now().Add(confirmWithin); time.Now().Before(confirmBy) && ctx.Err() == nil; {
		next, _, err := reader.advance(ctx, log, at, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		at = next
		if decided, known := reader.State().ChangeResult(change.ID); known {
			return decided, nil
		}
	}
	if appendErr != nil {
		return ptconfig.ChangeResult{}, errors.Wrap(ErrUnconfirmed, appendErr.Error())
	}
	return ptconfig.ChangeResult{}, ErrUnconfirmed
}
