//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	serviceName = "svc-a"
	zoneName    = "caerdydd"
	queueHost   = "jobs.example"
	queuePrefix = "/queue-a/"
	// workerCapacity is the capacity of a worker in thousandths of a core.
	workerCapacity = 64000
	workersPerRack = 3
	restartDelay   = 500 * time.Millisecond
)

// Port offsets.
const (
	portFrontend = iota
	portReady
	portControl
	portApp
	portStore
	portSession
	portCount
)

// process is an entry or an agent process.
type process struct {
	name, role, settings string
	command              *exec.Cmd
	done                 chan struct{}
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	dir       string
	net, port int
	store     *store
	record    *record
	entries   []*process
	agents    []*process
	workers   []*worker
	seeds     int
	// calm is true once tasks that last fail no more.
	calm atomic.Bool
}

// newCluster prepares a deployment; the first seeds entries are the seeds of all processes.
func newCluster(record *record, entries, workers, seeds int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	cluster := &cluster{dir: dir, store: newStore(), record: record, seeds: seeds}
	if cluster.net, cluster.port, err = freePorts(); err != nil {
		return nil, err
	}
	cluster.configure(1, "")
	for index := range entries {
		if err := cluster.addEntry(index); err != nil {
			return nil, err
		}
	}
	for index := range workers {
		if err := cluster.addAgent(index); err != nil {
			return nil, err
		}
	}
	return cluster, nil
}

// freePorts returns the second octet and the first port of addresses that are free.
func freePorts() (network, port int, err error) {
	for try := range 50 {
		network = 20 + (os.Getpid()*7+try*13)%200
		port = 21000 + (os.Getpid()*31+try*101)%9000
		free := true
		for offset := range portCount {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", network, port+offset))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return network, port, nil
		}
	}
	return 0, 0, fmt.Errorf("no free ports")
}

func (cluster *cluster) address(group, index, offset int) string {
	return fmt.Sprintf("%s:%d", cluster.ip(group, index), cluster.port+offset)
}

func (cluster *cluster) ip(group, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", cluster.net, group, index+1)
}

// Third octets of the addresses.
const (
	groupEntry = iota + 1
	groupAgent
	groupEntryStore
	groupAgentStore
)

func (cluster *cluster) configure(version int, extra string) {
	cluster.store.put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"queue-a","host":%q,%q:%q,"timeout-ms":1500,`+
		`"target-latency-ms":60,"priority":0,"backend":%q,"max-attempts":2,"stretch":1.6}%s],"backends":[{"name":%q}],"limits":{}}`,
		version, queueHost, wire.Prefix, queuePrefix, serviceName, extra, serviceName))
}

// rackLabel returns the label of the rack of a worker.
func rackLabel(index int) string { return fmt.Sprintf("r1-%d", index/workersPerRack+1) }

// settingsText returns the settings that both roles share.
func (cluster *cluster) settingsText(name, class, serves, ip, storeAddress string) string {
	seeds := []string{}
	for index := range cluster.seeds {
		seeds = append(seeds, cluster.address(groupEntry, index, portControl))
	}
	encoded, _ := json.Marshal(seeds)
	return fmt.Sprintf(`node-name = %q
role = "my-%s"
machine-class = %q
serves = [%s]
ip = %q
zone = %q
region = "cymru"
port-range = [%d, %d]
seeds = %s
bootstrap = true
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
control-mode = "call"
`, name, class, class, serves, ip, zoneName, cluster.port+portSession, cluster.port+portSession+10, encoded) + "%s" + fmt.Sprintf(`
[limits]
memory-mb = 284
max-fds = 4100
[bounds]
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
hold-max-ms = 1000
stop-grace-ms = 50
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
notice-ms = 4500
resend-ms = 1300
[platform]
address = %q
form = "log"
writes-per-s = 800
reads-per-s = 2000
parts = %d
append-ms = 2.0
record-bytes = 262144
request-bytes = 2097152
keep_s = 300
partition-mb = 200
ttl-min-ms = 1000
`, storeAddress, storePartitions)
}

func (cluster *cluster) addEntry(index int) error {
	name := fmt.Sprintf("edge-%d", index+1)
	storeAddress := cluster.address(groupEntryStore, index, portStore)
	if err := cluster.store.serve(name, storeAddress); err != nil {
		return err
	}
	text := fmt.Sprintf(cluster.settingsText(name, "edge", `"edge","control_plane"`, cluster.ip(groupEntry, index), storeAddress),
		fmt.Sprintf("[bind-addrs]\nfrontend = %q\nreadiness = %q\ncontrol = %q", cluster.address(groupEntry, index, portFrontend),
			cluster.address(groupEntry, index, portReady), cluster.address(groupEntry, index, portControl)))
	cluster.entries = append(cluster.entries, &process{name: name, role: "entry", settings: text})
	return nil
}

func (cluster *cluster) addAgent(index int) error {
	name := fmt.Sprintf("side-%d", index+1)
	storeAddress := cluster.address(groupAgentStore, index, portStore)
	if err := cluster.store.serve(name, storeAddress); err != nil {
		return err
	}
	app, control := cluster.address(groupAgent, index, portApp), cluster.address(groupAgent, index, portControl)
	text := fmt.Sprintf(cluster.settingsText(name, "side", `"side"`, cluster.ip(groupAgent, index), storeAddress),
		fmt.Sprintf("app = %q\nbackend = %q\n[bind-addrs]\ncontrol = %q", app, serviceName, control))
	cluster.agents = append(cluster.agents, &process{name: name, role: "agent", settings: text})
	cluster.workers = append(cluster.workers, newWorker(cluster, name, app, control, workerCapacity, rackLabel(index)))
	return nil
}

// start starts a process with the command of the deploy file.
func (cluster *cluster) start(process *process) error {
	path := filepath.Join(cluster.dir, process.name+".toml")
	if err := os.WriteFile(path, []byte(process.settings), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(cluster.dir, process.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/primrosetiller", "platform", process.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + cluster.dir, "PRIMROSETILLER_BOOT=" + path}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	process.command, process.done = command, done
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(done)
	}()
	cluster.record.event("%s started", process.name)
	return nil
}

// restart starts a process again a little after it has ended, as the platform does.
func (cluster *cluster) restart(process *process) {
	<-process.done
	cluster.record.event("%s has ended", process.name)
	time.Sleep(restartDelay)
	_ = cluster.start(process)
}

// signal sends a signal to a process that this program has started.
func (cluster *cluster) signal(process *process, signal syscall.Signal) {
	cluster.record.event("%s gets %s", process.name, signal)
	_ = process.command.Process.Signal(signal)
}

// startAll starts all processes and workers, but the entries from the given one on, and waits until
// the entries are ready.
func (cluster *cluster) startAll(entries int) error {
	for _, process := range cluster.entries[:entries] {
		if err := cluster.start(process); err != nil {
			return err
		}
	}
	for index, process := range cluster.agents {
		if err := cluster.start(process); err != nil {
			return err
		}
		if err := cluster.workers[index].start(); err != nil {
			return err
		}
	}
	for index := range entries {
		if !cluster.awaitReady(index, 20*time.Second) {
			return fmt.Errorf("%s did not become ready", cluster.entries[index].name)
		}
	}
	return nil
}

func (cluster *cluster) awaitReady(index int, timeout time.Duration) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if cluster.isReady(index) {
			return true
		}
	}
	return false
}

func (cluster *cluster) isReady(index int) bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + cluster.address(groupEntry, index, portReady) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all processes.
func (cluster *cluster) stop() {
	for _, process := range append(cluster.entries, cluster.agents...) {
		if process.command != nil {
			_ = process.command.Process.Signal(syscall.SIGCONT)
			_ = process.command.Process.Kill()
			<-process.done
		}
	}
	for _, worker := range cluster.workers {
		worker.stop()
	}
	cluster.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(cluster.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", cluster.dir)
	}
}

// call sends a request to an entry over a connection of its own.
func (cluster *cluster) call(entry int, method, id, body string, timeout time.Duration) (status int, answer string) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+cluster.address(groupEntry, entry, portFrontend)+queuePrefix+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	buffer := new(strings.Builder)
	_, err = copyAll(buffer, response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(buffer.String())
}
