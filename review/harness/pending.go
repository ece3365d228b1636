//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["pending"] = scenario{entries: 3, agents: 2, play: playPending} }

const visibleTime = 3000 * time.Millisecond

// playPending kills two of three entries while jobs wait for workers, and asks the third one how
// many of them haven't begun.
func playPending(c *cluster, trouble bool) (broken string, err error) {
	const (
		filling = 40
		waiting = 300
	)
	for _, w := range c.workers {
		w.quiet = true
	}
	hand := func(kind, count int, spec string) {
		var clients sync.WaitGroup
		for number := range count {
			clients.Add(1)
			go func() {
				defer clients.Done()
				c.submit(number%c.entries, jobID(kind, number), job(spec, step(1, 6400, 60*time.Second, nil)), true)
			}()
		}
		clients.Wait()
	}
	hand(10, filling, "work=100s")
	time.Sleep(time.Second)
	hand(11, waiting, "work=100s")
	c.record.line("clients: %d jobs that fill the workers and %d jobs were accepted", filling, waiting)
	time.Sleep(visibleTime + 3*time.Second)
	started := len(c.runs.all())
	if trouble {
		c.kill("edge-1")
		c.kill("edge-2")
		c.record.line("processes of entries 1 and 2 are killed")
	}
	killedAt := time.Now()
	notBegun := filling + waiting - started
	for time.Since(killedAt) < 6*time.Second {
		got := c.request(http.MethodGet, 2, prefix, nil, callerTimeout)
		var count struct {
			Pending int `json:"pending-jobs"`
		}
		if err := json.Unmarshal([]byte(got.body), &count); err == nil && got.status == http.StatusOK {
			c.record.line("client: GET %s at entry 3, %s after the kill: %d of %d jobs", prefix, time.Since(killedAt).Round(time.Millisecond), count.Pending, notBegun)
			if 2*count.Pending < notBegun && broken == "" {
				broken = fmt.Sprintf("MIXED: entry 3 gives %d as pending-jobs, %s after the kill of the others; %d jobs that were accepted over %s before haven't begun", count.Pending,
					time.Since(killedAt).Round(time.Millisecond), notBegun, visibleTime+2*time.Second)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return broken, nil
}
