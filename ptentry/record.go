package ptentry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptclaim"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjob"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptreason"
)

// mostSupersedes bounds how often a submission tries to take over a key whose
// holder has not run, while others try the same.
const mostSupersedes = 4

// notRunMemory remembers jobs that lost their chance to run: their claim was given
// up or they were refused after it. Only this incarnation mints such ids, so what it
// does not remember it can't vouch for.
type notRunMemory struct {
	mu   sync.Mutex
	jobs map[ptid.JobID]time.Time
}

func (memory *notRunMemory) add(id ptid.JobID) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if memory.jobs == nil {
		memory.jobs = make(map[ptid.JobID]time.Time)
	}
	memory.jobs[id] = time.Now()
}

func (memory *notRunMemory) has(id ptid.JobID) bool {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	_, found := memory.jobs[id]
	return found
}

func (memory *notRunMemory) expire(now time.Time) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	for id, at := range memory.jobs {
		if now.Sub(at) > ptclaim.Window {
			delete(memory.jobs, id)
		}
	}
}

func (entry *Entry) neverRan(id ptid.JobID) bool { return entry.notRun.has(id) }

// Result is what became of a submission: either a job of this entry or, for a key
// that was used before, the report of the job that holds it.
type Result struct {
	Ticket  *Ticket
	Job     ptid.JobID
	Earlier *Report
}

// SubmitRecorded takes in a submission of any profile. For one that records
// submissions it returns once the key's holder is known and, where that is another
// job, has ended. The error is a [*NotRun].
func (entry *Entry) SubmitRecorded(ctx context.Context, submission *Submission) (result Result, err error) {
	profile, refusal := entry.profile(submission)
	if refusal != nil {
		return Result{}, refusal
	}
	if profile.Submissions != ptprofile.Recorded {
		ticket, err := entry.admit(entry.newJob(submission, profile))
		if err != nil {
			return Result{}, err
		}
		return Result{Ticket: ticket, Job: ticket.Job()}, nil
	}
	return entry.claimAndRun(ctx, submission, profile)
}

// claimAndRun claims the key, and runs the job only as the first holder.
func (entry *Entry) claimAndRun(ctx context.Context, submission *Submission, profile ptprofile.Profile) (result Result, err error) {
	claim := ptclaim.Claim{
		Key:     ptclaim.FingerprintOf([]byte(profile.Name), []byte(submission.Key)),
		Request: requestFingerprint(submission),
	}
	for range mostSupersedes {
		job := entry.newJob(submission, profile)
		claim.Job = job.ID
		holder, err := entry.claims.Claim(ctx, claim)
		if err != nil {
			entry.notRun.add(job.ID)
			return Result{}, entry.refuse(ptreason.LogUnavailable, unavailableRetry, "")
		}
		if holder.Job == job.ID {
			return entry.runClaimed(job)
		}
		if holder.Request != claim.Request {
			return Result{}, entry.refuse(ptreason.SubmissionDiffers, 0, "")
		}
		report, err := entry.Ask(ctx, holder.Job, false, true)
		switch {
		case err != nil:
			return earlier(holder.Job, lostReport(len(submission.Tasks))), nil
		case report.Outcome.Result == ptjob.Complete && !report.Whole:
			return earlier(holder.Job, lostReport(len(submission.Tasks))), nil
		case !report.Ended:
			return earlier(holder.Job, lostReport(len(submission.Tasks))), nil
		case report.Outcome.Result != ptjob.NotRunJob:
			return earlier(holder.Job, report), nil
		}
		claim.Supersedes = holder.Job
	}
	return Result{}, entry.refuse(ptreason.LogUnavailable, unavailableRetry, "")
}

func (entry *Entry) runClaimed(job *heldJob) (result Result, err error) {
	// The waits of the profile count from before the claim: a slow log costs the
	// caller nothing beyond its deadline.
	ticket, err := entry.admit(job)
	if err != nil {
		entry.notRun.add(job.ID)
		return Result{}, err
	}
	return Result{Ticket: ticket, Job: ticket.Job()}, nil
}

func earlier(job ptid.JobID, report Report) Result { return Result{Job: job, Earlier: &report} }

// lostReport says of a submission that was made before that nobody knows its end.
func lostReport(tasks int) (report Report) {
	report = Report{Ended: true, Whole: true, Outcome: ptjob.Outcome{Result: ptjob.FailedJob, Reason: ptreason.OutcomeLost}}
	for range tasks {
		report.Outcome.Tasks = append(report.Outcome.Tasks, ptjob.TaskReport{State: ptjob.Unknown, Reason: ptreason.OutcomeLost})
	}
	return report
}

func requestFingerprint(submission *Submission) ptclaim.Fingerprint {
	fields := make([][]byte, 0, 1+2*len(submission.Tasks))
	fields = append(fields, []byte(submission.Profile))
	for _, task := range submission.Tasks {
		fields = append(fields, []byte(task.ContentType), task.Data)
	}
	return ptclaim.FingerprintOf(fields...)
}

// AsNotRun returns the refusal that an error of Submit is.
func AsNotRun(err error) (refusal *NotRun) {
	errors.As(err, &refusal)
	return refusal
}
