package placement

const (
	// maxPrefixes is the largest number of prefixes in the index; at about 100
	// bytes an entry it takes 6 MB.
	maxPrefixes = 1 << 16
	// maxHolders bounds the upstreams listed for one prefix. A prefix on more
	// of them is treated as present everywhere.
	maxHolders = 8
	// gapCachedProbability is the probability that a prefix reported before a gap
	// in the cache events is still cached.
	gapCachedProbability = 0.5
)

// holder is an upstream that has a prefix cached. Its generation is that of the
// upstream when the prefix was last added.
type holder struct {
	upstream   *upstream
	generation uint8
}

// holders lists the upstreams that have one prefix cached.
type holders struct {
	list     [maxHolders]holder
	n        int
	overflow int // holders that did not fit in the list (estimate, at most maxHolders)
}

// prefixIndex maps prefix hashes to upstreams. When it is full, each new entry
// replaces the oldest one.
type prefixIndex struct {
	entries map[uint64]*holders
	order   []uint64 // ring of hashes in order of insertion
	next    int
	size    int
}

func newPrefixIndex(size int) *prefixIndex {
	return &prefixIndex{entries: make(map[uint64]*holders), size: size}
}

// reset removes the holders that are not in upstreams any more.
func (x *prefixIndex) reset(upstreams []*upstream) {
	alive := make(map[*upstream]bool, len(upstreams))
	for _, u := range upstreams {
		alive[u] = true
	}
	for _, h := range x.entries {
		for i := 0; i < h.n; {
			if alive[h.list[i].upstream] {
				i++
				continue
			}
			h.drop(i)
		}
	}
}

func (h *holders) drop(i int) {
	h.n--
	h.list[i] = h.list[h.n]
	h.list[h.n] = holder{}
}

func (h *holders) find(u *upstream) int {
	for i := range h.n {
		if h.list[i].upstream == u {
			return i
		}
	}
	return -1
}

func (x *prefixIndex) add(hash uint64, u *upstream) {
	h := x.entries[hash]
	if h == nil {
		h = &holders{}
		x.insert(hash, h)
	}
	if i := h.find(u); i >= 0 {
		h.list[i].generation = u.generation
		return
	}
	if h.n == maxHolders {
		h.overflow = min(h.overflow+1, maxHolders)
		return
	}
	h.list[h.n] = holder{upstream: u, generation: u.generation}
	h.n++
}

func (x *prefixIndex) insert(hash uint64, h *holders) {
	if len(x.order) < x.size {
		x.order = append(x.order, hash)
	} else {
		delete(x.entries, x.order[x.next])
		x.order[x.next] = hash
		x.next = (x.next + 1) % x.size
	}
	x.entries[hash] = h
}

// remove records that u does not hold a prefix any more.
func (x *prefixIndex) remove(hash uint64, u *upstream) {
	h := x.entries[hash]
	if h == nil {
		return
	}
	if i := h.find(u); i >= 0 {
		h.drop(i)
	} else if h.overflow > 0 {
		h.overflow--
	}
}

// match is the expected number of prompt tokens cached on one upstream.
type match struct {
	upstream *upstream
	tokens   float64
}

// matches lists how much of one prompt is cached on each known holder.
type matches struct {
	list [maxHolders]match
	n    int
	// commonTokens is the number of prompt tokens that are assumed to be cached
	// on every upstream.
	commonTokens float64
}

// lookup returns the expected number of prompt tokens cached on each known
// holder. The prefixes are ordered shortest first; each is step tokens longer
// than the one before.
func (x *prefixIndex) lookup(prefixes []uint64, step int) matches {
	var found matches
	for i := len(prefixes) - 1; i >= 0; i-- {
		h := x.entries[prefixes[i]]
		if h == nil {
			continue
		}
		tokens := float64((i + 1) * step)
		if h.overflow > 0 {
			found.commonTokens = max(found.commonTokens, tokens)
		}
		for _, o := range h.list[:h.n] {
			found.add(o, tokens)
		}
	}
	return found
}

func (f *matches) add(o holder, tokens float64) {
	if o.generation != o.upstream.generation {
		tokens *= gapCachedProbability
	}
	for i := range f.n {
		if f.list[i].upstream == o.upstream {
			f.list[i].tokens = max(f.list[i].tokens, tokens)
			return
		}
	}
	if f.n < maxHolders {
		f.list[f.n] = match{upstream: o.upstream, tokens: tokens}
		f.n++
	}
}

// tokensOn returns the number of tokens cached on u.
func (f *matches) tokensOn(u *upstream) float64 {
	for i := range f.n {
		if f.list[i].upstream == u {
			return max(f.list[i].tokens, f.commonTokens)
		}
	}
	return f.commonTokens
}
