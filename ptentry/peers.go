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
	peerTimeout  = 2 * time.Second
	peerInterval = 2 * time.Second
	// peerForget is how long a peer that does not answer counts as one.
	peerForget = 10 * time.Second
)

// peerEntry is another entry that has answered.
type peerEntry struct {
	address     string
	incarnation ptid.Incarnation
	heardAt     time.Time
}

// peerBook knows the addresses of other entries, and who answers there.
type peerBook struct {
	metrics   *ptmetric.Set
	mu        sync.Mutex
	addresses map[string]bool
	peers     map[ptid.EntryName]peerEntry
}

func newPeerBook(addresses []string, metrics *ptmetric.Set) *peerBook {
	book := &peerBook{metrics: metrics, addresses: make(map[string]bool), peers: make(map[ptid.EntryName]peerEntry)}
	book.learn(addresses...)
	return book
}

func (book *peerBook) learn(addresses ...string) {
	book.mu.Lock()
	defer book.mu.Unlock()
	for _, address := range addresses {
		if address != "" {
			book.addresses[address] = true
		}
	}
}

func (book *peerBook) all() (addresses []string) {
	book.mu.Lock()
	defer book.mu.Unlock()
	for address := range book.addresses {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

func (book *peerBook) heard(name ptid.EntryName, peer peerEntry) {
	book.mu.Lock()
	defer book.mu.Unlock()
	book.peers[name] = peer
}

// names returns the entries that have answered lately, sorted.
func (book *peerBook) names() (names []ptid.EntryName) {
	book.mu.Lock()
	defer book.mu.Unlock()
	for name, peer := range book.peers {
		if time.Since(peer.heardAt) < peerForget {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (book *peerBook) find(name ptid.EntryName) (peer peerEntry, found bool) {
	book.mu.Lock()
	defer book.mu.Unlock()
	peer, found = book.peers[name]
	return peer, found
}

// call opens a connection to an address and calls the peer there.
func (book *peerBook) call(ctx context.Context, address string, timeout time.Duration, use func(ctx context.Context, client ptwire.DRPCDispatcherClient) error) (err error) {
	defer func() { err = errors.Wrapf(err, "call the entry at %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dialer := net.Dialer{Timeout: peerTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn := drpcconn.NewWithOptions(pttransport.CountBytes(raw, book.metrics), drpcconn.Options{Manager: pttransport.Options()})
	defer func() { _ = conn.Close() }()
	return use(ctx, ptwire.NewDRPCDispatcherClient(conn))
}

// meetPeers asks every known address who answers there, and takes over a newer
// configuration.
func (entry *Entry) meetPeers(ctx context.Context) {
	for _, address := range entry.presence.Addresses() {
		if address != entry.setting.AgentsListen {
			entry.peers.learn(address)
		}
	}
	for _, address := range entry.peers.all() {
		err := entry.peers.call(ctx, address, peerTimeout, func(ctx context.Context, client ptwire.DRPCDispatcherClient) error {
			reply, err := client.Peer(ctx, &ptwire.PeerQuery{
				Configuration: true, KnownRevision: uint64(entry.follower.State().Revision),
				Entry: string(entry.setting.Name), Incarnation: uint64(entry.incarnation), AgentsAddress: entry.setting.AgentsListen,
			})
			if err != nil {
				return err
			}
			entry.met(address, reply)
			return nil
		})
		if err != nil && ctx.Err() == nil {
			entry.deps.Log.V(1).Info("a peer does not answer", "error", err.Error())
		}
	}
}

func (entry *Entry) met(address string, reply *ptwire.PeerReply) {
	name := ptid.EntryName(reply.Entry)
	if name == entry.setting.Name {
		return
	}
	entry.peers.heard(name, peerEntry{address: address, incarnation: ptid.Incarnation(reply.Incarnation), heardAt: time.Now()})
	if reply.Configuration != nil {
		entry.takeConfiguration(reply.Configuration)
	}
}

// rank returns this entry's place among all entries that are known to live.
func (entry *Entry) rank() (rank, entries int) {
	names := append(entry.peers.names(), entry.setting.Name)
	slices.Sort(names)
	return slices.Index(names, entry.setting.Name), len(names)
}

// entryAddresses returns where agents reach this entry and its peers.
func (entry *Entry) entryAddresses() (addresses []*ptwire.EntryAddress) {
	addresses = append(addresses, &ptwire.EntryAddress{Name: string(entry.setting.Name), Address: entry.setting.AgentsListen})
	for _, name := range entry.peers.names() {
		if peer, found := entry.peers.find(name); found {
			addresses = append(addresses, &ptwire.EntryAddress{Name: string(name), Address: peer.address})
		}
	}
	return addresses
}

// JobStatus is what any entry says of a job.
type JobStatus struct {
	Ended   bool
	Outcome ptjob.Outcome
	// AnswersRetained is false where the answers of a complete job are no longer kept.
	AnswersRetained bool
}

// QueryJob returns the report of a job of any entry. With wait it waits for the end,
// until ctx ends. The error is ErrUnknownJob where nobody knows the job.
func (entry *Entry) QueryJob(ctx context.Context, id ptid.JobID, cancel, wait bool) (report JobStatus, err error) {
	owner, incarnation, ok := id.Owner()
	if !ok {
		return JobStatus{}, ErrUnknownJob
	}
	query := &ptwire.JobQuery{Job: string(id), Cancel: cancel, Wait: wait}
	if owner == entry.setting.Name && incarnation == entry.incarnation {
		reply, err := entry.answerPeer(ctx, query)
		if err != nil {
			return JobStatus{}, err
		}
		return reportOf(reply)
	}
	peer, found := entry.peers.find(owner)
	if !found || peer.incarnation != incarnation {
		entry.meetPeers(ctx)
		if peer, found = entry.peers.find(owner); !found || peer.incarnation != incarnation {
			return JobStatus{}, ErrUnknownJob
		}
	}
	timeout := peerTimeout
	if wait {
		timeout = longestWait
	}
	var reply *ptwire.JobReply
	err = entry.peers.call(ctx, peer.address, timeout, func(ctx context.Context, client ptwire.DRPCDispatcherClient) (err error) {
		reply, err = client.Job(ctx, query)
		return err
	})
	if err != nil {
		return JobStatus{}, errors.Wrap(ErrUnknownJob, err.Error())
	}
	return reportOf(reply)
}

// longestWait bounds how long a peer is asked to wait for the end of a job.
const longestWait = 20 * time.Minute

// answerPeer answers a question for a job of this entry.
func (entry *Entry) answerPeer(ctx context.Context, query *ptwire.JobQuery) (reply *ptwire.JobReply, err error) {
	id := ptid.JobID(query.Job)
	entry.claiming.wait(ctx, id)
	if entry.neverRan(id) {
		return &ptwire.JobReply{Known: true, Ended: true, Whole: true, Result: string(ptjob.ResultNotRun), Reason: string(ptreason.LogUnavailable)}, nil
	}
	open, ended := entry.jobs.find(id)
	if open != nil {
		ended, err = entry.awaitEnd(ctx, open, query)
		if ended == nil || err != nil {
			return &ptwire.JobReply{Known: true}, err
		}
	}
	if ended == nil {
		return &ptwire.JobReply{}, nil
	}
	return replyOf(ended), nil
}

// awaitEnd cancels an open job or waits for it, as asked. ended is nil where it is
// still open then.
func (entry *Entry) awaitEnd(ctx context.Context, open *heldJob, query *ptwire.JobQuery) (ended *endedJob, err error) {
	if query.Cancel {
		open.service.cancel(open.ID)
	}
	if !query.Wait && !query.Cancel {
		return nil, nil
	}
	select {
	case <-open.Done():
		// The job was open a moment ago, so its answers are all there.
		return &endedJob{outcome: open.Outcome(), whole: true}, nil
	case <-ctx.Done():
		return nil, nil
	}
}

func replyOf(ended *endedJob) (reply *ptwire.JobReply) {
	outcome := ended.outcome
	reply = &ptwire.JobReply{
		Known: true, Ended: true, Result: string(outcome.Result), Reason: string(outcome.Reason), Whole: ended.whole,
	}
	for _, answer := range outcome.Answers {
		reply.Answers = append(reply.Answers, &ptwire.Answer{ContentType: answer.ContentType, Body: answer.Body})
	}
	for _, task := range outcome.Tasks {
		reply.Tasks = append(reply.Tasks, &ptwire.TaskEnd{State: uint32(task.State), Reason: string(task.Reason)})
	}
	return reply
}

func reportOf(reply *ptwire.JobReply) (report JobStatus, err error) {
	if !reply.Known {
		return JobStatus{}, ErrUnknownJob
	}
	report = JobStatus{Ended: reply.Ended, AnswersRetained: reply.Whole}
	report.Outcome.Result = ptjob.Result(reply.Result)
	report.Outcome.Reason = ptreason.Reason(reply.Reason)
	for _, answer := range reply.Answers {
		report.Outcome.Answers = append(report.Outcome.Answers, ptjob.Answer{ContentType: answer.ContentType, Body: answer.Body})
	}
	for _, task := range reply.Tasks {
		report.Outcome.Tasks = append(report.Outcome.Tasks, ptjob.TaskReport{
			State: ptjob.State(task.State), Reason: ptreason.Reason(task.Reason),
		})
	}
	return report, nil
}
