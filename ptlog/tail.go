package ptlog

import (
	"context"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	tailLimit      = 1000
	tailWait       = 5 * time.Second
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = time.Second
)

// Consumer receives what a tail reads. Its methods are called from one goroutine.
type Consumer interface {
	// HandleRecord takes a record. next is the offset to read from after it, which a
	// follower sets lower or higher to move the tail.
	HandleRecord(record Record) (next ptid.Offset)
	// HandleGap tells that the records from from to first-1 have expired.
	HandleGap(from, first ptid.Offset)
	// HandleCaughtUp tells that everything that the log had was delivered.
	HandleCaughtUp()
	// HandleReadError tells that a read failed; it is tried again.
	HandleReadError(err error)
}

// Tail delivers the records of a stream from an offset on until ctx ends.
func Tail(ctx context.Context, log Log, stream string, from ptid.Offset, follower Consumer) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		batch, err := log.Read(ctx, stream, from, tailLimit, tailWait)
		if err != nil {
			follower.HandleReadError(err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, longestBackoff)
			continue
		}
		backoff = firstBackoff
		from = deliver(from, batch, follower)
		if len(batch.Records) < tailLimit {
			follower.HandleCaughtUp()
		}
	}
}

func deliver(from ptid.Offset, batch Batch, follower Consumer) (next ptid.Offset) {
	if batch.OldestOffset > from {
		follower.HandleGap(from, batch.OldestOffset)
		from = batch.OldestOffset
	}
	for _, record := range batch.Records {
		if record.Offset < from {
			continue
		}
		from = follower.HandleRecord(record)
		if from != record.Offset+1 {
			return from
		}
	}
	return from
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
