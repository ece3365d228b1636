// Package ptcluster runs the whole path in one process on loopback: the stand-in
// of the log, entries with their fronts, agents and stand-ins of upstreams.
//
// The demo, the load tool and tests use it. Every part is the one that runs as a
// process of its own; only the wiring is here.
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

// Defaults of what entries and agents are started with, here and on the command line.
const (
	DefaultMaxBody                = 8 << 20
	DefaultMaxAnswer              = 16 << 20
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

// Setting says what is started.
type Setting struct {
	Entries       int
	Agents        int
	Slots         int
	Prefetch      int
	MoveThreshold time.Duration
	Recall        bool
	Service       ptid.ServiceName
	// Services names the service of each agent, in turn; Service is used where it is empty.
	Services  []ptid.ServiceName
	Zones     []ptid.Zone
	Placement ptplace.Policy
	Order     ptorder.Order
	MaxQueued int
	Retention time.Duration
	Seed      uint64
	Log       logr.Logger
	// Tracer makes the spans of all parts; nil makes none.
	Tracer *pttrace.Tracer
	// Relay returns the address under which an agent reaches an entry, for tests
	// with something in between; nil means directly.
	Relay func(agentsAddress string) string
}

// Entry is an entry with its front.
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

// URL returns where callers reach the entry.
func (entry *Entry) URL() string { return "http://" + entry.CallersAddress }

// Agent is an agent with the stand-in of its upstream.
type Agent struct {
	Name     ptid.AgentName
	Agent    *ptagent.Agent
	Upstream *ptstandin.Upstream
	Metrics  *ptmetric.Set
	URL      string
	cancel   context.CancelFunc
	done     chan error
}

// Cluster is the running whole.
type Cluster struct {
	setting  Setting
	Log      *ptstandin.Log
	LogURL   string
	Entries  []*Entry
	Agents   []*Agent
	Client   *http.Client
	shutdown []func()
}

// Start starts everything and waits until every agent has a session with every entry.
func Start(setting Setting) (cluster *Cluster, err error) {
	defer func() { err = errors.Wrap(err, "start a cluster") }()
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

// AddEntry starts one more entry.
func (cluster *Cluster) AddEntry(name string) (started *Entry, err error) {
	return cluster.StartEntry(name, loopback)
}

// StartEntry starts an entry whose agents dial a given address.
func (cluster *Cluster) StartEntry(name, agents string) (started *Entry, err error) {
	listener, err := net.Listen("tcp", agents)
	if err != nil {
		return nil, errors.Wrap(err, "listen for agents")
	}
	agents = listener.Addr().String()
	callers, err := net.Listen("tcp", loopback)
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
		AgentsListen: agents, Peers: peers, Placement: setting.Placement, Order: setting.Order,
		MaxQueued: setting.MaxQueued, MaxRetainedAnswerBytes: DefaultMaxRetainedAnswerBytes, LogRetention: setting.Retention,
		Seed: setting.Seed + uint64(index),
	}, ptentry.Dependencies{
		Log: setting.Log.WithName(name), Metrics: metrics, Clock: ptid.NewClock(), Store: ptlog.New(cluster.LogURL), Tracer: setting.Tracer,
	})
	ctx, cancel := context.WithCancel(context.Background())
	started = &Entry{
		Name: ptid.EntryName(name), Entry: entry, Metrics: metrics, CallersAddress: callers.Addr().String(), AgentsAddress: agents,
		front:  ptfront.New(entry, ptfront.Setting{MaxBodyBytes: DefaultMaxBody}, setting.Tracer, metrics, setting.Log),
		cancel: cancel, done: make(chan error, 1),
	}
	go func() { _ = started.front.Serve(callers) }()
	go func() { started.done <- entry.RunOnListener(ctx, listener) }()
	cluster.Entries = append(cluster.Entries, started)
	return started, nil
}

// Stop shuts an entry down as SIGTERM does and waits for its end.
func (entry *Entry) Stop() (err error) {
	entry.cancel()
	err = <-entry.done
	_ = entry.front.Shutdown()
	return err
}

// AddAgent starts one more agent with a stand-in of its upstream.
func (cluster *Cluster) AddAgent(name string) (started *Agent, err error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "listen for an upstream")
	}
	upstream := ptstandin.NewUpstream()
	go func() { _ = upstream.Serve(listener) }()
	return cluster.StartAgent(name, upstream, "http://"+listener.Addr().String())
}

// StartAgent starts an agent beside a running upstream.
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
		Upstream: url, Entries: entries, AdminListen: loopback, MaxAnswerBytes: DefaultMaxAnswer,
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

// Stop shuts an agent down as SIGTERM does and waits for its end.
func (agent *Agent) Stop() (err error) {
	agent.cancel()
	return <-agent.done
}

// WaitSessions waits until every entry has sessions with a number of agents.
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

// Poll waits until a condition holds.
func Poll(timeout time.Duration, holds func() bool) (err error) {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(pollInterval) {
		if holds() {
			return nil
		}
	}
	return errors.Errorf("not within %s", timeout)
}

// Apply publishes declarations and waits until every entry has them in force.
func (cluster *Cluster) Apply(ctx context.Context, set ptprofile.Declarations) (err error) {
	log := ptlog.New(cluster.LogURL)
	reader, err := ptfollow.Load(ctx, log)
	if err != nil {
		return err
	}
	change := &ptconfig.Change{ID: ptconfig.NewChangeID(), BasedOn: reader.State().Revision, Set: set}
	decided, err := ptfollow.Apply(ctx, log, reader, change)
	if err != nil {
		return err
	}
	if !decided.Accepted {
		return errors.Errorf("conflict in %v", decided.Conflicts)
	}
	return Poll(startTimeout, func() bool {
		for _, entry := range cluster.Entries {
			if entry.Entry.Revision() < decided.Revision {
				return false
			}
		}
		return true
	})
}

// Stop ends everything: entries first, so that agents can deliver.
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
