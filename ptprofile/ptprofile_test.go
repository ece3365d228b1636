package ptprofile_test

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"gopkg.in/yaml.v3"

	ptexamples "github.com/primrosetiller/primrosetiller/examples"
	"github.com/primrosetiller/primrosetiller/ptprofile"
)

func TestParseReportsEveryProblem(t *testing.T) {
	expect := NewWithT(t)
	text, err := os.ReadFile("testdata/bad.yaml")
	expect.Expect(err).NotTo(HaveOccurred())
	want, err := os.ReadFile("testdata/bad.want")
	expect.Expect(err).NotTo(HaveOccurred())
	_, err = ptprofile.Parse("testdata/bad.yaml", text)
	expect.Expect(err).To(HaveOccurred())
	expect.Expect(strings.Split(err.Error(), "\n")).To(Equal(strings.Split(strings.TrimSpace(string(want)), "\n")))
	_, err = ptprofile.Parse("x", []byte("profiles: [\n"))
	expect.Expect(err).To(MatchError(HavePrefix("x:")))
}

func TestParseExamples(t *testing.T) {
	expect := NewWithT(t)
	declarations, err := ptprofile.Parse("gwasanaeth.yaml", ptexamples.Gwasanaeth)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(declarations.Profiles[0].QueueTimeout).To(Equal(2 * time.Second))
	expect.Expect(declarations.Profiles[1].MaxRunning).To(Equal(ptprofile.Unlimited))
	written, err := yaml.Marshal(declarations)
	expect.Expect(err).NotTo(HaveOccurred())
	reparsed, err := ptprofile.Parse("written", written)
	expect.Expect(err).NotTo(HaveOccurred(), "output of the get command must be valid input")
	expect.Expect(reparsed).To(Equal(declarations))
	_, err = ptprofile.Parse("gulong.yaml", ptexamples.Gulong)
	expect.Expect(err).NotTo(HaveOccurred())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("profiles:\n  - {name: a, team: b, service: c}\n"))
	f.Add([]byte("teams: [{name: x, maxRunning: 3}]"))
	f.Add([]byte("upstreams:\n- &a {name: x}\n- *a\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		declarations, err := ptprofile.Parse("fuzz", text)
		if err != nil {
			return
		}
		for _, profile := range declarations.Profiles {
			if profile.MaxTasks < 1 || profile.QueueTimeout <= 0 || !ptprofile.IsValidName(string(profile.Name)) {
				t.Fatalf("accepted %+v", profile)
			}
		}
	})
}
