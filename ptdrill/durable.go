package ptdrill

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/pthandover"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	partitions = 4
	// These limits are those of package ptbroker.
	membershipTTL  = 1500 * time.Millisecond
	joinInterval   = 400 * time.Millisecond
	followInterval = 50 * time.Millisecond
)

// log is the log of the durable jobs. It also assigns the partitions to the entries.
type log struct {
	simulation *simulation
	specs      [partitions]map[ptid.JobID]ptgraph.Spec
	progress   [partitions]map[ptid.JobID]ptgraph.Progress
	// agents contains the record of the agents of each partition; nil if there is none.
	agents     [partitions]*ptjobstore.Agents
	fence      [partitions]ptjobstore.Epoch
	generation ptjobstore.Epoch
	// lastJoin contains the members. target is the member to which a partition is assigned, and
	// holder the member that has to give it up first, if there is another one.
	lastJoin map[*entry]ptid.Instant
	target   [partitions]*entry
	holder   [partitions]*entry
	rotation int
}

func newLog(simulation *simulation) *log {
	log := &log{simulation: simulation, lastJoin: make(map[*entry]ptid.Instant)}
	for partition := range partitions {
		log.specs[partition], log.progress[partition] = make(map[ptid.JobID]ptgraph.Spec), make(map[ptid.JobID]ptgraph.Progress)
	}
	return log
}

// join keeps a member in the group. generation is the last one that the member has received.
func (log *log) join(member *entry, generation ptjobstore.Epoch) (current ptjobstore.Epoch, assigned []ptjobstore.Partition) {
	now := log.simulation.Now()
	_, known := log.lastJoin[member]
	log.lastJoin[member] = now
	changed := !known
	for other, joinedAt := range log.lastJoin {
		if now.Sub(joinedAt) > membershipTTL {
			delete(log.lastJoin, other)
			changed = true
		}
	}
	if changed {
		log.assign()
	}
	for number := range partitions {
		_, holds := log.lastJoin[log.holder[number]]
		if !holds || log.holder[number] == member && log.target[number] != member && generation >= log.generation {
			log.holder[number] = nil
		}
		if log.target[number] == member && (log.holder[number] == nil || log.holder[number] == member) {
			log.holder[number] = member
			assigned = append(assigned, ptjobstore.Partition(number))
		}
	}
	return log.generation, assigned
}

// assign distributes the partitions evenly.
func (log *log) assign() {
	log.generation++
	members := slices.SortedFunc(maps.Keys(log.lastJoin), func(left, right *entry) int {
		return cmp.Or(cmp.Compare(left.index, right.index), cmp.Compare(left.incarnation, right.incarnation))
	})
	for number := range partitions {
		log.target[number] = members[(number+log.rotation)%len(members)]
	}
}

// openJobs returns the jobs that have not ended.
func (log *log) openJobs() (open []ptid.JobID) {
	for number := range partitions {
		for id := range log.specs[number] {
			if !log.progress[number][id].State.Ended() {
				open = append(open, id)
			}
		}
	}
	slices.Sort(open)
	return open
}

// durableJob is a durable job of a partition that an entry owns.
type durableJob struct {
	job                   *ptassign.Job
	pendingAcks           []pendingAck
	version, savedVersion int
}

type pendingAck struct {
	agent ptid.AgentName
	run   ptrun.ID
}

// ownedPartition is a partition that an entry owns.
type ownedPartition struct {
	number   ptjobstore.Partition
	epoch    ptjobstore.Epoch
	jobs     map[ptid.JobID]*durableJob
	dirty    map[ptid.JobID]bool
	saving   bool
	handover *pthandover.Handover
}

// ownership is the state of the partitions of an entry. It follows package ptbroker.
type ownership struct {
	entry      *entry
	generation ptjobstore.Epoch
	partitions map[ptjobstore.Partition]*ownedPartition
	startedAt  ptid.Instant
	// expiresAt is when another entry may become the owner of the partitions.
	expiresAt ptid.Instant
}

func newOwnership(entry *entry) *ownership {
	return &ownership{entry: entry, partitions: make(map[ptjobstore.Partition]*ownedPartition), startedAt: entry.simulation.Now()}
}

// callLog calls the log. While faults are injected, some calls get no response and are repeated.
func (ownership *ownership) callLog(execute func(log *log), respond func()) {
	simulation := ownership.entry.simulation
	if simulation.logCutUntil[ownership.entry.index] > simulation.Now() || !simulation.quiescent && simulation.happens(3) {
		ownership.entry.after(simulation.between(100*time.Millisecond, time.Second), func() { ownership.callLog(execute, respond) })
		return
	}
	simulation.After(simulation.delay(), func() {
		execute(simulation.log)
		ownership.entry.after(simulation.delay(), respond)
	})
}

// join renews the membership and follows the assignment.
func (ownership *ownership) join() {
	var generation ptjobstore.Epoch
	var assigned []ptjobstore.Partition
	last, requestedAt := ownership.generation, ownership.entry.simulation.Now()
	ownership.callLog(func(log *log) { generation, assigned = log.join(ownership.entry, last) }, func() {
		lapsed := generation > ownership.generation && ownership.entry.simulation.Now() >= ownership.expiresAt
		ownership.generation, ownership.expiresAt = max(ownership.generation, generation), requestedAt.Add(membershipTTL)
		ownership.entry.core.SetOwnershipExpiry(ownership.expiresAt)
		for _, number := range slices.Sorted(maps.Keys(ownership.partitions)) {
			if lapsed || !slices.Contains(assigned, number) {
				ownership.release(ownership.partitions[number])
			}
		}
		for _, number := range assigned {
			if ownership.partitions[number] == nil {
				ownership.acquire(number, generation)
			}
		}
		ownership.entry.after(joinInterval, ownership.join)
	})
}

func (ownership *ownership) release(released *ownedPartition) {
	ownership.entry.simulation.trace("%s releases partition %d", ownership.entry.name(), released.number)
	delete(ownership.partitions, released.number)
	for index := range agents {
		entry := ownership.entry
		entry.post(index, func(agent *agent) {
			agent.applyEffects(agent.core.ReleasePartition(entry.owner(), released.number, released.epoch, agent.simulation.Now()))
		})
	}
	for _, id := range slices.Sorted(maps.Keys(released.jobs)) {
		if job := released.jobs[id].job; !job.State().Ended() {
			ownership.entry.core.Release(job)
		}
	}
}

func (ownership *ownership) acquire(number ptjobstore.Partition, epoch ptjobstore.Epoch) {
	entry := ownership.entry
	acquired := &ownedPartition{
		number: number, epoch: epoch, jobs: make(map[ptid.JobID]*durableJob), dirty: make(map[ptid.JobID]bool), handover: pthandover.New(ownership.startedAt, entry.simulation.Now()),
	}
	ownership.partitions[number] = acquired
	entry.simulation.trace("%s acquires partition %d epoch %d", entry.name(), number, epoch)
	fenced := false
	ownership.callLog(func(log *log) {
		fenced = epoch < log.fence[number]
		log.fence[number] = max(log.fence[number], epoch)
	}, func() {
		switch {
		case ownership.partitions[number] != acquired:
		case fenced:
			ownership.release(acquired)
		default:
			ownership.follow(acquired)
		}
	})
}

// follow reads the specs and the progress of a partition, and repeats this at an interval.
func (ownership *ownership) follow(followed *ownedPartition) {
	var specs map[ptid.JobID]ptgraph.Spec
	var progress map[ptid.JobID]ptgraph.Progress
	var record *ptjobstore.Agents
	ownership.callLog(func(log *log) {
		record = log.agents[followed.number]
		specs, progress = maps.Clone(log.specs[followed.number]), maps.Clone(log.progress[followed.number])
	}, func() {
		if ownership.partitions[followed.number] != followed {
			return
		}
		for _, id := range slices.Sorted(maps.Keys(specs)) {
			if followed.jobs[id] == nil {
				saved, found := progress[id]
				ownership.addJob(followed, specs[id], saved, found, !followed.handover.IsFinished())
			}
		}
		if !followed.handover.IsLoaded() {
			var connected []ptid.AgentName
			for _, session := range ownership.entry.sessions {
				if session != nil {
					connected = append(connected, session.agent.name())
				}
			}
			followed.handover.Load(record, connected)
			for index := range ownership.entry.sessions {
				ownership.postAdoption(index, followed)
			}
		}
		ownership.entry.after(followInterval, func() { ownership.follow(followed) })
	})
}

func (ownership *ownership) addJob(partition *ownedPartition, spec ptgraph.Spec, saved ptgraph.Progress, found, recovering bool) {
	entry := ownership.entry
	spec.RunNumberBase = ptjobstore.RunNumberBase(partition.epoch)
	spec.UnknownRuns = partition.handover.MayHaveUnknownRuns()
	var progress *ptgraph.Progress
	if found {
		progress = &saved
	}
	added := &durableJob{}
	partition.jobs[spec.ID] = added
	job, effects, err := entry.core.SubmitDurable(ptassign.Spec{
		Spec: spec, Queue: ptqueue.Queue{Name: "durable", Service: service, Stretch: 2, TargetLatency: time.Second},
	}, progress, recovering, entry.simulation.Now())
	if err != nil {
		entry.simulation.monitor.fail(err)
		return
	}
	added.job = job
	entry.applyEffects(effects)
}

func (ownership *ownership) postAdoption(index int, partition *ownedPartition) {
	entry := ownership.entry
	entry.post(index, func(agent *agent) {
		agent.applyEffects(agent.core.AdoptPartition(entry.owner(), partition.number, partitions, partition.epoch, agent.simulation.Now()))
	})
}

// connecting records that an agent opens a session.
func (ownership *ownership) connecting(agent ptid.AgentName) {
	for _, partition := range ownership.partitions {
		partition.handover.AgentConnected(agent)
	}
}

// connected sends the adoptions to an agent that has opened a session.
func (ownership *ownership) connected(index int) {
	for _, number := range slices.Sorted(maps.Keys(ownership.partitions)) {
		if partition := ownership.partitions[number]; partition.handover.IsLoaded() {
			ownership.postAdoption(index, partition)
		}
	}
}

// find returns the partition of a job, if this entry owns it, and the job.
func (ownership *ownership) find(id ptid.JobID) (partition *ownedPartition, job *durableJob) {
	if partition = ownership.partitions[ptjobstore.PartitionOf(id, partitions)]; partition == nil {
		return nil, nil
	}
	return partition, partition.jobs[id]
}

// progressMade marks a job whose progress must be saved before the end of a run is acknowledged.
func (ownership *ownership) progressMade(effect ptassign.SaveProgress) {
	if partition, job := ownership.find(effect.Job.ID); job != nil {
		if effect.Agent != "" {
			job.pendingAcks = append(job.pendingAcks, pendingAck{agent: effect.Agent, run: effect.Run})
		}
		job.version++
		partition.dirty[effect.Job.ID] = true
	}
}

// handleEnd processes the end of a run that the core has not placed.
func (ownership *ownership) handleEnd(agent *agent, end ptrun.End) {
	entry := ownership.entry
	partition, job := ownership.find(end.Run.Task.Job)
	switch {
	case partition == nil || !partition.handover.IsLoaded() || ptjobstore.EpochOf(end.Run.Number) > partition.epoch || job == nil:
		// The agent sends the end again.
	case job.job.State().Ended() && job.savedVersion < job.version:
	case job.job.State().Ended() && ptgraph.IsVoidAfterEnd(end, job.job.VoidRun()):
		entry.reject(agent.name(), end.Run)
	case job.job.State().Ended():
		entry.post(agent.index, acknowledge(end.Run))
	default:
		effects, _ := entry.core.AdoptEnd(agent.name(), end, entry.simulation.Now())
		entry.applyEffects(effects)
	}
}

// reject tells an agent not to acknowledge an end.
func (entry *entry) reject(name ptid.AgentName, run ptrun.ID) {
	entry.simulation.trace("%s rejects the end of %v at %s", entry.name(), run, name)
	entry.post(agentIndex(name), func(target *agent) { target.core.RejectEnd(run) })
}

func acknowledge(run ptrun.ID) func(agent *agent) {
	return func(agent *agent) { agent.core.AcknowledgeEnd(run) }
}

// handleAdopted processes an agent's response to an adoption.
func (ownership *ownership) handleAdopted(agent *agent, number ptjobstore.Partition, epoch ptjobstore.Epoch, runs []ptrun.ID) {
	partition, entry := ownership.partitions[number], ownership.entry
	switch {
	case partition == nil || epoch < partition.epoch:
		return
	case epoch > partition.epoch:
		ownership.release(partition)
		return
	}
	for _, run := range runs {
		if partition.jobs[run.Task.Job] == nil {
			// The job was written after this entry had read the specs.
			if spec, found := entry.simulation.log.specs[number][run.Task.Job]; found {
				saved, found := entry.simulation.log.progress[number][run.Task.Job]
				ownership.addJob(partition, spec, saved, found, true)
			}
		}
		entry.applyEffects(entry.core.Adopt(agent.name(), run, entry.simulation.Now()))
		if job := partition.jobs[run.Task.Job]; job != nil && partition.handover.IsFinished() && job.job.Recovering {
			ownership.resume(partition, job.job)
		}
	}
	partition.handover.AgentConfirmed(agent.name())
}

// tick resumes placement in recovered partitions and saves progress.
func (ownership *ownership) tick() {
	now := ownership.entry.simulation.Now()
	for _, number := range slices.Sorted(maps.Keys(ownership.partitions)) {
		partition := ownership.partitions[number]
		if partition == nil || !partition.handover.IsLoaded() {
			continue
		}
		if partition.handover.TryFinish(ownership.entry.core, now) {
			ownership.entry.simulation.trace("%s recovers partition %d, missing %v", ownership.entry.name(), number, partition.handover.Missing())
			for _, id := range slices.Sorted(maps.Keys(partition.jobs)) {
				if job := partition.jobs[id].job; !job.State().Ended() {
					ownership.resume(partition, job)
				}
			}
		}
		if !partition.saving {
			ownership.saveIfChanged(partition)
		}
	}
}

// resume allows a recovered job to be placed.
func (ownership *ownership) resume(partition *ownedPartition, job *ptassign.Job) {
	entry := ownership.entry
	if partition.handover.MayHaveUnknownRuns() {
		entry.applyEffects(entry.core.AbandonUnknownRuns(job))
	}
	entry.applyEffects(entry.core.FinishRecovery(job, entry.simulation.Now()))
}

// saveIfChanged writes the changed progress and the changed record of agents.
func (ownership *ownership) saveIfChanged(partition *ownedPartition) {
	agents, changed := partition.handover.RecordToWrite(ownership.entry.core, ownership.entry.simulation.Now())
	switch {
	case changed:
		ownership.save(partition, &ptjobstore.Agents{Names: agents})
	case len(partition.dirty) > 0:
		ownership.save(partition, nil)
	}
}

// save writes the progress of the changed jobs and a record of agents, unless that is nil. It
// acknowledges the ends that the progress contains.
func (ownership *ownership) save(partition *ownedPartition, record *ptjobstore.Agents) {
	progress, versions := make(map[ptid.JobID]ptgraph.Progress), make(map[ptid.JobID]int)
	var acks []pendingAck
	for _, id := range slices.Sorted(maps.Keys(partition.dirty)) {
		job := partition.jobs[id]
		progress[id], versions[id] = job.job.Progress(), job.version
		acks = append(acks, job.pendingAcks...)
		job.pendingAcks = nil
	}
	clear(partition.dirty)
	partition.saving = true
	fenced := false
	ownership.callLog(func(log *log) {
		if fenced = partition.epoch < log.fence[partition.number]; !fenced {
			maps.Copy(log.progress[partition.number], progress)
			if record != nil {
				log.agents[partition.number] = record
			}
		}
	}, func() {
		switch {
		case ownership.partitions[partition.number] != partition:
		case fenced:
			ownership.release(partition)
		default:
			partition.saving = false
			if record != nil {
				ownership.agentsRecorded(partition)
			}
			ownership.progressSaved(partition, progress, versions)
			for _, ack := range acks {
				ownership.entry.post(agentIndex(ack.agent), acknowledge(ack.run))
			}
		}
	})
}

// progressSaved records that the log holds the progress of jobs in the given versions.
func (ownership *ownership) progressSaved(partition *ownedPartition, progress map[ptid.JobID]ptgraph.Progress, versions map[ptid.JobID]int) {
	for _, id := range slices.Sorted(maps.Keys(versions)) {
		job := partition.jobs[id]
		job.savedVersion = versions[id]
		if !job.job.State().Ended() {
			ownership.entry.applyEffects(ownership.entry.core.ProgressSaved(job.job, progress[id], ownership.entry.simulation.Now()))
		}
	}
}

// agentsRecorded sends the orders that waited for the record of agents.
func (ownership *ownership) agentsRecorded(partition *ownedPartition) {
	for _, order := range partition.handover.RecordWritten() {
		ownership.entry.postOrder(order)
	}
}

// postBroadcast sends the end of a run of a durable job to all entries.
func (agent *agent) postBroadcast(end ptrun.End) {
	for index := range entries {
		agent.post(index, func(entry *entry) { entry.receiveEnd(agent, end) })
	}
}

// receiveEnd processes the end of a run.
func (entry *entry) receiveEnd(agent *agent, end ptrun.End) {
	if ptjobstore.IsDurable(end.Run.Number) && !entry.core.HasRun(agent.name(), end.Run) {
		entry.ownership.handleEnd(agent, end)
		return
	}
	entry.applyEffects(entry.core.RunEnded(agent.name(), end, entry.simulation.Now()))
}

// submitDurable writes a job to the log.
func (simulation *simulation) submitDurable(spec ptgraph.Spec) {
	simulation.log.specs[ptjobstore.PartitionOf(spec.ID, partitions)][spec.ID] = spec
}

// rebalance reassigns all partitions.
func (simulation *simulation) rebalance() {
	if log := simulation.log; len(log.lastJoin) > 0 {
		log.rotation++
		log.assign()
	}
}
