package isolator

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/state/timing"
	"quetzalhook/internal/traffic/quarantine"
)

// keyPrefix precedes a hash of the parts in the keys of stored quarantines.
const keyPrefix = "quarantines/"

const (
	// storeInterval is the time between two checks for quarantines to write.
	storeInterval = 200 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed call to the
	// store; it doubles after each failure.
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = 5 * time.Second
	storeTimeout  = 2 * time.Second
)

// storedQuarantine is what is known of a quarantine in the store.
type storedQuarantine struct {
	version quetzalhook.Version
	count   int
	cleared int // number of cleared parts
}

// record is the stored form of a quarantine.
type record struct {
	quarantine.Fact
	// Until is the end of the quarantine, in ms since 1970.
	Until int64 `json:"until-ms"`
}

func storeKey(f quarantine.Fact) string {
	return keyPrefix + strconv.FormatUint(xxhash.Sum64String(f.Key()), 16)
}

// load merges the stored quarantines, once the store answers. It returns false if
// ctx ends before.
func (i *Isolator) load(ctx context.Context) bool {
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		if i.list(ctx) {
			return true
		}
		if !timing.Sleep(ctx, pause) {
			return false
		}
	}
}

// list reads what is stored and merges it. It reports whether the store answered.
func (i *Isolator) list(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := i.settings.Store.List(ctx, keyPrefix)
	if err != nil {
		i.log.WithError(err).Debug("quarantines not read from the store")
		return false
	}
	i.storedEra = list.Version.Era()
	i.mu.Lock()
	clear(i.stored)
	i.mu.Unlock()
	for _, o := range list.Objects {
		i.loadObject(o)
	}
	return true
}

// loadObject merges one stored quarantine. The wall clock of the host that wrote it
// may differ; the table rejects an end that is too far away.
func (i *Isolator) loadObject(o quetzalhook.Object) {
	var r record
	err := json.Unmarshal(o.Value, &r)
	if err == nil && len(r.Parts) == 0 {
		err = errors.New("the quarantine has no parts")
	}
	if err != nil {
		i.log.WithError(&Error{Op: "load", Kind: ErrorCorrupt, Err: err}).WithField("key", o.Key).Warn("stored quarantine ignored")
		return
	}
	r.Left = time.Until(time.UnixMilli(r.Until))
	i.mu.Lock()
	i.stored[r.Key()] = storedQuarantine{version: o.Version, count: r.Count, cleared: len(r.Cleared)}
	i.mu.Unlock()
	i.add(quarantine.Facts{Quarantines: []quarantine.Fact{r.Fact}})
}

// save writes the quarantines that have changed to the store and deletes those that
// are no longer kept, if this host is the leader.
func (i *Isolator) save(ctx context.Context) {
	if i.settings.Leader() != i.settings.Host {
		return
	}
	// The store may have come back from an older copy, without some of the quarantines. A
	// known one that the copy has neither gets a later end nor loses cleared parts.
	if i.settings.Store.Era() > i.storedEra && !i.list(ctx) {
		timing.Sleep(ctx, minRetryPause)
		return
	}
	now := i.clock.Now()
	i.mu.Lock()
	facts := i.table.Facts(now).Quarantines
	obsolete := make(map[string]storedQuarantine, len(i.stored))
	for key, s := range i.stored {
		obsolete[key] = s
	}
	var due []quarantine.Fact
	for _, f := range facts {
		s, ok := i.stored[f.Key()]
		delete(obsolete, f.Key())
		if !ok || s.count < f.Count || s.cleared < len(f.Cleared) {
			due = append(due, f)
		}
	}
	i.mu.Unlock()
	for _, f := range due {
		if err := i.saveOne(ctx, f); err != nil {
			i.log.WithError(err).Info("quarantine not stored")
			timing.Sleep(ctx, minRetryPause)
			return
		}
	}
	for key, s := range obsolete {
		i.deleteOne(ctx, key, s)
	}
}

// saveOne writes one quarantine. After a conflict, the stored one is read first.
func (i *Isolator) saveOne(ctx context.Context, f quarantine.Fact) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(record{Fact: f, Until: time.Now().Add(f.Left).UnixMilli()})
	if err != nil {
		return &Error{Op: "save", Kind: ErrorCorrupt, Err: err}
	}
	i.mu.Lock()
	base := i.stored[f.Key()].version
	i.mu.Unlock()
	version, err := i.settings.Store.Put(ctx, storeKey(f), value, base)
	if quetzalhook.StoreKind(err, "") == quetzalhook.StoreConflict {
		o, getErr := i.settings.Store.Get(ctx, storeKey(f))
		if getErr == nil {
			i.loadObject(o)
			i.replaceOdd(f.Key(), o.Version)
		} else if quetzalhook.StoreKind(getErr, "") == quetzalhook.StoreNotFound {
			i.forget(f.Key())
		}
		return &Error{Op: "save", Kind: ErrorStore, Err: err}
	}
	if err != nil {
		return &Error{Op: "save", Kind: ErrorStore, Err: err}
	}
	i.mu.Lock()
	i.stored[f.Key()] = storedQuarantine{version: version, count: f.Count, cleared: len(f.Cleared)}
	i.mu.Unlock()
	return nil
}

// deleteOne deletes a stored quarantine that the table no longer keeps. If another
// host has changed it since, it stays.
func (i *Isolator) deleteOne(ctx context.Context, key string, s storedQuarantine) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := i.settings.Store.Delete(ctx, keyPrefix+strconv.FormatUint(xxhash.Sum64String(key), 16), s.version)
	if err == nil || quetzalhook.StoreKind(err, "") == quetzalhook.StoreConflict || quetzalhook.StoreKind(err, "") == quetzalhook.StoreNotFound {
		i.forget(key)
		return
	}
	i.log.WithError(err).Debug("quarantine not deleted from the store")
}

// replaceOdd makes the next save replace the object of a quarantine if it holds
// something else, which another program has written.
func (i *Isolator) replaceOdd(key string, version quetzalhook.Version) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stored[key].version != version {
		i.stored[key] = storedQuarantine{version: version}
	}
}

func (i *Isolator) forget(key string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.stored, key)
}
