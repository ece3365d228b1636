package ptstandin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptkept"
)

// JobStore stands in for the log of kept jobs, in memory, with switches for its faults.
type JobStore struct {
	mu         sync.Mutex
	partitions int
	logs       map[ptkept.Partition][]ptkept.Record
	progress   map[ptkept.Partition]map[string][]byte
	epochs     map[ptkept.Partition]ptkept.Epoch
	members    map[string]time.Time
	owners     map[ptkept.Partition]string
	epoch      ptkept.Epoch
	fault      func(call JobStoreCall, client string) error
}

// JobStoreClient is the log as one process reaches it.
type JobStoreClient struct {
	*JobStore
	name string
}

// Client returns the log as a process of that name reaches it.
func (kept *JobStore) Client(name string) *JobStoreClient {
	return &JobStoreClient{JobStore: kept, name: name}
}

// JobStoreCall names a call for the switch of faults.
type JobStoreCall string

// Calls.
const (
	JobStorePut  JobStoreCall = "put"
	JobStoreSave JobStoreCall = "save"
	JobStoreJoin JobStoreCall = "join"
	JobStoreRead JobStoreCall = "read"
	// JobStoreFollow waits for later specs; KeptProgress may block, which holds up that call alone.
	JobStoreFollow   JobStoreCall = "follow"
	JobStoreProgress JobStoreCall = "progress"
)

// NewJobStore returns an empty log.
func NewJobStore(partitions int) *JobStore {
	return &JobStore{
		partitions: partitions, logs: make(map[ptkept.Partition][]ptkept.Record), progress: make(map[ptkept.Partition]map[string][]byte),
		epochs: make(map[ptkept.Partition]ptkept.Epoch), members: make(map[string]time.Time), owners: make(map[ptkept.Partition]string),
	}
}

// SetFault sets what goes wrong for which client; nil means nothing.
func (kept *JobStore) SetFault(fault func(call JobStoreCall, client string) error) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	kept.fault = fault
}

// fails returns what is to go wrong. The caller holds the lock.
func (kept *JobStoreClient) fails(call JobStoreCall) error {
	if kept.fault == nil {
		return nil
	}
	return kept.fault(call, kept.name)
}

// Partitions implements [ptkept.Store].
func (kept *JobStore) Partitions() int { return kept.partitions }

// Put implements [ptkept.Store].
func (kept *JobStoreClient) Put(_ context.Context, partition ptkept.Partition, record ptkept.Record) (err error) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	if err := kept.fails(JobStorePut); err != nil {
		return err
	}
	kept.logs[partition] = append(kept.logs[partition], record)
	return nil
}

// Specs implements [ptkept.Store].
func (kept *JobStoreClient) Specs(_ context.Context, partition ptkept.Partition) (records []ptkept.Record, next ptkept.Offset, err error) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	log := kept.logs[partition]
	for index, record := range log {
		if len(record.Value) > 0 && !slices.ContainsFunc(log[index+1:], func(later ptkept.Record) bool { return later.Key == record.Key }) {
			records = append(records, record)
		}
	}
	return records, ptkept.Offset(len(log)), kept.fails(JobStoreRead)
}

// Follow implements [ptkept.Store].
func (kept *JobStoreClient) Follow(ctx context.Context, partition ptkept.Partition, from ptkept.Offset, wait time.Duration) (records []ptkept.Record, next ptkept.Offset, err error) {
	const poll = 2 * time.Millisecond
	for until := time.Now().Add(wait); ; {
		kept.mu.Lock()
		log, fault := slices.Clone(kept.logs[partition][from:]), kept.fails(JobStoreFollow)
		kept.mu.Unlock()
		if fault != nil {
			return nil, from, fault
		}
		if len(log) > 0 || ctx.Err() != nil || time.Now().After(until) {
			return log, from + ptkept.Offset(len(log)), ctx.Err()
		}
		time.Sleep(poll)
	}
}

// Progress implements [ptkept.Store].
func (kept *JobStoreClient) Progress(_ context.Context, partition ptkept.Partition) (records []ptkept.Record, err error) {
	kept.mu.Lock()
	fault := kept.fault
	kept.mu.Unlock()
	if fault != nil {
		if err := fault(JobStoreProgress, kept.name); err != nil {
			return nil, err
		}
	}
	kept.mu.Lock()
	defer kept.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(kept.progress[partition])) {
		records = append(records, ptkept.Record{Key: key, Value: kept.progress[partition][key]})
	}
	return records, nil
}

// Lookup implements [ptkept.Store].
func (kept *JobStoreClient) Lookup(_ context.Context, partition ptkept.Partition, job ptid.JobID) (spec, progress []byte, err error) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	for _, record := range kept.logs[partition] {
		if record.Key == ptkept.SpecKey(job) {
			spec = record.Value
		}
	}
	return spec, kept.progress[partition][string(job)], kept.fails(JobStoreRead)
}

// Fence implements [ptkept.Store].
func (kept *JobStoreClient) Fence(_ context.Context, partition ptkept.Partition, epoch ptkept.Epoch) (err error) {
	return kept.save(partition, epoch, nil)
}

// Save implements [ptkept.Store].
func (kept *JobStoreClient) Save(_ context.Context, partition ptkept.Partition, epoch ptkept.Epoch, _ uint64, records []ptkept.Record) (err error) {
	return kept.save(partition, epoch, records)
}

func (kept *JobStoreClient) save(partition ptkept.Partition, epoch ptkept.Epoch, records []ptkept.Record) (err error) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	if err := kept.fails(JobStoreSave); err != nil {
		return err
	}
	if epoch < kept.epochs[partition] {
		return ptkept.ErrFenced
	}
	kept.epochs[partition] = epoch
	if kept.progress[partition] == nil {
		kept.progress[partition] = make(map[string][]byte)
	}
	for _, record := range records {
		if len(record.Value) == 0 {
			delete(kept.progress[partition], record.Key)
			continue
		}
		kept.progress[partition][record.Key] = record.Value
	}
	return nil
}

// Join implements [ptkept.Store].
func (kept *JobStoreClient) Join(_ context.Context, member string, _ ptkept.Epoch, span time.Duration) (membership ptkept.Membership, err error) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	if err := kept.fails(JobStoreJoin); err != nil {
		return membership, err
	}
	now := time.Now()
	_, known := kept.members[member]
	kept.members[member] = now.Add(span)
	changed := !known
	for other, until := range kept.members {
		if now.After(until) {
			delete(kept.members, other)
			changed = true
		}
	}
	if changed {
		kept.deal()
	}
	membership.Epoch = kept.epoch
	for partition, owner := range kept.owners {
		if owner == member {
			membership.Partitions = append(membership.Partitions, partition)
		}
	}
	slices.Sort(membership.Partitions)
	return membership, nil
}

// deal gives the partitions to the members evenly.
func (kept *JobStore) deal() {
	kept.epoch++
	names := slices.Sorted(maps.Keys(kept.members))
	for number := range kept.partitions {
		if len(names) == 0 {
			delete(kept.owners, ptkept.Partition(number))
			continue
		}
		kept.owners[ptkept.Partition(number)] = names[number%len(names)]
	}
}

// Leave implements [ptkept.Store].
func (kept *JobStoreClient) Leave(_ context.Context, member string) (err error) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	if err := kept.fails(JobStoreJoin); err != nil {
		return err
	}
	delete(kept.members, member)
	kept.deal()
	return nil
}

// Owners implements [ptkept.Store].
func (kept *JobStore) Owners(context.Context) (owners map[ptkept.Partition]string, err error) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	return maps.Clone(kept.owners), nil
}

// RecordCount returns how many specs, cancellations and progress records are kept.
func (kept *JobStore) RecordCount() (count int) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	newest := make(map[string][]byte)
	for _, log := range kept.logs {
		for _, record := range log {
			newest[record.Key] = record.Value
		}
	}
	for _, value := range newest {
		if len(value) > 0 {
			count++
		}
	}
	for _, progress := range kept.progress {
		count += len(progress)
	}
	return count
}
