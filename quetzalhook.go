// Package quetzalhook holds the shared types and the interfaces of a router
// for language-model traffic with service levels and priorities.
//
// An entry host accepts requests from customers, decides with a Policy which
// upstream runs each of them and when, and relays the answers. Persistent state
// is kept in a Store, the platform's versioned object API; hosts communicate
// with each other through Peers. Implementations are in internal/ and
// platform/.
package quetzalhook

import "time"

// Identifiers. All are chosen by operators, except RequestID and Incarnation,
// which hosts generate.
type (
	// CustomerID names a customer.
	CustomerID string
	// HostID names an entry host.
	HostID string
	// Incarnation numbers one process lifetime of a host; a restarted host
	// has a larger one.
	Incarnation uint64
	// Zone names an availability zone.
	Zone string
	// Region names a region, a group of availability zones.
	Region string
	// UpstreamID names an upstream.
	UpstreamID string
	// ClassName names a request class.
	ClassName string
	// Model names a language model.
	Model string
	// RequestID identifies one request to its caller, its host, its upstream and
	// in logs.
	RequestID string
)

// Tier is a priority level; tier 0 is the most urgent.
type Tier uint8

const (
	// TierUrgent is the most urgent tier. Its requests are never shed or
	// preempted for those of a lower tier.
	TierUrgent Tier = 0
	// TierCount is the number of tiers.
	TierCount = 4
)

// Outcome tells a caller whether an upstream may have run its request.
type Outcome string

const (
	// OutcomeNotRun states that no upstream ran any part of the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown states that an upstream may have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// Clock supplies the current time. Time from a Clock is used for durations
// on one host only and never compared between hosts.
type Clock interface {
	Now() time.Time
}

// ClockFunc adapts a function to Clock.
type ClockFunc func() time.Time

// Now calls f.
func (f ClockFunc) Now() time.Time { return f() }
