package ptload_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptload"
)

func TestIdeal(t *testing.T) {
	second := time.Second
	jobs := []ptload.Job{
		{At: 0, RunTimes: []time.Duration{second, second, second}},
		{At: second / 2, RunTimes: []time.Duration{second}},
		{At: 10 * second, RunTimes: []time.Duration{second}},
	}
	// With two slots, the third task of the first job and the task of the second job start at 1 s.
	NewWithT(t).Expect(ptload.Ideal(jobs, 2)).To(Equal([]time.Duration{2 * second, second + second/2, second}))
	NewWithT(t).Expect(ptload.Ideal(jobs, 10)).To(Equal([]time.Duration{second, second, second}))
}

func TestNewPlanIsReproducible(t *testing.T) {
	setting := ptload.Setting{Jobs: 200, TasksPerJob: []int{1, 20}, JobsPerSec: 10, RunTime: ptload.Lognormal{Median: time.Second, P99: 4 * time.Second}, Seed: 3, Weights: []float64{3, 1}}
	first, second := ptload.NewPlan(setting, 2), ptload.NewPlan(setting, 2)
	entries := make(map[int]int)
	for i := range first.Jobs {
		NewWithT(t).Expect(first.Jobs[i].RunTimes).To(Equal(second.Jobs[i].RunTimes))
		NewWithT(t).Expect(first.Jobs[i].At).To(Equal(second.Jobs[i].At))
		entries[first.Jobs[i].Entry]++
	}
	NewWithT(t).Expect(entries[0]).To(BeNumerically(">", 2*entries[1]))
}

func TestParseDistribution(t *testing.T) {
	for text, mean := range map[string]time.Duration{"50ms": 50 * time.Millisecond, "uniform:1s:3s": 2 * time.Second, "0s": 0} {
		distribution, err := ptload.ParseDistribution(text)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(ptload.Mean(distribution)).To(Equal(mean))
	}
	for _, text := range []string{"", "fast", "uniform:3s:1s", "lognormal:0s:1s", "uniform:1s", "-1s"} {
		_, err := ptload.ParseDistribution(text)
		NewWithT(t).Expect(err).To(HaveOccurred(), text)
	}
}
