package quetzalhook

import "time"

// Placer chooses upstreams for requests and tracks the load and health of
// upstreams as this host knows them. Like a Policy, an implementation does no
// I/O, starts no goroutine and reads no clock.
type Placer interface {
	// SetUpstreams replaces the upstreams that the host may use.
	SetUpstreams(now time.Time, upstreams []Upstream)
	// ObserveLoad records a load report.
	ObserveLoad(now time.Time, l Load)
	// ObservePeers records the latest demand of every other host.
	ObservePeers(now time.Time, peers []PeerDemand)
	// ObserveDemand records this host's own demand.
	ObserveDemand(now time.Time, d Demand)
	// Place returns the best upstream that has a slot for r on this host, or
	// false. It changes no state.
	Place(now time.Time, r Request) (UpstreamID, bool)
	// Started reports that r was sent to an upstream.
	Started(now time.Time, r Request, u UpstreamID)
	// Progress reports that a running request received tokens, n in total
	// since Started.
	Progress(now time.Time, id RequestID, n int)
	// Ended reports the end of the attempt that Started began.
	Ended(now time.Time, id RequestID, end End)
	// Slots returns the number of slots that this host has for a model, in total
	// and unused.
	Slots(now time.Time, m Model) (total, free int)
	// Unfit returns the upstreams whose running requests should move to others:
	// those that are leaving, gone or ejected.
	Unfit(now time.Time) []UpstreamID
	// FirstToken returns the predicted time to the first token of r on u.
	FirstToken(now time.Time, r Request, u UpstreamID) time.Duration
}
