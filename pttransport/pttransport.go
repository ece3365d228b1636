// Package pttransport wraps the TCP connections between the system's processes:
// it counts their bytes and holds the options that both ends give to drpc.
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
	// MaxFrameBytes is the largest frame in bytes that either end reads.
	MaxFrameBytes = 8 << 20
	// writeBuffer is the size from which drpc flushes by itself.
	writeBuffer = 4 << 10
	// keptBuffer is the largest buffer that an idle stream keeps.
	keptBuffer = 16 << 10
)

// Options are the same on both ends of a session.
func Options() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writeBuffer,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: MaxFrameBytes},
		Stream:           drpcstream.Options{SplitSize: MaxFrameBytes, MaximumBufferSize: keptBuffer},
	}
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	sent     *metrics.Counter
	received *metrics.Counter
}

// CountBytes returns the connection with its bytes counted in the metric SessionBytes.
func CountBytes(conn net.Conn, set *ptmetric.Set) net.Conn {
	return &counted{
		Conn:     conn,
		sent:     set.Counter(ptmetric.SessionBytes, "direction", "sent"),
		received: set.Counter(ptmetric.SessionBytes, "direction", "received"),
	}
}

// Read implements net.Conn.
func (conn *counted) Read(buffer []byte) (size int, err error) {
	size, err = conn.Conn.Read(buffer)
	conn.received.Add(size)
	return size, err
}

// Write implements net.Conn.
func (conn *counted) Write(buffer []byte) (size int, err error) {
	size, err = conn.Conn.Write(buffer)
	conn.sent.Add(size)
	return size, err
}
