package ptrun

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// Ref returns the run ID as a wire message.
func (run ID) Ref() *ptwire.RunRef {
	return &ptwire.RunRef{
		Job: string(run.Task.Job), Occurrence: uint32(run.Task.Occurrence), Step: uint32(run.Task.Step),
		Index: uint32(run.Task.Index), Run: uint64(run.Number),
	}
}

// IDFromRef returns the run ID that a message contains.
func IDFromRef(ref *ptwire.RunRef) ID {
	return ID{
		Task: TaskID{
			Job: ptid.JobID(ref.GetJob()), Occurrence: Occurrence(ref.GetOccurrence()),
			Step: StepIndex(ref.GetStep()), Index: ptid.TaskIndex(ref.GetIndex()),
		},
		Number: Number(ref.GetRun()),
	}
}

// Message returns the end as a wire message.
func (end End) Message() *ptwire.RunEnd {
	return &ptwire.RunEnd{
		Run: end.Run.Ref(), Result: string(end.Result), Reason: string(end.Reason),
		RunNanos: int64(end.RunTime), Checkpoint: string(end.Checkpoint), Worker: string(end.Worker),
	}
}

// EndFromMessage returns the end that a message contains.
func EndFromMessage(end *ptwire.RunEnd) End {
	return End{
		Run: IDFromRef(end.GetRun()), Result: Result(end.GetResult()), Reason: Reason(end.GetReason()),
		RunTime: time.Duration(end.GetRunNanos()), Checkpoint: Checkpoint(end.GetCheckpoint()), Worker: WorkerID(end.GetWorker()),
	}
}

// Message returns the request as a wire message; nil if no job is waiting.
func (request CapacityRequest) Message() *ptwire.Want {
	if request.Rate <= 0 {
		return nil
	}
	return &ptwire.Want{
		Rate: float64(request.Rate), CpuMillicores: int64(request.MinDemand.CPU), MemoryMebibytes: int64(request.MinDemand.Memory), Accelerators: request.MinDemand.Accelerators,
	}
}

// CapacityRequestFromMessage returns the capacity request that a message contains.
func CapacityRequestFromMessage(request *ptwire.Want) CapacityRequest {
	return CapacityRequest{
		Rate:      MillicoresPerSecond(request.GetRate()),
		MinDemand: Demand{CPU: Millicores(request.GetCpuMillicores()), Memory: Mebibytes(request.GetMemoryMebibytes()), Accelerators: request.GetAccelerators()},
	}
}
