// Package ptreason is the table of every reason that the system gives for a
// refusal or a failure.
//
// Help, the explain command and the operators' reference are made from this
// table; a test asserts that it is complete.
//
// # Usage
//
//	reason := ptreason.QueueFull
//	entry, found := ptreason.Lookup(reason)
package ptreason

// Reason is the machine-readable cause of a refusal or a failure.
type Reason string

// Description documents one reason.
type Description struct {
	Name   Reason
	Title  string
	Text   string
	Since  string
	NotRun bool
}

// Reasons of refusals: nothing of the job was started.
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

// Reasons of failures: something of the job has started, or may have.
const (
	UpstreamStatus      Reason = "upstreamStatus"
	UpstreamClosed      Reason = "upstreamClosed"
	UpstreamUnreachable Reason = "upstreamUnreachable"
	RunTimeout          Reason = "runTimeout"
	AnswerTooLarge      Reason = "answerTooLarge"
	AgentLost           Reason = "agentLost"
	JobDeadline         Reason = "jobDeadline"
	OutcomeLost         Reason = "outcomeLost"
)

// Table lists every reason.
var Table = []Description{
	{BadInput, "The request can't be read", "The body is not the JSON that the interface asks for, or a field has a wrong type or value. The message names it.", "1.0", true},
	{UnknownProfile, "No profile has this name", "The configuration in force has no profile of that name. Apply it, or correct the name.", "1.0", true},
	{TooManyTasks, "The job has too many tasks", "The job has more tasks than the profile's maxTasks.", "1.0", true},
	{TooLarge, "The request is too large", "The body passes the entry's limit (maxBody).", "1.0", true},
	{QueueFull, "The queue is full", "The entry holds as many waiting tasks as its bound (maxQueued) allows. Retry-After says when to try again.", "1.0", true},
	{PredictedWait, "The job would start too late", "At the present rate of answers the last task would start after the profile's queueFor. Nothing was started.", "1.0", true},
	{NoUpstream, "No upstream can run it", "No active upstream of the profile's service has a session with this entry.", "1.0", true},
	{ShuttingDown, "The entry is shutting down", "The entry finishes the jobs that it holds and takes no new ones. Another entry will.", "1.0", true},
	{NoConfiguration, "No configuration yet", "The entry has read no configuration, neither from the log nor from a peer.", "1.0", true},
	{LogUnavailable, "The submission can't be recorded", "The profile records submissions, and the platform's log did not confirm the record in time.", "1.0", true},
	{QuotaZero, "The quota is zero", "maxRunning of the profile or of its team is zero, so the job could never start.", "1.0", true},
	{DeadlinePassed, "The deadline has passed", "The job's own deadline lay in the past when it arrived.", "1.0", true},
	{StartDeadline, "Not started in time", "The task was not started before the profile's queueFor had passed.", "1.0", true},
	{Cancelled, "Cancelled", "The caller cancelled the job or went away.", "1.0", true},
	{Draining, "The upstream is leaving", "The agent takes no new task. The entry places it elsewhere.", "1.0", true},
	{Sealed, "Sealed", "The entry asked what became of a task; the agent had never seen it and will never start that attempt.", "1.0", true},
	{SubmissionKeyMissing, "No submission key", "The profile records submissions, and the request has no submission key.", "1.0", true},
	{SubmissionDiffers, "The key belongs to another request", "The submission key was used before with another profile or other tasks.", "1.0", true},
	{SiblingFailed, "Another task of the job failed", "A failed task cancels the tasks of its job that have not started.", "1.0", true},
	{RetryBudget, "Too many placements", "The task was refused by upstreams more often than the retry budget allows. It never started.", "1.0", true},
	{UnknownJob, "No such job", "The entry that minted the id does not know the job, or can't be reached.", "1.0", true},
	{UpstreamStatus, "The upstream answered with an error", "The upstream answered with a status other than 2xx.", "1.0", false},
	{UpstreamClosed, "The upstream closed the connection", "The connection ended before the whole answer had come.", "1.0", false},
	{UpstreamUnreachable, "The upstream can't be reached", "The agent could not open a connection to its upstream.", "1.0", false},
	{RunTimeout, "The run took too long", "The task ran longer than the profile's runFor, or past the job's deadline, and was cut off.", "1.0", false},
	{AnswerTooLarge, "The answer is too large", "The answer passes the agent's limit (maxAnswer).", "1.0", false},
	{AgentLost, "The agent is gone", "A new incarnation of the agent knows nothing of the task; it may have run.", "1.0", false},
	{JobDeadline, "The deadline has passed", "The job did not end before its deadline. Tasks whose end is not known are shown as unknown.", "1.0", false},
	{OutcomeLost, "The outcome is lost", "The submission was made before, and the entry that holds its outcome is gone or has forgotten it. It is not run again.", "1.0", false},
}

// Lookup returns the entry of a reason.
func Lookup(reason Reason) (entry Description, found bool) {
	for _, entry := range Table {
		if entry.Name == reason {
			return entry, true
		}
	}
	return Description{}, false
}
