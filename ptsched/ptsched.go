// Package ptsched decides, for one service at one entry, which task is sent to
// which upstream and when. It has no I/O and is not safe for concurrent use.
//
// # How it works
//
// The owner reports jobs, sessions, slot status and task results to the scheduler;
// the scheduler returns placements and the upstreams to send a demand to. Each
// decision is made by a separate package: ptorder selects the next task, ptplace
// selects the upstream, pthealth detects unhealthy upstreams, ptretry limits retries,
// and ptadmit admits or refuses jobs.
//
//  1. Tasks are placed in queue order as long as some upstream has free capacity.
//  2. A task that was sent to an upstream stays in [Upstream].Outstanding until its result
//     or refusal arrives, its job's deadline passes, or the upstream joins with a new
//     incarnation. It also stays there when the session ends.
//  3. When an upstream joins with a new incarnation, the outstanding tasks of the old
//     incarnation are returned to the owner, which ends them as unknown.
//  4. After an upstream has lost its session, it is expected to reconnect within
//     [ptlink.ReconnectTimeout]. During that time, its slots count for admission while no
//     upstream is usable.
//  5. With the placement policy leases, a demand is a message that informs an upstream of
//     the tasks that wait at this entry. While tasks wait and no upstream has free
//     capacity, a demand is sent to at most 3 upstreams in one round. A demand
//     is sent to further upstreams after [DemandRoundInterval], and to the same upstream
//     again after [DemandRepeatInterval].
//
// # Usage
//
//	refusal := scheduler.Admit(job, quota, queueTimeout, now)
//	scheduler.Enqueue(job)
//	for _, placement := range scheduler.Place(now, allowed, commit) { … }
//	for _, upstream := range scheduler.DemandTargets(now, headroom, favourMessages) { … }
//
// # Limits
//
// Every placement scans all upstreams of the service; see docs/CAPACITY.md.
package ptsched

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptadmit"
	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/pthealth"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptorder"
	"github.com/primrosetiller/primrosetiller/ptplace"
	"github.com/primrosetiller/primrosetiller/ptretry"
)

const (
	// DemandRepeatInterval is the minimum time between two demands to the same upstream.
	DemandRepeatInterval = 400 * time.Millisecond
	// DemandRoundInterval is the minimum time between two rounds of demands.
	DemandRoundInterval = 100 * time.Millisecond
	// DemandDelay is how long tasks wait before the first demand message is sent if the
	// profile favours fewer messages over response time.
	DemandDelay = 20 * time.Millisecond
	// maxDemandTargets is how many upstreams receive a demand in one round.
	maxDemandTargets = 3
	// frameTimeout is the time without a frame after which the age of the oldest
	// outstanding task of an upstream is checked, even if the upstream has free slots.
	frameTimeout = time.Second
)

// Setting holds the operator's settings of a scheduler.
type Setting struct {
	Placement ptplace.Policy
	Order     ptorder.Order
	MaxQueued int
	Seed      uint64
}

// OutstandingTask is a task that was sent to an upstream and has not ended there.
type OutstandingTask struct {
	Job     *ptorder.Job
	Index   ptid.TaskIndex
	Attempt ptid.Attempt
	SentAt  ptid.Instant
}

// Upstream is the scheduler's state of one upstream.
type Upstream struct {
	Name         ptid.AgentName
	Incarnation  ptid.Incarnation
	Outstanding  map[ptid.TaskID]OutstandingTask
	view         ptplace.UpstreamView
	connected    bool
	draining     bool
	stopped      bool
	lastFrameAt  ptid.Instant
	lastDemandAt ptid.Instant
	lastAnswerAt ptid.Instant
}

// lostUpstream describes an upstream that has lost its session and is expected to
// reconnect.
type lostUpstream struct {
	slots         int
	expectedUntil ptid.Instant
}

// Placement assigns an attempt of a task to an upstream.
type Placement struct {
	Task     ptorder.Task
	Upstream *Upstream
	Attempt  ptid.Attempt
}

// Commit asks the owner to confirm a placement and returns the attempt number. ok is
// false if the job has ended in the meantime; then the task is not sent.
type Commit func(task ptorder.Task, upstream *Upstream) (attempt ptid.Attempt, ok bool)

// QuotaCheck reports whether the quotas of a profile and its team allow one more task
// to be sent.
type QuotaCheck func(profile ptid.ProfileName, team ptid.TeamName) (allowed bool)

// Headroom returns how many more tasks the quotas of a profile and its team allow to
// be sent.
type Headroom func(profile ptid.ProfileName, team ptid.TeamName) int

// Scheduler places the tasks of one service.
type Scheduler struct {
	setting   Setting
	queue     *ptorder.Queue
	health    *pthealth.Tracker
	budget    *ptretry.Budget
	meter     ptadmit.Meter
	random    *rand.Rand
	upstreams map[ptid.AgentName]*Upstream
	// reconnecting holds the upstreams that have lost their session and may reconnect.
	reconnecting map[ptid.AgentName]lostUpstream
	// sorted holds the upstreams in name order. views holds the view of each upstream, in
	// the same order as sorted.
	sorted       []*Upstream
	views        []*ptplace.UpstreamView
	rank         int
	entryCount   int
	outstanding  int
	waitingSince ptid.Instant
	lastDemandAt ptid.Instant
}

// New returns a scheduler without jobs or upstreams.
func New(setting Setting) *Scheduler {
	return &Scheduler{
		setting: setting, queue: ptorder.New(setting.Order), health: pthealth.New(), budget: ptretry.New(),
		random:    rand.New(rand.NewPCG(setting.Seed, uint64(len(setting.Placement)))),
		upstreams: make(map[ptid.AgentName]*Upstream), reconnecting: make(map[ptid.AgentName]lostUpstream), entryCount: 1,
	}
}

// SessionOpened records that an upstream has opened a session. A known upstream with
// the same incarnation keeps its outstanding tasks. orphans are the outstanding tasks
// of an earlier incarnation; their results can no longer be learned.
func (scheduler *Scheduler) SessionOpened(name ptid.AgentName, incarnation ptid.Incarnation, slots int, distance ptplace.Distance, now ptid.Instant) (upstream *Upstream, orphans map[ptid.TaskID]OutstandingTask) {
	upstream = scheduler.upstreams[name]
	if upstream != nil && upstream.Incarnation != incarnation {
		orphans = upstream.Outstanding
		scheduler.remove(upstream)
		upstream = nil
	}
	if upstream == nil {
		upstream = &Upstream{Name: name, Incarnation: incarnation, Outstanding: make(map[ptid.TaskID]OutstandingTask)}
		scheduler.upstreams[name] = upstream
		scheduler.health.Add(name, slots)
		scheduler.reorder()
	}
	delete(scheduler.reconnecting, name)
	upstream.connected, upstream.lastFrameAt = true, now
	upstream.view.Slots, upstream.view.Distance = slots, distance
	for _, orphan := range orphans {
		scheduler.release(orphan)
	}
	return upstream, orphans
}

func (scheduler *Scheduler) remove(upstream *Upstream) {
	delete(scheduler.upstreams, upstream.Name)
	scheduler.health.Remove(upstream.Name)
	scheduler.reorder()
}

// SessionClosed records that the session of an upstream has ended. An upstream that was
// neither draining nor stopped is expected to reconnect (rule 4). An upstream without
// outstanding tasks is removed, even if it is expected to reconnect.
func (scheduler *Scheduler) SessionClosed(upstream *Upstream, now ptid.Instant) {
	upstream.connected = false
	if !upstream.draining && !upstream.stopped {
		scheduler.reconnecting[upstream.Name] = lostUpstream{slots: upstream.view.Slots, expectedUntil: now.Add(ptlink.ReconnectTimeout)}
	}
	if len(upstream.Outstanding) == 0 && scheduler.upstreams[upstream.Name] == upstream {
		scheduler.remove(upstream)
	}
}

// SetRank sets the rank of this entry among all entries, from 0 to entryCount-1.
func (scheduler *Scheduler) SetRank(rank, entryCount int) {
	if scheduler.rank == rank && scheduler.entryCount == entryCount {
		return
	}
	scheduler.rank, scheduler.entryCount = rank, entryCount
	scheduler.reorder()
}

// reorder sorts the upstreams by name, so that all entries number them in the same
// order, and recomputes the preference ranks.
func (scheduler *Scheduler) reorder() {
	scheduler.sorted = scheduler.sorted[:0]
	for _, upstream := range scheduler.upstreams {
		scheduler.sorted = append(scheduler.sorted, upstream)
	}
	slices.SortFunc(scheduler.sorted, func(left, right *Upstream) int {
		if left.Name < right.Name {
			return -1
		}
		return 1
	})
	scheduler.views = scheduler.views[:0]
	ranks := ptplace.PreferenceRanks(len(scheduler.sorted), scheduler.rank, scheduler.entryCount)
	for i, upstream := range scheduler.sorted {
		upstream.view.PreferenceRank = ranks[i]
		scheduler.views = append(scheduler.views, &upstream.view)
	}
}

// SlotStatus is the slot status of an agent, which every frame of the agent carries.
// Outstanding counts the tasks of this entry, TotalOutstanding the tasks of all entries.
type SlotStatus struct {
	Window           int
	Outstanding      int
	TotalOutstanding int
	Draining         bool
}

// UpdateStatus records the slot status from a frame of an upstream.
func (scheduler *Scheduler) UpdateStatus(upstream *Upstream, status SlotStatus, now ptid.Instant) {
	upstream.view.Window = status.Window
	upstream.view.OthersOutstanding = max(0, status.TotalOutstanding-status.Outstanding)
	upstream.draining = status.Draining
	upstream.lastFrameAt = now
}

// SetStopped sets whether the configuration has stopped an upstream. A stopped upstream
// gets no tasks.
func (scheduler *Scheduler) SetStopped(upstream *Upstream, stopped bool) { upstream.stopped = stopped }

// Admit decides whether a job is admitted. quota is the lower of the limits on the running
// tasks of the job's team and of its profile. queueTimeout is how long the tasks of the job
// may wait.
func (scheduler *Scheduler) Admit(job *ptorder.Job, quota int, queueTimeout time.Duration, now ptid.Instant) (refusal ptadmit.Refusal) {
	scheduler.refresh(now)
	slots, free := scheduler.capacity()
	if slots == 0 {
		slots = scheduler.reconnectingSlots(now)
	}
	teamTasks, teams := scheduler.queue.TeamWaiting(job.Team)
	if teamTasks == 0 {
		teams++
	}
	return ptadmit.Decide(ptadmit.Request{
		Tasks: job.Tasks, Queued: scheduler.queue.Len(), TeamQueued: teamTasks, WaitingTeams: teams,
		MaxQueued: scheduler.setting.MaxQueued, Slots: slots, FreeSlots: free, Quota: quota,
		Rate: scheduler.meter.Rate(now), RunTime: scheduler.health.LearnedRunTime(job.Profile), QueueTimeout: queueTimeout,
	})
}

// capacity returns the number of slots of the usable upstreams, and how many of these slots
// are free. A slot counts as free if neither an outstanding task of this entry nor a task
// of another entry, according to the latest slot status, occupies it.
func (scheduler *Scheduler) capacity() (slots, free int) {
	for _, view := range scheduler.views {
		if view.Usable {
			slots += view.Slots
			free += max(0, view.Slots-view.Outstanding-view.OthersOutstanding)
		}
	}
	return slots, free
}

// reconnectingSlots returns the slots of the upstreams that may reconnect. It removes
// upstreams that have not reconnected in time.
func (scheduler *Scheduler) reconnectingSlots(now ptid.Instant) (slots int) {
	for name, lost := range scheduler.reconnecting {
		if now > lost.expectedUntil {
			delete(scheduler.reconnecting, name)
			continue
		}
		slots += lost.slots
	}
	return slots
}

// Upstreams returns all known upstreams, sorted by name.
func (scheduler *Scheduler) Upstreams() []*Upstream { return slices.Clone(scheduler.sorted) }

// Slots returns the slots of the connected upstreams.
func (scheduler *Scheduler) Slots() (slots int) {
	for _, upstream := range scheduler.sorted {
		if upstream.connected {
			slots += upstream.view.Slots
		}
	}
	return slots
}

// UsableCount returns how many upstreams may get tasks now.
func (scheduler *Scheduler) UsableCount(now ptid.Instant) (usable int) {
	scheduler.refresh(now)
	for _, view := range scheduler.views {
		if view.Usable {
			usable++
		}
	}
	return usable
}

// Enqueue adds a job's tasks to the queue.
func (scheduler *Scheduler) Enqueue(job *ptorder.Job) { scheduler.queue.Push(job) }

// RemoveJob removes the waiting tasks of a job from the queue and returns their number.
func (scheduler *Scheduler) RemoveJob(job ptid.JobID) (removed int) {
	return scheduler.queue.RemoveJob(job)
}

// WaitingTasks returns the number of tasks in the queue.
func (scheduler *Scheduler) WaitingTasks() (tasks int) { return scheduler.queue.Len() }

// ReadyTasks returns how many waiting tasks the quotas allow to be placed, regardless of
// the free capacity of the upstreams, and the earliest submission time among the first jobs
// of the profiles with headroom, or [ptid.Never] (see [ptorder.Queue.ReadyTasks]). Only
// these tasks are reported to agents: a slot that an agent reserves for a task above its
// quota would stay idle.
func (scheduler *Scheduler) ReadyTasks(headroom Headroom) (tasks int, first ptid.Instant) {
	return scheduler.queue.ReadyTasks(headroom)
}

// OutstandingTasks returns how many tasks are outstanding at all upstreams.
func (scheduler *Scheduler) OutstandingTasks() int { return scheduler.outstanding }

// QuarantinedCount returns how many upstreams are quarantined or probing.
func (scheduler *Scheduler) QuarantinedCount() int { return scheduler.health.QuarantinedCount() }

// refresh updates the usability and the quarantine status of every upstream.
func (scheduler *Scheduler) refresh(now ptid.Instant) {
	for _, upstream := range scheduler.sorted {
		status := scheduler.health.Status(upstream.Name, now)
		upstream.view.Usable = upstream.connected && !upstream.draining && !upstream.stopped && status != pthealth.Quarantined
		upstream.view.Probing = status == pthealth.Probing
	}
}

// Place takes tasks from the queue as long as a task is allowed by its quota and an
// upstream has free capacity, and returns the placements that commit has confirmed.
func (scheduler *Scheduler) Place(now ptid.Instant, allowed QuotaCheck, commit Commit) (placements []Placement) {
	if scheduler.queue.Len() == 0 {
		return nil
	}
	scheduler.refresh(now)
	for scheduler.queue.Len() > 0 {
		chosen, ok := ptplace.Pick(scheduler.setting.Placement, scheduler.views, scheduler.random)
		if !ok {
			break
		}
		task, ok := scheduler.queue.Next(allowed)
		if !ok {
			break
		}
		upstream := scheduler.sorted[chosen]
		attempt, ok := commit(task, upstream)
		if !ok {
			scheduler.queue.TaskEnded(task.Job.Team)
			continue
		}
		scheduler.recordPlacement(upstream, task, attempt, now)
		placements = append(placements, Placement{Task: task, Upstream: upstream, Attempt: attempt})
	}
	return placements
}

func (scheduler *Scheduler) recordPlacement(upstream *Upstream, task ptorder.Task, attempt ptid.Attempt, now ptid.Instant) {
	id := ptid.TaskID{Job: task.Job.ID, Index: task.Index}
	_, exists := upstream.Outstanding[id]
	ptassert.That(!exists, "a task is outstanding at most once at an upstream", "job", id.Job, "task", id.Index)
	upstream.Outstanding[id] = OutstandingTask{Job: task.Job, Index: task.Index, Attempt: attempt, SentAt: now}
	upstream.view.Outstanding++
	scheduler.outstanding++
	if attempt == 1 {
		scheduler.budget.RecordPlacement()
	}
}

// Result is the result of an attempt that was sent to an upstream.
type Result interface{ isResult() }

// Answered means that the task has run and returned a complete answer.
type Answered struct{ RunTime time.Duration }

// Failed means that the task has started and failed, or that it was still outstanding at
// the deadline of its job.
type Failed struct{}

// Refused means that the attempt has not started and never will. UpstreamUnreachable
// is true if the agent could not reach its upstream.
type Refused struct{ UpstreamUnreachable bool }

// Cancelled means that the run was cancelled. It counts neither for the health of the
// upstream nor for the completion rate.
type Cancelled struct{}

func (Answered) isResult()  {}
func (Failed) isResult()    {}
func (Refused) isResult()   {}
func (Cancelled) isResult() {}

// TaskEnded removes an outstanding task from an upstream and records the result. found
// is false if the given attempt of the task is not outstanding at the upstream.
func (scheduler *Scheduler) TaskEnded(upstream *Upstream, id ptid.TaskID, attempt ptid.Attempt, result Result, now ptid.Instant) (task OutstandingTask, found bool) {
	task, found = upstream.Outstanding[id]
	if !found || task.Attempt != attempt {
		return OutstandingTask{}, false
	}
	delete(upstream.Outstanding, id)
	upstream.view.Outstanding--
	scheduler.release(task)
	switch result := result.(type) {
	case Answered:
		upstream.lastAnswerAt = now
		scheduler.health.RecordAnswer(upstream.Name, task.Job.Profile, result.RunTime, now)
		scheduler.meter.TasksEnded(1, scheduler.queue.Len() > 0, now)
	case Failed:
		scheduler.health.RecordFailure(upstream.Name, now)
		scheduler.meter.TasksEnded(1, scheduler.queue.Len() > 0, now)
	case Refused:
		if result.UpstreamUnreachable {
			scheduler.health.RecordUnreachable(upstream.Name, now)
		}
	case Cancelled:
	}
	if !upstream.connected && len(upstream.Outstanding) == 0 && scheduler.upstreams[upstream.Name] == upstream {
		scheduler.remove(upstream)
	}
	return task, true
}

func (scheduler *Scheduler) release(task OutstandingTask) {
	scheduler.queue.TaskEnded(task.Job.Team)
	scheduler.outstanding--
}

// AllowRetry reports whether a task may be placed again after the given attempt, and
// takes a token from the retry budget if so.
func (scheduler *Scheduler) AllowRetry(attempt ptid.Attempt) bool {
	return scheduler.budget.Allow(attempt)
}

// Requeue puts a refused task back into the queue.
func (scheduler *Scheduler) Requeue(task OutstandingTask) {
	scheduler.queue.Requeue(task.Job, task.Index)
}

// DemandTargets returns the upstreams that a demand has to be sent to now. If
// favourMessages is set, the first demand is sent only after [DemandDelay].
func (scheduler *Scheduler) DemandTargets(now ptid.Instant, headroom Headroom, favourMessages bool) (upstreams []*Upstream) {
	if ready, _ := scheduler.queue.ReadyTasks(headroom); ready == 0 || scheduler.setting.Placement != ptplace.Leases {
		scheduler.waitingSince = 0
		return nil
	}
	if scheduler.waitingSince == 0 {
		scheduler.waitingSince = now
	}
	if favourMessages && now.Sub(scheduler.waitingSince) < DemandDelay || now.Sub(scheduler.lastDemandAt) < DemandRoundInterval {
		return nil
	}
	for _, upstream := range scheduler.sorted {
		// An upstream with outstanding tasks of this entry gets no demand: it learns
		// of the waiting tasks with the next dispatch and replies with its window.
		if !upstream.view.Usable || upstream.view.Outstanding > 0 || now.Sub(upstream.lastDemandAt) < DemandRepeatInterval {
			continue
		}
		upstream.lastDemandAt, scheduler.lastDemandAt = now, now
		upstreams = append(upstreams, upstream)
		if len(upstreams) == maxDemandTargets {
			break
		}
	}
	return upstreams
}

// DetectHangs checks the age of the oldest outstanding task of each upstream that is
// full with tasks of this entry or has sent no frame for frameTimeout. The owner calls
// it at a fixed interval.
func (scheduler *Scheduler) DetectHangs(now ptid.Instant) {
	for _, upstream := range scheduler.sorted {
		if now.Sub(upstream.lastFrameAt) < frameTimeout && len(upstream.Outstanding) < upstream.view.Slots {
			continue
		}
		oldest, found := upstream.oldest()
		if found {
			scheduler.health.CheckHang(upstream.Name, oldest.Job.Profile, max(oldest.SentAt, upstream.lastAnswerAt), now)
		}
	}
}

func (upstream *Upstream) oldest() (oldest OutstandingTask, found bool) {
	for _, task := range upstream.Outstanding {
		if !found || task.SentAt < oldest.SentAt {
			oldest, found = task, true
		}
	}
	return oldest, found
}
