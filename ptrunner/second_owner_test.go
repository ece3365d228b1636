package ptrunner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptruncontrol"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/ptstandin"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// ackStream acknowledges every frame.
type ackStream struct {
	acks   chan *ptwire.Frame
	closed chan struct{}
}

func (stream *ackStream) Send(frame *ptwire.Frame) error {
	if frame.Sequence > 0 {
		stream.acks <- &ptwire.Frame{Acknowledged: frame.Sequence}
	}
	return nil
}

func (stream *ackStream) Recv() (*ptwire.Frame, error) {
	select {
	case frame := <-stream.acks:
		return frame, nil
	case <-stream.closed:
		return nil, ptsession.ErrClosed
	}
}

// With a hundred entries, a capacity report is sent to each of them every six seconds.
func TestLeaseIsRenewedWhileTheSecondOwnerOfARunIsQuiet(test *testing.T) {
	expect := NewWithT(test)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	worker := ptstandin.NewWorker("worker", ptrun.Demand{CPU: 4000, Memory: 4000})
	runner := New(Setting{Name: "agent", Service: "service"}, Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Executor: worker,
		Discover: func() []string { return nil },
	})
	runner.WorkerAnnounced(worker.Announcement(), worker.Clock())
	expect.Expect(runner.listWorker(0)).To(Succeed())
	for i := range 100 {
		runner.addPeer(ptid.EntryName(fmt.Sprintf("idle%d", i)))
	}
	var owners []*peer
	for _, name := range []ptid.EntryName{"first", "second"} {
		added := runner.addPeer(name)
		stream := &ackStream{acks: make(chan *ptwire.Frame, 1000), closed: make(chan struct{})}
		defer close(stream.closed)
		added.heartbeatInterval = time.Hour
		added.session = ptsession.New(ptlink.AgentSide, runner.deps.Clock, stream, func() {}, added.heartbeatInterval, added)
		owners = append(owners, added)
	}
	for _, owner := range owners {
		go func() { _ = owner.session.Run() }()
		now := runner.deps.Clock.Now()
		owner.Receive(nil, &ptwire.Frame{AgentClockNanos: int64(now), RunOrders: []*ptwire.RunOrder{{
			Run: ptrun.ID{Task: ptrun.TaskID{Job: "00000000000000aa"}, Number: 1}.Ref(), CpuMillicores: 1000,
			StartByNanos: int64(now.Add(conditionTimeout)), WaitNanos: int64(conditionTimeout),
		}}})
	}
	go runner.tickLoop(ctx)
	go runner.listLoop(ctx, false)
	time.Sleep(ptruncontrol.OwnerTimeout + ptruncontrol.LeaseDuration)
	expect.Expect(worker.ActiveRuns()).To(HaveLen(1))
	expect.Eventually(runner.renewalAhead).WithTimeout(2 * time.Second).Should(BeNumerically(">", 0))
}

// renewalAhead returns how far ahead of the worker's clock the next renewal extends the lease.
func (runner *Runner) renewalAhead() (ahead time.Duration) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	worker := runner.deps.Executor.(*ptstandin.Worker)
	return time.Duration(runner.core.LeaseRenewal(runner.deps.Clock.Now()).ExpiresAt-worker.Clock()) * time.Millisecond
}
