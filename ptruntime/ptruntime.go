// Package ptruntime holds the run times that entries have learned, by queue. Agents keep them while
// entries restart.
//
// # How it works
//
//  1. An entry sends what it has learned from its own runs to its agents ([Sender]).
//  2. An agent merges the values of all entries ([Table.Merge]).
//  3. An agent sends its table to each entry that opens a session ([Table.Values]).
//
// The package has no clock and no network.
package ptruntime

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	// MaxQueues is the number of queues in a table or message. With the longest names, a message takes
	// less than 10 KiB. An entry accepts a greeting of up to 16 KiB.
	MaxQueues = 100
	// MaxWeight is the maximum weight of a value. The moving average of an entry has forgotten 99 % of
	// what it was 100 runs ago.
	MaxWeight = 100
	// Retention is how long a table keeps a value that is not updated.
	Retention = time.Hour
	// SendInterval is the minimum time between two messages of an entry to an agent.
	SendInterval = 2 * time.Second

	// weightHalfLife is the time in which the weight of a value that is not updated halves. An entry of
	// few runs replaces the value of an entry that has stopped within some minutes.
	weightHalfLife = time.Minute
	// resendInterval is the time after which a value with new runs is sent although it is about the
	// same, so that agents don't forget it.
	resendInterval = Retention / 6
	// minChange is the relative change from which on a value is sent again.
	minChange = 0.1
	// minWeightRatio is the ratio of weights from which on a value is sent again.
	minWeightRatio = 2

	minSeconds, maxSeconds = 0.0001, 86_400
	minBias, maxBias       = 0.01, 100
)

// Value is what was learned about the runs of a queue.
type Value struct {
	Queue ptid.ProfileName
	// Seconds is the run time on a worker of speed 1.
	Seconds float64
	// EstimateBias is the ratio of run time to declared estimate, or zero if it is unknown.
	EstimateBias float64
	// Weight is the number of runs behind the value, at most MaxWeight.
	Weight float64
}

// IsValid reports whether the value is within the bounds of values from the network.
func (value *Value) IsValid() bool {
	// Comparisons with NaN are false.
	within := func(number, least, most float64) bool { return number >= least && number <= most }
	return ptprofile.IsValidName(string(value.Queue)) && within(value.Seconds, minSeconds, maxSeconds) &&
		(value.EstimateBias == 0 || within(value.EstimateBias, minBias, maxBias)) && within(value.Weight, 1, math.MaxFloat64)
}

// FromMessages returns the valid values of a message, at most MaxQueues. Invalid ones are left out.
func FromMessages(messages []*ptwire.QueueRunTime) (values []Value) {
	for _, message := range messages[:min(len(messages), MaxQueues)] {
		if message == nil {
			continue
		}
		value := Value{Queue: ptid.ProfileName(message.Queue), Seconds: message.Seconds, EstimateBias: message.EstimateBias, Weight: message.Weight}
		if value.IsValid() {
			value.Weight = min(value.Weight, MaxWeight)
			values = append(values, value)
		}
	}
	return values
}

// Messages returns the values as a message.
func Messages(values []Value) (messages []*ptwire.QueueRunTime) {
	for _, value := range values {
		messages = append(messages, &ptwire.QueueRunTime{
			Queue: string(value.Queue), Seconds: value.Seconds, EstimateBias: value.EstimateBias, Weight: value.Weight,
		})
	}
	return messages
}

// record is a value and the time of its latest update.
type record struct {
	Value
	updatedAt ptid.Instant
}

// weightAt returns the weight of the value, reduced by its age.
func (record *record) weightAt(now ptid.Instant) float64 {
	return max(1, record.Weight*math.Exp2(-float64(now.Sub(record.updatedAt))/float64(weightHalfLife)))
}

// Table holds the newest values of all entries. The zero value is an empty table.
type Table struct{ records map[ptid.ProfileName]record }

// Merge adds values that were received at the given time. A value replaces the one that is held unless
// the latter weighs more in spite of its age.
func (table *Table) Merge(values []Value, now ptid.Instant) {
	if table.records == nil {
		table.records = make(map[ptid.ProfileName]record)
	}
	table.expire(now)
	for _, value := range values {
		held, known := table.records[value.Queue]
		if known && value.Weight < held.weightAt(now) {
			continue
		}
		if !known && len(table.records) >= MaxQueues {
			delete(table.records, table.oldest())
		}
		table.records[value.Queue] = record{Value: value, updatedAt: now}
	}
}

// Values returns the values that are held, with weights reduced by age, sorted by queue.
func (table *Table) Values(now ptid.Instant) (values []Value) {
	table.expire(now)
	for _, held := range table.records {
		value := held.Value
		value.Weight = held.weightAt(now)
		values = append(values, value)
	}
	slices.SortFunc(values, func(a, b Value) int { return cmp.Compare(a.Queue, b.Queue) })
	return values
}

func (table *Table) expire(now ptid.Instant) {
	for queue, held := range table.records {
		if now.Sub(held.updatedAt) >= Retention {
			delete(table.records, queue)
		}
	}
}

// oldest returns the queue whose value was updated least recently.
func (table *Table) oldest() (queue ptid.ProfileName) {
	first := true
	for name, held := range table.records {
		oldest := table.records[queue]
		if first || held.updatedAt < oldest.updatedAt || held.updatedAt == oldest.updatedAt && name < queue {
			first, queue = false, name
		}
	}
	return queue
}

// Sender selects what an entry sends over one session. The zero value has sent nothing. It is not safe
// for concurrent use.
type Sender struct {
	sent   map[ptid.ProfileName]record
	sentAt ptid.Instant
}

// ToSend returns the values that have changed by more than a tenth since they were last sent, if the
// latest message is at least SendInterval old.
func (sender *Sender) ToSend(values []Value, now ptid.Instant) (changed []Value) {
	if sender.sent != nil && now.Sub(sender.sentAt) < SendInterval {
		return nil
	}
	for _, value := range values[:min(len(values), MaxQueues)] {
		if previous, sent := sender.sent[value.Queue]; !sent || previous.isOutdated(value, now) {
			changed = append(changed, value)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	if sender.sent == nil || len(sender.sent) > 2*MaxQueues {
		sender.sent = make(map[ptid.ProfileName]record)
	}
	sender.sentAt = now
	for _, value := range changed {
		sender.sent[value.Queue] = record{Value: value, updatedAt: now}
	}
	return changed
}

// isOutdated reports whether the value must be sent instead of the one that was sent.
func (record *record) isOutdated(value Value, now ptid.Instant) bool {
	differs := func(before, after float64) bool { return math.Abs(after-before) > minChange*before }
	return differs(record.Seconds, value.Seconds) || differs(record.EstimateBias, value.EstimateBias) || value.Weight >= minWeightRatio*record.Weight ||
		value.Seconds != record.Seconds && now.Sub(record.updatedAt) >= resendInterval
}
