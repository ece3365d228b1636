package ptcluster_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptcluster"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptstandin"
	"github.com/primrosetiller/primrosetiller/pttrace"
)

func TestCluster(t *testing.T) {
	ptassert.PanicOnFailure()
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	// A fixed order of the specs makes the result reproducible.
	suite.RandomSeed = 1
	RunSpecs(t, "ptcluster", suite, reporter)
}

// declarations returns a profile for ordinary jobs, one with recorded submissions and one with
// short timeouts.
func declarations() ptprofile.Declarations {
	plain := ptprofile.NewProfile()
	plain.Name, plain.Team, plain.Service = "plain", "team", "service"
	recorded := plain
	recorded.Name, recorded.Submissions = "recorded", ptprofile.SubmissionsRecorded
	brief := plain
	brief.Name, brief.QueueTimeout, brief.RunTimeout = "brief", 300*time.Millisecond, 500*time.Millisecond
	return ptprofile.Declarations{Profiles: []ptprofile.Profile{plain, recorded, brief}}
}

func start(setting ptcluster.Setting) *ptcluster.Cluster {
	GinkgoHelper()
	cluster, err := ptcluster.Start(setting)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(cluster.Stop)
	Expect(cluster.Apply(context.Background(), declarations())).To(Succeed())
	return cluster
}

// reply is the HTTP status and the decoded body of the response to a job.
type reply struct {
	Status  int
	Job     string            `json:"job"`
	Outcome string            `json:"outcome"`
	Reason  string            `json:"reason"`
	Answers []json.RawMessage `json:"answers"`
	Tasks   []struct {
		State  string `json:"state"`
		Reason string `json:"reason"`
	} `json:"tasks"`
}

// call sends a request and returns the decoded reply.
func call(cluster *ptcluster.Cluster, method, url, body string, headers ...string) (got reply) {
	GinkgoHelper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := cluster.Client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(text, &got)).To(Succeed(), string(text))
	got.Status = response.StatusCode
	return got
}

// job returns the request body of a job whose submission key and nonces are derived from key.
func job(profile, key string, tasks int, runMillis float64) string {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"profile":%q,"submission":%q,"tasks":[`, profile, key)
	for i := range tasks {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"payload":{"runMillis":%g,"nonce":"%s-%d"}}`, runMillis, key, i)
	}
	body.WriteString("]}")
	return body.String()
}

var _ = Describe("a cluster", func() {
	It("returns every answer of a job in the order of its tasks", func() {
		cluster := start(ptcluster.Setting{Entries: 2, Agents: 3, Slots: 4, Prefetch: 1})
		got := call(cluster, http.MethodPost, cluster.Entries[0].URL()+"/v1/jobs", job("plain", "a", 50, 1))
		Expect(got.Status).To(Equal(http.StatusOK))
		Expect(got.Outcome).To(Equal("complete"))
		Expect(got.Answers).To(HaveLen(50))
		for i, answer := range got.Answers {
			Expect(string(answer)).To(ContainSubstring(fmt.Sprintf(`"nonce":"a-%d"`, i)))
		}
	})

	It("returns the unchanged answer of the upstream to a single request", func() {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 1})
		response, err := cluster.Client.Post(cluster.Entries[0].URL()+"/v1/requests/plain", "application/json", strings.NewReader(`{"nonce":"single","answerBytes":100000}`))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get("Primrosetiller-Outcome")).To(Equal("complete"))
		Expect(response.Header.Get("Primrosetiller-Job")).To(HavePrefix("entry1."))
		Expect(len(text)).To(BeNumerically(">", 100_000))
		Expect(string(text)).To(ContainSubstring(`"nonce":"single"`))
	})

	DescribeTable("refuses invalid jobs with notRun and starts none of their tasks", func(body string, status int, reason string) {
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 1})
		got := call(cluster, http.MethodPost, cluster.Entries[0].URL()+"/v1/jobs", body)
		Expect(got.Status).To(Equal(status))
		Expect(got.Outcome).To(Equal("notRun"))
		Expect(got.Reason).To(Equal(reason))
		Expect(cluster.Agents[0].Upstream.Counts().Starts).To(BeZero())
	},
		Entry("bad JSON", `{"profile":`, 400, "badInput"),
		Entry("unknown profile", job("nosuch", "", 1, 1), 404, "unknownProfile"),
		Entry("too many tasks", job("plain", "", 221, 1), 413, "tooManyTasks"),
		Entry("no tasks", job("plain", "", 0, 1), 400, "badInput"),
		Entry("no key", job("recorded", "", 1, 1), 400, "submissionKeyMissing"),
		Entry("a deadline in the past", `{"profile":"plain","deadline":"2001-01-01T00:00:00Z","tasks":[{"payload":1}]}`, 400, "deadlinePassed"),
		Entry("an oversize body", `{"profile":"plain","tasks":[{"payload":"`+strings.Repeat("x", ptcluster.DefaultMaxBodyBytes)+`"}]}`, 413, "tooLarge"),
	)

	It("creates a span for each hop, all in one trace", func() {
		exporter := tracetest.NewInMemoryExporter()
		provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter))
		cluster := start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 1, Tracer: pttrace.FromProvider(provider)})
		call(cluster, http.MethodPost, cluster.Entries[0].URL()+"/v1/jobs", job("plain", "t", 1, 1))
		Eventually(func() (names []string) {
			for _, span := range exporter.GetSpans() {
				names = append(names, span.Name)
			}
			return names
		}).WithTimeout(eventualTimeout).Should(ConsistOf("request", "queue", "dispatch", "agent", "upstream"))
		for _, span := range exporter.GetSpans() {
			Expect(span.SpanContext.TraceID()).To(Equal(exporter.GetSpans()[0].SpanContext.TraceID()))
		}
	})
})

func BenchmarkSingleRequest(b *testing.B) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	cluster, err := ptcluster.Start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 8, Prefetch: 1})
	if err != nil {
		b.Fatal(err)
	}
	defer cluster.Stop()
	if err := cluster.Apply(context.Background(), declarations()); err != nil {
		b.Fatal(err)
	}
	for _, target := range []struct{ name, url string }{
		{"through", cluster.Entries[0].URL() + "/v1/requests/plain"}, {"direct", cluster.Agents[0].URL + "/run"},
	} {
		b.Run(target.name, func(b *testing.B) {
			for range b.N {
				response, err := cluster.Client.Post(target.url, "application/json", strings.NewReader(`{}`))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}

// BenchmarkSilentLink measures the time to complete a job of one short task when the session
// loses all data in both directions from just before the dispatch. The time includes detecting
// the failure, opening a new session and resolving the state of the task. Run it with
// -benchtime 1x: the new session uses the entry's direct address, which bypasses the relay.
func BenchmarkSilentLink(b *testing.B) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	var relay *ptstandin.Relay
	cluster, err := ptcluster.Start(ptcluster.Setting{Entries: 1, Agents: 1, Slots: 8, Prefetch: 1, Relay: func(address string) string {
		created, err := ptstandin.NewRelay(address)
		if err != nil {
			b.Fatal(err)
		}
		relay = created
		return created.Address()
	}})
	if err != nil {
		b.Fatal(err)
	}
	defer cluster.Stop()
	if err := cluster.Apply(context.Background(), declarations()); err != nil {
		b.Fatal(err)
	}
	for range b.N {
		relay.Blackhole(ptstandin.ToServer | ptstandin.ToClient)
		got := call(cluster, http.MethodPost, cluster.Entries[0].URL()+"/v1/jobs", job("plain", "", 1, 1))
		if got.Outcome != "complete" {
			b.Fatal(got.Reason)
		}
	}
}
