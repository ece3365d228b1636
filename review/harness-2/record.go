//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"
)

var beganAt = time.Now()

// at returns the time since the start of the program.
func at(instant time.Time) string { return fmt.Sprintf("%.3f s", instant.Sub(beganAt).Seconds()) }

// record holds what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	events []string
	runs   []*taskRun
}

func (record *record) event(format string, arguments ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	line := at(time.Now()) + "  " + fmt.Sprintf(format, arguments...)
	record.events = append(record.events, line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Println(line)
	}
}

func (record *record) started(run *taskRun) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.runs = append(record.runs, run)
}

// runsOf returns the runs of a task in the order of their starts.
func (record *record) runsOf(task string) (runs []*taskRun) {
	record.mu.Lock()
	defer record.mu.Unlock()
	for _, run := range record.runs {
		if run.task == task {
			runs = append(runs, run)
		}
	}
	return runs
}

func (record *record) all() []*taskRun {
	record.mu.Lock()
	defer record.mu.Unlock()
	return slices.Clone(record.runs)
}

// write writes the record to a file.
func (record *record) write(path, verdict string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	buffer := bufio.NewWriter(file)
	fmt.Fprintln(buffer, verdict)
	fmt.Fprintln(buffer, "\n== events")
	for _, event := range record.events {
		fmt.Fprintln(buffer, event)
	}
	fmt.Fprintln(buffer, "\n== runs")
	for _, run := range record.all() {
		fmt.Fprintln(buffer, run)
	}
	return buffer.Flush()
}

func copyAll(target io.Writer, source io.Reader) (int64, error) {
	return io.Copy(target, io.LimitReader(source, 1<<20))
}
