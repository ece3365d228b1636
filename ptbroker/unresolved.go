package ptbroker

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// unresolvedRun is a run that an earlier owner has started, or the end of such a run. This entry
// does not know the job of the run yet, because the job was written to the log after this entry
// had read the specs. The earlier owner read the job from the log afterwards, and started the
// run.
type unresolvedRun struct {
	agent ptid.AgentName
	run   ptrun.ID
	// end is nil if the run has not ended.
	end *ptrun.End
}

// addUnresolved stores an unresolved run or its end until the log lookup of its job completes,
// and starts the lookup. The caller holds the lock.
func (broker *Broker) addUnresolved(partition *ownedPartition, run unresolvedRun) {
	id := run.run.Task.Job
	for index := range partition.unresolved[id] {
		if known := &partition.unresolved[id][index]; known.run == run.run && known.agent == run.agent {
			if run.end != nil {
				known.end = run.end
			}
			return
		}
	}
	partition.unresolved[id] = append(partition.unresolved[id], run)
	broker.resolve(partition, id)
}

// resolve starts the log lookup of an unknown job, unless one has been started before. The
// caller holds the lock.
func (broker *Broker) resolve(partition *ownedPartition, id ptid.JobID) {
	if partition.resolving[id] || partition.missing[id] {
		return
	}
	partition.resolving[id] = true
	go broker.lookUpJob(partition, id)
}

// lookUpJob reads a job from the log. It retries until the log responds or this entry loses the
// partition.
func (broker *Broker) lookUpJob(partition *ownedPartition, id ptid.JobID) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		spec, progress, err := broker.ownership.store.Lookup(ctx, partition.number, id)
		cancel()
		broker.mu.Lock()
		current := broker.ownership.partitions[partition.number] == partition
		if current && err == nil {
			broker.handleLookup(partition, id, spec, progress)
		}
		broker.mu.Unlock()
		if err == nil || !current {
			return
		}
		broker.deps.Log.Info("failed to look up job", "job", id, "partition", partition.number, "error", err.Error())
		time.Sleep(storeRetryDelay)
	}
}

// handleLookup processes the records of a job that the log lookup has returned. The caller
// holds the lock.
func (broker *Broker) handleLookup(partition *ownedPartition, id ptid.JobID, spec, progress []byte) {
	delete(partition.resolving, id)
	broker.deps.Log.Info("job looked up", "job", id, "partition", partition.number, "epoch", partition.epoch, "found", len(spec) > 0, "runs", len(partition.unresolved[id]))
	if partition.jobs[id] != nil {
		return
	}
	if len(progress) > 0 {
		decoded, err := ptjobstore.DecodeProgress(progress)
		if err != nil {
			broker.deps.Log.Error(err, "ignoring undecodable progress", "job", id)
		} else {
			partition.orphanProgress[id] = decoded
		}
	}
	if len(spec) > 0 {
		broker.addJob(partition, id, spec)
	}
	if partition.jobs[id] == nil {
		partition.missing[id] = true
		broker.adoptUnresolved(partition, id)
		if orphan, found := partition.orphanProgress[id]; found && orphan.State.Ended() && len(spec) == 0 {
			delete(partition.orphanProgress, id)
			partition.dirty[id] = true
		}
	}
}

// resolveOrphanProgress looks up ended jobs whose progress this entry has read without a spec.
// Either an earlier owner has deleted the spec but not the progress, or the spec was written
// after this entry had read the specs. The lookup distinguishes the two cases. The caller holds
// the lock.
func (broker *Broker) resolveOrphanProgress(partition *ownedPartition) {
	lookups := 0
	for _, id := range slices.Sorted(maps.Keys(partition.orphanProgress)) {
		if !partition.orphanProgress[id].State.Ended() {
			continue
		}
		if lookups == maxOrphanLookups {
			return
		}
		lookups++
		broker.resolve(partition, id)
	}
}

// adoptUnresolved adopts the unresolved runs and ends of a job before its tasks are placed. If
// the job does not exist, the runs are stopped, and the ends are acknowledged when the agent
// sends them again. The caller holds the lock.
func (broker *Broker) adoptUnresolved(partition *ownedPartition, id ptid.JobID) {
	runs := partition.unresolved[id]
	delete(partition.unresolved, id)
	now := broker.deps.Clock.Now()
	for _, run := range runs {
		if run.end == nil {
			broker.execute(broker.core.Adopt(run.agent, run.run, now))
			continue
		}
		effects, _ := broker.core.AdoptEnd(run.agent, *run.end, now)
		broker.execute(effects)
	}
	if job := partition.jobs[id]; job != nil && len(runs) > 0 && partition.handover.IsFinished() {
		for _, open := range job.open {
			broker.resume(partition, open, now)
		}
	}
}
