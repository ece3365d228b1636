package ptbroker

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptkept"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// stranger is a run of an earlier owner, or the end of one, whose job is not known here
// yet: it was put after the specs were read, and the earlier owner read it first.
type stranger struct {
	agent ptid.AgentName
	run   ptrun.ID
	// end is set where the run has ended.
	end *ptrun.End
}

// meet keeps a run or its end until its job is known, or known not to be. The caller holds
// the lock.
func (broker *Broker) meet(held *owned, met stranger) {
	id := met.run.Task.Job
	for index := range held.strangers[id] {
		if known := &held.strangers[id][index]; known.run == met.run && known.agent == met.agent {
			if met.end != nil {
				known.end = met.end
			}
			return
		}
	}
	held.strangers[id] = append(held.strangers[id], met)
	broker.identify(held, id)
}

// identify looks a job up that is not known here. The caller holds the lock.
func (broker *Broker) identify(held *owned, id ptid.JobID) {
	if held.identifying[id] || held.unknown[id] {
		return
	}
	held.identifying[id] = true
	go broker.lookUp(held, id)
}

// lookUp reads a job from the log until it answers or the partition is another's.
func (broker *Broker) lookUp(held *owned, id ptid.JobID) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), putTimeout)
		spec, progress, err := broker.keeper.store.Lookup(ctx, held.number, id)
		cancel()
		broker.mu.Lock()
		current := broker.keeper.owned[held.number] == held
		if current && err == nil {
			broker.identified(held, id, spec, progress)
		}
		broker.mu.Unlock()
		if err == nil || !current {
			return
		}
		broker.deps.Log.Info("job not looked up", "job", id, "partition", held.number, "error", err.Error())
		time.Sleep(storeRetry)
	}
}

// identified takes what the log has of a job. The caller holds the lock.
func (broker *Broker) identified(held *owned, id ptid.JobID, spec, progress []byte) {
	delete(held.identifying, id)
	broker.deps.Log.Info("job looked up", "job", id, "partition", held.number, "epoch", held.epoch, "found", len(spec) > 0, "runs", len(held.strangers[id]))
	if held.jobs[id] != nil {
		return
	}
	if len(progress) > 0 {
		decoded, err := ptkept.DecodeProgress(progress)
		if err != nil {
			broker.deps.Log.Error(err, "kept progress ignored", "job", id)
		} else {
			held.earlier[id] = decoded
		}
	}
	if len(spec) > 0 {
		broker.addKept(held, id, spec)
	}
	if held.jobs[id] == nil {
		held.unknown[id] = true
		broker.claim(held, id)
		if left, found := held.earlier[id]; found && left.State.Ended() && len(spec) == 0 {
			delete(held.earlier, id)
			held.dirty[id] = true
		}
	}
}

// forgetLeft looks for jobs that ended long ago, of which an earlier owner has taken the spec
// away and not the progress. The spec may also have been put after the specs were read, so
// each is looked up. The caller holds the lock.
func (broker *Broker) forgetLeft(held *owned) {
	looked := 0
	for _, id := range slices.Sorted(maps.Keys(held.earlier)) {
		if !held.earlier[id].State.Ended() {
			continue
		}
		if looked == leftAtOnce {
			return
		}
		looked++
		broker.identify(held, id)
	}
}

// claim takes the runs and the ends that waited for their job, before it is placed. Without
// one the runs are stopped, and the ends are acknowledged when they are told again. The
// caller holds the lock.
func (broker *Broker) claim(held *owned, id ptid.JobID) {
	met := held.strangers[id]
	delete(held.strangers, id)
	now := broker.deps.Clock.Now()
	for _, stranger := range met {
		if stranger.end == nil {
			broker.do(broker.core.Adopt(stranger.agent, stranger.run, now))
			continue
		}
		effects, _ := broker.core.AdoptEnd(stranger.agent, *stranger.end, now)
		broker.do(effects)
	}
	if job := held.jobs[id]; job != nil && len(met) > 0 && !held.frozen {
		for _, open := range job.open {
			broker.do(broker.core.FinishRecovery(open, now))
		}
	}
}
