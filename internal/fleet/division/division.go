// Package division divides the engines of a large fleet into groups, each
// with a leader of its own that places requests, and tells each host which
// group places a request.
//
// It answers fleets whose engines are too many for one host to compare for
// each request. Hosts need not agree on the number of groups: a host that
// counts otherwise asks another leader for a while, which costs quality of
// decisions only. The package is pure.
package division

import (
	"github.com/cespare/xxhash/v2"

	"quetzalhook"
)

const (
	// groupSize is the largest number of engines in a group. Comparing 256
	// engines for a request takes 0.1 ms; the deployments of today stay below it
	// and have one group.
	groupSize = 256
	// shrink is the part of the engines of one group fewer below which there are
	// fewer groups, so that their number does not change with every engine.
	shrink = 0.75
	// longShared is the number of shared tokens from which on a prompt belongs to
	// a group: reading 1,000 tokens takes 30 ms, as long as a round trip between
	// regions.
	longShared = 1000
	// spreadHash spreads hashes of parts that differ in few bits over all groups;
	// it is 2^64 divided by the golden ratio.
	spreadHash = 0x9E3779B97F4A7C15
)

// Division is the present number of groups. The zero value has one.
type Division struct{ more int } // groups beyond the first

// Groups returns the number of groups.
func (d Division) Groups() int { return 1 + d.more }

// Resize returns the division for a number of engines.
func (d Division) Resize(engines int) Division {
	wanted := max((engines+groupSize-1)/groupSize, 1)
	if wanted > d.Groups() || float64(engines) < shrink*groupSize*float64(d.more) {
		d.more = wanted - 1
	}
	return d
}

// Of returns the group of an engine. Few engines change their group when the
// number of groups does.
func (d Division) Of(id quetzalhook.UpstreamID) int {
	return jump(xxhash.Sum64String(string(id)), d.Groups())
}

// Home returns the group for a request. One whose prompt begins with long parts
// that others share goes to the group of these parts, so that they are read in
// one group only. Others go to the group of their host: position is its place
// among all live hosts, from 0 to below 1, so that each group has the same number
// of hosts.
func (d Division) Home(position float64, prompt []quetzalhook.PromptPart) int {
	if last := len(prompt) - 1; last > 0 {
		shared := 0
		for _, p := range prompt[:last] {
			shared += p.Tokens
		}
		if shared >= longShared {
			return jump(prompt[last-1].Hash*spreadHash, d.Groups())
		}
	}
	return min(max(int(position*float64(d.Groups())), 0), d.more)
}

// Second returns the group that a host uses while home is busy, or home if
// there is no other. It differs from host to host.
func (d Division) Second(host quetzalhook.HostID, home int) int {
	if d.more == 0 {
		return home
	}
	step := 1 + int(xxhash.Sum64String(string(host))%uint64(d.more))
	return (home + step) % d.Groups()
}

// jump is the consistent hash of Lamping and Veach: from n to n+1 buckets only
// the keys move that the new bucket gets.
func jump(key uint64, buckets int) int {
	const multiplier = 2862933555777941757
	b, next := int64(-1), int64(0)
	for next < int64(buckets) {
		b = next
		key = key*multiplier + 1
		next = int64(float64(b+1) * (float64(1<<31) / float64(key>>33+1)))
	}
	return int(b)
}

// Position returns the place of a host among all live hosts, from 0 to below
// 1, in an order by hash that is the same on every host.
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
