package ptassign

import (
	"cmp"
	"slices"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptruntime"
)

const (
	// ownRunWeight is how much more a run of this entry weighs than a run behind a received value. The
	// workers may have changed since the latter: after ten own runs nothing is adopted.
	ownRunWeight = 10
	// adoptedRuns is the number of own runs that an adopted value counts as, so that four own runs
	// weigh as much as it.
	adoptedRuns = 4
)

// learnedRunTimes is what the core has learned of run times, from its own runs and from other entries.
type learnedRunTimes struct {
	queues map[ptid.ProfileName]learnedAverage
	// estimateBias is the moving average of the ratio of run time to declared estimate.
	estimateBias learnedAverage
}

// learnedAverage is a moving average.
type learnedAverage struct {
	value float64
	// runs is the number of own runs. adoptedWeight is the weight of the adopted value, or zero.
	runs, adoptedWeight float64
}

// rate returns the weight of the next run. Without an adopted value it is averageWeight.
func (average *learnedAverage) rate() float64 {
	if average.adoptedWeight == 0 {
		return averageWeight
	}
	return max(averageWeight, 1/(min(adoptedRuns, average.adoptedWeight)+average.runs+1))
}

// add updates the average with an own run.
func (average *learnedAverage) add(value, maxValue float64) {
	average.value += average.rate() * (min(value, maxValue) - average.value)
	average.runs++
}

// adopt merges a received value and reports whether it weighed more than what is known.
func (average *learnedAverage) adopt(value, weight float64) (adopted bool) {
	if weight <= max(average.adoptedWeight, ownRunWeight*average.runs) {
		return false
	}
	received := min(adoptedRuns, weight)
	average.value = (average.runs*average.value + received*value) / (average.runs + received)
	average.adoptedWeight = weight
	return true
}

// averageRunTime returns the average run time of a queue in seconds, or zero if it is unknown.
func (core *Core) averageRunTime(queue ptid.ProfileName) float64 {
	return core.learned.queues[queue].value
}

// AppendRunTimes appends what the core has learned from its own runs. Adopted values are left out until the
// first own run: agents would otherwise keep a value alive by returning it to each other.
func (core *Core) AppendRunTimes(values []ptruntime.Value) []ptruntime.Value {
	first := len(values)
	bias := 0.0
	if core.learned.estimateBias.runs > 0 {
		bias = core.learned.estimateBias.value
	}
	for queue, average := range core.learned.queues {
		value := ptruntime.Value{Queue: queue, Seconds: average.value, EstimateBias: bias, Weight: min(average.runs, ptruntime.MaxWeight)}
		if value.IsValid() {
			values = append(values, value)
		}
	}
	// If there are more than fit into a message, the ones with the most runs are sent.
	slices.SortFunc(values[first:], func(a, b ptruntime.Value) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Queue, b.Queue))
	})
	return values[:min(len(values), first+ptruntime.MaxQueues)]
}

// AdoptRunTimes merges run times that other entries have learned, for the queues of which the core knows
// less. It returns the number of these queues.
func (core *Core) AdoptRunTimes(values []ptruntime.Value) (queues int) {
	for _, value := range values {
		average, known := core.learned.queues[value.Queue]
		if !known && len(core.learned.queues) >= ptruntime.MaxQueues {
			continue
		}
		if average.adopt(value.Seconds, value.Weight) {
			core.learned.queues[value.Queue] = average
			queues++
		}
		if value.EstimateBias > 0 {
			core.learned.estimateBias.adopt(value.EstimateBias, value.Weight)
		}
	}
	return queues
}
