package ptsim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptroom"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// orderTime is what an order to the worker beside an agent takes.
	orderTime = 500 * time.Microsecond
	// listInterval is that at which the worker's lease is renewed.
	listInterval = 100 * time.Millisecond
	// foundAfter is how long a worker that is away without a word stays unnoticed.
	foundAfter = 500 * time.Millisecond
)

// paces are the speeds of the workers, by turns, and sizes their capacities.
var (
	paces = []float64{0.8, 1, 1.25}
	sizes = []float64{1, 1, 1.5}
)

// peer is what an agent knows of an entry.
type peer struct {
	told   ptroom.CapacityReport
	toldAt ptid.Instant
}

// agent is a simulated agent process with its worker.
type agent struct {
	fleet       *fleet
	index       int
	core        *ptroom.Core
	incarnation ptid.Incarnation
	bornAt      ptid.Instant
	capacity    ptrun.Demand
	pace        float64
	peers       []peer
	running     map[ptrun.ID]*work
	ends        ptrun.EndSequence
	away        bool
	failing     bool
	// slowness is how many times as long work takes; badSince is since when the worker
	// fails or is slow.
	slowness float64
	badSince ptid.Instant
}

// work is a run on a worker.
type work struct {
	cpu ptrun.Millicores
	// whole is its run time while the worker is not slow, done what was done of it at an
	// instant.
	whole, done time.Duration
	at          ptid.Instant
	result      ptrun.Result
	// version counts the changes of its end.
	version int
}

// advance brings a run up to now.
func (agent *agent) advance(run *work) {
	now := agent.fleet.Now()
	run.done += time.Duration(float64(now.Sub(run.at)) / agent.slowness)
	run.at = now
}

// schedule plans the end of a run.
func (agent *agent) schedule(id ptrun.ID, run *work) {
	run.version++
	version := run.version
	agent.fleet.After(time.Duration(float64(run.whole-run.done)*agent.slowness), func() {
		if agent.running[id] == run && run.version == version && !agent.away {
			agent.end(id, run.result)
		}
	})
}

// slow changes how long work takes.
func (agent *agent) slow(factor float64) {
	for _, run := range agent.running {
		agent.advance(run)
	}
	agent.slowness = factor
	agent.turnBad(factor > 1)
	for _, id := range slices.SortedFunc(maps.Keys(agent.running), ptrun.Compare) {
		agent.schedule(id, agent.running[id])
	}
}

// turnBad records since when the worker is bad.
func (agent *agent) turnBad(bad bool) {
	agent.badSince = ptid.Never
	if bad {
		agent.badSince = agent.fleet.Now()
	}
}

func (fleet *fleet) newAgent(index int) *agent {
	size := sizes[index%len(sizes)]
	agent := &agent{
		fleet: fleet, index: index, slowness: 1, badSince: ptid.Never, pace: paces[fleet.random.IntN(len(paces))],
		capacity: ptrun.Demand{
			CPU: ptrun.Millicores(size * float64(fleet.setting.Capacity.CPU)), Memory: ptrun.Mebibytes(size * float64(fleet.setting.Capacity.Memory)),
		},
	}
	fleet.Every(tick, agent.tick)
	fleet.Every(listInterval, func() { agent.list(nil) })
	return agent
}

func (agent *agent) name() ptid.AgentName { return ptid.AgentName(fmt.Sprint("agent-", agent.index)) }

func (fleet *fleet) agentOf(name ptid.AgentName) *agent { return fleet.agents[indexOf(string(name))] }

// delay is the time of a message between an entry and an agent.
func (fleet *fleet) delay(entry *entry, agent *agent) time.Duration {
	if fleet.near(entry, agent) {
		return fleet.setting.InZone
	}
	return fleet.setting.CrossZone
}

func (fleet *fleet) near(entry *entry, agent *agent) bool {
	return fleet.setting.Entries[entry.index].Zone == agent.index%fleet.setting.Zones
}

// join starts the agent and its worker, and joins every entry.
func (agent *agent) join() {
	fleet, now := agent.fleet, agent.fleet.Now()
	agent.incarnation++
	agent.core, agent.bornAt, agent.running, agent.ends = ptroom.New(1, now), now, make(map[ptrun.ID]*work), 0
	agent.peers = make([]peer, len(fleet.entries))
	agent.core.HandleAnnouncement(ptrun.Worker{WorkerIdentity: agent.identity(), Service: service, Capacity: agent.capacity, Sequence: 1}, agent.clock(), now)
	agent.list(nil)
	for _, entry := range fleet.entries {
		agent.do(agent.core.SessionOpened(entry.owner(), now))
		agent.send(entry, func() {
			entry.do(entry.core.AgentConnected(agent.name(), agent.incarnation, service, fleet.near(entry, agent), fleet.Now()))
		})
	}
}

func (agent *agent) identity() ptrun.WorkerIdentity {
	return ptrun.WorkerIdentity{ID: ptrun.WorkerID(agent.name()), StartedAt: time.UnixMilli(int64(agent.incarnation))}
}

func (agent *agent) clock() ptrun.WorkerTime {
	return ptrun.WorkerTime(agent.fleet.Now().Sub(agent.bornAt).Milliseconds() + 1)
}

func (agent *agent) held() (held ptrun.Millicores) {
	for _, run := range agent.running {
		held += run.cpu
	}
	return held
}

// goAway takes the worker and its agent away, or brings others back.
func (agent *agent) goAway(away bool) {
	if agent.away = away; !away {
		agent.join()
		return
	}
	agent.running = make(map[ptrun.ID]*work)
	for _, entry := range agent.fleet.entries {
		agent.fleet.After(foundAfter, func() { entry.core.AgentDisconnected(agent.name(), agent.fleet.Now()) })
	}
}

// send carries a frame to an entry: what it says, and the room.
func (agent *agent) send(entry *entry, arrive func()) {
	report := agent.core.CapacityReport(entry.name())
	agent.peers[entry.index] = peer{told: report, toldAt: agent.fleet.Now()}
	agent.fleet.After(agent.fleet.delay(entry, agent), func() {
		entry.handle(func() {
			arrive()
			entry.do(entry.core.AgentReported(agent.name(), ptassign.AgentState{
				Worker: report.Worker, Capacity: report.Capacity, Held: report.Held, Own: report.Own, Unusable: report.Unusable, RequestedByOthers: report.RequestedByOthers,
				Assessment: report.Assessment, MayProbe: report.MayProbe,
			}, agent.fleet.Now()))
			received := agent.fleet.Now()
			agent.fleet.After(ackWithin, func() {
				if entry.sentAt[agent.index] < received {
					agent.fleet.report.Acknowledgements++
					entry.send(agent, func() {})
				}
			})
		})
	})
}

// ackWithin is that of package ptlink, and half a tick.
const ackWithin = 112 * time.Millisecond

// tick does what is due, and tells the entries whose view of the room is old.
func (agent *agent) tick() {
	fleet, now := agent.fleet, agent.fleet.Now()
	if agent.away || agent.core == nil {
		return
	}
	agent.do(agent.core.Tick(now))
	near := 0
	for _, entry := range fleet.entries {
		if fleet.near(entry, agent) {
			near++
		}
	}
	for index, peer := range agent.peers {
		entry := fleet.entries[index]
		report := agent.core.CapacityReport(entry.name())
		every := ptroom.ReportInterval(fleet.near(entry, agent), near, len(agent.peers))
		if others := report.Held.Minus(report.Own); others != peer.told.Held.Minus(peer.told.Own) && now.Sub(peer.toldAt) >= every {
			fleet.report.CapacityReports++
			agent.send(entry, func() {})
		}
	}
}

// list renews the lease and takes the worker's lists.
func (agent *agent) list(ends []ptrun.ListedEnd) {
	if agent.away || agent.core == nil {
		return
	}
	now := agent.fleet.Now()
	agent.core.LeaseRenewal(now)
	listing := ptrun.Listing{WorkerStartedAt: agent.identity().StartedAt, Clock: agent.clock(), Ends: ends}
	for _, id := range slices.SortedFunc(maps.Keys(agent.running), ptrun.Compare) {
		run := agent.running[id]
		agent.advance(run)
		listing.Active = append(listing.Active, ptrun.ListedRun{Run: id, Percent: min(99, int(100*run.done/run.whole))})
	}
	agent.do(agent.core.HandleListing(listing, now, now))
}

// do carries out effects.
func (agent *agent) do(effects []ptroom.Effect) {
	fleet := agent.fleet
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptroom.StartRun:
			fleet.After(orderTime, func() { agent.start(effect.Start.Run) })
		case ptroom.StopRun:
			fleet.After(orderTime, func() {
				agent.end(effect.Run, ptrun.Stopped)
				agent.do(agent.core.HandleStopResponse(effect.Run, agent.clock(), nil, fleet.Now()))
			})
		case ptroom.SendEnd:
			agent.tell(effect)
		case ptroom.SendReport:
			fleet.report.ReservationReports++
			agent.send(fleet.entryOf(effect.Owner.Entry), func() {})
		case ptroom.AssessmentChanged:
			for _, entry := range fleet.entries {
				agent.send(entry, func() {})
			}
		case ptroom.ListRuns:
			agent.list(nil)
		case ptroom.BroadcastEnd, ptroom.SendAdopted, ptroom.ThrottleRun:
		}
	}
}

// tell carries the end of a run to its entry.
func (agent *agent) tell(effect ptroom.SendEnd) {
	if effect.End.Result == ptrun.NeverStarted {
		agent.fleet.report.ReturnedOrders++
	}
	entry := agent.fleet.entryOf(effect.Owner.Entry)
	agent.send(entry, func() { entry.do(entry.core.RunEnded(agent.name(), effect.End, agent.fleet.Now())) })
}

// start lets the worker start a run.
func (agent *agent) start(id ptrun.ID) {
	fleet := agent.fleet
	if agent.away {
		return
	}
	caller := fleet.callers[id.Task.Job]
	whole, result := time.Millisecond, ptrun.Done
	if caller != nil {
		whole = time.Duration(float64(caller.work[id.Task.Index]) / agent.pace)
	}
	if agent.failing {
		whole, result = time.Millisecond, ptrun.Failed
	}
	run := &work{cpu: agent.core.DemandOf(id).CPU, whole: whole, at: fleet.Now(), result: result}
	agent.running[id] = run
	if agent.badSince != ptid.Never && fleet.Now().Sub(agent.badSince) > foundOut {
		fleet.report.WastedStarts++
	}
	agent.do(agent.core.HandleStartResponse(id, agent.clock(), nil, fleet.Now()))
	agent.schedule(id, run)
}

// end lets the worker end a run.
func (agent *agent) end(id ptrun.ID, result ptrun.Result) {
	if _, runs := agent.running[id]; !runs {
		return
	}
	delete(agent.running, id)
	agent.ends++
	agent.list([]ptrun.ListedEnd{{Sequence: agent.ends, End: ptrun.End{Run: id, Result: result}}})
}
