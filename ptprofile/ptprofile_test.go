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

func TestEveryFaultIsNamed(t *testing.T) {
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

func TestExamplesAndDefaults(t *testing.T) {
	expect := NewWithT(t)
	set, err := ptprofile.Parse("gwasanaeth.yaml", ptexamples.Gwasanaeth)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(set.Profiles[0].QueueTimeout).To(Equal(2 * time.Second))
	expect.Expect(set.Profiles[1].MaxRunning).To(Equal(ptprofile.Unlimited))
	written, err := yaml.Marshal(set)
	expect.Expect(err).NotTo(HaveOccurred())
	again, err := ptprofile.Parse("written", written)
	expect.Expect(err).NotTo(HaveOccurred(), "what get prints can be applied")
	expect.Expect(again).To(Equal(set))
	_, err = ptprofile.Parse("gulong.yaml", ptexamples.Gulong)
	expect.Expect(err).NotTo(HaveOccurred())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("profiles:\n  - {name: a, team: b, service: c}\n"))
	f.Add([]byte("teams: [{name: x, maxRunning: 3}]"))
	f.Add([]byte("upstreams:\n- &a {name: x}\n- *a\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := ptprofile.Parse("fuzz", text)
		if err != nil {
			return
		}
		for _, profile := range set.Profiles {
			if profile.MaxTasks < 1 || profile.QueueTimeout <= 0 || !ptprofile.IsValidName(string(profile.Name)) {
				t.Fatalf("accepted %+v", profile)
			}
		}
	})
}
