package routing

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/record/split"
	"quetzalhook/internal/state/timing"
)

// splits is what a host knows of the splits of services among builds. Epochs, and not
// versions of the store, order them: a store that comes back from an older copy gives its
// versions out again.
type splits struct {
	// known reports that the store or another host has told all splits.
	known     bool
	histories map[string]split.History // by service; replaced, never modified
	// confirmedAt is when this host's splits were last known to be the newest.
	confirmedAt time.Time
	// rejected holds the versions of the objects that cannot be decoded, so that each is
	// logged once.
	rejected map[string]quetzalhook.Version
}

// contentBits is the number of bits of a version that tell splits of the same epochs apart.
const contentBits = 16

// version returns a number that grows with each known split. Its last bits are a hash of the
// newest splits, as a leader may use an epoch again after the store has lost a split.
func (s *splits) version() int64 {
	epochs, content := int64(0), uint64(0)
	for service, h := range s.histories {
		epochs += h.Epoch()
		content ^= xxhash.Sum64String(service + "\x00" + h.Newest().String())
	}
	return epochs<<contentBits | int64(content&(1<<contentBits-1))
}

// mayBeNewer reports whether a host that tells this version may know a newer split than one
// that tells the other version.
func mayBeNewer(version, than int64) bool {
	return version>>contentBits >= than>>contentBits && version != than
}

// Split returns the splits of a service that this host knows.
func (f *Follower) Split(service string) split.History { return (*f.splitsInForce.Load())[service] }

// SplitEpochs returns the epoch of the newest split of each service.
func (f *Follower) SplitEpochs() map[string]int64 {
	epochs := make(map[string]int64)
	for service, h := range *f.splitsInForce.Load() {
		epochs[service] = h.Epoch()
	}
	return epochs
}

// SplitVersion returns a number that grows with each split that this host knows.
// Heartbeats carry it.
func (f *Follower) SplitVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.splits.version()
}

// KnowsSplits reports whether the store or another host has told the splits.
func (f *Follower) KnowsSplits() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.splits.known
}

// ApplySplit takes an object of the store that this host has written or read.
func (f *Follower) ApplySplit(o quetzalhook.Object) { f.applySplits(nil, &o) }

// SplitKey returns the key of the object with the splits of a service.
func (f *Follower) SplitKey(service string) string { return f.source.SplitPrefix + service }

// applySplits applies a list of all splits, or a single event if event is not nil. A
// service whose object is missing keeps its splits: they are written again.
func (f *Follower) applySplits(list *listing, event *quetzalhook.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if event != nil {
		f.applySplit(*event)
		return
	}
	for _, o := range list.Objects {
		f.applySplit(o)
	}
	f.setSplitsKnown()
}

// applySplit applies one object of the store. The caller holds f.mu.
func (f *Follower) applySplit(o quetzalhook.Object) {
	service := strings.TrimPrefix(o.Key, f.source.SplitPrefix)
	if o.Deleted {
		return
	}
	if err := f.mergeSplit(service, o.Value, "store"); err != nil && o.Version != f.splits.rejected[service] {
		if f.splits.rejected == nil {
			f.splits.rejected = make(map[string]quetzalhook.Version)
		}
		f.splits.rejected[service] = o.Version
		f.log.WithError(err).WithField("service", service).WithField("revision", o.Version).Warn("stored splits ignored")
	}
}

// mergeSplit takes the encoded splits of a service. The caller holds f.mu.
func (f *Follower) mergeSplit(service string, value []byte, from string) error {
	now := f.clock.Now()
	h, err := split.Decode(now, value)
	if err != nil {
		return err
	}
	old := f.splits.histories[service]
	histories := maps.Clone(f.splits.histories)
	if histories == nil {
		histories = make(map[string]split.History)
	}
	histories[service] = old.Merge(now, h)
	f.splits.histories = histories
	f.splitsInForce.Store(&histories)
	if h = histories[service]; h.Epoch() != old.Epoch() || !h.Newest().Equal(old.Newest()) {
		f.log.WithFields(logrus.Fields{"service": service, "epoch": h.Epoch(), "parts": h.Newest(), "from": from}).Info("split changed")
	}
	return nil
}

// setSplitsKnown records that all splits were told. The caller holds f.mu.
func (f *Follower) setSplitsKnown() {
	if !f.splits.known {
		f.splits.known = true
		f.notifyChanged()
	}
}

// encodeSplits returns the splits for another host that has told its SplitVersion plus one,
// or 0 if it does not know them; nil if they are not newer. The caller holds f.mu.
func (f *Follower) encodeSplits(known int64) (map[string][]byte, error) {
	if !f.splits.known || known > 0 && !mayBeNewer(f.splits.version(), known-1) {
		return nil, nil
	}
	encoded := make(map[string][]byte, len(f.splits.histories))
	for service, h := range f.splits.histories {
		value, err := h.Encode(f.clock.Now())
		if err != nil {
			return nil, err
		}
		encoded[service] = value
	}
	return encoded, nil
}

// mergeSplits takes the splits that another host has sent; nil for none.
func (f *Follower) mergeSplits(encoded map[string][]byte, host quetzalhook.HostID) {
	if encoded == nil || f.source.SplitPrefix == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, value := range encoded {
		if err := f.mergeSplit(service, value, string(host)); err != nil {
			f.log.WithError(err).WithField("service", service).WithField("peer", host).Warn("splits of another host ignored")
		}
	}
	f.setSplitsKnown()
}

// maxDistantSilence is how long a host of another cell may have been silent to count as
// reachable: summaries of cells pass through several hosts.
const maxDistantSilence = 15 * time.Second

const (
	// maxCheckDelay is the longest time between two checks of the freshness in a process that
	// was not paused. After a longer one, heartbeats that were received during the pause
	// count as heard for up to drainTime.
	maxCheckDelay = 2 * checkInterval
	drainTime     = time.Second
	// memberListAge is the maximum age of the list that Peers.Members returns.
	memberListAge = 250 * time.Millisecond
	// splitReadInterval is the interval of the reads of the splits by a host that watches
	// them and does not hear most other hosts; splitReadTimeout limits one.
	splitReadInterval = 500 * time.Millisecond
	splitReadTimeout  = time.Second
)

// freshness finds out whether this host's splits are the newest.
type freshness struct {
	follower  *Follower
	checkedAt time.Time
	resumedAt time.Time // end of the last pause of the process; zero if there was none
	readAt    time.Time // begin of the last read from the store
	reading   atomic.Bool
}

// followFreshness records until ctx ends when this host's splits were known to be the newest.
func (f *Follower) followFreshness(ctx context.Context) {
	c := &freshness{follower: f, checkedAt: f.clock.Now()}
	timing.Every(ctx, checkInterval, func() { c.check(ctx) })
}

// check records until when the other hosts, or else the store, show no newer splits.
func (c *freshness) check(ctx context.Context) {
	f := c.follower
	// The time is read before the members: the process may be paused in between.
	now := f.clock.Now()
	if now.Sub(c.checkedAt) > maxCheckDelay {
		c.resumedAt = now
	}
	c.checkedAt = now
	isDrained := c.resumedAt.IsZero() || now.Sub(c.resumedAt) >= drainTime
	silence, ok := lastAgreement(f.peers.Members(), f.SplitVersion())
	if ok && isDrained {
		f.confirmSplits(now.Add(-silence))
		if silence < splitReadInterval+memberListAge {
			return
		}
	}
	f.mu.Lock()
	watches := f.watched[f.source.SplitPrefix]
	f.mu.Unlock()
	if watches && now.Sub(c.readAt) >= splitReadInterval && c.reading.CompareAndSwap(false, true) {
		c.readAt = now
		f.wg.Go(func() {
			defer c.reading.Store(false)
			c.read(ctx)
		})
	}
}

// read reads the splits from the store, which confirms them as of the begin of the read. An
// event of a watch may have been sent long before it is received.
func (c *freshness) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, splitReadTimeout)
	defer cancel()
	f := c.follower
	var at quetzalhook.Version
	if err := f.list(ctx, f.store.List, f.source.SplitPrefix, f.applySplits, &at); err != nil {
		f.log.WithError(err).Debug("splits not read from the store")
	}
}

// lastAgreement returns the time since most hosts were alive and announced no newer splits
// than version. It returns false if most hosts are silent or one has announced newer splits.
func lastAgreement(members []quetzalhook.Member, version int64) (time.Duration, bool) {
	known, alive := 1, 1
	var near, distant []time.Duration // silences of the hosts of this cell and of others
	for _, m := range members {
		if m.Draining {
			continue
		}
		known++
		isAlive := m.IsAlive(maxWatcherSilence) || m.Distant && m.IsAlive(maxDistantSilence)
		// A host that has announced newer splits may be the first of those that fall silent.
		if (isAlive || m.IsAlive(maxCallSilence)) && mayBeNewer(m.SplitVersion, version) {
			return 0, false
		}
		hasAnnounced := m.SplitVersion > 0 || version == 0 || m.Distant // a summary has one version for its cell
		if !isAlive || !hasAnnounced {
			continue
		}
		alive++
		if m.Distant {
			distant = append(distant, m.Silent)
		} else {
			near = append(near, m.Silent)
		}
	}
	if 2*alive <= known {
		return 0, false
	}
	silences := near
	if len(near) == 0 {
		silences = distant
	}
	if len(silences) == 0 {
		return 0, true // the only host
	}
	slices.Sort(silences)
	return silences[len(silences)/2] + memberListAge, true
}

// confirmSplits records that this host's splits were the newest at a time.
func (f *Follower) confirmSplits(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.splits.confirmedAt) {
		f.splits.confirmedAt = at
	}
}

// SplitAge returns the time since this host last knew that its splits are the newest: from
// heartbeats of most other hosts, one of which writes them, or from the store.
func (f *Follower) SplitAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now().Sub(f.splits.confirmedAt)
}
