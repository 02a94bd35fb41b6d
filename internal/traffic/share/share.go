// Package share divides the slots of upstreams between hosts.
//
// Every host computes the same division from the demand that hosts exchange by
// gossip. No host coordinates the division, and nothing needs to be handed over
// after a crash. Slots are assigned by tier, the most urgent first. Within a
// tier the division is max-min fair ("water-filling"): small needs are met
// before larger ones. Slots that no host needs are divided as headroom for the
// requests that arrive before the next gossip round.
package share

import (
	"math"
	"sort"

	"quetzalhook"
)

// Need is the number of slots that one host needs, by tier.
type Need struct {
	Host  quetzalhook.HostID
	Slots [quetzalhook.TierCount]float64
}

// Table is a division of slots between hosts. Each host has the same fraction
// of every upstream.
type Table struct {
	hosts []quetzalhook.HostID // in ascending order
	// bounds[i] and bounds[i+1] are the limits of the interval of hosts[i] in
	// the range from 0 to 1.
	bounds []float64
}

// urgentHeadroom is the fraction of the headroom that is divided in proportion
// to urgent needs; the rest is divided equally. In a burst, a host receives more
// requests within one gossip round than its peers know of; headroom provides
// slots for them in advance.
const urgentHeadroom = 0.5

// Divide divides capacity slots between the hosts in needs, which must be
// distinct. The result does not depend on the order of needs.
func Divide(capacity float64, needs []Need) Table {
	needs = append([]Need(nil), needs...)
	sort.Slice(needs, func(i, j int) bool { return needs[i].Host < needs[j].Host })
	assigned := make([]float64, len(needs))
	left := max(capacity, 0)
	want := make([]float64, len(needs))
	for tier := range quetzalhook.TierCount {
		for i, n := range needs {
			want[i] = max(n.Slots[tier], 0)
		}
		left -= fill(left, want, assigned)
	}
	sum := addHeadroom(max(left, 0), needs, assigned)
	t := Table{bounds: make([]float64, 1, len(needs)+1)}
	bound := 0.0
	for i, n := range needs {
		if sum > 0 {
			bound += assigned[i] / sum
		} else {
			bound += 1 / float64(len(needs))
		}
		t.hosts = append(t.hosts, n.Host)
		t.bounds = append(t.bounds, min(bound, 1))
	}
	if len(needs) > 0 {
		t.bounds[len(needs)] = 1 // rounding may leave the sum of the fractions just below 1
	}
	return t
}

// addHeadroom divides the slots that are left after all needs are met, adds them
// to assigned, and returns the sum of assigned.
func addHeadroom(left float64, needs []Need, assigned []float64) float64 {
	urgent, sum := 0.0, 0.0
	for _, n := range needs {
		urgent += max(n.Slots[quetzalhook.TierUrgent], 0)
	}
	for i, n := range needs {
		part := 1 / float64(len(needs))
		if urgent > 0 {
			part += urgentHeadroom * (max(n.Slots[quetzalhook.TierUrgent], 0)/urgent - part)
		}
		assigned[i] += left * part
		sum += assigned[i]
	}
	return sum
}

// Equal returns an equal division between n hosts. The table contains only
// self, because the other hosts are not known.
func Equal(self quetzalhook.HostID, n int) Table {
	return Table{hosts: []quetzalhook.HostID{self}, bounds: []float64{0, 1 / float64(max(n, 1))}}
}

// fill adds up to want[i] to assigned[i], limited by left in total, and returns
// the sum that it added. If left is too small for all of want, no element
// receives more than a common level.
func fill(left float64, want, assigned []float64) float64 {
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
		assigned[i] += a
		used += a
	}
	return min(used, left)
}

// waterLevel returns the level l for which the sum of min(want[i], l) equals
// left. The sum of want must exceed left.
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

// Fraction returns the host's fraction of every upstream, from 0 to 1; 0 if
// the table does not contain the host.
func (t Table) Fraction(h quetzalhook.HostID) float64 {
	lo, hi := t.span(h)
	return hi - lo
}

// span returns the limits of the host's interval; both are 0 if the table does
// not contain the host.
func (t Table) span(h quetzalhook.HostID) (lo, hi float64) {
	i := sort.Search(len(t.hosts), func(i int) bool { return t.hosts[i] >= h })
	if i == len(t.hosts) || t.hosts[i] != h {
		return 0, 0
	}
	return t.bounds[i], t.bounds[i+1]
}

// Hosts returns the hosts in the order in which WholeSlots stores their slots.
func (t Table) Hosts() []quetzalhook.HostID { return t.hosts }

// goldenRatio is the fractional part of the golden ratio. Its multiples modulo
// 1 are spread evenly, so that the rounding differs between successive
// upstreams.
const goldenRatio = 0.6180339887498949

// WholeSlots stores in assigned the number of slots of each host on one
// upstream: the host's fraction of slots, rounded up or down. The parameter index
// is the position of the upstream in a list that has the same order on all
// hosts. The sum of assigned is slots, or less if the table does not contain all
// hosts. The rounding differs between indexes, so that the total of a host over
// all upstreams stays near its fraction.
func (t Table) WholeSlots(slots, index int, assigned []int) {
	_, phase := math.Modf(float64(index+1) * goldenRatio)
	s := float64(slots)
	for i := range t.hosts {
		assigned[i] = int(math.Floor(t.bounds[i+1]*s+phase) - math.Floor(t.bounds[i]*s+phase))
	}
}

// KeepHeld raises the slots of each host in assigned to at least those that it
// holds for its requests in flight. To make up for the difference, slots are
// taken from the hosts with the most unused slots. The sum of assigned is then at
// most slots, unless the hosts hold more.
func KeepHeld(slots, index int, held, assigned []int) {
	sum := 0
	for i := range assigned {
		assigned[i] = max(assigned[i], held[i])
		sum += assigned[i]
	}
	for sum > slots {
		i := mostUnused(held, assigned, index)
		if i < 0 {
			return
		}
		assigned[i]--
		sum--
	}
}

// mostUnused returns the position with the most slots beyond those held, or -1
// if there is none. Ties are resolved differently for different indexes.
func mostUnused(held, assigned []int, index int) int {
	best, most := -1, 0
	for k := range assigned {
		i := (index + k) % len(assigned)
		if n := assigned[i] - held[i]; n > most {
			best, most = i, n
		}
	}
	return best
}
