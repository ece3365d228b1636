package ptassign

import (
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// maxFailureStreak is how many consecutive failures of different jobs start a backoff for
	// a worker.
	maxFailureStreak = 3
	// initialBackoff is the duration of the first backoff, during which a worker gets no tasks.
	// The duration doubles with each further backoff, up to maxBackoff.
	initialBackoff = time.Second
	maxBackoff     = 8 * time.Second
	// slowdownWeight is the weight of the newest run in the moving average of a worker's
	// slowdown.
	slowdownWeight = 0.1
	// A worker gets only one task at a time if the slowdown that the entry has measured is above
	// probeOnlySlowdown times the slowdown that the agent reports, which counts as at least 1. At
	// a slowdown of 2.5, tasks miss an objective of 1.6 times their expected run time.
	probeOnlySlowdown = 2.5
	// A run counts as hanging after hangTimeoutFactor times its expected run time plus
	// hangTimeoutBase.
	hangTimeoutFactor = 3
	hangTimeoutBase   = 100 * time.Millisecond
	// maxTimeoutDoublings bounds how often the hang timeout of a task doubles.
	maxTimeoutDoublings = 10
	// maxTickGap is the longest time between two ticks that counts towards the hang timeout. In
	// a longer gap the entry did not run, and the ends of runs may still be unread.
	maxTickGap = 50 * time.Millisecond
	// quarantineFallbackAfter is how long a durable job waits for other workers before it may
	// use quarantined ones.
	quarantineFallbackAfter = time.Second
	// A backoff of a worker starts when minHangingRuns of its runs hang. Only runs that were
	// placed after the latest end of a run on the worker count. During a probe, one hanging run
	// is enough.
	minHangingRuns = 2
)

// observations are what one entry has observed of a worker through its own runs.
type observations struct {
	// slowdown is the moving average of the ratio of actual to expected run time.
	slowdown      float64
	failureStreak int
	lastFailedJob ptid.JobID
	lastEndAt     ptid.Instant
	nextBackoff   time.Duration
	backoffUntil  ptid.Instant
	probing       bool
	reportedAt    ptid.Instant
	// recoveredAt is when the agent's assessment last showed that the worker has recovered.
	recoveredAt ptid.Instant
	// turnSince is when the entry got its current turn to probe the worker.
	turnSince ptid.Instant
}

func newObservations() observations { return observations{slowdown: 1, nextBackoff: initialBackoff} }

// WorkerQuarantined reports that a worker was quarantined and gets only probe tasks, or that
// its quarantine has ended.
type WorkerQuarantined struct {
	Agent       ptid.AgentName
	Quarantined bool
	Assessment  ptfitness.Assessment
}

func (WorkerQuarantined) isEffect() {}

// updateQuarantine starts and ends the quarantine of workers by the assessments of their
// agents.
func (core *Core) updateQuarantine() {
	if !slices.ContainsFunc(core.sortedAgents, func(agent *agentRecord) bool { return agent.quarantined || agent.state.Assessment.Suspect() }) {
		return
	}
	byService := make(map[ptid.ServiceName][]*agentRecord)
	for _, agent := range core.sortedAgents {
		if agent.isAvailable() && agent.state.Assessment.Known() {
			byService[agent.service] = append(byService[agent.service], agent)
		}
	}
	for _, agents := range byService {
		assessments, before := make([]ptfitness.Assessment, 0, len(agents)), make([]bool, 0, len(agents))
		for _, agent := range agents {
			assessments, before = append(assessments, agent.state.Assessment), append(before, agent.quarantined)
		}
		for index, quarantined := range ptfitness.SelectQuarantined(assessments, before) {
			if agent := agents[index]; agent.quarantined != quarantined {
				agent.quarantined = quarantined
				if !quarantined {
					agent.observed.backoffUntil, agent.observed.nextBackoff = 0, initialBackoff
				}
				core.emit(WorkerQuarantined{Agent: agent.name, Quarantined: quarantined, Assessment: agent.state.Assessment})
			}
		}
	}
}

// acceptsTask reports whether the worker may get a task in addition to its current runs.
func (agent *agentRecord) acceptsTask(now ptid.Instant) bool {
	observed := &agent.observed
	idle := len(agent.runs) == 0 && !observed.probing
	switch {
	case agent.quarantined:
		// The agent limits the rate of probes of all entries.
		return idle && agent.state.MayProbe
	case now < observed.backoffUntil:
		return false
	case observed.backoffUntil > 0 || observed.slowdown > probeOnlySlowdown*max(1, agent.state.Assessment.Slowdown):
		return idle
	default:
		return true
	}
}

// mayUseQuarantined reports whether a job may be placed on quarantined workers. A durable job
// may be, if for [quarantineFallbackAfter] none of its tasks has been placed.
//
// Such a job may need a label, or the capacity for a gang, that only quarantined workers have.
// Running it slowly is better than never running it.
func (core *Core) mayUseQuarantined(job *Job, now ptid.Instant) bool {
	return job.Durable && len(core.quarantinedAgents) > 0 && now.Sub(max(job.SubmittedAt, job.lastPlacedAt)) > quarantineFallbackAfter
}

// isUsableFor reports whether the worker may get a task of the job.
func (core *Core) isUsableFor(agent *agentRecord, job *Job, now ptid.Instant) bool {
	return agent.isUsable(now) || agent.quarantined && agent.isAvailable() && now >= agent.observed.backoffUntil && core.mayUseQuarantined(job, now)
}

// taskPlaced records that a task was placed on the worker.
func (agent *agentRecord) taskPlaced() {
	if agent.observed.backoffUntil > 0 || agent.quarantined {
		agent.observed.probing = true
	}
	agent.state.MayProbe = false
}

// slowdown returns the slowdown that is used for placing. The assessment of the agent counts
// only if it is suspect. Assessments of healthy workers differ with their current tasks. If
// these assessments counted, all entries would choose the same worker, because all entries get
// the same assessments.
func (agent *agentRecord) slowdown() float64 {
	if agent.state.Assessment.Suspect() {
		return max(agent.observed.slowdown, agent.state.Assessment.Slowdown)
	}
	return agent.observed.slowdown
}

// assessableRunTime returns the expected run time of a task if the actual run time can be
// used to assess the worker, otherwise zero.
func (core *Core) assessableRunTime(chosen *agentRecord, job *Job, step *ptgraph.Step) (expected time.Duration) {
	remote := step.PreferredLabel != "" && !slices.Contains(chosen.state.Labels, step.PreferredLabel)
	if step.LongRunning || step.Opportunistic || step.Gang || remote {
		return 0
	}
	return core.expectedRunTime(job.Queue.Name, step)
}

func (observed *observations) runDiscarded() { observed.probing = false }

// runDone records the end of a run that took ratio times its expected run time. The ratio of a run
// that was placed before the worker recovered is not counted.
func (observed *observations) runDone(ratio float64, placedAt, now ptid.Instant) {
	if placedAt >= observed.recoveredAt {
		observed.slowdown += slowdownWeight * (min(ratio, 10) - observed.slowdown)
	}
	observed.failureStreak, observed.lastEndAt, observed.probing = 0, now, false
	observed.backoffUntil, observed.nextBackoff = 0, initialBackoff
}

// runFailed counts a failure. Consecutive failures of the same job count once, since the job
// may be the cause. During a probe, every failure starts a backoff.
func (observed *observations) runFailed(job ptid.JobID, now ptid.Instant) {
	observed.lastEndAt = now
	if job != observed.lastFailedJob || observed.probing {
		observed.failureStreak++
	}
	observed.lastFailedJob = job
	if observed.failureStreak >= maxFailureStreak || observed.probing {
		observed.startBackoff(now)
	}
}

func (observed *observations) startBackoff(now ptid.Instant) {
	observed.probing, observed.failureStreak = false, 0
	observed.backoffUntil = now.Add(observed.nextBackoff)
	observed.nextBackoff = min(2*observed.nextBackoff, maxBackoff)
}

// hangTimeout returns how long a run of the task may take before it counts as hanging.
func hangTimeout(task *ptgraph.Task, expected time.Duration) time.Duration {
	return (hangTimeoutFactor*expected + hangTimeoutBase) << min(task.TimedOutRuns, maxTimeoutDoublings)
}

// extendHangDeadlines extends the deadlines by the time since the last tick in which the entry
// did not run.
func (core *Core) extendHangDeadlines(now ptid.Instant) {
	lastTickAt := core.lastTickAt
	core.lastTickAt = now
	if now.Sub(lastTickAt) <= maxTickGap {
		return
	}
	for _, agent := range core.sortedAgents {
		for _, run := range agent.runs {
			if pause := now.Sub(max(lastTickAt, run.placedAt)) - maxTickGap; pause > 0 {
				run.hangsAt = run.hangsAt.Add(pause)
			}
		}
	}
}

// awaitsVerdict reports whether the agent waits for its worker, to know whether the run has crashed it.
func (agent *agentRecord) awaitsVerdict(run *placedRun) bool {
	return run.isolated && agent.state.Unusable
}

// stopHangingRuns starts a backoff for a worker on which runs hang, and stops these runs.
func (core *Core) stopHangingRuns(agent *agentRecord, now ptid.Instant) {
	hanging := 0
	for _, run := range agent.runs {
		if !run.stopped && !run.task.Step.LongRunning && run.placedAt > agent.observed.lastEndAt && now > run.hangsAt && !agent.awaitsVerdict(run) {
			hanging++
		}
	}
	if hanging < minHangingRuns && (hanging == 0 || !agent.observed.probing) {
		return
	}
	agent.observed.startBackoff(now)
	for _, id := range sortedRuns(agent.runs) {
		if run := agent.runs[id]; !run.stopped && !run.task.Step.LongRunning && now > run.hangsAt && !agent.awaitsVerdict(run) {
			run.task.TimedOutRuns++
			core.stopRun(agent, id, run, ptrun.ReasonUnanswered)
		}
	}
}
