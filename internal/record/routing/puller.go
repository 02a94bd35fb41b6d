package routing

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/rendezvous"
)

const (
	// pullTimeout limits a pull from a host that is alive.
	pullTimeout = 8 * time.Second
	// nextPeerDelay is the time without an answer after which another host is asked too.
	// It doubles with each open call from the second on.
	nextPeerDelay = 200 * time.Millisecond
	// maxOpenPulls limits the open calls of a host.
	maxOpenPulls = 6
	// maxNextPeerDelay limits the delay that nextPeerDelay grows to.
	maxNextPeerDelay = 800 * time.Millisecond
	// maxCallSilence is how long the host of an open call may be silent. It is longer than
	// maxWatcherSilence, so that lost heartbeats do not cancel an answer that is arriving.
	maxCallSilence = 3 * time.Second
	// distantDelay is the time without an answer after which hosts of other cells are
	// asked too.
	distantDelay = time.Second
	// failedPeerPause is how long a host is not asked after a call to it has failed.
	failedPeerPause = time.Second
	// neighbors is the number of hosts of the cell that a host prefers to ask, so that it
	// keeps connections to few others.
	neighbors = 3
	// storeReadDelay is how long a newer table may be announced before a host reads it from
	// the store. The reads of a fleet are spread over a longer time, so that all hosts
	// together make at most storeReadsPerSecond.
	storeReadDelay      = time.Second
	storeReadsPerSecond = 400
	// storeReadTimeout limits such a read, and maxStoreReadPause the pause after one. The
	// pause doubles while the table is still behind.
	storeReadTimeout  = 2 * time.Second
	maxStoreReadPause = 16 * time.Second
)

// puller reads changes from the hosts that announce them. A call without an answer is not
// cancelled while its host is alive: the answer may be on its way over a slow link, and a
// repeated call would send it again. Other hosts are asked beside it.
type puller struct {
	follower *Follower
	results  chan pullResult
	calls    map[quetzalhook.HostID]*pullCall // open calls
	// notBefore holds when a host may be asked again.
	notBefore map[quetzalhook.HostID]time.Time
	askedAt   time.Time // when the newest call began
	idleUntil time.Time // when the next call may begin after an answer
	storeRead storeRead
}

// storeRead is the state of the reads of the table from the store.
type storeRead struct {
	open  atomic.Bool
	pause time.Duration
	next  time.Time // of the next read; zero if the table is not behind
}

// pullCall is an open call to a host.
type pullCall struct {
	began       time.Time
	incarnation quetzalhook.Incarnation // of the host
	cancel      context.CancelFunc
}

// pullResult is the end of a call. It is ignored if the call was cancelled meanwhile.
type pullResult struct {
	host quetzalhook.HostID
	call *pullCall
	err  error
}

func newPuller(f *Follower) *puller {
	return &puller{
		follower: f, results: make(chan pullResult),
		calls: make(map[quetzalhook.HostID]*pullCall), notBefore: make(map[quetzalhook.HostID]time.Time),
	}
}

// run pulls changes until ctx ends.
func (p *puller) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		timer := time.NewTimer(p.delay())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case r := <-p.results:
			p.finish(r)
		case <-ticker.C:
		case <-timer.C:
		}
		timer.Stop()
		p.update(ctx)
	}
}

// delay returns the time until another host may be asked beside the open calls.
func (p *puller) delay() time.Duration {
	if len(p.calls) == 0 || len(p.calls) >= maxOpenPulls {
		return checkInterval
	}
	if d := p.askedAt.Add(p.nextDelay()).Sub(p.follower.clock.Now()); d > 0 {
		return d
	}
	return checkInterval
}

// nextDelay returns the time between the newest call and one beside it.
func (p *puller) nextDelay() time.Duration {
	return min(nextPeerDelay<<max(len(p.calls)-2, 0), maxNextPeerDelay)
}

// finish removes a call that has ended.
func (p *puller) finish(r pullResult) {
	if p.calls[r.host] != r.call {
		return // cancelled
	}
	r.call.cancel()
	delete(p.calls, r.host)
	now := p.follower.clock.Now()
	if r.err != nil {
		p.notBefore[r.host] = now.Add(failedPeerPause)
		p.askedAt = time.Time{} // another host is asked at once
		return
	}
	p.idleUntil = now.Add(checkInterval)
}

// update ends the calls that are of no more use, and asks another host if one is due.
func (p *puller) update(ctx context.Context) {
	f, now := p.follower, p.follower.clock.Now()
	oldest := now
	for _, c := range p.calls {
		if c.began.Before(oldest) {
			oldest = c.began
		}
	}
	sources, members := f.pullSources(now.Sub(oldest) >= distantDelay)
	if len(sources) == 0 && f.mustAskForSets() {
		sources = f.samplePeers()
	}
	p.readStore(ctx, now, len(members)+1)
	for host, call := range p.calls {
		m, known := members[host]
		if len(sources) == 0 || !known || m.Incarnation != call.incarnation || !m.IsAlive(maxCallSilence) {
			call.cancel()
			delete(p.calls, host)
		}
	}
	for host, t := range p.notBefore {
		if !now.Before(t) {
			delete(p.notBefore, host)
		}
	}
	if now.Before(p.idleUntil) || len(p.calls) >= maxOpenPulls || len(p.calls) > 0 && now.Sub(p.askedAt) < p.nextDelay() {
		return
	}
	for _, host := range sources {
		if _, open := p.calls[host]; !open && p.notBefore[host].IsZero() {
			p.ask(ctx, host, members[host].Incarnation, now)
			return
		}
	}
}

// ask begins a call to a host.
func (p *puller) ask(ctx context.Context, host quetzalhook.HostID, incarnation quetzalhook.Incarnation, now time.Time) {
	callCtx, cancel := context.WithCancel(ctx)
	call := &pullCall{began: now, incarnation: incarnation, cancel: cancel}
	p.calls[host], p.askedAt = call, now
	p.follower.wg.Go(func() {
		err := p.follower.pullLogged(callCtx, host)
		select {
		case p.results <- pullResult{host, call, err}:
		case <-callCtx.Done():
		}
	})
}

// readStore reads the table from the store if other hosts have announced a newer one for some
// time and none has sent it. hosts is the number of hosts of the fleet.
func (p *puller) readStore(ctx context.Context, now time.Time, hosts int) {
	f, r := p.follower, &p.storeRead
	f.mu.Lock()
	behind := f.behind()
	f.mu.Unlock()
	if behind == 0 {
		r.next, r.pause = time.Time{}, 0
		return
	}
	if r.next.IsZero() {
		spread := time.Second * time.Duration(hosts) / storeReadsPerSecond
		r.next = now.Add(storeReadDelay - behind + time.Duration(rand.Float64()*float64(spread)))
	}
	if now.Before(r.next) || !r.open.CompareAndSwap(false, true) {
		return
	}
	pause := max(r.pause, storeReadDelay)
	r.next, r.pause = now.Add(pause), min(2*pause, maxStoreReadPause)
	f.wg.Go(func() {
		defer r.open.Store(false)
		ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
		defer cancel()
		var at quetzalhook.Version
		log := f.log.WithField("behind-ms", behind.Milliseconds())
		if err := f.list(ctx, f.store.List, f.source.TableKey, f.applyTables, &at); err != nil {
			log.WithError(err).Info("table not read from the store")
			return
		}
		log.WithField("revision", at).Info("table read from the store")
	})
}

// knownVersions is what a host compares the announcements of others with.
type knownVersions struct {
	era                    knownEra
	table                  int64 // the own version of the table
	stored                 quetzalhook.Version
	upstreams, evacuations quetzalhook.Version
	splits                 int64
	kept                   uint32
	keptPulled             map[quetzalhook.HostID]uint32
}

// known returns the versions that this host knows.
func (f *Follower) known() knownVersions {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := knownVersions{
		era: f.era, stored: f.tableVersion, upstreams: f.latest, evacuations: f.evacuations.latest, splits: f.splits.version(),
		kept: f.keptHash(), keptPulled: maps.Clone(f.keptPulled),
	}
	if f.table != nil {
		k.table = f.table.Version
	}
	return k
}

// hasNewerTable reports whether a host announces a newer table. One of an older build does not
// tell the own version of its table.
func (k *knownVersions) hasNewerTable(m quetzalhook.Member) bool {
	if m.TableVersion > 0 {
		return m.TableVersion > k.table
	}
	return !k.era.hasRisen && m.ConfigVersion > k.stored.Revision()
}

// hasNewerChanges reports whether a host announces changes that this host may not know.
func (k *knownVersions) hasNewerChanges(m quetzalhook.Member) bool {
	return k.era.versionOf(m.UpstreamVersion) > k.upstreams || k.era.versionOf(m.EvacuationVersion) > k.evacuations ||
		mayBeNewer(m.SplitVersion, k.splits) || m.Kept != 0 && m.Kept != k.kept && m.Kept != k.keptPulled[m.Host]
}

// pullSources returns the hosts that announce newer versions than this host knows, in the
// order in which to ask them, and all other hosts. Hosts of other cells are only sources if
// includeDistant is set, or if no host of this cell is.
func (f *Follower) pullSources(includeDistant bool) ([]quetzalhook.HostID, map[quetzalhook.HostID]quetzalhook.Member) {
	known := f.known()
	members, newer := make(map[quetzalhook.HostID]quetzalhook.Member), make(map[quetzalhook.HostID]bool)
	isTableNewer := false
	var local, distant []quetzalhook.HostID
	for _, m := range f.peers.Members() {
		members[m.Host] = m
		if !m.IsAlive(maxWatcherSilence) {
			continue
		}
		hasTable := known.hasNewerTable(m)
		isTableNewer = isTableNewer || hasTable
		newer[m.Host] = hasTable || known.hasNewerChanges(m)
		switch {
		case !m.Distant:
			local = append(local, m.Host)
		case newer[m.Host]:
			distant = append(distant, m.Host)
		}
	}
	f.recordAnnouncement(isTableNewer)
	// The order differs between hosts, which spreads the load.
	local = rendezvous.Rank(string(f.host), local)
	preferred := min(neighbors, len(local))
	slices.SortStableFunc(local[preferred:], func(a, b quetzalhook.HostID) int {
		return compareBool(members[b].Active.Has(quetzalhook.RoleStoreWatcher), members[a].Active.Has(quetzalhook.RoleStoreWatcher))
	})
	sources := slices.DeleteFunc(local, func(h quetzalhook.HostID) bool { return !newer[h] })
	if len(sources) == 0 || includeDistant {
		sources = append(sources, rendezvous.Rank(string(f.host), distant)...)
	}
	return sources, members
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// samplePeers returns a few hosts of this host's cell, different ones each time.
func (f *Follower) samplePeers() []quetzalhook.HostID {
	var hosts []quetzalhook.HostID
	for _, m := range f.peers.Members() {
		if !m.Distant && m.IsAlive(maxWatcherSilence) {
			hosts = append(hosts, m.Host)
		}
	}
	ranked := rendezvous.Rank(fmt.Sprint(f.host, f.clock.Now().UnixNano()/int64(checkInterval)), hosts)
	return ranked[:min(maxSampledPeers, len(ranked))]
}
