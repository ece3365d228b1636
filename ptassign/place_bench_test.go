package ptassign_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// BenchmarkPlacing runs jobs of eight tasks from submission to the end of the last task, at
// an entry with the given number of agents: once with free capacity, and once with all
// workers full according to their reports.
func BenchmarkPlacing(bench *testing.B) {
	for _, agents := range []int{11, 160, 680} {
		for name, heldCPU := range map[string]ptrun.Millicores{"room": 0, "full": 64_000} {
			bench.Run(fmt.Sprintf("%d agents, %s", agents, name), func(bench *testing.B) {
				core := ptassign.New(1)
				for index := range agents {
					core.AgentConnected(agentName(index), 1, service, index%5 == 0, start)
					core.AgentReported(agentName(index), ptassign.AgentState{
						Worker: ptrun.WorkerID(fmt.Sprint("worker", index)), Capacity: ptrun.Demand{CPU: 64_000, Memory: 128_000},
						Held: ptrun.Demand{CPU: heldCPU},
					}, start)
				}
				now := start
				for job := 0; bench.Loop(); job++ {
					now = now.Add(time.Millisecond)
					_, refusal, effects, err := core.Submit(ptassign.Spec{
						Spec: ptgraph.Spec{ID: ptid.JobID(fmt.Sprintf("%016x", job)), MaxAttempts: 3, Steps: []ptgraph.Step{
							{Count: 8, Demand: ptrun.Demand{CPU: 10_000, Memory: 64}, Estimate: 60 * time.Millisecond},
						}},
						Queue: queue, Deadline: now.Add(time.Second),
					}, now)
					if err != nil || refusal != nil {
						bench.Fatal(err, refusal)
					}
					for _, order := range orders(effects) {
						core.RunEnded(order.Agent, ptrun.End{Run: order.Run, Result: ptrun.Done, RunTime: 60 * time.Millisecond}, now)
					}
					if heldCPU > 0 {
						core.Cancel(ptassign.Key{ID: ptid.JobID(fmt.Sprintf("%016x", job))}, now)
					}
				}
			})
		}
	}
}
