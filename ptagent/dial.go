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
	dialTimeout      = time.Second
	greetingTimeout  = 2 * time.Second
	firstRetryWait   = 50 * time.Millisecond
	longestRetryWait = time.Second
	aliasCheckWait   = time.Second
	discoverInterval = 20 * time.Second
	// forgetAfter is how long nobody may answer at an address that the settings do not
	// name before it is given up. It is learned anew where an entry announces it.
	forgetAfter = 5 * time.Minute
)

// protocolVersion is what greetings carry; entries refuse versions they don't know.
const protocolVersion = 1

// peer is the agent's view of one entry with an open session.
type peer struct {
	name        ptid.EntryName
	incarnation ptid.Incarnation
	session     *ptsession.Session
}

// peerOf returns the peer whose present session this is. The caller holds the lock.
func (agent *Agent) peerOf(session *ptsession.Session) *peer {
	for _, peer := range agent.peers {
		if peer.session == session {
			return peer
		}
	}
	return nil
}

// connected reports whether an incarnation of an entry has an open session. An open
// session with an earlier one is dead, however long it takes to show.
func (agent *Agent) connected(entry ptid.EntryName, incarnation ptid.Incarnation) bool {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	peer := agent.peers[entry]
	return peer != nil && peer.incarnation >= incarnation
}

// keepSession dials one address for as long as the agent runs, or until nobody has
// answered there for long and nothing but hearsay speaks for it.
func (agent *Agent) keepSession(ctx context.Context, address string) {
	defer agent.addresses.ended(address)
	wait, answeredAt := firstRetryWait, time.Now()
	for ctx.Err() == nil {
		opened, err := agent.connect(ctx, address)
		if opened || errors.Is(err, errAlias) {
			answeredAt = time.Now()
		} else if time.Since(answeredAt) > forgetAfter && !slices.Contains(agent.setting.Entries, address) {
			return
		}
		switch {
		case errors.Is(err, errAlias):
			pause(ctx, aliasCheckWait)
			continue
		case opened:
			wait = firstRetryWait
		default:
			wait = min(2*wait, longestRetryWait)
		}
		if !opened || errors.Is(err, errReplaced) {
			pause(ctx, wait/2+rand.N(wait))
		}
	}
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

var (
	errAlias    = errors.New("the entry has a session over another address")
	errReplaced = errors.New("the session was replaced by a newer one")
	errRefused  = errors.New("the entry refused the greeting")
)

// connect opens one session and serves it to its end. opened tells whether the
// entry welcomed the agent.
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

	guard := time.AfterFunc(greetingTimeout, func() { _ = raw.Close() })
	defer guard.Stop()
	known, err := client.Peer(ctx, &ptwire.PeerQuery{})
	if err != nil {
		return false, errors.Wrap(err, "ask who answers")
	}
	agent.addresses.learnEntries(known.Entries)
	if agent.connected(ptid.EntryName(known.Entry), ptid.Incarnation(known.Incarnation)) {
		return false, errAlias
	}
	stream, err := client.Session(ctx)
	if err != nil {
		return false, errors.Wrap(err, "open a session")
	}
	welcome, err := agent.greet(stream, ptid.EntryName(known.Entry))
	if err != nil {
		return false, err
	}
	guard.Stop()
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
	agent.stampSlots(entry, frame, now)
	agent.mu.Unlock()
	if err := stream.Send(frame); err != nil {
		return nil, errors.Wrap(err, "send the greeting")
	}
	reply, err := stream.Recv()
	if err != nil {
		return nil, errors.Wrap(err, "wait for the welcome")
	}
	if reply.Welcome == nil || reply.Welcome.Refused != "" {
		return nil, errors.Wrap(errRefused, reply.GetWelcome().GetRefused())
	}
	agent.addresses.learnEntries(reply.Welcome.Entries)
	return reply.Welcome, nil
}

// nextSession returns a number above all earlier ones. The caller holds the lock.
func (agent *Agent) nextSession() uint64 {
	agent.sessions++
	return agent.sessions
}

func (agent *Agent) serveSession(stream ptsession.Stream, closer func(), welcome *ptwire.Welcome) (err error) {
	interval := time.Duration(welcome.HeartbeatIntervalNanos)
	if interval < ptlink.MinHeartbeatInterval {
		interval = ptlink.MinHeartbeatInterval
	}
	session := ptsession.New(ptlink.AgentSide, agent.deps.Clock, stream, closer, interval, agent)
	joined := &peer{
		name: ptid.EntryName(welcome.Entry), incarnation: ptid.Incarnation(welcome.Incarnation), session: session,
	}
	agent.join(joined)
	agent.deps.Log.Info("session opened", "entry", joined.name, "session", welcome.Session)
	err = session.Run()
	agent.leave(joined)
	cause := ptsession.CauseLabel(err)
	agent.deps.Metrics.Counter(ptmetric.SessionEnds, "cause", cause).Inc()
	agent.deps.Log.Info("session ended", "entry", joined.name, "session", welcome.Session, "cause", cause, "error", err.Error())
	return err
}

func (agent *Agent) join(joined *peer) {
	agent.mu.Lock()
	previous := agent.peers[joined.name]
	agent.peers[joined.name] = joined
	agent.core.SessionOpened(joined.name, joined.incarnation)
	agent.mu.Unlock()
	if previous != nil {
		previous.session.Close(errReplaced)
	}
}

func (agent *Agent) leave(left *peer) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if agent.peers[left.name] == left {
		delete(agent.peers, left.name)
		agent.core.SessionClosed(left.name)
		agent.keeper.SessionClosed(left.name, agent.deps.Clock.Now())
	}
}

// Redial closes the session to an entry, so that a new one is dialed at once.
// The entry asks for it when it finds the session silent.
func (agent *Agent) Redial(entry ptid.EntryName) {
	agent.mu.Lock()
	peer := agent.peers[entry]
	agent.mu.Unlock()
	if peer != nil {
		peer.session.Close(ptsession.ErrAckTimeout)
	}
}
