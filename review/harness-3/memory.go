//go:build review3

package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// entryMemory is memory-mb of the entries.
	entryMemory = 284
	// restartDelay is how long a process that was killed for its memory stays down.
	restartDelay = time.Second
)

// memoryGuard does what the platform does with a process that exceeds its memory.
type memoryGuard struct {
	entry  *process
	binary string

	// mu protects the rest, and is held while the process is not there.
	mu    sync.Mutex
	kills int
	peak  int
}

// resident returns the resident memory of a process in MB.
func resident(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		var kilobytes int
		if _, err := fmt.Sscanf(string(line), "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes / 1024
		}
	}
	return 0
}

func (guard *memoryGuard) watch() {
	for range time.Tick(20 * time.Millisecond) {
		guard.mu.Lock()
		used := resident(guard.entry.command.Process.Pid)
		guard.peak = max(guard.peak, used)
		if used > entryMemory {
			guard.kills++
			logf("process %s uses %d MB, more than memory-mb = %d, and is killed", guard.entry.name, used, entryMemory)
			guard.restart()
		}
		guard.mu.Unlock()
	}
}

// restart kills the process and starts it again. The caller holds the lock.
func (guard *memoryGuard) restart() {
	guard.entry.kill()
	time.Sleep(restartDelay)
	if err := guard.entry.start(guard.binary); err != nil {
		logf("process %s can't be started: %v", guard.entry.name, err)
	}
}

func (guard *memoryGuard) killed() int {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.kills
}

func logMemory(guards []*memoryGuard) {
	lines := make([]string, len(guards))
	for index, guard := range guards {
		guard.mu.Lock()
		lines[index] = fmt.Sprintf("%s %d MB, at most %d MB, killed %d times", guard.entry.name, resident(guard.entry.command.Process.Pid), guard.peak, guard.kills)
		guard.mu.Unlock()
	}
	logf("memory: %s", strings.Join(lines, "; "))
}
