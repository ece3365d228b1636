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
	"github.com/primrosetiller/primrosetiller/ptfitness"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptkept"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/pttransport"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	greetingTimeout = 2 * time.Second
	// shortestHeartbeat is the interval with few sessions; three of them without a frame
	// end a session.
	shortestHeartbeat = 300 * time.Millisecond
	// heartbeatShare is what each session adds to the interval, so that the frames of
	// all sessions stay within about a hundred a second.
	heartbeatShare  = 8 * time.Millisecond
	protocolVersion = 2
)

var errReplaced = errors.New("the session was replaced by a newer one")

// link is one session with an agent. It implements ptsession.Handler.
type link struct {
	broker   *Broker
	greeting *ptwire.Greeting
	session  *ptsession.Session
	clock    ptlink.ClockOffset
	// stampedAt is when the last frame was sent.
	stampedAt atomic.Int64
}

func (link *link) sentAt() ptid.Instant { return ptid.Instant(link.stampedAt.Load()) }

func (link *link) name() ptid.AgentName { return ptid.AgentName(link.greeting.Agent) }

func (link *link) order(effect ptassign.SendOrder) {
	step := &effect.Job.Steps[effect.Run.Task.Step]
	order := &ptwire.RunOrder{
		Run: effect.Run.Ref(), Spec: effect.Job.Payload, CpuMillicores: int64(effect.Demand.CPU),
		MemoryMebibytes: int64(effect.Demand.Memory), Accelerators: effect.Demand.Accelerators,
		StartByNanos: int64(link.clock.ToPeerClock(effect.StartBy)), WaitNanos: int64(effect.MaxWait), OrderNanos: int64(link.clock.ToPeerClock(effect.QueueKey)),
		Checkpoint: string(effect.Checkpoint), Ticket: effect.Ticket, Endless: step.LongRunning, Filling: step.Opportunistic, TailTargetNanos: int64(step.TailLatencyTarget), ExpectedNanos: int64(effect.ExpectedRunTime),
	}
	if effect.Job.Durable {
		held, _ := link.broker.keptOf(effect.Job.ID)
		if held == nil {
			return
		}
		order.Partition, order.Epoch = uint32(held.number), uint64(held.epoch)
	}
	link.session.Post(func(frame *ptwire.Frame) { frame.RunOrders = append(frame.RunOrders, order) })
}

func (link *link) stop(run ptrun.ID) {
	link.session.Post(func(frame *ptwire.Frame) { frame.RunStops = append(frame.RunStops, run.Ref()) })
}

func (link *link) query(run ptrun.ID) {
	link.session.Post(func(frame *ptwire.Frame) { frame.RunQueries = append(frame.RunQueries, run.Ref()) })
}

func (link *link) acknowledge(run ptrun.ID) {
	link.session.Post(func(frame *ptwire.Frame) { frame.RunAcks = append(frame.RunAcks, run.Ref()) })
}

func (link *link) adopt(held *owned, partitions int) {
	adoption := &ptwire.Adoption{Partition: uint32(held.number), Epoch: uint64(held.epoch), Partitions: uint32(partitions)}
	link.session.Post(func(frame *ptwire.Frame) { frame.Adoptions = append(frame.Adoptions, adoption) })
}

// PrepareFrame implements [ptsession.Handler].
func (link *link) PrepareFrame(_ *ptsession.Session, frame *ptwire.Frame) {
	link.stampedAt.Store(int64(link.broker.deps.Clock.Now()))
	if wants := link.broker.wants.Load(); wants != nil {
		frame.Want = (*wants)[ptid.ServiceName(link.greeting.Service)].Message()
	}
}

// Delivered implements [ptsession.Handler].
func (link *link) Delivered(*ptsession.Session, []ptid.AttemptID) {}

// Receive implements [ptsession.Handler].
func (link *link) Receive(_ *ptsession.Session, frame *ptwire.Frame) {
	broker := link.broker
	now := broker.deps.Clock.Now()
	link.clock.AddSample(frame.AgentClockNanos, now)
	broker.mu.Lock()
	defer broker.mu.Unlock()
	if broker.links[link.name()] != link {
		return
	}
	broker.reported(link, frame.Room, now)
	for _, message := range frame.RunEnds {
		end := ptrun.EndFromMessage(message)
		if end.Result != ptrun.Done {
			broker.count.requeues.Inc()
			broker.deps.Log.Info("run ended without success", "job", end.Run.Task.Job, "step", end.Run.Task.Step,
				"task", end.Run.Task.Index, "run", end.Run.Number, "agent", link.name(), "result", end.Result, "reason", end.Reason,
				"ran", end.RunTime.String())
		}
		if ptkept.IsDurable(end.Run.Number) && !broker.core.HasRun(link.name(), end.Run) {
			broker.keptEnd(link, end, now)
			continue
		}
		broker.do(broker.core.RunEnded(link.name(), end, now))
	}
	for _, message := range frame.Adopted {
		broker.adopted(link, message, now)
	}
}

// reported takes what a frame tells of a worker, if it does. The caller holds the lock.
func (broker *Broker) reported(link *link, room *ptwire.Room, now ptid.Instant) {
	if room == nil {
		return
	}
	broker.do(broker.core.AgentReported(link.name(), stateOf(room, now), now))
	if !broker.reached.Load() && broker.core.HasWorker() {
		broker.reached.Store(true)
	}
}

func stateOf(room *ptwire.Room, now ptid.Instant) ptassign.AgentState {
	demand := func(cpu, memory, accelerators int64) ptrun.Demand {
		return ptrun.Demand{CPU: ptrun.Millicores(cpu), Memory: ptrun.Mebibytes(memory), Accelerators: accelerators}
	}
	return ptassign.AgentState{
		Assessment: ptfitness.NewAssessment(room.Pace, room.Failing, time.Duration(room.JudgedAgeNanos), now), MayProbe: room.Turn,
		Worker:   ptrun.WorkerID(room.Worker),
		Capacity: demand(room.CpuMillicores, room.MemoryMebibytes, room.Accelerators),
		Held:     demand(room.HeldCpuMillicores, room.HeldMemoryMebibytes, room.HeldAccelerators),
		Own:      demand(room.OwnCpuMillicores, room.OwnMemoryMebibytes, room.OwnAccelerators),
		Labels:   room.Labels, Unusable: room.Unusable, RequestedByOthers: ptrun.MillicoresPerSecond(room.WantedRate),
	}
}

// Session implements the drpc service: it serves one agent until its session ends.
func (broker *Broker) Session(stream ptwire.DRPCDispatcher_SessionStream) (err error) {
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
	joining, err := broker.welcome(stream, conn, frame)
	if err != nil {
		return err
	}
	guard.Stop()
	broker.leave(joining, joining.session.Run())
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

// welcome makes the greeting agent's session the present one.
func (broker *Broker) welcome(stream ptwire.DRPCDispatcher_SessionStream, conn net.Conn, frame *ptwire.Frame) (joining *link, err error) {
	greeting, now := frame.Greeting, broker.deps.Clock.Now()
	joining = &link{broker: broker, greeting: greeting}
	problem := checkGreeting(greeting)
	interval := max(shortestHeartbeat, time.Duration(broker.sessions.Load())*heartbeatShare)
	if problem == "" {
		joining.clock.AddSample(frame.AgentClockNanos, now)
		joining.session = ptsession.New(ptlink.EntrySide, broker.deps.Clock, stream, func() { _ = conn.Close() }, interval, joining)
		problem = broker.register(joining)
	}
	if problem != "" {
		_ = stream.Send(&ptwire.Frame{Welcome: &ptwire.Welcome{Entry: string(broker.setting.Name), Refused: problem}})
		return nil, errors.Wrap(ptsession.ErrProtocol, problem)
	}
	err = stream.Send(&ptwire.Frame{Welcome: &ptwire.Welcome{
		Entry: string(broker.setting.Name), Incarnation: uint64(broker.incarnation), Session: greeting.Session,
		HeartbeatIntervalNanos: int64(interval), AvailabilityZone: string(broker.setting.Zone),
	}})
	if err != nil {
		joining.session.Close(err)
	}
	broker.deps.Log.Info("agent joined", "agent", greeting.Agent, "incarnation", greeting.Incarnation, "session", greeting.Session)
	broker.mu.Lock()
	defer broker.mu.Unlock()
	if broker.links[joining.name()] == joining {
		broker.do(broker.core.AgentConnected(joining.name(), ptid.Incarnation(greeting.Incarnation), ptid.ServiceName(greeting.Service),
			ptid.Zone(greeting.AvailabilityZone) == broker.setting.Zone, now))
		broker.reported(joining, frame.Room, now)
		for _, held := range broker.keeper.owned {
			if held.loaded {
				joining.adopt(held, broker.keeper.store.Partitions())
			}
		}
	}
	return joining, nil
}

// register replaces the older session of an agent, or says why it does not.
func (broker *Broker) register(joining *link) (problem string) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	previous := broker.links[joining.name()]
	if previous != nil {
		known := previous.greeting
		switch {
		case known.Incarnation > joining.greeting.Incarnation:
			return "a newer incarnation of the agent has a session"
		case known.Incarnation == joining.greeting.Incarnation && known.Session >= joining.greeting.Session:
			return "a newer session of the agent is open"
		}
		go previous.session.Close(errReplaced)
	}
	broker.links[joining.name()] = joining
	broker.sessions.Store(int64(len(broker.links)))
	return ""
}

// leave handles the end of a session.
func (broker *Broker) leave(left *link, cause error) {
	broker.deps.Metrics.Counter(ptmetric.SessionEnds, "cause", ptsession.CauseLabel(cause)).Inc()
	broker.mu.Lock()
	defer broker.mu.Unlock()
	if broker.links[left.name()] != left {
		return
	}
	broker.deps.Log.Info("agent lost", "agent", left.name(), "session", left.greeting.Session, "cause", cause.Error())
	delete(broker.links, left.name())
	broker.sessions.Store(int64(len(broker.links)))
	broker.core.AgentDisconnected(left.name(), broker.deps.Clock.Now())
}

// Run serves agents until ctx ends and the shutdown is over.
func (broker *Broker) Run(ctx context.Context, listener net.Listener) (err error) {
	defer func() { err = errors.Wrapf(err, "entry %s", broker.setting.Name) }()
	mux := drpcmux.New()
	if err := ptwire.DRPCRegisterDispatcher(mux, broker); err != nil {
		return errors.Wrap(err, "register the service")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: pttransport.Options()})
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error {
		return pttransport.Serve(background, listener, server, broker.deps.Metrics, broker.deps.Log)
	})
	group.Go(func() error { broker.tick(background); return nil })
	owning, retire := context.WithCancel(background)
	defer retire()
	group.Go(func() error { broker.keep(owning); return nil })
	broker.deps.Log.Info("entry started", "entry", broker.setting.Name, "agents", listener.Addr().String(), "incarnation", broker.incarnation)
	<-ctx.Done()
	broker.drain()
	retire()
	broker.retire()
	stop()
	if err := listener.Close(); err != nil {
		return errors.Wrap(err, "close the listener")
	}
	for _, link := range broker.allLinks() {
		link.session.Close(ptsession.ErrClosed)
	}
	broker.deps.Log.Info("entry stopped", "entry", broker.setting.Name)
	return group.Wait()
}

// drain waits until the balancer has learned of the shutdown and every job has ended.
func (broker *Broker) drain() {
	endBy := time.Now().Add(broker.setting.ShutdownTimeout)
	broker.unready.Store(true)
	broker.deps.Log.Info("entry drains", "callers", broker.callers())
	time.Sleep(broker.setting.ShutdownDelay)
	broker.draining.Store(true)
	for broker.callers() > 0 && time.Now().Before(endBy) {
		time.Sleep(drainPollInterval)
	}
}

// callers returns how many jobs have callers that wait for their end.
func (broker *Broker) callers() int {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	return len(broker.tickets)
}

func (broker *Broker) allLinks() (links []*link) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	for _, link := range broker.links {
		links = append(links, link)
	}
	return links
}

func (broker *Broker) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, link := range broker.allLinks() {
			link.session.Tick()
		}
		broker.mu.Lock()
		broker.do(broker.core.Tick(broker.deps.Clock.Now()))
		broker.tickKept(broker.deps.Clock.Now())
		broker.tellWants(broker.deps.Clock.Now())
		broker.mu.Unlock()
	}
}

// tellWants lets all frames tell what waits, and sends some alone where jobs wait for
// longer. The caller holds the lock.
func (broker *Broker) tellWants(now ptid.Instant) {
	wants, alone := broker.core.CapacityRequestsToSend(now)
	broker.wants.Store(&wants)
	if !alone {
		return
	}
	for _, link := range broker.links {
		if wants[ptid.ServiceName(link.greeting.Service)].Rate > 0 && now.Sub(link.sentAt()) >= ptassign.CapacityRequestInterval {
			link.session.Post(func(*ptwire.Frame) {})
		}
	}
}
