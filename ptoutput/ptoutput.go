// Package ptoutput writes the log lines of a process without blocking the code that logs.
//
// # How it works
//
//  1. Lines are added to a bounded queue, and one goroutine writes them to the output. A
//     token bucket with the rate [LinesPerSecond] and the size [Burst] limits the lines.
//     If the bucket is empty or the queue is full, the line is dropped and counted.
//  2. Lines that are queued within [batchDelay] are written with one call, because each
//     write costs as much as formatting the line.
//  3. Before the next line that can be queued, the number of dropped lines is written as
//     a line of its own, so that a reader sees how many lines are missing.
//
// # Usage
//
//	writer := ptoutput.New(os.Stdout)
//	logger := logr.FromSlogHandler(slog.NewJSONHandler(writer, nil))
//	defer writer.Close()
package ptoutput

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// LinesPerSecond is the sustained rate limit. It allows about one line for each job that
	// an entry completes at the load that it is designed for.
	LinesPerSecond = 300
	// Burst is the number of lines that may be written at once, for example when a worker
	// is lost.
	Burst = 600
	// batchDelay is how long the first line of a batch waits for further lines.
	batchDelay = 20 * time.Millisecond
	// queueCapacity is the capacity of the queue, in lines.
	queueCapacity = 1024
)

// Writer is an io.Writer whose callers write one complete line with each call. It is safe
// for concurrent use.
type Writer struct {
	lines chan []byte
	done  chan struct{}
	// closing is set by Close; run then writes the queued lines without batchDelay.
	closing atomic.Bool

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
	dropped    int
	closed     bool
}

// New returns a writer that writes to output, and starts the goroutine that writes the queued
// lines. Close ends the goroutine.
func New(output io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, queueCapacity), done: make(chan struct{}), tokens: Burst, lastRefill: time.Now()}
	go writer.run(output)
	return writer
}

// run writes the queued lines to output until the writer is closed and the queue is empty.
func (writer *Writer) run(output io.Writer) {
	defer close(writer.done)
	for line := range writer.lines {
		if !writer.closing.Load() {
			time.Sleep(batchDelay)
		}
		for more := len(writer.lines); more > 0; more-- {
			line = append(line, <-writer.lines...)
		}
		// A write error is ignored: the log output was the only place to report it.
		_, _ = output.Write(line)
	}
}

// Write implements io.Writer. It never returns an error: a line that can't be queued is
// dropped and counted.
func (writer *Writer) Write(line []byte) (size int, err error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	if writer.closed {
		return len(line), nil
	}
	now := time.Now()
	writer.tokens = min(Burst, writer.tokens+now.Sub(writer.lastRefill).Seconds()*LinesPerSecond)
	writer.lastRefill = now
	if writer.tokens < 1 {
		writer.dropped++
		return len(line), nil
	}
	if writer.dropped > 0 && !writer.enqueue(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"lines dropped\",\"count\":%d}\n", writer.dropped)) {
		writer.dropped++
		return len(line), nil
	}
	writer.dropped = 0
	if !writer.enqueue(append([]byte(nil), line...)) {
		writer.dropped++
		return len(line), nil
	}
	writer.tokens--
	return len(line), nil
}

// enqueue adds a line to the queue. It returns false if the queue is full.
func (writer *Writer) enqueue(line []byte) (ok bool) {
	select {
	case writer.lines <- line:
		return true
	default:
		return false
	}
}

// Close writes the queued lines and then returns. Lines written later are discarded.
func (writer *Writer) Close() {
	writer.mu.Lock()
	if !writer.closed {
		writer.closed = true
		writer.closing.Store(true)
		close(writer.lines)
	}
	writer.mu.Unlock()
	<-writer.done
}
