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
	// mostAsked is how many workers one call names: each one costs time, and a job's
	// objective counts one call with as many.
	mostAsked = 30
	// ticketMargin is how much earlier than it lapses a ticket is taken as lapsed: the
	// order must still reach the worker.
	ticketMargin = 200 * time.Millisecond
	// askAgainAfter is when a call that failed is repeated.
	askAgainAfter = 200 * time.Millisecond
)

// RequestAdvice asks an advisor which of some workers may run a step; report the answer
// with [Core.AdviceReceived]. Calls are answered one at a time, so they are made in the order
// of their deadlines.
type RequestAdvice struct {
	Job     Key
	Step    ptrun.StepIndex
	Workers []ptrun.WorkerID
	Queue   ptid.ProfileName
}

func (RequestAdvice) isEffect() {}

// ticket is what an advisor gave for a step and a worker.
type ticket struct {
	text     string
	lapsesAt ptid.Instant
}

// advice is what is known of the workers that may run a step. Which they are does not
// change; only tickets lapse.
type advice struct {
	asking  bool
	askedAt ptid.Instant
	// judged has every worker that was named, with its ticket; nil means that it may not.
	judged map[ptrun.WorkerID]*ticket
}

func (job *Job) advice(step ptrun.StepIndex) (known *advice) {
	if job.advised == nil {
		job.advised = make(map[ptrun.StepIndex]*advice)
	}
	if known = job.advised[step]; known == nil {
		known = &advice{judged: make(map[ptrun.WorkerID]*ticket)}
		job.advised[step] = known
	}
	return known
}

// ticketFor returns the ticket for a task on a worker. allowed is true without one where
// the queue needs none.
func ticketFor(candidate *agent, job *Job, task *ptgraph.Task, now ptid.Instant) (text string, allowed bool) {
	if job.Queue.Advice == nil {
		return "", true
	}
	known := job.advice(task.ID.Step).judged[candidate.state.Worker]
	if known == nil || now >= known.lapsesAt {
		return "", false
	}
	return known.text, true
}

// seekAdvice asks for advice on a step that found no worker. Workers that may run it and
// whose tickets have lapsed are named first, then those that were not named yet, the
// ones with the most room before others.
func (core *Core) seekAdvice(job *Job, task *ptgraph.Task, now ptid.Instant) {
	if job.Queue.Advice == nil {
		return
	}
	known := job.advice(task.ID.Step)
	if known.asking || now.Sub(known.askedAt) < askAgainAfter {
		return
	}
	var lapsed, unnamed []*agent
	for _, candidate := range core.ordered {
		if candidate.service != job.Queue.Service || !core.usableFor(candidate, job, now) || !fits(candidate, job, task) {
			continue
		}
		judged, named := known.judged[candidate.state.Worker]
		switch {
		case !named:
			unnamed = append(unnamed, candidate)
		case judged != nil && now >= judged.lapsesAt:
			lapsed = append(lapsed, candidate)
		}
	}
	slices.SortStableFunc(unnamed, func(left, right *agent) int { return cmp.Compare(right.free().CPU, left.free().CPU) })
	var workers []ptrun.WorkerID
	for _, candidate := range append(lapsed, unnamed...) {
		if len(workers) < mostAsked {
			workers = append(workers, candidate.state.Worker)
		}
	}
	if len(workers) == 0 {
		return
	}
	known.asking, known.askedAt = true, now
	core.emit(RequestAdvice{Job: job.Key(), Step: task.ID.Step, Workers: workers, Queue: job.Queue.Name})
}

// AdviceReceived takes the answer of an advisor: a ticket for each worker that may run the
// step. failed says that there was none.
func (core *Core) AdviceReceived(asked RequestAdvice, tickets map[ptrun.WorkerID]string, failed bool, askedAt, now ptid.Instant) (effects []Effect) {
	job := core.jobs[asked.Job]
	if job == nil {
		return nil
	}
	known := job.advice(asked.Step)
	known.asking = false
	if !failed {
		for _, worker := range asked.Workers {
			known.judged[worker] = nil
			if text, allowed := tickets[worker]; allowed {
				known.judged[worker] = &ticket{text: text, lapsesAt: askedAt.Add(job.Queue.Advice.Valid - ticketMargin)}
			}
		}
		known.askedAt = 0
	}
	core.place(now)
	return core.take()
}

// ticketRefused drops the ticket of a run that its worker has rejected.
func (core *Core) ticketRefused(known *agent, run *sent, end ptrun.End) {
	if run.job.Queue.Advice != nil && end.Result == ptrun.NeverStarted && end.Reason == ptrun.ReasonRejected {
		delete(run.job.advice(end.Run.Task.Step).judged, known.state.Worker)
	}
}
