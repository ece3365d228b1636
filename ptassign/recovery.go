package ptassign

import (
	"math"
	"time"

	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// If an entry has measured a slowdown above staleSlowdown times the slowdown that the agent
	// reports, the entry's value approaches the agent's value with the time constant
	// localSlowdownDecay: after this time a third of the difference is left. The agent's value is
	// more reliable, because the agent sees the runs of all entries. Without the decay, a worker
	// that an entry avoids because of its own value gets no runs that would correct this value.
	localSlowdownDecay = 500 * time.Millisecond
	staleSlowdown      = 1.25
	// maxProbeRunTime is the expected run time up to which a task is used as a probe at once. A
	// longer task is used if no shorter one was placed in the first half of the turn.
	maxProbeRunTime = 250 * time.Millisecond
	longProbeDelay  = 125 * time.Millisecond
)

// mergeReport merges an assessment that the agent reports into what this entry has measured.
func (agent *agentRecord) mergeReport(state *AgentState, now ptid.Instant) {
	observed, before, after := &agent.observed, agent.state.Assessment, state.Assessment
	if after.Known() && before.NeedsProbes() && !after.NeedsProbes() {
		observed.recovered(after, now)
	}
	if after.Known() && observed.slowdown > staleSlowdown*max(1, after.Slowdown) {
		target := max(1, after.Slowdown)
		observed.slowdown += (target - observed.slowdown) * (1 - math.Exp(-now.Sub(observed.reportedAt).Seconds()/localSlowdownDecay.Seconds()))
	}
	observed.reportedAt = now
	if !agent.state.MayProbe {
		observed.turnSince = now
	}
}

// recovered discards what the entry has measured before the worker recovered. The agent's verdict
// rests on a run that was placed after that, of this entry or another one.
func (observed *observations) recovered(assessment ptfitness.Assessment, now ptid.Instant) {
	observed.slowdown = min(observed.slowdown, max(1, assessment.Slowdown))
	observed.failureStreak, observed.probing, observed.recoveredAt = 0, false, now
	observed.backoffUntil, observed.nextBackoff = 0, initialBackoff
}

// mustProbe reports whether the entry has the turn to probe the worker. A worker near the threshold of the
// quarantine is probed as well: because of its cost, it would get no runs that show its recovery.
func (agent *agentRecord) mustProbe() bool {
	return agent.state.MayProbe && agent.state.Assessment.NeedsProbes() && len(agent.runs) == 0
}

// probeTarget returns the worker that the task probes; nil if there is none.
//
// The entry with the probe turn must use it even where other workers have free capacity.
// Otherwise a recovered worker would stay in quarantine until the others are full.
func (core *Core) probeTarget(job *Job, task *ptgraph.Task, now ptid.Instant) (chosen *agentRecord) {
	for _, candidate := range core.probeTargets {
		if candidate.service != job.Queue.Service || !candidate.isUsable(now) || !candidate.free().Covers(task.Step.Reservation()) {
			continue
		}
		if core.assessableRunTime(candidate, job, task.Step) == 0 || !meetsConstraints(candidate, job, task) {
			continue
		}
		if core.expectedRunTime(job.Queue.Name, task.Step) > maxProbeRunTime && now.Sub(candidate.observed.turnSince) < longProbeDelay {
			continue
		}
		if _, allowed := ticketFor(candidate, job, task, now); allowed {
			return candidate
		}
	}
	return nil
}
