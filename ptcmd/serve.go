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
	defaultLog      = "http://127.0.0.1:7000"
	defaultShutdown = 5 * time.Second
	flushTimeout    = 2 * time.Second
	presenceTimeout = 3 * time.Second
	largestBody     = 1 << 30
	mostQueued      = 10_000_000
	// controlGCPercent trades processor time for memory: the live heap is small
	// beside the bound on resident memory.
	controlGCPercent = 50
	// agentProcessors is enough for an agent, whose upstream needs the rest.
	agentProcessors = 1
)

// runEntry runs an entry until a signal, then drains it.
func runEntry(ctx context.Context, call *invocation) (err error) {
	flags := call.flags
	name := flags.Name("name", "", "name of this entry")
	zone := flags.Name("availability-zone", "zone1", "availability zone of this entry")
	region := flags.Name("region", "region1", "region of this entry")
	listen := flags.Address("listen", "127.0.0.1:7101", "address for callers")
	agentsListen := flags.Address("agents-listen", "127.0.0.1:7201", "address that agents and peers dial")
	adminListen := flags.Address("admin-listen", "127.0.0.1:7301", "address for liveness, readiness and metrics")
	logURL := flags.URL("log", defaultLog, "URL of the platform's log")
	peers := flags.Addresses("peers", "agents-listen addresses of other entries")
	placement := ptsetting.Choice(flags, "placement", "how an upstream is chosen", ptplace.Leases, ptplace.Random, ptplace.TwoChoices, ptplace.LeastKnownLoad)
	order := ptsetting.Choice(flags, "order", "which job of a team goes first", ptorder.FirstCome, ptorder.EarliestDeadline, ptorder.FewestRemaining)
	maxQueued := flags.BoundedInt("max-queued", ptcluster.DefaultMaxQueued, 1, mostQueued, "most waiting tasks of a service")
	maxBody := flags.BoundedInt("max-body", ptcluster.DefaultMaxBodyBytes, 1, largestBody, "largest request in bytes")
	keepBytes := flags.BoundedInt("keep-bytes", ptcluster.DefaultMaxRetainedAnswerBytes, 0, largestBody, "bytes of answers of ended jobs that are kept to be asked for")
	retention := flags.BoundedDuration("log-retention", ptcluster.DefaultRetention, time.Second, 1000*time.Hour, "how long the log keeps records")
	delay := flags.BoundedDuration("shutdown-delay", defaultShutdown, 0, 10*time.Minute, "how long to serve on after becoming unready")
	trace := flags.String("trace", "off", "where spans go: off, stdout or otlp:http://IP:PORT")
	seed := flags.Uint64("seed", 0, "seed of the random choices; zero takes one from the clock")
	flags.Require("name")
	if err := call.parse(); err != nil {
		return err
	}
	debug.SetGCPercent(controlGCPercent)
	if *seed == 0 {
		*seed = uint64(time.Now().UnixNano())
	}
	logger, metrics := call.logger("entry"), ptmetric.New()
	tracer, stopTracer, err := pttrace.New(ctx, *trace, "entry", *name)
	if err != nil {
		return usageError{err}
	}
	defer flush(stopTracer)
	entry := ptentry.New(ptentry.Setting{
		Name: ptid.EntryName(*name), Zone: ptid.Zone(*zone), Region: ptid.Region(*region),
		AgentsListen: *agentsListen, Peers: *peers,
		Placement: *placement, Order: *order, MaxQueued: *maxQueued, MaxRetainedAnswerBytes: int64(*keepBytes),
		LogRetention: *retention, ShutdownDelay: *delay, Seed: *seed,
	}, ptentry.Dependencies{Log: logger, Metrics: metrics, Tracer: tracer, Clock: ptid.NewClock(), Store: ptlog.New(*logURL)})
	front := ptfront.New(entry, ptfront.Setting{MaxBodyBytes: *maxBody}, tracer, metrics, logger)
	return serveEntry(ctx, entry, front, ptadmin.New(metrics, entry.Ready, nil), *listen, *adminListen)
}

// serveEntry runs the parts of an entry; the listeners close after it has drained.
func serveEntry(ctx context.Context, entry *ptentry.Entry, front *ptfront.Server, admin *ptadmin.Server, listen, adminListen string) (err error) {
	callers, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	administration, err := net.Listen("tcp", adminListen)
	if err != nil {
		return errors.Wrap(err, "listen for the admin interface")
	}
	var group errgroup.Group
	group.Go(func() error { return front.Serve(callers) })
	group.Go(func() error { return admin.Serve(administration) })
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

func flush(stop func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = stop(ctx)
}

// runAgent runs an agent until a signal, then drains it.
func runAgent(ctx context.Context, call *invocation) (err error) {
	flags := call.flags
	name := flags.Name("name", "", "name of this agent and its upstream")
	zone := flags.Name("availability-zone", "zone1", "availability zone of this agent")
	region := flags.Name("region", "region1", "region of this agent")
	service := flags.Name("service", "", "service that the upstream offers")
	slots := flags.BoundedInt("slots", 8, 1, 1<<16, "tasks that the upstream runs at once")
	ahead := flags.BoundedInt("ahead", ptcluster.DefaultPrefetch, 0, 1<<16, "tasks that may wait at the agent beyond the slots")
	moveAfter := flags.BoundedDuration("move-after", ptcluster.DefaultMoveThreshold, 0, time.Minute, "advantage in age from which a slot moves to another entry")
	processors := flags.BoundedInt("processors", agentProcessors, 1, 1024, "threads that run at once; more cost processor time for each task")
	recall := flags.Bool("recall", false, "take back idle leases of entries while another one waits; costs messages")
	upstream := flags.URL("upstream", "", "URL of the upstream")
	entries := flags.Addresses("entries", "agents-listen addresses of entries")
	adminListen := flags.Address("admin-listen", "127.0.0.1:0", "address for liveness, readiness, metrics and the request to dial anew")
	logURL := flags.URL("log", defaultLog, "URL of the platform's log")
	maxAnswer := flags.BoundedInt("max-answer", ptcluster.DefaultMaxAnswerBytes, 1, largestBody, "largest answer in bytes")
	trace := flags.String("trace", "off", "where spans go: off, stdout or otlp:http://IP:PORT")
	flags.Require("name", "service", "upstream")
	if err := call.parse(); err != nil {
		return err
	}
	debug.SetGCPercent(controlGCPercent)
	runtime.GOMAXPROCS(*processors)
	logger := call.logger("agent")
	tracer, stopTracer, err := pttrace.New(ctx, *trace, "agent", *name)
	if err != nil {
		return usageError{err}
	}
	defer flush(stopTracer)
	presence := ptpresence.New(ptlog.New(*logURL), logger)
	agent, err := ptagent.New(ptagent.Setting{
		Name: ptid.AgentName(*name), Zone: ptid.Zone(*zone), Region: ptid.Region(*region), Service: ptid.ServiceName(*service),
		Upstream: *upstream, Entries: *entries, AdminListen: *adminListen, MaxAnswerBytes: *maxAnswer,
		Lease: ptlease.Setting{Slots: *slots, Prefetch: *ahead, MoveThreshold: *moveAfter, Recall: *recall},
	}, ptagent.Dependencies{
		Log: logger, Metrics: ptmetric.New(), Tracer: tracer, Clock: ptid.NewClock(),
		Discover: func() []string {
			ctx, cancel := context.WithTimeout(ctx, presenceTimeout)
			defer cancel()
			_ = presence.Refresh(ctx)
			return presence.Addresses()
		},
	})
	if err != nil {
		return err
	}
	return agent.Run(ctx)
}

// runStandin runs one of the stand-ins until a signal.
func runStandin(ctx context.Context, call *invocation) (err error) {
	kinds := map[string]func() standin{
		"log":      func() standin { return ptstandin.NewLog() },
		"upstream": func() standin { return ptstandin.NewUpstream() },
	}
	if len(call.arguments) == 0 || kinds[call.arguments[0]] == nil {
		return usageError{errors.New("want: standin log, or standin upstream")}
	}
	kind := call.arguments[0]
	call.arguments = call.arguments[1:]
	listen := call.flags.Address("listen", "127.0.0.1:7000", "address to serve")
	faults := call.flags.String("faults", "", "switches as JSON, as for POST /v1/faults")
	if err := call.parse(); err != nil {
		return err
	}
	served := kinds[kind]()
	if err := applyFaults(served, *faults); err != nil {
		return usageError{err}
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return errors.Wrapf(err, "listen for the stand-in of the %s", kind)
	}
	call.logger("standin").Info("stand-in started", "kind", kind, "listen", listener.Addr().String())
	var group errgroup.Group
	group.Go(func() error { return served.Serve(listener) })
	group.Go(func() error {
		<-ctx.Done()
		return served.Shutdown()
	})
	return group.Wait()
}

// standin is what both stand-ins have in common.
type standin interface {
	Serve(listener net.Listener) error
	Shutdown() error
}
