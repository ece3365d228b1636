package ptsession_test

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// pipe is one direction of an in-memory stream. It encodes every frame, like drpc.
type pipe struct {
	frames chan []byte
	closed chan struct{}
	once   sync.Once
	// corrupt changes encoded frames in transit.
	corrupt func(encoded []byte) []byte
}

func newPipe() *pipe { return &pipe{frames: make(chan []byte, 1000), closed: make(chan struct{})} }

func (pipe *pipe) close() { pipe.once.Do(func() { close(pipe.closed) }) }

type stream struct{ out, in *pipe }

func (stream stream) Send(frame *ptwire.Frame) error {
	encoded, err := frame.MarshalVT()
	if err != nil {
		return err
	}
	if stream.out.corrupt != nil {
		encoded = stream.out.corrupt(encoded)
	}
	select {
	case stream.out.frames <- encoded:
		return nil
	case <-stream.out.closed:
		return errors.New("closed")
	}
}

func (stream stream) Recv() (*ptwire.Frame, error) {
	select {
	case encoded := <-stream.in.frames:
		frame := &ptwire.Frame{}
		return frame, frame.UnmarshalVT(encoded)
	case <-stream.in.closed:
		return nil, errors.New("closed")
	}
}

// recorder records what a session passes to its handler.
type recorder struct {
	mu         sync.Mutex
	dispatches []*ptwire.Dispatch
	answers    []*ptwire.Answer
	delivered  []ptid.AttemptID
}

func (*recorder) PrepareFrame(*ptsession.Session, *ptwire.Frame) {}

func (recorder *recorder) Receive(_ *ptsession.Session, frame *ptwire.Frame) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.dispatches = append(recorder.dispatches, frame.Dispatches...)
	recorder.answers = append(recorder.answers, frame.Answers...)
}

func (recorder *recorder) Delivered(_ *ptsession.Session, attempts []ptid.AttemptID) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.delivered = append(recorder.delivered, attempts...)
}

func (recorder *recorder) counts() (dispatches, answers, delivered int) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return len(recorder.dispatches), len(recorder.answers), len(recorder.delivered)
}

// connect returns the two ends of a session and their handlers. Both ends are ticked until the
// test ends.
func connect(t *testing.T, corrupt func(encoded []byte) []byte) (agent, entry *ptsession.Session, agentRecorder, entryRecorder *recorder) {
	up, down := newPipe(), newPipe()
	up.corrupt = corrupt
	closer := func() { up.close(); down.close() }
	clock := ptid.NewClock()
	agentRecorder, entryRecorder = &recorder{}, &recorder{}
	agent = ptsession.New(ptlink.AgentSide, clock, stream{out: up, in: down}, closer, time.Second, agentRecorder)
	entry = ptsession.New(ptlink.EntrySide, clock, stream{out: down, in: up}, closer, time.Second, entryRecorder)
	for _, session := range []*ptsession.Session{agent, entry} {
		go func() { _ = session.Run() }()
	}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop); agent.Close(ptsession.ErrClosed); entry.Close(ptsession.ErrClosed) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				agent.Tick()
				entry.Tick()
			}
		}
	}()
	return agent, entry, agentRecorder, entryRecorder
}

func answer(index uint32, body []byte) *ptwire.Answer {
	return &ptwire.Answer{Job: "e.1.1", Index: index, Body: body, Checksum: xxhash.Sum64(body)}
}

const waitTimeout = 20 * time.Second

func TestLargeBodyDoesNotDelaySmallOneAndIsDelivered(t *testing.T) {
	expect := NewWithT(t)
	agent, _, agentRecorder, entryRecorder := connect(t, nil)
	large := bytes.Repeat([]byte("0123456789"), 300_000)
	agent.PostAnswer(answer(0, large))
	agent.PostAnswer(answer(1, []byte("small")))
	expect.Eventually(func() int { _, answers, _ := entryRecorder.counts(); return answers }).WithTimeout(waitTimeout).Should(Equal(2))
	expect.Expect(entryRecorder.answers[0].Index).To(Equal(uint32(1)), "the small answer is delivered first")
	expect.Expect(bytes.Equal(entryRecorder.answers[1].Body, large)).To(BeTrue())
	expect.Eventually(func() int { _, _, delivered := agentRecorder.counts(); return delivered }).WithTimeout(waitTimeout).Should(Equal(2))
}

func TestChecksumMismatchEndsTheSession(t *testing.T) {
	expect := NewWithT(t)
	agent, entry, _, entryRecorder := connect(t, func(encoded []byte) []byte {
		return bytes.Replace(encoded, []byte("whole"), []byte("holed"), 1)
	})
	agent.PostAnswer(answer(0, []byte("the whole answer")))
	expect.Eventually(entry.Err).WithTimeout(waitTimeout).Should(MatchError(ptsession.ErrProtocol))
	_, answers, _ := entryRecorder.counts()
	expect.Expect(answers).To(BeZero())
}

func TestMissingAcknowledgementEndsTheSession(t *testing.T) {
	expect := NewWithT(t)
	up := newPipe()
	session := ptsession.New(ptlink.EntrySide, ptid.NewClock(), stream{out: newPipe(), in: up}, up.close, time.Second, &recorder{})
	go func() { _ = session.Run() }()
	session.PostDispatch(&ptwire.Dispatch{Job: "e.1.1"})
	expect.Eventually(func() error { session.Tick(); return session.Err() }).WithTimeout(waitTimeout).Should(MatchError(ptsession.ErrAckTimeout))
	expect.Expect(session.Post(func(*ptwire.Frame) {})).To(BeFalse())
}

func FuzzFrame(f *testing.F) {
	seed, _ := (&ptwire.Frame{Sequence: 1, Answers: []*ptwire.Answer{answer(1, []byte("x"))}, Parts: []*ptwire.Part{{Id: 1, Data: []byte("y"), Last: true}}}).MarshalVT()
	f.Add(seed)
	random := rand.New(rand.NewPCG(1, 1))
	for range 3 {
		noise := make([]byte, 40)
		for i := range noise {
			noise[i] = byte(random.IntN(256))
		}
		f.Add(noise)
	}
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		in := newPipe()
		in.frames <- encoded
		session := ptsession.New(ptlink.EntrySide, ptid.NewClock(), stream{out: newPipe(), in: in}, in.close, time.Second, &recorder{})
		go func() {
			for len(in.frames) > 0 && session.Err() == nil {
				time.Sleep(time.Microsecond)
			}
			session.Close(ptsession.ErrClosed)
		}()
		_ = session.Run()
	})
}
