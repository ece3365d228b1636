package ptexplain_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptexplain"
)

func TestTopicsAreComplete(t *testing.T) {
	seen := make(map[string]bool)
	for _, topic := range ptexplain.Topics() {
		expect := NewWithT(t)
		expect.Expect(topic.Title).NotTo(BeEmpty(), topic.Name)
		expect.Expect(topic.Text).To(HaveSuffix("."), topic.Name)
		expect.Expect(topic.Since).To(MatchRegexp(`^\d+\.\d+$`), topic.Name)
		expect.Expect(seen[string(topic.Kind)+topic.Name]).To(BeFalse(), topic.Name)
		seen[string(topic.Kind)+topic.Name] = true
		expect.Expect(ptexplain.Find(topic.Name)).NotTo(BeEmpty())
	}
}

// TestEveryConstantIsInATable guards against a reason or metric constant that is missing
// from its table. It extracts the constants from the source files.
func TestEveryConstantIsInATable(t *testing.T) {
	for file, pattern := range map[string]string{
		"../ptreason/ptreason.go": `Reason = "([A-Za-z]+)"`, "../ptmetric/ptmetric.go": `Name = "([a-z_]+)"`,
	} {
		text, err := os.ReadFile(filepath.FromSlash(file))
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		found := regexp.MustCompile(pattern).FindAllStringSubmatch(string(text), -1)
		NewWithT(t).Expect(len(found)).To(BeNumerically(">", 20), file)
		for _, match := range found {
			NewWithT(t).Expect(ptexplain.Find(match[1])).NotTo(BeEmpty(), match[1])
		}
	}
}

func TestReferenceIsCommitted(t *testing.T) {
	text, err := os.ReadFile("../docs/REFERENCE.md")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(strings.Split(string(text), "\n")).To(Equal(strings.Split(ptexplain.Reference(), "\n")),
		"run: go run ./cmd/primrosetiller explain --reference > docs/REFERENCE.md")
}
