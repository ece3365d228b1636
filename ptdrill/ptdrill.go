// Package ptdrill tests the scheduling decisions about runs (packages ptassign and
// ptruncontrol) in long seeded simulations with faults, and checks invariants at the workers.
//
// # How it works
//
//  1. Time is simulated. Entries, agents and workers exchange messages with delays. All
//     random choices are derived from the seed.
//  2. A process performs nothing while it is paused. Its timers, received frames and responses
//     are handled when it continues; a response and the timeout of its call then arrive in
//     random order. Its clock does not stop.
//  3. Sessions use package ptlink. Frames arrive in order. A cut link delivers its frames after
//     the cut, unless a side has closed the session by then.
//  4. Agents call the worker as package ptrunner does: long polls in one loop, a backup loop
//     after a failed call, start and stop calls with timeouts, and dialing once the core
//     reports that the takeover is complete.
//  5. Runs take 60 ms to 4 s, and four times as long while their worker is slow. They demand CPU
//     and memory. The load keeps the workers 70 % to 100 % full.
//  6. Faults occur at any time and overlap. [Faults] selects their kinds.
//  7. A caller whose connection broke submits its job to a random entry again, after the same
//     delay as the callers of the platform.
//  8. Durable jobs are written to a log. Its partitions are assigned to the entries and
//     reassigned at times. Their owners adopt the runs of their predecessors, store the progress
//     and acknowledge the ends, as in package ptbroker.
//  9. The monitor checks that no task has two active runs at the same time, that no task of a
//     durable job starts after the end of a run as done that is acknowledged then or later, that
//     no start brings a worker over its capacity, of which a reduction counts after
//     shrinkTimeout, that a task of a durable job which crashes its workers is
//     started at most twice after its third crash, that a durable job fails only if a task has
//     used up its attempts or has lost two runs in crashes, that no run starts in a zone that has long
//     been evacuated, and that all jobs and runs end once
//     faults and load have ended.
//
// # Usage
//
//	report, err := ptdrill.Run(ptdrill.Setting{Seed: 1, Steps: 100_000, Faults: ptdrill.Faults{Single: true}})
package ptdrill

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
	"github.com/primrosetiller/primrosetiller/pttimeline"
)

const (
	entries = 3
	agents  = 5
	service = ptid.ServiceName("service")
	// resubmitDelay is the time from the loss of a caller's connection until the caller submits
	// its job again.
	resubmitDelay  = 1300 * time.Millisecond
	tickInterval   = 25 * time.Millisecond
	submitInterval = 100 * time.Millisecond
	// callerTimeout is how long a caller waits for its job.
	callerTimeout = 15 * time.Second
	// settleTime is longer than the latest order and the longest job.
	settleTime = 45 * time.Second
	startTime  = ptid.Instant(time.Hour)
)

// Faults selects the kinds of faults that a simulation injects.
type Faults struct {
	// Single faults: links are cut, a process is killed or paused, a worker crashes or is slow,
	// and a few calls to workers get no response and are carried out up to 6 s late or never.
	Single bool
	// Mass faults: all agents, all entries, or all processes are killed or paused at once, for up
	// to 5 s.
	Mass bool
	// UnansweredOrders: for seconds, 50 % to 95 % of the start orders, of the stop orders, or of
	// the listing calls to one worker or to all workers get no response. They are carried out 2
	// to 12 s late or never.
	UnansweredOrders bool
	// Stalls: a worker responds to nothing for 0.3 to 3 s. Its clock, its lease and its runs go
	// on.
	Stalls bool
	// Mismatches: an agent is restored with an old record of its worker; announcements arrive
	// seconds late; a worker restarts quickly, with another ID or with the same ID.
	Mismatches bool
	// CallerBreaks: many callers lose their connection, in particular with mass faults.
	CallerBreaks bool
	// LateNotice: the entry of a caller that lost its connection notices the loss up to 4 s late.
	LateNotice bool
	// StarvedMachines: for seconds, half of the calls of an agent reach its worker up to 500 ms late,
	// and it handles half of the responses and timeouts as late. They overtake each other.
	StarvedMachines bool
	// RepeatedAnnouncements: a worker is reported as replaced although it is not, and announces
	// itself again.
	RepeatedAnnouncements bool
	// Stragglers: 5 % of the runs take seven times as long. Entries use the speeds of workers, and workers
	// list the progress of runs.
	Stragglers bool
	// CrashingTasks: a task of 3 % of the jobs crashes each worker that starts it, mostly some
	// milliseconds after its start. The worker is back after 1 to 4 s.
	CrashingTasks bool
	// WorkerCuts: a worker responds to nothing for 2 to 12 s, several at a time. Its lease and its runs
	// go on.
	WorkerCuts bool
	// LongCuts: an entry is cut off from some or all agents for 3 to 9 s. It still reaches the log.
	LongCuts bool
	// UnseenAgents: an entry restarts and is cut off from some agents for 8 to 20 s, so it has never had
	// a session with them when it is assigned partitions of other entries: these are killed, cut off from
	// the log for 6 to 14 s, or partitions are reassigned.
	UnseenAgents bool
	// Evacuations: the availability zones of the agents are evacuated and taken back. The store refuses
	// an entry for up to 3 s.
	Evacuations bool
	// ChangingCapacity: the capacity of a worker shrinks to 10 % to 90 % for 1 to 12 s.
	ChangingCapacity bool

	// The following faults break the contract of the workers.

	// FrozenMachines: a worker and its agent stand still for 0.3 to 5 s, including the worker's
	// clock and its runs. The agent's clock goes on.
	FrozenMachines bool
	// LateLeases: a worker ends its runs up to 2 s after the expiry of the lease.
	LateLeases bool
	// LateOrdersToNextWorker: an order that is carried out late reaches the next incarnation of
	// the worker, if that has the same ID.
	LateOrdersToNextWorker bool
}

// Setting holds the settings of a simulation.
type Setting struct {
	Seed   uint64
	Steps  int
	Faults Faults
	// Durable makes 12 % of the jobs durable.
	Durable bool
	// SettleTime replaces settleTime unless it is zero.
	SettleTime time.Duration
	// Trace receives a line for each event of a run, a process and a fault; nil means none.
	Trace func(line string)
}

// Report counts the events of a simulation. GivenUp counts the jobs that ended without
// completing, failing or being refused.
type Report struct {
	Starts, Done, Lapsed, Completed, Failed, Refused, GivenUp, Resubmitted, Faults int
	// Utilization is the mean share of the capacity that the runs held while there was load, in
	// the dimension of which they held more.
	Utilization float64
	Simulated   time.Duration
}

// simulation is the state of one simulation.
type simulation struct {
	*pttimeline.Timeline

	setting Setting
	random  *rand.Rand
	monitor *monitor
	entries [entries]*entry
	agents  [agents]*agent
	// workers contains the worker at each address, and records the worker that is stored for the
	// agent of the address.
	workers [agents]*worker
	records [agents]*ptrun.Worker
	network [agents]network
	// cutUntil is when the link of an entry and an agent is restored.
	cutUntil [entries][agents]ptid.Instant
	// logCutUntil is when an entry reaches the log again.
	logCutUntil [entries]ptid.Instant
	log         *log
	operator    operator
	tasks       map[ptrun.TaskID]taskProperties
	// owners contains the entry process that ordered a run last, by the index of the agent.
	owners  [agents]map[ptrun.ID]ptruncontrol.Owner
	report  Report
	jobs    int
	samples int
	// quiescent means that load and faults have ended.
	quiescent bool
}

// taskProperties is what a worker needs to know to execute a task.
type taskProperties struct {
	demand  ptrun.Demand
	runTime time.Duration
	// crashesAfter is how long after its start the task crashes its worker; zero means never.
	crashesAfter time.Duration
}

// Run simulates the given number of events and returns the report. err describes the first
// violation of an invariant.
func Run(setting Setting) (report Report, err error) {
	simulation := &simulation{
		setting: setting, random: rand.New(rand.NewPCG(setting.Seed, 7)), Timeline: pttimeline.New(startTime),
		monitor: newMonitor(), tasks: make(map[ptrun.TaskID]taskProperties),
	}
	simulation.log = newLog(simulation)
	for index := range entries {
		simulation.startEntry(index)
	}
	for index := range agents {
		simulation.owners[index] = make(map[ptrun.ID]ptruncontrol.Owner)
		simulation.workers[index] = simulation.newWorker(index, "")
		simulation.startAgent(index)
	}
	simulation.Every(tickInterval, simulation.observe)
	simulation.Every(submitInterval, simulation.submitRandomJob)
	simulation.scheduleFaults()
	for step := 0; step < setting.Steps && simulation.monitor.violation == nil; step++ {
		simulation.Step()
	}
	if simulation.monitor.violation == nil {
		simulation.settle()
	}
	simulation.report.Simulated = simulation.Now().Sub(startTime)
	simulation.report.Utilization /= float64(max(1, simulation.samples))
	return simulation.report, errors.Wrapf(simulation.monitor.violation, "seed %d after %s", setting.Seed, simulation.report.Simulated)
}

// settle ends faults and load, and checks after settleTime that no job is open and no run active.
func (simulation *simulation) settle() {
	simulation.quiescent = true
	simulation.takeBackEvacuations()
	simulation.cutUntil = [entries][agents]ptid.Instant{}
	simulation.logCutUntil = [entries]ptid.Instant{}
	simulation.network = [agents]network{}
	settleTime := cmp.Or(simulation.setting.SettleTime, settleTime)
	simulation.RunUntil(simulation.Now().Add(settleTime))
	if open := simulation.log.openJobs(); len(open) > 0 {
		simulation.monitor.fail(errors.Errorf("durable jobs are open %s after the end of load and faults: %v", settleTime, open))
	}
	for _, entry := range simulation.entries {
		if open := entry.core.OpenJobs(); open > 0 {
			simulation.monitor.fail(errors.Errorf("entry %d has %d open jobs %s after the end of load and faults", entry.index, open, settleTime))
		}
	}
	for _, agent := range simulation.agents {
		if !agent.core.Idle() {
			simulation.monitor.fail(errors.Errorf("agent %d has runs %s after the end of load and faults", agent.index, settleTime))
		}
	}
}

// observe checks the workers and measures their utilization.
func (simulation *simulation) observe() {
	for _, worker := range simulation.workers {
		worker.advance()
		if !simulation.quiescent && worker.alive {
			held := worker.held()
			simulation.samples++
			simulation.report.Utilization += max(
				float64(held.CPU)/float64(worker.capacity.CPU), float64(held.Memory)/float64(worker.capacity.Memory))
		}
	}
	simulation.monitor.checkCapacity(simulation)
}

// delay draws the delay of a message.
func (simulation *simulation) delay() time.Duration {
	return time.Duration(100+simulation.random.IntN(1900)) * time.Microsecond
}

// between draws a duration.
func (simulation *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(simulation.random.Int64N(int64(high-low)))
}

// happens reports whether an event of the given probability in percent occurs.
func (simulation *simulation) happens(percent int) bool {
	return simulation.random.IntN(100) < percent
}

func (simulation *simulation) trace(format string, arguments ...any) {
	if simulation.setting.Trace != nil {
		simulation.setting.Trace(fmt.Sprintf("%9.3f ", simulation.Now().Sub(startTime).Seconds()) + fmt.Sprintf(format, arguments...))
	}
}
