package release

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/record/routing"
	"quetzalhook/internal/record/split"
	"quetzalhook/internal/state/timing"
)

const (
	// stepInterval is the time between two checks of the capacities.
	stepInterval = 250 * time.Millisecond
	// refreshInterval is the time after which the ages of superseded splits are written
	// again. A host that starts may take them for younger by as much.
	refreshInterval = 2 * time.Second
	// listInterval is the time after which the stored splits are listed, in case a store that
	// names no eras has come back from an older copy.
	listInterval = 5 * time.Second
	// minRetryPause and maxRetryPause bound the pause after a failed call to the store; it
	// doubles after each failure.
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = 2 * time.Second
	storeTimeout  = 2 * time.Second
	// maxStepDelay is the time between two steps after which the host has been suspended:
	// longer than that of a step with calls to the store. It then writes nothing for
	// catchUpTime, since it does not know the upstreams.
	maxStepDelay = 2*storeTimeout + time.Second
	catchUpTime  = 2 * time.Second
	// coldCapacity is the capacity of a cold upstream, as a fraction of its slots.
	coldCapacity = 0.25
)

// Follower follows the routing table, the upstreams and the splits.
type Follower interface {
	Splits
	Table() (*routing.Table, <-chan struct{})
	Upstreams() []quetzalhook.Upstream
	SplitKey(service string) string
	ApplySplit(o quetzalhook.Object)
}

// Settings configures a Writer.
type Settings struct {
	Host  quetzalhook.HostID
	Store quetzalhook.Store
	// Leader returns the host that writes the splits.
	Leader   func() quetzalhook.HostID
	Follower Follower
	// Starts knows the cold upstreams; nil if there are none.
	Starts quetzalhook.Starts
}

// stored is what is known of the object of a service in the store.
type stored struct {
	version    quetzalhook.Version
	newest     split.Split
	epoch      int64
	superseded bool // whether it has superseded splits
	at         time.Time
}

// Writer stores the splits of all services while its host leads.
type Writer struct {
	settings Settings
	clock    quetzalhook.Clock
	log      logrus.FieldLogger

	cancel context.CancelFunc
	wg     sync.WaitGroup

	// These belong to the goroutine of the writer.
	stored    map[string]stored // by service; nil if it must be listed
	listedAt  time.Time
	listedEra int64 // of the store
	steppedAt time.Time
	pause     time.Duration // after the last failure; 0 if the last call succeeded
	resumeAt  time.Time
}

// NewWriter returns a writer. Start begins its work.
func NewWriter(settings Settings, clock quetzalhook.Clock, log logrus.FieldLogger) *Writer {
	return &Writer{settings: settings, clock: clock, log: log}
}

// Start begins to write splits until Close is called.
func (w *Writer) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.wg.Go(func() { timing.Every(ctx, stepInterval, func() { w.step(ctx) }) })
}

// Close stops the writer and waits for it.
func (w *Writer) Close() error {
	if w.cancel != nil {
		w.cancel()
	}
	w.wg.Wait()
	return nil
}

// step writes the splits that are due, if this host leads.
func (w *Writer) step(ctx context.Context) {
	now := w.clock.Now()
	if !w.steppedAt.IsZero() && now.Sub(w.steppedAt) > maxStepDelay {
		w.resumeAt = now.Add(catchUpTime)
	}
	w.steppedAt = now
	table, _ := w.settings.Follower.Table()
	if table == nil || w.settings.Leader() != w.settings.Host {
		w.stored = nil
		return
	}
	lives := streamLives(table)
	if len(lives) == 0 || now.Before(w.resumeAt) {
		return
	}
	if err := w.update(ctx, lives); err != nil {
		// The answer of a write may be lost, or another host may have written.
		w.stored = nil
		w.pause = min(max(2*w.pause, minRetryPause), maxRetryPause)
		w.resumeAt = w.clock.Now().Add(w.pause)
		w.log.WithError(err).Info("split not stored")
		return
	}
	w.pause = 0
}

// streamLives returns the longest life of the streams of each service with engines that may
// be resumed.
func streamLives(table *routing.Table) map[string]time.Duration {
	lives := make(map[string]time.Duration)
	for _, r := range table.Routes {
		if r.Kind != routing.KindStream || !r.Resumable {
			continue
		}
		for _, share := range r.Split {
			if s := table.Service(share.Service); s != nil && s.Engine != nil {
				life := r.Timeout
				if life <= 0 {
					life = split.MaxLife
				}
				lives[s.Name] = max(lives[s.Name], life)
			}
		}
	}
	return lives
}

// update lists the stored splits if needed, and writes those that are due.
func (w *Writer) update(ctx context.Context, lives map[string]time.Duration) error {
	now := w.clock.Now()
	if w.stored == nil || w.settings.Store.Era() > w.listedEra || now.Sub(w.listedAt) >= listInterval {
		if err := w.list(ctx); err != nil {
			return err
		}
		w.listedAt = now
	}
	capacities := w.capacities()
	for _, service := range slices.Sorted(maps.Keys(lives)) {
		if err := w.updateService(ctx, service, lives[service], split.New(capacities[service])); err != nil {
			return err
		}
	}
	return nil
}

// list reads what is stored.
func (w *Writer) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	prefix := w.settings.Follower.SplitKey("")
	list, err := w.settings.Store.List(ctx, prefix)
	if err != nil {
		return &Error{Op: "list", Kind: ErrorStore, Err: err}
	}
	now := w.clock.Now()
	w.listedEra = list.Version.Era()
	w.stored = make(map[string]stored, len(list.Objects))
	for _, o := range list.Objects {
		w.settings.Follower.ApplySplit(o)
		h, err := split.Decode(now, o.Value)
		if err != nil {
			h = split.History{} // replaced by the next write
		}
		w.stored[o.Key[len(prefix):]] = newStored(now, o.Version, h)
	}
	return nil
}

func newStored(now time.Time, version quetzalhook.Version, h split.History) stored {
	return stored{version: version, newest: h.Newest(), epoch: h.Epoch(), superseded: h.HasSuperseded(), at: now}
}

// capacities returns the slots of the open upstreams by service and build.
func (w *Writer) capacities() map[string]map[quetzalhook.Build]float64 {
	now := w.clock.Now()
	capacities := make(map[string]map[quetzalhook.Build]float64)
	for _, u := range w.settings.Follower.Upstreams() {
		if !u.IsOpen() {
			continue
		}
		c := float64(max(u.Slots, 1))
		if w.settings.Starts != nil && w.settings.Starts.Left(now, u.ID) > 0 {
			c *= coldCapacity
		}
		if capacities[u.Service] == nil {
			capacities[u.Service] = make(map[quetzalhook.Build]float64)
		}
		capacities[u.Service][u.Build] += c
	}
	return capacities
}

// updateService writes the splits of a service if they are due: a new one replaces the
// newest, the store has other ones, or the ages of superseded ones must be written again.
func (w *Writer) updateService(ctx context.Context, service string, life time.Duration, current split.Split) error {
	now := w.clock.Now()
	h, isNew := w.settings.Follower.Split(service), false
	if h.Epoch() == 0 && !current.IsEmpty() {
		h, isNew = split.Begin(now, listedBuilds(w.settings.Follower.Upstreams())[service], current), true
	} else {
		h, isNew = h.Expire(now, life).Next(now, current)
	}
	s := w.stored[service]
	isOther := s.epoch != h.Epoch() || !s.newest.Equal(h.Newest())
	isOld := (s.superseded || h.HasSuperseded()) && now.Sub(s.at) >= refreshInterval
	if h.Epoch() == 0 || !isOther && !isOld {
		return nil
	}
	value, err := h.Encode(now)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := w.settings.Follower.SplitKey(service)
	version, err := w.settings.Store.Put(ctx, key, value, s.version)
	if err != nil {
		return &Error{Op: "put", Kind: ErrorStore, Err: err}
	}
	// The host uses the split only now that the store has it.
	w.settings.Follower.ApplySplit(quetzalhook.Object{Key: key, Value: value, Version: version})
	w.stored[service] = newStored(now, version, h)
	if isOther {
		w.log.WithFields(logrus.Fields{"service": service, "epoch": h.Epoch(), "parts": h.Newest(), "new": isNew, "revision": version}).Info("split stored")
	}
	return nil
}

// ErrorKind classifies the errors of this package.
type ErrorKind string

// ErrorStore reports a failed call to the store.
const ErrorStore ErrorKind = "store"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return "release: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
