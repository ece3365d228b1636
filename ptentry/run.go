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

// Run serves agents and peers until ctx ends. Then the entry becomes unready,
// serves on for the shutdown delay, finishes every job and returns. Callers are
// served by package ptfront.
func (entry *Entry) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "entry %s", entry.setting.Name) }()
	listener, err := net.Listen("tcp", entry.setting.AgentsListen)
	if err != nil {
		return errors.Wrap(err, "listen for agents")
	}
	return entry.RunOnListener(ctx, listener)
}

// RunOnListener is Run with a listener for agents and peers that is open already.
func (entry *Entry) RunOnListener(ctx context.Context, listener net.Listener) (err error) {
	entry.setting.AgentsListen = listener.Addr().String()
	mux := drpcmux.New()
	if err := ptwire.DRPCRegisterDispatcher(mux, entry); err != nil {
		return errors.Wrap(err, "register the service")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: pttransport.Options()})
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error {
		return pttransport.Serve(background, listener, server, entry.deps.Metrics, entry.deps.Log)
	})
	// A read of the log may wait for seconds; the end of the entry does not.
	go entry.follower.Run(background)
	go entry.claims.Run(background, entry.setting.AgentsListen)
	group.Go(func() error { entry.tick(background); return nil })
	go entry.keepPeers(background)
	entry.deps.Log.Info("entry started", "agents", entry.setting.AgentsListen, "placement", entry.setting.Placement, "order", entry.setting.Order)
	<-ctx.Done()
	entry.drain()
	stop()
	if err := listener.Close(); err != nil {
		return errors.Wrap(err, "close the listener")
	}
	for _, link := range entry.allLinks() {
		link.session.Close(ptsession.ErrClosed)
	}
	return group.Wait()
}

// drain waits until every job has ended.
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
		for _, link := range entry.allLinks() {
			link.session.Tick()
		}
		now := entry.deps.Clock.Now()
		for _, service := range *entry.services.Load() {
			service.tick(now)
		}
		entry.sendClaims()
		if time.Now().After(expireDue) {
			expireDue = time.Now().Add(expireInterval)
			entry.jobs.expire(time.Now())
			entry.notRun.expire(time.Now())
		}
	}
}

// keepPeers announces this entry in the log's presence stream, learns of the
// others there and asks them who they are.
func (entry *Entry) keepPeers(ctx context.Context) {
	go entry.presence.Announce(ctx, ptpresence.Entry{
		Name: entry.setting.Name, Address: entry.setting.AgentsListen, Incarnation: entry.incarnation,
	}, entry.setting.LogRetention)
	go entry.presence.Follow(ctx)
	for ctx.Err() == nil {
		entry.meetPeers(ctx)
		entry.sendEntries()
		select {
		case <-ctx.Done():
		case <-time.After(peerInterval):
		}
	}
}

// sendEntries tells agents of entries that they may not know, where the list has
// changed since they were last told.
func (entry *Entry) sendEntries() {
	addresses := entry.entryAddresses()
	key := ""
	for _, address := range addresses {
		key += address.Name + "=" + address.Address + ";"
	}
	if key == entry.toldEntries {
		return
	}
	entry.toldEntries = key
	for _, link := range entry.allLinks() {
		link.session.Post(func(frame *ptwire.Frame) { frame.Entries = addresses })
		link.service.mu.Lock()
		link.service.core.Scheduler().SetRank(entry.rank())
		link.service.mu.Unlock()
	}
}
