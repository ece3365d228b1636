// Package ptsched decides, for one service at one entry, which task goes to
// which upstream and when. It has no I/O and is not safe for concurrent use.
//
// # How it works
//
// The scheduler is told of jobs, upstreams, frames and ends of tasks, and
// answers with placements and demands. It is made of parts that each decide one
// thing: package ptorder which task is next, ptplace where it goes, pthealth which
// upstreams are fit, ptretry whether it is placed again, ptadmit whether a job is
// taken in.
//
//  1. A task is placed while some upstream has room, in the order of the queue.
//  2. What is sent to an upstream stays on its list until it has been answered,
//     returned or given up; a session that ends changes nothing about that.
//  3. A new incarnation of an upstream takes the list of the old one with it; the
//     owner gives those tasks up as unknown.
//  4. An upstream whose session was lost a moment ago is expected back: jobs are taken
//     in for it for [ptlink.ReconnectTimeout], where there is no other.
//  5. While tasks wait and no upstream has room, a few upstreams are told of the
//     demand, a few more after [DemandRoundInterval], and the same ones after [DemandRepeatInterval].
//
// # Usage
//
//	refusal := scheduler.Admit(job, quota, now)
//	scheduler.Enqueue(job)
//	for _, placement := range scheduler.Place(now, commit) { … }
//	for _, upstream := range scheduler.Demands(now) { … }
//
// # Limits
//
// Every placement scans the upstreams of the service; see docs/CAPACITY.md.
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
	// DemandRepeatInterval is how long a demand is not repeated.
	DemandRepeatInterval = 400 * time.Millisecond
	// DemandRoundInterval is the least time between two rounds of demands.
	DemandRoundInterval = 100 * time.Millisecond
	// DemandDelay is how long a favour for messages lets tasks wait before a demand.
	DemandDelay = 20 * time.Millisecond
	// demandTargets is how many upstreams are told of a demand at once.
	demandTargets = 3
	// heardWithin is how long an upstream may have been silent before its oldest
	// task is compared with the learned run time.
	heardWithin = time.Second
)

// Setting is what an operator chooses.
type Setting struct {
	Placement ptplace.Policy
	Order     ptorder.Order
	MaxQueued int
	Seed      uint64
}

// OutstandingTask is a task that an upstream has.
type OutstandingTask struct {
	Job     *ptorder.Job
	Index   ptid.TaskIndex
	Attempt ptid.Attempt
	SentAt  ptid.Instant
}

// Upstream is what the scheduler knows of one upstream.
type Upstream struct {
	Name        ptid.AgentName
	Incarnation ptid.Incarnation
	Outstanding map[ptid.TaskID]OutstandingTask
	view        ptplace.UpstreamView
	connected   bool
	leaving     bool
	stopped     bool
	heardAt     ptid.Instant
	askedAt     ptid.Instant
	answeredAt  ptid.Instant
}

// absence is an upstream without a session.
type absence struct {
	slots  int
	backBy ptid.Instant
}

// Placement is a task that goes to an upstream.
type Placement struct {
	Task     ptorder.Task
	Upstream *Upstream
	Attempt  ptid.Attempt
}

// Commit asks the owner whether a task is really to be sent, and under which
// attempt. The owner refuses where the job has ended meanwhile.
type Commit func(task ptorder.Task, upstream *Upstream) (attempt ptid.Attempt, ok bool)

// QuotaCheck says how many more tasks of a profile and of its team may be sent.
type QuotaCheck func(profile ptid.ProfileName, team ptid.TeamName) (allowed bool)

// Headroom says how many more tasks of a profile and of its team may be sent.
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
	// expected are the upstreams whose sessions were lost and that may soon be back.
	expected  map[ptid.AgentName]absence
	ordered   []*Upstream
	views     []*ptplace.UpstreamView
	rank      int
	entries   int
	sent      int
	waitSince ptid.Instant
	askedAt   ptid.Instant
}

// New returns a scheduler without jobs or upstreams.
func New(setting Setting) *Scheduler {
	return &Scheduler{
		setting: setting, queue: ptorder.New(setting.Order), health: pthealth.New(), budget: ptretry.New(),
		random:    rand.New(rand.NewPCG(setting.Seed, uint64(len(setting.Placement)))),
		upstreams: make(map[ptid.AgentName]*Upstream), expected: make(map[ptid.AgentName]absence), entries: 1,
	}
}

// SessionOpened adds an upstream whose session has opened, or takes up a known one.
// orphans are the tasks of an earlier incarnation, which nobody can answer for.
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
	delete(scheduler.expected, name)
	upstream.connected, upstream.heardAt = true, now
	upstream.view.Slots, upstream.view.Distance = slots, distance
	for _, orphan := range orphans {
		scheduler.ended(orphan)
	}
	return upstream, orphans
}

func (scheduler *Scheduler) remove(upstream *Upstream) {
	delete(scheduler.upstreams, upstream.Name)
	scheduler.health.Remove(upstream.Name)
	scheduler.reorder()
}

// SessionClosed records that the session to an upstream has ended. An upstream without
// outstanding tasks is forgotten, but for its being expected back.
func (scheduler *Scheduler) SessionClosed(upstream *Upstream, now ptid.Instant) {
	upstream.connected = false
	if !upstream.leaving && !upstream.stopped {
		scheduler.expected[upstream.Name] = absence{slots: upstream.view.Slots, backBy: now.Add(ptlink.ReconnectTimeout)}
	}
	if len(upstream.Outstanding) == 0 && scheduler.upstreams[upstream.Name] == upstream {
		scheduler.remove(upstream)
	}
}

// SetRank tells the scheduler its entry's place among all entries.
func (scheduler *Scheduler) SetRank(rank, entries int) {
	if scheduler.rank == rank && scheduler.entries == entries {
		return
	}
	scheduler.rank, scheduler.entries = rank, entries
	scheduler.reorder()
}

// reorder sorts the upstreams by name, so that all entries number them alike.
func (scheduler *Scheduler) reorder() {
	scheduler.ordered = scheduler.ordered[:0]
	for _, upstream := range scheduler.upstreams {
		scheduler.ordered = append(scheduler.ordered, upstream)
	}
	slices.SortFunc(scheduler.ordered, func(left, right *Upstream) int {
		if left.Name < right.Name {
			return -1
		}
		return 1
	})
	scheduler.views = scheduler.views[:0]
	preferences := ptplace.PreferenceRanks(len(scheduler.ordered), scheduler.rank, scheduler.entries)
	for i, upstream := range scheduler.ordered {
		upstream.view.PreferenceRank = preferences[i]
		scheduler.views = append(scheduler.views, &upstream.view)
	}
}

// SlotStatus is what every frame of an agent tells.
type SlotStatus struct {
	Window           int
	Outstanding      int
	TotalOutstanding int
	Draining         bool
}

// UpdateStatus records a frame of an upstream.
func (scheduler *Scheduler) UpdateStatus(upstream *Upstream, frame SlotStatus, now ptid.Instant) {
	upstream.view.Window = frame.Window
	upstream.view.OthersOutstanding = max(0, frame.TotalOutstanding-frame.Outstanding)
	upstream.leaving = frame.Draining
	upstream.heardAt = now
}

// SetStopped sets whether the configuration lets an upstream have work.
func (scheduler *Scheduler) SetStopped(upstream *Upstream, stopped bool) { upstream.stopped = stopped }

// Admit decides whether a job is taken in. quota is how many tasks of its team
// and profile may run at once.
func (scheduler *Scheduler) Admit(job *ptorder.Job, quota int, queueFor time.Duration, now ptid.Instant) (refusal ptadmit.Refusal) {
	scheduler.refresh(now)
	slots, free := scheduler.capacity()
	if slots == 0 {
		slots = scheduler.expectedSlots(now)
	}
	own, teams := scheduler.queue.TeamWaiting(job.Team)
	if own == 0 {
		teams++
	}
	return ptadmit.Decide(ptadmit.Request{
		Tasks: job.Tasks, Queued: scheduler.queue.Len(), TeamQueued: own, WaitingTeams: teams,
		MaxQueued: scheduler.setting.MaxQueued, Slots: slots, FreeSlots: free, Quota: quota,
		Rate: scheduler.meter.Rate(now), RunTime: scheduler.health.LearnedRunTime(job.Profile), QueueTimeout: queueFor,
	})
}

// capacity returns the usable slots, and how many of them are free for all that is known.
func (scheduler *Scheduler) capacity() (slots, free int) {
	for _, view := range scheduler.views {
		if view.Usable {
			slots += view.Slots
			free += max(0, view.Slots-view.Outstanding-view.OthersOutstanding)
		}
	}
	return slots, free
}

// expectedSlots returns the slots of the upstreams that may soon be back.
func (scheduler *Scheduler) expectedSlots(now ptid.Instant) (slots int) {
	for name, absent := range scheduler.expected {
		if now > absent.backBy {
			delete(scheduler.expected, name)
			continue
		}
		slots += absent.slots
	}
	return slots
}

// Upstreams returns all known upstreams, sorted by name.
func (scheduler *Scheduler) Upstreams() []*Upstream { return slices.Clone(scheduler.ordered) }

// Slots returns the slots of the connected upstreams.
func (scheduler *Scheduler) Slots() (slots int) {
	for _, upstream := range scheduler.ordered {
		if upstream.connected {
			slots += upstream.view.Slots
		}
	}
	return slots
}

// UsableCount returns how many upstreams get work now.
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

// RemoveJob takes the waiting tasks of a job out of the queue.
func (scheduler *Scheduler) RemoveJob(job ptid.JobID) (withdrawn int) {
	return scheduler.queue.RemoveJob(job)
}

// WaitingTasks returns how many tasks wait.
func (scheduler *Scheduler) WaitingTasks() (tasks int) { return scheduler.queue.Len() }

// ReadyTasks returns how many tasks wait for nothing but room, and when the first of their
// jobs arrived. Agents are told of these alone: a slot that is held for a task which
// its quota keeps from running would stand idle.
func (scheduler *Scheduler) ReadyTasks(headroom Headroom) (tasks int, first ptid.Instant) {
	return scheduler.queue.ReadyTasks(headroom)
}

// OutstandingTasks returns how many tasks are with upstreams.
func (scheduler *Scheduler) OutstandingTasks() int { return scheduler.sent }

// QuarantinedCount returns how many upstreams are in quarantine.
func (scheduler *Scheduler) QuarantinedCount() int { return scheduler.health.QuarantinedCount() }

// refresh brings the views' fitness up to now.
func (scheduler *Scheduler) refresh(now ptid.Instant) {
	for _, upstream := range scheduler.ordered {
		status := scheduler.health.Status(upstream.Name, now)
		upstream.view.Usable = upstream.connected && !upstream.leaving && !upstream.stopped && status != pthealth.Quarantined
		upstream.view.Probing = status == pthealth.Probing
	}
}

// Place takes tasks from the queue while they have somewhere to go.
func (scheduler *Scheduler) Place(now ptid.Instant, quota QuotaCheck, commit Commit) (placements []Placement) {
	if scheduler.queue.Len() == 0 {
		return nil
	}
	scheduler.refresh(now)
	for scheduler.queue.Len() > 0 {
		chosen, ok := ptplace.Pick(scheduler.setting.Placement, scheduler.views, scheduler.random)
		if !ok {
			break
		}
		task, ok := scheduler.queue.Next(quota)
		if !ok {
			break
		}
		upstream := scheduler.ordered[chosen]
		attempt, ok := commit(task, upstream)
		if !ok {
			scheduler.queue.TaskEnded(task.Job.Team)
			continue
		}
		scheduler.placed(upstream, task, attempt, now)
		placements = append(placements, Placement{Task: task, Upstream: upstream, Attempt: attempt})
	}
	return placements
}

func (scheduler *Scheduler) placed(upstream *Upstream, task ptorder.Task, attempt ptid.Attempt, now ptid.Instant) {
	id := ptid.TaskID{Job: task.Job.ID, Index: task.Index}
	_, already := upstream.Outstanding[id]
	ptassert.That(!already, "a task is sent to an upstream once at a time", "job", id.Job, "task", id.Index)
	upstream.Outstanding[id] = OutstandingTask{Job: task.Job, Index: task.Index, Attempt: attempt, SentAt: now}
	upstream.view.Outstanding++
	scheduler.sent++
	if attempt == 1 {
		scheduler.budget.RecordPlacement()
	}
}

// Result says how a sent task ended.
type Result interface{ isResult() }

// Answered is a whole answer after a run.
type Answered struct{ RunTime time.Duration }

// Failed is a task that started and failed.
type Failed struct{}

// Refused is the proof that the attempt has not started. Unfit tells that the
// upstream could not take it, as opposed to would not.
type Refused struct{ UpstreamUnreachable bool }

// Cancelled is a task that nobody waits for any more.
type Cancelled struct{}

func (Answered) isResult()  {}
func (Failed) isResult()    {}
func (Refused) isResult()   {}
func (Cancelled) isResult() {}

// TaskEnded takes a task off an upstream's list. It is false where the task is not
// on the list under that attempt.
func (scheduler *Scheduler) TaskEnded(upstream *Upstream, id ptid.TaskID, attempt ptid.Attempt, result Result, now ptid.Instant) (sent OutstandingTask, found bool) {
	sent, found = upstream.Outstanding[id]
	if !found || sent.Attempt != attempt {
		return OutstandingTask{}, false
	}
	delete(upstream.Outstanding, id)
	upstream.view.Outstanding--
	scheduler.ended(sent)
	switch result := result.(type) {
	case Answered:
		upstream.answeredAt = now
		scheduler.health.RecordAnswer(upstream.Name, sent.Job.Profile, result.RunTime, now)
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
	return sent, true
}

func (scheduler *Scheduler) ended(sent OutstandingTask) {
	scheduler.queue.TaskEnded(sent.Job.Team)
	scheduler.sent--
}

// AllowRetry reports whether a task may be placed again after an attempt, and
// takes it from the budget.
func (scheduler *Scheduler) AllowRetry(attempt ptid.Attempt) bool {
	return scheduler.budget.Allow(attempt)
}

// Requeue puts a task back into the queue.
func (scheduler *Scheduler) Requeue(sent OutstandingTask) {
	scheduler.queue.Requeue(sent.Job, sent.Index)
}

// DemandTargets returns the upstreams that are to be told of waiting tasks now.
// patient tells that messages count more than time.
func (scheduler *Scheduler) DemandTargets(now ptid.Instant, headroom Headroom, patient bool) (upstreams []*Upstream) {
	if ready, _ := scheduler.queue.ReadyTasks(headroom); ready == 0 || scheduler.setting.Placement != ptplace.Leases {
		scheduler.waitSince = 0
		return nil
	}
	if scheduler.waitSince == 0 {
		scheduler.waitSince = now
	}
	if patient && now.Sub(scheduler.waitSince) < DemandDelay || now.Sub(scheduler.askedAt) < DemandRoundInterval {
		return nil
	}
	for _, upstream := range scheduler.ordered {
		// An upstream that has tasks of this entry learns of the demand with the
		// next dispatch and answers with the window, so it is not asked.
		if !upstream.view.Usable || upstream.view.Outstanding > 0 || now.Sub(upstream.askedAt) < DemandRepeatInterval {
			continue
		}
		upstream.askedAt, scheduler.askedAt = now, now
		upstreams = append(upstreams, upstream)
		if len(upstreams) == demandTargets {
			break
		}
	}
	return upstreams
}

// DetectHangs looks for upstreams that hang. The owner calls it at a steady pace.
func (scheduler *Scheduler) DetectHangs(now ptid.Instant) {
	for _, upstream := range scheduler.ordered {
		if now.Sub(upstream.heardAt) < heardWithin && len(upstream.Outstanding) < upstream.view.Slots {
			continue
		}
		oldest, found := upstream.oldest()
		if found {
			scheduler.health.CheckHang(upstream.Name, oldest.Job.Profile, max(oldest.SentAt, upstream.answeredAt), now)
		}
	}
}

func (upstream *Upstream) oldest() (oldest OutstandingTask, found bool) {
	for _, sent := range upstream.Outstanding {
		if !found || sent.SentAt < oldest.SentAt {
			oldest, found = sent, true
		}
	}
	return oldest, found
}
