package ptfitness

import (
	"slices"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// turnDuration is how long an entry has the turn: under load, every entry has jobs to
	// place within this time.
	turnDuration = 250 * time.Millisecond
	// initialPause is the pause after the first probe that did not improve the assessment. It
	// doubles up to maxPause, which bounds how late a recovered worker is detected.
	initialPause = 250 * time.Millisecond
	maxPause     = 500 * time.Millisecond
)

// improvedShare is the share of an earlier failure rate from which on a worker has improved. One
// successful run suffices.
const improvedShare = 0.8

// ProbeTurns assigns to one entry at a time the turn to send a probe run to a suspect worker.
type ProbeTurns struct {
	// last is the entry to which the latest turn was assigned. holder is the entry that has the
	// turn until expiresAt; empty if no entry has it.
	last, holder ptid.EntryName
	expiresAt    ptid.Instant
	pause        time.Duration
	nextTurnAt   ptid.Instant
	probeRunning bool
	// worst contains the worst values observed since the latest improvement. improved is true if the
	// assessment has improved since the latest turn.
	worst    Assessment
	improved bool
}

// NewProbeTurns returns turns without a holder.
func NewProbeTurns() *ProbeTurns { return &ProbeTurns{pause: initialPause} }

// Holder returns the entry that has the turn; empty if no entry has it.
func (turns *ProbeTurns) Holder() ptid.EntryName { return turns.holder }

// Probed records that the worker got a run, and ends the current turn.
func (turns *ProbeTurns) Probed() { turns.holder, turns.probeRunning = "", true }

// Observe records the current assessment of the worker. If it has improved clearly since the
// latest turn, the next turn begins without a pause, because the worker has probably recovered.
func (turns *ProbeTurns) Observe(assessment Assessment) {
	worst := &turns.worst
	if assessment.Slowdown < recoveredShare*worst.Slowdown || assessment.FailureRate < improvedShare*worst.FailureRate {
		turns.improved, *worst = true, assessment
	}
	worst.Slowdown, worst.FailureRate = max(worst.Slowdown, assessment.Slowdown), max(worst.FailureRate, assessment.FailureRate)
}

// Next returns the entry that has the turn now, and whether the holder has changed. suspect
// tells whether the assessment of the worker is suspect, idle whether the worker has no run.
// entries are the entries with a session, in any order.
func (turns *ProbeTurns) Next(suspect, idle bool, entries []ptid.EntryName, now ptid.Instant) (holder ptid.EntryName, changed bool) {
	switch {
	case !suspect:
		*turns = ProbeTurns{pause: initialPause, last: turns.last}
		return "", false
	case !idle:
		turns.Probed()
		return "", false
	case turns.probeRunning:
		// All runs on the worker have ended, and its assessment is still suspect.
		turns.probeRunning, turns.nextTurnAt = false, now.Add(turns.pause)
		turns.pause = min(2*turns.pause, maxPause)
		if turns.improved {
			turns.improved, turns.nextTurnAt, turns.pause = false, now, initialPause
		}
	}
	if now < turns.nextTurnAt || turns.holder != "" && now < turns.expiresAt || len(entries) == 0 {
		return turns.holder, false
	}
	slices.Sort(entries)
	next, _ := slices.BinarySearch(entries, turns.last+"\x00")
	turns.holder, turns.expiresAt = entries[next%len(entries)], now.Add(turnDuration)
	turns.last = turns.holder
	return turns.holder, true
}
