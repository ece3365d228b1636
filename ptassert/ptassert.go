// Package ptassert checks invariants in the running program.
//
// # Usage
//
//	ptassert.That(outstanding <= window, "no more tasks are sent than leased", "agent", name)
//
// # Rules
//
//  1. Assertions are always compiled in. A broken invariant is counted and passed to
//     the reporter, and the program continues, because terminating an entry would
//     fail all its open jobs.
//  2. Tests call [PanicOnFailure], so that a broken invariant panics.
//  3. The message is a constant that names the invariant. Details are alternating names
//     and values, as in a structured log line.
//
// # Limits
//
// The failure count, the reporter and the panic setting are global to the process. They
// are the only global state of the program, and no decision depends on them.
package ptassert

import (
	"fmt"
	"sync/atomic"
)

// Reporter is called with the name of a broken invariant and its details.
type Reporter func(invariant string, details []any)

var (
	failureCount   atomic.Uint64
	panicOnFailure atomic.Bool
	reporter       atomic.Pointer[Reporter]
)

// PanicOnFailure makes [That] panic if the invariant is broken. Tests call it.
func PanicOnFailure() { panicOnFailure.Store(true) }

// SetReporter sets the function that reports broken invariants.
func SetReporter(newReporter Reporter) { reporter.Store(&newReporter) }

// FailureCount returns the number of assertions that have failed in this process.
func FailureCount() uint64 { return failureCount.Load() }

// That asserts an invariant and returns condition. If condition is false, That counts the
// failure and calls the reporter, and panics if [PanicOnFailure] was called.
func That(condition bool, invariant string, details ...any) (holds bool) {
	if condition {
		return true
	}
	failureCount.Add(1)
	if report := reporter.Load(); report != nil {
		(*report)(invariant, details)
	}
	if panicOnFailure.Load() {
		panic(fmt.Sprint("invariant broken: ", invariant, " ", details))
	}
	return false
}
