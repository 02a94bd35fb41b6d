package split

import (
	"slices"
	"time"

	"quetzalhook"
)

const (
	// ActivationDelay is the time after a split is written from which on streams begin
	// under it. The hosts learn of it meanwhile, so that none takes up a stream that began
	// under a split which it does not know. The streams of a build that it drops begin under
	// it at once: they can neither begin nor go on at that build.
	ActivationDelay = 2 * time.Second
	// ConfirmTime is how long a host takes up streams after its splits were known to be the
	// newest. The rest of ActivationDelay is the time in which the hosts announce a split to
	// each other, and a short pause of the process that delays heartbeats.
	ConfirmTime = ActivationDelay - 750*time.Millisecond
	// LearnTime is the time after which a host that has not learnt whether its splits are the
	// newest begins no streams.
	LearnTime = 5 * time.Second
	// propagationTime is the time for which a host may still begin streams under a split
	// after another one was written.
	propagationTime = ActivationDelay + LearnTime
	// minLife is the shortest life of a stream that is assumed. Callers may take a stream up
	// after the timeout of its route, and the timeout may have been longer; they wait for
	// less than this.
	minLife = 15 * time.Second
	// MaxLife is the longest life of a stream for which superseded splits are kept.
	MaxLife = 2 * time.Minute
	// maxGain is the number of parts that all builds together may gain over the kept splits,
	// as far as maxExcess allows it. The requests that move have no certain origin.
	maxGain = parts * 3 / 8
	// maxExcess bounds the parts that another build takes instead, as a fraction of its own.
	maxExcess = 1.0 / 3
	// maxSplits is the maximum number of splits of a History.
	maxSplits = 32
)

// kept is a split with the time at which it was superseded, on the clock of this host. It
// may be later than the true one, never earlier.
type kept struct {
	split      Split
	superseded time.Time // zero for the newest split
}

// History holds the splits of a service, numbered by epochs. It is immutable. The zero
// value is that of a service whose splits are not known.
type History struct {
	epoch  int64
	splits []kept // the newest first
}

// Epoch returns the number of the newest split, or 0 if there is none.
func (h History) Epoch() int64 { return h.epoch }

// Newest returns the newest split.
func (h History) Newest() Split {
	if len(h.splits) == 0 {
		return Split{}
	}
	return h.splits[0].split
}

// HasSuperseded reports whether the history holds superseded splits.
func (h History) HasSuperseded() bool { return len(h.splits) > 1 }

// Assign returns the build at which the stream of a request begins. While the newest split
// is pending, only the streams of a build that it drops begin elsewhere: the hosts that do
// not know the split yet take up the others.
func (h History) Assign(now time.Time, id quetzalhook.RequestID) quetzalhook.Build {
	newest := h.Newest()
	for i := h.firstInForce(now); i > 0; i-- {
		if b := h.splits[i].split.Assign(id); newest.partsOf(b) > 0 {
			return b
		}
	}
	return newest.Assign(id)
}

// firstInForce returns the index of the newest split that was stored at least
// ActivationDelay ago, or else of the oldest split.
func (h History) firstInForce(now time.Time) int {
	for i := 1; i < len(h.splits); i++ {
		if now.Sub(h.splits[i].superseded) >= ActivationDelay {
			return i - 1
		}
	}
	return max(len(h.splits)-1, 0)
}

// isPending reports whether the newest split is not in force yet.
func (h History) isPending(now time.Time) bool { return h.firstInForce(now) > 0 }

// Origin returns the build at which the stream of a request began, if it began at most life
// ago. It returns false if that is not certain. An empty ID stands for any request.
func (h History) Origin(now time.Time, id quetzalhook.RequestID, life time.Duration) (quetzalhook.Build, bool) {
	var origin quetzalhook.Build
	for i, k := range h.splits {
		if i > 0 && now.Sub(k.superseded) > max(life, minLife)+propagationTime {
			continue
		}
		if _, only := k.split.Only(); id == "" && !only || k.split.IsEmpty() {
			return "", false
		}
		b := k.split.Assign(id)
		if origin == "" {
			origin = b
		}
		if b != origin {
			return "", false
		}
	}
	return origin, origin != ""
}

// Expire returns the history without the splits under which no stream of at most the given
// life can have begun.
func (h History) Expire(now time.Time, life time.Duration) History {
	keep := min(max(life, minLife), MaxLife) + propagationTime
	return History{epoch: h.epoch, splits: slices.DeleteFunc(slices.Clone(h.splits), func(k kept) bool {
		return !k.superseded.IsZero() && now.Sub(k.superseded) > keep
	})}
}

// Next returns the history with a new split if the given one is to replace the newest. A
// change of the shares, or a further build, waits until the newest split is in force and
// there is room; the loss of a build does not wait. A build that gains much gets only a part
// of it while superseded splits are kept.
func (h History) Next(now time.Time, s Split) (History, bool) {
	newest := h.Newest()
	s = h.limit(s)
	if s.IsEmpty() || s.Equal(newest) || !newest.IsEmpty() && !s.isFar(newest) {
		return h, false
	}
	if !s.lacks(newest) && (h.isPending(now) || len(h.splits) >= maxSplits) {
		return h, false
	}
	next := History{epoch: h.epoch + 1, splits: []kept{{split: s}}}
	return next.with(now, h), true
}

// Begin returns the first history of a service. If several builds are listed, streams may
// have begun before at builds that are not known: the history then has an empty split, under
// which no origin is certain.
func Begin(now time.Time, listed, s Split) History {
	h := History{epoch: 1, splits: []kept{{split: s}}}
	if _, only := listed.Only(); only || listed.IsEmpty() {
		return h
	}
	return h.with(now, History{splits: []kept{{}}})
}

// limit returns a split in which all builds together gain at most maxGain parts, if the
// others can take the rest.
func (h History) limit(s Split) Split {
	if len(h.splits) == 0 {
		return s
	}
	gained := 0
	for _, w := range s.builds {
		gained += max(w.parts-h.leastParts(w.build), 0)
	}
	if gained <= maxGain {
		return s
	}
	limited, rest := slices.Clone(s.builds), 0
	for i, w := range s.builds {
		if gain := w.parts - h.leastParts(w.build); gain > 0 {
			over := gain - max(gain*maxGain/gained, 1)
			limited[i].parts -= over
			rest += over
		}
	}
	for i, w := range s.builds {
		if limited[i].parts == w.parts {
			n := min(rest, int(float64(w.parts)*maxExcess))
			limited[i].parts += n
			rest -= n
		}
	}
	for i, w := range s.builds {
		n := min(rest, max(w.parts-limited[i].parts, 0))
		limited[i].parts += n
		rest -= n
	}
	return Split{builds: limited}
}

// leastParts returns the smallest number of parts of a build in the kept splits.
func (h History) leastParts(b quetzalhook.Build) int {
	least := parts
	for _, k := range h.splits {
		if !k.split.IsEmpty() {
			least = min(least, k.split.partsOf(b))
		}
	}
	return least
}

// Merge returns the history with the higher epoch, together with the splits of the other
// that it does not have. These occur if the store has lost changes.
func (h History) Merge(now time.Time, other History) History {
	if h.precedes(other) {
		h, other = other, h
	}
	if h.epoch == other.epoch && h.Newest().Equal(other.Newest()) {
		return h.adjust(other)
	}
	return h.with(now, other)
}

// precedes reports whether another history is newer. Histories of the same epoch are
// ordered, too, so that all hosts take the same one.
func (h History) precedes(other History) bool {
	if h.epoch != other.epoch {
		return h.epoch < other.epoch
	}
	return h.Newest().String() < other.Newest().String()
}

// with returns the history with the splits of an earlier one that it does not have.
func (h History) with(now time.Time, earlier History) History {
	merged := History{epoch: h.epoch, splits: slices.Clone(h.splits)}
	for _, k := range earlier.splits {
		if k.superseded.IsZero() {
			k.superseded = now
		}
		if !merged.has(k.split) {
			merged.splits = append(merged.splits, k)
		}
	}
	return merged.sorted()
}

// adjust returns the history with the splits and the times of another one of the same
// epoch. No known time is too early, so that the earliest one is the best.
func (h History) adjust(other History) History {
	merged := History{epoch: h.epoch, splits: slices.Clone(h.splits)}
	for _, k := range other.splits {
		i := slices.IndexFunc(merged.splits, func(m kept) bool { return m.split.Equal(k.split) })
		if i < 0 {
			merged.splits = append(merged.splits, k)
		} else if k.superseded.Before(merged.splits[i].superseded) {
			merged.splits[i].superseded = k.superseded
		}
	}
	return merged.sorted()
}

func (h History) has(s Split) bool {
	return slices.ContainsFunc(h.splits, func(k kept) bool { return k.split.Equal(s) })
}

// sorted returns the history with the superseded splits in order, at most maxSplits.
func (h History) sorted() History {
	if len(h.splits) > 1 {
		slices.SortStableFunc(h.splits[1:], func(x, y kept) int { return y.superseded.Compare(x.superseded) })
	}
	h.splits = h.splits[:min(len(h.splits), maxSplits)]
	return h
}
