package ptcmd

import (
	"context"
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/primrosetiller/primrosetiller/ptadmin"
	"github.com/primrosetiller/primrosetiller/ptagent"
	"github.com/primrosetiller/primrosetiller/ptcluster"
	"github.com/primrosetiller/primrosetiller/ptentry"
	"github.com/primrosetiller/primrosetiller/ptfront"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlease"
	"github.com/primrosetiller/primrosetiller/ptlog"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptorder"
	"github.com/primrosetiller/primrosetiller/ptplace"
	"github.com/primrosetiller/primrosetiller/ptpresence"
	"github.com/primrosetiller/primrosetiller/ptsetting"
	"github.com/primrosetiller/primrosetiller/ptstandin"
	"github.com/primrosetiller/primrosetiller/pttrace"
)

const (
	defaultLogURL        = "http://127.0.0.1:7000"
	defaultShutdownDelay = 5 * time.Second
	tracerStopTimeout    = 2 * time.Second
	registryTimeout      = 3 * time.Second
	maxByteLimit         = 1 << 30
	maxQueuedLimit       = 10_000_000
	// gcPercent is the GC percentage (GOGC). It is below the default of 100, which saves memory
	// at the cost of processor time, because the live heap is small compared with the
	// limit on resident memory.
	gcPercent = 50
	// defaultAgentProcessors is sufficient for an agent and leaves the other processors to
	// its upstream.
	defaultAgentProcessors = 1
)

// runEntry runs an entry until ctx ends, and then drains it.
func runEntry(ctx context.Context, call *invocation) (err error) {
	flags := call.flags
	name := flags.Name("name", "", "name of this entry")
	zone := flags.Name("availability-zone", "zone1", "availability zone of this entry")
	region := flags.Name("region", "region1", "region of this entry")
	listen := flags.Address("listen", "127.0.0.1:7101", "address for callers")
	agentsListen := flags.Address("agents-listen", "127.0.0.1:7201", "address for sessions of agents and peer entries")
	adminListen := flags.Address("admin-listen", "127.0.0.1:7301", "address for liveness, readiness and metrics")
	logURL := flags.URL("log", defaultLogURL, "URL of the platform's log")
	peers := flags.Addresses("peers", "agents-listen addresses of the other entries")
	placement := ptsetting.Choice(flags, "placement", "policy that chooses an upstream for a task", ptplace.Leases, ptplace.Random, ptplace.TwoChoices, ptplace.LeastKnownLoad)
	order := ptsetting.Choice(flags, "order", "order in which the jobs of a team are placed", ptorder.FirstCome, ptorder.EarliestDeadline, ptorder.FewestRemaining)
	maxQueued := flags.BoundedInt("max-queued", ptcluster.DefaultMaxQueued, 1, maxQueuedLimit, "maximum number of waiting tasks of a service")
	maxBody := flags.BoundedInt("max-body", ptcluster.DefaultMaxBodyBytes, 1, maxByteLimit, "maximum size of a request body in bytes")
	keepBytes := flags.BoundedInt("keep-bytes", ptcluster.DefaultMaxRetainedAnswerBytes, 0, maxByteLimit, "maximum total size in bytes of the answers that are retained after their jobs have ended, so that callers can query them")
	retention := flags.BoundedDuration("log-retention", ptcluster.DefaultRetention, time.Second, 1000*time.Hour, "retention time of records in the platform's log")
	delay := flags.BoundedDuration("shutdown-delay", defaultShutdownDelay, 0, 10*time.Minute, "how long to keep accepting requests after becoming unready")
	trace := flags.String("trace", "off", "destination of trace spans: off, stdout or otlp:http://IP:PORT")
	seed := flags.Uint64("seed", 0, "seed of the random number generator; zero takes the seed from the clock")
	flags.Require("name")
	if err := call.parse(); err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if *seed == 0 {
		*seed = uint64(time.Now().UnixNano())
	}
	logger, metrics := call.logger("entry"), ptmetric.New()
	tracer, stopTracer, err := pttrace.New(ctx, *trace, "entry", *name)
	if err != nil {
		return usageError{err}
	}
	defer stopTracing(stopTracer)
	entry := ptentry.New(ptentry.Setting{
		Name: ptid.EntryName(*name), Zone: ptid.Zone(*zone), Region: ptid.Region(*region),
		AgentsListen: *agentsListen, Peers: *peers,
		Placement: *placement, Order: *order, MaxQueued: *maxQueued, MaxRetainedAnswerBytes: int64(*keepBytes),
		LogRetention: *retention, ShutdownDelay: *delay, Seed: *seed,
	}, ptentry.Dependencies{Log: logger, Metrics: metrics, Tracer: tracer, Clock: ptid.NewClock(), Store: ptlog.New(*logURL)})
	front := ptfront.New(entry, ptfront.Setting{MaxBodyBytes: *maxBody}, tracer, metrics, logger)
	return serveEntry(ctx, entry, front, ptadmin.New(metrics, entry.Ready, nil), *listen, *adminListen)
}

// serveEntry runs an entry with its server for callers and its admin server. It shuts both down
// after the entry has drained.
func serveEntry(ctx context.Context, entry *ptentry.Entry, front *ptfront.Server, admin *ptadmin.Server, listen, adminListen string) (err error) {
	callerListener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	adminListener, err := net.Listen("tcp", adminListen)
	if err != nil {
		return errors.Wrap(err, "listen for the admin interface")
	}
	var group errgroup.Group
	group.Go(func() error { return front.Serve(callerListener) })
	group.Go(func() error { return admin.Serve(adminListener) })
	group.Go(func() error {
		err := entry.Run(ctx)
		if stopErr := front.Shutdown(); err == nil {
			err = stopErr
		}
		if stopErr := admin.Shutdown(); err == nil {
			err = stopErr
		}
		return err
	})
	return group.Wait()
}

// stopTracing flushes and stops a tracer, and waits for tracerStopTimeout at most.
func stopTracing(stop func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), tracerStopTimeout)
	defer cancel()
	_ = stop(ctx)
}

// runAgent runs an agent until ctx ends, and then drains it.
func runAgent(ctx context.Context, call *invocation) (err error) {
	flags := call.flags
	name := flags.Name("name", "", "name of this agent and its upstream")
	zone := flags.Name("availability-zone", "zone1", "availability zone of this agent")
	region := flags.Name("region", "region1", "region of this agent")
	service := flags.Name("service", "", "service of the upstream")
	slots := flags.BoundedInt("slots", 8, 1, 1<<16, "number of tasks that the upstream runs concurrently")
	ahead := flags.BoundedInt("ahead", ptcluster.DefaultPrefetch, 0, 1<<16, "number of tasks that may wait at the agent in addition to the tasks in its slots")
	moveAfter := flags.BoundedDuration("move-after", ptcluster.DefaultMoveThreshold, 0, time.Minute, "a lease moves to another entry if the first waiting task of that entry is older by more than this duration")
	processors := flags.BoundedInt("processors", defaultAgentProcessors, 1, 1024, "number of threads that run Go code concurrently (GOMAXPROCS); more threads cost more processor time per task")
	recall := flags.Bool("recall", false, "recall idle leases from entries while another entry waits; this costs messages")
	upstream := flags.URL("upstream", "", "URL of the upstream")
	entries := flags.Addresses("entries", "agents-listen addresses of entries")
	adminListen := flags.Address("admin-listen", "127.0.0.1:0", "address for liveness, readiness, metrics and redial requests")
	logURL := flags.URL("log", defaultLogURL, "URL of the platform's log")
	maxAnswer := flags.BoundedInt("max-answer", ptcluster.DefaultMaxAnswerBytes, 1, maxByteLimit, "maximum size of an answer in bytes")
	trace := flags.String("trace", "off", "destination of trace spans: off, stdout or otlp:http://IP:PORT")
	flags.Require("name", "service", "upstream")
	if err := call.parse(); err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(*processors)
	logger := call.logger("agent")
	tracer, stopTracer, err := pttrace.New(ctx, *trace, "agent", *name)
	if err != nil {
		return usageError{err}
	}
	defer stopTracing(stopTracer)
	registry := ptpresence.New(ptlog.New(*logURL), logger)
	agent, err := ptagent.New(ptagent.Setting{
		Name: ptid.AgentName(*name), Zone: ptid.Zone(*zone), Region: ptid.Region(*region), Service: ptid.ServiceName(*service),
		Upstream: *upstream, Entries: *entries, AdminListen: *adminListen, MaxAnswerBytes: *maxAnswer,
		Lease: ptlease.Setting{Slots: *slots, Prefetch: *ahead, MoveThreshold: *moveAfter, Recall: *recall},
	}, ptagent.Dependencies{
		Log: logger, Metrics: ptmetric.New(), Tracer: tracer, Clock: ptid.NewClock(),
		Discover: func() []string {
			ctx, cancel := context.WithTimeout(ctx, registryTimeout)
			defer cancel()
			_ = registry.Refresh(ctx)
			return registry.Addresses()
		},
	})
	if err != nil {
		return err
	}
	return agent.Run(ctx)
}

// runStandin runs a test double until ctx ends.
func runStandin(ctx context.Context, call *invocation) (err error) {
	constructors := map[string]func() testDouble{
		"log":      func() testDouble { return ptstandin.NewLog() },
		"upstream": func() testDouble { return ptstandin.NewUpstream() },
	}
	if len(call.arguments) == 0 || constructors[call.arguments[0]] == nil {
		return usageError{errors.New("want: standin log, or standin upstream")}
	}
	kind := call.arguments[0]
	call.arguments = call.arguments[1:]
	listen := call.flags.Address("listen", "127.0.0.1:7000", "address to listen on")
	faults := call.flags.String("faults", "", "injected faults as JSON, in the format of POST /v1/faults")
	if err := call.parse(); err != nil {
		return err
	}
	double := constructors[kind]()
	if err := injectFaults(double, *faults); err != nil {
		return usageError{err}
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return errors.Wrapf(err, "listen for the test double of the %s", kind)
	}
	call.logger("standin").Info("test double started", "kind", kind, "listen", listener.Addr().String())
	var group errgroup.Group
	group.Go(func() error { return double.Serve(listener) })
	group.Go(func() error {
		<-ctx.Done()
		return double.Shutdown()
	})
	return group.Wait()
}

// testDouble is a server that runStandin can run.
type testDouble interface {
	Serve(listener net.Listener) error
	Shutdown() error
}
