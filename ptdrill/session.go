package ptdrill

import (
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptevacuation"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
)

const (
	minHeartbeatInterval        = 300 * time.Millisecond
	heartbeatIntervalPerSession = 8 * time.Millisecond
	busyHeartbeat               = 250 * time.Millisecond
	dialTimeout                 = 300 * time.Millisecond
	greetingTimeout             = 500 * time.Millisecond
	minRedialDelay              = 20 * time.Millisecond
	maxRedialDelay              = 500 * time.Millisecond
	discoverInterval            = 250 * time.Millisecond
)

// frame is a frame of a session. The last frame of a session tells the peer that it was closed.
type frame struct {
	sequence, ack ptid.Sequence
	// callersConfirmedAt is that of the session. Agents set it too, and entries ignore it.
	callersConfirmedAt ptid.Instant
	receive            func()
	last               bool
}

// side is one side of a session.
type side struct {
	process *process
	link    *ptlink.Link
	open    bool
	// wire contains the frames that this side has sent and that have not arrived. inbox contains
	// the frames that have arrived and that the process of this side has not handled.
	wire, inbox []frame
	closed      func()
}

// session is a connection between an entry and an agent.
type session struct {
	simulation *simulation
	entry      *entry
	agent      *agent
	// number increases with each session of the agent.
	number int
	// sides are nil until the entry has handled the greeting. unopened means that the agent has
	// closed the connection before it received the welcome.
	sides    [2]*side
	unopened bool
	// callersConfirmedAt is when the entry last confirmed the callers of its jobs.
	callersConfirmedAt ptid.Instant
	// evacuation is the state of the evacuated zones in the agent's greeting.
	evacuation ptevacuation.State
}

// closeUnopened closes a session of which the agent has not received the welcome.
func (session *session) closeUnopened() {
	session.unopened = true
	if side := session.sides[ptlink.AgentSide]; side != nil && side.open {
		session.abandon(ptlink.AgentSide, false)
	}
}

// isClosed reports whether the agent has closed the session.
func (session *session) isClosed() bool {
	return session.unopened || session.sides[ptlink.AgentSide] != nil && !session.sides[ptlink.AgentSide].open
}

func (session *session) cutUntil() ptid.Instant {
	return session.simulation.cutUntil[session.entry.index][session.agent.index]
}

// post sends a frame. The peer performs receive if the session is still open then.
func (session *session) post(from ptlink.Role, receive func()) {
	side := session.sides[from]
	if !side.open {
		return
	}
	sequence, ack := side.link.OnSend(session.simulation.Now(), ptlink.AckEliciting)
	session.transmit(from, frame{sequence: sequence, ack: ack, receive: receive})
}

func (session *session) transmit(from ptlink.Role, sent frame) {
	side := session.sides[from]
	sent.callersConfirmedAt = session.callersConfirmedAt
	side.wire = append(side.wire, sent)
	session.simulation.After(session.simulation.delay(), func() { session.arrive(from) })
}

// arrive delivers the oldest frame that a side has sent.
func (session *session) arrive(from ptlink.Role) {
	simulation := session.simulation
	if until := session.cutUntil(); until > simulation.Now() {
		simulation.After(until.Sub(simulation.Now())+simulation.delay(), func() { session.arrive(from) })
		return
	}
	sender, receiver := session.sides[from], session.sides[1-from]
	receiver.inbox = append(receiver.inbox, sender.wire[0])
	sender.wire = sender.wire[1:]
	receiver.process.handle(func() { session.receive(1 - from) })
}

// receive handles the oldest frame that has arrived.
func (session *session) receive(to ptlink.Role) {
	side := session.sides[to]
	received := side.inbox[0]
	side.inbox = side.inbox[1:]
	switch {
	case !side.open:
	case received.last:
		session.close(to)
	default:
		if side.link.OnReceive(session.simulation.Now(), received.sequence, received.ack) && received.receive != nil {
			received.receive()
		}
		if to == ptlink.AgentSide {
			session.agent.core.OwnerConfirmed(session.entry.owner(), session.sides[to].link.PeerAliveAt())
			session.agent.core.CallersConfirmed(session.entry.owner(), received.callersConfirmedAt)
		}
	}
}

// close closes one side and tells the peer.
func (session *session) close(role ptlink.Role) {
	side := session.sides[role]
	if !side.open {
		return
	}
	side.open = false
	side.closed()
	session.transmit(role, frame{last: true})
}

// abandon closes one side of which the process has been killed. The peer is not told if the
// machine is gone as well.
func (session *session) abandon(role ptlink.Role, machineGone bool) {
	session.sides[role].open = false
	if !machineGone {
		session.transmit(role, frame{last: true})
	}
}

func (session *session) tick(role ptlink.Role) {
	side := session.sides[role]
	if !side.open {
		return
	}
	now := session.simulation.Now()
	switch side.link.Tick(now) {
	case ptlink.SendAck:
		sequence, ack := side.link.OnSend(now, ptlink.AckOnly)
		session.transmit(role, frame{sequence: sequence, ack: ack})
	case ptlink.SendHeartbeat:
		if role == ptlink.AgentSide {
			session.agent.post(session.entry.index, nil)
		}
	case ptlink.AckTimedOut, ptlink.ReceiveTimedOut:
		session.close(role)
	case ptlink.NoAction:
	}
}

// dialWhenTakenOver dials the entries once the takeover is complete.
func (agent *agent) dialWhenTakenOver() {
	if !agent.core.TakeoverComplete() {
		agent.after(tickInterval, agent.dialWhenTakenOver)
		return
	}
	for index := range entries {
		agent.dial(index, minRedialDelay)
	}
}

// redial dials an entry again after half to all of a delay.
func (agent *agent) redial(index int, delay time.Duration) {
	agent.after(agent.simulation.between(delay/2, delay), func() { agent.dial(index, delay) })
}

// dial opens a session with an entry.
func (agent *agent) dial(index int, delay time.Duration) {
	simulation := agent.simulation
	target, next := simulation.entries[index], min(2*delay, maxRedialDelay)
	switch {
	case simulation.cutUntil[index][agent.index] > simulation.Now():
		agent.after(dialTimeout, func() { agent.redial(index, next) })
		return
	case !target.alive:
		agent.redial(index, next)
		return
	}
	agent.lastSession++
	connection := &session{simulation: simulation, entry: target, agent: agent, number: agent.lastSession, evacuation: agent.evacuation}
	answered, abandoned := false, false
	agent.after(greetingTimeout, func() {
		if !answered {
			abandoned = true
			connection.closeUnopened()
			agent.redial(index, next)
		}
	})
	agent.connections = append(slices.DeleteFunc(agent.connections, (*session).isClosed), connection)
	simulation.After(simulation.delay(), func() {
		target.handle(func() {
			target.welcome(connection, func(accepted bool) {
				switch {
				case abandoned:
				case accepted:
					answered = true
					agent.open(connection)
				default:
					answered = true
					agent.redial(index, next)
				}
			})
		})
	})
}

// welcome responds to the greeting of an agent and makes the session the current one of the
// agent, unless the agent has a newer one. The agent performs receive when the response arrives.
func (entry *entry) welcome(opened *session, receive func(accepted bool)) {
	simulation, now, agent := entry.simulation, entry.simulation.Now(), opened.agent
	previous := entry.sessions[agent.index]
	if previous != nil && (previous.agent.incarnation > agent.incarnation || previous.agent == agent && previous.number >= opened.number) {
		simulation.After(simulation.delay(), func() { agent.handle(func() { receive(false) }) })
		return
	}
	interval := max(minHeartbeatInterval, agents*heartbeatIntervalPerSession)
	opened.sides[ptlink.EntrySide] = &side{process: &entry.process, link: ptlink.New(ptlink.EntrySide, now, interval), open: true, closed: func() {
		if entry.sessions[agent.index] == opened {
			entry.sessions[agent.index] = nil
			simulation.trace("%s loses %s", entry.name(), agent.name())
			entry.core.AgentDisconnected(agent.name(), simulation.Now())
		}
	}}
	opened.sides[ptlink.AgentSide] = &side{process: &agent.process, link: ptlink.New(ptlink.AgentSide, now, interval), open: true}
	opened.sides[ptlink.AgentSide].closed = func() {
		if agent.sessions[entry.index] == opened {
			agent.sessions[entry.index] = nil
			simulation.trace("%s loses %s", agent.name(), entry.name())
			agent.core.SessionClosed(entry.name(), simulation.Now())
			agent.redial(entry.index, minRedialDelay)
		}
	}
	entry.sessions[agent.index] = opened
	if previous != nil {
		previous.close(ptlink.EntrySide)
	}
	simulation.trace("%s welcomes %s incarnation %d", entry.name(), agent.name(), agent.incarnation)
	if opened.evacuation.IsKnown() {
		entry.mergeEvacuation(opened.evacuation)
	}
	state := entry.evacuation
	opened.transmit(ptlink.EntrySide, frame{receive: func() {
		agent.mergeEvacuation(state)
		receive(true)
	}})
	entry.checkCallers()
	entry.ownership.connecting(agent.name())
	entry.core.AgentLocated(agent.name(), zoneOf(agent.index), now)
	entry.applyEffects(entry.core.AgentConnected(agent.name(), agent.incarnation, service, true, now))
	entry.ownership.connected(agent.index)
	if opened.unopened {
		opened.abandon(ptlink.AgentSide, false)
	}
}
