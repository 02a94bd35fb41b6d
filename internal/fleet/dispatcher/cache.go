package dispatcher

import (
	"context"
	"sync"
	"time"

	"quetzalhook"
)

const (
	// cachePollInterval is the time between two checks for engines whose cache is
	// to be read.
	cachePollInterval = 200 * time.Millisecond
	// cacheRefreshInterval is the time after which the cache of an engine is read
	// again.
	cacheRefreshInterval = 5 * time.Second
	// cacheReadTimeout bounds the read of one engine's cache.
	cacheReadTimeout = time.Second
	// maxCacheReads bounds the concurrent reads.
	maxCacheReads = 8
)

// cachePoller selects the engines whose cache is to be read, among those of the
// groups that this host leads. A cache that was not read yet is due at once:
// otherwise a leader that has just started or taken over would place requests on
// engines that have to process prompt parts which others have cached. Afterwards
// a cache is read periodically, since engines evict parts without notice.
type cachePoller struct {
	mu       sync.Mutex
	engines  []quetzalhook.Upstream
	lastRead map[quetzalhook.UpstreamID]cacheRead
}

// cacheRead is the last read of an engine's cache.
type cacheRead struct {
	started int64 // when the engine started; a restart empties its cache
	at      time.Time
}

// setEngines replaces the engines.
func (p *cachePoller) setEngines(list []quetzalhook.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines = list
	listed := make(map[quetzalhook.UpstreamID]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
	}
	for id := range p.lastRead {
		if !listed[id] {
			delete(p.lastRead, id)
		}
	}
}

// takeDue returns the engines whose cache is to be read now, and records them as
// read. Engines that this host does not lead are forgotten, so that their cache
// is due at once when it leads them again.
func (p *cachePoller) takeDue(now time.Time, isLed func(quetzalhook.UpstreamID) bool) []quetzalhook.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []quetzalhook.Upstream
	for _, u := range p.engines {
		if !isLed(u.ID) {
			delete(p.lastRead, u.ID)
			continue
		}
		last, ok := p.lastRead[u.ID]
		if !u.IsOpen() || ok && last.started == u.Started && now.Sub(last.at) < cacheRefreshInterval {
			continue
		}
		p.lastRead[u.ID] = cacheRead{started: u.Started, at: now}
		list = append(list, u)
	}
	return list
}

// pollCaches reads the caches that are due, of the engines in the groups that
// this host leads.
func (d *Dispatcher) pollCaches(ctx context.Context) {
	if d.settings.Caches == nil || d.settings.Settled != nil && !d.settings.Settled() {
		return
	}
	led := make(map[int]bool)
	for group := range d.groups.count() {
		led[group] = d.settings.Leader(group) == d.settings.Host
	}
	isLed := func(id quetzalhook.UpstreamID) bool { return led[d.groups.groupOf(id)] }
	limit := make(chan struct{}, maxCacheReads)
	var wg sync.WaitGroup
	for _, u := range d.cachePoller.takeDue(d.clock.Now(), isLed) {
		if !d.settings.Notices.Allows(d.clock.Now(), u.ID, u.Started) {
			continue
		}
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			d.readCache(ctx, u)
		})
	}
	wg.Wait()
}

// readCache reads which prompt parts one engine has cached.
func (d *Dispatcher) readCache(ctx context.Context, u quetzalhook.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, cacheReadTimeout)
	defer cancel()
	cached, err := d.settings.Caches.CachedParts(ctx, u)
	if err != nil {
		d.log.WithField("upstream", u.ID).WithError(err).Info("engine cache read failed")
		return
	}
	n := 0
	for _, m := range u.Models {
		d.groups.scheduler(d.groups.groupOf(u.ID)).recordCache(u.ID, cached[m])
		n += len(cached[m])
	}
	d.log.WithField("upstream", u.ID).WithField("parts", n).Debug("engine cache read")
}
