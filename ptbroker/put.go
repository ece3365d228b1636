package ptbroker

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptkept"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	// putElsewhereAfter is how long a put waits for its answer before another entry is asked
	// to do the same: an answer takes some milliseconds.
	putElsewhereAfter = 100 * time.Millisecond
	// cutFor is how long after a put without success the next ones ask another entry at once.
	cutFor = 2 * time.Second
	// probeInterval is the least time between two puts that look whether the log answers again.
	probeInterval = 200 * time.Millisecond
	// refusedReason and unansweredReason tell another entry what became of its record.
	refusedReason    = "refused"
	unansweredReason = "unanswered"
)

// putKept puts a record of a job: nil where it is there, ErrRefused where it never will be.
//
// It answers the load of an entry that is cut from the log while others reach it: a part of
// all callers would be refused for as long. Another entry puts the record then, beside the
// own call. That is harmless: the record of a key is the same whoever puts it, and a job that
// is known is not started anew by a record that comes late.
func (broker *Broker) putKept(ctx context.Context, job ptid.JobID, record ptkept.Record) (err error) {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	const tries = 2
	ended := make(chan error, tries)
	go func() { ended <- broker.putOwn(ctx, job, record) }()
	elsewhere := time.NewTimer(broker.putPatience())
	defer elsewhere.Stop()
	asked, refused, over := false, true, 0
	for {
		select {
		case err = <-ended:
			over++
			refused = refused && errors.Is(err, ptkept.ErrRefused)
			if err == nil || asked && over == tries {
				return settled(err, refused)
			}
		case <-elsewhere.C:
		}
		if !asked {
			asked = true
			go func() { ended <- broker.putElsewhere(ctx, job, record) }()
		}
	}
}

// settled returns the end of some tries of which none has succeeded, or the last one has.
func settled(last error, refused bool) (err error) {
	switch {
	case last == nil || refused:
		return last
	case errors.Is(last, ptkept.ErrRefused):
		// An earlier try may yet be carried out.
		return errors.Wrap(ptkept.ErrUnanswered, last.Error())
	default:
		return last
	}
}

// putOwn puts a record by a call of this entry. While the log does not answer, a call now and
// then looks whether it does again, and the others are refused at once. A silent log never
// answers what it has swallowed, so the next call does not wait for the end of the last.
func (broker *Broker) putOwn(ctx context.Context, job ptid.JobID, record ptkept.Record) (err error) {
	if broker.isCut() && !broker.mayProbe() {
		return errors.Wrap(ptkept.ErrRefused, "the log has not answered lately")
	}
	store := broker.keeper.store
	if err = store.Put(ctx, ptkept.PartitionOf(job, store.Partitions()), record); err == nil {
		broker.cutAt.Store(0)
		return nil
	}
	broker.cutAt.Store(int64(broker.deps.Clock.Now()))
	return err
}

// isCut reports whether a put of this entry had no success lately.
func (broker *Broker) isCut() bool {
	cutAt := ptid.Instant(broker.cutAt.Load())
	return cutAt > 0 && broker.deps.Clock.Now().Sub(cutAt) < cutFor
}

// mayProbe reports whether a put may look for the log, and takes the turn.
func (broker *Broker) mayProbe() bool {
	last, now := broker.probedAt.Load(), broker.deps.Clock.Now()
	return now.Sub(ptid.Instant(last)) >= probeInterval && broker.probedAt.CompareAndSwap(last, int64(now))
}

// putPatience returns how long a put waits before another entry is asked.
func (broker *Broker) putPatience() time.Duration {
	if broker.isCut() {
		return 0
	}
	return putElsewhereAfter
}

// putElsewhere asks other entries, one after the other, to put a record.
func (broker *Broker) putElsewhere(ctx context.Context, job ptid.JobID, record ptkept.Record) (err error) {
	err = errors.Wrap(ptkept.ErrRefused, "no other entry is known")
	refused := true
	for _, address := range broker.otherOwners() {
		var reply *ptwire.JobReply
		asked := broker.call(ctx, address, func(ctx context.Context, client ptwire.DRPCDispatcherClient) (err error) {
			reply, err = client.Job(ctx, &ptwire.JobQuery{Job: string(job), PutKey: record.Key, PutValue: record.Value})
			return err
		})
		switch {
		case asked != nil:
			err = errors.Wrap(ptkept.ErrUnanswered, asked.Error())
		case reply.Known:
			broker.deps.Log.Info("job put by another entry", "job", job, "entry", address)
			return nil
		case reply.Reason == refusedReason:
			err = errors.Wrapf(ptkept.ErrRefused, "the entry at %s", address)
		default:
			err = errors.Wrapf(ptkept.ErrUnanswered, "the entry at %s", address)
		}
		refused = refused && errors.Is(err, ptkept.ErrRefused)
		if ctx.Err() != nil {
			break
		}
	}
	return settled(err, refused)
}

// otherOwners returns the addresses of the other entries that own partitions, by the last
// list that was read, however old: the log may be out of reach.
func (broker *Broker) otherOwners() (addresses []string) {
	asking := broker.asking
	asking.mu.Lock()
	defer asking.mu.Unlock()
	for _, member := range asking.owners {
		if member != "" && member != broker.keeper.member {
			addresses = append(addresses, memberAddress(member))
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// putForPeer puts a record for another entry.
func (broker *Broker) putForPeer(ctx context.Context, query *ptwire.JobQuery) (reply *ptwire.JobReply) {
	job := ptid.JobID(query.Job)
	if of, _ := ptkept.ParseKey(query.PutKey); broker.keeper.store == nil || of != job {
		return &ptwire.JobReply{Reason: refusedReason}
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	err := broker.putOwn(ctx, job, ptkept.Record{Key: query.PutKey, Value: query.PutValue})
	broker.deps.Log.Info("record put for another entry", "job", job, "key", query.PutKey, "error", errorText(err))
	switch {
	case err == nil:
		return &ptwire.JobReply{Known: true}
	case errors.Is(err, ptkept.ErrRefused):
		return &ptwire.JobReply{Reason: refusedReason}
	default:
		return &ptwire.JobReply{Reason: unansweredReason}
	}
}
