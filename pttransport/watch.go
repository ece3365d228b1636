package pttransport

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// CloseWatcher detects that the peer closes a connection while nobody reads from it. It stops
// watching, without a report, when the peer sends data.
type CloseWatcher struct {
	conn   net.Conn
	closed chan struct{}
	ended  chan struct{}
}

// NewCloseWatcher starts to watch a connection. The connection has no read deadline until
// [CloseWatcher.Stop].
func NewCloseWatcher(conn net.Conn) *CloseWatcher {
	watcher := &CloseWatcher{conn: conn, closed: make(chan struct{}), ended: make(chan struct{})}
	sys, ok := conn.(syscall.Conn)
	if !ok || conn.SetReadDeadline(time.Time{}) != nil {
		close(watcher.ended)
		return watcher
	}
	go watcher.run(sys)
	return watcher
}

func (watcher *CloseWatcher) run(sys syscall.Conn) {
	defer close(watcher.ended)
	raw, err := sys.SyscallConn()
	if err != nil {
		close(watcher.closed)
		return
	}
	closedByPeer := false
	// raw.Read returns an error if Stop sets an expired read deadline or the descriptor is
	// closed.
	err = raw.Read(func(descriptor uintptr) (done bool) {
		var octet [1]byte
		size, _, err := syscall.Recvfrom(int(descriptor), octet[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false
		}
		closedByPeer = err != nil || size == 0
		return true
	})
	if err == nil && closedByPeer {
		close(watcher.closed)
	}
}

// Closed returns a channel that is closed when the peer has closed the connection.
func (watcher *CloseWatcher) Closed() <-chan struct{} { return watcher.closed }

// Stop ends the watch. Afterwards the connection can be read.
func (watcher *CloseWatcher) Stop() {
	select {
	case <-watcher.ended:
	default:
		// SetReadDeadline fails on a closed connection, for which the watch ends anyway.
		_ = watcher.conn.SetReadDeadline(time.Unix(1, 0))
		<-watcher.ended
	}
	_ = watcher.conn.SetReadDeadline(time.Time{})
}
