package ptsoak

import (
	"maps"
	"slices"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjob"
	"github.com/primrosetiller/primrosetiller/ptplace"
	"github.com/primrosetiller/primrosetiller/ptreason"
	"github.com/primrosetiller/primrosetiller/ptsched"
	"github.com/primrosetiller/primrosetiller/ptservice"
	"github.com/primrosetiller/primrosetiller/ptslots"
)

// pick returns a random pair of agent and entry.
func (world *world) pick() (agent *agent, entry *entry) {
	return world.agents[world.random.IntN(len(world.agents))], world.entries[world.random.IntN(len(world.entries))]
}

// reconnect opens a session where a pair has none, or where one that is deaf has
// been found out.
func (world *world) reconnect() {
	agent, entry := world.pick()
	current := world.sessions[agent.name][entry.name]
	if current != nil && !current.closed && !current.deafAgent && !current.deafEntry {
		return
	}
	if current != nil {
		world.closeSession(current)
	}
	opened := &session{agent: agent, entry: entry}
	if world.sessions[agent.name] == nil {
		world.sessions[agent.name] = make(map[ptid.EntryName]*session)
	}
	world.sessions[agent.name][entry.name] = opened
	agent.core.SessionOpened(entry.name, entry.incarnation)
	frame := agent.core.SlotStatus(entry.name, world.clock(agent))
	upstream, effects := entry.core.SessionOpened(ptjob.AgentIncarnation{Name: agent.name, Incarnation: agent.incarnation}, slotCount, ptplace.SameZone, world.now)
	opened.upstream = upstream
	entry.links[upstream] = opened
	world.heard(opened, frame)
	world.doEntry(entry, effects)
	world.doEntry(entry, entry.core.Place(world.now))
}

// closeSession ends a session with everything that is on its way.
func (world *world) closeSession(closed *session) {
	if closed.closed {
		return
	}
	closed.closed = true
	for _, left := range closed.toAgent {
		world.stale = append(world.stale, staleMessage{session: closed, message: left, toAgent: true})
	}
	for _, left := range closed.toEntry {
		world.stale = append(world.stale, staleMessage{session: closed, message: left})
	}
	if surplus := len(world.stale) - mostStale; surplus > 0 {
		world.stale = world.stale[surplus:]
	}
	closed.toAgent, closed.toEntry = nil, nil
	if closed.entry.links[closed.upstream] == closed {
		delete(closed.entry.links, closed.upstream)
		closed.entry.core.SessionClosed(closed.upstream, world.now)
	}
	closed.agent.core.SessionClosed(closed.entry.name)
}

func (world *world) heard(session *session, frame ptslots.SlotStatus) {
	session.entry.core.Scheduler().UpdateStatus(session.upstream, ptsched.SlotStatus{
		Window: frame.Window, Outstanding: frame.Outstanding, TotalOutstanding: frame.TotalOutstanding, Draining: frame.Draining,
	}, world.now)
}

// deliver takes the first message of one direction of one session.
func (world *world) deliver() {
	agent, entry := world.pick()
	session := world.sessions[agent.name][entry.name]
	if session == nil || session.closed {
		return
	}
	if world.random.IntN(2) == 0 && len(session.toAgent) > 0 {
		first := session.toAgent[0]
		session.toAgent = session.toAgent[1:]
		world.agentReceives(session, first)
		return
	}
	if len(session.toEntry) > 0 {
		first := session.toEntry[0]
		session.toEntry = session.toEntry[1:]
		world.entryReceives(session, first)
	}
}

func (world *world) agentReceives(session *session, received message) {
	agent, entry, now := session.agent, session.entry, world.clock(session.agent)
	waiting, first := entry.core.ReadyTasks()
	agent.core.UpdateDemand(entry.name, waiting, first+agent.shift, now)
	switch received := received.(type) {
	case dispatchMessage:
		world.doAgent(agent, agent.core.DispatchReceived(entry.name, received.dispatch, now))
	case cancelMessage:
		for _, ref := range received.refs {
			world.doAgent(agent, agent.core.Cancel(entry.name, ref))
		}
	case resolveMessage:
		world.doAgent(agent, agent.core.Resolve(entry.name, received.ask))
	case ackMessage:
		agent.core.Acknowledge(received.id)
	}
	world.doAgent(agent, agent.core.AssignSlots(now))
}

func (world *world) entryReceives(session *session, received message) {
	entry := session.entry
	switch received := received.(type) {
	case answerMessage:
		world.heard(session, received.frame)
		answer := received.answer
		id := ptslots.TaskID(answer.Job, answer.Index)
		entry.post(session.upstream, ackMessage{ptid.AttemptID{Task: id, Attempt: ptid.Attempt(answer.Attempt)}})
		world.doEntry(entry, entry.core.TaskFinished(session.upstream, id, ptid.Attempt(answer.Attempt), ptservice.TaskResult{
			Answer: ptjob.Answer{Body: answer.Body}, Reason: ptreason.Reason(answer.Reason),
		}, world.now))
	case refusalMessage:
		world.heard(session, received.frame)
		refusal := received.refusal
		entry.post(session.upstream, ackMessage{ptid.AttemptID{Task: refusal.ID, Attempt: refusal.Attempt}})
		world.doEntry(entry, entry.core.AttemptRefused(session.upstream, refusal.ID, refusal.Attempt, refusal.Reason, world.now))
	case frameMessage:
		world.heard(session, received.frame)
	}
	world.doEntry(entry, entry.core.Place(world.now))
}

// mostStale bounds the messages of ended sessions that may still arrive.
const mostStale = 400

// staleMessage is a message of a session that has ended.
type staleMessage struct {
	session *session
	message message
	toAgent bool
}

// deliverStale lets a message of an ended session arrive, where its receiver's
// incarnation still lives and knows the sender.
func (world *world) deliverStale() {
	if len(world.stale) == 0 {
		return
	}
	at := world.random.IntN(len(world.stale))
	stale := world.stale[at]
	if world.random.IntN(2) == 0 {
		world.stale = append(world.stale[:at:at], world.stale[at+1:]...)
	}
	current := world.sessions[stale.session.agent.name][stale.session.entry.name]
	if current == nil || current.closed || current.agent != stale.session.agent || current.entry != stale.session.entry {
		return
	}
	if stale.toAgent {
		world.agentReceives(current, stale.message)
	} else {
		world.entryReceives(current, stale.message)
	}
}

// fault carries out one fault.
func (world *world) fault() {
	agent, entry := world.pick()
	session := world.sessions[agent.name][entry.name]
	switch world.random.IntN(24) {
	case 0, 1, 2:
		if session != nil {
			world.closeSession(session)
		}
	case 3, 4:
		if session != nil {
			session.deafAgent = true
		}
	case 5, 6:
		if session != nil {
			session.deafEntry = true
		}
	case 7, 8:
		agent.core.SetDraining(!agent.core.Draining())
	case 9:
		world.replaceAgent(agent)
	case 10:
		world.replaceEntry(entry)
	default:
		world.cancelOne(entry)
	}
}

// replaceAgent kills an agent and its runs, and starts a new incarnation.
func (world *world) replaceAgent(old *agent) {
	for _, entry := range world.entries {
		if session := world.sessions[old.name][entry.name]; session != nil {
			world.closeSession(session)
		}
	}
	delete(world.sessions, old.name)
	for i, agent := range world.agents {
		if agent == old {
			world.agents[i] = world.newAgent(old.name)
		}
	}
}

// replaceEntry kills an entry with its jobs, and starts a new incarnation.
func (world *world) replaceEntry(old *entry) {
	world.result.Lost += len(old.open)
	for _, agent := range world.agents {
		sessions := world.sessions[agent.name]
		if session := sessions[old.name]; session != nil {
			world.closeSession(session)
			delete(sessions, old.name)
		}
	}
	for i, entry := range world.entries {
		if entry == old {
			world.entries[i] = world.newEntry(old.name)
		}
	}
}

func (world *world) cancelOne(entry *entry) {
	open := slices.Sorted(maps.Keys(entry.open))
	if len(open) > 0 {
		world.doEntry(entry, entry.core.Cancel(open[world.random.IntN(len(open))]))
	}
}
