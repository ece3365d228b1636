// Package ptid defines the identifiers, instants and counters that all other
// packages share.
//
// # Usage
//
//	job := ptid.NewJobID("entry1", incarnation, sequence)
//	entry, incarnation, ok := job.Owner()
//
// # Rules
//
//  1. A job id contains the name and the incarnation of the entry that created it,
//     so that any other entry can forward a request to the owner of the job, and an
//     agent can distinguish the jobs of a dead incarnation from those of a live one.
//  2. An [Instant] belongs to the monotonic clock of one process. Instants of two
//     processes are comparable only after conversion with the clock offset that is
//     estimated from the timestamps in their session frames.
//  3. The incarnations of one process name increase: an incarnation is the wall
//     clock at start in nanoseconds, with random low bits that distinguish two
//     starts within one clock tick.
package ptid

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

type (
	// EntryName is the name of an entry from its settings.
	EntryName string
	// AgentName is the name of an agent and of its upstream.
	AgentName string
	// ServiceName is the name of a service, that is, of a kind of upstream.
	ServiceName string
	// ProfileName is the name of a profile.
	ProfileName string
	// TeamName is the name of a caller's team. Quotas are set for each team.
	TeamName string
	// Zone is the name of an availability zone.
	Zone string
	// Region is the name of a group of availability zones.
	Region string
	// Incarnation identifies one start of a process; later starts have larger values.
	Incarnation uint64
	// SessionNumber is the number of a session between one agent and one entry. A later
	// session has a larger number.
	SessionNumber uint64
	// Sequence is the number of a frame within its session, starting at one.
	Sequence uint64
	// Revision is the number of accepted changes of the configuration.
	Revision uint64
	// Offset is a position in a stream of the platform's log.
	Offset int64
	// JobID identifies a job. It is never reused.
	JobID string
	// TaskIndex is the position of a task in its job.
	TaskIndex uint32
	// Attempt is the number of an attempt of one task, starting at one. Each placement of the
	// task is a new attempt.
	Attempt uint32
	// SubmissionKey is the caller's idempotency key.
	SubmissionKey string
	// Instant is a reading of the monotonic clock of one process, in nanoseconds.
	Instant int64
)

// TaskID identifies a task over all its attempts.
type TaskID struct {
	Job   JobID
	Index TaskIndex
}

// AttemptID identifies one attempt of a task.
type AttemptID struct {
	Task    TaskID
	Attempt Attempt
}

// CompareTasks orders tasks by job and index. Code that iterates over a map of tasks sorts
// the tasks with this function, because the random order of map iteration would make
// simulation runs with the same seed differ.
func CompareTasks(left, right TaskID) int {
	if order := cmp.Compare(left.Job, right.Job); order != 0 {
		return order
	}
	return cmp.Compare(left.Index, right.Index)
}

// SortedTasks returns the keys of a map of tasks in the order of [CompareTasks].
func SortedTasks[Value any](tasks map[TaskID]Value) (sorted []TaskID) {
	return slices.SortedFunc(maps.Keys(tasks), CompareTasks)
}

// jobIDFieldCount is the number of fields in a job id: entry, incarnation, sequence.
const jobIDFieldCount = 3

// jobIDBase is the numeric base of the incarnation and the sequence in a job id.
const jobIDBase = 36

// jobIDSeparator separates the fields of a job id. Names of entries must not contain it.
const jobIDSeparator = "."

// NewJobID returns the id of the job with the given sequence number in an incarnation of
// an entry.
func NewJobID(entry EntryName, incarnation Incarnation, sequence uint64) JobID {
	return JobID(string(entry) + jobIDSeparator +
		strconv.FormatUint(uint64(incarnation), jobIDBase) + jobIDSeparator +
		strconv.FormatUint(sequence, jobIDBase))
}

// Owner returns the entry and the incarnation that created the id. ok is false if id is
// not a valid job id.
func (id JobID) Owner() (entry EntryName, incarnation Incarnation, ok bool) {
	fields := strings.Split(string(id), jobIDSeparator)
	if len(fields) != jobIDFieldCount || fields[0] == "" || fields[2] == "" {
		return "", 0, false
	}
	parsed, err := strconv.ParseUint(fields[1], jobIDBase, 64)
	if err != nil {
		return "", 0, false
	}
	return EntryName(fields[0]), Incarnation(parsed), true
}

// incarnationRandomBits is the number of low bits of an incarnation that are random.
const incarnationRandomBits = 10

// NewIncarnation returns an incarnation for a process that starts at now.
func NewIncarnation(now time.Time) Incarnation {
	timestamp := uint64(now.UnixNano()) >> incarnationRandomBits << incarnationRandomBits
	return Incarnation(timestamp | rand.Uint64N(1<<incarnationRandomBits))
}

// Never is later than every instant.
const Never = Instant(1<<63 - 1)

// Add returns the instant that is later by duration.
func (instant Instant) Add(duration time.Duration) Instant { return instant + Instant(duration) }

// Sub returns the duration from earlier to instant.
func (instant Instant) Sub(earlier Instant) time.Duration { return time.Duration(instant - earlier) }

// Clock is the monotonic clock of one process.
type Clock struct{ start time.Time }

// NewClock returns a clock whose zero instant is one hour before its creation. Now thus
// never returns zero, and a zero Instant can mean "not set".
func NewClock() *Clock { return &Clock{start: time.Now().Add(-time.Hour)} }

// Now returns the current instant. The clock advances while the process is paused,
// and stands still while its machine is suspended.
func (clock *Clock) Now() Instant { return Instant(time.Since(clock.start)) }

// FromTime returns the instant that corresponds to a wall-clock time.
func (clock *Clock) FromTime(wallTime time.Time) Instant {
	return clock.Now().Add(time.Until(wallTime))
}
