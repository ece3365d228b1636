package ptdrill

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptevacuation"
	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// zones is the number of availability zones of the agents.
	zones = 2
	// evacuationBound is how long after the operator's record the last run may start in an evacuated
	// zone, as long as processes and links are not down or paused for longer.
	evacuationBound = 5 * time.Second
	// maxStoreRefusal is how long the store refuses an entry at most.
	maxStoreRefusal = 3 * time.Second
)

// operator is what the operator has stored: the evacuated zones and since when they are evacuated.
type operator struct {
	state ptevacuation.State
	since [zones]ptid.Instant
}

func zoneOf(agent int) ptid.Zone { return zoneName(agent % zones) }

func zoneName(index int) ptid.Zone { return ptid.Zone(fmt.Sprint("zone", index)) }

// toggleEvacuation evacuates a zone or takes its evacuation back.
func (simulation *simulation) toggleEvacuation() {
	index := simulation.random.IntN(zones)
	simulation.setEvacuated(index, !simulation.operator.state.Contains(zoneName(index)))
}

func (simulation *simulation) setEvacuated(index int, evacuated bool) {
	operator := &simulation.operator
	operator.state = operator.state.With(zoneName(index), evacuated, operator.state.Revision()+1)
	operator.since[index] = simulation.Now()
	simulation.trace("evacuated zones: %v", operator.state.Zones())
	for _, entry := range simulation.entries {
		entry.readStore()
	}
}

// takeBackEvacuations takes all evacuations back.
func (simulation *simulation) takeBackEvacuations() {
	for index := range zones {
		if simulation.operator.state.Contains(zoneName(index)) {
			simulation.setEvacuated(index, false)
		}
	}
}

// readStore makes an entry read the operator's records, which the store refuses in one of six cases for
// some seconds.
func (entry *entry) readStore() {
	simulation := entry.simulation
	wait := simulation.delay()
	if simulation.random.IntN(6) == 0 && !simulation.quiescent {
		wait = simulation.between(wait, maxStoreRefusal)
	}
	entry.after(wait, func() { entry.mergeEvacuation(simulation.operator.state) })
}

// mergeEvacuation merges a state of the evacuated zones and passes it on to all agents if it is news.
func (entry *entry) mergeEvacuation(state ptevacuation.State) {
	newest, changed := entry.evacuation.Merge(state)
	entry.evacuation = newest
	entry.applyEffects(entry.core.SetEvacuation(newest, entry.simulation.Now()))
	if changed {
		for index := range agents {
			entry.post(index, func(agent *agent) { agent.mergeEvacuation(newest) })
		}
	}
}

// mergeEvacuation merges a state of the evacuated zones and passes it on to all entries if it is news.
func (agent *agent) mergeEvacuation(state ptevacuation.State) {
	newest, changed := agent.evacuation.Merge(state)
	agent.evacuation = newest
	if changed {
		agent.applyEffects(agent.core.SetEvacuated(newest.Contains(zoneOf(agent.index)), agent.simulation.Now()))
		for index := range entries {
			agent.postEvacuation(index)
		}
	}
}

// postEvacuation sends an entry the state of the evacuated zones.
func (agent *agent) postEvacuation(index int) {
	state := agent.evacuation
	agent.post(index, func(entry *entry) {
		if state.IsKnown() {
			entry.mergeEvacuation(state)
		}
	})
}

// checkEvacuation checks that an agent starts no run in a zone that has long been evacuated.
func (monitor *monitor) checkEvacuation(agent *agent) {
	simulation := agent.simulation
	if !simulation.operator.state.Contains(zoneOf(agent.index)) {
		return
	}
	if since := simulation.operator.since[agent.index%zones]; simulation.Now().Sub(since) > evacuationBound {
		monitor.fail(errors.Wrapf(ErrEvacuated, "%s, %s after the record", agent.name(), simulation.Now().Sub(since)))
	}
}
