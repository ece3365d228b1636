// Package ptlink implements the timing of a session: acknowledgements, heartbeats and timeouts.
// It has no I/O. The caller reports what it sends and receives, and when.
//
// # How it works
//
//  1. Every frame carries the highest sequence number received from the peer. Frames with
//     messages or a heartbeat also have a sequence number of their own.
//  2. If the oldest unacknowledged frame is older than [AckTimeout], the peer counts as
//     unresponsive. TCP acknowledgements do not count, since an intermediate device may send
//     them for a peer that no longer exists.
//  3. Acknowledgements are piggybacked on the next frame in the other direction. If none is
//     sent within [MaxAckDelay], a frame with only the acknowledgement is sent. The peer does not
//     acknowledge such a frame.
//  4. The agent sends a heartbeat only if it has sent no other frame within the interval that
//     the entry has set (DOORS, section 5.3: status inquiries only in the absence of useful
//     traffic). The entry acknowledges the heartbeat, so one exchange proves that the connection
//     works in both directions.
//  5. A session times out if no frame is received for [ReceiveTimeoutIntervals] heartbeat
//     intervals.
//  6. If two ticks are further apart than [PauseThreshold], the process itself was paused. The
//     timeouts of rules 2 and 5 then start again, because frames of the peer may still be
//     unread in the socket. The timeout of a frame starts again only once, and so does the
//     receive timeout until the next frame is received: a process that is paused repeatedly
//     must also detect that its peer is silent.
//
// # Usage
//
//	link := ptlink.New(role, now, interval)
//	sequence, ack := link.OnSend(now, ptlink.AckEliciting)
//	fresh := link.OnReceive(now, sequence, ack)
//	switch link.Tick(now) { … }
//
// # Limits
//
// Ticks come at a fixed interval, so every timeout is late by up to one tick.
package ptlink

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// AckTimeout is the timeout of the acknowledgement of a frame. When it expires, the peer
	// counts as unresponsive.
	AckTimeout = 300 * time.Millisecond
	// MaxAckDelay is how long an acknowledgement waits for a frame that can carry it.
	MaxAckDelay = 100 * time.Millisecond
	// PauseThreshold is the longest time between two ticks of a running process. After a
	// longer time, the link assumes that the process was paused.
	PauseThreshold = 250 * time.Millisecond
	// MinHeartbeatInterval is the shortest interval between heartbeats.
	MinHeartbeatInterval = time.Second
	// ReceiveTimeoutIntervals is the receive timeout as a number of heartbeat intervals.
	ReceiveTimeoutIntervals = 3
	// ReconnectTimeout is the time within which an agent is expected to reconnect after its
	// session was lost. The side that detects the loss closes the connection. A live agent then
	// dials again at once. If this dial fails, the agent retries within half a second at most.
	ReconnectTimeout = time.Second
)

// FrameKind states whether a frame must be acknowledged.
type FrameKind bool

const (
	// AckEliciting frames carry messages or a heartbeat and must be acknowledged.
	AckEliciting FrameKind = true
	// AckOnly frames carry only an acknowledgement and are not acknowledged themselves.
	AckOnly FrameKind = false
)

// Action is what the caller must do after a tick.
type Action uint8

const (
	// NoAction means that nothing is due.
	NoAction Action = iota
	// SendAck means that a frame with only an acknowledgement must be sent.
	SendAck
	// SendHeartbeat means that a heartbeat must be sent.
	SendHeartbeat
	// AckTimedOut means that the peer did not acknowledge a frame within [AckTimeout].
	AckTimedOut
	// ReceiveTimedOut means that no frame was received within the receive timeout.
	ReceiveTimedOut
)

// Role is the side of the session that a link belongs to.
type Role uint8

const (
	// AgentSide sends heartbeats.
	AgentSide Role = iota
	// EntrySide acknowledges heartbeats and sends none.
	EntrySide
)

// sentFrame is an unacknowledged frame and the instant of its acknowledgement timeout.
type sentFrame struct {
	sequence ptid.Sequence
	sentAt   ptid.Instant
	deadline ptid.Instant
	// extended is true once the deadline was extended after a pause.
	extended bool
}

// Link is the timing state of one side of a session. It is not safe for concurrent use.
type Link struct {
	role                Role
	interval            time.Duration
	lastSent            ptid.Sequence
	unacked             []sentFrame
	highestReceived     ptid.Sequence
	ackDeadline         ptid.Instant
	nextHeartbeat       ptid.Instant
	receiveDeadline     ptid.Instant
	receiveExtended     bool
	lastTick            ptid.Instant
	highestAcknowledged ptid.Sequence
	peerAliveAt         ptid.Instant
}

// New returns the link of a session that is opened at now.
func New(role Role, now ptid.Instant, interval time.Duration) *Link {
	link := &Link{role: role, ackDeadline: ptid.Never, lastTick: now, interval: interval}
	link.nextHeartbeat = now.Add(interval)
	link.receiveDeadline = now.Add(ReceiveTimeoutIntervals * interval)
	return link
}

// SetHeartbeatInterval changes the heartbeat interval, and the receive timeout with it.
func (link *Link) SetHeartbeatInterval(now ptid.Instant, interval time.Duration) {
	if interval == link.interval {
		return
	}
	link.interval = interval
	link.nextHeartbeat = now.Add(interval)
	link.receiveDeadline = now.Add(ReceiveTimeoutIntervals * interval)
}

// OnSend records a frame that is about to be sent. It returns the sequence number and the
// acknowledgement that the frame must carry.
func (link *Link) OnSend(now ptid.Instant, kind FrameKind) (sequence, ack ptid.Sequence) {
	link.ackDeadline = ptid.Never
	if kind == AckOnly {
		return 0, link.highestReceived
	}
	link.lastSent++
	link.unacked = append(link.unacked, sentFrame{sequence: link.lastSent, sentAt: now, deadline: now.Add(AckTimeout)})
	link.nextHeartbeat = now.Add(link.interval)
	return link.lastSent, link.highestReceived
}

// OnReceive records the sequence number and the acknowledgement of a received frame. fresh is
// false if the frame is a duplicate and must be dropped.
func (link *Link) OnReceive(now ptid.Instant, sequence, ack ptid.Sequence) (fresh bool) {
	link.receiveDeadline, link.receiveExtended = now.Add(ReceiveTimeoutIntervals*link.interval), false
	link.acknowledge(ack)
	if sequence == 0 {
		return true
	}
	if sequence <= link.highestReceived {
		return false
	}
	link.highestReceived = sequence
	if link.ackDeadline == ptid.Never {
		link.ackDeadline = now.Add(MaxAckDelay)
	}
	return true
}

func (link *Link) acknowledge(ack ptid.Sequence) {
	if ack > link.lastSent || ack <= link.highestAcknowledged {
		return
	}
	link.highestAcknowledged = ack
	count := 0
	for count < len(link.unacked) && link.unacked[count].sequence <= ack {
		link.peerAliveAt = link.unacked[count].sentAt
		count++
	}
	link.unacked = append(link.unacked[:0], link.unacked[count:]...)
}

// HighestAcknowledged returns the highest sequence number that the peer has acknowledged.
func (link *Link) HighestAcknowledged() ptid.Sequence { return link.highestAcknowledged }

// PeerAliveAt returns the latest instant at which the peer is known to have been alive: the peer has
// acknowledged a frame that was sent then. It is zero before the first acknowledgement.
func (link *Link) PeerAliveAt() ptid.Instant { return link.peerAliveAt }

// Tick returns the action that is due at now. It must be called at a fixed interval.
func (link *Link) Tick(now ptid.Instant) (action Action) {
	paused := now.Sub(link.lastTick) > PauseThreshold
	link.lastTick = now
	if paused {
		link.extendDeadlines(now)
	}
	switch {
	case len(link.unacked) > 0 && now > link.unacked[0].deadline:
		return AckTimedOut
	case now > link.receiveDeadline:
		return ReceiveTimedOut
	case now >= link.ackDeadline:
		return SendAck
	case link.role == AgentSide && now >= link.nextHeartbeat:
		return SendHeartbeat
	default:
		return NoAction
	}
}

func (link *Link) extendDeadlines(now ptid.Instant) {
	for i := range link.unacked {
		if frame := &link.unacked[i]; !frame.extended {
			frame.deadline, frame.extended = max(frame.deadline, now.Add(AckTimeout)), true
		}
	}
	if !link.receiveExtended {
		link.receiveDeadline, link.receiveExtended = max(link.receiveDeadline, now.Add(ReceiveTimeoutIntervals*link.interval)), true
	}
}
