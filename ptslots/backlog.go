package ptslots

import (
	"container/heap"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// backlog is the queue of waiting tasks: fair share between teams, and lowest order key
// first within a team.
type backlog struct {
	teams map[ptid.TeamName]*teamHeap
	// running counts the tasks of each team that hold a slot.
	running map[ptid.TeamName]int
}

func newBacklog() backlog {
	return backlog{teams: make(map[ptid.TeamName]*teamHeap), running: make(map[ptid.TeamName]int)}
}

func teamOf(task *Task) ptid.TeamName { return ptid.TeamName(task.Dispatch.Team) }

func (backlog *backlog) push(task *Task) {
	waiting := backlog.teams[teamOf(task)]
	if waiting == nil {
		waiting = &teamHeap{}
		backlog.teams[teamOf(task)] = waiting
	}
	heap.Push(waiting, task)
}

// pop removes and returns the first task of the team whose tasks hold the fewest slots,
// and counts the returned task as holding a slot. A team with many waiting tasks therefore
// delays only its own tasks, as in the entry's queue (package ptorder).
func (backlog *backlog) pop() (next *Task) {
	var best *teamHeap
	var bestTeam ptid.TeamName
	for team, waiting := range backlog.teams {
		waiting.dropWithdrawn()
		if waiting.Len() == 0 {
			delete(backlog.teams, team)
			continue
		}
		if best == nil || backlog.hasPriority(team, waiting, bestTeam, best) {
			best, bestTeam = waiting, team
		}
	}
	if best == nil {
		return nil
	}
	next, _ = heap.Pop(best).(*Task)
	backlog.running[bestTeam]++
	return next
}

func (backlog *backlog) hasPriority(team ptid.TeamName, waiting *teamHeap, otherTeam ptid.TeamName, other *teamHeap) bool {
	if backlog.running[team] != backlog.running[otherTeam] {
		return backlog.running[team] < backlog.running[otherTeam]
	}
	left, right := (*waiting)[0], (*other)[0]
	if left.Dispatch.OrderNanos != right.Dispatch.OrderNanos {
		return left.Dispatch.OrderNanos < right.Dispatch.OrderNanos
	}
	return team < otherTeam
}

// released records that a task has released its slot.
func (backlog *backlog) released(task *Task) {
	backlog.running[teamOf(task)]--
	if backlog.running[teamOf(task)] == 0 {
		delete(backlog.running, teamOf(task))
	}
}

// teamHeap is a heap of the waiting tasks of one team. It implements heap.Interface.
type teamHeap []*Task

// dropWithdrawn removes withdrawn tasks from the top of the heap.
func (waiting *teamHeap) dropWithdrawn() {
	for waiting.Len() > 0 && (*waiting)[0].withdrawn {
		heap.Pop(waiting)
	}
}

// Len implements heap.Interface.
func (waiting *teamHeap) Len() int { return len(*waiting) }

// Less implements heap.Interface.
func (waiting *teamHeap) Less(i, j int) bool {
	left, right := (*waiting)[i].Dispatch, (*waiting)[j].Dispatch
	if left.OrderNanos != right.OrderNanos {
		return left.OrderNanos < right.OrderNanos
	}
	return left.Index < right.Index
}

// Swap implements heap.Interface.
func (waiting *teamHeap) Swap(i, j int) {
	(*waiting)[i], (*waiting)[j] = (*waiting)[j], (*waiting)[i]
}

// Push implements heap.Interface.
func (waiting *teamHeap) Push(item any) {
	if task, ok := item.(*Task); ok {
		*waiting = append(*waiting, task)
	}
}

// Pop implements heap.Interface.
func (waiting *teamHeap) Pop() (item any) {
	old := *waiting
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*waiting = old[:len(old)-1]
	return last
}
