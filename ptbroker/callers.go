package ptbroker

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptcaller"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptmetric"
)

// minLoggedCheckGap is the time between two checks of the callers from which on it is logged. A running
// entry checks them at each second tick.
const minLoggedCheckGap = 250 * time.Millisecond

// Detach records that one caller no longer waits for a job. If it was the last caller, the job
// is cancelled.
func (broker *Broker) Detach(handle *JobHandle, caller ptcaller.Caller, reason string) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	if broker.callers.Leave(handle.ID, caller) {
		broker.cancelAbandoned(handle.ID, reason)
	}
}

// cancelAbandoned cancels a job without callers, unless it has ended. The caller of cancelAbandoned holds
// the lock.
func (broker *Broker) cancelAbandoned(id ptid.JobID, reason string) {
	if broker.handles[id] == nil {
		return
	}
	key, now := ptassign.Key{ID: id}, broker.deps.Clock.Now()
	broker.deps.Log.Info("cancelling job without callers", "job", id, "why", reason, "age", now.Sub(broker.core.Job(key).SubmittedAt).String())
	broker.execute(broker.core.Cancel(key, now))
}

// checkCallersIfDue checks the callers of all jobs if that is due. It must be called before anything is
// handled that may lead to orders. The caller holds the lock.
func (broker *Broker) checkCallersIfDue() {
	if broker.callers.IsCheckDue(broker.deps.Clock.Now()) {
		broker.checkCallers()
	}
}

// checkCallers checks the callers of all jobs, cancels the abandoned ones and confirms the others to the
// agents. The caller holds the lock.
func (broker *Broker) checkCallers() {
	now := broker.deps.Clock.Now()
	for _, agent := range broker.agentSessions {
		agent.callersCheckedAt = agent.clock.ToPeerClock(now)
	}
	gap := broker.callers.SinceCheck(now)
	abandoned := broker.callers.Check(now)
	if gap > minLoggedCheckGap {
		broker.deps.Log.Info("callers checked late", "sinceCheck", gap.String(), "jobs", len(broker.handles), "abandoned", len(abandoned))
	}
	broker.deps.Metrics.Counter(ptmetric.AbandonedJobs).Add(len(abandoned))
	for _, id := range abandoned {
		broker.cancelAbandoned(id, "caller found gone by a check")
	}
	for _, agent := range broker.agentSessions {
		agent.session.ConfirmCallers(agent.callersCheckedAt)
	}
}
