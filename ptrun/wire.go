package ptrun

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// Ref returns the run as a message between the system's processes.
func (run ID) Ref() *ptwire.RunRef {
	return &ptwire.RunRef{
		Job: string(run.Task.Job), Occurrence: uint32(run.Task.Occurrence), Step: uint32(run.Task.Step),
		Index: uint32(run.Task.Index), Run: uint64(run.Number),
	}
}

// IDFromRef returns the run that a message names.
func IDFromRef(ref *ptwire.RunRef) ID {
	return ID{
		Task: TaskID{
			Job: ptid.JobID(ref.GetJob()), Occurrence: Occurrence(ref.GetOccurrence()),
			Step: StepIndex(ref.GetStep()), Index: ptid.TaskIndex(ref.GetIndex()),
		},
		Number: Number(ref.GetRun()),
	}
}

// Message returns the end as a message.
func (end End) Message() *ptwire.RunEnd {
	return &ptwire.RunEnd{
		Run: end.Run.Ref(), Result: string(end.Result), Reason: string(end.Reason),
		RunNanos: int64(end.RunTime), Checkpoint: string(end.Checkpoint),
	}
}

// EndFromMessage returns the end that a message tells of.
func EndFromMessage(end *ptwire.RunEnd) End {
	return End{
		Run: IDFromRef(end.GetRun()), Result: Result(end.GetResult()), Reason: Reason(end.GetReason()),
		RunTime: time.Duration(end.GetRunNanos()), Checkpoint: Checkpoint(end.GetCheckpoint()),
	}
}

// Message returns what waits as a message; nil where nothing does.
func (want CapacityRequest) Message() *ptwire.Want {
	if want.Rate <= 0 {
		return nil
	}
	return &ptwire.Want{
		Rate: float64(want.Rate), CpuMillicores: int64(want.MinDemand.CPU), MemoryMebibytes: int64(want.MinDemand.Memory), Accelerators: want.MinDemand.Accelerators,
	}
}

// CapacityRequestFromMessage returns what a message says that waits.
func CapacityRequestFromMessage(want *ptwire.Want) CapacityRequest {
	return CapacityRequest{
		Rate:      MillicoresPerSecond(want.GetRate()),
		MinDemand: Demand{CPU: Millicores(want.GetCpuMillicores()), Memory: Mebibytes(want.GetMemoryMebibytes()), Accelerators: want.GetAccelerators()},
	}
}
