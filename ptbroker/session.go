package ptbroker

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptevacuation"
	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruntime"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/ptspeed"
	"github.com/primrosetiller/primrosetiller/pttransport"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	greetingTimeout = 2 * time.Second
	// minHeartbeatInterval is the heartbeat interval with few sessions. A session ends after
	// three intervals without a frame.
	minHeartbeatInterval = 300 * time.Millisecond
	// The heartbeat interval is at least heartbeatIntervalPerSession times the number of
	// sessions. This limits the heartbeats of all sessions to about a hundred per second.
	heartbeatIntervalPerSession = 8 * time.Millisecond
	protocolVersion             = 2
)

var errSessionReplaced = errors.New("the session was replaced by a newer one")

// agentSession is a session with an agent. It implements ptsession.Handler.
type agentSession struct {
	broker   *Broker
	greeting *ptwire.Greeting
	session  *ptsession.Session
	clock    ptlink.ClockOffset
	openedAt ptid.Instant
	// evacuation is what the agent knows of the evacuated zones.
	evacuation ptevacuation.Exchange
	// runTimes is used only by PrepareFrame, which the session calls from one goroutine.
	runTimes ptruntime.Sender
	// callersCheckedAt is when the latest check of the callers began, on the agent's clock. The lock of the
	// broker guards it.
	callersCheckedAt ptid.Instant
	// lastSentAt is when the latest frame was sent.
	lastSentAt atomic.Int64
}

func (agent *agentSession) sentAt() ptid.Instant { return ptid.Instant(agent.lastSentAt.Load()) }

func (agent *agentSession) name() ptid.AgentName { return ptid.AgentName(agent.greeting.Agent) }

func (agent *agentSession) postOrder(effect ptassign.SendOrder) {
	step := &effect.Job.Steps[effect.Run.Task.Step]
	order := &ptwire.RunOrder{
		Run: effect.Run.Ref(), Spec: effect.Job.Payload, CpuMillicores: int64(effect.Demand.CPU),
		MemoryMebibytes: int64(effect.Demand.Memory), Accelerators: effect.Demand.Accelerators,
		StartByNanos: int64(agent.clock.ToPeerClock(effect.StartBy)), WaitNanos: int64(effect.MaxWait), OrderNanos: int64(agent.clock.ToPeerClock(effect.QueueKey)),
		Checkpoint: string(effect.Checkpoint), Ticket: effect.Ticket, Endless: step.LongRunning, Filling: step.Opportunistic, TailTargetNanos: int64(step.TailLatencyTarget), ExpectedNanos: int64(effect.ExpectedRunTime),
		IsolationNanos: int64(effect.Isolation), Queue: string(effect.Queue),
	}
	if effect.Job.Durable {
		partition, _ := agent.broker.findDurable(effect.Job.ID)
		if partition == nil {
			return
		}
		order.Partition, order.Epoch = uint32(partition.number), uint64(partition.epoch)
	}
	agent.session.Post(func(frame *ptwire.Frame) { frame.RunOrders = append(frame.RunOrders, order) })
}

func (agent *agentSession) postStop(run ptrun.ID) {
	agent.session.Post(func(frame *ptwire.Frame) { frame.RunStops = append(frame.RunStops, run.Ref()) })
}

func (agent *agentSession) postQuery(run ptrun.ID) {
	agent.session.Post(func(frame *ptwire.Frame) { frame.RunQueries = append(frame.RunQueries, run.Ref()) })
}

func (agent *agentSession) postAcknowledgement(run ptrun.ID) {
	agent.session.Post(func(frame *ptwire.Frame) { frame.RunAcks = append(frame.RunAcks, run.Ref()) })
}

func (agent *agentSession) postRejection(run ptrun.ID) {
	agent.session.Post(func(frame *ptwire.Frame) { frame.RunRejections = append(frame.RunRejections, run.Ref()) })
}

func (agent *agentSession) postAdoption(partition *ownedPartition, partitions int) {
	adoption := &ptwire.Adoption{Partition: uint32(partition.number), Epoch: uint64(partition.epoch), Partitions: uint32(partitions)}
	agent.session.Post(func(frame *ptwire.Frame) { frame.Adoptions = append(frame.Adoptions, adoption) })
}

func (agent *agentSession) postRelease(partition *ownedPartition) {
	release := &ptwire.PartitionRelease{Partition: uint32(partition.number), Epoch: uint64(partition.epoch)}
	agent.session.Post(func(frame *ptwire.Frame) { frame.Releases = append(frame.Releases, release) })
}

// PrepareFrame implements [ptsession.Handler].
func (agent *agentSession) PrepareFrame(_ *ptsession.Session, frame *ptwire.Frame) {
	now := agent.broker.deps.Clock.Now()
	agent.lastSentAt.Store(int64(now))
	if len(frame.RunOrders) > 0 {
		frame.AgentClockNanos = int64(agent.clock.ToPeerClock(now))
	}
	frame.Evacuation = agent.evacuation.ToSend(agent.broker.evacuationState())
	frame.RunTimes = agent.runTimesToSend(now)
	if requests := agent.broker.capacityRequests.Load(); requests != nil {
		frame.Want = (*requests)[ptid.ServiceName(agent.greeting.Service)].Message()
	}
}

// Delivered implements [ptsession.Handler].
func (agent *agentSession) Delivered(*ptsession.Session, []ptid.AttemptID) {}

// Receive implements [ptsession.Handler].
func (agent *agentSession) Receive(_ *ptsession.Session, frame *ptwire.Frame) {
	broker := agent.broker
	agent.clock.AddSample(frame.AgentClockNanos, broker.deps.Clock.Now())
	broker.mu.Lock()
	defer broker.mu.Unlock()
	if broker.agentSessions[agent.name()] != agent {
		return
	}
	broker.checkCallersIfDue()
	now := broker.deps.Clock.Now()
	broker.handleEvacuation(agent, frame.Evacuation)
	broker.handleReport(agent, frame.Room, now)
	for _, message := range frame.RunEnds {
		end := ptrun.EndFromMessage(message)
		if end.Result != ptrun.Done {
			broker.counters.retries.Inc()
			broker.deps.Log.Info("run ended without success", "job", end.Run.Task.Job, "step", end.Run.Task.Step,
				"task", end.Run.Task.Index, "run", end.Run.Number, "agent", agent.name(), "result", end.Result, "reason", end.Reason,
				"ran", end.RunTime.String())
		}
		if ptjobstore.IsDurable(end.Run.Number) && !broker.core.HasRun(agent.name(), end.Run) {
			broker.handleDurableEnd(agent, end, now)
			continue
		}
		broker.execute(broker.core.RunEnded(agent.name(), end, now))
	}
	for _, message := range frame.Adopted {
		broker.handleAdopted(agent, message, now)
	}
}

// handleReport processes the capacity report of a frame, if there is one. The caller holds the
// lock.
func (broker *Broker) handleReport(agent *agentSession, report *ptwire.Room, now ptid.Instant) {
	if report == nil {
		return
	}
	broker.execute(broker.core.AgentReported(agent.name(), agentStateFromReport(report, now), now))
	if !broker.workerSeen.Load() && broker.core.HasWorker() {
		broker.workerSeen.Store(true)
	}
}

func agentStateFromReport(report *ptwire.Room, now ptid.Instant) ptassign.AgentState {
	demand := func(cpu, memory, accelerators int64) ptrun.Demand {
		return ptrun.Demand{CPU: ptrun.Millicores(cpu), Memory: ptrun.Mebibytes(memory), Accelerators: accelerators}
	}
	return ptassign.AgentState{
		Assessment: ptfitness.NewAssessment(report.Pace, report.Failing, time.Duration(report.JudgedAgeNanos), now), MayProbe: report.Turn, Isolating: report.Isolating,
		Speed:    ptspeed.NewReport(report.Speed, report.SpeedWeight),
		Worker:   ptrun.WorkerID(report.Worker),
		Capacity: demand(report.CpuMillicores, report.MemoryMebibytes, report.Accelerators),
		Held:     demand(report.HeldCpuMillicores, report.HeldMemoryMebibytes, report.HeldAccelerators),
		Own:      demand(report.OwnCpuMillicores, report.OwnMemoryMebibytes, report.OwnAccelerators),
		Labels:   report.Labels, Unusable: report.Unusable, RequestedByOthers: ptrun.MillicoresPerSecond(report.WantedRate),
	}
}

// Session implements the DRPC service: it serves one agent until its session ends.
func (broker *Broker) Session(stream ptwire.DRPCDispatcher_SessionStream) (err error) {
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
	agent, err := broker.welcome(stream, conn, frame)
	if err != nil {
		return err
	}
	greetingTimer.Stop()
	broker.sessionEnded(agent, agent.session.Run())
	return nil
}

func checkGreeting(greeting *ptwire.Greeting) (problem string) {
	switch {
	case greeting == nil:
		return "the first frame has no greeting"
	case greeting.Protocol != protocolVersion:
		return "unknown protocol version"
	case !ptprofile.IsValidName(greeting.Agent):
		return "the agent has no proper name"
	case greeting.Service == "":
		return "the agent names no service"
	case greeting.Incarnation == 0 || greeting.Session == 0:
		return "the incarnation or the session number is missing"
	default:
		return ""
	}
}

// welcome makes this session the current one of an agent and responds to the greeting of the
// agent. Messages that are posted before the response are sent after it.
func (broker *Broker) welcome(stream ptwire.DRPCDispatcher_SessionStream, conn net.Conn, frame *ptwire.Frame) (agent *agentSession, err error) {
	greeting := frame.Greeting
	agent = &agentSession{broker: broker, greeting: greeting}
	problem := checkGreeting(greeting)
	interval := max(minHeartbeatInterval, time.Duration(broker.sessions.Load())*heartbeatIntervalPerSession)
	if problem == "" {
		agent.clock.AddSample(frame.AgentClockNanos, broker.deps.Clock.Now())
		agent.session = ptsession.New(ptlink.EntrySide, broker.deps.Clock, stream, func() { _ = conn.Close() }, interval, agent)
		broker.receiveEvacuation(agent, frame.Evacuation)
		broker.adoptRunTimes(agent, frame.RunTimes)
		problem = broker.register(agent, frame.Room)
	}
	if problem != "" {
		_ = stream.Send(&ptwire.Frame{Welcome: &ptwire.Welcome{Entry: string(broker.setting.Name), Refused: problem}})
		return nil, errors.Wrap(ptsession.ErrProtocol, problem)
	}
	pttransport.Greeted(conn)
	err = stream.Send(&ptwire.Frame{Entries: broker.addresses.messages(), Evacuation: agent.evacuation.ToSend(broker.evacuationState()), Welcome: &ptwire.Welcome{
		Entry: string(broker.setting.Name), Incarnation: uint64(broker.incarnation), Session: greeting.Session,
		HeartbeatIntervalNanos: int64(interval), AvailabilityZone: string(broker.setting.Zone),
	}})
	if err != nil {
		agent.session.Close(err)
	}
	broker.deps.Log.Info("agent session opened", "agent", greeting.Agent, "incarnation", greeting.Incarnation, "session", greeting.Session)
	return agent, nil
}

// register makes this session the current one of the agent and closes the older session, if there
// is one. If the agent already has a newer session, register returns a description of the problem
// and changes nothing.
//
// The core learns of the session under the same lock: it could otherwise order a run over the new
// session and then take the run for one that was ordered over the older session.
func (broker *Broker) register(agent *agentSession, report *ptwire.Room) (problem string) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	previous := broker.agentSessions[agent.name()]
	if previous != nil {
		known := previous.greeting
		switch {
		case known.Incarnation > agent.greeting.Incarnation:
			return "a newer incarnation of the agent has a session"
		case known.Incarnation == agent.greeting.Incarnation && known.Session >= agent.greeting.Session:
			return "a newer session of the agent is open"
		}
		go previous.session.Close(errSessionReplaced)
	}
	broker.agentSessions[agent.name()] = agent
	broker.sessions.Store(int64(len(broker.agentSessions)))
	greeting, now := agent.greeting, broker.deps.Clock.Now()
	agent.openedAt = now
	// The clock of the agent was estimated after the latest check, so that check can't be confirmed to it.
	broker.checkCallers()
	for _, partition := range broker.ownership.partitions {
		partition.handover.AgentConnected(agent.name())
	}
	broker.core.AgentLocated(agent.name(), ptid.Zone(greeting.AvailabilityZone), now)
	broker.execute(broker.core.AgentConnected(agent.name(), ptid.Incarnation(greeting.Incarnation), ptid.ServiceName(greeting.Service),
		ptid.Zone(greeting.AvailabilityZone) == broker.setting.Zone, now))
	broker.handleReport(agent, report, now)
	for _, partition := range broker.ownership.partitions {
		if partition.handover.IsLoaded() {
			agent.postAdoption(partition, broker.ownership.store.Partitions())
		}
	}
	return ""
}

// sessionEnded processes the end of a session.
func (broker *Broker) sessionEnded(agent *agentSession, cause error) {
	broker.deps.Metrics.Counter(ptmetric.SessionEnds, "cause", ptsession.CauseLabel(cause)).Inc()
	broker.mu.Lock()
	defer broker.mu.Unlock()
	if broker.agentSessions[agent.name()] != agent {
		return
	}
	broker.deps.Log.Info("agent session closed", "agent", agent.name(), "session", agent.greeting.Session, "cause", cause.Error())
	delete(broker.agentSessions, agent.name())
	broker.sessions.Store(int64(len(broker.agentSessions)))
	broker.core.AgentDisconnected(agent.name(), broker.deps.Clock.Now())
}

// Run serves agents until ctx ends, and then performs the shutdown.
func (broker *Broker) Run(ctx context.Context, listener net.Listener) (err error) {
	defer func() { err = errors.Wrapf(err, "entry %s", broker.setting.Name) }()
	mux := drpcmux.New()
	if err := ptwire.DRPCRegisterDispatcher(mux, broker); err != nil {
		return errors.Wrap(err, "register DRPC service")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: pttransport.Options()})
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error {
		return pttransport.Serve(background, listener, server, broker.deps.Metrics, broker.deps.Log)
	})
	group.Go(func() error { broker.tickLoop(background); return nil })
	ownershipCtx, stopOwnership := context.WithCancel(background)
	defer stopOwnership()
	group.Go(func() error { broker.maintainOwnership(ownershipCtx); return nil })
	broker.deps.Log.Info("entry started", "entry", broker.setting.Name, "agents", listener.Addr().String(), "incarnation", broker.incarnation)
	<-ctx.Done()
	broker.drain()
	stopOwnership()
	broker.leaveOwners()
	stop()
	if err := listener.Close(); err != nil {
		return errors.Wrap(err, "close listener")
	}
	for _, agent := range broker.allAgentSessions() {
		agent.session.Close(ptsession.ErrClosed)
	}
	broker.deps.Log.Info("entry stopped", "entry", broker.setting.Name)
	return group.Wait()
}

// drain waits until the load balancer has noticed the shutdown, and then until no caller waits
// for a job or ShutdownTimeout has passed.
func (broker *Broker) drain() {
	deadline := time.Now().Add(broker.setting.ShutdownTimeout)
	broker.draining.Store(true)
	broker.deps.Log.Info("entry draining", "callers", broker.awaitedJobs())
	time.Sleep(broker.setting.ShutdownDelay)
	broker.refusing.Store(true)
	for broker.awaitedJobs() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

// awaitedJobs returns the number of jobs whose end a caller waits for.
func (broker *Broker) awaitedJobs() int {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	return len(broker.handles)
}

func (broker *Broker) allAgentSessions() (sessions []*agentSession) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	for _, agent := range broker.agentSessions {
		sessions = append(sessions, agent)
	}
	return sessions
}

func (broker *Broker) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, agent := range broker.allAgentSessions() {
			agent.session.Tick()
		}
		broker.mu.Lock()
		broker.checkCallersIfDue()
		broker.execute(broker.core.Tick(broker.deps.Clock.Now()))
		broker.tickPartitions(broker.deps.Clock.Now())
		broker.publishCapacityRequests(broker.deps.Clock.Now())
		broker.copyRunTimes(broker.deps.Clock.Now())
		broker.passOnAddresses(broker.deps.Clock.Now())
		broker.mu.Unlock()
	}
}

// publishCapacityRequests updates the capacity requests that every frame carries. While jobs
// have been waiting for some time, it also sends frames that carry only the requests. The caller
// holds the lock.
func (broker *Broker) publishCapacityRequests(now ptid.Instant) {
	requests, sendNow := broker.core.CapacityRequestsToSend(now)
	broker.capacityRequests.Store(&requests)
	if !sendNow {
		return
	}
	for _, agent := range broker.agentSessions {
		if requests[ptid.ServiceName(agent.greeting.Service)].Rate > 0 && now.Sub(agent.sentAt()) >= ptassign.CapacityRequestInterval {
			agent.session.Post(func(*ptwire.Frame) {})
		}
	}
}
