package ptassign

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// maxWorkersPerCall is how many workers one call names. Each worker adds to the duration
	// of the call, and the objective of a job includes one call with this number of workers.
	maxWorkersPerCall = 30
	// An entry stops using a ticket ticketMargin before the ticket expires, because the start
	// order must reach the worker before the expiry.
	ticketMargin = 200 * time.Millisecond
	// adviceRetryInterval is the least time between two calls for the same step after a failed
	// call.
	adviceRetryInterval = 200 * time.Millisecond
)

// RequestAdvice asks the advisor of a queue which of the listed workers may run a step. Report
// the response with [Core.AdviceReceived]. The advisor answers one call at a time, so make the
// calls in the order of their deadlines.
type RequestAdvice struct {
	Job     Key
	Step    ptrun.StepIndex
	Workers []ptrun.WorkerID
	Queue   ptid.ProfileName
}

func (RequestAdvice) isEffect() {}

// ticket is a permission of an advisor to run a step on a worker.
type ticket struct {
	text      string
	expiresAt ptid.Instant
}

// stepAdvice is what is known about which workers may run a step. An advisor never changes its
// decision on a worker; only tickets expire.
type stepAdvice struct {
	inFlight    bool
	requestedAt ptid.Instant
	// tickets has an element for each worker for which the advisor has decided. The element is
	// the worker's ticket, or nil if the worker may not run the step.
	tickets map[ptrun.WorkerID]*ticket
}

func (job *Job) advice(step ptrun.StepIndex) (advice *stepAdvice) {
	if job.adviceByStep == nil {
		job.adviceByStep = make(map[ptrun.StepIndex]*stepAdvice)
	}
	if advice = job.adviceByStep[step]; advice == nil {
		advice = &stepAdvice{tickets: make(map[ptrun.WorkerID]*ticket)}
		job.adviceByStep[step] = advice
	}
	return advice
}

// ticketFor returns the ticket for a task on a worker and whether the worker may run the
// task. The ticket is empty if the queue has no advisor.
func ticketFor(candidate *agentRecord, job *Job, task *ptgraph.Task, now ptid.Instant) (text string, allowed bool) {
	if job.Queue.Advice == nil {
		return "", true
	}
	issued := job.advice(task.ID.Step).tickets[candidate.state.Worker]
	if issued == nil || now >= issued.expiresAt {
		return "", false
	}
	return issued.text, true
}

// requestAdvice asks the advisor about a step for which no worker was found. The call first
// names workers whose ticket has expired, then workers without a decision, in descending
// order of free CPU.
func (core *Core) requestAdvice(job *Job, task *ptgraph.Task, now ptid.Instant) {
	if job.Queue.Advice == nil {
		return
	}
	advice := job.advice(task.ID.Step)
	if advice.inFlight || now.Sub(advice.requestedAt) < adviceRetryInterval {
		return
	}
	var expired, undecided []*agentRecord
	for _, candidate := range core.sortedAgents {
		if candidate.service != job.Queue.Service || !core.isUsableFor(candidate, job, now) || !meetsConstraints(candidate, job, task) {
			continue
		}
		issued, decided := advice.tickets[candidate.state.Worker]
		switch {
		case !decided:
			undecided = append(undecided, candidate)
		case issued != nil && now >= issued.expiresAt:
			expired = append(expired, candidate)
		}
	}
	slices.SortStableFunc(undecided, func(left, right *agentRecord) int { return cmp.Compare(right.free().CPU, left.free().CPU) })
	var workers []ptrun.WorkerID
	for _, candidate := range append(expired, undecided...) {
		if len(workers) < maxWorkersPerCall {
			workers = append(workers, candidate.state.Worker)
		}
	}
	if len(workers) == 0 {
		return
	}
	advice.inFlight, advice.requestedAt = true, now
	core.emit(RequestAdvice{Job: job.Key(), Step: task.ID.Step, Workers: workers, Queue: job.Queue.Name})
}

// AdviceReceived processes the response of an advisor: a ticket for each worker that may run
// the step. failed is true if there was no response.
func (core *Core) AdviceReceived(request RequestAdvice, tickets map[ptrun.WorkerID]string, failed bool, requestedAt, now ptid.Instant) (effects []Effect) {
	job := core.jobs[request.Job]
	if job == nil {
		return nil
	}
	advice := job.advice(request.Step)
	advice.inFlight = false
	if !failed {
		for _, worker := range request.Workers {
			advice.tickets[worker] = nil
			if text, allowed := tickets[worker]; allowed {
				advice.tickets[worker] = &ticket{text: text, expiresAt: requestedAt.Add(job.Queue.Advice.Valid - ticketMargin)}
			}
		}
		advice.requestedAt = 0
	}
	core.placeWaiting(now)
	return core.takeEffects()
}

// dropRejectedTicket removes the ticket of a run that the worker has rejected.
func (core *Core) dropRejectedTicket(agent *agentRecord, run *placedRun, end ptrun.End) {
	if run.job.Queue.Advice != nil && end.Result == ptrun.NeverStarted && end.Reason == ptrun.ReasonRejected {
		delete(run.job.advice(end.Run.Task.Step).tickets, agent.state.Worker)
	}
}
