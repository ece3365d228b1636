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
	// minionCPU is the capacity of a minion in thousandths of a core.
	minionCPU = 64000
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

// start is a start that a minion has carried out.
type start struct {
	at     time.Time
	task   string
	number uint64
	minion string
	// ended is zero while the run is active. how is how it ended; "crashed" if its minion has crashed.
	ended time.Time
	how   string
	// noted is when the end was taken note of; zero if it was not, or if the lease of the minion had run out
	// since the end.
	noted  time.Time
	lapsed bool
	// listed is when the end was first part of a response.
	listed time.Time
	// stoppedByOrder is true if the run ended by an order to stop it.
	stoppedByOrder bool
}

// minion is a stand-in of a minion.
type minion struct {
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

func (m *minion) clock() int64 { return time.Since(m.bornAt).Milliseconds() + 1 }

// boot starts a new life of the minion.
func (m *minion) boot() error {
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

// crash ends the life of the minion with all that runs on it.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.up = false
	for key := range m.active {
		m.records[key].ended, m.records[key].how = time.Now(), "crashed"
	}
	m.active = make(map[string]*activeRun)
	_ = m.server.Close()
	logf("minion %s: crashed", m.id)
}

func (m *minion) announce(life int) {
	for {
		m.mu.Lock()
		if !m.up || m.life != life {
			m.mu.Unlock()
			return
		}
		m.sequence++
		body, _ := json.Marshal(map[string]any{
			"backend": service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": map[string]any{"cpu": m.cpu, "mem-mb": 262144, "gpu": 0}, "labels": m.labels,
			"clock-ms": m.clock(), "seq": m.sequence, "born": m.bornAt.UnixMilli(),
		})
		id, wait := m.id, heartbeatInterval
		m.mu.Unlock()
		response, err := m.heartbeat.Post("http://"+m.control+"/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		} else {
			wait = 200 * time.Millisecond
		}
		time.Sleep(wait)
	}
}

func (m *minion) settleLoop(life int) {
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
func (m *minion) settle() {
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

func (m *minion) end(key, how string) {
	run := m.active[key]
	delete(m.active, key)
	m.highest[run.task] = max(m.highest[run.task], run.number)
	m.ends++
	m.finished = append(m.finished, finishedRun{m.ends, run.task, run.number, how})
	m.records[key].ended, m.records[key].how = time.Now(), how
	if verbose {
		logf("minion %s: run %s of %s ended %s after %d ms", m.id, fmt.Sprint(run.number), run.task, how, time.Since(run.startedAt).Milliseconds())
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

type orderBody struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fence-token"`
	Seen     int    `json:"seen-upto"`
	Wait     int64  `json:"wait-ms"`
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order orderBody
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
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
func (m *minion) awaitEnd(r *http.Request, order *orderBody) {
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

func (m *minion) execute(path, instance string, order *orderBody) (int, map[string]any) {
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
	case "/run-start":
		return m.start(order, key, body)
	case "/run-stop":
		if m.active[key] != nil {
			m.records[key].stoppedByOrder = true
			logf("minion %s: ordered to stop run %d of %s, which runs for %d ms", m.id, order.Run, order.Task, time.Since(m.active[key].startedAt).Milliseconds())
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

func (m *minion) extend(deadline int64) {
	m.leaseTo = max(m.leaseTo, min(deadline, m.clock()+holdMax))
}

func (m *minion) start(order *orderBody, key string, body map[string]any) (int, map[string]any) {
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
	m.records[key] = &start{at: run.startedAt, task: run.task, number: run.number, minion: m.id}
	m.starts = append(m.starts, m.records[key])
	if verbose {
		logf("minion %s: starts run %d of %s", m.id, run.number, run.task)
	}
	m.extend(order.Deadline)
	return http.StatusOK, body
}

func (m *minion) list(instance string) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if instance != "" && instance != m.id {
		return http.StatusMisdirectedRequest, map[string]any{"clock-ms": m.clock()}
	}
	m.settle()
	return m.listLocked(map[string]any{"clock-ms": m.clock()})
}

func (m *minion) listLocked(body map[string]any) (int, map[string]any) {
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
