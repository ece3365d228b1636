package ptstandin

import "sync/atomic"

// Caller is a test double of a caller that waits for a job. It implements ptcaller.Caller. The zero value is
// connected. It is safe for concurrent use.
type Caller struct{ gone atomic.Bool }

// IsConnected implements ptcaller.Caller.
func (caller *Caller) IsConnected() bool { return !caller.gone.Load() }

// Leave closes the connection of the caller. Nobody is told.
func (caller *Caller) Leave() { caller.gone.Store(true) }
