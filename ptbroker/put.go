package ptbroker

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	// hedgeDelay is how long a put waits for a response of the log before it also asks another
	// entry to write the record. A response normally takes some milliseconds.
	hedgeDelay = 100 * time.Millisecond
	// circuitOpenDuration is how long the circuit stays open after a failed put. While it is
	// open, puts ask another entry immediately instead of after hedgeDelay.
	circuitOpenDuration = 2 * time.Second
	// probeInterval is the minimum interval between two puts that probe whether the log
	// responds again.
	probeInterval = 200 * time.Millisecond
	// refusedReason and unansweredReason are the reasons that another entry receives if its
	// record was not confirmed.
	refusedReason    = "refused"
	unansweredReason = "unanswered"
)

// putRecord writes a record of a job to the log. It returns nil if the record is written, and
// ErrRefused if the record never will be written.
//
// If this entry cannot reach the log, but other entries can, the callers of this entry should not
// be refused during the whole outage. If this entry's own call fails or takes longer than
// hedgeDelay, putRecord therefore also asks another entry to write the record. Two writes of the
// same record are harmless: the record of a key is the same whichever entry writes it, and a late
// record of a job that is already known does not start the job again.
func (broker *Broker) putRecord(ctx context.Context, job ptid.JobID, record ptjobstore.Record) (err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	const attempts = 2
	results := make(chan error, attempts)
	go func() { results <- broker.putDirect(ctx, job, record) }()
	hedgeTimer := time.NewTimer(broker.currentHedgeDelay())
	defer hedgeTimer.Stop()
	peersAsked, refused, finished := false, true, 0
	for {
		select {
		case err = <-results:
			finished++
			refused = refused && errors.Is(err, ptjobstore.ErrRefused)
			if err == nil || peersAsked && finished == attempts {
				return combineErrors(err, refused)
			}
		case <-hedgeTimer.C:
		}
		if !peersAsked {
			peersAsked = true
			go func() { results <- broker.putViaPeers(ctx, job, record) }()
		}
	}
}

// combineErrors returns the result of several attempts, of which all but the last have failed.
// last is the error of the last attempt, or nil if it succeeded. refused is true if every attempt
// was refused.
func combineErrors(last error, refused bool) (err error) {
	switch {
	case last == nil || refused:
		return last
	case errors.Is(last, ptjobstore.ErrRefused):
		// An earlier attempt may still be carried out.
		return errors.Wrap(ptjobstore.ErrUnanswered, last.Error())
	default:
		return last
	}
}

// putDirect writes a record with a call from this entry to the log. A failure opens the circuit.
// While the circuit is open, one call of putDirect per probeInterval probes the log, and all other
// calls return ErrRefused immediately. A probe does not wait for the end of the previous probe,
// because the log never responds to calls that were lost during an outage.
func (broker *Broker) putDirect(ctx context.Context, job ptid.JobID, record ptjobstore.Record) (err error) {
	if broker.circuitOpen() && !broker.tryProbe() {
		return errors.Wrap(ptjobstore.ErrRefused, "the log has not responded to recent calls")
	}
	store := broker.ownership.store
	if err = store.Put(ctx, ptjobstore.PartitionOf(job, store.Partitions()), record); err == nil {
		broker.putFailedAt.Store(0)
		return nil
	}
	broker.putFailedAt.Store(int64(broker.deps.Clock.Now()))
	return err
}

// circuitOpen reports whether the latest put of this entry failed less than circuitOpenDuration
// ago.
func (broker *Broker) circuitOpen() bool {
	failedAt := ptid.Instant(broker.putFailedAt.Load())
	return failedAt > 0 && broker.deps.Clock.Now().Sub(failedAt) < circuitOpenDuration
}

// tryProbe reports whether this put may probe the log, and if so, claims the probe.
func (broker *Broker) tryProbe() bool {
	last, now := broker.probedAt.Load(), broker.deps.Clock.Now()
	return now.Sub(ptid.Instant(last)) >= probeInterval && broker.probedAt.CompareAndSwap(last, int64(now))
}

// currentHedgeDelay returns how long a put waits before another entry is asked.
func (broker *Broker) currentHedgeDelay() time.Duration {
	if broker.circuitOpen() {
		return 0
	}
	return hedgeDelay
}

// putViaPeers asks other entries, one after the other, to write a record.
func (broker *Broker) putViaPeers(ctx context.Context, job ptid.JobID, record ptjobstore.Record) (err error) {
	err = errors.Wrap(ptjobstore.ErrRefused, "no other entry known")
	refused := true
	for _, address := range broker.peerOwnerAddresses() {
		var reply *ptwire.JobReply
		callErr := broker.callPeer(ctx, address, func(ctx context.Context, client ptwire.DRPCDispatcherClient) (err error) {
			reply, err = client.Job(ctx, &ptwire.JobQuery{Job: string(job), PutKey: record.Key, PutValue: record.Value})
			return err
		})
		switch {
		case callErr != nil:
			err = errors.Wrap(ptjobstore.ErrUnanswered, callErr.Error())
		case reply.Known:
			broker.deps.Log.Info("record put by another entry", "job", job, "entry", address)
			return nil
		case reply.Reason == refusedReason:
			err = errors.Wrapf(ptjobstore.ErrRefused, "put record via entry at %s", address)
		default:
			err = errors.Wrapf(ptjobstore.ErrUnanswered, "put record via entry at %s", address)
		}
		refused = refused && errors.Is(err, ptjobstore.ErrRefused)
		if ctx.Err() != nil {
			break
		}
	}
	return combineErrors(err, refused)
}

// peerOwnerAddresses returns the addresses of the other entries that own partitions. It uses
// the cached list of owners regardless of its age, because the log may be unreachable.
func (broker *Broker) peerOwnerAddresses() (addresses []string) {
	peers := broker.peers
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for _, member := range peers.owners {
		if member != "" && member != broker.ownership.memberID {
			addresses = append(addresses, memberAddress(member))
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// putForPeer writes a record on behalf of another entry.
func (broker *Broker) putForPeer(ctx context.Context, query *ptwire.JobQuery) (reply *ptwire.JobReply) {
	job := ptid.JobID(query.Job)
	if keyJob, _ := ptjobstore.ParseKey(query.PutKey); broker.ownership.store == nil || keyJob != job {
		return &ptwire.JobReply{Reason: refusedReason}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := broker.putDirect(ctx, job, ptjobstore.Record{Key: query.PutKey, Value: query.PutValue})
	broker.deps.Log.Info("record put for another entry", "job", job, "key", query.PutKey, "error", errorText(err))
	switch {
	case err == nil:
		return &ptwire.JobReply{Known: true}
	case errors.Is(err, ptjobstore.ErrRefused):
		return &ptwire.JobReply{Reason: refusedReason}
	default:
		return &ptwire.JobReply{Reason: unansweredReason}
	}
}
