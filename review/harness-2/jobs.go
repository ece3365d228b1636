//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// resendAfter is how long a client waits before it sends a job again.
const resendAfter = 1300 * time.Millisecond

// jobBody returns the body of a job of one step. fields are further fields of the step.
func jobBody(count, cpu int, work, fields string) string {
	return fmt.Sprintf(`{"spec":%s,"steps":[{"count":%d,"cpu":%d,%q:64%s}]}`, strconv.Quote(work), count, cpu, wire.Memory, fields)
}

// submit hands in a job that has to be kept until it is accepted.
func submit(cluster *cluster, record *record, entry int, body string) (id string, err error) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	for range 8 {
		status, answer := cluster.call(entry, http.MethodPost, id, body, 1500*time.Millisecond)
		record.event("POST %s at %s: %d %s", id, cluster.entries[entry].name, status, answer)
		if status == http.StatusOK {
			return id, nil
		}
		time.Sleep(resendAfter)
	}
	return "", fmt.Errorf("job %s was not accepted", id)
}

// state asks an entry for the state of a job.
func (cluster *cluster) state(record *record, entry int, id string) (answer string) {
	status, answer := cluster.call(entry, http.MethodGet, id, "", 1500*time.Millisecond)
	record.event("GET %s at %s: %d %s", id, cluster.entries[entry].name, status, answer)
	return answer
}

// activeRun returns the present run of a task; nil if there is none.
func activeRun(record *record, task string) *taskRun {
	for _, run := range record.runsOf(task) {
		if run.ended.IsZero() {
			return run
		}
	}
	return nil
}

func awaitRun(record *record, task string, timeout time.Duration) *taskRun {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if run := activeRun(record, task); run != nil {
			return run
		}
	}
	return nil
}

func (cluster *cluster) workerOf(run *taskRun) *worker {
	for _, worker := range cluster.workers {
		if worker.machine == run.machine {
			return worker
		}
	}
	return nil
}

func describe(runs []*taskRun) (text string) {
	for index, run := range runs {
		if index > 0 {
			text += "; "
		}
		text += run.String()
	}
	return text
}

// handIn hands in jobs of one task, to all entries in turn.
func (cluster *cluster) handIn(record *record, count int, gap time.Duration, body string) (ids []string, err error) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for index := range count {
		callers.Go(func() {
			id, submitErr := submit(cluster, record, index%3, body)
			mu.Lock()
			defer mu.Unlock()
			if submitErr != nil {
				err = submitErr
				return
			}
			ids = append(ids, id)
		})
		time.Sleep(gap)
	}
	callers.Wait()
	return ids, err
}

// isDone reports whether the only task of a job has ended as done.
func (cluster *cluster) isDone(record *record, id string) bool {
	for _, run := range record.runsOf(id + ".0.0.0") {
		if run.how == "done" {
			return true
		}
	}
	return false
}

func (cluster *cluster) activeRuns(record *record) (count int) {
	for _, run := range record.all() {
		if run.ended.IsZero() {
			count++
		}
	}
	return count
}
