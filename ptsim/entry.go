package ptsim

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptroom"
)

// entry is a simulated entry process.
type entry struct {
	fleet *fleet
	index int
	core  *ptassign.Core
	// freeAt is when the processor has handled what came before.
	freeAt ptid.Instant
	// sentAt is when the last message went to each agent.
	sentAt []ptid.Instant
}

func (fleet *fleet) newEntry(index int) *entry {
	entry := &entry{fleet: fleet, index: index, core: ptassign.New(uint64(fleet.random.Int64())), sentAt: make([]ptid.Instant, fleet.setting.Workers)}
	fleet.Every(tick, func() { entry.handle(entry.tick) })
	return entry
}

// tick does what is due, and tells the agents once that jobs wait.
func (entry *entry) tick() {
	entry.do(entry.core.Tick(entry.fleet.Now()))
	now := entry.fleet.Now()
	if _, alone := entry.core.CapacityRequestsToSend(now); !alone {
		return
	}
	for _, agent := range entry.fleet.agents {
		if now.Sub(entry.sentAt[agent.index]) >= ptassign.CapacityRequestInterval {
			entry.fleet.report.CapacityRequests++
			entry.send(agent, func() {})
		}
	}
}

func (entry *entry) name() ptid.EntryName { return ptid.EntryName(fmt.Sprint("entry-", entry.index)) }

func (fleet *fleet) entryOf(name ptid.EntryName) *entry { return fleet.entries[indexOf(string(name))] }

// indexOf returns the number after the dash of a name.
func indexOf(name string) (index int) {
	_, number, _ := strings.Cut(name, "-")
	index, err := strconv.Atoi(number)
	if err != nil {
		panic(err)
	}
	return index
}

func (entry *entry) owner() ptroom.Owner { return ptroom.Owner{Entry: entry.name(), Incarnation: 1} }

// handle lets the processor do something after what came before.
func (entry *entry) handle(do func()) {
	fleet := entry.fleet
	if fleet.setting.MessageCost == 0 {
		do()
		return
	}
	entry.freeAt = max(entry.freeAt, fleet.Now()).Add(fleet.setting.MessageCost)
	fleet.After(entry.freeAt.Sub(fleet.Now()), do)
}

// send carries a message to an agent.
func (entry *entry) send(agent *agent, arrive func()) {
	want := entry.core.CapacityRequests(entry.fleet.Now())[service]
	entry.sentAt[agent.index] = entry.fleet.Now()
	entry.fleet.After(entry.fleet.delay(entry, agent), func() {
		if !agent.away {
			agent.do(agent.core.RequestCapacity(entry.name(), want, entry.fleet.Now()))
			arrive()
		}
	})
}

func (entry *entry) submit(spec ptassign.Spec) {
	_, refusal, effects, err := entry.core.Submit(spec, entry.fleet.Now())
	if err != nil {
		panic(err)
	}
	if refusal != nil {
		entry.fleet.answered(spec.ID, 0, true)
	}
	entry.do(effects)
}

// do carries out effects.
func (entry *entry) do(effects []ptassign.Effect) {
	fleet := entry.fleet
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptassign.SendOrder:
			fleet.report.Orders++
			agent := fleet.agentOf(effect.Agent)
			entry.send(agent, func() {
				agent.do(agent.core.Order(ptroom.Order{
					Run: effect.Run, Owner: entry.owner(), Demand: effect.Demand, StartBy: effect.StartBy, WaitUntil: fleet.Now().Add(effect.MaxWait), QueueKey: effect.QueueKey,
					ExpectedRunTime: effect.ExpectedRunTime,
				}, fleet.Now()))
			})
		case ptassign.SendStop:
			agent := fleet.agentOf(effect.Agent)
			entry.send(agent, func() { agent.do(agent.core.Stop(effect.Run, effect.Reason, fleet.Now())) })
		case ptassign.SendQuery:
			agent := fleet.agentOf(effect.Agent)
			entry.send(agent, func() { agent.do(agent.core.QueryRun(entry.owner(), effect.Run, fleet.Now())) })
		case ptassign.JobEnded:
			fleet.answered(effect.Job.ID, effect.Job.State(), effect.Refusal != nil)
		case ptassign.SaveProgress, ptassign.RequestAdvice, ptassign.WorkerQuarantined:
		}
	}
}
