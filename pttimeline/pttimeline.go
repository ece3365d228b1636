// Package pttimeline is the simulated time of seeded histories: a queue of what happens
// at which instant.
//
// # How it works
//
//  1. Events of one instant happen in the order in which they were added, so a history
//     depends on its seed alone.
//  2. An event may add others; none lies in the past.
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

// event is something that happens at an instant.
type event struct {
	at    ptid.Instant
	order int
	do    func()
}

type events []event

// Len implements heap.Interface.
func (events events) Len() int { return len(events) }

// Less implements heap.Interface.
func (events events) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].order < events[j].order
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

// Timeline is the time of one history. It is not safe for concurrent use.
type Timeline struct {
	now   ptid.Instant
	queue events
	order int
}

// New returns a timeline without events.
func New(start ptid.Instant) *Timeline { return &Timeline{now: start} }

// Now returns the instant of the present event.
func (timeline *Timeline) Now() ptid.Instant { return timeline.now }

// After adds an event.
func (timeline *Timeline) After(wait time.Duration, do func()) {
	timeline.order++
	heap.Push(&timeline.queue, event{at: timeline.now.Add(max(0, wait)), order: timeline.order, do: do})
}

// Every adds an event that comes again and again, first after one interval.
func (timeline *Timeline) Every(interval time.Duration, do func()) {
	timeline.After(interval, func() {
		do()
		timeline.Every(interval, do)
	})
}

// Step lets the next event happen; it is false where there is none.
func (timeline *Timeline) Step() (happened bool) {
	if len(timeline.queue) == 0 {
		return false
	}
	next := heap.Pop(&timeline.queue).(event)
	timeline.now = next.at
	next.do()
	return true
}

// RunUntil lets events happen until an instant.
func (timeline *Timeline) RunUntil(until ptid.Instant) {
	for len(timeline.queue) > 0 && timeline.queue[0].at <= until {
		timeline.Step()
	}
	timeline.now = max(timeline.now, until)
}
