// Package ptjobstore defines the records that are stored for durable jobs and the interface of
// the log that stores them. A durable job is one whose acceptance must survive the failure of
// any entry. All other jobs are called best-effort jobs. The package does no I/O.
//
// # How it works
//
//  1. A job belongs to a partition by the hash of its ID. A partition has at most one
//     owner: the entry to which the log's consumer group has assigned it, under an [Epoch]
//     that increases with each change of owner.
//  2. Any entry may write a [Spec], and does so before it accepts the job. Cancellations
//     are written in the same way. The owner of the partition reads both.
//  3. Only the owner writes [Progress]; the log rejects writes of an owner with a lower
//     epoch. The end of a run is acknowledged to the agent only after the progress that
//     contains it has been written, so no end that was processed can be lost.
//  4. The owner also writes [Agents], the agents at which it may start runs of the partition, before it
//     does so. A later owner reads them (package pthandover).
//  5. The numbers of the runs of durable jobs are above [RunNumberBase] of the owner's
//     epoch. Run numbers therefore increase from one owner to the next, and differ from
//     the run numbers of best-effort jobs.
//
// # Usage
//
//	partition := ptjobstore.PartitionOf(job, partitions)
//	err := store.Put(ctx, partition, ptjobstore.Record{Key: ptjobstore.SpecKey(job), Value: spec})
//
// # Limits
//
// A record holds a whole job, so the log's limit on the size of a record limits the size of
// a job.
package ptjobstore

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

type (
	// Partition is the index of a partition of the durable jobs.
	Partition int
	// Epoch is the generation of a partition's ownership; it increases with each change of
	// owner.
	Epoch uint64
)

// epochBits is the width of the run counter within an epoch. One owner never starts 2^20 runs
// of a single task.
const epochBits = 20

// RunNumberBase returns the number that precedes the first run number of an epoch.
func RunNumberBase(epoch Epoch) ptrun.Number { return ptrun.Number(epoch) << epochBits }

// EpochOf returns the epoch of the owner that started the run with this number.
func EpochOf(number ptrun.Number) Epoch { return Epoch(number >> epochBits) }

// IsDurable reports whether the run with this number belongs to a durable job.
func IsDurable(number ptrun.Number) bool { return number >= 1<<epochBits }

// PartitionOf returns the partition of a job.
func PartitionOf(job ptid.JobID, partitions int) Partition {
	return Partition(xxhash.Sum64String(string(job)) % uint64(max(1, partitions)))
}

// Spec is the stored specification of an accepted job.
type Spec struct {
	ID          ptid.JobID       `json:"id"`
	Queue       ptid.ProfileName `json:"queue"`
	Service     ptid.ServiceName `json:"service"`
	Priority    int              `json:"priority"`
	MaxAttempts int              `json:"maxAttempts"`
	Payload     string           `json:"payload"`
	Steps       []ptgraph.Step   `json:"steps"`
	// OccurrenceCount is the number of occurrences of a scheduled job. Zero means that the job
	// runs once, immediately.
	OccurrenceCount int           `json:"times,omitempty"`
	StartAt         time.Time     `json:"startAt,omitzero"`
	Interval        time.Duration `json:"intervalNanos,omitempty"`
	// Stretch and TargetLatency define the job's latency objective.
	Stretch       float64       `json:"stretch"`
	TargetLatency time.Duration `json:"targetLatencyNanos"`
	// Advice is set if a placement advisor decides which workers may run a step.
	Advice *ptqueue.AdvicePolicy `json:"advice,omitempty"`
}

// Progress is the stored state of a job's execution.
type Progress struct {
	State ptgraph.State `json:"state"`
	// EndedOccurrences is the number of the first occurrence that has not ended. All occurrences
	// before it have ended.
	EndedOccurrences ptrun.Occurrence `json:"over,omitempty"`
	// Occurrences holds the progress of each due occurrence whose number is EndedOccurrences or
	// higher, including the occurrences that have ended.
	Occurrences map[ptrun.Occurrence]ptgraph.Progress `json:"open,omitempty"`
	EndedAt     time.Time                             `json:"endedAt,omitzero"`
	// VoidRun is the highest number of a run of the ended occurrences whose end as done is void,
	// because its task was placed again before the end arrived.
	VoidRun ptrun.Number `json:"voidRun,omitempty"`
}

// cancelSuffix is the suffix of the keys of cancellations.
const cancelSuffix = "/cancel"

// SpecKey returns the key of a job's spec.
func SpecKey(job ptid.JobID) string { return string(job) }

// CancelKey returns the key of a job's cancellation.
func CancelKey(job ptid.JobID) string { return string(job) + cancelSuffix }

// ParseKey returns the job ID in a key and whether the key belongs to a cancellation.
func ParseKey(key string) (job ptid.JobID, isCancellation bool) {
	text, isCancellation := strings.CutSuffix(key, cancelSuffix)
	return ptid.JobID(text), isCancellation
}

// AgentsKey is the key of the record of a partition's agents among its progress records. It is not the
// ID of a job, which contains no slash.
const AgentsKey = "/agents"

// Agents is the stored list of the agents that may have runs of a partition, or ends of such runs that
// are not stored.
type Agents struct {
	Names []ptid.AgentName `json:"agents"`
}

// DecodeAgents decodes the record of a partition's agents.
func DecodeAgents(record []byte) (agents Agents, err error) {
	err = json.Unmarshal(record, &agents)
	return agents, errors.Wrap(err, "decode record of agents")
}

// Encode returns the JSON encoding of a spec, a progress, a cancellation or a list of agents.
func Encode(value any) (record []byte, err error) {
	record, err = json.Marshal(value)
	return record, errors.Wrap(err, "encode record of durable job")
}

// DecodeSpec decodes the record of a spec. It returns an error if the job ID or the steps are
// missing.
func DecodeSpec(record []byte) (spec Spec, err error) {
	defer func() { err = errors.Wrap(err, "decode spec of durable job") }()
	if err := json.Unmarshal(record, &spec); err != nil {
		return spec, err
	}
	if spec.ID == "" || len(spec.Steps) == 0 {
		return spec, errors.New("job ID or steps missing")
	}
	return spec, nil
}

// DecodeProgress decodes the record of a progress.
func DecodeProgress(record []byte) (progress Progress, err error) {
	err = json.Unmarshal(record, &progress)
	return progress, errors.Wrap(err, "decode progress of durable job")
}

// Record is the latest value of a key. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Offset is a position in a partition.
type Offset int64

// Errors returned by a [Store].
var (
	// ErrUnanswered means that the log sent no response: the write may have been applied, or
	// may still be applied later.
	ErrUnanswered = errors.New("no response from the log")
	// ErrRefused means that the log rejected the call and applied nothing.
	ErrRefused = errors.New("call refused by the log")
	// ErrFenced means that the partition has an owner with a higher epoch.
	ErrFenced = errors.New("partition has an owner with a higher epoch")
	// ErrExpired means that the log no longer holds the requested records.
	ErrExpired = errors.New("records no longer held by the log")
)

// Membership is the epoch and the partitions that the consumer group has assigned to a member.
type Membership struct {
	Epoch      Epoch
	Partitions []Partition
}

// Store is the interface of the log. Implementations are safe for concurrent use.
type Store interface {
	// Partitions returns the number of partitions.
	Partitions() int
	// Put writes the value of the key of a spec or a cancellation.
	Put(ctx context.Context, partition Partition, record Record) (err error)
	// Specs returns the latest specs and cancellations, and the offset that follows them.
	Specs(ctx context.Context, partition Partition) (records []Record, next Offset, err error)
	// Follow returns the specs and cancellations written at offset from or later, and the
	// offset that follows them. If there are none yet, it waits up to wait for the first one.
	Follow(ctx context.Context, partition Partition, from Offset, wait time.Duration) (records []Record, next Offset, err error)
	// Progress returns the latest progress of every job.
	Progress(ctx context.Context, partition Partition) (records []Record, err error)
	// Lookup returns the latest spec and the latest progress of a job; each is nil if there is
	// no record.
	Lookup(ctx context.Context, partition Partition, job ptid.JobID) (spec, progress []byte, err error)
	// IsCancelled reports whether there is a cancellation of a job.
	IsCancelled(ctx context.Context, partition Partition, job ptid.JobID) (cancelled bool, err error)
	// Fence makes the log reject progress writes of owners with a lower epoch.
	Fence(ctx context.Context, partition Partition, epoch Epoch) (err error)
	// Save writes progress as the owner of an epoch. sequence counts the owner's writes
	// to the partition from zero; repeating the latest write has no further effect.
	Save(ctx context.Context, partition Partition, epoch Epoch, sequence uint64, records []Record) (err error)
	// Join joins the consumer group of the owners, or renews the membership, for the duration
	// ttl.
	Join(ctx context.Context, member string, knownEpoch Epoch, ttl time.Duration) (membership Membership, err error)
	// Leave gives up the membership and all partitions of the member.
	Leave(ctx context.Context, member string) (err error)
	// Owners returns the member that owns each partition.
	Owners(ctx context.Context) (owners map[Partition]string, err error)
}
