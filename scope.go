package quetzalhook

import "time"

// Scope is the set of upstreams that may run a request, as far as their regions and builds
// go. The zero value holds all upstreams.
type Scope struct {
	Regions Regions
	// Build is the only build; empty for any.
	Build Build
}

// IsRestricted reports whether the scope lacks a region or a build.
func (s Scope) IsRestricted() bool { return s.Regions.Restricted || s.Build != "" }

// Allows reports whether the scope holds the upstreams of a region and build.
func (s Scope) Allows(r Region, b Build) bool {
	return (s.Build == "" || s.Build == b) && s.Regions.Allows(r)
}

const (
	// scopeRetryAfter is the wait that the refusal of a request without an upstream in its
	// scope suggests: upstreams that have restarted register within about a second.
	scopeRetryAfter = time.Second
	// honouredShare is the part of their time for which callers wait as a refusal tells
	// them, one third, with a margin for the time that the refusal travels.
	honouredShare = 4
)

// ScopeRefusal returns the refusal of a request without an upstream in its scope: kind is
// RefuseRegion if there is none in its regions, and otherwise RefuseBuild. left is how long
// its caller still waits, 0 if that is not known.
func ScopeRefusal(kind RefuseKind, left time.Duration) *Refusal {
	wait := scopeRetryAfter
	if left > 0 {
		wait = min(wait, left/honouredShare)
	}
	return &Refusal{Kind: kind, RetryAfter: wait}
}
