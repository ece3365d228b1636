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
		if now.Sub(at) > ptclaim.KeyRetention {
			delete(memory.jobs, id)
		}
	}
}

// claimingJobs knows the jobs whose claim has been made and whose fate is not decided
// yet. Who is told by the log that such a job holds a key may ask for it before it has
// been admitted, and waits here.
type claimingJobs struct {
	mu   sync.Mutex
	jobs map[ptid.JobID]chan struct{}
}

// begin records a job and returns the call that tells that it is decided.
func (claiming *claimingJobs) begin(id ptid.JobID) (decided func()) {
	claiming.mu.Lock()
	defer claiming.mu.Unlock()
	if claiming.jobs == nil {
		claiming.jobs = make(map[ptid.JobID]chan struct{})
	}
	done := make(chan struct{})
	claiming.jobs[id] = done
	return func() {
		claiming.mu.Lock()
		defer claiming.mu.Unlock()
		delete(claiming.jobs, id)
		close(done)
	}
}

// wait returns when a job's fate is decided, or when ctx ends.
func (claiming *claimingJobs) wait(ctx context.Context, id ptid.JobID) {
	claiming.mu.Lock()
	done := claiming.jobs[id]
	claiming.mu.Unlock()
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (entry *Entry) neverRan(id ptid.JobID) bool { return entry.notRun.has(id) }

// SubmitResult is what became of a submission: either a job of this entry or, for a key
// that was used before, the report of the job that holds it.
type SubmitResult struct {
	Handle   *JobHandle
	JobID    ptid.JobID
	Existing *JobStatus
}

// SubmitDeduplicated takes in a submission of any profile. For one that records
// submissions it returns once the key's holder is known and, where that is another
// job, has ended. The error is a [*RefusalError].
func (entry *Entry) SubmitDeduplicated(ctx context.Context, submission *Submission) (result SubmitResult, err error) {
	profile, refusal := entry.profile(submission)
	if refusal != nil {
		return SubmitResult{}, refusal
	}
	if profile.Submissions != ptprofile.SubmissionsRecorded {
		ticket, err := entry.admit(entry.newJob(submission, profile))
		if err != nil {
			return SubmitResult{}, err
		}
		return SubmitResult{Handle: ticket, JobID: ticket.JobID()}, nil
	}
	return entry.claimAndRun(ctx, submission, profile)
}

// claimAndRun claims the key, and runs the job only as the first holder.
func (entry *Entry) claimAndRun(ctx context.Context, submission *Submission, profile ptprofile.Profile) (result SubmitResult, err error) {
	claim := ptclaim.Claim{
		Key:     ptclaim.FingerprintOf([]byte(profile.Name), []byte(submission.Key)),
		Request: requestFingerprint(submission),
	}
	for range mostSupersedes {
		job := entry.newJob(submission, profile)
		claim.Job = job.ID
		holder, result, err := entry.claimJob(ctx, claim, job)
		if err != nil || holder.Job == job.ID {
			return result, err
		}
		if holder.Request != claim.Request {
			return SubmitResult{}, entry.refuse(ptreason.SubmissionDiffers, 0, "")
		}
		entry.learnOwner(holder)
		report, err := entry.QueryJob(ctx, holder.Job, false, true)
		switch {
		case err != nil:
			entry.deps.Log.Info("the outcome of an earlier submission is lost", "job", holder.Job, "error", err.Error())
			return earlier(holder.Job, lostReport(len(submission.Tasks))), nil
		case report.Outcome.Result == ptjob.ResultComplete && !report.AnswersRetained:
			return earlier(holder.Job, lostReport(len(submission.Tasks))), nil
		case !report.Ended:
			return earlier(holder.Job, lostReport(len(submission.Tasks))), nil
		case report.Outcome.Result != ptjob.ResultNotRun:
			return earlier(holder.Job, report), nil
		}
		claim.Supersedes = holder.Job
	}
	return SubmitResult{}, entry.refuse(ptreason.LogUnavailable, unavailableRetry, "")
}

// claimJob claims a key for a job, and admits the job where it is the first holder.
// Until it returns, whoever asks for the job waits.
func (entry *Entry) claimJob(ctx context.Context, claim ptclaim.Claim, job *heldJob) (holder ptclaim.Holder, result SubmitResult, err error) {
	defer entry.claiming.begin(job.ID)()
	holder, err = entry.claims.Claim(ctx, claim)
	switch {
	case err != nil:
		entry.notRun.add(job.ID)
		return holder, SubmitResult{}, entry.refuse(ptreason.LogUnavailable, unavailableRetry, "")
	case holder.Job == job.ID:
		result, err = entry.runClaimed(job)
	}
	return holder, result, err
}

// learnOwner takes the address of a job's owner from its claim, which is certain to be
// there when the job is asked for, whatever else the entries know of each other.
func (entry *Entry) learnOwner(holder ptclaim.Holder) {
	if holder.Address != entry.setting.AgentsListen {
		entry.peers.learn(holder.Address)
	}
}

func (entry *Entry) runClaimed(job *heldJob) (result SubmitResult, err error) {
	// The waits of the profile count from before the claim: a slow log costs the
	// caller nothing beyond its deadline.
	ticket, err := entry.admit(job)
	if err != nil {
		entry.notRun.add(job.ID)
		return SubmitResult{}, err
	}
	return SubmitResult{Handle: ticket, JobID: ticket.JobID()}, nil
}

func earlier(job ptid.JobID, report JobStatus) SubmitResult {
	return SubmitResult{JobID: job, Existing: &report}
}

// lostReport says of a submission that was made before that nobody knows its end.
func lostReport(tasks int) (report JobStatus) {
	report = JobStatus{Ended: true, AnswersRetained: true, Outcome: ptjob.Outcome{Result: ptjob.ResultFailed, Reason: ptreason.OutcomeLost}}
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

// AsRefusal returns the refusal that an error of Submit is.
func AsRefusal(err error) (refusal *RefusalError) {
	errors.As(err, &refusal)
	return refusal
}
