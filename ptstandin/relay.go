package ptstandin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Direction says which directions of a relay's present connections swallow bytes.
type Direction uint8

const (
	// ToServer swallows what the dialing side sends.
	ToServer Direction = 1 << iota
	// ToClient swallows what the dialing side would receive.
	ToClient
)

// relayed is one connection through the relay.
type relayed struct {
	client, server net.Conn
	silence        atomic.Uint32
}

// Relay passes TCP connections on to one address. On request it goes silent on the
// connections that are open, for good, while new ones work: as a device in between
// does that has lost track of them. Closing is swallowed as well.
type Relay struct {
	listener net.Listener
	target   string
	delay    atomic.Int64
	mu       sync.Mutex
	conns    []*relayed
}

// NewRelay returns a relay on loopback that passes connections on to target.
func NewRelay(target string) (relay *Relay, err error) {
	return NewRelayOn("127.0.0.1:0", target)
}

// NewRelayOn returns a relay that listens at an address.
func NewRelayOn(address, target string) (relay *Relay, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a relay")
	}
	relay = &Relay{listener: listener, target: target}
	go relay.accept()
	return relay, nil
}

// Address returns where the relay listens.
func (relay *Relay) Address() string { return relay.listener.Addr().String() }

// Close stops taking connections.
func (relay *Relay) Close() error { return relay.listener.Close() }

// Blackhole makes the open connections swallow bytes in the given directions.
func (relay *Relay) Blackhole(directions Direction) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	for _, conn := range relay.conns {
		conn.silence.Store(uint32(directions))
	}
}

// SetDelay holds bytes up for a span, in both directions; zero ends it.
func (relay *Relay) SetDelay(span time.Duration) { relay.delay.Store(int64(span)) }

// ResetConnections resets the open connections.
func (relay *Relay) ResetConnections() {
	relay.mu.Lock()
	conns := relay.conns
	relay.conns = nil
	relay.mu.Unlock()
	for _, conn := range conns {
		for _, end := range []net.Conn{conn.client, conn.server} {
			if tcp, is := end.(*net.TCPConn); is {
				_ = tcp.SetLinger(0)
			}
			_ = end.Close()
		}
	}
}

// ConnectionCount returns how many connections were ever passed on.
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
		conn := &relayed{client: client, server: server}
		relay.mu.Lock()
		relay.conns = append(relay.conns, conn)
		relay.mu.Unlock()
		go conn.copy(server, client, ToServer, &relay.delay)
		go conn.copy(client, server, ToClient, &relay.delay)
	}
}

const relayBuffer = 16 << 10

func (conn *relayed) copy(target, source net.Conn, direction Direction, delay *atomic.Int64) {
	buffer := make([]byte, relayBuffer)
	for {
		size, err := source.Read(buffer)
		if span := delay.Load(); span > 0 {
			time.Sleep(time.Duration(span))
		}
		silent := Direction(conn.silence.Load())&direction != 0
		if size > 0 && !silent {
			if _, writeErr := target.Write(buffer[:size]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !silent {
				_ = target.Close()
			}
			return
		}
	}
}
