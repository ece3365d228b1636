// Package ptslots is the agent's decisions about tasks: what is accepted, started,
// refused, answered, sent again and forgotten. It has no I/O.
//
// # How it works
//
//  1. A dispatched task is offered to the start table (package ptstart). Accepted
//     ones wait in a queue that is ordered across all entries: fair between teams, and
//     by order key within one.
//  2. A free slot takes the first waiting task. The owner prepares the run, asks
//     [Core.Start] at the last moment, and reports the end. Where the run could not
//     be prepared, the task is refused as not run.
//  3. An answer is kept until the entry has acknowledged it or the job's deadline
//     has passed, and is sent again over a new session when the entry asks.
//  4. A task whose startBy passes while it waits is refused at once.
//  5. A new incarnation of an entry takes the waiting tasks and kept answers of the
//     old one with it.
//  6. A draining agent refuses new tasks and finishes those that it has.
//
// Every call returns the effects that its owner has to carry out, in order.
//
// # Usage
//
//	core := ptslots.New(setting)
//	effects := core.Dispatch(entry, dispatch, now)
//	if core.Begin(task, now) { … }
//	effects = core.Ended(task, answer, now)
//
// # Limits
//
// Core is not safe for concurrent use, but for Begin, Acknowledge and Records.
package ptslots

import (
	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlease"
	"github.com/primrosetiller/primrosetiller/ptreason"
	"github.com/primrosetiller/primrosetiller/ptstart"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// Task is a dispatched task from its acceptance to its end.
type Task struct {
	ID         ptid.TaskID
	Dispatch   *ptwire.Dispatch
	Entry      ptid.EntryName
	AcceptedAt ptid.Instant
	gone       bool
}

// Attempt returns under which attempt the task was dispatched.
func (task *Task) Attempt() ptid.Attempt { return ptid.Attempt(task.Dispatch.Attempt) }

// Effect is something that the owner has to do.
type Effect interface{ isEffect() }

// Run asks the owner to run a task; it holds a slot until its end is reported.
type Run struct{ Task *Task }

// CancelRun asks the owner to cut a running task off.
type CancelRun struct{ ID ptid.TaskID }

// Refuse tells an entry that an attempt has not started and never will.
type Refuse struct {
	Entry   ptid.EntryName
	ID      ptid.TaskID
	Attempt ptid.Attempt
	Reason  ptreason.Reason
	Sealed  bool
}

// SendAnswer sends an answer to an entry.
type SendAnswer struct {
	Entry  ptid.EntryName
	Answer *ptwire.Answer
}

// Grant asks for a frame to the entry, which carries a larger window.
type Grant struct{ Entry ptid.EntryName }

// Recall asks for a frame to the entry, which carries a smaller window.
type Recall struct{ Entry ptid.EntryName }

func (Run) isEffect()        {}
func (CancelRun) isEffect()  {}
func (Refuse) isEffect()     {}
func (SendAnswer) isEffect() {}
func (Grant) isEffect()      {}
func (Recall) isEffect()     {}

// keptAnswer is an answer that no entry has acknowledged yet.
type keptAnswer struct {
	answer   *ptwire.Answer
	finishBy ptid.Instant
}

// Core is the state of one agent's tasks.
type Core struct {
	slots    int
	table    *ptstart.Table
	lease    *ptlease.Allocator
	backlog  backlog
	waiting  map[ptid.TaskID]*Task
	running  map[ptid.TaskID]*Task
	kept     map[ptid.TaskID]keptAnswer
	entries  map[ptid.EntryName]ptid.Incarnation
	draining bool
}

// New returns a core with all slots free.
func New(setting ptlease.Setting) *Core {
	return &Core{
		slots: setting.Slots, table: ptstart.New(), lease: ptlease.New(setting),
		waiting: make(map[ptid.TaskID]*Task), running: make(map[ptid.TaskID]*Task),
		backlog: newBacklog(), kept: make(map[ptid.TaskID]keptAnswer), entries: make(map[ptid.EntryName]ptid.Incarnation),
	}
}

// SetDraining starts or ends a drain.
func (core *Core) SetDraining(draining bool) { core.draining = draining }

// Draining reports whether new tasks are refused.
func (core *Core) Draining() bool { return core.draining }

// Counts returns how many tasks wait and run, and how many answers are kept.
func (core *Core) Counts() (waiting, running, kept int) {
	return len(core.waiting), len(core.running), len(core.kept)
}

// StartRecords returns the size of the start table.
func (core *Core) StartRecords() int { return core.table.Size() }

// Idle reports whether nothing waits, runs or awaits its acknowledgement.
func (core *Core) Idle() bool { return len(core.waiting)+len(core.running)+len(core.kept) == 0 }

// OnlyUndeliverableAnswers reports whether all that is left is answers to entries without a
// session.
func (core *Core) OnlyUndeliverableAnswers() bool {
	if len(core.waiting)+len(core.running) > 0 {
		return false
	}
	for id := range core.kept {
		if owner, _, ok := id.Job.Owner(); ok && core.owns(owner, id) {
			return false
		}
	}
	return true
}

// SlotStatus is what a frame to an entry tells of the slots.
type SlotStatus struct {
	Window           int
	Outstanding      int
	TotalOutstanding int
	Draining         bool
}

// SlotStatus returns what a frame to an entry tells now.
func (core *Core) SlotStatus(entry ptid.EntryName, now ptid.Instant) (frame SlotStatus) {
	frame.Outstanding, frame.TotalOutstanding = core.lease.Outstanding(entry)
	frame.Draining = core.draining
	if !core.draining {
		frame.Window = core.lease.Window(entry, now)
	}
	return frame
}

// PrepareSession prepares for a session with an entry, so that its first frame has a window.
func (core *Core) PrepareSession(entry ptid.EntryName) { core.lease.AddEntry(entry) }

// SessionOpened records that an incarnation of an entry has a session.
func (core *Core) SessionOpened(entry ptid.EntryName, incarnation ptid.Incarnation) {
	core.entries[entry] = incarnation
	core.lease.AddEntry(entry)
	for _, id := range ptid.SortedTasks(core.waiting) {
		waiting := core.waiting[id]
		if waiting.Entry == entry && !core.owns(entry, waiting.ID) && core.withdraw(waiting) {
			core.table.Acknowledge(waiting.ID, waiting.Attempt())
		}
	}
	for id, kept := range core.kept {
		if owner, _, ok := id.Job.Owner(); ok && owner == entry && !core.owns(entry, id) {
			core.Acknowledge(ptid.AttemptID{Task: id, Attempt: ptid.Attempt(kept.answer.Attempt)})
		}
	}
}

// SessionClosed records that the session to an entry has ended. What it has sent stays.
func (core *Core) SessionClosed(entry ptid.EntryName) {
	delete(core.entries, entry)
	core.lease.RemoveEntry(entry)
}

// owns reports whether the entry's present incarnation minted the job of a task.
func (core *Core) owns(entry ptid.EntryName, id ptid.TaskID) bool {
	incarnation, connected := core.entries[entry]
	owner, minted, ok := id.Job.Owner()
	return connected && ok && owner == entry && minted == incarnation
}

// UpdateDemand records what an entry says of its waiting tasks.
func (core *Core) UpdateDemand(entry ptid.EntryName, queued int, first, now ptid.Instant) {
	core.lease.UpdateDemand(entry, queued, first, now)
}

// TaskID returns the identity that a message names.
func TaskID(job string, index uint32) ptid.TaskID {
	return ptid.TaskID{Job: ptid.JobID(job), Index: ptid.TaskIndex(index)}
}

// DispatchReceived takes a dispatched task. Call [Core.AssignSlots] after the last of a frame.
func (core *Core) DispatchReceived(entry ptid.EntryName, dispatch *ptwire.Dispatch, now ptid.Instant) (effects []Effect) {
	task := &Task{ID: TaskID(dispatch.Job, dispatch.Index), Dispatch: dispatch, Entry: entry, AcceptedAt: now}
	refuse := func(reason ptreason.Reason, sealed bool) []Effect {
		return []Effect{Refuse{Entry: entry, ID: task.ID, Attempt: task.Attempt(), Reason: reason, Sealed: sealed}}
	}
	if !core.owns(entry, task.ID) {
		// The job is not of the incarnation that has the session; whoever sent it is
		// not to be trusted with an answer.
		return nil
	}
	state, accepted := core.table.Offer(task.ID, task.Attempt(), ptid.Instant(dispatch.StartByNanos), ptid.Instant(dispatch.FinishByNanos), now)
	switch {
	case !accepted && (state == ptstart.Refused || state == ptstart.Sealed):
		return refuse(ptreason.StartDeadline, state == ptstart.Sealed)
	case !accepted:
		return nil
	case core.draining:
		core.table.Refuse(task.ID, task.Attempt())
		return refuse(ptreason.Draining, false)
	}
	core.waiting[task.ID] = task
	core.backlog.push(task)
	core.lease.TaskReceived(entry)
	return nil
}

// AssignSlots gives free slots to waiting tasks, and tells which leases move.
func (core *Core) AssignSlots(now ptid.Instant) (effects []Effect) {
	for len(core.running) < core.slots {
		next := core.pop()
		if next == nil {
			break
		}
		core.running[next.ID] = next
		effects = append(effects, Run{Task: next})
	}
	ptassert.That(len(core.running) <= core.slots, "no more tasks run than there are slots", "running", len(core.running))
	for _, move := range core.lease.WindowChanges(now) {
		switch move := move.(type) {
		case ptlease.Grant:
			effects = append(effects, Grant{Entry: move.Entry})
		case ptlease.Recall:
			effects = append(effects, Recall{Entry: move.Entry})
		}
	}
	return effects
}

func (core *Core) pop() (next *Task) {
	if next = core.backlog.pop(); next != nil {
		delete(core.waiting, next.ID)
	}
	return next
}

// Start decides, at the last moment before the first byte goes to the upstream,
// whether a task starts. It is safe for concurrent use.
func (core *Core) Start(task *Task, now ptid.Instant) (started bool) {
	return core.table.Start(task.ID, task.Attempt(), now)
}

// TaskEnded marks a task that has started as ended, before its slot is given up. It
// is safe for concurrent use.
func (core *Core) TaskEnded(task *Task) { core.table.End(task.ID) }

// ReleaseSlot gives up the slot of a task. answer is nil where the task has not
// started; refusal says why.
func (core *Core) ReleaseSlot(task *Task, answer *ptwire.Answer, refusal ptreason.Reason, now ptid.Instant) (effects []Effect) {
	delete(core.running, task.ID)
	core.backlog.released(task)
	core.lease.TaskEnded(task.Entry)
	switch answer {
	case nil:
		core.table.Refuse(task.ID, task.Attempt())
		if core.owns(task.Entry, task.ID) {
			effects = append(effects, Refuse{Entry: task.Entry, ID: task.ID, Attempt: task.Attempt(), Reason: refusal})
		}
	default:
		core.kept[task.ID] = keptAnswer{answer: answer, finishBy: ptid.Instant(task.Dispatch.FinishByNanos)}
		if core.owns(task.Entry, task.ID) {
			effects = append(effects, SendAnswer{Entry: task.Entry, Answer: answer})
		}
	}
	return append(effects, core.AssignSlots(now)...)
}

// withdraw takes a waiting attempt out of the queue as refused.
func (core *Core) withdraw(waiting *Task) (withdrawn bool) {
	if !core.table.Refuse(waiting.ID, waiting.Attempt()) {
		return false
	}
	core.forget(waiting)
	return true
}

func (core *Core) forget(waiting *Task) {
	waiting.gone = true
	delete(core.waiting, waiting.ID)
	core.lease.TaskEnded(waiting.Entry)
}

// Cancel handles the cancellation of one task.
func (core *Core) Cancel(entry ptid.EntryName, ref *ptwire.TaskRef) (effects []Effect) {
	id := TaskID(ref.Job, ref.Index)
	if waiting := core.waiting[id]; waiting != nil && core.withdraw(waiting) {
		return []Effect{Refuse{Entry: entry, ID: id, Attempt: waiting.Attempt(), Reason: ptreason.Cancelled}}
	}
	if core.running[id] != nil && ref.RunningToo {
		return []Effect{CancelRun{ID: id}}
	}
	return nil
}

// Resolve tells an entry over a new session what became of a task that it holds
// as sent. A running task needs no message: its end is reported as usual.
func (core *Core) Resolve(entry ptid.EntryName, ask *ptwire.Resolve) (effects []Effect) {
	id, attempt := TaskID(ask.Job, ask.Index), ptid.Attempt(ask.Attempt)
	if core.running[id] != nil {
		return nil
	}
	waiting := core.waiting[id]
	switch state := core.table.Seal(id, attempt, ptid.Instant(ask.StartByNanos)); state {
	case ptstart.Running:
		// The run has ended and its slot is about to be given up.
	case ptstart.Ended:
		if kept, found := core.kept[id]; found {
			again := kept.answer.CloneVT()
			again.Again = true
			effects = append(effects, SendAnswer{Entry: entry, Answer: again})
		}
	case ptstart.Sealed, ptstart.Refused:
		if waiting != nil && core.table.State(id) != ptstart.Waiting {
			core.forget(waiting)
		}
		effects = append(effects, Refuse{Entry: entry, ID: id, Attempt: attempt, Reason: ptreason.Sealed, Sealed: true})
	case ptstart.NoRecord, ptstart.Waiting:
		ptassert.That(false, "sealing leaves a task sealed, refused or started", "state", state)
	}
	return effects
}

// Acknowledge records that an entry has acknowledged the answer to an attempt of a task,
// or its refusal.
func (core *Core) Acknowledge(id ptid.AttemptID) {
	if kept, found := core.kept[id.Task]; found && ptid.Attempt(kept.answer.Attempt) == id.Attempt {
		delete(core.kept, id.Task)
	}
	core.table.Acknowledge(id.Task, id.Attempt)
}

// Expire refuses waiting tasks that are too late and forgets answers that nobody
// can ask for any more.
func (core *Core) Expire(now ptid.Instant) (effects []Effect) {
	for _, id := range ptid.SortedTasks(core.waiting) {
		waiting := core.waiting[id]
		if now < ptid.Instant(waiting.Dispatch.StartByNanos) || !core.withdraw(waiting) {
			continue
		}
		if core.owns(waiting.Entry, waiting.ID) {
			effects = append(effects, Refuse{
				Entry: waiting.Entry, ID: waiting.ID, Attempt: waiting.Attempt(), Reason: ptreason.StartDeadline,
			})
		}
	}
	for id, kept := range core.kept {
		if now >= kept.finishBy {
			delete(core.kept, id)
		}
	}
	return append(effects, core.AssignSlots(now)...)
}

// ExpireStartRecords removes the records that nobody needs any more.
func (core *Core) ExpireStartRecords(now ptid.Instant) (remaining int) { return core.table.Expire(now) }
