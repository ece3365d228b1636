// Package ptfront serves callers over HTTP.
//
// # How it works
//
//  1. POST /v1/jobs and POST /v1/requests/{profile} wait for the end of the job.
//     The reply is whole or an error, never a part.
//  2. A caller that closes its connection while it waits has its job cancelled.
//  3. GET and DELETE of a job go to the entry that owns it, which its id names.
//  4. Every body that can't be read is refused with a message that names the fault,
//     and nothing of it runs.
//
// # Usage
//
//	front := ptfront.New(entry, setting, tracer, metrics)
//	err := front.Serve(listener)
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

// Paths and headers of the interface.
const (
	JobsPath             = "/v1/jobs"
	RequestsPath         = "/v1/requests/"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Primrosetiller-Outcome"
	HeaderJob            = "Primrosetiller-Job"
)

const (
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	callerInterval = 500 * time.Millisecond
	mostConns      = 20_000
	discardTimeout = 2 * time.Second
	discardBuffer  = 32 << 10
)

// Setting is what an operator chooses.
type Setting struct {
	// MaxBodyBytes bounds a request's body in bytes.
	MaxBodyBytes int
}

// Server is the HTTP server for callers.
type Server struct {
	entry  *ptentry.Entry
	admin  *ptadmin.Server
	tracer *pttrace.Tracer
	server *fasthttp.Server
}

// New returns a front that does not serve yet.
func New(entry *ptentry.Entry, setting Setting, tracer *pttrace.Tracer, metrics *ptmetric.Set, logger logr.Logger) *Server {
	front := &Server{entry: entry, tracer: tracer, admin: ptadmin.New(metrics, entry.Ready, nil)}
	front.server = &fasthttp.Server{
		Handler: front.serve, ErrorHandler: serveError, MaxRequestBodySize: setting.MaxBodyBytes,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		Concurrency: mostConns, NoDefaultServerHeader: true, CloseOnShutdown: true,
		Logger: quietLogger{logger},
	}
	return front
}

// quietLogger keeps the server's lines for each bad connection at a low level.
type quietLogger struct{ logger logr.Logger }

// Printf implements fasthttp.Logger.
func (quiet quietLogger) Printf(format string, details ...any) {
	quiet.logger.V(1).Info("http", "format", format, "details", details)
}

// Serve answers callers on a listener until Shutdown.
func (front *Server) Serve(listener net.Listener) error { return front.server.Serve(listener) }

// Shutdown stops taking connections and waits for the requests in flight.
func (front *Server) Shutdown() error { return front.server.Shutdown() }

// serveError answers requests that could not be read.
func serveError(request *fasthttp.RequestCtx, err error) {
	var tooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.As(err, &tooLarge):
		discardBody(request)
		writeNotRun(request, &ptentry.RefusalError{Reason: ptreason.TooLarge, Message: "the request passes the limit of the entry"})
	default:
		writeNotRun(request, &ptentry.RefusalError{Reason: ptreason.BadInput, Message: "the request can't be read: " + err.Error()})
	}
	request.SetConnectionClose()
}

// discardBody reads what a caller still sends of a body that is not taken, so that
// the reply is not lost with a reset connection. It is bounded in time.
func discardBody(request *fasthttp.RequestCtx) {
	conn := request.Conn()
	if conn.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	buffer := make([]byte, discardBuffer)
	for left := request.Request.Header.ContentLength(); left > 0; {
		size, err := conn.Read(buffer)
		left -= size
		// The server has read ahead, so the last bytes never come.
		if err != nil || left <= discardBuffer {
			return
		}
	}
}

func (front *Server) serve(request *fasthttp.RequestCtx) {
	path := string(request.Path())
	switch {
	case path == JobsPath && request.IsPost():
		front.postJob(request)
	case strings.HasPrefix(path, RequestsPath) && request.IsPost():
		front.postRequest(request, ptid.ProfileName(path[len(RequestsPath):]))
	case strings.HasPrefix(path, JobsPath+"/") && (request.IsGet() || request.IsDelete()):
		front.queryJob(request, ptid.JobID(path[len(JobsPath)+1:]))
	case request.IsGet() && front.admin.Handle(request):
	default:
		request.Error("no such path, or not with this method\n", fasthttp.StatusNotFound)
	}
}

func (front *Server) postJob(request *fasthttp.RequestCtx) {
	submission, problem := parseJob(request.PostBody())
	if problem != "" {
		writeNotRun(request, &ptentry.RefusalError{Reason: ptreason.BadInput, Message: problem})
		return
	}
	if submission.Key == "" {
		submission.Key = ptid.SubmissionKey(request.Request.Header.Peek(HeaderIdempotencyKey))
	}
	front.run(request, submission, writeJob)
}

func (front *Server) postRequest(request *fasthttp.RequestCtx, profile ptid.ProfileName) {
	front.run(request, &ptentry.Submission{
		Profile: profile,
		Key:     ptid.SubmissionKey(request.Request.Header.Peek(HeaderIdempotencyKey)),
		Tasks: []ptjob.Payload{{
			ContentType: string(request.Request.Header.ContentType()),
			Data:        append([]byte(nil), request.PostBody()...),
		}},
	}, writeSingle)
}

// writer writes the end of a job as a reply.
type writer func(request *fasthttp.RequestCtx, job ptid.JobID, outcome ptjob.Outcome)

// run submits, waits for the end and replies.
func (front *Server) run(request *fasthttp.RequestCtx, submission *ptentry.Submission, write writer) {
	span := front.tracer.Start(string(request.Request.Header.Peek("traceparent")), pttrace.SpanRequest, "", 0)
	submission.Traceparent = span.Traceparent()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	result, err := front.entry.SubmitDeduplicated(ctx, submission)
	if err != nil {
		span.End(err)
		writeNotRun(request, ptentry.AsRefusal(err))
		return
	}
	if result.Existing != nil {
		span.End(nil)
		write(request, result.JobID, result.Existing.Outcome)
		return
	}
	front.wait(request, result.Handle)
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

// wait returns when the job has ended. A caller that is gone has it cancelled.
func (front *Server) wait(request *fasthttp.RequestCtx, ticket *ptentry.JobHandle) {
	ticker := time.NewTicker(callerInterval)
	defer ticker.Stop()
	gone := false
	for {
		select {
		case <-ticket.Done():
			return
		case <-ticker.C:
			if !gone && pttransport.ClosedByPeer(request.Conn()) {
				gone = true
				ticket.Cancel()
			}
		}
	}
}

// queryJob serves GET and DELETE of a job through any entry.
func (front *Server) queryJob(request *fasthttp.RequestCtx, id ptid.JobID) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	report, err := front.entry.QueryJob(ctx, id, request.IsDelete(), false)
	switch {
	case err != nil:
		writeJSON(request, fasthttp.StatusNotFound, unknownJob(id))
	case !report.Ended:
		writeJSON(request, fasthttp.StatusOK, openJob(id))
	case report.Outcome.Result == ptjob.ResultComplete && !report.AnswersRetained:
		writeJSON(request, fasthttp.StatusOK, droppedJob(id))
	default:
		writeJob(request, id, report.Outcome)
	}
}

// writeNotRun replies that nothing was started.
func writeNotRun(request *fasthttp.RequestCtx, refusal *ptentry.RefusalError) {
	request.Response.Header.Set(HeaderOutcome, string(ptjob.ResultNotRun))
	status := statusOf(refusal.Reason)
	if status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable {
		setRetryAfter(request, refusal.RetryAfter)
	}
	writeJSON(request, status, refusalBody(refusal))
}

func setRetryAfter(request *fasthttp.RequestCtx, wait time.Duration) {
	seconds := max(1, int((wait+time.Second-1)/time.Second))
	request.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
}

// statusOf returns the status of a refusal.
func statusOf(reason ptreason.Reason) int {
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
