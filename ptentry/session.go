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
	mostSlots       = 1 << 16
	// heartbeatBudget is how many bytes a second an entry spends on heartbeats of
	// all its sessions together; the interval grows with their number.
	heartbeatBudget = 4 << 10
	// heartbeatBytes is what one heartbeat and its acknowledgement cost.
	heartbeatBytes = 96
)

// link is one session with an agent. It implements ptsession.Handler.
type link struct {
	entry    *Entry
	service  *service
	greeting *ptwire.Greeting
	session  *ptsession.Session
	upstream *ptsched.Upstream

	// clock converts instants to the agent's clock.
	clock    ptlink.ClockOffset
	revision atomic.Uint64
	askedAt  atomic.Int64
	// interval is the heartbeat interval that the agent was told last.
	interval atomic.Int64
}

func (link *link) name() ptid.AgentName { return ptid.AgentName(link.greeting.Agent) }

func (link *link) agent() ptjob.AgentIncarnation {
	return ptjob.AgentIncarnation{Name: link.name(), Incarnation: ptid.Incarnation(link.greeting.Incarnation)}
}

// Session implements the drpc service: it serves one agent until its session ends.
func (entry *Entry) Session(stream ptwire.DRPCDispatcher_SessionStream) (err error) {
	conn := pttransport.Conn(stream.Context())
	if conn == nil {
		return errors.New("a session needs its connection")
	}
	guard := time.AfterFunc(greetingTimeout, func() { _ = conn.Close() })
	defer guard.Stop()
	frame, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "wait for the greeting")
	}
	joining, err := entry.welcome(stream, conn, frame)
	if err != nil {
		return err
	}
	guard.Stop()
	ended := joining.session.Run()
	entry.leave(joining, ended)
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
	case greeting.Slots == 0 || greeting.Slots > mostSlots:
		return "the number of slots is out of range"
	case greeting.Incarnation == 0 || greeting.Session == 0:
		return "the incarnation or the session number is missing"
	default:
		return ""
	}
}

// welcome makes the greeting agent's session the present one.
func (entry *Entry) welcome(stream ptwire.DRPCDispatcher_SessionStream, conn net.Conn, frame *ptwire.Frame) (joining *link, err error) {
	entry.count.control[controlGreeting].Add(2)
	greeting := frame.Greeting
	problem := checkGreeting(greeting)
	if problem != "" {
		_ = stream.Send(&ptwire.Frame{Welcome: &ptwire.Welcome{Entry: string(entry.setting.Name), Refused: problem}})
		return nil, errors.Wrap(ptsession.ErrProtocol, problem)
	}
	joining = &link{entry: entry, greeting: greeting, service: entry.service(ptid.ServiceName(greeting.Service))}
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

// register replaces the older session of an agent, or says why it does not.
func (entry *Entry) register(joining *link) (problem string) {
	entry.mu.Lock()
	previous := entry.links[joining.name()]
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
		entry.links[joining.name()] = joining
		entry.sessions.Store(int64(len(entry.links)))
		entry.keepersStale = true
	}
	entry.mu.Unlock()
	if problem == "" && previous != nil {
		previous.session.Close(errReplaced)
	}
	return problem
}

var errReplaced = errors.New("the session was replaced by a newer one")

// heartbeatInterval grows with the number of sessions, so that their heartbeats
// stay within the budget.
func (entry *Entry) heartbeatInterval() (interval time.Duration) {
	sessions := time.Duration(entry.sessions.Load())
	return max(ptlink.MinHeartbeatInterval, sessions*heartbeatBytes*time.Second/heartbeatBudget)
}

// join takes the upstream into the service and asks what became of the tasks that
// were sent over an earlier session.
func (link *link) join(frame *ptwire.Frame) {
	service, greeting, now := link.service, link.greeting, link.entry.deps.Clock.Now()
	service.mu.Lock()
	defer service.mu.Unlock()
	upstream, effects := service.core.SessionOpened(link.agent(), int(greeting.Slots), link.entry.distance(greeting), now)
	link.upstream = upstream
	service.links[upstream] = link
	service.core.Scheduler().SetRank(link.entry.rank())
	service.core.Scheduler().UpdateStatus(upstream, heardFrame(frame), now)
	service.stop(link, link.entry.follower.State())
	service.do(effects)
	service.do(service.core.Place(now))
}

// leave handles the end of a session.
func (entry *Entry) leave(left *link, cause error) {
	name := ptsession.CauseLabel(cause)
	if errors.Is(cause, errReplaced) {
		name = "replaced"
	}
	entry.deps.Metrics.Counter(ptmetric.SessionEnds, "cause", name).Inc()
	entry.deps.Log.Info("session ended", "agent", left.name(), "session", left.greeting.Session, "cause", name)
	entry.mu.Lock()
	if entry.links[left.name()] == left {
		delete(entry.links, left.name())
		entry.sessions.Store(int64(len(entry.links)))
		entry.keepersStale = true
	}
	entry.mu.Unlock()
	service := left.service
	service.mu.Lock()
	if service.links[left.upstream] == left {
		delete(service.links, left.upstream)
		service.core.SessionClosed(left.upstream, entry.deps.Clock.Now())
	}
	service.mu.Unlock()
	if name == "silent" || name == "protocol" {
		entry.askToRedial(left)
	}
}

// askToRedial tells an agent, at the address that it announced, that its session
// is dead. The agent may not have noticed, where only one direction is cut.
func (entry *Entry) askToRedial(left *link) {
	if left.greeting.AdminAddress == "" {
		return
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + left.greeting.AdminAddress + ptadmin.RedialPath)
	request.URI().QueryArgs().Set(ptadmin.RedialEntryParameter, string(entry.setting.Name))
	if err := fasthttp.DoTimeout(request, response, redialTimeout); err != nil {
		entry.deps.Log.Info("the agent can't be asked to dial anew", "agent", left.name(), "error", err.Error())
	}
}

// distance tells how far an agent is.
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

// intervalStep is the part by which the heartbeat interval must have changed before
// an agent is told.
const intervalStep = 0.25

// stampInterval tells the agent a new heartbeat interval with a frame that is sent
// anyhow.
func (link *link) stampInterval(frame *ptwire.Frame) {
	told, due := link.interval.Load(), int64(link.entry.heartbeatInterval())
	if change := float64(due-told) / float64(told); change > -intervalStep && change < intervalStep {
		return
	}
	link.interval.Store(due)
	frame.HeartbeatIntervalNanos = due
	link.session.SetHeartbeatInterval(time.Duration(due))
}

// PrepareFrame implements [ptsession.Handler].
func (link *link) PrepareFrame(_ *ptsession.Session, frame *ptwire.Frame) {
	link.stampInterval(frame)
	frame.Revision = uint64(link.entry.follower.State().Revision)
	link.countSent(frame)
	link.service.mu.Lock()
	defer link.service.mu.Unlock()
	waiting, first := link.service.core.ReadyTasks()
	frame.Queued, frame.FirstOrderNanos = uint32(waiting), int64(link.clock.ToPeerClock(first))
}

func (link *link) countSent(frame *ptwire.Frame) {
	control := link.entry.count.control
	switch {
	case frame.Sequence == 0:
		control[controlAck].Inc()
	case frame.Configuration != nil || frame.ConfigurationQuery != nil || frame.UpstreamState != nil:
		control[controlConfiguration].Inc()
	case len(frame.QuotaClaims) > 0:
		control[controlQuota].Inc()
	}
}

func (link *link) countReceived(frame *ptwire.Frame) {
	count := &link.entry.count
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

// Delivered implements [ptsession.Handler]. Entries send nothing that they wait for.
func (link *link) Delivered(*ptsession.Session, []ptid.AttemptID) {}

// Receive implements [ptsession.Handler].
func (link *link) Receive(_ *ptsession.Session, frame *ptwire.Frame) {
	now := link.entry.deps.Clock.Now()
	link.clock.AddSample(frame.AgentClockNanos, now)
	link.countReceived(frame)
	link.exchangeConfiguration(frame, now)
	for _, share := range frame.QuotaShares {
		link.entry.ledger.SetShare(ptquota.Share{
			Account: ptquota.Account(share.Account), Count: int(share.Count), Contended: share.Contended, Version: share.Version,
		})
	}
	link.service.receive(link, frame)
	if len(frame.QuotaShares) > 0 {
		link.entry.placeElsewhere(link.service, now)
	}
}

// Job implements the drpc service for peers.
func (entry *Entry) Job(ctx context.Context, query *ptwire.JobQuery) (reply *ptwire.JobReply, err error) {
	return entry.answerPeer(ctx, query)
}

// Peer implements the drpc service: it says who answers here.
func (entry *Entry) Peer(_ context.Context, query *ptwire.PeerQuery) (reply *ptwire.PeerReply, err error) {
	if query.Entry != "" {
		entry.peers.learn(query.AgentsAddress)
		entry.peers.heard(ptid.EntryName(query.Entry), peerEntry{
			address: query.AgentsAddress, incarnation: ptid.Incarnation(query.Incarnation), heardAt: time.Now(),
		})
	}
	reply = &ptwire.PeerReply{
		Entry: string(entry.setting.Name), Incarnation: uint64(entry.incarnation), Entries: entry.entryAddresses(),
		AgentsAddress: entry.setting.AgentsListen,
	}
	if query.Configuration && uint64(entry.follower.State().Revision) > query.KnownRevision {
		reply.Configuration = entry.configuration()
	}
	return reply, nil
}
