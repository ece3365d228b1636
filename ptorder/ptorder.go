// Package ptorder is the queue of the tasks that wait at an entry. It orders them by
// fair share between teams, and by a configurable order within a team. It has no I/O.
//
// # How it works
//
//  1. There is one heap of waiting jobs for each profile. A job releases its tasks one
//     by one, lowest index first.
//  2. The next task is taken from the team with the fewest outstanding tasks, among the
//     teams and profiles that the quota allows. If two teams have equally many outstanding
//     tasks, the team whose first job comes first in the configured order is served. A
//     team that submits many tasks therefore delays only its own tasks.
//  3. Within a team, the profile whose first job comes first in the configured order is
//     served.
//  4. A requeued task goes to the front of its job.
//
// The orders are first come first served, earliest deadline first, and fewest remaining
// tasks first.
//
// # Usage
//
//	queue.Push(job)
//	task, ok := queue.Next(func(profile, team) bool { … })
//	queue.Requeue(job, index)
//	queue.RemoveJob(id)
package ptorder

import (
	"container/heap"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// Order is the order in which the jobs of a team are served.
type Order string

const (
	// FirstCome serves the job that was submitted first.
	FirstCome Order = "firstCome"
	// EarliestDeadline serves the job with the earliest start deadline.
	EarliestDeadline Order = "earliestDeadline"
	// FewestRemaining serves the job with the fewest waiting tasks.
	FewestRemaining Order = "fewestRemaining"
)

// Orders lists all orders.
var Orders = []Order{FirstCome, EarliestDeadline, FewestRemaining}

// Job describes a job to the queue.
type Job struct {
	ID          ptid.JobID
	Profile     ptid.ProfileName
	Team        ptid.TeamName
	SubmittedAt ptid.Instant
	StartBy     ptid.Instant
	Tasks       int
}

// Task is a task that was taken from the queue.
type Task struct {
	Job   *Job
	Index ptid.TaskIndex
}

// queuedJob is a job in a heap. Its waiting tasks are those from nextIndex on and those in
// requeued.
type queuedJob struct {
	job       *Job
	nextIndex int
	requeued  []ptid.TaskIndex
	heapIndex int
	// sequence orders jobs with the same submission time.
	sequence uint64
}

func (queued *queuedJob) waiting() int {
	return queued.job.Tasks - queued.nextIndex + len(queued.requeued)
}

// flow is the heap of the waiting jobs of one profile.
type flow struct {
	order   Order
	profile ptid.ProfileName
	team    ptid.TeamName
	jobs    []*queuedJob
	// waiting is the number of waiting tasks of all jobs.
	waiting int
}

func (flow *flow) Len() int { return len(flow.jobs) }

func (flow *flow) Less(i, j int) bool { return less(flow.order, flow.jobs[i], flow.jobs[j]) }

func (flow *flow) Swap(i, j int) {
	flow.jobs[i], flow.jobs[j] = flow.jobs[j], flow.jobs[i]
	flow.jobs[i].heapIndex, flow.jobs[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (flow *flow) Push(value any) {
	if added, ok := value.(*queuedJob); ok {
		added.heapIndex = len(flow.jobs)
		flow.jobs = append(flow.jobs, added)
	}
}

// Pop implements heap.Interface.
func (flow *flow) Pop() (value any) {
	last := len(flow.jobs) - 1
	removed := flow.jobs[last]
	flow.jobs[last] = nil
	flow.jobs = flow.jobs[:last]
	removed.heapIndex = -1
	return removed
}

func less(order Order, left, right *queuedJob) bool {
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
	return left.sequence < right.sequence
}

// Queue holds the waiting tasks of one service. It is not safe for concurrent use.
type Queue struct {
	order         Order
	flows         map[ptid.ProfileName]*flow
	jobs          map[ptid.JobID]*queuedJob
	outstanding   map[ptid.TeamName]int
	waitingByTeam map[ptid.TeamName]int
	waiting       int
	lastSequence  uint64
}

// New returns an empty queue.
func New(order Order) *Queue {
	return &Queue{
		order: order, flows: make(map[ptid.ProfileName]*flow),
		jobs: make(map[ptid.JobID]*queuedJob), outstanding: make(map[ptid.TeamName]int),
		waitingByTeam: make(map[ptid.TeamName]int),
	}
}

// Len returns how many tasks wait in the queue.
func (queue *Queue) Len() int { return queue.waiting }

// TeamWaiting returns how many tasks of a team wait, and how many teams have waiting
// tasks.
func (queue *Queue) TeamWaiting(team ptid.TeamName) (teamTasks, teams int) {
	for name, waiting := range queue.waitingByTeam {
		if waiting > 0 {
			teams++
		}
		if name == team {
			teamTasks = waiting
		}
	}
	return teamTasks, teams
}

func (queue *Queue) addWaiting(flow *flow, change int) {
	queue.waiting += change
	flow.waiting += change
	queue.waitingByTeam[flow.team] += change
	if queue.waitingByTeam[flow.team] == 0 {
		delete(queue.waitingByTeam, flow.team)
	}
}

// Push adds a job with all its tasks.
func (queue *Queue) Push(job *Job) {
	queue.lastSequence++
	added := &queuedJob{job: job, sequence: queue.lastSequence}
	queue.jobs[job.ID] = added
	queue.addWaiting(queue.flow(job), job.Tasks)
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

// Requeue puts a task back at the front of its job.
func (queue *Queue) Requeue(job *Job, index ptid.TaskIndex) {
	queued := queue.jobs[job.ID]
	if queued == nil {
		queue.lastSequence++
		queued = newRequeued(job, queue.lastSequence)
		queue.jobs[job.ID] = queued
		heap.Push(queue.flow(job), queued)
	}
	queued.requeued = append(queued.requeued, index)
	queue.addWaiting(queue.flow(job), 1)
	heap.Fix(queue.flow(job), queued.heapIndex)
}

func newRequeued(job *Job, sequence uint64) *queuedJob {
	return &queuedJob{job: job, nextIndex: job.Tasks, sequence: sequence}
}

// RemoveJob removes the waiting tasks of a job and returns their number.
func (queue *Queue) RemoveJob(id ptid.JobID) (removed int) {
	queued := queue.jobs[id]
	if queued == nil {
		return 0
	}
	removed = queued.waiting()
	queue.addWaiting(queue.flow(queued.job), -removed)
	queue.remove(queued)
	return removed
}

func (queue *Queue) remove(queued *queuedJob) {
	flow := queue.flow(queued.job)
	heap.Remove(flow, queued.heapIndex)
	delete(queue.jobs, queued.job.ID)
	if flow.Len() == 0 {
		delete(queue.flows, flow.profile)
	}
}

// Next removes and returns the next task whose profile and team are allowed. The task
// counts as outstanding until [Queue.TaskEnded] is called for it.
func (queue *Queue) Next(allowed func(profile ptid.ProfileName, team ptid.TeamName) bool) (task Task, ok bool) {
	flow := queue.nextFlow(allowed)
	if flow == nil {
		return Task{}, false
	}
	first := flow.jobs[0]
	task = Task{Job: first.job, Index: first.takeIndex()}
	queue.addWaiting(flow, -1)
	queue.outstanding[flow.team]++
	if first.waiting() == 0 {
		queue.remove(first)
	} else {
		heap.Fix(flow, 0)
	}
	return task, true
}

func (queued *queuedJob) takeIndex() (index ptid.TaskIndex) {
	if last := len(queued.requeued) - 1; last >= 0 {
		index = queued.requeued[last]
		queued.requeued = queued.requeued[:last]
		return index
	}
	index = ptid.TaskIndex(queued.nextIndex)
	queued.nextIndex++
	return index
}

func (queue *Queue) nextFlow(allowed func(profile ptid.ProfileName, team ptid.TeamName) bool) (best *flow) {
	for _, flow := range queue.flows {
		if !allowed(flow.profile, flow.team) {
			continue
		}
		if best == nil || queue.hasPriority(flow, best) {
			best = flow
		}
	}
	return best
}

func (queue *Queue) hasPriority(left, right *flow) bool {
	if left.team != right.team && queue.outstanding[left.team] != queue.outstanding[right.team] {
		return queue.outstanding[left.team] < queue.outstanding[right.team]
	}
	return less(queue.order, left.jobs[0], right.jobs[0])
}

// TaskEnded decrements the number of outstanding tasks of a team. Call it once for each task
// that Next has returned, when this task is no longer outstanding.
func (queue *Queue) TaskEnded(team ptid.TeamName) {
	queue.outstanding[team]--
	if queue.outstanding[team] <= 0 {
		delete(queue.outstanding, team)
	}
}

// ReadyTasks returns how many waiting tasks the quotas allow to be placed, regardless of
// the free capacity of the upstreams. headroom returns how many more tasks the quotas of a
// profile and its team allow. tasks is the sum, over all profiles, of the smaller of the
// headroom and the number of waiting tasks; the headroom of a team is thus counted once for
// each of its profiles. Profiles without headroom are skipped. first is the earliest
// submission time among the first jobs of the other profiles, or [ptid.Never] if there are
// none. The first job of a profile is the job at the top of its heap.
func (queue *Queue) ReadyTasks(headroom func(profile ptid.ProfileName, team ptid.TeamName) int) (tasks int, first ptid.Instant) {
	first = ptid.Never
	for _, flow := range queue.flows {
		allowed := headroom(flow.profile, flow.team)
		if allowed <= 0 {
			continue
		}
		first = min(first, flow.jobs[0].job.SubmittedAt)
		tasks += min(allowed, flow.waiting)
	}
	return tasks, first
}
