package ptlisten

import (
	"io"
	"sync"

	"github.com/valyala/fasthttp"
)

const (
	// uncharged is the size up to which a body is read without a reservation. The HTTP server reads that much
	// of a body before it calls the handler; the plan counts it to the connection.
	uncharged = 8 << 10
	// chunkedBuffer is the first size of the buffer of a body without a declared length.
	chunkedBuffer = 4 << 10
)

var smallBuffers = sync.Pool{New: func() any { buffer := make([]byte, uncharged); return &buffer }}

// Body is the body of a request, or why it was not read.
type Body struct {
	Bytes []byte
	// Status is the HTTP status to respond with; zero if the body has been read.
	Status   int
	conn     *Conn
	reserved int64
	pooled   *[]byte
}

// Release returns the memory of the body, which must not be used any more.
func (body *Body) Release() {
	if body.pooled != nil {
		smallBuffers.Put(body.pooled)
		body.pooled = nil
	}
	body.conn.Release(body.reserved)
	body.Bytes, body.reserved = nil, 0
}

// RefuseBody makes the connection end after the response if the request has a body that the handler does not
// read. Small bodies have been read by the server.
func RefuseBody(request *fasthttp.RequestCtx) {
	if length := request.Request.Header.ContentLength(); length > uncharged || length == -1 {
		request.SetConnectionClose()
	}
}

// ReadBody reads the body of a request of at most limit bytes, as far as the budget allows. The server must
// have StreamRequestBody. If the body is not read completely, the connection ends after the response.
func ReadBody(request *fasthttp.RequestCtx, limit int) (body Body) {
	body.conn = Of(request.Conn())
	if body.conn != nil {
		body.conn.inBody = true
		defer func() { body.conn.inBody = false }()
	}
	length, stream := request.Request.Header.ContentLength(), request.RequestBodyStream()
	switch {
	case length == 0 || stream == nil:
		return body
	case length > limit:
		body.Status = fasthttp.StatusRequestEntityTooLarge
	case length > 0:
		body.readDeclared(stream, length)
	default:
		body.readChunked(stream, limit)
	}
	if body.Status != 0 {
		request.SetConnectionClose()
		if body.Status == fasthttp.StatusRequestEntityTooLarge && body.conn != nil {
			body.conn.listener.count(reasonTooLarge)
		}
		body.Release()
	}
	return body
}

// reserve charges for size bytes in all.
func (body *Body) reserve(size int) bool {
	more := int64(size) - body.reserved
	if size <= uncharged {
		return true
	}
	if !body.conn.Reserve(more) {
		return false
	}
	body.reserved += more
	return true
}

func (body *Body) readDeclared(stream io.Reader, length int) {
	if length <= uncharged {
		body.pooled = smallBuffers.Get().(*[]byte) //nolint:errcheck // the pool holds nothing else
		body.Bytes = (*body.pooled)[:length]
	} else {
		if !body.reserve(length) {
			body.Status = fasthttp.StatusServiceUnavailable
			return
		}
		body.Bytes = make([]byte, length)
	}
	if _, err := io.ReadFull(stream, body.Bytes); err != nil {
		body.Status = fasthttp.StatusRequestTimeout
	}
}

func (body *Body) readChunked(stream io.Reader, limit int) {
	buffer := make([]byte, 0, chunkedBuffer)
	for {
		size, err := stream.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+size]
		switch {
		case len(buffer) > limit:
			body.Status = fasthttp.StatusRequestEntityTooLarge
			return
		case err == io.EOF:
			body.Bytes = buffer
			return
		case err != nil:
			body.Status = fasthttp.StatusRequestTimeout
			return
		}
		if len(buffer) < cap(buffer) {
			continue
		}
		// One byte more than the limit tells a body of the largest size from a larger one.
		next := min(2*cap(buffer), limit+1)
		if !body.reserve(next) {
			body.Status = fasthttp.StatusServiceUnavailable
			return
		}
		buffer = append(make([]byte, 0, next), buffer...)
	}
}
