package ptdrill

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// monitor tracks the active runs on all workers and keeps the first violation of an invariant.
type monitor struct {
	// active contains the active runs of each task with their workers.
	active    map[ptrun.TaskID]map[ptrun.ID]*worker
	starts    int
	violation error
}

func newMonitor() *monitor { return &monitor{active: make(map[ptrun.TaskID]map[ptrun.ID]*worker)} }

func (monitor *monitor) fail(err error) {
	if monitor.violation == nil {
		monitor.violation = err
	}
}

func (monitor *monitor) runStarted(id ptrun.ID, host *worker) {
	monitor.starts++
	host.simulation.report.Starts++
	runs := monitor.active[id.Task]
	if runs == nil {
		runs = make(map[ptrun.ID]*worker)
		monitor.active[id.Task] = runs
	}
	for other, otherWorker := range runs {
		otherWorker.advance()
		if monitor.active[id.Task][other] != nil {
			monitor.fail(errors.Errorf("run %v started on %s while run %v of the same task was active on %s", id, host.identity.ID, other, otherWorker.identity.ID))
		}
	}
	runs[id] = host
	if !host.capacity.Covers(host.held()) {
		monitor.fail(errors.Errorf("worker %s exceeded its capacity when run %v started", host.identity.ID, id))
	}
}

func (monitor *monitor) runEnded(id ptrun.ID) {
	delete(monitor.active[id.Task], id)
	if len(monitor.active[id.Task]) == 0 {
		delete(monitor.active, id.Task)
	}
}

// checkCapacity checks that no worker exceeds its capacity.
func (monitor *monitor) checkCapacity(simulation *simulation) {
	for _, agent := range simulation.agents {
		if held := agent.worker.held(); agent.worker.alive && !agent.worker.capacity.Covers(held) {
			monitor.fail(errors.Errorf("the runs on worker %s exceed its capacity: they hold %v", agent.worker.identity.ID, held))
		}
	}
}

func sortedKeys[Value any](values map[ptid.JobID]Value) []ptid.JobID {
	return slices.Sorted(maps.Keys(values))
}
