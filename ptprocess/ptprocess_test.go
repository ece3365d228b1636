// Package ptprocess_test runs the program as separate processes, kills, pauses and resumes
// them, and checks the histories that callers and operators observed.
package ptprocess_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptstandin"
)

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	// A fixed order of the specs makes the result of the suite reproducible.
	suite.RandomSeed = 1
	RunSpecs(t, "ptprocess", suite, reporter)
}

// eventualTimeout bounds the wait for a condition that must become true. No test asserts how
// soon the condition becomes true.
const eventualTimeout = 40 * time.Second

var binary string

var _ = BeforeSuite(func() {
	directory, err := os.MkdirTemp("", "primrosetiller")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, directory)
	binary = filepath.Join(directory, "primrosetiller")
	output, err := exec.Command("go", "build", "-o", binary, "../cmd/primrosetiller").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
})

// process is one process of the program.
type process struct {
	command *exec.Cmd
	done    chan struct{}
}

// startProcess starts a process and kills it at the end of the spec.
func startProcess(arguments ...string) *process {
	GinkgoHelper()
	started := &process{command: exec.Command(binary, arguments...), done: make(chan struct{})}
	Expect(started.command.Start()).To(Succeed())
	go func() {
		_ = started.command.Wait()
		close(started.done)
	}()
	DeferCleanup(started.kill)
	return started
}

func (process *process) kill() {
	_ = process.command.Process.Kill()
	<-process.done
}

func (process *process) signal(signal syscall.Signal) {
	GinkgoHelper()
	Expect(process.command.Process.Signal(signal)).To(Succeed())
}

// lastPort is the last port that freeAddresses has tried. The ports are below the range from
// which the kernel assigns ephemeral ports, so that an address stays free until its process
// listens on it, and also while the process is restarted.
var lastPort = 21_000

// freeAddresses returns count free addresses on loopback.
func freeAddresses(count int) (addresses []string) {
	GinkgoHelper()
	for len(addresses) < count {
		lastPort++
		address := fmt.Sprint("127.0.0.1:", lastPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		Expect(listener.Close()).To(Succeed())
		addresses = append(addresses, address)
	}
	return addresses
}

// system consists of entries, agents, and test doubles of the log and the upstreams, each in a
// process of its own.
type system struct {
	logURL                string
	entries               []*process
	agents                []*process
	callerAddresses       []string
	agentsListenAddresses []string
	adminAddresses        []string
	upstreamURLs          []string
}

const declarations = `
profiles:
  - {name: plain, team: team, service: service, queueFor: 20s, runFor: 10s}
  - {name: recorded, team: team, service: service, submissions: recorded, queueFor: 5s, runFor: 10s}
`

// startSystem starts a system and waits until its entries are ready and its upstreams respond.
func startSystem(entries, agents int) *system {
	GinkgoHelper()
	system := &system{}
	logAddress := freeAddresses(1)[0]
	system.logURL = "http://" + logAddress
	startProcess("standin", "log", "--listen", logAddress)
	system.callerAddresses, system.agentsListenAddresses, system.adminAddresses = freeAddresses(entries), freeAddresses(entries), freeAddresses(entries)
	for i := range entries {
		system.entries = append(system.entries, system.startEntry(i))
	}
	for i := range agents {
		address := freeAddresses(1)[0]
		startProcess("standin", "upstream", "--listen", address)
		system.upstreamURLs = append(system.upstreamURLs, "http://"+address)
		system.agents = append(system.agents, system.startAgent(i))
	}
	file := filepath.Join(GinkgoT().TempDir(), "declarations.yaml")
	Expect(os.WriteFile(file, []byte(declarations), 0o600)).To(Succeed())
	Eventually(func() error { return exec.Command(binary, "apply", "-f", file, "--log", system.logURL).Run() }).WithTimeout(eventualTimeout).Should(Succeed())
	for i := range entries {
		system.waitReady(i)
	}
	for _, upstream := range system.upstreamURLs {
		Eventually(func() error { return checkReachable(upstream + "/starts") }).WithTimeout(eventualTimeout).Should(Succeed())
	}
	return system
}

// waitSessions waits until every entry has a session with every agent. An entry with one
// session is ready, but if the agent of this session drains, the entry correctly refuses jobs
// because it has no upstream.
func (system *system) waitSessions() {
	GinkgoHelper()
	wantedLine := fmt.Sprintf("primrosetiller_sessions %d\n", len(system.agents))
	for _, admin := range system.adminAddresses {
		Eventually(func() string {
			response, err := http.Get("http://" + admin + "/metrics")
			if err != nil {
				return err.Error()
			}
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			if err != nil {
				return err.Error()
			}
			return string(text)
		}).WithTimeout(eventualTimeout).Should(ContainSubstring(wantedLine))
	}
}

// checkReachable returns an error if there is no HTTP response from url. Tests call it for all
// upstreams, because an entry is ready as soon as one of them is available.
func checkReachable(url string) (err error) {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (system *system) startEntry(i int) *process {
	return startProcess("entry", "--name", fmt.Sprint("entry", i), "--listen", system.callerAddresses[i], "--agents-listen", system.agentsListenAddresses[i],
		"--admin-listen", system.adminAddresses[i], "--log", system.logURL, "--peers", strings.Join(system.agentsListenAddresses, ","), "--shutdown-delay", "0s")
}

func (system *system) startAgent(i int) *process {
	return startProcess("agent", "--name", fmt.Sprint("upstream", i), "--service", "service", "--slots", "2",
		"--upstream", system.upstreamURLs[i], "--entries", strings.Join(system.agentsListenAddresses, ","), "--log", system.logURL)
}

func (system *system) waitReady(i int) {
	GinkgoHelper()
	Eventually(func() int {
		response, err := http.Get("http://" + system.adminAddresses[i] + "/readyz")
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}).WithTimeout(eventualTimeout).Should(Equal(http.StatusOK))
}

// reply is the response that a caller received. Status 0 means that no complete response was
// received.
type reply struct {
	Status  int
	Job     string `json:"job"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// submit submits a job to an entry and returns its reply. The nonce of each task is formed from
// key and the index of the task.
func (system *system) submit(entry int, profile, key string, tasks, runMillis int) (got reply) {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"profile":%q,"submission":%q,"tasks":[`, profile, key)
	for i := range tasks {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"payload":{"runMillis":%d,"nonce":"%s-%d"}}`, runMillis, key, i)
	}
	body.WriteString("]}")
	response, err := http.Post("http://"+system.callerAddresses[entry]+"/v1/jobs", "application/json", &body)
	if err != nil {
		return reply{}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(text, &got) != nil {
		return reply{}
	}
	got.Status = response.StatusCode
	return got
}

// starts returns the sum of the start counts of all upstreams.
func (system *system) starts() (sum ptstandin.StartCounts) {
	GinkgoHelper()
	for _, upstream := range system.upstreamURLs {
		response, err := http.Get(upstream + "/starts")
		Expect(err).NotTo(HaveOccurred())
		var counts ptstandin.StartCounts
		Expect(json.NewDecoder(response.Body).Decode(&counts)).To(Succeed())
		_ = response.Body.Close()
		sum.Starts += counts.Starts
		sum.Duplicates += counts.Duplicates
		sum.Running += counts.Running
	}
	return sum
}

// startsOf returns, for each nonce, how often its task has started on all upstreams together.
func (system *system) startsOf(nonces []string) (counts []int) {
	GinkgoHelper()
	counts = make([]int, len(nonces))
	encoded, err := json.Marshal(nonces)
	Expect(err).NotTo(HaveOccurred())
	for _, upstream := range system.upstreamURLs {
		response, err := http.Post(upstream+"/v1/nonces", "application/json", bytes.NewReader(encoded))
		Expect(err).NotTo(HaveOccurred())
		var upstreamCounts []int
		Expect(json.NewDecoder(response.Body).Decode(&upstreamCounts)).To(Succeed())
		_ = response.Body.Close()
		for i, count := range upstreamCounts {
			counts[i] += count
		}
	}
	return counts
}

// runCallers submits jobs from concurrent callers until stop is closed, and returns all replies
// by submission key.
func (system *system) runCallers(callers int, profile string, runMillis int, stop <-chan struct{}) map[string]reply {
	var mu sync.Mutex
	replies := make(map[string]reply)
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				key := fmt.Sprintf("w%d-%d", caller, number)
				got := system.submit((caller+number)%len(system.callerAddresses), profile, key, 3, runMillis)
				mu.Lock()
				replies[key] = got
				mu.Unlock()
				if got.Status == 0 {
					// The entry is down; wait, because retrying in a tight loop wastes processor time.
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
	return replies
}

// checkReplies checks the replies against the start counts of the upstreams: no task has started
// twice, every task of a complete job has started, and no task of a job reported as not run has
// started.
func (system *system) checkReplies(replies map[string]reply, tasks int) {
	GinkgoHelper()
	Expect(system.starts().Duplicates).To(BeZero())
	var keys, nonces []string
	for key := range replies {
		for i := range tasks {
			keys = append(keys, key)
			nonces = append(nonces, fmt.Sprintf("%s-%d", key, i))
		}
	}
	for i, count := range system.startsOf(nonces) {
		key, got := keys[i], replies[keys[i]]
		Expect(count).To(BeNumerically("<=", 1), key)
		if got.Outcome == "complete" {
			Expect(count).To(Equal(1), key)
		}
		if got.Outcome == "notRun" {
			Expect(count).To(BeZero(), key)
		}
	}
}

var _ = Describe("separate processes", func() {
	It("sends correct replies and starts no task twice while entries and agents are killed and paused", func() {
		system := startSystem(2, 3)
		stop := make(chan struct{})
		finished := make(chan map[string]reply, 1)
		go func() { finished <- system.runCallers(8, "plain", 30, stop) }()
		// 700 ms is longer than the acknowledgement timeout of a session, and 3.5 s is longer
		// than its receive timeout.
		pauses := []time.Duration{700 * time.Millisecond, 3500 * time.Millisecond, 700 * time.Millisecond}
		for round, pause := range pauses {
			agent, entry := round%3, round%2
			system.agents[agent].signal(syscall.SIGSTOP)
			time.Sleep(pause)
			system.agents[agent].signal(syscall.SIGCONT)
			system.agents[(agent+1)%3].kill()
			system.agents[(agent+1)%3] = system.startAgent((agent + 1) % 3)
			system.entries[entry].signal(syscall.SIGSTOP)
			time.Sleep(pause)
			system.entries[entry].signal(syscall.SIGCONT)
			time.Sleep(300 * time.Millisecond)
			system.entries[entry].kill()
			system.entries[entry] = system.startEntry(entry)
			system.waitReady(entry)
		}
		close(stop)
		var replies map[string]reply
		Eventually(finished).WithTimeout(eventualTimeout).Should(Receive(&replies))
		system.checkReplies(replies, 3)
		complete := 0
		for _, got := range replies {
			if got.Outcome == "complete" {
				complete++
			}
		}
		Expect(complete).To(BeNumerically(">", 0))
	})

	It("completes every job during a rolling restart of the agents with SIGTERM", func() {
		system := startSystem(2, 3)
		system.waitSessions()
		stop := make(chan struct{})
		finished := make(chan map[string]reply, 1)
		go func() { finished <- system.runCallers(6, "plain", 20, stop) }()
		for i := range system.agents {
			system.agents[i].signal(syscall.SIGTERM)
			Eventually(system.agents[i].done).WithTimeout(eventualTimeout).Should(BeClosed())
			Expect(system.agents[i].command.ProcessState.ExitCode()).To(BeZero())
			system.agents[i] = system.startAgent(i)
			time.Sleep(300 * time.Millisecond)
			system.waitSessions()
		}
		close(stop)
		var replies map[string]reply
		Eventually(finished).WithTimeout(eventualTimeout).Should(Receive(&replies))
		system.checkReplies(replies, 3)
		for key, got := range replies {
			Expect(got.Outcome).To(Equal("complete"), "%s: %s", key, got.Reason)
		}
	})

	It("drains an entry on SIGTERM: its open jobs complete, and it exits with status 0", func() {
		system := startSystem(1, 2)
		replies := make(chan reply, 1)
		go func() { replies <- system.submit(0, "plain", "hold", 8, 400) }()
		Eventually(func() int { return system.starts().Running }).WithTimeout(eventualTimeout).Should(BeNumerically(">", 0))
		system.entries[0].signal(syscall.SIGTERM)
		var got reply
		Eventually(replies).WithTimeout(eventualTimeout).Should(Receive(&got))
		Expect(got.Outcome).To(Equal("complete"))
		Eventually(system.entries[0].done).WithTimeout(eventualTimeout).Should(BeClosed())
		Expect(system.entries[0].command.ProcessState.ExitCode()).To(BeZero())
	})

	It("runs each key of recorded submissions at most once, and the history is linearizable", func() {
		system := startSystem(2, 2)
		const keys, callers, calls = 6, 6, 10
		var mu sync.Mutex
		var history []porcupine.Operation
		var group sync.WaitGroup
		startTime := time.Now()
		for caller := range callers {
			group.Go(func() {
				for number := range calls {
					key := fmt.Sprintf("key%d", (caller+number*5)%keys)
					operation := porcupine.Operation{ClientId: caller, Input: key, Call: int64(time.Since(startTime))}
					operation.Output = system.submit((caller+number)%2, "recorded", key, 1, 20)
					operation.Return = int64(time.Since(startTime))
					mu.Lock()
					history = append(history, operation)
					mu.Unlock()
				}
			})
		}
		time.Sleep(150 * time.Millisecond)
		system.agents[0].kill()
		system.agents[0] = system.startAgent(0)
		system.entries[0].signal(syscall.SIGSTOP)
		time.Sleep(500 * time.Millisecond)
		system.entries[0].signal(syscall.SIGCONT)
		group.Wait()
		Expect(porcupine.CheckOperations(submissionModel, history)).To(BeTrue())
		Expect(system.starts().Duplicates).To(BeZero())
		var nonces []string
		for i := range keys {
			nonces = append(nonces, fmt.Sprintf("key%d-0", i))
		}
		for _, count := range system.startsOf(nonces) {
			Expect(count).To(BeNumerically("<=", 1))
		}
	})

	It("accepts or rejects concurrent changes by operators as in a serial order", func() {
		system := startSystem(1, 1)
		directory := GinkgoT().TempDir()
		var group sync.WaitGroup
		var mu sync.Mutex
		accepted := map[string]int{}
		for operator := range 6 {
			group.Go(func() {
				defer GinkgoRecover()
				for number := range 4 {
					file := filepath.Join(directory, fmt.Sprintf("%d-%d.yaml", operator, number))
					text := fmt.Sprintf("teams:\n  - {name: shared, maxRunning: %d}\n", 1+operator*10+number)
					Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
					output, err := exec.Command(binary, "apply", "-f", file, "--log", system.logURL).Output()
					status := 0
					exit := &exec.ExitError{}
					if errors.As(err, &exit) {
						status = exit.ExitCode()
					}
					Expect(status).To(BeElementOf(0, 3))
					if status == 0 {
						mu.Lock()
						accepted[strings.TrimSpace(string(output))]++
						mu.Unlock()
					}
				}
			})
		}
		group.Wait()
		// Every accepted change has a revision of its own. The only other revision is revision 1,
		// which startSystem applies.
		for revision, count := range accepted {
			Expect(count).To(Equal(1), revision)
		}
		output, err := exec.Command(binary, "get", "--log", system.logURL).Output()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(output)).To(HavePrefix(fmt.Sprintf("# revision %d\n", 1+len(accepted))))
	})
})

// submissionModel is the sequential specification of a submission key for which at most one
// job runs.
// The first job that runs with the key owns it, and every later reply must name this job.
// Replies with status 0 or the outcome notRun are always allowed and do not change the owner.
var submissionModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[any][]porcupine.Operation)
		for _, operation := range history {
			byKey[operation.Input] = append(byKey[operation.Input], operation)
		}
		parts := make([][]porcupine.Operation, 0, len(byKey))
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		job, _ := state.(string)
		got, _ := output.(reply)
		if got.Status == 0 || got.Outcome == "notRun" {
			return true, job
		}
		if job == "" {
			return true, got.Job
		}
		return got.Job == job, job
	},
}
