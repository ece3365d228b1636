//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["rack"] = rackLost }

// rackLost lets the workers of one rack crash for good while they run jobs that need the label of that
// rack, and then hands in jobs that may run anywhere.
func rackLost(record *record, trouble bool) (verdict string, err error) {
	const (
		workers                 = 11
		labelledJobs, plainJobs = 300, 60
		labelledGap, plainGap   = 10 * time.Millisecond, 50 * time.Millisecond
		afterCrash              = 3 * time.Second
		watch                   = finishTime + 10*time.Second
	)
	cluster, err := startCluster(record, 3, 0, workers)
	if err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	// The last rack has two workers.
	label := rackLabel(workers - 1)
	_, err = cluster.handIn(record, labelledJobs, labelledGap, jobBody(1, 400, `{"ms":3600}`, fmt.Sprintf(`,"estimate-ms":3600,"constraints":%q`, label)))
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
