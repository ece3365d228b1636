// Package ptadmin serves the HTTP admin interface of entries and agents: liveness,
// readiness and metrics.
//
// # Usage
//
//	server := ptadmin.New(metrics, ready, fallback)
//	err := server.Serve(listener)
//
// The handler of another HTTP server can call [Server.Handle] to serve the same paths.
package ptadmin

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/primrosetiller/primrosetiller/ptmetric"
)

// Paths and parameters of the admin interface.
const (
	LivePath    = "/livez"
	ReadyPath   = "/readyz"
	MetricsPath = "/metrics"
	// RedialPath is the path of the request that makes an agent dial an entry again.
	RedialPath = "/v1/redial"
	// RedialEntryParameter is the query parameter that names the entry to dial.
	RedialEntryParameter = "entry"
)

const (
	readTimeout = 10 * time.Second
	idleTimeout = time.Minute
	// writeTimeout bounds the time to write a response to a client that does not read.
	writeTimeout = 10 * time.Second
	// maxBody is below any body: the interface takes none, and the handler is called without one.
	maxBody = 1
)

// Server is the admin interface of one process.
type Server struct {
	metrics  *ptmetric.Set
	ready    func() bool
	fallback fasthttp.RequestHandler
	server   *fasthttp.Server
}

// New returns a server. fallback handles requests for all other paths; if it is nil, the
// server responds to them with status 404.
func New(metrics *ptmetric.Set, ready func() bool, fallback fasthttp.RequestHandler) *Server {
	admin := &Server{metrics: metrics, ready: ready, fallback: fallback}
	admin.server = &fasthttp.Server{
		Handler: admin.serve, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout,
		MaxRequestBodySize: maxBody, StreamRequestBody: true, DisablePreParseMultipartForm: true,
		NoDefaultServerHeader: true, CloseOnShutdown: true,
	}
	return admin
}

// Serve accepts requests on listener until Shutdown is called.
func (admin *Server) Serve(listener net.Listener) error { return admin.server.Serve(listener) }

// HTTPServer returns the server, for callers that serve it with other ones.
func (admin *Server) HTTPServer() *fasthttp.Server { return admin.server }

// Shutdown stops the server after the requests in flight have been served.
func (admin *Server) Shutdown() error { return admin.server.Shutdown() }

func (admin *Server) serve(request *fasthttp.RequestCtx) {
	// The rest of a body is not read.
	if length := request.Request.Header.ContentLength(); length > 0 || length == -1 {
		request.SetConnectionClose()
	}
	switch {
	case admin.Handle(request):
	case admin.fallback != nil:
		admin.fallback(request)
	default:
		request.Error("not found", fasthttp.StatusNotFound)
	}
}

// Handle serves requests for the liveness, readiness and metrics paths. It returns false,
// without writing a response, if the request is for another path.
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
