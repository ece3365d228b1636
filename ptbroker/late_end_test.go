package ptbroker

import (
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/pthandover"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// Guards against acknowledging the end of a run as done after its job has ended or was deleted, if the
// task has run again meanwhile.
func TestLateEndOfAnEndedJobIsRejectedIfItsTaskHasRunAgain(test *testing.T) {
	const id = ptid.JobID("00000000000000aa")
	first := ptjobstore.RunNumberBase(1) + 1
	ended := &durableJob{progress: ptjobstore.Progress{State: ptgraph.Completed, VoidRun: first}}
	for name, scenario := range map[string]struct {
		job    *durableJob
		number ptrun.Number
		result ptrun.Result
		void   bool
	}{
		"the abandoned run":                 {ended, first, ptrun.Done, true},
		"the run that completed the task":   {ended, first + 1, ptrun.Done, false},
		"the abandoned run has failed":      {ended, first, ptrun.Failed, false},
		"a run of a deleted job":            {nil, first, ptrun.Done, true},
		"a stopped run of a deleted job":    {nil, first, ptrun.Stopped, false},
		"a run of a job that was never two": {&durableJob{progress: ptjobstore.Progress{State: ptgraph.Completed}}, first, ptrun.Done, false},
	} {
		expect := NewWithT(test)
		broker := New(Setting{Name: "entry", Zone: "zone", Seed: 1}, Dependencies{
			Log: logr.Discard(), Metrics: ptmetric.New(), Clock: newManualClock(), Queues: ptqueue.NewCatalogStore(),
			JobStore: ptstandin.NewJobStore(1).Client("entry"),
		})
		handover := pthandover.New(0, 0)
		handover.Load(&ptjobstore.Agents{}, nil)
		partition := &ownedPartition{epoch: 1, handover: handover, jobs: make(map[ptid.JobID]*durableJob), missing: map[ptid.JobID]bool{id: true}}
		if scenario.job != nil {
			partition.jobs[id] = scenario.job
		}
		broker.ownership.partitions[0] = partition
		agent := connectAgent(broker, "agent")
		broker.handleDurableEnd(agent, ptrun.End{Run: ptrun.ID{Task: ptrun.TaskID{Job: id}, Number: scenario.number}, Result: scenario.result}, broker.deps.Clock.Now())
		expect.Expect(broker.deps.Metrics.Counter(ptmetric.RejectedEnds).Get() == 1).To(Equal(scenario.void), name)
	}
}
