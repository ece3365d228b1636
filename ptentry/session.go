package ptentry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/primrosetiller/primrosetiller/ptadmin"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjob"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptplace"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptquota"
	"github.com/primrosetiller/primrosetiller/ptsched"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/pttransport"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	greetingTimeout = 2 * time.Second
	redialTimeout   = 300 * time.Millisecond
	protocolVersion = 1
	maxSlots        = 1 << 16
	// heartbeatBudget is the bandwidth in bytes per second that an entry spends on the
	// heartbeats of all its sessions. The heartbeat interval grows with the number of sessions
	// accordingly.
	heartbeatBudget = 4 << 10
	// heartbeatBytes is the size of one heartbeat and its acknowledgement.
	heartbeatBytes = 96
)

// agentSession is the session with one agent. It implements ptsession.Handler.
type agentSession struct {
	entry    *Entry
	service  *serviceScheduler
	greeting *ptwire.Greeting
	session  *ptsession.Session
	upstream *ptsched.Upstream

	// clock converts instants to the agent's clock.
	clock     ptlink.ClockOffset
	revision  atomic.Uint64
	queriedAt atomic.Int64
	// interval is the heartbeat interval that was last sent to the agent.
	interval atomic.Int64
}

func (agent *agentSession) name() ptid.AgentName { return ptid.AgentName(agent.greeting.Agent) }

func (agent *agentSession) identity() ptjob.AgentIncarnation {
	return ptjob.AgentIncarnation{Name: agent.name(), Incarnation: ptid.Incarnation(agent.greeting.Incarnation)}
}

// Session implements the drpc service. It serves one agent until the session ends.
func (entry *Entry) Session(stream ptwire.DRPCDispatcher_SessionStream) (err error) {
	conn := pttransport.Conn(stream.Context())
	if conn == nil {
		return errors.New("a session needs its connection")
	}
	greetingTimer := time.AfterFunc(greetingTimeout, func() { _ = conn.Close() })
	defer greetingTimer.Stop()
	frame, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "wait for the greeting")
	}
	joining, err := entry.welcome(stream, conn, frame)
	if err != nil {
		return err
	}
	greetingTimer.Stop()
	cause := joining.session.Run()
	entry.sessionEnded(joining, cause)
	return nil
}

func checkGreeting(greeting *ptwire.Greeting) (problem string) {
	switch {
	case greeting == nil:
		return "the first frame has no greeting"
	case greeting.Protocol != protocolVersion:
		return "unknown protocol version"
	case !ptprofile.IsValidName(greeting.Agent) || !ptprofile.IsValidName(greeting.Service):
		return "the agent or its service has no proper name"
	case greeting.Slots == 0 || greeting.Slots > maxSlots:
		return "the number of slots is out of range"
	case greeting.Incarnation == 0 || greeting.Session == 0:
		return "the incarnation or the session number is missing"
	default:
		return ""
	}
}

// welcome checks the greeting, registers the agent's session, replies to the greeting and joins
// the upstream to its scheduler.
func (entry *Entry) welcome(stream ptwire.DRPCDispatcher_SessionStream, conn net.Conn, frame *ptwire.Frame) (joining *agentSession, err error) {
	entry.count.control[controlGreeting].Add(2)
	greeting := frame.Greeting
	problem := checkGreeting(greeting)
	if problem != "" {
		_ = stream.Send(&ptwire.Frame{Welcome: &ptwire.Welcome{Entry: string(entry.setting.Name), Refused: problem}})
		return nil, errors.Wrap(ptsession.ErrProtocol, problem)
	}
	joining = &agentSession{entry: entry, greeting: greeting, service: entry.service(ptid.ServiceName(greeting.Service))}
	joining.clock.AddSample(frame.AgentClockNanos, entry.deps.Clock.Now())
	joining.revision.Store(frame.Revision)
	interval := entry.heartbeatInterval()
	joining.session = ptsession.New(ptlink.EntrySide, entry.deps.Clock, stream, func() { _ = conn.Close() }, interval, joining)
	joining.interval.Store(int64(interval))
	if problem := entry.register(joining); problem != "" {
		_ = stream.Send(&ptwire.Frame{Welcome: &ptwire.Welcome{Entry: string(entry.setting.Name), Refused: problem}})
		return nil, errors.New(problem)
	}
	err = stream.Send(&ptwire.Frame{Welcome: &ptwire.Welcome{
		Entry: string(entry.setting.Name), Incarnation: uint64(entry.incarnation), Session: greeting.Session,
		HeartbeatIntervalNanos: int64(interval), Entries: entry.entryAddresses(),
	}})
	if err != nil {
		joining.session.Close(err)
	}
	joining.join(frame)
	return joining, nil
}

// register makes joining the current session of its agent and closes the agent's previous session.
// If the previous session has a newer incarnation or no lower session number, register changes
// nothing and problem describes the conflict.
func (entry *Entry) register(joining *agentSession) (problem string) {
	entry.mu.Lock()
	previous := entry.agents[joining.name()]
	if previous != nil {
		known := previous.greeting
		switch {
		case known.Incarnation > joining.greeting.Incarnation:
			problem = "a newer incarnation of the agent has a session"
		case known.Incarnation == joining.greeting.Incarnation && known.Session >= joining.greeting.Session:
			problem = "a newer session of the agent is open"
		}
	}
	if problem == "" {
		entry.agents[joining.name()] = joining
		entry.agentCount.Store(int64(len(entry.agents)))
		entry.coordinatorsStale = true
	}
	entry.mu.Unlock()
	if problem == "" && previous != nil {
		previous.session.Close(errReplaced)
	}
	return problem
}

var errReplaced = errors.New("the session was replaced by a newer one")

// heartbeatInterval returns an interval at which the heartbeats of all sessions together stay
// within heartbeatBudget.
func (entry *Entry) heartbeatInterval() (interval time.Duration) {
	sessions := time.Duration(entry.agentCount.Load())
	return max(ptlink.MinHeartbeatInterval, sessions*heartbeatBytes*time.Second/heartbeatBudget)
}

// join adds the agent's upstream to the scheduler and queries the state of the tasks that were
// sent over an earlier session.
func (agent *agentSession) join(frame *ptwire.Frame) {
	service, greeting, now := agent.service, agent.greeting, agent.entry.deps.Clock.Now()
	service.mu.Lock()
	defer service.mu.Unlock()
	upstream, effects := service.core.SessionOpened(agent.identity(), int(greeting.Slots), agent.entry.distance(greeting), now)
	agent.upstream = upstream
	service.agents[upstream] = agent
	service.core.Scheduler().SetRank(agent.entry.rank())
	service.core.Scheduler().UpdateStatus(upstream, slotStatus(frame), now)
	service.applyDeclaredState(agent, agent.entry.follower.State())
	service.execute(effects)
	service.execute(service.core.Place(now))
}

// sessionEnded removes the agent of an ended session from the entry and its upstream from the
// scheduler.
func (entry *Entry) sessionEnded(closed *agentSession, cause error) {
	name := ptsession.CauseLabel(cause)
	if errors.Is(cause, errReplaced) {
		name = "replaced"
	}
	entry.deps.Metrics.Counter(ptmetric.SessionEnds, "cause", name).Inc()
	entry.deps.Log.Info("session ended", "agent", closed.name(), "session", closed.greeting.Session, "cause", name)
	entry.mu.Lock()
	if entry.agents[closed.name()] == closed {
		delete(entry.agents, closed.name())
		entry.agentCount.Store(int64(len(entry.agents)))
		entry.coordinatorsStale = true
	}
	entry.mu.Unlock()
	service := closed.service
	service.mu.Lock()
	if service.agents[closed.upstream] == closed {
		delete(service.agents, closed.upstream)
		service.core.SessionClosed(closed.upstream, entry.deps.Clock.Now())
	}
	service.mu.Unlock()
	if name == "silent" || name == "protocol" {
		entry.requestRedial(closed)
	}
}

// requestRedial sends an HTTP request to the agent's admin address, which is in its greeting, to
// make the agent open a new session. The request is needed if only one direction of the connection
// has failed, because the agent may not have detected the failure.
func (entry *Entry) requestRedial(closed *agentSession) {
	if closed.greeting.AdminAddress == "" {
		return
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + closed.greeting.AdminAddress + ptadmin.RedialPath)
	request.URI().QueryArgs().Set(ptadmin.RedialEntryParameter, string(entry.setting.Name))
	if err := fasthttp.DoTimeout(request, response, redialTimeout); err != nil {
		entry.deps.Log.Info("redial request to an agent failed", "agent", closed.name(), "error", err.Error())
	}
}

// distance returns the network distance between the entry and an agent.
func (entry *Entry) distance(greeting *ptwire.Greeting) ptplace.Distance {
	switch {
	case greeting.AvailabilityZone == string(entry.setting.Zone):
		return ptplace.SameZone
	case greeting.Region == string(entry.setting.Region):
		return ptplace.SameRegion
	default:
		return ptplace.OtherRegion
	}
}

// minIntervalChange is the minimum relative change of the heartbeat interval. The entry sends a new
// interval to an agent only if it differs from the last sent interval by at least this fraction.
const minIntervalChange = 0.25

// updateInterval adds a changed heartbeat interval to a frame that is sent for another reason.
func (agent *agentSession) updateInterval(frame *ptwire.Frame) {
	announced, wanted := agent.interval.Load(), int64(agent.entry.heartbeatInterval())
	if change := float64(wanted-announced) / float64(announced); change > -minIntervalChange && change < minIntervalChange {
		return
	}
	agent.interval.Store(wanted)
	frame.HeartbeatIntervalNanos = wanted
	agent.session.SetHeartbeatInterval(time.Duration(wanted))
}

// PrepareFrame implements [ptsession.Handler].
func (agent *agentSession) PrepareFrame(_ *ptsession.Session, frame *ptwire.Frame) {
	agent.updateInterval(frame)
	frame.Revision = uint64(agent.entry.follower.State().Revision)
	agent.countSent(frame)
	agent.service.mu.Lock()
	defer agent.service.mu.Unlock()
	waiting, first := agent.service.core.ReadyTasks()
	frame.Queued, frame.FirstOrderNanos = uint32(waiting), int64(agent.clock.ToPeerClock(first))
}

func (agent *agentSession) countSent(frame *ptwire.Frame) {
	control := agent.entry.count.control
	switch {
	case frame.Sequence == 0:
		control[controlAck].Inc()
	case frame.Configuration != nil || frame.ConfigurationQuery != nil || frame.UpstreamState != nil:
		control[controlConfiguration].Inc()
	case len(frame.QuotaClaims) > 0:
		control[controlQuota].Inc()
	}
}

func (agent *agentSession) countReceived(frame *ptwire.Frame) {
	count := &agent.entry.count
	switch {
	case frame.Grant:
		count.grant.Inc()
	case frame.Recall:
		count.recall.Inc()
		count.wasted[kindRecall].Inc()
	case frame.Sequence == 0:
		count.control[controlAck].Inc()
	case frame.Heartbeat:
		count.control[controlHeartbeat].Inc()
	case frame.Configuration != nil || frame.ConfigurationQuery != nil:
		count.control[controlConfiguration].Inc()
	case len(frame.QuotaShares) > 0:
		count.control[controlQuota].Inc()
	}
}

// Delivered implements [ptsession.Handler]. It does nothing, because an entry sends no answers
// or refusals.
func (agent *agentSession) Delivered(*ptsession.Session, []ptid.AttemptID) {}

// Receive implements [ptsession.Handler].
func (agent *agentSession) Receive(_ *ptsession.Session, frame *ptwire.Frame) {
	now := agent.entry.deps.Clock.Now()
	agent.clock.AddSample(frame.AgentClockNanos, now)
	agent.countReceived(frame)
	agent.exchangeConfiguration(frame, now)
	for _, share := range frame.QuotaShares {
		agent.entry.limiter.SetShare(ptquota.Share{
			Account: ptquota.Account(share.Account), Count: int(share.Count), Contended: share.Contended, Version: share.Version,
		})
	}
	agent.service.handleFrame(agent, frame)
	if len(frame.QuotaShares) > 0 {
		agent.entry.placeInOtherServices(agent.service, now)
	}
}

// Job implements the drpc service. It handles job queries of peers.
func (entry *Entry) Job(ctx context.Context, query *ptwire.JobQuery) (reply *ptwire.JobReply, err error) {
	return entry.handleJobQuery(ctx, query)
}

// Peer implements the drpc service. It returns the identity of this entry and, on request, its
// configuration.
func (entry *Entry) Peer(_ context.Context, query *ptwire.PeerQuery) (reply *ptwire.PeerReply, err error) {
	if query.Entry != "" {
		entry.peers.addAddresses(query.AgentsAddress)
		entry.peers.update(ptid.EntryName(query.Entry), peerEntry{
			address: query.AgentsAddress, incarnation: ptid.Incarnation(query.Incarnation), lastSeen: time.Now(),
		})
	}
	reply = &ptwire.PeerReply{
		Entry: string(entry.setting.Name), Incarnation: uint64(entry.incarnation), Entries: entry.entryAddresses(),
		AgentsAddress: entry.setting.AgentsListen,
	}
	if query.Configuration && uint64(entry.follower.State().Revision) > query.KnownRevision {
		reply.Configuration = entry.configurationMessage()
	}
	return reply, nil
}
