package ptagent

import "time"

// workerIdle is how long a goroutine waits for its next task before it ends.
const workerIdle = 10 * time.Second

// pool runs tasks on goroutines that are used again, since the stack of a fresh one
// has to grow anew for each task. It has no bound: the slots are the bound.
type pool struct{ work chan func() }

// do runs a task on a goroutine that waits, or on a new one.
func (pool *pool) do(task func()) {
	select {
	case pool.work <- task:
	default:
		go pool.serve(task)
	}
}

func (pool *pool) serve(task func()) {
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		task()
		idle.Reset(workerIdle)
		select {
		case task = <-pool.work:
		case <-idle.C:
			return
		}
	}
}
