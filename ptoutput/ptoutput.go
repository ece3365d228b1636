// Package ptoutput writes the log lines of a process without ever blocking it.
//
// # How it works
//
//  1. Lines wait in a bounded queue for one writer. Where it is full, or more than
//     [LinesPerSecond] have come within a second after a burst of [Burst], a line is
//     dropped and counted.
//  2. Lines that come within [gatherFor] are written together, since each write costs as
//     much as making the line.
//  3. The count is written as a line of its own when there is room again, so that a
//     reader knows what is missing.
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
	// LinesPerSecond bounds the lines over time: about one for each job that an entry
	// of the target size ends.
	LinesPerSecond = 300
	// Burst is how many lines may come at once, as when a worker is lost.
	Burst = 600
	// gatherFor is how long a line waits for others to be written with.
	gatherFor = 20 * time.Millisecond
	// queued is how many lines wait for a slow reader of the output.
	queued = 1024
)

// Writer is an io.Writer of whole lines. It is safe for concurrent use.
type Writer struct {
	lines chan []byte
	done  chan struct{}
	// closing is set when nothing more is to be waited for.
	closing atomic.Bool

	mu      sync.Mutex
	credit  float64
	last    time.Time
	dropped int
	closed  bool
}

// New returns a writer to output.
func New(output io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, queued), done: make(chan struct{}), credit: Burst, last: time.Now()}
	go writer.run(output)
	return writer
}

// run writes the lines that wait, until the writer is closed.
func (writer *Writer) run(output io.Writer) {
	defer close(writer.done)
	for line := range writer.lines {
		if !writer.closing.Load() {
			time.Sleep(gatherFor)
		}
		for more := len(writer.lines); more > 0; more-- {
			line = append(line, <-writer.lines...)
		}
		// There is nowhere to tell that the output is gone.
		_, _ = output.Write(line)
	}
}

// Write implements io.Writer. It never fails: a line that finds no room is counted.
func (writer *Writer) Write(line []byte) (size int, err error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	if writer.closed {
		return len(line), nil
	}
	now := time.Now()
	writer.credit = min(Burst, writer.credit+now.Sub(writer.last).Seconds()*LinesPerSecond)
	writer.last = now
	if writer.credit < 1 {
		writer.dropped++
		return len(line), nil
	}
	if writer.dropped > 0 && !writer.offer(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"lines dropped\",\"count\":%d}\n", writer.dropped)) {
		writer.dropped++
		return len(line), nil
	}
	writer.dropped = 0
	if !writer.offer(append([]byte(nil), line...)) {
		writer.dropped++
		return len(line), nil
	}
	writer.credit--
	return len(line), nil
}

func (writer *Writer) offer(line []byte) (queued bool) {
	select {
	case writer.lines <- line:
		return true
	default:
		return false
	}
}

// Close writes what waits and returns.
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
