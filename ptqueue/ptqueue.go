// Package ptqueue is the configuration of the queues that callers submit graph jobs
// to, as an immutable snapshot.
//
// # How it works
//
//  1. A [Catalog] has a version. A process only ever moves to a higher one.
//  2. A request belongs to the queue of its host whose path prefix is the longest that
//     its path begins with.
//
// # Usage
//
//	holder := ptqueue.NewCatalogStore()
//	changed := holder.Offer(ptqueue.NewCatalog(version, queues, limits))
//	queue, rest, found := holder.Load().Find(host, path)
package ptqueue

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// Version numbers the snapshots; it rises in uneven steps.
type Version uint64

// Queue says how the jobs of one path are treated.
type Queue struct {
	Name       ptid.ProfileName
	Host       string
	PathPrefix string
	// Service names the workers that run the queue's tasks.
	Service ptid.ServiceName
	// Priority orders queues; the lowest goes first.
	Priority int
	// MaxAttempts is how many failed runs of one task fail its job.
	MaxAttempts int
	// Stretch and TargetLatency give the objective of a job: Stretch times its longest
	// chain of work, and TargetLatency more.
	Stretch       float64
	TargetLatency time.Duration
	// Timeout bounds the wait of callers that name none.
	Timeout time.Duration
	// Advice is set where only an advisor knows which workers may run a step.
	Advice *AdvicePolicy
}

// AdvicePolicy says what asking the advisor of a queue takes.
type AdvicePolicy struct {
	// Decide and PerWorker are what one call takes, by itself and for each worker named.
	Decide    time.Duration
	PerWorker time.Duration
	// Valid is how long a ticket can be used.
	Valid time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeader int
	MaxBody   int
	// IdleTimeout closes callers' connections without requests.
	IdleTimeout time.Duration
}

// Catalog is one snapshot. It is not changed after it was made.
type Catalog struct {
	Version Version
	Limits  Limits
	byHost  map[string][]*Queue
	size    int
}

// NewCatalog returns a snapshot.
func NewCatalog(version Version, queues []Queue, limits Limits) *Catalog {
	catalog := &Catalog{Version: version, Limits: limits, byHost: make(map[string][]*Queue), size: len(queues)}
	for i := range queues {
		queue := &queues[i]
		host := strings.ToLower(queue.Host)
		catalog.byHost[host] = append(catalog.byHost[host], queue)
	}
	for _, hosted := range catalog.byHost {
		slices.SortStableFunc(hosted, func(left, right *Queue) int { return len(right.PathPrefix) - len(left.PathPrefix) })
	}
	return catalog
}

// Size returns how many queues the snapshot has.
func (catalog *Catalog) Size() int { return catalog.size }

// Find returns the queue of a path and the rest of the path after its prefix.
func (catalog *Catalog) Find(host, path string) (queue *Queue, rest string, found bool) {
	if name, _, ported := strings.Cut(host, ":"); ported {
		host = name
	}
	for _, candidate := range catalog.byHost[strings.ToLower(host)] {
		if rest, found = strings.CutPrefix(path, candidate.PathPrefix); found {
			return candidate, rest, true
		}
	}
	return nil, "", false
}

// CatalogStore keeps the newest snapshot. It is safe for concurrent use.
type CatalogStore struct {
	mu      sync.Mutex
	current atomic.Pointer[Catalog]
}

// NewCatalogStore returns a holder without a snapshot.
func NewCatalogStore() *CatalogStore { return &CatalogStore{} }

// Load returns the newest snapshot; nil where there has been none.
func (holder *CatalogStore) Load() *Catalog { return holder.current.Load() }

// Update takes a snapshot where it is newer than the present one.
func (holder *CatalogStore) Update(catalog *Catalog) (changed bool) {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	if current := holder.current.Load(); current != nil && catalog.Version <= current.Version {
		return false
	}
	holder.current.Store(catalog)
	return true
}
