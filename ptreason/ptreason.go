// Package ptreason defines all reasons that the system reports for a refusal or a
// failure.
//
// The explain command and the operators' reference are generated from [Table]; a test
// asserts that the table is complete.
//
// # Usage
//
//	reason := ptreason.QueueFull
//	description, found := ptreason.Lookup(reason)
package ptreason

// Reason is the machine-readable cause of a refusal or a failure.
type Reason string

// Description documents one reason.
type Description struct {
	Name  Reason
	Title string
	Text  string
	Since string
	// NotRun reports that a task that ended with this reason has not started and never will.
	NotRun bool
}

// Reasons of refusals. Nothing of the refused job, task or attempt has started.
const (
	BadInput             Reason = "badInput"
	UnknownProfile       Reason = "unknownProfile"
	TooManyTasks         Reason = "tooManyTasks"
	TooLarge             Reason = "tooLarge"
	QueueFull            Reason = "queueFull"
	PredictedWait        Reason = "predictedWait"
	NoUpstream           Reason = "noUpstream"
	ShuttingDown         Reason = "shuttingDown"
	NoConfiguration      Reason = "noConfiguration"
	LogUnavailable       Reason = "logUnavailable"
	QuotaZero            Reason = "quotaZero"
	DeadlinePassed       Reason = "deadlinePassed"
	StartDeadline        Reason = "startDeadline"
	Cancelled            Reason = "cancelled"
	Draining             Reason = "draining"
	Sealed               Reason = "sealed"
	SubmissionKeyMissing Reason = "submissionKeyMissing"
	SubmissionDiffers    Reason = "submissionDiffers"
	SiblingFailed        Reason = "siblingFailed"
	RetryBudget          Reason = "retryBudget"
	UnknownJob           Reason = "unknownJob"
)

// Reasons of failures. At least one task of the job has started or may have started.
const (
	UpstreamStatus      Reason = "upstreamStatus"
	UpstreamClosed      Reason = "upstreamClosed"
	UpstreamUnreachable Reason = "upstreamUnreachable"
	RunTimeout          Reason = "runTimeout"
	AnswerTooLarge      Reason = "answerTooLarge"
	AgentLost           Reason = "agentLost"
	JobDeadline         Reason = "jobDeadline"
	OutcomeLost         Reason = "outcomeLost"
	CrashesWorkers      Reason = "crashesWorkers"
)

// Table lists every reason.
var Table = []Description{
	{BadInput, "The request can't be read", "The body is not a job in JSON, or a field has a wrong type or value. The message names the field.", "1.0", true},
	{UnknownProfile, "No profile has this name", "The configuration in force has no profile of that name. Apply the profile, or correct the name in the request.", "1.0", true},
	{TooManyTasks, "The job has too many tasks", "The job has more tasks than the profile's maxTasks.", "1.0", true},
	{TooLarge, "The request is too large", "The request body exceeds the entry's limit (maxBody).", "1.0", true},
	{QueueFull, "The queue is full", "With the job, the entry would hold more waiting tasks of the service than the limit (maxQueued) allows. The Retry-After header says when to try again.", "1.0", true},
	{PredictedWait, "The job would start too late", "At the current rate of answers, the last task would start after the profile's queueFor. Nothing was started.", "1.0", true},
	{NoUpstream, "No upstream can run it", "No active upstream of the profile's service has a session with this entry.", "1.0", true},
	{ShuttingDown, "The entry is shutting down", "The entry completes its open jobs and accepts no new jobs. Submit the job to another entry.", "1.0", true},
	{NoConfiguration, "No configuration yet", "The entry has read no configuration, neither from the log nor from a peer.", "1.0", true},
	{LogUnavailable, "The submission can't be recorded", "The profile records submissions, and the platform's log did not confirm the record in time.", "1.0", true},
	{QuotaZero, "The quota is zero", "maxRunning of the profile or of its team is zero, so the job could never start.", "1.0", true},
	{DeadlinePassed, "The deadline has passed", "The deadline in the request was in the past when the job arrived.", "1.0", true},
	{StartDeadline, "Not started in time", "The task was not started before the profile's queueFor had passed.", "1.0", true},
	{Cancelled, "Cancelled", "The caller cancelled the job or closed its connection.", "1.0", true},
	{Draining, "The upstream is leaving", "The agent accepts no new tasks. The entry places the task on another upstream.", "1.0", true},
	{Sealed, "Sealed", "The entry queried an attempt that the agent had never received. The agent will never start that attempt.", "1.0", true},
	{SubmissionKeyMissing, "No submission key", "The profile records submissions, and the request has no submission key.", "1.0", true},
	{SubmissionDiffers, "The key belongs to another request", "The submission key was used before with another profile or other tasks.", "1.0", true},
	{SiblingFailed, "Another task of the job failed", "A failed task cancels the tasks of its job that have not started.", "1.0", true},
	{RetryBudget, "Too many placements", "Upstreams refused the task more often than the retry budget allows. The task never started.", "1.0", true},
	{UnknownJob, "No such job", "The entry that minted the id does not know the job, or can't be reached.", "1.0", true},
	{UpstreamStatus, "The upstream answered with an error", "The upstream answered with a status other than 2xx.", "1.0", false},
	{UpstreamClosed, "The upstream closed the connection", "The connection ended before the agent had received the complete answer.", "1.0", false},
	{UpstreamUnreachable, "The upstream can't be reached", "The agent could not open a connection to its upstream.", "1.0", false},
	{RunTimeout, "The run took too long", "The task ran longer than the profile's runFor, or past the job's deadline, and was aborted.", "1.0", false},
	{AnswerTooLarge, "The answer is too large", "The answer exceeds the agent's limit (maxAnswer).", "1.0", false},
	{AgentLost, "The agent is gone", "The new incarnation of the agent has no record of the task. The task may have run.", "1.0", false},
	{JobDeadline, "The deadline has passed", "The job did not end before its deadline. Tasks whose result is not known are reported as unknown.", "1.0", false},
	{CrashesWorkers, "The task crashes its workers", "At least two workers crashed while the task was active, once when no other run was active; or four runs were lost with their workers. The job has failed.", "2.0", false},
	{OutcomeLost, "The outcome is lost", "The job was submitted before, and the entry that held its outcome is gone or has deleted the outcome. The job is not run again.", "1.0", false},
}

// Lookup returns the description of a reason.
func Lookup(reason Reason) (description Description, found bool) {
	for _, description := range Table {
		if description.Name == reason {
			return description, true
		}
	}
	return Description{}, false
}
