package ptagent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/primrosetiller/primrosetiller/ptadmin"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	expireInterval       = 50 * time.Millisecond
	recordExpiryInterval = time.Second
	drainPollInterval    = 20 * time.Millisecond
	// reconnectWait is how long a drain waits for entries without a session to reconnect and
	// fetch their answers.
	reconnectWait = 10 * time.Second
	// drainNoticeDelay is how long a draining agent waits at the start of the drain, so that
	// the entries receive its new state.
	drainNoticeDelay = 200 * time.Millisecond
	// queryInterval is the shortest interval between two configuration queries.
	queryInterval = time.Second
)

// configurationCache holds the newest configuration, so that the agent can send it to entries
// that restart while the log service is unavailable. The agent does not interpret it.
type configurationCache struct {
	current   atomic.Pointer[ptwire.Configuration]
	mu        sync.Mutex
	queriedAt ptid.Instant
}

func (cache *configurationCache) revision() uint64 { return cache.current.Load().GetRevision() }

// offer stores a configuration if it is newer than the cached one.
func (cache *configurationCache) offer(offered *ptwire.Configuration) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if offered.Revision > cache.revision() {
		cache.current.Store(offered)
	}
}

// queryDue reports whether queryInterval has passed since the last configuration query, and
// starts a new interval if so.
func (cache *configurationCache) queryDue(now ptid.Instant) bool {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if now.Sub(cache.queriedAt) < queryInterval {
		return false
	}
	cache.queriedAt = now
	return true
}

func (agent *Agent) exchangeConfiguration(session *ptsession.Session, frame *ptwire.Frame) {
	if frame.Configuration != nil {
		agent.config.offer(frame.Configuration)
	}
	if query := frame.ConfigurationQuery; query != nil {
		current := agent.config.current.Load()
		if current.GetRevision() > query.FromRevision {
			session.PostLarge(current.Snapshot, func(frame *ptwire.Frame, part uint64) {
				frame.Configuration = &ptwire.Configuration{Revision: current.Revision, Part: part}
			})
		}
	}
	if frame.Revision > agent.config.revision() && agent.config.queryDue(agent.deps.Clock.Now()) {
		from := agent.config.revision()
		session.Post(func(frame *ptwire.Frame) {
			frame.ConfigurationQuery = &ptwire.ConfigurationQuery{FromRevision: from}
		})
	}
	if frame.UpstreamState != nil {
		agent.applyState(frame.UpstreamState)
	}
}

// applyState applies the declared state of the upstream. It ignores states of an older
// revision: entries whose configuration is not up to date send such states.
func (agent *Agent) applyState(state *ptwire.UpstreamState) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if state.Revision < agent.stateRevision || agent.stopping.Load() {
		return
	}
	agent.stateRevision = state.Revision
	draining := ptprofile.UpstreamState(state.State) != ptprofile.UpstreamActive
	if agent.core.Draining() != draining {
		agent.core.SetDraining(draining)
		agent.deps.Log.Info("upstream state changed", "state", state.State, "revision", state.Revision)
		agent.announceState()
	}
}

// announceState sends a frame with the agent's new state to every entry. The caller holds the
// lock.
func (agent *Agent) announceState() {
	for _, peer := range agent.peers {
		peer.session.Post(func(frame *ptwire.Frame) { frame.Heartbeat = true })
	}
}

// Run serves until ctx is done, then drains the agent and returns.
func (agent *Agent) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "agent %s", agent.setting.Name) }()
	listener, err := net.Listen("tcp", agent.setting.AdminListen)
	if err != nil {
		return errors.Wrap(err, "listen on the admin address")
	}
	agent.setting.AdminListen = listener.Addr().String()
	server := ptadmin.New(agent.deps.Metrics, agent.ready, agent.handleAdmin)
	sessionsContext, stopSessions := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSessions()
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error { agent.dialAll(sessionsContext); return nil })
	group.Go(func() error { agent.tick(sessionsContext); return nil })
	agent.deps.Log.Info("agent started", "service", agent.setting.Service, "slots", agent.setting.Lease.Slots, "admin", agent.setting.AdminListen)
	<-ctx.Done()
	agent.drain()
	stopSessions()
	agent.closeSessions()
	if err := server.Shutdown(); err != nil {
		return errors.Wrap(err, "shut down the admin server")
	}
	agent.upstream.Close()
	return group.Wait()
}

// drain makes the agent refuse new tasks. It returns when all accepted tasks have ended and their
// answers have been delivered. After reconnectWait, it no longer waits for the delivery of answers
// to entries without a session.
func (agent *Agent) drain() {
	agent.stopping.Store(true)
	agent.deps.Log.Info("agent drains")
	agent.mu.Lock()
	agent.core.SetDraining(true)
	agent.announceState()
	agent.mu.Unlock()
	time.Sleep(drainNoticeDelay)
	for reconnectDeadline := agent.deps.Clock.Now().Add(reconnectWait); !agent.drained(reconnectDeadline); {
		time.Sleep(drainPollInterval)
	}
}

func (agent *Agent) closeSessions() {
	agent.mu.Lock()
	peers := make([]*peer, 0, len(agent.peers))
	for _, peer := range agent.peers {
		peers = append(peers, peer)
	}
	agent.mu.Unlock()
	for _, peer := range peers {
		peer.session.Close(ptsession.ErrClosed)
	}
}

// dialAll runs one dialing goroutine per known address until ctx is done.
func (agent *Agent) dialAll(ctx context.Context) {
	var group errgroup.Group
	for ctx.Err() == nil {
		if agent.deps.Discover != nil {
			agent.addresses.add(agent.deps.Discover()...)
		}
		for _, address := range agent.addresses.takeUndialed() {
			group.Go(func() error { agent.maintainSession(ctx, address); return nil })
		}
		select {
		case <-ctx.Done():
		case <-agent.addresses.added():
		case <-time.After(discoverInterval):
		}
	}
	_ = group.Wait()
}

func (agent *Agent) tick(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	recordExpiryDue := agent.deps.Clock.Now()
	agent.deps.Metrics.Gauge(ptmetric.StartRecords, func() float64 { return float64(agent.core.StartRecords()) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		agent.tickSessions()
		agent.expire()
		if now := agent.deps.Clock.Now(); now >= recordExpiryDue {
			recordExpiryDue = now.Add(recordExpiryInterval)
			agent.core.ExpireStartRecords(now)
		}
	}
}

func (agent *Agent) tickSessions() {
	agent.mu.Lock()
	sessions := make([]*ptsession.Session, 0, len(agent.peers))
	for _, peer := range agent.peers {
		sessions = append(sessions, peer.session)
	}
	agent.mu.Unlock()
	for _, session := range sessions {
		session.Tick()
	}
}

// Revision returns the revision of the cached configuration.
func (agent *Agent) Revision() ptid.Revision { return ptid.Revision(agent.config.revision()) }

func (agent *Agent) ready() (ready bool) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return !agent.core.Draining() && len(agent.peers) > 0
}

// handleAdmin serves the admin path that only agents have: the request to redial an entry.
func (agent *Agent) handleAdmin(request *fasthttp.RequestCtx) {
	if string(request.Path()) != ptadmin.RedialPath || !request.IsPost() {
		request.Error("not found", fasthttp.StatusNotFound)
		return
	}
	agent.Redial(ptid.EntryName(request.QueryArgs().Peek(ptadmin.RedialEntryParameter)))
}
