package ptsim

import (
	"math"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// HardLoad contains the properties of a setting that the deployments of the first tests don't
// have. The zero value leaves the simulation as it is without them.
type HardLoad struct {
	// Speeds are the speeds that workers can have, drawn at random; the default is workerSpeeds.
	Speeds []float64
	// StragglerShare is the share of the runs that take StragglerFactor times as long.
	StragglerShare, StragglerFactor float64
	Swing                           Swing
	// DontCountLast is the time before the end of the arrivals in which jobs aren't counted.
	DontCountLast time.Duration
	// InspectAt is when Report.Inspected is taken, counted from the start of the arrivals; zero
	// means never.
	InspectAt time.Duration
}

// Inspection is the state of all entries at one instant.
type Inspection struct {
	// WaitingJobs is the number of jobs that wait for capacity. LateJobs is the number of open jobs
	// that have missed their objective, and AbandonedJobs the number of those whose callers have
	// stopped waiting two ticks ago or earlier.
	WaitingJobs, LateJobs, AbandonedJobs int
	// Quarantined adds up, over all entries, the workers that they have quarantined.
	Quarantined int
}

// inspect takes the inspection of all entries.
func (simulation *simulation) inspect() {
	inspected, now := &simulation.report.Inspected, simulation.Now()
	for _, entry := range simulation.entries {
		inspected.WaitingJobs += entry.core.WaitingJobs()
		inspected.Quarantined += len(entry.quarantined)
	}
	for _, caller := range simulation.callers {
		switch {
		case now > caller.submittedAt.Add(simulation.setting.Kinds[caller.kind].CallerTimeout+2*tickInterval):
			inspected.AbandonedJobs++
		case now > caller.objective:
			inspected.LateJobs++
		}
	}
}

// Swing varies the arrival rate as a sine.
type Swing struct {
	// Amplitude is relative to the mean rate. Without an amplitude the rate is constant.
	Amplitude float64
	Period    time.Duration
	// ByZone shifts the phase from zone to zone, so that the load moves between the zones while
	// the total rate stays constant.
	ByZone bool
}

func (swing Swing) factor(elapsed time.Duration, zone, zones int) float64 {
	if swing.Amplitude == 0 {
		return 1
	}
	phase := elapsed.Seconds() / swing.Period.Seconds()
	if swing.ByZone {
		phase += float64(zone) / float64(zones)
	}
	return 1 + swing.Amplitude*math.Sin(2*math.Pi*phase)
}

// WorkReport breaks the outcomes down by the processor time of the jobs, in core-seconds on a
// worker of speed 1.
type WorkReport struct {
	Submitted, InTime, Late float64
	// Feasible is the part of Submitted whose jobs could be in time if all their tasks started at
	// once on workers of the highest speed and did not straggle.
	Feasible float64
	// Capacity is the number of cores of all workers, each multiplied by the worker's speed. Used
	// is what the runs have used of it while jobs were counted.
	Capacity, Used float64
	// RefusedLater counts jobs that were admitted and refused before any run of them started.
	RefusedLater int
	// IdleAtRefusal adds up, over all jobs that were refused on submission, the share of the
	// capacity that was idle. UsableAtRefusal counts only whole tasks of the size of the refused
	// job. RefusedWithRoom counts the refused jobs whose tasks all fitted at that time.
	IdleAtRefusal, UsableAtRefusal float64
	RefusedWithRoom, RefusedNow    int
}

// countedSpan returns the time in which jobs are counted.
func (setting *Setting) countedSpan() time.Duration {
	return setting.Span - setting.CountFrom - setting.DontCountLast
}

// counts reports whether jobs that are submitted at an instant are counted.
func (simulation *simulation) counts(submittedAt ptid.Instant) bool {
	from := start.Add(warmUp + simulation.setting.CountFrom)
	return submittedAt >= from && (simulation.setting.DontCountLast == 0 || submittedAt < from.Add(simulation.setting.countedSpan()))
}

// FluidBound returns the work that could be completed in time if the workers were busy with it all
// the time: the feasible work, or what the capacity lets through.
func (report *WorkReport) FluidBound(setting *Setting) float64 {
	return min(report.Feasible, report.Capacity*setting.countedSpan().Seconds()/setting.straggling())
}

// Utilization returns the used share of the capacity while jobs were counted.
func (report *WorkReport) Utilization(setting *Setting) float64 {
	return report.Used / (report.Capacity * setting.countedSpan().Seconds())
}

// straggling returns the mean factor by which stragglers lengthen the runs.
func (setting *Setting) straggling() float64 {
	return 1 + setting.StragglerShare*(setting.StragglerFactor-1)
}

// recordSubmission records the work of a submitted job whose longest task has the given run time.
func (simulation *simulation) recordSubmission(caller *caller, longest time.Duration) {
	if !simulation.counts(caller.submittedAt) {
		return
	}
	work := &simulation.report.WorkReport
	work.Submitted += caller.work
	deadline := min(caller.objective.Sub(caller.submittedAt), simulation.setting.Kinds[caller.kind].CallerTimeout)
	if time.Duration(float64(longest)/slices.Max(simulation.speeds())) <= deadline {
		work.Feasible += caller.work
	}
}

// recordEnd records the work of a job that was in time or late.
func (simulation *simulation) recordEnd(caller *caller, completed bool) {
	now := simulation.Now()
	switch work := &simulation.report.WorkReport; {
	case !completed || now > caller.expiresAt || !simulation.counts(caller.submittedAt):
	case now <= caller.objective:
		work.InTime += caller.work
	default:
		work.Late += caller.work
	}
}

// sampleUse adds up the used capacity.
func (simulation *simulation) sampleUse() {
	if !simulation.counts(simulation.Now()) {
		return
	}
	for _, agent := range simulation.agents {
		simulation.report.Used += float64(agent.held()) / 1000 * agent.speed * tickInterval.Seconds()
	}
}

// refused records how much capacity was idle when a job was refused on submission.
func (simulation *simulation) refused(spec ptassign.Spec) {
	step := &spec.Steps[0]
	free, usable, capacity, tasks := ptrun.Millicores(0), ptrun.Millicores(0), ptrun.Millicores(0), 0
	for _, agent := range simulation.agents {
		capacity += agent.capacity.CPU
		if agent.down || agent.failing || agent.slowdown > 1 {
			continue
		}
		agentFree := agent.capacity.CPU - agent.held()
		count := int(agentFree / max(1, step.Demand.CPU))
		free, usable, tasks = free+agentFree, usable+ptrun.Millicores(count)*step.Demand.CPU, tasks+count
	}
	work := &simulation.report.WorkReport
	work.IdleAtRefusal += float64(free) / float64(capacity)
	work.UsableAtRefusal += float64(usable) / float64(capacity)
	work.RefusedNow++
	if tasks >= step.Count {
		work.RefusedWithRoom++
	}
}

func (simulation *simulation) speeds() []float64 {
	if speeds := simulation.setting.Speeds; len(speeds) > 0 {
		return speeds
	}
	return workerSpeeds
}

func (simulation *simulation) drawSpeed() float64 {
	speeds := simulation.speeds()
	return speeds[simulation.random.IntN(len(speeds))]
}

// drawStraggling returns the factor by which a run takes longer than its task's run time.
func (simulation *simulation) drawStraggling() float64 {
	if simulation.setting.StragglerShare > 0 && simulation.stragglers.Float64() < simulation.setting.StragglerShare {
		return simulation.setting.StragglerFactor
	}
	return 1
}
