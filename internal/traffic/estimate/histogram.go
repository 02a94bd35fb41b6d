package estimate

import "math/bits"

const (
	// perOctave is the number of buckets between two powers of two: bounds are
	// at most 25% apart.
	perOctave = 4
	// bucketCount covers lengths up to 2^16 tokens; longer ones count as the
	// last bucket.
	bucketCount = 16 * perOctave
	// step is the weight of one observation. Above 1 it survives log2(step)
	// halvings before it is forgotten.
	step = 4
	// maxTotal is the weight at which all counts are halved, so that about
	// the last 256 observations count. It decays faster, after 63, if all fall
	// into one bucket.
	maxTotal = 256 * step
)

// histogram counts output lengths in logarithmic buckets. Old observations
// decay by halving.
type histogram struct {
	counts [bucketCount]uint8
	total  uint16
}

// bucket returns the bucket of n tokens.
func bucket(n int) int {
	if n < 1 {
		n = 1
	}
	octave := bits.Len(uint(n)) - 1
	sub := (n << 2 >> octave) & (perOctave - 1)
	return min(octave*perOctave+sub, bucketCount-1)
}

// bound returns the smallest length of a bucket, as a real number.
func bound(i int) float64 {
	octave, sub := i/perOctave, i%perOctave
	return float64(uint(1)<<octave) * (1 + float64(sub)/perOctave)
}

// observe counts one length.
func (h *histogram) observe(n int) {
	i := bucket(n)
	if h.counts[i] > 255-step || h.total >= maxTotal {
		h.halve()
	}
	h.counts[i] += step
	h.total += step
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += uint16(h.counts[i])
	}
}

// above returns the weight of lengths over given; a bucket that contains
// given counts in proportion.
func (h *histogram) above(given int) float64 {
	if given <= 0 {
		return float64(h.total)
	}
	i := bucket(given)
	sum := h.part(i, given)
	for _, n := range h.counts[i+1:] {
		sum += float64(n)
	}
	return sum
}

// part returns the weight of bucket i over given.
func (h *histogram) part(i, given int) float64 {
	lo, hi := bound(i), bound(i+1)
	return float64(h.counts[i]) * max(hi-max(float64(given), lo), 0) / (hi - lo)
}

// quantile returns the q-quantile of the lengths over given; mass is
// above(given).
func (h *histogram) quantile(q float64, given int, mass float64) int {
	i, from := 0, 0.0
	if given > 0 {
		i, from = bucket(given), float64(given)
	}
	want := q * mass
	for ; i < bucketCount; i++ {
		n := h.part(i, given)
		if n >= want && n > 0 {
			lo := max(bound(i), from)
			return max(int(lo+(bound(i+1)-lo)*want/n), given+1)
		}
		want -= n
	}
	return max(int(bound(bucketCount)), given+1)
}
