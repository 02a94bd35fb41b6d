// Package release keeps each stream at the build of its service's software that began it,
// while engines of several builds serve.
//
// The Assigner of each host tells the build of a stream from its request ID and the splits
// of the service; see package split. The Writer of the leader stores a new split when the
// capacities of the builds change.
package release

import (
	"sync"
	"sync/atomic"
	"time"

	"quetzalhook"
	"quetzalhook/internal/record/split"
)

// maxRemembered is the maximum number of streams in each of the two generations of the
// streams that a host has begun.
const maxRemembered = 1 << 16

// Splits returns the splits of a service that the host knows.
type Splits interface {
	Split(service string) split.History
	// SplitAge returns for how long the host has not known whether they are the newest.
	SplitAge() time.Duration
}

// streamKey identifies a stream.
type streamKey struct {
	service string
	id      quetzalhook.RequestID
}

// generation holds the builds at which streams began since a time. A build is empty if two
// streams with the same ID began at different ones.
type generation struct {
	since  time.Time
	builds map[streamKey]quetzalhook.Build
}

// Assigner implements quetzalhook.Builds. It is safe for concurrent use.
type Assigner struct {
	splits Splits
	clock  quetzalhook.Clock
	// listed holds the builds of the listed upstreams, in equal parts, by service. The
	// split is empty if no upstream names its build.
	listed         atomic.Pointer[map[string]split.Split]
	known, unknown atomic.Int64

	mu           sync.Mutex
	young, older generation
}

var _ quetzalhook.Builds = (*Assigner)(nil)

// NewAssigner returns an assigner for the splits that a host knows.
func NewAssigner(splits Splits, clock quetzalhook.Clock) *Assigner {
	a := &Assigner{splits: splits, clock: clock, young: newGeneration(clock.Now())}
	a.listed.Store(&map[string]split.Split{})
	return a
}

func newGeneration(now time.Time) generation {
	return generation{since: now, builds: make(map[streamKey]quetzalhook.Build)}
}

// SetUpstreams takes a new list of upstreams. Their builds count until a split of their
// service is known.
func (a *Assigner) SetUpstreams(list []quetzalhook.Upstream) {
	listed := listedBuilds(list)
	a.listed.Store(&listed)
}

// listedBuilds returns the split of each service before the first one is stored: equal parts
// for the builds of its listed upstreams.
func listedBuilds(list []quetzalhook.Upstream) map[string]split.Split {
	capacities := make(map[string]map[quetzalhook.Build]float64)
	for _, u := range list {
		if capacities[u.Service] == nil {
			capacities[u.Service] = make(map[quetzalhook.Build]float64)
		}
		capacities[u.Service][u.Build] = 1
	}
	listed := make(map[string]split.Split, len(capacities))
	for service, c := range capacities {
		listed[service] = split.New(c)
	}
	return listed
}

// Assign implements quetzalhook.Builds.
func (a *Assigner) Assign(service string, id quetzalhook.RequestID) (quetzalhook.Build, bool) {
	if a.splits.SplitAge() > split.LearnTime {
		return "", false
	}
	if h := a.splits.Split(service); h.Epoch() > 0 {
		return h.Assign(a.clock.Now(), id), true
	}
	return (*a.listed.Load())[service].Assign(id), true
}

// Origin implements quetzalhook.Builds.
func (a *Assigner) Origin(service string, id quetzalhook.RequestID, life time.Duration) (quetzalhook.Build, bool) {
	b, ok := a.origin(service, id, life)
	if ok {
		a.known.Add(1)
	} else {
		a.unknown.Add(1)
	}
	return b, ok
}

func (a *Assigner) origin(service string, id quetzalhook.RequestID, life time.Duration) (quetzalhook.Build, bool) {
	if b, ok := a.remembered(streamKey{service, id}); ok {
		return b, b != ""
	}
	// The time is read first: after a pause of the process, splits under which the stream may
	// have begun would count as too old.
	now := a.clock.Now()
	// Others may use a split that this host does not know.
	if a.splits.SplitAge() > split.ConfirmTime {
		return "", false
	}
	if h := a.splits.Split(service); h.Epoch() > 0 {
		return h.Origin(now, id, life)
	}
	listed, ok := (*a.listed.Load())[service]
	if listed.IsEmpty() {
		return "", ok
	}
	return listed.Only()
}

// Recall implements quetzalhook.Builds.
func (a *Assigner) Recall(service string, id quetzalhook.RequestID) (quetzalhook.Build, bool) {
	b, _ := a.remembered(streamKey{service, id})
	return b, b != ""
}

// Began implements quetzalhook.Builds.
func (a *Assigner) Began(service string, id quetzalhook.RequestID, b quetzalhook.Build) {
	if id == "" || b == "" {
		return
	}
	key := streamKey{service, id}
	if old, ok := a.remembered(key); ok && old != b {
		b = ""
	}
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.young.since) >= split.MaxLife || len(a.young.builds) >= maxRemembered {
		a.older, a.young = a.young, newGeneration(now)
	}
	a.young.builds[key] = b
}

// remembered returns the build at which this host has begun a stream.
func (a *Assigner) remembered(key streamKey) (quetzalhook.Build, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b, ok := a.young.builds[key]; ok {
		return b, true
	}
	b, ok := a.older.builds[key]
	return b, ok
}

// TakeUps returns the numbers of streams that were taken up at this host, by whether the
// build that began them was known.
func (a *Assigner) TakeUps() (known, unknown int64) { return a.known.Load(), a.unknown.Load() }
