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

// Submission is a job as submitted by a caller.
type Submission struct {
	Profile ptid.ProfileName
	// Key is the idempotency key. It is empty if the caller has sent none.
	Key ptid.SubmissionKey
	// Deadline is the deadline that the caller requests; zero means none.
	Deadline    time.Time
	Tasks       []ptjob.Payload
	Traceparent string
}

// RefusalError is the error of a submission that was refused. None of its tasks has started.
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
		description, _ := ptreason.Lookup(reason)
		message = description.Title
	}
	return &RefusalError{Reason: reason, Message: message, RetryAfter: retryAfter}
}

const unavailableRetryAfter = 2 * time.Second

// JobHandle refers to an admitted job. Its outcome is available when Done is closed.
type JobHandle struct {
	entry *Entry
	job   *openJob
}

// JobID returns the ID of the job.
func (handle *JobHandle) JobID() ptid.JobID { return handle.job.ID }

// Done is closed when the job has ended.
func (handle *JobHandle) Done() <-chan struct{} { return handle.job.Done() }

// Outcome returns the outcome of the job, which must have ended.
func (handle *JobHandle) Outcome() ptjob.Outcome { return handle.job.Outcome() }

// Cancel cancels the job.
func (handle *JobHandle) Cancel() { handle.job.service.cancel(handle.job.ID) }

// profile returns the profile of a submission. It refuses the submission if the entry can't
// accept jobs or the submission is invalid; it does not check the state of the queue.
func (entry *Entry) profile(submission *Submission) (profile ptprofile.Profile, refusal *RefusalError) {
	state := entry.follower.State()
	if entry.draining.Load() {
		return profile, entry.refuse(ptreason.ShuttingDown, unavailableRetryAfter, "")
	}
	if state.Revision == 0 {
		return profile, entry.refuse(ptreason.NoConfiguration, unavailableRetryAfter, "")
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

// Submit admits a job without claiming its idempotency key. The error is a [*RefusalError].
func (entry *Entry) Submit(submission *Submission) (handle *JobHandle, err error) {
	profile, refusal := entry.profile(submission)
	if refusal != nil {
		return nil, refusal
	}
	return entry.admit(entry.newJob(submission, profile))
}

func (entry *Entry) newJob(submission *Submission, profile ptprofile.Profile) *openJob {
	now := entry.deps.Clock.Now()
	id := ptid.NewJobID(entry.setting.Name, entry.incarnation, entry.sequence.Add(1))
	startBy := now.Add(profile.QueueTimeout)
	deadline := startBy.Add(profile.RunTimeout)
	if !submission.Deadline.IsZero() {
		deadline = min(deadline, entry.deps.Clock.FromTime(submission.Deadline))
		startBy = min(startBy, deadline)
	}
	return &openJob{
		Job: ptjob.New(ptjob.Spec{
			ID: id, Profile: profile, Tasks: submission.Tasks, SubmittedAt: now,
			StartBy: startBy, Deadline: deadline, Traceparent: submission.Traceparent,
		}),
	}
}

// admit submits a job to the scheduler of its service and starts the timer of its start
// deadline.
func (entry *Entry) admit(job *openJob) (handle *JobHandle, err error) {
	now := entry.deps.Clock.Now()
	job.service = entry.service(job.Profile.Service)
	job.timer = time.AfterFunc(job.StartBy.Sub(now), func() {
		job.service.startDeadlinePassed(job.ID)
		entry.armDeadline(job)
	})
	if refusal := job.service.submit(job); refusal.Reason != "" {
		job.timer.Stop()
		return nil, entry.refuse(refusal.Reason, refusal.RetryAfter, "")
	}
	if !entry.limiter.Allows(job.Profile.Name, job.Profile.Team) {
		entry.sendClaims()
	}
	return &JobHandle{entry: entry, job: job}, nil
}

// armDeadline starts the timer of the job's deadline. It is called at the start deadline.
func (entry *Entry) armDeadline(job *openJob) {
	select {
	case <-job.Done():
		return
	default:
	}
	wait := max(0, job.Deadline.Sub(entry.deps.Clock.Now()))
	deadline := time.AfterFunc(wait, func() { job.service.deadlinePassed(job.ID) })
	go func() {
		<-job.Done()
		deadline.Stop()
	}()
}

// ErrUnknownJob means that no reachable entry knows a job.
var ErrUnknownJob = errors.New("no such job")
