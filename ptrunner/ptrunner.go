// Package ptrunner is the agent's process for runs that ask for room on a worker. It
// drives the worker through a port (ptrun.Executor) and carries out what package ptroom
// decides.
//
// # How it works
//
//  1. One loop lists the worker all the time; each call also renews its lease and waits
//     for an end at the worker, so ends are known at once and nothing is polled. Where
//     calls get no answer now and then, a second loop runs beside it for a while: a
//     listing that is lost would hide all ends until its time-out.
//  2. Start and stop orders are calls of their own, each on a goroutine.
//  3. The agent dials every entry that it knows once the worker is known to run nothing
//     of a former agent. While an entry has runs here, the agent sends heartbeats at
//     least every [busyHeartbeat], so that a silent one is found in time.
//  4. Every frame tells the room. Where it has changed and nothing else is sent, a frame
//     is sent alone, at a pace that falls with the number of entries, and at once where
//     room is kept for an entry that waits for it.
//  5. A shutdown refuses what waits, tells the entries, and waits for what runs.
//
// # Usage
//
//	runner := ptrunner.New(setting, dependencies)
//	go runner.Run(ctx)
//	runner.Announced(worker, clock)
package ptrunner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptroom"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	// listWait is how long a worker may wait for an end before it answers; the lease
	// outlives three such calls.
	listWait = 100 * time.Millisecond
	// orderTimeout bounds a start or stop: the worker is on the same VM, and answers
	// within a millisecond if it does.
	orderTimeout = 25 * time.Millisecond
	// listTimeout bounds a listing beyond its wait.
	listTimeout = 40 * time.Millisecond
	// doubtSpan is how long two listings run side by side after one got no answer.
	doubtSpan = 5 * time.Second
	// retryWait is the pause after a failed listing.
	retryWait = 20 * time.Millisecond
	// withheldWait paces listings while ends wait for their owners.
	withheldWait = 10 * time.Millisecond
	// absentWait is the pause while there is no worker.
	absentWait = 50 * time.Millisecond
	// tickInterval paces stops, deadlines and the room's frames.
	tickInterval = 25 * time.Millisecond
	// drainPollInterval paces the wait for the last runs.
	drainPollInterval = 20 * time.Millisecond
	// leavingNotice is how long a leaving agent stays so that entries learn of it.
	leavingNotice = 200 * time.Millisecond
)

// Setting is what an operator chooses for a runner.
type Setting struct {
	Name    ptid.AgentName
	Zone    ptid.Zone
	Region  ptid.Region
	Service ptid.ServiceName
	// ShutdownTimeout is how long after the start of a shutdown the runner returns.
	ShutdownTimeout time.Duration
}

// Dependencies are the adapters of a runner.
type Dependencies struct {
	Log      logr.Logger
	Metrics  *ptmetric.Set
	Clock    *ptid.Clock
	Executor ptrun.Executor
	// Discover returns the addresses of entries that are known by now; it does not block.
	Discover func() []string
}

// Runner is the process of one agent. It is safe for concurrent use.
type Runner struct {
	setting     Setting
	deps        Dependencies
	incarnation ptid.Incarnation
	orders      *metrics.Counter
	wake        chan struct{}

	mu        sync.Mutex
	core      *ptroom.Core
	peers     map[ptid.EntryName]*peer
	dialing   map[string]bool
	sessions  uint64
	listingOK bool
	// doubtUntil is until when the second loop lists.
	doubtUntil ptid.Instant
}

// New returns a runner that has not connected yet.
func New(setting Setting, deps Dependencies) *Runner {
	runner := &Runner{
		setting: setting, deps: deps, incarnation: ptid.NewIncarnation(time.Now()), wake: make(chan struct{}, 1),
		orders: deps.Metrics.Counter(ptmetric.Starts),
		core:   ptroom.New(ptrun.FenceToken(time.Now().UnixMilli()), deps.Clock.Now()),
		peers:  make(map[ptid.EntryName]*peer), dialing: make(map[string]bool),
	}
	gauge := func(name ptmetric.Name, read func() int) {
		deps.Metrics.Gauge(name, func() float64 {
			runner.mu.Lock()
			defer runner.mu.Unlock()
			return float64(read())
		})
	}
	gauge(ptmetric.WaitingRuns, func() int { waiting, _ := runner.core.RunCounts(); return waiting })
	gauge(ptmetric.HoldingRuns, func() int { _, holding := runner.core.RunCounts(); return holding })
	gauge(ptmetric.Sessions, func() int { return len(runner.peers) })
	return runner
}

// WorkerAnnounced takes what the worker says of itself.
func (runner *Runner) WorkerAnnounced(worker ptrun.Worker, clock ptrun.WorkerTime) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	before, known := runner.core.Worker()
	runner.do(runner.core.HandleAnnouncement(worker, clock, runner.deps.Clock.Now()))
	if !known || before.WorkerIdentity != worker.WorkerIdentity || before.Draining != worker.Draining {
		runner.deps.Log.Info("worker announced", "worker", worker.ID, "born", worker.StartedAt, "leaving", worker.Draining,
			"capacityMillicores", worker.Capacity.CPU, "capacityMebibytes", worker.Capacity.Memory, "labels", worker.Labels)
		runner.tellRoom()
		select {
		case runner.wake <- struct{}{}:
		default:
		}
	}
}

// WorkerRestored takes what was kept of the worker before this agent started. Whether it still
// is the same one shows with the first listing; what it says itself goes before.
func (runner *Runner) WorkerRestored(worker ptrun.Worker) {
	runner.mu.Lock()
	_, known := runner.core.Worker()
	runner.mu.Unlock()
	if !known {
		runner.WorkerAnnounced(worker, 0)
	}
}

// WorkerLeft records that the worker says that it ends.
func (runner *Runner) WorkerLeft(id ptrun.WorkerID) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	worker, known := runner.core.Worker()
	if !known || worker.ID != id {
		return
	}
	runner.deps.Log.Info("worker left", "worker", id)
	worker.Draining = true
	worker.Sequence++
	runner.do(runner.core.HandleAnnouncement(worker, 0, runner.deps.Clock.Now()))
	runner.tellRoom()
}

// do carries out effects. The caller holds the lock.
func (runner *Runner) do(effects []ptroom.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptroom.StartRun:
			runner.orders.Inc()
			go runner.start(effect)
		case ptroom.StopRun:
			runner.deps.Log.Info("run stopped", "job", effect.Run.Task.Job, "step", effect.Run.Task.Step, "task", effect.Run.Task.Index,
				"run", effect.Run.Number, "reason", effect.Reason, "worker", effect.Worker.ID, "token", effect.Token)
			go runner.stop(effect)
		case ptroom.ListRuns:
			go func() { _ = runner.list(0) }()
		case ptroom.SendEnd:
			runner.tell(effect)
		case ptroom.AssessmentChanged:
			runner.deps.Log.Info("worker judged", "grade", effect.Assessment.Severity(), "pace", effect.Assessment.Slowdown, "failing", effect.Assessment.FailureRate,
				"age", runner.deps.Clock.Now().Sub(effect.Assessment.MeasuredAt).String())
			runner.tellRoom()
		case ptroom.SendReport:
			if peer := runner.peers[effect.Owner.Entry]; peer != nil && peer.owner == effect.Owner {
				peer.session.Post(func(*ptwire.Frame) {})
			}
		case ptroom.BroadcastEnd:
			message := effect.End.Message()
			for _, peer := range runner.peers {
				peer.session.Post(func(frame *ptwire.Frame) { frame.RunEnds = append(frame.RunEnds, message) })
			}
		case ptroom.SendAdopted:
			runner.tellAdopted(effect)
		case ptroom.ThrottleRun:
			go runner.pace(effect)
		}
	}
}

func (runner *Runner) tell(effect ptroom.SendEnd) {
	runner.deps.Metrics.Counter(ptmetric.RunEnds, "result", string(effect.End.Result)).Inc()
	if effect.End.Result != ptrun.Done {
		runner.deps.Log.Info("run ended without success", "job", effect.End.Run.Task.Job, "step", effect.End.Run.Task.Step,
			"task", effect.End.Run.Task.Index, "run", effect.End.Run.Number, "result", effect.End.Result, "reason", effect.End.Reason,
			"entry", effect.Owner.Entry, "ran", effect.End.RunTime.String())
	}
	peer := runner.peers[effect.Owner.Entry]
	if peer == nil || peer.owner != effect.Owner {
		return
	}
	message := effect.End.Message()
	peer.session.Post(func(frame *ptwire.Frame) { frame.RunEnds = append(frame.RunEnds, message) })
}

func (runner *Runner) tellAdopted(effect ptroom.SendAdopted) {
	peer := runner.peers[effect.Owner.Entry]
	if peer == nil || peer.owner != effect.Owner {
		return
	}
	message := &ptwire.Adopted{Partition: uint32(effect.Partition), Epoch: uint64(effect.Epoch)}
	for _, run := range effect.Runs {
		message.Runs = append(message.Runs, run.Ref())
	}
	if len(effect.Runs) > 0 {
		runner.deps.Log.Info("runs adopted", "entry", effect.Owner.Entry, "partition", effect.Partition, "epoch", effect.Epoch, "runs", len(effect.Runs))
	}
	peer.session.Post(func(frame *ptwire.Frame) { frame.Adopted = append(frame.Adopted, message) })
}

func (runner *Runner) pace(effect ptroom.ThrottleRun) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	_, err := runner.deps.Executor.Throttle(ctx, effect.Worker, effect.Token, effect.Run, effect.Percent)
	runner.deps.Log.Info("run paced", "job", effect.Run.Task.Job, "step", effect.Run.Task.Step, "task", effect.Run.Task.Index,
		"percent", effect.Percent, "error", errorText(err))
	if err != nil {
		runner.mu.Lock()
		defer runner.mu.Unlock()
		runner.noteFenced(effect.Token, err)
		runner.core.HandleThrottleFailure(effect)
	}
}

func (runner *Runner) start(effect ptroom.StartRun) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	clock, err := runner.deps.Executor.Start(ctx, effect.Worker, effect.Token, effect.Start)
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if err != nil {
		runner.deps.Log.Info("start order failed", "job", effect.Start.Run.Task.Job, "step", effect.Start.Run.Task.Step,
			"task", effect.Start.Run.Task.Index, "run", effect.Start.Run.Number, "worker", effect.Worker.ID, "token", effect.Token, "error", err.Error())
		runner.noteFenced(effect.Token, err)
	}
	runner.do(runner.core.HandleStartResponse(effect.Start.Run, clock, err, runner.deps.Clock.Now()))
}

func (runner *Runner) noteFenced(token ptrun.FenceToken, err error) {
	if errors.Is(err, ptrun.ErrFenced) {
		runner.core.RaiseToken(token)
		runner.deps.Log.Info("fence token raised", "refused", token, "next", runner.core.FenceToken())
	}
}

func (runner *Runner) stop(effect ptroom.StopRun) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	clock, err := runner.deps.Executor.Stop(ctx, effect.Worker, effect.Token, effect.Run)
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if err != nil {
		runner.deps.Log.Info("stop order failed", "job", effect.Run.Task.Job, "step", effect.Run.Task.Step,
			"task", effect.Run.Task.Index, "run", effect.Run.Number, "worker", effect.Worker.ID, "error", err.Error())
		runner.noteFenced(effect.Token, err)
	}
	runner.do(runner.core.HandleStopResponse(effect.Run, clock, err, runner.deps.Clock.Now()))
}

// list renews the lease and takes the worker's lists.
func (runner *Runner) list(wait time.Duration) (err error) {
	runner.mu.Lock()
	worker, known := runner.core.Worker()
	requestedAt := runner.deps.Clock.Now()
	hold, token := runner.core.LeaseRenewal(requestedAt), runner.core.FenceToken()
	runner.mu.Unlock()
	if !known {
		return errors.New("no worker is known")
	}
	hold.PollTimeout = wait
	ctx, cancel := context.WithTimeout(context.Background(), wait+listTimeout)
	defer cancel()
	listing, err := runner.deps.Executor.RenewLease(ctx, worker.WorkerIdentity, token, hold)
	runner.mu.Lock()
	defer runner.mu.Unlock()
	now := runner.deps.Clock.Now()
	if runner.listingOK != (err == nil) {
		runner.listingOK = err == nil
		runner.deps.Log.Info("worker's answers changed", "worker", worker.ID, "answers", err == nil, "error", errorText(err))
	}
	switch {
	case err == nil:
		runner.do(runner.core.HandleListing(listing, requestedAt, now))
	case errors.Is(err, ptrun.ErrFenced):
		runner.noteFenced(token, err)
	case errors.Is(err, ptrun.ErrWorkerMismatch):
		runner.do(runner.core.HandleWorkerGone(worker.WorkerIdentity, now))
	default:
		runner.doubtUntil = now.Add(doubtSpan)
		runner.do(runner.core.HandleListFailure(now))
	}
	return err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// keepListing lists the worker until ctx ends; the second loop only in doubt.
func (runner *Runner) keepListing(ctx context.Context, second bool) {
	for ctx.Err() == nil {
		runner.mu.Lock()
		_, known := runner.core.Worker()
		withheld := runner.core.HasUnacknowledgedEnds()
		doubt := runner.deps.Clock.Now() < runner.doubtUntil
		runner.mu.Unlock()
		if second && (!known || !doubt) {
			pause(ctx, absentWait)
			continue
		}
		if !known {
			select {
			case <-ctx.Done():
			case <-runner.wake:
			case <-time.After(absentWait):
			}
			continue
		}
		wait := listWait
		if withheld {
			// The worker lists withheld ends again at once, however long it may wait.
			wait = 0
			pause(ctx, withheldWait)
		}
		if err := runner.list(wait); err != nil {
			pause(ctx, retryWait)
		}
	}
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// Run serves until ctx ends, then drains and returns.
func (runner *Runner) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "agent %s", runner.setting.Name) }()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error { runner.keepListing(background, false); return nil })
	group.Go(func() error { runner.keepListing(background, true); return nil })
	group.Go(func() error { runner.keepDialing(background); return nil })
	group.Go(func() error { runner.tick(background); return nil })
	runner.deps.Log.Info("agent started", "agent", runner.setting.Name, "service", runner.setting.Service, "incarnation", runner.incarnation)
	<-ctx.Done()
	runner.drain()
	stop()
	for _, peer := range runner.allPeers() {
		peer.session.Close(ptsession.ErrClosed)
	}
	runner.deps.Log.Info("agent stopped", "agent", runner.setting.Name)
	return group.Wait()
}

// drain refuses what waits and waits for what runs.
func (runner *Runner) drain() {
	endBy := time.Now().Add(runner.setting.ShutdownTimeout)
	runner.mu.Lock()
	runner.deps.Log.Info("agent drains")
	runner.do(runner.core.Drain(runner.deps.Clock.Now()))
	runner.tellRoom()
	runner.mu.Unlock()
	time.Sleep(leavingNotice)
	for !runner.idle() && time.Now().Before(endBy) {
		time.Sleep(drainPollInterval)
	}
	time.Sleep(leavingNotice)
}

func (runner *Runner) idle() bool {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.core.Idle()
}

func (runner *Runner) allPeers() (peers []*peer) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	for _, peer := range runner.peers {
		peers = append(peers, peer)
	}
	return peers
}

func (runner *Runner) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, peer := range runner.allPeers() {
			peer.session.Tick()
		}
		now := runner.deps.Clock.Now()
		runner.mu.Lock()
		runner.do(runner.core.Tick(now))
		runner.refreshPeers(now)
		runner.mu.Unlock()
	}
}

// refreshPeers sends frames to entries whose view of the room is old, and paces the
// heartbeats. The caller holds the lock.
func (runner *Runner) refreshPeers(now ptid.Instant) {
	near := 0
	for _, peer := range runner.peers {
		if peer.near {
			near++
		}
	}
	for _, peer := range runner.peers {
		report := runner.core.CapacityReport(peer.owner.Entry)
		peer.pace(report.Own != ptrun.Demand{})
		changed := !sameRoom(report, peer.told)
		if changed && now.Sub(peer.toldAt) >= ptroom.ReportInterval(peer.near, near, len(runner.peers)) {
			peer.session.Post(func(*ptwire.Frame) {})
		}
	}
}

// sameRoom reports whether two reports tell an entry the same; its own part it knows, and
// what others want alone is not worth a frame.
func sameRoom(left, right ptroom.CapacityReport) bool {
	return left.Worker == right.Worker && left.Capacity == right.Capacity && left.Unusable == right.Unusable &&
		left.Held.Minus(left.Own) == right.Held.Minus(right.Own) && slices.Equal(left.Labels, right.Labels)
}

// tellRoom sends every entry a frame with the room. The caller holds the lock.
func (runner *Runner) tellRoom() {
	for _, peer := range runner.peers {
		peer.session.Post(func(*ptwire.Frame) {})
	}
}
