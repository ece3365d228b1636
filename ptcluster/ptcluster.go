// Package ptcluster runs a complete cluster in one process on loopback addresses: a test
// double of the log, entries with their HTTP front ends, agents, and test doubles of the
// upstreams.
//
// It is used by the demo, the load tool and tests. Entries and agents run the same code as in
// separate processes; this package only connects them.
//
// # Usage
//
//	cluster, err := ptcluster.Start(ptcluster.Setting{Entries: 2, Agents: 3, Slots: 8})
//	defer cluster.Stop()
//	err = cluster.Apply(ctx, declarations)
//	url := cluster.Entries[0].URL()
package ptcluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/primrosetiller/primrosetiller/ptagent"
	"github.com/primrosetiller/primrosetiller/ptconfig"
	"github.com/primrosetiller/primrosetiller/ptentry"
	"github.com/primrosetiller/primrosetiller/ptfollow"
	"github.com/primrosetiller/primrosetiller/ptfront"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlease"
	"github.com/primrosetiller/primrosetiller/ptlog"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptorder"
	"github.com/primrosetiller/primrosetiller/ptplace"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptstandin"
	"github.com/primrosetiller/primrosetiller/pttrace"
)

// Default settings of entries and agents, also used as defaults of the command-line flags. The
// flags of DefaultPrefetch, DefaultMoveThreshold and DefaultMaxRetainedAnswerBytes are ahead,
// move-after and keep-bytes.
const (
	DefaultMaxBodyBytes           = 8 << 20
	DefaultMaxAnswerBytes         = 16 << 20
	DefaultMaxQueued              = 50_000
	DefaultMaxRetainedAnswerBytes = 8 << 20
	DefaultRetention              = 24 * time.Hour
	DefaultPrefetch               = 8
	DefaultMoveThreshold          = 20 * time.Millisecond
)

const (
	loopback     = "127.0.0.1:0"
	startTimeout = 10 * time.Second
	pollInterval = 10 * time.Millisecond
)

// Setting configures a cluster. Entries and Agents are the numbers of entries and agents to
// start.
type Setting struct {
	Entries       int
	Agents        int
	Slots         int
	Prefetch      int
	MoveThreshold time.Duration
	Recall        bool
	Service       ptid.ServiceName
	// Services are the services of the agents, assigned in rotation. If the list is empty,
	// Service is used for all agents.
	Services  []ptid.ServiceName
	Zones     []ptid.Zone
	Placement ptplace.Policy
	Order     ptorder.Order
	MaxQueued int
	Retention time.Duration
	Seed      uint64
	Log       logr.Logger
	// Tracer creates the spans of all components; nil disables tracing.
	Tracer *pttrace.Tracer
	// Relay returns the address at which agents dial the entry with the given address. Tests
	// use it to insert a relay. If it is nil, agents dial the entry directly.
	Relay func(agentsAddress string) string
}

// Entry is a running entry with its HTTP front end.
type Entry struct {
	Name           ptid.EntryName
	Entry          *ptentry.Entry
	Metrics        *ptmetric.Set
	CallersAddress string
	AgentsAddress  string
	front          *ptfront.Server
	cancel         context.CancelFunc
	done           chan error
}

// URL returns the base URL for callers.
func (entry *Entry) URL() string { return "http://" + entry.CallersAddress }

// Agent is a running agent with the test double of its upstream. URL is the base URL of the
// upstream.
type Agent struct {
	Name     ptid.AgentName
	Agent    *ptagent.Agent
	Upstream *ptstandin.Upstream
	Metrics  *ptmetric.Set
	URL      string
	cancel   context.CancelFunc
	done     chan error
}

// Cluster is a running cluster.
type Cluster struct {
	setting  Setting
	Log      *ptstandin.Log
	LogURL   string
	Entries  []*Entry
	Agents   []*Agent
	Client   *http.Client
	shutdown []func()
}

// Start starts a cluster and waits until every agent has a session with every entry.
func Start(setting Setting) (cluster *Cluster, err error) {
	defer func() { err = errors.Wrap(err, "start cluster") }()
	cluster = &Cluster{setting: setting.withDefaults(), Client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxConnsPerHost: 0},
	}}
	if err := cluster.startLog(); err != nil {
		return nil, err
	}
	for i := range setting.Entries {
		if _, err := cluster.AddEntry(fmt.Sprintf("entry%d", i+1)); err != nil {
			cluster.Stop()
			return nil, err
		}
	}
	for i := range setting.Agents {
		if _, err := cluster.AddAgent(fmt.Sprintf("upstream%d", i+1)); err != nil {
			cluster.Stop()
			return nil, err
		}
	}
	if err := cluster.WaitSessions(setting.Agents); err != nil {
		cluster.Stop()
		return nil, err
	}
	return cluster, nil
}

func (setting Setting) withDefaults() Setting {
	if setting.Placement == "" {
		setting.Placement = ptplace.Leases
	}
	if setting.Order == "" {
		setting.Order = ptorder.FirstCome
	}
	if setting.Service == "" {
		setting.Service = "service"
	}
	if len(setting.Zones) == 0 {
		setting.Zones = []ptid.Zone{"zone1"}
	}
	if setting.MaxQueued == 0 {
		setting.MaxQueued = DefaultMaxQueued
	}
	if setting.Retention == 0 {
		setting.Retention = DefaultRetention
	}
	if setting.MoveThreshold == 0 {
		setting.MoveThreshold = DefaultMoveThreshold
	}
	if setting.Log.GetSink() == nil {
		setting.Log = logr.Discard()
	}
	return setting
}

func (cluster *Cluster) startLog() (err error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "listen for the log")
	}
	cluster.Log, cluster.LogURL = ptstandin.NewLog(), "http://"+listener.Addr().String()
	go func() { _ = cluster.Log.Serve(listener) }()
	cluster.shutdown = append(cluster.shutdown, func() { _ = cluster.Log.Shutdown() })
	return nil
}

// AddEntry starts another entry.
func (cluster *Cluster) AddEntry(name string) (started *Entry, err error) {
	return cluster.StartEntry(name, loopback)
}

// StartEntry starts an entry that listens for agents on the given address.
func (cluster *Cluster) StartEntry(name, agentsAddress string) (started *Entry, err error) {
	listener, err := net.Listen("tcp", agentsAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for agents")
	}
	agentsAddress = listener.Addr().String()
	callersListener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	setting := cluster.setting
	index := len(cluster.Entries)
	peers := make([]string, 0, index)
	for _, other := range cluster.Entries {
		peers = append(peers, other.AgentsAddress)
	}
	metrics := ptmetric.New()
	entry := ptentry.New(ptentry.Setting{
		Name: ptid.EntryName(name), Zone: setting.Zones[index%len(setting.Zones)], Region: "region1",
		AgentsListen: agentsAddress, Peers: peers, Placement: setting.Placement, Order: setting.Order,
		MaxQueued: setting.MaxQueued, MaxRetainedAnswerBytes: DefaultMaxRetainedAnswerBytes, LogRetention: setting.Retention,
		Seed: setting.Seed + uint64(index),
	}, ptentry.Dependencies{
		Log: setting.Log.WithName(name), Metrics: metrics, Clock: ptid.NewClock(), Store: ptlog.New(cluster.LogURL), Tracer: setting.Tracer,
	})
	ctx, cancel := context.WithCancel(context.Background())
	started = &Entry{
		Name: ptid.EntryName(name), Entry: entry, Metrics: metrics, CallersAddress: callersListener.Addr().String(), AgentsAddress: agentsAddress,
		front:  ptfront.New(entry, ptfront.Setting{MaxBodyBytes: DefaultMaxBodyBytes}, setting.Tracer, metrics, setting.Log),
		cancel: cancel, done: make(chan error, 1),
	}
	go func() { _ = started.front.Serve(callersListener) }()
	go func() { started.done <- entry.RunOnListener(ctx, listener) }()
	cluster.Entries = append(cluster.Entries, started)
	return started, nil
}

// Stop shuts the entry down like SIGTERM and waits until it has stopped.
func (entry *Entry) Stop() (err error) {
	entry.cancel()
	err = <-entry.done
	_ = entry.front.Shutdown()
	return err
}

// AddAgent starts another agent with a test double of its upstream.
func (cluster *Cluster) AddAgent(name string) (started *Agent, err error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "listen for an upstream")
	}
	upstream := ptstandin.NewUpstream()
	go func() { _ = upstream.Serve(listener) }()
	return cluster.StartAgent(name, upstream, "http://"+listener.Addr().String())
}

// StartAgent starts an agent for a running upstream.
func (cluster *Cluster) StartAgent(name string, upstream *ptstandin.Upstream, url string) (started *Agent, err error) {
	setting, index := cluster.setting, len(cluster.Agents)
	service := setting.Service
	if len(setting.Services) > 0 {
		service = setting.Services[index%len(setting.Services)]
	}
	entries := make([]string, 0, len(cluster.Entries))
	for _, entry := range cluster.Entries {
		address := entry.AgentsAddress
		if setting.Relay != nil {
			address = setting.Relay(address)
		}
		entries = append(entries, address)
	}
	metrics := ptmetric.New()
	agent, err := ptagent.New(ptagent.Setting{
		Name: ptid.AgentName(name), Zone: setting.Zones[index%len(setting.Zones)], Region: "region1", Service: service,
		Upstream: url, Entries: entries, AdminListen: loopback, MaxAnswerBytes: DefaultMaxAnswerBytes,
		Lease: ptlease.Setting{Slots: setting.Slots, Prefetch: setting.Prefetch, MoveThreshold: setting.MoveThreshold, Recall: setting.Recall},
	}, ptagent.Dependencies{Log: setting.Log.WithName(name), Metrics: metrics, Clock: ptid.NewClock(), Tracer: setting.Tracer})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	started = &Agent{
		Name: ptid.AgentName(name), Agent: agent, Upstream: upstream, Metrics: metrics, URL: url,
		cancel: cancel, done: make(chan error, 1),
	}
	go func() { started.done <- agent.Run(ctx) }()
	cluster.Agents = append(cluster.Agents, started)
	return started, nil
}

// Stop shuts the agent down like SIGTERM and waits until it has stopped.
func (agent *Agent) Stop() (err error) {
	agent.cancel()
	return <-agent.done
}

// WaitSessions waits until every entry has sessions with at least the given number of agents.
func (cluster *Cluster) WaitSessions(agents int) (err error) {
	return Poll(startTimeout, func() bool {
		for _, entry := range cluster.Entries {
			if entry.Entry.Sessions() < agents {
				return false
			}
		}
		return true
	})
}

// Poll waits until a condition holds. It returns an error after timeout.
func Poll(timeout time.Duration, holds func() bool) (err error) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if holds() {
			return nil
		}
	}
	return errors.Errorf("condition not met within %s", timeout)
}

// Apply publishes declarations and waits until every entry has applied them.
func (cluster *Cluster) Apply(ctx context.Context, set ptprofile.Declarations) (err error) {
	log := ptlog.New(cluster.LogURL)
	reader, err := ptfollow.Load(ctx, log)
	if err != nil {
		return err
	}
	change := &ptconfig.Change{ID: ptconfig.NewChangeID(), BasedOn: reader.State().Revision, Set: set}
	decision, err := ptfollow.Apply(ctx, log, reader, change)
	if err != nil {
		return err
	}
	if !decision.Accepted {
		return errors.Errorf("change refused because of conflicts in %v", decision.Conflicts)
	}
	return Poll(startTimeout, func() bool {
		for _, entry := range cluster.Entries {
			if entry.Entry.Revision() < decision.Revision {
				return false
			}
		}
		return true
	})
}

// Stop starts the shutdown of all entries and agents, without waiting for its end, and shuts
// the log down.
func (cluster *Cluster) Stop() {
	var group errgroup.Group
	for _, entry := range cluster.Entries {
		group.Go(func() error { entry.cancel(); return nil })
	}
	for _, agent := range cluster.Agents {
		group.Go(func() error { agent.cancel(); return nil })
	}
	_ = group.Wait()
	for _, shutdown := range cluster.shutdown {
		shutdown()
	}
	cluster.Client.CloseIdleConnections()
}
