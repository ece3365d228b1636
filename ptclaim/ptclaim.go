// Package ptclaim records submissions that must not run twice in the platform's
// log, and tells which of several submissions of one key may run.
//
// # How it works
//
//  1. An entry appends a claim and starts nothing until it has read its own record
//     back as the first for that key. Every reader folds the same records in the
//     same order ([Table]), so all agree on the first.
//  2. Claims that arrive while an append is on its way leave with the next one
//     (group commit), so that the number of appends does not follow the load.
//  3. An append whose answer was lost is resolved by the id of its record.
//  4. A claim that is not read back in time is given up. Its record may still
//     appear; the job that it names is remembered as one that never ran.
//  5. A later submission may supersede a claim whose job has certainly not run. It
//     names that job, so of several such claims again the first wins.
//  6. Keys are forgotten after a window, by the stamps of the records, so that all
//     readers forget the same keys at the same record.
//
// # Usage
//
//	claimer := ptclaim.New(log, "entry1", logger, metrics)
//	go claimer.Run(ctx, address)
//	holder, err := claimer.Claim(ctx, claim)
//
// # Limits
//
// Every entry reads all claims. docs/CAPACITY.md says from which rate on the stream
// has to be split by key.
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
	// KeyRetention is how long a key is remembered.
	KeyRetention = 15 * time.Minute
	// ConfirmTimeout bounds the wait for an own claim to be read back.
	ConfirmTimeout = 4 * time.Second
	// mostClaims bounds one group commit.
	mostClaims = 500
)

// ErrUnavailable says that the claim was not confirmed in time. The job must
// never run.
var ErrUnavailable = errors.New("the claim was not confirmed by the log in time")

type waiting struct {
	claim  Claim
	holder chan Holder
}

// Claimer appends claims and follows the stream. It is safe for concurrent use.
type Claimer struct {
	log    ptlog.Log
	prefix string
	logger logr.Logger
	set    *ptmetric.Set

	mu      sync.Mutex
	address string
	book    *Table
	pending []*waiting
	// sent holds the claims of each appended record by its id.
	sent   map[string][]*waiting
	number uint64
	wake   chan struct{}
	down   bool
}

// New returns a claimer of an entry. The prefix of its record ids is random, so
// that another incarnation's records are never taken for its own.
func New(log ptlog.Log, entry ptid.EntryName, logger logr.Logger, set *ptmetric.Set) *Claimer {
	return &Claimer{
		log: log, prefix: string(entry) + "-" + strconv.FormatUint(rand.Uint64(), 36), logger: logger, set: set,
		book: NewTable(KeyRetention), sent: make(map[string][]*waiting), wake: make(chan struct{}, 1),
	}
}

// Run follows the stream and appends claims until ctx ends. The claims say that their
// entry is reached at address.
func (claimer *Claimer) Run(ctx context.Context, address string) {
	claimer.mu.Lock()
	claimer.address = address
	claimer.mu.Unlock()
	var group errgroup.Group
	group.Go(func() error { claimer.appendLoop(ctx); return nil })
	group.Go(func() error {
		ptlog.Tail(ctx, claimer.log, Stream, claimer.start(ctx), claimer)
		return nil
	})
	_ = group.Wait()
}

// start returns the offset from which the stream has to be read to know every key
// within the window. Record stamps grow with their offsets but for the skew of the
// writers' clocks, which the doubled window allows for.
func (claimer *Claimer) start(ctx context.Context) (offset ptid.Offset) {
	oldest := time.Now().Add(-2 * KeyRetention)
	batch, err := claimer.log.Read(ctx, Stream, 0, 1, 0)
	if err != nil || len(batch.Records) == 0 {
		return 0
	}
	low, high := batch.OldestOffset, batch.OldestOffset+1
	for claimer.older(ctx, high, oldest) {
		low, high = high, high*2
	}
	for low+1 < high {
		middle := (low + high) / 2
		if claimer.older(ctx, middle, oldest) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// older reports whether there is a record at an offset that is older than a time.
func (claimer *Claimer) older(ctx context.Context, offset ptid.Offset, than time.Time) bool {
	batch, err := claimer.log.Read(ctx, Stream, offset, 1, 0)
	if err != nil || len(batch.Records) == 0 {
		return false
	}
	var record Record
	return json.Unmarshal(batch.Records[0].Data, &record) == nil && record.At.Before(than)
}

// Claim appends a claim and returns who holds its key once that is certain. After
// an error the job of the claim must never run.
func (claimer *Claimer) Claim(ctx context.Context, claim Claim) (holder Holder, err error) {
	waiter := &waiting{claim: claim, holder: make(chan Holder, 1)}
	claimer.mu.Lock()
	claimer.pending = append(claimer.pending, waiter)
	claimer.mu.Unlock()
	select {
	case claimer.wake <- struct{}{}:
	default:
	}
	timer := time.NewTimer(ConfirmTimeout)
	defer timer.Stop()
	select {
	case holder := <-waiter.holder:
		claimer.set.Counter(ptmetric.Claims, "result", resultName(holder.Job == claim.Job)).Inc()
		return holder, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	claimer.set.Counter(ptmetric.Claims, "result", "unavailable").Inc()
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
		case <-claimer.wake:
		}
		for claimer.appendOnce(ctx) {
		}
	}
}

// appendOnce appends the pending claims as one record and reports whether there
// were any.
func (claimer *Claimer) appendOnce(ctx context.Context) (appended bool) {
	claimer.mu.Lock()
	count := min(len(claimer.pending), mostClaims)
	if count == 0 {
		claimer.mu.Unlock()
		return false
	}
	batch := claimer.pending[:count:count]
	claimer.pending = claimer.pending[count:]
	claimer.number++
	record := Record{ID: claimer.prefix + "-" + strconv.FormatUint(claimer.number, 36), At: time.Now(), Address: claimer.address}
	for _, waiter := range batch {
		record.Claims = append(record.Claims, waiter.claim)
	}
	claimer.sent[record.ID] = batch
	claimer.mu.Unlock()
	time.AfterFunc(2*ConfirmTimeout, func() { claimer.forget(record.ID) })
	data, err := json.Marshal(record)
	if err == nil {
		_, err = claimer.log.Append(ctx, Stream, data)
	}
	if err != nil {
		// The record may be in the stream all the same; the reader will tell.
		claimer.set.Counter(ptmetric.LogErrors, "operation", "append").Inc()
	}
	return true
}

func (claimer *Claimer) forget(id string) {
	claimer.mu.Lock()
	defer claimer.mu.Unlock()
	delete(claimer.sent, id)
}

// HandleRecord implements [ptlog.Consumer].
func (claimer *Claimer) HandleRecord(record ptlog.Record) (next ptid.Offset) {
	claimer.mu.Lock()
	defer claimer.mu.Unlock()
	folded, holders, err := claimer.book.Apply(record.Data)
	if err != nil {
		return record.Offset + 1
	}
	for i, waiter := range claimer.sent[folded.ID] {
		waiter.holder <- holders[i]
	}
	delete(claimer.sent, folded.ID)
	return record.Offset + 1
}

// HandleGap implements [ptlog.Consumer]. Expired claims are older than the window, so
// nothing is lost with them.
func (claimer *Claimer) HandleGap(ptid.Offset, ptid.Offset) {}

// HandleCaughtUp implements [ptlog.Consumer].
func (claimer *Claimer) HandleCaughtUp() { claimer.setDown(nil) }

// HandleReadError implements [ptlog.Consumer].
func (claimer *Claimer) HandleReadError(err error) {
	claimer.set.Counter(ptmetric.LogErrors, "operation", "read").Inc()
	claimer.setDown(err)
}

func (claimer *Claimer) setDown(err error) {
	claimer.mu.Lock()
	defer claimer.mu.Unlock()
	down := err != nil
	if claimer.down != down {
		claimer.down = down
		claimer.logger.Info("the claims stream changed", "available", !down)
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
