package ptrunner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/ptstandin"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const conditionTimeout = 20 * time.Second

// Invalid frames from one entry must neither crash the agent nor prevent other entries from
// using the worker.
func TestInvalidFramesOfOneEntryDoNotAffectOthers(test *testing.T) {
	const seeds, frames = 20, 300
	ptassert.PanicOnFailure()
	for seed := range uint64(seeds) {
		expect := NewWithT(test)
		random := rand.New(rand.NewPCG(seed, 1))
		worker := ptstandin.NewWorker("worker", ptrun.Demand{CPU: 4000, Memory: 4000})
		runner := New(Setting{Name: "agent", Service: "service"}, Dependencies{
			Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Executor: worker,
			Discover: func() []string { return nil },
		})
		runner.WorkerAnnounced(worker.Announcement(), worker.Clock())
		faulty, healthy := runner.addPeer("broken"), runner.addPeer("sound")
		names := []string{"", "broken", "\xff", fmt.Sprintf("%016x", 1)}
		for range frames {
			faulty.Receive(nil, ptstandin.ArbitraryFrame(random, names))
			runner.mu.Lock()
			runner.execute(runner.core.Tick(runner.deps.Clock.Now()))
			runner.refreshPeers(runner.deps.Clock.Now())
			runner.mu.Unlock()
		}
		// The runs of the faulty entry are stopped, as for any entry that has left.
		runner.mu.Lock()
		delete(runner.peers, "broken")
		runner.core.SessionClosed("broken", runner.deps.Clock.Now())
		runner.mu.Unlock()
		run := ptrun.ID{Task: ptrun.TaskID{Job: "00000000000000aa"}, Number: 1}
		expect.Eventually(func() []ptrun.Number {
			now := runner.deps.Clock.Now()
			healthy.Receive(nil, &ptwire.Frame{RunOrders: []*ptwire.RunOrder{{
				Run: run.Ref(), CpuMillicores: 1, StartByNanos: int64(now.Add(conditionTimeout)), WaitNanos: int64(conditionTimeout),
			}}})
			runner.mu.Lock()
			runner.execute(runner.core.Tick(now))
			runner.mu.Unlock()
			_ = runner.listWorker(0)
			return worker.RunNumbers(run.Task)
		}).WithTimeout(conditionTimeout).Should(HaveLen(1))
	}
}

// addPeer adds a session with an entry and returns it. The stream of the session discards sent
// frames and delivers none.
func (runner *Runner) addPeer(name ptid.EntryName) (added *peer) {
	added = &peer{runner: runner, owner: ptruncontrol.Owner{Entry: name, Incarnation: 1}, heartbeatInterval: time.Second}
	added.session = ptsession.New(ptlink.AgentSide, runner.deps.Clock, ptstandin.DiscardStream{}, func() {}, time.Second, added)
	runner.peers[name] = added
	runner.execute(runner.core.SessionOpened(added.owner, runner.deps.Clock.Now()))
	return added
}
