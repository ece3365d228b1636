// Package ptid names the identities, instants and units that every other
// package of the system shares.
//
// # Usage
//
//	job := ptid.NewJobID("entry1", incarnation, sequence)
//	owner, ok := job.Entry()
//
// # Rules
//
//  1. A job id names the entry that minted it and that entry's incarnation, so
//     that any other entry can forward a question to its owner and an agent can
//     tell the jobs of a dead incarnation from those of a living one.
//  2. An [Instant] belongs to the monotonic clock of one process. Instants of
//     two processes are compared only after a conversion by the stamps that
//     their sessions exchange.
//  3. Incarnations of one name grow: the wall clock at start in nanoseconds. Two
//     starts within one clock tick are told apart by random low bits.
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
	// AgentName is the name of an agent, which is that of its upstream.
	AgentName string
	// ServiceName is a kind of upstream.
	ServiceName string
	// ProfileName is the name of a profile.
	ProfileName string
	// TeamName is the name of a caller's team, the holder of quotas.
	TeamName string
	// Zone is an availability zone.
	Zone string
	// Region is a group of availability zones.
	Region string
	// Incarnation tells the starts of one process apart.
	Incarnation uint64
	// SessionNumber orders the sessions between one agent and one entry.
	SessionNumber uint64
	// Sequence numbers the frames of a session, from one.
	Sequence uint64
	// Revision counts the accepted changes of the configuration.
	Revision uint64
	// Offset is a position in a stream of the platform's log.
	Offset int64
	// JobID identifies a job for as long as anybody remembers it.
	JobID string
	// TaskIndex is the position of a task in its job.
	TaskIndex uint32
	// Attempt counts the placements of one task, from one.
	Attempt uint32
	// SubmissionKey is the caller's idempotency key.
	SubmissionKey string
	// Instant is a moment on the monotonic clock of one process, in nanoseconds.
	Instant int64
)

// TaskID is the identity of a task for life.
type TaskID struct {
	Job   JobID
	Index TaskIndex
}

// AttemptID names one attempt of a task.
type AttemptID struct {
	Task    TaskID
	Attempt Attempt
}

// CompareTasks orders tasks by job and index, so that seeded runs do not depend on
// the order of a map.
func CompareTasks(left, right TaskID) int {
	if order := cmp.Compare(left.Job, right.Job); order != 0 {
		return order
	}
	return cmp.Compare(left.Index, right.Index)
}

// SortedTasks returns the keys of a map of tasks in order.
func SortedTasks[Value any](tasks map[TaskID]Value) (sorted []TaskID) {
	return slices.SortedFunc(maps.Keys(tasks), CompareTasks)
}

// jobIDParts is how many fields a job id has: entry, incarnation, sequence.
const jobIDParts = 3

// jobIDBase is the base of the numbers in a job id.
const jobIDBase = 36

// jobIDSeparator separates the fields of a job id. Names may not contain it.
const jobIDSeparator = "."

// NewJobID returns the id of the sequence-th job of an entry's incarnation.
func NewJobID(entry EntryName, incarnation Incarnation, sequence uint64) JobID {
	return JobID(string(entry) + jobIDSeparator +
		strconv.FormatUint(uint64(incarnation), jobIDBase) + jobIDSeparator +
		strconv.FormatUint(sequence, jobIDBase))
}

// Owner returns the entry and the incarnation that minted the id. ok is false
// where the text is not a job id.
func (id JobID) Owner() (entry EntryName, incarnation Incarnation, ok bool) {
	parts := strings.Split(string(id), jobIDSeparator)
	if len(parts) != jobIDParts || parts[0] == "" || parts[2] == "" {
		return "", 0, false
	}
	number, err := strconv.ParseUint(parts[1], jobIDBase, 64)
	if err != nil {
		return "", 0, false
	}
	return EntryName(parts[0]), Incarnation(number), true
}

// incarnationRandomBits is the width of the random part of an incarnation.
const incarnationRandomBits = 10

// NewIncarnation returns an incarnation for a process that starts at now.
func NewIncarnation(now time.Time) Incarnation {
	stamp := uint64(now.UnixNano()) >> incarnationRandomBits << incarnationRandomBits
	return Incarnation(stamp | rand.Uint64N(1<<incarnationRandomBits))
}

// Never is later than every instant.
const Never = Instant(1<<63 - 1)

// Add returns the instant a duration later.
func (instant Instant) Add(span time.Duration) Instant { return instant + Instant(span) }

// Sub returns the time from earlier to the instant.
func (instant Instant) Sub(earlier Instant) time.Duration { return time.Duration(instant - earlier) }

// Clock tells the instants of one process.
type Clock struct{ start time.Time }

// NewClock returns a clock whose instant zero lies an hour before start, so
// that zero stays free to mean "not set".
func NewClock() *Clock { return &Clock{start: time.Now().Add(-time.Hour)} }

// Now returns the current instant. It advances while the process is paused.
func (clock *Clock) Now() Instant { return Instant(time.Since(clock.start)) }

// FromTime converts a wall-clock time to the instant that is as far from now.
func (clock *Clock) FromTime(moment time.Time) Instant {
	return clock.Now().Add(time.Until(moment))
}
