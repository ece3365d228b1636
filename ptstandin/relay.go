package ptstandin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Direction is a set of directions of a connection.
type Direction uint8

const (
	// ToServer is the direction from the dialing side to the target.
	ToServer Direction = 1 << iota
	// ToClient is the direction from the target to the dialing side.
	ToClient
)

// relayedConn is one connection through the relay.
type relayedConn struct {
	client, server net.Conn
	blackholed     atomic.Uint32
}

// Relay forwards TCP connections to one address and injects network faults. It can
// blackhole its open connections permanently while new ones work, like a NAT device or
// firewall that has lost its connection state: bytes and connection closes are dropped.
type Relay struct {
	listener net.Listener
	target   string
	delay    atomic.Int64
	mu       sync.Mutex
	conns    []*relayedConn
	down     bool
}

// NewRelay returns a relay on a free loopback port that forwards connections to target.
func NewRelay(target string) (relay *Relay, err error) {
	return NewRelayOn("127.0.0.1:0", target)
}

// NewRelayOn returns a relay that listens on an address.
func NewRelayOn(address, target string) (relay *Relay, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on relay address")
	}
	relay = &Relay{listener: listener, target: target}
	go relay.accept()
	return relay, nil
}

// Address returns the address on which the relay listens.
func (relay *Relay) Address() string { return relay.listener.Addr().String() }

// Close stops accepting connections; open connections stay open.
func (relay *Relay) Close() error { return relay.listener.Close() }

// Blackhole drops all bytes on the open connections in the given directions.
func (relay *Relay) Blackhole(directions Direction) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	for _, conn := range relay.conns {
		conn.blackholed.Store(uint32(directions))
	}
}

// SetDelay delays bytes in both directions; zero ends the delay.
func (relay *Relay) SetDelay(duration time.Duration) { relay.delay.Store(int64(duration)) }

// ResetConnections closes the open connections with a TCP reset.
func (relay *Relay) ResetConnections() {
	relay.mu.Lock()
	conns := relay.conns
	relay.conns = nil
	relay.mu.Unlock()
	for _, conn := range conns {
		for _, end := range []net.Conn{conn.client, conn.server} {
			if tcp, isTCP := end.(*net.TCPConn); isTCP {
				_ = tcp.SetLinger(0)
			}
			_ = end.Close()
		}
	}
}

// SetDown resets the open connections and refuses new ones while down is true.
func (relay *Relay) SetDown(down bool) {
	relay.mu.Lock()
	relay.down = down
	relay.mu.Unlock()
	if down {
		relay.ResetConnections()
	}
}

// ConnectionCount returns the number of connections forwarded since the last reset.
func (relay *Relay) ConnectionCount() int {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	return len(relay.conns)
}

func (relay *Relay) accept() {
	for {
		client, err := relay.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", relay.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		conn := &relayedConn{client: client, server: server}
		if !relay.add(conn) {
			_, _ = client.Close(), server.Close()
			continue
		}
		go conn.copy(server, client, ToServer, &relay.delay)
		go conn.copy(client, server, ToClient, &relay.delay)
	}
}

// add registers a connection, unless the relay is down.
func (relay *Relay) add(conn *relayedConn) (added bool) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	if relay.down {
		return false
	}
	relay.conns = append(relay.conns, conn)
	return true
}

const relayBuffer = 16 << 10

func (conn *relayedConn) copy(target, source net.Conn, direction Direction, delay *atomic.Int64) {
	buffer := make([]byte, relayBuffer)
	for {
		size, err := source.Read(buffer)
		if delayNanos := delay.Load(); delayNanos > 0 {
			time.Sleep(time.Duration(delayNanos))
		}
		dropped := Direction(conn.blackholed.Load())&direction != 0
		if size > 0 && !dropped {
			if _, writeErr := target.Write(buffer[:size]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !dropped {
				_ = target.Close()
			}
			return
		}
	}
}
