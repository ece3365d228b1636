// Package ptsim simulates the load of a whole deployment on the scheduling decisions of its
// entries and agents (packages ptassign and ptruncontrol), without a network, and reports the
// outcomes for callers. It is used to compare policies under the heaviest loads. Package
// ptdrill checks invariants under faults.
//
// # How it works
//
//  1. Time is simulated. Jobs arrive as a Poisson process; a surge multiplies the arrival
//     rate. Each entry gets a share of the jobs, and the shares may differ.
//  2. Orders and run ends arrive after a delay. Agents report capacity as in package
//     ptrunner: with every frame, and in frames of their own at a rate that decreases with
//     the number of entries.
//  3. The objective of a job is the run time of its longest task times the stretch of the
//     queue, plus the target latency of the queue. A job that completes within its objective
//     is in time; one that completes within three times its objective is late. Both are
//     measured from the submission by the caller.
//  4. An entry may need processor time for each message ([Setting.MessageCost]). It then
//     handles messages one after the other, like a small processor.
//
// # Usage
//
//	report := ptsim.Run(setting)
//	fmt.Println(report.Total.Utility(), report.Entries[0].Utility())
//
// # Limits
//
// Links and entries do not fail. Workers can have an outage, fail their runs or be slow for
// a limited time ([Fault]).
package ptsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/pttimeline"
)

const (
	service = ptid.ServiceName("service")
	start   = ptid.Instant(time.Hour)
	// tickInterval is the tick interval of packages ptbroker and ptrunner.
	tickInterval = 25 * time.Millisecond
	// warmUp is the simulated time before the start of the arrivals, and also the time for
	// which the simulation continues after their end.
	warmUp = 5 * time.Second
	// lateUtility is the utility of a late job; a job in time has a utility of 1.
	lateUtility = 0.2
	// faultDetectionTime is the time within which a slow or failing worker can be detected. By
	// then, a run on a slow worker has taken much longer than expected. Runs that start on a
	// faulty worker after this time count as wasted.
	faultDetectionTime = 300 * time.Millisecond
)

// Kind describes the jobs of one queue.
type Kind struct {
	Name ptid.ProfileName
	// PerSecond is the arrival rate at all entries together, in jobs per second.
	PerSecond float64
	// MeanTasks is the mean number of tasks of a job, MeanRunTime the mean run time of a task
	// on a worker of speed 1, CPU the mean CPU demand of a task.
	MeanTasks   float64
	MeanRunTime time.Duration
	CPU         ptrun.Millicores
	// Priority, Stretch and TargetLatency are settings of the queue.
	Priority      int
	Stretch       float64
	TargetLatency time.Duration
	// CallerTimeout is the time from the submission of a job to its deadline.
	CallerTimeout time.Duration
	// Value is the value of a job in time; zero if only the processor time of jobs is weighed.
	Value float64
}

// Surge multiplies the arrival rate of a kind by Factor. It begins From after the start of the
// arrivals and lasts for the duration For. An empty Kind selects all kinds.
type Surge struct {
	Kind   ptid.ProfileName
	From   time.Duration
	For    time.Duration
	Factor float64
}

// Fault is a fault of randomly chosen workers. The field From of a fault is the time from the
// start of the arrivals to the start of the fault. The field For is the duration of the fault.
type Fault interface{ isFault() }

// Outage stops workers and their agents without a shutdown; afterwards new incarnations start.
type Outage struct {
	Workers int
	From    time.Duration
	For     time.Duration
}

// Failing makes workers fail every run.
type Failing struct {
	Workers int
	From    time.Duration
	For     time.Duration
}

// Slow multiplies the run times on workers by Factor.
type Slow struct {
	Workers int
	From    time.Duration
	For     time.Duration
	Factor  float64
}

func (Outage) isFault()  {}
func (Failing) isFault() {}
func (Slow) isFault()    {}

// Entry describes an entry of the deployment.
type Entry struct {
	Zone int
	// Share is the entry's share of the jobs, relative to the shares of the other entries.
	Share float64
}

// Setting describes the load and the deployment that are simulated.
type Setting struct {
	Seed     uint64
	Zones    int
	Entries  []Entry
	Workers  int
	Capacity ptrun.Demand
	Kinds    []Kind
	Surges   []Surge
	Faults   []Fault
	// Span is the duration of the arrivals. Only jobs that arrive after CountFrom are counted.
	Span, CountFrom time.Duration
	// InZone and CrossZone are the delays of a message within an availability zone and between
	// two zones.
	InZone, CrossZone time.Duration
	// MessageCost is the processor time that an entry needs for each message.
	MessageCost time.Duration
	HardLoad
	// PlaceBySpeed makes the entries use the speeds of the workers.
	PlaceBySpeed bool
	Locality     Locality
}

// Count is the number of jobs by outcome. GivenUp counts the jobs that did not complete, or
// completed after three times their objective.
type Count struct {
	Submitted, InTime, Late, Refused, GivenUp int
}

// Utility returns the mean utility of the submitted jobs, from 0 to 1.
func (count Count) Utility() float64 {
	return (float64(count.InTime) + lateUtility*float64(count.Late)) / float64(max(1, count.Submitted))
}

func (count *Count) add(other Count) {
	count.Submitted += other.Submitted
	count.InTime += other.InTime
	count.Late += other.Late
	count.Refused += other.Refused
	count.GivenUp += other.GivenUp
}

// String returns the counts for the log of a test.
func (count Count) String() string {
	return fmt.Sprintf("utility %.3f, %d submitted: %d in time, %d late, %d refused, %d given up",
		count.Utility(), count.Submitted, count.InTime, count.Late, count.Refused, count.GivenUp)
}

// Report is the result of a simulation.
type Report struct {
	Total Count
	// Entries and Kinds break Total down by entry and by kind, in the order of the setting.
	Entries []Count
	Kinds   []Count
	// Orders counts start orders. ReturnedOrders counts the orders that an agent returned
	// without starting the run. CapacityReports, CapacityRequests and Acknowledgements count
	// the frames that were sent only to report capacity, to request capacity or to acknowledge
	// a frame. ReservationReports counts frames that report capacity reserved for a waiting
	// entry.
	Orders, ReturnedOrders, CapacityReports, CapacityRequests, Acknowledgements, ReservationReports int
	// WastedStarts is the number of runs that started on workers that had been failing or
	// slow for longer than [faultDetectionTime]. WastedProbes is the part of it that started on
	// workers without other runs.
	WastedStarts, WastedProbes int
	// LocalityOutcomes counts the choices between near and far workers.
	LocalityOutcomes map[ptassign.LocalityOutcome]int
	// StoppedStragglers is the number of runs that agents have stopped as stragglers.
	StoppedStragglers int
	// IdleShare is the mean share of the capacity that was idle while jobs were waiting.
	IdleShare float64
	// Recovery is the utilization of workers that were slow and are sound again, relative to the
	// mean utilization of all workers, by time since their recovery in steps of [RecoveryStep].
	Recovery []float64
	WorkReport
	Inspected Inspection
}

// WeightedUtility returns the utility of all kinds, weighted by the value of their jobs or, if
// the kinds have no values, by the processor time that their jobs request.
func (report Report) WeightedUtility(setting Setting) (utility float64) {
	totalWeight := 0.0
	for i, kind := range setting.Kinds {
		weight := kind.PerSecond * kind.MeanTasks * kind.MeanRunTime.Seconds() * float64(kind.CPU)
		if kind.Value > 0 {
			weight = kind.PerSecond * kind.Value
		}
		utility += weight * report.Kinds[i].Utility()
		totalWeight += weight
	}
	return utility / totalWeight
}

// caller is the caller of one job.
type caller struct {
	kind        int
	submittedAt ptid.Instant
	objective   ptid.Instant
	expiresAt   ptid.Instant
	runTimes    map[ptid.TaskIndex]time.Duration
	entry       *entry
	// work is the processor time that the job needs on workers of speed 1, in core-seconds.
	work float64
	// preferred is the label of the rack that holds the job's data; empty if there is none.
	preferred string
}

// simulation is the state of one simulation.
type simulation struct {
	*pttimeline.Timeline

	setting Setting
	random  *rand.Rand
	// stragglers has a state of its own, so that the jobs of a setting don't depend on the runs.
	stragglers *rand.Rand
	entries    []*entry
	agents     []*agent
	callers    map[ptid.JobID]*caller
	report     Report
	jobs       int
	// idleSum adds up the idle share of the capacity over the samples taken while jobs were
	// waiting; idleSamples counts these samples.
	idleSum     float64
	idleSamples int
	recovery    []recoverySum
}

// Run simulates a load and returns the outcomes.
func Run(setting Setting) (report Report) {
	simulation := &simulation{
		Timeline: pttimeline.New(start), setting: setting, random: rand.New(rand.NewPCG(setting.Seed, 11)), stragglers: rand.New(rand.NewPCG(setting.Seed, 12)),
		callers: make(map[ptid.JobID]*caller),
		report:  Report{Entries: make([]Count, len(setting.Entries)), Kinds: make([]Count, len(setting.Kinds)), LocalityOutcomes: make(map[ptassign.LocalityOutcome]int)},
	}
	for index := range setting.Entries {
		simulation.entries = append(simulation.entries, simulation.newEntry(index))
	}
	for index := range setting.Workers {
		simulation.agents = append(simulation.agents, simulation.newAgent(index))
		simulation.report.Capacity += simulation.agents[index].speed * float64(simulation.agents[index].capacity.CPU) / 1000
	}
	for _, agent := range simulation.agents {
		agent.startProcess()
	}
	for _, fault := range setting.Faults {
		simulation.scheduleFault(fault)
	}
	simulation.RunUntil(start.Add(warmUp))
	for index := range setting.Entries {
		for kind := range setting.Kinds {
			simulation.scheduleArrival(index, kind, simulation.Now())
		}
	}
	simulation.Every(tickInterval, simulation.sampleIdleCapacity)
	simulation.Every(tickInterval, simulation.sampleRecovery)
	simulation.Every(tickInterval, simulation.sampleUse)
	if setting.InspectAt > 0 {
		simulation.After(setting.InspectAt, simulation.inspect)
	}
	simulation.RunUntil(simulation.Now().Add(setting.Span + warmUp))
	for _, count := range simulation.report.Entries {
		simulation.report.Total.add(count)
	}
	simulation.reportRecovery()
	simulation.report.IdleShare = simulation.idleSum / float64(max(1, simulation.idleSamples))
	return simulation.report
}

// CapacityOf returns the total CPU capacity of the workers of a setting, in thousandths of a
// core.
func CapacityOf(setting Setting) (capacity float64) {
	for index := range setting.Workers {
		capacity += capacityFactors[index%len(capacityFactors)] * float64(setting.Capacity.CPU)
	}
	return capacity
}

// sampleIdleCapacity adds a sample of the idle share of the capacity if jobs are waiting.
func (simulation *simulation) sampleIdleCapacity() {
	waiting := 0
	for _, entry := range simulation.entries {
		waiting += entry.core.WaitingJobs()
	}
	if waiting == 0 {
		return
	}
	free, capacity := 0.0, 0.0
	for _, agent := range simulation.agents {
		capacity += float64(agent.capacity.CPU)
		free += float64(agent.capacity.CPU - agent.held())
	}
	simulation.idleSum += free / capacity
	simulation.idleSamples++
}

func (simulation *simulation) scheduleFault(fault Fault) {
	schedule := func(workers int, from, span time.Duration, setFault func(agent *agent, on bool)) {
		for _, index := range simulation.random.Perm(len(simulation.agents))[:workers] {
			simulation.After(warmUp+from, func() { setFault(simulation.agents[index], true) })
			simulation.After(warmUp+from+span, func() { setFault(simulation.agents[index], false) })
		}
	}
	switch fault := fault.(type) {
	case Outage:
		schedule(fault.Workers, fault.From, fault.For, (*agent).setDown)
	case Failing:
		schedule(fault.Workers, fault.From, fault.For, func(agent *agent, on bool) {
			agent.failing = on
			agent.setFaulty(on)
		})
	case Slow:
		schedule(fault.Workers, fault.From, fault.For, func(agent *agent, on bool) {
			factor := 1.0
			if on {
				factor = fault.Factor
			}
			agent.setSlowdown(factor)
		})
	}
}

// scheduleArrival schedules the next arrival of a job of a kind at an entry. Each arrival
// schedules the following arrival. from is the instant at which the arrivals began.
func (simulation *simulation) scheduleArrival(index, kind int, from ptid.Instant) {
	setting := &simulation.setting
	total := 0.0
	for _, entry := range setting.Entries {
		total += entry.Share
	}
	now := simulation.Now()
	rate := setting.Kinds[kind].PerSecond * setting.Entries[index].Share / total
	for _, surge := range setting.Surges {
		if elapsed := now.Sub(from); (surge.Kind == "" || surge.Kind == setting.Kinds[kind].Name) && elapsed >= surge.From && elapsed < surge.From+surge.For {
			rate *= surge.Factor
		}
	}
	rate *= setting.Swing.factor(now.Sub(from), setting.Entries[index].Zone, setting.Zones)
	simulation.After(time.Duration(simulation.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if simulation.Now().Sub(from) > setting.Span {
			return
		}
		simulation.submit(simulation.entries[index], kind)
		simulation.scheduleArrival(index, kind, from)
	})
}

// Parameters of the random draws, with the values of the deployments that are simulated. Each
// sigma is the standard deviation of the logarithm of a factor. expiryFactor is no parameter of
// a draw: it equals ptassign.ExpiryFactor.
const (
	taskCountSigma   = 0.4
	jobRunTimeSigma  = 0.4
	taskRunTimeSigma = 0.15
	demandSigma      = 0.2
	estimateSigma    = 0.4
	expiryFactor     = 3
)

// randomFactor draws a lognormal factor with a mean of 1 and a lower bound of 0.1.
func (simulation *simulation) randomFactor(sigma float64) float64 {
	return math.Max(0.1, math.Exp(simulation.random.NormFloat64()*sigma-sigma*sigma/2))
}

// submit draws a job of a kind and submits it to an entry.
func (simulation *simulation) submit(entry *entry, kindIndex int) {
	simulation.jobs++
	kind, now := &simulation.setting.Kinds[kindIndex], simulation.Now()
	id := ptid.JobID(fmt.Sprintf("%016x", simulation.jobs))
	count := max(1, int(math.Round(kind.MeanTasks*simulation.randomFactor(taskCountSigma))))
	meanRunTime := time.Duration(float64(kind.MeanRunTime) * simulation.randomFactor(jobRunTimeSigma))
	caller := &caller{kind: kindIndex, submittedAt: now, runTimes: make(map[ptid.TaskIndex]time.Duration, count), entry: entry, preferred: simulation.preferredRack(kind.Name)}
	longest, total := time.Duration(0), time.Duration(0)
	for task := range count {
		runTime := time.Duration(float64(meanRunTime) * simulation.randomFactor(taskRunTimeSigma))
		caller.runTimes[ptid.TaskIndex(task)] = runTime
		longest, total = max(longest, runTime), total+runTime
	}
	objective := time.Duration(kind.Stretch*float64(longest)) + kind.TargetLatency
	caller.objective, caller.expiresAt = now.Add(objective), now.Add(expiryFactor*objective)
	simulation.callers[id] = caller
	estimate := time.Duration(float64(meanRunTime) * simulation.randomFactor(estimateSigma))
	demand := ptrun.Demand{CPU: ptrun.Millicores(float64(kind.CPU) * simulation.randomFactor(demandSigma)), Memory: 64}
	caller.work = total.Seconds() * float64(demand.CPU) / 1000
	simulation.record(caller, func(count *Count) { count.Submitted++ })
	simulation.recordSubmission(caller, longest)
	spec := ptassign.Spec{
		Spec: ptgraph.Spec{ID: id, MaxAttempts: 4, Steps: []ptgraph.Step{{
			Count: count, Estimate: estimate, Demand: demand, PreferredLabel: caller.preferred,
		}}},
		Queue: ptqueue.Queue{
			Name: kind.Name, Service: service, Priority: kind.Priority, MaxAttempts: 4, Stretch: kind.Stretch, TargetLatency: kind.TargetLatency,
		},
		Deadline: now.Add(kind.CallerTimeout),
	}
	entry.process(func() { entry.submit(spec) })
}

// record applies change to the counts of the job's entry and of the job's kind. Jobs that arrived
// before CountFrom are ignored.
func (simulation *simulation) record(caller *caller, change func(count *Count)) {
	if !simulation.counts(caller.submittedAt) {
		return
	}
	change(&simulation.report.Entries[caller.entry.index])
	change(&simulation.report.Kinds[caller.kind])
}

// jobEnded records the outcome of a job.
func (simulation *simulation) jobEnded(id ptid.JobID, state ptgraph.State, refused bool) {
	caller := simulation.callers[id]
	delete(simulation.callers, id)
	simulation.record(caller, func(count *Count) {
		switch now := simulation.Now(); {
		case refused:
			count.Refused++
		case state != ptgraph.Completed || now > caller.expiresAt:
			count.GivenUp++
		case now > caller.objective:
			count.Late++
		default:
			count.InTime++
		}
	})
	simulation.recordEnd(caller, state == ptgraph.Completed)
}
