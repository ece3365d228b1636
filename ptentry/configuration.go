package ptentry

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptconfig"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// applyDeclaredState passes the declared state of the agent's upstream to the scheduler and to
// the agent. An upstream whose declared state is not active gets no tasks. The caller holds the
// scheduler's lock.
func (service *serviceScheduler) applyDeclaredState(agent *agentSession, state *ptconfig.State) {
	declared := state.UpstreamState(agent.name())
	service.core.Scheduler().SetStopped(agent.upstream, declared != ptprofile.UpstreamActive)
	agent.session.Post(func(frame *ptwire.Frame) {
		frame.UpstreamState = &ptwire.UpstreamState{State: string(declared), Revision: uint64(state.Revision)}
	})
}

// applyConfiguration processes a new configuration. It applies the state that the configuration
// declares for the agent's upstream, and then places queued tasks. It does nothing if the
// session has been replaced or the configuration has never declared a state for the upstream.
func (agent *agentSession) applyConfiguration(state *ptconfig.State) {
	agent.service.mu.Lock()
	defer agent.service.mu.Unlock()
	if agent.service.agents[agent.upstream] != agent || state.ChangedAt[ptconfig.UpstreamKey(agent.name())] == 0 {
		return
	}
	agent.service.applyDeclaredState(agent, state)
	agent.service.execute(agent.service.core.Place(agent.entry.deps.Clock.Now()))
}

// exchangeConfiguration replies to an agent's configuration query. It queries the agent in turn
// if the agent's revision is higher than the entry's own, which happens when the entry has
// restarted while the log service is unavailable.
func (agent *agentSession) exchangeConfiguration(frame *ptwire.Frame, now ptid.Instant) {
	entry := agent.entry
	if frame.Configuration != nil {
		entry.offerConfiguration(frame.Configuration)
	}
	local := entry.follower.State()
	if query := frame.ConfigurationQuery; query != nil && uint64(local.Revision) > query.FromRevision {
		if configuration := entry.configurationMessage(); configuration != nil {
			agent.session.PostLarge(configuration.Snapshot, func(frame *ptwire.Frame, part uint64) {
				frame.Configuration = &ptwire.Configuration{Revision: configuration.Revision, Part: part}
			})
		}
	}
	agent.revision.Store(frame.Revision)
	if frame.Revision > uint64(local.Revision) && int64(now)-agent.queriedAt.Load() > int64(time.Second) {
		agent.queriedAt.Store(int64(now))
		agent.session.Post(func(frame *ptwire.Frame) {
			frame.ConfigurationQuery = &ptwire.ConfigurationQuery{FromRevision: uint64(local.Revision)}
		})
	}
}

func (entry *Entry) offerConfiguration(offered *ptwire.Configuration) {
	state, err := ptconfig.DecompressSnapshot(offered.Snapshot)
	if err != nil {
		entry.deps.Log.Info("configuration from a peer can't be decoded", "error", err.Error())
		return
	}
	entry.follower.AdoptIfNewer(state)
}

// configurationMessage returns the configuration in force as a message, or nil if there is
// none. The configuration is compressed once per revision and not once per agent.
func (entry *Entry) configurationMessage() *ptwire.Configuration {
	state := entry.follower.State()
	if state.Revision == 0 {
		return nil
	}
	if encoded := entry.encodedConfiguration.Load(); encoded.GetRevision() == uint64(state.Revision) {
		return encoded
	}
	snapshot, err := ptconfig.CompressSnapshot(state)
	if err != nil {
		entry.deps.Log.Error(err, "configuration can't be encoded")
		return nil
	}
	encoded := &ptwire.Configuration{Revision: uint64(state.Revision), Snapshot: snapshot}
	entry.encodedConfiguration.Store(encoded)
	return encoded
}
