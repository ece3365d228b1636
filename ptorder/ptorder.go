// Package ptorder orders the tasks that wait at an entry: between teams by fair
// share, within a team by the order that the operator has chosen. It has no I/O.
//
// # How it works
//
//  1. Jobs wait in one heap for each profile. A job leaves its tasks one by one,
//     lowest index first.
//  2. The next task is that of the team with the fewest tasks out, among the teams
//     and profiles that the quota allows; of two equal ones the older job goes
//     first. A team that floods so waits behind itself.
//  3. Within a team the profile goes first whose first job goes first.
//  4. A returned task goes back to the front of its job.
//
// Orders: first come first served, earliest deadline, fewest tasks remaining.
//
// # Usage
//
//	queue.Push(job)
//	task, ok := queue.Next(func(profile) bool { … })
//	queue.Requeue(job, index)
//	queue.Drop(id)
package ptorder

import (
	"container/heap"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// Order says which of two jobs of a team goes first.
type Order string

const (
	// FirstCome orders by arrival.
	FirstCome Order = "firstCome"
	// EarliestDeadline orders by the deadline for the start.
	EarliestDeadline Order = "earliestDeadline"
	// FewestRemaining orders by the number of tasks that still wait.
	FewestRemaining Order = "fewestRemaining"
)

// Orders lists all orders.
var Orders = []Order{FirstCome, EarliestDeadline, FewestRemaining}

// Job is what the queue knows of a job.
type Job struct {
	ID          ptid.JobID
	Profile     ptid.ProfileName
	Team        ptid.TeamName
	SubmittedAt ptid.Instant
	StartBy     ptid.Instant
	Tasks       int
}

// Task is one task taken from the queue.
type Task struct {
	Job   *Job
	Index ptid.TaskIndex
}

// item is a job in a heap.
type item struct {
	job      *Job
	next     int
	returned []ptid.TaskIndex
	position int
	number   uint64
}

func (item *item) waiting() int { return item.job.Tasks - item.next + len(item.returned) }

// flow is the waiting jobs of one profile.
type flow struct {
	order   Order
	profile ptid.ProfileName
	team    ptid.TeamName
	items   []*item
	// waiting counts the waiting tasks of all items.
	waiting int
}

func (flow *flow) Len() int { return len(flow.items) }

func (flow *flow) Less(i, j int) bool { return before(flow.order, flow.items[i], flow.items[j]) }

func (flow *flow) Swap(i, j int) {
	flow.items[i], flow.items[j] = flow.items[j], flow.items[i]
	flow.items[i].position, flow.items[j].position = i, j
}

// Push implements heap.Interface.
func (flow *flow) Push(value any) {
	if added, ok := value.(*item); ok {
		added.position = len(flow.items)
		flow.items = append(flow.items, added)
	}
}

// Pop implements heap.Interface.
func (flow *flow) Pop() (value any) {
	last := len(flow.items) - 1
	removed := flow.items[last]
	flow.items[last] = nil
	flow.items = flow.items[:last]
	removed.position = -1
	return removed
}

func before(order Order, left, right *item) bool {
	switch order {
	case EarliestDeadline:
		if left.job.StartBy != right.job.StartBy {
			return left.job.StartBy < right.job.StartBy
		}
	case FewestRemaining:
		if left.waiting() != right.waiting() {
			return left.waiting() < right.waiting()
		}
	case FirstCome:
	}
	if left.job.SubmittedAt != right.job.SubmittedAt {
		return left.job.SubmittedAt < right.job.SubmittedAt
	}
	return left.number < right.number
}

// Queue holds the waiting tasks of one service. It is not safe for concurrent use.
type Queue struct {
	order   Order
	flows   map[ptid.ProfileName]*flow
	jobs    map[ptid.JobID]*item
	out     map[ptid.TeamName]int
	teams   map[ptid.TeamName]int
	waiting int
	pushed  uint64
}

// New returns an empty queue.
func New(order Order) *Queue {
	return &Queue{
		order: order, flows: make(map[ptid.ProfileName]*flow),
		jobs: make(map[ptid.JobID]*item), out: make(map[ptid.TeamName]int),
		teams: make(map[ptid.TeamName]int),
	}
}

// Len returns how many tasks wait.
func (queue *Queue) Len() int { return queue.waiting }

// TeamWaiting returns how many tasks of a team wait, and how many teams have any.
func (queue *Queue) TeamWaiting(team ptid.TeamName) (own, teams int) {
	for name, waiting := range queue.teams {
		if waiting > 0 {
			teams++
		}
		if name == team {
			own = waiting
		}
	}
	return own, teams
}

func (queue *Queue) count(flow *flow, change int) {
	queue.waiting += change
	flow.waiting += change
	queue.teams[flow.team] += change
	if queue.teams[flow.team] == 0 {
		delete(queue.teams, flow.team)
	}
}

// Push adds a job with all its tasks.
func (queue *Queue) Push(job *Job) {
	queue.pushed++
	added := &item{job: job, number: queue.pushed}
	queue.jobs[job.ID] = added
	queue.count(queue.flow(job), job.Tasks)
	heap.Push(queue.flow(job), added)
}

func (queue *Queue) flow(job *Job) *flow {
	found := queue.flows[job.Profile]
	if found == nil {
		found = &flow{order: queue.order, profile: job.Profile, team: job.Team}
		queue.flows[job.Profile] = found
	}
	return found
}

// Requeue puts a task back to the front of its job.
func (queue *Queue) Requeue(job *Job, index ptid.TaskIndex) {
	item := queue.jobs[job.ID]
	if item == nil {
		queue.pushed++
		item = newReturned(job, queue.pushed)
		queue.jobs[job.ID] = item
		heap.Push(queue.flow(job), item)
	}
	item.returned = append(item.returned, index)
	queue.count(queue.flow(job), 1)
	heap.Fix(queue.flow(job), item.position)
}

func newReturned(job *Job, number uint64) *item {
	return &item{job: job, next: job.Tasks, number: number}
}

// RemoveJob removes the waiting tasks of a job and returns how many there were.
func (queue *Queue) RemoveJob(id ptid.JobID) (dropped int) {
	item := queue.jobs[id]
	if item == nil {
		return 0
	}
	dropped = item.waiting()
	queue.count(queue.flow(item.job), -dropped)
	queue.remove(item)
	return dropped
}

func (queue *Queue) remove(item *item) {
	flow := queue.flow(item.job)
	heap.Remove(flow, item.position)
	delete(queue.jobs, item.job.ID)
	if flow.Len() == 0 {
		delete(queue.flows, flow.profile)
	}
}

// Next takes the next task of a profile that allowed admits.
func (queue *Queue) Next(allowed func(profile ptid.ProfileName, team ptid.TeamName) bool) (task Task, ok bool) {
	flow := queue.best(allowed)
	if flow == nil {
		return Task{}, false
	}
	first := flow.items[0]
	task = Task{Job: first.job, Index: first.take()}
	queue.count(flow, -1)
	queue.out[flow.team]++
	if first.waiting() == 0 {
		queue.remove(first)
	} else {
		heap.Fix(flow, 0)
	}
	return task, true
}

func (item *item) take() (index ptid.TaskIndex) {
	if last := len(item.returned) - 1; last >= 0 {
		index = item.returned[last]
		item.returned = item.returned[:last]
		return index
	}
	index = ptid.TaskIndex(item.next)
	item.next++
	return index
}

func (queue *Queue) best(allowed func(profile ptid.ProfileName, team ptid.TeamName) bool) (best *flow) {
	for _, flow := range queue.flows {
		if !allowed(flow.profile, flow.team) {
			continue
		}
		if best == nil || queue.goesFirst(flow, best) {
			best = flow
		}
	}
	return best
}

func (queue *Queue) goesFirst(left, right *flow) bool {
	if left.team != right.team && queue.out[left.team] != queue.out[right.team] {
		return queue.out[left.team] < queue.out[right.team]
	}
	return before(queue.order, left.items[0], right.items[0])
}

// TaskEnded tells that a task that Next has returned is no longer out.
func (queue *Queue) TaskEnded(team ptid.TeamName) {
	queue.out[team]--
	if queue.out[team] <= 0 {
		delete(queue.out, team)
	}
}

// ReadyTasks returns how many tasks could be placed if there were room, where headroom says
// how many more of a profile and its team the quota lets run, and the arrival of the
// oldest of the jobs that go first among them.
func (queue *Queue) ReadyTasks(headroom func(profile ptid.ProfileName, team ptid.TeamName) int) (tasks int, first ptid.Instant) {
	first = ptid.Never
	for _, flow := range queue.flows {
		allowed := headroom(flow.profile, flow.team)
		if allowed <= 0 {
			continue
		}
		first = min(first, flow.items[0].job.SubmittedAt)
		tasks += min(allowed, flow.waiting)
	}
	return tasks, first
}
