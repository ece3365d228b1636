package ptentry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjob"
)

const (
	jobShards = 64
	// keepOutcome is how long the outcome of an ended job can be asked for.
	keepOutcome = 2 * time.Minute
	// mostEnded bounds the ended jobs of a shard; the oldest go first.
	mostEnded = 256
)

// heldJob is an open job with what the entry needs beside its life cycle.
type heldJob struct {
	*ptjob.Job
	service *service
	timer   *time.Timer
}

// endedJob is what is kept of a job that has ended: neither payloads nor, where memory
// is short, answers.
type endedJob struct {
	id      ptid.JobID
	at      time.Time
	outcome ptjob.Outcome
	size    int64
	// whole is false where the answers are not kept.
	whole bool
}

type jobShard struct {
	mu    sync.Mutex
	open  map[ptid.JobID]*heldJob
	ended map[ptid.JobID]*endedJob
	// order holds the ended jobs, oldest first.
	order []*endedJob
}

// jobTable holds open jobs, and the outcomes of ended ones for a while, sharded by job.
type jobTable struct {
	shards    [jobShards]jobShard
	openJobs  atomic.Int64
	keptBytes atomic.Int64
	maxKept   int64
}

func newJobTable(maxKept int64) *jobTable {
	table := &jobTable{maxKept: maxKept}
	for i := range table.shards {
		table.shards[i].open = make(map[ptid.JobID]*heldJob)
		table.shards[i].ended = make(map[ptid.JobID]*endedJob)
	}
	return table
}

func (table *jobTable) shard(id ptid.JobID) *jobShard {
	return &table.shards[xxhash.Sum64String(string(id))%jobShards]
}

func (table *jobTable) open() int64 { return table.openJobs.Load() }

func (table *jobTable) add(job *heldJob) {
	shard := table.shard(job.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.open[job.ID] = job
	table.openJobs.Add(1)
}

// find returns an open job or the outcome of an ended one; both are nil for others.
func (table *jobTable) find(id ptid.JobID) (open *heldJob, ended *endedJob) {
	shard := table.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.open[id], shard.ended[id]
}

// remove takes out a job that was not admitted.
func (table *jobTable) remove(job *heldJob) {
	shard := table.shard(job.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.open, job.ID)
	table.openJobs.Add(-1)
}

// ended keeps the outcome of a job that has ended, and its answers while there is room.
func (table *jobTable) ended(id ptid.JobID) {
	shard := table.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	job := shard.open[id]
	if !ptassert.That(job != nil, "an open job is in the table", "job", id) {
		return
	}
	job.timer.Stop()
	kept := &endedJob{id: id, at: time.Now(), outcome: job.Outcome()}
	for _, answer := range kept.outcome.Answers {
		kept.size += int64(len(answer.Body))
	}
	kept.whole = table.keptBytes.Load()+kept.size <= table.maxKept
	if !kept.whole {
		kept.outcome.Answers, kept.size = nil, 0
	}
	table.keptBytes.Add(kept.size)
	shard.ended[id] = kept
	shard.order = append(shard.order, kept)
	delete(shard.open, id)
	table.openJobs.Add(-1)
	if len(shard.order) > mostEnded {
		table.forgetOldest(shard)
	}
}

// forgetOldest removes the oldest ended job of a shard. The caller holds its lock.
func (table *jobTable) forgetOldest(shard *jobShard) {
	oldest := shard.order[0]
	shard.order[0] = nil
	shard.order = shard.order[1:]
	delete(shard.ended, oldest.id)
	table.keptBytes.Add(-oldest.size)
}

// expire forgets jobs that ended long ago.
func (table *jobTable) expire(now time.Time) {
	for i := range table.shards {
		shard := &table.shards[i]
		shard.mu.Lock()
		for len(shard.order) > 0 && now.Sub(shard.order[0].at) > keepOutcome {
			table.forgetOldest(shard)
		}
		shard.mu.Unlock()
	}
}
