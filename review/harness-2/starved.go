//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["starved"] = starved }

// starved takes four of eleven workers away, one after the other: those that run the two tasks of a job
// that lasts, and those to which these tasks have moved.
func starved(record *record, trouble bool) (verdict string, err error) {
	const (
		tasks, rounds = 2, 2
		// A worker serves for drain-ms and a little longer.
		serveFor = 2300 * time.Millisecond
		gap      = time.Second
		watch    = 30 * time.Second
		// A task that lasts has to run again 6 s after its last run, and then for 3 s.
		lastingLimit = 9 * time.Second
	)
	cluster, err := startCluster(record, 3, 0, 11)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	id, err := submit(cluster, record, 0, jobBody(tasks, 2000, `{"lasting":true}`, `,"long-running":true`))
	if err != nil {
		return "", err
	}
	for round := range rounds {
		var leaving []*worker
		for index := range tasks {
			run := awaitRun(record, fmt.Sprintf("%s.0.0.%d", id, index), 15*time.Second)
			if run == nil {
				return "", fmt.Errorf("task %d does not run in round %d", index, round)
			}
			record.event("%s runs on %s", run.task, run.worker)
			if worker := cluster.workerOf(run); len(leaving) == 0 || leaving[0] != worker {
				leaving = append(leaving, worker)
			}
		}
		time.Sleep(gap)
		if trouble {
			cluster.leaveInTurn(leaving, serveFor, gap)
			record.event("%d workers are left", cluster.liveWorkers())
		}
	}
	for calmSince := time.Now(); time.Since(calmSince) < watch; {
		time.Sleep(3 * time.Second)
		cluster.state(record, 1, id)
	}
	var idle []string
	for index := range tasks {
		runs := record.runsOf(fmt.Sprintf("%s.0.0.%d", id, index))
		if last := runs[len(runs)-1]; !last.ended.IsZero() && time.Since(last.ended) > lastingLimit {
			idle = append(idle, fmt.Sprintf("%s has not run for %s: %s", last.task, time.Since(last.ended).Round(time.Millisecond), describe(runs)))
		}
	}
	if len(idle) > 0 {
		return fmt.Sprintf("LOST: %d of %d tasks that last don't run, with %d workers up:\n%s", len(idle), tasks, cluster.liveWorkers(), strings.Join(idle, "\n")), errBroken
	}
	return fmt.Sprintf("all %d tasks run", tasks), nil
}

// leaveInTurn takes workers away, each a little after the one before has begun to drain, and waits for
// their ends.
func (cluster *cluster) leaveInTurn(leaving []*worker, serveFor, gap time.Duration) {
	ended := make(chan struct{}, len(leaving))
	for _, worker := range leaving {
		go func() {
			worker.leave(serveFor)
			ended <- struct{}{}
		}()
		time.Sleep(gap)
	}
	for range leaving {
		<-ended
	}
}
