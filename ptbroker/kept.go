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
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptkept"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	// membershipSpan is how long an owner that says nothing keeps its partitions.
	membershipSpan = 1500 * time.Millisecond
	// joinInterval leaves three tries within the span.
	joinInterval = 400 * time.Millisecond
	// followWait bounds a read that waits for a job; a silent connection is found by it.
	followWait = 2 * time.Second
	// storeRetry is the pause after a failed call.
	storeRetry = 100 * time.Millisecond
	// putTimeout bounds the acceptance of a job.
	putTimeout = time.Second
	// meetAgents is how long a new entry waits for the agents to find it.
	meetAgents = 2500 * time.Millisecond
	// leftAtOnce bounds the jobs that are looked up at a time since an earlier owner has left
	// their progress alone: each takes two calls to the log.
	leftAtOnce = 8
	// forgetParts is how often, in the time that ended jobs are remembered, older ones are
	// looked for.
	forgetParts = 30
)

// ack is an end that its agent is to acknowledge once the progress is kept.
type ack struct {
	agent ptid.AgentName
	run   ptrun.ID
}

// keptJob is a kept job of a partition of ours.
type keptJob struct {
	spec     ptkept.Spec
	progress ptkept.Progress
	// open are the occurrences that are in the core.
	open map[ptrun.Occurrence]*ptassign.Job
	// next is the first occurrence that is not due yet.
	next ptrun.Occurrence
	acks []ack
	// changes counts what has happened to the job, kept how much of it the log has.
	changes, kept int
	// shown is the state that callers see: an end only after it was kept.
	shown ptgraph.State
	// leaving is true while the job's records are being taken away.
	leaving bool
}

func (job *keptJob) times() ptrun.Occurrence {
	return ptrun.Occurrence(max(1, job.spec.OccurrenceCount))
}

func (job *keptJob) timed() bool { return job.spec.OccurrenceCount > 0 }

// endsSoon reports whether the job ends by itself once its tasks have run.
func (job *keptJob) endsSoon() bool {
	return !job.timed() && !slices.ContainsFunc(job.spec.Steps, func(step ptgraph.Step) bool { return step.LongRunning })
}

// owned is a partition of ours.
type owned struct {
	number   ptkept.Partition
	epoch    ptkept.Epoch
	stop     context.CancelFunc
	jobs     map[ptid.JobID]*keptJob
	dirty    map[ptid.JobID]bool
	saving   bool
	sequence uint64
	loaded   bool
	frozen   bool
	// awaited are the agents whose answer to the adoption is due, until thawBy.
	awaited map[ptid.AgentName]bool
	takenAt ptid.Instant
	// timed are the jobs with occurrences to come; forgetAt is when old jobs are next
	// looked for.
	timed    map[ptid.JobID]*keptJob
	forgetAt ptid.Instant
	// earlier is the progress that earlier owners have kept of jobs whose specs were not
	// read yet. strangers are runs of such jobs, identifying those that are being looked
	// up, unknown those that the log does not have.
	earlier     map[ptid.JobID]ptkept.Progress
	strangers   map[ptid.JobID][]stranger
	identifying map[ptid.JobID]bool
	unknown     map[ptid.JobID]bool
}

// changed marks a job whose progress is to be kept.
func (held *owned) changed(job *keptJob) {
	job.changes++
	held.dirty[job.spec.ID] = true
}

// keeper owns partitions of the kept jobs. Its fields are guarded by the broker's lock.
type keeper struct {
	store  ptkept.Store
	member string
	epoch  ptkept.Epoch
	owned  map[ptkept.Partition]*owned
	born   ptid.Instant
}

// SubmitDurable keeps a job. After nil it will be done; after ErrRefused it never runs; after
// any other error nobody knows.
func (broker *Broker) SubmitDurable(ctx context.Context, spec ptkept.Spec) (err error) {
	defer func() {
		broker.deps.Log.Info("job put", "job", spec.ID, "queue", spec.Queue, "error", errorText(err))
	}()
	record, err := ptkept.Encode(spec)
	if err != nil {
		return err
	}
	return broker.putKept(ctx, spec.ID, ptkept.Record{Key: ptkept.SpecKey(spec.ID), Value: record})
}

// CancelDurable keeps the cancellation of a job.
func (broker *Broker) CancelDurable(ctx context.Context, id ptid.JobID) (err error) {
	defer func() { broker.deps.Log.Info("cancellation put", "job", id, "error", errorText(err)) }()
	return broker.putKept(ctx, id, ptkept.Record{Key: ptkept.CancelKey(id), Value: []byte("{}")})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// keep runs the ownership of partitions until ctx ends.
func (broker *Broker) keep(ctx context.Context) {
	if broker.keeper.store == nil {
		return
	}
	lost := false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, membershipSpan)
		membership, err := broker.keeper.store.Join(call, broker.keeper.member, broker.keeper.epoch, membershipSpan)
		cancel()
		if lost != (err != nil) {
			lost = err != nil
			broker.deps.Log.Info("membership of the owners changed", "lost", lost, "error", errorText(err))
		}
		if err == nil {
			broker.assigned(ctx, membership)
		}
		pause(ctx, joinInterval)
	}
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// memberSeparator stands between a member's address and its incarnation. A process that
// starts again is another member: with the name of the former one it would get its
// epoch, and number its runs and saves anew within it.
const memberSeparator = "/"

func memberName(address string, incarnation ptid.Incarnation) string {
	return address + memberSeparator + strconv.FormatUint(uint64(incarnation), 36)
}

// MemberID returns the name of this process among the owners.
func (broker *Broker) MemberID() string { return broker.keeper.member }

// memberAddress returns the address of a member.
func memberAddress(member string) string {
	address, _, _ := strings.Cut(member, memberSeparator)
	return address
}

// retire hands the partitions to other entries: what is not kept yet is told to them.
func (broker *Broker) retire() {
	if broker.keeper.store == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), putTimeout)
	defer cancel()
	err := broker.keeper.store.Leave(ctx, broker.keeper.member)
	broker.deps.Log.Info("owners left", "error", errorText(err))
	broker.mu.Lock()
	defer broker.mu.Unlock()
	for _, held := range broker.keeper.owned {
		broker.release(held, "shutdown")
	}
}

// assigned takes the partitions that the group gives us now.
func (broker *Broker) assigned(ctx context.Context, membership ptkept.Membership) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	keeper := &broker.keeper
	keeper.epoch = max(keeper.epoch, membership.Epoch)
	for number, held := range keeper.owned {
		if !slices.Contains(membership.Partitions, number) {
			broker.release(held, "given to another entry")
		}
	}
	for _, number := range membership.Partitions {
		if keeper.owned[number] != nil {
			continue
		}
		background, stop := context.WithCancel(ctx)
		held := &owned{
			number: number, epoch: membership.Epoch, stop: stop, jobs: make(map[ptid.JobID]*keptJob),
			dirty: make(map[ptid.JobID]bool), timed: make(map[ptid.JobID]*keptJob), frozen: true, takenAt: broker.deps.Clock.Now(),
			earlier: make(map[ptid.JobID]ptkept.Progress), strangers: make(map[ptid.JobID][]stranger),
			identifying: make(map[ptid.JobID]bool), unknown: make(map[ptid.JobID]bool),
		}
		keeper.owned[number] = held
		go broker.own(background, held)
	}
}

// release gives a partition up. Its runs go on until the next owner adopts them. The
// caller holds the lock.
func (broker *Broker) release(held *owned, why string) {
	broker.deps.Log.Info("partition released", "partition", held.number, "epoch", held.epoch, "why", why, "jobs", len(held.jobs))
	held.stop()
	delete(broker.keeper.owned, held.number)
	for _, job := range held.jobs {
		for _, open := range job.open {
			broker.core.Release(open)
		}
	}
}

// own loads a partition, adopts its runs and follows it.
func (broker *Broker) own(ctx context.Context, held *owned) {
	var next ptkept.Offset
	for ctx.Err() == nil {
		var err error
		if next, err = broker.load(ctx, held); err == nil {
			break
		}
		broker.deps.Log.Info("partition not loaded", "partition", held.number, "epoch", held.epoch, "error", err.Error())
		if errors.Is(err, ptkept.ErrFenced) {
			broker.mu.Lock()
			if broker.keeper.owned[held.number] == held {
				broker.release(held, "fenced")
			}
			broker.mu.Unlock()
			return
		}
		pause(ctx, storeRetry)
	}
	for ctx.Err() == nil {
		records, after, err := broker.keeper.store.Follow(ctx, held.number, next, followWait)
		if errors.Is(err, ptkept.ErrExpired) {
			records, after, err = broker.keeper.store.Specs(ctx, held.number)
		}
		if err != nil {
			pause(ctx, storeRetry)
			continue
		}
		next = after
		broker.mu.Lock()
		if broker.keeper.owned[held.number] == held {
			broker.learn(held, records)
		}
		broker.mu.Unlock()
	}
}

// load fences earlier owners, and reads what they have kept.
func (broker *Broker) load(ctx context.Context, held *owned) (next ptkept.Offset, err error) {
	store := broker.keeper.store
	if err := store.Fence(ctx, held.number, held.epoch); err != nil {
		return 0, err
	}
	specs, next, err := store.Specs(ctx, held.number)
	if err != nil {
		return 0, err
	}
	progress, err := store.Progress(ctx, held.number)
	if err != nil {
		return 0, err
	}
	broker.mu.Lock()
	defer broker.mu.Unlock()
	if broker.keeper.owned[held.number] != held {
		return next, nil
	}
	for _, record := range progress {
		decoded, err := ptkept.DecodeProgress(record.Value)
		if err != nil {
			broker.deps.Log.Error(err, "kept progress ignored", "key", record.Key)
			continue
		}
		held.earlier[ptid.JobID(record.Key)] = decoded
	}
	for _, record := range specs {
		if id, cancels := ptkept.ParseKey(record.Key); !cancels {
			broker.addKept(held, id, record.Value)
		}
	}
	broker.learn(held, specs)
	held.loaded = true
	held.awaited = make(map[ptid.AgentName]bool, len(broker.links))
	for name, link := range broker.links {
		held.awaited[name] = true
		link.adopt(held, store.Partitions())
	}
	broker.deps.Log.Info("partition taken", "partition", held.number, "epoch", held.epoch, "jobs", len(held.jobs), "agents", len(held.awaited))
	return next, nil
}

// learn takes new specs and cancellations. The caller holds the lock.
func (broker *Broker) learn(held *owned, records []ptkept.Record) {
	for _, record := range records {
		id, cancels := ptkept.ParseKey(record.Key)
		switch {
		case cancels && len(record.Value) > 0:
			broker.cancelKept(held, id)
		case !cancels && len(record.Value) > 0 && held.jobs[id] == nil:
			broker.addKept(held, id, record.Value)
		}
	}
}

// addKept takes a job into the partition. The caller holds the lock.
func (broker *Broker) addKept(held *owned, id ptid.JobID, record []byte) {
	spec, err := ptkept.DecodeSpec(record)
	if err != nil {
		broker.deps.Log.Error(err, "kept job ignored", "job", id)
		return
	}
	job := &keptJob{spec: spec, open: make(map[ptrun.Occurrence]*ptassign.Job)}
	if progress, found := held.earlier[id]; found {
		job.progress = progress
		job.next, job.shown = progress.EndedOccurrences, progress.State
		delete(held.earlier, id)
	}
	held.jobs[id] = job
	if job.progress.State.Ended() {
		broker.claim(held, id)
		return
	}
	broker.deps.Log.Info("kept job taken", "job", id, "partition", held.number, "epoch", held.epoch, "state", job.progress.State.String(), "times", spec.OccurrenceCount)
	if job.timed() {
		held.timed[id] = job
	}
	broker.startDue(held, job)
	broker.claim(held, id)
}

// startDue puts the occurrences into the core whose time has come. The caller holds the
// lock.
func (broker *Broker) startDue(held *owned, job *keptJob) {
	for ; job.next < job.times(); job.next++ {
		if job.timed() && time.Now().Before(job.spec.StartAt.Add(time.Duration(job.next)*job.spec.Interval)) {
			return
		}
		progress, found := job.progress.Occurrences[job.next]
		if found && progress.State.Ended() {
			continue
		}
		var left *ptgraph.Progress
		if found {
			left = &progress
		}
		spec := job.spec
		open, effects, err := broker.core.SubmitDurable(ptassign.Spec{
			Spec: ptgraph.Spec{
				ID: spec.ID, Payload: spec.Payload, Steps: slices.Clone(spec.Steps), MaxAttempts: spec.MaxAttempts,
				Occurrence: job.next, RunNumberBase: ptkept.RunNumberBase(held.epoch),
			},
			Queue: ptqueue.Queue{
				Name: spec.Queue, Service: spec.Service, Priority: spec.Priority, MaxAttempts: spec.MaxAttempts,
				Stretch: spec.Stretch, TargetLatency: spec.TargetLatency, Advice: spec.Advice,
			},
		}, left, held.frozen || len(held.strangers[spec.ID]) > 0, broker.deps.Clock.Now())
		if err != nil {
			broker.deps.Log.Error(err, "kept job can't be run", "job", spec.ID)
			broker.endKept(held, job, ptgraph.Failed)
			return
		}
		job.open[job.next] = open
		broker.do(effects)
	}
}

// cancelKept ends a job by the caller's will. The caller holds the lock.
func (broker *Broker) cancelKept(held *owned, id ptid.JobID) {
	job := held.jobs[id]
	if job == nil || job.progress.State.Ended() {
		return
	}
	broker.deps.Log.Info("kept job cancelled", "job", id, "partition", held.number)
	broker.endKept(held, job, ptgraph.GivenUp)
}

// endKept ends a job as a whole. The caller holds the lock.
func (broker *Broker) endKept(held *owned, job *keptJob, state ptgraph.State) {
	job.progress.State, job.progress.EndedAt = state, time.Now()
	held.changed(job)
	for _, occurrence := range slices.Sorted(maps.Keys(job.open)) {
		key := job.open[occurrence].Key()
		delete(job.open, occurrence)
		broker.do(broker.core.Cancel(key, broker.deps.Clock.Now()))
	}
	broker.deps.Metrics.Counter(ptmetric.Jobs, "outcome", state.String()).Inc()
	broker.deps.Log.Info("kept job ended", "job", job.spec.ID, "queue", job.spec.Queue, "state", state.String())
	if held.loaded && !held.saving {
		// Its callers wait for this; the next tick is up to 25 ms away.
		broker.save(held)
	}
}

// keptOf returns a kept job of ours. The caller holds the lock.
func (broker *Broker) keptOf(id ptid.JobID) (held *owned, job *keptJob) {
	if broker.keeper.store == nil {
		return nil, nil
	}
	held = broker.keeper.owned[ptkept.PartitionOf(id, broker.keeper.store.Partitions())]
	if held == nil {
		return nil, nil
	}
	return held, held.jobs[id]
}

// progressed marks a job whose progress is to be kept. The caller holds the lock.
func (broker *Broker) progressed(effect ptassign.SaveProgress) {
	held, job := broker.keptOf(effect.Job.ID)
	if job == nil {
		return
	}
	job.acks = append(job.acks, ack{agent: effect.Agent, run: effect.Run})
	held.changed(job)
}

// occurrenceEnded takes the end of an occurrence. The caller holds the lock.
func (broker *Broker) occurrenceEnded(ended *ptassign.Job) {
	held, job := broker.keptOf(ended.ID)
	if job == nil || job.open[ended.Occurrence] != ended {
		return
	}
	delete(job.open, ended.Occurrence)
	held.changed(job)
	if ended.State() == ptgraph.Failed {
		broker.endKept(held, job, ptgraph.Failed)
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
	if job.progress.EndedOccurrences >= job.times() {
		broker.endKept(held, job, ptgraph.Completed)
	}
}

// keptEnd handles the end of a run of a kept job that the core does not list. The caller
// holds the lock.
func (broker *Broker) keptEnd(link *link, end ptrun.End, now ptid.Instant) {
	held, job := broker.keptOf(end.Run.Task.Job)
	switch {
	case held == nil || !held.loaded:
		// The partition's owner, or we ourselves once it is loaded, will be told again.
	case ptkept.EpochOf(end.Run.Number) > held.epoch:
		// A later owner has started the run; that we hold the partition is out of date.
	case job != nil && job.kept < job.changes && (job.progress.State.Ended() || job.open[end.Run.Task.Occurrence] == nil):
		// The end is in the progress that waits to be kept; its acknowledgement comes then.
	case job == nil && !held.unknown[end.Run.Task.Job]:
		broker.meet(held, stranger{agent: link.name(), run: end.Run, end: &end})
	case job == nil || job.progress.State.Ended() || job.open[end.Run.Task.Occurrence] == nil:
		link.acknowledge(end.Run)
	default:
		effects, _ := broker.core.AdoptEnd(link.name(), end, now)
		broker.do(effects)
	}
}

// adopted takes an agent's answer to an adoption. The caller holds the lock.
func (broker *Broker) adopted(link *link, message *ptwire.Adopted, now ptid.Instant) {
	held := broker.keeper.owned[ptkept.Partition(message.Partition)]
	if held == nil || uint64(held.epoch) != message.Epoch {
		return
	}
	for _, ref := range message.Runs {
		run := ptrun.IDFromRef(ref)
		if held.jobs[run.Task.Job] == nil {
			broker.meet(held, stranger{agent: link.name(), run: run})
			continue
		}
		broker.do(broker.core.Adopt(link.name(), run, now))
	}
	delete(held.awaited, link.name())
}

// tickKept thaws partitions, starts what is due, and keeps progress. The caller holds
// the lock.
func (broker *Broker) tickKept(now ptid.Instant) {
	for _, number := range slices.Sorted(maps.Keys(broker.keeper.owned)) {
		held := broker.keeper.owned[number]
		if !held.loaded {
			continue
		}
		if held.frozen && broker.mayThaw(held, now) {
			broker.thaw(held, now)
		}
		for _, id := range slices.Sorted(maps.Keys(held.timed)) {
			job := held.timed[id]
			if job.progress.State.Ended() || job.next >= job.times() {
				delete(held.timed, id)
				continue
			}
			broker.startDue(held, job)
		}
		if now >= held.forgetAt {
			held.forgetAt = now.Add(broker.setting.EndedJobRetention / forgetParts)
			broker.forgetOld(held)
			broker.forgetLeft(held)
		}
		if len(held.dirty) > 0 && !held.saving {
			broker.save(held)
		}
	}
}

// forgetOld drops the jobs that ended long ago. The caller holds the lock.
func (broker *Broker) forgetOld(held *owned) {
	for id, job := range held.jobs {
		if job.progress.State.Ended() && !job.leaving && job.kept == job.changes && time.Since(job.progress.EndedAt) > broker.setting.EndedJobRetention {
			job.leaving = true
			go broker.forget(held, id, job)
		}
	}
}

// mayThaw reports whether every run of the earlier owner is known or over.
func (broker *Broker) mayThaw(held *owned, now ptid.Instant) bool {
	if now.Sub(held.takenAt) > ptassign.DurableRunLossTimeout {
		return true
	}
	if now.Sub(broker.keeper.born) < meetAgents || len(broker.links) == 0 {
		return false
	}
	for name := range held.awaited {
		if broker.links[name] != nil {
			return false
		}
	}
	for _, lostAt := range broker.core.DisconnectedAgents() {
		if now.Sub(lostAt) < ptassign.DurableRunLossTimeout {
			return false
		}
	}
	return true
}

func (broker *Broker) thaw(held *owned, now ptid.Instant) {
	held.frozen = false
	broker.deps.Log.Info("partition served", "partition", held.number, "epoch", held.epoch, "jobs", len(held.jobs), "after", now.Sub(held.takenAt).String())
	for _, id := range slices.Sorted(maps.Keys(held.jobs)) {
		for _, open := range held.jobs[id].open {
			broker.do(broker.core.FinishRecovery(open, now))
		}
	}
}

// save keeps the progress of the jobs that have changed. The caller holds the lock.
func (broker *Broker) save(held *owned) {
	var records []ptkept.Record
	var acks []ack
	type mark struct {
		state   ptgraph.State
		changes int
	}
	marks := make(map[ptid.JobID]mark)
	for _, id := range slices.Sorted(maps.Keys(held.dirty)) {
		job := held.jobs[id]
		delete(held.dirty, id)
		if job == nil {
			records = append(records, ptkept.Record{Key: string(id)})
			continue
		}
		record, err := ptkept.Encode(job.snapshot())
		if err != nil {
			broker.deps.Log.Error(err, "progress not kept", "job", id)
			continue
		}
		records = append(records, ptkept.Record{Key: string(id), Value: record})
		acks = append(acks, job.acks...)
		job.acks = nil
		marks[id] = mark{state: job.progress.State, changes: job.changes}
	}
	held.saving = true
	sequence := held.sequence
	held.sequence++
	go broker.put(held, sequence, records, func() {
		held.saving = false
		for id, mark := range marks {
			if job := held.jobs[id]; job != nil {
				job.shown, job.kept = mark.state, mark.changes
			}
		}
		for _, ack := range acks {
			if link := broker.links[ack.agent]; link != nil {
				link.acknowledge(ack.run)
			}
		}
	})
}

// snapshot returns the progress with that of the open occurrences.
func (job *keptJob) snapshot() (progress ptkept.Progress) {
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

// put saves records until the log has taken them or another owner has the partition.
func (broker *Broker) put(held *owned, sequence uint64, records []ptkept.Record, done func()) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), putTimeout)
		err := broker.keeper.store.Save(ctx, held.number, held.epoch, sequence, records)
		cancel()
		broker.mu.Lock()
		current := broker.keeper.owned[held.number] == held
		switch {
		case !current:
		case err == nil:
			done()
		case errors.Is(err, ptkept.ErrFenced):
			broker.release(held, "fenced")
		default:
			broker.deps.Log.Info("progress not kept yet", "partition", held.number, "epoch", held.epoch, "sequence", sequence, "error", err.Error())
		}
		broker.mu.Unlock()
		if err == nil || !current || errors.Is(err, ptkept.ErrFenced) {
			return
		}
		time.Sleep(storeRetry)
	}
}

// forget takes the records of a long ended job away: first the spec, and only after it the
// progress. A spec without progress would be a job that has yet to run.
func (broker *Broker) forget(held *owned, id ptid.JobID, job *keptJob) {
	var err error
	for _, key := range []string{ptkept.SpecKey(id), ptkept.CancelKey(id)} {
		ctx, cancel := context.WithTimeout(context.Background(), putTimeout)
		err = broker.keeper.store.Put(ctx, held.number, ptkept.Record{Key: key})
		cancel()
		if err != nil {
			broker.deps.Log.Info("old record not taken away", "key", key, "error", err.Error())
			break
		}
	}
	broker.mu.Lock()
	defer broker.mu.Unlock()
	job.leaving = false
	if err == nil && broker.keeper.owned[held.number] == held {
		delete(held.jobs, id)
		held.dirty[id] = true
	}
}
