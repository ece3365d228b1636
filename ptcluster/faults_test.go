package ptcluster_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptcluster"
	"github.com/primrosetiller/primrosetiller/pthealth"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlog"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// patience bounds what must happen at some time; no test asserts how soon.
const patience = 30 * time.Second

func starts(cluster *ptcluster.Cluster) (sum ptstandin.StartCounts) {
	for _, agent := range cluster.Agents {
		counts := agent.Upstream.Counts()
		sum.Starts += counts.Starts
		sum.Duplicates += counts.Duplicates
		sum.Running += counts.Running
	}
	return sum
}

func startsOf(cluster *ptcluster.Cluster, nonce string) (count int) {
	for _, agent := range cluster.Agents {
		count += agent.Upstream.StartsOf(nonce)
	}
	return count
}

func jobs(cluster *ptcluster.Cluster, entry int) string {
	return cluster.Entries[entry].URL() + "/v1/jobs"
}

// background sends a job and returns its reply when it comes.
func background(cluster *ptcluster.Cluster, entry int, body string) <-chan reply {
	replies := make(chan reply, 1)
	go func() {
		defer GinkgoRecover()
		replies <- call(cluster, http.MethodPost, jobs(cluster, entry), body)
	}()
	return replies
}

var _ = Describe("silent connections", func() {
	for name, silence := range map[string]ptstandin.Direction{
		"both ways": ptstandin.ToServer | ptstandin.ToClient, "towards the entry": ptstandin.ToServer, "towards the agent": ptstandin.ToClient,
	} {
		for _, before := range []bool{true, false} {
			It(fmt.Sprintf("loses no job where the link swallows bytes %s, silent before the dispatch: %t", name, before), func() {
				var relays []*ptstandin.Relay
				cluster := start(ptcluster.Setting{Entries: 1, Agents: 2, Slots: 2, Prefetch: 1, Relay: func(address string) string {
					relay, err := ptstandin.NewRelay(address)
					Expect(err).NotTo(HaveOccurred())
					relays = append(relays, relay)
					return relay.Address()
				}})
				silenceAll := func() {
					for _, relay := range relays {
						relay.Blackhole(silence)
					}
				}
				if before {
					silenceAll()
				}
				replies := background(cluster, 0, job("plain", "s", 8, 300))
				if !before {
					Eventually(func() int { return starts(cluster).Running }).WithTimeout(patience).Should(BeNumerically(">", 0))
					silenceAll()
				}
				var got reply
				Eventually(replies).WithTimeout(patience).Should(Receive(&got))
				Expect(got.Outcome).To(Equal("complete"), got.Reason)
				Expect(starts(cluster).Starts).To(Equal(8))
				Expect(starts(cluster).Duplicates).To(BeZero())
				Expect(relays[0].ConnectionCount() + relays[1].ConnectionCount()).To(BeNumerically(">", 2))
			})
		}
	}
})

var _ = Describe("bad upstreams", func() {
	const slots, ahead = 2, 1

	run := func(cluster *ptcluster.Cluster, count int) (complete, failed, refused int) {
		var group sync.WaitGroup
		var mu sync.Mutex
		gate := make(chan struct{}, 6)
		for i := range count {
			gate <- struct{}{}
			group.Go(func() {
				defer GinkgoRecover()
				got := call(cluster, http.MethodPost, jobs(cluster, 0), job("plain", fmt.Sprint("b", i), 1, 5))
				<-gate
				mu.Lock()
				defer mu.Unlock()
				switch got.Outcome {
				case "complete":
					complete++
				case "failed":
					failed++
				default:
					refused++
				}
			})
		}
		group.Wait()
		return complete, failed, refused
	}

	It("bounds the jobs that a black hole fails", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 4, Slots: slots, Prefetch: ahead})
		cluster.Agents[0].Upstream.SetFaults(ptstandin.UpstreamFaults{Fail: true})
		started := time.Now()
		complete, failed, refused := run(cluster, 300)
		Expect(refused).To(BeZero())
		// One more for each probe that the quarantine has let through by now.
		probes := 0
		for wait, at := pthealth.InitialQuarantine, pthealth.InitialQuarantine; at < time.Since(started); at += wait {
			probes++
			wait *= 2
		}
		Expect(failed).To(BeNumerically("<=", pthealth.FailureThreshold+slots+ahead+probes))
		Expect(complete + failed).To(Equal(300))
	})

	It("keeps placing work where all upstreams are bad", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 3, Slots: slots, Prefetch: ahead})
		for _, agent := range cluster.Agents {
			agent.Upstream.SetFaults(ptstandin.UpstreamFaults{Fail: true})
		}
		_, failed, _ := run(cluster, 60)
		Expect(failed).To(Equal(60))
		for _, agent := range cluster.Agents {
			agent.Upstream.SetFaults(ptstandin.UpstreamFaults{})
		}
		complete, _, _ := run(cluster, 30)
		Expect(complete).To(BeNumerically(">", 0))
	})

	It("never presents half an answer as one", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: slots, Prefetch: ahead})
		cluster.Agents[0].Upstream.SetFaults(ptstandin.UpstreamFaults{TruncateResponse: true})
		got := call(cluster, http.MethodPost, jobs(cluster, 0), job("plain", "h", 2, 1))
		Expect(got.Status).To(Equal(http.StatusBadGateway))
		Expect(got.Reason).To(Equal("upstreamClosed"))
		Expect(got.Answers).To(BeEmpty())
	})

	It("places a task elsewhere where its upstream can't be reached, since it has not run", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 2, Slots: slots, Prefetch: ahead})
		Expect(cluster.Agents[0].Upstream.Shutdown()).To(Succeed())
		complete, failed, refused := run(cluster, 40)
		Expect([]int{complete, failed, refused}).To(Equal([]int{40, 0, 0}))
	})

	It("cuts off a task that hangs, at the profile's runFor", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: slots, Prefetch: ahead})
		cluster.Agents[0].Upstream.SetFaults(ptstandin.UpstreamFaults{Hang: true})
		got := call(cluster, http.MethodPost, jobs(cluster, 0), job("brief", "x", 1, 1))
		Expect(got.Outcome).To(Equal("failed"))
		Expect(got.Reason).To(BeElementOf("runTimeout", "jobDeadline"))
	})
})

var _ = Describe("members that come and go", func() {
	It("cuts no task off when agents are stopped in turn", func() {
		cluster := start(ptcluster.Setting{Entries: 2, Agents: 3, Slots: 2, Prefetch: 2})
		var replies []<-chan reply
		for i := range 12 {
			replies = append(replies, background(cluster, i%2, job("plain", fmt.Sprint("d", i), 6, 60)))
		}
		Eventually(func() int { return starts(cluster).Running }).WithTimeout(patience).Should(BeNumerically(">", 3))
		Expect(cluster.Agents[0].Stop()).To(Succeed())
		atStop := cluster.Agents[0].Upstream.Counts()
		Expect(atStop.Running).To(BeZero())
		for _, pending := range replies {
			var got reply
			Eventually(pending).WithTimeout(patience).Should(Receive(&got))
			Expect(got.Outcome).To(Equal("complete"), got.Reason)
		}
		Expect(cluster.Agents[0].Upstream.Counts().Starts).To(Equal(atStop.Starts))
		Expect(starts(cluster).Starts).To(Equal(72))
	})

	It("finishes every job of an entry that is stopped, and refuses new ones truly", func() {
		cluster := start(ptcluster.Setting{Entries: 2, Agents: 2, Slots: 2, Prefetch: 1})
		pending := background(cluster, 0, job("plain", "e", 10, 80))
		Eventually(func() int { return starts(cluster).Running }).WithTimeout(patience).Should(BeNumerically(">", 0))
		stopped := make(chan error, 1)
		go func() { stopped <- cluster.Entries[0].Stop() }()
		Eventually(cluster.Entries[0].Entry.Ready).WithTimeout(patience).Should(BeFalse())
		var got reply
		Eventually(pending).WithTimeout(patience).Should(Receive(&got))
		Expect(got.Outcome).To(Equal("complete"))
		Eventually(stopped).WithTimeout(patience).Should(Receive(BeNil()))
	})

	It("gives a draining upstream nothing new, and work again after undrain", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 2, Slots: 2, Prefetch: 1})
		set := func(state ptprofile.UpstreamState) {
			Expect(cluster.Apply(context.Background(), ptprofile.Declarations{
				Upstreams: []ptprofile.Upstream{{Name: cluster.Agents[0].Name, State: state}},
			})).To(Succeed())
		}
		set(ptprofile.UpstreamDraining)
		for i := range 10 {
			got := call(cluster, http.MethodPost, jobs(cluster, 0), job("plain", fmt.Sprint("u", i), 4, 1))
			Expect(got.Outcome).To(Equal("complete"))
		}
		Expect(cluster.Agents[0].Upstream.Counts().Starts).To(BeZero())
		set(ptprofile.UpstreamActive)
		Eventually(func() int {
			call(cluster, http.MethodPost, jobs(cluster, 0), job("plain", "again", 4, 1))
			return cluster.Agents[0].Upstream.Counts().Starts
		}).WithTimeout(patience).Should(BeNumerically(">", 0))
	})

	It("counts an entry once that it reaches over two addresses", func() {
		var relay *ptstandin.Relay
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 2, Relay: func(address string) string {
			var err error
			relay, err = ptstandin.NewRelay(address)
			Expect(err).NotTo(HaveOccurred())
			return relay.Address()
		}})
		// The entry tells the agent its direct address with the welcome.
		Consistently(cluster.Entries[0].Entry.Sessions).WithTimeout(time.Second).Should(Equal(1))
		relay.Blackhole(ptstandin.ToServer | ptstandin.ToClient)
		Expect(relay.Close()).To(Succeed())
		got := call(cluster, http.MethodPost, jobs(cluster, 0), job("plain", "two", 3, 1))
		Expect(got.Outcome).To(Equal("complete"))
	})

	It("answers garbage on the agents' port with a closed connection", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 2})
		for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x01\x02\x03\xff\xff\xff\xff\xff\xff", string(make([]byte, 100))} {
			conn, err := net.Dial("tcp", cluster.Entries[0].AgentsAddress)
			Expect(err).NotTo(HaveOccurred())
			_, err = conn.Write([]byte(garbage))
			Expect(err).NotTo(HaveOccurred())
			_ = conn.Close()
		}
		got := call(cluster, http.MethodPost, jobs(cluster, 0), job("plain", "g", 3, 1))
		Expect(got.Outcome).To(Equal("complete"))
	})
})

var _ = Describe("cancellation and deadlines", func() {
	It("cancels through any entry, and says notRun only of what has not run", func() {
		cluster := start(ptcluster.Setting{Entries: 2, Agents: 1, Slots: 2, Prefetch: 1})
		pending := background(cluster, 0, job("plain", "c", 20, 2000))
		Eventually(func() int { return starts(cluster).Running }).WithTimeout(patience).Should(Equal(2))
		id := ptid.NewJobID("entry1", cluster.Entries[0].Entry.Incarnation(), 1)
		cancelled := call(cluster, http.MethodDelete, jobs(cluster, 1)+"/"+string(id), "")
		Expect(cancelled.Outcome).To(Equal("failed"))
		var got reply
		Eventually(pending).WithTimeout(patience).Should(Receive(&got))
		Expect(got.Outcome).To(Equal("failed"))
		Expect(got.Tasks).To(HaveLen(20))
		for i, task := range got.Tasks {
			if task.State == "notRun" {
				Expect(startsOf(cluster, fmt.Sprintf("c-%d", i))).To(BeZero())
			}
		}
		Expect(call(cluster, http.MethodGet, jobs(cluster, 1)+"/"+string(id), "").Outcome).To(Equal("failed"))
		Expect(call(cluster, http.MethodGet, jobs(cluster, 1)+"/nosuch.1.1", "").Status).To(Equal(http.StatusNotFound))
	})

	It("cancels the job of a caller that has gone", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 1, Prefetch: 0})
		conn, err := net.Dial("tcp", cluster.Entries[0].CallersAddress)
		Expect(err).NotTo(HaveOccurred())
		body := job("plain", "gone", 5, 3000)
		_, err = fmt.Fprintf(conn, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return starts(cluster).Running }).WithTimeout(patience).Should(Equal(1))
		Expect(conn.Close()).To(Succeed())
		Eventually(cluster.Entries[0].Entry.OpenJobs).WithTimeout(patience).Should(BeZero())
		Expect(starts(cluster).Starts).To(Equal(1))
	})

	It("ends a job at its deadline with 504 where something runs", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 1, Prefetch: 0})
		deadline := time.Now().Add(500 * time.Millisecond).UTC().Format(time.RFC3339Nano)
		got := call(cluster, http.MethodPost, jobs(cluster, 0), fmt.Sprintf(
			`{"profile":"plain","deadline":%q,"tasks":[{"payload":{"runMillis":5000}},{"payload":{"runMillis":5000}}]}`, deadline))
		Expect(got.Status).To(BeElementOf(http.StatusGatewayTimeout, http.StatusBadGateway))
		Expect(got.Outcome).To(Equal("failed"))
		Expect(got.Tasks[1].State).To(Equal("notRun"))
	})

	It("says notRun of a job of which nothing could start in time", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 1, Prefetch: 0})
		running := background(cluster, 0, job("plain", "long", 1, 1500))
		Eventually(func() int { return starts(cluster).Running }).WithTimeout(patience).Should(Equal(1))
		got := call(cluster, http.MethodPost, jobs(cluster, 0), job("brief", "late", 2, 1))
		Expect(got.Outcome).To(Equal("notRun"))
		Expect(got.Status).To(Equal(http.StatusServiceUnavailable))
		Eventually(running).WithTimeout(patience).Should(Receive())
		Expect(startsOf(cluster, "late-0") + startsOf(cluster, "late-1")).To(BeZero())
	})
})

var _ = Describe("recorded submissions", func() {
	It("runs one of many submissions of a key, through different entries at once", func() {
		cluster := start(ptcluster.Setting{Entries: 3, Agents: 2, Slots: 4, Prefetch: 1})
		var replies []<-chan reply
		for i := range 12 {
			replies = append(replies, background(cluster, i%3, job("recorded", "same", 3, 50)))
		}
		ids := make(map[string]bool)
		for _, pending := range replies {
			var got reply
			Eventually(pending).WithTimeout(patience).Should(Receive(&got))
			Expect(got.Outcome).To(Equal("complete"), "%+v", got)
			ids[got.Job] = true
		}
		Expect(ids).To(HaveLen(1))
		Expect(starts(cluster).Starts).To(Equal(3))
	})

	It("refuses truly while the log is down, and runs the key afterwards", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 4, Prefetch: 1})
		cluster.Log.SetFaults(ptstandin.LogFaults{Down: true})
		got := call(cluster, http.MethodPost, jobs(cluster, 0), job("recorded", "down", 1, 1))
		Expect(got.Outcome).To(Equal("notRun"))
		Expect(got.Reason).To(Equal("logUnavailable"))
		Expect(startsOf(cluster, "down-0")).To(BeZero())
		Expect(call(cluster, http.MethodPost, jobs(cluster, 0), job("plain", "p", 1, 1)).Outcome).To(Equal("complete"))
		cluster.Log.SetFaults(ptstandin.LogFaults{})
		Eventually(func() string {
			return call(cluster, http.MethodPost, jobs(cluster, 0), job("recorded", "down", 1, 1)).Outcome
		}).WithTimeout(patience).Should(Equal("complete"))
		Expect(startsOf(cluster, "down-0")).To(Equal(1))
	})

	It("resolves an append whose answer was lost by its id", func() {
		cluster := start(ptcluster.Setting{Entries: 2, Agents: 1, Slots: 4, Prefetch: 1})
		cluster.Log.SetFaults(ptstandin.LogFaults{LoseAppendResponses: true, SlowMillis: 20})
		first, second := background(cluster, 0, job("recorded", "lost", 1, 30)), background(cluster, 1, job("recorded", "lost", 1, 30))
		for _, pending := range []<-chan reply{first, second} {
			var got reply
			Eventually(pending).WithTimeout(patience).Should(Receive(&got))
			Expect(got.Outcome).To(Equal("complete"))
		}
		Expect(startsOf(cluster, "lost-0")).To(Equal(1))
	})

	It("does not run a key again whose outcome died with its entry", func() {
		cluster := start(ptcluster.Setting{Entries: 2, Agents: 1, Slots: 4, Prefetch: 1})
		Expect(call(cluster, http.MethodPost, jobs(cluster, 0), job("recorded", "dead", 1, 1)).Outcome).To(Equal("complete"))
		Expect(cluster.Entries[0].Stop()).To(Succeed())
		got := call(cluster, http.MethodPost, jobs(cluster, 1), job("recorded", "dead", 1, 1))
		Expect(got.Outcome).To(Equal("failed"))
		Expect(got.Reason).To(Equal("outcomeLost"))
		Expect(startsOf(cluster, "dead-0")).To(Equal(1))
	})

	It("refuses a key that belongs to another request", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 4, Prefetch: 1})
		call(cluster, http.MethodPost, jobs(cluster, 0), job("recorded", "k", 1, 1))
		got := call(cluster, http.MethodPost, jobs(cluster, 0), job("recorded", "k", 2, 1))
		Expect(got.Reason).To(Equal("submissionDiffers"))
		Expect(got.Status).To(Equal(http.StatusBadRequest))
	})
})

var _ = Describe("configuration", func() {
	It("lets the first of two racing changes win everywhere", func() {
		cluster := start(ptcluster.Setting{Entries: 2, Agents: 1, Slots: 1})
		results := make(chan error, 8)
		for i := range 8 {
			go func() {
				set := declarations()
				set.Profiles = set.Profiles[:1]
				set.Profiles[0].MaxTasks = 10 + i
				results <- cluster.Apply(context.Background(), set)
			}()
		}
		accepted := 0
		for range 8 {
			if err := <-results; err == nil {
				accepted++
			}
		}
		Expect(accepted).To(BeNumerically(">=", 1))
		Expect(int(cluster.Entries[0].Entry.Revision())).To(Equal(1 + accepted))
		Expect(cluster.Entries[1].Entry.Revision()).To(Equal(cluster.Entries[0].Entry.Revision()))
	})

	It("accepts a change whose append was answered with an error", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 1})
		cluster.Log.SetFaults(ptstandin.LogFaults{LoseAppendResponses: true})
		Expect(cluster.Apply(context.Background(), declarations())).To(Succeed())
		Expect(int(cluster.Entries[0].Entry.Revision())).To(Equal(2))
	})

	It("survives an outage of the log over a restart of everything but one agent", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 2, Prefetch: 1})
		revision := cluster.Entries[0].Entry.Revision()
		Eventually(cluster.Agents[0].Agent.Revision).WithTimeout(patience).Should(Equal(revision))
		cluster.Log.SetFaults(ptstandin.LogFaults{Down: true})
		old := cluster.Entries[0]
		Expect(old.Stop()).To(Succeed())
		cluster.Entries = nil
		restarted, err := cluster.StartEntry("entry1", old.AgentsAddress)
		Expect(err).NotTo(HaveOccurred())
		Eventually(restarted.Entry.Ready).WithTimeout(patience).Should(BeTrue())
		Expect(restarted.Entry.Revision()).To(Equal(revision))
		Expect(call(cluster, http.MethodPost, jobs(cluster, 0), job("plain", "o", 2, 1)).Outcome).To(Equal("complete"))
		cluster.Log.SetFaults(ptstandin.LogFaults{})
		Expect(cluster.Apply(context.Background(), declarations())).To(Succeed())
		Expect(restarted.Entry.Revision()).To(Equal(revision + 1))
	})

	It("writes snapshots before records expire, so that a newcomer finds the configuration", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 2, Retention: 2 * time.Second})
		cluster.Log.SetFaults(ptstandin.LogFaults{RetentionMillis: 2000})
		log := ptlog.New(cluster.LogURL)
		Eventually(func() ptid.Offset {
			batch, err := log.Read(context.Background(), "configuration", 0, 10, 0)
			Expect(err).NotTo(HaveOccurred())
			return batch.OldestOffset
		}).WithTimeout(patience).Should(BeNumerically(">", 0))
		newcomer, err := cluster.AddEntry("entry2")
		Expect(err).NotTo(HaveOccurred())
		Eventually(newcomer.Entry.Revision).WithTimeout(patience).Should(Equal(cluster.Entries[0].Entry.Revision()))
	})
})

var _ = Describe("quotas", func() {
	It("bounds a team across entries, and lets the whole quota be used", func() {
		cluster := start(ptcluster.Setting{Entries: 3, Agents: 3, Slots: 8, Prefetch: 3})
		limited := ptprofile.NewProfile()
		limited.Name, limited.Team, limited.Service = "limited", "small", "service"
		Expect(cluster.Apply(context.Background(), ptprofile.Declarations{
			Profiles: []ptprofile.Profile{limited}, Teams: []ptprofile.Team{{Name: "small", MaxRunning: 6}},
		})).To(Succeed())
		var replies []<-chan reply
		for i := range 9 {
			replies = append(replies, background(cluster, i%3, job("limited", fmt.Sprint("q", i), 10, 20)))
		}
		most := 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			for _, pending := range replies {
				<-pending
			}
		}()
		for open := true; open; {
			select {
			case <-done:
				open = false
			case <-time.After(time.Millisecond):
				most = max(most, starts(cluster).Running)
			}
		}
		Expect(starts(cluster).Starts).To(Equal(90))
		Expect(most).To(Equal(6))
	})

	It("does not hold slots back for tasks that their quota keeps from running", func() {
		cluster := start(ptcluster.Setting{Entries: 2, Agents: 1, Slots: 4, Prefetch: 2})
		limited := ptprofile.NewProfile()
		limited.Name, limited.Team, limited.Service = "limited", "small", "service"
		limited.QueueTimeout = time.Minute
		Expect(cluster.Apply(context.Background(), ptprofile.Declarations{
			Profiles: []ptprofile.Profile{limited}, Teams: []ptprofile.Team{{Name: "small", MaxRunning: 1}},
		})).To(Succeed())
		blocked := background(cluster, 0, job("limited", "blocked", 100, 100))
		Eventually(func() int { return starts(cluster).Starts }).WithTimeout(patience).Should(BeNumerically(">", 2))
		for i := range 3 {
			got := call(cluster, http.MethodPost, jobs(cluster, 1), job("plain", fmt.Sprint("other", i), 8, 10))
			Expect(got.Outcome).To(Equal("complete"), got.Reason)
		}
		Expect(startsOf(cluster, "blocked-50")).To(BeZero(), "the other team did not wait for the blocked one")
		id := ptid.NewJobID("entry1", cluster.Entries[0].Entry.Incarnation(), 1)
		call(cluster, http.MethodDelete, jobs(cluster, 0)+"/"+string(id), "")
		Eventually(blocked).WithTimeout(patience).Should(Receive())
	})
})
