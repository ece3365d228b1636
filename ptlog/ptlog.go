// Package ptlog is the port to the platform's append-only log, its HTTP adapter,
// and a tail that follows one stream.
//
// # How it works
//
//  1. An append whose answer is lost may have taken effect. [Log.Append] never
//     repeats one; callers read the stream back and look for their own id.
//  2. A tail delivers the records of a stream in order, exactly once, from an
//     offset on. Where older records have expired it tells of the gap.
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
	// readSlack is how much longer than its wait a read may take.
	readSlack  = 2 * time.Second
	maxRecords = 64 << 20
)

// Record is one record of a stream.
type Record struct {
	Offset ptid.Offset `json:"offset"`
	Data   []byte      `json:"data"`
}

// Batch is what one read returns. First is the offset of the oldest record that
// the log still has.
type Batch struct {
	OldestOffset ptid.Offset `json:"first"`
	Records      []Record    `json:"records"`
}

// Log is the port to the platform's log.
type Log interface {
	// Append adds a record. After an error the record may still be in the stream.
	Append(ctx context.Context, stream string, data []byte) (offset ptid.Offset, err error)
	// Read returns records from an offset on, after waiting for the first one at most wait.
	Read(ctx context.Context, stream string, from ptid.Offset, limit int, wait time.Duration) (batch Batch, err error)
}

// Client is the HTTP adapter of the port. It is safe for concurrent use.
type Client struct {
	base   string
	client *fasthttp.Client
}

// New returns a client of the log at a URL.
func New(base string) *Client {
	return &Client{base: base, client: &fasthttp.Client{
		NoDefaultUserAgentHeader: true, MaxResponseBodySize: maxRecords,
		// The client must not repeat an append by itself.
		MaxIdemponentCallAttempts: 1,
	}}
}

// Append implements [Log].
func (client *Client) Append(_ context.Context, stream string, data []byte) (offset ptid.Offset, err error) {
	defer func() { err = errors.Wrapf(err, "append to the stream %s", stream) }()
	var reply struct {
		Offset ptid.Offset `json:"offset"`
	}
	err = client.call(fasthttp.MethodPost, "/v1/streams/"+stream, data, AppendTimeout, &reply)
	return reply.Offset, err
}

// Read implements [Log].
func (client *Client) Read(_ context.Context, stream string, from ptid.Offset, limit int, wait time.Duration) (batch Batch, err error) {
	defer func() { err = errors.Wrapf(err, "read the stream %s", stream) }()
	path := "/v1/streams/" + stream + "?from=" + strconv.FormatInt(int64(from), 10) +
		"&limit=" + strconv.Itoa(limit) + "&waitMillis=" + strconv.FormatInt(wait.Milliseconds(), 10)
	err = client.call(fasthttp.MethodGet, path, nil, wait+readSlack, &batch)
	return batch, err
}

func (client *Client) call(method, path string, body []byte, timeout time.Duration, reply any) (err error) {
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
	return errors.Wrap(json.Unmarshal(response.Body(), reply), "decode the reply")
}
