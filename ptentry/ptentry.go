// Package ptentry is the process that takes jobs, orders and places their tasks,
// and puts the answers together.
//
// # How it works
//
//  1. A submission becomes a job (package ptjob) with an id of this incarnation. Its
//     state lives in a table sharded by job.
//  2. For each service there is one scheduler (package ptsched) behind one lock.
//     Messages are posted under it, which only appends them to a frame; they are
//     written by the sessions' own goroutines.
//  3. Configuration is an immutable state behind an atomic pointer.
//  4. A task that was sent is placed again only after a refusal or a seal. The end
//     of a session changes nothing: the next one asks what became of the tasks.
//  5. A new incarnation of an agent, and the deadline of a job, make sent tasks
//     unknown.
//
// Files: submit.go takes jobs in, service.go places their tasks, session.go serves
// agents, peers.go asks other entries, run.go starts and stops.
//
// # Usage
//
//	entry, err := ptentry.New(setting, dependencies)
//	err = entry.Run(ctx) // returns after all jobs have ended
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

// Setting is what an operator chooses for an entry.
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
	// ShutdownDelay is how long the entry serves on after it has become unready.
	ShutdownDelay time.Duration
	Seed          uint64
}

// Dependencies are the adapters of an entry.
type Dependencies struct {
	Log     logr.Logger
	Metrics *ptmetric.Set
	Tracer  *pttrace.Tracer
	Clock   *ptid.Clock
	Store   ptlog.Log
}

// counters are looked up once.
type counters struct {
	dispatch, answer, refusal, seal, demand, grant, recall, cancel *metrics.Counter
	wasted                                                         map[string]*metrics.Counter
	control                                                        map[string]*metrics.Counter
	late, retries                                                  *metrics.Counter
	queueTime                                                      *metrics.Histogram
}

// Kinds of task messages.
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

// Kinds of control messages.
const (
	controlAck           = "acknowledgement"
	controlHeartbeat     = "heartbeat"
	controlGreeting      = "greeting"
	controlConfiguration = "configuration"
	controlQuota         = "quota"
)

func newCounters(set *ptmetric.Set) counters {
	message := func(kind string) *metrics.Counter { return set.Counter(ptmetric.TaskMessages, "kind", kind) }
	found := counters{
		dispatch: message(kindDispatch), answer: message(kindAnswer), refusal: message(kindRefusal),
		seal: message(kindSeal), demand: message(kindDemand), grant: message(kindGrant),
		recall: message(kindRecall), cancel: message(kindCancel),
		wasted: make(map[string]*metrics.Counter), control: make(map[string]*metrics.Counter),
		late: set.Counter(ptmetric.LateFrames), retries: set.Counter(ptmetric.Retries),
		queueTime: set.Histogram(ptmetric.QueueSeconds),
	}
	for _, kind := range []string{kindDispatch, kindAnswer, kindRefusal, kindSeal, kindRecall, kindCancel} {
		found.wasted[kind] = set.Counter(ptmetric.WastedMessages, "kind", kind)
	}
	for _, kind := range []string{controlAck, controlHeartbeat, controlGreeting, controlConfiguration, controlQuota} {
		found.control[kind] = set.Counter(ptmetric.ControlMessages, "kind", kind)
	}
	return found
}

// Entry is one entry. It is safe for concurrent use.
type Entry struct {
	setting     Setting
	deps        Dependencies
	incarnation ptid.Incarnation
	sequence    atomic.Uint64
	follower    *ptfollow.Follower
	claims      *ptclaim.Claimer
	jobs        *jobTable
	ledger      *ptquota.Limiter
	count       counters
	notRun      notRunMemory
	claiming    claimingJobs
	// unready stops the balancer from sending more; draining refuses what it sends.
	unready  atomic.Bool
	draining atomic.Bool
	peers    *peerBook
	presence *ptpresence.Registry

	// sessions is the number of links, for readers on the path of a frame.
	sessions atomic.Int64
	// packed is the configuration as agents and peers get it.
	packed atomic.Pointer[ptwire.Configuration]

	// services is replaced as a whole when a service is added.
	services atomic.Pointer[map[ptid.ServiceName]*service]

	mu    sync.Mutex
	links map[ptid.AgentName]*link
	// keepers maps accounts to the agent that keeps them; stale after links have changed.
	keepers      map[ptquota.Account]ptid.AgentName
	keepersStale bool
	// toldEntries belongs to the goroutine that keeps peers.
	toldEntries string
}

// New returns an entry that does not serve yet.
func New(setting Setting, deps Dependencies) *Entry {
	entry := &Entry{
		setting: setting, deps: deps, incarnation: ptid.NewIncarnation(time.Now()),
		jobs: newJobTable(setting.MaxRetainedAnswerBytes), ledger: ptquota.NewLimiter(), count: newCounters(deps.Metrics),
		links: make(map[ptid.AgentName]*link), keepers: make(map[ptquota.Account]ptid.AgentName),
		peers: newPeerBook(setting.Peers, deps.Metrics), presence: ptpresence.New(deps.Store, deps.Log),
	}
	entry.services.Store(&map[ptid.ServiceName]*service{})
	entry.follower = ptfollow.New(deps.Store, setting.LogRetention, deps.Log, deps.Metrics, entry.configured)
	entry.claims = ptclaim.New(deps.Store, setting.Name, deps.Log, deps.Metrics)
	entry.registerGauges()
	return entry
}

func (entry *Entry) registerGauges() {
	sum := func(name ptmetric.Name, read func(service *service) int) {
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
	sum(ptmetric.QueuedTasks, func(service *service) int { return service.core.Scheduler().WaitingTasks() })
	sum(ptmetric.SentTasks, func(service *service) int { return service.core.Scheduler().OutstandingTasks() })
	sum(ptmetric.Slots, func(service *service) int { return service.core.Scheduler().Slots() })
	sum(ptmetric.Quarantined, func(service *service) int { return service.core.Scheduler().QuarantinedCount() })
	entry.deps.Metrics.Gauge(ptmetric.OpenJobs, func() float64 { return float64(entry.jobs.open()) })
	entry.deps.Metrics.Gauge(ptmetric.Sessions, func() float64 {
		entry.mu.Lock()
		defer entry.mu.Unlock()
		return float64(len(entry.links))
	})
}

// service returns the scheduler of a service, and makes it where there is none.
func (entry *Entry) service(name ptid.ServiceName) *service {
	if found := (*entry.services.Load())[name]; found != nil {
		return found
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	current := *entry.services.Load()
	if found := current[name]; found != nil {
		return found
	}
	next := make(map[ptid.ServiceName]*service, len(current)+1)
	for known, service := range current {
		next[known] = service
	}
	made := newService(entry, name, ptsched.Setting{
		Placement: entry.setting.Placement, Order: entry.setting.Order,
		MaxQueued: entry.setting.MaxQueued, Seed: entry.setting.Seed,
	})
	next[name] = made
	entry.services.Store(&next)
	return made
}

// configured brings a new configuration into force.
func (entry *Entry) configured(state *ptconfig.State) {
	for name, profile := range state.Profiles {
		entry.ledger.SetLimit(ptquota.ProfileAccount(name), profile.MaxRunning)
	}
	for _, profile := range state.Profiles {
		entry.ledger.SetLimit(ptquota.TeamAccount(profile.Team), state.TeamMaxRunning(profile.Team))
	}
	for _, link := range entry.allLinks() {
		link.configured(state)
	}
}

func (entry *Entry) allLinks() (links []*link) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	links = make([]*link, 0, len(entry.links))
	for _, link := range entry.links {
		links = append(links, link)
	}
	return links
}

// Ready reports whether the entry takes jobs: it has a configuration and at least
// one upstream that gets work.
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

// Sessions returns how many agents have a session with the entry.
func (entry *Entry) Sessions() int {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return len(entry.links)
}

// Revision returns the revision of the configuration in force.
func (entry *Entry) Revision() ptid.Revision { return entry.follower.State().Revision }

// Incarnation returns the incarnation of this process, which its job ids carry.
func (entry *Entry) Incarnation() ptid.Incarnation { return entry.incarnation }

// OpenJobs returns how many jobs have not ended.
func (entry *Entry) OpenJobs() int64 { return entry.jobs.open() }
