package ptdrill

import (
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

// send sends a message over the current session with an agent. The message is lost if the
// session ends before the message arrives.
func (entry *entry) send(name ptid.AgentName, handle func(agent *agent)) {
	simulation := entry.simulation
	request := entry.core.CapacityRequests(simulation.Now())[service]
	for _, target := range simulation.agents {
		session, incarnation := entry.sessions[target.index], target.incarnation
		if target.name() != name || session == 0 {
			continue
		}
		arrive := func() {
			if simulation.cutLinks[[2]int{entry.index, target.index}] || target.sessions[entry.index] != session || target.incarnation != incarnation {
				return
			}
			simulation.whenResumed(target.pausedUntil, func() {
				if target.alive && target.incarnation == incarnation && target.sessions[entry.index] == session {
					target.applyEffects(target.core.RequestCapacity(entry.name(), request, simulation.Now()))
					handle(target)
				}
			})
		}
		simulation.After(simulation.delay(), arrive)
	}
}

// send sends a message over the current session with an entry. The message is lost if the
// session ends before the message arrives.
func (agent *agent) send(index int, handle func(entry *entry)) {
	simulation, session := agent.simulation, agent.sessions[index]
	if session == 0 {
		return
	}
	target := simulation.entries[index]
	incarnation := target.incarnation
	simulation.After(simulation.delay(), func() {
		if simulation.cutLinks[[2]int{index, agent.index}] || agent.sessions[index] != session || target.incarnation != incarnation {
			return
		}
		simulation.whenResumed(target.pausedUntil, func() {
			if target.alive && target.incarnation == incarnation && agent.sessions[index] == session {
				handle(target)
			}
		})
	})
}

// dial opens sessions with all reachable entries.
func (agent *agent) dial() {
	simulation := agent.simulation
	if !agent.core.TakeoverComplete() {
		return
	}
	for index, target := range simulation.entries {
		if agent.sessions[index] != 0 || !target.alive || target.pausedUntil > simulation.Now() || simulation.cutLinks[[2]int{index, agent.index}] {
			continue
		}
		agent.lastSession++
		agent.sessions[index] = agent.lastSession
		agent.applyEffects(agent.core.SessionOpened(ptruncontrol.Owner{Entry: target.name(), Incarnation: target.incarnation}, simulation.Now()))
		session := agent.lastSession
		agent.send(index, func(entry *entry) {
			entry.sessions[agent.index] = session
			entry.applyEffects(entry.core.AgentConnected(agent.name(), agent.incarnation, service, true, simulation.Now()))
		})
	}
}

// sendReports sends a capacity report to every entry.
func (agent *agent) sendReports() {
	for index, target := range agent.simulation.entries {
		report := agent.core.CapacityReport(target.name())
		agent.send(index, func(entry *entry) {
			entry.applyEffects(entry.core.AgentReported(agent.name(), ptassign.AgentState{
				Worker: report.Worker, Capacity: report.Capacity, Held: report.Held, Own: report.Own, Unusable: report.Unusable, RequestedByOthers: report.RequestedByOthers,
			}, agent.simulation.Now()))
		})
	}
}

// breakSession ends the session between an entry and an agent. Each side detects this after
// a random time of up to sessionTimeout.
func (simulation *simulation) breakSession(entryIndex, agentIndex int) {
	entry, agent := simulation.entries[entryIndex], simulation.agents[agentIndex]
	session, agentIncarnation, entryIncarnation := agent.sessions[entryIndex], agent.incarnation, entry.incarnation
	if session == 0 {
		return
	}
	agentDetectsAfter := time.Duration(simulation.random.Int64N(int64(sessionTimeout)))
	simulation.After(agentDetectsAfter, func() {
		simulation.whenResumed(agent.pausedUntil, func() {
			if agent.incarnation == agentIncarnation && agent.sessions[entryIndex] == session {
				agent.sessions[entryIndex] = 0
				agent.core.SessionClosed(entry.name(), simulation.Now())
			}
		})
	})
	simulation.After(time.Duration(simulation.random.Int64N(int64(sessionTimeout))), func() {
		simulation.whenResumed(entry.pausedUntil, func() {
			if entry.alive && entry.incarnation == entryIncarnation && entry.sessions[agentIndex] == session {
				entry.sessions[agentIndex] = 0
				entry.core.AgentDisconnected(agent.name(), simulation.Now())
			}
		})
	})
}

// applyEffects executes the effects that the agent's core returned.
func (agent *agent) applyEffects(effects []ptruncontrol.Effect) {
	simulation := agent.simulation
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptruncontrol.StartRun:
			demand := agent.demands[effect.Start.Run]
			agent.call(func(worker *worker) error {
				return worker.start(effect.Worker, effect.Token, effect.Start, demand)
			}, func(clock ptrun.WorkerTime, err error) {
				agent.raiseTokenIfFenced(effect.Token, err)
				agent.applyEffects(agent.core.HandleStartResponse(effect.Start.Run, clock, err, simulation.Now()))
			})
		case ptruncontrol.StopRun:
			agent.call(func(worker *worker) error { return worker.stop(effect.Worker, effect.Token, effect.Run) }, func(clock ptrun.WorkerTime, err error) {
				agent.raiseTokenIfFenced(effect.Token, err)
				agent.applyEffects(agent.core.HandleStopResponse(effect.Run, clock, err, simulation.Now()))
			})
		case ptruncontrol.SendReport:
			agent.sendReports()
		case ptruncontrol.ListRuns:
			agent.list()
		case ptruncontrol.SendEnd:
			for index, target := range simulation.entries {
				if target.name() == effect.Owner.Entry && target.incarnation == effect.Owner.Incarnation {
					agent.send(index, func(entry *entry) {
						entry.applyEffects(entry.core.RunEnded(agent.name(), effect.End, simulation.Now()))
					})
				}
			}
		case ptruncontrol.BroadcastEnd, ptruncontrol.SendAdopted, ptruncontrol.ThrottleRun:
		}
	}
}

func (agent *agent) raiseTokenIfFenced(token ptrun.FenceToken, err error) {
	if errors.Is(err, ptrun.ErrFenced) {
		agent.core.RaiseToken(token)
	}
}

// call sends an order to the worker. A crashed worker does not respond. While faults are
// injected, 4 % of the orders to a live worker get no response and are executed 0.1 to 6.1 s
// late, or not at all if the worker has crashed by then; another 2 % are executed at once, but
// the response is lost.
func (agent *agent) call(execute func(worker *worker) error, onResponse func(clock ptrun.WorkerTime, err error)) {
	simulation, incarnation := agent.simulation, agent.incarnation
	respond := func(wait time.Duration, clock ptrun.WorkerTime, err error) {
		simulation.After(wait, func() {
			simulation.whenResumed(agent.pausedUntil, func() {
				if agent.alive && agent.incarnation == incarnation {
					onResponse(clock, err)
				}
			})
		})
	}
	simulation.After(simulation.delay()/10, func() {
		draw := 1000
		if !simulation.quiescent {
			draw = simulation.random.IntN(100)
		}
		switch {
		case !agent.worker.alive:
			respond(orderTimeout, 0, ptrun.ErrUnanswered)
		case draw < 4:
			simulation.After(time.Duration(100+simulation.random.IntN(6000))*time.Millisecond, func() {
				if agent.worker.alive {
					_ = execute(agent.worker)
				}
			})
			respond(orderTimeout, 0, ptrun.ErrUnanswered)
		case draw < 6:
			_ = execute(agent.worker)
			respond(orderTimeout, 0, ptrun.ErrUnanswered)
		default:
			err := execute(agent.worker)
			respond(simulation.delay()/10, agent.worker.clock(), err)
		}
	})
}

// list sends a lease renewal to the worker, and passes the listing of runs and run ends in the
// response to the core.
func (agent *agent) list() {
	simulation := agent.simulation
	current, known := agent.core.Worker()
	if !known {
		return
	}
	requestedAt, token := simulation.Now(), agent.core.FenceToken()
	renewal := agent.core.LeaseRenewal(simulation.Now())
	var listing ptrun.Listing
	agent.call(func(target *worker) (err error) {
		listing, err = target.renewLease(current.WorkerIdentity, token, renewal)
		return err
	}, func(_ ptrun.WorkerTime, err error) {
		switch {
		case err == nil:
			agent.applyEffects(agent.core.HandleListing(listing, requestedAt, simulation.Now()))
		case errors.Is(err, ptrun.ErrFenced):
			agent.core.RaiseToken(token)
		case errors.Is(err, ptrun.ErrWorkerMismatch):
			agent.applyEffects(agent.core.HandleWorkerGone(current.WorkerIdentity, simulation.Now()))
		default:
			agent.applyEffects(agent.core.HandleListFailure(err, requestedAt, simulation.Now()))
		}
	})
}

// announce makes the worker announce itself to its agent.
func (agent *agent) announce() {
	if !agent.worker.alive {
		return
	}
	agent.applyEffects(agent.core.HandleAnnouncement(ptrun.Worker{
		WorkerIdentity: agent.worker.identity, Service: service, Capacity: agent.worker.capacity, Sequence: uint64(agent.simulation.Now()),
	}, agent.worker.clock(), agent.simulation.Now()))
}

// injectFault injects a random fault.
func (simulation *simulation) injectFault() {
	if simulation.quiescent {
		return
	}
	simulation.report.Faults++
	random := simulation.random
	entryIndex, agentIndex := random.IntN(entries), random.IntN(agents)
	entry, agent := simulation.entries[entryIndex], simulation.agents[agentIndex]
	duration := time.Duration(50+random.IntN(3000)) * time.Millisecond
	switch random.IntN(7) {
	case 0:
		link := [2]int{entryIndex, agentIndex}
		simulation.cutLinks[link] = true
		simulation.breakSession(entryIndex, agentIndex)
		simulation.After(duration, func() { delete(simulation.cutLinks, link) })
	case 1:
		for index := range entries {
			link := [2]int{index, agentIndex}
			simulation.cutLinks[link] = true
			simulation.breakSession(index, agentIndex)
			simulation.After(duration, func() { delete(simulation.cutLinks, link) })
		}
	case 2:
		simulation.killEntry(entry, duration)
	case 3:
		simulation.killAgent(agent, duration)
	case 4:
		entry.pausedUntil = max(entry.pausedUntil, simulation.Now().Add(duration))
		for index := range agents {
			simulation.breakSession(entryIndex, index)
		}
		// The jobs of a paused entry are not submitted again: their callers keep waiting until
		// the deadline.
	case 5:
		agent.pausedUntil = max(agent.pausedUntil, simulation.Now().Add(duration))
		for index := range entries {
			simulation.breakSession(index, agentIndex)
		}
	case 6:
		if agent.worker.alive {
			agent.worker.crash()
			simulation.After(duration, func() {
				agent.worker = simulation.newWorker(agentIndex)
				simulation.whenResumed(agent.pausedUntil, func() {
					if agent.alive {
						agent.announce()
					}
				})
			})
		}
	}
}

func (simulation *simulation) killEntry(entry *entry, duration time.Duration) {
	if !entry.alive {
		return
	}
	entry.alive = false
	for _, spec := range sortedCallers(entry.callers) {
		simulation.resubmit(spec)
	}
	for index := range agents {
		simulation.breakSession(entry.index, index)
	}
	simulation.After(duration, func() { simulation.startEntry(entry.index) })
}

func (simulation *simulation) killAgent(agent *agent, duration time.Duration) {
	if !agent.alive {
		return
	}
	agent.alive = false
	for index := range entries {
		simulation.breakSession(index, agent.index)
	}
	agent.sessions = [entries]int{}
	simulation.After(duration, func() {
		agent.pausedUntil = 0
		simulation.startAgent(agent.index)
	})
}

func sortedCallers(callers map[ptid.JobID]ptgraph.Spec) (specs []ptgraph.Spec) {
	for _, id := range sortedKeys(callers) {
		specs = append(specs, callers[id])
	}
	return specs
}
