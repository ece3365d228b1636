//go:build review2

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["rack"] = rackLost }

// rackLost lets the workers of one rack crash for good while they run jobs that need the label of that
// rack, and then hands in jobs that may run anywhere.
func rackLost(record *record, trouble bool) (verdict string, err error) {
	const (
		workers, lostRack        = 11, 4
		labelledJobs, plainJobs  = 300, 60
		labelledGap, plainGap    = 10 * time.Millisecond, 50 * time.Millisecond
		afterCrash               = 3 * time.Second
		watch                    = finishTime + 10*time.Second
		labelledCPU, labelledFor = 400, 3600
	)
	cluster, err := startCluster(record, 3, 0, workers)
	if err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	label := rackLabel(workers - 1)
	if label != rackLabel((lostRack-1)*workersPerRack) {
		return "", fmt.Errorf("rack %d has no workers", lostRack)
	}
	_, err = cluster.handIn(record, labelledJobs, labelledGap, jobBody(1, labelledCPU, fmt.Sprintf(`{"ms":%d}`, labelledFor),
		fmt.Sprintf(`,"estimate-ms":%d,"constraints":%q`, labelledFor, label)))
	if err != nil {
		return "", err
	}
	if trouble {
		for index, worker := range cluster.workers {
			if rackLabel(index) == label {
				worker.endLife("ended with its worker")
				record.event("%s of rack %s has crashed for good", worker.id, label)
			}
		}
	}
	time.Sleep(afterCrash)
	plain, err := cluster.handIn(record, plainJobs, plainGap, jobBody(1, 2000, `{"ms":200}`, `,"estimate-ms":200`))
	if err != nil {
		return "", err
	}
	lastChange, idleSince := time.Now(), make(map[string]time.Time)
	for time.Since(lastChange) < watch {
		time.Sleep(100 * time.Millisecond)
		for _, id := range plain {
			if activeRun(record, id+".0.0.0") != nil || cluster.isDone(record, id) {
				idleSince[id] = time.Now()
			} else if idleSince[id].IsZero() {
				idleSince[id] = lastChange
			}
		}
	}
	var lost []string
	for _, id := range plain {
		if idle := time.Since(idleSince[id]); idle > finishTime+idleLimit && len(record.runsOf(id+".0.0.0")) == 0 {
			lost = append(lost, fmt.Sprintf("%s: %s, nothing has run for %s", id, cluster.state(record, 1, id), idle.Round(time.Second)))
		}
	}
	if len(lost) > 0 {
		return fmt.Sprintf("LOST: %d of %d jobs that may run anywhere have not been started, while %d of %d workers are up and run %d tasks:\n%s",
			len(lost), len(plain), cluster.liveWorkers(), workers, cluster.activeRuns(record), strings.Join(lost, "\n")), errBroken
	}
	return fmt.Sprintf("all %d jobs that may run anywhere have run", len(plain)), nil
}

// handIn hands in jobs of one task, to all entries in turn.
func (cluster *cluster) handIn(record *record, count int, gap time.Duration, body string) (ids []string, err error) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for index := range count {
		callers.Go(func() {
			id, submitErr := submit(cluster, record, index%3, body)
			mu.Lock()
			defer mu.Unlock()
			if submitErr != nil {
				err = submitErr
				return
			}
			ids = append(ids, id)
		})
		time.Sleep(gap)
	}
	callers.Wait()
	return ids, err
}

// isDone reports whether the only task of a job has ended as done.
func (cluster *cluster) isDone(record *record, id string) bool {
	for _, run := range record.runsOf(id + ".0.0.0") {
		if run.how == "done" {
			return true
		}
	}
	return false
}

func (cluster *cluster) activeRuns(record *record) (count int) {
	for _, run := range record.all() {
		if run.ended.IsZero() {
			count++
		}
	}
	return count
}
