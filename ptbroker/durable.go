package ptbroker

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/pthandover"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// membershipTTL is how long an owner that does not renew its membership keeps its
	// partitions.
	membershipTTL = 1500 * time.Millisecond
	// joinInterval allows three attempts to renew the membership within membershipTTL.
	joinInterval = 400 * time.Millisecond
	// followWait limits how long a read waits for a new spec. It also limits the time to detect
	// a broken connection.
	followWait = 2 * time.Second
	// storeRetryDelay is the delay after a failed call to the log.
	storeRetryDelay = 100 * time.Millisecond
	// storeTimeout limits a call to the log. In putRecord it limits all attempts together, and
	// thereby the time to accept a job.
	storeTimeout = time.Second
	// maxOrphanLookups limits how many jobs with orphan progress, which is progress without a
	// spec, are looked up in one cleanup. Each lookup takes two calls to the log.
	maxOrphanLookups = 8
	// maxOpenTasks limits how many tasks the open occurrences of one job have together. Occurrences
	// may be due all at once.
	maxOpenTasks = 20_000
	// maxLoggedAgents bounds the length of a log line.
	maxLoggedAgents = 8
	// cleanupsPerRetention is how many times expired jobs are searched for and deleted within
	// one period of Setting.EndedJobRetention.
	cleanupsPerRetention = 30
)

// pendingAck is an end that will be acknowledged to its agent once the progress is saved.
type pendingAck struct {
	agent ptid.AgentName
	run   ptrun.ID
}

// durableJob is a durable job in a partition that this entry owns.
type durableJob struct {
	spec     ptjobstore.Spec
	progress ptjobstore.Progress
	// open holds the occurrences that are submitted to the core and have not ended.
	open map[ptrun.Occurrence]*ptassign.Job
	// next is the first occurrence that is not due yet.
	next        ptrun.Occurrence
	pendingAcks []pendingAck
	// version counts the changes of the job. savedVersion is the version that the log holds.
	version, savedVersion int
	// visibleState is the state that callers see. It shows the end of the job only after the
	// log holds it.
	visibleState ptgraph.State
	// deleting is true while the records of the job are being deleted.
	deleting bool
}

func (job *durableJob) occurrenceCount() ptrun.Occurrence {
	return ptrun.Occurrence(max(1, job.spec.OccurrenceCount))
}

// mayOpenOccurrence reports whether another occurrence of the job may be open at the same time.
func (job *durableJob) mayOpenOccurrence() bool {
	tasks := 0
	for _, step := range job.spec.Steps {
		tasks += step.Count
	}
	return len(job.open) == 0 || (len(job.open)+1)*tasks <= maxOpenTasks
}

func (job *durableJob) isScheduled() bool { return job.spec.OccurrenceCount > 0 }

// selfTerminating reports whether the job has no schedule and ends by itself once its tasks
// have run.
func (job *durableJob) selfTerminating() bool {
	return !job.isScheduled() && !slices.ContainsFunc(job.spec.Steps, func(step ptgraph.Step) bool { return step.LongRunning })
}

// ownedPartition is a partition that this entry owns.
type ownedPartition struct {
	number ptjobstore.Partition
	epoch  ptjobstore.Epoch
	stop   context.CancelFunc
	jobs   map[ptid.JobID]*durableJob
	// dirty holds the jobs whose progress must be saved or deleted.
	dirty    map[ptid.JobID]bool
	saving   bool
	sequence uint64
	// verifying is true while the log is asked whether the partition has had a later owner.
	verifying bool
	// handover determines when tasks may be placed, and at which agents.
	handover *pthandover.Handover
	// scheduled holds the jobs with future occurrences. nextCleanupAt is the time of the next
	// search for expired jobs.
	scheduled     map[ptid.JobID]*durableJob
	nextCleanupAt ptid.Instant
	// orphanProgress holds the progress, saved by earlier owners, of jobs whose specs this entry
	// has not read yet. unresolved holds the runs of unknown jobs. resolving holds the jobs with
	// a log lookup in progress. missing holds the jobs that the log does not contain.
	orphanProgress map[ptid.JobID]ptjobstore.Progress
	// cancelled holds the cancellations of unknown jobs (cancel.go).
	cancelled  map[ptid.JobID]*cancellation
	unresolved map[ptid.JobID][]unresolvedRun
	resolving  map[ptid.JobID]bool
	missing    map[ptid.JobID]bool
}

// markChanged marks a job whose progress must be saved.
func (partition *ownedPartition) markChanged(job *durableJob) {
	job.version++
	partition.dirty[job.spec.ID] = true
}

// ownership is the state of the partitions that this entry owns. The broker's lock guards its
// fields.
type ownership struct {
	store      ptjobstore.Store
	memberID   string
	epoch      ptjobstore.Epoch
	partitions map[ptjobstore.Partition]*ownedPartition
	startedAt  ptid.Instant
	// expiresAt is when another entry may become the owner of the partitions, unless the membership
	// is renewed before.
	expiresAt ptid.Instant
	// lostEpoch is the highest epoch in which a partition was released on the word of an agent. This
	// entry acquires no partition in that epoch again, since it would number runs and saves anew.
	lostEpoch ptjobstore.Epoch
}

// mayHaveLapsed reports whether another entry may have owned the partitions since the latest
// renewal of the membership, also those that the next renewal assigns to this entry again.
func (ownership *ownership) mayHaveLapsed(epoch ptjobstore.Epoch, now ptid.Instant) bool {
	return epoch > ownership.epoch && now >= ownership.expiresAt
}

// SubmitDurable writes a job to the log. If it returns nil, the job will be executed. If it
// returns ErrRefused, the job will never run. After any other error, the outcome is unknown.
func (broker *Broker) SubmitDurable(ctx context.Context, spec ptjobstore.Spec) (err error) {
	defer func() {
		broker.deps.Log.Info("put job record", "job", spec.ID, "queue", spec.Queue, "error", errorText(err))
	}()
	record, err := ptjobstore.Encode(spec)
	if err != nil {
		return err
	}
	return broker.putRecord(ctx, spec.ID, ptjobstore.Record{Key: ptjobstore.SpecKey(spec.ID), Value: record})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// maintainOwnership renews the membership and follows the partition assignment until ctx ends.
func (broker *Broker) maintainOwnership(ctx context.Context) {
	if broker.ownership.store == nil {
		return
	}
	lost := false
	for ctx.Err() == nil {
		requestedAt := broker.deps.Clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, membershipTTL)
		membership, err := broker.ownership.store.Join(callCtx, broker.ownership.memberID, broker.ownership.epoch, membershipTTL)
		cancel()
		if lost != (err != nil) {
			lost = err != nil
			broker.deps.Log.Info("partition owner membership changed", "lost", lost, "error", errorText(err))
		}
		if err == nil {
			broker.applyAssignment(ctx, membership, requestedAt)
			broker.leaveLostEpoch(ctx, membership.Epoch)
		}
		sleep(ctx, joinInterval)
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// memberSeparator separates the address and the incarnation in a member ID. A restarted process
// is a new member. If it reused the ID of its predecessor, it would get the same epoch, and
// reuse the predecessor's run numbers and save sequence numbers within that epoch.
const memberSeparator = "/"

func newMemberID(address string, incarnation ptid.Incarnation) string {
	return address + memberSeparator + strconv.FormatUint(uint64(incarnation), 36)
}

// MemberID returns the ID of this process in the consumer group of the owners.
func (broker *Broker) MemberID() string { return broker.ownership.memberID }

// memberAddress returns the address in a member ID.
func memberAddress(member string) string {
	address, _, _ := strings.Cut(member, memberSeparator)
	return address
}

// leaveOwners gives up all partitions on shutdown. Agents send the ends that are not saved yet
// to the later owners.
func (broker *Broker) leaveOwners() {
	if broker.ownership.store == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	err := broker.ownership.store.Leave(ctx, broker.ownership.memberID)
	broker.deps.Log.Info("left the consumer group of partition owners", "error", errorText(err))
	broker.mu.Lock()
	defer broker.mu.Unlock()
	for _, partition := range broker.ownership.partitions {
		broker.releasePartition(partition, "shutdown")
	}
}

// applyAssignment acquires and releases partitions according to the assignment by the consumer
// group, which was requested at requestedAt.
func (broker *Broker) applyAssignment(ctx context.Context, membership ptjobstore.Membership, requestedAt ptid.Instant) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	ownership := &broker.ownership
	lapsed := ownership.mayHaveLapsed(membership.Epoch, broker.deps.Clock.Now())
	ownership.epoch, ownership.expiresAt = max(ownership.epoch, membership.Epoch), requestedAt.Add(membershipTTL)
	broker.core.SetOwnershipExpiry(ownership.expiresAt)
	for number, partition := range ownership.partitions {
		switch {
		case !slices.Contains(membership.Partitions, number):
			broker.releasePartition(partition, "reassigned to another entry")
		case lapsed:
			broker.releasePartition(partition, "membership may have expired meanwhile")
		}
	}
	for _, number := range membership.Partitions {
		if ownership.partitions[number] != nil || membership.Epoch <= ownership.lostEpoch {
			continue
		}
		partitionCtx, stop := context.WithCancel(ctx)
		partition := &ownedPartition{
			number: number, epoch: membership.Epoch, stop: stop, jobs: make(map[ptid.JobID]*durableJob),
			dirty: make(map[ptid.JobID]bool), scheduled: make(map[ptid.JobID]*durableJob), handover: pthandover.New(ownership.startedAt, broker.deps.Clock.Now()),
			orphanProgress: make(map[ptid.JobID]ptjobstore.Progress), unresolved: make(map[ptid.JobID][]unresolvedRun),
			resolving: make(map[ptid.JobID]bool), missing: make(map[ptid.JobID]bool), cancelled: make(map[ptid.JobID]*cancellation),
		}
		ownership.partitions[number] = partition
		go broker.runPartition(partitionCtx, partition)
	}
}

// releasePartition gives up a partition. Its runs continue until a later owner adopts them.
// The caller holds the lock.
func (broker *Broker) releasePartition(partition *ownedPartition, reason string) {
	broker.deps.Log.Info("partition released", "partition", partition.number, "epoch", partition.epoch, "why", reason, "jobs", len(partition.jobs))
	partition.stop()
	delete(broker.ownership.partitions, partition.number)
	for _, agent := range broker.agentSessions {
		agent.postRelease(partition)
	}
	for _, job := range partition.jobs {
		for _, open := range job.open {
			broker.core.Release(open)
		}
	}
}

// runPartition loads a partition, adopts its runs, and follows its new specs until ctx ends.
func (broker *Broker) runPartition(ctx context.Context, partition *ownedPartition) {
	var next ptjobstore.Offset
	for ctx.Err() == nil {
		var err error
		if next, err = broker.loadPartition(ctx, partition); err == nil {
			break
		}
		broker.deps.Log.Info("failed to load partition", "partition", partition.number, "epoch", partition.epoch, "error", err.Error())
		if errors.Is(err, ptjobstore.ErrFenced) {
			broker.mu.Lock()
			if broker.ownership.partitions[partition.number] == partition {
				broker.releasePartition(partition, "fenced")
			}
			broker.mu.Unlock()
			return
		}
		sleep(ctx, storeRetryDelay)
	}
	for ctx.Err() == nil {
		records, following, err := broker.ownership.store.Follow(ctx, partition.number, next, followWait)
		if errors.Is(err, ptjobstore.ErrExpired) {
			records, following, err = broker.ownership.store.Specs(ctx, partition.number)
		}
		if err != nil {
			sleep(ctx, storeRetryDelay)
			continue
		}
		next = following
		broker.mu.Lock()
		if broker.ownership.partitions[partition.number] == partition {
			broker.applySpecs(partition, records)
		}
		broker.mu.Unlock()
	}
}

// loadPartition fences earlier owners and reads the specs and the progress of the partition.
func (broker *Broker) loadPartition(ctx context.Context, partition *ownedPartition) (next ptjobstore.Offset, err error) {
	store := broker.ownership.store
	if err := store.Fence(ctx, partition.number, partition.epoch); err != nil {
		return 0, err
	}
	specs, next, err := store.Specs(ctx, partition.number)
	if err != nil {
		return 0, err
	}
	progress, err := store.Progress(ctx, partition.number)
	if err != nil {
		return 0, err
	}
	broker.mu.Lock()
	defer broker.mu.Unlock()
	if broker.ownership.partitions[partition.number] != partition {
		return next, nil
	}
	var agents *ptjobstore.Agents
	for _, record := range progress {
		if record.Key == ptjobstore.AgentsKey {
			agents = broker.decodeAgents(partition, record.Value)
			continue
		}
		decoded, err := ptjobstore.DecodeProgress(record.Value)
		if err != nil {
			broker.deps.Log.Error(err, "ignoring undecodable progress", "key", record.Key)
			continue
		}
		partition.orphanProgress[ptid.JobID(record.Key)] = decoded
	}
	for _, record := range specs {
		if id, isCancellation := ptjobstore.ParseKey(record.Key); !isCancellation {
			broker.addJob(partition, id, record.Value)
		}
	}
	broker.applySpecs(partition, specs)
	partition.handover.Load(agents, slices.Collect(maps.Keys(broker.agentSessions)))
	for _, agent := range broker.agentSessions {
		agent.postAdoption(partition, store.Partitions())
	}
	broker.deps.Log.Info("partition loaded", "partition", partition.number, "epoch", partition.epoch, "jobs", len(partition.jobs), "agents", len(broker.agentSessions),
		"hasRecord", agents != nil, "recordedAgents", len(partition.handover.Missing()))
	return next, nil
}

// applySpecs processes new specs and cancellations. The caller holds the lock.
func (broker *Broker) applySpecs(partition *ownedPartition, records []ptjobstore.Record) {
	for _, record := range records {
		id, isCancellation := ptjobstore.ParseKey(record.Key)
		switch {
		case isCancellation && len(record.Value) > 0:
			broker.cancelJob(partition, id)
		case isCancellation:
			delete(partition.cancelled, id)
		case !isCancellation && len(record.Value) > 0 && partition.jobs[id] == nil:
			broker.addJob(partition, id, record.Value)
		}
	}
}

// addJob adds a job to the partition. The caller holds the lock.
func (broker *Broker) addJob(partition *ownedPartition, id ptid.JobID, record []byte) {
	spec, err := ptjobstore.DecodeSpec(record)
	if err != nil {
		broker.deps.Log.Error(err, "ignoring undecodable job spec", "job", id)
		return
	}
	job := &durableJob{spec: spec, open: make(map[ptrun.Occurrence]*ptassign.Job)}
	if progress, found := partition.orphanProgress[id]; found {
		job.progress = progress
		job.next, job.visibleState = progress.EndedOccurrences, progress.State
		delete(partition.orphanProgress, id)
	}
	partition.jobs[id] = job
	if partition.cancelled[id] != nil && !job.progress.State.Ended() {
		broker.cancelJob(partition, id)
	}
	if job.progress.State.Ended() {
		broker.adoptUnresolved(partition, id)
		return
	}
	broker.deps.Log.Info("durable job loaded", "job", id, "partition", partition.number, "epoch", partition.epoch, "state", job.progress.State.String(), "times", spec.OccurrenceCount)
	if job.isScheduled() {
		partition.scheduled[id] = job
	}
	broker.openDueOccurrences(partition, job)
	broker.adoptUnresolved(partition, id)
}

// openDueOccurrences submits the due occurrences of a job to the core. The caller holds the
// lock.
func (broker *Broker) openDueOccurrences(partition *ownedPartition, job *durableJob) {
	for ; job.next < job.occurrenceCount() && job.mayOpenOccurrence(); job.next++ {
		if job.isScheduled() && time.Now().Before(job.spec.StartAt.Add(time.Duration(job.next)*job.spec.Interval)) {
			return
		}
		progress, found := job.progress.Occurrences[job.next]
		if found && progress.State.Ended() {
			continue
		}
		var saved *ptgraph.Progress
		if found {
			saved = &progress
		}
		spec := job.spec
		open, effects, err := broker.core.SubmitDurable(ptassign.Spec{
			Spec: ptgraph.Spec{
				ID: spec.ID, Payload: spec.Payload, Steps: slices.Clone(spec.Steps), MaxAttempts: spec.MaxAttempts,
				Occurrence: job.next, RunNumberBase: ptjobstore.RunNumberBase(partition.epoch),
				UnknownRuns: partition.handover.MayHaveUnknownRuns(),
			},
			Queue: ptqueue.Queue{
				Name: spec.Queue, Service: spec.Service, Priority: spec.Priority, MaxAttempts: spec.MaxAttempts,
				Stretch: spec.Stretch, TargetLatency: spec.TargetLatency, Advice: spec.Advice,
			},
		}, saved, !partition.handover.IsFinished() || len(partition.unresolved[spec.ID]) > 0, broker.deps.Clock.Now())
		if err != nil {
			broker.deps.Log.Error(err, "failed to start durable job", "job", spec.ID)
			broker.endJob(partition, job, ptgraph.Failed)
			return
		}
		job.open[job.next] = open
		broker.execute(effects)
	}
}

// endJob ends a job with all its occurrences. The caller holds the lock.
func (broker *Broker) endJob(partition *ownedPartition, job *durableJob, state ptgraph.State) {
	job.progress.State, job.progress.EndedAt = state, time.Now()
	partition.markChanged(job)
	for _, occurrence := range slices.Sorted(maps.Keys(job.open)) {
		key := job.open[occurrence].Key()
		job.progress.VoidRun = max(job.progress.VoidRun, job.open[occurrence].VoidRun())
		delete(job.open, occurrence)
		broker.execute(broker.core.Cancel(key, broker.deps.Clock.Now()))
	}
	broker.deps.Metrics.Counter(ptmetric.Jobs, "outcome", state.String()).Inc()
	broker.deps.Log.Info("durable job ended", "job", job.spec.ID, "queue", job.spec.Queue, "state", state.String())
	if partition.handover.IsLoaded() && !partition.saving {
		// Callers wait for the saved end of the job, and the next tick is up to 25 ms away.
		broker.save(partition)
	}
}

// findDurable returns the partition of a durable job, and the job. The partition is nil if this
// entry does not own it, and the job is nil if the partition does not contain it. The caller
// holds the lock.
func (broker *Broker) findDurable(id ptid.JobID) (partition *ownedPartition, job *durableJob) {
	if broker.ownership.store == nil {
		return nil, nil
	}
	partition = broker.ownership.partitions[ptjobstore.PartitionOf(id, broker.ownership.store.Partitions())]
	if partition == nil {
		return nil, nil
	}
	return partition, partition.jobs[id]
}

// handleProgress marks a job whose progress must be saved. The caller holds the lock.
func (broker *Broker) handleProgress(effect ptassign.SaveProgress) {
	partition, job := broker.findDurable(effect.Job.ID)
	if job == nil {
		return
	}
	if effect.Agent != "" {
		job.pendingAcks = append(job.pendingAcks, pendingAck{agent: effect.Agent, run: effect.Run})
	}
	partition.markChanged(job)
}

// handleOccurrenceEnd processes the end of an occurrence. The caller holds the lock.
func (broker *Broker) handleOccurrenceEnd(ended *ptassign.Job) {
	partition, job := broker.findDurable(ended.ID)
	if job == nil || job.open[ended.Occurrence] != ended {
		return
	}
	delete(job.open, ended.Occurrence)
	job.progress.VoidRun = max(job.progress.VoidRun, ended.VoidRun())
	partition.markChanged(job)
	if ended.State() == ptgraph.Failed {
		broker.endJob(partition, job, ptgraph.Failed)
		return
	}
	if job.progress.Occurrences == nil {
		job.progress.Occurrences = make(map[ptrun.Occurrence]ptgraph.Progress)
	}
	job.progress.Occurrences[ended.Occurrence] = ended.Progress()
	for job.progress.Occurrences[job.progress.EndedOccurrences].State.Ended() {
		delete(job.progress.Occurrences, job.progress.EndedOccurrences)
		job.progress.EndedOccurrences++
	}
	if job.progress.EndedOccurrences >= job.occurrenceCount() {
		broker.endJob(partition, job, ptgraph.Completed)
	}
}

// handleDurableEnd processes the end of a run of a durable job if the core has no record of the
// run at this agent. The caller holds the lock.
func (broker *Broker) handleDurableEnd(agent *agentSession, end ptrun.End, now ptid.Instant) {
	partition, job := broker.findDurable(end.Run.Task.Job)
	switch {
	case partition == nil || !partition.handover.IsLoaded():
		// Another entry owns the partition, or this entry has not loaded it yet. The agent will
		// send the end again to all entries, and the owner processes it once it has loaded the
		// partition.
	case ptjobstore.EpochOf(end.Run.Number) > partition.epoch:
		// A later owner has started the run, and this entry has not yet learned that it lost
		// the partition.
	case job != nil && job.savedVersion < job.version && (job.progress.State.Ended() || job.open[end.Run.Task.Occurrence] == nil):
		// The end is part of the progress that is not saved yet. It will be acknowledged after
		// the save.
	case job == nil && !partition.missing[end.Run.Task.Job]:
		broker.addUnresolved(partition, unresolvedRun{agent: agent.name(), run: end.Run, end: &end})
	case job == nil || job.progress.State.Ended() || job.open[end.Run.Task.Occurrence] == nil:
		broker.handleLateEnd(agent, end, job)
	default:
		effects, _ := broker.core.AdoptEnd(agent.name(), end, now)
		broker.execute(effects)
	}
}

// handleLateEnd processes the end of a run whose job or occurrence has ended, or whose job has been
// deleted (nil). Nothing is known of the other runs of a deleted job. The caller holds the lock.
func (broker *Broker) handleLateEnd(agent *agentSession, end ptrun.End, job *durableJob) {
	isVoid, voidRun := end.Result == ptrun.Done, ptrun.Number(0)
	if job != nil {
		voidRun = job.progress.VoidRun
		isVoid = ptgraph.IsVoidAfterEnd(end, voidRun)
	}
	broker.deps.Log.Info("end of a run after the end of its job", "job", end.Run.Task.Job, "step", end.Run.Task.Step, "task", end.Run.Task.Index,
		"run", end.Run.Number, "agent", agent.name(), "result", end.Result, "deleted", job == nil, "voidRun", voidRun, "rejected", isVoid)
	if isVoid {
		broker.rejectEnd(agent, end.Run)
		return
	}
	agent.postAcknowledgement(end.Run)
}

// rejectEnd tells an agent not to acknowledge an end. The caller holds the lock.
func (broker *Broker) rejectEnd(agent *agentSession, run ptrun.ID) {
	broker.deps.Metrics.Counter(ptmetric.RejectedEnds).Inc()
	agent.postRejection(run)
}

// tickPartitions resumes placement in recovered partitions, opens due occurrences, deletes
// expired jobs, and saves progress. The caller holds the lock.
func (broker *Broker) tickPartitions(now ptid.Instant) {
	for _, number := range slices.Sorted(maps.Keys(broker.ownership.partitions)) {
		partition := broker.ownership.partitions[number]
		if !partition.handover.IsLoaded() {
			continue
		}
		if partition.handover.TryFinish(broker.core, now) {
			broker.finishRecovery(partition, now)
		}
		for _, id := range slices.Sorted(maps.Keys(partition.scheduled)) {
			job := partition.scheduled[id]
			if job.progress.State.Ended() || job.next >= job.occurrenceCount() {
				delete(partition.scheduled, id)
				continue
			}
			broker.openDueOccurrences(partition, job)
		}
		if now >= partition.nextCleanupAt {
			partition.nextCleanupAt = now.Add(broker.setting.EndedJobRetention / cleanupsPerRetention)
			broker.deleteExpiredJobs(partition)
			broker.deleteExpiredCancellations(partition, now)
			broker.resolveOrphanProgress(partition)
		}
		if !partition.saving {
			broker.saveIfChanged(partition, now)
		}
	}
}

// deleteExpiredJobs deletes the jobs that ended longer ago than the retention time. The caller
// holds the lock.
func (broker *Broker) deleteExpiredJobs(partition *ownedPartition) {
	for id, job := range partition.jobs {
		if job.progress.State.Ended() && !job.deleting && job.savedVersion == job.version && time.Since(job.progress.EndedAt) > broker.setting.EndedJobRetention {
			job.deleting = true
			go broker.deleteJob(partition, id, job)
		}
	}
}

// savedJob is what the log holds of a job after a save.
type savedJob struct {
	state    ptgraph.State
	progress ptjobstore.Progress
	version  int
}

// progressSaved records that the log holds the progress of jobs. The caller holds the lock.
func (broker *Broker) progressSaved(partition *ownedPartition, savedJobs map[ptid.JobID]savedJob) {
	now := broker.deps.Clock.Now()
	for _, id := range slices.Sorted(maps.Keys(savedJobs)) {
		job, saved := partition.jobs[id], savedJobs[id]
		if job == nil {
			continue
		}
		job.visibleState, job.savedVersion = saved.state, saved.version
		for _, occurrence := range slices.Sorted(maps.Keys(job.open)) {
			if progress, found := saved.progress.Occurrences[occurrence]; found {
				broker.execute(broker.core.ProgressSaved(job.open[occurrence], progress, now))
			}
		}
	}
}

// save writes the progress of the changed jobs to the log, and other records after it. The caller
// holds the lock.
func (broker *Broker) save(partition *ownedPartition, others ...ptjobstore.Record) {
	var records []ptjobstore.Record
	var acks []pendingAck
	savedJobs := make(map[ptid.JobID]savedJob)
	for _, id := range slices.Sorted(maps.Keys(partition.dirty)) {
		job := partition.jobs[id]
		delete(partition.dirty, id)
		if job == nil {
			records = append(records, ptjobstore.Record{Key: string(id)})
			continue
		}
		progress := job.snapshot()
		record, err := ptjobstore.Encode(progress)
		if err != nil {
			broker.deps.Log.Error(err, "failed to encode progress", "job", id)
			continue
		}
		records = append(records, ptjobstore.Record{Key: string(id), Value: record})
		acks = append(acks, job.pendingAcks...)
		job.pendingAcks = nil
		savedJobs[id] = savedJob{state: job.progress.State, progress: progress, version: job.version}
	}
	partition.saving = true
	sequence := partition.sequence
	partition.sequence++
	go broker.saveRecords(partition, sequence, append(records, others...), func() {
		partition.saving = false
		if len(others) > 0 {
			broker.agentsRecorded(partition)
		}
		broker.progressSaved(partition, savedJobs)
		for _, ack := range acks {
			if agent := broker.agentSessions[ack.agent]; agent != nil {
				agent.postAcknowledgement(ack.run)
			}
		}
	})
}

// snapshot returns the progress of the job, including its open occurrences.
func (job *durableJob) snapshot() (progress ptjobstore.Progress) {
	progress = job.progress
	if progress.State.Ended() {
		progress.Occurrences = nil
		return progress
	}
	progress.Occurrences = maps.Clone(progress.Occurrences)
	if progress.Occurrences == nil {
		progress.Occurrences = make(map[ptrun.Occurrence]ptgraph.Progress)
	}
	for occurrence, open := range job.open {
		progress.Occurrences[occurrence] = open.Progress()
		if open.Started() {
			progress.State = ptgraph.Running
		}
	}
	return progress
}

// saveRecords writes progress records. It retries until the log confirms them or this entry has
// lost the partition.
func (broker *Broker) saveRecords(partition *ownedPartition, sequence uint64, records []ptjobstore.Record, done func()) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		err := broker.ownership.store.Save(ctx, partition.number, partition.epoch, sequence, records)
		cancel()
		broker.mu.Lock()
		current := broker.ownership.partitions[partition.number] == partition
		switch {
		case !current:
		case err == nil:
			done()
		case errors.Is(err, ptjobstore.ErrFenced):
			broker.releasePartition(partition, "fenced")
		default:
			broker.deps.Log.Info("failed to save progress, retrying", "partition", partition.number, "epoch", partition.epoch, "sequence", sequence, "error", err.Error())
		}
		broker.mu.Unlock()
		if err == nil || !current || errors.Is(err, ptjobstore.ErrFenced) {
			return
		}
		time.Sleep(storeRetryDelay)
	}
}

// deleteJob deletes the records of an expired job: the spec first, and the progress only
// afterwards. A spec without progress would be executed as a new job.
func (broker *Broker) deleteJob(partition *ownedPartition, id ptid.JobID, job *durableJob) {
	var err error
	for _, key := range []string{ptjobstore.SpecKey(id), ptjobstore.CancelKey(id)} {
		if err = broker.deleteRecord(partition, key); err != nil {
			break
		}
	}
	broker.mu.Lock()
	defer broker.mu.Unlock()
	job.deleting = false
	if err == nil && broker.ownership.partitions[partition.number] == partition {
		delete(partition.jobs, id)
		partition.dirty[id] = true
	}
}
