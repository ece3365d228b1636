package ptentry

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/primrosetiller/primrosetiller/ptpresence"
	"github.com/primrosetiller/primrosetiller/ptsession"
	"github.com/primrosetiller/primrosetiller/pttransport"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const (
	expireInterval    = 5 * time.Second
	drainPollInterval = 20 * time.Millisecond
)

// Run serves agents and peers until ctx is done. Then the entry becomes unready, accepts jobs
// for the shutdown delay, waits for the end of every job and returns. Callers are served by
// package ptfront.
func (entry *Entry) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "entry %s", entry.setting.Name) }()
	listener, err := net.Listen("tcp", entry.setting.AgentsListen)
	if err != nil {
		return errors.Wrap(err, "listen for agents and peers")
	}
	return entry.RunOnListener(ctx, listener)
}

// RunOnListener is like [Entry.Run], but uses a listener for agents and peers that is already
// open.
func (entry *Entry) RunOnListener(ctx context.Context, listener net.Listener) (err error) {
	entry.setting.AgentsListen = listener.Addr().String()
	mux := drpcmux.New()
	if err := ptwire.DRPCRegisterDispatcher(mux, entry); err != nil {
		return errors.Wrap(err, "register the drpc service")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: pttransport.Options()})
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error {
		return pttransport.Serve(background, listener, server, entry.deps.Metrics, entry.deps.Log)
	})
	// Run does not wait for the goroutines that read from the log service, because a read can
	// block for seconds.
	go entry.follower.Run(background)
	go entry.claimer.Run(background, entry.setting.AgentsListen)
	group.Go(func() error { entry.tick(background); return nil })
	go entry.maintainPeers(background)
	entry.deps.Log.Info("entry started", "agents", entry.setting.AgentsListen, "placement", entry.setting.Placement, "order", entry.setting.Order)
	<-ctx.Done()
	entry.drain()
	stop()
	if err := listener.Close(); err != nil {
		return errors.Wrap(err, "close the listener for agents and peers")
	}
	for _, agent := range entry.allAgents() {
		agent.session.Close(ptsession.ErrClosed)
	}
	return group.Wait()
}

// drain makes the entry unready, refuses new jobs after the shutdown delay, and waits until
// every job has ended.
func (entry *Entry) drain() {
	entry.unready.Store(true)
	entry.deps.Log.Info("entry drains", "openJobs", entry.jobs.open())
	time.Sleep(entry.setting.ShutdownDelay)
	entry.draining.Store(true)
	for entry.jobs.open() > 0 {
		time.Sleep(drainPollInterval)
	}
}

func (entry *Entry) tick(ctx context.Context) {
	ticker := time.NewTicker(ptsession.TickInterval)
	defer ticker.Stop()
	expireDue := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, agent := range entry.allAgents() {
			agent.session.Tick()
		}
		now := entry.deps.Clock.Now()
		for _, service := range *entry.services.Load() {
			service.tick(now)
		}
		entry.sendClaims()
		if time.Now().After(expireDue) {
			expireDue = time.Now().Add(expireInterval)
			entry.jobs.expire(time.Now())
			entry.notRunJobs.expire(time.Now())
		}
	}
}

// maintainPeers announces this entry in the presence stream of the log service, discovers the
// addresses of other entries there, and polls the entries for their identity and configuration.
func (entry *Entry) maintainPeers(ctx context.Context) {
	go entry.presence.Announce(ctx, ptpresence.Entry{
		Name: entry.setting.Name, Address: entry.setting.AgentsListen, Incarnation: entry.incarnation,
	}, entry.setting.LogRetention)
	go entry.presence.Follow(ctx)
	for ctx.Err() == nil {
		entry.pollPeers(ctx)
		entry.broadcastEntries()
		select {
		case <-ctx.Done():
		case <-time.After(peerPollInterval):
		}
	}
}

// broadcastEntries sends the list of live entries to all agents if the list has changed since
// it was last sent.
func (entry *Entry) broadcastEntries() {
	addresses := entry.entryAddresses()
	list := ""
	for _, address := range addresses {
		list += address.Name + "=" + address.Address + ";"
	}
	if list == entry.sentEntries {
		return
	}
	entry.sentEntries = list
	for _, agent := range entry.allAgents() {
		agent.session.Post(func(frame *ptwire.Frame) { frame.Entries = addresses })
		agent.service.mu.Lock()
		agent.service.core.Scheduler().SetRank(entry.rank())
		agent.service.mu.Unlock()
	}
}
