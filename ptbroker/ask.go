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
	"github.com/primrosetiller/primrosetiller/ptkept"
	"github.com/primrosetiller/primrosetiller/pttransport"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	// askTimeout bounds a question to another entry.
	askTimeout = 400 * time.Millisecond
	// ownersAge is how old the list of owners may be.
	ownersAge = time.Second
	// ownStep and peerStep are the pauses between two looks for the end of a job that a caller
	// waits for: one takes a lock, the other a question to another entry.
	ownStep  = 10 * time.Millisecond
	peerStep = 20 * time.Millisecond
	// pendingAge is how old the count of another entry's pending jobs may be.
	pendingAge = 700 * time.Millisecond
)

// ErrStateUnknown means that nobody could tell the state of a job.
var ErrStateUnknown = errors.New("the state of the job can't be read now")

// asking holds the connections to other entries and what they said last.
type asking struct {
	mu       sync.Mutex
	conns    map[string]*drpcconn.Conn
	owners   map[ptkept.Partition]string
	ownersAt time.Time
	pending  map[ptid.ProfileName]countedAt
}

type countedAt struct {
	count int
	at    time.Time
}

func newAsking() *asking {
	return &asking{conns: make(map[string]*drpcconn.Conn), pending: make(map[ptid.ProfileName]countedAt)}
}

// call asks one entry; a connection that fails is closed.
func (broker *Broker) call(ctx context.Context, address string, ask func(ctx context.Context, client ptwire.DRPCDispatcherClient) error) (err error) {
	defer func() { err = errors.Wrapf(err, "ask the entry at %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asking := broker.asking
	asking.mu.Lock()
	conn := asking.conns[address]
	asking.mu.Unlock()
	if conn == nil {
		raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return err
		}
		conn = drpcconn.NewWithOptions(pttransport.CountBytes(raw, broker.deps.Metrics), drpcconn.Options{Manager: pttransport.Options()})
		asking.mu.Lock()
		asking.conns[address] = conn
		asking.mu.Unlock()
	}
	if err := ask(ctx, ptwire.NewDRPCDispatcherClient(conn)); err != nil {
		asking.mu.Lock()
		if asking.conns[address] == conn {
			delete(asking.conns, address)
		}
		asking.mu.Unlock()
		_ = conn.Close()
		return err
	}
	return nil
}

// owners returns who owns the partitions, as of late.
func (broker *Broker) owners(ctx context.Context) (owners map[ptkept.Partition]string, err error) {
	asking := broker.asking
	asking.mu.Lock()
	owners, fresh := asking.owners, time.Since(asking.ownersAt) < ownersAge
	asking.mu.Unlock()
	if fresh {
		return owners, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	read, err := broker.keeper.store.Owners(ctx)
	asking.mu.Lock()
	defer asking.mu.Unlock()
	// After a failure the old list serves for as long again.
	asking.ownersAt = time.Now()
	if err == nil {
		asking.owners = read
	}
	return asking.owners, nil
}

// keptView is what is known of a kept job.
type keptView struct {
	state ptgraph.State
	// endsSoon is true for jobs that end by themselves, own for those of this entry.
	endsSoon, own bool
}

// AwaitDurable returns the state of a kept job, from its owner or else from the log: as soon as it
// has ended, and else at an instant; at once where that has passed.
// Jobs that run at set times or until they are cancelled are not waited for, nor is anything
// while the entry leaves.
//
// It answers callers that ask some times a second: they would learn of an end a quarter of
// a second late.
func (broker *Broker) AwaitDurable(ctx context.Context, id ptid.JobID, until ptid.Instant) (state ptgraph.State, found bool, err error) {
	for {
		view, found, err := broker.view(ctx, id)
		step := peerStep
		if view.own {
			step = ownStep
		}
		if err != nil || !found || view.state.Ended() || !view.endsSoon || broker.Draining() || broker.deps.Clock.Now().Add(step) > until {
			return view.state, found, err
		}
		pause(ctx, step)
	}
}

// view asks the owner of a kept job, or else the log.
func (broker *Broker) view(ctx context.Context, id ptid.JobID) (view keptView, found bool, err error) {
	if broker.keeper.store == nil {
		return view, false, nil
	}
	if view, found = broker.ownView(id); found {
		return view, true, nil
	}
	partition := ptkept.PartitionOf(id, broker.keeper.store.Partitions())
	owners, err := broker.owners(ctx)
	if err == nil && owners[partition] != "" && owners[partition] != broker.keeper.member {
		var reply *ptwire.JobReply
		asked := broker.call(ctx, memberAddress(owners[partition]), func(ctx context.Context, client ptwire.DRPCDispatcherClient) (err error) {
			reply, err = client.Job(ctx, &ptwire.JobQuery{Job: string(id)})
			return err
		})
		if asked == nil && reply.Known && len(reply.Tasks) == 1 {
			return keptView{state: ptgraph.State(reply.Tasks[0].State), endsSoon: reply.EndsSoon}, true, nil
		}
		if asked != nil {
			broker.deps.Log.Info("owner not reached", "job", id, "partition", partition, "owner", owners[partition], "error", asked.Error())
		}
	}
	view.state, found, err = broker.lookup(ctx, partition, id)
	return view, found, err
}

// lookup reads the state of a job from the log.
func (broker *Broker) lookup(ctx context.Context, partition ptkept.Partition, id ptid.JobID) (state ptgraph.State, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	spec, record, err := broker.keeper.store.Lookup(ctx, partition, id)
	switch {
	case err != nil:
		broker.deps.Log.Info("state not read", "job", id, "partition", partition, "error", err.Error())
		return 0, false, ErrStateUnknown
	case len(record) > 0:
		progress, err := ptkept.DecodeProgress(record)
		if err != nil {
			return 0, false, err
		}
		return progress.State, true, nil
	default:
		return ptgraph.Pending, len(spec) > 0, nil
	}
}

// ownView returns what is known of a kept job of ours.
func (broker *Broker) ownView(id ptid.JobID) (view keptView, known bool) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	held, job := broker.keptOf(id)
	if job == nil || !held.loaded {
		return view, false
	}
	view = keptView{state: job.shown, endsSoon: job.endsSoon(), own: true}
	if job.shown.Ended() {
		return view, true
	}
	for _, open := range job.open {
		if !open.CertainlyUnstarted() {
			view.state = ptgraph.Running
		}
	}
	return view, true
}

// Job implements the drpc service: it tells another entry the state of a job of ours, or puts
// a record for it.
func (broker *Broker) Job(ctx context.Context, query *ptwire.JobQuery) (reply *ptwire.JobReply, err error) {
	if query.PutKey != "" {
		return broker.putForPeer(ctx, query), nil
	}
	view, known := broker.ownView(ptid.JobID(query.Job))
	return &ptwire.JobReply{Known: known, Ended: view.state.Ended(), EndsSoon: view.endsSoon, Tasks: []*ptwire.TaskEnd{{State: uint32(view.state)}}}, nil
}

// Peer implements the drpc service: it tells who answers, and how many kept jobs of a
// queue wait here.
func (broker *Broker) Peer(_ context.Context, query *ptwire.PeerQuery) (reply *ptwire.PeerReply, err error) {
	return &ptwire.PeerReply{
		Entry: string(broker.setting.Name), Incarnation: uint64(broker.incarnation),
		Pending: uint32(broker.ownPending(ptid.ProfileName(query.PendingQueue))),
	}, nil
}

// ownPending returns how many jobs of a queue have started nothing at this entry.
func (broker *Broker) ownPending(queue ptid.ProfileName) (pending int) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	return broker.core.PendingJobs(queue)
}

// PendingJobs returns how many jobs of a queue wait for their first task to be placed, at
// all entries. Entries that do not answer count with what they said last.
func (broker *Broker) PendingJobs(ctx context.Context, queue ptid.ProfileName) (pending int) {
	pending = broker.ownPending(queue)
	if broker.keeper.store == nil {
		return pending
	}
	asking := broker.asking
	asking.mu.Lock()
	known := asking.pending[queue]
	asking.mu.Unlock()
	if time.Since(known.at) < pendingAge {
		return pending + known.count
	}
	owners, err := broker.owners(ctx)
	if err != nil {
		return pending + known.count
	}
	members := make(map[string]bool)
	for _, member := range owners {
		members[member] = true
	}
	delete(members, broker.keeper.member)
	others, complete := 0, true
	for member := range members {
		var reply *ptwire.PeerReply
		asked := broker.call(ctx, memberAddress(member), func(ctx context.Context, client ptwire.DRPCDispatcherClient) (err error) {
			reply, err = client.Peer(ctx, &ptwire.PeerQuery{PendingQueue: string(queue)})
			return err
		})
		if asked != nil {
			broker.deps.Log.Info("pending jobs not told", "entry", member, "error", asked.Error())
			complete = false
			continue
		}
		others += int(reply.Pending)
	}
	if !complete {
		others = max(others, known.count)
	}
	asking.mu.Lock()
	asking.pending[queue] = countedAt{count: others, at: time.Now()}
	asking.mu.Unlock()
	return pending + others
}
