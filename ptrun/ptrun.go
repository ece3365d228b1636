// Package ptrun holds the vocabulary of tasks that ask for room on a worker: their
// identities, demands, ends, and the port through which an agent drives its worker.
//
// # How it works
//
//  1. A task is one member of one step of a job; it may be run several times. The
//     runs of a task are numbered, and the number rises.
//  2. A [Demand] is a vector of resources. A worker has a capacity of the same form,
//     and a run holds its demand from the start order until its end is listed.
//  3. A worker is known by [WorkerIdentity]: its id and the moment of its start. A
//     worker with another identity runs nothing of what the former one ran.
//  4. An [Executor] carries orders to one worker. A call without an answer may have
//     been carried out, or may be later: it returns [ErrUnanswered], and the owner
//     finds out by listing.
//
// # Usage
//
//	free := capacity.Minus(held)
//	if free.Holds(order.Demand) { err := executor.Start(ctx, start) }
package ptrun

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
)

type (
	// Number numbers the runs of a task, from one.
	Number uint64
	// Occurrence numbers the repetitions of a timed job, from zero.
	Occurrence uint32
	// StepIndex is the position of a step in its job.
	StepIndex uint32
	// WorkerID is the name of a worker.
	WorkerID string
	// FenceToken orders the agents that drive one worker; a worker ignores lower ones.
	FenceToken uint64
	// EndSequence numbers the ends that one worker lists.
	EndSequence uint64
	// WorkerTime is a moment on a worker's own clock, in milliseconds.
	WorkerTime int64
	// Checkpoint is the state that a run can resume from; empty means none.
	Checkpoint string
	// Millicores are thousandths of a processor core.
	Millicores int64
	// MillicoresPerSecond is a rate at which room is needed or becomes free.
	MillicoresPerSecond float64
	// Mebibytes are units of 2^20 bytes.
	Mebibytes int64
)

// Demand is a vector of resources.
type Demand struct {
	CPU          Millicores `json:"cpuMillicores,omitempty"`
	Memory       Mebibytes  `json:"memoryMebibytes,omitempty"`
	Accelerators int64      `json:"accelerators,omitempty"`
}

// Plus returns the sum of two vectors.
func (demand Demand) Plus(other Demand) Demand {
	return Demand{demand.CPU + other.CPU, demand.Memory + other.Memory, demand.Accelerators + other.Accelerators}
}

// Minus returns the difference of two vectors; components may be negative.
func (demand Demand) Minus(other Demand) Demand {
	return Demand{demand.CPU - other.CPU, demand.Memory - other.Memory, demand.Accelerators - other.Accelerators}
}

// Max returns the larger of each component of two vectors.
func (demand Demand) Max(other Demand) Demand {
	return Demand{max(demand.CPU, other.CPU), max(demand.Memory, other.Memory), max(demand.Accelerators, other.Accelerators)}
}

// Min returns the smaller of each component of two vectors.
func (demand Demand) Min(other Demand) Demand {
	return Demand{min(demand.CPU, other.CPU), min(demand.Memory, other.Memory), min(demand.Accelerators, other.Accelerators)}
}

// Covers reports whether other fits into the vector.
func (demand Demand) Covers(other Demand) bool {
	return other.CPU <= demand.CPU && other.Memory <= demand.Memory && other.Accelerators <= demand.Accelerators
}

// CapacityRequest is what an entry has waiting for want of room.
type CapacityRequest struct {
	// Rate is what must become free for its jobs to start in time; zero means that none
	// waits.
	Rate MillicoresPerSecond
	// MinDemand is the least that one of their tasks asks for of each resource.
	MinDemand Demand
}

// TaskID is the identity of a task for life.
type TaskID struct {
	Job        ptid.JobID
	Occurrence Occurrence
	Step       StepIndex
	Index      ptid.TaskIndex
}

// ID names one run of a task.
type ID struct {
	Task   TaskID
	Number Number
}

// Compare orders runs, so that seeded histories do not depend on the order of a map.
func Compare(left, right ID) int {
	return cmp.Or(
		cmp.Compare(left.Task.Job, right.Task.Job), cmp.Compare(left.Task.Occurrence, right.Task.Occurrence),
		cmp.Compare(left.Task.Step, right.Task.Step), cmp.Compare(left.Task.Index, right.Task.Index),
		cmp.Compare(left.Number, right.Number),
	)
}

// Result says how a run ended.
type Result string

const (
	// Done runs have done their task.
	Done Result = "done"
	// Failed runs ended by a fault of the task or of its worker.
	Failed Result = "failed"
	// Stopped runs were ended by order.
	Stopped Result = "stopped"
	// Lost runs ended with their worker's lease or with their worker.
	Lost Result = "lost"
	// NeverStarted runs have not started and never will.
	NeverStarted Result = "neverStarted"
)

// End is the end of a run.
type End struct {
	Run        ID
	Result     Result
	Reason     Reason
	RunTime    time.Duration
	Checkpoint Checkpoint
}

// Reason says why a run ended as it did, for logs.
type Reason string

// Reasons of ends.
const (
	ReasonNone           Reason = ""
	ReasonNoCapacity     Reason = "noRoom"
	ReasonStartDeadline  Reason = "startDeadline"
	ReasonHigherRunEnded Reason = "higherRunEnded"
	ReasonDraining       Reason = "draining"
	ReasonWorkerAbsent   Reason = "workerAbsent"
	ReasonRejected       Reason = "rejected"
	ReasonUnanswered     Reason = "unanswered"
	ReasonRestarted      Reason = "workerRestarted"
	ReasonLeaseExpired   Reason = "leaseLapsed"
	ReasonOwnerTimeout   Reason = "ownerSilent"
	ReasonStopRequested  Reason = "byOrder"
	ReasonUnknownRun     Reason = "unknownRun"
	ReasonOtherOwner     Reason = "otherOwner"
	ReasonGangIncomplete Reason = "gangIncomplete"
)

// WorkerIdentity tells the lives of a worker apart.
type WorkerIdentity struct {
	ID        WorkerID
	StartedAt time.Time
}

// Worker is what a worker says of itself.
type Worker struct {
	WorkerIdentity
	Service  ptid.ServiceName
	Zone     ptid.Zone
	Capacity Demand
	Labels   []string
	Draining bool
	// Sequence numbers the announcements of one life; older ones are dropped.
	Sequence uint64
}

// Start is the order to start one run.
type Start struct {
	Run        ID
	Spec       string
	StartBy    WorkerTime
	Checkpoint Checkpoint
	// Ticket is what an advisor gave for the step and the worker; empty means none.
	Ticket string
}

// ListedEnd is an end with its number in the worker's list.
type ListedEnd struct {
	Sequence EndSequence
	End      End
}

// ListedRun is a run that a worker says it runs.
type ListedRun struct {
	Run        ID
	Checkpoint Checkpoint
	// Percent is the share at which the run may work; below 100 while it starts up.
	Percent int
	// TailLatency is the tail of the response times of a run that serves users.
	TailLatency time.Duration
}

// Listing is what a worker runs, and which runs have ended.
type Listing struct {
	WorkerStartedAt time.Time
	Clock           WorkerTime
	Active          []ListedRun
	Ends            []ListedEnd
}

// LeaseRenewal renews the lease of everything that a worker runs, and asks for its lists.
type LeaseRenewal struct {
	// ExpiresAt is the end of the lease; zero renews nothing.
	ExpiresAt WorkerTime
	// Acknowledged is the highest end that the worker may forget.
	Acknowledged EndSequence
	// PollTimeout is how long the worker may wait for an end before it answers.
	PollTimeout time.Duration
}

// Errors of an [Executor].
var (
	// ErrUnanswered means that the call may have been carried out, or may be later.
	ErrUnanswered = errors.New("the worker did not answer")
	// ErrNoCapacity means that the run did not start for want of room.
	ErrNoCapacity = errors.New("the worker has no room")
	// ErrHigherRunEnded means that this run or a higher one of the task has ended there.
	ErrHigherRunEnded = errors.New("the run, or a higher one, has ended at the worker")
	// ErrStartDeadlineExceeded means that the start order arrived after its time.
	ErrStartDeadlineExceeded = errors.New("the start order came too late")
	// ErrFenced means that the worker has seen a higher fence token.
	ErrFenced = errors.New("the worker has seen a higher fence token")
	// ErrWorkerMismatch means that another life of the worker answered.
	ErrWorkerMismatch = errors.New("another life of the worker answered")
	// ErrUnhealthy means that the worker refused and has done nothing.
	ErrUnhealthy = errors.New("the worker is unhealthy")
	// ErrRejected means that the worker can't make sense of the order.
	ErrRejected = errors.New("the worker rejected the order")
)

// Executor carries orders to the worker beside an agent. Implementations are safe
// for concurrent use.
type Executor interface {
	// Start starts a run and returns the worker's clock. Any error but ErrUnanswered
	// proves that the run has not started and never will by this order.
	Start(ctx context.Context, worker WorkerIdentity, token FenceToken, start Start) (clock WorkerTime, err error)
	// Stop ends a run, and bars it where it has not started.
	Stop(ctx context.Context, worker WorkerIdentity, token FenceToken, run ID) (clock WorkerTime, err error)
	// Throttle lets a run work at a share of what it could, in percent.
	Throttle(ctx context.Context, worker WorkerIdentity, token FenceToken, run ID, percent int) (clock WorkerTime, err error)
	// RenewLease renews the lease and lists.
	RenewLease(ctx context.Context, worker WorkerIdentity, token FenceToken, hold LeaseRenewal) (listing Listing, err error)
}
