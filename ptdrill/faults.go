package ptdrill

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
)

const (
	// minRestartDelay and maxRestartDelay bound the time that a killed process is down.
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = time.Second
	maxPause        = 5 * time.Second
)

// scheduleFaults injects the selected kinds of faults at random times.
func (simulation *simulation) scheduleFaults() {
	faults := simulation.setting.Faults
	schedule := func(selected bool, interval time.Duration, inject func()) {
		if !selected {
			return
		}
		var next func()
		next = func() {
			if simulation.quiescent {
				return
			}
			simulation.report.Faults++
			inject()
			simulation.After(simulation.between(interval/2, 3*interval/2), next)
		}
		simulation.After(simulation.between(interval/2, 3*interval/2), next)
	}
	schedule(faults.Single, 300*time.Millisecond, simulation.injectSingleFault)
	schedule(faults.Mass && simulation.setting.Durable, 10*time.Second, simulation.rebalance)
	schedule(faults.Mass, 7*time.Second, simulation.injectMassFault)
	schedule(faults.UnansweredOrders, 1500*time.Millisecond, simulation.loseOrders)
	schedule(faults.Stalls, time.Second, func() {
		duration := simulation.between(300*time.Millisecond, 3*time.Second)
		for _, index := range simulation.someAgents() {
			worker := simulation.workers[index]
			worker.stalledUntil = max(worker.stalledUntil, simulation.Now().Add(duration))
			simulation.trace("%s does not respond for %s", workerName(worker.identity), duration)
		}
	})
	schedule(faults.StarvedMachines, time.Second, func() {
		duration := simulation.between(300*time.Millisecond, 3*time.Second)
		for _, index := range simulation.someAgents() {
			agent := simulation.agents[index]
			agent.starvedUntil = max(agent.starvedUntil, simulation.Now().Add(duration))
			simulation.trace("the machine of %s is starved for %s", agent.name(), duration)
		}
	})
	schedule(faults.Mismatches, 2*time.Second, func() {
		simulation.crashWorker(simulation.random.IntN(agents), simulation.between(time.Millisecond, 200*time.Millisecond))
	})
	schedule(faults.WorkerCuts, 800*time.Millisecond, func() {
		worker, duration := simulation.workers[simulation.random.IntN(agents)], simulation.between(2*time.Second, 12*time.Second)
		worker.stalledUntil = max(worker.stalledUntil, simulation.Now().Add(duration))
		simulation.trace("%s is cut off for %s", workerName(worker.identity), duration)
	})
	schedule(faults.LongCuts, 8*time.Second, func() {
		entryIndex, duration := simulation.random.IntN(entries), simulation.between(3*time.Second, 9*time.Second)
		for index := range agents {
			if simulation.happens(70) {
				simulation.cut(entryIndex, index, duration)
			}
		}
	})
	schedule(faults.UnseenAgents, 6*time.Second, simulation.hideAgents)
	schedule(faults.Evacuations, 4*time.Second, simulation.toggleEvacuation)
	schedule(faults.ChangingCapacity, time.Second, func() {
		worker := simulation.workers[simulation.random.IntN(agents)]
		worker.setCapacity(10 * (1 + simulation.random.Int64N(9)))
		simulation.After(simulation.between(time.Second, 12*time.Second), func() { worker.setCapacity(100) })
	})
	schedule(faults.FrozenMachines, 2*time.Second, func() {
		duration := simulation.between(300*time.Millisecond, maxPause)
		for _, index := range simulation.someAgents() {
			simulation.trace("machine %d stands still for %s", index, duration)
			simulation.workers[index].freeze(duration)
			simulation.agents[index].pause(duration)
		}
	})
}

// hideAgents restarts an entry that then has no session with some of the agents for a long time. Later,
// partitions of the other entries are assigned to it.
func (simulation *simulation) hideAgents() {
	entryIndex, duration := simulation.random.IntN(entries), simulation.between(8*time.Second, 20*time.Second)
	for index := range agents {
		if simulation.happens(40) {
			simulation.cut(entryIndex, index, duration)
		}
	}
	simulation.killEntry(entryIndex, simulation.between(minRestartDelay, maxRestartDelay))
	other := (entryIndex + 1 + simulation.random.IntN(entries-1)) % entries
	simulation.After(simulation.between(5*time.Second, duration), func() {
		switch {
		case simulation.quiescent:
		case simulation.happens(33):
			simulation.rebalance()
		case simulation.happens(50):
			simulation.trace("entry%d is cut off from the log", other)
			simulation.logCutUntil[other] = simulation.Now().Add(simulation.between(6*time.Second, 14*time.Second))
		default:
			simulation.killEntry(other, simulation.between(time.Second, 3*time.Second))
		}
	})
}

// someAgents returns the index of one agent, or in one of six cases the indexes of all agents.
func (simulation *simulation) someAgents() (indexes []int) {
	if simulation.random.IntN(6) > 0 {
		return []int{simulation.random.IntN(agents)}
	}
	for index := range agents {
		indexes = append(indexes, index)
	}
	return indexes
}

// loseOrders makes most calls of one kind get no response for seconds.
func (simulation *simulation) loseOrders() {
	kind, percent := callKind(simulation.random.IntN(int(callKinds))), 50+simulation.random.IntN(46)
	until := simulation.Now().Add(simulation.between(time.Second, 6*time.Second))
	for _, index := range simulation.someAgents() {
		simulation.trace("%d %% of the calls of kind %d to worker %d get no response", percent, kind, index)
		simulation.network[index].unanswered[kind], simulation.network[index].unansweredUntil[kind] = percent, until
	}
}

func (simulation *simulation) injectSingleFault() {
	random := simulation.random
	entryIndex, index := random.IntN(entries), random.IntN(agents)
	duration := simulation.between(50*time.Millisecond, 3050*time.Millisecond)
	switch random.IntN(8) {
	case 0:
		simulation.cut(entryIndex, index, duration)
	case 1:
		for other := range entries {
			simulation.cut(other, index, duration)
		}
	case 2:
		simulation.killEntry(entryIndex, duration)
	case 3:
		simulation.killAgent(index, simulation.between(minRestartDelay, maxRestartDelay))
	case 4:
		simulation.entries[entryIndex].pause(duration)
		simulation.trace("%s is paused for %s", simulation.entries[entryIndex].name(), duration)
	case 5:
		simulation.agents[index].pause(duration)
		simulation.trace("%s is paused for %s", simulation.agents[index].name(), duration)
	case 6:
		simulation.crashWorker(index, duration)
	case 7:
		worker := simulation.workers[index]
		worker.setSlow(true)
		simulation.After(simulation.between(time.Second, 5*time.Second), func() { worker.setSlow(false) })
	}
}

func (simulation *simulation) injectMassFault() {
	fault := simulation.random.IntN(4)
	pause := simulation.between(300*time.Millisecond, maxPause)
	simulation.trace("mass fault %d", fault)
	for index := range agents {
		switch fault {
		case 0, 2:
			simulation.killAgent(index, simulation.between(minRestartDelay, maxRestartDelay))
		case 3:
			simulation.agents[index].pause(pause)
		}
	}
	for index := range entries {
		switch fault {
		case 1, 2:
			simulation.killEntry(index, simulation.between(minRestartDelay, maxRestartDelay))
		case 3:
			simulation.entries[index].pause(pause)
		}
		if simulation.setting.Faults.CallerBreaks {
			simulation.disconnectCallers(simulation.entries[index], 30)
		}
	}
}

func (simulation *simulation) cut(entryIndex, index int, duration time.Duration) {
	simulation.trace("the link of entry%d and agent%d is cut for %s", entryIndex, index, duration)
	until := &simulation.cutUntil[entryIndex][index]
	*until = max(*until, simulation.Now().Add(duration))
}

// crashWorker replaces a worker by a new incarnation. With [Faults.Mismatches], it has the same ID
// in one of two cases.
func (simulation *simulation) crashWorker(index int, duration time.Duration) {
	crashed := simulation.workers[index]
	if !crashed.alive {
		return
	}
	crashed.crash()
	id := crashed.identity.ID
	if !simulation.setting.Faults.Mismatches || simulation.happens(50) {
		id = ""
	}
	simulation.After(duration, func() { simulation.workers[index] = simulation.newWorker(index, id) })
}

// disconnectCallers breaks the connections of a share of an entry's callers.
func (simulation *simulation) disconnectCallers(entry *entry, percent int) {
	for _, id := range sortedKeys(entry.open) {
		if simulation.happens(percent) {
			entry.disconnectCaller(id)
		}
	}
}

func (simulation *simulation) killEntry(index int, duration time.Duration) {
	killed := simulation.entries[index]
	if !killed.alive {
		return
	}
	simulation.trace("%s is killed", killed.name())
	simulation.disconnectCallers(killed, 100)
	killed.alive = false
	machineGone := simulation.happens(30)
	for _, session := range killed.sessions {
		if session != nil {
			session.abandon(ptlink.EntrySide, machineGone)
		}
	}
	simulation.After(duration, func() { simulation.startEntry(index) })
}

func (simulation *simulation) killAgent(index int, duration time.Duration) {
	killed := simulation.agents[index]
	if !killed.alive {
		return
	}
	simulation.trace("%s is killed", killed.name())
	killed.alive = false
	for _, session := range killed.connections {
		session.closeUnopened()
	}
	simulation.After(duration, func() { simulation.startAgent(index) })
}

func sortedKeys(jobs map[ptid.JobID]*openJob) []ptid.JobID {
	return slices.Sorted(maps.Keys(jobs))
}
