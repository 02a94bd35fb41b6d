package estimate

import "math/bits"

const (
	// bucketsPerOctave is the number of buckets between two powers of two:
	// bucket bounds are at most 25% apart.
	bucketsPerOctave = 4
	// bucketCount covers lengths up to 2^16 tokens; longer ones count in the
	// last bucket.
	bucketCount = 16 * bucketsPerOctave
	// sampleWeight is the weight of one observation. A weight of 1 would be
	// lost at the first halving; a larger one survives log2(sampleWeight)
	// halvings.
	sampleWeight = 4
	// maxTotalWeight is the weight at which all counts are halved, so that about
	// the last 256 observations count. If all fall into one bucket, its 8-bit
	// count is halved after 63 observations.
	maxTotalWeight = 256 * sampleWeight
)

// histogram counts output lengths in logarithmic buckets. All counts are halved
// when the total or a bucket is full, so that old observations lose weight.
type histogram struct {
	counts [bucketCount]uint8
	total  uint16
}

// bucket returns the index of the bucket for n tokens.
func bucket(n int) int {
	if n < 1 {
		n = 1
	}
	octave := bits.Len(uint(n)) - 1
	sub := (n << 2 >> octave) & (bucketsPerOctave - 1)
	return min(octave*bucketsPerOctave+sub, bucketCount-1)
}

// lowerBound returns the lower bound of a bucket.
func lowerBound(i int) float64 {
	octave, sub := i/bucketsPerOctave, i%bucketsPerOctave
	return float64(uint(1)<<octave) * (1 + float64(sub)/bucketsPerOctave)
}

// observe adds one length.
func (h *histogram) observe(n int) {
	i := bucket(n)
	if h.counts[i] > 255-sampleWeight || h.total >= maxTotalWeight {
		h.halve()
	}
	h.counts[i] += sampleWeight
	h.total += sampleWeight
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += uint16(h.counts[i])
	}
}

// weightAbove returns the weight of lengths above received; the bucket that
// contains received counts in proportion.
func (h *histogram) weightAbove(received int) float64 {
	if received <= 0 {
		return float64(h.total)
	}
	i := bucket(received)
	sum := h.bucketWeightAbove(i, received)
	for _, n := range h.counts[i+1:] {
		sum += float64(n)
	}
	return sum
}

// bucketWeightAbove returns the weight of the lengths above received in bucket i.
func (h *histogram) bucketWeightAbove(i, received int) float64 {
	lo, hi := lowerBound(i), lowerBound(i+1)
	return float64(h.counts[i]) * max(hi-max(float64(received), lo), 0) / (hi - lo)
}

// quantile returns the q-quantile of the lengths above received; weight is
// weightAbove(received).
func (h *histogram) quantile(q float64, received int, weight float64) int {
	i, from := 0, 0.0
	if received > 0 {
		i, from = bucket(received), float64(received)
	}
	want := q * weight
	for ; i < bucketCount; i++ {
		n := h.bucketWeightAbove(i, received)
		if n >= want && n > 0 {
			lo := max(lowerBound(i), from)
			return max(int(lo+(lowerBound(i+1)-lo)*want/n), received+1)
		}
		want -= n
	}
	return max(int(lowerBound(bucketCount)), received+1)
}
