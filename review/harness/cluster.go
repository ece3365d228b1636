//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    io.Writer
	startAt time.Time
}

func (r *record) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.startAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// at returns an instant in the time of the record.
func (r *record) at(instant time.Time) string {
	if instant.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.3f", instant.Sub(r.startAt).Seconds())
}

// Ports of a machine, as offsets from the base port.
const (
	portFrontend, portReadiness, portControl, portWorker, portInner, portStore = 0, 1, 2, 3, 4, 5
	portCount                                                                  = 6
)

const (
	host    = "nony24.example"
	prefix  = "/lohu930/"
	service = "huvo11a"
	parts   = 32
	// callerTimeout is how long clients wait for an answer.
	callerTimeout = 1500 * time.Millisecond
	contact       = 3000 * time.Millisecond
	cancelTime    = 3000 * time.Millisecond
	stopGrace     = 50 * time.Millisecond
	finishTime    = 14 * time.Second
	resendTime    = 1300 * time.Millisecond
)

type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
}

// cluster is a small deployment: entries and agents as processes, and stand-ins for the store, the
// workers and the network.
type cluster struct {
	record          *record
	runs            *runLog
	store           *store
	base            int
	entries, agents int
	dir, logs       string
	workers         []*worker
	processes       map[string]*process
	// relays has the network from a machine to an entry; storeRelays that from a machine to the store.
	relays      map[[2]int]*relay
	storeRelays []*relay
	client      *http.Client
}

func entryIP(entry int) string                        { return fmt.Sprintf("127.0.1.%d", entry+1) }
func agentIP(agent int) string                        { return fmt.Sprintf("127.0.2.%d", agent+1) }
func relayIP(machine, entry int) string               { return fmt.Sprintf("127.0.%d.%d", 20+machine, entry+1) }
func storeIP(machine int) string                      { return fmt.Sprintf("127.0.3.%d", machine+1) }
func storeRelayIP(machine int) string                 { return fmt.Sprintf("127.0.4.%d", machine+1) }
func (c *cluster) address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, c.base+port) }

// freeBase returns a base port whose ports are free on all addresses.
func freeBase(ips []string) (int, error) {
	for range 200 {
		base := 20000 + rand.IntN(2000)*20
		free := true
		for _, ip := range ips {
			for port := range portCount {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func newCluster(record *record, folder string, entries, agents int) (c *cluster, err error) {
	c = &cluster{
		record: record, runs: &runLog{}, entries: entries, agents: agents, processes: make(map[string]*process), relays: make(map[[2]int]*relay),
		logs: filepath.Join(folder, "logs"), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	if c.dir, err = os.MkdirTemp("", "review"); err != nil {
		return c, err
	}
	if err := os.RemoveAll(c.logs); err != nil {
		return c, err
	}
	if err := os.MkdirAll(c.logs, 0o755); err != nil {
		return c, err
	}
	var ips []string
	for entry := range entries {
		ips = append(ips, entryIP(entry))
	}
	for agent := range agents {
		ips = append(ips, agentIP(agent))
	}
	for machine := range entries + agents {
		ips = append(ips, storeIP(machine), storeRelayIP(machine))
		for entry := range entries {
			ips = append(ips, relayIP(machine, entry))
		}
	}
	if c.base, err = freeBase(ips); err != nil {
		return c, err
	}
	c.store = newStore(record, parts)
	for machine := range entries + agents {
		listener, err := net.Listen("tcp", c.address(storeIP(machine), portStore))
		if err != nil {
			return c, err
		}
		c.store.serve(listener, c.translator(machine))
		relay, err := newRelay(c.address(storeRelayIP(machine), portStore), c.address(storeIP(machine), portStore))
		if err != nil {
			return c, err
		}
		c.storeRelays = append(c.storeRelays, relay)
		for entry := range entries {
			if machine == entry {
				continue
			}
			relay, err := newRelay(c.address(relayIP(machine, entry), portInner), c.address(entryIP(entry), portInner))
			if err != nil {
				return c, err
			}
			c.relays[[2]int{machine, entry}] = relay
		}
	}
	for agent := range agents {
		c.workers = append(c.workers, &worker{
			name: fmt.Sprint("w", agent+1), service: service, address: c.address(agentIP(agent), portWorker), control: c.address(agentIP(agent), portControl),
			record: record, runs: c.runs,
		})
	}
	return c, nil
}

// translator returns a function that replaces the addresses of entries in what a machine reads from
// the store by those of the relays on the way to them.
func (c *cluster) translator(machine int) func([]byte) []byte {
	var pairs []string
	for entry := range c.entries {
		if entry != machine {
			pairs = append(pairs, c.address(entryIP(entry), portInner), c.address(relayIP(machine, entry), portInner))
		}
	}
	replacer := strings.NewReplacer(pairs...)
	return func(text []byte) []byte {
		if !bytes.Contains(text, []byte("127.0.1.")) {
			return text
		}
		return []byte(replacer.Replace(string(text)))
	}
}

// queue describes a route of the configuration.
type queue struct {
	name, prefix string
}

func (c *cluster) configure(version int, queues ...queue) {
	routes := []any{}
	for _, queue := range queues {
		routes = append(routes, map[string]any{
			"name": queue.name, "host": host, wire.Prefix: queue.prefix, "backend": service, "route-type": "non_idempotent", "timeout-ms": callerTimeout.Milliseconds(),
			"target-latency-ms": 60, "priority": 1, "max-attempts": 4, "stretch": 1.6,
		})
	}
	c.store.put(operatorName, operatorKey, encode(map[string]any{
		"version": version, "routes": routes, "backends": []any{map[string]any{"name": service, "rejects-overload": false, "health-path": "/healthz"}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	}))
}

const settingsText = `node-name = %q
role = %q
machine-class = %q
ip = %q
zone = "z1"
region = "r1"
port-range = [%d,%d]
seeds = %s
bootstrap = true
heartbeat-ms = 1500
control-mode = "call"
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
%s
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
config-deadline-ms = 2000
hold-max-ms = 1000
stop-grace-ms = 50
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
checkpoint-s = 1
restore-ms = 100
resend-ms = 1300
[platform]
address = %q
form = "log"
writes-per-s = 800
reads-per-s = 2000
parts = 32
append-ms = 2.0
record-bytes = 262144
request-bytes = 2097152
keep_s = 300
ttl-min-ms = 1000
[bind-addrs]
%s
`

func (c *cluster) startMachine(machine int) error {
	name, role, class, ip, extra := fmt.Sprint("edge-", machine+1), "entry", "edge", "", ""
	bind := ""
	if machine < c.entries {
		ip = entryIP(machine)
		bind = fmt.Sprintf("frontend = %q\nreadiness = %q\ncontrol = %q", c.address(ip, portFrontend), c.address(ip, portReadiness), c.address(ip, portControl))
	} else {
		agent := machine - c.entries
		name, role, class, ip = fmt.Sprint("side-", agent+1), "agent", "side", agentIP(agent)
		extra = fmt.Sprintf("app = %q\nbackend = %q", c.address(ip, portWorker), service)
		bind = fmt.Sprintf("control = %q", c.address(ip, portControl))
	}
	seeds := []string{}
	for entry := range min(3, c.entries) {
		if entry == machine {
			seeds = append(seeds, c.address(entryIP(entry), portControl))
		} else {
			seeds = append(seeds, c.address(relayIP(machine, entry), portControl))
		}
	}
	text := fmt.Sprintf(settingsText, name, role, class, ip, c.base+portInner, c.base+portInner+9, encode(seeds), extra, c.address(storeRelayIP(machine), portStore), bind)
	path := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(c.logs, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/primrosetiller", "platform", role)
	command.Env = append(os.Environ(), "PRIMROSETILLER_BOOT="+path)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	started := &process{name: name, command: command, done: make(chan struct{})}
	c.processes[name] = started
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(started.done)
	}()
	return nil
}

// start starts everything and waits until all entries are ready.
func (c *cluster) start() error {
	c.configure(1, queue{"lohu930", prefix})
	for machine := range c.entries + c.agents {
		if err := c.startMachine(machine); err != nil {
			return err
		}
	}
	for _, w := range c.workers {
		if err := w.start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(20 * time.Second)
	for entry := range c.entries {
		for {
			response, err := c.client.Get("http://" + c.address(entryIP(entry), portReadiness) + "/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("entry %d is not ready after 20 s", entry+1)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(6 * time.Second)
	addresses := []string{}
	for entry := range c.entries {
		addresses = append(addresses, c.address(entryIP(entry), portInner))
	}
	c.record.line("%d entries and %d workers are ready; partitions owned by the entries: %s", c.entries, c.agents, describeOwners(c.store, addresses))
	return nil
}

func (c *cluster) kill(name string) {
	p := c.processes[name]
	_ = p.command.Process.Kill()
	<-p.done
}

func (c *cluster) close() {
	for _, p := range c.processes {
		_ = p.command.Process.Kill()
	}
	for _, p := range c.processes {
		<-p.done
	}
	_ = os.RemoveAll(c.dir)
}

// answer is the answer to a client; status 0 means none.
type answer struct {
	status int
	state  string
	body   string
}

func (c *cluster) request(method string, entry int, path string, body any, timeout time.Duration) (got answer) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(encode(body))
	}
	request, err := http.NewRequest(method, "http://"+c.address(entryIP(entry), portFrontend)+path, reader)
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := *c.client
	client.Timeout = timeout
	response, err := client.Do(request)
	if err != nil {
		return got
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return got
	}
	var decoded struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(text, &decoded)
	return answer{response.StatusCode, decoded.State, string(text)}
}

// submit hands a durable job in like a client: without an answer, or after 502 or 504, it sends it
// again to the next entry.
func (c *cluster) submit(entry int, id string, job any, quiet bool) (accepted bool) {
	for attempt := range 8 {
		target := (entry + attempt) % c.entries
		got := c.request(http.MethodPost, target, prefix+id, job, callerTimeout)
		if !quiet || got.status != http.StatusOK {
			c.record.line("client: POST %s at entry %d: %d %s", id, target+1, got.status, strings.TrimSpace(got.body))
		}
		switch got.status {
		case http.StatusOK:
			return true
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			time.Sleep(resendTime)
		default:
			return false
		}
	}
	return false
}

// state asks for the state of a job until there is an answer.
func (c *cluster) state(entry int, id string) string {
	for attempt := range 6 {
		if got := c.request(http.MethodGet, (entry+attempt)%c.entries, prefix+id, nil, callerTimeout); got.status == http.StatusOK || got.status == http.StatusGone {
			if got.status == http.StatusGone {
				return "410"
			}
			return got.state
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "no answer"
}

func jobID(kind, number int) string { return fmt.Sprintf("%04x%08x%04x", kind, rand.Uint32(), number) }

func step(count, cpu int, estimate time.Duration, more map[string]any) map[string]any {
	built := map[string]any{"count": count, "cpu": cpu, wire.Memory: 64, "estimate-ms": estimate.Milliseconds()}
	for key, value := range more {
		built[key] = value
	}
	return built
}

func job(spec string, steps ...any) map[string]any {
	return map[string]any{"spec": spec, "steps": steps}
}
