//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["emptied"] = emptied }

// Bounds of the rule LOST.
const (
	finishTime = 14 * time.Second
	idleLimit  = 3 * time.Second
)

// emptied takes four of eleven workers away, one after the other, each while it runs the only task of a
// job.
func emptied(record *record, trouble bool) (verdict string, err error) {
	const (
		removals = 4
		// A worker serves for drain-ms and a little longer.
		serveFor = 2300 * time.Millisecond
		settle   = 15 * time.Second
		watch    = 10 * time.Second
	)
	cluster, err := startCluster(record, 3, 0, 11)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	id, err := submit(cluster, record, 0, jobBody(1, 2000, `{"ms":3600}`, `,"estimate-ms":3600`))
	if err != nil {
		return "", err
	}
	task := id + ".0.0.0"
	for range removals {
		run := awaitRun(record, task, settle)
		if run == nil {
			break
		}
		record.event("%s runs on %s", task, run.worker)
		if trouble {
			time.Sleep(300 * time.Millisecond)
			cluster.workerOf(run).leave(serveFor)
			record.event("%d workers are left", cluster.liveWorkers())
		}
	}
	lastChange := time.Now()
	idleSince := lastChange
	for time.Since(lastChange) < finishTime+watch {
		time.Sleep(500 * time.Millisecond)
		if activeRun(record, task) != nil {
			idleSince = time.Now()
		}
		switch answer := cluster.state(record, 1, id); {
		case strings.Contains(answer, "completed"):
			return "the job is shown as completed: " + describe(record.runsOf(task)), nil
		case strings.Contains(answer, "failed"):
			return "LOST: the job is shown as failed: " + describe(record.runsOf(task)), errBroken
		}
	}
	if idle := time.Since(idleSince); idle > finishTime+idleLimit {
		return fmt.Sprintf("LOST: the job has had nothing running for %s, while %d workers are idle: %s", idle.Round(time.Millisecond), cluster.liveWorkers(), describe(record.runsOf(task))), errBroken
	}
	return "the job runs: " + describe(record.runsOf(task)), nil
}

func (cluster *cluster) liveWorkers() (count int) {
	for _, worker := range cluster.workers {
		worker.mu.Lock()
		if worker.up {
			count++
		}
		worker.mu.Unlock()
	}
	return count
}
