package pttransport

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// CloseWatcher tells when the other side closes a connection that nobody reads from meanwhile.
// Where it sends something instead, the watch ends and tells nothing.
type CloseWatcher struct {
	conn  net.Conn
	gone  chan struct{}
	ended chan struct{}
}

// NewCloseWatcher starts a watch. The connection's read deadline is lifted until [CloseWatcher.Stop].
func NewCloseWatcher(conn net.Conn) *CloseWatcher {
	watch := &CloseWatcher{conn: conn, gone: make(chan struct{}), ended: make(chan struct{})}
	sys, is := conn.(syscall.Conn)
	if !is || conn.SetReadDeadline(time.Time{}) != nil {
		close(watch.ended)
		return watch
	}
	go watch.run(sys)
	return watch
}

func (watch *CloseWatcher) run(sys syscall.Conn) {
	defer close(watch.ended)
	raw, err := sys.SyscallConn()
	if err != nil {
		close(watch.gone)
		return
	}
	closed := false
	// A read deadline of Stop ends the wait with an error, and so does a closed descriptor.
	err = raw.Read(func(descriptor uintptr) (done bool) {
		var octet [1]byte
		size, _, err := syscall.Recvfrom(int(descriptor), octet[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false
		}
		closed = err != nil || size == 0
		return true
	})
	if err == nil && closed {
		close(watch.gone)
	}
}

// Closed is closed when the other side has closed the connection.
func (watch *CloseWatcher) Closed() <-chan struct{} { return watch.gone }

// Stop ends the watch; the connection can be read from afterwards.
func (watch *CloseWatcher) Stop() {
	select {
	case <-watch.ended:
	default:
		// It fails on a closed connection, whose watch has ended.
		_ = watch.conn.SetReadDeadline(time.Unix(1, 0))
		<-watch.ended
	}
	_ = watch.conn.SetReadDeadline(time.Time{})
}
