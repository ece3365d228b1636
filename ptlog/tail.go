package ptlog

import (
	"context"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	tailBatchSize = 1000
	tailWait      = 5 * time.Second
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = time.Second
)

// Consumer receives the records that [Tail] reads. Its methods are called from one goroutine.
type Consumer interface {
	// HandleRecord processes a record and returns the offset to read next. The consumer
	// may return any offset, to move the read position forwards or backwards.
	HandleRecord(record Record) (next ptid.Offset)
	// HandleGap reports that the records with the offsets from (inclusive) to first
	// (exclusive) have expired.
	HandleGap(from, first ptid.Offset)
	// HandleCaughtUp reports that all records up to the end of the stream have been delivered.
	HandleCaughtUp()
	// HandleReadError reports that a read failed. The read is retried.
	HandleReadError(err error)
}

// Tail delivers the records of a stream from an offset on to a consumer until ctx ends.
func Tail(ctx context.Context, log Log, stream string, from ptid.Offset, consumer Consumer) {
	backoff := minBackoff
	for ctx.Err() == nil {
		batch, err := log.Read(ctx, stream, from, tailBatchSize, tailWait)
		if err != nil {
			consumer.HandleReadError(err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		from = deliver(from, batch, consumer)
		if len(batch.Records) < tailBatchSize {
			consumer.HandleCaughtUp()
		}
	}
}

func deliver(from ptid.Offset, batch Batch, consumer Consumer) (next ptid.Offset) {
	if batch.OldestOffset > from {
		consumer.HandleGap(from, batch.OldestOffset)
		from = batch.OldestOffset
	}
	for _, record := range batch.Records {
		if record.Offset < from {
			continue
		}
		from = consumer.HandleRecord(record)
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
