// Package ptassert asserts invariants inside the running program.
//
// # Usage
//
//	ptassert.That(spent <= window, "lease overspent", "agent", name)
//
// # Rules
//
//  1. Assertions are always compiled in. A broken one is counted and handed to
//     the reporter; the program goes on, because ending an entry would fail
//     every job that it holds.
//  2. In tests [PanicOnFailure] is set, and a broken invariant panics.
//  3. The message is a constant: it names the invariant. Details are pairs of
//     name and value, as in a structured log.
//
// # Limits
//
// The reporter and the switch are process-wide. That is the one global state of
// the program; it carries no decision.
package ptassert

import (
	"fmt"
	"sync/atomic"
)

// Reporter receives a broken invariant with its details.
type Reporter func(invariant string, details []any)

var (
	broken   atomic.Uint64
	fatal    atomic.Bool
	reporter atomic.Pointer[Reporter]
)

// PanicOnFailure makes every broken invariant panic. Tests call it.
func PanicOnFailure() { fatal.Store(true) }

// SetReporter sets the reporter of broken invariants.
func SetReporter(report Reporter) { reporter.Store(&report) }

// FailureCount returns how many assertions have failed in this process.
func FailureCount() uint64 { return broken.Load() }

// That asserts that an invariant holds and reports whether it does.
func That(holds bool, invariant string, details ...any) (ok bool) {
	if holds {
		return true
	}
	broken.Add(1)
	if report := reporter.Load(); report != nil {
		(*report)(invariant, details)
	}
	if fatal.Load() {
		panic(fmt.Sprint("invariant broken: ", invariant, " ", details))
	}
	return false
}
