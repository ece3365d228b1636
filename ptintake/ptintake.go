// Package ptintake decides which clients a process serves when more of them ask than it has memory or
// descriptors for. It has no I/O: times are arguments, and connections to close are returned.
//
// # How it works
//
//  1. [Derive] divides the memory and the descriptors of a machine: a budget for what has been read and not
//     been decided yet, and a limit of connections for each listener. The rest of the descriptors is for
//     sessions and for calls to the store and the worker.
//  2. A [Gate] bounds the connections of a listener. If it is full, a new connection takes the place of the
//     client that has been longest in a phase in which the process waits for it. Clients that have been
//     there for less than the grace time keep their places; if all do, the new connection is refused.
//  3. A [Budget] bounds the bytes that all clients of the process hold together. The last part of it is for
//     small requests. If it is used up, the slowest client that holds some of it is closed.
//  4. A client whose request is being served is never closed: its job may have started.
//
// # Usage
//
//	gate := intake.NewGate(limit)
//	client, victim := gate.Admit(now, closeConnection)
//	ok := client.Reserve(size)
//	gate.Leave(client)
package ptintake

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// SmallRequest is the size up to which a request may use the whole budget.
	SmallRequest = 64 << 10
	// smallShare is the part of the budget (1/smallShare) that only small requests may use.
	smallShare = 8
	// DefaultGrace is how long a client may take for a step of a request before it can lose its place.
	// Ordinary clients send a request in one piece, and the longest way between zones takes some
	// milliseconds.
	DefaultGrace = 250 * time.Millisecond
	// idleGrace is how long a connection without a request is kept at a full gate. It is longer than the
	// intervals in which callers with a steady load use their connections.
	idleGrace = time.Second
)

// Phase is what a process does with a connection.
type Phase int32

// Phases. In all but Serving the process waits for the client.
const (
	// Receiving lasts from the accept of a connection, or from the first byte of a later request, until
	// the request is complete.
	Receiving Phase = iota
	Serving
	Responding
	// Idle lasts from the response to the first byte of the next request.
	Idle
)

// Budget bounds the bytes that the clients of a process hold. It is safe for concurrent use.
type Budget struct {
	total int64
	used  atomic.Int64
}

// NewBudget returns a budget of total bytes.
func NewBudget(total int64) *Budget { return &Budget{total: total} }

// Used returns the bytes in use.
func (budget *Budget) Used() int64 { return budget.used.Load() }

// reserve takes size bytes, if that many are left for a request of this size.
func (budget *Budget) reserve(size int64) bool {
	limit := budget.total
	if size > SmallRequest {
		limit -= limit / smallShare
	}
	if budget.used.Add(size) > limit {
		budget.used.Add(-size)
		return false
	}
	return true
}

// Intake holds the budget and the gates of one process.
type Intake struct {
	budget *Budget
	grace  time.Duration

	mu    sync.Mutex
	gates []*Gate
}

// New returns an intake without gates.
func New(budget *Budget, grace time.Duration) *Intake { return &Intake{budget: budget, grace: grace} }

// Budget returns the budget of the process.
func (intake *Intake) Budget() *Budget { return intake.budget }

// Gate bounds the connections of one listener. It is safe for concurrent use.
type Gate struct {
	intake *Intake
	limit  int

	mu      sync.Mutex
	clients map[*Client]struct{}
}

// NewGate returns a gate for at most limit connections.
func (intake *Intake) NewGate(limit int) *Gate {
	gate := &Gate{intake: intake, limit: limit, clients: make(map[*Client]struct{})}
	intake.mu.Lock()
	defer intake.mu.Unlock()
	intake.gates = append(intake.gates, gate)
	return gate
}

// Len returns the number of admitted connections.
func (gate *Gate) Len() int {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return len(gate.clients)
}

// Client is an admitted connection. It is safe for concurrent use.
type Client struct {
	// Close closes the connection.
	Close  func()
	intake *Intake
	phase  atomic.Int32
	since  atomic.Int64
	held   atomic.Int64
	// left is set when the client has left its gate. A client that has left holds nothing.
	left atomic.Bool
}

// Enter notes that the connection is in a phase since now.
func (client *Client) Enter(phase Phase, now ptid.Instant) {
	client.since.Store(int64(now))
	client.phase.Store(int32(phase))
}

// Phase returns the phase of the connection.
func (client *Client) Phase() Phase { return Phase(client.phase.Load()) }

// Admit admits a connection. victim is a client that loses its place to it and must be closed; client is
// nil if the new connection must be closed.
func (gate *Gate) Admit(now ptid.Instant, closeConnection func()) (client, victim *Client) {
	client = &Client{Close: closeConnection, intake: gate.intake}
	client.Enter(Receiving, now)
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if len(gate.clients) >= gate.limit {
		victim = gate.slowest(now, false)
		if victim == nil {
			return nil, nil
		}
		gate.remove(victim)
	}
	gate.clients[client] = struct{}{}
	return client, victim
}

// remove removes a client and returns what it holds to the budget. The caller holds the lock.
func (gate *Gate) remove(client *Client) {
	delete(gate.clients, client)
	client.left.Store(true)
	client.intake.budget.used.Add(-client.held.Swap(0))
}

// Leave removes a client that is closed, or that the gate no longer bounds, and returns what it holds to the
// budget. It may be called again.
func (gate *Gate) Leave(client *Client) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.remove(client)
}

// Evict returns the slowest client, which must be closed, or nil if none has used up its grace time.
func (gate *Gate) Evict(now ptid.Instant) (victim *Client) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if victim = gate.slowest(now, false); victim != nil {
		gate.remove(victim)
	}
	return victim
}

// slowest returns the client that the process has waited for longest, or nil if none has used up its grace
// time. Clients without a request are taken last. The caller holds the lock.
func (gate *Gate) slowest(now ptid.Instant, holding bool) (slowest *Client) {
	var idle *Client
	oldest, oldestIdle := now.Add(-gate.intake.grace), now.Add(-idleGrace)
	for client := range gate.clients {
		since := ptid.Instant(client.since.Load())
		if holding && client.held.Load() == 0 {
			continue
		}
		switch client.Phase() {
		case Serving:
		case Idle:
			if since < oldestIdle {
				idle, oldestIdle = client, since
			}
		default:
			if since < oldest {
				slowest, oldest = client, since
			}
		}
	}
	if slowest == nil {
		return idle
	}
	return slowest
}

// Reserve takes bytes of the budget for a client until they are released or the client leaves its gate.
func (client *Client) Reserve(size int64) bool {
	if !client.intake.budget.reserve(size) {
		return false
	}
	client.held.Add(size)
	if client.left.Load() {
		client.intake.budget.used.Add(-client.held.Swap(0))
		return false
	}
	return true
}

// Release returns bytes that the client has reserved.
func (client *Client) Release(size int64) {
	for {
		held := client.held.Load()
		released := min(size, held)
		if client.held.CompareAndSwap(held, held-released) {
			client.intake.budget.used.Add(-released)
			return
		}
	}
}

// EvictHolder returns the slowest client that holds a part of the budget, at any gate. It must be closed. The
// result is nil if none has used up its grace time.
func (intake *Intake) EvictHolder(now ptid.Instant) (victim *Client) {
	intake.mu.Lock()
	gates := intake.gates
	intake.mu.Unlock()
	var from *Gate
	for _, gate := range gates {
		gate.mu.Lock()
		candidate := gate.slowest(now, true)
		gate.mu.Unlock()
		if candidate != nil && (victim == nil || candidate.since.Load() < victim.since.Load()) {
			victim, from = candidate, gate
		}
	}
	if victim != nil {
		from.mu.Lock()
		from.remove(victim)
		from.mu.Unlock()
	}
	return victim
}
