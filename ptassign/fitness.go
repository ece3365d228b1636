package ptassign

import (
	"math"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// streakLimit is how many failures of different jobs in a row isolate a worker.
	streakLimit = 3
	// firstIsolation is the first time without work; it doubles up to longestIsolation.
	firstIsolation   = time.Second
	longestIsolation = 8 * time.Second
	// paceRate is the weight of the newest run in a worker's pace.
	paceRate = 0.1
	// slowPace is the pace from which a worker gets single probes only: its tasks miss
	// an objective of 1.6 times their work.
	slowPace = 2.5
	// hangFactor and hangFloor say when a run counts as late beyond doubt.
	hangFactor = 3
	hangFloor  = 100 * time.Millisecond
	// mostPatience bounds how often the patience with a task doubles.
	mostPatience = 10
	// ownMemory is how long an entry's own view of a pace outlasts what the agent says, which
	// sees more: a third of it is left after that time.
	ownMemory = time.Second
	// lastResortAfter is how long a kept job waits for sound workers.
	lastResortAfter = time.Second
	// hangRuns is how many late runs without any end in between make a worker hang.
	hangRuns = 2
)

// fitness is what one entry has learned of a worker.
type fitness struct {
	// pace is the average of run times over the expected ones.
	pace      float64
	streak    int
	lastFail  ptid.JobID
	lastEndAt ptid.Instant
	isolation time.Duration
	until     ptid.Instant
	probing   bool
	toldAt    ptid.Instant
}

func newFitness() fitness { return fitness{pace: 1, isolation: firstIsolation} }

// WorkerQuarantined tells that a worker gets no ordinary work any more, or gets it again.
type WorkerQuarantined struct {
	Agent       ptid.AgentName
	Quarantined bool
	Assessment  ptfitness.Assessment
}

func (WorkerQuarantined) isEffect() {}

// weighWords sets workers aside by what their agents say, and takes them back.
func (core *Core) weighWords() {
	if !slices.ContainsFunc(core.ordered, func(known *agent) bool { return known.aside || known.state.Assessment.Suspect() }) {
		return
	}
	judged := make(map[ptid.ServiceName][]*agent)
	for _, known := range core.ordered {
		if known.isThere() && known.state.Assessment.Known() {
			judged[known.service] = append(judged[known.service], known)
		}
	}
	for _, agents := range judged {
		words := make([]ptfitness.Assessment, 0, len(agents))
		for _, known := range agents {
			words = append(words, known.state.Assessment)
		}
		for index, aside := range ptfitness.SelectQuarantined(words) {
			if known := agents[index]; known.aside != aside {
				known.aside = aside
				if !aside {
					known.fitness.until, known.fitness.isolation = 0, firstIsolation
				}
				core.emit(WorkerQuarantined{Agent: known.name, Quarantined: aside, Assessment: known.state.Assessment})
			}
		}
	}
}

// admits reports whether the worker may get a task beside those that it has.
func (agent *agent) admits(now ptid.Instant) bool {
	fitness := &agent.fitness
	alone := len(agent.runs) == 0 && !fitness.probing
	switch {
	case agent.aside:
		// The agent paces the tries of all entries.
		return alone && agent.state.MayProbe
	case now < fitness.until:
		return false
	case fitness.until > 0 || fitness.pace > slowPace*max(1, agent.state.Assessment.Slowdown):
		return alone
	default:
		return true
	}
}

// isLastResortDue reports whether a job may use workers that are set aside.
//
// It answers kept jobs that need what only bad workers have, as a label or the room of a
// gang: they must be done some time, and slowly is better than not.
func (core *Core) isLastResortDue(job *Job, now ptid.Instant) bool {
	return job.Durable && len(core.lastResort) > 0 && now.Sub(max(job.SubmittedAt, job.lastPlacedAt)) > lastResortAfter
}

// usableFor reports whether the worker may get a task of a job.
func (core *Core) usableFor(agent *agent, job *Job, now ptid.Instant) bool {
	return agent.usable(now) || agent.aside && agent.isThere() && now >= agent.fitness.until && core.isLastResortDue(job, now)
}

// placed records that a task was placed on the worker.
func (agent *agent) placed() {
	if agent.fitness.until > 0 || agent.aside {
		agent.fitness.probing = true
	}
	agent.state.MayProbe = false
}

// pace returns how slow the worker is. What the agent says counts where that is bad: words
// of sound workers differ by what just runs there, and entries that all hear the same would
// all choose the same worker.
func (agent *agent) pace() float64 {
	if agent.state.Assessment.Suspect() {
		return max(agent.fitness.pace, agent.state.Assessment.Slowdown)
	}
	return agent.fitness.pace
}

// told lets an own view of a slow worker fade towards what the agent says.
func (fitness *fitness) told(word ptfitness.Assessment, now ptid.Instant) {
	if word.Known() && fitness.pace > max(slowPace, word.Slowdown) {
		fitness.pace += (word.Slowdown - fitness.pace) * (1 - math.Exp(-now.Sub(fitness.toldAt).Seconds()/ownMemory.Seconds()))
	}
	fitness.toldAt = now
}

// telling returns the expected run time of a task where it tells something of the worker.
func (core *Core) telling(chosen *agent, job *Job, step *ptgraph.Step) (expected time.Duration) {
	remote := step.PreferredLabel != "" && !slices.Contains(chosen.state.Labels, step.PreferredLabel)
	if step.LongRunning || step.Opportunistic || step.Gang || remote {
		return 0
	}
	return core.expected(job.Queue.Name, step)
}

func (fitness *fitness) returned() { fitness.probing = false }

func (fitness *fitness) done(ratio float64, now ptid.Instant) {
	fitness.pace += paceRate * (min(ratio, 10) - fitness.pace)
	fitness.streak, fitness.lastEndAt, fitness.probing = 0, now, false
	fitness.until, fitness.isolation = 0, firstIsolation
}

// failed counts a failure. Failures of one job in a row count once: the fault may be
// the job's.
func (fitness *fitness) failed(job ptid.JobID, now ptid.Instant) {
	fitness.lastEndAt = now
	if job != fitness.lastFail || fitness.probing {
		fitness.streak++
	}
	fitness.lastFail = job
	if fitness.streak >= streakLimit || fitness.probing {
		fitness.isolate(now)
	}
}

func (fitness *fitness) isolate(now ptid.Instant) {
	fitness.probing, fitness.streak = false, 0
	fitness.until = now.Add(fitness.isolation)
	fitness.isolation = min(2*fitness.isolation, longestIsolation)
}

// watch isolates a worker on which tasks stand still, and stops these.
func (core *Core) watch(known *agent, now ptid.Instant) {
	late := 0
	for _, run := range known.runs {
		if !run.stopped && !run.task.Step.LongRunning && run.at > known.fitness.lastEndAt && isLate(run, now) {
			late++
		}
	}
	if late < hangRuns && (late == 0 || !known.fitness.probing) {
		return
	}
	known.fitness.isolate(now)
	for _, id := range sortedRuns(known.runs) {
		if run := known.runs[id]; !run.stopped && !run.task.Step.LongRunning && isLate(run, now) {
			run.task.TimedOutRuns++
			core.stop(known, id, run, ptrun.ReasonUnanswered)
		}
	}
}

func isLate(run *sent, now ptid.Instant) bool {
	patience := hangFactor*run.expected + hangFloor
	return now.Sub(run.at) > patience<<min(run.task.TimedOutRuns, mostPatience)
}
