package pttransport

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Idle reports whether the peer of a TCP connection has neither closed it nor sent unread data.
// It does not block.
func Idle(conn net.Conn) bool {
	_, err := peek(conn)
	return errors.Is(err, syscall.EAGAIN)
}

// ClosedByPeer reports whether the peer of a TCP connection has closed it. It does not block
// and consumes no data.
func ClosedByPeer(conn net.Conn) bool {
	size, err := peek(conn)
	if err == nil {
		return size == 0
	}
	return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

func peek(conn net.Conn) (size int, err error) {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(descriptor uintptr) {
		var octet [1]byte
		size, _, err = syscall.Recvfrom(int(descriptor), octet[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return size, err
}
