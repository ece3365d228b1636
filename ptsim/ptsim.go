// Package ptsim plays the load of a whole deployment over the decisions of its entries
// and agents (packages ptassign and ptroom), without a network, and tells what callers
// got. It compares policies on the heaviest loads; ptdrill looks for broken promises.
//
// # How it works
//
//  1. Time is simulated. Callers send jobs at random moments; a surge multiplies them.
//     An entry has a share of the callers, which need not be even.
//  2. Orders and ends travel with a delay; agents tell the room as package ptrunner
//     does: with every frame, and alone at a pace that falls with the number of entries.
//  3. A job is in time where it ends within its stretch of its longest task and its
//     target latency, as its callers count it; late up to three times that.
//  4. An entry may have a cost for each message ([Setting.MessageCost]): it handles one
//     after the other, as a small processor does.
//
// # Usage
//
//	report := ptsim.Run(setting)
//	fmt.Println(report.Total.Worth(), report.Entries[0].Worth())
//
// # Limits
//
// Links and processes do not fail here. Workers may be away or fail their runs for a
// while, or be slow ([Fault]).
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
	// tick is that of package ptbroker and package ptrunner.
	tick = 25 * time.Millisecond
	// settleFor is how long after the last job the history goes on.
	settleFor = 5 * time.Second
	// lateWorth is what a late answer is worth against one in time.
	lateWorth = 0.2
	// foundOut is after what time runs on a bad worker count as wasted: a run shows by then
	// that it takes much longer than expected.
	foundOut = 300 * time.Millisecond
)

// Kind is a kind of job.
type Kind struct {
	Name ptid.ProfileName
	// PerSecond is how many jobs come at all entries.
	PerSecond float64
	// MeanTasks is the mean number of tasks, Work their mean run time on a worker of pace 1,
	// CPU what each asks for on average.
	MeanTasks   float64
	MeanRunTime time.Duration
	CPU         ptrun.Millicores
	// Priority, Stretch and TargetLatency are those of the queue.
	Priority      int
	Stretch       float64
	TargetLatency time.Duration
	// CallerTimeout is how long a caller waits.
	CallerTimeout time.Duration
}

// Surge multiplies the jobs of a kind, of all kinds where Kind is empty.
type Surge struct {
	Kind   ptid.ProfileName
	From   time.Duration
	For    time.Duration
	Factor float64
}

// Fault is what workers suffer.
type Fault interface{ isTrouble() }

// Outage takes workers away, without a word, for a while.
type Outage struct {
	Workers int
	From    time.Duration
	For     time.Duration
}

// Failing lets workers fail every run for a while.
type Failing struct {
	Workers int
	From    time.Duration
	For     time.Duration
}

// Slow lets what runs on workers take so many times as long for a while.
type Slow struct {
	Workers int
	From    time.Duration
	For     time.Duration
	Factor  float64
}

func (Outage) isTrouble()  {}
func (Failing) isTrouble() {}
func (Slow) isTrouble()    {}

// Entry is an entry of the deployment.
type Entry struct {
	Zone int
	// Share is the entry's part of the callers against that of the others.
	Share float64
}

// Setting is a load and the deployment that it is played on.
type Setting struct {
	Seed     uint64
	Zones    int
	Entries  []Entry
	Workers  int
	Capacity ptrun.Demand
	Kinds    []Kind
	Surges   []Surge
	Faults   []Fault
	// Span is how long callers send jobs; those are counted that come after CountFrom.
	Span, CountFrom time.Duration
	// InZone and CrossZone are the delays of a message.
	InZone, CrossZone time.Duration
	// MessageCost is the time that an entry's processor takes for a message.
	MessageCost time.Duration
}

// Count is what callers got.
type Count struct {
	Submitted, InTime, Late, Refused, GivenUp int
}

// Utility returns what callers got of what they could have got, from 0 to 1.
func (count Count) Utility() float64 {
	return (float64(count.InTime) + lateWorth*float64(count.Late)) / float64(max(1, count.Submitted))
}

func (count *Count) add(other Count) {
	count.Submitted += other.Submitted
	count.InTime += other.InTime
	count.Late += other.Late
	count.Refused += other.Refused
	count.GivenUp += other.GivenUp
}

// String returns the counts for a test's log.
func (count Count) String() string {
	return fmt.Sprintf("worth %.3f of %d: %d in time, %d late, %d refused, %d given up",
		count.Utility(), count.Submitted, count.InTime, count.Late, count.Refused, count.GivenUp)
}

// Report is what happened.
type Report struct {
	Total Count
	// Entries and Kinds are parts of the total, in the order of the setting.
	Entries []Count
	Kinds   []Count
	// Orders, ReturnedOrders and CapacityReports count messages between entries and agents: orders,
	// those that found no room, and frames that told of the room alone.
	Orders, ReturnedOrders, CapacityReports, CapacityRequests, Acknowledgements, ReservationReports int
	// WastedStarts is how many runs were started on workers that had been failing or slow for
	// [foundOut].
	WastedStarts int
	// IdleShare is the part of the capacity that nothing used while jobs waited.
	IdleShare float64
}

// WeightedUtility returns the worth of the kinds by the processor time that they ask for.
func (report Report) WeightedUtility(setting Setting) (worth float64) {
	sum := 0.0
	for i, kind := range setting.Kinds {
		weight := kind.PerSecond * kind.MeanTasks * kind.MeanRunTime.Seconds() * float64(kind.CPU)
		worth += weight * report.Kinds[i].Utility()
		sum += weight
	}
	return worth / sum
}

// caller is one job's caller.
type caller struct {
	kind      int
	sentAt    ptid.Instant
	objective ptid.Instant
	usefulBy  ptid.Instant
	work      map[ptid.TaskIndex]time.Duration
	entry     *entry
}

// fleet is one history.
type fleet struct {
	*pttimeline.Timeline

	setting Setting
	random  *rand.Rand
	entries []*entry
	agents  []*agent
	callers map[ptid.JobID]*caller
	report  Report
	jobs    int
	// idle and looked add up the part of the capacity that was free while jobs waited.
	idle   float64
	looked int
}

// Run plays a load.
func Run(setting Setting) (report Report) {
	fleet := &fleet{
		Timeline: pttimeline.New(start), setting: setting, random: rand.New(rand.NewPCG(setting.Seed, 11)),
		callers: make(map[ptid.JobID]*caller),
		report:  Report{Entries: make([]Count, len(setting.Entries)), Kinds: make([]Count, len(setting.Kinds))},
	}
	for index := range setting.Entries {
		fleet.entries = append(fleet.entries, fleet.newEntry(index))
	}
	for index := range setting.Workers {
		fleet.agents = append(fleet.agents, fleet.newAgent(index))
	}
	for _, agent := range fleet.agents {
		agent.join()
	}
	for _, trouble := range setting.Faults {
		fleet.plan(trouble)
	}
	fleet.RunUntil(start.Add(settleFor))
	for index := range setting.Entries {
		for kind := range setting.Kinds {
			fleet.arrive(index, kind, fleet.Now())
		}
	}
	fleet.Every(tick, fleet.look)
	fleet.RunUntil(fleet.Now().Add(setting.Span + settleFor))
	for _, count := range fleet.report.Entries {
		fleet.report.Total.add(count)
	}
	fleet.report.IdleShare = fleet.idle / float64(max(1, fleet.looked))
	return fleet.report
}

// CapacityOf returns the processor time that all workers of a setting have, in thousandths
// of a core.
func CapacityOf(setting Setting) (capacity float64) {
	for index := range setting.Workers {
		capacity += sizes[index%len(sizes)] * float64(setting.Capacity.CPU)
	}
	return capacity
}

// look adds up the room that is idle while jobs wait.
func (fleet *fleet) look() {
	waiting := 0
	for _, entry := range fleet.entries {
		waiting += entry.core.WaitingJobs()
	}
	if waiting == 0 {
		return
	}
	free, capacity := 0.0, 0.0
	for _, agent := range fleet.agents {
		capacity += float64(agent.capacity.CPU)
		free += float64(agent.capacity.CPU - agent.held())
	}
	fleet.idle += free / capacity
	fleet.looked++
}

func (fleet *fleet) plan(trouble Fault) {
	change := func(workers int, from, span time.Duration, change func(agent *agent, on bool)) {
		for _, index := range fleet.random.Perm(len(fleet.agents))[:workers] {
			fleet.After(settleFor+from, func() { change(fleet.agents[index], true) })
			fleet.After(settleFor+from+span, func() { change(fleet.agents[index], false) })
		}
	}
	switch trouble := trouble.(type) {
	case Outage:
		change(trouble.Workers, trouble.From, trouble.For, (*agent).goAway)
	case Failing:
		change(trouble.Workers, trouble.From, trouble.For, func(agent *agent, on bool) {
			agent.failing = on
			agent.turnBad(on)
		})
	case Slow:
		change(trouble.Workers, trouble.From, trouble.For, func(agent *agent, on bool) {
			factor := 1.0
			if on {
				factor = trouble.Factor
			}
			agent.slow(factor)
		})
	}
}

// arrive lets the callers of a kind come at an entry, from an instant on.
func (fleet *fleet) arrive(index, kind int, from ptid.Instant) {
	setting := &fleet.setting
	total := 0.0
	for _, entry := range setting.Entries {
		total += entry.Share
	}
	now := fleet.Now()
	rate := setting.Kinds[kind].PerSecond * setting.Entries[index].Share / total
	for _, surge := range setting.Surges {
		if passed := now.Sub(from); (surge.Kind == "" || surge.Kind == setting.Kinds[kind].Name) && passed >= surge.From && passed < surge.From+surge.For {
			rate *= surge.Factor
		}
	}
	fleet.After(time.Duration(fleet.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if fleet.Now().Sub(from) > setting.Span {
			return
		}
		fleet.submit(fleet.entries[index], kind)
		fleet.arrive(index, kind, from)
	})
}

// Spreads of what is drawn, as in the deployments that are played.
const (
	widthSpread    = 0.4
	workSpread     = 0.4
	taskSpread     = 0.15
	cpuSpread      = 0.2
	estimateSpread = 0.4
	usefulFactor   = 3
)

// spread draws a number about 1, never below a tenth.
func (fleet *fleet) spread(width float64) float64 {
	return math.Max(0.1, math.Exp(fleet.random.NormFloat64()*width-width*width/2))
}

// submit sends one job.
func (fleet *fleet) submit(entry *entry, index int) {
	fleet.jobs++
	kind, now := &fleet.setting.Kinds[index], fleet.Now()
	id := ptid.JobID(fmt.Sprintf("%016x", fleet.jobs))
	count := max(1, int(math.Round(kind.MeanTasks*fleet.spread(widthSpread))))
	work := time.Duration(float64(kind.MeanRunTime) * fleet.spread(workSpread))
	caller := &caller{kind: index, sentAt: now, work: make(map[ptid.TaskIndex]time.Duration, count), entry: entry}
	longest := time.Duration(0)
	for task := range count {
		own := time.Duration(float64(work) * fleet.spread(taskSpread))
		caller.work[ptid.TaskIndex(task)] = own
		longest = max(longest, own)
	}
	objective := time.Duration(kind.Stretch*float64(longest)) + kind.TargetLatency
	caller.objective, caller.usefulBy = now.Add(objective), now.Add(usefulFactor*objective)
	fleet.callers[id] = caller
	fleet.count(caller, func(count *Count) { count.Submitted++ })
	spec := ptassign.Spec{
		Spec: ptgraph.Spec{ID: id, MaxAttempts: 4, Steps: []ptgraph.Step{{
			Count: count, Estimate: time.Duration(float64(work) * fleet.spread(estimateSpread)),
			Demand: ptrun.Demand{CPU: ptrun.Millicores(float64(kind.CPU) * fleet.spread(cpuSpread)), Memory: 64},
		}}},
		Queue: ptqueue.Queue{
			Name: kind.Name, Service: service, Priority: kind.Priority, MaxAttempts: 4, Stretch: kind.Stretch, TargetLatency: kind.TargetLatency,
		},
		Deadline: now.Add(kind.CallerTimeout),
	}
	entry.handle(func() { entry.submit(spec) })
}

// count adds to what callers got.
func (fleet *fleet) count(caller *caller, change func(count *Count)) {
	if caller.sentAt < start.Add(settleFor+fleet.setting.CountFrom) {
		return
	}
	change(&fleet.report.Entries[caller.entry.index])
	change(&fleet.report.Kinds[caller.kind])
}

// answered counts the end of a job.
func (fleet *fleet) answered(id ptid.JobID, state ptgraph.State, refused bool) {
	caller := fleet.callers[id]
	delete(fleet.callers, id)
	fleet.count(caller, func(count *Count) {
		switch now := fleet.Now(); {
		case refused:
			count.Refused++
		case state != ptgraph.Completed || now > caller.usefulBy:
			count.GivenUp++
		case now > caller.objective:
			count.Late++
		default:
			count.InTime++
		}
	})
}
