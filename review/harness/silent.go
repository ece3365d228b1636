//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["silent"] = scenario{entries: 3, agents: 3, play: playSilent} }

// configDeadline is config-deadline-ms.
const configDeadline = 2000 * time.Millisecond

// playSilent lets the open connections of the entries to the store go silent for good, while new
// ones work. Then a route is added, and clients use it once it must be in force.
func playSilent(c *cluster, trouble bool) (broken string, err error) {
	const (
		rounds    = 3
		roundTime = 12 * time.Second
	)
	queues := []queue{{"lohu930", prefix}}
	for round := range rounds {
		time.Sleep(3 * time.Second)
		silencedAt := time.Now()
		if trouble {
			for entry := range c.entries {
				c.record.line("network: %d open connections of entry %d to the store go silent, new ones work", c.storeRelays[entry].silence(), entry+1)
			}
		}
		time.Sleep(200 * time.Millisecond)
		added := queue{fmt.Sprint("route", round), fmt.Sprintf("/route%d/", round)}
		queues = append(queues, added)
		c.configure(round+2, queues...)
		acknowledgedAt := time.Now()
		c.record.line("operator: version %d, which adds %s, is acknowledged", round+2, added.prefix)
		judgedAfter := acknowledgedAt.Add(configDeadline)
		if contactAt := silencedAt.Add(contact); contactAt.After(judgedAfter) {
			judgedAfter = contactAt
		}
		stale := make([]bool, c.entries)
		for entry := range stale {
			stale[entry] = true
		}
		for time.Since(silencedAt) < roundTime {
			for entry := range c.entries {
				sentAt := time.Now()
				got := c.request(http.MethodGet, entry, added.prefix, nil, callerTimeout)
				if got.status == http.StatusOK && stale[entry] {
					stale[entry] = false
					c.record.line("client: GET %s at entry %d, sent %s after the acknowledgement: the first 200", added.prefix, entry+1, sentAt.Sub(acknowledgedAt).Round(time.Millisecond))
				}
				if got.status == http.StatusNotFound && sentAt.After(judgedAfter) {
					c.record.line("client: GET %s at entry %d, sent %s after the acknowledgement: %d %s", added.prefix, entry+1, sentAt.Sub(acknowledgedAt).Round(time.Millisecond), got.status, got.body)
					broken = fmt.Sprintf("CONFIG: a request sent %s after the acknowledgement of version %d, %s after connections went silent, is refused with 404 at entry %d though the route is there",
						sentAt.Sub(acknowledgedAt).Round(time.Millisecond), round+2, sentAt.Sub(silencedAt).Round(time.Millisecond), entry+1)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return broken, nil
}
