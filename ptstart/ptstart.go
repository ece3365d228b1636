// Package ptstart is the agent's start table. It decides for every task whether and when
// it starts; no other code starts a task.
//
// # How it works
//
//  1. A task is started at most once. A record in the state running or ended refuses
//     every later attempt, regardless of its number.
//  2. A refused or sealed record accepts a higher attempt number, because the entry sends
//     a higher attempt only after the proof that the lower attempt never starts.
//  3. An attempt is started only before its start deadline (startBy) on the agent's own
//     clock. An attempt that needs a slot is recorded as waiting. When it gets a slot,
//     [Table.Start] checks the clock again, because the process may have been paused in
//     the meantime.
//  4. Sealing records that an attempt never starts. It applies to an unknown or a waiting
//     attempt; for a running or ended attempt, [Table.Seal] only reports that state.
//  5. A record is kept until startBy has passed and, in addition, either the answer has
//     been acknowledged or the deadline of the job (finishBy) has passed. An entry asks
//     about a task only before finishBy and only until it has acknowledged the answer. If
//     an entry asks about a task without a record, the task has therefore never started.
//  6. When an entry joins with a new incarnation, package ptslots refuses the waiting
//     attempts of the old incarnation.
//
// The table is sharded by task, with one lock per shard.
//
// # Usage
//
//	state, accepted := table.Offer(task, attempt, startBy, finishBy, now)
//	if table.Start(task, attempt, now) { run(task) }
//	table.End(task); table.Acknowledge(task, attempt); table.Expire(now)
//
// # Limits
//
// The number of records is bounded by the dispatch rate times the longest deadline.
package ptstart

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
)

// State is the recorded state of a task.
type State uint8

const (
	// NoRecord means that the table has no record of the task.
	NoRecord State = iota
	// Waiting means that the attempt waits for a slot.
	Waiting
	// Running means that the task has started and has not ended.
	Running
	// Ended means that the task has started and ended.
	Ended
	// Refused means that the attempt was refused and never starts.
	Refused
	// Sealed means that the attempt was sealed and never starts.
	Sealed
)

// record is the table's record of one task.
type record struct {
	state        State
	attempt      ptid.Attempt
	starts       uint8
	acknowledged bool
	startBy      ptid.Instant
	finishBy     ptid.Instant
}

const shardCount = 16

type shard struct {
	mu      sync.Mutex
	records map[ptid.TaskID]record
}

// Table is a start table. It is safe for concurrent use.
type Table struct {
	shards [shardCount]shard
}

// New returns an empty table.
func New() *Table {
	table := &Table{}
	for i := range table.shards {
		table.shards[i].records = make(map[ptid.TaskID]record)
	}
	return table
}

func (table *Table) shardOf(task ptid.TaskID) *shard {
	return &table.shards[(xxhash.Sum64String(string(task.Job))+uint64(task.Index))%shardCount]
}

// Offer records a dispatched attempt. If accepted is true, the attempt now waits for a slot.
// Otherwise state is the reason: the recorded state of the task, or Refused if the start
// deadline has passed.
func (table *Table) Offer(task ptid.TaskID, attempt ptid.Attempt, startBy, finishBy, now ptid.Instant) (state State, accepted bool) {
	shard := table.shardOf(task)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	current := shard.records[task]
	switch current.state {
	case Waiting, Running, Ended:
		return current.state, false
	case Refused, Sealed:
		if attempt <= current.attempt {
			return current.state, false
		}
	case NoRecord:
	}
	next := record{state: Waiting, attempt: attempt, startBy: startBy, finishBy: finishBy}
	if now >= startBy {
		next.state = Refused
	}
	shard.records[task] = next
	return next.state, next.state == Waiting
}

// Start decides whether a waiting attempt starts now. No other call starts a task.
func (table *Table) Start(task ptid.TaskID, attempt ptid.Attempt, now ptid.Instant) (started bool) {
	shard := table.shardOf(task)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	current := shard.records[task]
	if current.state != Waiting || current.attempt != attempt {
		return false
	}
	if now >= current.startBy {
		current.state = Refused
		shard.records[task] = current
		return false
	}
	current.state = Running
	current.starts++
	shard.records[task] = current
	ptassert.That(current.starts == 1, "a task starts at most once", "job", task.Job, "task", task.Index)
	return true
}

// Refuse changes a waiting attempt to refused. refused is false if the attempt does not
// wait.
func (table *Table) Refuse(task ptid.TaskID, attempt ptid.Attempt) (refused bool) {
	return table.withdraw(task, attempt, Refused)
}

func (table *Table) withdraw(task ptid.TaskID, attempt ptid.Attempt, state State) (withdrawn bool) {
	shard := table.shardOf(task)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	current := shard.records[task]
	if current.state != Waiting || current.attempt != attempt {
		return false
	}
	current.state = state
	shard.records[task] = current
	return true
}

// Seal ensures that an attempt does not start from now on, and returns the state of the
// task. Running and Ended mean that the task has started. Sealed and Refused mean that the
// attempt has not started and never will.
func (table *Table) Seal(task ptid.TaskID, attempt ptid.Attempt, startBy ptid.Instant) (state State) {
	shard := table.shardOf(task)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	current := shard.records[task]
	switch current.state {
	case Running, Ended:
		return current.state
	case Refused, Sealed:
		if attempt <= current.attempt {
			return current.state
		}
	case Waiting:
		if attempt < current.attempt {
			// The entry sends a higher attempt only after the lower attempt was refused or
			// sealed.
			return Sealed
		}
	case NoRecord:
	}
	sealed := record{state: Sealed, attempt: attempt, startBy: max(current.startBy, startBy), acknowledged: true}
	shard.records[task] = sealed
	return Sealed
}

// State returns the recorded state of a task.
func (table *Table) State(task ptid.TaskID) State {
	shard := table.shardOf(task)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.records[task].state
}

// End changes a running task to ended.
func (table *Table) End(task ptid.TaskID) {
	shard := table.shardOf(task)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	current := shard.records[task]
	if !ptassert.That(current.state == Running, "only a running task ends", "job", task.Job, "task", task.Index) {
		return
	}
	current.state = Ended
	shard.records[task] = current
}

// Acknowledge records that the entry has received the answer or the refusal for an attempt.
// It ignores the acknowledgement of an attempt that is not the recorded attempt: an
// acknowledgement of an earlier attempt may arrive late, and the record must be kept until
// the answer of the recorded attempt is acknowledged.
func (table *Table) Acknowledge(task ptid.TaskID, attempt ptid.Attempt) {
	shard := table.shardOf(task)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	current, found := shard.records[task]
	if !found || current.attempt != attempt || current.state == Waiting || current.state == Running {
		return
	}
	current.acknowledged = true
	shard.records[task] = current
}

// Expire deletes the records that are no longer kept under rule 5, and returns how many
// remain.
func (table *Table) Expire(now ptid.Instant) (remaining int) {
	for i := range table.shards {
		remaining += table.shards[i].expire(now)
	}
	return remaining
}

// Size returns how many records the table holds.
func (table *Table) Size() (records int) {
	for i := range table.shards {
		shard := &table.shards[i]
		shard.mu.Lock()
		records += len(shard.records)
		shard.mu.Unlock()
	}
	return records
}

func (shard *shard) expire(now ptid.Instant) (remaining int) {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for task, current := range shard.records {
		if current.expired(now) {
			delete(shard.records, task)
		}
	}
	return len(shard.records)
}

func (current record) expired(now ptid.Instant) bool {
	if current.state == Waiting || current.state == Running || now < current.startBy {
		return false
	}
	return current.acknowledged || now >= current.finishBy
}
