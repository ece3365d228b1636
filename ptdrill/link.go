package ptdrill

import (
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptroom"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// post sends a message over the present session with an agent. It is lost where the
// session ends before it arrives.
func (entry *entry) post(name ptid.AgentName, handle func(agent *agent)) {
	drill := entry.drill
	want := entry.core.CapacityRequests(drill.Now())[service]
	for _, target := range drill.agents {
		session, incarnation := entry.links[target.index], target.incarnation
		if target.name() != name || session == 0 {
			continue
		}
		arrive := func() {
			if drill.cut[[2]int{entry.index, target.index}] || target.sessions[entry.index] != session || target.incarnation != incarnation {
				return
			}
			drill.awake(target.frozenUntil, func() {
				if target.alive && target.incarnation == incarnation && target.sessions[entry.index] == session {
					target.do(target.core.RequestCapacity(entry.name(), want, drill.Now()))
					handle(target)
				}
			})
		}
		drill.After(drill.delay(), arrive)
	}
}

// post sends a message over the present session with an entry.
func (agent *agent) post(index int, handle func(entry *entry)) {
	drill, session := agent.drill, agent.sessions[index]
	if session == 0 {
		return
	}
	target := drill.entries[index]
	incarnation := target.incarnation
	drill.After(drill.delay(), func() {
		if drill.cut[[2]int{index, agent.index}] || agent.sessions[index] != session || target.incarnation != incarnation {
			return
		}
		drill.awake(target.frozenUntil, func() {
			if target.alive && target.incarnation == incarnation && agent.sessions[index] == session {
				handle(target)
			}
		})
	})
}

// dial opens sessions with the entries that can be reached.
func (agent *agent) dial() {
	drill := agent.drill
	if !agent.core.TakeoverComplete(drill.Now()) {
		return
	}
	for index, target := range drill.entries {
		if agent.sessions[index] != 0 || !target.alive || target.frozenUntil > drill.Now() || drill.cut[[2]int{index, agent.index}] {
			continue
		}
		agent.lastSession++
		agent.sessions[index] = agent.lastSession
		agent.do(agent.core.SessionOpened(ptroom.Owner{Entry: target.name(), Incarnation: target.incarnation}, drill.Now()))
		session := agent.lastSession
		agent.post(index, func(entry *entry) {
			entry.links[agent.index] = session
			entry.do(entry.core.AgentConnected(agent.name(), agent.incarnation, service, true, drill.Now()))
		})
	}
}

// report tells the entries the room.
func (agent *agent) report() {
	for index, target := range agent.drill.entries {
		report := agent.core.CapacityReport(target.name())
		agent.post(index, func(entry *entry) {
			entry.do(entry.core.AgentReported(agent.name(), ptassign.AgentState{
				Worker: report.Worker, Capacity: report.Capacity, Held: report.Held, Own: report.Own, Unusable: report.Unusable, RequestedByOthers: report.RequestedByOthers,
			}, agent.drill.Now()))
		})
	}
}

// lose ends the session of an agent and an entry, once each side has found out.
func (drill *drill) lose(entryIndex, agentIndex int) {
	entry, agent := drill.entries[entryIndex], drill.agents[agentIndex]
	session, agentIncarnation, entryIncarnation := agent.sessions[entryIndex], agent.incarnation, entry.incarnation
	if session == 0 {
		return
	}
	agentFinds := time.Duration(drill.random.Int64N(int64(silence)))
	drill.After(agentFinds, func() {
		drill.awake(agent.frozenUntil, func() {
			if agent.incarnation == agentIncarnation && agent.sessions[entryIndex] == session {
				agent.sessions[entryIndex] = 0
				agent.core.SessionClosed(entry.name(), drill.Now())
			}
		})
	})
	drill.After(time.Duration(drill.random.Int64N(int64(silence))), func() {
		drill.awake(entry.frozenUntil, func() {
			if entry.alive && entry.incarnation == entryIncarnation && entry.links[agentIndex] == session {
				entry.links[agentIndex] = 0
				entry.core.AgentDisconnected(agent.name(), drill.Now())
			}
		})
	})
}

// do carries out an agent's effects.
func (agent *agent) do(effects []ptroom.Effect) {
	drill := agent.drill
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptroom.StartRun:
			demand := agent.demands[effect.Start.Run]
			agent.call(func(worker *worker) error {
				return worker.start(effect.Worker, effect.Token, effect.Start, demand)
			}, func(clock ptrun.WorkerTime, err error) {
				agent.noteFenced(effect.Token, err)
				agent.do(agent.core.HandleStartResponse(effect.Start.Run, clock, err, drill.Now()))
			})
		case ptroom.StopRun:
			agent.call(func(worker *worker) error { return worker.stop(effect.Worker, effect.Token, effect.Run) }, func(clock ptrun.WorkerTime, err error) {
				agent.noteFenced(effect.Token, err)
				agent.do(agent.core.HandleStopResponse(effect.Run, clock, err, drill.Now()))
			})
		case ptroom.SendReport:
			agent.report()
		case ptroom.ListRuns:
			agent.list()
		case ptroom.SendEnd:
			for index, target := range drill.entries {
				if target.name() == effect.Owner.Entry && target.incarnation == effect.Owner.Incarnation {
					agent.post(index, func(entry *entry) { entry.do(entry.core.RunEnded(agent.name(), effect.End, drill.Now())) })
				}
			}
		case ptroom.BroadcastEnd, ptroom.SendAdopted, ptroom.ThrottleRun:
		}
	}
}

func (agent *agent) noteFenced(token ptrun.FenceToken, err error) {
	if errors.Is(err, ptrun.ErrFenced) {
		agent.core.RaiseToken(token)
	}
}

// call carries an order to the worker. One in twenty gets no answer, and is carried out
// seconds later or not at all; of some the answer alone is lost.
func (agent *agent) call(carry func(worker *worker) error, answer func(clock ptrun.WorkerTime, err error)) {
	drill, incarnation := agent.drill, agent.incarnation
	reply := func(wait time.Duration, clock ptrun.WorkerTime, err error) {
		drill.After(wait, func() {
			drill.awake(agent.frozenUntil, func() {
				if agent.alive && agent.incarnation == incarnation {
					answer(clock, err)
				}
			})
		})
	}
	drill.After(drill.delay()/10, func() {
		luck := 1000
		if !drill.calm {
			luck = drill.random.IntN(100)
		}
		switch {
		case !agent.worker.alive:
			reply(orderLimit, 0, ptrun.ErrUnanswered)
		case luck < 4:
			drill.After(time.Duration(100+drill.random.IntN(6000))*time.Millisecond, func() {
				if agent.worker.alive {
					_ = carry(agent.worker)
				}
			})
			reply(orderLimit, 0, ptrun.ErrUnanswered)
		case luck < 6:
			_ = carry(agent.worker)
			reply(orderLimit, 0, ptrun.ErrUnanswered)
		default:
			err := carry(agent.worker)
			reply(drill.delay()/10, agent.worker.clock(), err)
		}
	})
}

// list renews the lease and takes the worker's lists.
func (agent *agent) list() {
	drill := agent.drill
	seen, known := agent.core.Worker()
	if !known {
		return
	}
	requestedAt, token := drill.Now(), agent.core.FenceToken()
	hold := agent.core.LeaseRenewal(drill.Now())
	var listing ptrun.Listing
	agent.call(func(target *worker) (err error) {
		listing, err = target.hold(seen.WorkerIdentity, token, hold)
		return err
	}, func(_ ptrun.WorkerTime, err error) {
		switch {
		case err == nil:
			agent.do(agent.core.HandleListing(listing, requestedAt, drill.Now()))
		case errors.Is(err, ptrun.ErrFenced):
			agent.core.RaiseToken(token)
		case errors.Is(err, ptrun.ErrWorkerMismatch):
			agent.do(agent.core.HandleWorkerGone(seen.WorkerIdentity, drill.Now()))
		default:
			agent.do(agent.core.HandleListFailure(drill.Now()))
		}
	})
}

// announce tells the agent of its worker.
func (agent *agent) announce() {
	if !agent.worker.alive {
		return
	}
	agent.do(agent.core.HandleAnnouncement(ptrun.Worker{
		WorkerIdentity: agent.worker.identity, Service: service, Capacity: agent.worker.capacity, Sequence: uint64(agent.drill.Now()),
	}, agent.worker.clock(), agent.drill.Now()))
}

// fault lets something go wrong.
func (drill *drill) fault() {
	if drill.calm {
		return
	}
	drill.report.Faults++
	random := drill.random
	entryIndex, agentIndex := random.IntN(entries), random.IntN(agents)
	entry, agent := drill.entries[entryIndex], drill.agents[agentIndex]
	span := time.Duration(50+random.IntN(3000)) * time.Millisecond
	switch random.IntN(7) {
	case 0:
		link := [2]int{entryIndex, agentIndex}
		drill.cut[link] = true
		drill.lose(entryIndex, agentIndex)
		drill.After(span, func() { delete(drill.cut, link) })
	case 1:
		for index := range entries {
			link := [2]int{index, agentIndex}
			drill.cut[link] = true
			drill.lose(index, agentIndex)
			drill.After(span, func() { delete(drill.cut, link) })
		}
	case 2:
		drill.killEntry(entry, span)
	case 3:
		drill.killAgent(agent, span)
	case 4:
		entry.frozenUntil = max(entry.frozenUntil, drill.Now().Add(span))
		for index := range agents {
			drill.lose(entryIndex, index)
		}
		// Callers of a frozen entry wait until their own deadline.
	case 5:
		agent.frozenUntil = max(agent.frozenUntil, drill.Now().Add(span))
		for index := range entries {
			drill.lose(index, agentIndex)
		}
	case 6:
		if agent.worker.alive {
			agent.worker.crash()
			drill.After(span, func() {
				agent.worker = drill.newWorker(agentIndex)
				drill.awake(agent.frozenUntil, func() {
					if agent.alive {
						agent.announce()
					}
				})
			})
		}
	}
}

func (drill *drill) killEntry(entry *entry, span time.Duration) {
	if !entry.alive {
		return
	}
	entry.alive = false
	for _, spec := range sortedCallers(entry.callers) {
		drill.resubmit(spec)
	}
	for index := range agents {
		drill.lose(entry.index, index)
	}
	drill.After(span, func() { drill.startEntry(entry.index) })
}

func (drill *drill) killAgent(agent *agent, span time.Duration) {
	if !agent.alive {
		return
	}
	agent.alive = false
	for index := range entries {
		drill.lose(index, agent.index)
	}
	agent.sessions = [entries]int{}
	drill.After(span, func() {
		agent.frozenUntil = 0
		drill.startAgent(agent.index)
	})
}

func sortedCallers(callers map[ptid.JobID]ptgraph.Spec) (specs []ptgraph.Spec) {
	for _, id := range sortedKeys(callers) {
		specs = append(specs, callers[id])
	}
	return specs
}
