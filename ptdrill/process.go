package ptdrill

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// process is one incarnation of a simulated entry or agent.
type process struct {
	simulation  *simulation
	incarnation ptid.Incarnation
	alive       bool
	pausedUntil ptid.Instant
}

// resumeJitter is the time within which a process that continues handles what has become due in
// the meantime.
const resumeJitter = 3 * time.Millisecond

// handle performs an action of the process as soon as the process runs. Actions that become due
// during a pause are performed in random order. The actions of a killed process are dropped.
func (process *process) handle(action func()) {
	simulation := process.simulation
	switch {
	case !process.alive:
	case process.pausedUntil > simulation.Now():
		simulation.After(process.pausedUntil.Sub(simulation.Now())+simulation.between(0, resumeJitter), func() { process.handle(action) })
	default:
		action()
	}
}

// after performs an action of the process after a wait.
func (process *process) after(wait time.Duration, action func()) {
	process.simulation.After(wait, func() { process.handle(action) })
}

// every performs an action of the process at a fixed interval.
func (process *process) every(interval time.Duration, action func()) {
	process.after(interval, func() {
		action()
		process.every(interval, action)
	})
}

func (process *process) pause(duration time.Duration) {
	process.pausedUntil = max(process.pausedUntil, process.simulation.Now().Add(duration))
}
