// Package rendezvous ranks hosts for a key by rendezvous hashing.
//
// Every host that sees the same members computes the same ranking. When a member
// joins or leaves, the first host changes only for the keys that rank this member
// first.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"quetzalhook"
)

// Rank returns the hosts ordered by their weight for key, largest first. It
// does not change hosts.
func Rank(key string, hosts []quetzalhook.HostID) []quetzalhook.HostID {
	type weighted struct {
		host   quetzalhook.HostID
		weight uint64
	}
	list := make([]weighted, len(hosts))
	for i, h := range hosts {
		list[i] = weighted{h, weight(key, h)}
	}
	slices.SortFunc(list, func(a, b weighted) int {
		if before(a.weight, a.host, b.weight, b.host) {
			return -1
		}
		return 1
	})
	ranked := make([]quetzalhook.HostID, len(list))
	for i, w := range list {
		ranked[i] = w.host
	}
	return ranked
}

// Place returns the index of a host in the order of Rank, or -1 if it is not among the
// hosts. It does not allocate.
func Place(key string, host quetzalhook.HostID, hosts []quetzalhook.HostID) int {
	own := weight(key, host)
	place, found := 0, false
	for _, h := range hosts {
		switch {
		case h == host:
			found = true
		case before(weight(key, h), h, own, host):
			place++
		}
	}
	if !found {
		return -1
	}
	return place
}

// First returns the host that Rank puts first, or "" if hosts is empty. It does
// not allocate.
func First(key string, hosts []quetzalhook.HostID) quetzalhook.HostID {
	var best quetzalhook.HostID
	var bestWeight uint64
	for i, h := range hosts {
		w := weight(key, h)
		if i == 0 || before(w, h, bestWeight, best) {
			best, bestWeight = h, w
		}
	}
	return best
}

// Position returns the place of a host in the order of Rank, whether hosts contains it
// or not. It does not allocate.
func Position(key string, host quetzalhook.HostID, hosts []quetzalhook.HostID) (n int) {
	own := weight(key, host)
	for _, h := range hosts {
		if h != host && before(weight(key, h), h, own, host) {
			n++
		}
	}
	return n
}

// before reports whether host h with weight w ranks before other. Equal weights
// are ordered by host ID.
func before(w uint64, h quetzalhook.HostID, otherWeight uint64, other quetzalhook.HostID) bool {
	return w > otherWeight || w == otherWeight && h < other
}

func weight(key string, h quetzalhook.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(h))
	return d.Sum64()
}
