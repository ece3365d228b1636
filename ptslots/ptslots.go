// Package ptslots makes an agent's decisions about tasks: which are accepted, started
// and refused, and which answers are sent, sent again and deleted. It has no I/O.
//
// # How it works
//
//  1. A dispatched task is offered to the start table (package ptstart). Accepted tasks
//     wait in one queue for all entries, ordered by fair share between teams and, within
//     a team, by order key: the submission time of the job on the agent's clock.
//  2. A free slot is given to the first waiting task. The owner prepares the run, calls
//     [Core.Start] immediately before the first byte is sent to the upstream, and reports
//     the end of the run. If the run can't be prepared, the task is refused as not run.
//  3. An answer is kept until the entry has acknowledged it or the job's deadline has
//     passed. It is sent again over a new session if the entry asks for it.
//  4. A task whose start deadline passes while it waits is refused at once.
//  5. When an entry joins with a new incarnation, the waiting tasks and kept answers of
//     the old incarnation are deleted.
//  6. A draining agent refuses new tasks and finishes the tasks that it has accepted.
//
// The methods return effects. The owner of the [Core] has to carry them out in the order
// in which they are returned.
//
// # Usage
//
//	core := ptslots.New(setting)
//	effects := core.DispatchReceived(entry, dispatch, now)
//	effects = core.AssignSlots(now)
//	if core.Start(task, now) { … }
//	core.TaskEnded(task)
//	effects = core.ReleaseSlot(task, answer, refusal, now)
//
// # Limits
//
// Core is not safe for concurrent use, except for Start, TaskEnded and StartRecords.
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
	// withdrawn is true if the task was removed while it waited. A withdrawn task stays in
	// the backlog until it reaches the top of the heap of its team.
	withdrawn bool
}

// Attempt returns the attempt number of the dispatch.
func (task *Task) Attempt() ptid.Attempt { return ptid.Attempt(task.Dispatch.Attempt) }

// Effect is an action that the owner has to carry out.
type Effect interface{ isEffect() }

// Run asks the owner to run a task. The task holds a slot until [Core.ReleaseSlot].
type Run struct{ Task *Task }

// CancelRun asks the owner to cancel a running task.
type CancelRun struct{ ID ptid.TaskID }

// Refuse informs an entry that an attempt has not started and never will.
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

// Grant asks the owner to send the entry a frame with a larger window.
type Grant struct{ Entry ptid.EntryName }

// Recall asks the owner to send the entry a frame with a smaller window.
type Recall struct{ Entry ptid.EntryName }

func (Run) isEffect()        {}
func (CancelRun) isEffect()  {}
func (Refuse) isEffect()     {}
func (SendAnswer) isEffect() {}
func (Grant) isEffect()      {}
func (Recall) isEffect()     {}

// keptAnswer is an answer that its entry has not acknowledged yet.
type keptAnswer struct {
	answer *ptwire.Answer
	// finishBy is the deadline of the job.
	finishBy ptid.Instant
}

// Core holds the tasks of one agent.
type Core struct {
	slots       int
	startTable  *ptstart.Table
	allocator   *ptlease.Allocator
	backlog     backlog
	waiting     map[ptid.TaskID]*Task
	running     map[ptid.TaskID]*Task
	keptAnswers map[ptid.TaskID]keptAnswer
	entries     map[ptid.EntryName]ptid.Incarnation
	draining    bool
}

// New returns a core with all slots free.
func New(setting ptlease.Setting) *Core {
	return &Core{
		slots: setting.Slots, startTable: ptstart.New(), allocator: ptlease.New(setting),
		waiting: make(map[ptid.TaskID]*Task), running: make(map[ptid.TaskID]*Task),
		backlog: newBacklog(), keptAnswers: make(map[ptid.TaskID]keptAnswer), entries: make(map[ptid.EntryName]ptid.Incarnation),
	}
}

// SetDraining sets whether the agent is draining.
func (core *Core) SetDraining(draining bool) { core.draining = draining }

// Draining reports whether the agent is draining and refuses new tasks.
func (core *Core) Draining() bool { return core.draining }

// Counts returns the numbers of waiting tasks, running tasks and kept answers.
func (core *Core) Counts() (waiting, running, kept int) {
	return len(core.waiting), len(core.running), len(core.keptAnswers)
}

// StartRecords returns how many records the start table holds.
func (core *Core) StartRecords() int { return core.startTable.Size() }

// Idle reports whether there are no waiting tasks, running tasks or kept answers.
func (core *Core) Idle() bool { return len(core.waiting)+len(core.running)+len(core.keptAnswers) == 0 }

// OnlyUndeliverableAnswers reports whether no task waits or runs, and every kept answer is
// for an entry incarnation that has no session.
func (core *Core) OnlyUndeliverableAnswers() bool {
	if len(core.waiting)+len(core.running) > 0 {
		return false
	}
	for id := range core.keptAnswers {
		if owner, _, ok := id.Job.Owner(); ok && core.owns(owner, id) {
			return false
		}
	}
	return true
}

// SlotStatus is the part of a frame that informs an entry about the agent's slots.
// Outstanding counts the tasks of that entry, TotalOutstanding the tasks of all entries.
type SlotStatus struct {
	Window           int
	Outstanding      int
	TotalOutstanding int
	Draining         bool
}

// SlotStatus returns the slot status for a frame to the entry.
func (core *Core) SlotStatus(entry ptid.EntryName, now ptid.Instant) (status SlotStatus) {
	status.Outstanding, status.TotalOutstanding = core.allocator.Outstanding(entry)
	status.Draining = core.draining
	if !core.draining {
		status.Window = core.allocator.Window(entry, now)
	}
	return status
}

// PrepareSession registers an entry before its session opens, so that the agent's first
// frame can carry a window.
func (core *Core) PrepareSession(entry ptid.EntryName) { core.allocator.AddEntry(entry) }

// SessionOpened records that an entry has opened a session. Waiting tasks and kept
// answers of an earlier incarnation of the entry are deleted.
func (core *Core) SessionOpened(entry ptid.EntryName, incarnation ptid.Incarnation) {
	core.entries[entry] = incarnation
	core.allocator.AddEntry(entry)
	for _, id := range ptid.SortedTasks(core.waiting) {
		waiting := core.waiting[id]
		if waiting.Entry == entry && !core.owns(entry, waiting.ID) && core.withdraw(waiting) {
			core.startTable.Acknowledge(waiting.ID, waiting.Attempt())
		}
	}
	for id, kept := range core.keptAnswers {
		if owner, _, ok := id.Job.Owner(); ok && owner == entry && !core.owns(entry, id) {
			core.Acknowledge(ptid.AttemptID{Task: id, Attempt: ptid.Attempt(kept.answer.Attempt)})
		}
	}
}

// SessionClosed records that the session of an entry has ended. The tasks that the entry
// has sent are kept.
func (core *Core) SessionClosed(entry ptid.EntryName) {
	delete(core.entries, entry)
	core.allocator.RemoveEntry(entry)
}

// owns reports whether the entry has a session, and the incarnation of the entry that has
// this session is the incarnation that created the job of the task.
func (core *Core) owns(entry ptid.EntryName, id ptid.TaskID) bool {
	incarnation, connected := core.entries[entry]
	owner, creator, ok := id.Job.Owner()
	return connected && ok && owner == entry && creator == incarnation
}

// UpdateDemand records how many tasks wait at an entry, and the order key of the first
// waiting task.
func (core *Core) UpdateDemand(entry ptid.EntryName, queued int, firstOrder, now ptid.Instant) {
	core.allocator.UpdateDemand(entry, queued, firstOrder, now)
}

// TaskID returns the task id from the job id and the task index in a message.
func TaskID(job string, index uint32) ptid.TaskID {
	return ptid.TaskID{Job: ptid.JobID(job), Index: ptid.TaskIndex(index)}
}

// DispatchReceived accepts or refuses a dispatched task. Call [Core.AssignSlots] after the
// last dispatch of a frame.
func (core *Core) DispatchReceived(entry ptid.EntryName, dispatch *ptwire.Dispatch, now ptid.Instant) (effects []Effect) {
	task := &Task{ID: TaskID(dispatch.Job, dispatch.Index), Dispatch: dispatch, Entry: entry, AcceptedAt: now}
	refuseTask := func(reason ptreason.Reason, sealed bool) []Effect {
		return []Effect{Refuse{Entry: entry, ID: task.ID, Attempt: task.Attempt(), Reason: reason, Sealed: sealed}}
	}
	if !core.owns(entry, task.ID) {
		// The incarnation that has the session did not create the job. It must not receive
		// an answer or a refusal for a job of another incarnation.
		return nil
	}
	state, accepted := core.startTable.Offer(task.ID, task.Attempt(), ptid.Instant(dispatch.StartByNanos), ptid.Instant(dispatch.FinishByNanos), now)
	switch {
	case !accepted && (state == ptstart.Refused || state == ptstart.Sealed):
		return refuseTask(ptreason.StartDeadline, state == ptstart.Sealed)
	case !accepted:
		return nil
	case core.draining:
		core.startTable.Refuse(task.ID, task.Attempt())
		return refuseTask(ptreason.Draining, false)
	}
	core.waiting[task.ID] = task
	core.backlog.push(task)
	core.allocator.TaskReceived(entry)
	return nil
}

// AssignSlots gives free slots to waiting tasks. It returns the runs to start and the
// window changes that are due.
func (core *Core) AssignSlots(now ptid.Instant) (effects []Effect) {
	for len(core.running) < core.slots {
		next := core.nextTask()
		if next == nil {
			break
		}
		core.running[next.ID] = next
		effects = append(effects, Run{Task: next})
	}
	ptassert.That(len(core.running) <= core.slots, "no more tasks run than there are slots", "running", len(core.running))
	for _, change := range core.allocator.WindowChanges(now) {
		switch change := change.(type) {
		case ptlease.Grant:
			effects = append(effects, Grant{Entry: change.Entry})
		case ptlease.Recall:
			effects = append(effects, Recall{Entry: change.Entry})
		}
	}
	return effects
}

func (core *Core) nextTask() (next *Task) {
	if next = core.backlog.pop(); next != nil {
		delete(core.waiting, next.ID)
	}
	return next
}

// Start decides whether a task starts. The owner calls it immediately before the first
// byte is sent to the upstream. It is safe for concurrent use.
func (core *Core) Start(task *Task, now ptid.Instant) (started bool) {
	return core.startTable.Start(task.ID, task.Attempt(), now)
}

// TaskEnded records that a started task has ended. The owner calls it before
// [Core.ReleaseSlot]. It is safe for concurrent use.
func (core *Core) TaskEnded(task *Task) { core.startTable.End(task.ID) }

// ReleaseSlot frees the slot of a task. If the task has not started, answer is nil and
// refusal is the reason why the task is refused.
func (core *Core) ReleaseSlot(task *Task, answer *ptwire.Answer, refusal ptreason.Reason, now ptid.Instant) (effects []Effect) {
	delete(core.running, task.ID)
	core.backlog.released(task)
	core.allocator.TaskEnded(task.Entry)
	switch answer {
	case nil:
		core.startTable.Refuse(task.ID, task.Attempt())
		if core.owns(task.Entry, task.ID) {
			effects = append(effects, Refuse{Entry: task.Entry, ID: task.ID, Attempt: task.Attempt(), Reason: refusal})
		}
	default:
		core.keptAnswers[task.ID] = keptAnswer{answer: answer, finishBy: ptid.Instant(task.Dispatch.FinishByNanos)}
		if core.owns(task.Entry, task.ID) {
			effects = append(effects, SendAnswer{Entry: task.Entry, Answer: answer})
		}
	}
	return append(effects, core.AssignSlots(now)...)
}

// withdraw refuses a waiting attempt and removes it from the queue. withdrawn is false if
// the attempt no longer waits.
func (core *Core) withdraw(waiting *Task) (withdrawn bool) {
	if !core.startTable.Refuse(waiting.ID, waiting.Attempt()) {
		return false
	}
	core.removeWaiting(waiting)
	return true
}

func (core *Core) removeWaiting(waiting *Task) {
	waiting.withdrawn = true
	delete(core.waiting, waiting.ID)
	core.allocator.TaskEnded(waiting.Entry)
}

// Cancel refuses a task that waits. It cancels a running task if the request includes
// running tasks.
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

// Resolve informs an entry over a new session about a task that the entry sent over an
// earlier session. A kept answer is sent again. A task that has not started is sealed and
// refused. No message is sent for a running task, because the end of the task is reported
// in any case.
func (core *Core) Resolve(entry ptid.EntryName, request *ptwire.Resolve) (effects []Effect) {
	id, attempt := TaskID(request.Job, request.Index), ptid.Attempt(request.Attempt)
	if core.running[id] != nil {
		return nil
	}
	waiting := core.waiting[id]
	switch state := core.startTable.Seal(id, attempt, ptid.Instant(request.StartByNanos)); state {
	case ptstart.Running:
		// Not reached: a task stays in core.running until ReleaseSlot, which follows TaskEnded.
	case ptstart.Ended:
		if kept, found := core.keptAnswers[id]; found {
			repeated := kept.answer.CloneVT()
			repeated.Again = true
			effects = append(effects, SendAnswer{Entry: entry, Answer: repeated})
		}
	case ptstart.Sealed, ptstart.Refused:
		if waiting != nil && core.startTable.State(id) != ptstart.Waiting {
			core.removeWaiting(waiting)
		}
		effects = append(effects, Refuse{Entry: entry, ID: id, Attempt: attempt, Reason: ptreason.Sealed, Sealed: true})
	case ptstart.NoRecord, ptstart.Waiting:
		ptassert.That(false, "sealing leaves a task sealed, refused or started", "state", state)
	}
	return effects
}

// Acknowledge records that an entry has received the answer or the refusal for an
// attempt.
func (core *Core) Acknowledge(id ptid.AttemptID) {
	if kept, found := core.keptAnswers[id.Task]; found && ptid.Attempt(kept.answer.Attempt) == id.Attempt {
		delete(core.keptAnswers, id.Task)
	}
	core.startTable.Acknowledge(id.Task, id.Attempt)
}

// Expire refuses waiting tasks whose start deadline has passed, and deletes the kept
// answers of jobs whose deadline has passed.
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
	for id, kept := range core.keptAnswers {
		if now >= kept.finishBy {
			delete(core.keptAnswers, id)
		}
	}
	return append(effects, core.AssignSlots(now)...)
}

// ExpireStartRecords deletes the expired records of the start table and returns how many
// remain.
func (core *Core) ExpireStartRecords(now ptid.Instant) (remaining int) {
	return core.startTable.Expire(now)
}
