// Package pttimeline implements discrete-event simulation: a simulated clock and a queue of
// events that are ordered by time.
//
// # How it works
//
//  1. Events at the same instant run in the order in which they were added. A simulation is
//     therefore reproducible if its events depend on nothing but the seed.
//  2. An event may add more events, but none in the past.
//
// # Usage
//
//	timeline := pttimeline.New(start)
//	timeline.After(time.Second, func() { … })
//	for timeline.Step() { … }
package pttimeline

import (
	"container/heap"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// event is a function that runs at an instant of simulated time.
type event struct {
	at       ptid.Instant
	sequence int
	action   func()
}

type events []event

// Len implements heap.Interface.
func (events events) Len() int { return len(events) }

// Less implements heap.Interface.
func (events events) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].sequence < events[j].sequence
}

// Swap implements heap.Interface.
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

// Push implements heap.Interface.
func (events *events) Push(value any) { *events = append(*events, value.(event)) }

// Pop implements heap.Interface.
func (events *events) Pop() any {
	old := *events
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*events = old[:len(old)-1]
	return last
}

// Timeline is the clock and event queue of one simulation. It is not safe for concurrent use.
type Timeline struct {
	now      ptid.Instant
	queue    events
	sequence int
}

// New returns a timeline without events whose clock shows start.
func New(start ptid.Instant) *Timeline { return &Timeline{now: start} }

// Now returns the simulated time, which is the time of the current event.
func (timeline *Timeline) Now() ptid.Instant { return timeline.now }

// After adds an event that runs after wait. A negative wait counts as zero.
func (timeline *Timeline) After(wait time.Duration, action func()) {
	timeline.sequence++
	heap.Push(&timeline.queue, event{at: timeline.now.Add(max(0, wait)), sequence: timeline.sequence, action: action})
}

// Every adds an event that is repeated at a fixed interval, for the first time after one
// interval.
func (timeline *Timeline) Every(interval time.Duration, action func()) {
	timeline.After(interval, func() {
		action()
		timeline.Every(interval, action)
	})
}

// Step advances the clock to the next event and runs it. It returns false if the queue is
// empty.
func (timeline *Timeline) Step() (ran bool) {
	if len(timeline.queue) == 0 {
		return false
	}
	next := heap.Pop(&timeline.queue).(event)
	timeline.now = next.at
	next.action()
	return true
}

// RunUntil runs all events up to and including an instant, and sets the clock to it.
func (timeline *Timeline) RunUntil(until ptid.Instant) {
	for len(timeline.queue) > 0 && timeline.queue[0].at <= until {
		timeline.Step()
	}
	timeline.now = max(timeline.now, until)
}
