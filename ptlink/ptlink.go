// Package ptlink decides when a session acknowledges, beats and counts as
// silent. It has no I/O: the adapter tells it what was sent and received, and
// when.
//
// # How it works
//
//  1. Every frame has a sequence number, and every frame carries the highest
//     one received from the other side.
//  2. A side whose oldest unacknowledged frame is older than [AckTimeout]
//     takes the session as silent. The acknowledgements of the kernel do not
//     count, since a device in between may still send them.
//  3. An acknowledgement rides on the next frame the other way. Where none has
//     left within [MaxAckDelay], it is sent alone. A frame that carries nothing
//     but an acknowledgement is not itself acknowledged.
//  4. A heartbeat is sent by the agent only where nothing else was sent within
//     the interval that the entry has set (DOORS, section 5.3: status inquiries
//     only in the absence of useful traffic). The entry answers with the
//     acknowledgement, so one exchange shows both directions alive.
//  5. A session lapses where nothing has been received for the lapse span.
//  6. A side that finds that it was itself paused (two ticks further apart than
//     [PauseThreshold]) starts the waits of rule 2 and 5 anew: the peer's frames
//     may lie unread in the socket.
//
// # Usage
//
//	link := ptlink.New(now, interval, lapse)
//	sequence, ack := link.Sent(now, ptlink.AckEliciting)
//	duplicate := link.Received(now, sequence, ack, ptlink.AckEliciting)
//	switch link.Tick(now) { … }
//
// # Limits
//
// Ticks come at a fixed pace, so every bound is late by up to one tick.
package ptlink

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

const (
	// AckTimeout is the age at which an unacknowledged frame makes a session silent.
	AckTimeout = 300 * time.Millisecond
	// MaxAckDelay is how long an acknowledgement waits for a frame to ride on.
	MaxAckDelay = 100 * time.Millisecond
	// PauseThreshold is the distance between ticks from which the process counts as paused.
	PauseThreshold = 250 * time.Millisecond
	// MinHeartbeatInterval is the shortest interval between heartbeats.
	MinHeartbeatInterval = time.Second
	// ReceiveTimeoutIntervals is how many heartbeat intervals without a frame make a session lapse.
	ReceiveTimeoutIntervals = 3
	// ReconnectTimeout is how long after the loss of a session its agent is expected back: the
	// side that finds the silence closes the connection, and a living agent dials anew at
	// once, and again after half a second at most.
	ReconnectTimeout = time.Second
)

// FrameKind says whether a frame must itself be acknowledged.
type FrameKind bool

const (
	// AckEliciting marks a frame with messages or a heartbeat.
	AckEliciting FrameKind = true
	// AckOnly marks a frame that carries an acknowledgement alone.
	AckOnly FrameKind = false
)

// Action is what the adapter has to do after a tick.
type Action uint8

const (
	// NoAction is to be done.
	NoAction Action = iota
	// SendAck asks for a frame that carries the acknowledgement alone.
	SendAck
	// SendHeartbeat asks for a heartbeat.
	SendHeartbeat
	// AckTimedOut says that the other side does not acknowledge.
	AckTimedOut
	// ReceiveTimedOut says that the other side has not been heard for the lapse span.
	ReceiveTimedOut
)

// Role says which side of the session a link is.
type Role uint8

const (
	// AgentSide sends heartbeats.
	AgentSide Role = iota
	// EntrySide only acknowledges them.
	EntrySide
)

// sentFrame is a frame that has not been acknowledged.
type sentFrame struct {
	sequence ptid.Sequence
	deadline ptid.Instant
}

// Link is the state of one side of a session. It is not safe for concurrent use.
type Link struct {
	role         Role
	interval     time.Duration
	lastSent     ptid.Sequence
	unacked      []sentFrame
	received     ptid.Sequence
	ackOwedBy    ptid.Instant
	nextBeat     ptid.Instant
	lapseAt      ptid.Instant
	lastTick     ptid.Instant
	acknowledged ptid.Sequence
}

// New returns the link of a session that opens now.
func New(role Role, now ptid.Instant, interval time.Duration) *Link {
	link := &Link{role: role, ackOwedBy: ptid.Never, lastTick: now, interval: interval}
	link.nextBeat = now.Add(interval)
	link.lapseAt = now.Add(ReceiveTimeoutIntervals * interval)
	return link
}

// SetHeartbeatInterval changes the heartbeat interval, and with it the lapse span.
func (link *Link) SetHeartbeatInterval(now ptid.Instant, interval time.Duration) {
	if interval == link.interval {
		return
	}
	link.interval = interval
	link.nextBeat = now.Add(interval)
	link.lapseAt = now.Add(ReceiveTimeoutIntervals * interval)
}

// OnSend numbers a frame that is about to be written and returns the
// acknowledgement that it carries.
func (link *Link) OnSend(now ptid.Instant, content FrameKind) (sequence, ack ptid.Sequence) {
	link.ackOwedBy = ptid.Never
	if content == AckOnly {
		return 0, link.received
	}
	link.lastSent++
	link.unacked = append(link.unacked, sentFrame{sequence: link.lastSent, deadline: now.Add(AckTimeout)})
	link.nextBeat = now.Add(link.interval)
	return link.lastSent, link.received
}

// OnReceive takes in the numbers of a frame. fresh is false where the frame
// came before and must be dropped.
func (link *Link) OnReceive(now ptid.Instant, sequence, ack ptid.Sequence) (fresh bool) {
	link.lapseAt = now.Add(ReceiveTimeoutIntervals * link.interval)
	link.acknowledge(ack)
	if sequence == 0 {
		return true
	}
	if sequence <= link.received {
		return false
	}
	link.received = sequence
	if link.ackOwedBy == ptid.Never {
		link.ackOwedBy = now.Add(MaxAckDelay)
	}
	return true
}

func (link *Link) acknowledge(ack ptid.Sequence) {
	if ack > link.lastSent || ack <= link.acknowledged {
		return
	}
	link.acknowledged = ack
	kept := 0
	for kept < len(link.unacked) && link.unacked[kept].sequence <= ack {
		kept++
	}
	link.unacked = append(link.unacked[:0], link.unacked[kept:]...)
}

// HighestAcknowledged returns the highest own frame that the other side has received.
func (link *Link) HighestAcknowledged() ptid.Sequence { return link.acknowledged }

// Tick says what is due now. The adapter calls it at a steady pace.
func (link *Link) Tick(now ptid.Instant) (action Action) {
	paused := now.Sub(link.lastTick) > PauseThreshold
	link.lastTick = now
	if paused {
		link.restartWaits(now)
	}
	switch {
	case len(link.unacked) > 0 && now > link.unacked[0].deadline:
		return AckTimedOut
	case now > link.lapseAt:
		return ReceiveTimedOut
	case now >= link.ackOwedBy:
		return SendAck
	case link.role == AgentSide && now >= link.nextBeat:
		return SendHeartbeat
	default:
		return NoAction
	}
}

func (link *Link) restartWaits(now ptid.Instant) {
	for i := range link.unacked {
		link.unacked[i].deadline = max(link.unacked[i].deadline, now.Add(AckTimeout))
	}
	link.lapseAt = max(link.lapseAt, now.Add(ReceiveTimeoutIntervals*link.interval))
}
