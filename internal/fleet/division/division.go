// Package division partitions the engines of a large fleet into groups, each
// scheduled by its own leader, and selects the group that schedules a request.
//
// A single host could not compare all engines of a large fleet for each request.
// Hosts need not agree on the number of groups: a host with another number calls
// a different leader for a while, which only makes the choice of engines less
// good. The package does no I/O and keeps no state.
package division

import (
	"github.com/cespare/xxhash/v2"

	"quetzalhook"
)

const (
	// groupSize is the number of engines per group from which the number of groups
	// is computed. Comparing 256 engines for a request takes 0.1 ms. Current
	// deployments are smaller and have one group.
	groupSize = 256
	// shrinkRatio adds hysteresis: n groups become fewer only when there are fewer
	// engines than this fraction of groupSize*(n-1), so that the number of groups
	// does not change with every engine.
	shrinkRatio = 0.75
	// longSharedTokens is the number of shared tokens from which on a prompt is
	// assigned to a group by its shared parts. Prefill of 1,000 tokens takes 30 ms,
	// as long as a round trip between regions.
	longSharedTokens = 1000
	// fibonacciMultiplier spreads part hashes that differ in few bits over all
	// groups (Fibonacci hashing); it is 2^64 divided by the golden ratio.
	fibonacciMultiplier = 0x9E3779B97F4A7C15
)

// Division holds the number of groups. The zero value has one group.
type Division struct{ extra int } // groups beyond the first

// Groups returns the number of groups.
func (d Division) Groups() int { return 1 + d.extra }

// Resize returns the division for a number of engines. It adds groups as soon as
// they are needed, but removes some only as described for shrinkRatio.
func (d Division) Resize(engines int) Division {
	wanted := max((engines+groupSize-1)/groupSize, 1)
	if wanted > d.Groups() || float64(engines) < shrinkRatio*groupSize*float64(d.extra) {
		d.extra = wanted - 1
	}
	return d
}

// GroupAmong returns the group of an engine if there are the given number of groups.
func GroupAmong(id quetzalhook.UpstreamID, groups int) int {
	return Division{extra: max(groups-1, 0)}.GroupOf(id)
}

// GroupOf returns the group of an engine. Few engines change their group when the
// number of groups changes.
func (d Division) GroupOf(id quetzalhook.UpstreamID) int {
	return jumpHash(xxhash.Sum64String(string(id)), d.Groups())
}

// Home returns the group that schedules a request. All parts of a prompt but the
// last count as shared with other requests. If they have at least
// longSharedTokens tokens, the hash of the last of them determines the group, so
// that only the engines of one group compute them. Other requests go to the group
// of their host: position is the host's position among all live hosts, in [0, 1),
// so that each group has the same number of hosts.
func (d Division) Home(position float64, prompt []quetzalhook.PromptPart) int {
	if last := len(prompt) - 1; last > 0 {
		shared := 0
		for _, p := range prompt[:last] {
			shared += p.Tokens
		}
		if shared >= longSharedTokens {
			return jumpHash(prompt[last-1].Hash*fibonacciMultiplier, d.Groups())
		}
	}
	return min(max(int(position*float64(d.Groups())), 0), d.extra)
}

// Second returns the group that a host uses while the home group is busy, or home
// if there is no other. Hosts with the same home group use different second
// groups.
func (d Division) Second(host quetzalhook.HostID, home int) int {
	if d.extra == 0 {
		return home
	}
	step := 1 + int(xxhash.Sum64String(string(host))%uint64(d.extra))
	return (home + step) % d.Groups()
}

// jumpHash is the jump consistent hash of Lamping and Veach: when a bucket is
// added, keys move only to the new bucket.
func jumpHash(key uint64, buckets int) int {
	const multiplier = 2862933555777941757
	b, next := int64(-1), int64(0)
	for next < int64(buckets) {
		b = next
		key = key*multiplier + 1
		next = int64(float64(b+1) * (float64(1<<31) / float64(key>>33+1)))
	}
	return int(b)
}

// Position returns the position of a host among all live hosts, in [0, 1). Hosts
// are ordered by hash, so that every host computes the same order.
func Position(host quetzalhook.HostID, others []quetzalhook.HostID) float64 {
	own := xxhash.Sum64String(string(host))
	before := 0
	for _, o := range others {
		if xxhash.Sum64String(string(o)) < own {
			before++
		}
	}
	return float64(before) / float64(len(others)+1)
}
