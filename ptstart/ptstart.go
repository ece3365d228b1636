// Package ptstart is the agent's start table: the only place where it is
// decided that a task starts.
//
// # How it works
//
//  1. A task is started at most once. A record in the state running or ended
//     refuses every later attempt, whatever its number.
//  2. A refused or sealed record admits a higher attempt number: the entry sends
//     one only after it has received the proof that the lower one never starts.
//  3. An attempt is started only before its startBy instant on the agent's own
//     clock. An attempt that waits for a slot is kept as waiting; whoever takes
//     it out calls [Table.Start], which checks the clock again, because the
//     process may have been paused since.
//  4. Sealing an unknown or waiting attempt turns it into a sealed one. Sealing a
//     running or ended one reports that state and changes nothing.
//  5. A record is kept until startBy has passed and its answer has been
//     acknowledged or the deadline of its job has passed. An entry asks about no
//     task after that deadline. So "no record" means "never started".
//  6. An entry's incarnation that is gone takes its waiting attempts with it.
//
// The table is sharded by job, with one lock a shard.
//
// # Usage
//
//	verdict := table.Offer(task, attempt, startBy, finishBy, now)
//	if table.Start(task, attempt, now) { run(task) }
//	table.End(task); table.Acknowledge(task); table.Expire(now)
//
// # Limits
//
// The table is bounded by the rate of dispatches times the longest deadline.
package ptstart

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
)

// State is what the table knows of a task.
type State uint8

const (
	// NoRecord means that there is no record.
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

// record is the table's memory of one task.
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

func (table *Table) shard(task ptid.TaskID) *shard {
	return &table.shards[(xxhash.Sum64String(string(task.Job))+uint64(task.Index))%shardCount]
}

// Offer takes in a dispatched attempt. accepted is true where the attempt now
// waits for a slot; otherwise state says what stands against it, and Refused
// means that the attempt came too late or after a higher one.
func (table *Table) Offer(task ptid.TaskID, attempt ptid.Attempt, startBy, finishBy, now ptid.Instant) (state State, accepted bool) {
	shard := table.shard(task)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known := shard.records[task]
	switch known.state {
	case Waiting, Running, Ended:
		return known.state, false
	case Refused, Sealed:
		if attempt <= known.attempt {
			return known.state, false
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

// Start decides whether a waiting attempt starts now. It is the only call that
// lets a task start.
func (table *Table) Start(task ptid.TaskID, attempt ptid.Attempt, now ptid.Instant) (started bool) {
	shard := table.shard(task)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known := shard.records[task]
	if known.state != Waiting || known.attempt != attempt {
		return false
	}
	if now >= known.startBy {
		known.state = Refused
		shard.records[task] = known
		return false
	}
	known.state = Running
	known.starts++
	shard.records[task] = known
	ptassert.That(known.starts == 1, "a task starts at most once", "job", task.Job, "task", task.Index)
	return true
}

// Refuse turns a waiting attempt into a refused one. refused is false where the
// attempt does not wait.
func (table *Table) Refuse(task ptid.TaskID, attempt ptid.Attempt) (refused bool) {
	return table.withdraw(task, attempt, Refused)
}

func (table *Table) withdraw(task ptid.TaskID, attempt ptid.Attempt, state State) (withdrawn bool) {
	shard := table.shard(task)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known := shard.records[task]
	if known.state != Waiting || known.attempt != attempt {
		return false
	}
	known.state = state
	shard.records[task] = known
	return true
}

// Seal resolves an attempt that the entry holds as sent. Unless the task has
// started, it never will under this attempt, and Sealed or Refused is returned.
func (table *Table) Seal(task ptid.TaskID, attempt ptid.Attempt, startBy ptid.Instant) (state State) {
	shard := table.shard(task)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known := shard.records[task]
	switch known.state {
	case Running, Ended:
		return known.state
	case Refused, Sealed:
		if attempt <= known.attempt {
			return known.state
		}
	case Waiting:
		if attempt < known.attempt {
			// The higher attempt was sent because the lower one never starts.
			return Sealed
		}
	case NoRecord:
	}
	sealed := record{state: Sealed, attempt: attempt, startBy: max(known.startBy, startBy), acknowledged: true}
	shard.records[task] = sealed
	return Sealed
}

// State returns what the table knows of a task.
func (table *Table) State(task ptid.TaskID) State {
	shard := table.shard(task)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.records[task].state
}

// End records that a running task has ended.
func (table *Table) End(task ptid.TaskID) {
	shard := table.shard(task)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known := shard.records[task]
	if !ptassert.That(known.state == Running, "only a running task ends", "job", task.Job, "task", task.Index) {
		return
	}
	known.state = Ended
	shard.records[task] = known
}

// Acknowledge records that the entry has what it asked for about an attempt: an answer
// or a refusal. One that comes late, for an attempt before the present one, changes
// nothing: the record must outlive the present one's answer.
func (table *Table) Acknowledge(task ptid.TaskID, attempt ptid.Attempt) {
	shard := table.shard(task)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known, found := shard.records[task]
	if !found || known.attempt != attempt || known.state == Waiting || known.state == Running {
		return
	}
	known.acknowledged = true
	shard.records[task] = known
}

// Expire removes the records that rule 5 no longer needs and returns how many
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
	for task, known := range shard.records {
		if known.expired(now) {
			delete(shard.records, task)
		}
	}
	return len(shard.records)
}

func (known record) expired(now ptid.Instant) bool {
	if known.state == Waiting || known.state == Running || now < known.startBy {
		return false
	}
	return known.acknowledged || now >= known.finishBy
}
