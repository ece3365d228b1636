// Package ptslope measures the cost of sessions, tasks, records and declarations in one
// process, for the capacity planning in docs/CAPACITY.md.
//
// # How it works
//
//  1. One process is measured. Its peers run in this process: real agents if an entry is
//     measured, real entries if an agent is measured.
//  2. Every cost is measured at four sizes or more, from the metrics of the measured
//     process, and fitted to a line by least squares.
//  3. A row contains the slope, the intercept, and the largest residual relative to the
//     largest value, which shows how linear the cost is.
//
// # Usage
//
//	rows, err := ptslope.MeasureEntry(ctx, ptslope.Target{…})
//	fmt.Print(ptslope.Markdown(rows))
//
// # Limits
//
// Resident memory depends on the timing of the garbage collector, so its rows have the
// largest residuals.
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
	settleTime    = 3 * time.Second
	window        = 6 * time.Second
	startTimeout  = 60 * time.Second
	pollInterval  = 5 * time.Millisecond
	kilobyte      = 1 << 10
)

// Row is a cost with the line that was fitted to its measured values. Sizes are the amounts at
// which the cost was measured, counted in Per (for example "session"). Values are the measured
// costs in Unit.
type Row struct {
	Cost      string
	Per       string
	Unit      string
	Sizes     []float64
	Values    []float64
	Slope     float64
	Intercept float64
	// Residual is the largest absolute deviation from the line, relative to the largest value.
	Residual float64
}

// fit fits a line to measured values and returns the row.
func fit(cost, per, unit string, sizes, values []float64) (row Row) {
	row = Row{Cost: cost, Per: per, Unit: unit, Sizes: sizes, Values: values}
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

// Markdown returns the rows as a Markdown table.
func Markdown(rows []Row) string {
	var text strings.Builder
	text.WriteString("| cost | unit | at sizes | measured | slope per | intercept | residual |\n|---|---|---|---|---|---|---|\n")
	for _, row := range rows {
		fmt.Fprintf(&text, "| %s | %s | %s | %s | %.4g per %s | %.4g | %.1f %% |\n",
			row.Cost, row.Unit, formatValues(row.Sizes), formatValues(row.Values), row.Slope, row.Per, row.Intercept, 100*row.Residual)
	}
	return text.String()
}

func formatValues(values []float64) string {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = strconv.FormatFloat(value, 'g', 4, 64)
	}
	return strings.Join(texts, ", ")
}

// sample contains the metrics of a process at one time.
type sample struct {
	at     time.Time
	values map[string]float64
}

// scrape reads the metrics of a process.
func scrape(admin string) (current sample, err error) {
	status, body, err := fasthttp.GetTimeout(nil, admin+"/metrics", scrapeTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return sample{}, errors.Wrapf(err, "read metrics of %s: status %d", admin, status)
	}
	current = sample{at: time.Now(), values: make(map[string]float64)}
	for line := range strings.SplitSeq(string(body), "\n") {
		name, text, found := strings.Cut(line, " ")
		value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if found && err == nil {
			current.values[name] = value
		}
	}
	return current, nil
}

const (
	cpuSeconds    = "process_cpu_seconds_total"
	residentBytes = "process_resident_memory_bytes"
	heapBytes     = "go_memstats_heap_alloc_bytes"
)

func bytesSeries(direction string) string {
	return string(ptmetric.SessionBytes) + `{direction="` + direction + `"}`
}

// rate returns the increase of a series between two samples, per second.
func rate(before, after sample, series string) float64 {
	return (after.values[series] - before.values[series]) / after.at.Sub(before.at).Seconds()
}

func increase(before, after sample, series string) float64 {
	return after.values[series] - before.values[series]
}

// sampleWindow waits for settleTime and then scrapes a process at the start and at the end of a
// window.
func sampleWindow(ctx context.Context, admin string) (before, after sample, err error) {
	if err := sleep(ctx, settleTime); err != nil {
		return before, after, err
	}
	if before, err = scrape(admin); err != nil {
		return before, after, err
	}
	if err := sleep(ctx, window); err != nil {
		return before, after, err
	}
	after, err = scrape(admin)
	return before, after, err
}

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// waitFor polls the metrics of a process until they meet a condition, and returns the metrics
// that meet it. It returns an error after startTimeout.
func waitFor(ctx context.Context, admin string, condition func(current sample) bool) (current sample, err error) {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if current, err = scrape(admin); err != nil {
			return current, err
		}
		if condition(current) {
			return current, nil
		}
	}
	return current, errors.Errorf("condition not met within %s", startTimeout)
}

// startAgent runs an agent in this process until ctx ends.
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
