//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	holdMax           = 1000
	// workerCPU is the capacity of a worker in thousandths of a core.
	workerCPU = 64000
	service   = "svc"
)

// work is the spec of a task. Ms is how long it runs; zero means until it is stopped. Every
// SavedMs of work it leaves a checkpoint; zero means none.
type work struct {
	Ms int `json:"ms"`
	// FailPercent is the share of its runs that fail.
	FailPercent int `json:"fail"`
}

type activeRun struct {
	task      string
	number    uint64
	spec      string
	startedAt time.Time
	endsAt    time.Time
	fails     bool
}

type finishedRun struct {
	sequence int
	task     string
	number   uint64
	how      string
}

// start is a start that a worker has carried out.
type start struct {
	at     time.Time
	task   string
	number uint64
	worker string
	// ended is zero while the run is active. how is how it ended; "crashed" if its worker has crashed.
	ended time.Time
	how   string
	// noted is when the end was taken note of; zero if it was not, or if the lease of the worker had run out
	// since the end.
	noted  time.Time
	lapsed bool
	// listed is when the end was first part of a response.
	listed time.Time
	// stoppedByOrder is true if the run ended by an order to stop it.
	stoppedByOrder bool
}

// worker is a stand-in of a worker.
type worker struct {
	name, zone, kind string
	labels           []string
	address, control string
	cpu              int64

	// mu protects the rest.
	mu        sync.Mutex
	starts    []*start
	life      int
	id        string
	bornAt    time.Time
	up        bool
	server    *http.Server
	sequence  uint64
	token     uint64
	leaseTo   int64
	active    map[string]*activeRun
	records   map[string]*start
	highest   map[string]uint64
	finished  []finishedRun
	ends      int
	changed   chan struct{}
	heartbeat *http.Client
}

func (m *worker) clock() int64 { return time.Since(m.bornAt).Milliseconds() + 1 }

// boot starts a new life of the worker.
func (m *worker) boot() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.life++
	m.id, m.bornAt, m.up = fmt.Sprintf("i-%s-%d", m.name, m.life), time.Now(), true
	m.sequence, m.token, m.leaseTo, m.ends, m.finished = 0, 0, 0, 0, nil
	m.active, m.records, m.highest, m.changed = make(map[string]*activeRun), make(map[string]*start), make(map[string]uint64), make(chan struct{})
	server := &http.Server{Handler: m}
	m.server = server
	m.heartbeat = &http.Client{Timeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	go m.announce(m.life)
	go m.settleLoop(m.life)
	return nil
}

// crash ends the life of the worker with all that runs on it.
func (m *worker) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.up = false
	for key := range m.active {
		m.records[key].ended, m.records[key].how = time.Now(), "crashed"
	}
	m.active = make(map[string]*activeRun)
	_ = m.server.Close()
	logf("worker %s: crashed", m.id)
}

func (m *worker) announce(life int) {
	for {
		m.mu.Lock()
		if !m.up || m.life != life {
			m.mu.Unlock()
			return
		}
		m.sequence++
		body, _ := json.Marshal(map[string]any{
			"backend": service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": map[string]any{"cpu": m.cpu, names["memory"]: 262144, "gpu": 0}, "labels": m.labels,
			"clock-ms": m.clock(), "seq": m.sequence, "born": m.bornAt.UnixMilli(),
		})
		id, wait := m.id, heartbeatInterval
		m.mu.Unlock()
		response, err := m.heartbeat.Post("http://"+m.control+names["heartbeat"]+id, "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		} else {
			wait = 200 * time.Millisecond
		}
		time.Sleep(wait)
	}
}

func (m *worker) settleLoop(life int) {
	for range time.Tick(5 * time.Millisecond) {
		m.mu.Lock()
		if !m.up || m.life != life {
			m.mu.Unlock()
			return
		}
		m.settle()
		m.mu.Unlock()
	}
}

// settle ends what is done, or everything if the lease has expired. The caller holds the lock.
func (m *worker) settle() {
	expired, now := m.clock() > m.leaseTo, time.Now()
	if expired {
		for _, end := range m.finished {
			m.records[runKey(end.task, end.number)].lapsed = true
		}
	}
	for key, run := range m.active {
		switch {
		case expired:
			m.end(key, "lapsed")
		case !run.endsAt.IsZero() && !now.Before(run.endsAt) && run.fails:
			m.end(key, "failed")
		case !run.endsAt.IsZero() && !now.Before(run.endsAt):
			m.end(key, "done")
		}
	}
}

func runKey(task string, number uint64) string { return fmt.Sprintf("%s/%d", task, number) }

func (m *worker) end(key, how string) {
	run := m.active[key]
	delete(m.active, key)
	m.highest[run.task] = max(m.highest[run.task], run.number)
	m.ends++
	m.finished = append(m.finished, finishedRun{m.ends, run.task, run.number, how})
	m.records[key].ended, m.records[key].how = time.Now(), how
	if verbose {
		logf("worker %s: run %s of %s ended %s after %d ms", m.id, fmt.Sprint(run.number), run.task, how, time.Since(run.startedAt).Milliseconds())
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

type orderBody struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"-"`
	Seen     int    `json:"-"`
	Wait     int64  `json:"-"`
}

// decodeOrder decodes the body of an order.
func decodeOrder(body []byte) (order orderBody, err error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return order, err
	}
	err = json.Unmarshal(body, &order)
	for name, value := range map[string]any{"token": &order.Token, "seen": &order.Seen, "wait": &order.Wait} {
		if field, found := fields[names[name]]; found && err == nil {
			err = json.Unmarshal(field, value)
		}
	}
	return order, err
}

func (m *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	order, err := decodeOrder(text)
	if err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	status, body := m.execute(r.URL.Path, r.Header.Get("X-Expect-Instance"), &order)
	if r.URL.Path == "/hold" && status == http.StatusOK && order.Wait > 0 {
		m.awaitEnd(r, &order)
		status, body = m.list(r.Header.Get("X-Expect-Instance"))
	}
	answer(w, status, body)
}

// awaitEnd waits for an end beyond those that were seen.
func (m *worker) awaitEnd(r *http.Request, order *orderBody) {
	m.mu.Lock()
	changed, unseen := m.changed, m.ends > order.Seen
	m.mu.Unlock()
	if unseen {
		return
	}
	select {
	case <-changed:
	case <-time.After(time.Duration(min(order.Wait, 2000)) * time.Millisecond):
	case <-r.Context().Done():
	}
}

func (m *worker) execute(path, instance string, order *orderBody) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	body := map[string]any{"clock-ms": m.clock()}
	switch {
	case instance != "" && instance != m.id:
		return http.StatusMisdirectedRequest, body
	case order.Token < m.token:
		body["reason"] = "fence"
		return http.StatusConflict, body
	}
	m.token = order.Token
	m.settle()
	key := runKey(order.Task, order.Run)
	switch path {
	case names["start"]:
		return m.start(order, key, body)
	case names["stop"]:
		if m.active[key] != nil {
			m.records[key].stoppedByOrder = true
			logf("worker %s: ordered to stop run %d of %s, which runs for %d ms", m.id, order.Run, order.Task, time.Since(m.active[key].startedAt).Milliseconds())
			m.end(key, "stopped")
		}
		m.highest[order.Task] = max(m.highest[order.Task], order.Run)
	case "/hold":
		m.extend(order.Deadline)
		m.finished = slices.DeleteFunc(m.finished, func(end finishedRun) bool {
			if record := m.records[runKey(end.task, end.number)]; end.sequence <= order.Seen && !record.lapsed {
				record.noted = time.Now()
			}
			return end.sequence <= order.Seen
		})
		return m.listLocked(body)
	case "/pace":
	default:
		return http.StatusNotFound, body
	}
	return http.StatusOK, body
}

func (m *worker) extend(deadline int64) {
	m.leaseTo = max(m.leaseTo, min(deadline, m.clock()+holdMax))
}

func (m *worker) start(order *orderBody, key string, body map[string]any) (int, map[string]any) {
	switch {
	case m.active[key] != nil:
		return http.StatusOK, body
	case order.Run <= m.highest[order.Task]:
		body["reason"] = "old"
		return http.StatusConflict, body
	case m.clock() > order.Deadline:
		body["reason"] = "late"
		return http.StatusConflict, body
	}
	var spec work
	_ = json.Unmarshal([]byte(order.Spec), &spec)
	run := &activeRun{task: order.Task, number: order.Run, spec: order.Spec, startedAt: time.Now()}
	if spec.Ms > 0 {
		run.endsAt = run.startedAt.Add(time.Duration(spec.Ms) * time.Millisecond)
	}
	run.fails = rand.IntN(100) < spec.FailPercent
	m.active[key] = run
	m.records[key] = &start{at: run.startedAt, task: run.task, number: run.number, worker: m.id}
	m.starts = append(m.starts, m.records[key])
	if verbose {
		logf("worker %s: starts run %d of %s", m.id, run.number, run.task)
	}
	m.extend(order.Deadline)
	return http.StatusOK, body
}

func (m *worker) list(instance string) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if instance != "" && instance != m.id {
		return http.StatusMisdirectedRequest, map[string]any{"clock-ms": m.clock()}
	}
	m.settle()
	return m.listLocked(map[string]any{"clock-ms": m.clock()})
}

func (m *worker) listLocked(body map[string]any) (int, map[string]any) {
	running, finished := [][]any{}, [][]any{}
	for _, run := range m.active {
		running = append(running, []any{run.task, run.number, "", 100, 0})
	}
	for _, end := range m.finished[:min(500, len(m.finished))] {
		finished = append(finished, []any{end.sequence, end.task, end.number, end.how, ""})
		if record := m.records[runKey(end.task, end.number)]; record.listed.IsZero() {
			record.listed = time.Now()
		}
	}
	body["running"], body["finished"], body["born"] = running, finished, m.bornAt.UnixMilli()
	return http.StatusOK, body
}
