package ptgraph_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptgraph"
)

func TestTaskCountsWhoseSumOverflowsAreRejected(test *testing.T) {
	_, err := ptgraph.New(ptgraph.Spec{Steps: []ptgraph.Step{{Count: 1}, {Count: math.MaxInt}}})
	NewWithT(test).Expect(err).To(HaveOccurred())
}
