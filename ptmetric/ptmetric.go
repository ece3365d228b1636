// Package ptmetric defines all metrics that the processes of the system export, and
// the set that holds the values of one process.
//
// # Usage
//
//	set := ptmetric.New()
//	set.Counter(ptmetric.TaskMessages, "kind", "dispatch").Inc()
//	set.Write(writer)
//
// # Rules
//
//  1. Every metric must be listed in [Table]: a [Set] asserts that it is. The explain
//     command and the reference page are generated from the table and are therefore
//     complete.
//  2. Callers look up a counter once and keep it, so that processing a task needs no
//     lookup.
package ptmetric

import (
	"io"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosetiller/primrosetiller/ptassert"
)

// Name is the name of a metric, without its labels.
type Name string

// Names of all metrics.
const (
	TaskMessages         Name = "primrosetiller_task_messages_total"
	WastedMessages       Name = "primrosetiller_wasted_messages_total"
	ControlMessages      Name = "primrosetiller_control_messages_total"
	Jobs                 Name = "primrosetiller_jobs_total"
	Refusals             Name = "primrosetiller_refused_jobs_total"
	Tasks                Name = "primrosetiller_tasks_total"
	Starts               Name = "primrosetiller_starts_total"
	QueuedTasks          Name = "primrosetiller_queued_tasks"
	SentTasks            Name = "primrosetiller_sent_tasks"
	OpenJobs             Name = "primrosetiller_open_jobs"
	Sessions             Name = "primrosetiller_sessions"
	SessionEnds          Name = "primrosetiller_session_ends_total"
	Slots                Name = "primrosetiller_slots"
	BusySlots            Name = "primrosetiller_busy_slots"
	BacklogTasks         Name = "primrosetiller_backlog_tasks"
	StartRecords         Name = "primrosetiller_start_records"
	KeptAnswers          Name = "primrosetiller_kept_answers"
	Revision             Name = "primrosetiller_configuration_revision"
	LogErrors            Name = "primrosetiller_log_errors_total"
	Claims               Name = "primrosetiller_claims_total"
	Quarantined          Name = "primrosetiller_quarantined_upstreams"
	Retries              Name = "primrosetiller_replacements_total"
	BrokenInvariants     Name = "primrosetiller_broken_invariants_total"
	QueueSeconds         Name = "primrosetiller_queue_seconds"
	RunSeconds           Name = "primrosetiller_run_seconds"
	LateFrames           Name = "primrosetiller_late_messages_total"
	SessionBytes         Name = "primrosetiller_session_bytes_total"
	RunOrders            Name = "primrosetiller_run_orders_total"
	RunEnds              Name = "primrosetiller_run_ends_total"
	WaitingJobs          Name = "primrosetiller_waiting_jobs"
	WaitingRuns          Name = "primrosetiller_waiting_runs"
	HoldingRuns          Name = "primrosetiller_holding_runs"
	UnaccountedRuns      Name = "primrosetiller_unaccounted_runs"
	TasksGivenUp         Name = "primrosetiller_tasks_given_up_total"
	RejectedEnds         Name = "primrosetiller_rejected_ends_total"
	IncompleteRecoveries Name = "primrosetiller_incomplete_recoveries_total"
	WorkerCrashes        Name = "primrosetiller_worker_crashes_total"
	Stragglers           Name = "primrosetiller_stragglers_stopped_total"
	WorkerSpeed          Name = "primrosetiller_worker_speed"
	JobSeconds           Name = "primrosetiller_job_seconds"
	StoreCalls           Name = "primrosetiller_store_calls_total"
	EvacuatedZones       Name = "primrosetiller_evacuated_zones"
	EvacuationAge        Name = "primrosetiller_evacuation_age_seconds"
	NearWaits            Name = "primrosetiller_near_waits_total"
	NearWaitsPaid        Name = "primrosetiller_near_waits_paid_total"
	FarPlacements        Name = "primrosetiller_far_placements_total"
	AbandonedJobs        Name = "primrosetiller_abandoned_jobs_total"

	IntakeRefusals    Name = "primrosetiller_intake_refusals_total"
	IntakeConnections Name = "primrosetiller_intake_connections"
	IntakeBytes       Name = "primrosetiller_intake_bytes"
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
	{TaskMessages, "Task messages", "Messages about tasks between the processes of the system, by kind: dispatch, answer, refusal, seal, demand, grant, recall, cancel. Counted by the entry, in both directions.", "1.0"},
	{WastedMessages, "Wasted messages", "Task messages that did not advance a task, by kind: refused dispatches and their refusals, seals, recalls, cancels, late or repeated answers.", "1.0"},
	{ControlMessages, "Control messages", "Frames that carry no task message, by kind: acknowledgement, heartbeat, greeting, configuration. Counted by the entry, in both directions.", "1.0"},
	{Jobs, "Ended jobs", "Jobs that ended, by outcome: complete, failed, notRun.", "1.0"},
	{Refusals, "Refused jobs", "Jobs refused on submission, by reason.", "1.0"},
	{Tasks, "Ended tasks", "Tasks that ended, by state: answered, failed, notRun, unknown.", "1.0"},
	{Starts, "Started tasks", "Tasks that this agent has started.", "1.0"},
	{QueuedTasks, "Queued tasks", "Tasks that wait in this entry's queue for a lease.", "1.0"},
	{SentTasks, "Sent tasks", "Tasks that this entry has sent to an agent and whose result it has not received yet.", "1.0"},
	{OpenJobs, "Open jobs", "Jobs of this entry that have not ended.", "1.0"},
	{Sessions, "Sessions", "Open sessions between this process and agents or entries.", "1.0"},
	{SessionEnds, "Ended sessions", "Sessions that ended, by cause: silent (acknowledgement timeout), lapsed (receive timeout), closed, replaced.", "1.0"},
	{Slots, "Slots", "Slots of the upstreams known to this process, by service.", "1.0"},
	{BusySlots, "Busy slots", "Slots of this agent's upstream that run a task.", "1.0"},
	{BacklogTasks, "Tasks queued at the agent", "Tasks that wait in this agent's queue for a slot.", "1.0"},
	{StartRecords, "Start records", "Records in this agent's start table.", "1.0"},
	{KeptAnswers, "Retained answers", "Answers that this agent retains until an entry has acknowledged them.", "1.0"},
	{Revision, "Revision", "Revision of the configuration in force in this process.", "1.0"},
	{LogErrors, "Errors of the platform's log", "Failed calls to the platform's log, by operation: append, read.", "1.0"},
	{Claims, "Claims", "Attempts to claim a submission key in the platform's log for a recorded submission, by result: won, lost, unavailable.", "1.0"},
	{Quarantined, "Quarantined upstreams", "Upstreams on which this entry places no tasks, except one probe task at a time.", "1.0"},
	{Retries, "Repeated placements", "Tasks placed again after it was proved that they had not started.", "1.0"},
	{BrokenInvariants, "Broken invariants", "Invariants that did not hold when the program checked them. Any value above zero is a bug: report it.", "1.0"},
	{QueueSeconds, "Time to dispatch", "Seconds from the arrival of a job to the dispatch of a task.", "1.0"},
	{RunSeconds, "Run time", "Run time of tasks in seconds, measured by the agent.", "1.0"},
	{LateFrames, "Late messages", "Messages that this process dropped because they arrived on an ended session or concern a task that it no longer waits for.", "1.0"},
	{RunOrders, "Run orders", "Orders that this entry has sent to agents to start a run of a task with resource demands.", "2.0"},
	{RunEnds, "Ended runs", "Runs that ended at this agent, by result: done, failed, stopped, lost, neverStarted.", "2.0"},
	{WaitingJobs, "Waiting jobs", "Jobs of this entry with tasks that wait for placement.", "2.0"},
	{WaitingRuns, "Waiting runs", "Runs that wait at this agent for free capacity on its worker.", "2.0"},
	{HoldingRuns, "Runs that hold capacity", "Runs at this agent that hold capacity on its worker, including runs that are being stopped.", "2.0"},
	{WorkerCrashes, "Worker crashes", "Incarnations of this agent's worker that ended without announcing it while runs were active on them.", "2.0"},
	{Stragglers, "Stragglers stopped", "Runs that this agent has stopped because their progress showed that they would take far longer than expected on its worker. Their entries start the tasks again.", "2.2"},
	{WorkerSpeed, "Speed of the worker", "Speed of this agent's worker by its run times, relative to the run times that entries expect on a worker of average speed; 1 until runs were measured.", "2.2"},
	{TasksGivenUp, "Tasks given up", "Tasks that this entry has given up, because they crash their workers. Their jobs have failed.", "2.0"},
	{RejectedEnds, "Ends rejected", "Ends of runs as done that this entry has rejected, because their tasks were placed again. Their workers' leases expire.", "2.1"},
	{IncompleteRecoveries, "Partitions recovered without all agents", "Partitions of durable jobs that this entry has recovered although agents that may have had runs of them did not respond. Tasks of these runs start again, and their ends as done are rejected.", "2.2"},
	{UnaccountedRuns, "Unaccounted runs", "Active runs in the newest listing of this agent's worker that are not in the agent's records: started by an earlier agent process, or declared ended too early.", "2.0"},
	{JobSeconds, "Duration of a job", "Seconds from the arrival of a graph job to its end.", "2.0"},
	{StoreCalls, "Calls to the platform's store", "Calls to the platform's store, by operation and result: done, refused, failed.", "2.0"},
	{EvacuatedZones, "Evacuated zones", "Availability zones that are evacuated, as known to this process.", "2.1"},
	{EvacuationAge, "Age of the evacuation state", "Seconds since the platform's store last confirmed to this entry which availability zones are evacuated, or since the start of the entry.", "2.1"},
	{NearWaits, "Waits for near workers", "Tasks that began to wait for a worker near their data although a far worker had room.", "2.2"},
	{NearWaitsPaid, "Waits that paid", "Tasks that waited for a near worker and were placed on one within the expected time.", "2.2"},
	{FarPlacements, "Far placements", "Tasks that were placed on a far worker because near workers had no room. Counted only for queues whose stretch is below remote-factor.", "2.2"},
	{AbandonedJobs, "Jobs found abandoned", "Jobs of this entry that a check of all callers found without a connected one, before the entry was told of the loss. The entry was paused or short of processor time.", "2.2"},
	{IntakeRefusals, "Refused clients", "Connections and requests refused or closed before anything of them was carried out, by listener and reason: connections (the listener has too many), descriptors (the process has none left), slow (the connection lost its place to another one), memory (the budget is used up), tooLarge (body over the limit), greeting (too many bytes before it).", "2.1"},
	{IntakeConnections, "Bounded connections", "Open connections, by listener. Sessions count until their greeting.", "2.1"},
	{IntakeBytes, "Bytes of open requests", "Bytes of the budget that requests hold which have been read, and that are not decided or whose jobs have not ended.", "2.1"},
	{SessionBytes, "Bytes on sessions", "Bytes on the sessions of this process, by direction: sent, received.", "1.0"},
}

// Lookup returns the description of a metric.
func Lookup(name Name) (description Description, found bool) {
	for _, description := range Table {
		if description.Name == name {
			return description, true
		}
	}
	return Description{}, false
}

// Set holds the metrics of one process.
type Set struct{ registry *metrics.Set }

// New returns a set that has only the gauge of broken invariants.
func New() *Set {
	set := &Set{registry: metrics.NewSet()}
	set.Gauge(BrokenInvariants, func() float64 { return float64(ptassert.FailureCount()) })
	return set
}

// Counter returns the counter of a metric. labels are alternating label names and values.
func (set *Set) Counter(name Name, labels ...string) *metrics.Counter {
	return set.registry.GetOrCreateCounter(series(name, labels))
}

// Gauge registers a gauge whose value is obtained from read when the metrics are written.
func (set *Set) Gauge(name Name, read func() float64, labels ...string) {
	set.registry.GetOrCreateGauge(series(name, labels), read)
}

// Histogram returns the histogram of a metric. Its values are in seconds.
func (set *Set) Histogram(name Name, labels ...string) *metrics.Histogram {
	return set.registry.GetOrCreateHistogram(series(name, labels))
}

// Write writes the metrics of the set and the standard process metrics in the Prometheus
// text format.
func (set *Set) Write(writer io.Writer) {
	set.registry.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}

// series returns the name of a metric with its labels in the Prometheus text format.
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
