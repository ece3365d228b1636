package ptfront

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptjob"
	"github.com/primrosetiller/primrosetiller/ptreason"
)

func TestBadBodies(t *testing.T) {
	for body, problem := range map[string]string{
		``:  "not a job",
		`[`: "not a job",
		`{"profile":"p","tasks":[{"payload":1}]} {}`:                "goes on",
		`{"tasks":[{"payload":1}]}`:                                 "profile: missing",
		`{"profile":"p","tasks":[{}]}`:                              "tasks[0].payload: missing",
		`{"profile":"p","tasks":[{"payload":1}],"colour":"red"}`:    "colour",
		`{"profile":1,"tasks":[{"payload":1}]}`:                     "profile",
		`{"profile":"p","deadline":"soon","tasks":[{"payload":1}]}`: "soon",
	} {
		_, got := parseJob([]byte(body))
		NewWithT(t).Expect(got).To(ContainSubstring(problem), body)
	}
}

func TestEveryRefusalHasAStatus(t *testing.T) {
	for _, entry := range ptreason.Table {
		NewWithT(t).Expect(refusalStatus(entry.Name)).To(BeElementOf(400, 404, 413, 429, 503), string(entry.Name))
	}
}

func TestCompleteBody(t *testing.T) {
	body := completeBody("e.1.1", []ptjob.Answer{
		{ContentType: "application/json", Body: []byte(`{"a":1}`)},
		{ContentType: "application/json", Body: []byte(`{broken`)},
		{ContentType: "text/plain", Body: []byte("a \"text\"")},
	})
	NewWithT(t).Expect(body).To(MatchJSON(`{"job":"e.1.1","outcome":"complete","answers":[{"a":1},"{broken","a \"text\""]}`))
}

func FuzzParseJob(f *testing.F) {
	f.Add([]byte(`{"profile":"p","submission":"k","tasks":[{"payload":{"a":[1,2]}},{"payload":"x"}]}`))
	f.Add([]byte(`{"profile":"p","deadline":"2026-01-01T00:00:00Z","tasks":[{"payload":null}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		submission, problem := parseJob(body)
		if (problem == "") != (submission != nil) {
			t.Fatalf("problem %q with submission %v", problem, submission)
		}
		if strings.Contains(problem, "\x00") {
			t.Fatalf("the message contains raw input")
		}
	})
}

func BenchmarkParseJobOf50(b *testing.B) {
	body := []byte(`{"profile":"p","tasks":[` + strings.TrimSuffix(strings.Repeat(`{"payload":{"runMillis":10,"nonce":"abc-1"}},`, 50), ",") + `]}`)
	for range b.N {
		if _, problem := parseJob(body); problem != "" {
			b.Fatal(problem)
		}
	}
}
