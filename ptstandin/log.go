// Package ptstandin provides test doubles of the system's dependencies, such as the
// platform's log and an upstream, with fault injection.
//
// # Usage
//
//	log := ptstandin.NewLog()
//	go log.Serve(listener)
//	log.SetFaults(ptstandin.LogFaults{Down: true})
//
// The log and the upstream serve POST /v1/faults, which takes the fields of [LogFaults] or
// [UpstreamFaults] as JSON, so that a script can inject faults into a separate process.
//
// # Limits
//
// The log keeps its records in memory. It does not model clock differences between
// writers: offsets follow the order in which appends arrive.
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
	streamsPath   = "/v1/streams/"
	faultsPath    = "/v1/faults"
	defaultLimit  = 1000
	maxLimit      = 10_000
	maxAppendBody = 16 << 20
	maxWait       = 30 * time.Second
)

// LogFaults are the faults that a log injects.
type LogFaults struct {
	// Down makes every request fail with status 503.
	Down bool `json:"down"`
	// SlowMillis delays every request, in milliseconds.
	SlowMillis int `json:"slowMillis"`
	// LoseAppendResponses makes every append fail with status 500 after it took effect.
	LoseAppendResponses bool `json:"loseAnswers"`
	// RetentionMillis is the age in milliseconds at which records expire; zero means never.
	RetentionMillis int `json:"retentionMillis"`
}

type storedRecord struct {
	data       []byte
	appendedAt time.Time
}

type stream struct {
	firstOffset ptid.Offset
	records     []storedRecord
	appended    chan struct{}
}

// Log is a test double of the platform's log. It is safe for concurrent use.
type Log struct {
	server  *fasthttp.Server
	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	stopped chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log {
	log := &Log{streams: make(map[string]*stream), stopped: make(chan struct{})}
	log.server = &fasthttp.Server{Handler: log.serve, MaxRequestBodySize: maxAppendBody, CloseOnShutdown: true}
	return log
}

// Serve serves requests on a listener until Shutdown.
func (log *Log) Serve(listener net.Listener) error { return log.server.Serve(listener) }

// Shutdown stops the server and ends the long-poll reads.
func (log *Log) Shutdown() error {
	close(log.stopped)
	return log.server.Shutdown()
}

// SetFaults replaces the injected faults.
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
		if decodeJSON(request, &faults) {
			log.SetFaults(faults)
		}
		return
	}
	faults := log.currentFaults()
	time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
	if faults.Down {
		request.Error("injected fault: log down", fasthttp.StatusServiceUnavailable)
		return
	}
	name, isStream := strings.CutPrefix(path, streamsPath)
	switch {
	case isStream && request.IsPost():
		log.appendRecord(request, name)
	case isStream && request.IsGet():
		log.readRecords(request, name)
	default:
		request.Error("not found", fasthttp.StatusNotFound)
	}
}

func decodeJSON(request *fasthttp.RequestCtx, target any) (ok bool) {
	if err := json.Unmarshal(request.PostBody(), target); err != nil {
		request.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// stream returns the stream with a name and creates it if necessary. The caller holds the
// lock.
func (log *Log) stream(name string) *stream {
	found := log.streams[name]
	if found == nil {
		found = &stream{appended: make(chan struct{})}
		log.streams[name] = found
	}
	return found
}

// expire removes records older than the retention. The caller holds the lock.
func (log *Log) expire(stream *stream) {
	if log.faults.RetentionMillis == 0 {
		return
	}
	oldest := time.Now().Add(-time.Duration(log.faults.RetentionMillis) * time.Millisecond)
	for len(stream.records) > 0 && stream.records[0].appendedAt.Before(oldest) {
		stream.records = stream.records[1:]
		stream.firstOffset++
	}
}

func (log *Log) appendRecord(request *fasthttp.RequestCtx, name string) {
	log.mu.Lock()
	stream := log.stream(name)
	log.expire(stream)
	offset := stream.firstOffset + ptid.Offset(len(stream.records))
	stream.records = append(stream.records, storedRecord{
		data: append([]byte(nil), request.PostBody()...), appendedAt: time.Now(),
	})
	close(stream.appended)
	stream.appended = make(chan struct{})
	loseResponse := log.faults.LoseAppendResponses
	log.mu.Unlock()
	if loseResponse {
		request.Error("injected fault: response lost", fasthttp.StatusInternalServerError)
		return
	}
	writeJSON(request, map[string]ptid.Offset{"offset": offset})
}

func (log *Log) readRecords(request *fasthttp.RequestCtx, name string) {
	query := request.QueryArgs()
	from := ptid.Offset(query.GetUintOrZero("from"))
	limit := query.GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultLimit
	}
	wait := min(time.Duration(query.GetUintOrZero("waitMillis"))*time.Millisecond, maxWait)
	waitUntil := time.Now().Add(wait)
	for {
		batch, appended := log.batch(name, from, min(limit, maxLimit))
		remaining := time.Until(waitUntil)
		if len(batch.Records) > 0 || remaining <= 0 || log.currentFaults().Down {
			writeJSON(request, batch)
			return
		}
		select {
		case <-log.stopped:
			request.Error("log is shutting down", fasthttp.StatusServiceUnavailable)
			return
		case <-appended:
		case <-time.After(min(remaining, 100*time.Millisecond)):
		}
	}
}

func (log *Log) batch(name string, from ptid.Offset, limit int) (batch ptlog.Batch, appended chan struct{}) {
	log.mu.Lock()
	defer log.mu.Unlock()
	stream := log.stream(name)
	log.expire(stream)
	batch.OldestOffset, batch.Records = stream.firstOffset, []ptlog.Record{}
	start := max(from, stream.firstOffset)
	for offset := start; offset < stream.firstOffset+ptid.Offset(len(stream.records)) && len(batch.Records) < limit; offset++ {
		batch.Records = append(batch.Records, ptlog.Record{Offset: offset, Data: stream.records[offset-stream.firstOffset].data})
	}
	return batch, stream.appended
}

func writeJSON(request *fasthttp.RequestCtx, value any) {
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
