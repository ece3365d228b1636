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
	longestRun  = time.Hour
	upstreamCap = 64 << 20
)

// UpstreamFaults are the switches of the upstream stand-in.
type UpstreamFaults struct {
	// Fail answers every task with 500 at once.
	Fail bool `json:"fail"`
	// SlowFactor multiplies every run time; zero means one.
	SlowFactor float64 `json:"slowFactor"`
	// StraggleEvery makes every n-th task ten times as long; zero none.
	StraggleEvery int `json:"straggleEvery"`
	// TruncateResponse sends half an answer and closes the connection.
	TruncateResponse bool `json:"half"`
	// Hang never answers.
	Hang bool `json:"hang"`
}

// straggleFactor is how much longer a straggler runs.
const straggleFactor = 10

// Payload is what a task of the load tool looks like.
type Payload struct {
	RunMillis float64 `json:"runMillis"`
	Nonce     string  `json:"nonce,omitempty"`
	// ResponseBytes pads the answer.
	ResponseBytes int `json:"answerBytes,omitempty"`
}

// EchoResponse is the answer to a [Payload].
type EchoResponse struct {
	Job   string `json:"job"`
	Task  uint64 `json:"task"`
	Nonce string `json:"nonce"`
	Pad   string `json:"pad,omitempty"`
}

// StartCounts counts the starts of tasks.
type StartCounts struct {
	Starts     int `json:"starts"`
	Duplicates int `json:"doubled"`
	// Running is how many tasks run now, MostRunning the most that ever did.
	Running     int `json:"running"`
	PeakRunning int `json:"mostRunning"`
}

// Upstream is the stand-in of an upstream. It is safe for concurrent use.
type Upstream struct {
	server *fasthttp.Server
	mu     sync.Mutex
	tasks  map[string]int
	nonces map[string]int
	counts StartCounts
	faults UpstreamFaults
	quit   chan struct{}
}

// NewUpstream returns an upstream without faults.
func NewUpstream() *Upstream {
	upstream := &Upstream{tasks: make(map[string]int), nonces: make(map[string]int), quit: make(chan struct{})}
	upstream.server = &fasthttp.Server{
		Handler: upstream.serve, MaxRequestBodySize: upstreamCap, CloseOnShutdown: true,
	}
	return upstream
}

// Serve answers on a listener until Shutdown.
func (upstream *Upstream) Serve(listener net.Listener) error { return upstream.server.Serve(listener) }

// Shutdown stops the server; hanging tasks are released.
func (upstream *Upstream) Shutdown() error {
	close(upstream.quit)
	return upstream.server.Shutdown()
}

// SetFaults replaces the switches.
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

// StartsOf returns how often a task with a nonce has started.
func (upstream *Upstream) StartsOf(nonce string) int {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.nonces[nonce]
}

func (upstream *Upstream) serve(request *fasthttp.RequestCtx) {
	switch string(request.Path()) {
	case runPath:
		upstream.run(request)
	case startsPath:
		replyJSON(request, upstream.Counts())
	case noncesPath:
		upstream.queryNonces(request)
	case faultsPath:
		var faults UpstreamFaults
		if decodeFaults(request, &faults) {
			upstream.SetFaults(faults)
		}
	default:
		request.Error("not found", fasthttp.StatusNotFound)
	}
}

// queryNonces answers how often each of a list of nonces has started.
func (upstream *Upstream) queryNonces(request *fasthttp.RequestCtx) {
	var nonces []string
	if !decodeFaults(request, &nonces) {
		return
	}
	counts := make([]int, len(nonces))
	for i, nonce := range nonces {
		counts[i] = upstream.StartsOf(nonce)
	}
	replyJSON(request, counts)
}

// start counts a start and returns the switches that hold for it.
func (upstream *Upstream) start(key, nonce string) (faults UpstreamFaults, number int) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.counts.Starts++
	upstream.counts.Running++
	upstream.counts.PeakRunning = max(upstream.counts.PeakRunning, upstream.counts.Running)
	upstream.tasks[key]++
	if upstream.tasks[key] > 1 {
		upstream.counts.Duplicates++
	}
	if nonce != "" {
		upstream.nonces[nonce]++
	}
	return upstream.faults, upstream.counts.Starts
}

func (upstream *Upstream) end() {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.counts.Running--
}

func (upstream *Upstream) run(request *fasthttp.RequestCtx) {
	var payload Payload
	body := request.PostBody()
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) {
		// Payloads of other shapes run for no time at all.
		_ = json.Unmarshal(body, &payload)
	}
	job := string(request.Request.Header.Peek(ptupstream.HeaderJob))
	index := parseIndex(request.Request.Header.Peek(ptupstream.HeaderTask))
	faults, number := upstream.start(fmt.Sprintf("%s/%d", job, index), payload.Nonce)
	defer upstream.end()
	if faults.Fail {
		request.Error("switched to fail", fasthttp.StatusInternalServerError)
		return
	}
	upstream.wait(runTime(payload, faults, number))
	echo := EchoResponse{Job: job, Task: index, Nonce: payload.Nonce, Pad: string(bytes.Repeat([]byte("x"), payload.ResponseBytes))}
	replyJSON(request, echo)
	if faults.TruncateResponse {
		half(request)
	}
}

func runTime(payload Payload, faults UpstreamFaults, number int) (span time.Duration) {
	span = time.Duration(payload.RunMillis * float64(time.Millisecond))
	if faults.Hang {
		return longestRun
	}
	if faults.SlowFactor > 0 {
		span = time.Duration(float64(span) * faults.SlowFactor)
	}
	if faults.StraggleEvery > 0 && number%faults.StraggleEvery == 0 {
		span *= straggleFactor
	}
	return span
}

func (upstream *Upstream) wait(span time.Duration) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-upstream.quit:
	}
}

// half replaces the answer by the first half of its bytes and a closed connection.
func half(request *fasthttp.RequestCtx) {
	body := append([]byte(nil), request.Response.Body()...)
	request.HijackSetNoResponse(true)
	request.Hijack(func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
		_, _ = conn.Write(body[:len(body)/2])
	})
}
