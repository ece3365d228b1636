// Package ptadmin serves the HTTP interface that entries and agents have in
// common: liveness, readiness and metrics.
//
// # Usage
//
//	server := ptadmin.New(metrics, ready, further)
//	err := server.Serve(listener)
//
// Handle can also be called from another server's handler.
package ptadmin

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/primrosetiller/primrosetiller/ptmetric"
)

// Paths of the interface.
const (
	LivePath    = "/livez"
	ReadyPath   = "/readyz"
	MetricsPath = "/metrics"
	// RedialPath asks an agent to dial an entry anew.
	RedialPath = "/v1/redial"
	// RedialEntryParameter is the query argument that names the entry.
	RedialEntryParameter = "entry"
)

const (
	readTimeout = 10 * time.Second
	idleTimeout = time.Minute
)

// Server is the admin interface of one process.
type Server struct {
	metrics *ptmetric.Set
	ready   func() bool
	further fasthttp.RequestHandler
	server  *fasthttp.Server
}

// New returns a server. further handles every other path; nil means none.
func New(metrics *ptmetric.Set, ready func() bool, further fasthttp.RequestHandler) *Server {
	admin := &Server{metrics: metrics, ready: ready, further: further}
	admin.server = &fasthttp.Server{
		Handler: admin.serve, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, CloseOnShutdown: true,
	}
	return admin
}

// Serve answers on a listener until Shutdown.
func (admin *Server) Serve(listener net.Listener) error { return admin.server.Serve(listener) }

// Shutdown stops the server; requests in flight are finished.
func (admin *Server) Shutdown() error { return admin.server.Shutdown() }

func (admin *Server) serve(request *fasthttp.RequestCtx) {
	switch {
	case admin.Handle(request):
	case admin.further != nil:
		admin.further(request)
	default:
		request.Error("not found", fasthttp.StatusNotFound)
	}
}

// Handle answers the common paths and reports whether the request was one.
func (admin *Server) Handle(request *fasthttp.RequestCtx) (handled bool) {
	switch string(request.Path()) {
	case LivePath:
		request.SetBodyString("live\n")
	case ReadyPath:
		if !admin.ready() {
			request.Error("not ready\n", fasthttp.StatusServiceUnavailable)
			return true
		}
		request.SetBodyString("ready\n")
	case MetricsPath:
		request.SetContentType("text/plain; version=0.0.4")
		admin.metrics.Write(request)
	default:
		return false
	}
	return true
}
