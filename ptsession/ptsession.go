// Package ptsession transmits frames between one agent and one entry over a drpc stream. Both
// sides use it.
//
// # How it works
//
//  1. Callers add messages to the pending frame with [Session.Post]. One goroutine sends it.
//     Messages that are added during a write are sent together in the next frame, so the
//     number of writes per message falls as the load rises.
//  2. A payload larger than [PartSize] is split into parts. A frame carries one part of each
//     large payload, so a large payload does not delay other messages. The frame with the last
//     part also contains the message that the payload belongs to.
//  3. Package ptlink decides about sequence numbers, acknowledgements, heartbeats and timeouts.
//     The owner calls [Session.Tick] at a fixed interval.
//  4. The session records the attempts of the answers and refusals in each frame. When the
//     frame has been acknowledged, the session passes the attempts to [Handler.Delivered].
//  5. A frame that can't be decoded and a checksum mismatch end the session. In the next
//     session, the entry queries the state of the tasks whose messages may have been lost.
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
	// PartSize is the maximum size in bytes of a payload that is sent inside its message. Larger
	// payloads are split into parts of this size.
	PartSize = 32 << 10
	// MaxReassemblyBytes bounds the total size of the incomplete payloads of a session.
	MaxReassemblyBytes = 64 << 20
	// TickInterval is the interval at which owners call [Session.Tick].
	TickInterval = 50 * time.Millisecond
)

// Errors that end a session.
var (
	ErrAckTimeout     = errors.New("the peer did not acknowledge a frame in time")
	ErrReceiveTimeout = errors.New("no frame was received within the receive timeout")
	ErrClosed         = errors.New("the session was closed")
	ErrProtocol       = errors.New("protocol violation")
)

// CauseLabel returns the value of the metric label "cause" for the error that ended a session.
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

// Stream is the part of a drpc stream that a session uses.
type Stream interface {
	Send(frame *ptwire.Frame) error
	Recv() (*ptwire.Frame, error)
}

// Handler is implemented by the owner of a session.
type Handler interface {
	// PrepareFrame sets the fields that every frame carries. It is called just before the frame
	// is sent.
	PrepareFrame(session *Session, frame *ptwire.Frame)
	// Receive handles a received frame that is not a duplicate. It must not block.
	Receive(session *Session, frame *ptwire.Frame)
	// Delivered reports the attempts whose answers or refusals the peer has acknowledged.
	Delivered(session *Session, attempts []ptid.AttemptID)
}

// Clock returns the current instant of the process.
type Clock interface{ Now() ptid.Instant }

// delivery lists the attempts whose answers or refusals a sent frame contains.
type delivery struct {
	sequence ptid.Sequence
	attempts []ptid.AttemptID
}

// largePayload is the rest of a payload that is sent in parts. finish adds the message that
// refers to the payload to the frame of the last part.
type largePayload struct {
	id     uint64
	data   []byte
	finish func(frame *ptwire.Frame)
}

// Session is one side of a session between an agent and an entry. It is safe for concurrent
// use.
type Session struct {
	role    ptlink.Role
	clock   Clock
	stream  Stream
	closer  func()
	handler Handler

	mu            sync.Mutex
	wake          *sync.Cond
	link          *ptlink.Link
	pending       *ptwire.Frame
	hasPending    bool
	ackDue        bool
	confirmedAt   ptid.Instant
	closeReason   error
	largePayloads []largePayload
	lastPart      uint64
	deliveries    []delivery

	// assembly and assemblySize are used by the reading goroutine only.
	assembly     map[uint64][]byte
	assemblySize int

	framesSent     atomic.Uint64
	framesReceived atomic.Uint64
}

// New returns a session over an open stream. closer must unblock pending sends and receives of
// the stream.
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

// Run sends and receives frames until the session ends, and returns the reason.
func (session *Session) Run() (err error) {
	// The reader runs on the calling goroutine and not on a new one. This saves an entry one
	// goroutine stack per agent.
	var group errgroup.Group
	group.Go(session.write)
	_ = session.read()
	_ = group.Wait()
	return session.Err()
}

// Close ends the session with a reason. Later calls have no effect.
func (session *Session) Close(reason error) {
	session.mu.Lock()
	first := session.closeReason == nil
	if first {
		session.closeReason = reason
	}
	session.wake.Broadcast()
	session.mu.Unlock()
	if first {
		session.closer()
	}
}

// Err returns the reason for which the session has ended, or nil while it is open.
func (session *Session) Err() error {
	session.mu.Lock()
	defer session.mu.Unlock()
	return session.closeReason
}

// FrameCounts returns the number of frames sent and received.
func (session *Session) FrameCounts() (sent, received uint64) {
	return session.framesSent.Load(), session.framesReceived.Load()
}

// Post adds messages to the next frame. It returns false, without adding them, if the session
// has ended.
func (session *Session) Post(add func(frame *ptwire.Frame)) (posted bool) {
	session.mu.Lock()
	defer session.mu.Unlock()
	if session.closeReason != nil {
		return false
	}
	add(session.pending)
	session.markPending()
	return true
}

func (session *Session) markPending() {
	if !session.hasPending {
		session.hasPending = true
		session.wake.Signal()
	}
}

// PostLarge sends data in parts, which all carry the same ID. The session calls finish when it
// adds the last part to a frame. finish must add to this frame the message to which the data
// belongs, and set the ID in the message.
func (session *Session) PostLarge(data []byte, finish func(frame *ptwire.Frame, part uint64)) (posted bool) {
	session.mu.Lock()
	defer session.mu.Unlock()
	if session.closeReason != nil {
		return false
	}
	session.lastPart++
	id := session.lastPart
	session.largePayloads = append(session.largePayloads, largePayload{
		id: id, data: data, finish: func(frame *ptwire.Frame) { finish(frame, id) },
	})
	session.markPending()
	return true
}

// PostDispatch sends a dispatch. A payload larger than [PartSize] is sent in parts.
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

// PostAnswer sends an answer and does not modify it. The body must not be changed until the
// answer is delivered.
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

// ConfirmCallers makes all later frames carry the instant, on the clock of the peer, at which every open
// best-effort job is known to have had a caller (package ptcaller). Messages that were posted before are in
// an earlier frame or in the first frame that carries the instant.
func (session *Session) ConfirmCallers(at ptid.Instant) {
	session.mu.Lock()
	defer session.mu.Unlock()
	session.confirmedAt = max(session.confirmedAt, at)
}

// PeerAliveAt returns the latest instant at which the peer is known to have been alive.
func (session *Session) PeerAliveAt() ptid.Instant {
	session.mu.Lock()
	defer session.mu.Unlock()
	return session.link.PeerAliveAt()
}

// Tick sends an acknowledgement or a heartbeat if one is due, and ends the session if it has
// timed out.
func (session *Session) Tick() {
	session.mu.Lock()
	if session.closeReason != nil {
		session.mu.Unlock()
		return
	}
	action := session.link.Tick(session.clock.Now())
	switch action {
	case ptlink.SendAck:
		session.ackDue = true
		session.wake.Signal()
	case ptlink.SendHeartbeat:
		if !session.hasPending {
			session.pending.Heartbeat = true
		}
		session.markPending()
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
		frame, err := session.nextFrame()
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

// nextFrame waits until there is something to send and returns the numbered frame.
func (session *Session) nextFrame() (frame *ptwire.Frame, err error) {
	session.mu.Lock()
	for !session.hasPending && !session.ackDue && session.closeReason == nil {
		session.wake.Wait()
	}
	if session.closeReason != nil {
		session.mu.Unlock()
		return nil, session.closeReason
	}
	kind := ptlink.AckOnly
	frame = &ptwire.Frame{}
	if session.hasPending {
		kind = ptlink.AckEliciting
		frame, session.pending = session.pending, frame
	}
	session.ackDue = false
	session.addParts(frame)
	session.hasPending = len(session.largePayloads) > 0
	sequence, ack := session.link.OnSend(session.clock.Now(), kind)
	frame.Sequence, frame.Acknowledged = uint64(sequence), uint64(ack)
	frame.CallersConfirmedNanos = int64(session.confirmedAt)
	session.trackDelivery(sequence, frame)
	session.mu.Unlock()
	session.handler.PrepareFrame(session, frame)
	return frame, nil
}

func (session *Session) addParts(frame *ptwire.Frame) {
	remaining := session.largePayloads[:0]
	for _, payload := range session.largePayloads {
		size := min(PartSize, len(payload.data))
		last := size == len(payload.data)
		frame.Parts = append(frame.Parts, &ptwire.Part{Id: payload.id, Data: payload.data[:size], Last: last})
		payload.data = payload.data[size:]
		if last {
			payload.finish(frame)
		} else {
			remaining = append(remaining, payload)
		}
	}
	session.largePayloads = remaining
}

func attemptID(job string, index, attempt uint32) ptid.AttemptID {
	return ptid.AttemptID{Task: ptid.TaskID{Job: ptid.JobID(job), Index: ptid.TaskIndex(index)}, Attempt: ptid.Attempt(attempt)}
}

func (session *Session) trackDelivery(sequence ptid.Sequence, frame *ptwire.Frame) {
	if len(frame.Answers)+len(frame.Refusals) == 0 {
		return
	}
	attempts := make([]ptid.AttemptID, 0, len(frame.Answers)+len(frame.Refusals))
	for _, answer := range frame.Answers {
		attempts = append(attempts, attemptID(answer.Job, answer.Index, answer.Attempt))
	}
	for _, refusal := range frame.Refusals {
		attempts = append(attempts, attemptID(refusal.Job, refusal.Index, refusal.Attempt))
	}
	session.deliveries = append(session.deliveries, delivery{sequence: sequence, attempts: attempts})
}

func (session *Session) read() (err error) {
	for {
		frame, err := session.stream.Recv()
		if err != nil {
			session.Close(errors.Wrap(err, "receive a frame"))
			return session.Err()
		}
		session.framesReceived.Add(1)
		fresh, delivered := session.recordReceived(frame)
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

func (session *Session) recordReceived(frame *ptwire.Frame) (fresh bool, delivered []ptid.AttemptID) {
	session.mu.Lock()
	defer session.mu.Unlock()
	fresh = session.link.OnReceive(session.clock.Now(), ptid.Sequence(frame.Sequence), ptid.Sequence(frame.Acknowledged))
	for len(session.deliveries) > 0 && session.deliveries[0].sequence <= session.link.HighestAcknowledged() {
		delivered = append(delivered, session.deliveries[0].attempts...)
		session.deliveries = session.deliveries[1:]
	}
	return fresh && session.closeReason == nil, delivered
}

// assemble appends the parts of a frame to their payloads, moves completed payloads into the
// messages that refer to them, and verifies the checksums.
func (session *Session) assemble(frame *ptwire.Frame) (err error) {
	for _, part := range frame.Parts {
		session.assemblySize += len(part.Data)
		if session.assemblySize > MaxReassemblyBytes {
			return errors.Wrap(ErrProtocol, "the incomplete payloads exceed the reassembly limit")
		}
		session.assembly[part.Id] = append(session.assembly[part.Id], part.Data...)
	}
	frame.Parts = nil
	if frame.Configuration != nil {
		frame.Configuration.Snapshot = session.completePayload(frame.Configuration.Part, frame.Configuration.Snapshot)
	}
	for _, dispatch := range frame.Dispatches {
		dispatch.Payload = session.completePayload(dispatch.Part, dispatch.Payload)
		if xxhash.Sum64(dispatch.Payload) != dispatch.Checksum {
			return errors.Wrap(ErrProtocol, "checksum mismatch in the payload of a dispatch")
		}
	}
	for _, answer := range frame.Answers {
		answer.Body = session.completePayload(answer.Part, answer.Body)
		if xxhash.Sum64(answer.Body) != answer.Checksum {
			return errors.Wrap(ErrProtocol, "checksum mismatch in the body of an answer")
		}
	}
	return nil
}

func (session *Session) completePayload(part uint64, inline []byte) (data []byte) {
	if part == 0 {
		return inline
	}
	data = session.assembly[part]
	delete(session.assembly, part)
	session.assemblySize -= len(data)
	return data
}
