package ptbroker

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// maxCancellationDeletions limits how many cancellations of unknown jobs one cleanup deletes. Each
// takes a call to the log.
const maxCancellationDeletions = 64

// cancellation is the cancellation of a job that is not known. The log may carry out a write late, so
// the spec of the job may follow. A job whose spec never follows does not exist, and its cancellation is
// deleted after as long as that of an ended job.
type cancellation struct {
	expiresAt ptid.Instant
	deleting  bool
}

// cancelledResult is the result that another entry returns if it has cancelled an open job.
const cancelledResult = "cancelled"

// errEntryUnreachable means that an entry that may have the job did not respond.
var errEntryUnreachable = errors.New("an entry that may have the job did not respond")

// CancelJob cancels a job, wherever it is. If it returns nil, the job is cancelled, or there is no such
// job. Nothing is stored of a best-effort job, and its callers wait at one entry, so all entries are asked
// unless the job is known as a durable one. Entries that own no partition are not known here.
func (broker *Broker) CancelJob(ctx context.Context, id ptid.JobID) (err error) {
	defer func() { err = errors.Wrapf(err, "cancel job %s", id) }()
	if broker.Cancel(id) {
		return nil
	}
	stored := make(chan error, 1)
	go func() { stored <- broker.CancelDurable(ctx, id) }()
	_, durable, _ := broker.view(ctx, id)
	cancelled, complete := false, true
	if !durable {
		cancelled, complete = broker.cancelAtPeers(ctx, id)
	}
	switch err = <-stored; {
	case cancelled:
		return nil
	case err == nil && !complete:
		return errEntryUnreachable
	default:
		return err
	}
}

// cancelAtPeers asks the other entries to cancel a job whose callers wait there. It reports whether one
// of them had it, and whether all have responded.
func (broker *Broker) cancelAtPeers(ctx context.Context, id ptid.JobID) (cancelled, complete bool) {
	if owners, err := broker.owners(ctx); err != nil || len(owners) == 0 {
		return false, false
	}
	addresses := broker.peerOwnerAddresses()
	replies := make([]*ptwire.JobReply, len(addresses))
	var calls errgroup.Group
	for index, address := range addresses {
		calls.Go(func() error {
			return broker.callPeer(ctx, address, func(ctx context.Context, client ptwire.DRPCDispatcherClient) (err error) {
				replies[index], err = client.Job(ctx, &ptwire.JobQuery{Job: string(id), Cancel: true})
				return err
			})
		})
	}
	err := calls.Wait()
	cancelled = slices.ContainsFunc(replies, func(reply *ptwire.JobReply) bool { return reply.GetResult() == cancelledResult })
	broker.deps.Log.Info("other entries asked to cancel a job", "job", id, "entries", len(addresses), "cancelled", cancelled, "error", errorText(err))
	return cancelled, err == nil
}

// cancelForPeer cancels a job whose callers wait at this entry.
func (broker *Broker) cancelForPeer(id ptid.JobID) (reply *ptwire.JobReply) {
	if broker.Cancel(id) {
		return &ptwire.JobReply{Known: true, Result: cancelledResult}
	}
	return &ptwire.JobReply{}
}

// CancelDurable writes the cancellation of a job to the log.
func (broker *Broker) CancelDurable(ctx context.Context, id ptid.JobID) (err error) {
	defer func() { broker.deps.Log.Info("put cancellation record", "job", id, "error", errorText(err)) }()
	return broker.putRecord(ctx, id, ptjobstore.Record{Key: ptjobstore.CancelKey(id), Value: []byte("{}")})
}

// cancelJob ends a job that a caller has cancelled, or keeps the cancellation of an unknown job. The
// caller of cancelJob holds the lock.
func (broker *Broker) cancelJob(partition *ownedPartition, id ptid.JobID) {
	job := partition.jobs[id]
	if job == nil {
		broker.deps.Log.Info("cancellation of unknown job kept", "job", id, "partition", partition.number, "epoch", partition.epoch)
		partition.cancelled[id] = &cancellation{expiresAt: broker.deps.Clock.Now().Add(broker.setting.EndedJobRetention)}
		return
	}
	early := partition.cancelled[id] != nil
	delete(partition.cancelled, id)
	if job.progress.State.Ended() {
		return
	}
	broker.deps.Log.Info("durable job cancelled", "job", id, "partition", partition.number, "epoch", partition.epoch, "beforeItsSpec", early)
	broker.endJob(partition, job, ptgraph.GivenUp)
}

// deleteExpiredCancellations deletes cancellations whose jobs have remained unknown. The caller holds
// the lock.
func (broker *Broker) deleteExpiredCancellations(partition *ownedPartition, now ptid.Instant) {
	expired := make(map[ptid.JobID]*cancellation)
	for id, kept := range partition.cancelled {
		if now >= kept.expiresAt && !kept.deleting && len(expired) < maxCancellationDeletions {
			kept.deleting = true
			expired[id] = kept
		}
	}
	if len(expired) > 0 {
		go broker.deleteCancellations(partition, expired)
	}
}

func (broker *Broker) deleteCancellations(partition *ownedPartition, expired map[ptid.JobID]*cancellation) {
	for id, kept := range expired {
		err := broker.deleteRecord(partition, ptjobstore.CancelKey(id))
		broker.mu.Lock()
		kept.deleting = false
		if err == nil && partition.cancelled[id] == kept {
			delete(partition.cancelled, id)
		}
		broker.mu.Unlock()
	}
}

// deleteRecord deletes the record of a key from the log of the jobs.
func (broker *Broker) deleteRecord(partition *ownedPartition, key string) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err = broker.ownership.store.Put(ctx, partition.number, ptjobstore.Record{Key: key}); err != nil {
		broker.deps.Log.Info("failed to delete record of expired job", "key", key, "error", err.Error())
	}
	return err
}
