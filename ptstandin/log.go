// Package ptstandin holds small stand-ins for what the system meets outside: the
// platform's log and an upstream, each with switches for its faults.
//
// # Usage
//
//	log := ptstandin.NewLog()
//	go log.Serve(listener)
//	log.SetFaults(ptstandin.LogFaults{Down: true})
//
// Both serve POST /v1/faults with the same fields as JSON, so that a script can
// switch faults of a separate process.
//
// # Limits
//
// The stand-in of the log keeps its records in memory, and it knows nothing of
// several writers' clocks: its offsets are the order in which appends arrived.
package ptstandin

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlog"
)

const (
	streamsPath     = "/v1/streams/"
	faultsPath      = "/v1/faults"
	defaultLimit    = 1000
	maxLimit        = 10_000
	logMaxBody      = 16 << 20
	longestLongPoll = 30 * time.Second
)

// LogFaults are the switches of the log stand-in.
type LogFaults struct {
	// Down answers everything with 503.
	Down bool `json:"down"`
	// SlowMillis delays every call.
	SlowMillis int `json:"slowMillis"`
	// LoseAppendResponses answers appends with 500 after they took effect.
	LoseAppendResponses bool `json:"loseAnswers"`
	// RetentionMillis removes older records; zero keeps all.
	RetentionMillis int `json:"retentionMillis"`
}

type storedRecord struct {
	data       []byte
	appendedAt time.Time
}

type stream struct {
	first   ptid.Offset
	records []storedRecord
	changed chan struct{}
}

// Log is the stand-in of the platform's log. It is safe for concurrent use.
type Log struct {
	server  *fasthttp.Server
	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	quit    chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log {
	log := &Log{streams: make(map[string]*stream), quit: make(chan struct{})}
	log.server = &fasthttp.Server{Handler: log.serve, MaxRequestBodySize: logMaxBody, CloseOnShutdown: true}
	return log
}

// Serve answers on a listener until Shutdown.
func (log *Log) Serve(listener net.Listener) error { return log.server.Serve(listener) }

// Shutdown stops the server; waiting reads return.
func (log *Log) Shutdown() error {
	close(log.quit)
	return log.server.Shutdown()
}

// SetFaults replaces the switches.
func (log *Log) SetFaults(faults LogFaults) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.faults = faults
}

func (log *Log) currentFaults() LogFaults {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.faults
}

func (log *Log) serve(request *fasthttp.RequestCtx) {
	path := string(request.Path())
	if path == faultsPath && request.IsPost() {
		var faults LogFaults
		if decodeFaults(request, &faults) {
			log.SetFaults(faults)
		}
		return
	}
	faults := log.currentFaults()
	time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
	if faults.Down {
		request.Error("the log is down", fasthttp.StatusServiceUnavailable)
		return
	}
	name, isStream := strings.CutPrefix(path, streamsPath)
	switch {
	case isStream && request.IsPost():
		log.append(request, name)
	case isStream && request.IsGet():
		log.read(request, name)
	default:
		request.Error("not found", fasthttp.StatusNotFound)
	}
}

func decodeFaults(request *fasthttp.RequestCtx, faults any) (ok bool) {
	if err := json.Unmarshal(request.PostBody(), faults); err != nil {
		request.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// stream returns a stream by name. The caller holds the lock.
func (log *Log) stream(name string) *stream {
	found := log.streams[name]
	if found == nil {
		found = &stream{changed: make(chan struct{})}
		log.streams[name] = found
	}
	return found
}

// expire removes records past the retention. The caller holds the lock.
func (log *Log) expire(stream *stream) {
	if log.faults.RetentionMillis == 0 {
		return
	}
	oldest := time.Now().Add(-time.Duration(log.faults.RetentionMillis) * time.Millisecond)
	for len(stream.records) > 0 && stream.records[0].appendedAt.Before(oldest) {
		stream.records = stream.records[1:]
		stream.first++
	}
}

func (log *Log) append(request *fasthttp.RequestCtx, name string) {
	log.mu.Lock()
	stream := log.stream(name)
	log.expire(stream)
	offset := stream.first + ptid.Offset(len(stream.records))
	stream.records = append(stream.records, storedRecord{
		data: append([]byte(nil), request.PostBody()...), appendedAt: time.Now(),
	})
	close(stream.changed)
	stream.changed = make(chan struct{})
	lose := log.faults.LoseAppendResponses
	log.mu.Unlock()
	if lose {
		request.Error("the answer was lost", fasthttp.StatusInternalServerError)
		return
	}
	replyJSON(request, map[string]ptid.Offset{"offset": offset})
}

func (log *Log) read(request *fasthttp.RequestCtx, name string) {
	query := request.QueryArgs()
	from := ptid.Offset(query.GetUintOrZero("from"))
	limit := query.GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultLimit
	}
	wait := min(time.Duration(query.GetUintOrZero("waitMillis"))*time.Millisecond, longestLongPoll)
	waitUntil := time.Now().Add(wait)
	for {
		batch, changed := log.batch(name, from, min(limit, maxLimit))
		remaining := time.Until(waitUntil)
		if len(batch.Records) > 0 || remaining <= 0 || log.currentFaults().Down {
			replyJSON(request, batch)
			return
		}
		select {
		case <-log.quit:
			request.Error("the log stops", fasthttp.StatusServiceUnavailable)
			return
		case <-changed:
		case <-time.After(min(remaining, 100*time.Millisecond)):
		}
	}
}

func (log *Log) batch(name string, from ptid.Offset, limit int) (batch ptlog.Batch, changed chan struct{}) {
	log.mu.Lock()
	defer log.mu.Unlock()
	stream := log.stream(name)
	log.expire(stream)
	batch.OldestOffset, batch.Records = stream.first, []ptlog.Record{}
	start := max(from, stream.first)
	for at := start; at < stream.first+ptid.Offset(len(stream.records)) && len(batch.Records) < limit; at++ {
		batch.Records = append(batch.Records, ptlog.Record{Offset: at, Data: stream.records[at-stream.first].data})
	}
	return batch, stream.changed
}

func replyJSON(request *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		request.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	request.SetContentType("application/json")
	request.SetBody(body)
}

func parseIndex(text []byte) (index uint64) {
	index, _ = strconv.ParseUint(string(text), 10, 64)
	return index
}
