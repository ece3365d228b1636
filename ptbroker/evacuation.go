package ptbroker

import (
	"slices"

	"github.com/primrosetiller/primrosetiller/ptevacuation"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// Sources of a state of the evacuated zones, for logs.
const (
	sourceStore = "store"
	sourceAgent = "agent"
)

// SetEvacuation merges the state of the evacuated zones that the store has delivered. A state without
// a revision says that the store has no records.
func (broker *Broker) SetEvacuation(state ptevacuation.State) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	broker.mergeEvacuation(state, sourceStore, "")
}

// ConfirmEvacuation records that the store has just confirmed that its latest state is current.
func (broker *Broker) ConfirmEvacuation() {
	broker.evacuationConfirmedAt.Store(int64(broker.deps.Clock.Now()))
}

// registerEvacuationGauges registers the gauges of the evacuated zones.
func (broker *Broker) registerEvacuationGauges() {
	broker.ConfirmEvacuation()
	broker.deps.Metrics.Gauge(ptmetric.EvacuatedZones, func() float64 { return float64(broker.evacuationState().Len()) })
	broker.deps.Metrics.Gauge(ptmetric.EvacuationAge, func() float64 {
		return broker.deps.Clock.Now().Sub(ptid.Instant(broker.evacuationConfirmedAt.Load())).Seconds()
	})
}

// evacuationState returns the state of the evacuated zones. Unlike the core, it may be read without
// the lock.
func (broker *Broker) evacuationState() ptevacuation.State {
	if state := broker.evacuation.Load(); state != nil {
		return *state
	}
	return ptevacuation.State{}
}

// receiveEvacuation processes the state in the greeting of an agent, before the agent's session is
// registered: the core may place tasks on its worker from then on.
func (broker *Broker) receiveEvacuation(agent *agentSession, message *ptwire.Evacuation) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	broker.handleEvacuation(agent, message)
}

// handleEvacuation merges the state that an agent has sent, and answers with the entry's own state if
// that is newer. The caller holds the lock.
func (broker *Broker) handleEvacuation(agent *agentSession, message *ptwire.Evacuation) {
	received := ptevacuation.FromMessage(message)
	if !received.IsKnown() {
		return
	}
	broker.mergeEvacuation(received, sourceAgent, agent.name())
	if agent.evacuation.Received(received, broker.evacuationState()) {
		agent.session.Post(func(*ptwire.Frame) {})
	}
}

// mergeEvacuation merges a state of the evacuated zones. If that changes the zones, the state is sent to
// all agents. It is stored before the frames are posted, so a frame that is being prepared without it is
// followed by one that carries it. The caller holds the lock.
func (broker *Broker) mergeEvacuation(state ptevacuation.State, source string, agent ptid.AgentName) {
	before, now := broker.evacuationState(), broker.deps.Clock.Now()
	newest, changed := before.Merge(state)
	broker.evacuation.Store(&newest)
	broker.execute(broker.core.SetEvacuation(newest, now))
	if !changed {
		return
	}
	broker.deps.Log.Info("evacuation changed", "zones", newest.Zones(), "revision", newest.Revision(), "source", source, "agent", agent)
	for _, zone := range newest.Zones() {
		// An entry that has just started has no sessions yet, which says nothing about the zone.
		if !before.Contains(zone) && zone != broker.setting.Zone && len(broker.agentSessions) > 0 && !broker.core.HasAgentIn(zone) {
			broker.deps.Log.Info("no agent of the evacuated zone has had a session", "zone", zone)
		}
	}
	for _, name := range broker.sortedSessions() {
		broker.agentSessions[name].session.Post(func(*ptwire.Frame) {})
	}
}

func (broker *Broker) sortedSessions() (names []ptid.AgentName) {
	for name := range broker.agentSessions {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
