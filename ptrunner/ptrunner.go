// Package ptrunner is the agent process for runs that hold capacity of a worker. It calls the
// worker through the interface ptrun.Executor and performs the effects that package ptruncontrol
// returns.
//
// # How it works
//
//  1. One loop calls the worker for a listing continuously. Each call also renews the
//     worker's lease and waits at the worker for a run to end, so the agent learns of ends
//     immediately without polling. After a call that got no response, a backup loop runs
//     in parallel for a while, because a lost listing hides all ends until the call times
//     out.
//  2. Each start or stop order is a call of its own, on its own goroutine.
//  3. Entries pass on the addresses of the entries that they know, so an agent that can't read them
//     itself learns of added entries. The agent dials every known entry once the worker is known to execute no run of an
//     earlier agent process. While an entry has runs on the worker, the agent sends it
//     heartbeats at least every [busyHeartbeat], so that an entry that no longer responds
//     is detected in time.
//  4. Every frame carries a capacity report. If the capacity has changed and there is
//     nothing else to send, a frame with only the report is sent, at a rate that decreases
//     with the number of entries. An offer of reserved capacity is sent immediately.
//  5. A shutdown refuses the waiting runs, notifies the entries, and waits for the active
//     runs to end.
//
// # Usage
//
//	runner := ptrunner.New(setting, dependencies)
//	go runner.Run(ctx)
//	runner.WorkerAnnounced(worker, clock)
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

	"github.com/primrosetiller/primrosetiller/ptevacuation"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
	"github.com/primrosetiller/primrosetiller/ptruntime"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	// listWait is how long the worker may wait for a run to end before it responds to a listing
	// call. The lease outlasts three such calls.
	listWait = 100 * time.Millisecond
	// orderTimeout limits a start or stop call. The worker is on the same VM and normally
	// responds within a millisecond.
	orderTimeout = 25 * time.Millisecond
	// listTimeout is the timeout of a listing call, in addition to the time that the call may
	// wait at the worker.
	listTimeout = 40 * time.Millisecond
	// backupListDuration is how long the backup loop runs in parallel with the main listing loop
	// after a call without a response.
	backupListDuration = 5 * time.Second
	// listRetryDelay is the delay after a failed listing call.
	listRetryDelay = 20 * time.Millisecond
	// unackedListInterval is the delay before each listing call while the owner of an ended run
	// has not acknowledged the end. The worker responds to these calls without waiting.
	unackedListInterval = 10 * time.Millisecond
	// idleListDelay is the delay after which an idle listing loop checks again whether it must
	// request listings. Both loops are idle while no worker is known. The backup loop is also
	// idle after backupListUntil.
	idleListDelay = 50 * time.Millisecond
	// tickInterval is the interval at which stop retries, deadlines and due capacity reports
	// are processed.
	tickInterval = 25 * time.Millisecond
	// drainPollInterval is the interval at which a shutdown checks for remaining runs.
	drainPollInterval = 20 * time.Millisecond
	// drainNotice is how long a draining agent waits for its frames to reach the entries. The
	// agent waits twice: after it has sent the report that it is draining, and after the last
	// run has ended.
	drainNotice = 200 * time.Millisecond
)

// Setting holds the settings of a runner.
type Setting struct {
	Name    ptid.AgentName
	Zone    ptid.Zone
	Region  ptid.Region
	Service ptid.ServiceName
	// ShutdownTimeout is the time after the start of a shutdown at which the runner returns
	// even if runs remain.
	ShutdownTimeout time.Duration
	// StopStragglers makes the runner stop stragglers (ptruncontrol.Core.StopStragglers).
	StopStragglers bool
}

// Dependencies holds the services that a runner uses.
type Dependencies struct {
	Log      logr.Logger
	Metrics  *ptmetric.Set
	Clock    *ptid.Clock
	Executor ptrun.Executor
	// Discover returns the addresses of the entries known so far, without blocking.
	Discover func() []string
}

// Runner is the process of one agent. It is safe for concurrent use.
type Runner struct {
	setting       Setting
	deps          Dependencies
	incarnation   ptid.Incarnation
	startOrders   *metrics.Counter
	workerChanged chan struct{}

	mu           sync.Mutex
	core         *ptruncontrol.Core
	peers        map[ptid.EntryName]*peer
	dialing      map[string]bool
	sessionCount uint64
	// told contains the addresses that entries have passed on.
	told       addressSet
	evacuation ptevacuation.State
	runTimes   ptruntime.Table
	listingOK  bool
	// backupListUntil is the time until which the backup loop requests listings.
	backupListUntil ptid.Instant
}

// New returns a runner that has no sessions yet.
func New(setting Setting, deps Dependencies) *Runner {
	runner := &Runner{
		setting: setting, deps: deps, incarnation: ptid.NewIncarnation(time.Now()), workerChanged: make(chan struct{}, 1),
		startOrders: deps.Metrics.Counter(ptmetric.Starts),
		core:        ptruncontrol.New(ptrun.FenceToken(time.Now().UnixMilli())),
		peers:       make(map[ptid.EntryName]*peer), dialing: make(map[string]bool), told: make(addressSet),
	}
	runner.core.StopStragglers(setting.StopStragglers)
	gauge := func(name ptmetric.Name, read func() int) {
		deps.Metrics.Gauge(name, func() float64 {
			runner.mu.Lock()
			defer runner.mu.Unlock()
			return float64(read())
		})
	}
	gauge(ptmetric.WaitingRuns, func() int { waiting, _ := runner.core.RunCounts(); return waiting })
	gauge(ptmetric.HoldingRuns, func() int { _, holding := runner.core.RunCounts(); return holding })
	gauge(ptmetric.UnaccountedRuns, func() int { return runner.core.UnaccountedRuns() })
	gauge(ptmetric.Sessions, func() int { return len(runner.peers) })
	gauge(ptmetric.EvacuatedZones, func() int { return runner.evacuation.Len() })
	deps.Metrics.Gauge(ptmetric.WorkerSpeed, func() float64 {
		runner.mu.Lock()
		defer runner.mu.Unlock()
		return runner.core.Speed().Relative(1)
	})
	return runner
}

// WorkerAnnounced processes an announcement of the worker.
func (runner *Runner) WorkerAnnounced(worker ptrun.Worker, clock ptrun.WorkerTime) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	previous, announced := runner.core.Worker()
	announced = announced && !runner.core.Restored()
	runner.execute(runner.core.HandleAnnouncement(worker, clock, runner.deps.Clock.Now()))
	if !announced || !previous.SaysSame(&worker) {
		runner.deps.Log.Info("worker announced", "worker", worker.ID, "born", worker.StartedAt, "leaving", worker.Draining,
			"capacityMillicores", worker.Capacity.CPU, "capacityMebibytes", worker.Capacity.Memory, "labels", worker.Labels)
		runner.broadcastReport()
		runner.wakeListLoop()
	}
}

// wakeListLoop lets the list loop notice that a worker is known.
func (runner *Runner) wakeListLoop() {
	select {
	case runner.workerChanged <- struct{}{}:
	default:
	}
}

// WorkerRestored sets the worker that was stored before this agent process started. The first
// listing shows whether the worker is still the same incarnation. If the worker has been
// announced already, WorkerRestored has no effect.
func (runner *Runner) WorkerRestored(worker ptrun.Worker) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if _, known := runner.core.Worker(); !known {
		runner.execute(runner.core.RestoreWorker(worker, runner.deps.Clock.Now()))
		runner.wakeListLoop()
	}
}

// WorkerLeft records that the worker has announced its shutdown.
func (runner *Runner) WorkerLeft(id ptrun.WorkerID) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	worker, known := runner.core.Worker()
	if !known || worker.ID != id {
		return
	}
	runner.deps.Log.Info("worker announced its shutdown", "worker", id)
	worker.Draining = true
	worker.Sequence++
	runner.execute(runner.core.HandleAnnouncement(worker, 0, runner.deps.Clock.Now()))
	runner.broadcastReport()
}

// execute performs effects. The caller holds the lock.
func (runner *Runner) execute(effects []ptruncontrol.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptruncontrol.StartRun:
			runner.startOrders.Inc()
			go runner.start(effect)
		case ptruncontrol.StopRun:
			now := runner.deps.Clock.Now()
			runner.deps.Log.Info("stopping run", "job", effect.Run.Task.Job, "step", effect.Run.Task.Step, "task", effect.Run.Task.Index,
				"run", effect.Run.Number, "reason", effect.Reason, "worker", effect.Worker.ID, "token", effect.Token,
				"sentAgo", age(effect.SentAt, now), "receivedAgo", age(effect.ReceivedAt, now), "startedAgo", age(effect.StartedAt, now))
			go runner.stop(effect)
		case ptruncontrol.ListRuns:
			go func() { _ = runner.listWorker(0) }()
		case ptruncontrol.SendEnd:
			runner.sendEnd(effect)
		case ptruncontrol.StragglerStopped:
			runner.deps.Metrics.Counter(ptmetric.Stragglers).Inc()
			runner.deps.Log.Info("straggler stopped", "job", effect.Run.Task.Job, "step", effect.Run.Task.Step, "task", effect.Run.Task.Index, "run", effect.Run.Number,
				"ran", effect.RunTime.String(), "percent", effect.Percent, "expected", effect.Expected.String())
		case ptruncontrol.SpeedChanged:
			runner.deps.Log.Info("worker speed changed", "speed", effect.Speed.Speed, "runs", effect.Speed.Weight)
		case ptruncontrol.AssessmentChanged:
			runner.deps.Log.Info("worker health changed", "grade", effect.Assessment.Severity(), "pace", effect.Assessment.Slowdown, "failing", effect.Assessment.FailureRate,
				"age", runner.deps.Clock.Now().Sub(effect.Assessment.MeasuredAt).String())
			runner.broadcastReport()
		case ptruncontrol.SendReport:
			if peer := runner.peers[effect.Owner.Entry]; peer != nil && peer.owner == effect.Owner {
				peer.session.Post(func(*ptwire.Frame) {})
			}
		case ptruncontrol.BroadcastEnd:
			message := effect.End.Message()
			for _, peer := range runner.peers {
				peer.session.Post(func(frame *ptwire.Frame) { frame.RunEnds = append(frame.RunEnds, message) })
			}
		case ptruncontrol.SendAdopted:
			runner.sendAdopted(effect)
		case ptruncontrol.ThrottleRun:
			go runner.throttle(effect)
		default:
			runner.handleObservation(effect)
		}
	}
}

// handleObservation logs the effects that report what the core has observed. The caller holds
// the lock.
func (runner *Runner) handleObservation(effect ptruncontrol.Effect) {
	now := runner.deps.Clock.Now()
	switch effect := effect.(type) {
	case ptruncontrol.UnaccountedRunsChanged:
		first := ""
		if len(effect.Runs) > 0 {
			first = effect.Runs[0].String()
		}
		runner.deps.Log.Info("unaccounted runs changed", "worker", effect.Worker.ID, "born", effect.Worker.StartedAt, "runs", len(effect.Runs),
			"ended", effect.Ended, "first", first, "takeoverComplete", effect.TakeoverComplete)
		runner.broadcastReport()
	case ptruncontrol.WorkerReplaced:
		runner.deps.Log.Info("worker replaced", "previous", effect.Previous.ID, "born", effect.Previous.StartedAt, "lostRuns", effect.Lost,
			"token", runner.core.FenceToken())
	case ptruncontrol.WorkerCrashed:
		runner.deps.Metrics.Counter(ptmetric.WorkerCrashes).Inc()
		runner.deps.Log.Info("worker crashed", "worker", effect.Worker.ID, "born", effect.Worker.StartedAt, "next", effect.Next.ID,
			"nextBorn", effect.Next.StartedAt, "lostRuns", len(effect.Runs), "latestStarts", describeLost(effect.Runs))
	case ptruncontrol.WorkerResumed:
		runner.deps.Log.Info("worker responds again, it has not crashed", "worker", effect.Worker.ID, "born", effect.Worker.StartedAt, "lostRuns", effect.Lost)
	case ptruncontrol.LeaseExpired:
		runner.deps.Log.Info("worker lease expired", "worker", effect.Worker.ID, "lostRuns", effect.Lost,
			"listingAge", now.Sub(effect.ListedAt).String(), "expiredFor", now.Sub(effect.ExpiredAt).String())
	case ptruncontrol.OrderJoined:
		runner.deps.Log.Info("order joined the run of another owner", "job", effect.Run.Task.Job, "step", effect.Run.Task.Step,
			"task", effect.Run.Task.Index, "run", effect.Run.Number, "entry", effect.Owner.Entry, "owner", effect.First.Entry, "ownerIncarnation", effect.First.Incarnation)
	}
}

// age describes how long ago an instant was, which is unknown if it is zero.
func age(instant, now ptid.Instant) string {
	if instant == 0 {
		return "unknown"
	}
	return now.Sub(instant).String()
}

// maxDescribedRuns bounds the length of a log line.
const maxDescribedRuns = 8

// describeLost describes the first of the lost runs with their run times.
func describeLost(runs []ptruncontrol.LostRun) (descriptions []string) {
	for _, lost := range runs[:min(len(runs), maxDescribedRuns)] {
		descriptions = append(descriptions, lost.Run.String()+" ran "+lost.RunTime.String())
	}
	return descriptions
}

func (runner *Runner) sendEnd(effect ptruncontrol.SendEnd) {
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

func (runner *Runner) sendAdopted(effect ptruncontrol.SendAdopted) {
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

func (runner *Runner) throttle(effect ptruncontrol.ThrottleRun) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	_, err := runner.deps.Executor.Throttle(ctx, effect.Worker, effect.Token, effect.Run, effect.Percent)
	runner.deps.Log.Info("run throttled", "job", effect.Run.Task.Job, "step", effect.Run.Task.Step, "task", effect.Run.Task.Index,
		"percent", effect.Percent, "error", errorText(err))
	if err != nil {
		runner.mu.Lock()
		defer runner.mu.Unlock()
		runner.raiseTokenIfFenced(effect.Token, err)
		runner.core.HandleThrottleFailure(effect)
	}
}

func (runner *Runner) start(effect ptruncontrol.StartRun) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	clock, err := runner.deps.Executor.Start(ctx, effect.Worker, effect.Token, effect.Start)
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if err != nil {
		runner.deps.Log.Info("start order failed", "job", effect.Start.Run.Task.Job, "step", effect.Start.Run.Task.Step,
			"task", effect.Start.Run.Task.Index, "run", effect.Start.Run.Number, "worker", effect.Worker.ID, "token", effect.Token, "error", err.Error())
		runner.raiseTokenIfFenced(effect.Token, err)
	}
	runner.execute(runner.core.HandleStartResponse(effect.Start.Run, clock, err, runner.deps.Clock.Now()))
}

func (runner *Runner) raiseTokenIfFenced(token ptrun.FenceToken, err error) {
	if errors.Is(err, ptrun.ErrFenced) {
		runner.core.RaiseToken(token)
		runner.deps.Log.Info("fence token raised", "refused", token, "next", runner.core.FenceToken())
	}
}

func (runner *Runner) stop(effect ptruncontrol.StopRun) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	clock, err := runner.deps.Executor.Stop(ctx, effect.Worker, effect.Token, effect.Run)
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if err != nil {
		runner.deps.Log.Info("stop order failed", "job", effect.Run.Task.Job, "step", effect.Run.Task.Step,
			"task", effect.Run.Task.Index, "run", effect.Run.Number, "worker", effect.Worker.ID, "error", err.Error())
		runner.raiseTokenIfFenced(effect.Token, err)
	}
	runner.execute(runner.core.HandleStopResponse(effect.Run, clock, err, runner.deps.Clock.Now()))
}

// listWorker requests a listing from the worker, which also renews the lease, and processes it.
func (runner *Runner) listWorker(wait time.Duration) (err error) {
	runner.mu.Lock()
	worker, known := runner.core.WorkerToList()
	requestedAt := runner.deps.Clock.Now()
	renewal, token := runner.core.LeaseRenewal(requestedAt), runner.core.FenceToken()
	runner.mu.Unlock()
	if !known {
		return errors.New("no worker is known")
	}
	renewal.PollTimeout = wait
	ctx, cancel := context.WithTimeout(context.Background(), wait+listTimeout)
	defer cancel()
	listing, err := runner.deps.Executor.RenewLease(ctx, worker, token, renewal)
	runner.mu.Lock()
	defer runner.mu.Unlock()
	now := runner.deps.Clock.Now()
	if runner.listingOK != (err == nil) {
		runner.listingOK = err == nil
		runner.deps.Log.Info("worker reachability changed", "worker", worker.ID, "answers", err == nil, "error", errorText(err))
	}
	switch {
	case err == nil:
		runner.execute(runner.core.HandleListing(listing, requestedAt, now))
	case errors.Is(err, ptrun.ErrFenced):
		runner.raiseTokenIfFenced(token, err)
	case errors.Is(err, ptrun.ErrWorkerMismatch):
		runner.execute(runner.core.HandleWorkerGone(worker, now))
	default:
		runner.backupListUntil = now.Add(backupListDuration)
		runner.execute(runner.core.HandleListFailure(err, requestedAt, now))
	}
	return err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// listLoop requests listings until ctx ends. backup is true for the backup loop, which requests
// listings only until backupListUntil.
func (runner *Runner) listLoop(ctx context.Context, backup bool) {
	for ctx.Err() == nil {
		runner.mu.Lock()
		_, known := runner.core.WorkerToList()
		unacknowledged := runner.core.HasUnacknowledgedEnds()
		backupNeeded := runner.deps.Clock.Now() < runner.backupListUntil
		runner.mu.Unlock()
		if backup && (!known || !backupNeeded) {
			sleep(ctx, idleListDelay)
			continue
		}
		if !known {
			select {
			case <-ctx.Done():
			case <-runner.workerChanged:
			case <-time.After(idleListDelay):
			}
			continue
		}
		wait := listWait
		if unacknowledged {
			// The worker returns unacknowledged ends at once, regardless of the wait.
			wait = 0
			sleep(ctx, unackedListInterval)
		}
		if err := runner.listWorker(wait); err != nil {
			sleep(ctx, listRetryDelay)
		}
	}
}

func sleep(ctx context.Context, wait time.Duration) {
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
	group.Go(func() error { runner.listLoop(background, false); return nil })
	group.Go(func() error { runner.listLoop(background, true); return nil })
	group.Go(func() error { runner.dialLoop(background); return nil })
	group.Go(func() error { runner.tickLoop(background); return nil })
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

// drain refuses the waiting runs, and waits until the active runs have ended or ShutdownTimeout
// has passed.
func (runner *Runner) drain() {
	deadline := time.Now().Add(runner.setting.ShutdownTimeout)
	runner.mu.Lock()
	runner.deps.Log.Info("agent draining")
	runner.execute(runner.core.Drain(runner.deps.Clock.Now()))
	runner.broadcastReport()
	runner.mu.Unlock()
	time.Sleep(drainNotice)
	for !runner.idle() && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	time.Sleep(drainNotice)
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

func (runner *Runner) tickLoop(ctx context.Context) {
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
		runner.execute(runner.core.Tick(now))
		runner.refreshPeers(now)
		runner.mu.Unlock()
	}
}

// refreshPeers updates the heartbeat intervals and sends capacity reports to entries whose last
// report is out of date. The caller holds the lock.
func (runner *Runner) refreshPeers(now ptid.Instant) {
	near := 0
	for _, peer := range runner.peers {
		if peer.near {
			near++
		}
	}
	for _, peer := range runner.peers {
		report := runner.core.CapacityReport(peer.owner.Entry)
		peer.setBusy(report.HasRuns)
		changed := !sameReport(report, peer.reported)
		if changed && now.Sub(peer.reportedAt) >= ptruncontrol.ReportInterval(peer.near, near, len(runner.peers)) {
			peer.session.Post(func(*ptwire.Frame) {})
		}
	}
}

// sameReport reports whether two reports are equivalent for an entry. The capacity that the
// entry's own runs hold is not compared, because the entry knows it. The rate that other entries
// request is not compared, because a change of this rate alone does not justify a frame.
func sameReport(left, right ptruncontrol.CapacityReport) bool {
	return left.Worker == right.Worker && left.Capacity == right.Capacity && left.Unusable == right.Unusable && left.Isolating == right.Isolating &&
		left.Held.Minus(left.Own) == right.Held.Minus(right.Own) && slices.Equal(left.Labels, right.Labels)
}

// broadcastReport sends a frame to every entry; PrepareFrame adds the capacity report. The
// caller holds the lock.
func (runner *Runner) broadcastReport() {
	for _, peer := range runner.peers {
		peer.session.Post(func(*ptwire.Frame) {})
	}
}
