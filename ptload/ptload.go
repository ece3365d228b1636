// Package ptload offers jobs to entries at a given rate and compares what comes
// back with the ideal.
//
// # How it works
//
//  1. Arrivals are a Poisson process and run times are drawn from a distribution,
//     both from one seed: the same setting offers the same jobs.
//  2. Arrivals do not wait for replies, and a response counts from the scheduled
//     arrival, so a slow system is not offered less.
//  3. The ideal ([Ideal]) puts the same arrivals and run times on the same slots
//     with one queue, perfect knowledge and no cost.
//  4. Messages are counted by the entries; the difference of their metrics before
//     and after a run is reported.
//  5. Three things are violations: a doubled start, an answer that is not the
//     caller's own or not whole, and a task reported as not run that has started.
//
// # Usage
//
//	plan := ptload.NewPlan(setting)
//	report, err := ptload.Run(ctx, plan, targets)
//
// # Limits
//
// Targets on other addresses than loopback are refused.
package ptload

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// Distribution draws run times.
type Distribution interface {
	draw(random *rand.Rand) time.Duration
}

// Constant is the same run time for every task.
type Constant struct{ RunTime time.Duration }

// Uniform is any run time between two bounds.
type Uniform struct{ Low, High time.Duration }

// Lognormal has many short and few long run times.
type Lognormal struct{ Median, P99 time.Duration }

// normal99 is the 99th percentile of the standard normal distribution.
const normal99 = 2.3263478740408408

func (constant Constant) draw(*rand.Rand) time.Duration { return constant.RunTime }

func (uniform Uniform) draw(random *rand.Rand) time.Duration {
	return uniform.Low + time.Duration(random.Int64N(int64(uniform.High-uniform.Low)+1))
}

func (lognormal Lognormal) draw(random *rand.Rand) time.Duration {
	sigma := math.Log(float64(lognormal.P99)/float64(lognormal.Median)) / normal99
	return time.Duration(float64(lognormal.Median) * math.Exp(sigma*random.NormFloat64()))
}

// Mean returns the mean run time of a distribution.
func Mean(distribution Distribution) time.Duration {
	switch distribution := distribution.(type) {
	case Constant:
		return distribution.RunTime
	case Uniform:
		return (distribution.Low + distribution.High) / 2
	case Lognormal:
		sigma := math.Log(float64(distribution.P99)/float64(distribution.Median)) / normal99
		return time.Duration(float64(distribution.Median) * math.Exp(sigma*sigma/2))
	default:
		return 0
	}
}

// ParseDistribution reads a Go duration, uniform:LO:HI or lognormal:MEDIAN:P99.
func ParseDistribution(text string) (distribution Distribution, err error) {
	defer func() {
		err = errors.Wrapf(err, "%q is not allowed; allowed: a duration, uniform:LO:HI or lognormal:MEDIAN:P99", text)
	}()
	parts := strings.Split(text, ":")
	spans := make([]time.Duration, 0, len(parts))
	for _, part := range parts[min(len(parts)-1, 1):] {
		span, err := time.ParseDuration(part)
		if err != nil || span < 0 {
			return nil, errors.Errorf("%q is not a duration", part)
		}
		spans = append(spans, span)
	}
	switch {
	case len(parts) == 1:
		return Constant{RunTime: spans[0]}, nil
	case len(parts) == 3 && parts[0] == "uniform" && spans[0] <= spans[1]:
		return Uniform{Low: spans[0], High: spans[1]}, nil
	case len(parts) == 3 && parts[0] == "lognormal" && spans[0] > 0 && spans[0] <= spans[1]:
		return Lognormal{Median: spans[0], P99: spans[1]}, nil
	default:
		return nil, errors.New("unknown form")
	}
}

// Setting says what is offered.
type Setting struct {
	Profile     ptid.ProfileName
	Jobs        int
	TasksPerJob []int
	JobsPerSec  float64
	RunTime     Distribution
	Seed        uint64
	// Weights says how much of the load each entry gets; empty means equal parts.
	Weights []float64
}

// Job is one planned job.
type Job struct {
	// At is when the job arrives after the start.
	At       time.Duration
	Entry    int
	RunTimes []time.Duration
	Nonce    string
}

// Plan is everything that a run offers.
type Plan struct {
	Setting Setting
	Jobs    []Job
}

// NewPlan draws the jobs of a setting for a number of entries.
func NewPlan(setting Setting, entries int) *Plan {
	random := rand.New(rand.NewPCG(setting.Seed, 1))
	plan := &Plan{Setting: setting}
	at := time.Duration(0)
	for i := range setting.Jobs {
		at += time.Duration(random.ExpFloat64() / setting.JobsPerSec * float64(time.Second))
		tasks := setting.TasksPerJob[random.IntN(len(setting.TasksPerJob))]
		job := Job{
			At: at, Entry: pickEntry(setting.Weights, entries, random),
			Nonce: strconv.FormatUint(setting.Seed, 36) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(i),
		}
		for range tasks {
			job.RunTimes = append(job.RunTimes, setting.RunTime.draw(random))
		}
		plan.Jobs = append(plan.Jobs, job)
	}
	return plan
}

func pickEntry(weights []float64, entries int, random *rand.Rand) (entry int) {
	if len(weights) == 0 {
		return random.IntN(entries)
	}
	total := 0.0
	for _, weight := range weights[:min(len(weights), entries)] {
		total += weight
	}
	at := random.Float64() * total
	for i, weight := range weights[:min(len(weights), entries)] {
		if at -= weight; at < 0 {
			return i
		}
	}
	return 0
}

// Tasks returns how many tasks the plan has.
func (plan *Plan) Tasks() (tasks int) {
	for _, job := range plan.Jobs {
		tasks += len(job.RunTimes)
	}
	return tasks
}

// Ideal returns the response of each job on slots with one queue, perfect
// knowledge and no cost, in the order of arrival.
func Ideal(jobs []Job, slots int) (responses []time.Duration) {
	freeAt := make(freeTimes, slots)
	responses = make([]time.Duration, len(jobs))
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(left, right int) int { return int(jobs[left].At - jobs[right].At) })
	for _, i := range order {
		ended := jobs[i].At
		for _, run := range jobs[i].RunTimes {
			ended = max(ended, freeAt.start(jobs[i].At, run))
		}
		responses[i] = ended - jobs[i].At
	}
	return responses
}

// freeTimes is a heap of when each slot becomes free.
type freeTimes []time.Duration

// start puts a run on the slot that is free first and returns when it ends.
func (times freeTimes) start(earliest, run time.Duration) (ended time.Duration) {
	ended = max(times[0], earliest) + run
	times[0] = ended
	at := 0
	for {
		child := 2*at + 1
		if child >= len(times) {
			return ended
		}
		if child+1 < len(times) && times[child+1] < times[child] {
			child++
		}
		if times[at] <= times[child] {
			return ended
		}
		times[at], times[child] = times[child], times[at]
		at = child
	}
}
