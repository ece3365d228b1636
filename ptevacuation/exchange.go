package ptevacuation

import (
	"sync"

	"github.com/primrosetiller/primrosetiller/ptwire"
)

// Exchange keeps track of the state that the peer of one session knows, so that a frame carries the
// state only where it is news. The zero value is the exchange of a new session. It is safe for
// concurrent use: one goroutine of a session sends frames, another one receives them.
type Exchange struct {
	mu sync.Mutex
	// known is the newest state that was sent to or received from the peer.
	known State
}

// ToSend returns the message that the next frame carries; nil if the peer knows the current state. The
// frame must then be sent.
func (exchange *Exchange) ToSend(current State) *ptwire.Evacuation {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	known := exchange.known
	if current.revision < known.revision || current.revision == known.revision && current.HasSameZones(known) {
		return nil
	}
	exchange.known = current
	return current.Message()
}

// Received records a state that the peer has sent. urgent means that the current state, into which the
// received one has been merged, must be sent at once. A higher revision with the same zones can wait for
// the next frame: it follows every record of the operator, which may concern something else.
func (exchange *Exchange) Received(received, current State) (urgent bool) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if received.revision >= exchange.known.revision {
		exchange.known = received
	}
	return current.revision >= exchange.known.revision && !current.HasSameZones(exchange.known)
}
