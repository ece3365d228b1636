package pttransport

import (
	"context"
	"net"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"storj.io/drpc/drpcserver"

	"github.com/primrosetiller/primrosetiller/ptmetric"
)

// connKey is the context key of the connection of a stream.
type connKey struct{}

// Conn returns the connection of a stream that [Serve] has accepted, or nil if the context has
// none.
func Conn(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// Greeted tells the listener of a connection that its greeting has been accepted.
func Greeted(conn net.Conn) {
	if bounded, ok := conn.(interface{ Greeted() }); ok {
		bounded.Greeted()
	}
}

// Serve accepts connections and serves each one in its own goroutine. It returns when ctx is
// done and the listener is closed.
func Serve(ctx context.Context, listener net.Listener, server *drpcserver.Server, set *ptmetric.Set, logger logr.Logger) (err error) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept a connection")
		}
		go func() {
			defer func() { _ = conn.Close() }()
			if err := server.ServeOne(context.WithValue(ctx, connKey{}, conn), CountBytes(conn, set)); err != nil {
				logger.V(1).Info("connection ended", "remote", conn.RemoteAddr().String(), "error", err.Error())
			}
		}()
	}
}
