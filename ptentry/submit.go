package ptentry

import (
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjob"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptreason"
)

// Submission is what a caller asks for.
type Submission struct {
	Profile ptid.ProfileName
	Key     ptid.SubmissionKey
	// Deadline is the caller's own; zero means none.
	Deadline    time.Time
	Tasks       []ptjob.Payload
	Traceparent string
}

// RefusalError is the error of a submission that was refused: nothing has started.
type RefusalError struct {
	Reason     ptreason.Reason
	Message    string
	RetryAfter time.Duration
}

// Error implements error.
func (refusal *RefusalError) Error() string {
	return "not run: " + string(refusal.Reason) + ": " + refusal.Message
}

func (entry *Entry) refuse(reason ptreason.Reason, retryAfter time.Duration, message string) *RefusalError {
	entry.deps.Metrics.Counter(ptmetric.Refusals, "reason", string(reason)).Inc()
	if message == "" {
		known, _ := ptreason.Lookup(reason)
		message = known.Title
	}
	return &RefusalError{Reason: reason, Message: message, RetryAfter: retryAfter}
}

const unavailableRetry = 2 * time.Second

// JobHandle is an accepted submission: the caller waits for Done.
type JobHandle struct {
	entry *Entry
	job   *heldJob
}

// JobID returns the id of the job.
func (ticket *JobHandle) JobID() ptid.JobID { return ticket.job.ID }

// Done is closed when the job has ended.
func (ticket *JobHandle) Done() <-chan struct{} { return ticket.job.Done() }

// Outcome returns the end of the job; it must have ended.
func (ticket *JobHandle) Outcome() ptjob.Outcome { return ticket.job.Outcome() }

// Cancel withdraws the job.
func (ticket *JobHandle) Cancel() { ticket.job.service.cancel(ticket.job.ID) }

// profile returns the profile of a submission after the checks that need no queue.
func (entry *Entry) profile(submission *Submission) (profile ptprofile.Profile, refusal *RefusalError) {
	state := entry.follower.State()
	if entry.draining.Load() {
		return profile, entry.refuse(ptreason.ShuttingDown, unavailableRetry, "")
	}
	if state.Revision == 0 {
		return profile, entry.refuse(ptreason.NoConfiguration, unavailableRetry, "")
	}
	profile, known := state.Profiles[submission.Profile]
	switch {
	case !known:
		return profile, entry.refuse(ptreason.UnknownProfile, 0, "no profile is named "+string(submission.Profile))
	case len(submission.Tasks) == 0:
		return profile, entry.refuse(ptreason.BadInput, 0, "tasks: at least one is needed")
	case len(submission.Tasks) > profile.MaxTasks:
		return profile, entry.refuse(ptreason.TooManyTasks, 0, "")
	case !submission.Deadline.IsZero() && !submission.Deadline.After(time.Now()):
		return profile, entry.refuse(ptreason.DeadlinePassed, 0, "")
	case profile.Submissions == ptprofile.SubmissionsRecorded && submission.Key == "":
		return profile, entry.refuse(ptreason.SubmissionKeyMissing, 0, "")
	default:
		return profile, nil
	}
}

// Submit takes a job in. The error is a [*RefusalError].
func (entry *Entry) Submit(submission *Submission) (ticket *JobHandle, err error) {
	profile, refusal := entry.profile(submission)
	if refusal != nil {
		return nil, refusal
	}
	return entry.admit(entry.newJob(submission, profile))
}

func (entry *Entry) newJob(submission *Submission, profile ptprofile.Profile) *heldJob {
	now := entry.deps.Clock.Now()
	id := ptid.NewJobID(entry.setting.Name, entry.incarnation, entry.sequence.Add(1))
	startBy := now.Add(profile.QueueTimeout)
	deadline := startBy.Add(profile.RunTimeout)
	if !submission.Deadline.IsZero() {
		deadline = min(deadline, entry.deps.Clock.FromTime(submission.Deadline))
		startBy = min(startBy, deadline)
	}
	return &heldJob{
		Job: ptjob.New(ptjob.Spec{
			ID: id, Profile: profile, Tasks: submission.Tasks, SubmittedAt: now,
			StartBy: startBy, Deadline: deadline, Traceparent: submission.Traceparent,
		}),
	}
}

// admit gives a job to its service.
func (entry *Entry) admit(job *heldJob) (ticket *JobHandle, err error) {
	now := entry.deps.Clock.Now()
	job.service = entry.service(job.Profile.Service)
	job.timer = time.AfterFunc(job.StartBy.Sub(now), func() {
		job.service.startDeadline(job.ID)
		entry.armDeadline(job)
	})
	if refusal := job.service.submit(job); refusal.Reason != "" {
		job.timer.Stop()
		return nil, entry.refuse(refusal.Reason, refusal.RetryAfter, "")
	}
	if !entry.ledger.Allows(job.Profile.Name, job.Profile.Team) {
		entry.sendClaims()
	}
	return &JobHandle{entry: entry, job: job}, nil
}

// armDeadline waits for the job's deadline after its start deadline has passed.
func (entry *Entry) armDeadline(job *heldJob) {
	select {
	case <-job.Done():
		return
	default:
	}
	wait := max(0, job.Deadline.Sub(entry.deps.Clock.Now()))
	deadline := time.AfterFunc(wait, func() { job.service.deadline(job.ID) })
	go func() {
		<-job.Done()
		deadline.Stop()
	}()
}

// ErrUnknownJob says that nobody knows a job.
var ErrUnknownJob = errors.New("no such job")
