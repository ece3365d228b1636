package ptsoak_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptplace"
	"github.com/primrosetiller/primrosetiller/ptsoak"
)

func TestSoak(t *testing.T) {
	ptassert.PanicOnFailure()
	for i, placement := range []ptplace.Policy{ptplace.Leases, ptplace.Leases, ptplace.Random, ptplace.TwoChoices, ptplace.LeastKnownLoad} {
		t.Run(string(placement), func(t *testing.T) {
			expect := NewWithT(t)
			setting := ptsoak.Setting{Seed: uint64(i + 1), Steps: 50_000, Placement: placement}
			result, err := ptsoak.Run(setting)
			again, _ := ptsoak.Run(setting)
			expect.Expect(again).To(Equal(result), "the same seed must give the same result")
			expect.Expect(err).NotTo(HaveOccurred())
			expect.Expect(result.Complete).To(BeNumerically(">", 0))
			expect.Expect(result.Failed).To(BeNumerically(">", 0))
			expect.Expect(result.NotRun).To(BeNumerically(">", 0))
			expect.Expect(result.Requeued).To(BeNumerically(">", 0))
			t.Logf("%+v", result)
		})
	}
}
