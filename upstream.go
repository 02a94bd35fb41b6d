package quetzalhook

import "time"

// UpstreamKind distinguishes model engines from plain services.
type UpstreamKind uint8

const (
	// KindEngine is a model engine with continuous batching.
	KindEngine UpstreamKind = iota
	// KindService is a plain HTTP service.
	KindService
)

// UpstreamState is the life-cycle state of an upstream.
type UpstreamState uint8

const (
	// UpstreamReady accepts new requests.
	UpstreamReady UpstreamState = iota
	// UpstreamLeaving finishes or aborts its requests and accepts no new ones.
	UpstreamLeaving
	// UpstreamGone no longer responds.
	UpstreamGone
)

// Build is a version of an upstream's software. Builds have no order. A stream can only
// continue at an upstream of the build that began it.
type Build string

// Upstream describes one back end, from configuration and the platform's list.
type Upstream struct {
	ID      UpstreamID
	Kind    UpstreamKind
	Service string // name of the service, for KindService
	Address string // host:port
	Zone    Zone
	Region  Region
	Models  []Model
	// Build is the version of the upstream's software; empty if it is not known.
	Build Build `cbor:",omitempty"`
	State UpstreamState
	// Slots is the number of requests that run at once without queueing.
	Slots int
	// TokenRate is the nominal output rate of one stream in tokens/s.
	TokenRate float64
	// PrefillRate is the nominal prefill rate in prompt tokens/s.
	PrefillRate float64
	// Price is the cost of one hour, in the operator's currency.
	Price float64
	// Cheap marks capacity that the platform may reclaim at short notice.
	Cheap bool
	// ChecksFencing reports whether the upstream refuses calls with an old
	// fencing token.
	ChecksFencing bool
	// Distance is the one-way network delay from this host.
	Distance time.Duration
	// MemoryTokens is the size of an engine's KV cache in tokens; 0 means that
	// it is not known.
	MemoryTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// TokenTransfer is the time to copy the KV cache of one token to another
	// engine; 0 means that the engine cannot copy it.
	TokenTransfer time.Duration
	// Started is when the upstream started, in ms since 1970 by its own clock.
	// After a restart under the same ID it has a different value, and the KV
	// cache is empty.
	Started int64
	// LeavesIn is how long a leaving upstream still serves requests, counted
	// from its announcement; 0 means that it is not known.
	LeavesIn time.Duration
	// Evacuated reports that the operator has evacuated the zone of the upstream: it
	// gets no new requests.
	Evacuated bool `cbor:",omitempty"`
	// ColdFor is how long the upstream stays slow after its start, counted from when
	// its record was read.
	ColdFor time.Duration `cbor:",omitempty"`
	// Record is the version of the record in the store. It is not sent to other hosts.
	Record Version `cbor:"-"`
	// TrafficPrice is the price of 10^9 bytes between the upstream and this
	// host, in the operator's currency; 0 means that it is not known.
	TrafficPrice float64
}

// IsOpen reports whether the upstream takes new requests: it is ready, and its zone not
// evacuated.
func (u *Upstream) IsOpen() bool { return u.State == UpstreamReady && !u.Evacuated }

// Load is one load report of an upstream. Age is how old the report was when the
// host received it.
type Load struct {
	Upstream  UpstreamID
	Running   int
	Waiting   int
	TokenRate float64 // tokens/s over all running streams
	Age       time.Duration
	Leaving   bool
	// Prefixes holds the hashes of prompt prefixes that were cached since the
	// last report, Evicted those of prefixes that were evicted.
	Prefixes []uint64
	Evicted  []uint64
	// PrefixGap reports that cache events were lost before this report.
	PrefixGap bool
}
