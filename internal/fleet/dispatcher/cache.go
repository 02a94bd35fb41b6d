package dispatcher

import (
	"context"
	"sync"
	"time"

	"quetzalhook"
)

const (
	// learnInterval is the time between two looks for engines whose cache the
	// leader does not know.
	learnInterval = 200 * time.Millisecond
	// learnAgain is the time after which an engine is asked again.
	learnAgain = 5 * time.Second
	// learnLimit bounds one list of an engine.
	learnLimit = time.Second
	// learnParallel bounds the lists that are read at once.
	learnParallel = 8
)

// learner reads what each engine holds, while this host is the leader: at once
// when it does not know, since a leader that has just started, or taken over,
// would else have prompts read again that engines hold; and now and then, since
// engines drop parts unseen.
type learner struct {
	mu      sync.Mutex
	engines []quetzalhook.Upstream
	known   map[quetzalhook.UpstreamID]reading
}

// reading is the last time an engine was asked.
type reading struct {
	started int64 // of the engine
	at      time.Time
}

// set replaces the engines.
func (l *learner) set(list []quetzalhook.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engines = list
	listed := make(map[quetzalhook.UpstreamID]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
	}
	for id := range l.known {
		if !listed[id] {
			delete(l.known, id)
		}
	}
}

// take returns the engines that are to be asked now.
func (l *learner) take(now time.Time, isLed func(quetzalhook.UpstreamID) bool) []quetzalhook.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []quetzalhook.Upstream
	for _, u := range l.engines {
		if !isLed(u.ID) {
			delete(l.known, u.ID)
			continue
		}
		last, ok := l.known[u.ID]
		if u.State != quetzalhook.UpstreamReady || ok && last.started == u.Started && now.Sub(last.at) < learnAgain {
			continue
		}
		l.known[u.ID] = reading{started: u.Started, at: now}
		list = append(list, u)
	}
	return list
}

// learn asks the engines of the groups that this host leads what they hold. What
// was asked of others is forgotten.
func (d *Dispatcher) learn(ctx context.Context) {
	if d.settings.Caches == nil {
		return
	}
	led := make(map[int]bool)
	for group := range d.groups.count() {
		led[group] = d.settings.Leader(group) == d.settings.Host
	}
	isLed := func(id quetzalhook.UpstreamID) bool { return led[d.groups.of(id)] }
	limit := make(chan struct{}, learnParallel)
	var wg sync.WaitGroup
	for _, u := range d.learner.take(d.clock.Now(), isLed) {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			d.askHeld(ctx, u)
		})
	}
	wg.Wait()
}

// askHeld asks one engine what it holds.
func (d *Dispatcher) askHeld(ctx context.Context, u quetzalhook.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, learnLimit)
	defer cancel()
	held, err := d.settings.Caches.Held(ctx, u)
	if err != nil {
		d.log.WithField("upstream", u.ID).WithError(err).Info("cache of an engine not read")
		return
	}
	n := 0
	for _, m := range u.Models {
		d.groups.desk(d.groups.of(u.ID)).hold(u.ID, held[m])
		n += len(held[m])
	}
	d.log.WithField("upstream", u.ID).WithField("parts", n).Debug("cache of an engine read")
}
