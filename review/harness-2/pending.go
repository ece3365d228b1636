//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["pending"] = pending }

// pending kills two of three entries while jobs wait for capacity, and asks the third one how many wait.
func pending(record *record, trouble bool) (verdict string, err error) {
	const (
		workers, jobs = 11, 300
		submitGap     = 10 * time.Millisecond
		// The rule counts jobs that were accepted over visible_ms and 2 s before.
		waitFor = 6 * time.Second
		askFor  = 4 * time.Second
	)
	cluster, err := startCluster(record, 3, 0, workers)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	if _, err := submit(cluster, record, 0, jobBody(workers, 60000, `{"lasting":true}`, `,"long-running":true`)); err != nil {
		return "", err
	}
	for until := time.Now().Add(15 * time.Second); len(record.all()) < workers; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			return "", fmt.Errorf("only %d workers are in use", len(record.all()))
		}
	}
	var accepted atomic.Int64
	var callers sync.WaitGroup
	for index := range jobs {
		callers.Go(func() {
			if _, err := submit(cluster, record, index%3, jobBody(1, 8000, `{"ms":200}`, `,"estimate-ms":200`)); err == nil {
				accepted.Add(1)
			}
		})
		time.Sleep(submitGap)
	}
	callers.Wait()
	time.Sleep(waitFor)
	if begun := len(record.all()) - workers; begun > 0 {
		return "", fmt.Errorf("%d jobs have begun", begun)
	}
	if trouble {
		for _, entry := range cluster.entries[:2] {
			cluster.signal(entry, syscall.SIGKILL)
			go cluster.restart(entry)
		}
	}
	lowest, wrong, asked := jobs, 0, 0
	for until := time.Now().Add(askFor); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		status, answer := cluster.call(2, http.MethodGet, "", "", 1500*time.Millisecond)
		record.event("GET %s at %s: %d %s", queuePrefix, cluster.entries[2].name, status, answer)
		var count struct {
			Pending *int `json:"pending-jobs"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(answer), &count) != nil || count.Pending == nil {
			continue
		}
		asked++
		lowest = min(lowest, *count.Pending)
		if 2**count.Pending < int(accepted.Load()) {
			wrong++
		}
	}
	if begun := len(record.all()) - workers; begun > 0 {
		return "", fmt.Errorf("%d jobs have begun", begun)
	}
	verdict = fmt.Sprintf("%d accepted jobs have not begun; %s gave %d at least, under half in %d of %d answers", accepted.Load(), cluster.entries[2].name, lowest, wrong, asked)
	if wrong > 0 {
		return "MIXED: " + verdict, errBroken
	}
	return verdict, nil
}
