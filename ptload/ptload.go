// Package ptload is an open-loop load generator: it submits jobs to entries at a given rate,
// and compares the response times with those of an ideal scheduler.
//
// # How it works
//
//  1. Arrivals are a Poisson process, and run times are drawn from a distribution. Both
//     are derived from the seed, so the same setting gives the same jobs.
//  2. Arrivals do not wait for replies, and response times are measured from the
//     scheduled arrival, so a slow system gets the same load. This avoids coordinated omission.
//  3. The ideal scheduler ([Ideal]) runs the same arrivals and run times on the same
//     number of slots with one queue, full knowledge and no overhead.
//  4. The entries count messages. The report contains the differences of their metrics
//     between the start and the end of a run.
//  5. These are violations: a task that started twice, a truncated reply, a missing
//     answer or one of another task, and a task that was reported as not run but had
//     started.
//
// # Usage
//
//	plan := ptload.NewPlan(setting, len(targets.Entries))
//	report, err := ptload.Run(ctx, plan, targets)
//
// # Limits
//
// Run refuses targets whose address is not a loopback address.
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

// Distribution is a distribution of run times.
type Distribution interface {
	draw(random *rand.Rand) time.Duration
}

// Constant gives every task the same run time.
type Constant struct{ RunTime time.Duration }

// Uniform is a uniform distribution between two bounds, inclusive.
type Uniform struct{ Low, High time.Duration }

// Lognormal is a lognormal distribution, given by its median and its 99th percentile.
type Lognormal struct{ Median, P99 time.Duration }

// normalP99 is the 99th percentile of the standard normal distribution.
const normalP99 = 2.3263478740408408

func (constant Constant) draw(*rand.Rand) time.Duration { return constant.RunTime }

func (uniform Uniform) draw(random *rand.Rand) time.Duration {
	return uniform.Low + time.Duration(random.Int64N(int64(uniform.High-uniform.Low)+1))
}

func (lognormal Lognormal) draw(random *rand.Rand) time.Duration {
	sigma := math.Log(float64(lognormal.P99)/float64(lognormal.Median)) / normalP99
	return time.Duration(float64(lognormal.Median) * math.Exp(sigma*random.NormFloat64()))
}

// Mean returns the mean run time of a distribution; zero if the type is unknown.
func Mean(distribution Distribution) time.Duration {
	switch distribution := distribution.(type) {
	case Constant:
		return distribution.RunTime
	case Uniform:
		return (distribution.Low + distribution.High) / 2
	case Lognormal:
		sigma := math.Log(float64(distribution.P99)/float64(distribution.Median)) / normalP99
		return time.Duration(float64(distribution.Median) * math.Exp(sigma*sigma/2))
	default:
		return 0
	}
}

// ParseDistribution parses a Go duration, uniform:LO:HI or lognormal:MEDIAN:P99.
func ParseDistribution(text string) (distribution Distribution, err error) {
	defer func() {
		err = errors.Wrapf(err, "invalid distribution %q; expected a duration, uniform:LO:HI or lognormal:MEDIAN:P99", text)
	}()
	parts := strings.Split(text, ":")
	durations := make([]time.Duration, 0, len(parts))
	for _, part := range parts[min(len(parts)-1, 1):] {
		duration, err := time.ParseDuration(part)
		if err != nil || duration < 0 {
			return nil, errors.Errorf("%q is not a duration of at least zero", part)
		}
		durations = append(durations, duration)
	}
	switch {
	case len(parts) == 1:
		return Constant{RunTime: durations[0]}, nil
	case len(parts) == 3 && parts[0] == "uniform" && durations[0] <= durations[1]:
		return Uniform{Low: durations[0], High: durations[1]}, nil
	case len(parts) == 3 && parts[0] == "lognormal" && durations[0] > 0 && durations[0] <= durations[1]:
		return Lognormal{Median: durations[0], P99: durations[1]}, nil
	default:
		return nil, errors.New("unknown distribution or invalid parameters")
	}
}

// Setting configures the load. JobsPerSec is the arrival rate at all entries together;
// TasksPerJob are the numbers of tasks that a job may have, drawn with equal probability.
type Setting struct {
	Profile     ptid.ProfileName
	Jobs        int
	TasksPerJob []int
	JobsPerSec  float64
	RunTime     Distribution
	Seed        uint64
	// Weights are the relative shares of the entries; empty means equal shares.
	Weights []float64
}

// Job is a planned job. RunTimes are the run times of its tasks.
type Job struct {
	// At is the scheduled arrival, measured from the start of the run.
	At       time.Duration
	Entry    int
	RunTimes []time.Duration
	Nonce    string
}

// Plan is the setting and the jobs of a run.
type Plan struct {
	Setting Setting
	Jobs    []Job
}

// NewPlan draws the jobs of a setting and assigns them to entries.
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

// Tasks returns the number of tasks of all jobs.
func (plan *Plan) Tasks() (tasks int) {
	for _, job := range plan.Jobs {
		tasks += len(job.RunTimes)
	}
	return tasks
}

// Ideal returns the response time of each job for an ideal scheduler that runs the jobs in the
// order of their arrival on the given number of slots, with one queue and no overhead.
func Ideal(jobs []Job, slots int) (responseTimes []time.Duration) {
	freeAt := make(freeTimes, slots)
	responseTimes = make([]time.Duration, len(jobs))
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(left, right int) int { return int(jobs[left].At - jobs[right].At) })
	for _, i := range order {
		ended := jobs[i].At
		for _, runTime := range jobs[i].RunTimes {
			ended = max(ended, freeAt.start(jobs[i].At, runTime))
		}
		responseTimes[i] = ended - jobs[i].At
	}
	return responseTimes
}

// freeTimes is a min-heap of the times at which the slots become free.
type freeTimes []time.Duration

// start runs a task on the slot that becomes free first, not before earliest, and returns the
// time at which the task ends.
func (times freeTimes) start(earliest, runTime time.Duration) (ended time.Duration) {
	ended = max(times[0], earliest) + runTime
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
