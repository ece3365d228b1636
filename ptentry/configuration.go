package ptentry

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptconfig"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// stop follows the declared state of the link's upstream. The caller holds the lock.
func (service *service) stop(link *link, state *ptconfig.State) {
	declared := state.UpstreamState(link.name())
	service.core.Scheduler().SetStopped(link.upstream, declared != ptprofile.UpstreamActive)
	link.session.Post(func(frame *ptwire.Frame) {
		frame.UpstreamState = &ptwire.UpstreamState{State: string(declared), Revision: uint64(state.Revision)}
	})
}

// configured tells the agent what a new configuration means for its upstream.
func (link *link) configured(state *ptconfig.State) {
	link.service.mu.Lock()
	defer link.service.mu.Unlock()
	if link.service.links[link.upstream] != link || state.ChangedAt[ptconfig.UpstreamKey(link.name())] == 0 {
		return
	}
	link.service.stop(link, state)
	link.service.do(link.service.core.Place(link.entry.deps.Clock.Now()))
}

// exchangeConfiguration answers an agent's question for the configuration, and
// asks for it where the agent's is newer: then the log is down and this entry has
// restarted.
func (link *link) exchangeConfiguration(frame *ptwire.Frame, now ptid.Instant) {
	entry := link.entry
	if frame.Configuration != nil {
		entry.takeConfiguration(frame.Configuration)
	}
	own := entry.follower.State()
	if query := frame.ConfigurationQuery; query != nil && uint64(own.Revision) > query.FromRevision {
		if configuration := entry.configuration(); configuration != nil {
			link.session.PostLarge(configuration.Snapshot, func(frame *ptwire.Frame, part uint64) {
				frame.Configuration = &ptwire.Configuration{Revision: configuration.Revision, Part: part}
			})
		}
	}
	link.revision.Store(frame.Revision)
	if frame.Revision > uint64(own.Revision) && int64(now)-link.askedAt.Load() > int64(time.Second) {
		link.askedAt.Store(int64(now))
		link.session.Post(func(frame *ptwire.Frame) {
			frame.ConfigurationQuery = &ptwire.ConfigurationQuery{FromRevision: uint64(own.Revision)}
		})
	}
}

func (entry *Entry) takeConfiguration(offered *ptwire.Configuration) {
	state, err := ptconfig.DecompressSnapshot(offered.Snapshot)
	if err != nil {
		entry.deps.Log.Info("a peer sent a configuration that can't be read", "error", err.Error())
		return
	}
	entry.follower.AdoptIfNewer(state)
}

// configuration returns the state in force as a message, nil where there is none. It
// is packed once for each revision, not once for each agent.
func (entry *Entry) configuration() *ptwire.Configuration {
	state := entry.follower.State()
	if state.Revision == 0 {
		return nil
	}
	if packed := entry.packed.Load(); packed.GetRevision() == uint64(state.Revision) {
		return packed
	}
	snapshot, err := ptconfig.CompressSnapshot(state)
	if err != nil {
		entry.deps.Log.Error(err, "the configuration can't be packed")
		return nil
	}
	packed := &ptwire.Configuration{Revision: uint64(state.Revision), Snapshot: snapshot}
	entry.packed.Store(packed)
	return packed
}
