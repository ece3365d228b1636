// Package ptqueue holds the configuration of the queues to which callers submit graph jobs,
// as an immutable snapshot.
//
// # How it works
//
//  1. A [Catalog] has a version. A process replaces its catalog only by one with a higher
//     version.
//  2. A request belongs to the queue of its host with the longest path prefix that matches
//     the path of the request.
//
// # Usage
//
//	store := ptqueue.NewCatalogStore()
//	changed := store.Update(ptqueue.NewCatalog(version, queues, limits))
//	queue, rest, found := store.Load().Find(host, path)
package ptqueue

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// Version is the version of a catalog. It rises, but not always by one.
type Version uint64

// Queue configures how the jobs submitted to one path are handled.
type Queue struct {
	Name       ptid.ProfileName
	Host       string
	PathPrefix string
	// Service names the workers that run the queue's tasks.
	Service ptid.ServiceName
	// Priority orders queues; the lowest number is the most urgent.
	Priority int
	// MaxAttempts is how many failed runs of one task fail its job.
	MaxAttempts int
	// Stretch and TargetLatency define the objective of a job: Stretch times the duration of
	// its critical path, plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	// Timeout is the timeout of requests whose caller specifies none.
	Timeout time.Duration
	// Advice is set if an advisor decides which workers may run a step.
	Advice *AdvicePolicy
}

// AdvicePolicy describes the calls to the advisor of a queue.
type AdvicePolicy struct {
	// Decide is the base duration of a call. PerWorker is the additional duration for each worker
	// that the call names.
	Decide    time.Duration
	PerWorker time.Duration
	// Valid is how long a ticket is valid, counted from the call to the advisor.
	Valid time.Duration
}

// Limits bound the requests and connections of callers.
type Limits struct {
	MaxHeader int
	MaxBody   int
	// IdleTimeout is how long a connection may be without a request before it is closed.
	IdleTimeout time.Duration
}

// Catalog is an immutable snapshot of the queue configuration.
type Catalog struct {
	Version Version
	Limits  Limits
	byHost  map[string][]*Queue
	size    int
}

// NewCatalog returns a catalog of the given queues.
func NewCatalog(version Version, queues []Queue, limits Limits) *Catalog {
	catalog := &Catalog{Version: version, Limits: limits, byHost: make(map[string][]*Queue), size: len(queues)}
	for i := range queues {
		queue := &queues[i]
		host := strings.ToLower(queue.Host)
		catalog.byHost[host] = append(catalog.byHost[host], queue)
	}
	for _, sameHost := range catalog.byHost {
		slices.SortStableFunc(sameHost, func(left, right *Queue) int { return len(right.PathPrefix) - len(left.PathPrefix) })
	}
	return catalog
}

// Size returns the number of queues in the catalog.
func (catalog *Catalog) Size() int { return catalog.size }

// Find returns the queue for a host and path, and the rest of the path after the queue's
// prefix.
func (catalog *Catalog) Find(host, path string) (queue *Queue, rest string, found bool) {
	if name, _, hasPort := strings.Cut(host, ":"); hasPort {
		host = name
	}
	for _, candidate := range catalog.byHost[strings.ToLower(host)] {
		if rest, found = strings.CutPrefix(path, candidate.PathPrefix); found {
			return candidate, rest, true
		}
	}
	return nil, "", false
}

// CatalogStore holds the newest catalog. It is safe for concurrent use.
type CatalogStore struct {
	mu      sync.Mutex
	current atomic.Pointer[Catalog]
	// loaded is closed when there is a catalog.
	loaded chan struct{}
}

// NewCatalogStore returns a store without a catalog.
func NewCatalogStore() *CatalogStore { return &CatalogStore{loaded: make(chan struct{})} }

// Load returns the newest catalog; nil if there has been none.
func (store *CatalogStore) Load() *Catalog { return store.current.Load() }

// Await returns the newest catalog. If there has been none, it waits for the first one for at most the
// given time, and returns nil if none has come.
func (store *CatalogStore) Await(wait time.Duration) *Catalog {
	if catalog := store.Load(); catalog != nil || wait <= 0 {
		return catalog
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-store.loaded:
	case <-timer.C:
	}
	return store.Load()
}

// Update stores a catalog if it is newer than the current one, and reports whether it did.
func (store *CatalogStore) Update(catalog *Catalog) (changed bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if current := store.current.Load(); current != nil && catalog.Version <= current.Version {
		return false
	}
	if store.current.Swap(catalog) == nil {
		close(store.loaded)
	}
	return true
}
