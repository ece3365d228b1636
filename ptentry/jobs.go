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
)

// heldJob is a job with what the entry needs beside its life cycle.
type heldJob struct {
	*ptjob.Job
	service *service
	timer   *time.Timer
	endedAt time.Time
	size    int64
	// dropped is true where the answers of an ended job are no longer kept.
	dropped bool
}

type jobShard struct {
	mu   sync.Mutex
	jobs map[ptid.JobID]*heldJob
}

// jobTable holds open jobs, and ended ones for a while, sharded by job.
type jobTable struct {
	shards    [jobShards]jobShard
	openJobs  atomic.Int64
	keptBytes atomic.Int64
	maxKept   int64
}

func newJobTable(maxKept int64) *jobTable {
	table := &jobTable{maxKept: maxKept}
	for i := range table.shards {
		table.shards[i].jobs = make(map[ptid.JobID]*heldJob)
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
	shard.jobs[job.ID] = job
	table.openJobs.Add(1)
}

func (table *jobTable) get(id ptid.JobID) *heldJob {
	shard := table.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.jobs[id]
}

// remove takes out a job that was not admitted.
func (table *jobTable) remove(job *heldJob) {
	shard := table.shard(job.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.jobs, job.ID)
	table.openJobs.Add(-1)
}

// ended counts a job as ended and keeps its answers while there is room.
func (table *jobTable) ended(id ptid.JobID) {
	job := table.get(id)
	if !ptassert.That(job != nil, "an open job is in the table", "job", id) {
		return
	}
	job.timer.Stop()
	size := int64(0)
	for _, answer := range job.Outcome().Answers {
		size += int64(len(answer.Body))
	}
	shard := table.shard(job.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	job.endedAt = time.Now()
	if table.keptBytes.Load()+size > table.maxKept {
		job.dropped = true
	} else {
		job.size = size
		table.keptBytes.Add(size)
	}
	table.openJobs.Add(-1)
}

// outcome returns the end of a job, and whether its answers are still kept.
func (table *jobTable) outcome(job *heldJob) (outcome ptjob.Outcome, whole bool) {
	shard := table.shard(job.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return job.Outcome(), !job.dropped
}

// expire forgets jobs that ended long ago.
func (table *jobTable) expire(now time.Time) {
	for i := range table.shards {
		shard := &table.shards[i]
		shard.mu.Lock()
		for id, job := range shard.jobs {
			if !job.endedAt.IsZero() && now.Sub(job.endedAt) > keepOutcome {
				table.keptBytes.Add(-job.size)
				delete(shard.jobs, id)
			}
		}
		shard.mu.Unlock()
	}
}
