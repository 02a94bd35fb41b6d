// Package split decides at which build of its software a service begins each stream.
//
// A Split holds the shares of the builds of a service. It assigns each request ID to a
// build by weighted rendezvous hashing, so that every host assigns the same build without
// any state of the stream. A History holds the newest split of a service and those that it
// has superseded while streams that began under them may still be alive. From the ID of the
// request that began a stream it finds the build, unless the splits disagree on it.
//
// The package does no I/O and reads no clock; callers pass the time of their host. Times
// of different hosts are never compared: a stored History holds ages.
package split

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"quetzalhook"
)

const (
	// parts is the number of parts into which the requests of a service are divided.
	parts = 32
	// minChange is the change of a share for which a split is replaced.
	minChange = 1.0 / 16
	// maxBuilds is the maximum number of builds in a split, and maxName the maximum length
	// of their names in bytes.
	maxBuilds = 16
	maxName   = 128
)

// weighted is a build with the number of its parts.
type weighted struct {
	build quetzalhook.Build
	parts int
}

// Split is the division of the requests of a service among its builds. It is immutable.
// The zero value has no builds.
type Split struct {
	builds []weighted // sorted by build
}

// New returns the split for the capacities of builds, in any unit. A build without a name
// or without capacity gets no share, and only the largest maxBuilds are taken.
func New(capacities map[quetzalhook.Build]float64) Split {
	type capacity struct {
		build quetzalhook.Build
		size  float64
	}
	var list []capacity
	total := 0.0
	for b, size := range capacities {
		if b != "" && len(b) <= maxName && size > 0 {
			list = append(list, capacity{b, size})
		}
	}
	slices.SortFunc(list, func(x, y capacity) int { return cmp.Or(cmp.Compare(y.size, x.size), cmp.Compare(x.build, y.build)) })
	list = list[:min(len(list), maxBuilds)]
	for _, c := range list {
		total += c.size
	}
	var s Split
	for _, c := range list {
		s.builds = append(s.builds, weighted{c.build, max(int(math.Round(parts*c.size/total)), 1)})
	}
	s.sort()
	return s
}

func (s Split) sort() {
	slices.SortFunc(s.builds, func(x, y weighted) int { return cmp.Compare(x.build, y.build) })
}

// IsEmpty reports whether the split has no builds.
func (s Split) IsEmpty() bool { return len(s.builds) == 0 }

// Only returns the build of a split that has one build.
func (s Split) Only() (quetzalhook.Build, bool) {
	if len(s.builds) != 1 {
		return "", false
	}
	return s.builds[0].build, true
}

// Equal reports whether two splits are the same.
func (s Split) Equal(other Split) bool { return slices.Equal(s.builds, other.builds) }

// String returns the builds with their parts, for the log.
func (s Split) String() string {
	text := make([]string, len(s.builds))
	for i, b := range s.builds {
		text[i] = string(b.build) + ":" + strconv.Itoa(b.parts)
	}
	return strings.Join(text, ",")
}

// Assign returns the build at which the stream of a request begins; empty if the split has
// no builds. If the parts of one build grow, only requests that move to it are assigned
// otherwise. The calculation is exact, so that hosts of all architectures agree.
func (s Split) Assign(id quetzalhook.RequestID) quetzalhook.Build {
	if len(s.builds) <= 1 {
		b, _ := s.Only()
		return b
	}
	var best quetzalhook.Build
	bestScore := uint64(0)
	for _, w := range s.builds {
		// The builds are sorted, so that the first one wins if scores are equal.
		if score := score(id, w); best == "" || score > bestScore {
			best, bestScore = w.build, score
		}
	}
	return best
}

// score returns the largest of as many pseudorandom numbers as the build has parts. This
// makes the probability that a build has the largest score proportional to its parts.
func score(id quetzalhook.RequestID, w weighted) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(id))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(w.build))
	seed, largest := d.Sum64(), uint64(0)
	for i := range w.parts {
		largest = max(largest, mix(seed+uint64(i)*increment))
	}
	return largest
}

// increment is the odd constant of SplitMix64.
const increment = 0x9e3779b97f4a7c15

// mix is the output function of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// total returns the number of parts of all builds.
func (s Split) total() int {
	n := 0
	for _, w := range s.builds {
		n += w.parts
	}
	return n
}

// partsOf returns the parts of a build.
func (s Split) partsOf(b quetzalhook.Build) int {
	for _, w := range s.builds {
		if w.build == b {
			return w.parts
		}
	}
	return 0
}

// share returns the share of a build.
func (s Split) share(b quetzalhook.Build) float64 {
	return float64(s.partsOf(b)) / float64(max(s.total(), 1))
}

// lacks reports whether a build of another split has no share in this one.
func (s Split) lacks(other Split) bool {
	return slices.ContainsFunc(other.builds, func(w weighted) bool { return s.share(w.build) == 0 })
}

// isFar reports whether another split has other builds, or shares that differ by more than
// minChange.
func (s Split) isFar(other Split) bool {
	if s.lacks(other) || other.lacks(s) {
		return true
	}
	return slices.ContainsFunc(s.builds, func(w weighted) bool {
		return math.Abs(s.share(w.build)-other.share(w.build)) > minChange
	})
}
