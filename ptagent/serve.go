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
	expireInterval    = 50 * time.Millisecond
	tableInterval     = time.Second
	drainPollInterval = 20 * time.Millisecond
	// drainPatience is how long a drain waits for lost entries to come for their answers.
	drainPatience = 10 * time.Second
	// leavingNotice is how long a leaving agent stays so that entries learn of it.
	leavingNotice = 200 * time.Millisecond
	// queryInterval is the shortest time between two questions for the configuration.
	queryInterval = time.Second
)

// configurationCache holds the newest configuration for processes that restart
// while the log is down. The agent does not interpret it.
type configurationCache struct {
	current atomic.Pointer[ptwire.Configuration]
	mu      sync.Mutex
	askedAt ptid.Instant
}

func (cache *configurationCache) revision() uint64 { return cache.current.Load().GetRevision() }

// offer keeps a configuration that is newer than the present one.
func (cache *configurationCache) offer(offered *ptwire.Configuration) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if offered.Revision > cache.revision() {
		cache.current.Store(offered)
	}
}

// due reports whether it is time to ask an entry for a newer configuration.
func (cache *configurationCache) due(now ptid.Instant) bool {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if now.Sub(cache.askedAt) < queryInterval {
		return false
	}
	cache.askedAt = now
	return true
}

func (agent *Agent) receiveConfiguration(session *ptsession.Session, frame *ptwire.Frame) {
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
	if frame.Revision > agent.config.revision() && agent.config.due(agent.deps.Clock.Now()) {
		from := agent.config.revision()
		session.Post(func(frame *ptwire.Frame) {
			frame.ConfigurationQuery = &ptwire.ConfigurationQuery{FromRevision: from}
		})
	}
	if frame.UpstreamState != nil {
		agent.applyState(frame.UpstreamState)
	}
}

// applyState follows the declared state of the upstream, by revision, so that an
// entry that is behind changes nothing.
func (agent *Agent) applyState(state *ptwire.UpstreamState) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if state.Revision < agent.stateRev || agent.stopping.Load() {
		return
	}
	agent.stateRev = state.Revision
	draining := ptprofile.UpstreamState(state.State) != ptprofile.UpstreamActive
	if agent.core.Draining() != draining {
		agent.core.SetDraining(draining)
		agent.deps.Log.Info("upstream state changed", "state", state.State, "revision", state.Revision)
		agent.announceState()
	}
}

// announceState sends every entry a frame that carries the new state. The caller
// holds the lock.
func (agent *Agent) announceState() {
	for _, peer := range agent.peers {
		peer.session.Post(func(frame *ptwire.Frame) { frame.Heartbeat = true })
	}
}

// Run serves until ctx ends, then drains and returns.
func (agent *Agent) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "agent %s", agent.setting.Name) }()
	listener, err := net.Listen("tcp", agent.setting.AdminListen)
	if err != nil {
		return errors.Wrap(err, "listen for the admin interface")
	}
	agent.setting.AdminListen = listener.Addr().String()
	server := ptadmin.New(agent.deps.Metrics, agent.ready, agent.handleAdmin)
	sessions, stopSessions := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSessions()
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error { agent.dialAll(sessions); return nil })
	group.Go(func() error { agent.tick(sessions); return nil })
	agent.deps.Log.Info("agent started", "service", agent.setting.Service, "slots", agent.setting.Lease.Slots, "admin", agent.setting.AdminListen)
	<-ctx.Done()
	agent.drain()
	stopSessions()
	agent.closeSessions()
	if err := server.Shutdown(); err != nil {
		return errors.Wrap(err, "stop the admin interface")
	}
	agent.upstream.Close()
	return group.Wait()
}

// drain refuses new tasks and waits for those that wait or run.
func (agent *Agent) drain() {
	agent.stopping.Store(true)
	agent.deps.Log.Info("agent drains")
	agent.mu.Lock()
	agent.core.SetDraining(true)
	agent.announceState()
	agent.mu.Unlock()
	time.Sleep(leavingNotice)
	for patientUntil := agent.deps.Clock.Now().Add(drainPatience); !agent.drained(patientUntil); {
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

// dialAll keeps one dialing goroutine for each known address.
func (agent *Agent) dialAll(ctx context.Context) {
	var group errgroup.Group
	for ctx.Err() == nil {
		if agent.deps.Discover != nil {
			agent.addresses.learn(agent.deps.Discover()...)
		}
		for _, address := range agent.addresses.take() {
			group.Go(func() error { agent.keepSession(ctx, address); return nil })
		}
		select {
		case <-ctx.Done():
		case <-agent.addresses.news():
		case <-time.After(discoverInterval):
		}
	}
	_ = group.Wait()
}

func (agent *Agent) tick(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	tableDue := agent.deps.Clock.Now()
	agent.deps.Metrics.Gauge(ptmetric.StartRecords, func() float64 { return float64(agent.core.StartRecords()) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		agent.tickSessions()
		agent.expire()
		if now := agent.deps.Clock.Now(); now >= tableDue {
			tableDue = now.Add(tableInterval)
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

// Revision returns the revision of the configuration that the agent holds for others.
func (agent *Agent) Revision() ptid.Revision { return ptid.Revision(agent.config.revision()) }

func (agent *Agent) ready() (ready bool) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return !agent.core.Draining() && len(agent.peers) > 0
}

// handleAdmin serves what only agents have: the request to dial anew.
func (agent *Agent) handleAdmin(request *fasthttp.RequestCtx) {
	if string(request.Path()) != ptadmin.RedialPath || !request.IsPost() {
		request.Error("not found", fasthttp.StatusNotFound)
		return
	}
	agent.Redial(ptid.EntryName(request.QueryArgs().Peek(ptadmin.RedialEntryParameter)))
}
