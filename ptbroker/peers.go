package ptbroker

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/pttransport"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	// peerCallTimeout limits a call to another entry.
	peerCallTimeout = 400 * time.Millisecond
	// ownersCacheTTL is how long the list of partition owners is cached.
	ownersCacheTTL = time.Second
	// localPollInterval and peerPollInterval are the intervals at which the end of a job is
	// polled while a caller waits for it. A local poll takes a lock; a poll of the owner is a
	// call to another entry.
	localPollInterval = 10 * time.Millisecond
	peerPollInterval  = 20 * time.Millisecond
	// pendingCacheTTL is how long the count of other entries' pending jobs is cached.
	pendingCacheTTL = 700 * time.Millisecond
)

// ErrStateUnknown means that neither the owner nor the log could provide the state of a job.
var ErrStateUnknown = errors.New("job state unavailable")

// peers holds the connections to other entries and the cached results of calls to them.
type peers struct {
	mu       sync.Mutex
	conns    map[string]*drpcconn.Conn
	owners   map[ptjobstore.Partition]string
	ownersAt time.Time
	pending  map[ptid.ProfileName]cachedCount
}

type cachedCount struct {
	count int
	at    time.Time
}

func newPeers() *peers {
	return &peers{conns: make(map[string]*drpcconn.Conn), pending: make(map[ptid.ProfileName]cachedCount)}
}

// callPeer calls one entry. If the call fails, its connection is closed.
func (broker *Broker) callPeer(ctx context.Context, address string, invoke func(ctx context.Context, client ptwire.DRPCDispatcherClient) error) (err error) {
	defer func() { err = errors.Wrapf(err, "call entry at %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	peers := broker.peers
	peers.mu.Lock()
	conn := peers.conns[address]
	peers.mu.Unlock()
	if conn == nil {
		netConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return err
		}
		conn = drpcconn.NewWithOptions(pttransport.CountBytes(netConn, broker.deps.Metrics), drpcconn.Options{Manager: pttransport.Options()})
		peers.mu.Lock()
		peers.conns[address] = conn
		peers.mu.Unlock()
	}
	if err := invoke(ctx, ptwire.NewDRPCDispatcherClient(conn)); err != nil {
		peers.mu.Lock()
		if peers.conns[address] == conn {
			delete(peers.conns, address)
		}
		peers.mu.Unlock()
		_ = conn.Close()
		return err
	}
	return nil
}

// owners returns the owners of the partitions, from the cache if it is fresh.
func (broker *Broker) owners(ctx context.Context) (owners map[ptjobstore.Partition]string, err error) {
	peers := broker.peers
	peers.mu.Lock()
	owners, fresh := peers.owners, time.Since(peers.ownersAt) < ownersCacheTTL
	peers.mu.Unlock()
	if fresh {
		return owners, nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	current, err := broker.ownership.store.Owners(ctx)
	peers.mu.Lock()
	defer peers.mu.Unlock()
	// If the call failed, the cached list is used for another ownersCacheTTL.
	peers.ownersAt = time.Now()
	if err == nil {
		peers.owners = current
	}
	return peers.owners, nil
}

// jobView is the known state of a durable job.
type jobView struct {
	state ptgraph.State
	// selfTerminating is true if the job ends without a cancellation and has no schedule. local
	// is true if this entry owns the job.
	selfTerminating, local bool
}

// AwaitDurable returns the state of a durable job, which it reads from the job's owner, or from
// the log if the owner does not respond. It returns as soon as the job has ended, and at the
// latest at the instant until; if until has passed, it returns immediately. It does not wait
// for scheduled jobs, for jobs that run until they are cancelled, or while this entry is
// draining.
//
// The wait exists for callers that poll a few times per second: without it they would learn of
// the end of a job a quarter of a second late.
func (broker *Broker) AwaitDurable(ctx context.Context, id ptid.JobID, until ptid.Instant) (state ptgraph.State, found bool, err error) {
	for {
		view, found, err := broker.view(ctx, id)
		interval := peerPollInterval
		if view.local {
			interval = localPollInterval
		}
		if err != nil || !found || view.state.Ended() || !view.selfTerminating || broker.Draining() || broker.deps.Clock.Now().Add(interval) > until {
			return view.state, found, err
		}
		sleep(ctx, interval)
	}
}

// view reads the state of a durable job from its owner, or from the log if the owner does not
// respond.
func (broker *Broker) view(ctx context.Context, id ptid.JobID) (view jobView, found bool, err error) {
	if broker.ownership.store == nil {
		return view, false, nil
	}
	if view, found = broker.localView(id); found {
		return view, true, nil
	}
	partition := ptjobstore.PartitionOf(id, broker.ownership.store.Partitions())
	owners, err := broker.owners(ctx)
	if err == nil && owners[partition] != "" && owners[partition] != broker.ownership.memberID {
		var reply *ptwire.JobReply
		callErr := broker.callPeer(ctx, memberAddress(owners[partition]), func(ctx context.Context, client ptwire.DRPCDispatcherClient) (err error) {
			reply, err = client.Job(ctx, &ptwire.JobQuery{Job: string(id)})
			return err
		})
		if callErr == nil && reply.Known && len(reply.Tasks) == 1 {
			return jobView{state: ptgraph.State(reply.Tasks[0].State), selfTerminating: reply.EndsSoon}, true, nil
		}
		if callErr != nil {
			broker.deps.Log.Info("failed to call partition owner", "job", id, "partition", partition, "owner", owners[partition], "error", callErr.Error())
		}
	}
	view.state, found, err = broker.lookupState(ctx, partition, id)
	return view, found, err
}

// lookupState reads the state of a job from the log.
func (broker *Broker) lookupState(ctx context.Context, partition ptjobstore.Partition, id ptid.JobID) (state ptgraph.State, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	spec, record, err := broker.ownership.store.Lookup(ctx, partition, id)
	switch {
	case err != nil:
		broker.deps.Log.Info("failed to read job state from log", "job", id, "partition", partition, "error", err.Error())
		return 0, false, ErrStateUnknown
	case len(record) > 0:
		progress, err := ptjobstore.DecodeProgress(record)
		if err != nil {
			return 0, false, err
		}
		return progress.State, true, nil
	case len(spec) == 0:
		return 0, false, nil
	}
	cancelled, err := broker.ownership.store.IsCancelled(ctx, partition, id)
	switch {
	case err != nil:
		return 0, false, ErrStateUnknown
	case cancelled:
		return ptgraph.GivenUp, true, nil
	default:
		return ptgraph.Pending, true, nil
	}
}

// localView returns the state of a durable job that this entry owns.
func (broker *Broker) localView(id ptid.JobID) (view jobView, known bool) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	partition, job := broker.findDurable(id)
	if job == nil || !partition.handover.IsLoaded() {
		return view, false
	}
	view = jobView{state: job.visibleState, selfTerminating: job.selfTerminating(), local: true}
	if job.visibleState.Ended() {
		return view, true
	}
	for _, open := range job.open {
		if !open.CertainlyUnstarted() {
			view.state = ptgraph.Running
		}
	}
	return view, true
}

// Job implements the DRPC service for other entries. It returns the state of a job that this
// entry owns. If the query contains a record, Job writes it to the log; if it is a cancellation, Job
// cancels a job whose callers wait at this entry.
func (broker *Broker) Job(ctx context.Context, query *ptwire.JobQuery) (reply *ptwire.JobReply, err error) {
	switch {
	case query.PutKey != "":
		return broker.putForPeer(ctx, query), nil
	case query.Cancel:
		return broker.cancelForPeer(ptid.JobID(query.Job)), nil
	}
	view, known := broker.localView(ptid.JobID(query.Job))
	return &ptwire.JobReply{Known: known, Ended: view.state.Ended(), EndsSoon: view.selfTerminating, Tasks: []*ptwire.TaskEnd{{State: uint32(view.state)}}}, nil
}

// Peer implements the DRPC service for other entries. It returns the identity of this entry and
// the number of its pending jobs of a queue.
func (broker *Broker) Peer(_ context.Context, query *ptwire.PeerQuery) (reply *ptwire.PeerReply, err error) {
	return &ptwire.PeerReply{
		Entry: string(broker.setting.Name), Incarnation: uint64(broker.incarnation),
		Pending: uint32(broker.localPending(ptid.ProfileName(query.PendingQueue))),
	}, nil
}

// localPending returns the number of jobs of a queue at this entry that have started no task.
func (broker *Broker) localPending(queue ptid.ProfileName) (pending int) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	return broker.core.PendingJobs(queue)
}

// PendingJobs returns the number of jobs of a queue, at all entries, that wait for their first
// task to be placed. The sum over the other entries is cached for pendingCacheTTL. If one of the
// other entries does not respond, the new sum is not allowed to be lower than the cached sum.
func (broker *Broker) PendingJobs(ctx context.Context, queue ptid.ProfileName) (pending int) {
	pending = broker.localPending(queue)
	if broker.ownership.store == nil {
		return pending
	}
	peers := broker.peers
	peers.mu.Lock()
	cached := peers.pending[queue]
	peers.mu.Unlock()
	if time.Since(cached.at) < pendingCacheTTL {
		return pending + cached.count
	}
	owners, err := broker.owners(ctx)
	if err != nil {
		return pending + cached.count
	}
	members := make(map[string]bool)
	for _, member := range owners {
		members[member] = true
	}
	delete(members, broker.ownership.memberID)
	others, complete := 0, true
	for member := range members {
		var reply *ptwire.PeerReply
		callErr := broker.callPeer(ctx, memberAddress(member), func(ctx context.Context, client ptwire.DRPCDispatcherClient) (err error) {
			reply, err = client.Peer(ctx, &ptwire.PeerQuery{PendingQueue: string(queue)})
			return err
		})
		if callErr != nil {
			broker.deps.Log.Info("failed to query pending jobs", "entry", member, "error", callErr.Error())
			complete = false
			continue
		}
		others += int(reply.Pending)
	}
	if !complete {
		others = max(others, cached.count)
	}
	peers.mu.Lock()
	peers.pending[queue] = cachedCount{count: others, at: time.Now()}
	peers.mu.Unlock()
	return pending + others
}
