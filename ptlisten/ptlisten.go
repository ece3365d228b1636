// Package ptlisten serves connections within the limits that package ptintake decides on. It wraps a listener
// and its connections.
//
// # How it works
//
//  1. A [Listener] asks its gate about each connection, closes the refused ones and those that lose their
//     places, and stays open when an accept fails for lack of descriptors or memory.
//  2. A [Conn] tells its gate in which phase it is. It charges a header with very many lines to the budget
//     before the header is parsed, because the parsed form is many times as large.
//  3. [ReadBody] reads the body of a request of a server with StreamRequestBody, after its size has been
//     reserved. A body that isn't admitted isn't read.
//  4. A connection of a session has a limited time and number of bytes until its greeting is accepted
//     ([Conn.Greeted]). Then it no longer counts.
//
// # Usage
//
//	shell := ptlisten.New(intake, clock, metrics, logger)
//	listener := shell.Wrap(inner, ptlisten.Setting{Name: "callers", Limit: plan.Callers})
//	err := server.Serve(listener)
package ptlisten

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptintake"
	"github.com/primrosetiller/primrosetiller/ptmetric"
)

const (
	// acceptDelay is the pause after an accept that failed for lack of descriptors or memory.
	acceptDelay = 10 * time.Millisecond
	// reserveTimeout bounds how long a request waits for a part of the budget after slower clients have been
	// closed, and reserveInterval is the interval at which it asks again.
	reserveTimeout  = 100 * time.Millisecond
	reserveInterval = 5 * time.Millisecond
	// freeLines is the number of lines of a request that are not charged; headers of ordinary clients have
	// fewer. lineBytes is the memory of a parsed field.
	freeLines, lineBytes = 64, 160
	// logInterval is the least interval between two log lines of a listener about refused clients.
	logInterval = time.Second
)

// Reasons of refusals, which label the metric.
const (
	reasonConnections = "connections"
	reasonSlow        = "slow"
	reasonMemory      = "memory"
	reasonTooLarge    = "tooLarge"
	reasonDescriptors = "descriptors"
	reasonGreeting    = "greeting"
)

var errRefused = errors.New("the connection is over the limits")

// Shell holds what the listeners of a process share.
type Shell struct {
	intake  *ptintake.Intake
	clock   *ptid.Clock
	metrics *ptmetric.Set
	logger  logr.Logger
}

// New returns a shell without listeners.
func New(intake *ptintake.Intake, clock *ptid.Clock, metrics *ptmetric.Set, logger logr.Logger) *Shell {
	metrics.Gauge(ptmetric.IntakeBytes, func() float64 { return float64(intake.Budget().Used()) })
	return &Shell{intake: intake, clock: clock, metrics: metrics, logger: logger}
}

// Setting configures a listener.
type Setting struct {
	// Name is the label of the metrics and log lines.
	Name string
	// Limit bounds the connections.
	Limit int
	// GreetingTimeout and GreetingBytes bound a connection until it is greeted. Zero means that
	// connections of this listener have no greeting.
	GreetingTimeout time.Duration
	GreetingBytes   int64
}

// Listener is a listener whose connections are bounded.
type Listener struct {
	net.Listener
	shell   *Shell
	setting Setting
	gate    *ptintake.Gate

	mu         sync.Mutex
	lastLogged ptid.Instant
	refused    map[string]int
}

// Wrap returns a listener that bounds the connections of inner.
func (shell *Shell) Wrap(inner net.Listener, setting Setting) *Listener {
	listener := &Listener{
		Listener: inner, shell: shell, setting: setting, gate: shell.intake.NewGate(setting.Limit), refused: make(map[string]int),
	}
	shell.metrics.Gauge(ptmetric.IntakeConnections, func() float64 { return float64(listener.gate.Len()) }, "listener", setting.Name)
	return listener
}

// Accept implements net.Listener. It returns an error only if the listener can't be used any more.
func (listener *Listener) Accept() (accepted net.Conn, err error) {
	for {
		inner, err := listener.Listener.Accept()
		now := listener.shell.clock.Now()
		if err != nil {
			if !isShortage(err) {
				return nil, err
			}
			listener.count(reasonDescriptors)
			if victim := listener.gate.Evict(now); victim != nil {
				listener.count(reasonSlow)
				victim.Close()
			}
			time.Sleep(acceptDelay)
			continue
		}
		client, victim := listener.gate.Admit(now, func() { _ = inner.Close() })
		if victim != nil {
			listener.count(reasonSlow)
			victim.Close()
		}
		if client == nil {
			listener.count(reasonConnections)
			_ = inner.Close()
			continue
		}
		if listener.setting.GreetingTimeout > 0 {
			// A connection that can't take a deadline is broken; its first read fails.
			_ = inner.SetReadDeadline(time.Now().Add(listener.setting.GreetingTimeout))
		}
		return &Conn{Conn: inner, listener: listener, client: client}, nil
	}
}

// isShortage reports whether an accept failed in a way that passes, or concerns only one connection.
func isShortage(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// count counts a refusal, and logs the refusals since the last line at most once per logInterval.
func (listener *Listener) count(reason string) {
	listener.shell.metrics.Counter(ptmetric.IntakeRefusals, "listener", listener.setting.Name, "reason", reason).Inc()
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.refused[reason]++
	now := listener.shell.clock.Now()
	if now.Sub(listener.lastLogged) < logInterval {
		return
	}
	listener.lastLogged = now
	listener.shell.logger.Info("clients refused", "listener", listener.setting.Name, "refused", listener.refused,
		"connections", listener.gate.Len(), "bytes", listener.shell.intake.Budget().Used())
	listener.refused = make(map[string]int)
}

// Conn is a bounded connection. A nil Conn is not bounded.
type Conn struct {
	net.Conn
	listener *Listener
	client   *ptintake.Client
	greeted  atomic.Bool
	received int64
	// lines is the number of lines of the current request. inBody is true while its body is read; lines of
	// a body are not counted. Both are used by the reading goroutine only.
	lines, chargedLines int
	inBody              bool
}

// Of returns the bounded connection behind a connection, or nil.
func Of(conn net.Conn) *Conn {
	bounded, _ := conn.(*Conn)
	return bounded
}

func (conn *Conn) now() ptid.Instant { return conn.listener.shell.clock.Now() }

// SyscallConn implements syscall.Conn.
func (conn *Conn) SyscallConn() (syscall.RawConn, error) {
	sys, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return sys.SyscallConn()
}

// Read implements net.Conn.
func (conn *Conn) Read(buffer []byte) (size int, err error) {
	size, err = conn.Conn.Read(buffer)
	if size <= 0 {
		return size, err
	}
	if conn.listener.setting.GreetingTimeout > 0 {
		return conn.checkGreeting(size, err)
	}
	if conn.client.Phase() != ptintake.Receiving {
		conn.client.Enter(ptintake.Receiving, conn.now())
	}
	if !conn.inBody && !conn.chargeLines(buffer[:size]) {
		return 0, errRefused
	}
	return size, err
}

// checkGreeting bounds the bytes that are read before the greeting.
func (conn *Conn) checkGreeting(size int, err error) (int, error) {
	if conn.greeted.Load() {
		return size, err
	}
	if conn.received += int64(size); conn.received > conn.listener.setting.GreetingBytes {
		conn.listener.count(reasonGreeting)
		return 0, errRefused
	}
	return size, err
}

// chargeLines reserves the memory of the fields of a header before it is parsed. The memory stays with the
// connection until it is closed.
func (conn *Conn) chargeLines(read []byte) bool {
	conn.lines += bytes.Count(read, []byte{'\n'})
	excess := conn.lines - freeLines - conn.chargedLines
	if excess <= 0 {
		return true
	}
	if !conn.Reserve(int64(excess) * lineBytes) {
		return false
	}
	conn.chargedLines += excess
	return true
}

// Write implements net.Conn.
func (conn *Conn) Write(buffer []byte) (size int, err error) {
	if conn.listener.setting.GreetingTimeout > 0 {
		return conn.Conn.Write(buffer)
	}
	conn.lines = 0
	if conn.client.Phase() != ptintake.Responding {
		conn.client.Enter(ptintake.Responding, conn.now())
	}
	size, err = conn.Conn.Write(buffer)
	conn.client.Enter(ptintake.Idle, conn.now())
	return size, err
}

// Close implements net.Conn.
func (conn *Conn) Close() error {
	conn.listener.gate.Leave(conn.client)
	return conn.Conn.Close()
}

// Serving notes that a request is complete. Its connection is not closed until the response is written.
func (conn *Conn) Serving() {
	if conn != nil {
		conn.lines = 0
		conn.client.Enter(ptintake.Serving, conn.now())
	}
}

// Served notes that a response is ready to be written.
func (conn *Conn) Served() {
	if conn != nil {
		conn.lines = 0
		conn.client.Enter(ptintake.Responding, conn.now())
	}
}

// Greeted notes that the session of the connection has been accepted. The listener no longer bounds it.
func (conn *Conn) Greeted() {
	conn.greeted.Store(true)
	conn.listener.gate.Leave(conn.client)
	// A connection that can't take a deadline is broken; its next read fails.
	_ = conn.SetReadDeadline(time.Time{})
}

// Reserve takes bytes of the budget for the connection, until they are released or the connection is closed. If
// they are not left, it closes the slowest clients that hold some of it and asks again for reserveTimeout.
func (conn *Conn) Reserve(size int64) bool {
	if conn == nil || conn.client.Reserve(size) {
		return true
	}
	for until := conn.now().Add(reserveTimeout); conn.now() < until; time.Sleep(reserveInterval) {
		if victim := conn.listener.shell.intake.EvictHolder(conn.now()); victim != nil {
			conn.listener.count(reasonSlow)
			victim.Close()
		}
		if conn.client.Reserve(size) {
			return true
		}
	}
	conn.listener.count(reasonMemory)
	return false
}

// Release returns bytes that the connection has reserved.
func (conn *Conn) Release(size int64) {
	if conn != nil {
		conn.client.Release(size)
	}
}
