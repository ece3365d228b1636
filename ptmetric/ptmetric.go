// Package ptmetric is the table of every metric that a process of the system
// exports, and the set that holds one process's values.
//
// # Usage
//
//	set := ptmetric.New()
//	set.Counter(ptmetric.TaskMessages, "kind", "dispatch").Inc()
//	set.Write(writer)
//
// # Rules
//
//  1. A name that is not in [Table] can't be used: the set asserts it. So the
//     explain command and the reference page, which are made from the table, are
//     complete.
//  2. Counters are looked up once and kept by their user; nothing is looked up on
//     the path of a task.
package ptmetric

import (
	"io"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosetiller/primrosetiller/ptassert"
)

// Name is the name of a metric without labels.
type Name string

// Names of all metrics.
const (
	TaskMessages     Name = "primrosetiller_task_messages_total"
	WastedMessages   Name = "primrosetiller_wasted_messages_total"
	ControlMessages  Name = "primrosetiller_control_messages_total"
	Jobs             Name = "primrosetiller_jobs_total"
	Refusals         Name = "primrosetiller_refused_jobs_total"
	Tasks            Name = "primrosetiller_tasks_total"
	Starts           Name = "primrosetiller_starts_total"
	QueuedTasks      Name = "primrosetiller_queued_tasks"
	SentTasks        Name = "primrosetiller_sent_tasks"
	OpenJobs         Name = "primrosetiller_open_jobs"
	Sessions         Name = "primrosetiller_sessions"
	SessionEnds      Name = "primrosetiller_session_ends_total"
	Slots            Name = "primrosetiller_slots"
	BusySlots        Name = "primrosetiller_busy_slots"
	BacklogTasks     Name = "primrosetiller_backlog_tasks"
	StartRecords     Name = "primrosetiller_start_records"
	KeptAnswers      Name = "primrosetiller_kept_answers"
	Revision         Name = "primrosetiller_configuration_revision"
	LogErrors        Name = "primrosetiller_log_errors_total"
	Claims           Name = "primrosetiller_claims_total"
	Quarantined      Name = "primrosetiller_quarantined_upstreams"
	Retries          Name = "primrosetiller_replacements_total"
	BrokenInvariants Name = "primrosetiller_broken_invariants_total"
	QueueSeconds     Name = "primrosetiller_queue_seconds"
	RunSeconds       Name = "primrosetiller_run_seconds"
	LateFrames       Name = "primrosetiller_late_messages_total"
	SessionBytes     Name = "primrosetiller_session_bytes_total"
	RunOrders        Name = "primrosetiller_run_orders_total"
	RunEnds          Name = "primrosetiller_run_ends_total"
	WaitingJobs      Name = "primrosetiller_waiting_jobs"
	WaitingRuns      Name = "primrosetiller_waiting_runs"
	HoldingRuns      Name = "primrosetiller_holding_runs"
	JobSeconds       Name = "primrosetiller_job_seconds"
	StoreCalls       Name = "primrosetiller_store_calls_total"
)

// Description documents one metric.
type Description struct {
	Name  Name
	Title string
	Text  string
	Since string
}

// Table lists every metric.
var Table = []Description{
	{TaskMessages, "Messages for tasks", "Messages between the system's processes for tasks, by kind: dispatch, answer, refusal, seal, demand, grant, recall, cancel. Counted by the entry, in both directions.", "1.0"},
	{WastedMessages, "Wasted messages", "Task messages that brought no task forward, by kind: refused dispatches and their refusals, seals, recalls, cancels, late or repeated answers.", "1.0"},
	{ControlMessages, "Control messages", "Frames without task messages, by kind: acknowledgement, heartbeat, greeting, configuration. Counted by the entry, in both directions.", "1.0"},
	{Jobs, "Ended jobs", "Jobs that ended, by outcome: complete, failed, notRun.", "1.0"},
	{Refusals, "Refused jobs", "Jobs refused at the door, by reason.", "1.0"},
	{Tasks, "Ended tasks", "Tasks that ended, by state: answered, failed, notRun, unknown.", "1.0"},
	{Starts, "Started tasks", "Tasks that this agent has started.", "1.0"},
	{QueuedTasks, "Waiting tasks", "Tasks that wait at this entry for a lease.", "1.0"},
	{SentTasks, "Sent tasks", "Tasks that this entry has sent and whose end it does not know yet.", "1.0"},
	{OpenJobs, "Open jobs", "Jobs that this entry holds and that have not ended.", "1.0"},
	{Sessions, "Sessions", "Open sessions between this process and agents or entries.", "1.0"},
	{SessionEnds, "Ended sessions", "Sessions that ended, by cause: silent, lapsed, closed, replaced.", "1.0"},
	{Slots, "Slots", "Slots of the upstreams that this process knows, by service.", "1.0"},
	{BusySlots, "Busy slots", "Slots of this agent's upstream that run a task.", "1.0"},
	{BacklogTasks, "Tasks at the agent", "Tasks that wait in this agent's queue for a slot.", "1.0"},
	{StartRecords, "Start records", "Records in this agent's start table.", "1.0"},
	{KeptAnswers, "Kept answers", "Answers that this agent keeps until an entry has acknowledged them.", "1.0"},
	{Revision, "Revision", "Revision of the configuration in force in this process.", "1.0"},
	{LogErrors, "Errors of the log", "Failed calls to the platform's log, by operation: append, read.", "1.0"},
	{Claims, "Claims", "Recorded submissions, by result: won, lost, unavailable.", "1.0"},
	{Quarantined, "Quarantined upstreams", "Upstreams that this entry places no task on but single probes.", "1.0"},
	{Retries, "Placements again", "Tasks placed again after the proof that they had not started.", "1.0"},
	{BrokenInvariants, "Broken invariants", "Assertions inside the program that have failed. Any value above zero is a fault: report it.", "1.0"},
	{QueueSeconds, "Time to the dispatch", "Seconds from the arrival of a job to the dispatch of a task.", "1.0"},
	{RunSeconds, "Run time", "Seconds that tasks ran, as the agent measured them.", "1.0"},
	{LateFrames, "Late messages", "Messages for tasks that this process no longer waits for; they are dropped.", "1.0"},
	{RunOrders, "Ordered runs", "Runs of tasks with demands that this entry has sent to agents.", "2.0"},
	{RunEnds, "Ended runs", "Runs that ended at this agent, by result: done, failed, stopped, lost, neverStarted.", "2.0"},
	{WaitingJobs, "Waiting jobs", "Jobs of this entry with tasks that wait for a place.", "2.0"},
	{WaitingRuns, "Waiting runs", "Runs that wait at this agent for room on its worker.", "2.0"},
	{HoldingRuns, "Runs that hold room", "Runs at this agent that hold room on its worker, those being stopped included.", "2.0"},
	{JobSeconds, "Time of a job", "Seconds from the arrival of a graph job to its end.", "2.0"},
	{StoreCalls, "Calls to the platform's store", "Calls to the platform's store, by operation and result: done, refused, failed.", "2.0"},
	{SessionBytes, "Bytes of sessions", "Bytes on the sessions of this process, by direction: sent, received.", "1.0"},
}

// Lookup returns the entry of a metric.
func Lookup(name Name) (entry Description, found bool) {
	for _, entry := range Table {
		if entry.Name == name {
			return entry, true
		}
	}
	return Description{}, false
}

// Set holds the metrics of one process.
type Set struct{ set *metrics.Set }

// New returns an empty set.
func New() *Set {
	set := &Set{set: metrics.NewSet()}
	set.Gauge(BrokenInvariants, func() float64 { return float64(ptassert.FailureCount()) })
	return set
}

// Counter returns the counter of a metric with pairs of label and value.
func (set *Set) Counter(name Name, labels ...string) *metrics.Counter {
	return set.set.GetOrCreateCounter(series(name, labels))
}

// Gauge registers a gauge that is read when the metrics are written.
func (set *Set) Gauge(name Name, read func() float64, labels ...string) {
	set.set.GetOrCreateGauge(series(name, labels), read)
}

// Histogram returns the histogram of a metric, in seconds.
func (set *Set) Histogram(name Name, labels ...string) *metrics.Histogram {
	return set.set.GetOrCreateHistogram(series(name, labels))
}

// Write writes all values, and those of the process, in the text format of Prometheus.
func (set *Set) Write(writer io.Writer) {
	set.set.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}

func series(name Name, labels []string) string {
	_, known := Lookup(name)
	ptassert.That(known, "every metric is in the table", "metric", name)
	if len(labels) == 0 {
		return string(name)
	}
	var text strings.Builder
	text.WriteString(string(name))
	separator := "{"
	for i := 0; i+1 < len(labels); i += 2 {
		text.WriteString(separator + labels[i] + `="` + labels[i+1] + `"`)
		separator = ","
	}
	text.WriteString("}")
	return text.String()
}
