//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host   = "desk.example"
	prefix = "/q/"
)

var (
	verbose  bool
	recordMu sync.Mutex
	record   *os.File
	began    = time.Now()

	// childrenMu protects children, the processes that were started and have not ended.
	childrenMu sync.Mutex
	children   = make(map[*os.Process]bool)
	// tempDir holds the settings and the output of the processes.
	tempDir string
)

// killAll ends all processes that were started, and removes their files.
func killAll() {
	if tempDir != "" {
		defer func() { _ = os.RemoveAll(tempDir) }()
	}
	childrenMu.Lock()
	defer childrenMu.Unlock()
	for child := range children {
		_ = child.Kill()
	}
}

func setChild(child *os.Process, running bool) {
	childrenMu.Lock()
	defer childrenMu.Unlock()
	if running {
		children[child] = true
	} else {
		delete(children, child)
	}
}

// logf writes a line to the record of the run.
func logf(format string, arguments ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if record != nil {
		_, _ = fmt.Fprintf(record, "%9.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, arguments...))
	}
}

// process is a process of the project.
type process struct {
	name, role, boot string
	command          *exec.Cmd
	done             chan struct{}
	output           *os.File
}

func (p *process) start(binary string) error {
	command := exec.Command(binary, "platform", p.role)
	command.Env = append(os.Environ(), "PRIMROSETILLER_BOOT="+p.boot)
	command.Stdout, command.Stderr = p.output, p.output
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.command, p.done = command, done
	setChild(command.Process, true)
	go func() {
		err := command.Wait()
		setChild(command.Process, false)
		logf("process %s (pid %d) ended: %v", p.name, command.Process.Pid, err)
		close(done)
	}()
	logf("process %s started (pid %d)", p.name, command.Process.Pid)
	return nil
}

func (p *process) signal(signal syscall.Signal) {
	if p.command != nil {
		logf("process %s gets signal %q", p.name, signal.String())
		_ = p.command.Process.Signal(signal)
	}
}

func (p *process) kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill()
	<-p.done
}

// system is a small deployment on loopback addresses.
type system struct {
	binary, dir string
	base        int
	store       *store
	workers     []*worker
	entries     []*process
	agents      []*process
	entryGates  []*gate
	agentGates  []*gate
	client      *http.Client
}

const (
	portFrontend, portReady, portControl, portApp, portStore, portFirst = 0, 1, 2, 3, 4, 5
)

var zones = []string{"caerdydd", "abertawe", "wrecsam"}

func (s *system) address(group, index, port int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", group, index+1, s.base+port)
}

const (
	groupEntry, groupAgent, groupStore = 101, 102, 103
	agentStoreIndex                    = 100
)

// freeBase returns the first of several consecutive ports that nobody listens on.
func freeBase() (int, error) {
	for base := 21000 + os.Getpid()%500*16; base < 31000; base += 16 {
		free := true
		for port := base; port < base+12 && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf(":%d", port))
			if err != nil {
				free = false
				continue
			}
			_ = listener.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

const boundsText = `[zones]
caerdydd = "cymru"
abertawe = "cymru"
wrecsam = "cymru"
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-deadline-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
recovery-s = 12
hold-max-ms = 1000
stop-grace-ms = 50
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote-factor = 1.5
checkpoint-s = 1
restore-ms = 100
notice-ms = 4500
move-s = 1.5
maintenance-s = 2
require-fencing = true
lease-ms = 3000
thaw-ms = 300
pace-ms = 100
harm-ms = 4000
resend-ms = 1300
`

func (s *system) settings(name, role, class string, serves []string, group, index int, storeAddress, extra, binds string, limits string) string {
	served, _ := json.Marshal(serves)
	seeds := make([]string, 0, 3)
	for entry := range min(3, len(s.entries)) {
		seeds = append(seeds, s.address(groupEntry, entry, portControl))
	}
	seedText, _ := json.Marshal(seeds)
	return fmt.Sprintf(`node-name = %q
role = %q
machine-class = %q
serves = %s
ip = "127.0.%d.%d"
zone = %q
region = "cymru"
port-range = [%d,%d]
seeds = %s
bootstrap = true
counts-as-loss = false
discovery = "local"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
control-mode = "call"
advice = "127.0.104.1:%d"
%s%s[bind-addrs]
%s[limits]
%s[platform]
address = %q
form = "log"
writes-per-s = 800
reads-per-s = 2000
parts = %d
append-ms = 2.0
partition-mb-s = 20.0
read-mb-s = 80.0
record-bytes = %d
request-bytes = %d
keep_s = 300
partition-mb = 200
ttl-min-ms = 1000
`, name, role, class, served, group, index+1, zones[index%len(zones)], s.base+portFirst, s.base+portFirst+5, seedText, s.base+portApp,
		extra, boundsText, binds, limits, storeAddress, storePartitions, recordBytes, requestBytes)
}

// newSystem prepares a deployment.
func newSystem(binary string, entries, workers int, routes string) (*system, error) {
	base, err := freeBase()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	tempDir = dir
	s := &system{binary: binary, dir: dir, base: base, store: newStore()}
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	go s.store.expireLoop()
	s.store.put("keyed.op", "config", []byte(`{"version":3,"routes":[`+expand(routes)+`],"backends":[{"name":"`+service+`","rejects-overload":false}],"limits":{}}`))
	s.entries = make([]*process, entries)
	for index := range s.entries {
		storeAddress := s.address(groupStore, index, portStore)
		gate, err := s.store.serveAt(storeAddress)
		if err != nil {
			return nil, err
		}
		s.entryGates = append(s.entryGates, gate)
		name := fmt.Sprintf("edge-%s-%d", zones[index%len(zones)], index/len(zones)+1)
		text := s.settings(name, "entry", "edge", []string{"edge", "control_plane"}, groupEntry, index, storeAddress, "",
			fmt.Sprintf("frontend = %q\nreadiness = %q\ncontrol = %q\n", s.address(groupEntry, index, portFrontend), s.address(groupEntry, index, portReady), s.address(groupEntry, index, portControl)),
			"cpu-share = 0.4\ncores = 1\nmemory-mb = 284\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n")
		if s.entries[index], err = s.process(name, "entry", text); err != nil {
			return nil, err
		}
	}
	for index := range workers {
		storeAddress := s.address(groupStore, agentStoreIndex+index, portStore)
		gate, err := s.store.serveAt(storeAddress)
		if err != nil {
			return nil, err
		}
		s.agentGates = append(s.agentGates, gate)
		name := fmt.Sprintf("side-%s-%d", zones[index%len(zones)], index/len(zones)+1)
		text := s.settings(name, "agent", "side", []string{"side"}, groupAgent, index, storeAddress,
			fmt.Sprintf("app = %q\nbackend = %q\n", s.address(groupAgent, index, portApp), service),
			fmt.Sprintf("control = %q\n", s.address(groupAgent, index, portControl)),
			"cpu-share = 0.24\ncores = 1\nmemory-mb = 152\nmax-fds = 4096\nlink-mbps = 1000.0\ndisk-mb = 0\n")
		agent, err := s.process(name, "agent", text)
		if err != nil {
			return nil, err
		}
		s.agents = append(s.agents, agent)
		kind := "a"
		if index%3 == 2 {
			kind = "b"
		}
		s.workers = append(s.workers, &worker{
			name: name, zone: zones[index%len(zones)], kind: kind, labels: []string{kind, fmt.Sprintf("r%d", index/3)}, cpu: workerCPU,
			address: s.address(groupAgent, index, portApp), control: s.address(groupAgent, index, portControl),
		})
	}
	return s, nil
}

func (s *system) process(name, role, settings string) (*process, error) {
	boot := filepath.Join(s.dir, name+".toml")
	if err := os.WriteFile(boot, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(s.dir, name+".log"))
	return &process{name: name, role: role, boot: boot, output: output}, err
}

// start starts the processes and the workers, and waits until the entries are ready.
func (s *system) start() error {
	for _, agent := range s.agents {
		if err := agent.start(s.binary); err != nil {
			return err
		}
	}
	for _, entry := range s.entries {
		if err := entry.start(s.binary); err != nil {
			return err
		}
	}
	for _, worker := range s.workers {
		if err := worker.boot(); err != nil {
			return err
		}
	}
	for index := range s.entries {
		if err := s.awaitReady(index, 15*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) awaitReady(entry int, wait time.Duration) error {
	for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := s.client.Get("http://" + s.address(groupEntry, entry, portReady) + "/readyz")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			logf("entry %s is ready", s.entries[entry].name)
			return nil
		}
	}
	return fmt.Errorf("entry %d is not ready", entry)
}

// stop ends all processes and copies their output beside the record if keep is set.
func (s *system) stop(keep string) {
	if s == nil {
		return
	}
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		p.kill()
	}
	if keep != "" {
		for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
			if text, err := os.ReadFile(filepath.Join(s.dir, p.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, p.name+".log"), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(s.dir)
}

// call sends a request as a client; status is 0 without a complete answer.
func (s *system) call(entry int, method, id, body string, timeout time.Duration) (status int, answerText string) {
	return s.callUntil(context.Background(), entry, method, id, body, timeout)
}

// postUntil submits a job with a connection of its own, which is closed when leave ends. It reports whether the
// client has got an answer before.
func (s *system) postUntil(leave context.Context, entry int, id, body string, timeout time.Duration) (answered bool) {
	own := &system{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, base: s.base}
	status, _ := own.callUntil(leave, entry, http.MethodPost, id, body, timeout)
	return status != 0
}

// callUntil is call, given up when its context ends.
func (s *system) callUntil(ctx context.Context, entry int, method, id, body string, timeout time.Duration) (status int, answerText string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body = expand(body)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.address(groupEntry, entry, portFrontend)+prefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	response, err := s.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(text))
}

// client sends a request and writes it to the record.
func (s *system) send(entry int, method, id, body string, timeout time.Duration) (status int, answerText string) {
	body = expand(body)
	shown := body
	if len(shown) > 300 {
		shown = shown[:300] + "..."
	}
	logf("client: %s %s at %s %s", method, id, s.entries[entry].name, shown)
	status, answerText = s.call(entry, method, id, body, timeout)
	logf("client: %s %s at %s -> %d %s", method, id, s.entries[entry].name, status, answerText)
	return status, answerText
}

// state asks for the state of a job at any of the given entries.
func (s *system) state(id string, entries ...int) (status int, state string) {
	for _, entry := range entries {
		var text string
		if status, text = s.call(entry, http.MethodGet, id, "", 1500*time.Millisecond); status == http.StatusOK {
			var body struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(text), &body)
			return status, body.State
		}
	}
	return status, ""
}

// startsOf returns copies of the starts of a job's tasks on all workers, the earliest first.
func (s *system) startsOf(id string) (starts []start) {
	for _, m := range s.workers {
		m.mu.Lock()
		for _, started := range m.starts {
			if strings.HasPrefix(started.task, id+".") {
				starts = append(starts, *started)
			}
		}
		m.mu.Unlock()
	}
	slices.SortFunc(starts, func(a, b start) int { return a.at.Compare(b.at) })
	return starts
}

// activeRuns returns how many runs are active on all workers.
func (s *system) activeRuns() (active int) {
	for _, m := range s.workers {
		m.mu.Lock()
		active += len(m.active)
		m.mu.Unlock()
	}
	return active
}
