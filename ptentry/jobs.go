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
	// outcomeRetention is how long the outcome of an ended job can be queried.
	outcomeRetention = 2 * time.Minute
	// maxEndedPerShard bounds the ended jobs of a shard. The oldest ones are evicted first.
	maxEndedPerShard = 256
)

// openJob is an open job together with its scheduler and the timer of its start deadline.
type openJob struct {
	*ptjob.Job
	service *serviceScheduler
	timer   *time.Timer
}

// endedJob is the retained outcome of an ended job. Payloads are not retained, and answers are
// not retained once the memory limit for answers is reached.
type endedJob struct {
	id      ptid.JobID
	endedAt time.Time
	outcome ptjob.Outcome
	size    int64
	// answersRetained is false if the answers were dropped because of the memory limit.
	answersRetained bool
}

type jobShard struct {
	mu    sync.Mutex
	open  map[ptid.JobID]*openJob
	ended map[ptid.JobID]*endedJob
	// byAge holds the ended jobs, oldest first.
	byAge []*endedJob
}

// jobTable holds the open jobs and, for the time of outcomeRetention, the outcomes of ended
// jobs. It is sharded by job ID.
type jobTable struct {
	shards           [jobShards]jobShard
	openCount        atomic.Int64
	retainedBytes    atomic.Int64
	maxRetainedBytes int64
}

func newJobTable(maxRetainedBytes int64) *jobTable {
	table := &jobTable{maxRetainedBytes: maxRetainedBytes}
	for i := range table.shards {
		table.shards[i].open = make(map[ptid.JobID]*openJob)
		table.shards[i].ended = make(map[ptid.JobID]*endedJob)
	}
	return table
}

func (table *jobTable) shard(id ptid.JobID) *jobShard {
	return &table.shards[xxhash.Sum64String(string(id))%jobShards]
}

func (table *jobTable) open() int64 { return table.openCount.Load() }

func (table *jobTable) add(job *openJob) {
	shard := table.shard(job.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.open[job.ID] = job
	table.openCount.Add(1)
}

// find returns the open job with an ID, or the ended job with its outcome. Both are nil if the
// job is unknown.
func (table *jobTable) find(id ptid.JobID) (open *openJob, ended *endedJob) {
	shard := table.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.open[id], shard.ended[id]
}

// remove deletes an open job that was not admitted.
func (table *jobTable) remove(job *openJob) {
	shard := table.shard(job.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.open, job.ID)
	table.openCount.Add(-1)
}

// recordEnd moves a job from the open to the ended jobs. It retains the answers if the total
// size of the retained answers stays within the limit.
func (table *jobTable) recordEnd(id ptid.JobID) {
	shard := table.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	job := shard.open[id]
	if !ptassert.That(job != nil, "an ending job is in the table of open jobs", "job", id) {
		return
	}
	job.timer.Stop()
	ended := &endedJob{id: id, endedAt: time.Now(), outcome: job.Outcome()}
	for _, answer := range ended.outcome.Answers {
		ended.size += int64(len(answer.Body))
	}
	ended.answersRetained = table.retainedBytes.Load()+ended.size <= table.maxRetainedBytes
	if !ended.answersRetained {
		ended.outcome.Answers, ended.size = nil, 0
	}
	table.retainedBytes.Add(ended.size)
	shard.ended[id] = ended
	shard.byAge = append(shard.byAge, ended)
	delete(shard.open, id)
	table.openCount.Add(-1)
	if len(shard.byAge) > maxEndedPerShard {
		table.evictOldest(shard)
	}
}

// evictOldest removes the oldest ended job of a shard. The caller holds the shard's lock.
func (table *jobTable) evictOldest(shard *jobShard) {
	oldest := shard.byAge[0]
	shard.byAge[0] = nil
	shard.byAge = shard.byAge[1:]
	delete(shard.ended, oldest.id)
	table.retainedBytes.Add(-oldest.size)
}

// expire removes the ended jobs whose outcomeRetention has passed.
func (table *jobTable) expire(now time.Time) {
	for i := range table.shards {
		shard := &table.shards[i]
		shard.mu.Lock()
		for len(shard.byAge) > 0 && now.Sub(shard.byAge[0].endedAt) > outcomeRetention {
			table.evictOldest(shard)
		}
		shard.mu.Unlock()
	}
}
