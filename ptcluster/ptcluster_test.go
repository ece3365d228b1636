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

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptcluster"
	"github.com/primrosetiller/primrosetiller/ptprofile"
)

func TestCluster(t *testing.T) {
	ptassert.Fatal()
	RegisterFailHandler(Fail)
	RunSpecs(t, "ptcluster")
}

// declarations has one profile for each thing that the tests need.
func declarations() ptprofile.Set {
	plain := ptprofile.NewProfile()
	plain.Name, plain.Team, plain.Service = "plain", "team", "service"
	recorded := plain
	recorded.Name, recorded.Submissions = "recorded", ptprofile.Recorded
	brief := plain
	brief.Name, brief.QueueFor, brief.RunFor = "brief", 300*time.Millisecond, 500*time.Millisecond
	return ptprofile.Set{Profiles: []ptprofile.Profile{plain, recorded, brief}}
}

func start(setting ptcluster.Setting) *ptcluster.Cluster {
	GinkgoHelper()
	cluster, err := ptcluster.Start(setting)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(cluster.Stop)
	Expect(cluster.Apply(context.Background(), declarations())).To(Succeed())
	return cluster
}

// reply is any reply to a job.
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

// call sends a request and reads the reply.
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

// job returns the body of a job.
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

var _ = Describe("the whole path", func() {
	It("returns every answer of a job in the order of its tasks", func() {
		cluster := start(ptcluster.Setting{Entries: 2, Agents: 3, Slots: 4, Ahead: 1})
		got := call(cluster, http.MethodPost, cluster.Entries[0].URL()+"/v1/jobs", job("plain", "a", 50, 1))
		Expect(got.Status).To(Equal(http.StatusOK))
		Expect(got.Outcome).To(Equal("complete"))
		Expect(got.Answers).To(HaveLen(50))
		for i, answer := range got.Answers {
			Expect(string(answer)).To(ContainSubstring(fmt.Sprintf(`"nonce":"a-%d"`, i)))
		}
	})
})
