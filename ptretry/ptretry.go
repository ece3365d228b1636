// Package ptretry bounds how often tasks are placed again. It has no I/O.
//
// # How it works
//
//  1. A task is placed again only with the proof that it has not started; this
//     package never sees the others.
//  2. One task has at most [MostAttempts] placements.
//  3. All tasks of a service share a budget: every first placement adds
//     [Share] of a token, every further one takes a whole one, and [Reserve] tokens
//     are there from the start. A fault that makes everything come back so costs a
//     bounded part of the traffic.
//
// # Usage
//
//	budget.Placed()
//	if budget.Allow(attempt) { requeue() }
package ptretry

import "github.com/primrosetiller/primrosetiller/ptid"

const (
	// MostAttempts is how often one task is placed at the most.
	MostAttempts ptid.Attempt = 8
	// Share is how much of a further placement each first placement pays for.
	Share = 0.2
	// Reserve is how many tokens a full budget holds.
	Reserve = 2000
)

// Budget is the shared budget. It is not safe for concurrent use.
type Budget struct{ tokens float64 }

// New returns a full budget.
func New() *Budget { return &Budget{tokens: Reserve} }

// Placed counts a first placement.
func (budget *Budget) Placed() { budget.tokens = min(Reserve, budget.tokens+Share) }

// Allow reports whether a task may be placed after the given attempt, and takes
// the token if so.
func (budget *Budget) Allow(attempt ptid.Attempt) (allowed bool) {
	if attempt >= MostAttempts || budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
