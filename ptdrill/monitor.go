package ptdrill

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

// monitor sees what workers see, and keeps the first broken invariant.
type monitor struct {
	active map[ptrun.TaskID]map[ptrun.ID]*worker
	starts int
	broken error
}

func newMonitor() *monitor { return &monitor{active: make(map[ptrun.TaskID]map[ptrun.ID]*worker)} }

func (monitor *monitor) breaks(err error) {
	if monitor.broken == nil {
		monitor.broken = err
	}
}

func (monitor *monitor) started(id ptrun.ID, at *worker) {
	monitor.starts++
	at.drill.report.Starts++
	runs := monitor.active[id.Task]
	if runs == nil {
		runs = make(map[ptrun.ID]*worker)
		monitor.active[id.Task] = runs
	}
	for other, where := range runs {
		where.advance()
		if monitor.active[id.Task][other] != nil {
			monitor.breaks(errors.Errorf("run %v starts on %s while run %v works on %s", id, at.identity.ID, other, where.identity.ID))
		}
	}
	runs[id] = at
	if !at.capacity.Covers(at.held()) {
		monitor.breaks(errors.Errorf("worker %s is over its capacity with run %v", at.identity.ID, id))
	}
}

func (monitor *monitor) ended(id ptrun.ID) {
	delete(monitor.active[id.Task], id)
	if len(monitor.active[id.Task]) == 0 {
		delete(monitor.active, id.Task)
	}
}

// check looks at the whole.
func (monitor *monitor) check(drill *drill) {
	for _, agent := range drill.agents {
		if held := agent.worker.held(); agent.worker.alive && !agent.worker.capacity.Covers(held) {
			monitor.breaks(errors.Errorf("worker %s holds %v", agent.worker.identity.ID, held))
		}
	}
}

func sortedKeys[Value any](values map[ptid.JobID]Value) []ptid.JobID {
	return slices.Sorted(maps.Keys(values))
}
