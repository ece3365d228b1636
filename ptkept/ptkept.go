// Package ptkept is what must last of jobs that were accepted for good, and the port to
// the log that keeps it. It has no I/O of its own.
//
// # How it works
//
//  1. A job belongs to a partition by the hash of its id. A partition has at most one
//     owner: the entry that a group of the log has given it to, under an [Epoch] that
//     rises with each change of hands.
//  2. A [Spec] is put by any entry, before it accepts the job. A cancellation is put the
//     same way. The owner follows both.
//  3. [Progress] is put by the owner alone; the log refuses an owner of a lower epoch.
//     An end of a run is acknowledged only after the progress that contains it was put,
//     so no end is both taken note of and lost.
//  4. Runs of kept jobs are numbered from [RunNumberBase] of the owner's epoch, so they
//     rise over owners and are told from those of other jobs.
//
// # Usage
//
//	partition := ptkept.PartitionOf(job, partitions)
//	err := store.Put(ctx, partition, ptkept.SpecKey(job), record)
//
// # Limits
//
// A record holds a whole job; the log bounds it.
package ptkept

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
	// Partition is a part of the jobs with one owner.
	Partition int
	// Epoch numbers the owners of partitions; it rises.
	Epoch uint64
)

// epochBits is the width of the counter within an epoch: more runs of one task than one
// owner ever starts.
const epochBits = 20

// RunNumberBase returns the number below the runs of an owner.
func RunNumberBase(epoch Epoch) ptrun.Number { return ptrun.Number(epoch) << epochBits }

// EpochOf returns the epoch of the owner that started a run.
func EpochOf(number ptrun.Number) Epoch { return Epoch(number >> epochBits) }

// IsDurable reports whether a run is of a kept job.
func IsDurable(number ptrun.Number) bool { return number >= 1<<epochBits }

// PartitionOf returns the partition of a job.
func PartitionOf(job ptid.JobID, partitions int) Partition {
	return Partition(xxhash.Sum64String(string(job)) % uint64(max(1, partitions)))
}

// Spec is a job as it was accepted.
type Spec struct {
	ID          ptid.JobID       `json:"id"`
	Queue       ptid.ProfileName `json:"queue"`
	Service     ptid.ServiceName `json:"service"`
	Priority    int              `json:"priority"`
	MaxAttempts int              `json:"maxAttempts"`
	Payload     string           `json:"payload"`
	Steps       []ptgraph.Step   `json:"steps"`
	// OccurrenceCount is how often a timed job runs; zero means once and at once.
	OccurrenceCount int           `json:"times,omitempty"`
	StartAt         time.Time     `json:"startAt,omitzero"`
	Interval        time.Duration `json:"intervalNanos,omitempty"`
	// Stretch and TargetLatency give the job's objective.
	Stretch       float64       `json:"stretch"`
	TargetLatency time.Duration `json:"targetLatencyNanos"`
	// Advice is set where an advisor says which workers may run a step.
	Advice *ptqueue.AdvicePolicy `json:"advice,omitempty"`
}

// Progress is how far the owner of a job has come.
type Progress struct {
	State ptgraph.State `json:"state"`
	// EndedOccurrences is how many occurrences from the first on have ended.
	EndedOccurrences ptrun.Occurrence `json:"over,omitempty"`
	// Occurrences has the progress of occurrences that have not ended, and of those after them
	// that have.
	Occurrences map[ptrun.Occurrence]ptgraph.Progress `json:"open,omitempty"`
	EndedAt     time.Time                             `json:"endedAt,omitzero"`
}

// cancelSuffix marks the key of a cancellation.
const cancelSuffix = "/cancel"

// SpecKey returns the key of a job's spec.
func SpecKey(job ptid.JobID) string { return string(job) }

// CancelKey returns the key of a job's cancellation.
func CancelKey(job ptid.JobID) string { return string(job) + cancelSuffix }

// ParseKey returns the job of a key, and whether it is that of a cancellation.
func ParseKey(key string) (job ptid.JobID, cancels bool) {
	text, cancels := strings.CutSuffix(key, cancelSuffix)
	return ptid.JobID(text), cancels
}

// Encode returns the record of a spec, a progress, or a cancellation.
func Encode(value any) (record []byte, err error) {
	record, err = json.Marshal(value)
	return record, errors.Wrap(err, "encode a kept record")
}

// DecodeSpec returns the spec of a record.
func DecodeSpec(record []byte) (spec Spec, err error) {
	defer func() { err = errors.Wrap(err, "decode a kept spec") }()
	if err := json.Unmarshal(record, &spec); err != nil {
		return spec, err
	}
	if spec.ID == "" || len(spec.Steps) == 0 {
		return spec, errors.New("it has no id or no steps")
	}
	return spec, nil
}

// DecodeProgress returns the progress of a record.
func DecodeProgress(record []byte) (progress Progress, err error) {
	err = json.Unmarshal(record, &progress)
	return progress, errors.Wrap(err, "decode a kept progress")
}

// Record is the newest value of a key; an empty value takes the key away.
type Record struct {
	Key   string
	Value []byte
}

// Offset is a position in a partition.
type Offset int64

// Errors of a [Store].
var (
	// ErrUnanswered means that a put may have been done, or may be later.
	ErrUnanswered = errors.New("the log did not answer")
	// ErrRefused means that nothing was done.
	ErrRefused = errors.New("the log refused the call")
	// ErrFenced means that a later owner has the partition.
	ErrFenced = errors.New("a later owner has the partition")
	// ErrExpired means that the log no longer has what was asked for.
	ErrExpired = errors.New("the log has dropped the records")
)

// Membership is what a member of the owners' group holds.
type Membership struct {
	Epoch      Epoch
	Partitions []Partition
}

// Store is the port to the log. Implementations are safe for concurrent use.
type Store interface {
	// Partitions returns how many partitions there are.
	Partitions() int
	// Put puts the newest value of a key of specs and cancellations.
	Put(ctx context.Context, partition Partition, record Record) (err error)
	// Specs returns the newest specs and cancellations, and the offset after them.
	Specs(ctx context.Context, partition Partition) (records []Record, next Offset, err error)
	// Follow returns later ones, after waiting for the first at most wait.
	Follow(ctx context.Context, partition Partition, from Offset, wait time.Duration) (records []Record, next Offset, err error)
	// Progress returns the newest progress of every job.
	Progress(ctx context.Context, partition Partition) (records []Record, err error)
	// Lookup returns the newest values of a job's spec and progress; nil where none is.
	Lookup(ctx context.Context, partition Partition, job ptid.JobID) (spec, progress []byte, err error)
	// Fence bars the owners of lower epochs from saving.
	Fence(ctx context.Context, partition Partition, epoch Epoch) (err error)
	// Save puts progress as the owner of an epoch. sequence counts the owner's saves of
	// the partition from zero; a repeat of the last one has no further effect.
	Save(ctx context.Context, partition Partition, epoch Epoch, sequence uint64, records []Record) (err error)
	// Join joins the owners' group, or stays in it for span.
	Join(ctx context.Context, member string, known Epoch, span time.Duration) (membership Membership, err error)
	// Leave gives up everything.
	Leave(ctx context.Context, member string) (err error)
	// Owners returns who owns the partitions.
	Owners(ctx context.Context) (owners map[Partition]string, err error)
}
