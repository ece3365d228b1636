package ptrunner

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptkept"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptroom"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/pttransport"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	dialTimeout     = 300 * time.Millisecond
	greetingTimeout = 500 * time.Millisecond
	firstRetryWait  = 20 * time.Millisecond
	// longestRetryWait bounds the pause between two dials of an entry that is away.
	longestRetryWait = 500 * time.Millisecond
	// discoverInterval paces the look for new addresses.
	discoverInterval = 250 * time.Millisecond
	// busyHeartbeat is the longest interval between frames to an entry with runs here.
	busyHeartbeat   = 250 * time.Millisecond
	protocolVersion = 2
)

var (
	errReplaced = errors.New("the session was replaced by a newer one")
	errRefused  = errors.New("the entry refused the greeting")
)

// peer is one entry with an open session. It implements ptsession.Handler.
type peer struct {
	runner   *Runner
	owner    ptroom.Owner
	session  *ptsession.Session
	interval time.Duration
	// near entries are in the agent's availability zone.
	near   bool
	busy   bool
	told   ptroom.CapacityReport
	toldAt ptid.Instant
}

// pace sets the heartbeat interval. The caller holds the lock.
func (peer *peer) pace(busy bool) {
	if busy == peer.busy {
		return
	}
	peer.busy = busy
	interval := peer.interval
	if busy {
		interval = min(interval, busyHeartbeat)
	}
	peer.session.SetHeartbeatInterval(interval)
}

// PrepareFrame implements [ptsession.Handler].
func (peer *peer) PrepareFrame(_ *ptsession.Session, frame *ptwire.Frame) {
	runner := peer.runner
	now := runner.deps.Clock.Now()
	frame.AgentClockNanos = int64(now)
	runner.mu.Lock()
	defer runner.mu.Unlock()
	report := runner.core.CapacityReport(peer.owner.Entry)
	peer.told, peer.toldAt = report, now
	frame.Room = roomMessage(report, now)
}

func roomMessage(report ptroom.CapacityReport, now ptid.Instant) (room *ptwire.Room) {
	room = &ptwire.Room{
		Worker:        string(report.Worker),
		CpuMillicores: int64(report.Capacity.CPU), MemoryMebibytes: int64(report.Capacity.Memory), Accelerators: report.Capacity.Accelerators,
		HeldCpuMillicores: int64(report.Held.CPU), HeldMemoryMebibytes: int64(report.Held.Memory), HeldAccelerators: report.Held.Accelerators,
		OwnCpuMillicores: int64(report.Own.CPU), OwnMemoryMebibytes: int64(report.Own.Memory), OwnAccelerators: report.Own.Accelerators,
		Labels: report.Labels, Unusable: report.Unusable, WantedRate: float64(report.RequestedByOthers), Turn: report.MayProbe,
	}
	if report.Assessment.Known() {
		room.Pace, room.Failing = report.Assessment.Slowdown, report.Assessment.FailureRate
		room.JudgedAgeNanos = int64(now.Sub(report.Assessment.MeasuredAt))
	}
	return room
}

// Delivered implements [ptsession.Handler].
func (peer *peer) Delivered(*ptsession.Session, []ptid.AttemptID) {}

// Receive implements [ptsession.Handler].
func (peer *peer) Receive(_ *ptsession.Session, frame *ptwire.Frame) {
	runner := peer.runner
	now := runner.deps.Clock.Now()
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.peers[peer.owner.Entry] != peer {
		return
	}
	runner.do(runner.core.RequestCapacity(peer.owner.Entry, ptrun.CapacityRequestFromMessage(frame.Want), now))
	for _, ref := range frame.RunAcks {
		runner.core.AcknowledgeEnd(ptrun.IDFromRef(ref))
	}
	for _, adoption := range frame.Adoptions {
		runner.do(runner.core.AdoptPartition(peer.owner, ptkept.Partition(adoption.Partition), int(adoption.Partitions), ptkept.Epoch(adoption.Epoch), now))
	}
	for _, ref := range frame.RunQueries {
		runner.do(runner.core.QueryRun(peer.owner, ptrun.IDFromRef(ref), now))
	}
	for _, order := range frame.RunOrders {
		runner.do(runner.core.Order(ptroom.Order{
			Run: ptrun.IDFromRef(order.Run), Owner: peer.owner, Spec: order.Spec,
			Demand: ptrun.Demand{
				CPU: ptrun.Millicores(order.CpuMillicores), Memory: ptrun.Mebibytes(order.MemoryMebibytes), Accelerators: order.Accelerators,
			},
			StartBy: ptid.Instant(order.StartByNanos), WaitUntil: now.Add(time.Duration(order.WaitNanos)), QueueKey: ptid.Instant(order.OrderNanos), Checkpoint: ptrun.Checkpoint(order.Checkpoint),
			Partition: ptkept.Partition(order.Partition), Epoch: ptkept.Epoch(order.Epoch), Ticket: order.Ticket,
			Opportunistic: order.Filling, TailLatencyTarget: time.Duration(order.TailTargetNanos), ExpectedRunTime: time.Duration(order.ExpectedNanos),
		}, now))
	}
	for _, ref := range frame.RunStops {
		runner.do(runner.core.Stop(ptrun.IDFromRef(ref), ptrun.ReasonStopRequested, now))
	}
}

// keepDialing keeps one dialing goroutine for each known address.
func (runner *Runner) keepDialing(ctx context.Context) {
	for ctx.Err() == nil {
		runner.mu.Lock()
		clean := runner.core.TakeoverComplete(runner.deps.Clock.Now())
		runner.mu.Unlock()
		if clean {
			runner.dialNew(ctx, runner.deps.Discover())
		}
		wait := discoverInterval
		if !clean {
			wait = tickInterval
		}
		pause(ctx, wait)
	}
}

func (runner *Runner) dialNew(ctx context.Context, addresses []string) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	for _, address := range addresses {
		if !runner.dialing[address] {
			runner.dialing[address] = true
			go runner.keepSession(ctx, address)
		}
	}
}

// keepSession dials one address for as long as the agent runs.
func (runner *Runner) keepSession(ctx context.Context, address string) {
	wait := firstRetryWait
	for ctx.Err() == nil {
		opened, err := runner.connect(ctx, address)
		if opened {
			wait = firstRetryWait
		} else {
			wait = min(2*wait, longestRetryWait)
		}
		if err != nil {
			runner.deps.Log.V(1).Info("no session", "address", address, "error", err.Error())
		}
		pause(ctx, wait/2+rand.N(wait/2))
	}
}

// connect opens one session and serves it to its end. opened tells whether the entry
// welcomed the agent.
func (runner *Runner) connect(ctx context.Context, address string) (opened bool, err error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, errors.Wrap(err, "dial an entry")
	}
	defer func() { _ = raw.Close() }()
	conn := drpcconn.NewWithOptions(pttransport.CountBytes(raw, runner.deps.Metrics), drpcconn.Options{Manager: pttransport.Options()})
	defer func() { _ = conn.Close() }()
	guard := time.AfterFunc(greetingTimeout, func() { _ = raw.Close() })
	defer guard.Stop()
	stream, err := ptwire.NewDRPCDispatcherClient(conn).Session(ctx)
	if err != nil {
		return false, errors.Wrap(err, "open a session")
	}
	welcome, err := runner.greet(stream)
	if err != nil {
		return false, err
	}
	guard.Stop()
	return true, runner.serveSession(stream, func() { _ = raw.Close() }, welcome)
}

func (runner *Runner) greet(stream ptwire.DRPCDispatcher_SessionClient) (welcome *ptwire.Welcome, err error) {
	runner.mu.Lock()
	runner.sessions++
	frame := &ptwire.Frame{AgentClockNanos: int64(runner.deps.Clock.Now()), Greeting: &ptwire.Greeting{
		Agent: string(runner.setting.Name), Incarnation: uint64(runner.incarnation), Session: runner.sessions,
		Service: string(runner.setting.Service), AvailabilityZone: string(runner.setting.Zone),
		Region: string(runner.setting.Region), Protocol: protocolVersion,
	}}
	runner.mu.Unlock()
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
	return reply.Welcome, nil
}

func (runner *Runner) serveSession(stream ptsession.Stream, closer func(), welcome *ptwire.Welcome) (err error) {
	joined := &peer{
		runner: runner, interval: time.Duration(welcome.HeartbeatIntervalNanos), near: ptid.Zone(welcome.AvailabilityZone) == runner.setting.Zone,
		owner: ptroom.Owner{Entry: ptid.EntryName(welcome.Entry), Incarnation: ptid.Incarnation(welcome.Incarnation)},
	}
	joined.session = ptsession.New(ptlink.AgentSide, runner.deps.Clock, stream, closer, joined.interval, joined)
	runner.mu.Lock()
	previous := runner.peers[joined.owner.Entry]
	runner.peers[joined.owner.Entry] = joined
	runner.deps.Log.Info("session opened", "entry", joined.owner.Entry, "incarnation", joined.owner.Incarnation, "session", welcome.Session)
	runner.do(runner.core.SessionOpened(joined.owner, runner.deps.Clock.Now()))
	joined.session.Post(func(*ptwire.Frame) {})
	runner.mu.Unlock()
	if previous != nil {
		previous.session.Close(errReplaced)
	}
	err = joined.session.Run()
	runner.deps.Metrics.Counter(ptmetric.SessionEnds, "cause", ptsession.CauseLabel(err)).Inc()
	runner.deps.Log.Info("session ended", "entry", joined.owner.Entry, "session", welcome.Session, "error", err.Error())
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.peers[joined.owner.Entry] == joined {
		delete(runner.peers, joined.owner.Entry)
		runner.core.SessionClosed(joined.owner.Entry, runner.deps.Clock.Now())
	}
	return err
}
