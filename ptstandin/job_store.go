package ptstandin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
)

// JobStore is an in-memory ptjobstore.Store with fault injection.
type JobStore struct {
	mu          sync.Mutex
	partitions  int
	logs        map[ptjobstore.Partition][]ptjobstore.Record
	progress    map[ptjobstore.Partition]map[string][]byte
	epochs      map[ptjobstore.Partition]ptjobstore.Epoch
	members     map[string]time.Time
	owners      map[ptjobstore.Partition]string
	epoch       ptjobstore.Epoch
	injectFault func(call JobStoreCall, client string) error
}

// JobStoreClient is the view that one process has of a [JobStore].
type JobStoreClient struct {
	*JobStore
	name string
}

// Client returns the view of the process with the given name.
func (store *JobStore) Client(name string) *JobStoreClient {
	return &JobStoreClient{JobStore: store, name: name}
}

// JobStoreCall names a call for fault injection.
type JobStoreCall string

// These are the calls of the job store in which faults can be injected.
const (
	JobStorePut  JobStoreCall = "put"
	JobStoreSave JobStoreCall = "save"
	JobStoreJoin JobStoreCall = "join"
	JobStoreRead JobStoreCall = "read"
	// JobStoreFollow is the long-poll read of specs.
	JobStoreFollow JobStoreCall = "follow"
	// JobStoreProgress is the read of progress records. The function of [JobStore.SetFault] may
	// block for this call without blocking other calls.
	JobStoreProgress JobStoreCall = "progress"
)

// NewJobStore returns an empty store.
func NewJobStore(partitions int) *JobStore {
	return &JobStore{
		partitions: partitions, logs: make(map[ptjobstore.Partition][]ptjobstore.Record), progress: make(map[ptjobstore.Partition]map[string][]byte),
		epochs: make(map[ptjobstore.Partition]ptjobstore.Epoch), members: make(map[string]time.Time), owners: make(map[ptjobstore.Partition]string),
	}
}

// SetFault sets the function that returns the error to inject into a call of a client;
// nil injects none.
func (store *JobStore) SetFault(fault func(call JobStoreCall, client string) error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.injectFault = fault
}

// injectedFault returns the error to inject into a call. The caller holds the lock.
func (store *JobStoreClient) injectedFault(call JobStoreCall) error {
	if store.injectFault == nil {
		return nil
	}
	return store.injectFault(call, store.name)
}

// Partitions implements [ptjobstore.Store].
func (store *JobStore) Partitions() int { return store.partitions }

// Put implements [ptjobstore.Store].
func (store *JobStoreClient) Put(_ context.Context, partition ptjobstore.Partition, record ptjobstore.Record) (err error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if err := store.injectedFault(JobStorePut); err != nil {
		return err
	}
	store.logs[partition] = append(store.logs[partition], record)
	return nil
}

// Specs implements [ptjobstore.Store].
func (store *JobStoreClient) Specs(_ context.Context, partition ptjobstore.Partition) (records []ptjobstore.Record, next ptjobstore.Offset, err error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	log := store.logs[partition]
	for index, record := range log {
		if len(record.Value) > 0 && !slices.ContainsFunc(log[index+1:], func(later ptjobstore.Record) bool { return later.Key == record.Key }) {
			records = append(records, record)
		}
	}
	return records, ptjobstore.Offset(len(log)), store.injectedFault(JobStoreRead)
}

// Follow implements [ptjobstore.Store].
func (store *JobStoreClient) Follow(ctx context.Context, partition ptjobstore.Partition, from ptjobstore.Offset, wait time.Duration) (records []ptjobstore.Record, next ptjobstore.Offset, err error) {
	const poll = 2 * time.Millisecond
	for until := time.Now().Add(wait); ; {
		store.mu.Lock()
		log, fault := slices.Clone(store.logs[partition][from:]), store.injectedFault(JobStoreFollow)
		store.mu.Unlock()
		if fault != nil {
			return nil, from, fault
		}
		if len(log) > 0 || ctx.Err() != nil || time.Now().After(until) {
			return log, from + ptjobstore.Offset(len(log)), ctx.Err()
		}
		time.Sleep(poll)
	}
}

// Progress implements [ptjobstore.Store].
func (store *JobStoreClient) Progress(_ context.Context, partition ptjobstore.Partition) (records []ptjobstore.Record, err error) {
	store.mu.Lock()
	fault := store.injectFault
	store.mu.Unlock()
	if fault != nil {
		if err := fault(JobStoreProgress, store.name); err != nil {
			return nil, err
		}
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(store.progress[partition])) {
		records = append(records, ptjobstore.Record{Key: key, Value: store.progress[partition][key]})
	}
	return records, nil
}

// Lookup implements [ptjobstore.Store].
func (store *JobStoreClient) Lookup(_ context.Context, partition ptjobstore.Partition, job ptid.JobID) (spec, progress []byte, err error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, record := range store.logs[partition] {
		if record.Key == ptjobstore.SpecKey(job) {
			spec = record.Value
		}
	}
	return spec, store.progress[partition][string(job)], store.injectedFault(JobStoreRead)
}

// IsCancelled implements [ptjobstore.Store].
func (store *JobStoreClient) IsCancelled(_ context.Context, partition ptjobstore.Partition, job ptid.JobID) (cancelled bool, err error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, record := range store.logs[partition] {
		if record.Key == ptjobstore.CancelKey(job) {
			cancelled = len(record.Value) > 0
		}
	}
	return cancelled, store.injectedFault(JobStoreRead)
}

// Fence implements [ptjobstore.Store].
func (store *JobStoreClient) Fence(_ context.Context, partition ptjobstore.Partition, epoch ptjobstore.Epoch) (err error) {
	return store.save(partition, epoch, nil)
}

// Save implements [ptjobstore.Store].
func (store *JobStoreClient) Save(_ context.Context, partition ptjobstore.Partition, epoch ptjobstore.Epoch, _ uint64, records []ptjobstore.Record) (err error) {
	return store.save(partition, epoch, records)
}

func (store *JobStoreClient) save(partition ptjobstore.Partition, epoch ptjobstore.Epoch, records []ptjobstore.Record) (err error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if err := store.injectedFault(JobStoreSave); err != nil {
		return err
	}
	if epoch < store.epochs[partition] {
		return ptjobstore.ErrFenced
	}
	store.epochs[partition] = epoch
	if store.progress[partition] == nil {
		store.progress[partition] = make(map[string][]byte)
	}
	for _, record := range records {
		if len(record.Value) == 0 {
			delete(store.progress[partition], record.Key)
			continue
		}
		store.progress[partition][record.Key] = record.Value
	}
	return nil
}

// Join implements [ptjobstore.Store].
func (store *JobStoreClient) Join(_ context.Context, member string, _ ptjobstore.Epoch, ttl time.Duration) (membership ptjobstore.Membership, err error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if err := store.injectedFault(JobStoreJoin); err != nil {
		return membership, err
	}
	now := time.Now()
	_, known := store.members[member]
	store.members[member] = now.Add(ttl)
	changed := !known
	for other, until := range store.members {
		if now.After(until) {
			delete(store.members, other)
			changed = true
		}
	}
	if changed {
		store.assignPartitions()
	}
	membership.Epoch = store.epoch
	for partition, owner := range store.owners {
		if owner == member {
			membership.Partitions = append(membership.Partitions, partition)
		}
	}
	slices.Sort(membership.Partitions)
	return membership, nil
}

// assignPartitions increments the epoch and assigns the partitions evenly to the members.
// The caller holds the lock.
func (store *JobStore) assignPartitions() {
	store.epoch++
	names := slices.Sorted(maps.Keys(store.members))
	for number := range store.partitions {
		if len(names) == 0 {
			delete(store.owners, ptjobstore.Partition(number))
			continue
		}
		store.owners[ptjobstore.Partition(number)] = names[number%len(names)]
	}
}

// Leave implements [ptjobstore.Store].
func (store *JobStoreClient) Leave(_ context.Context, member string) (err error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if err := store.injectedFault(JobStoreJoin); err != nil {
		return err
	}
	delete(store.members, member)
	store.assignPartitions()
	return nil
}

// Owners implements [ptjobstore.Store].
func (store *JobStore) Owners(context.Context) (owners map[ptjobstore.Partition]string, err error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	return maps.Clone(store.owners), nil
}

// RecordCount returns the number of stored specs, cancellations and progress records of jobs.
func (store *JobStore) RecordCount() (count int) {
	store.mu.Lock()
	defer store.mu.Unlock()
	newest := make(map[string][]byte)
	for _, log := range store.logs {
		for _, record := range log {
			newest[record.Key] = record.Value
		}
	}
	for _, value := range newest {
		if len(value) > 0 {
			count++
		}
	}
	for _, progress := range store.progress {
		for key := range progress {
			if key != ptjobstore.AgentsKey {
				count++
			}
		}
	}
	return count
}
