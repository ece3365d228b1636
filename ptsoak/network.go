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

// pickPair returns a random agent and a random entry.
func (simulation *simulation) pickPair() (agent *agent, entry *entry) {
	return simulation.agents[simulation.random.IntN(len(simulation.agents))], simulation.entries[simulation.random.IntN(len(simulation.entries))]
}

// reconnect opens a session for a random pair, unless the pair has an open session that drops
// no messages. A session that drops messages is closed first, as after an acknowledgement
// timeout.
func (simulation *simulation) reconnect() {
	agent, entry := simulation.pickPair()
	current := simulation.sessions[agent.name][entry.name]
	if current != nil && !current.closed && !current.dropToAgent && !current.dropToEntry {
		return
	}
	if current != nil {
		simulation.closeSession(current)
	}
	opened := &session{agent: agent, entry: entry}
	if simulation.sessions[agent.name] == nil {
		simulation.sessions[agent.name] = make(map[ptid.EntryName]*session)
	}
	simulation.sessions[agent.name][entry.name] = opened
	agent.core.SessionOpened(entry.name, entry.incarnation)
	status := agent.core.SlotStatus(entry.name, simulation.clock(agent))
	upstream, effects := entry.core.SessionOpened(ptjob.AgentIncarnation{Name: agent.name, Incarnation: agent.incarnation}, slotCount, ptplace.SameZone, simulation.now)
	opened.upstream = upstream
	entry.sessions[upstream] = opened
	simulation.updateStatus(opened, status)
	simulation.applyEntryEffects(entry, effects)
	simulation.applyEntryEffects(entry, entry.core.Place(simulation.now))
}

// closeSession closes a session. The messages in transit on the session become stale.
func (simulation *simulation) closeSession(closed *session) {
	if closed.closed {
		return
	}
	closed.closed = true
	for _, undelivered := range closed.toAgent {
		simulation.stale = append(simulation.stale, staleMessage{session: closed, message: undelivered, toAgent: true})
	}
	for _, undelivered := range closed.toEntry {
		simulation.stale = append(simulation.stale, staleMessage{session: closed, message: undelivered})
	}
	if surplus := len(simulation.stale) - maxStale; surplus > 0 {
		simulation.stale = simulation.stale[surplus:]
	}
	closed.toAgent, closed.toEntry = nil, nil
	if closed.entry.sessions[closed.upstream] == closed {
		delete(closed.entry.sessions, closed.upstream)
		closed.entry.core.SessionClosed(closed.upstream, simulation.now)
	}
	closed.agent.core.SessionClosed(closed.entry.name)
}

func (simulation *simulation) updateStatus(session *session, status ptslots.SlotStatus) {
	session.entry.core.Scheduler().UpdateStatus(session.upstream, ptsched.SlotStatus{
		Window: status.Window, Outstanding: status.Outstanding, TotalOutstanding: status.TotalOutstanding, Draining: status.Draining,
	}, simulation.now)
}

// deliver delivers the oldest message of one direction of the session of a random pair.
func (simulation *simulation) deliver() {
	agent, entry := simulation.pickPair()
	session := simulation.sessions[agent.name][entry.name]
	if session == nil || session.closed {
		return
	}
	if simulation.random.IntN(2) == 0 && len(session.toAgent) > 0 {
		first := session.toAgent[0]
		session.toAgent = session.toAgent[1:]
		simulation.deliverToAgent(session, first)
		return
	}
	if len(session.toEntry) > 0 {
		first := session.toEntry[0]
		session.toEntry = session.toEntry[1:]
		simulation.deliverToEntry(session, first)
	}
}

func (simulation *simulation) deliverToAgent(session *session, received message) {
	agent, entry, now := session.agent, session.entry, simulation.clock(session.agent)
	waiting, first := entry.core.ReadyTasks()
	agent.core.UpdateDemand(entry.name, waiting, first+agent.clockOffset, now)
	switch received := received.(type) {
	case dispatchMessage:
		simulation.applyAgentEffects(agent, agent.core.DispatchReceived(entry.name, received.dispatch, now))
	case cancelMessage:
		for _, ref := range received.refs {
			simulation.applyAgentEffects(agent, agent.core.Cancel(entry.name, ref))
		}
	case resolveMessage:
		simulation.applyAgentEffects(agent, agent.core.Resolve(entry.name, received.resolve))
	case ackMessage:
		agent.core.Acknowledge(received.id)
	}
	simulation.applyAgentEffects(agent, agent.core.AssignSlots(now))
}

func (simulation *simulation) deliverToEntry(session *session, received message) {
	entry := session.entry
	switch received := received.(type) {
	case answerMessage:
		simulation.updateStatus(session, received.status)
		answer := received.answer
		id := ptslots.TaskID(answer.Job, answer.Index)
		entry.send(session.upstream, ackMessage{ptid.AttemptID{Task: id, Attempt: ptid.Attempt(answer.Attempt)}})
		simulation.applyEntryEffects(entry, entry.core.TaskFinished(session.upstream, id, ptid.Attempt(answer.Attempt), ptservice.TaskResult{
			Answer: ptjob.Answer{Body: answer.Body}, Reason: ptreason.Reason(answer.Reason),
		}, simulation.now))
	case refusalMessage:
		simulation.updateStatus(session, received.status)
		refusal := received.refusal
		entry.send(session.upstream, ackMessage{ptid.AttemptID{Task: refusal.ID, Attempt: refusal.Attempt}})
		simulation.applyEntryEffects(entry, entry.core.AttemptRefused(session.upstream, refusal.ID, refusal.Attempt, refusal.Reason, simulation.now))
	case statusMessage:
		simulation.updateStatus(session, received.status)
	}
	simulation.applyEntryEffects(entry, entry.core.Place(simulation.now))
}

// maxStale limits the number of stale messages.
const maxStale = 400

// staleMessage is a message that was in transit when its session was closed.
type staleMessage struct {
	session *session
	message message
	toAgent bool
}

// deliverStale delivers a random stale message if the same incarnations of the agent and the
// entry have an open session. With a probability of one half, the message is kept and can be
// delivered again.
func (simulation *simulation) deliverStale() {
	if len(simulation.stale) == 0 {
		return
	}
	at := simulation.random.IntN(len(simulation.stale))
	stale := simulation.stale[at]
	if simulation.random.IntN(2) == 0 {
		simulation.stale = append(simulation.stale[:at:at], simulation.stale[at+1:]...)
	}
	current := simulation.sessions[stale.session.agent.name][stale.session.entry.name]
	if current == nil || current.closed || current.agent != stale.session.agent || current.entry != stale.session.entry {
		return
	}
	if stale.toAgent {
		simulation.deliverToAgent(current, stale.message)
	} else {
		simulation.deliverToEntry(current, stale.message)
	}
}

// injectFault injects a random fault.
func (simulation *simulation) injectFault() {
	agent, entry := simulation.pickPair()
	session := simulation.sessions[agent.name][entry.name]
	switch simulation.random.IntN(24) {
	case 0, 1, 2:
		if session != nil {
			simulation.closeSession(session)
		}
	case 3, 4:
		if session != nil {
			session.dropToAgent = true
		}
	case 5, 6:
		if session != nil {
			session.dropToEntry = true
		}
	case 7, 8:
		agent.core.SetDraining(!agent.core.Draining())
	case 9:
		simulation.replaceAgent(agent)
	case 10:
		simulation.replaceEntry(entry)
	default:
		simulation.cancelRandomJob(entry)
	}
}

// replaceAgent kills an agent and its runs, and starts a new incarnation of the agent.
func (simulation *simulation) replaceAgent(old *agent) {
	for _, entry := range simulation.entries {
		if session := simulation.sessions[old.name][entry.name]; session != nil {
			simulation.closeSession(session)
		}
	}
	delete(simulation.sessions, old.name)
	for i, agent := range simulation.agents {
		if agent == old {
			simulation.agents[i] = simulation.newAgent(old.name)
		}
	}
}

// replaceEntry kills an entry and its jobs, and starts a new incarnation of the entry.
func (simulation *simulation) replaceEntry(old *entry) {
	simulation.result.Lost += len(old.openJobs)
	for _, agent := range simulation.agents {
		sessions := simulation.sessions[agent.name]
		if session := sessions[old.name]; session != nil {
			simulation.closeSession(session)
			delete(sessions, old.name)
		}
	}
	for i, entry := range simulation.entries {
		if entry == old {
			simulation.entries[i] = simulation.newEntry(old.name)
		}
	}
}

func (simulation *simulation) cancelRandomJob(entry *entry) {
	open := slices.Sorted(maps.Keys(entry.openJobs))
	if len(open) > 0 {
		simulation.applyEntryEffects(entry, entry.core.Cancel(open[simulation.random.IntN(len(open))]))
	}
}
