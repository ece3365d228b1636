// Package ptretry limits how often tasks are placed again. It has no I/O.
//
// # How it works
//
//  1. A task is placed again only after the proof that the previous attempt has not
//     started. The caller has to check that before it calls this package.
//  2. A task is placed at most [MaxAttempts] times.
//  3. All tasks of a service share a token bucket: every first placement adds
//     [TokensPerPlacement] tokens, every further placement takes one token, and the
//     bucket starts full with [MaxTokens] tokens. This bounds the extra traffic of a
//     fault that makes every task fail to start.
//
// # Usage
//
//	budget.RecordPlacement()
//	if budget.Allow(attempt) { requeue() }
package ptretry

import "github.com/primrosetiller/primrosetiller/ptid"

const (
	// MaxAttempts is the maximum number of placements of a task.
	MaxAttempts ptid.Attempt = 8
	// TokensPerPlacement is how many tokens a first placement adds to the budget.
	TokensPerPlacement = 0.2
	// MaxTokens is how many tokens a full budget holds.
	MaxTokens = 2000
)

// Budget is the retry budget of a service. It is not safe for concurrent use.
type Budget struct{ tokens float64 }

// New returns a full budget.
func New() *Budget { return &Budget{tokens: MaxTokens} }

// RecordPlacement adds the tokens of a first placement.
func (budget *Budget) RecordPlacement() {
	budget.tokens = min(MaxTokens, budget.tokens+TokensPerPlacement)
}

// Allow reports whether a task may be placed again after the given attempt, and takes a
// token if so.
func (budget *Budget) Allow(attempt ptid.Attempt) (allowed bool) {
	if attempt >= MaxAttempts || budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
