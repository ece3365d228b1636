//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { scenarios["cuts"] = scenario{entries: 3, agents: 6, play: playCuts} }

const (
	maxCuts = 4
	// serverCutTime is the length of a cut, the default of `fleetbench kinds`.
	serverCutTime = 5 * time.Second
	// runBeforeCut is how long the task runs before its worker is cut off.
	runBeforeCut = 3 * time.Second
)

// playCuts cuts the worker of a task off from its machine, four times, and looks for a job that is
// shown as failed though no run of it has ended so and no worker has crashed.
func playCuts(c *cluster, trouble bool) (broken string, err error) {
	id := jobID(5, 0)
	if !c.submit(0, id, job("work=12s", step(1, 6200, 12*time.Second, nil)), false) {
		return "", fmt.Errorf("the job was not accepted")
	}
	cuts := 0
	for until := time.Now().Add(60 * time.Second); trouble && cuts < maxCuts && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for _, r := range c.runs.ofJob(id) {
			seen := r.snapshot()
			if seen.how != "" || time.Since(seen.startedAt) < runBeforeCut || r.worker.isCut() {
				continue
			}
			cuts++
			r.worker.cutOff(serverCutTime)
		}
	}
	time.Sleep(16 * time.Second)
	state, failed := c.state(2, id), 0
	for _, r := range c.runs.ofJob(id) {
		seen := r.snapshot()
		if seen.how == "failed" || seen.how == "crashed" {
			failed++
		}
		c.record.line("worker %s (%s): task %s run %d started at %s, %q at %s", seen.worker, seen.life, seen.task, seen.number, c.record.at(seen.startedAt), seen.how, c.record.at(seen.endAt))
	}
	c.record.line("client: job %s is shown as %q", id, state)
	switch {
	case state == "failed" && failed == 0:
		broken = fmt.Sprintf("LOST: job %s is shown as failed, though none of its runs has ended so and no worker has crashed", id)
	case !trouble && state != "completed":
		broken = fmt.Sprintf("job %s is shown as %q without a disruption", id, state)
	}
	return broken, nil
}
