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

// maxSupersedeAttempts bounds how often a submission tries to supersede a claim whose job has
// not run. An attempt fails if a concurrent submission of the same key has superseded the claim.
const maxSupersedeAttempts = 4

// notRunJobs holds the jobs of this incarnation that will never run, because their claim was
// not confirmed or they were refused after the claim. Every job ID contains the incarnation that
// created the job. The entry reports a job as not run only if the job is in this set. Jobs are
// removed after [ptclaim.KeyRetention].
type notRunJobs struct {
	mu   sync.Mutex
	jobs map[ptid.JobID]time.Time
}

func (notRun *notRunJobs) add(id ptid.JobID) {
	notRun.mu.Lock()
	defer notRun.mu.Unlock()
	if notRun.jobs == nil {
		notRun.jobs = make(map[ptid.JobID]time.Time)
	}
	notRun.jobs[id] = time.Now()
}

func (notRun *notRunJobs) contains(id ptid.JobID) bool {
	notRun.mu.Lock()
	defer notRun.mu.Unlock()
	_, found := notRun.jobs[id]
	return found
}

func (notRun *notRunJobs) expire(now time.Time) {
	notRun.mu.Lock()
	defer notRun.mu.Unlock()
	for id, addedAt := range notRun.jobs {
		if now.Sub(addedAt) > ptclaim.KeyRetention {
			delete(notRun.jobs, id)
		}
	}
}

// pendingClaims holds the jobs whose claim is in progress, so that it is not yet decided whether
// the job is admitted. Another entry can read the claim in the log and query the job before this
// decision. Such a query waits for the decision.
type pendingClaims struct {
	mu   sync.Mutex
	jobs map[ptid.JobID]chan struct{}
}

// begin adds a job. The caller must call the returned function when it is decided whether the job
// is admitted.
func (pending *pendingClaims) begin(id ptid.JobID) (decided func()) {
	pending.mu.Lock()
	defer pending.mu.Unlock()
	if pending.jobs == nil {
		pending.jobs = make(map[ptid.JobID]chan struct{})
	}
	done := make(chan struct{})
	pending.jobs[id] = done
	return func() {
		pending.mu.Lock()
		defer pending.mu.Unlock()
		delete(pending.jobs, id)
		close(done)
	}
}

// wait returns when it is decided whether the job is admitted, or when ctx is done. It returns at
// once if the job has no pending claim.
func (pending *pendingClaims) wait(ctx context.Context, id ptid.JobID) {
	pending.mu.Lock()
	done := pending.jobs[id]
	pending.mu.Unlock()
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (entry *Entry) neverRan(id ptid.JobID) bool { return entry.notRunJobs.contains(id) }

// SubmitResult is the result of a submission: either an admitted job of this entry, or the
// status of the job that already holds the idempotency key.
type SubmitResult struct {
	Handle   *JobHandle
	JobID    ptid.JobID
	Existing *JobStatus
}

// SubmitDeduplicated submits a job. If the profile records submissions, SubmitDeduplicated first
// claims the idempotency key of the submission. If an earlier job with the same request holds the
// key, SubmitDeduplicated waits for the end of the earlier job and returns its status. If the
// earlier job has not run, the new job replaces it as the holder of the key. The error is a
// [*RefusalError].
func (entry *Entry) SubmitDeduplicated(ctx context.Context, submission *Submission) (result SubmitResult, err error) {
	profile, refusal := entry.profile(submission)
	if refusal != nil {
		return SubmitResult{}, refusal
	}
	if profile.Submissions != ptprofile.SubmissionsRecorded {
		handle, err := entry.admit(entry.newJob(submission, profile))
		if err != nil {
			return SubmitResult{}, err
		}
		return SubmitResult{Handle: handle, JobID: handle.JobID()}, nil
	}
	return entry.claimAndRun(ctx, submission, profile)
}

// claimAndRun claims the idempotency key for a new job. It admits the new job only if no earlier
// job holds the key, or if the new job supersedes an earlier job that holds the key and has not
// run.
func (entry *Entry) claimAndRun(ctx context.Context, submission *Submission, profile ptprofile.Profile) (result SubmitResult, err error) {
	claim := ptclaim.Claim{
		Key:     ptclaim.FingerprintOf([]byte(profile.Name), []byte(submission.Key)),
		Request: requestFingerprint(submission),
	}
	for range maxSupersedeAttempts {
		job := entry.newJob(submission, profile)
		claim.Job = job.ID
		holder, result, err := entry.claimJob(ctx, claim, job)
		if err != nil || holder.Job == job.ID {
			return result, err
		}
		if holder.Request != claim.Request {
			return SubmitResult{}, entry.refuse(ptreason.SubmissionDiffers, 0, "")
		}
		entry.addOwnerAddress(holder)
		status, err := entry.QueryJob(ctx, holder.Job, false, true)
		switch {
		case err != nil:
			entry.deps.Log.Info("outcome of an earlier submission can't be queried", "job", holder.Job, "error", err.Error())
			return existingJob(holder.Job, lostStatus(len(submission.Tasks))), nil
		case status.Outcome.Result == ptjob.ResultComplete && !status.AnswersRetained:
			return existingJob(holder.Job, lostStatus(len(submission.Tasks))), nil
		case !status.Ended:
			return existingJob(holder.Job, lostStatus(len(submission.Tasks))), nil
		case status.Outcome.Result != ptjob.ResultNotRun:
			return existingJob(holder.Job, status), nil
		}
		claim.Supersedes = holder.Job
	}
	return SubmitResult{}, entry.refuse(ptreason.LogUnavailable, unavailableRetryAfter, "")
}

// claimJob claims an idempotency key for a job, and admits the job if it is the first holder.
// Queries for the job wait until claimJob returns.
func (entry *Entry) claimJob(ctx context.Context, claim ptclaim.Claim, job *openJob) (holder ptclaim.Holder, result SubmitResult, err error) {
	defer entry.pendingClaims.begin(job.ID)()
	holder, err = entry.claimer.Claim(ctx, claim)
	switch {
	case err != nil:
		entry.notRunJobs.add(job.ID)
		return holder, SubmitResult{}, entry.refuse(ptreason.LogUnavailable, unavailableRetryAfter, "")
	case holder.Job == job.ID:
		result, err = entry.admitClaimed(job)
	}
	return holder, result, err
}

// addOwnerAddress adds the address of a job's owner to the peer directory. The address is taken
// from the claim, so the owner can be queried even if the entries have not discovered each
// other yet.
func (entry *Entry) addOwnerAddress(holder ptclaim.Holder) {
	if holder.Address != entry.setting.AgentsListen {
		entry.peers.addAddresses(holder.Address)
	}
}

func (entry *Entry) admitClaimed(job *openJob) (result SubmitResult, err error) {
	// The deadlines of the job were set before the claim, and the duration of the claim does not
	// extend them. The caller therefore does not wait longer if the log service is slow.
	handle, err := entry.admit(job)
	if err != nil {
		entry.notRunJobs.add(job.ID)
		return SubmitResult{}, err
	}
	return SubmitResult{Handle: handle, JobID: handle.JobID()}, nil
}

func existingJob(job ptid.JobID, status JobStatus) SubmitResult {
	return SubmitResult{JobID: job, Existing: &status}
}

// lostStatus returns the status that is reported for an earlier submission if its outcome is
// unknown or its answers are no longer retained.
func lostStatus(tasks int) (status JobStatus) {
	status = JobStatus{Ended: true, AnswersRetained: true, Outcome: ptjob.Outcome{Result: ptjob.ResultFailed, Reason: ptreason.OutcomeLost}}
	for range tasks {
		status.Outcome.Tasks = append(status.Outcome.Tasks, ptjob.TaskReport{State: ptjob.Unknown, Reason: ptreason.OutcomeLost})
	}
	return status
}

func requestFingerprint(submission *Submission) ptclaim.Fingerprint {
	fields := make([][]byte, 0, 1+2*len(submission.Tasks))
	fields = append(fields, []byte(submission.Profile))
	for _, task := range submission.Tasks {
		fields = append(fields, []byte(task.ContentType), task.Data)
	}
	return ptclaim.FingerprintOf(fields...)
}

// AsRefusal returns the [*RefusalError] in the chain of an error of Submit.
func AsRefusal(err error) (refusal *RefusalError) {
	errors.As(err, &refusal)
	return refusal
}
