// Package registration keeps the list of hosts in the platform's store, so that
// hosts with outdated seed addresses find each other. It does not track liveness:
// heartbeats do that without calls to the store. The list may thus lack hosts that are alive,
// and have some that left, until it is restored after the store came back from an older copy.
package registration

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/state/timing"
)

// keyPrefix precedes the host ID in the keys of the entries.
const keyPrefix = "hosts/"

const (
	// minRetryPause and maxRetryPause bound the pause before a failed registration
	// is retried; it doubles after each failure.
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = 5 * time.Second
	// eraInterval is the time between two checks of the store's era, which make no call.
	eraInterval = time.Second
	// restoreSpread is the time over which the hosts check their entries once the era has
	// risen: 2,800 hosts make 280 calls a second.
	restoreSpread = 10 * time.Second
	// leaveTimeout bounds the removal of the entry at a planned shutdown.
	leaveTimeout = 2 * time.Second
	// maxProcessors bounds the processor time of a host, in cores.
	maxProcessors = 1 << 16
	// maxLogged is the number of odd entries that are remembered as logged.
	maxLogged = 1000
)

// entry is the stored value of a host.
type entry struct {
	Host        quetzalhook.HostID      `json:"host"`
	Incarnation quetzalhook.Incarnation `json:"incarnation"`
	Zone        quetzalhook.Zone        `json:"zone"`
	Heartbeat   string                  `json:"heartbeat"`
	Peer        string                  `json:"peer"`
	Region      quetzalhook.Region      `json:"region"`
	Callers     string                  `json:"callers"`
	Processors  float64                 `json:"processors"`
}

// Registry lists the hosts in the store and registers this one. It implements
// quetzalhook.HostLister.
type Registry struct {
	store quetzalhook.Store
	self  quetzalhook.HostStatus
	log   logrus.FieldLogger

	cancel context.CancelFunc
	done   chan struct{}

	mu  sync.Mutex
	odd map[string]quetzalhook.Version // versions of the odd entries that were logged, by key
}

// New returns a registry that registers self.
func New(store quetzalhook.Store, self quetzalhook.HostStatus, log logrus.FieldLogger) *Registry {
	return &Registry{store: store, self: self, log: log, odd: make(map[string]quetzalhook.Version)}
}

// Start registers this host in the background, and again if the store comes back from an
// older copy that lacks the entry, until Leave or Close is called.
func (r *Registry) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel, r.done = cancel, make(chan struct{})
	go func() {
		defer close(r.done)
		r.run(ctx)
	}()
}

// run keeps the host registered until ctx ends. Each return of the store costs one read by
// each host, spread over restoreSpread, and a write by those whose entries are lost.
func (r *Registry) run(ctx context.Context) {
	version := r.retry(ctx, r.register)
	for timing.Sleep(ctx, eraInterval) {
		if r.store.Era() <= version.Era() {
			continue
		}
		if timing.Sleep(ctx, rand.N(restoreSpread)) {
			version = r.retry(ctx, r.restore)
		}
	}
}

// retry calls f until it succeeds or ctx ends, and returns the version of the entry.
func (r *Registry) retry(ctx context.Context, f func(context.Context) (quetzalhook.Version, error)) quetzalhook.Version {
	for pause := minRetryPause; ctx.Err() == nil; pause = min(2*pause, maxRetryPause) {
		version, err := f(ctx)
		if err == nil {
			r.log.WithField("incarnation", r.self.Incarnation).WithField("revision", version).Info("host registered")
			return version
		}
		r.log.WithError(err).Warn("host not registered")
		timing.Sleep(ctx, pause)
	}
	return 0
}

// Close stops the registration and waits until it has ended. It does not remove
// the entry.
func (r *Registry) Close() error {
	if r.cancel != nil {
		r.cancel()
		<-r.done
	}
	return nil
}

func (r *Registry) key() string { return keyPrefix + string(r.self.Host) }

// register writes this host's entry, replacing any that exists, and returns its version.
func (r *Registry) register(ctx context.Context) (quetzalhook.Version, error) {
	version, err := r.write(ctx, 0)
	if quetzalhook.StoreKind(err, "") == quetzalhook.StoreConflict {
		var o quetzalhook.Object
		if o, err = r.store.Get(ctx, r.key()); err == nil {
			version, err = r.write(ctx, o.Version)
		}
	}
	return version, wrap("register", err)
}

// restore writes this host's entry if the store lacks it, and returns its version. It does
// not replace the entry of a later incarnation.
func (r *Registry) restore(ctx context.Context) (quetzalhook.Version, error) {
	o, err := r.store.Get(ctx, r.key())
	if quetzalhook.StoreKind(err, "") == quetzalhook.StoreNotFound {
		o, err = quetzalhook.Object{}, nil
	}
	if err != nil {
		return 0, wrap("register", err)
	}
	if e, err := decode(o); err == nil && e.Incarnation >= r.self.Incarnation {
		return o.Version, nil
	}
	version, err := r.write(ctx, o.Version)
	return version, wrap("register", err)
}

// write writes this host's entry over the given version.
func (r *Registry) write(ctx context.Context, base quetzalhook.Version) (quetzalhook.Version, error) {
	value, err := json.Marshal(entry{
		Host: r.self.Host, Incarnation: r.self.Incarnation, Zone: r.self.Zone,
		Heartbeat: r.self.HeartbeatAddress, Peer: r.self.PeerAddress, Region: r.self.Region, Callers: r.self.Address,
		Processors: r.self.Processors,
	})
	if err != nil {
		return 0, &Error{Op: "register", Kind: ErrorCorrupt, Err: err}
	}
	return r.store.Put(ctx, r.key(), value, base)
}

// Leave stops the registration and removes this host's entry at a planned shutdown, unless
// a later incarnation has replaced it.
func (r *Registry) Leave(ctx context.Context) error {
	if err := r.Close(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	o, err := r.store.Get(ctx, r.key())
	if quetzalhook.StoreKind(err, "") == quetzalhook.StoreNotFound {
		return nil
	}
	if err != nil {
		return wrap("leave", err)
	}
	var e entry
	if json.Unmarshal(o.Value, &e) == nil && e.Incarnation != r.self.Incarnation {
		return nil // a later incarnation has registered
	}
	return wrap("leave", r.store.Delete(ctx, r.key(), o.Version))
}

// Hosts implements quetzalhook.HostLister.
func (r *Registry) Hosts(ctx context.Context) ([]quetzalhook.HostStatus, error) {
	return r.hosts(ctx, r.store.List)
}

// StaleHosts returns the hosts as they were listed up to some seconds ago. The
// call is cheap.
func (r *Registry) StaleHosts(ctx context.Context) ([]quetzalhook.HostStatus, error) {
	return r.hosts(ctx, r.store.ListStale)
}

func (r *Registry) hosts(ctx context.Context, read func(context.Context, string) (quetzalhook.Listing, error)) ([]quetzalhook.HostStatus, error) {
	list, err := read(ctx, keyPrefix)
	if err != nil {
		return nil, wrap("list", err)
	}
	var hosts []quetzalhook.HostStatus
	for _, o := range list.Objects {
		e, err := decode(o)
		if err != nil {
			if r.isNewOdd(o) {
				r.log.WithError(err).WithField("key", o.Key).WithField("revision", o.Version).Warn("host entry cannot be decoded")
			}
			continue
		}
		hosts = append(hosts, quetzalhook.HostStatus{
			Host: e.Host, Incarnation: e.Incarnation, Zone: e.Zone, HeartbeatAddress: e.Heartbeat, PeerAddress: e.Peer,
			Region: e.Region, Address: e.Callers, Processors: e.Processors,
		})
	}
	return hosts, nil
}

// decode decodes the entry of a host. An entry with values that no host writes is an
// error: a name for an address, which is looked up, delays the heartbeats to all
// hosts, and an entry under another key could replace that of a live host.
func decode(o quetzalhook.Object) (entry, error) {
	var e entry
	if err := json.Unmarshal(o.Value, &e); err != nil {
		return e, errors.WithStack(err)
	}
	if e.Host == "" || o.Key != keyPrefix+string(e.Host) {
		return e, errors.Errorf("entry of host %.64q", e.Host)
	}
	for _, address := range []string{e.Heartbeat, e.Peer, e.Callers} {
		a, err := netip.ParseAddrPort(address)
		if address != "" && (err != nil || a.Port() == 0) {
			return e, errors.Errorf("address %.64q is not of the form IP:PORT", address)
		}
	}
	if e.Processors < 0 || e.Processors > maxProcessors {
		return e, errors.Errorf("%g processors", e.Processors)
	}
	return e, nil
}

// isNewOdd reports whether an entry that cannot be decoded is seen for the first
// time.
func (r *Registry) isNewOdd(o quetzalhook.Object) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.odd[o.Key] == o.Version {
		return false
	}
	if len(r.odd) >= maxLogged {
		clear(r.odd)
	}
	r.odd[o.Key] = o.Version
	return true
}

// ErrorKind classifies the errors of this package.
type ErrorKind string

const (
	// ErrorCorrupt reports a value that cannot be encoded.
	ErrorCorrupt ErrorKind = "corrupt"
	// ErrorStore reports a failure of the store.
	ErrorStore ErrorKind = "store"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return "registration: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func wrap(op string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Kind: ErrorStore, Err: err}
}
