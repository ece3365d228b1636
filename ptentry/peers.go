package ptentry

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjob"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptreason"
	"github.com/primrosetiller/primrosetiller/pttransport"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	peerCallTimeout  = 2 * time.Second
	peerPollInterval = 2 * time.Second
	// peerExpiry is the time after which a peer that has sent no reply and no query counts as
	// down.
	peerExpiry = 10 * time.Second
)

// peerEntry is another entry from which this entry has received a reply or a query.
type peerEntry struct {
	address     string
	incarnation ptid.Incarnation
	lastSeen    time.Time
}

// peerDirectory holds the known addresses of other entries, and the peers from which this entry
// has received a reply or a query, by name.
type peerDirectory struct {
	metrics   *ptmetric.Set
	mu        sync.Mutex
	addresses map[string]bool
	peers     map[ptid.EntryName]peerEntry
}

func newPeerDirectory(addresses []string, metrics *ptmetric.Set) *peerDirectory {
	directory := &peerDirectory{metrics: metrics, addresses: make(map[string]bool), peers: make(map[ptid.EntryName]peerEntry)}
	directory.addAddresses(addresses...)
	return directory
}

func (directory *peerDirectory) addAddresses(addresses ...string) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	for _, address := range addresses {
		if address != "" {
			directory.addresses[address] = true
		}
	}
}

func (directory *peerDirectory) allAddresses() (addresses []string) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	for address := range directory.addresses {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

func (directory *peerDirectory) update(name ptid.EntryName, peer peerEntry) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.peers[name] = peer
}

// liveNames returns the sorted names of the peers whose last reply or query was received less than
// peerExpiry ago.
func (directory *peerDirectory) liveNames() (names []ptid.EntryName) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	for name, peer := range directory.peers {
		if time.Since(peer.lastSeen) < peerExpiry {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (directory *peerDirectory) lookup(name ptid.EntryName) (peer peerEntry, found bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	peer, found = directory.peers[name]
	return peer, found
}

// call opens a connection to the entry at an address, calls the function use with a client of the
// connection, and closes the connection. The timeout covers opening the connection and the
// requests that use sends.
func (directory *peerDirectory) call(ctx context.Context, address string, timeout time.Duration, use func(ctx context.Context, client ptwire.DRPCDispatcherClient) error) (err error) {
	defer func() { err = errors.Wrapf(err, "call the entry at %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dialer := net.Dialer{Timeout: peerCallTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn := drpcconn.NewWithOptions(pttransport.CountBytes(raw, directory.metrics), drpcconn.Options{Manager: pttransport.Options()})
	defer func() { _ = conn.Close() }()
	return use(ctx, ptwire.NewDRPCDispatcherClient(conn))
}

// pollPeers queries every known address for the identity of the entry there and for a newer
// configuration.
func (entry *Entry) pollPeers(ctx context.Context) {
	for _, address := range entry.presence.Addresses() {
		if address != entry.setting.AgentsListen {
			entry.peers.addAddresses(address)
		}
	}
	for _, address := range entry.peers.allAddresses() {
		err := entry.peers.call(ctx, address, peerCallTimeout, func(ctx context.Context, client ptwire.DRPCDispatcherClient) error {
			reply, err := client.Peer(ctx, &ptwire.PeerQuery{
				Configuration: true, KnownRevision: uint64(entry.follower.State().Revision),
				Entry: string(entry.setting.Name), Incarnation: uint64(entry.incarnation), AgentsAddress: entry.setting.AgentsListen,
			})
			if err != nil {
				return err
			}
			entry.recordReply(address, reply)
			return nil
		})
		if err != nil && ctx.Err() == nil {
			entry.deps.Log.V(1).Info("peer query failed", "error", err.Error())
		}
	}
}

func (entry *Entry) recordReply(address string, reply *ptwire.PeerReply) {
	name := ptid.EntryName(reply.Entry)
	if name == entry.setting.Name {
		return
	}
	entry.peers.update(name, peerEntry{address: address, incarnation: ptid.Incarnation(reply.Incarnation), lastSeen: time.Now()})
	if reply.Configuration != nil {
		entry.offerConfiguration(reply.Configuration)
	}
}

// rank returns the index of this entry's name among the sorted names of all live entries, and
// the number of these entries.
func (entry *Entry) rank() (rank, entries int) {
	names := append(entry.peers.liveNames(), entry.setting.Name)
	slices.Sort(names)
	return slices.Index(names, entry.setting.Name), len(names)
}

// entryAddresses returns the addresses at which agents reach this entry and its live peers.
func (entry *Entry) entryAddresses() (addresses []*ptwire.EntryAddress) {
	addresses = append(addresses, &ptwire.EntryAddress{Name: string(entry.setting.Name), Address: entry.setting.AgentsListen})
	for _, name := range entry.peers.liveNames() {
		if peer, found := entry.peers.lookup(name); found {
			addresses = append(addresses, &ptwire.EntryAddress{Name: string(name), Address: peer.address})
		}
	}
	return addresses
}

// JobStatus is the status of a job as reported by the entry that owns it.
type JobStatus struct {
	Ended   bool
	Outcome ptjob.Outcome
	// AnswersRetained is false if the answers of a complete job are no longer retained.
	AnswersRetained bool
}

// QueryJob returns the status of a job from the entry that owns the job. With cancel it also
// cancels the job. With wait it returns when the job has ended or ctx is done. The error is
// ErrUnknownJob if the owner is unknown, can't be reached or does not know the job.
func (entry *Entry) QueryJob(ctx context.Context, id ptid.JobID, cancel, wait bool) (status JobStatus, err error) {
	owner, incarnation, ok := id.Owner()
	if !ok {
		return JobStatus{}, ErrUnknownJob
	}
	query := &ptwire.JobQuery{Job: string(id), Cancel: cancel, Wait: wait}
	if owner == entry.setting.Name && incarnation == entry.incarnation {
		reply, err := entry.handleJobQuery(ctx, query)
		if err != nil {
			return JobStatus{}, err
		}
		return decodeJobReply(reply)
	}
	peer, found := entry.peers.lookup(owner)
	if !found || peer.incarnation != incarnation {
		entry.pollPeers(ctx)
		if peer, found = entry.peers.lookup(owner); !found || peer.incarnation != incarnation {
			return JobStatus{}, ErrUnknownJob
		}
	}
	timeout := peerCallTimeout
	if wait {
		timeout = maxPeerWait
	}
	var reply *ptwire.JobReply
	err = entry.peers.call(ctx, peer.address, timeout, func(ctx context.Context, client ptwire.DRPCDispatcherClient) (err error) {
		reply, err = client.Job(ctx, query)
		return err
	})
	if err != nil {
		return JobStatus{}, errors.Wrap(ErrUnknownJob, err.Error())
	}
	return decodeJobReply(reply)
}

// maxPeerWait is the timeout of a query that waits for the end of a job at a peer.
const maxPeerWait = 20 * time.Minute

// handleJobQuery replies to a query for a job of this entry.
func (entry *Entry) handleJobQuery(ctx context.Context, query *ptwire.JobQuery) (reply *ptwire.JobReply, err error) {
	id := ptid.JobID(query.Job)
	entry.pendingClaims.wait(ctx, id)
	if entry.neverRan(id) {
		return &ptwire.JobReply{Known: true, Ended: true, Whole: true, Result: string(ptjob.ResultNotRun), Reason: string(ptreason.LogUnavailable)}, nil
	}
	open, ended := entry.jobs.find(id)
	if open != nil {
		ended, err = entry.cancelOrWait(ctx, open, query)
		if ended == nil || err != nil {
			return &ptwire.JobReply{Known: true}, err
		}
	}
	if ended == nil {
		return &ptwire.JobReply{}, nil
	}
	return encodeJobReply(ended), nil
}

// cancelOrWait cancels an open job or waits for its end, as the query requests. ended is nil if
// the job is still open when it returns.
func (entry *Entry) cancelOrWait(ctx context.Context, open *openJob, query *ptwire.JobQuery) (ended *endedJob, err error) {
	if query.Cancel {
		open.service.cancel(open.ID)
	}
	if !query.Wait && !query.Cancel {
		return nil, nil
	}
	select {
	case <-open.Done():
		// The job was open until now, so none of its answers has been dropped.
		return &endedJob{outcome: open.Outcome(), answersRetained: true}, nil
	case <-ctx.Done():
		return nil, nil
	}
}

func encodeJobReply(ended *endedJob) (reply *ptwire.JobReply) {
	outcome := ended.outcome
	reply = &ptwire.JobReply{
		Known: true, Ended: true, Result: string(outcome.Result), Reason: string(outcome.Reason), Whole: ended.answersRetained,
	}
	for _, answer := range outcome.Answers {
		reply.Answers = append(reply.Answers, &ptwire.Answer{ContentType: answer.ContentType, Body: answer.Body})
	}
	for _, task := range outcome.Tasks {
		reply.Tasks = append(reply.Tasks, &ptwire.TaskEnd{State: uint32(task.State), Reason: string(task.Reason)})
	}
	return reply
}

func decodeJobReply(reply *ptwire.JobReply) (status JobStatus, err error) {
	if !reply.Known {
		return JobStatus{}, ErrUnknownJob
	}
	status = JobStatus{Ended: reply.Ended, AnswersRetained: reply.Whole}
	status.Outcome.Result = ptjob.Result(reply.Result)
	status.Outcome.Reason = ptreason.Reason(reply.Reason)
	for _, answer := range reply.Answers {
		status.Outcome.Answers = append(status.Outcome.Answers, ptjob.Answer{ContentType: answer.ContentType, Body: answer.Body})
	}
	for _, task := range reply.Tasks {
		status.Outcome.Tasks = append(status.Outcome.Tasks, ptjob.TaskReport{
			State: ptjob.State(task.State), Reason: ptreason.Reason(task.Reason),
		})
	}
	return status, nil
}
