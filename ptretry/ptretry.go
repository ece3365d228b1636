// Package ptretry bounds how often tasks are placed again. It has no I/O.
//
// # How it works
//
//  1. A task is placed again only with the proof that it has not started; this
//     package never sees the others.
//  2. One task has at most [MaxAttempts] placements.
//  3. All tasks of a service share a budget: every first placement adds
//     [TokensPerPlacement] of a token, every further one takes a whole one, and [MaxTokens] tokens
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
	// MaxAttempts is how often one task is placed at the most.
	MaxAttempts ptid.Attempt = 8
	// TokensPerPlacement is how much of a further placement each first placement pays for.
	TokensPerPlacement = 0.2
	// MaxTokens is how many tokens a full budget holds.
	MaxTokens = 2000
)

// Budget is the shared budget. It is not safe for concurrent use.
type Budget struct{ tokens float64 }

// New returns a full budget.
func New() *Budget { return &Budget{tokens: MaxTokens} }

// RecordPlacement counts a first placement.
func (budget *Budget) RecordPlacement() {
	budget.tokens = min(MaxTokens, budget.tokens+TokensPerPlacement)
}

// Allow reports whether a task may be placed after the given attempt, and takes
// the token if so.
func (budget *Budget) Allow(attempt ptid.Attempt) (allowed bool) {
	if attempt >= MaxAttempts || budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
