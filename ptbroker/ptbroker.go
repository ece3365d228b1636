// Package ptbroker is the entry's process for graph jobs: it holds the sessions with
// agents and carries out what package ptassign decides.
//
// # How it works
//
//  1. Agents dial the entry and greet it; a session carries orders one way and room
//     and ends the other (package ptsession).
//  2. One lock guards the core. Messages are posted under it, which only appends them
//     to a frame.
//  3. A second submission of an open job waits for the same end.
//  4. On shutdown the broker becomes unready, serves on while the balancer learns of
//     it, then refuses, and returns when every job has ended.
//
// # Usage
//
//	broker := ptbroker.New(setting, dependencies)
//	go broker.Run(ctx, listener)
//	ticket, refusal, err := broker.Submit(spec)
//	outcome := <-ticket.Done()
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
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptkept"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
)

const (
	// tickInterval paces deadlines; a job's objective leaves some tens of milliseconds.
	tickInterval = 25 * time.Millisecond
	// drainPollInterval paces the wait for the last jobs.
	drainPollInterval = 20 * time.Millisecond
)

// Setting is what an operator chooses for a broker.
type Setting struct {
	Name   ptid.EntryName
	Zone   ptid.Zone
	Region ptid.Region
	// ShutdownDelay is how long the broker takes jobs after it has become unready.
	ShutdownDelay time.Duration
	// ShutdownTimeout is how long after the start of a shutdown the broker returns, whatever
	// is left.
	ShutdownTimeout time.Duration
	// EndedJobRetention is how long the state of an ended kept job can be asked for.
	EndedJobRetention time.Duration
	Seed              uint64
}

// Dependencies are the adapters of a broker.
type Dependencies struct {
	Log     logr.Logger
	Metrics *ptmetric.Set
	Clock   *ptid.Clock
	Queues  *ptqueue.CatalogStore
	// Advisor says which workers may run a step of a queue with advice; nil means nobody.
	Advisor PlacementAdvisor
	// JobStore is the log of jobs that must last, nil where there is none, and Member the
	// address by which other entries know this one as an owner.
	JobStore    ptkept.Store
	PeerAddress string
}

// PlacementAdvisor is the port to the service that knows a queue's policy.
type PlacementAdvisor interface {
	// Advise returns a ticket for each of the workers that may run the step.
	Advise(ctx context.Context, job ptid.JobID, occurrence ptrun.Occurrence, step ptrun.StepIndex, workers []ptrun.WorkerID) (tickets map[ptrun.WorkerID]string, err error)
}

// adviceSlack is what a call for advice may take beyond the time that it needs.
const adviceSlack = time.Second

// advise asks the advisor. It answers one call of a VM at a time, so calls wait here.
func (broker *Broker) advise(effect ptassign.RequestAdvice, policy ptqueue.AdvicePolicy) {
	broker.advising.Lock()
	defer broker.advising.Unlock()
	askedAt := broker.deps.Clock.Now()
	span := policy.Decide + time.Duration(len(effect.Workers))*policy.PerWorker + adviceSlack
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var tickets map[ptrun.WorkerID]string
	err := errors.New("there is no advisor")
	if broker.deps.Advisor != nil {
		tickets, err = broker.deps.Advisor.Advise(ctx, effect.Job.ID, effect.Job.Occurrence, effect.Step, effect.Workers)
	}
	now := broker.deps.Clock.Now()
	broker.deps.Log.Info("advice", "job", effect.Job.ID, "step", effect.Step, "workers", len(effect.Workers), "allowed", len(tickets),
		"took", now.Sub(askedAt).String(), "error", errorText(err))
	broker.mu.Lock()
	defer broker.mu.Unlock()
	broker.do(broker.core.AdviceReceived(effect, tickets, err != nil, askedAt, now))
}

type counters struct {
	orders, requeues *metrics.Counter
	queueTime        *metrics.Histogram
	jobTime          *metrics.Histogram
}

// Broker is the process of one entry. It is safe for concurrent use.
type Broker struct {
	setting     Setting
	deps        Dependencies
	incarnation ptid.Incarnation
	unready     atomic.Bool
	draining    atomic.Bool
	sessions    atomic.Int64
	// reached is true once an agent has told of a worker that takes orders.
	reached atomic.Bool
	// cutAt is when a put into the log last had no success; zero once one had.
	cutAt atomic.Int64
	// probedAt is when a put last looked whether the log answers again.
	probedAt atomic.Int64
	count    counters
	// wants is what waits for room, by service, as of the last tick.
	wants atomic.Pointer[map[ptid.ServiceName]ptrun.CapacityRequest]

	mu      sync.Mutex
	core    *ptassign.Core
	links   map[ptid.AgentName]*link
	tickets map[ptid.JobID]*JobHandle
	keeper  keeper
	// advising is held during a call to the advisor.
	advising sync.Mutex
	asking   *asking
}

// Outcome is the end of a job that was taken in.
type Outcome struct {
	State ptgraph.State
	// Refusal is set where the job was put out untouched.
	Refusal *ptassign.Refusal
}

// JobHandle is the place of a caller's job.
type JobHandle struct {
	ID      ptid.JobID
	done    chan struct{}
	outcome Outcome
	waiters int
}

// Done is closed when the job has ended.
func (ticket *JobHandle) Done() <-chan struct{} { return ticket.done }

// Outcome returns the end of the job; it must have ended.
func (ticket *JobHandle) Outcome() Outcome { return ticket.outcome }

// New returns a broker that does not serve yet.
func New(setting Setting, deps Dependencies) *Broker {
	broker := &Broker{
		setting: setting, deps: deps, incarnation: ptid.NewIncarnation(time.Now()),
		core: ptassign.New(setting.Seed), links: make(map[ptid.AgentName]*link),
		tickets: make(map[ptid.JobID]*JobHandle), asking: newAsking(),
		keeper: keeper{store: deps.JobStore, owned: make(map[ptkept.Partition]*owned), born: deps.Clock.Now()},
		count: counters{
			orders: deps.Metrics.Counter(ptmetric.RunOrders), requeues: deps.Metrics.Counter(ptmetric.Retries),
			queueTime: deps.Metrics.Histogram(ptmetric.QueueSeconds), jobTime: deps.Metrics.Histogram(ptmetric.JobSeconds),
		},
	}
	broker.keeper.member = memberName(deps.PeerAddress, broker.incarnation)
	gauge := func(name ptmetric.Name, read func() int) {
		deps.Metrics.Gauge(name, func() float64 {
			broker.mu.Lock()
			defer broker.mu.Unlock()
			return float64(read())
		})
	}
	gauge(ptmetric.OpenJobs, func() int { return broker.core.OpenJobs() })
	gauge(ptmetric.WaitingJobs, func() int { return broker.core.WaitingJobs() })
	gauge(ptmetric.Sessions, func() int { return len(broker.links) })
	return broker
}

// Ready reports whether the broker takes jobs: it knows the queues, has a session, and has
// heard of a worker that takes orders. A session alone is not enough, since the agent tells
// of its worker some frames later, and jobs that come before are refused. Workers that turn
// unusable later do not make the broker unready: its refusals are at once and true.
func (broker *Broker) Ready() bool {
	return !broker.unready.Load() && broker.deps.Queues.Load() != nil && broker.sessions.Load() > 0 && broker.reached.Load()
}

// Draining reports whether callers should look for another entry.
func (broker *Broker) Draining() bool { return broker.unready.Load() }

// ReasonShuttingDown is the refusal of jobs that come during a shutdown.
const ReasonShuttingDown ptassign.RefusalReason = "shuttingDown"

// Submit takes a job in, or refuses it. A job with the id of an open one joins it.
func (broker *Broker) Submit(spec ptassign.Spec) (ticket *JobHandle, refusal *ptassign.Refusal, err error) {
	if broker.draining.Load() {
		refusal = &ptassign.Refusal{Reason: ReasonShuttingDown, RetryAfter: time.Second}
		broker.logRefusal(spec.ID, spec.Queue.Name, refusal)
		return nil, refusal, nil
	}
	broker.mu.Lock()
	defer broker.mu.Unlock()
	if ticket = broker.tickets[spec.ID]; ticket != nil {
		ticket.waiters++
		broker.deps.Log.Info("job joined", "job", spec.ID, "waiters", ticket.waiters)
		return ticket, nil, nil
	}
	job, refusal, effects, err := broker.core.Submit(spec, broker.deps.Clock.Now())
	if err != nil || refusal != nil {
		if refusal != nil {
			broker.logRefusal(spec.ID, spec.Queue.Name, refusal)
		}
		return nil, refusal, err
	}
	ticket = &JobHandle{ID: job.ID, done: make(chan struct{}), waiters: 1}
	broker.tickets[job.ID] = ticket
	broker.do(effects)
	return ticket, nil, nil
}

func (broker *Broker) logRefusal(job ptid.JobID, queue ptid.ProfileName, refusal *ptassign.Refusal) {
	broker.deps.Metrics.Counter(ptmetric.Refusals, "reason", string(refusal.Reason)).Inc()
	broker.deps.Log.Info("job refused", "job", job, "queue", queue, "reason", refusal.Reason,
		"forecast", refusal.ForecastWait.String(), "aheadMillicores", refusal.DemandAhead, "freeMillicores", refusal.Capacity.Free,
		"freedMillicoresPerSecond", int64(refusal.Capacity.FreedPerSecond),
		"reservedMillicoresPerSecond", int64(refusal.Capacity.ReservedPerSecond), "retryAfter", refusal.RetryAfter.String())
}

// Detach records that one caller of a job has gone; with the last one the job ends.
func (broker *Broker) Detach(ticket *JobHandle, why string) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	ticket.waiters--
	if ticket.waiters > 0 || broker.tickets[ticket.ID] != ticket {
		return
	}
	broker.deps.Log.Info("job abandoned", "job", ticket.ID, "why", why)
	broker.do(broker.core.Cancel(ptassign.Key{ID: ticket.ID}, broker.deps.Clock.Now()))
}

// Cancel ends a job by its id and reports whether it was open.
func (broker *Broker) Cancel(id ptid.JobID) (found bool) {
	broker.mu.Lock()
	defer broker.mu.Unlock()
	if broker.tickets[id] == nil {
		return false
	}
	broker.deps.Log.Info("job cancelled", "job", id)
	broker.do(broker.core.Cancel(ptassign.Key{ID: id}, broker.deps.Clock.Now()))
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

// do carries out effects. The caller holds the lock.
func (broker *Broker) do(effects []ptassign.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ptassign.SendOrder:
			broker.order(effect)
		case ptassign.SendStop:
			broker.deps.Log.Info("run stopped", "job", effect.Run.Task.Job, "step", effect.Run.Task.Step,
				"task", effect.Run.Task.Index, "run", effect.Run.Number, "agent", effect.Agent, "reason", effect.Reason)
			if link := broker.links[effect.Agent]; link != nil {
				link.stop(effect.Run)
			}
		case ptassign.SendQuery:
			if link := broker.links[effect.Agent]; link != nil {
				link.query(effect.Run)
			}
		case ptassign.RequestAdvice:
			if job := broker.core.Job(effect.Job); job != nil && job.Queue.Advice != nil {
				go broker.advise(effect, *job.Queue.Advice)
			}
		case ptassign.WorkerQuarantined:
			broker.deps.Log.Info("worker set aside", "agent", effect.Agent, "aside", effect.Quarantined, "pace", effect.Assessment.Slowdown,
				"failing", effect.Assessment.FailureRate, "age", broker.deps.Clock.Now().Sub(effect.Assessment.MeasuredAt).String())
		case ptassign.SaveProgress:
			broker.progressed(effect)
		case ptassign.JobEnded:
			broker.ended(effect)
		}
	}
}

func (broker *Broker) order(effect ptassign.SendOrder) {
	broker.count.orders.Inc()
	broker.count.queueTime.Update(broker.deps.Clock.Now().Sub(effect.Job.SubmittedAt).Seconds())
	if link := broker.links[effect.Agent]; link != nil {
		link.order(effect)
	}
}

func (broker *Broker) ended(effect ptassign.JobEnded) {
	job, now := effect.Job, broker.deps.Clock.Now()
	took := now.Sub(job.SubmittedAt)
	broker.count.jobTime.Update(took.Seconds())
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
		broker.occurrenceEnded(job)
		return
	}
	ticket := broker.tickets[job.ID]
	if ticket == nil {
		return
	}
	delete(broker.tickets, job.ID)
	ticket.outcome = Outcome{State: job.State(), Refusal: effect.Refusal}
	close(ticket.done)
}
