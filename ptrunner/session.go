package ptrunner

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/primrosetiller/primrosetiller/ptevacuation"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
	"github.com/primrosetiller/primrosetiller/ptruntime"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/pttransport"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	dialTimeout     = 300 * time.Millisecond
	greetingTimeout = 500 * time.Millisecond
	minRedialDelay  = 20 * time.Millisecond
	// maxRedialDelay limits the delay between two dials of an unreachable entry.
	maxRedialDelay = 500 * time.Millisecond
	// discoverInterval is the interval at which the agent looks for new entry addresses.
	discoverInterval = 250 * time.Millisecond
	// busyHeartbeat is the maximum interval between frames to an entry that has runs on the
	// worker.
	busyHeartbeat   = 250 * time.Millisecond
	protocolVersion = 2
)

var (
	errSessionReplaced = errors.New("the session was replaced by a newer one")
	errGreetingRefused = errors.New("the entry refused the greeting")
)

// peer is an entry with an open session. It implements ptsession.Handler.
type peer struct {
	runner            *Runner
	owner             ptruncontrol.Owner
	session           *ptsession.Session
	heartbeatInterval time.Duration
	// near is true if the entry is in the agent's availability zone.
	near       bool
	busy       bool
	reported   ptruncontrol.CapacityReport
	reportedAt ptid.Instant
	evacuation ptevacuation.Exchange
}

// setBusy adjusts the heartbeat interval, which is shorter while the entry has runs on the
// worker. The caller holds the lock.
func (peer *peer) setBusy(busy bool) {
	if busy == peer.busy {
		return
	}
	peer.busy = busy
	interval := peer.heartbeatInterval
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
	peer.reported, peer.reportedAt = report, now
	frame.Evacuation = peer.evacuation.ToSend(runner.evacuation)
	frame.Room = reportMessage(report, now)
}

func reportMessage(report ptruncontrol.CapacityReport, now ptid.Instant) (message *ptwire.Room) {
	message = &ptwire.Room{
		Worker:        string(report.Worker),
		CpuMillicores: int64(report.Capacity.CPU), MemoryMebibytes: int64(report.Capacity.Memory), Accelerators: report.Capacity.Accelerators,
		HeldCpuMillicores: int64(report.Held.CPU), HeldMemoryMebibytes: int64(report.Held.Memory), HeldAccelerators: report.Held.Accelerators,
		OwnCpuMillicores: int64(report.Own.CPU), OwnMemoryMebibytes: int64(report.Own.Memory), OwnAccelerators: report.Own.Accelerators,
		Labels: report.Labels, Unusable: report.Unusable, WantedRate: float64(report.RequestedByOthers), Turn: report.MayProbe, Isolating: report.Isolating,
	}
	if report.Assessment.Known() {
		message.Pace, message.Failing = report.Assessment.Slowdown, report.Assessment.FailureRate
		message.JudgedAgeNanos = int64(now.Sub(report.Assessment.MeasuredAt))
	}
	message.Speed, message.SpeedWeight = report.Speed.Speed, report.Speed.Weight
	return message
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
	// The orders of the frame may be for a zone that is evacuated by the same frame.
	if runner.handleEvacuation(&peer.evacuation, frame.Evacuation, peer.owner.Entry, now) {
		peer.session.Post(func(*ptwire.Frame) {})
	}
	runner.handleAddresses(peer.owner.Entry, frame.Entries)
	runner.runTimes.Merge(ptruntime.FromMessages(frame.RunTimes), now)
	runner.execute(runner.core.RequestCapacity(peer.owner.Entry, ptrun.CapacityRequestFromMessage(frame.Want), now))
	for _, ref := range frame.RunAcks {
		runner.core.AcknowledgeEnd(ptrun.IDFromRef(ref))
	}
	for _, ref := range frame.RunRejections {
		runner.core.RejectEnd(ptrun.IDFromRef(ref))
	}
	for _, adoption := range frame.Adoptions {
		runner.execute(runner.core.AdoptPartition(peer.owner, ptjobstore.Partition(adoption.Partition), int(adoption.Partitions), ptjobstore.Epoch(adoption.Epoch), now))
	}
	for _, release := range frame.Releases {
		runner.deps.Log.Info("partition released by its owner", "entry", peer.owner.Entry, "partition", release.Partition, "epoch", release.Epoch)
		runner.execute(runner.core.ReleasePartition(peer.owner, ptjobstore.Partition(release.Partition), ptjobstore.Epoch(release.Epoch), now))
	}
	for _, ref := range frame.RunQueries {
		runner.execute(runner.core.QueryRun(peer.owner, ptrun.IDFromRef(ref), now))
	}
	for _, order := range frame.RunOrders {
		runner.execute(runner.core.Order(ptruncontrol.Order{
			Run: ptrun.IDFromRef(order.Run), Owner: peer.owner, Spec: order.Spec,
			Demand: ptrun.Demand{
				CPU: ptrun.Millicores(order.CpuMillicores), Memory: ptrun.Mebibytes(order.MemoryMebibytes), Accelerators: order.Accelerators,
			},
			SentAt: ptid.Instant(frame.AgentClockNanos), CallersConfirmedAt: ptid.Instant(frame.CallersConfirmedNanos), StartBy: startBy(frame, order), WaitUntil: now.Add(time.Duration(order.WaitNanos)), QueueKey: ptid.Instant(order.OrderNanos), Checkpoint: ptrun.Checkpoint(order.Checkpoint),
			Partition: ptjobstore.Partition(order.Partition), Epoch: ptjobstore.Epoch(order.Epoch), Ticket: order.Ticket,
			Opportunistic: order.Filling, TailLatencyTarget: time.Duration(order.TailTargetNanos), ExpectedRunTime: time.Duration(order.ExpectedNanos), Queue: ptid.ProfileName(order.Queue),
			Isolation: time.Duration(order.IsolationNanos),
		}, now))
	}
	for _, ref := range frame.RunStops {
		runner.execute(runner.core.Stop(ptrun.IDFromRef(ref), ptrun.ReasonStopRequested, now))
	}
	aliveAt := peer.session.PeerAliveAt()
	runner.core.OwnerConfirmed(peer.owner, aliveAt)
	confirmedAt := ptid.Instant(frame.CallersConfirmedNanos)
	if confirmedAt == 0 {
		// The entry runs a version that does not confirm its callers.
		confirmedAt = aliveAt
	}
	runner.core.CallersConfirmed(peer.owner, min(now, confirmedAt))
}

// startBy returns the deadline for the start of an ordered run. It has passed if the frame also stops the
// run: the confirmation in the frame is then later than the order.
func startBy(frame *ptwire.Frame, order *ptwire.RunOrder) ptid.Instant {
	run := ptrun.IDFromRef(order.Run)
	if slices.ContainsFunc(frame.RunStops, func(ref *ptwire.RunRef) bool { return ptrun.IDFromRef(ref) == run }) {
		return 0
	}
	return ptid.Instant(order.StartByNanos)
}

// dialLoop starts one dialing goroutine for each known entry address, once the worker executes
// no run of an earlier agent process.
func (runner *Runner) dialLoop(ctx context.Context) {
	logged, startedAt := false, runner.deps.Clock.Now()
	for ctx.Err() == nil {
		runner.mu.Lock()
		now := runner.deps.Clock.Now()
		takeoverComplete, unaccounted := runner.core.TakeoverComplete(), runner.core.UnaccountedRuns()
		runner.mu.Unlock()
		if takeoverComplete && !logged {
			logged = true
			runner.deps.Log.Info("takeover complete", "after", now.Sub(startedAt).String(), "unaccountedRuns", unaccounted)
		}
		if takeoverComplete {
			runner.dialNewAddresses(ctx, append(runner.deps.Discover(), runner.toldAddresses()...))
		}
		wait := discoverInterval
		if !takeoverComplete {
			wait = tickInterval
		}
		sleep(ctx, wait)
	}
}

func (runner *Runner) dialNewAddresses(ctx context.Context, addresses []string) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	for _, address := range addresses {
		if !runner.dialing[address] {
			runner.dialing[address] = true
			go runner.sessionLoop(ctx, address)
		}
	}
}

// sessionLoop dials the entry at an address and serves the session. It redials with exponential
// backoff until ctx ends.
func (runner *Runner) sessionLoop(ctx context.Context, address string) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		opened, err := runner.connect(ctx, address)
		if opened {
			delay = minRedialDelay
		} else {
			delay = min(2*delay, maxRedialDelay)
		}
		if err != nil {
			runner.deps.Log.V(1).Info("no session with entry", "address", address, "error", err.Error())
		}
		sleep(ctx, delay/2+rand.N(delay/2))
	}
}

// connect opens a session and serves it until it ends. opened is true if the entry has accepted
// the greeting.
func (runner *Runner) connect(ctx context.Context, address string) (opened bool, err error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	netConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, errors.Wrap(err, "dial entry")
	}
	defer func() { _ = netConn.Close() }()
	conn := drpcconn.NewWithOptions(pttransport.CountBytes(netConn, runner.deps.Metrics), drpcconn.Options{Manager: pttransport.Options()})
	defer func() { _ = conn.Close() }()
	greetingTimer := time.AfterFunc(greetingTimeout, func() { _ = netConn.Close() })
	defer greetingTimer.Stop()
	stream, err := ptwire.NewDRPCDispatcherClient(conn).Session(ctx)
	if err != nil {
		return false, errors.Wrap(err, "open session")
	}
	newPeer := &peer{runner: runner}
	welcome, err := runner.handshake(stream, newPeer)
	if err != nil {
		return false, err
	}
	greetingTimer.Stop()
	return true, runner.serveSession(stream, func() { _ = netConn.Close() }, welcome, newPeer)
}

// handshake exchanges the first frames of a session, which carry the states of the evacuated zones. The
// agent's one also carries the learned run times.
func (runner *Runner) handshake(stream ptwire.DRPCDispatcher_SessionClient, newPeer *peer) (welcome *ptwire.Welcome, err error) {
	runner.mu.Lock()
	runner.sessionCount++
	now := runner.deps.Clock.Now()
	frame := &ptwire.Frame{AgentClockNanos: int64(now), RunTimes: ptruntime.Messages(runner.runTimes.Values(now)), Evacuation: newPeer.evacuation.ToSend(runner.evacuation), Greeting: &ptwire.Greeting{
		Agent: string(runner.setting.Name), Incarnation: uint64(runner.incarnation), Session: runner.sessionCount,
		Service: string(runner.setting.Service), AvailabilityZone: string(runner.setting.Zone),
		Region: string(runner.setting.Region), Protocol: protocolVersion,
	}}
	runner.mu.Unlock()
	if err := stream.Send(frame); err != nil {
		return nil, errors.Wrap(err, "send greeting")
	}
	reply, err := stream.Recv()
	if err != nil {
		return nil, errors.Wrap(err, "receive welcome")
	}
	if reply.Welcome == nil || reply.Welcome.Refused != "" {
		return nil, errors.Wrap(errGreetingRefused, reply.GetWelcome().GetRefused())
	}
	runner.mu.Lock()
	defer runner.mu.Unlock()
	// If the agent's state is newer, the first frame after the greeting carries it.
	runner.handleEvacuation(&newPeer.evacuation, reply.Evacuation, ptid.EntryName(reply.Welcome.Entry), runner.deps.Clock.Now())
	runner.handleAddresses(ptid.EntryName(reply.Welcome.Entry), reply.Entries)
	return reply.Welcome, nil
}

func (runner *Runner) serveSession(stream ptsession.Stream, closer func(), welcome *ptwire.Welcome, newPeer *peer) (err error) {
	newPeer.heartbeatInterval, newPeer.near = time.Duration(welcome.HeartbeatIntervalNanos), ptid.Zone(welcome.AvailabilityZone) == runner.setting.Zone
	newPeer.owner = ptruncontrol.Owner{Entry: ptid.EntryName(welcome.Entry), Incarnation: ptid.Incarnation(welcome.Incarnation)}
	newPeer.session = ptsession.New(ptlink.AgentSide, runner.deps.Clock, stream, closer, newPeer.heartbeatInterval, newPeer)
	runner.mu.Lock()
	previous := runner.peers[newPeer.owner.Entry]
	runner.peers[newPeer.owner.Entry] = newPeer
	runner.deps.Log.Info("session opened", "entry", newPeer.owner.Entry, "incarnation", newPeer.owner.Incarnation, "session", welcome.Session)
	runner.execute(runner.core.SessionOpened(newPeer.owner, runner.deps.Clock.Now()))
	newPeer.session.Post(func(*ptwire.Frame) {})
	runner.mu.Unlock()
	if previous != nil {
		previous.session.Close(errSessionReplaced)
	}
	err = newPeer.session.Run()
	runner.deps.Metrics.Counter(ptmetric.SessionEnds, "cause", ptsession.CauseLabel(err)).Inc()
	runner.deps.Log.Info("session ended", "entry", newPeer.owner.Entry, "session", welcome.Session, "error", err.Error())
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.peers[newPeer.owner.Entry] == newPeer {
		delete(runner.peers, newPeer.owner.Entry)
		runner.core.SessionClosed(newPeer.owner.Entry, runner.deps.Clock.Now())
	}
	return err
}
