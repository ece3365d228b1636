// Package ptrun defines the types for the runs of tasks on workers: their identities,
// resource demands and ends, and the [Executor] interface through which an agent controls
// its worker.
//
// # How it works
//
//  1. A task belongs to one step of one job and may be run several times. The runs of a
//     task are numbered in rising order.
//  2. A [Demand] is a vector of resources. The capacity of a worker has the same type. A
//     run occupies its demand on its worker from the start order until the worker lists the
//     end of the run.
//  3. A worker is identified by [WorkerIdentity]: its ID and the time of its start. A
//     worker with another identity does not run any of the earlier worker's runs.
//  4. An [Executor] sends orders to one worker. If there is no response, the worker may have
//     carried out the order, or may carry it out later. The method then returns
//     [ErrUnanswered], and the caller determines the outcome from the worker's next listing.
//
// # Usage
//
//	free := capacity.Minus(held)
//	if free.Covers(order.Demand) { clock, err := executor.Start(ctx, worker, token, start) }
package ptrun

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
)

type (
	// Number is the number of a run of a task, from one.
	Number uint64
	// Occurrence is the number of a repetition of a periodic job, from zero.
	Occurrence uint32
	// StepIndex is the position of a step in its job.
	StepIndex uint32
	// WorkerID is the name of a worker.
	WorkerID string
	// FenceToken is the fencing token of an agent. A worker rejects orders with a lower token
	// than the highest one that it has seen.
	FenceToken uint64
	// EndSequence is the position of a run's end in the list of ends of one worker.
	EndSequence uint64
	// WorkerTime is an instant on a worker's own clock, in milliseconds.
	WorkerTime int64
	// Checkpoint is a state from which a run can resume; empty means none.
	Checkpoint string
	// Millicores are thousandths of a processor core.
	Millicores int64
	// MillicoresPerSecond is a rate at which CPU capacity is needed or becomes free.
	MillicoresPerSecond float64
	// Mebibytes are units of 2^20 bytes.
	Mebibytes int64
)

// Demand is a vector of resources. It is used for demands, reservations and capacities.
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

// Max returns the component-wise maximum of two vectors.
func (demand Demand) Max(other Demand) Demand {
	return Demand{max(demand.CPU, other.CPU), max(demand.Memory, other.Memory), max(demand.Accelerators, other.Accelerators)}
}

// Min returns the component-wise minimum of two vectors.
func (demand Demand) Min(other Demand) Demand {
	return Demand{min(demand.CPU, other.CPU), min(demand.Memory, other.Memory), min(demand.Accelerators, other.Accelerators)}
}

// Covers reports whether every component of other is at most that of the vector.
func (demand Demand) Covers(other Demand) bool {
	return other.CPU <= demand.CPU && other.Memory <= demand.Memory && other.Accelerators <= demand.Accelerators
}

// CapacityRequest is an entry's request for capacity for its waiting jobs.
type CapacityRequest struct {
	// Rate is the rate at which capacity must become free for the jobs to start in time; zero
	// means that no job is waiting.
	Rate MillicoresPerSecond
	// MinDemand is the component-wise minimum of the demands of the waiting tasks.
	MinDemand Demand
}

// TaskID identifies a task across all of its runs.
type TaskID struct {
	Job        ptid.JobID
	Occurrence Occurrence
	Step       StepIndex
	Index      ptid.TaskIndex
}

// ID identifies one run of a task.
type ID struct {
	Task   TaskID
	Number Number
}

// String returns the identity of the run for logs.
func (id ID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d/%d", id.Task.Job, id.Task.Occurrence, id.Task.Step, id.Task.Index, id.Number)
}

// Compare orders runs. Sorting by it makes seeded tests independent of map iteration order.
func Compare(left, right ID) int {
	return cmp.Or(
		cmp.Compare(left.Task.Job, right.Task.Job), cmp.Compare(left.Task.Occurrence, right.Task.Occurrence),
		cmp.Compare(left.Task.Step, right.Task.Step), cmp.Compare(left.Task.Index, right.Task.Index),
		cmp.Compare(left.Number, right.Number),
	)
}

// Result is how a run ended.
type Result string

const (
	// Done runs have completed their task.
	Done Result = "done"
	// Failed runs ended because of a fault of the task or of its worker.
	Failed Result = "failed"
	// Stopped runs were ended by a stop order.
	Stopped Result = "stopped"
	// Lost runs ended because their worker ended or its lease expired.
	Lost Result = "lost"
	// NeverStarted runs have not started and will never start.
	NeverStarted Result = "neverStarted"
)

// End describes the end of a run.
type End struct {
	Run        ID
	Result     Result
	Reason     Reason
	RunTime    time.Duration
	Checkpoint Checkpoint
	// Worker is the worker of a lost run.
	Worker WorkerID
}

// Reason is why a run ended with its result, for logs.
type Reason string

// Reasons for the end of a run.
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
	// ReasonLeaseExpired means that the worker was silent until its lease must have expired, or has
	// ended before it had confirmed the run, and
	// ReasonLeaseEnforced that the worker has listed the end of the run at the expiry of its lease.
	ReasonLeaseExpired  Reason = "leaseLapsed"
	ReasonLeaseEnforced Reason = "leaseEnforced"
	// ReasonAgentSilent means that an entry has declared the run lost without a report from its agent.
	ReasonAgentSilent Reason = "agentSilent"
	// ReasonWorkerCrashed means that the worker has ended, without announcing it, while the run was
	// active. ReasonCrashedWorker means that no other run was active on it then.
	ReasonWorkerCrashed  Reason = "workerCrashed"
	ReasonCrashedWorker  Reason = "crashedWorker"
	ReasonOwnerTimeout   Reason = "ownerSilent"
	ReasonStopRequested  Reason = "byOrder"
	ReasonUnknownRun     Reason = "unknownRun"
	ReasonOtherOwner     Reason = "otherOwner"
	ReasonGangIncomplete Reason = "gangIncomplete"
	// ReasonEvacuated means that the availability zone of the worker is evacuated.
	ReasonEvacuated Reason = "evacuated"
)

// WorkerIdentity distinguishes workers and the incarnations of one worker.
type WorkerIdentity struct {
	ID        WorkerID
	StartedAt time.Time
}

// Worker is what a worker announces about itself.
type Worker struct {
	WorkerIdentity
	Service  ptid.ServiceName
	Zone     ptid.Zone
	Capacity Demand
	Labels   []string
	Draining bool
	// ColdFor is how long the worker still takes to warm up; zero if it is warm or says nothing.
	ColdFor time.Duration
	// Sequence numbers the announcements of one incarnation; announcements with a lower number
	// are dropped.
	Sequence uint64
}

// SaysSame reports whether two announcements say the same about the worker. Their sequence numbers
// and the remaining times to warm up may differ.
func (worker *Worker) SaysSame(other *Worker) bool {
	return worker.WorkerIdentity == other.WorkerIdentity && worker.Service == other.Service && worker.Zone == other.Zone &&
		worker.Capacity == other.Capacity && slices.Equal(worker.Labels, other.Labels) && worker.Draining == other.Draining
}

// Start is a start order for one run.
type Start struct {
	Run        ID
	Spec       string
	StartBy    WorkerTime
	Checkpoint Checkpoint
	// Ticket is the advisor's permission to run the step on the worker. An empty Ticket means
	// that the start order contains no permission.
	Ticket string
}

// ListedEnd is the end of a run with its position in the worker's list of ends.
type ListedEnd struct {
	Sequence EndSequence
	End      End
}

// ListedRun is an active run in a worker's listing.
type ListedRun struct {
	Run        ID
	Checkpoint Checkpoint
	// Percent limits the speed of the run, in percent of its full speed. It is below 100 while
	// the run starts up.
	Percent int
	// TailLatency is the tail latency of a run that serves users' requests.
	TailLatency time.Duration
}

// Listing contains the active runs of a worker and the ends that have not been acknowledged.
type Listing struct {
	WorkerStartedAt time.Time
	Clock           WorkerTime
	Active          []ListedRun
	Ends            []ListedEnd
	// EndsTruncated means that the worker may have further ends, with higher sequences.
	EndsTruncated bool
}

// LeaseRenewal renews the lease for all runs of a worker and requests a [Listing].
type LeaseRenewal struct {
	// ExpiresAt is when the renewed lease expires; zero does not renew the lease.
	ExpiresAt WorkerTime
	// Acknowledged is the sequence of the last end that the worker may delete; it may delete
	// all earlier ends as well.
	Acknowledged EndSequence
	// PollTimeout is how long the worker may delay its response until a run ends.
	PollTimeout time.Duration
}

// Errors of [Executor] methods.
var (
	// ErrUnanswered means that no response was received: the worker may have carried out the
	// order, or may still do so.
	ErrUnanswered = errors.New("no response from the worker")
	// ErrNoCapacity means that the run did not start because the worker had too little free
	// capacity.
	ErrNoCapacity = errors.New("the worker has too little free capacity")
	// ErrHigherRunEnded means that this run, or a run of the task with a higher number, has
	// ended at the worker.
	ErrHigherRunEnded = errors.New("this run, or one with a higher number, has ended at the worker")
	// ErrStartDeadlineExceeded means that the start order arrived after its deadline.
	ErrStartDeadlineExceeded = errors.New("the start order arrived after its deadline")
	// ErrFenced means that the worker has seen a higher fence token.
	ErrFenced = errors.New("the worker has seen a higher fence token")
	// ErrWorkerMismatch means that the response came from another incarnation of the worker.
	ErrWorkerMismatch = errors.New("the response came from another incarnation of the worker")
	// ErrNotSent means that the order was not sent, because no connection to the worker was
	// available or could be opened in time. It says nothing about the worker.
	ErrNotSent = errors.New("the order was not sent to the worker")
	// ErrNotListening means that nobody listens at the worker's address: the worker is down.
	ErrNotListening = errors.New("nobody listens at the worker's address")
	// ErrUnhealthy means that the worker refused the order because it is unhealthy or overloaded.
	// It has not carried out the order.
	ErrUnhealthy = errors.New("the worker is unhealthy and has not carried out the order")
	// ErrRejected means that the worker does not accept the order as valid.
	ErrRejected = errors.New("the worker rejected the order")
)

// Executor sends orders to the worker of an agent. Implementations are safe for concurrent
// use.
type Executor interface {
	// Start starts a run and returns the worker's clock. Any error except ErrUnanswered proves
	// that the run has not started and that this order will never start it.
	Start(ctx context.Context, worker WorkerIdentity, token FenceToken, start Start) (clock WorkerTime, err error)
	// Stop ends a run. A run that has not started is prevented from starting.
	Stop(ctx context.Context, worker WorkerIdentity, token FenceToken, run ID) (clock WorkerTime, err error)
	// Throttle limits a run to a share of its full speed, in percent.
	Throttle(ctx context.Context, worker WorkerIdentity, token FenceToken, run ID, percent int) (clock WorkerTime, err error)
	// RenewLease renews the lease and returns the worker's listing.
	RenewLease(ctx context.Context, worker WorkerIdentity, token FenceToken, renewal LeaseRenewal) (listing Listing, err error)
}
