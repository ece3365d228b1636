package ptrunner

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptstandin"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

func zonedRunner(test *testing.T) (runner *Runner, worker *ptstandin.Worker, expect *WithT) {
	expect = NewWithT(test)
	worker = ptstandin.NewWorker("worker", ptrun.Demand{CPU: 4000, Memory: 4000})
	runner = New(Setting{Name: "agent", Zone: "a", Service: "service"}, Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Executor: worker, Discover: func() []string { return nil },
	})
	runner.WorkerAnnounced(worker.Announcement(), worker.Clock())
	expect.Expect(runner.listWorker(0)).To(Succeed())
	return runner, worker, expect
}

func (runner *Runner) orderFrame(index uint32) *ptwire.Frame {
	now := runner.deps.Clock.Now()
	return &ptwire.Frame{AgentClockNanos: int64(now), RunOrders: []*ptwire.RunOrder{{
		Run: ptrun.ID{Task: ptrun.TaskID{Job: "00000000000000aa", Index: ptid.TaskIndex(index)}, Number: 1}.Ref(), CpuMillicores: 1000,
		StartByNanos: int64(now.Add(conditionTimeout)), WaitNanos: int64(time.Millisecond),
	}}}
}

// Guards against a start by an order in the same frame as the evacuation, by a late order of an entry that does
// not know of it, and against an older state that ends the evacuation.
func TestOrdersForAnEvacuatedZoneDoNotStart(test *testing.T) {
	runner, worker, expect := zonedRunner(test)
	informed, stale := runner.addPeer("informed"), runner.addPeer("stale")
	frame := runner.orderFrame(1)
	frame.Evacuation = &ptwire.Evacuation{Revision: 7, AvailabilityZones: []string{"a", "c"}}
	informed.Receive(nil, frame)
	late := runner.orderFrame(2)
	late.Evacuation = &ptwire.Evacuation{Revision: 5}
	stale.Receive(nil, late)
	stale.Receive(nil, runner.orderFrame(3))
	expect.Consistently(worker.ActiveRuns).WithTimeout(100 * time.Millisecond).Should(BeEmpty())
	informed.Receive(nil, &ptwire.Frame{Evacuation: &ptwire.Evacuation{Revision: 8, AvailabilityZones: []string{"c"}}})
	stale.Receive(nil, runner.orderFrame(4))
	expect.Eventually(worker.ActiveRuns).WithTimeout(conditionTimeout).Should(HaveLen(1))
}

// Guards against a state that does not reach the other entries, or that every frame carries.
func TestStateIsPassedOnToOtherEntriesOnce(test *testing.T) {
	runner, _, expect := zonedRunner(test)
	informed, other := runner.addPeer("informed"), runner.addPeer("other")
	sent := func(peer *peer) *ptwire.Evacuation {
		frame := &ptwire.Frame{}
		peer.PrepareFrame(nil, frame)
		return frame.Evacuation
	}
	expect.Expect(sent(other)).To(BeNil(), "nothing is known")
	informed.Receive(nil, &ptwire.Frame{Evacuation: &ptwire.Evacuation{Revision: 7, AvailabilityZones: []string{"c"}}})
	expect.Expect(sent(other).Revision).To(Equal(uint64(7)))
	expect.Expect(sent(other)).To(BeNil())
	expect.Expect(sent(informed)).To(BeNil(), "the entry has sent it")
	expect.Expect(sent(runner.addPeer("later"))).NotTo(BeNil(), "the first frame of a session")
}
