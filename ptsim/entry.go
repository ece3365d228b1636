package ptsim

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
)

// entry is a simulated entry process.
type entry struct {
	simulation *simulation
	index      int
	core       *ptassign.Core
	// busyUntil is the time until which the processor is busy with earlier messages.
	busyUntil ptid.Instant
	// sentAt is the time of the last message to each agent.
	sentAt []ptid.Instant
	// quarantined contains the agents whose workers the entry has quarantined.
	quarantined map[ptid.AgentName]bool
}

func (simulation *simulation) newEntry(index int) *entry {
	entry := &entry{simulation: simulation, index: index, core: ptassign.New(uint64(simulation.random.Int64())), sentAt: make([]ptid.Instant, simulation.setting.Workers), quarantined: make(map[ptid.AgentName]bool)}
	entry.core.PlaceBySpeed(simulation.setting.PlaceBySpeed)
	entry.core.SetRemoteFactor(simulation.setting.Locality.KnownFactor)
	entry.core.SetLocalityPolicy(simulation.setting.Locality.Policy)
	simulation.Every(tickInterval, func() { entry.process(entry.tick) })
	return entry
}

// tick runs the periodic work of the entry. If capacity requests must be sent in frames of
// their own, it sends them to the agents that were sent no message for
// ptassign.CapacityRequestInterval.
func (entry *entry) tick() {
	entry.applyEffects(entry.core.Tick(entry.simulation.Now()))
	now := entry.simulation.Now()
	if _, dedicated := entry.core.CapacityRequestsToSend(now); !dedicated {
		return
	}
	for _, agent := range entry.simulation.agents {
		if now.Sub(entry.sentAt[agent.index]) >= ptassign.CapacityRequestInterval {
			entry.simulation.report.CapacityRequests++
			entry.send(agent, func() {})
		}
	}
}

func (entry *entry) name() ptid.EntryName { return ptid.EntryName(fmt.Sprint("entry-", entry.index)) }

func (simulation *simulation) entryOf(name ptid.EntryName) *entry {
	return simulation.entries[indexOf(string(name))]
}

// indexOf returns the number after the dash in a process name.
func indexOf(name string) (index int) {
	_, number, _ := strings.Cut(name, "-")
	index, err := strconv.Atoi(number)
	if err != nil {
		panic(err)
	}
	return index
}

func (entry *entry) owner() ptruncontrol.Owner {
	return ptruncontrol.Owner{Entry: entry.name(), Incarnation: 1}
}

// process calls handle after the processor has spent MessageCost on each earlier message and
// on this message.
func (entry *entry) process(handle func()) {
	simulation := entry.simulation
	if simulation.setting.MessageCost == 0 {
		handle()
		return
	}
	entry.busyUntil = max(entry.busyUntil, simulation.Now()).Add(simulation.setting.MessageCost)
	simulation.After(entry.busyUntil.Sub(simulation.Now()), handle)
}

// send sends a message with the current capacity request to an agent. onArrival is called
// after the agent has handled the request.
func (entry *entry) send(agent *agent, onArrival func()) {
	request := entry.core.CapacityRequests(entry.simulation.Now())[service]
	entry.sentAt[agent.index] = entry.simulation.Now()
	entry.simulation.After(entry.simulation.messageDelay(entry, agent), func() {
		if !agent.down {
			agent.applyEffects(agent.core.RequestCapacity(entry.name(), request, entry.simulation.Now()))
			onArrival()
		}
	})
}

func (entry *entry) submit(spec ptassign.Spec) {
	_, refusal, effects, err := entry.core.Submit(spec, entry.simulation.Now())
	if err != nil {
		panic(err)
	}
	if refusal != nil {
		entry.simulation.refused(spec)
		entry.simulation.jobEnded(spec.ID, 0, true)
	}
	entry.applyEffects(effects)
}

// applyEffects executes the effects that the core returned.
func (entry *entry) applyEffects(effects []ptassign.Effect) {
	simulation := entry.simulation
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptassign.SendOrder:
			simulation.report.Orders++
			sentAt := simulation.Now()
			agent := simulation.agentOf(effect.Agent)
			entry.send(agent, func() {
				agent.applyEffects(agent.core.Order(ptruncontrol.Order{
					Run: effect.Run, Owner: entry.owner(), Demand: effect.Demand, SentAt: sentAt, StartBy: effect.StartBy, WaitUntil: simulation.Now().Add(effect.MaxWait), QueueKey: effect.QueueKey,
					ExpectedRunTime: effect.ExpectedRunTime, Queue: effect.Queue,
				}, simulation.Now()))
			})
		case ptassign.SendStop:
			agent := simulation.agentOf(effect.Agent)
			entry.send(agent, func() { agent.applyEffects(agent.core.Stop(effect.Run, effect.Reason, simulation.Now())) })
		case ptassign.SendQuery:
			agent := simulation.agentOf(effect.Agent)
			entry.send(agent, func() { agent.applyEffects(agent.core.QueryRun(entry.owner(), effect.Run, simulation.Now())) })
		case ptassign.JobEnded:
			if effect.Refusal != nil {
				simulation.report.RefusedLater++
			}
			simulation.jobEnded(effect.Job.ID, effect.Job.State(), effect.Refusal != nil)
		case ptassign.LocalityEvent:
			simulation.report.LocalityOutcomes[effect.Outcome]++
		case ptassign.WorkerQuarantined:
			if delete(entry.quarantined, effect.Agent); effect.Quarantined {
				entry.quarantined[effect.Agent] = true
			}
		case ptassign.SaveProgress, ptassign.RejectEnd, ptassign.TaskHeld, ptassign.LossResolved, ptassign.RequestAdvice:
		}
	}
}
