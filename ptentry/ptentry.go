// Package ptentry implements the entry process. An entry accepts jobs from callers, queues and
// places their tasks, and assembles the answers.
//
// # How it works
//
//  1. A submission becomes a job (package ptjob). The ID of the job contains the incarnation
//     of the entry process. Jobs are held in a table that is sharded by job ID.
//  2. Each service has one scheduler (package ptsched), which is guarded by one lock. Posting
//     a message under this lock only appends it to a frame; the goroutines of the sessions
//     write the frames.
//  3. The configuration is an immutable state behind an atomic pointer.
//  4. A dispatched task is placed again only after its agent has refused or sealed the
//     attempt. A refused or sealed attempt never starts. When the entry queries the state of an
//     attempt that has not started, the agent seals the attempt. The end of a session does
//     not change the state of its tasks: in the next session with the agent, the entry queries
//     the state of these tasks.
//  5. When a new incarnation of an agent joins, or the deadline of a job passes, dispatched
//     tasks without an answer get the state unknown.
//
// Files: submit.go admits jobs, record.go deduplicates submissions, service.go executes the
// decisions of the schedulers, session.go serves agents, peers.go queries other entries,
// quota.go claims shares of quotas, configuration.go exchanges the configuration, jobs.go holds
// the job table, run.go starts and stops the entry.
//
// # Usage
//
//	entry := ptentry.New(setting, dependencies)
//	err := entry.Run(ctx) // returns after all jobs have ended
package ptentry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/primrosetiller/primrosetiller/ptclaim"
	"github.com/primrosetiller/primrosetiller/ptconfig"
	"github.com/primrosetiller/primrosetiller/ptfollow"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlog"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptorder"
	"github.com/primrosetiller/primrosetiller/ptplace"
	"github.com/primrosetiller/primrosetiller/ptpresence"
	"github.com/primrosetiller/primrosetiller/ptquota"
	"github.com/primrosetiller/primrosetiller/ptsched"
	"github.com/primrosetiller/primrosetiller/pttrace"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// Setting holds the settings of an entry.
type Setting struct {
	Name                   ptid.EntryName
	Zone                   ptid.Zone
	Region                 ptid.Region
	AgentsListen           string
	Peers                  []string
	Placement              ptplace.Policy
	Order                  ptorder.Order
	MaxQueued              int
	MaxRetainedAnswerBytes int64
	LogRetention           time.Duration
	// ShutdownDelay is how long the entry continues to accept jobs after it has become unready.
	ShutdownDelay time.Duration
	Seed          uint64
}

// Dependencies are the external interfaces of an entry.
type Dependencies struct {
	Log     logr.Logger
	Metrics *ptmetric.Set
	Tracer  *pttrace.Tracer
	Clock   *ptid.Clock
	Store   ptlog.Log
}

// counters holds the metrics that are updated for each message, so that the metric set is not
// searched each time.
type counters struct {
	dispatch, answer, refusal, seal, demand, grant, recall, cancel *metrics.Counter
	wasted                                                         map[string]*metrics.Counter
	control                                                        map[string]*metrics.Counter
	lateMessages, retries                                          *metrics.Counter
	queueTime                                                      *metrics.Histogram
}

// Values of the metric label "kind" for task messages.
const (
	kindDispatch = "dispatch"
	kindAnswer   = "answer"
	kindRefusal  = "refusal"
	kindSeal     = "seal"
	kindDemand   = "demand"
	kindGrant    = "grant"
	kindRecall   = "recall"
	kindCancel   = "cancel"
)

// Values of the metric label "kind" for control messages.
const (
	controlAck           = "acknowledgement"
	controlHeartbeat     = "heartbeat"
	controlGreeting      = "greeting"
	controlConfiguration = "configuration"
	controlQuota         = "quota"
)

func newCounters(set *ptmetric.Set) counters {
	message := func(kind string) *metrics.Counter { return set.Counter(ptmetric.TaskMessages, "kind", kind) }
	created := counters{
		dispatch: message(kindDispatch), answer: message(kindAnswer), refusal: message(kindRefusal),
		seal: message(kindSeal), demand: message(kindDemand), grant: message(kindGrant),
		recall: message(kindRecall), cancel: message(kindCancel),
		wasted: make(map[string]*metrics.Counter), control: make(map[string]*metrics.Counter),
		lateMessages: set.Counter(ptmetric.LateFrames), retries: set.Counter(ptmetric.Retries),
		queueTime: set.Histogram(ptmetric.QueueSeconds),
	}
	for _, kind := range []string{kindDispatch, kindAnswer, kindRefusal, kindSeal, kindRecall, kindCancel} {
		created.wasted[kind] = set.Counter(ptmetric.WastedMessages, "kind", kind)
	}
	for _, kind := range []string{controlAck, controlHeartbeat, controlGreeting, controlConfiguration, controlQuota} {
		created.control[kind] = set.Counter(ptmetric.ControlMessages, "kind", kind)
	}
	return created
}

// Entry is the entry process. It is safe for concurrent use.
type Entry struct {
	setting       Setting
	deps          Dependencies
	incarnation   ptid.Incarnation
	sequence      atomic.Uint64
	follower      *ptfollow.Follower
	claimer       *ptclaim.Claimer
	jobs          *jobTable
	limiter       *ptquota.Limiter
	count         counters
	notRunJobs    notRunJobs
	pendingClaims pendingClaims
	// unready makes the readiness check fail, so that the load balancer stops sending jobs.
	// draining refuses jobs that still arrive.
	unready  atomic.Bool
	draining atomic.Bool
	peers    *peerDirectory
	presence *ptpresence.Registry

	// agentCount is the number of agentSessions. It is read for each frame, without the lock.
	agentCount atomic.Int64
	// encodedConfiguration caches the result of configurationMessage for one revision.
	encodedConfiguration atomic.Pointer[ptwire.Configuration]

	// services is copied and replaced when a service is added, so that reads need no lock.
	services atomic.Pointer[map[ptid.ServiceName]*serviceScheduler]

	mu     sync.Mutex
	agents map[ptid.AgentName]*agentSession
	// coordinators maps the accounts of quotas to the agents that coordinate them. It is
	// recomputed when coordinatorsStale is set, that is, after agents have been added or
	// removed.
	coordinators      map[ptquota.Account]ptid.AgentName
	coordinatorsStale bool
	// sentEntries is the list of live entries that was last sent to the agents. Only the
	// goroutine of maintainPeers uses it.
	sentEntries string
}

// New returns an entry. It does not serve until Run is called.
func New(setting Setting, deps Dependencies) *Entry {
	entry := &Entry{
		setting: setting, deps: deps, incarnation: ptid.NewIncarnation(time.Now()),
		jobs: newJobTable(setting.MaxRetainedAnswerBytes), limiter: ptquota.NewLimiter(), count: newCounters(deps.Metrics),
		agents: make(map[ptid.AgentName]*agentSession), coordinators: make(map[ptquota.Account]ptid.AgentName),
		peers: newPeerDirectory(setting.Peers, deps.Metrics), presence: ptpresence.New(deps.Store, deps.Log),
	}
	entry.services.Store(&map[ptid.ServiceName]*serviceScheduler{})
	entry.follower = ptfollow.New(deps.Store, setting.LogRetention, deps.Log, deps.Metrics, entry.applyConfiguration)
	entry.claimer = ptclaim.New(deps.Store, setting.Name, deps.Log, deps.Metrics)
	entry.registerGauges()
	return entry
}

func (entry *Entry) registerGauges() {
	sum := func(name ptmetric.Name, read func(service *serviceScheduler) int) {
		entry.deps.Metrics.Gauge(name, func() float64 {
			total := 0
			for _, service := range *entry.services.Load() {
				service.mu.Lock()
				total += read(service)
				service.mu.Unlock()
			}
			return float64(total)
		})
	}
	sum(ptmetric.QueuedTasks, func(service *serviceScheduler) int { return service.core.Scheduler().WaitingTasks() })
	sum(ptmetric.SentTasks, func(service *serviceScheduler) int { return service.core.Scheduler().OutstandingTasks() })
	sum(ptmetric.Slots, func(service *serviceScheduler) int { return service.core.Scheduler().Slots() })
	sum(ptmetric.Quarantined, func(service *serviceScheduler) int { return service.core.Scheduler().QuarantinedCount() })
	entry.deps.Metrics.Gauge(ptmetric.OpenJobs, func() float64 { return float64(entry.jobs.open()) })
	entry.deps.Metrics.Gauge(ptmetric.Sessions, func() float64 {
		entry.mu.Lock()
		defer entry.mu.Unlock()
		return float64(len(entry.agents))
	})
}

// service returns the scheduler of a service, and creates it if it does not exist.
func (entry *Entry) service(name ptid.ServiceName) *serviceScheduler {
	if found := (*entry.services.Load())[name]; found != nil {
		return found
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	current := *entry.services.Load()
	if found := current[name]; found != nil {
		return found
	}
	next := make(map[ptid.ServiceName]*serviceScheduler, len(current)+1)
	for known, service := range current {
		next[known] = service
	}
	created := newServiceScheduler(entry, name, ptsched.Setting{
		Placement: entry.setting.Placement, Order: entry.setting.Order,
		MaxQueued: entry.setting.MaxQueued, Seed: entry.setting.Seed,
	})
	next[name] = created
	entry.services.Store(&next)
	return created
}

// applyConfiguration applies a new configuration to the quota limits and to all agents.
func (entry *Entry) applyConfiguration(state *ptconfig.State) {
	for name, profile := range state.Profiles {
		entry.limiter.SetLimit(ptquota.ProfileAccount(name), profile.MaxRunning)
	}
	for _, profile := range state.Profiles {
		entry.limiter.SetLimit(ptquota.TeamAccount(profile.Team), state.TeamMaxRunning(profile.Team))
	}
	for _, agent := range entry.allAgents() {
		agent.applyConfiguration(state)
	}
}

func (entry *Entry) allAgents() (agents []*agentSession) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	agents = make([]*agentSession, 0, len(entry.agents))
	for _, agent := range entry.agents {
		agents = append(agents, agent)
	}
	return agents
}

// Ready reports whether the entry can accept jobs: it has a configuration, at least one
// upstream is usable, and the entry is not shutting down.
func (entry *Entry) Ready() bool {
	if entry.unready.Load() || entry.follower.State().Revision == 0 {
		return false
	}
	now := entry.deps.Clock.Now()
	for _, service := range *entry.services.Load() {
		service.mu.Lock()
		usable := service.core.Scheduler().UsableCount(now)
		service.mu.Unlock()
		if usable > 0 {
			return true
		}
	}
	return false
}

// Sessions returns the number of agents that have a session with the entry.
func (entry *Entry) Sessions() int {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return len(entry.agents)
}

// Revision returns the revision of the configuration in force.
func (entry *Entry) Revision() ptid.Revision { return entry.follower.State().Revision }

// Incarnation returns the incarnation of this process. The IDs of its jobs contain it.
func (entry *Entry) Incarnation() ptid.Incarnation { return entry.incarnation }

// OpenJobs returns the number of jobs that have not ended.
func (entry *Entry) OpenJobs() int64 { return entry.jobs.open() }
