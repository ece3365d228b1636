// Package ptprocess_test runs the program as separate processes that are killed,
// paused and resumed, and checks histories of what callers and operators saw.
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
	// A fixed order of the specs gives one verdict.
	suite.RandomSeed = 1
	RunSpecs(t, "ptprocess", suite, reporter)
}

// patience bounds what must happen at some time; no test asserts how soon.
const patience = 40 * time.Second

var binary string

var _ = BeforeSuite(func() {
	directory, err := os.MkdirTemp("", "primrosetiller")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, directory)
	binary = filepath.Join(directory, "primrosetiller")
	output, err := exec.Command("go", "build", "-o", binary, "../cmd/primrosetiller").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
})

// process is one running process.
type process struct {
	command *exec.Cmd
	done    chan struct{}
}

// run starts a process that ends with the spec at the latest.
func run(arguments ...string) *process {
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

// nextPort lies below the range from which the kernel gives ports to others, so that
// an address stays free until its process listens there, also across a restart.
var nextPort = 21_000

// ports returns free addresses on loopback.
func ports(count int) (addresses []string) {
	GinkgoHelper()
	for len(addresses) < count {
		nextPort++
		address := fmt.Sprint("127.0.0.1:", nextPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		Expect(listener.Close()).To(Succeed())
		addresses = append(addresses, address)
	}
	return addresses
}

// system is the whole, in processes.
type system struct {
	log       string
	entries   []*process
	agents    []*process
	callers   []string
	dialed    []string
	admins    []string
	upstreams []string
}

const declarations = `
profiles:
  - {name: plain, team: team, service: service, queueFor: 20s, runFor: 10s}
  - {name: recorded, team: team, service: service, submissions: recorded, queueFor: 5s, runFor: 10s}
`

func start(entries, agents int) *system {
	GinkgoHelper()
	system := &system{}
	logAddress := ports(1)[0]
	system.log = "http://" + logAddress
	run("standin", "log", "--listen", logAddress)
	system.callers, system.dialed, system.admins = ports(entries), ports(entries), ports(entries)
	for i := range entries {
		system.entries = append(system.entries, system.startEntry(i))
	}
	for i := range agents {
		address := ports(1)[0]
		run("standin", "upstream", "--listen", address)
		system.upstreams = append(system.upstreams, "http://"+address)
		system.agents = append(system.agents, system.startAgent(i))
	}
	file := filepath.Join(GinkgoT().TempDir(), "declarations.yaml")
	Expect(os.WriteFile(file, []byte(declarations), 0o600)).To(Succeed())
	Eventually(func() error { return exec.Command(binary, "apply", "-f", file, "--log", system.log).Run() }).WithTimeout(patience).Should(Succeed())
	for i := range entries {
		system.waitReady(i)
	}
	for _, upstream := range system.upstreams {
		Eventually(func() error { return reach(upstream + "/starts") }).WithTimeout(patience).Should(Succeed())
	}
	return system
}

// waitSessions waits until every entry has a session with every agent. An entry is ready
// with one; where that agent then leaves, its jobs have no upstream, and truly so.
func (system *system) waitSessions() {
	GinkgoHelper()
	wanted := fmt.Sprintf("primrosetiller_sessions %d\n", len(system.agents))
	for _, admin := range system.admins {
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
		}).WithTimeout(patience).Should(ContainSubstring(wanted))
	}
}

// reach asks for a page; an entry is ready with one upstream, and tests ask all of them.
func reach(url string) (err error) {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (system *system) startEntry(i int) *process {
	return run("entry", "--name", fmt.Sprint("entry", i), "--listen", system.callers[i], "--agents-listen", system.dialed[i],
		"--admin-listen", system.admins[i], "--log", system.log, "--peers", strings.Join(system.dialed, ","), "--shutdown-delay", "0s")
}

func (system *system) startAgent(i int) *process {
	return run("agent", "--name", fmt.Sprint("upstream", i), "--service", "service", "--slots", "2",
		"--upstream", system.upstreams[i], "--entries", strings.Join(system.dialed, ","), "--log", system.log)
}

func (system *system) waitReady(i int) {
	GinkgoHelper()
	Eventually(func() int {
		response, err := http.Get("http://" + system.admins[i] + "/readyz")
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}).WithTimeout(patience).Should(Equal(http.StatusOK))
}

// reply is what a caller gets; Status 0 means that the connection broke.
type reply struct {
	Status  int
	Job     string `json:"job"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

func (system *system) post(entry int, profile, key string, tasks, runMillis int) (got reply) {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"profile":%q,"submission":%q,"tasks":[`, profile, key)
	for i := range tasks {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"payload":{"runMillis":%d,"nonce":"%s-%d"}}`, runMillis, key, i)
	}
	body.WriteString("]}")
	response, err := http.Post("http://"+system.callers[entry]+"/v1/jobs", "application/json", &body)
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

func (system *system) starts() (sum ptstandin.StartCounts) {
	GinkgoHelper()
	for _, upstream := range system.upstreams {
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

// startsOf returns how often each of some nonces has started, over all upstreams.
func (system *system) startsOf(nonces []string) (counts []int) {
	GinkgoHelper()
	counts = make([]int, len(nonces))
	encoded, err := json.Marshal(nonces)
	Expect(err).NotTo(HaveOccurred())
	for _, upstream := range system.upstreams {
		response, err := http.Post(upstream+"/v1/nonces", "application/json", bytes.NewReader(encoded))
		Expect(err).NotTo(HaveOccurred())
		var here []int
		Expect(json.NewDecoder(response.Body).Decode(&here)).To(Succeed())
		_ = response.Body.Close()
		for i, count := range here {
			counts[i] += count
		}
	}
	return counts
}

// crowd runs callers until stop is closed and returns every reply by its key.
func (system *system) crowd(workers int, profile string, runMillis int, stop <-chan struct{}) map[string]reply {
	var mu sync.Mutex
	replies := make(map[string]reply)
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				key := fmt.Sprintf("w%d-%d", worker, number)
				got := system.post((worker+number)%len(system.callers), profile, key, 3, runMillis)
				mu.Lock()
				replies[key] = got
				mu.Unlock()
				if got.Status == 0 {
					// The entry is down; nobody gains from asking it in a tight loop.
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
	return replies
}

// checkReplies checks that complete and not-run replies are true.
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
	It("keeps its promises while entries and agents are killed and paused", func() {
		system := start(2, 3)
		stop := make(chan struct{})
		finished := make(chan map[string]reply, 1)
		go func() { finished <- system.crowd(8, "plain", 30, stop) }()
		// Longer than silence takes to show, and longer than a session takes to lapse.
		pauses := []time.Duration{700 * time.Millisecond, 3500 * time.Millisecond, 700 * time.Millisecond}
		for round, paused := range pauses {
			agent, entry := round%3, round%2
			system.agents[agent].signal(syscall.SIGSTOP)
			time.Sleep(paused)
			system.agents[agent].signal(syscall.SIGCONT)
			system.agents[(agent+1)%3].kill()
			system.agents[(agent+1)%3] = system.startAgent((agent + 1) % 3)
			system.entries[entry].signal(syscall.SIGSTOP)
			time.Sleep(paused)
			system.entries[entry].signal(syscall.SIGCONT)
			time.Sleep(300 * time.Millisecond)
			system.entries[entry].kill()
			system.entries[entry] = system.startEntry(entry)
			system.waitReady(entry)
		}
		close(stop)
		var replies map[string]reply
		Eventually(finished).WithTimeout(patience).Should(Receive(&replies))
		system.checkReplies(replies, 3)
		complete := 0
		for _, got := range replies {
			if got.Outcome == "complete" {
				complete++
			}
		}
		Expect(complete).To(BeNumerically(">", 0))
	})

	It("completes every job over a rolling restart with SIGTERM", func() {
		system := start(2, 3)
		system.waitSessions()
		stop := make(chan struct{})
		finished := make(chan map[string]reply, 1)
		go func() { finished <- system.crowd(6, "plain", 20, stop) }()
		for i := range system.agents {
			system.agents[i].signal(syscall.SIGTERM)
			Eventually(system.agents[i].done).WithTimeout(patience).Should(BeClosed())
			Expect(system.agents[i].command.ProcessState.ExitCode()).To(BeZero())
			system.agents[i] = system.startAgent(i)
			time.Sleep(300 * time.Millisecond)
			system.waitSessions()
		}
		close(stop)
		var replies map[string]reply
		Eventually(finished).WithTimeout(patience).Should(Receive(&replies))
		system.checkReplies(replies, 3)
		for key, got := range replies {
			Expect(got.Outcome).To(Equal("complete"), "%s: %s", key, got.Reason)
		}
	})

	It("drains an entry on SIGTERM: what it holds completes, and it exits with 0", func() {
		system := start(1, 2)
		replies := make(chan reply, 1)
		go func() { replies <- system.post(0, "plain", "hold", 8, 400) }()
		Eventually(func() int { return system.starts().Running }).WithTimeout(patience).Should(BeNumerically(">", 0))
		system.entries[0].signal(syscall.SIGTERM)
		var got reply
		Eventually(replies).WithTimeout(patience).Should(Receive(&got))
		Expect(got.Outcome).To(Equal("complete"))
		Eventually(system.entries[0].done).WithTimeout(patience).Should(BeClosed())
		Expect(system.entries[0].command.ProcessState.ExitCode()).To(BeZero())
	})

	It("runs each key of recorded submissions at most once, explained by one order", func() {
		system := start(2, 2)
		const keys, workers, calls = 6, 6, 10
		var mu sync.Mutex
		var history []porcupine.Operation
		var group sync.WaitGroup
		began := time.Now()
		for worker := range workers {
			group.Go(func() {
				for number := range calls {
					key := fmt.Sprintf("key%d", (worker+number*5)%keys)
					operation := porcupine.Operation{ClientId: worker, Input: key, Call: int64(time.Since(began))}
					operation.Output = system.post((worker+number)%2, "recorded", key, 1, 20)
					operation.Return = int64(time.Since(began))
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

	It("lets racing operators win or lose as one order explains", func() {
		system := start(1, 1)
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
					output, err := exec.Command(binary, "apply", "-f", file, "--log", system.log).Output()
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
		// Every acceptance has a revision of its own, and together they are all revisions.
		for revision, count := range accepted {
			Expect(count).To(Equal(1), revision)
		}
		output, err := exec.Command(binary, "get", "--log", system.log).Output()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(output)).To(HavePrefix(fmt.Sprintf("# revision %d\n", 1+len(accepted))))
	})
})

// submissionModel is a key that is run once: the first job that holds it keeps it,
// and every later reply names that job, or failed, or a refusal that ran nothing.
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
		holder, _ := state.(string)
		got, _ := output.(reply)
		if got.Status == 0 || got.Outcome == "notRun" {
			return true, holder
		}
		if holder == "" {
			return true, got.Job
		}
		return got.Job == holder, holder
	},
}
