package ptstandin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/primrosetiller/primrosetiller/ptupstream"
)

const (
	runPath     = "/run"
	startsPath  = "/starts"
	noncesPath  = "/v1/nonces"
	maxRunTime  = time.Hour
	maxTaskBody = 64 << 20
)

// UpstreamFaults are the faults that an upstream injects.
type UpstreamFaults struct {
	// Fail makes every task fail immediately with status 500.
	Fail bool `json:"fail"`
	// SlowFactor multiplies every run time; zero means one.
	SlowFactor float64 `json:"slowFactor"`
	// StraggleEvery makes every n-th task a straggler; zero means none.
	StraggleEvery int `json:"straggleEvery"`
	// TruncateResponse sends half of the response body and closes the connection.
	TruncateResponse bool `json:"half"`
	// Hang sends no response.
	Hang bool `json:"hang"`
}

// straggleFactor is the factor by which a straggler's run time is multiplied.
const straggleFactor = 10

// Payload is the payload of the load tool's tasks.
type Payload struct {
	RunMillis float64 `json:"runMillis"`
	Nonce     string  `json:"nonce,omitempty"`
	// ResponseBytes is the length of the response's padding.
	ResponseBytes int `json:"answerBytes,omitempty"`
}

// EchoResponse is the response to a [Payload].
type EchoResponse struct {
	Job   string `json:"job"`
	Task  uint64 `json:"task"`
	Nonce string `json:"nonce"`
	Pad   string `json:"pad,omitempty"`
}

// StartCounts counts the starts of tasks. Duplicates are starts of a task that has
// been started before.
type StartCounts struct {
	Starts     int `json:"starts"`
	Duplicates int `json:"doubled"`
	// Running is the number of tasks that run now; PeakRunning is its maximum so far.
	Running     int `json:"running"`
	PeakRunning int `json:"mostRunning"`
}

// Upstream is a test double of an upstream. It is safe for concurrent use.
type Upstream struct {
	server        *fasthttp.Server
	mu            sync.Mutex
	startsByTask  map[string]int
	startsByNonce map[string]int
	counts        StartCounts
	faults        UpstreamFaults
	stopped       chan struct{}
}

// NewUpstream returns an upstream without faults.
func NewUpstream() *Upstream {
	upstream := &Upstream{startsByTask: make(map[string]int), startsByNonce: make(map[string]int), stopped: make(chan struct{})}
	upstream.server = &fasthttp.Server{
		Handler: upstream.serve, MaxRequestBodySize: maxTaskBody, CloseOnShutdown: true,
	}
	return upstream
}

// Serve serves requests on a listener until Shutdown.
func (upstream *Upstream) Serve(listener net.Listener) error { return upstream.server.Serve(listener) }

// Shutdown stops the server and ends the tasks that are running.
func (upstream *Upstream) Shutdown() error {
	close(upstream.stopped)
	return upstream.server.Shutdown()
}

// SetFaults replaces the injected faults.
func (upstream *Upstream) SetFaults(faults UpstreamFaults) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.faults = faults
}

// Counts returns the starts so far.
func (upstream *Upstream) Counts() StartCounts {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.counts
}

// StartsOf returns how often a task with the given nonce has started.
func (upstream *Upstream) StartsOf(nonce string) int {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.startsByNonce[nonce]
}

func (upstream *Upstream) serve(request *fasthttp.RequestCtx) {
	switch string(request.Path()) {
	case runPath:
		upstream.runTask(request)
	case startsPath:
		writeJSON(request, upstream.Counts())
	case noncesPath:
		upstream.queryNonces(request)
	case faultsPath:
		var faults UpstreamFaults
		if decodeJSON(request, &faults) {
			upstream.SetFaults(faults)
		}
	default:
		request.Error("not found", fasthttp.StatusNotFound)
	}
}

// queryNonces responds with the number of starts for each nonce of a list.
func (upstream *Upstream) queryNonces(request *fasthttp.RequestCtx) {
	var nonces []string
	if !decodeJSON(request, &nonces) {
		return
	}
	counts := make([]int, len(nonces))
	for i, nonce := range nonces {
		counts[i] = upstream.StartsOf(nonce)
	}
	writeJSON(request, counts)
}

// countStart counts a start of the task with the given key. It returns the faults to inject and
// the number of starts so far.
func (upstream *Upstream) countStart(key, nonce string) (faults UpstreamFaults, number int) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.counts.Starts++
	upstream.counts.Running++
	upstream.counts.PeakRunning = max(upstream.counts.PeakRunning, upstream.counts.Running)
	upstream.startsByTask[key]++
	if upstream.startsByTask[key] > 1 {
		upstream.counts.Duplicates++
	}
	if nonce != "" {
		upstream.startsByNonce[nonce]++
	}
	return upstream.faults, upstream.counts.Starts
}

func (upstream *Upstream) countEnd() {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.counts.Running--
}

func (upstream *Upstream) runTask(request *fasthttp.RequestCtx) {
	var payload Payload
	body := request.PostBody()
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) {
		// Other payloads have a run time of zero.
		_ = json.Unmarshal(body, &payload)
	}
	job := string(request.Request.Header.Peek(ptupstream.HeaderJob))
	index := parseIndex(request.Request.Header.Peek(ptupstream.HeaderTask))
	faults, number := upstream.countStart(fmt.Sprintf("%s/%d", job, index), payload.Nonce)
	defer upstream.countEnd()
	if faults.Fail {
		request.Error("injected fault: task failed", fasthttp.StatusInternalServerError)
		return
	}
	upstream.wait(runTime(payload, faults, number))
	response := EchoResponse{Job: job, Task: index, Nonce: payload.Nonce, Pad: string(bytes.Repeat([]byte("x"), payload.ResponseBytes))}
	writeJSON(request, response)
	if faults.TruncateResponse {
		truncateResponse(request)
	}
}

func runTime(payload Payload, faults UpstreamFaults, number int) (duration time.Duration) {
	duration = time.Duration(payload.RunMillis * float64(time.Millisecond))
	if faults.Hang {
		return maxRunTime
	}
	if faults.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * faults.SlowFactor)
	}
	if faults.StraggleEvery > 0 && number%faults.StraggleEvery == 0 {
		duration *= straggleFactor
	}
	return duration
}

func (upstream *Upstream) wait(duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-upstream.stopped:
	}
}

// truncateResponse replaces the response by the first half of its bytes and closes the
// connection.
func truncateResponse(request *fasthttp.RequestCtx) {
	body := append([]byte(nil), request.Response.Body()...)
	request.HijackSetNoResponse(true)
	request.Hijack(func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
		_, _ = conn.Write(body[:len(body)/2])
	})
}
