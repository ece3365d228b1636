package ptrunner

import (
	"github.com/primrosetiller/primrosetiller/ptevacuation"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// handleEvacuation merges the state of the evacuated zones that an entry has sent. If that changes the
// zones, the state is passed on to all entries: some of them may be cut off from the store. The caller
// holds the lock.
func (runner *Runner) handleEvacuation(exchange *ptevacuation.Exchange, message *ptwire.Evacuation, from ptid.EntryName, now ptid.Instant) (reply bool) {
	received := ptevacuation.FromMessage(message)
	if !received.IsKnown() {
		return false
	}
	newest, changed := runner.evacuation.Merge(received)
	runner.evacuation = newest
	reply = exchange.Received(received, newest)
	if changed {
		runner.deps.Log.Info("evacuation changed", "zones", newest.Zones(), "revision", newest.Revision(), "source", "entry", "entry", from,
			"ownZone", newest.Contains(runner.setting.Zone))
		runner.execute(runner.core.SetEvacuated(newest.Contains(runner.setting.Zone), now))
		runner.broadcastReport()
	}
	return reply
}
