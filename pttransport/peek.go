package pttransport

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Idle reports whether the peer of a TCP connection has neither closed it nor sent unread data.
// It does not block.
func Idle(conn net.Conn) bool {
	_, err := NewProbe(conn).peek()
	return errors.Is(err, syscall.EAGAIN)
}

// Probe asks the operating system for the state of a connection. It does not block, consumes no data,
// and is safe for use while others read from the connection.
type Probe struct {
	// raw is nil for a connection without a descriptor, which counts as open and idle. err is why there
	// is none any more.
	raw syscall.RawConn
	err error
}

// NewProbe returns a probe for a connection.
func NewProbe(conn net.Conn) (probe Probe) {
	if sys, ok := conn.(syscall.Conn); ok {
		probe.raw, probe.err = sys.SyscallConn()
	}
	return probe
}

// ClosedByPeer reports whether the peer has closed the connection.
func (probe Probe) ClosedByPeer() bool {
	size, err := probe.peek()
	if err == nil {
		return size == 0
	}
	return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

func (probe Probe) peek() (size int, err error) {
	switch {
	case probe.err != nil:
		return 0, probe.err
	case probe.raw == nil:
		return 0, syscall.EAGAIN
	}
	controlErr := probe.raw.Control(func(descriptor uintptr) {
		var octet [1]byte
		size, _, err = syscall.Recvfrom(int(descriptor), octet[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return size, err
}
