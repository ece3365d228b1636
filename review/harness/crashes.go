//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { scenarios["crashes"] = scenario{entries: 3, agents: 6, play: playCrashes} }

const (
	maxCrashes = 4
	// runBeforeCrash is how long the task runs before its worker crashes.
	runBeforeCrash = 3 * time.Second
)

// playCrashes crashes the worker of a task four times, and looks for a job that is shown as failed
// though no run of it has ended so: first a job with one task, then one whose task lasts.
func playCrashes(c *cluster, trouble bool) (broken string, err error) {
	once := jobID(5, 0)
	if !c.submit(0, once, job("work=15s", step(1, 6200, 15*time.Second, nil)), false) {
		return "", fmt.Errorf("the job was not accepted")
	}
	lasting := jobID(6, 0)
	if !c.submit(1, lasting, job("work=1h", step(1, 6200, 0, map[string]any{"long-running": true})), false) {
		return "", fmt.Errorf("the lasting job was not accepted")
	}
	if trouble {
		c.crashUnder(once)
		c.crashUnder(lasting)
	}
	time.Sleep(16 * time.Second)
	for _, id := range []string{once, lasting} {
		failed := 0
		for _, r := range c.runs.ofJob(id) {
			seen := r.snapshot()
			if seen.how == "failed" {
				failed++
			}
			c.record.line("worker %s (%s): task %s run %d started at %s, %q at %s", seen.worker, seen.life, seen.task, seen.number, c.record.at(seen.startedAt), seen.how, c.record.at(seen.endAt))
		}
		state := c.state(2, id)
		c.record.line("client: job %s is shown as %q; %d of its runs have ended as failed", id, state, failed)
		if state == "failed" && failed == 0 && broken == "" {
			broken = fmt.Sprintf("LOST: job %s is shown as failed, though none of its runs has ended so (max-attempts is 4)", id)
		}
		if id == once && !trouble && state != "completed" || id == lasting && !trouble && state != "running" {
			broken = fmt.Sprintf("job %s is shown as %q without a disruption", id, state)
		}
	}
	return broken, nil
}

// crashUnder crashes the worker on which a task of the job runs, up to maxCrashes times, each time
// once the task has run for a while.
func (c *cluster) crashUnder(id string) {
	crashes := 0
	for until := time.Now().Add(40 * time.Second); crashes < maxCrashes && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for _, r := range c.runs.ofJob(id) {
			seen := r.snapshot()
			if seen.how != "" || time.Since(seen.startedAt) < runBeforeCrash {
				continue
			}
			crashes++
			r.worker.crash()
			time.AfterFunc(workersDown, func() {
				if err := r.worker.start(); err != nil {
					c.record.line("worker %s can't start again: %v", r.worker.name, err)
				}
			})
		}
	}
}
