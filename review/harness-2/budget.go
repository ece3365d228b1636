//go:build review2

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["budget"] = budget }

const (
	// Each hopelessJob-th job can never be done.
	budgetJobs, hopelessJob = 490, 16
	budgetWaves             = 4
	budgetGap               = 7 * time.Millisecond
	turnAwayAtJob           = 330
	turnedAwayFor           = 5500 * time.Millisecond
)

// budget lets the store turn the entries away, one after the other, while some of the jobs have tasks that
// fail each time. The queue allows two attempts.
func budget(record *record, trouble bool) (verdict string, err error) {
	const attempts = 2
	cluster, err := startCluster(record, 3, 0, 11)
	if err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second)
	var ids []string
	for wave := range budgetWaves {
		ids = append(ids, cluster.hopelessWave(record, wave%3, trouble)...)
		time.Sleep(turnedAwayFor + 3*time.Second)
	}
	time.Sleep(10 * time.Second)
	var over []string
	states := make(map[string]int)
	for _, id := range ids {
		states[cluster.state(record, 1, id)]++
		if runs := record.runsOf(id + ".0.0.0"); startedAfterFailures(runs, attempts) {
			over = append(over, describe(runs))
		}
	}
	if len(over) > 0 {
		return fmt.Sprintf("BUDGET: %d tasks were started after %d failed ends that were taken note of:\n%s", len(over), attempts, strings.Join(over, "\n")), errBroken
	}
	return fmt.Sprintf("no task was started after %d failed ends: %v", attempts, states), nil
}

// startedAfterFailures reports whether a run of a task started after the given number of failed ends that
// were taken note of then or later.
func startedAfterFailures(runs []*taskRun, attempts int) bool {
	for _, run := range runs {
		failed := 0
		for _, earlier := range runs {
			if earlier.how == "failed" && !earlier.noted.IsZero() && earlier.ended.Before(run.started) {
				failed++
			}
		}
		if failed >= attempts {
			return true
		}
	}
	return false
}

// hopelessWave hands in jobs for some seconds, while the store turns an entry away. It returns the jobs
// that can never be done.
func (cluster *cluster) hopelessWave(record *record, awayEntry int, trouble bool) (hopelessJobs []string) {
	away := cluster.entries[awayEntry].name
	var mu sync.Mutex
	var callers sync.WaitGroup
	for index := range budgetJobs {
		callers.Go(func() {
			body, hopeless := jobBody(2, 2000, `{"ms":200}`, `,"estimate-ms":200`), index%hopelessJob == 0
			if hopeless {
				body = jobBody(1, 2000, `{"ms":1800,"fails":true}`, `,"estimate-ms":1800`)
			}
			id, err := submit(cluster, record, (awayEntry+1+index%2)%3, body)
			if err == nil && hopeless {
				mu.Lock()
				hopelessJobs = append(hopelessJobs, id)
				mu.Unlock()
			}
		})
		time.Sleep(budgetGap)
		if index == turnAwayAtJob && trouble {
			record.event("the store turns %s away", away)
			cluster.store.turnAway(away, true)
			time.AfterFunc(turnedAwayFor, func() {
				cluster.store.turnAway(away, false)
				record.event("the store serves %s again", away)
			})
		}
	}
	callers.Wait()
	return hopelessJobs
}
