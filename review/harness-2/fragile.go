//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["fragile"] = fragile }

// fragile hands in jobs of one task that lasts. For a while, each of these tasks fails now and then.
func fragile(record *record, trouble bool) (verdict string, err error) {
	const (
		jobs, plainJobs = 60, 30
		jobGap          = 30 * time.Millisecond
		failFor         = 60 * time.Second
		watch           = 20 * time.Second
		// A task that lasts has to run again 6 s after its last run, and then for 3 s.
		lastingLimit = 9 * time.Second
	)
	cluster, err := startCluster(record, 3, 0, 11)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	work := `{"lasting":true}`
	if trouble {
		work = `{"lasting":true,"failsMs":15000}`
	}
	ids, err := cluster.handIn(record, jobs, jobGap, jobBody(1, 2000, work, `,"long-running":true`))
	if err != nil {
		return "", err
	}
	time.Sleep(failFor)
	cluster.calm.Store(true)
	record.event("no task fails from now on")
	plain, err := cluster.handIn(record, plainJobs, jobGap, jobBody(1, 2000, `{"ms":200}`, `,"estimate-ms":200`))
	if err != nil {
		return "", err
	}
	time.Sleep(watch)
	var lost []string
	notStarted := 0
	for _, id := range plain {
		if len(record.runsOf(id+".0.0.0")) == 0 {
			notStarted++
			lost = append(lost, fmt.Sprintf("%s: %s, a job of 0.2 s, has not been started for %s", id, cluster.state(record, 1, id), watch))
		}
	}
	for _, id := range ids {
		runs := record.runsOf(id + ".0.0.0")
		if activeRun(record, id+".0.0.0") != nil {
			continue
		}
		if len(runs) == 0 || time.Since(runs[len(runs)-1].ended) > lastingLimit {
			lost = append(lost, fmt.Sprintf("%s: %s", cluster.state(record, 1, id), describe(runs)))
		}
	}
	if len(lost) > 0 {
		return fmt.Sprintf("LOST: %d of %d tasks that last are not started again, %d of %d other jobs are not started, while %d workers with 64 cores each run %d tasks of 2 cores:\n%s",
			len(lost)-notStarted, jobs, notStarted, plainJobs, cluster.liveWorkers(), cluster.activeRuns(record), strings.Join(lost, "\n")), errBroken
	}
	return fmt.Sprintf("all %d tasks run, and %d other jobs have run", jobs, plainJobs), nil
}
