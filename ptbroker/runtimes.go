package ptbroker

import (
	"sync/atomic"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptruntime"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// runTimesInterval is the interval at which the learned run times are copied for the sessions.
const runTimesInterval = ptruntime.SendInterval / 4

// runTimes is what the broker exchanges with agents about learned run times.
type runTimes struct {
	// learned is a copy of what the core has learned. Frames are prepared without the lock of the core.
	learned atomic.Pointer[[]ptruntime.Value]
	// copiedAt and adopted are guarded by the lock of the broker. adopted is true once values were adopted.
	copiedAt ptid.Instant
	adopted  bool
}

// copyRunTimes copies what the core has learned for the sessions. The caller holds the lock.
func (broker *Broker) copyRunTimes(now ptid.Instant) {
	if now.Sub(broker.runTimes.copiedAt) < runTimesInterval {
		return
	}
	values := broker.core.AppendRunTimes(nil)
	broker.runTimes.learned.Store(&values)
	broker.runTimes.copiedAt = now
}

// runTimesToSend returns what the next frame to the agent says about learned run times.
func (agent *agentSession) runTimesToSend(now ptid.Instant) []*ptwire.QueueRunTime {
	learned := agent.broker.runTimes.learned.Load()
	if learned == nil {
		return nil
	}
	return ptruntime.Messages(agent.runTimes.ToSend(*learned, now))
}

// adoptRunTimes processes the run times in the greeting of an agent, before the agent's session is
// registered: the core may place tasks on its worker from then on.
func (broker *Broker) adoptRunTimes(agent *agentSession, messages []*ptwire.QueueRunTime) {
	values := ptruntime.FromMessages(messages)
	if len(values) == 0 {
		return
	}
	broker.mu.Lock()
	defer broker.mu.Unlock()
	queues := broker.core.AdoptRunTimes(values)
	if queues > 0 && !broker.runTimes.adopted {
		broker.runTimes.adopted = true
		broker.deps.Log.Info("learned run times adopted", "queues", queues, "agent", agent.name())
	}
}
