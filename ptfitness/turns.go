package ptfitness

import (
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// turnSpan is how long an entry has the turn: each has callers within it on a day
	// with load.
	turnSpan = 250 * time.Millisecond
	// firstPause is that after the first run that brought no better word; it doubles up to
	// longestPause, which bounds how late a worker that is sound again is found.
	firstPause   = 250 * time.Millisecond
	longestPause = 2 * time.Second
)

// ProbeTurns deals out, to one entry at a time, the turn to try a worker that may be bad.
type ProbeTurns struct {
	// last had the turn before the next one, holder has it until an instant.
	last, holder ptid.EntryName
	until        ptid.Instant
	pause        time.Duration
	nextAt       ptid.Instant
	waiting      bool
}

// NewProbeTurns returns turns that nobody holds.
func NewProbeTurns() *ProbeTurns { return &ProbeTurns{pause: firstPause} }

// Holder returns the entry whose turn it is; empty where it is nobody's.
func (turns *ProbeTurns) Holder() ptid.EntryName { return turns.holder }

// Probed records that a worker that looks bad got a run: the turn is used.
func (turns *ProbeTurns) Probed() { turns.holder, turns.waiting = "", true }

// Next returns the entry that has the turn from now on, where that has changed. entries are
// those with a session, in any order; idle tells that the worker has no run.
func (turns *ProbeTurns) Next(poor, idle bool, entries []ptid.EntryName, now ptid.Instant) (holder ptid.EntryName, changed bool) {
	switch {
	case !poor:
		*turns = ProbeTurns{pause: firstPause, last: turns.last}
		return "", false
	case !idle:
		turns.Probed()
		return "", false
	case turns.waiting:
		// The runs that were there have ended, and the word is still poor.
		turns.waiting, turns.nextAt = false, now.Add(turns.pause)
		turns.pause = min(2*turns.pause, longestPause)
	}
	if now < turns.nextAt || turns.holder != "" && now < turns.until || len(entries) == 0 {
		return turns.holder, false
	}
	slices.Sort(entries)
	after, _ := slices.BinarySearch(entries, turns.last+"\x00")
	turns.holder, turns.until = entries[after%len(entries)], now.Add(turnSpan)
	turns.last = turns.holder
	return turns.holder, true
}
