// Package ptfront serves callers over HTTP.
//
// # How it works
//
//  1. POST /v1/jobs and POST /v1/requests/{profile} wait for the end of the job. The response
//     contains all answers or an error, never a part of the answers.
//  2. If a caller closes its connection while it waits, its job is cancelled.
//  3. GET and DELETE of a job are forwarded to the entry that owns the job. The job ID contains
//     the name of this entry.
//  4. An invalid body is refused with a message that describes the error, and none of its tasks
//     is run.
//
// # Usage
//
//	server := ptfront.New(entry, setting, tracer, metrics, logger)
//	err := server.Serve(listener)
package ptfront

import (
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/primrosetiller/primrosetiller/ptadmin"
	"github.com/primrosetiller/primrosetiller/ptentry"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjob"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptreason"
	"github.com/primrosetiller/primrosetiller/pttrace"
	"github.com/primrosetiller/primrosetiller/pttransport"
)

// Paths and headers of the HTTP interface.
const (
	JobsPath             = "/v1/jobs"
	RequestsPath         = "/v1/requests/"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Primrosetiller-Outcome"
	HeaderJob            = "Primrosetiller-Job"
)

const (
	readTimeout         = 10 * time.Second
	writeTimeout        = 30 * time.Second
	idleTimeout         = 2 * time.Minute
	callerCheckInterval = 500 * time.Millisecond
	maxConns            = 20_000
	discardTimeout      = 2 * time.Second
	discardBuffer       = 32 << 10
)

// Setting holds the settings of a server.
type Setting struct {
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int
}

// Server is the HTTP server for callers.
type Server struct {
	entry  *ptentry.Entry
	admin  *ptadmin.Server
	tracer *pttrace.Tracer
	http   *fasthttp.Server
}

// New returns a server. It does not accept connections until Serve is called.
func New(entry *ptentry.Entry, setting Setting, tracer *pttrace.Tracer, metrics *ptmetric.Set, logger logr.Logger) *Server {
	server := &Server{entry: entry, tracer: tracer, admin: ptadmin.New(metrics, entry.Ready, nil)}
	server.http = &fasthttp.Server{
		Handler: server.serve, ErrorHandler: serveError, MaxRequestBodySize: setting.MaxBodyBytes,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		Concurrency: maxConns, NoDefaultServerHeader: true, CloseOnShutdown: true,
		Logger: debugLogger{logger},
	}
	return server
}

// debugLogger logs the errors of the HTTP library at debug level, since there is one for each
// invalid connection.
type debugLogger struct{ logger logr.Logger }

// Printf implements fasthttp.Logger.
func (debug debugLogger) Printf(format string, details ...any) {
	debug.logger.V(1).Info("http", "format", format, "details", details)
}

// Serve serves callers on a listener until Shutdown is called.
func (server *Server) Serve(listener net.Listener) error { return server.http.Serve(listener) }

// Shutdown stops accepting connections and waits for pending requests.
func (server *Server) Shutdown() error { return server.http.Shutdown() }

// serveError responds to requests that could not be read.
func serveError(request *fasthttp.RequestCtx, err error) {
	var tooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.As(err, &tooLarge):
		discardBody(request)
		writeRefusal(request, &ptentry.RefusalError{Reason: ptreason.TooLarge, Message: "the request passes the limit of the entry"})
	default:
		writeRefusal(request, &ptentry.RefusalError{Reason: ptreason.BadInput, Message: "the request can't be read: " + err.Error()})
	}
	request.SetConnectionClose()
}

// discardBody reads and discards the rest of a body that exceeds the limit, for at most
// discardTimeout. If the server closed a connection with unread data, the connection would be
// reset, and the caller could lose the response.
func discardBody(request *fasthttp.RequestCtx) {
	conn := request.Conn()
	if conn.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	buffer := make([]byte, discardBuffer)
	for remaining := request.Request.Header.ContentLength(); remaining > 0; {
		size, err := conn.Read(buffer)
		remaining -= size
		// remaining does not reach zero: it starts at the length of the whole body, but the HTTP
		// library has already read the first bytes of the body into its own buffer.
		if err != nil || remaining <= discardBuffer {
			return
		}
	}
}

func (server *Server) serve(request *fasthttp.RequestCtx) {
	path := string(request.Path())
	switch {
	case path == JobsPath && request.IsPost():
		server.postJob(request)
	case strings.HasPrefix(path, RequestsPath) && request.IsPost():
		server.postRequest(request, ptid.ProfileName(path[len(RequestsPath):]))
	case strings.HasPrefix(path, JobsPath+"/") && (request.IsGet() || request.IsDelete()):
		server.queryJob(request, ptid.JobID(path[len(JobsPath)+1:]))
	case request.IsGet() && server.admin.Handle(request):
	default:
		request.Error("no such path, or not with this method\n", fasthttp.StatusNotFound)
	}
}

func (server *Server) postJob(request *fasthttp.RequestCtx) {
	submission, problem := parseJob(request.PostBody())
	if problem != "" {
		writeRefusal(request, &ptentry.RefusalError{Reason: ptreason.BadInput, Message: problem})
		return
	}
	if submission.Key == "" {
		submission.Key = ptid.SubmissionKey(request.Request.Header.Peek(HeaderIdempotencyKey))
	}
	server.run(request, submission, writeJob)
}

func (server *Server) postRequest(request *fasthttp.RequestCtx, profile ptid.ProfileName) {
	server.run(request, &ptentry.Submission{
		Profile: profile,
		Key:     ptid.SubmissionKey(request.Request.Header.Peek(HeaderIdempotencyKey)),
		Tasks: []ptjob.Payload{{
			ContentType: string(request.Request.Header.ContentType()),
			Data:        append([]byte(nil), request.PostBody()...),
		}},
	}, writeSingleAnswer)
}

// outcomeWriter writes the outcome of a job as the response.
type outcomeWriter func(request *fasthttp.RequestCtx, job ptid.JobID, outcome ptjob.Outcome)

// run submits a job, waits for its end and writes the response.
func (server *Server) run(request *fasthttp.RequestCtx, submission *ptentry.Submission, write outcomeWriter) {
	span := server.tracer.Start(string(request.Request.Header.Peek("traceparent")), pttrace.SpanRequest, "", 0)
	submission.Traceparent = span.Traceparent()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	result, err := server.entry.SubmitDeduplicated(ctx, submission)
	if err != nil {
		span.End(err)
		writeRefusal(request, ptentry.AsRefusal(err))
		return
	}
	if result.Existing != nil {
		span.End(nil)
		write(request, result.JobID, result.Existing.Outcome)
		return
	}
	server.wait(request, result.Handle)
	outcome := result.Handle.Outcome()
	span.End(outcomeError(outcome))
	write(request, result.JobID, outcome)
}

func outcomeError(outcome ptjob.Outcome) error {
	if outcome.Result == ptjob.ResultComplete {
		return nil
	}
	return errors.New(string(outcome.Reason))
}

// wait returns when the job has ended. If the caller closes its connection, wait cancels the
// job.
func (server *Server) wait(request *fasthttp.RequestCtx, handle *ptentry.JobHandle) {
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	callerClosed := false
	for {
		select {
		case <-handle.Done():
			return
		case <-ticker.C:
			if !callerClosed && pttransport.NewProbe(request.Conn()).ClosedByPeer() {
				callerClosed = true
				handle.Cancel()
			}
		}
	}
}

// queryJob serves GET and DELETE of a job. The job can belong to any entry.
func (server *Server) queryJob(request *fasthttp.RequestCtx, id ptid.JobID) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	status, err := server.entry.QueryJob(ctx, id, request.IsDelete(), false)
	switch {
	case err != nil:
		writeJSON(request, fasthttp.StatusNotFound, unknownJobResponse(id))
	case !status.Ended:
		writeJSON(request, fasthttp.StatusOK, openJobResponse(id))
	case status.Outcome.Result == ptjob.ResultComplete && !status.AnswersRetained:
		writeJSON(request, fasthttp.StatusOK, expiredJobResponse(id))
	default:
		writeJob(request, id, status.Outcome)
	}
}

// writeRefusal responds that the job was refused and none of its tasks was started.
func writeRefusal(request *fasthttp.RequestCtx, refusal *ptentry.RefusalError) {
	request.Response.Header.Set(HeaderOutcome, string(ptjob.ResultNotRun))
	status := refusalStatus(refusal.Reason)
	if status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable {
		setRetryAfter(request, refusal.RetryAfter)
	}
	writeJSON(request, status, refusalBody(refusal))
}

func setRetryAfter(request *fasthttp.RequestCtx, wait time.Duration) {
	seconds := max(1, int((wait+time.Second-1)/time.Second))
	request.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
}

// refusalStatus returns the HTTP status of a refusal.
func refusalStatus(reason ptreason.Reason) int {
	switch reason {
	case ptreason.BadInput, ptreason.SubmissionKeyMissing, ptreason.SubmissionDiffers, ptreason.DeadlinePassed:
		return fasthttp.StatusBadRequest
	case ptreason.UnknownProfile:
		return fasthttp.StatusNotFound
	case ptreason.TooLarge, ptreason.TooManyTasks:
		return fasthttp.StatusRequestEntityTooLarge
	case ptreason.QueueFull, ptreason.PredictedWait, ptreason.QuotaZero:
		return fasthttp.StatusTooManyRequests
	default:
		return fasthttp.StatusServiceUnavailable
	}
}
