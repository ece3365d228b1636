// Package ptbroker is the entry process for graph jobs. It maintains the sessions with the
// agents and performs the effects that package ptassign returns.
//
// # How it works
//
//  1. Agents dial the entry and send a greeting. A session (package ptsession) carries
//     orders from the entry to the agent. In the other direction it carries capacity
//     reports, and the ends of runs, which state their results.
//  2. One lock guards the core. Messages are posted while it is held; posting only appends
//     them to the next frame.
//  3. A second submission of an open job waits for the end of the same job. Before anything else
//     is handled, the callers of all jobs are checked, if that is due (package ptcaller). Agents
//     learn when the callers were checked last, and start and continue runs only for so long.
//  4. On shutdown the broker becomes unready, but still accepts jobs for ShutdownDelay, until
//     the load balancer has noticed. Then it refuses new jobs, and returns when every job
//     with a waiting caller has ended.
//
// # Usage
//
//	broker := ptbroker.New(setting, dependencies)
//	go broker.Run(ctx, listener)
//	handle, refusal, err := broker.Submit(spec, caller)
//	<-handle.Done()
//	outcome := handle.Outcome()
package ptbroker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptcaller"
	"github.com/primrosetiller/primrosetiller/ptevacuation"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptreason"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptsession"
)

const (
	// tickInterval is the interval at which deadlines are checked. The objective of a job
	// tolerates a delay of some tens of milliseconds.
	tickInterval = 25 * time.Millisecond
	// drainPollInterval is the interval at which a shutdown checks for remaining jobs.
	drainPollInterval = 20 * time.Millisecond
)

// Setting holds the settings of a broker.
type Setting struct {
	Name   ptid.EntryName
	Zone   ptid.Zone
	Region ptid.Region
	// ShutdownDelay is how long the broker accepts jobs after it has become unready.
	ShutdownDelay time.Duration
	// ShutdownTimeout is the time after the start of a shutdown at which the broker returns
	// even if jobs remain.
	ShutdownTimeout time.Duration
	// EndedJobRetention is how long the state of an ended durable job can be queried.
	EndedJobRetention time.Duration
	// RequireEvacuation means that nothing is placed before it is known which availability zones are
	// evacuated.
	RequireEvacuation bool
	Seed              uint64
	// RemoteFactor is how many times as long a task takes away from the rack of its data; zero if
	// it is unknown.
	RemoteFactor float64
	// PlaceBySpeed makes the broker use the speeds of workers (ptassign.Core.PlaceBySpeed).
	PlaceBySpeed bool
}

// Dependencies holds the services that a broker uses.
type Dependencies struct {
	Log     logr.Logger
	Metrics *ptmetric.Set
	Clock   ptsession.Clock
	Queues  *ptqueue.CatalogStore
	// Advisor decides which workers may run a step of a queue that requires advice. If it is
	// nil, no worker may.
	Advisor PlacementAdvisor
	// JobStore is the log of durable jobs, or nil if there is none. PeerAddress is the address
	// at which other entries reach this one as the owner of partitions.
	JobStore    ptjobstore.Store
	PeerAddress string
	// Discover returns the addresses at which agents reach the known entries, without blocking. The
	// broker passes them on to its agents. If it is nil, the agents rely on what they find themselves.
	Discover func() []string
}

// PlacementAdvisor is the interface of the service that implements the placement policy of a
// queue.
type PlacementAdvisor interface {
	// Advise returns a ticket for each of the workers that may run the step.
	Advise(ctx context.Context, job ptid.JobID, occurrence ptrun.Occurrence, step ptrun.StepIndex, workers []ptrun.WorkerID) (tickets map[ptrun.WorkerID]string, err error)
}

// adviceSlack is added to the expected duration of a call to the advisor.
const adviceSlack = time.Second

// advise calls the advisor. The advisor processes one call per VM at a time, so calls are
// serialized here.
func (broker *Broker) advise(effect ptassign.RequestAdvice, policy ptqueue.AdvicePolicy) {
	broker.adviceMu.Lock()
	defer broker.adviceMu.Unlock()
	requestedAt := broker.deps.Clock.Now()
	timeout := policy.Decide + time.Duration(len(effect.Workers))*policy.PerWorker + adviceSlack
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var tickets map[ptrun.WorkerID]string
	err := errors.New("no placement advisor configured")
	if broker.deps.Advisor != nil {
		tickets, err = broker.deps.Advisor.Advise(ctx, effect.Job.ID, effect.Job.Occurrence, effect.Step, effect.Workers)
	}
	took := broker.deps.Clock.Now().Sub(requestedAt)
	broker.deps.Log.Info("advice", "job", effect.Job.ID, "step", effect.Step, "workers", len(effect.Workers), "allowed", len(tickets),
		"took", took.String(), "error", errorText(err))
	broker.mu.Lock()
	defer broker.mu.Unlock()
	broker.checkCallersIfDue()
	broker.execute(broker.core.AdviceReceived(effect, tickets, err != nil, requestedAt, broker.deps.Clock.Now()))
}

// counters holds the metrics that the broker updates often.
type counters struct {
	orders, retries *metrics.Counter
	queueTime       *metrics.Histogram
	jobTime         *metrics.Histogram
}

// Broker is the process of one entry. It is safe for concurrent use.
type Broker struct {
	setting     Setting
	deps        Dependencies
	incarnation ptid.Incarnation
	// draining is set to true at the start of a shutdown. refusing is set to true ShutdownDelay
	// later; from then on, new jobs are refused.
	draining atomic.Bool
	refusing atomic.Bool
	// sessions is the number of agent sessions.
	sessions atomic.Int64
	// workerSeen is true once an agent has reported a worker that takes orders.
	workerSeen atomic.Bool
	// putFailedAt is when the latest put to the log failed, or zero if it succeeded.
	putFailedAt atomic.Int64
	// probedAt is the time of the latest put that probed whether the log responds again.
	probedAt atomic.Int64
	counters counters
	// capacityRequests is the capacity needed per service as of the last tick.
	capacityRequests atomic.Pointer[map[ptid.ServiceName]ptrun.CapacityRequest]
	// evacuation is the state of the evacuated zones; nil if none is known. evacuationConfirmedAt is
	// when the store last confirmed it.
	evacuation            atomic.Pointer[ptevacuation.State]
	evacuationConfirmedAt atomic.Int64
	runTimes              runTimes
	addresses             addressList

	mu             sync.Mutex
	core           *ptassign.Core
	agentSessions  map[ptid.AgentName]*agentSession
	handles        map[ptid.JobID]*JobHandle
	callers        *ptcaller.Roster
	ownership      ownership
	localityReport *localityReport
	// adviceMu is held during a call to the advisor.
	adviceMu sync.Mutex
	peers    *peers
}

// Outcome is the final state of a submitted job.
type Outcome struct {
	State ptgraph.State
	// Refusal is set if the job was given up before any of its tasks started.
	Refusal *ptassign.Refusal
}

// JobHandle refers to a submitted job that callers wait for.
type JobHandle struct {
	ID      ptid.JobID
	done    chan struct{}
	outcome Outcome
}

// Done returns a channel that is closed when the job has ended.
func (handle *JobHandle) Done() <-chan struct{} { return handle.done }

// Outcome returns the outcome of the job. It must be called only after the job has ended.
func (handle *JobHandle) Outcome() Outcome { return handle.outcome }

// New returns a broker that does not serve yet.
func New(setting Setting, deps Dependencies) *Broker {
	broker := &Broker{
		setting: setting, deps: deps, incarnation: ptid.NewIncarnation(time.Now()),
		core: ptassign.New(setting.Seed), agentSessions: make(map[ptid.AgentName]*agentSession),
		handles: make(map[ptid.JobID]*JobHandle), callers: ptcaller.New(), peers: newPeers(), localityReport: newLocalityReport(deps),
		ownership: ownership{store: deps.JobStore, partitions: make(map[ptjobstore.Partition]*ownedPartition), startedAt: deps.Clock.Now()},
		counters: counters{
			orders: deps.Metrics.Counter(ptmetric.RunOrders), retries: deps.Metrics.Counter(ptmetric.Retries),
			queueTime: deps.Metrics.Histogram(ptmetric.QueueSeconds), jobTime: deps.Metrics.Histogram(ptmetric.JobSeconds),
		},
	}
	broker.core.ExpectAgents(deps.Clock.Now().Add(ptassign.StartupGrace))
	broker.core.SetRemoteFactor(setting.RemoteFactor)
	broker.core.PlaceBySpeed(setting.PlaceBySpeed)
	broker.ownership.memberID = newMemberID(deps.PeerAddress, broker.incarnation)
	gauge := func(name ptmetric.Name, read func() int) {
		deps.Metrics.Gauge(name, func() float64 {
			broker.mu.Lock()
			defer broker.mu.Unlock()
			return float64(read())
		})
	}
	gauge(ptmetric.OpenJobs, func() int { return broker.core.OpenJobs() })
	gauge(ptmetric.WaitingJobs, func() int { return broker.core.WaitingJobs() })
	gauge(ptmetric.Sessions, func() int { return len(broker.agentSessions) })
	broker.registerEvacuationGauges()
	if setting.RequireEvacuation {
		broker.core.RequireEvacuation()
	}
	return broker
}

// Ready reports whether the broker accepts jobs: it has a configuration with queues, a session,
// and a report of a worker that takes orders. A session alone is not sufficient, because the
// agent reports its worker some frames later, and jobs that arrive before that are refused.
// Workers that become unusable later do not make the broker unready, because it then refuses
// jobs immediately and with the correct reason.
func (broker *Broker) Ready() bool {
	return !broker.draining.Load() && broker.deps.Queues.Load() != nil && broker.sessions.Load() > 0 && broker.workerSeen.Load()
}

// Draining reports whether the broker is shutting down. Callers should then use another entry.
func (broker *Broker) Draining() bool { return broker.draining.Load() }

// ReasonShuttingDown is the reason for refusing a job during a shutdown.
const ReasonShuttingDown ptassign.RefusalReason = "shuttingDown"

// ReasonCallerGone is the reason for refusing a job whose caller has closed its connection: it may have
// submitted the job to another entry.
const ReasonCallerGone ptassign.RefusalReason = "callerGone"

// Submit accepts or refuses a job of a caller that is connected. If a job with the same ID is open, the
// caller joins it.
func (broker *Broker) Submit(spec ptassign.Spec, caller ptcaller.Caller) (handle *JobHandle, refusal *ptassign.Refusal, err error) {
	if broker.refusing.Load() {
		refusal = &ptassign.Refusal{Reason: ReasonShuttingDown, RetryAfter: time.Second}
		broker.logRefusal(spec.ID, spec.Queue.Name, refusal)
		return nil, refusal, nil
	}
	broker.mu.Lock()
	defer broker.mu.Unlock()
	broker.checkCallersIfDue()
	if !broker.callers.Join(spec.ID, caller) {
		refusal = &ptassign.Refusal{Reason: ReasonCallerGone, RetryAfter: time.Second}
		broker.logRefusal(spec.ID, spec.Queue.Name, refusal)
		return nil, refusal, nil
	}
	if handle = broker.handles[spec.ID]; handle != nil {
		broker.deps.Log.Info("caller joined open job", "job", spec.ID, "waiters", broker.callers.Callers(spec.ID))
		return handle, nil, nil
	}
	job, refusal, effects, err := broker.core.Submit(spec, broker.deps.Clock.Now())
	if err != nil || refusal != nil {
		broker.callers.End(spec.ID)
		if refusal != nil {
			broker.logRefusal(spec.ID, spec.Queue.Name, refusal)
		}
		return nil, refusal, err
	}
	handle = &JobHandle{ID: job.ID, done: make(chan struct{})}
	broker.handles[job.ID] = handle
	broker.execute(effects)
	return handle, nil, nil
}

func (broker *Broker) logRefusal(job ptid.JobID, queue ptid.ProfileName, refusal *ptassign.Refusal) {
	broker.deps.Metrics.Counter(ptmetric.Refusals, "reason", string(refusal.Reason)).Inc()
	broker.deps.Log.Info("job refused", "job", job, "queue", queue, "reason", refusal.Reason,
		"forecast", refusal.ForecastWait.String(), "aheadMillicores", refusal.DemandAhead, "freeMillicores", refusal.Capacity.Free,
		"freedMillicoresPerSecond", int64(refusal.Capacity.FreedPerSecond),
		"reservedMillicoresPerSecond", int64(refusal.Capacity.ReservedPerSecond), "retryAfter", refusal.RetryAfter.String())
}

// Cancel cancels a job and reports whether it was open.
func (broker *Broker) Cancel(id ptid.JobID) (found bool) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	if broker.handles[id] == nil {
		return false
	}
	broker.deps.Log.Info("job cancelled", "job", id)
	broker.execute(broker.core.Cancel(ptassign.Key{ID: id}, broker.deps.Clock.Now()))
	return true
}

// State returns the state of an open job.
func (broker *Broker) State(id ptid.JobID) (state ptgraph.State, found bool) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	job := broker.core.Job(ptassign.Key{ID: id})
	if job == nil {
		return 0, false
	}
	if job.State() == ptgraph.Pending && !job.CertainlyUnstarted() {
		return ptgraph.Running, true
	}
	return job.State(), true
}

// execute performs effects. The caller holds the lock.
func (broker *Broker) execute(effects []ptassign.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptassign.SendOrder:
			broker.sendOrder(effect)
		case ptassign.SendStop:
			broker.deps.Log.Info("stopping run", "job", effect.Run.Task.Job, "step", effect.Run.Task.Step,
				"task", effect.Run.Task.Index, "run", effect.Run.Number, "agent", effect.Agent, "reason", effect.Reason)
			broker.sendStop(effect)
		case ptassign.SendQuery:
			if agent := broker.agentSessions[effect.Agent]; agent != nil {
				agent.postQuery(effect.Run)
			}
		case ptassign.RequestAdvice:
			if job := broker.core.Job(effect.Job); job != nil && job.Queue.Advice != nil {
				go broker.advise(effect, *job.Queue.Advice)
			}
		case ptassign.WorkerQuarantined:
			broker.deps.Log.Info("worker quarantine changed", "agent", effect.Agent, "aside", effect.Quarantined, "pace", effect.Assessment.Slowdown,
				"failing", effect.Assessment.FailureRate, "age", broker.deps.Clock.Now().Sub(effect.Assessment.MeasuredAt).String())
		case ptassign.LocalityEvent:
			broker.localityReport.handle(effect, broker.deps.Clock.Now())
		case ptassign.RunsLost:
			broker.deps.Log.Info("runs declared lost", "agent", effect.Agent, "reason", effect.Reason, "runs", effect.Runs,
				"disconnectedFor", broker.deps.Clock.Now().Sub(effect.DisconnectedAt).String())
		case ptassign.TaskGivenUp:
			broker.deps.Metrics.Counter(ptmetric.TasksGivenUp).Inc()
			broker.deps.Log.Info("task given up", "reason", ptreason.CrashesWorkers, "job", effect.Run.Task.Job, "step", effect.Run.Task.Step,
				"task", effect.Run.Task.Index, "run", effect.Run.Number, "agent", effect.Agent, "losses", effect.Losses)
		case ptassign.TaskHeld:
			broker.deps.Log.Info("task held until the losses of its runs are resolved", "job", effect.Job.ID, "step", effect.Task.Step,
				"task", effect.Task.Index, "losses", effect.Losses)
		case ptassign.LossResolved:
			broker.deps.Log.Info("loss of a run resolved", "job", effect.Run.Task.Job, "step", effect.Run.Task.Step, "task", effect.Run.Task.Index,
				"run", effect.Run.Number, "workerSurvived", effect.Fate == ptgraph.WorkerSurvived)
		case ptassign.RejectEnd:
			if agent := broker.agentSessions[effect.Agent]; agent != nil {
				broker.deps.Log.Info("end rejected, the task has started again", "job", effect.Run.Task.Job, "step", effect.Run.Task.Step,
					"task", effect.Run.Task.Index, "run", effect.Run.Number, "agent", effect.Agent)
				broker.rejectEnd(agent, effect.Run)
			}
		case ptassign.SaveProgress:
			broker.handleProgress(effect)
		case ptassign.JobEnded:
			broker.handleJobEnd(effect)
		}
	}
}

func (broker *Broker) sendOrder(effect ptassign.SendOrder) {
	broker.counters.orders.Inc()
	broker.counters.queueTime.Update(broker.deps.Clock.Now().Sub(effect.Job.SubmittedAt).Seconds())
	if effect.Job.Durable {
		if partition, _ := broker.findDurable(effect.Job.ID); partition == nil || partition.handover.RetainOrder(effect) {
			return
		}
	}
	if agent := broker.agentSessions[effect.Agent]; agent != nil {
		agent.postOrder(effect)
	}
}

// sendStop sends a stop to the agent. A run whose order was not sent has ended.
func (broker *Broker) sendStop(effect ptassign.SendStop) {
	if partition, _ := broker.findDurable(effect.Run.Task.Job); partition != nil && partition.handover.DropOrder(effect.Agent, effect.Run) {
		end := ptrun.End{Run: effect.Run, Result: ptrun.NeverStarted, Reason: effect.Reason}
		broker.execute(broker.core.RunEnded(effect.Agent, end, broker.deps.Clock.Now()))
		return
	}
	if agent := broker.agentSessions[effect.Agent]; agent != nil {
		agent.postStop(effect.Run)
	}
}

func (broker *Broker) handleJobEnd(effect ptassign.JobEnded) {
	job, now := effect.Job, broker.deps.Clock.Now()
	took := now.Sub(job.SubmittedAt)
	broker.counters.jobTime.Update(took.Seconds())
	broker.deps.Metrics.Counter(ptmetric.Jobs, "outcome", job.State().String()).Inc()
	if effect.Refusal != nil {
		broker.logRefusal(job.ID, job.Queue.Name, effect.Refusal)
	}
	placedAfter := time.Duration(0)
	if job.FirstPlacedAt > 0 {
		placedAfter = job.FirstPlacedAt.Sub(job.SubmittedAt)
	}
	broker.deps.Log.Info("job ended", "job", job.ID, "queue", job.Queue.Name, "state", job.State().String(),
		"took", took.String(), "placedAfter", placedAfter.String(), "objective", job.Objective.Sub(job.SubmittedAt).String())
	if job.Durable {
		broker.handleOccurrenceEnd(job)
		return
	}
	handle := broker.handles[job.ID]
	if handle == nil {
		return
	}
	delete(broker.handles, job.ID)
	broker.callers.End(job.ID)
	handle.outcome = Outcome{State: job.State(), Refusal: effect.Refusal}
	close(handle.done)
}
