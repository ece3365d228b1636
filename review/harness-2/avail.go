//go:build review2

package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

func init() { scenarios["avail"] = avail }

// avail stops and starts five of eleven agents in turn while a step that may miss one task lasts.
func avail(record *record, trouble bool) (verdict string, err error) {
	const (
		tasks, mayMiss, restarts = 22, 1, 5
		gap                      = 1300 * time.Millisecond
	)
	cluster, err := startCluster(record, 3, 0, 11)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	id, err := submit(cluster, record, 0, jobBody(tasks, 2000, `{"lasting":true}`, fmt.Sprintf(`,"long-running":true,"may-miss":%d`, mayMiss)))
	if err != nil {
		return "", err
	}
	for until := time.Now().Add(15 * time.Second); len(record.all()) < tasks; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			return "", fmt.Errorf("only %d tasks have started", len(record.all()))
		}
	}
	time.Sleep(3 * time.Second)
	record.event("all tasks of %s are at work", id)
	if trouble {
		for _, agent := range cluster.agents[:restarts] {
			cluster.signal(agent, syscall.SIGTERM)
			go cluster.restart(agent)
			time.Sleep(gap)
		}
	}
	time.Sleep(12 * time.Second)
	broken := stopsBeyond(record, mayMiss)
	if len(broken) > 0 {
		return fmt.Sprintf("AVAIL: %d tasks at work were stopped while %d others of their step were away:\n%s", len(broken), mayMiss, strings.Join(broken, "\n")), errBroken
	}
	return fmt.Sprintf("%d runs of %d tasks", len(record.all()), tasks), nil
}

// stopsBeyond returns the runs that a stop has ended while they were at work, and while mayMiss others of
// their step were away because of such a stop.
func stopsBeyond(record *record, mayMiss int) (broken []string) {
	runs := record.all()
	stops := slices.DeleteFunc(slices.Clone(runs), func(run *taskRun) bool {
		return run.how != "stopped" || run.ended.Sub(run.started) < startupTime
	})
	slices.SortFunc(stops, func(left, right *taskRun) int { return left.ended.Compare(right.ended) })
	for index, stop := range stops {
		away := []string{}
		for _, earlier := range stops[:index] {
			back := slices.ContainsFunc(runs, func(run *taskRun) bool {
				return run.task == earlier.task && run.started.After(earlier.ended) && run.started.Add(startupTime).Before(stop.ended)
			})
			if earlier.task != stop.task && !back {
				away = append(away, fmt.Sprintf("%s (stopped at %s)", earlier.task, at(earlier.ended)))
			}
		}
		if len(away) >= mayMiss {
			broken = append(broken, fmt.Sprintf("%s; away: %s", stop, strings.Join(away, ", ")))
		}
	}
	return broken
}
