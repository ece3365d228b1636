package ptdrill_test

import (
	"os"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptdrill"
)

// TestSeeds runs a fixed number of seeds and steps in CI. The environment variables
// DRILL_SEEDS and DRILL_STEPS set other numbers for manual runs.
func TestSeeds(test *testing.T) {
	ptassert.PanicOnFailure()
	expect := NewWithT(test)
	seeds, steps := setting("DRILL_SEEDS", 12), setting("DRILL_STEPS", 120_000)
	for seed := range seeds {
		report, err := ptdrill.Run(uint64(1+seed), steps)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(report.Completed).To(BeNumerically(">", 0))
		if testing.Verbose() {
			test.Logf("seed %d: %+v", 1+seed, report)
		}
	}
}

func setting(name string, defaultValue int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return defaultValue
}
