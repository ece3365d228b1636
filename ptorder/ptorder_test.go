package ptorder_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptorder"
)

func allowAll(ptid.ProfileName, ptid.TeamName) bool { return true }

func job(id string, team string, at, startBy ptid.Instant, tasks int) *ptorder.Job {
	return &ptorder.Job{
		ID: ptid.JobID(id), Profile: ptid.ProfileName("p" + team), Team: ptid.TeamName(team), SubmittedAt: at, StartBy: startBy, Tasks: tasks,
	}
}

func takeNext(queue *ptorder.Queue, count int) (order []string) {
	for range count {
		task, ok := queue.Next(allowAll)
		if !ok {
			return append(order, "-")
		}
		order = append(order, fmt.Sprintf("%s%d", task.Job.ID, task.Index))
	}
	return order
}

func TestOrders(t *testing.T) {
	for order, expected := range map[ptorder.Order][]string{
		ptorder.FirstCome:        {"a0", "a1", "a2", "b0", "b1", "c0", "-"},
		ptorder.EarliestDeadline: {"b0", "b1", "c0", "a0", "a1", "a2", "-"},
		ptorder.FewestRemaining:  {"c0", "b0", "b1", "a0", "a1", "a2", "-"},
	} {
		queue := ptorder.New(order)
		queue.Push(job("a", "t", 1, 90, 3))
		queue.Push(job("b", "t", 2, 50, 2))
		queue.Push(job("c", "t", 3, 70, 1))
		NewWithT(t).Expect(takeNext(queue, 7)).To(Equal(expected), string(order))
	}
}

func TestLargeTeamDoesNotDelaySmallTeam(t *testing.T) {
	queue := ptorder.New(ptorder.FirstCome)
	for i := range 100 {
		queue.Push(job(fmt.Sprint("flood", i), "big", ptid.Instant(i), 1000, 10))
	}
	takeNext(queue, 40)
	queue.Push(job("small", "small", 500, 1000, 3))
	NewWithT(t).Expect(takeNext(queue, 3)).To(Equal([]string{"small0", "small1", "small2"}))
}

func TestQuotaSkipsOnlyItsTeam(t *testing.T) {
	expect := NewWithT(t)
	queue := ptorder.New(ptorder.FirstCome)
	queue.Push(job("a", "blocked", 1, 9, 2))
	queue.Push(job("b", "free", 2, 9, 1))
	task, ok := queue.Next(func(_ ptid.ProfileName, team ptid.TeamName) bool { return team != "blocked" })
	expect.Expect(ok).To(BeTrue())
	expect.Expect(task.Job.ID).To(Equal(ptid.JobID("b")))
	_, ok = queue.Next(func(_ ptid.ProfileName, team ptid.TeamName) bool { return team != "blocked" })
	expect.Expect(ok).To(BeFalse())
}

// TestNoTaskIsLost runs random pushes, takes, requeues and removals, and checks that each
// task is queued exactly when the model expects it.
func TestNoTaskIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := ptorder.New(rapid.SampledFrom(ptorder.Orders).Draw(t, "order"))
		waiting := make(map[string]bool)
		outstanding := make(map[string]ptorder.Task)
		pushed := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				pushed++
				added := job(fmt.Sprint("j", pushed, "."), fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "team")), ptid.Instant(pushed), 10, rapid.IntRange(1, 4).Draw(t, "tasks"))
				queue.Push(added)
				for i := range added.Tasks {
					waiting[fmt.Sprint(added.ID, i)] = true
				}
			},
			"take": func(t *rapid.T) {
				task, ok := queue.Next(allowAll)
				if ok != (len(waiting) > 0) {
					t.Fatalf("Next returned a task: %t, with %d tasks waiting", ok, len(waiting))
				}
				if !ok {
					return
				}
				key := fmt.Sprint(task.Job.ID, task.Index)
				if !waiting[key] {
					t.Fatalf("task %s was not waiting", key)
				}
				delete(waiting, key)
				outstanding[key] = task
			},
			"return": func(*rapid.T) {
				for key, task := range outstanding {
					queue.TaskEnded(task.Job.Team)
					queue.Requeue(task.Job, task.Index)
					delete(outstanding, key)
					waiting[key] = true
					return
				}
			},
			"drop": func(t *rapid.T) {
				if pushed == 0 {
					t.Skip("no job was pushed")
				}
				id := fmt.Sprint("j", rapid.IntRange(1, pushed).Draw(t, "job"), ".")
				expected := 0
				for i := range 4 {
					if key := fmt.Sprint(id, i); waiting[key] {
						delete(waiting, key)
						expected++
					}
				}
				if removed := queue.RemoveJob(ptid.JobID(id)); removed != expected {
					t.Fatalf("RemoveJob removed %d tasks, expected %d", removed, expected)
				}
			},
			"": func(t *rapid.T) {
				if queue.Len() != len(waiting) {
					t.Fatalf("%d tasks wait, expected %d", queue.Len(), len(waiting))
				}
			},
		})
	})
}
