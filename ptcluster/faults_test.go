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

// eventualTimeout bounds the wait for events that must happen eventually. No test checks how
// soon they happen.
const eventualTimeout = 30 * time.Second

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

func jobsURL(cluster *ptcluster.Cluster, entry int) string {
	return cluster.Entries[entry].URL() + "/v1/jobs"
}

// submitAsync submits a job and returns a channel that will receive the reply.
func submitAsync(cluster *ptcluster.Cluster, entry int, body string) <-chan reply {
	replies := make(chan reply, 1)
	go func() {
		defer GinkgoRecover()
		replies <- call(cluster, http.MethodPost, jobsURL(cluster, entry), body)
	}()
	return replies
}

var _ = Describe("connections that lose data silently", func() {
	for name, direction := range map[string]ptstandin.Direction{
		"in both directions": ptstandin.ToServer | ptstandin.ToClient, "to the entry": ptstandin.ToServer, "to the agent": ptstandin.ToClient,
	} {
		for _, beforeDispatch := range []bool{true, false} {
			It(fmt.Sprintf("completes the job when the link drops all bytes %s, starting before the dispatch: %t", name, beforeDispatch), func() {
				var relays []*ptstandin.Relay
				cluster := start(ptcluster.Setting{Entries: 1, Agents: 2, Slots: 2, Prefetch: 1, Relay: func(address string) string {
					relay, err := ptstandin.NewRelay(address)
					Expect(err).NotTo(HaveOccurred())
					relays = append(relays, relay)
					return relay.Address()
				}})
				blackholeAll := func() {
					for _, relay := range relays {
						relay.Blackhole(direction)
					}
				}
				if beforeDispatch {
					blackholeAll()
				}
				replies := submitAsync(cluster, 0, job("plain", "s", 8, 300))
				if !beforeDispatch {
					Eventually(func() int { return starts(cluster).Running }).WithTimeout(eventualTimeout).Should(BeNumerically(">", 0))
					blackholeAll()
				}
				var got reply
				Eventually(replies).WithTimeout(eventualTimeout).Should(Receive(&got))
				Expect(got.Outcome).To(Equal("complete"), got.Reason)
				Expect(starts(cluster).Starts).To(Equal(8))
				Expect(starts(cluster).Duplicates).To(BeZero())
				Expect(relays[0].ConnectionCount() + relays[1].ConnectionCount()).To(BeNumerically(">", 2))
			})
		}
	}
})

var _ = Describe("failing upstreams", func() {
	const slots, prefetch = 2, 1

	submitJobs := func(cluster *ptcluster.Cluster, count int) (complete, failed, refused int) {
		var group sync.WaitGroup
		var mu sync.Mutex
		semaphore := make(chan struct{}, 6)
		for i := range count {
			semaphore <- struct{}{}
			group.Go(func() {
				defer GinkgoRecover()
				got := call(cluster, http.MethodPost, jobsURL(cluster, 0), job("plain", fmt.Sprint("b", i), 1, 5))
				<-semaphore
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

	It("limits the number of jobs that one failing upstream can fail", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 4, Slots: slots, Prefetch: prefetch})
		cluster.Agents[0].Upstream.SetFaults(ptstandin.UpstreamFaults{Fail: true})
		started := time.Now()
		complete, failed, refused := submitJobs(cluster, 300)
		Expect(refused).To(BeZero())
		// Each probe since the start has sent one more task to the quarantined upstream.
		probes := 0
		for interval, at := pthealth.InitialQuarantine, pthealth.InitialQuarantine; at < time.Since(started); at += interval {
			probes++
			interval *= 2
		}
		Expect(failed).To(BeNumerically("<=", pthealth.FailureThreshold+slots+prefetch+probes))
		Expect(complete + failed).To(Equal(300))
	})

	It("still places tasks when all upstreams are failing", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 3, Slots: slots, Prefetch: prefetch})
		for _, agent := range cluster.Agents {
			agent.Upstream.SetFaults(ptstandin.UpstreamFaults{Fail: true})
		}
		_, failed, _ := submitJobs(cluster, 60)
		Expect(failed).To(Equal(60))
		for _, agent := range cluster.Agents {
			agent.Upstream.SetFaults(ptstandin.UpstreamFaults{})
		}
		complete, _, _ := submitJobs(cluster, 30)
		Expect(complete).To(BeNumerically(">", 0))
	})

	It("never returns a truncated answer as complete", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: slots, Prefetch: prefetch})
		cluster.Agents[0].Upstream.SetFaults(ptstandin.UpstreamFaults{TruncateResponse: true})
		got := call(cluster, http.MethodPost, jobsURL(cluster, 0), job("plain", "h", 2, 1))
		Expect(got.Status).To(Equal(http.StatusBadGateway))
		Expect(got.Reason).To(Equal("upstreamClosed"))
		Expect(got.Answers).To(BeEmpty())
	})

	It("retries a task on another upstream when its upstream is unreachable, since it has not started", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 2, Slots: slots, Prefetch: prefetch})
		Expect(cluster.Agents[0].Upstream.Shutdown()).To(Succeed())
		complete, failed, refused := submitJobs(cluster, 40)
		Expect([]int{complete, failed, refused}).To(Equal([]int{40, 0, 0}))
	})

	It("cancels a hanging task at the run timeout of its profile", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: slots, Prefetch: prefetch})
		cluster.Agents[0].Upstream.SetFaults(ptstandin.UpstreamFaults{Hang: true})
		got := call(cluster, http.MethodPost, jobsURL(cluster, 0), job("brief", "x", 1, 1))
		Expect(got.Outcome).To(Equal("failed"))
		Expect(got.Reason).To(BeElementOf("runTimeout", "jobDeadline"))
	})
})

var _ = Describe("membership changes and draining", func() {
	It("finishes all running tasks of an agent that is stopped", func() {
		cluster := start(ptcluster.Setting{Entries: 2, Agents: 3, Slots: 2, Prefetch: 2})
		var replies []<-chan reply
		for i := range 12 {
			replies = append(replies, submitAsync(cluster, i%2, job("plain", fmt.Sprint("d", i), 6, 60)))
		}
		Eventually(func() int { return starts(cluster).Running }).WithTimeout(eventualTimeout).Should(BeNumerically(">", 3))
		Expect(cluster.Agents[0].Stop()).To(Succeed())
		atStop := cluster.Agents[0].Upstream.Counts()
		Expect(atStop.Running).To(BeZero())
		for _, pending := range replies {
			var got reply
			Eventually(pending).WithTimeout(eventualTimeout).Should(Receive(&got))
			Expect(got.Outcome).To(Equal("complete"), got.Reason)
		}
		Expect(cluster.Agents[0].Upstream.Counts().Starts).To(Equal(atStop.Starts))
		Expect(starts(cluster).Starts).To(Equal(72))
	})

	It("marks an entry that is stopped as not ready, and finishes its jobs", func() {
		cluster := start(ptcluster.Setting{Entries: 2, Agents: 2, Slots: 2, Prefetch: 1})
		pending := submitAsync(cluster, 0, job("plain", "e", 10, 80))
		Eventually(func() int { return starts(cluster).Running }).WithTimeout(eventualTimeout).Should(BeNumerically(">", 0))
		stopped := make(chan error, 1)
		go func() { stopped <- cluster.Entries[0].Stop() }()
		Eventually(cluster.Entries[0].Entry.Ready).WithTimeout(eventualTimeout).Should(BeFalse())
		var got reply
		Eventually(pending).WithTimeout(eventualTimeout).Should(Receive(&got))
		Expect(got.Outcome).To(Equal("complete"))
		Eventually(stopped).WithTimeout(eventualTimeout).Should(Receive(BeNil()))
	})

	It("sends no tasks to a draining upstream until it is active again", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 2, Slots: 2, Prefetch: 1})
		set := func(state ptprofile.UpstreamState) {
			Expect(cluster.Apply(context.Background(), ptprofile.Declarations{
				Upstreams: []ptprofile.Upstream{{Name: cluster.Agents[0].Name, State: state}},
			})).To(Succeed())
		}
		set(ptprofile.UpstreamDraining)
		for i := range 10 {
			got := call(cluster, http.MethodPost, jobsURL(cluster, 0), job("plain", fmt.Sprint("u", i), 4, 1))
			Expect(got.Outcome).To(Equal("complete"))
		}
		Expect(cluster.Agents[0].Upstream.Counts().Starts).To(BeZero())
		set(ptprofile.UpstreamActive)
		Eventually(func() int {
			call(cluster, http.MethodPost, jobsURL(cluster, 0), job("plain", "again", 4, 1))
			return cluster.Agents[0].Upstream.Counts().Starts
		}).WithTimeout(eventualTimeout).Should(BeNumerically(">", 0))
	})

	It("opens one session with an entry that is reachable at two addresses", func() {
		var relay *ptstandin.Relay
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 2, Relay: func(address string) string {
			var err error
			relay, err = ptstandin.NewRelay(address)
			Expect(err).NotTo(HaveOccurred())
			return relay.Address()
		}})
		// The agent dials the relay and learns the entry's direct address from the Welcome
		// message. It must not open a second session at the direct address.
		Consistently(cluster.Entries[0].Entry.Sessions).WithTimeout(time.Second).Should(Equal(1))
		relay.Blackhole(ptstandin.ToServer | ptstandin.ToClient)
		Expect(relay.Close()).To(Succeed())
		got := call(cluster, http.MethodPost, jobsURL(cluster, 0), job("plain", "two", 3, 1))
		Expect(got.Outcome).To(Equal("complete"))
	})

	It("keeps working after invalid data on the port for agents", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 2})
		for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x01\x02\x03\xff\xff\xff\xff\xff\xff", string(make([]byte, 100))} {
			conn, err := net.Dial("tcp", cluster.Entries[0].AgentsAddress)
			Expect(err).NotTo(HaveOccurred())
			_, err = conn.Write([]byte(garbage))
			Expect(err).NotTo(HaveOccurred())
			_ = conn.Close()
		}
		got := call(cluster, http.MethodPost, jobsURL(cluster, 0), job("plain", "g", 3, 1))
		Expect(got.Outcome).To(Equal("complete"))
	})
})

var _ = Describe("cancellation and deadlines", func() {
	It("cancels through any entry, and reports notRun only for tasks that have not started", func() {
		cluster := start(ptcluster.Setting{Entries: 2, Agents: 1, Slots: 2, Prefetch: 1})
		pending := submitAsync(cluster, 0, job("plain", "c", 20, 2000))
		Eventually(func() int { return starts(cluster).Running }).WithTimeout(eventualTimeout).Should(Equal(2))
		id := ptid.NewJobID("entry1", cluster.Entries[0].Entry.Incarnation(), 1)
		cancelled := call(cluster, http.MethodDelete, jobsURL(cluster, 1)+"/"+string(id), "")
		Expect(cancelled.Outcome).To(Equal("failed"))
		var got reply
		Eventually(pending).WithTimeout(eventualTimeout).Should(Receive(&got))
		Expect(got.Outcome).To(Equal("failed"))
		Expect(got.Tasks).To(HaveLen(20))
		for i, task := range got.Tasks {
			if task.State == "notRun" {
				Expect(startsOf(cluster, fmt.Sprintf("c-%d", i))).To(BeZero())
			}
		}
		Expect(call(cluster, http.MethodGet, jobsURL(cluster, 1)+"/"+string(id), "").Outcome).To(Equal("failed"))
		Expect(call(cluster, http.MethodGet, jobsURL(cluster, 1)+"/nosuch.1.1", "").Status).To(Equal(http.StatusNotFound))
	})

	It("cancels the job when its caller disconnects", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 1, Prefetch: 0})
		conn, err := net.Dial("tcp", cluster.Entries[0].CallersAddress)
		Expect(err).NotTo(HaveOccurred())
		body := job("plain", "gone", 5, 3000)
		_, err = fmt.Fprintf(conn, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return starts(cluster).Running }).WithTimeout(eventualTimeout).Should(Equal(1))
		Expect(conn.Close()).To(Succeed())
		Eventually(cluster.Entries[0].Entry.OpenJobs).WithTimeout(eventualTimeout).Should(BeZero())
		Expect(starts(cluster).Starts).To(Equal(1))
	})

	It("ends a job with a running task at its deadline, with status 504 or 502", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 1, Prefetch: 0})
		deadline := time.Now().Add(500 * time.Millisecond).UTC().Format(time.RFC3339Nano)
		got := call(cluster, http.MethodPost, jobsURL(cluster, 0), fmt.Sprintf(
			`{"profile":"plain","deadline":%q,"tasks":[{"payload":{"runMillis":5000}},{"payload":{"runMillis":5000}}]}`, deadline))
		Expect(got.Status).To(BeElementOf(http.StatusGatewayTimeout, http.StatusBadGateway))
		Expect(got.Outcome).To(Equal("failed"))
		Expect(got.Tasks[1].State).To(Equal("notRun"))
	})

	It("reports notRun for a job if none of its tasks started before the start deadline", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 1, Prefetch: 0})
		running := submitAsync(cluster, 0, job("plain", "long", 1, 1500))
		Eventually(func() int { return starts(cluster).Running }).WithTimeout(eventualTimeout).Should(Equal(1))
		got := call(cluster, http.MethodPost, jobsURL(cluster, 0), job("brief", "late", 2, 1))
		Expect(got.Outcome).To(Equal("notRun"))
		Expect(got.Status).To(Equal(http.StatusServiceUnavailable))
		Eventually(running).WithTimeout(eventualTimeout).Should(Receive())
		Expect(startsOf(cluster, "late-0") + startsOf(cluster, "late-1")).To(BeZero())
	})
})

var _ = Describe("recorded submissions", func() {
	It("runs one job for concurrent submissions with the same key at different entries", func() {
		cluster := start(ptcluster.Setting{Entries: 3, Agents: 2, Slots: 4, Prefetch: 1})
		var replies []<-chan reply
		for i := range 12 {
			replies = append(replies, submitAsync(cluster, i%3, job("recorded", "same", 3, 50)))
		}
		ids := make(map[string]bool)
		for _, pending := range replies {
			var got reply
			Eventually(pending).WithTimeout(eventualTimeout).Should(Receive(&got))
			Expect(got.Outcome).To(Equal("complete"), "%+v", got)
			ids[got.Job] = true
		}
		Expect(ids).To(HaveLen(1))
		Expect(starts(cluster).Starts).To(Equal(3))
	})

	It("refuses recorded submissions with notRun while the log is down, and accepts the same key afterwards", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 4, Prefetch: 1})
		cluster.Log.SetFaults(ptstandin.LogFaults{Down: true})
		got := call(cluster, http.MethodPost, jobsURL(cluster, 0), job("recorded", "down", 1, 1))
		Expect(got.Outcome).To(Equal("notRun"))
		Expect(got.Reason).To(Equal("logUnavailable"))
		Expect(startsOf(cluster, "down-0")).To(BeZero())
		Expect(call(cluster, http.MethodPost, jobsURL(cluster, 0), job("plain", "p", 1, 1)).Outcome).To(Equal("complete"))
		cluster.Log.SetFaults(ptstandin.LogFaults{})
		Eventually(func() string {
			return call(cluster, http.MethodPost, jobsURL(cluster, 0), job("recorded", "down", 1, 1)).Outcome
		}).WithTimeout(eventualTimeout).Should(Equal("complete"))
		Expect(startsOf(cluster, "down-0")).To(Equal(1))
	})

	It("resolves an append by its ID when the response was lost", func() {
		cluster := start(ptcluster.Setting{Entries: 2, Agents: 1, Slots: 4, Prefetch: 1})
		cluster.Log.SetFaults(ptstandin.LogFaults{LoseAppendResponses: true, SlowMillis: 20})
		first, second := submitAsync(cluster, 0, job("recorded", "lost", 1, 30)), submitAsync(cluster, 1, job("recorded", "lost", 1, 30))
		for _, pending := range []<-chan reply{first, second} {
			var got reply
			Eventually(pending).WithTimeout(eventualTimeout).Should(Receive(&got))
			Expect(got.Outcome).To(Equal("complete"))
		}
		Expect(startsOf(cluster, "lost-0")).To(Equal(1))
	})

	It("does not run a submission again if its outcome was lost with its entry", func() {
		cluster := start(ptcluster.Setting{Entries: 2, Agents: 1, Slots: 4, Prefetch: 1})
		Expect(call(cluster, http.MethodPost, jobsURL(cluster, 0), job("recorded", "dead", 1, 1)).Outcome).To(Equal("complete"))
		Expect(cluster.Entries[0].Stop()).To(Succeed())
		got := call(cluster, http.MethodPost, jobsURL(cluster, 1), job("recorded", "dead", 1, 1))
		Expect(got.Outcome).To(Equal("failed"))
		Expect(got.Reason).To(Equal("outcomeLost"))
		Expect(startsOf(cluster, "dead-0")).To(Equal(1))
	})

	It("refuses a submission key that was used for a different request", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 4, Prefetch: 1})
		call(cluster, http.MethodPost, jobsURL(cluster, 0), job("recorded", "k", 1, 1))
		got := call(cluster, http.MethodPost, jobsURL(cluster, 0), job("recorded", "k", 2, 1))
		Expect(got.Reason).To(Equal("submissionDiffers"))
		Expect(got.Status).To(Equal(http.StatusBadRequest))
	})
})

var _ = Describe("configuration", func() {
	It("accepts or refuses concurrent changes consistently at all entries", func() {
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

	It("applies a change whose append succeeded but returned an error", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 1})
		cluster.Log.SetFaults(ptstandin.LogFaults{LoseAppendResponses: true})
		Expect(cluster.Apply(context.Background(), declarations())).To(Succeed())
		Expect(int(cluster.Entries[0].Entry.Revision())).To(Equal(2))
	})

	It("recovers the configuration from an agent when an entry restarts while the log is down", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 2, Prefetch: 1})
		revision := cluster.Entries[0].Entry.Revision()
		Eventually(cluster.Agents[0].Agent.Revision).WithTimeout(eventualTimeout).Should(Equal(revision))
		cluster.Log.SetFaults(ptstandin.LogFaults{Down: true})
		oldEntry := cluster.Entries[0]
		Expect(oldEntry.Stop()).To(Succeed())
		cluster.Entries = nil
		restarted, err := cluster.StartEntry("entry1", oldEntry.AgentsAddress)
		Expect(err).NotTo(HaveOccurred())
		Eventually(restarted.Entry.Ready).WithTimeout(eventualTimeout).Should(BeTrue())
		Expect(restarted.Entry.Revision()).To(Equal(revision))
		Expect(call(cluster, http.MethodPost, jobsURL(cluster, 0), job("plain", "o", 2, 1)).Outcome).To(Equal("complete"))
		cluster.Log.SetFaults(ptstandin.LogFaults{})
		Expect(cluster.Apply(context.Background(), declarations())).To(Succeed())
		Expect(restarted.Entry.Revision()).To(Equal(revision + 1))
	})

	It("writes snapshots before records expire, so that a new entry can load the configuration", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 2, Retention: 2 * time.Second})
		cluster.Log.SetFaults(ptstandin.LogFaults{RetentionMillis: 2000})
		log := ptlog.New(cluster.LogURL)
		Eventually(func() ptid.Offset {
			batch, err := log.Read(context.Background(), "configuration", 0, 10, 0)
			Expect(err).NotTo(HaveOccurred())
			return batch.OldestOffset
		}).WithTimeout(eventualTimeout).Should(BeNumerically(">", 0))
		newEntry, err := cluster.AddEntry("entry2")
		Expect(err).NotTo(HaveOccurred())
		Eventually(newEntry.Entry.Revision).WithTimeout(eventualTimeout).Should(Equal(cluster.Entries[0].Entry.Revision()))
	})
})

var _ = Describe("quotas", func() {
	It("enforces the quota of a team across entries, and allows the team to use all of it", func() {
		cluster := start(ptcluster.Setting{Entries: 3, Agents: 3, Slots: 8, Prefetch: 3})
		limited := ptprofile.NewProfile()
		limited.Name, limited.Team, limited.Service = "limited", "small", "service"
		Expect(cluster.Apply(context.Background(), ptprofile.Declarations{
			Profiles: []ptprofile.Profile{limited}, Teams: []ptprofile.Team{{Name: "small", MaxRunning: 6}},
		})).To(Succeed())
		var replies []<-chan reply
		for i := range 9 {
			replies = append(replies, submitAsync(cluster, i%3, job("limited", fmt.Sprint("q", i), 10, 20)))
		}
		maxRunning := 0
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
				maxRunning = max(maxRunning, starts(cluster).Running)
			}
		}
		Expect(starts(cluster).Starts).To(Equal(90))
		Expect(maxRunning).To(Equal(6))
	})

	It("does not reserve slots for tasks that are blocked by a quota", func() {
		cluster := start(ptcluster.Setting{Entries: 2, Agents: 1, Slots: 4, Prefetch: 2})
		limited := ptprofile.NewProfile()
		limited.Name, limited.Team, limited.Service = "limited", "small", "service"
		limited.QueueTimeout = time.Minute
		Expect(cluster.Apply(context.Background(), ptprofile.Declarations{
			Profiles: []ptprofile.Profile{limited}, Teams: []ptprofile.Team{{Name: "small", MaxRunning: 1}},
		})).To(Succeed())
		blocked := submitAsync(cluster, 0, job("limited", "blocked", 100, 100))
		Eventually(func() int { return starts(cluster).Starts }).WithTimeout(eventualTimeout).Should(BeNumerically(">", 2))
		for i := range 3 {
			got := call(cluster, http.MethodPost, jobsURL(cluster, 1), job("plain", fmt.Sprint("other", i), 8, 10))
			Expect(got.Outcome).To(Equal("complete"), got.Reason)
		}
		Expect(startsOf(cluster, "blocked-50")).To(BeZero(), "the jobs of the other team waited for the blocked team")
		id := ptid.NewJobID("entry1", cluster.Entries[0].Entry.Incarnation(), 1)
		call(cluster, http.MethodDelete, jobsURL(cluster, 0)+"/"+string(id), "")
		Eventually(blocked).WithTimeout(eventualTimeout).Should(Receive())
	})
})
