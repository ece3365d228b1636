package ptbroker

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/ptstandin"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// recordingStream keeps the frames that are sent.
type recordingStream struct {
	ptstandin.DiscardStream

	frames chan *ptwire.Frame
}

func (stream recordingStream) Send(frame *ptwire.Frame) error {
	stream.frames <- frame.CloneVT()
	return nil
}

// callerFixture is an entry with one agent, whose clock shows the same as that of the entry.
type callerFixture struct {
	*Broker

	expect *WithT
	clock  *manualClock
	agent  *agentSession
	report *ptwire.Room
	frames chan *ptwire.Frame
}

func newCallerFixture(test *testing.T) *callerFixture {
	ptassert.PanicOnFailure()
	fixture := &callerFixture{
		expect: NewWithT(test), clock: newManualClock(), frames: make(chan *ptwire.Frame, 1000),
		report: &ptwire.Room{Worker: "worker", CpuMillicores: 4000, MemoryMebibytes: 4000, Pace: 1},
	}
	fixture.Broker = New(Setting{Name: "entry", Zone: "zone", Seed: 1}, Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: fixture.clock, Queues: ptqueue.NewCatalogStore(),
		JobStore: ptstandin.NewJobStore(4).Client("entry"), PeerAddress: "127.0.0.1:1",
	})
	fixture.agent = &agentSession{broker: fixture.Broker, greeting: &ptwire.Greeting{Agent: "agent", Service: "service", Incarnation: 1, Session: 1}}
	fixture.agent.session = ptsession.New(ptlink.EntrySide, fixture.clock, recordingStream{frames: fixture.frames}, func() {}, time.Second, fixture.agent)
	fixture.expect.Expect(fixture.register(fixture.agent, fixture.report)).To(BeEmpty())
	fixture.receive()
	return fixture
}

// receive handles a frame of the agent with the ends of runs that are done.
func (fixture *callerFixture) receive(done ...*ptwire.RunRef) {
	frame := &ptwire.Frame{AgentClockNanos: int64(fixture.clock.Now()), Room: fixture.report}
	for _, run := range done {
		frame.RunEnds = append(frame.RunEnds, &ptwire.RunEnd{Run: run, Result: string(ptrun.Done)})
	}
	fixture.agent.Receive(nil, frame)
}

// submit submits a job whose second step has as many tasks as given.
func (fixture *callerFixture) submit(tasks int, caller *ptstandin.Caller) (handle *JobHandle, refusal *ptassign.Refusal) {
	task := ptgraph.Step{Count: 1, Demand: ptrun.Demand{CPU: 1}, Estimate: time.Second}
	second := task
	second.Count, second.After = tasks, []ptrun.StepIndex{0}
	handle, refusal, err := fixture.Submit(ptassign.Spec{
		Spec:  ptgraph.Spec{ID: "00000000000000a1", MaxAttempts: 3, Steps: []ptgraph.Step{task, second}},
		Queue: ptqueue.Queue{Name: "queue", Service: "service", Stretch: 2, TargetLatency: time.Minute}, Deadline: ptid.Never,
	}, caller)
	fixture.expect.Expect(err).NotTo(HaveOccurred())
	return handle, refusal
}

// placed returns the runs of the job that have been ordered and have not ended.
func (fixture *callerFixture) placed() (runs []*ptwire.RunRef) {
	if job := fixture.core.Job(ptassign.Key{ID: "00000000000000a1"}); job != nil {
		for _, run := range job.PlacedRuns() {
			runs = append(runs, run.Ref())
		}
	}
	return runs
}

// Guards against review/12 (TWICE): an entry that continues after a pause handles the end of a run before it is
// told that the caller has left, and starts the next tasks of a job that runs for another entry.
func TestPausedEntryOrdersNoTaskOfACallerThatHasLeft(test *testing.T) {
	for _, pause := range []time.Duration{60 * time.Millisecond, 1300 * time.Millisecond, 2400 * time.Millisecond, 10 * time.Second} {
		for _, tasks := range []int{1, 5, 200} {
			test.Run(fmt.Sprint(pause, " ", tasks), func(test *testing.T) {
				fixture, caller := newCallerFixture(test), &ptstandin.Caller{}
				handle, refusal := fixture.submit(tasks, caller)
				fixture.expect.Expect(refusal).To(BeNil())
				first := fixture.placed()
				fixture.expect.Expect(first).To(HaveLen(1))
				caller.Leave()
				fixture.clock.Advance(pause)
				fixture.receive(first...)
				fixture.expect.Expect(fixture.placed()).To(BeEmpty(), "runs of the second step")
				fixture.expect.Expect(handle.Done()).To(BeClosed())
				fixture.expect.Expect(handle.Outcome().State).To(Equal(ptgraph.GivenUp))
				fixture.Detach(handle, caller, "the loss is handled late")
			})
		}
	}
}

// A caller that waits gets its answer, however long the pauses of the entry were.
func TestPausedEntryGoesOnWithTheJobOfACallerThatWaits(test *testing.T) {
	fixture, caller := newCallerFixture(test), &ptstandin.Caller{}
	handle, _ := fixture.submit(1, caller)
	for range 2 {
		fixture.clock.Advance(2400 * time.Millisecond)
		fixture.expect.Expect(fixture.placed()).To(HaveLen(1))
		fixture.receive(fixture.placed()...)
	}
	fixture.expect.Expect(handle.Done()).To(BeClosed())
	fixture.expect.Expect(handle.Outcome().State).To(Equal(ptgraph.Completed))
}

// A request that was sent to a paused entry is read when the entry continues.
func TestRequestOfACallerThatHasLeftIsRefused(test *testing.T) {
	fixture, caller := newCallerFixture(test), &ptstandin.Caller{}
	caller.Leave()
	_, refusal := fixture.submit(1, caller)
	fixture.expect.Expect(refusal).NotTo(BeNil())
	fixture.expect.Expect(refusal.Reason).To(Equal(ReasonCallerGone))
	fixture.expect.Expect(fixture.placed()).To(BeEmpty())
}

// Two callers wait for one job. It is cancelled once both have left, in whatever way the entry learns it.
func TestJobOfTwoCallersIsCancelledOnceBothHaveLeft(test *testing.T) {
	fixture, first, second := newCallerFixture(test), &ptstandin.Caller{}, &ptstandin.Caller{}
	handle, _ := fixture.submit(1, first)
	joined, _ := fixture.submit(1, second)
	fixture.expect.Expect(joined).To(BeIdenticalTo(handle))
	first.Leave()
	fixture.clock.Advance(time.Second)
	fixture.receive()
	fixture.Detach(handle, first, "handled after the check")
	fixture.expect.Expect(handle.Done()).NotTo(BeClosed())
	second.Leave()
	fixture.Detach(handle, second, "handled before a check")
	fixture.expect.Expect(handle.Done()).To(BeClosed())
}

// Guards against the same failure where the entry is paused, or is suspended with its clock, between a
// check and the frame with the order: the frame must not confirm more than the check has shown.
func TestFramesConfirmNothingAfterTheLatestCheck(test *testing.T) {
	fixture := newCallerFixture(test)
	go func() { _ = fixture.agent.session.Run() }()
	confirmed := func() ptid.Instant {
		fixture.agent.session.Post(func(*ptwire.Frame) {})
		frame := <-fixture.frames
		for len(fixture.frames) > 0 {
			frame = <-fixture.frames
		}
		return ptid.Instant(frame.CallersConfirmedNanos)
	}
	checkedAt := fixture.clock.Now()
	fixture.expect.Expect(confirmed()).To(Equal(checkedAt))
	fixture.clock.Advance(2400 * time.Millisecond)
	fixture.expect.Expect(confirmed()).To(Equal(checkedAt), "nothing has been checked since")
	// The clock of the agent has gone on while the entry was suspended with its clock.
	fixture.agent.clock.AddSample(int64(fixture.clock.Now().Add(5*time.Second)), fixture.clock.Now())
	fixture.expect.Expect(confirmed()).To(Equal(checkedAt))
	fixture.receive()
	fixture.expect.Expect(confirmed()).To(Equal(fixture.clock.Now().Add(5*time.Second)), "a check on the agent's clock")
}
