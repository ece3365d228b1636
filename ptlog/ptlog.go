// Package ptlog defines the interface to the platform's append-only log, its HTTP client,
// and a function that follows one stream.
//
// # How it works
//
//  1. An append whose response is lost may have taken effect. [Log.Append] never
//     retries; callers read the stream and look for the ID of their own record.
//  2. [Tail] delivers the records of a stream from an offset on, in order and exactly
//     once. If records have expired, it reports a gap.
//
// # Usage
//
//	log := ptlog.New("http://127.0.0.1:7000")
//	offset, err := log.Append(ctx, "configuration", record)
//	batch, err := log.Read(ctx, "configuration", from, limit, wait)
package ptlog

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// AppendTimeout bounds one append.
	AppendTimeout = 2 * time.Second
	// readTimeoutMargin is added to the long-poll wait to get the timeout of a read.
	readTimeoutMargin = 2 * time.Second
	maxResponseBody   = 64 << 20
)

// Record is one record of a stream.
type Record struct {
	Offset ptid.Offset `json:"offset"`
	Data   []byte      `json:"data"`
}

// Batch is the result of one read. OldestOffset is the offset of the oldest record that
// the log still has.
type Batch struct {
	OldestOffset ptid.Offset `json:"first"`
	Records      []Record    `json:"records"`
}

// Log is the interface to the platform's log.
type Log interface {
	// Append adds a record. If it returns an error, the record may still be in the stream.
	Append(ctx context.Context, stream string, data []byte) (offset ptid.Offset, err error)
	// Read returns the records from an offset on. If there is none yet, it waits for at
	// most wait.
	Read(ctx context.Context, stream string, from ptid.Offset, limit int, wait time.Duration) (batch Batch, err error)
}

// Client is an HTTP client of the log. It is safe for concurrent use.
type Client struct {
	base   string
	client *fasthttp.Client
}

// New returns a client of the log at a base URL.
func New(base string) *Client {
	return &Client{base: base, client: &fasthttp.Client{
		NoDefaultUserAgentHeader: true, MaxResponseBodySize: maxResponseBody,
		// The HTTP client must not retry an append.
		MaxIdemponentCallAttempts: 1,
	}}
}

// Append implements [Log].
func (client *Client) Append(_ context.Context, stream string, data []byte) (offset ptid.Offset, err error) {
	defer func() { err = errors.Wrapf(err, "append to stream %s", stream) }()
	var response struct {
		Offset ptid.Offset `json:"offset"`
	}
	err = client.call(fasthttp.MethodPost, "/v1/streams/"+stream, data, AppendTimeout, &response)
	return response.Offset, err
}

// Read implements [Log].
func (client *Client) Read(_ context.Context, stream string, from ptid.Offset, limit int, wait time.Duration) (batch Batch, err error) {
	defer func() { err = errors.Wrapf(err, "read stream %s", stream) }()
	path := "/v1/streams/" + stream + "?from=" + strconv.FormatInt(int64(from), 10) +
		"&limit=" + strconv.Itoa(limit) + "&waitMillis=" + strconv.FormatInt(wait.Milliseconds(), 10)
	err = client.call(fasthttp.MethodGet, path, nil, wait+readTimeoutMargin, &batch)
	return batch, err
}

func (client *Client) call(method, path string, body []byte, timeout time.Duration, result any) (err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(client.base + path)
	request.SetBodyRaw(body)
	if err := client.client.DoTimeout(request, response, timeout); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("status %d: %s", response.StatusCode(), response.Body())
	}
	return errors.Wrap(json.Unmarshal(response.Body(), result), "decode response")
}
