package ptdrill

import (
	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// Violations that the error of [Run] may wrap.
var (
	// ErrTwice means that a task had two active runs, which one entry process ordered.
	ErrTwice = errors.New("two active runs of a task")
	// ErrTwoOwners means that a task had two active runs, which two entry processes ordered. Its
	// caller submitted the job to the second of them after its connection to the first broke.
	ErrTwoOwners = errors.New("two active runs of a task with two owners")
	// ErrDoneAgain means that a task of a durable job started after one of its runs had ended as
	// done, and this end was acknowledged.
	ErrDoneAgain = errors.New("a done task started again")
	// ErrCapacity means that the runs of a worker exceeded its capacity.
	ErrCapacity = errors.New("capacity exceeded")
	// ErrCrashBudget means that a task of a durable job was started maxStartsAfterCrashes times
	// after it had crashed maxCrashes workers.
	ErrCrashBudget = errors.New("a task that crashes its workers was started again")
	// ErrEvacuated means that an agent started a run in a zone that had long been evacuated.
	ErrEvacuated = errors.New("a run was started in an evacuated zone")
	// ErrFailedWithoutCause means that a durable job failed, though none of its tasks had used up
	// its attempts or had lost two runs in crashes.
	ErrFailedWithoutCause = errors.New("a job failed without cause")
)

const (
	maxCrashes            = 3
	maxStartsAfterCrashes = 3
	// minCrashesToFail is how many crashes under a task allow its job to fail.
	minCrashesToFail = 2
)

// taskRecord counts what has happened to the runs of a task.
type taskRecord struct {
	// crashes counts the workers that the task has crashed, and startsAfterCrashes its starts after
	// maxCrashes of them.
	crashes, startsAfterCrashes int
	// lostRuns counts the runs that were active in a crash, whatever its cause.
	lostRuns, failedRuns int
}

// activeRun is a run that is active on a worker.
type activeRun struct {
	run    ptrun.ID
	worker *worker
}

// monitor tracks the active runs on all workers and keeps the first violation of an invariant.
type monitor struct {
	active map[ptrun.TaskID][]activeRun
	// done contains the runs of durable jobs that have ended as done.
	done      map[ptrun.TaskID][]*doneRun
	tasks     map[ptrun.TaskID]*taskRecord
	violation error
}

// doneRun is a run of a durable job that has ended as done.
type doneRun struct {
	activeRun

	acknowledged bool
	// startedAgain is the first run of the task that started afterwards; its number is zero if
	// there is none.
	startedAgain ptrun.ID
}

func newMonitor() *monitor {
	return &monitor{active: make(map[ptrun.TaskID][]activeRun), done: make(map[ptrun.TaskID][]*doneRun), tasks: make(map[ptrun.TaskID]*taskRecord)}
}

func (monitor *monitor) task(id ptrun.TaskID) *taskRecord {
	if monitor.tasks[id] == nil {
		monitor.tasks[id] = &taskRecord{}
	}
	return monitor.tasks[id]
}

// crashedBy records that a run has crashed its worker, and runCrashed that a run was active in a crash.
func (monitor *monitor) crashedBy(id ptrun.ID) { monitor.task(id.Task).crashes++ }

func (monitor *monitor) runCrashed(id ptrun.ID) { monitor.task(id.Task).lostRuns++ }

func (monitor *monitor) runFailed(id ptrun.ID) { monitor.task(id.Task).failedRuns++ }

// checkCrashBudget counts the start of a run of a task that has crashed its workers.
func (monitor *monitor) checkCrashBudget(id ptrun.ID) {
	record := monitor.tasks[id.Task]
	if record == nil || record.crashes < maxCrashes || !ptjobstore.IsDurable(id.Number) {
		return
	}
	if record.startsAfterCrashes++; record.startsAfterCrashes >= maxStartsAfterCrashes {
		monitor.fail(errors.Wrapf(ErrCrashBudget, "run %v after %d crashes", id, record.crashes))
	}
}

// jobFailed checks that a task of the job gives it a cause to fail.
func (monitor *monitor) jobFailed(spec ptgraph.Spec) {
	for id, record := range monitor.tasks {
		if id.Job == spec.ID && (record.failedRuns >= spec.MaxAttempts || record.lostRuns >= minCrashesToFail) {
			return
		}
	}
	monitor.fail(errors.Wrapf(ErrFailedWithoutCause, "job %s", spec.ID))
}

func (monitor *monitor) runDone(id ptrun.ID, host *worker) {
	if ptjobstore.IsDurable(id.Number) {
		monitor.done[id.Task] = append(monitor.done[id.Task], &doneRun{activeRun: activeRun{run: id, worker: host}})
	}
}

// doneAcknowledged records that the agent of a worker has acknowledged the end of a run as done.
func (monitor *monitor) doneAcknowledged(id ptrun.ID, host *worker) {
	for _, done := range monitor.done[id.Task] {
		if done.run == id && done.worker == host {
			done.acknowledged = true
			monitor.checkDone(done)
		}
	}
}

func (monitor *monitor) checkDone(done *doneRun) {
	if done.acknowledged && done.startedAgain.Number > 0 {
		monitor.fail(errors.Wrapf(ErrDoneAgain, "run %v was done on %s, and run %v started", done.run, workerName(done.worker.identity), done.startedAgain))
	}
}

func (monitor *monitor) fail(err error) {
	if monitor.violation == nil {
		monitor.violation = err
	}
}

func (monitor *monitor) runStarted(id ptrun.ID, host *worker) {
	host.simulation.report.Starts++
	monitor.checkCrashBudget(id)
	for _, other := range append([]activeRun(nil), monitor.active[id.Task]...) {
		other.worker.advance()
	}
	for _, other := range monitor.active[id.Task] {
		violation := ErrTwice
		if host.owner(id) != other.worker.owner(other.run) {
			violation = ErrTwoOwners
		}
		monitor.fail(errors.Wrapf(violation, "run %v started on %s while run %d was active on %s", id, workerName(host.identity), other.run.Number, workerName(other.worker.identity)))
	}
	for _, done := range monitor.done[id.Task] {
		if done.startedAgain.Number == 0 {
			done.startedAgain = id
			monitor.checkDone(done)
		}
	}
	monitor.active[id.Task] = append(monitor.active[id.Task], activeRun{run: id, worker: host})
	host.advance()
	if !host.countedCapacity(host.simulation.Now()).Covers(host.held()) {
		monitor.fail(errors.Wrapf(ErrCapacity, "the runs on %s hold %v when run %v starts", workerName(host.identity), host.held(), id))
	}
}

func (monitor *monitor) runEnded(id ptrun.ID, host *worker) {
	var remaining []activeRun
	for _, active := range monitor.active[id.Task] {
		if active.run != id || active.worker != host {
			remaining = append(remaining, active)
		}
	}
	monitor.active[id.Task] = remaining
	if len(remaining) == 0 {
		delete(monitor.active, id.Task)
	}
}

// checkCapacity checks that no worker exceeds its full capacity. After a reduction, the runs that are
// active may exceed the reduced one.
func (monitor *monitor) checkCapacity(simulation *simulation) {
	for _, worker := range simulation.workers {
		if held := worker.held(); worker.alive && !worker.fullCapacity.Covers(held) {
			monitor.fail(errors.Wrapf(ErrCapacity, "the runs on %s hold %v", workerName(worker.identity), held))
		}
	}
}
