// Package pttransport wraps the TCP connections between the processes: it counts their bytes,
// detects connections that the peer has closed, and holds the drpc options of both ends.
//
// # Usage
//
//	transport := pttransport.CountBytes(conn, metrics)
//	drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: pttransport.Options()})
package pttransport

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/primrosetiller/primrosetiller/ptmetric"
)

const (
	// MaxFrameBytes is the size of the largest frame that either end accepts.
	MaxFrameBytes = 8 << 20
	// writeBufferSize is the size of drpc's write buffer in bytes. drpc flushes a full buffer
	// without an explicit flush.
	writeBufferSize = 4 << 10
	// maxRetainedBuffer is the size of the largest buffer that an idle stream retains.
	maxRetainedBuffer = 16 << 10
)

// Options returns the drpc options, which must be the same on both ends of a session.
func Options() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writeBufferSize,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: MaxFrameBytes},
		Stream:           drpcstream.Options{SplitSize: MaxFrameBytes, MaximumBufferSize: maxRetainedBuffer},
	}
}

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	sent     *metrics.Counter
	received *metrics.Counter
}

// CountBytes returns a connection whose bytes are counted in the metric SessionBytes.
func CountBytes(conn net.Conn, set *ptmetric.Set) net.Conn {
	return &countedConn{
		Conn:     conn,
		sent:     set.Counter(ptmetric.SessionBytes, "direction", "sent"),
		received: set.Counter(ptmetric.SessionBytes, "direction", "received"),
	}
}

// Read implements net.Conn.
func (conn *countedConn) Read(buffer []byte) (size int, err error) {
	size, err = conn.Conn.Read(buffer)
	conn.received.Add(size)
	return size, err
}

// Write implements net.Conn.
func (conn *countedConn) Write(buffer []byte) (size int, err error) {
	size, err = conn.Conn.Write(buffer)
	conn.sent.Add(size)
	return size, err
}
