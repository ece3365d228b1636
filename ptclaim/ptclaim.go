// Package ptclaim decides which of several submissions with the same key may run. It
// records the submissions as claims in a stream of the platform's log.
//
// # How it works
//
//  1. An entry appends a claim to the stream and does not start the job before it has read
//     its own record back as the first claim of the key. Every reader applies the same
//     records in the same order ([Table]), so all readers agree on the first claim.
//  2. Claims that arrive while an append is in progress are appended together by the next
//     append (group commit), so that the number of appends does not grow with the load.
//  3. If the response to an append is lost, the reader finds the record by its id.
//  4. A claim that is not read back in time is abandoned. Its record may still appear in
//     the stream, so the caller has to record that the claiming job never ran.
//  5. A later submission may supersede a claim whose job is proven not to have run. The
//     new claim names the job that it supersedes. If several claims name the same job,
//     only the first of these claims takes effect.
//  6. Keys expire after [KeyRetention], according to the timestamps of the records, so
//     that all readers remove the same keys at the same record.
//
// # Usage
//
//	claimer := ptclaim.New(log, "entry1", logger, metrics)
//	go claimer.Run(ctx, address)
//	holder, err := claimer.Claim(ctx, claim)
//
// # Limits
//
// Every entry reads all claims. docs/CAPACITY.md gives the rate above which the stream has
// to be partitioned by key.
package ptclaim

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlog"
	"github.com/primrosetiller/primrosetiller/ptmetric"
)

const (
	// Stream is the stream of the platform's log that holds the claims.
	Stream = "claims"
	// KeyRetention is how long a key is retained.
	KeyRetention = 15 * time.Minute
	// ConfirmTimeout is how long Claim waits for the claim to be read back.
	ConfirmTimeout = 4 * time.Second
	// maxBatchClaims is the maximum number of claims in one group commit.
	maxBatchClaims = 500
)

// ErrUnavailable means that the claim was not confirmed in time. The claiming job must
// never run.
var ErrUnavailable = errors.New("the claim was not confirmed by the log in time")

type pendingClaim struct {
	claim  Claim
	holder chan Holder
}

// Claimer appends claims to the claims stream and reads them back. It is safe for
// concurrent use.
type Claimer struct {
	log      ptlog.Log
	idPrefix string
	logger   logr.Logger
	metrics  *ptmetric.Set

	mu      sync.Mutex
	address string
	table   *Table
	pending []*pendingClaim
	// appended holds the claims of each appended record, by record id.
	appended        map[string][]*pendingClaim
	recordCount     uint64
	appendRequested chan struct{}
	unavailable     bool
}

// New returns the claimer of an entry. The record ids have a random prefix, so that the
// claimer never mistakes the records of another incarnation of the entry for its own.
func New(log ptlog.Log, entry ptid.EntryName, logger logr.Logger, metrics *ptmetric.Set) *Claimer {
	return &Claimer{
		log: log, idPrefix: string(entry) + "-" + strconv.FormatUint(rand.Uint64(), 36), logger: logger, metrics: metrics,
		table: NewTable(KeyRetention), appended: make(map[string][]*pendingClaim), appendRequested: make(chan struct{}, 1),
	}
}

// Run reads the claims stream and appends claims until ctx is cancelled. address is where
// other entries reach this entry; it is part of every record.
func (claimer *Claimer) Run(ctx context.Context, address string) {
	claimer.mu.Lock()
	claimer.address = address
	claimer.mu.Unlock()
	var group errgroup.Group
	group.Go(func() error { claimer.appendLoop(ctx); return nil })
	group.Go(func() error {
		ptlog.Tail(ctx, claimer.log, Stream, claimer.startOffset(ctx), claimer)
		return nil
	})
	_ = group.Wait()
}

// startOffset returns the offset from which the stream has to be read to find every key
// within KeyRetention. Timestamps increase with the offsets except for the skew between
// the writers' clocks; reading twice the retention time allows for that skew.
func (claimer *Claimer) startOffset(ctx context.Context) (offset ptid.Offset) {
	oldest := time.Now().Add(-2 * KeyRetention)
	batch, err := claimer.log.Read(ctx, Stream, 0, 1, 0)
	if err != nil || len(batch.Records) == 0 {
		return 0
	}
	low, high := batch.OldestOffset, batch.OldestOffset+1
	for claimer.olderAt(ctx, high, oldest) {
		low, high = high, high*2
	}
	for low+1 < high {
		middle := (low + high) / 2
		if claimer.olderAt(ctx, middle, oldest) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// olderAt reports whether the record at an offset exists and is older than a time.
func (claimer *Claimer) olderAt(ctx context.Context, offset ptid.Offset, moment time.Time) bool {
	batch, err := claimer.log.Read(ctx, Stream, offset, 1, 0)
	if err != nil || len(batch.Records) == 0 {
		return false
	}
	var record Record
	return json.Unmarshal(batch.Records[0].Data, &record) == nil && record.At.Before(moment)
}

// Claim appends a claim and returns the holder of its key after the claim has been read
// back. After an error the claiming job must never run.
func (claimer *Claimer) Claim(ctx context.Context, claim Claim) (holder Holder, err error) {
	pending := &pendingClaim{claim: claim, holder: make(chan Holder, 1)}
	claimer.mu.Lock()
	claimer.pending = append(claimer.pending, pending)
	claimer.mu.Unlock()
	select {
	case claimer.appendRequested <- struct{}{}:
	default:
	}
	timer := time.NewTimer(ConfirmTimeout)
	defer timer.Stop()
	select {
	case holder := <-pending.holder:
		claimer.metrics.Counter(ptmetric.Claims, "result", resultName(holder.Job == claim.Job)).Inc()
		return holder, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	claimer.metrics.Counter(ptmetric.Claims, "result", "unavailable").Inc()
	return Holder{}, ErrUnavailable
}

func resultName(won bool) string {
	if won {
		return "won"
	}
	return "lost"
}

func (claimer *Claimer) appendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-claimer.appendRequested:
		}
		for claimer.appendOnce(ctx) {
		}
	}
}

// appendOnce appends the pending claims as one record and reports whether there were any.
func (claimer *Claimer) appendOnce(ctx context.Context) (appended bool) {
	claimer.mu.Lock()
	count := min(len(claimer.pending), maxBatchClaims)
	if count == 0 {
		claimer.mu.Unlock()
		return false
	}
	batch := claimer.pending[:count:count]
	claimer.pending = claimer.pending[count:]
	claimer.recordCount++
	record := Record{ID: claimer.idPrefix + "-" + strconv.FormatUint(claimer.recordCount, 36), At: time.Now(), Address: claimer.address}
	for _, pending := range batch {
		record.Claims = append(record.Claims, pending.claim)
	}
	claimer.appended[record.ID] = batch
	claimer.mu.Unlock()
	time.AfterFunc(2*ConfirmTimeout, func() { claimer.discardAppended(record.ID) })
	data, err := json.Marshal(record)
	if err == nil {
		_, err = claimer.log.Append(ctx, Stream, data)
	}
	if err != nil {
		// The record may have been appended despite the error. If so, the reader finds it.
		claimer.metrics.Counter(ptmetric.LogErrors, "operation", "append").Inc()
	}
	return true
}

func (claimer *Claimer) discardAppended(id string) {
	claimer.mu.Lock()
	defer claimer.mu.Unlock()
	delete(claimer.appended, id)
}

// HandleRecord implements [ptlog.Consumer].
func (claimer *Claimer) HandleRecord(record ptlog.Record) (next ptid.Offset) {
	claimer.mu.Lock()
	defer claimer.mu.Unlock()
	decoded, holders, err := claimer.table.Apply(record.Data)
	if err != nil {
		return record.Offset + 1
	}
	for i, pending := range claimer.appended[decoded.ID] {
		pending.holder <- holders[i]
	}
	delete(claimer.appended, decoded.ID)
	return record.Offset + 1
}

// HandleGap implements [ptlog.Consumer]. Records that have expired from the log are older
// than KeyRetention, so no key is lost.
func (claimer *Claimer) HandleGap(ptid.Offset, ptid.Offset) {}

// HandleCaughtUp implements [ptlog.Consumer].
func (claimer *Claimer) HandleCaughtUp() { claimer.setUnavailable(nil) }

// HandleReadError implements [ptlog.Consumer].
func (claimer *Claimer) HandleReadError(err error) {
	claimer.metrics.Counter(ptmetric.LogErrors, "operation", "read").Inc()
	claimer.setUnavailable(err)
}

func (claimer *Claimer) setUnavailable(err error) {
	claimer.mu.Lock()
	defer claimer.mu.Unlock()
	unavailable := err != nil
	if claimer.unavailable != unavailable {
		claimer.unavailable = unavailable
		claimer.logger.Info("availability of the claims stream changed", "available", !unavailable)
	}
}

func encodeText(raw []byte) []byte { return base64.RawURLEncoding.AppendEncode(nil, raw) }

func decodeText(target, text []byte) (err error) {
	decoded, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(decoded) != len(target) {
		return errors.Errorf("%q is not a fingerprint", text)
	}
	copy(target, decoded)
	return nil
}
