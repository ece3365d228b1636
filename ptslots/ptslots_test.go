package ptslots_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlease"
	"github.com/primrosetiller/primrosetiller/ptreason"
	"github.com/primrosetiller/primrosetiller/ptslots"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const farFuture = int64(1 << 60)

func newCore(slots int) *ptslots.Core {
	ptassert.PanicOnFailure()
	core := ptslots.New(ptlease.Setting{Slots: slots, Prefetch: 100})
	core.SessionOpened("e", 1)
	return core
}

func dispatch(sequence uint64, team string, order int64) *ptwire.Dispatch {
	return &ptwire.Dispatch{
		Job: string(ptid.NewJobID("e", 1, sequence)), Attempt: 1, Team: team, StartByNanos: farFuture, FinishByNanos: farFuture, OrderNanos: order,
	}
}

// startedTasks returns the tasks that the effects start, and their teams.
func startedTasks(effects []ptslots.Effect) (teams []string, tasks []*ptslots.Task) {
	for _, effect := range effects {
		if run, ok := effect.(ptslots.Run); ok {
			teams = append(teams, run.Task.Dispatch.Team)
			tasks = append(tasks, run.Task)
		}
	}
	return teams, tasks
}

func TestLargeTeamDoesNotDelaySmallTeam(t *testing.T) {
	core := newCore(2)
	for i := range uint64(20) {
		core.DispatchReceived("e", dispatch(i, "flood", int64(i)), 1)
	}
	_, running := startedTasks(core.AssignSlots(1))
	core.DispatchReceived("e", dispatch(100, "small", 500), 1)
	core.Start(running[0], 1)
	core.TaskEnded(running[0])
	teams, _ := startedTasks(core.ReleaseSlot(running[0], &ptwire.Answer{}, "", 1))
	NewWithT(t).Expect(teams).To(Equal([]string{"small"}))
}

func TestDrainingAgentRefusesNewTasks(t *testing.T) {
	expect := NewWithT(t)
	core := newCore(1)
	core.DispatchReceived("e", dispatch(1, "t", 1), 1)
	_, running := startedTasks(core.AssignSlots(1))
	core.SetDraining(true)
	effects := core.DispatchReceived("e", dispatch(2, "t", 2), 1)
	expect.Expect(effects).To(HaveLen(1))
	expect.Expect(fmt.Sprint(effects[0])).To(ContainSubstring(string(ptreason.Draining)))
	expect.Expect(core.SlotStatus("e", 1).Window).To(BeZero())
	expect.Expect(core.Start(running[0], 1)).To(BeTrue(), "a task that holds a slot continues")
	core.TaskEnded(running[0])
	core.ReleaseSlot(running[0], &ptwire.Answer{Attempt: 1}, "", 1)
	expect.Expect(core.Idle()).To(BeFalse(), "the answer has not been acknowledged")
	core.Acknowledge(ptid.AttemptID{Task: running[0].ID, Attempt: 1})
	expect.Expect(core.Idle()).To(BeTrue())
}

func TestNewIncarnationDropsWaitingTasks(t *testing.T) {
	expect := NewWithT(t)
	core := newCore(0)
	core.DispatchReceived("e", dispatch(1, "t", 1), 1)
	core.SessionClosed("e")
	core.SessionOpened("e", 2)
	waiting, _, _ := core.Counts()
	expect.Expect(waiting).To(BeZero())
	expect.Expect(core.DispatchReceived("e", dispatch(3, "t", 1), 1)).To(BeEmpty())
}

func TestLateAcknowledgementDoesNotAffectNextAttempt(t *testing.T) {
	expect := NewWithT(t)
	core := newCore(1)
	refused := dispatch(1, "t", 1)
	refused.StartByNanos = 0
	expect.Expect(core.DispatchReceived("e", refused, 1)).To(HaveLen(1))
	retry := dispatch(1, "t", 1)
	retry.Attempt, retry.StartByNanos = 2, 10
	core.DispatchReceived("e", retry, 1)
	_, running := startedTasks(core.AssignSlots(1))
	expect.Expect(core.Start(running[0], 1)).To(BeTrue())
	core.TaskEnded(running[0])
	core.ReleaseSlot(running[0], &ptwire.Answer{Job: retry.Job, Attempt: 2}, "", 1)
	core.Acknowledge(ptid.AttemptID{Task: running[0].ID, Attempt: 1})
	core.ExpireStartRecords(20)
	effects := core.Resolve("e", &ptwire.Resolve{Job: retry.Job, Attempt: 2, StartByNanos: 10})
	expect.Expect(effects).To(HaveLen(1))
	expect.Expect(effects[0]).To(BeAssignableToTypeOf(ptslots.SendAnswer{}), "the task has run, and its answer is still kept")
}
