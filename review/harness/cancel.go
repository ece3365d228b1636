//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["cancel"] = scenario{entries: 3, agents: 6, play: playCancel} }

// lostShare and lostTime are the share of the writes without an answer and for how long, as in
// galw-nol.toml.
const (
	lostShare = 0.35
	lostTime  = 4500 * time.Millisecond
	// maxLate is how late a write without an answer is carried out at most.
	maxLate = 6 * time.Second
)

// playCancel lets the store lose answers for a while. Clients whose submission gets no 2xx and no
// refusal give up and cancel the job; once the cancelling is acknowledged, no task of the job may
// start or go on for longer than cancel_ms.
func playCancel(c *cluster, trouble bool) (broken string, err error) {
	const (
		jobs     = 150
		interval = 30 * time.Millisecond
	)
	for _, w := range c.workers {
		w.quiet = true
	}
	var mu sync.Mutex
	cancelled := make(map[string]time.Time)
	if trouble {
		c.record.line("store: for %s a share of %.2f of the appends gets no answer and is carried out 1 to 6 s later", lostTime, lostShare)
		c.store.mu.Lock()
		c.store.loseAppend = func(string) (time.Duration, bool) {
			return time.Second + rand.N(maxLate-time.Second), rand.Float64() < lostShare
		}
		c.store.mu.Unlock()
		time.AfterFunc(lostTime, func() {
			c.store.mu.Lock()
			c.store.loseAppend = nil
			c.store.mu.Unlock()
			c.record.line("store: all appends are answered again")
		})
	}
	var clients sync.WaitGroup
	startAt := time.Now()
	for number := range jobs {
		time.Sleep(time.Until(startAt.Add(time.Duration(number) * interval)))
		clients.Add(1)
		go func() {
			defer clients.Done()
			id, entry := jobID(7, number), number%c.entries
			got := c.request(http.MethodPost, entry, prefix+id, job("work=30s", step(1, 1000, 30*time.Second, nil)), callerTimeout)
			if got.status != 0 && got.status != http.StatusGatewayTimeout {
				return
			}
			c.record.line("client: POST %s at entry %d: %d %s; the client gives up", id, entry+1, got.status, strings.TrimSpace(got.body))
			for attempt := range 10 {
				target := (entry + 1 + attempt) % c.entries
				got := c.request(http.MethodDelete, target, prefix+id, nil, callerTimeout)
				c.record.line("client: DELETE %s at entry %d: %d %s", id, target+1, got.status, strings.TrimSpace(got.body))
				if got.status/100 == 2 || got.status == http.StatusGone {
					mu.Lock()
					cancelled[id] = time.Now()
					mu.Unlock()
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	if len(cancelled) == 0 && trouble {
		return "", fmt.Errorf("no submission was left without a conclusion")
	}
	// Nothing disturbs the core any more once the last late write is carried out.
	calmAt := startAt.Add(lostTime + maxLate + contact)
	time.Sleep(time.Until(calmAt.Add(cancelTime + 2*time.Second)))
	for id, acknowledgedAt := range cancelled {
		state := c.state(0, id)
		for _, r := range c.runs.ofJob(id) {
			seen := r.snapshot()
			endAt := seen.endAt
			if seen.how == "" {
				endAt = time.Now()
			}
			c.record.line("job %s: cancelling acknowledged at %s; task %s run %d started at %s on %s, %q at %s; the job is shown as %q", id, c.record.at(acknowledgedAt),
				seen.task, seen.number, c.record.at(seen.startedAt), seen.worker, seen.how, c.record.at(seen.endAt), state)
			if late := endAt.Sub(acknowledgedAt); late > cancelTime+stopGrace && endAt.Sub(calmAt) > cancelTime+stopGrace && broken == "" {
				broken = fmt.Sprintf("UNASKED: the cancelling of job %s was acknowledged at %s; its task started at %s and was at work until %s or longer (%s after the acknowledgement)", id,
					c.record.at(acknowledgedAt), c.record.at(seen.startedAt), c.record.at(endAt), late.Round(time.Millisecond))
			}
		}
	}
	c.record.line("%d jobs were cancelled after a submission without a conclusion", len(cancelled))
	return broken, nil
}
