// Package share divides the slots of upstreams between hosts.
//
// Every host computes the same division from the same gossiped demand, so no
// host owns it and nothing is handed over after a crash. Slots are filled by
// tier, the most urgent first; within a tier, hosts with small needs are
// satisfied before larger ones (max-min, "water-filling"). Slots that nobody
// needs are split equally and serve as headroom until the next gossip round.
package share

import (
	"math"
	"sort"

	"quetzalhook"
)

// Need is what one host asks for, in slots by tier.
type Need struct {
	Host  quetzalhook.HostID
	Slots [quetzalhook.TierCount]float64
}

// Table is a division of slots between hosts, as fractions of every upstream.
type Table struct {
	hosts []quetzalhook.HostID
	// bounds[i] and bounds[i+1] enclose the fraction of hosts[i].
	bounds []float64
}

// Divide splits capacity slots between the hosts in needs, which must have
// distinct names. The result does not depend on the order of needs.
func Divide(capacity float64, needs []Need) Table {
	needs = append([]Need(nil), needs...)
	sort.Slice(needs, func(i, j int) bool { return needs[i].Host < needs[j].Host })
	got := make([]float64, len(needs))
	left := max(capacity, 0)
	want := make([]float64, len(needs))
	for tier := range quetzalhook.TierCount {
		for i, n := range needs {
			want[i] = max(n.Slots[tier], 0)
		}
		left -= fill(left, want, got)
	}
	t := Table{bounds: make([]float64, 1, len(needs)+1)}
	sum := 0.0
	for i := range got {
		got[i] += left / float64(len(got))
		sum += got[i]
	}
	at := 0.0
	for i, n := range needs {
		if sum > 0 {
			at += got[i] / sum
		} else {
			at += 1 / float64(len(needs))
		}
		t.hosts = append(t.hosts, n.Host)
		t.bounds = append(t.bounds, min(at, 1))
	}
	if len(needs) > 0 {
		t.bounds[len(needs)] = 1 // the sum of the fractions may end just below 1
	}
	return t
}

// Equal returns the division between n hosts of which only self is known.
func Equal(self quetzalhook.HostID, n int) Table {
	return Table{hosts: []quetzalhook.HostID{self}, bounds: []float64{0, 1 / float64(max(n, 1))}}
}

// fill adds up to want[i] to got[i], limited by left in total, and returns
// what it used. If left is too small, all get the same level at most.
func fill(left float64, want, got []float64) float64 {
	total := 0.0
	for _, w := range want {
		total += w
	}
	level := math.Inf(1)
	if total > left {
		level = waterLevel(left, want)
	}
	used := 0.0
	for i, w := range want {
		a := min(w, level)
		got[i] += a
		used += a
	}
	return min(used, left)
}

// waterLevel returns the level l with sum(min(want, l)) = left, for a sum of
// want above left.
func waterLevel(left float64, want []float64) float64 {
	sorted := append([]float64(nil), want...)
	sort.Float64s(sorted)
	for i, w := range sorted {
		rest := float64(len(sorted) - i)
		if w*rest >= left {
			return left / rest
		}
		left -= w
	}
	return math.Inf(1)
}

// Fraction returns the host's fraction of every upstream, from 0 to 1.
func (t Table) Fraction(h quetzalhook.HostID) float64 {
	lo, hi := t.span(h)
	return hi - lo
}

func (t Table) span(h quetzalhook.HostID) (lo, hi float64) {
	i := sort.Search(len(t.hosts), func(i int) bool { return t.hosts[i] >= h })
	if i == len(t.hosts) || t.hosts[i] != h {
		return 0, 0
	}
	return t.bounds[i], t.bounds[i+1]
}

// goldenRatio spreads the rounding of successive upstreams evenly.
const goldenRatio = 0.6180339887498949

// Slots returns the host's whole slots on the upstream at position index of
// a list that all hosts order alike. It is the host's fraction rounded up or
// down; over all hosts the result sums to slots. The rounding differs from
// index to index so that a host's total stays near its fraction.
func (t Table) Slots(h quetzalhook.HostID, slots, index int) int {
	lo, hi := t.span(h)
	_, phase := math.Modf(float64(index+1) * goldenRatio)
	s := float64(slots)
	return int(math.Floor(hi*s+phase) - math.Floor(lo*s+phase))
}
