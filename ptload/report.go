package ptload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptmetric"
)

// samples contains metric values by series.
type samples map[string]float64

// scrape returns each metric summed over all entries and, with the prefix "agent:" before its
// name, summed over all agents.
func (runner *runner) scrape() (sum samples, err error) {
	sum = make(samples)
	for _, entry := range runner.targets.Entries {
		if err := runner.scrapeInto(sum, "", entry); err != nil {
			return nil, err
		}
	}
	for _, agent := range runner.targets.Agents {
		if err := runner.scrapeInto(sum, "agent:", agent); err != nil {
			return nil, err
		}
	}
	return sum, nil
}

func (runner *runner) scrapeInto(sum samples, prefix, target string) (err error) {
	status, body, err := runner.client.GetTimeout(nil, target+"/metrics", scrapeTimeout)
	if err != nil || status != 200 {
		return errors.Wrapf(err, "read metrics of %s: status %d", target, status)
	}
	for line := range strings.SplitSeq(string(body), "\n") {
		name, text, found := strings.Cut(line, " ")
		value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if found && err == nil {
			sum[prefix+name] += value
		}
	}
	return nil
}

// minus returns the increase of counters since earlier samples, and the current values of
// gauges.
func (values samples) minus(before samples) (growth samples) {
	growth = make(samples, len(values))
	for name, value := range values {
		if strings.Contains(name, "_total") {
			value -= before[name]
		}
		growth[name] = value
	}
	return growth
}

// byKind returns the nonzero values of a metric by the value of its label kind.
func (values samples) byKind(name ptmetric.Name) (kinds map[string]float64) {
	kinds = make(map[string]float64)
	for series, value := range values {
		rest, found := strings.CutPrefix(series, string(name)+`{kind="`)
		if found && value != 0 {
			kinds[strings.TrimSuffix(rest, `"}`)] = value
		}
	}
	return kinds
}

// Quantiles are the 50th, 99th and 99.9th percentiles.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Report contains the measurements of a run. Response times are in milliseconds, processor
// times in microseconds. Lost counts the jobs without a valid reply.
type Report struct {
	Jobs     int `json:"jobs"`
	Complete int `json:"complete"`
	Failed   int `json:"failed"`
	NotRun   int `json:"notRun"`
	Lost     int `json:"lost"`

	Tasks         int     `json:"tasks"`
	Slots         int     `json:"slots"`
	Seconds       float64 `json:"seconds"`
	StartsPerSec  float64 `json:"startsPerSecond"`
	OfferedLoad   float64 `json:"offeredLoad"`
	CompletedLoad float64 `json:"completedLoad"`

	ResponseMillis Quantiles `json:"responseMillis"`
	IdealMillis    Quantiles `json:"idealMillis"`
	Ratio          Quantiles `json:"ratio"`

	MessagesPerTask float64            `json:"messagesPerTask"`
	WastedPerTask   float64            `json:"wastedPerTask"`
	ControlPerTask  float64            `json:"controlPerTask"`
	Messages        map[string]float64 `json:"messages"`
	Wasted          map[string]float64 `json:"wasted"`
	Control         map[string]float64 `json:"control"`

	EntryMicrosPerTask float64 `json:"entryCpuMicrosPerTask"`
	AgentMicrosPerTask float64 `json:"agentCpuMicrosPerTask"`
	EntryMegabytes     float64 `json:"entryResidentMegabytes"`
	AgentMegabytes     float64 `json:"agentResidentMegabytes"`

	Reasons        map[string]int `json:"reasons"`
	Violations     int            `json:"violations"`
	ViolationTexts []string       `json:"violationTexts,omitempty"`
}

const (
	histogramLow      = 1
	histogramHigh     = int64(time.Hour / time.Microsecond)
	histogramDigits   = 3
	maxViolationTexts = 10
	megabyte          = 1 << 20
	microsPerSecond   = 1e6
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLow, histogramHigh, histogramDigits)
}

func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	// RecordValue drops values outside the range of the histogram, so they are clamped.
	_ = histogram.RecordValue(min(max(int64(duration/time.Microsecond), histogramLow), histogramHigh))
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / 1000 }
	return Quantiles{P50: at(50), P99: at(99), P999: at(99.9)}
}

func (measured Quantiles) dividedBy(ideal Quantiles) Quantiles {
	ratio := func(left, right float64) float64 {
		if right == 0 {
			return 0
		}
		return left / right
	}
	return Quantiles{P50: ratio(measured.P50, ideal.P50), P99: ratio(measured.P99, ideal.P99), P999: ratio(measured.P999, ideal.P999)}
}

// report computes the report of a run.
func (runner *runner) report(elapsed time.Duration, growth samples, violations []string) (report *Report) {
	report = &Report{
		Jobs: len(runner.plan.Jobs), Slots: runner.slots(growth), Seconds: elapsed.Seconds(), Reasons: make(map[string]int),
		Messages: growth.byKind(ptmetric.TaskMessages), Wasted: growth.byKind(ptmetric.WastedMessages),
		Control: growth.byKind(ptmetric.ControlMessages),
	}
	responseTimes := newHistogram()
	var done []Job
	var offered, completed time.Duration
	for i, result := range runner.results {
		job := runner.plan.Jobs[i]
		offered += totalRunTime(job)
		violations = append(violations, result.violations...)
		switch result.outcome {
		case "complete":
			report.Complete++
			report.Tasks += len(job.RunTimes)
			completed += totalRunTime(job)
			done = append(done, job)
			record(responseTimes, result.responseTime)
		case "failed":
			report.Failed++
			report.Reasons[result.reason]++
		case "notRun":
			report.NotRun++
			report.Reasons[result.reason]++
		default:
			report.Lost++
			report.Reasons["lost: "+result.reason]++
		}
	}
	report.addIdeal(done, responseTimes)
	report.addOverhead(growth, runner.targets)
	if report.Slots > 0 && len(runner.plan.Jobs) > 0 {
		duration := runner.plan.Jobs[len(runner.plan.Jobs)-1].At.Seconds()
		report.OfferedLoad = offered.Seconds() / duration / float64(report.Slots)
		report.CompletedLoad = completed.Seconds() / elapsed.Seconds() / float64(report.Slots)
	}
	report.StartsPerSec = float64(report.Tasks) / elapsed.Seconds()
	report.Violations = len(violations)
	report.ViolationTexts = violations[:min(len(violations), maxViolationTexts)]
	return report
}

func totalRunTime(job Job) (sum time.Duration) {
	for _, runTime := range job.RunTimes {
		sum += runTime
	}
	return sum
}

func (runner *runner) slots(growth samples) int {
	if runner.targets.Slots > 0 {
		return runner.targets.Slots
	}
	return int(growth[string(ptmetric.Slots)]) / max(1, len(runner.targets.Entries))
}

func (report *Report) addIdeal(done []Job, responseTimes *hdrhistogram.Histogram) {
	report.ResponseMillis = quantiles(responseTimes)
	if report.Slots == 0 {
		return
	}
	ideal := newHistogram()
	for _, responseTime := range Ideal(done, report.Slots) {
		record(ideal, responseTime)
	}
	report.IdealMillis = quantiles(ideal)
	report.Ratio = report.ResponseMillis.dividedBy(report.IdealMillis)
}

func (report *Report) addOverhead(growth samples, targets Targets) {
	if report.Tasks == 0 {
		return
	}
	tasks := float64(report.Tasks)
	report.MessagesPerTask = total(report.Messages) / tasks
	report.WastedPerTask = total(report.Wasted) / tasks
	report.ControlPerTask = total(report.Control) / tasks
	report.EntryMicrosPerTask = growth["process_cpu_seconds_total"] * microsPerSecond / tasks
	report.AgentMicrosPerTask = growth["agent:process_cpu_seconds_total"] * microsPerSecond / tasks
	report.EntryMegabytes = growth["process_resident_memory_bytes"] / megabyte / float64(max(1, len(targets.Entries)))
	report.AgentMegabytes = growth["agent:process_resident_memory_bytes"] / megabyte / float64(max(1, len(targets.Agents)))
}

func total(kinds map[string]float64) (sum float64) {
	for _, value := range kinds {
		sum += value
	}
	return sum
}

// Print writes the report as text.
func (report *Report) Print(output io.Writer) {
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(output, format+"\n", values...) }
	line("jobs %d: complete %d, failed %d, not run %d, lost %d", report.Jobs, report.Complete, report.Failed, report.NotRun, report.Lost)
	line("load: offered %.3f, completed %.3f of %d slots; %.0f starts/s over %.1f s", report.OfferedLoad, report.CompletedLoad, report.Slots, report.StartsPerSec, report.Seconds)
	line("response ms  p50 %9.3f  p99 %9.3f  p99.9 %9.3f", report.ResponseMillis.P50, report.ResponseMillis.P99, report.ResponseMillis.P999)
	line("ideal    ms  p50 %9.3f  p99 %9.3f  p99.9 %9.3f", report.IdealMillis.P50, report.IdealMillis.P99, report.IdealMillis.P999)
	line("ratio        p50 %9.3f  p99 %9.3f  p99.9 %9.3f", report.Ratio.P50, report.Ratio.P99, report.Ratio.P999)
	line("messages per task %.3f, wasted %.4f, control %.4f", report.MessagesPerTask, report.WastedPerTask, report.ControlPerTask)
	line("  task messages: %s", kindsText(report.Messages))
	line("  wasted:        %s", kindsText(report.Wasted))
	line("  control:       %s", kindsText(report.Control))
	if report.AgentMegabytes > 0 {
		line("processor time per task: entries %.1f us, agents %.1f us; resident memory: entry %.1f MB, agent %.1f MB", report.EntryMicrosPerTask, report.AgentMicrosPerTask, report.EntryMegabytes, report.AgentMegabytes)
	} else {
		// If everything runs in one process, there are no separate figures for agents.
		line("processor time per task: %.1f us in total for entries, agents and load generator; resident memory in total: %.1f MB", report.EntryMicrosPerTask, report.EntryMegabytes)
	}
	for _, reason := range slices.Sorted(maps.Keys(report.Reasons)) {
		line("  reason %s: %d", reason, report.Reasons[reason])
	}
	line("violations %d", report.Violations)
	for _, text := range report.ViolationTexts {
		line("  %s", text)
	}
}

func kindsText(kinds map[string]float64) string {
	parts := make([]string, 0, len(kinds))
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		parts = append(parts, fmt.Sprintf("%s %.0f", kind, kinds[kind]))
	}
	return strings.Join(parts, ", ")
}
