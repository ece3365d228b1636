package ptsim

import "time"

// RecoveryStep is the resolution of Report.Recovery, and recoverySteps the number of its steps.
const (
	RecoveryStep  = 250 * time.Millisecond
	recoverySteps = 40
)

// recoverySum adds up the utilization of recovered workers and the mean utilization of all
// workers over samples.
type recoverySum struct{ recovered, all float64 }

// sampleRecovery adds a sample of the utilization of each worker that was slow and is sound again.
func (simulation *simulation) sampleRecovery() {
	held, capacity := 0.0, 0.0
	for _, agent := range simulation.agents {
		held, capacity = held+float64(agent.held()), capacity+float64(agent.capacity.CPU)
	}
	for _, agent := range simulation.agents {
		if agent.recoveredAt == 0 {
			continue
		}
		step := int(simulation.Now().Sub(agent.recoveredAt) / RecoveryStep)
		if step >= recoverySteps {
			continue
		}
		for len(simulation.recovery) <= step {
			simulation.recovery = append(simulation.recovery, recoverySum{})
		}
		simulation.recovery[step].recovered += float64(agent.held()) / float64(agent.capacity.CPU)
		simulation.recovery[step].all += held / capacity
	}
}

// reportRecovery computes Report.Recovery.
func (simulation *simulation) reportRecovery() {
	for _, sum := range simulation.recovery {
		simulation.report.Recovery = append(simulation.report.Recovery, sum.recovered/max(sum.all, 1e-9))
	}
}
