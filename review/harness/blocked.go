//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["blocked"] = scenario{entries: 3, agents: 4, play: playBlocked} }

// workersDown is how long crashed workers are down, as in galw-nol.toml.
const workersDown = 4500 * time.Millisecond

// playBlocked crashes all workers once while a job of overlapping occurrences runs, and looks for
// later jobs that have nothing running while a task's turn has come.
func playBlocked(c *cluster, trouble bool) (broken string, err error) {
	const (
		occurrences, tasks = 12, 220
		interval           = 300 * time.Millisecond
		later              = 20
	)
	for _, w := range c.workers {
		w.quiet = true
	}
	large := jobID(2, 0)
	body := job("work=8s checkpoint", step(tasks, 50, 8*time.Second, map[string]any{"checkpointable": true}))
	startAt := time.Now().Add(1500 * time.Millisecond)
	body["times"], body["start-at-ms"], body["interval-ms"] = occurrences, startAt.UnixMilli(), interval.Milliseconds()
	c.record.line("client: job %s has %d occurrences of %d tasks, each 8 s on 0.05 cores, one each %s", large, occurrences, tasks, interval)
	if !c.submit(0, large, body, false) {
		return "", fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(time.Until(startAt.Add(occurrences*interval + 1500*time.Millisecond)))
	c.reportWorkers()
	if trouble {
		for _, w := range c.workers {
			w.crash()
		}
		time.Sleep(workersDown)
		for _, w := range c.workers {
			if err := w.start(); err != nil {
				return "", err
			}
		}
	}
	time.Sleep(20 * time.Second)
	c.reportWorkers()
	// The first step has a task on each worker.
	spread := job("work=200ms", step(c.agents, 1000, 200*time.Millisecond, map[string]any{"anti-affinity": 1}), step(1, 1000, 200*time.Millisecond, map[string]any{"after": []int{0}}))
	ids := make([]string, later)
	var clients sync.WaitGroup
	for number := range ids {
		ids[number] = jobID(3, number)
		clients.Add(1)
		go func() {
			defer clients.Done()
			if !c.submit(number%c.entries, ids[number], spread, false) {
				ids[number] = ""
			}
		}()
	}
	clients.Wait()
	time.Sleep(finishTime)
	c.reportWorkers()
	c.record.line("client: job %s is shown as %q", large, c.state(1, large))
	stuck := 0
	for number, id := range ids {
		if id == "" {
			continue
		}
		state, waits := c.state(number%c.entries, id), c.waitsSince(id)
		c.record.line("client: job %s is shown as %q; nothing of it has run for %s", id, state, waits.Round(time.Millisecond))
		if state == "completed" || waits < 3*time.Second {
			continue
		}
		for _, r := range c.runs.ofJob(id) {
			seen := r.snapshot()
			c.record.line("worker %s: task %s run %d started at %s and ended at %s as %q (end number %d), noted at %s", seen.worker, seen.task, seen.number,
				c.record.at(seen.startedAt), c.record.at(seen.endAt), seen.how, seen.sequence, c.record.at(seen.notedAt))
		}
		if stuck++; broken == "" {
			broken = fmt.Sprintf("LOST: %s after it was accepted, job %s is shown as %q; nothing of it has run for %s, though a task's turn has come and the workers are free", finishTime, id, state, waits.Round(time.Millisecond))
		}
	}
	if stuck > 1 {
		broken += fmt.Sprintf(" (%d of %d jobs)", stuck, later)
	}
	got := c.request(http.MethodPost, 1, prefix+jobID(4, 0), map[string]any{"spec": "work=200ms", "best-effort": true, "steps": []any{step(1, 1000, 200*time.Millisecond, nil)}}, callerTimeout)
	c.record.line("client: a best-effort job of one task of 200 ms is answered %d %s", got.status, got.body)
	return broken, nil
}

// waitsSince returns how long nothing of a job has run.
func (c *cluster) waitsSince(id string) time.Duration {
	last := time.Time{}
	for _, r := range c.runs.ofJob(id) {
		seen := r.snapshot()
		if seen.how == "" {
			return 0
		}
		if seen.endAt.After(last) {
			last = seen.endAt
		}
	}
	if last.IsZero() {
		return finishTime
	}
	return time.Since(last)
}

func (c *cluster) reportWorkers() {
	for _, w := range c.workers {
		active, unacknowledged := w.activeCount()
		c.record.line("worker %s: %d runs, %d ends that are not taken note of", w.name, active, unacknowledged)
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.record.line("store: %d appends refused because of their size so far", c.store.refused)
}
