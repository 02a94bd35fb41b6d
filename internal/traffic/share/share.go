// Package share divides the slots of upstreams between hosts.
//
// Every host computes the same division from the same gossiped demand, so no
// host owns it and nothing is handed over after a crash. Slots are filled by
// tier, the most urgent first; within a tier, hosts with small needs are
// satisfied before larger ones (max-min, "water-filling"). Slots that nobody
// needs serve as headroom until the next gossip round.
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

// urgentHeadroom is the part of the headroom that is split in proportion to
// urgent needs; the rest is split equally. A burst at one host grows by what
// arrives in a gossip round, and the host is given as much in advance.
const urgentHeadroom = 0.5

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
	sum := addHeadroom(max(left, 0), needs, got)
	t := Table{bounds: make([]float64, 1, len(needs)+1)}
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

// addHeadroom splits the slots left after all needs and returns the sum of got.
func addHeadroom(left float64, needs []Need, got []float64) float64 {
	urgent, sum := 0.0, 0.0
	for _, n := range needs {
		urgent += max(n.Slots[quetzalhook.TierUrgent], 0)
	}
	for i, n := range needs {
		part := 1 / float64(len(needs))
		if urgent > 0 {
			part += urgentHeadroom * (max(n.Slots[quetzalhook.TierUrgent], 0)/urgent - part)
		}
		got[i] += left * part
		sum += got[i]
	}
	return sum
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

// Hosts returns the hosts in the order of the slices that Whole fills.
func (t Table) Hosts() []quetzalhook.HostID { return t.hosts }

// goldenRatio spreads the rounding of successive upstreams evenly.
const goldenRatio = 0.6180339887498949

// Whole stores in got the whole slots of each host on the upstream at
// position index of a list that all hosts order alike: its fraction rounded
// up or down. The sum is slots, or less if only some hosts are known. The
// rounding differs between indexes so that a host's total stays near its
// fraction.
func (t Table) Whole(slots, index int, got []int) {
	_, phase := math.Modf(float64(index+1) * goldenRatio)
	s := float64(slots)
	for i := range t.hosts {
		got[i] = int(math.Floor(t.bounds[i+1]*s+phase) - math.Floor(t.bounds[i]*s+phase))
	}
}

// Hold changes the whole slots in got so that each host has at least those it
// holds. Slots held beyond a host's own are taken from the hosts with the most
// unused slots, so that the sum is at most slots unless more are held.
func Hold(slots, index int, held, got []int) {
	sum := 0
	for i := range got {
		got[i] = max(got[i], held[i])
		sum += got[i]
	}
	for sum > slots {
		i := mostUnused(held, got, index)
		if i < 0 {
			return
		}
		got[i]--
		sum--
	}
}

// mostUnused returns the position with the most slots beyond those held, or
// -1. Ties go to different positions for different indexes.
func mostUnused(held, got []int, index int) int {
	best, most := -1, 0
	for k := range got {
		i := (index + k) % len(got)
		if n := got[i] - held[i]; n > most {
			best, most = i, n
		}
	}
	return best
}
