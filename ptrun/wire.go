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

// FromRef returns the run that a message names.
func FromRef(ref *ptwire.RunRef) ID {
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

// FromEnd returns the end that a message tells of.
func FromEnd(end *ptwire.RunEnd) End {
	return End{
		Run: FromRef(end.GetRun()), Result: Result(end.GetResult()), Reason: Reason(end.GetReason()),
		RunTime: time.Duration(end.GetRunNanos()), Checkpoint: Checkpoint(end.GetCheckpoint()),
	}
}

// Message returns what waits as a message; nil where nothing does.
func (want Want) Message() *ptwire.Want {
	if want.Rate <= 0 {
		return nil
	}
	return &ptwire.Want{
		Rate: float64(want.Rate), CpuMillicores: int64(want.Least.CPU), MemoryMebibytes: int64(want.Least.Memory), Accelerators: want.Least.Accelerators,
	}
}

// FromWant returns what a message says that waits.
func FromWant(want *ptwire.Want) Want {
	return Want{
		Rate:  MillicoresPerSecond(want.GetRate()),
		Least: Demand{CPU: Millicores(want.GetCpuMillicores()), Memory: Mebibytes(want.GetMemoryMebibytes()), Accelerators: want.GetAccelerators()},
	}
}
