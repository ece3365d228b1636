//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatRetry    = 200 * time.Millisecond
	maxHold           = time.Second
	listedEnds        = 500
	startupTime       = 200 * time.Millisecond
)

// work is what a task does. The spec of a job holds it as JSON.
type work struct {
	Ms      int64 `json:"ms,omitempty"`
	Lasting bool  `json:"lasting,omitempty"`
	Fails   bool  `json:"fails,omitempty"`
	// FailsMs is how long a run of a lasting task takes on average until it fails; zero if it does not.
	FailsMs int64 `json:"failsMs,omitempty"`
}

// taskRun is a run of a task as its worker sees it.
type taskRun struct {
	task    string
	number  uint64
	worker  string
	machine string
	work    work
	spec    string
	started time.Time
	// failsAt is when a run of a lasting task fails; zero if it does not.
	failsAt time.Time
	// ended is zero while the run is active.
	ended time.Time
	how   string
	// seq is the number of the end at its worker, and noted whether it was taken note of.
	seq   uint64
	noted time.Time
}

func (run *taskRun) String() string {
	text := fmt.Sprintf("%s run %d on %s from %s", run.task, run.number, run.worker, at(run.started))
	if run.ended.IsZero() {
		return text + ", active"
	}
	text += fmt.Sprintf(" to %s, %s", at(run.ended), run.how)
	if !run.noted.IsZero() {
		text += ", taken note of at " + at(run.noted)
	}
	return text
}

// worker is a stand-in of a worker. Crash and restart replace its incarnation.
type worker struct {
	cluster          *cluster
	machine          string
	address, control string
	capacity         int64
	rack             string

	mu        sync.Mutex
	server    *http.Server
	id        string
	lives     int
	up        bool
	draining  bool
	born      time.Time
	token     uint64
	lease     int64
	sequence  uint64
	endCount  uint64
	active    map[string]*taskRun
	ends      []*taskRun
	highest   map[string]uint64
	endSignal chan struct{}
	closed    chan struct{}
}

func newWorker(cluster *cluster, machine, address, control string, capacity int64, rack string) *worker {
	return &worker{cluster: cluster, machine: machine, address: address, control: control, capacity: capacity, rack: rack, closed: make(chan struct{})}
}

// start begins a new incarnation.
func (worker *worker) start() error {
	listener, err := net.Listen("tcp", worker.address)
	if err != nil {
		return err
	}
	worker.mu.Lock()
	worker.lives++
	worker.id = fmt.Sprintf("i-%s-%d", worker.machine, worker.lives)
	worker.born, worker.up, worker.draining = time.Now(), true, false
	worker.token, worker.lease, worker.sequence, worker.endCount = 0, 0, 0, 0
	worker.active, worker.ends, worker.highest = make(map[string]*taskRun), nil, make(map[string]uint64)
	worker.endSignal = make(chan struct{})
	id := worker.id
	worker.server = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { worker.serve(id, writer, request) })}
	server := worker.server
	worker.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go worker.heartbeats(id)
	go worker.settleLoop(id)
	return nil
}

// endLife ends the incarnation with all that runs on it.
func (worker *worker) endLife(how string) {
	worker.mu.Lock()
	if !worker.up {
		worker.mu.Unlock()
		return
	}
	worker.up = false
	now := time.Now()
	for _, run := range worker.active {
		run.ended, run.how = now, how
		worker.cluster.record.event("%s run %d %s", run.task, run.number, how)
	}
	worker.active = make(map[string]*taskRun)
	server := worker.server
	worker.mu.Unlock()
	_ = server.Close()
}

func (worker *worker) stop() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.up {
		worker.up = false
		_ = worker.server.Close()
	}
}

func (worker *worker) isLive(id string) bool { return worker.up && worker.id == id }

// clock returns the worker's clock in milliseconds. The caller holds the lock.
func (worker *worker) clock() int64 { return time.Since(worker.born).Milliseconds() + 1 }

func (worker *worker) heartbeats(id string) {
	for {
		acknowledged, live := worker.beat(id)
		switch {
		case !live:
			return
		case acknowledged:
			time.Sleep(heartbeatInterval)
		default:
			time.Sleep(heartbeatRetry)
		}
	}
}

// beat sends a heartbeat. live is false if the incarnation has ended.
func (worker *worker) beat(id string) (acknowledged, live bool) {
	worker.mu.Lock()
	if !worker.isLive(id) {
		worker.mu.Unlock()
		return false, false
	}
	worker.sequence++
	state := "ready"
	if worker.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"backend": serviceName, "address": worker.address, "zone": zoneName, "version": "v1", "slots": 8, "state": state, "cold-left-ms": 0,
		"capacity": map[string]any{"cpu": worker.capacity, wire.Memory: 262144, "gpu": 0}, "labels": []string{"a", worker.rack},
		"clock-ms": worker.clock(), "seq": worker.sequence, "born": worker.born.UnixMilli(),
	})
	worker.mu.Unlock()
	return worker.post(wire.Heartbeat+id, body), true
}

// post sends a report to the agent.
func (worker *worker) post(path string, body []byte) (acknowledged bool) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Post("http://"+worker.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// settleLoop ends the runs that are complete or whose lease has expired.
func (worker *worker) settleLoop(id string) {
	for {
		time.Sleep(2 * time.Millisecond)
		worker.mu.Lock()
		if !worker.isLive(id) {
			worker.mu.Unlock()
			return
		}
		worker.settle()
		worker.mu.Unlock()
	}
}

func (worker *worker) settle() {
	expired, now := worker.clock() > worker.lease, time.Now()
	for _, key := range slices.Sorted(maps.Keys(worker.active)) {
		run := worker.active[key]
		complete := !run.work.Lasting && now.Sub(run.started) >= time.Duration(run.work.Ms)*time.Millisecond
		switch {
		case expired:
			worker.end(key, "lapsed")
		case !run.failsAt.IsZero() && now.After(run.failsAt) && !worker.cluster.calm.Load():
			worker.end(key, "failed")
		case complete && run.work.Fails:
			worker.end(key, "failed")
		case complete:
			worker.end(key, "done")
		}
	}
}

func (worker *worker) end(key, how string) {
	run := worker.active[key]
	delete(worker.active, key)
	worker.highest[run.task] = max(worker.highest[run.task], run.number)
	worker.endCount++
	run.ended, run.how, run.seq = time.Now(), how, worker.endCount
	worker.ends = append(worker.ends, run)
	close(worker.endSignal)
	worker.endSignal = make(chan struct{})
}

// workerCall is a call to a worker. Each kind of call has some of the fields.
type workerCall struct {
	task, spec       string
	run, token, seen uint64
	until, waitMs    int64
}

func parseCall(body []byte) (call workerCall, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return call, err
	}
	targets := map[string]any{
		"task": &call.task, "spec": &call.spec, "run": &call.run, "deadline-ms": &call.until,
		wire.Token: &call.token, wire.Seen: &call.seen, wire.Wait: &call.waitMs,
	}
	for name, target := range targets {
		if len(fields[name]) == 0 {
			continue
		}
		if err := json.Unmarshal(fields[name], target); err != nil {
			return call, err
		}
	}
	return call, nil
}

func (worker *worker) serve(id string, writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	call, err := parseCall(body)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if request.URL.Path == "/hold" && call.waitMs > 0 {
		// The lease is extended when the call arrives, and the response waits for an end.
		status, answer := worker.execute(id, request, call)
		if status != http.StatusOK || len(answer["finished"].([][]any)) > 0 {
			writeJSON(writer, status, answer)
			return
		}
		worker.mu.Lock()
		signal := worker.endSignal
		worker.mu.Unlock()
		select {
		case <-signal:
		case <-request.Context().Done():
		case <-time.After(time.Duration(min(call.waitMs, 2000)) * time.Millisecond):
		}
		call.until = 0
	}
	status, answer := worker.execute(id, request, call)
	writeJSON(writer, status, answer)
}

func (worker *worker) execute(id string, request *http.Request, call workerCall) (status int, answer map[string]any) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	answer = map[string]any{"clock-ms": worker.clock(), "born": worker.born.UnixMilli()}
	expected := request.Header.Get("X-Expect-Instance")
	if !worker.isLive(id) || expected != "" && expected != worker.id {
		return http.StatusMisdirectedRequest, answer
	}
	if call.token < worker.token {
		answer["reason"] = "fence"
		return http.StatusConflict, answer
	}
	worker.token = call.token
	worker.settle()
	key := fmt.Sprintf("%s/%d", call.task, call.run)
	switch request.URL.Path {
	case wire.Start:
		if reason := worker.startRun(key, call); reason != "" {
			answer["reason"] = reason
			return http.StatusConflict, answer
		}
	case wire.Stop:
		worker.highest[call.task] = max(worker.highest[call.task], call.run)
		if worker.active[key] != nil {
			worker.cluster.record.event("worker %s was told to stop %s run %d", worker.id, call.task, call.run)
			worker.end(key, "stopped")
		}
	case "/hold":
		worker.extend(call.until)
		worker.acknowledge(call.seen)
		answer["running"], answer["finished"] = worker.rows()
	case "/pace":
	default:
		return http.StatusNotFound, answer
	}
	return http.StatusOK, answer
}

func (worker *worker) extend(until int64) {
	worker.lease = max(worker.lease, min(until, worker.clock()+maxHold.Milliseconds()))
}

func (worker *worker) acknowledge(seen uint64) {
	worker.ends = slices.DeleteFunc(worker.ends, func(run *taskRun) bool {
		if run.seq > seen {
			return false
		}
		run.noted = time.Now()
		return true
	})
}

func (worker *worker) rows() (running, finished [][]any) {
	running, finished = [][]any{}, [][]any{}
	for _, key := range slices.Sorted(maps.Keys(worker.active)) {
		run, percent := worker.active[key], 100
		if time.Since(run.started) < startupTime {
			percent = 50
		}
		running = append(running, []any{run.task, run.number, "", percent, 0})
	}
	for _, run := range worker.ends[:min(len(worker.ends), listedEnds)] {
		finished = append(finished, []any{run.seq, run.task, run.number, run.how, ""})
	}
	return running, finished
}

func (worker *worker) startRun(key string, call workerCall) (reason string) {
	switch {
	case worker.active[key] != nil:
		return ""
	case call.run <= worker.highest[call.task]:
		worker.extend(call.until)
		return "old"
	case worker.clock() > call.until:
		return "late"
	}
	run := &taskRun{task: call.task, number: call.run, worker: worker.id, machine: worker.machine, spec: call.spec, started: time.Now()}
	if err := json.NewDecoder(strings.NewReader(call.spec)).Decode(&run.work); err != nil {
		return "room"
	}
	if run.work.FailsMs > 0 {
		run.failsAt = run.started.Add(time.Duration(rand.ExpFloat64() * float64(run.work.FailsMs) * float64(time.Millisecond)))
	}
	worker.active[key] = run
	worker.extend(call.until)
	worker.cluster.record.started(run)
	return ""
}

// leave empties the worker and takes it away: it reports that it drains, goes on for a while after the
// acknowledgement, deregisters and ends.
func (worker *worker) leave(serveFor time.Duration) {
	worker.mu.Lock()
	worker.draining = true
	id := worker.id
	worker.mu.Unlock()
	acknowledged, _ := worker.beat(id)
	worker.cluster.record.event("worker %s reports that it drains, acknowledged: %t", id, acknowledged)
	time.Sleep(serveFor)
	acknowledged = worker.post(wire.Deregister+id, []byte("{}"))
	worker.cluster.record.event("worker %s deregisters, acknowledged: %t, and ends", id, acknowledged)
	worker.endLife("ended with its worker")
}
