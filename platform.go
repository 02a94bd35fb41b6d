package quetzalhook

import (
	"context"
	"errors"
	"time"
)

// MaxValueSize is the largest value of an object in bytes.
const MaxValueSize = 1 << 20

// Object is one versioned object of the platform's store.
type Object struct {
	Key   string
	Value []byte
	// Version is that of the last change of the object; 0 means that it does not exist.
	Version Version
	Deleted bool // set in watch events only
}

// Listing is the result of Store.List.
type Listing struct {
	Objects []Object
	// Version is the store's latest version when the list was made; a watch that
	// starts after it misses no change.
	Version Version
}

// StoreErrorKind classifies the failures of a Store.
type StoreErrorKind string

const (
	// StoreConflict reports that the base version is not the current one.
	StoreConflict StoreErrorKind = "conflict"
	// StoreNotFound reports that the object does not exist.
	StoreNotFound StoreErrorKind = "not-found"
	// StoreTooLarge reports a value over MaxValueSize.
	StoreTooLarge StoreErrorKind = "too-large"
	// StoreRateLimited reports too many calls; the call had no effect.
	StoreRateLimited StoreErrorKind = "rate-limited"
	// StoreUnavailable reports that the store did not accept the call; it had no
	// effect.
	StoreUnavailable StoreErrorKind = "unavailable"
	// StoreHistoryGone reports that a watch starts before the oldest change that
	// the store still has; the caller has to list again.
	StoreHistoryGone StoreErrorKind = "history-gone"
	// StoreUnknown reports that the answer was lost: the change may have taken
	// effect.
	StoreUnknown StoreErrorKind = "unknown"
)

// StoreError is the error of every Store method.
type StoreError struct {
	Op   string
	Key  string
	Kind StoreErrorKind
	Err  error
}

// Error implements error.
func (e *StoreError) Error() string {
	s := "store " + e.Op + " " + e.Key + ": " + string(e.Kind)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }

// StoreKind returns the kind of a Store error: empty for nil, and other for an
// error that is not a StoreError. A caller whose change may have taken effect
// passes StoreUnknown as other.
func StoreKind(err error, other StoreErrorKind) StoreErrorKind {
	var e *StoreError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &e):
		return e.Kind
	}
	return other
}

// Store is the platform's versioned object API. Every call counts against the
// platform's rate limits; a waiting watch counts as one call.
type Store interface {
	// Get returns an object, or StoreNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) (Listing, error)
	// ListStale is List, but the result may be some seconds old. The call is cheap
	// and does not count against the rate limits.
	ListStale(ctx context.Context, prefix string) (Listing, error)
	// Put writes value if the current version is base; with base 0 it only
	// creates the object. A base of an earlier era is StoreConflict. If the answer shows
	// that the era has changed since, the outcome is StoreUnknown.
	Put(ctx context.Context, key string, value []byte, base Version) (Version, error)
	// Delete removes the object if its current version is base, under the rules of Put.
	Delete(ctx context.Context, key string, base Version) error
	// Watch delivers the changes of objects whose key starts with prefix, with a
	// version above after. It may stop delivering changes without an error. It ends with
	// StoreHistoryGone if the store has come back from an older copy since after.
	Watch(ctx context.Context, prefix string, after Version) (Watch, error)
	// Era returns the newest era that an answer of the store has named, or 0 if it names
	// none; see NewVersion. It makes no call.
	Era() int64
}

// Watch is a stream of changes.
type Watch interface {
	// Events is closed when the watch ends. An object without a key is not a
	// change: it reports that there was no change up to its version.
	Events() <-chan Object
	// Err waits for the end of the watch and returns its cause.
	Err() error
	// Close ends the watch and waits for it.
	Close() error
}

// UpstreamOrder asks the platform for a number of upstreams in a zone.
type UpstreamOrder struct {
	ID      string // unique identifier of the order, chosen by the sender
	Zone    Zone
	Cheap   bool   // orders upstreams that the platform may reclaim at short notice
	Count   int    // desired total of cheap or other upstreams in the zone
	Fencing uint64 // fencing token of the sender's lease
}

// Provisioner orders upstreams by availability zone.
type Provisioner interface {
	Order(ctx context.Context, o UpstreamOrder) error
	// Upstreams returns the platform's list; it may lag.
	Upstreams(ctx context.Context) ([]Upstream, error)
	// Orders returns the identifiers of orders that took effect.
	Orders(ctx context.Context) ([]string, error)
}

// UsageSink receives the usage report of each billing window. A report that is
// sent again has the same bytes.
type UsageSink interface {
	Report(ctx context.Context, window string, fencing uint64, body []byte) error
}

// HostStatus is one entry of the platform's list of hosts, which may lag.
type HostStatus struct {
	Host        HostID
	Incarnation Incarnation
	Zone        Zone
	Leaving     bool
	// HeartbeatAddress and PeerAddress are where other hosts reach the host,
	// host:port; empty where the platform does not know them.
	HeartbeatAddress string
	PeerAddress      string
	// Region, Address (for callers) and Processors are as in Member; zero where
	// the platform does not know them.
	Region     Region
	Address    string
	Processors float64
}

// HostLister returns the platform's list of live and leaving hosts, which may
// lag.
type HostLister interface {
	Hosts(ctx context.Context) ([]HostStatus, error)
}

// Member is one entry host as seen by another.
type Member struct {
	Host        HostID
	Incarnation Incarnation
	Zone        Zone
	Region      Region
	Address     string // for callers, host:port
	PeerAddress string // for other hosts, host:port
	Draining    bool   // shuts down as planned
	// Unready reports that the host cannot serve callers at present: it has no
	// configuration, or cannot be sure that its keys are current.
	Unready bool
	// CutOff reports that the host reaches no upstreams.
	CutOff bool
	Silent time.Duration // time since the host was last known to be alive, or became known
	// Distant marks a host of another cell, a group of hosts that send each other
	// heartbeats; its state is known only from summaries of that cell.
	Distant bool
	// Lag is the age of the latest summary of a distant host's cell.
	Lag time.Duration
	// FreeCapacity is the fraction of unused slots, from 0 to 1.
	FreeCapacity float64
	// ConfigVersion is the version of the configuration in force on the host or, where
	// TableVersion is its own version, the revision with which it is stored.
	ConfigVersion int64
	// TableVersion is the own version of the routing table in force on the host; 0 if it
	// has none or does not tell.
	TableVersion int64
	// UpstreamVersion is the version of the newest change of upstreams that the host
	// knows. It has no era if the host does not tell one.
	UpstreamVersion Version
	// EvacuationVersion is the same for the evacuated zones.
	EvacuationVersion Version
	// Kept is a hash of the upstreams that the host knows to leave or to be gone although
	// the store, which came back from an older copy, shows otherwise; 0 for none.
	Kept uint32
	// SplitVersion grows with each split of a service among builds that the host knows.
	SplitVersion int64
	// StoreAge is the time since the host last reached the store.
	StoreAge time.Duration
	// Eligible holds the roles that the host takes up as soon as it is chosen, Active
	// those that it performs.
	Eligible, Active Roles
	// WithdrawnCount and WithdrawnHash describe the withdrawn keys that the host
	// knows; hosts that know the same withdrawn keys have the same values.
	WithdrawnCount int
	WithdrawnHash  uint64
	Demand         Demand
	// Processors is the processor time that the host may use, in cores; 0 means
	// that it is not known.
	Processors float64
}

// Roles is a set of roles that a few hosts perform for all. A host that has just started
// is not eligible for them, and one that was chosen may need some time to take a role
// up, so that a host which performs it goes on until its successor is active.
type Roles uint8

const (
	// RoleStoreWatcher watches the platform's store.
	RoleStoreWatcher Roles = 1 << iota
	// RoleLeaseCandidate competes for the lease.
	RoleLeaseCandidate
)

// Has reports whether the set contains all roles of another.
func (r Roles) Has(other Roles) bool { return r&other == other }

// distantLimit is the age that the latest summary of another cell must be below
// for its hosts to count as alive. In a fleet of 180 cells the longest time
// without news of a live host was 65 s.
const distantLimit = 2 * time.Minute

// IsAlive reports whether the host counts as alive when hosts are chosen for a
// duty. A host of the own cell is alive if it has been silent for less than
// limit. A host of another cell is alive if that held when its cell made the
// latest summary, and that summary is less than 2 min old. With limit alone, most
// hosts of other cells would count as silent, and each cell of a large fleet would
// choose its own hosts for duties that need a few hosts of the whole fleet.
func (m Member) IsAlive(limit time.Duration) bool {
	if m.Distant {
		return m.Lag < distantLimit && m.Silent-m.Lag < limit
	}
	return m.Silent < limit
}

// PeerHandler answers a call of another host.
type PeerHandler func(ctx context.Context, from HostID, body []byte) ([]byte, error)

// Peers sends calls to other hosts and answers theirs.
type Peers interface {
	// Members returns the other hosts, alive or silent.
	Members() []Member
	// Call sends body to a host and waits for its answer.
	Call(ctx context.Context, host HostID, kind string, body []byte) ([]byte, error)
	// Handle registers the handler for calls of a kind; call it before the first
	// Call.
	Handle(kind string, h PeerHandler)
}

// Invariants counts the checks and violations of named invariants.
type Invariants interface {
	// Check counts one check of the invariant and, if ok is false, one
	// violation with the key=value details for the log.
	Check(name string, ok bool, details ...any)
}
