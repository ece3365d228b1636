package ptagent

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/pttransport"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	dialTimeout     = time.Second
	greetingTimeout = 2 * time.Second
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = time.Second
	// aliasRetryInterval is the interval at which an address is dialed while the agent has a
	// session with the same entry over another address.
	aliasRetryInterval = time.Second
	discoverInterval   = 20 * time.Second
	// addressExpiry is how long an address that is not in the settings may be unreachable
	// before the agent stops dialing it. The address is added again if an entry announces it.
	addressExpiry = 5 * time.Minute
)

// protocolVersion is the protocol version in greetings. Entries refuse unknown versions.
const protocolVersion = 1

// peer is an entry with which the agent has an open session.
type peer struct {
	name        ptid.EntryName
	incarnation ptid.Incarnation
	session     *ptsession.Session
}

// peerOf returns the peer whose current session is the given one, or nil. The caller holds the
// lock.
func (agent *Agent) peerOf(session *ptsession.Session) *peer {
	for _, peer := range agent.peers {
		if peer.session == session {
			return peer
		}
	}
	return nil
}

// connected reports whether the agent has an open session with an entry's incarnation or a
// later one. A session with an earlier incarnation does not count: that process has ended, even
// if its connection has not failed yet.
func (agent *Agent) connected(entry ptid.EntryName, incarnation ptid.Incarnation) bool {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	peer := agent.peers[entry]
	return peer != nil && peer.incarnation >= incarnation
}

// maintainSession dials an address and serves sessions over it until ctx is done. An address that
// is not in the settings expires: maintainSession returns earlier if the last response of an entry
// at this address is older than addressExpiry.
func (agent *Agent) maintainSession(ctx context.Context, address string) {
	defer agent.addresses.remove(address)
	backoff, respondedAt := minBackoff, time.Now()
	for ctx.Err() == nil {
		opened, err := agent.connect(ctx, address)
		if opened || errors.Is(err, errAlreadyConnected) {
			respondedAt = time.Now()
		} else if time.Since(respondedAt) > addressExpiry && !slices.Contains(agent.setting.Entries, address) {
			return
		}
		switch {
		case errors.Is(err, errAlreadyConnected):
			sleep(ctx, aliasRetryInterval)
			continue
		case opened:
			backoff = minBackoff
		default:
			backoff = min(2*backoff, maxBackoff)
		}
		if !opened || errors.Is(err, errReplaced) {
			sleep(ctx, backoff/2+rand.N(backoff))
		}
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

var (
	errAlreadyConnected = errors.New("the agent has a session with this entry over another address")
	errReplaced         = errors.New("the session was replaced by a newer one")
	errRefused          = errors.New("the entry refused the greeting")
)

// connect opens a session over an address and serves it until it ends. opened is true if the
// entry accepted the greeting.
func (agent *Agent) connect(ctx context.Context, address string) (opened bool, err error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, errors.Wrap(err, "dial an entry")
	}
	defer func() { _ = raw.Close() }()
	transport := pttransport.CountBytes(raw, agent.deps.Metrics)
	conn := drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: pttransport.Options()})
	defer func() { _ = conn.Close() }()
	client := ptwire.NewDRPCDispatcherClient(conn)

	greetingTimer := time.AfterFunc(greetingTimeout, func() { _ = raw.Close() })
	defer greetingTimer.Stop()
	identity, err := client.Peer(ctx, &ptwire.PeerQuery{})
	if err != nil {
		return false, errors.Wrap(err, "query the identity of the entry")
	}
	agent.addresses.addEntries(identity.Entries)
	if agent.connected(ptid.EntryName(identity.Entry), ptid.Incarnation(identity.Incarnation)) {
		return false, errAlreadyConnected
	}
	stream, err := client.Session(ctx)
	if err != nil {
		return false, errors.Wrap(err, "open a session")
	}
	welcome, err := agent.greet(stream, ptid.EntryName(identity.Entry))
	if err != nil {
		return false, err
	}
	greetingTimer.Stop()
	return true, agent.serveSession(stream, func() { _ = raw.Close() }, welcome)
}

func (agent *Agent) greet(stream ptwire.DRPCDispatcher_SessionClient, entry ptid.EntryName) (welcome *ptwire.Welcome, err error) {
	agent.mu.Lock()
	number := agent.nextSession()
	greeting := &ptwire.Greeting{
		Agent: string(agent.setting.Name), Incarnation: uint64(agent.incarnation), Session: number,
		Service: string(agent.setting.Service), AvailabilityZone: string(agent.setting.Zone),
		Region: string(agent.setting.Region), Slots: uint32(agent.setting.Lease.Slots),
		AdminAddress: agent.setting.AdminListen, Protocol: protocolVersion,
	}
	agent.core.PrepareSession(entry)
	now := agent.deps.Clock.Now()
	frame := &ptwire.Frame{Greeting: greeting, AgentClockNanos: int64(now), Revision: agent.config.revision()}
	agent.fillSlotCounts(entry, frame, now)
	agent.mu.Unlock()
	if err := stream.Send(frame); err != nil {
		return nil, errors.Wrap(err, "send the greeting")
	}
	reply, err := stream.Recv()
	if err != nil {
		return nil, errors.Wrap(err, "receive the welcome")
	}
	if reply.Welcome == nil || reply.Welcome.Refused != "" {
		return nil, errors.Wrap(errRefused, reply.GetWelcome().GetRefused())
	}
	agent.addresses.addEntries(reply.Welcome.Entries)
	return reply.Welcome, nil
}

// nextSession returns a session number that is higher than all previous ones. The caller holds
// the lock.
func (agent *Agent) nextSession() uint64 {
	agent.lastSession++
	return agent.lastSession
}

func (agent *Agent) serveSession(stream ptsession.Stream, closer func(), welcome *ptwire.Welcome) (err error) {
	interval := time.Duration(welcome.HeartbeatIntervalNanos)
	if interval < ptlink.MinHeartbeatInterval {
		interval = ptlink.MinHeartbeatInterval
	}
	session := ptsession.New(ptlink.AgentSide, agent.deps.Clock, stream, closer, interval, agent)
	opened := &peer{
		name: ptid.EntryName(welcome.Entry), incarnation: ptid.Incarnation(welcome.Incarnation), session: session,
	}
	agent.addPeer(opened)
	agent.deps.Log.Info("session opened", "entry", opened.name, "session", welcome.Session)
	err = session.Run()
	agent.removePeer(opened)
	cause := ptsession.CauseLabel(err)
	agent.deps.Metrics.Counter(ptmetric.SessionEnds, "cause", cause).Inc()
	agent.deps.Log.Info("session ended", "entry", opened.name, "session", welcome.Session, "cause", cause, "error", err.Error())
	return err
}

func (agent *Agent) addPeer(opened *peer) {
	agent.mu.Lock()
	previous := agent.peers[opened.name]
	agent.peers[opened.name] = opened
	agent.core.SessionOpened(opened.name, opened.incarnation)
	agent.mu.Unlock()
	if previous != nil {
		previous.session.Close(errReplaced)
	}
}

func (agent *Agent) removePeer(closed *peer) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if agent.peers[closed.name] == closed {
		delete(agent.peers, closed.name)
		agent.core.SessionClosed(closed.name)
		agent.quotaCoordinator.SessionClosed(closed.name, agent.deps.Clock.Now())
	}
}

// Redial closes the session with an entry, so that a new one is opened at once. The entry
// requests this after it has closed the session because of a missing acknowledgement or a
// protocol violation.
func (agent *Agent) Redial(entry ptid.EntryName) {
	agent.mu.Lock()
	peer := agent.peers[entry]
	agent.mu.Unlock()
	if peer != nil {
		peer.session.Close(ptsession.ErrAckTimeout)
	}
}
