package ptagent

import "time"

// goroutineIdleTimeout is how long an idle goroutine waits for a task before it ends.
const goroutineIdleTimeout = 10 * time.Second

// goroutinePool runs tasks on reused goroutines, since the stack of a new goroutine would have
// to grow again for each task. The pool itself is unbounded; the number of slots bounds the
// tasks that run at once.
type goroutinePool struct{ tasks chan func() }

// run executes a task on an idle goroutine, or on a new one if none is idle.
func (pool *goroutinePool) run(task func()) {
	select {
	case pool.tasks <- task:
	default:
		go pool.serve(task)
	}
}

func (pool *goroutinePool) serve(task func()) {
	idle := time.NewTimer(goroutineIdleTimeout)
	defer idle.Stop()
	for {
		task()
		idle.Reset(goroutineIdleTimeout)
		select {
		case task = <-pool.tasks:
		case <-idle.C:
			return
		}
	}
}
