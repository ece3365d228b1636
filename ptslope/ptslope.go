// Package ptslope measures what sessions, tasks, records and declarations cost one
// process, for docs/CAPACITY.md.
//
// # How it works
//
//  1. One process is measured; everything that it talks to runs in this one: real
//     agents for an entry, real entries for an agent.
//  2. Every cost is taken at four sizes or more, from the metrics of the measured
//     process, and fitted by least squares.
//  3. A row reports slope, intercept and the largest residual as a part of the
//     largest value, so that a reader sees how straight the line is.
//
// # Usage
//
//	rows, err := ptslope.MeasureEntry(ctx, ptslope.Target{…})
//	fmt.Print(ptslope.Markdown(rows))
//
// # Limits
//
// Resident memory follows the garbage collector; its rows have the largest
// residuals.
package ptslope

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gonum.org/v1/gonum/stat"

	"github.com/primrosetiller/primrosetiller/ptagent"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlease"
	"github.com/primrosetiller/primrosetiller/ptmetric"
)

const (
	scrapeTimeout = 5 * time.Second
	settle        = 3 * time.Second
	window        = 6 * time.Second
	startTimeout  = 60 * time.Second
	pollInterval  = 5 * time.Millisecond
	kilobyte      = 1 << 10
)

// Row is one fitted cost.
type Row struct {
	Cost      string
	Per       string
	Unit      string
	Sizes     []float64
	Values    []float64
	Slope     float64
	Intercept float64
	// Residual is the largest deviation as a part of the largest value.
	Residual float64
}

// fit makes a row from measured values.
func fit(what, per, unit string, sizes, values []float64) (row Row) {
	row = Row{Cost: what, Per: per, Unit: unit, Sizes: sizes, Values: values}
	row.Intercept, row.Slope = stat.LinearRegression(sizes, values, nil, false)
	largest := 0.0
	for i, size := range sizes {
		row.Residual = math.Max(row.Residual, math.Abs(values[i]-row.Intercept-row.Slope*size))
		largest = math.Max(largest, math.Abs(values[i]))
	}
	if largest > 0 {
		row.Residual /= largest
	}
	return row
}

// Markdown returns rows as a table.
func Markdown(rows []Row) string {
	var text strings.Builder
	text.WriteString("| cost | unit | at sizes | measured | slope per | intercept | residual |\n|---|---|---|---|---|---|---|\n")
	for _, row := range rows {
		fmt.Fprintf(&text, "| %s | %s | %s | %s | %.4g per %s | %.4g | %.1f %% |\n",
			row.Cost, row.Unit, join(row.Sizes), join(row.Values), row.Slope, row.Per, row.Intercept, 100*row.Residual)
	}
	return text.String()
}

func join(values []float64) string {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = strconv.FormatFloat(value, 'g', 4, 64)
	}
	return strings.Join(texts, ", ")
}

// sample is the state of the measured process at one moment.
type sample struct {
	at     time.Time
	values map[string]float64
}

// take reads the metrics of a process.
func take(admin string) (taken sample, err error) {
	status, body, err := fasthttp.GetTimeout(nil, admin+"/metrics", scrapeTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return sample{}, errors.Wrapf(err, "read the metrics of %s: status %d", admin, status)
	}
	taken = sample{at: time.Now(), values: make(map[string]float64)}
	for line := range strings.SplitSeq(string(body), "\n") {
		name, text, found := strings.Cut(line, " ")
		value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if found && err == nil {
			taken.values[name] = value
		}
	}
	return taken, nil
}

const (
	cpuSeconds    = "process_cpu_seconds_total"
	residentBytes = "process_resident_memory_bytes"
	heapBytes     = "go_memstats_heap_alloc_bytes"
)

func bytesSeries(direction string) string {
	return string(ptmetric.SessionBytes) + `{direction="` + direction + `"}`
}

// rate returns the growth of a series between two samples, a second.
func rate(before, after sample, series string) float64 {
	return (after.values[series] - before.values[series]) / after.at.Sub(before.at).Seconds()
}

func growth(before, after sample, series string) float64 {
	return after.values[series] - before.values[series]
}

// watch samples a process at both ends of a quiet window.
func watch(ctx context.Context, admin string) (before, after sample, err error) {
	if err := pause(ctx, settle); err != nil {
		return before, after, err
	}
	if before, err = take(admin); err != nil {
		return before, after, err
	}
	if err := pause(ctx, window); err != nil {
		return before, after, err
	}
	after, err = take(admin)
	return before, after, err
}

func pause(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
		return nil
	}
}

// until waits for a condition on the metrics of a process.
func until(ctx context.Context, admin string, holds func(taken sample) bool) (taken sample, err error) {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if taken, err = take(admin); err != nil {
			return taken, err
		}
		if holds(taken) {
			return taken, nil
		}
	}
	return taken, errors.Errorf("not within %s", startTimeout)
}

// startAgent runs a real agent in this process until ctx ends.
func startAgent(ctx context.Context, name, entry, upstream string, slots int) (err error) {
	agent, err := ptagent.New(ptagent.Setting{
		Name: ptid.AgentName(name), Zone: "zone1", Region: "region1", Service: "service", Upstream: upstream,
		Entries: []string{entry}, AdminListen: "127.0.0.1:0", MaxAnswerBytes: 1 << 20,
		Lease: ptlease.Setting{Slots: slots, Prefetch: 0},
	}, ptagent.Dependencies{Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock()})
	if err != nil {
		return err
	}
	go func() { _ = agent.Run(ctx) }()
	return nil
}
