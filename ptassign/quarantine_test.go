package ptassign_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// Every second run on the worker fails, so its failure rate passes the threshold with each run.
func TestQuarantineDoesNotChangeWithEachRunOfAWorkerNearTheThreshold(test *testing.T) {
	fixture := newFixture(test, 4)
	estimator := ptfitness.NewEstimator()
	changes := 0
	for job := range 40 {
		now := at(10 * (job + 1))
		run := ptrun.ID{Task: ptrun.TaskID{Job: ptid.JobID(fmt.Sprintf("%016x", job+1))}, Number: 1}
		if job%2 == 0 {
			estimator.Failed(run, now)
		} else {
			estimator.Done(run, now)
		}
		for agent := range 4 {
			assessment := ptfitness.Assessment{Slowdown: 1, MeasuredAt: now}
			if agent == 0 {
				assessment = estimator.Assessment()
			}
			for _, effect := range fixture.report(agent, ptassign.AgentState{Assessment: assessment}) {
				if _, is := effect.(ptassign.WorkerQuarantined); is {
					changes++
				}
			}
		}
	}
	fixture.expect.Expect(changes).To(BeNumerically("<=", 1))
}
