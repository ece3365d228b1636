// Package ptsession carries frames between one agent and one entry over a drpc
// stream, in either role.
//
// # How it works
//
//  1. Callers add messages to the pending frame with [Session.Post]; one writer
//     sends it. Whatever is added while a write is on its way leaves with the next
//     frame, so the number of writes falls as the load rises.
//  2. A payload above [PartSize] is cut into parts. A frame carries one part of
//     each large payload, so a large one holds up nobody. Its message follows in
//     the frame of the last part.
//  3. Numbers, acknowledgements, heartbeats and silence are decided by package
//     ptlink; the owner calls [Session.Tick] at a steady pace.
//  4. The references of answers and refusals are kept until their frame has been
//     acknowledged and are then given to [Handler.Delivered].
//  5. Everything that can't be decoded, and every checksum that does not match,
//     ends the session. The next one resolves what was lost.
//
// # Usage
//
//	session := ptsession.New(role, clock, stream, closer, interval, handler)
//	go session.Run()
//	session.Post(func(frame *ptwire.Frame) { frame.Answers = append(frame.Answers, answer) })
package ptsession

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlink"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	// PartSize is the largest payload or body in bytes that travels inside its message.
	PartSize = 32 << 10
	// MaxReassemblyBytes bounds the bytes of unfinished large payloads of a session.
	MaxReassemblyBytes = 64 << 20
	// TickInterval is the pace at which owners call Tick.
	TickInterval = 50 * time.Millisecond
)

// Errors that end a session.
var (
	ErrAckTimeout     = errors.New("the other side does not acknowledge")
	ErrReceiveTimeout = errors.New("nothing was received for the lapse span")
	ErrClosed         = errors.New("the session was closed")
	ErrProtocol       = errors.New("protocol violation")
)

// CauseLabel returns the short name of the error that ended a session, for metrics.
func CauseLabel(err error) string {
	switch {
	case errors.Is(err, ErrAckTimeout):
		return "silent"
	case errors.Is(err, ErrReceiveTimeout):
		return "lapsed"
	case errors.Is(err, ErrProtocol):
		return "protocol"
	default:
		return "closed"
	}
}

// Stream is the part of a drpc stream that a session needs.
type Stream interface {
	Send(frame *ptwire.Frame) error
	Recv() (*ptwire.Frame, error)
}

// Handler is the owner of a session.
type Handler interface {
	// PrepareFrame fills the fields that every frame carries, just before it is sent.
	PrepareFrame(session *Session, frame *ptwire.Frame)
	// Receive handles a fresh frame. It must not block.
	Receive(session *Session, frame *ptwire.Frame)
	// Delivered tells which tasks' answers or refusals have been acknowledged.
	Delivered(session *Session, tasks []ptid.AttemptID)
}

// Clock tells the time of this process.
type Clock interface{ Now() ptid.Instant }

type delivery struct {
	sequence ptid.Sequence
	tasks    []ptid.AttemptID
}

type largePayload struct {
	id     uint64
	data   []byte
	finish func(frame *ptwire.Frame)
}

// Session is one numbered connection. It is safe for concurrent use.
type Session struct {
	role    ptlink.Role
	clock   Clock
	stream  Stream
	closer  func()
	handler Handler

	mu         sync.Mutex
	wake       *sync.Cond
	link       *ptlink.Link
	pending    *ptwire.Frame
	dirty      bool
	ackDue     bool
	closed     error
	large      []largePayload
	nextPart   uint64
	deliveries []delivery

	// The next two belong to the reader.
	assembly     map[uint64][]byte
	assemblySize int

	framesSent     atomic.Uint64
	framesReceived atomic.Uint64
}

// New returns a session over an open stream. closer must unblock both
// directions of the stream.
func New(role ptlink.Role, clock Clock, stream Stream, closer func(), interval time.Duration, handler Handler) *Session {
	session := &Session{
		role: role, clock: clock, stream: stream, closer: closer, handler: handler,
		link:     ptlink.New(role, clock.Now(), interval),
		pending:  &ptwire.Frame{},
		assembly: make(map[uint64][]byte),
	}
	session.wake = sync.NewCond(&session.mu)
	return session
}

// Run sends and receives until the session ends, and returns why.
func (session *Session) Run() (err error) {
	// The reader runs on the caller's goroutine: an entry has one stack less for each agent.
	var group errgroup.Group
	group.Go(session.write)
	_ = session.read()
	_ = group.Wait()
	return session.Err()
}

// Close ends the session for a reason. Only the first reason counts.
func (session *Session) Close(reason error) {
	session.mu.Lock()
	first := session.closed == nil
	if first {
		session.closed = reason
	}
	session.wake.Broadcast()
	session.mu.Unlock()
	if first {
		session.closer()
	}
}

// Err returns why the session has ended, nil while it is open.
func (session *Session) Err() error {
	session.mu.Lock()
	defer session.mu.Unlock()
	return session.closed
}

// FrameCounts returns how many frames were sent and received.
func (session *Session) FrameCounts() (sent, received uint64) {
	return session.framesSent.Load(), session.framesReceived.Load()
}

// Post adds messages to the frame that is sent next. It is false where the
// session has ended; nothing is sent then.
func (session *Session) Post(add func(frame *ptwire.Frame)) (posted bool) {
	session.mu.Lock()
	defer session.mu.Unlock()
	if session.closed != nil {
		return false
	}
	add(session.pending)
	session.markDirty()
	return true
}

func (session *Session) markDirty() {
	if !session.dirty {
		session.dirty = true
		session.wake.Signal()
	}
}

// PostLarge sends data in parts; finish adds the message that refers to them,
// by the id that it is given, to the frame of the last part.
func (session *Session) PostLarge(data []byte, finish func(frame *ptwire.Frame, part uint64)) (posted bool) {
	session.mu.Lock()
	defer session.mu.Unlock()
	if session.closed != nil {
		return false
	}
	session.nextPart++
	id := session.nextPart
	session.large = append(session.large, largePayload{
		id: id, data: data, finish: func(frame *ptwire.Frame) { finish(frame, id) },
	})
	session.markDirty()
	return true
}

// PostDispatch sends a task.
func (session *Session) PostDispatch(dispatch *ptwire.Dispatch) (posted bool) {
	dispatch.Checksum = xxhash.Sum64(dispatch.Payload)
	if len(dispatch.Payload) <= PartSize {
		return session.Post(func(frame *ptwire.Frame) { frame.Dispatches = append(frame.Dispatches, dispatch) })
	}
	data := dispatch.Payload
	dispatch.Payload = nil
	return session.PostLarge(data, func(frame *ptwire.Frame, part uint64) {
		dispatch.Part = part
		frame.Dispatches = append(frame.Dispatches, dispatch)
	})
}

// PostAnswer sends an answer. The caller keeps the body until it is delivered,
// and the answer itself is not changed.
func (session *Session) PostAnswer(answer *ptwire.Answer) (posted bool) {
	if len(answer.Body) <= PartSize {
		return session.Post(func(frame *ptwire.Frame) { frame.Answers = append(frame.Answers, answer) })
	}
	return session.PostLarge(answer.Body, func(frame *ptwire.Frame, part uint64) {
		frame.Answers = append(frame.Answers, &ptwire.Answer{
			Job: answer.Job, Index: answer.Index, Attempt: answer.Attempt, Reason: answer.Reason,
			ContentType: answer.ContentType, Checksum: answer.Checksum, RunNanos: answer.RunNanos,
			WaitNanos: answer.WaitNanos, Again: answer.Again, Part: part,
		})
	})
}

// SetHeartbeatInterval changes the heartbeat interval.
func (session *Session) SetHeartbeatInterval(interval time.Duration) {
	session.mu.Lock()
	defer session.mu.Unlock()
	session.link.SetHeartbeatInterval(session.clock.Now(), interval)
}

// Tick does what is due: an acknowledgement, a heartbeat, or the end of a
// silent or lapsed session.
func (session *Session) Tick() {
	session.mu.Lock()
	if session.closed != nil {
		session.mu.Unlock()
		return
	}
	action := session.link.Tick(session.clock.Now())
	switch action {
	case ptlink.SendAck:
		session.ackDue = true
		session.wake.Signal()
	case ptlink.SendHeartbeat:
		if !session.dirty {
			session.pending.Heartbeat = true
		}
		session.markDirty()
	case ptlink.NoAction, ptlink.AckTimedOut, ptlink.ReceiveTimedOut:
	}
	session.mu.Unlock()
	switch action {
	case ptlink.AckTimedOut:
		session.Close(ErrAckTimeout)
	case ptlink.ReceiveTimedOut:
		session.Close(ErrReceiveTimeout)
	case ptlink.NoAction, ptlink.SendAck, ptlink.SendHeartbeat:
	}
}

func (session *Session) write() (err error) {
	for {
		frame, err := session.next()
		if err != nil {
			return err
		}
		if err := session.stream.Send(frame); err != nil {
			session.Close(errors.Wrap(err, "send a frame"))
			return session.Err()
		}
		session.framesSent.Add(1)
	}
}

// next waits for something to send and numbers it.
func (session *Session) next() (frame *ptwire.Frame, err error) {
	session.mu.Lock()
	for !session.dirty && !session.ackDue && session.closed == nil {
		session.wake.Wait()
	}
	if session.closed != nil {
		session.mu.Unlock()
		return nil, session.closed
	}
	content := ptlink.AckOnly
	frame = &ptwire.Frame{}
	if session.dirty {
		content = ptlink.AckEliciting
		frame, session.pending = session.pending, frame
	}
	session.ackDue = false
	session.takeParts(frame)
	session.dirty = len(session.large) > 0
	sequence, ack := session.link.OnSend(session.clock.Now(), content)
	frame.Sequence, frame.Acknowledged = uint64(sequence), uint64(ack)
	session.remember(sequence, frame)
	session.mu.Unlock()
	session.handler.PrepareFrame(session, frame)
	return frame, nil
}

func (session *Session) takeParts(frame *ptwire.Frame) {
	kept := session.large[:0]
	for _, payload := range session.large {
		size := min(PartSize, len(payload.data))
		last := size == len(payload.data)
		frame.Parts = append(frame.Parts, &ptwire.Part{Id: payload.id, Data: payload.data[:size], Last: last})
		payload.data = payload.data[size:]
		if last {
			payload.finish(frame)
		} else {
			kept = append(kept, payload)
		}
	}
	session.large = kept
}

func attemptID(job string, index, attempt uint32) ptid.AttemptID {
	return ptid.AttemptID{Task: ptid.TaskID{Job: ptid.JobID(job), Index: ptid.TaskIndex(index)}, Attempt: ptid.Attempt(attempt)}
}

func (session *Session) remember(sequence ptid.Sequence, frame *ptwire.Frame) {
	if len(frame.Answers)+len(frame.Refusals) == 0 {
		return
	}
	tasks := make([]ptid.AttemptID, 0, len(frame.Answers)+len(frame.Refusals))
	for _, answer := range frame.Answers {
		tasks = append(tasks, attemptID(answer.Job, answer.Index, answer.Attempt))
	}
	for _, refusal := range frame.Refusals {
		tasks = append(tasks, attemptID(refusal.Job, refusal.Index, refusal.Attempt))
	}
	session.deliveries = append(session.deliveries, delivery{sequence: sequence, tasks: tasks})
}

func (session *Session) read() (err error) {
	for {
		frame, err := session.stream.Recv()
		if err != nil {
			session.Close(errors.Wrap(err, "receive a frame"))
			return session.Err()
		}
		session.framesReceived.Add(1)
		fresh, delivered := session.received(frame)
		if len(delivered) > 0 {
			session.handler.Delivered(session, delivered)
		}
		if !fresh {
			continue
		}
		if err := session.assemble(frame); err != nil {
			session.Close(err)
			return err
		}
		session.handler.Receive(session, frame)
	}
}

func (session *Session) received(frame *ptwire.Frame) (fresh bool, delivered []ptid.AttemptID) {
	session.mu.Lock()
	defer session.mu.Unlock()
	fresh = session.link.OnReceive(session.clock.Now(), ptid.Sequence(frame.Sequence), ptid.Sequence(frame.Acknowledged))
	for len(session.deliveries) > 0 && session.deliveries[0].sequence <= session.link.HighestAcknowledged() {
		delivered = append(delivered, session.deliveries[0].tasks...)
		session.deliveries = session.deliveries[1:]
	}
	return fresh && session.closed == nil, delivered
}

// assemble collects parts and puts whole payloads into the messages that refer to them.
func (session *Session) assemble(frame *ptwire.Frame) (err error) {
	for _, part := range frame.Parts {
		session.assemblySize += len(part.Data)
		if session.assemblySize > MaxReassemblyBytes {
			return errors.Wrap(ErrProtocol, "too many unfinished parts")
		}
		session.assembly[part.Id] = append(session.assembly[part.Id], part.Data...)
	}
	frame.Parts = nil
	if frame.Configuration != nil {
		frame.Configuration.Snapshot = session.whole(frame.Configuration.Part, frame.Configuration.Snapshot)
	}
	for _, dispatch := range frame.Dispatches {
		dispatch.Payload = session.whole(dispatch.Part, dispatch.Payload)
		if xxhash.Sum64(dispatch.Payload) != dispatch.Checksum {
			return errors.Wrap(ErrProtocol, "the checksum of a payload does not match")
		}
	}
	for _, answer := range frame.Answers {
		answer.Body = session.whole(answer.Part, answer.Body)
		if xxhash.Sum64(answer.Body) != answer.Checksum {
			return errors.Wrap(ErrProtocol, "the checksum of an answer does not match")
		}
	}
	return nil
}

func (session *Session) whole(part uint64, inline []byte) (data []byte) {
	if part == 0 {
		return inline
	}
	data = session.assembly[part]
	delete(session.assembly, part)
	session.assemblySize -= len(data)
	return data
}
