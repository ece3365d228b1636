// Package ptupstream is the agent's HTTP/1.1 client for its upstream.
//
// # How it works
//
//  1. A task has exclusive use of a connection from the first byte of its request to the last
//     byte of its answer, so closing the connection cancels this task only.
//  2. An idle connection is reused if it has been idle for less than [maxIdleTime], the upstream
//     has not closed it, and no unsolicited data has arrived on it. Connections idle for less
//     than [uncheckedIdleTime] are reused without a check. A request is never sent twice: if a
//     reused connection fails, it is unknown whether the task has started.
//  3. A response with a status of 2xx and a complete body is an answer. All other responses,
//     truncated bodies and closed connections are failures.
//
// # Usage
//
//	client, err := ptupstream.New("http://127.0.0.1:9000", maxBody)
//	call := client.Prepare(task)
//	err = call.Connect()              // nothing is sent yet
//	answer, err := call.Do(deadline)  // call.Cancel() from another goroutine
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
	maxIdleTime       = 4 * time.Second
	uncheckedIdleTime = 50 * time.Millisecond
	dialTimeout       = time.Second
	bufferSize        = 4096
)

// HTTP headers of a task request to the upstream.
const (
	HeaderJob         = "Primrosetiller-Job"
	HeaderTask        = "Primrosetiller-Task"
	HeaderProfile     = "Primrosetiller-Profile"
	HeaderDeadline    = "Primrosetiller-Deadline"
	HeaderTraceparent = "traceparent"
)

// Task holds the data of a request to the upstream.
type Task struct {
	ID          ptid.TaskID
	Profile     ptid.ProfileName
	Deadline    time.Time
	ContentType string
	Traceparent string
	Payload     []byte
}

// Answer is the complete response of the upstream to a task.
type Answer struct {
	ContentType string
	Body        []byte
}

// Failure is an error with the reason that is reported to the caller.
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

// Client holds the idle connections to one upstream. It is safe for concurrent use.
type Client struct {
	address string
	host    string
	path    string
	maxBody int
	mu      sync.Mutex
	idle    []*connection
}

// New returns a client of the upstream at a URL. maxBody is the maximum size of an answer in
// bytes.
func New(upstream string, maxBody int) (client *Client, err error) {
	parsed, err := url.Parse(upstream)
	if err != nil || parsed.Scheme != "http" || parsed.Port() == "" {
		return nil, errors.Errorf("upstream URL %q: want http://IP:PORT", upstream)
	}
	return &Client{address: parsed.Host, host: parsed.Host, path: parsed.Path + "/run", maxBody: maxBody}, nil
}

// Call is the request of one task. Cancel may be called at any time.
type Call struct {
	client    *Client
	task      Task
	mu        sync.Mutex
	conn      *connection
	cancelled bool
}

// Prepare returns the call of a task. Nothing is sent until [Call.Do].
func (client *Client) Prepare(task Task) *Call { return &Call{client: client, task: task} }

// Cancel cancels the call by closing its connection.
func (call *Call) Cancel() {
	call.mu.Lock()
	defer call.mu.Unlock()
	call.cancelled = true
	if call.conn != nil {
		_ = call.conn.Close()
	}
}

func (call *Call) attach(conn *connection) (attached bool) {
	call.mu.Lock()
	defer call.mu.Unlock()
	if call.cancelled {
		return false
	}
	call.conn = conn
	return true
}

// detach removes the connection from the call. It returns false if the call was cancelled.
func (call *Call) detach() (usable bool) {
	call.mu.Lock()
	defer call.mu.Unlock()
	call.conn = nil
	return !call.cancelled
}

// Connect opens a connection or takes an idle one. It sends nothing, so a task whose Connect
// failed has not started. Errors are of type [*Failure].
func (call *Call) Connect() (err error) {
	conn, err := call.client.connect()
	if err != nil {
		return &Failure{Reason: ptreason.UpstreamUnreachable, cause: err}
	}
	if !call.attach(conn) {
		_ = conn.Close()
		return &Failure{Reason: ptreason.Cancelled, cause: errors.New("the task was cancelled before its request was sent")}
	}
	return nil
}

// Abandon releases the connection of a connected call that will not be sent.
func (call *Call) Abandon() {
	conn := call.conn
	if call.detach() {
		call.client.returnIdle(conn)
		return
	}
	_ = conn.Close()
}

// Do sends the request of a connected call and returns the complete answer. It fails at the
// deadline. Errors are of type [*Failure].
func (call *Call) Do(deadline time.Time) (answer Answer, err error) {
	conn := call.conn
	answer, reusable, err := call.exchange(conn, deadline)
	if err != nil && !time.Now().Before(deadline) {
		err = &Failure{Reason: ptreason.RunTimeout, cause: err}
	}
	if !call.detach() {
		_ = conn.Close()
		if err != nil {
			return Answer{}, &Failure{Reason: ptreason.Cancelled, cause: err}
		}
		return answer, nil
	}
	if reusable && err == nil {
		call.client.returnIdle(conn)
	} else {
		_ = conn.Close()
	}
	return answer, err
}

func (call *Call) exchange(conn *connection, deadline time.Time) (answer Answer, reusable bool, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	call.fillRequest(request)
	if err := conn.SetDeadline(deadline); err != nil {
		return Answer{}, false, &Failure{Reason: ptreason.UpstreamClosed, cause: err}
	}
	if err := request.Write(conn.writer); err != nil {
		return Answer{}, false, exchangeFailure(err)
	}
	if err := conn.writer.Flush(); err != nil {
		return Answer{}, false, exchangeFailure(err)
	}
	if err := response.ReadLimitBody(conn.reader, call.client.maxBody); err != nil {
		return Answer{}, false, exchangeFailure(err)
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

func (call *Call) fillRequest(request *fasthttp.Request) {
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

func exchangeFailure(cause error) *Failure {
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
		// No upstream closes a connection after so short an idle time, so the check is skipped.
		if idle < uncheckedIdleTime || (idle < maxIdleTime && pttransport.Idle(conn.Conn)) {
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

func (client *Client) returnIdle(conn *connection) {
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
