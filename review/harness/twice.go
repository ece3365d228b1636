//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["twice"] = scenario{entries: 3, agents: 11, play: playTwice} }

// cutTime is the length of the cut, as in galw-nol.toml.
const cutTime = 5500 * time.Millisecond

// playTwice cuts one entry off from all other machines of the system while durable jobs run, and
// looks for a task that starts after one of its runs has ended as done and that end was noted.
func playTwice(c *cluster, trouble bool) (broken string, err error) {
	const (
		jobs     = 2000
		interval = 10 * time.Millisecond
		cutAfter = 5 * time.Second
	)
	accepted := make([]string, jobs)
	var clients sync.WaitGroup
	for _, w := range c.workers {
		w.quiet = true
	}
	if trouble {
		time.AfterFunc(cutAfter, func() {
			c.record.line("network: entry 1 is cut off from all other machines of the system for %s", cutTime)
			c.cutEntry(0, true)
		})
		time.AfterFunc(cutAfter+cutTime, func() {
			c.record.line("network: the cut is over")
			c.cutEntry(0, false)
		})
	}
	startAt := time.Now()
	for number := range jobs {
		time.Sleep(time.Until(startAt.Add(time.Duration(number) * interval)))
		id := jobID(1, number)
		clients.Add(1)
		go func() {
			defer clients.Done()
			// The clients of entry 1 reach the others.
			if c.submit(1+number%2, id, job("work=60ms", step(8, 6200, 60*time.Millisecond, nil)), true) {
				accepted[number] = id
			}
		}()
	}
	clients.Wait()
	c.record.line("clients: %d jobs were sent", jobs)
	time.Sleep(10 * time.Second)
	count := 0
	for _, id := range accepted {
		if id != "" {
			count++
		}
	}
	c.record.line("clients: %d jobs were accepted", count)
	return c.findTwice(), nil
}

// cutEntry cuts an entry off from all other machines of the system, or ends that.
func (c *cluster) cutEntry(entry int, on bool) {
	for ends, relay := range c.relays {
		if ends[0] != entry && ends[1] != entry {
			continue
		}
		if on {
			relay.cut()
		} else {
			relay.heal()
		}
	}
}

// findTwice returns the first task that broke TWICE: two runs at the same time, or a start after an
// end as done that was noted.
func (c *cluster) findTwice() (broken string) {
	byTask, cases := make(map[string][]snapshot), 0
	for _, r := range c.runs.all() {
		later := r.snapshot()
		for _, earlier := range byTask[later.task] {
			found := ""
			switch {
			case earlier.how == "" || earlier.endAt.After(later.startedAt):
				found = "at the same time"
			case earlier.how == "done" && !earlier.notedAt.IsZero():
				found = "after the end of the first as done, which was noted"
			default:
				continue
			}
			cases++
			text := fmt.Sprintf("task %s ran twice, %s: run %d on %s from %s to %s, %q, noted at %s (end number %d); run %d on %s from %s to %s, %q, noted at %s", later.task, found,
				earlier.number, earlier.worker, c.record.at(earlier.startedAt), c.record.at(earlier.endAt), earlier.how, c.record.at(earlier.notedAt), earlier.sequence,
				later.number, later.worker, c.record.at(later.startedAt), c.record.at(later.endAt), later.how, c.record.at(later.notedAt))
			if cases <= 20 {
				c.record.line("%s", text)
			}
			if broken == "" {
				broken = "TWICE: " + text
			}
		}
		byTask[later.task] = append(byTask[later.task], later)
	}
	c.record.line("%d runs of %d tasks, %d cases of TWICE", len(c.runs.all()), len(byTask), cases)
	if cases > 1 {
		broken += fmt.Sprintf(" (%d cases)", cases)
	}
	return broken
}
