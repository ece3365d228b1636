// Package ptupstream is the agent's HTTP/1.1 client to its upstream.
//
// # How it works
//
//  1. A task holds one connection from its first byte to the end of its answer,
//     so that closing the connection cancels exactly that task.
//  2. A connection is used again only where it has been idle for less than
//     [idleFor] and, unless it was in use a moment ago, shows no end of stream. A request is never sent twice: where a
//     used connection breaks, nobody can tell whether the task has started.
//  3. A status of 2xx with a whole body is an answer. Everything else, a short
//     body and a closed connection are failures.
//
// # Usage
//
//	client := ptupstream.New("http://127.0.0.1:9000", maxBody)
//	call := client.Prepare(task)
//	err := call.Connect()           // nothing is sent yet
//	answer, err := call.Do(runBy)   // call.Cancel() from another goroutine
package ptupstream

import (
	"bufio"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptreason"
	"github.com/primrosetiller/primrosetiller/pttransport"
)

const (
	idleFor     = 4 * time.Second
	freshFor    = 50 * time.Millisecond
	dialTimeout = time.Second
	bufferSize  = 4096
)

// Headers of a task towards the upstream.
const (
	HeaderJob         = "Primrosetiller-Job"
	HeaderTask        = "Primrosetiller-Task"
	HeaderProfile     = "Primrosetiller-Profile"
	HeaderDeadline    = "Primrosetiller-Deadline"
	HeaderTraceparent = "traceparent"
)

// Task is what the upstream is told.
type Task struct {
	ID          ptid.TaskID
	Profile     ptid.ProfileName
	Deadline    time.Time
	ContentType string
	Traceparent string
	Payload     []byte
}

// Answer is a whole answer of the upstream.
type Answer struct {
	ContentType string
	Body        []byte
}

// Failure is an error with the reason that the caller is told.
type Failure struct {
	Reason ptreason.Reason
	cause  error
}

// Error implements error.
func (failure *Failure) Error() string {
	return string(failure.Reason) + ": " + failure.cause.Error()
}

// Unwrap returns the cause.
func (failure *Failure) Unwrap() error { return failure.cause }

type connection struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
}

// Client keeps the idle connections to one upstream. It is safe for concurrent use.
type Client struct {
	address string
	host    string
	path    string
	maxBody int
	mu      sync.Mutex
	idle    []*connection
}

// New returns a client of the upstream at a URL. maxBody bounds an answer in bytes.
func New(upstream string, maxBody int) (client *Client, err error) {
	parsed, err := url.Parse(upstream)
	if err != nil || parsed.Scheme != "http" || parsed.Port() == "" {
		return nil, errors.Errorf("upstream URL %q: want http://IP:PORT", upstream)
	}
	return &Client{address: parsed.Host, host: parsed.Host, path: parsed.Path + "/run", maxBody: maxBody}, nil
}

// Call is one task on its way. Cancel may be called at any time.
type Call struct {
	client    *Client
	task      Task
	mu        sync.Mutex
	conn      *connection
	cancelled bool
}

// Prepare returns the call of a task; nothing is sent yet.
func (client *Client) Prepare(task Task) *Call { return &Call{client: client, task: task} }

// Cancel closes the connection of the task.
func (call *Call) Cancel() {
	call.mu.Lock()
	defer call.mu.Unlock()
	call.cancelled = true
	if call.conn != nil {
		_ = call.conn.Close()
	}
}

func (call *Call) hold(conn *connection) (held bool) {
	call.mu.Lock()
	defer call.mu.Unlock()
	if call.cancelled {
		return false
	}
	call.conn = conn
	return true
}

// release gives the connection up. It is false where the call was cancelled.
func (call *Call) release() (usable bool) {
	call.mu.Lock()
	defer call.mu.Unlock()
	call.conn = nil
	return !call.cancelled
}

// Connect opens the connection, or takes an idle one. Nothing is sent, so a task
// whose Connect failed has not started. Errors are of type [*Failure].
func (call *Call) Connect() (err error) {
	conn, err := call.client.connect()
	if err != nil {
		return &Failure{Reason: ptreason.UpstreamUnreachable, cause: err}
	}
	if !call.hold(conn) {
		_ = conn.Close()
		return &Failure{Reason: ptreason.Cancelled, cause: errors.New("cancelled before it was sent")}
	}
	return nil
}

// Abandon gives up a connected call that is not to be sent.
func (call *Call) Abandon() {
	conn := call.conn
	if call.release() {
		call.client.keep(conn)
		return
	}
	_ = conn.Close()
}

// Do sends a connected task and waits for its whole answer until runBy. Errors
// are of type [*Failure].
func (call *Call) Do(runBy time.Time) (answer Answer, err error) {
	conn := call.conn
	answer, keep, err := call.exchange(conn, runBy)
	if err != nil && !time.Now().Before(runBy) {
		err = &Failure{Reason: ptreason.RunTimeout, cause: err}
	}
	if !call.release() {
		_ = conn.Close()
		if err != nil {
			return Answer{}, &Failure{Reason: ptreason.Cancelled, cause: err}
		}
		return answer, nil
	}
	if keep && err == nil {
		call.client.keep(conn)
	} else {
		_ = conn.Close()
	}
	return answer, err
}

func (call *Call) exchange(conn *connection, runBy time.Time) (answer Answer, keep bool, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	call.fill(request)
	if err := conn.SetDeadline(runBy); err != nil {
		return Answer{}, false, &Failure{Reason: ptreason.UpstreamClosed, cause: err}
	}
	if err := request.Write(conn.writer); err != nil {
		return Answer{}, false, readFailure(err)
	}
	if err := conn.writer.Flush(); err != nil {
		return Answer{}, false, readFailure(err)
	}
	if err := response.ReadLimitBody(conn.reader, call.client.maxBody); err != nil {
		return Answer{}, false, readFailure(err)
	}
	if status := response.StatusCode(); status < 200 || status > 299 {
		return Answer{}, !response.ConnectionClose(), &Failure{
			Reason: ptreason.UpstreamStatus, cause: errors.Errorf("status %d", status),
		}
	}
	answer.ContentType = string(response.Header.ContentType())
	answer.Body = append([]byte(nil), response.Body()...)
	return answer, !response.ConnectionClose(), nil
}

func (call *Call) fill(request *fasthttp.Request) {
	task := call.task
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(call.client.path)
	request.Header.SetHost(call.client.host)
	if task.ContentType != "" {
		request.Header.SetContentType(task.ContentType)
	}
	request.Header.Set(HeaderJob, string(task.ID.Job))
	request.Header.Set(HeaderTask, strconv.FormatUint(uint64(task.ID.Index), 10))
	request.Header.Set(HeaderProfile, string(task.Profile))
	request.Header.Set(HeaderDeadline, task.Deadline.UTC().Format(time.RFC3339Nano))
	if task.Traceparent != "" {
		request.Header.Set(HeaderTraceparent, task.Traceparent)
	}
	request.SetBodyRaw(task.Payload)
}

func readFailure(cause error) *Failure {
	if errors.Is(cause, fasthttp.ErrBodyTooLarge) {
		return &Failure{Reason: ptreason.AnswerTooLarge, cause: cause}
	}
	return &Failure{Reason: ptreason.UpstreamClosed, cause: cause}
}

func (client *Client) connect() (conn *connection, err error) {
	for {
		conn = client.takeIdle()
		if conn == nil {
			break
		}
		idle := time.Since(conn.idleSince)
		// No upstream times a connection out this soon, so the look is spared.
		if idle < freshFor || (idle < idleFor && pttransport.Idle(conn.Conn)) {
			return conn, nil
		}
		_ = conn.Close()
	}
	dialed, err := net.DialTimeout("tcp", client.address, dialTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "dial the upstream")
	}
	return &connection{
		Conn:   dialed,
		reader: bufio.NewReaderSize(dialed, bufferSize),
		writer: bufio.NewWriterSize(dialed, bufferSize),
	}, nil
}

func (client *Client) takeIdle() (conn *connection) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if len(client.idle) == 0 {
		return nil
	}
	last := len(client.idle) - 1
	conn = client.idle[last]
	client.idle = client.idle[:last]
	return conn
}

func (client *Client) keep(conn *connection) {
	conn.idleSince = time.Now()
	client.mu.Lock()
	defer client.mu.Unlock()
	client.idle = append(client.idle, conn)
}

// Close closes the idle connections.
func (client *Client) Close() {
	for conn := client.takeIdle(); conn != nil; conn = client.takeIdle() {
		_ = conn.Close()
	}
}
