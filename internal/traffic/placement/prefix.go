package placement

const (
	// maxPrefixes bounds the index; at about 100 bytes an entry it takes 6 MB.
	maxPrefixes = 1 << 16
	// maxHolders bounds the upstreams listed for one prefix. A prefix on more
	// of them is treated as present everywhere.
	maxHolders = 8
	// gapTrust is the probability that a prefix learned before a gap in the
	// cache events is still cached.
	gapTrust = 0.5
)

// holder is an upstream that holds a prefix, as of a generation of its
// events.
type holder struct {
	upstream   *upstream
	generation uint8
}

// holders lists the upstreams with one prefix.
type holders struct {
	list [maxHolders]holder
	n    int
	more int // holders beyond the list
}

// prefixIndex maps prefix hashes to upstreams. The oldest entries are
// dropped when it is full.
type prefixIndex struct {
	entries map[uint64]*holders
	order   []uint64 // ring of hashes in order of insertion
	next    int
	size    int
}

func newPrefixIndex(size int) *prefixIndex {
	return &prefixIndex{entries: make(map[uint64]*holders), size: size}
}

// reset drops the holders that are not in upstreams any more.
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
		h.more = min(h.more+1, maxHolders)
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

// remove forgets that u holds a prefix.
func (x *prefixIndex) remove(hash uint64, u *upstream) {
	h := x.entries[hash]
	if h == nil {
		return
	}
	if i := h.find(u); i >= 0 {
		h.drop(i)
	} else if h.more > 0 {
		h.more--
	}
}

// match is the cached length of a prompt on one upstream, in tokens, counted
// by probability.
type match struct {
	upstream *upstream
	tokens   float64
}

// matches holds what the index knows about one prompt.
type matches struct {
	list [maxHolders]match
	n    int
	// common is the length that is cached on most upstreams.
	common float64
}

// lookup returns the longest cached prefix on each known holder; prefixes
// are ordered shortest first, each step tokens longer than the last.
func (x *prefixIndex) lookup(prefixes []uint64, step int) matches {
	var found matches
	for i := len(prefixes) - 1; i >= 0; i-- {
		h := x.entries[prefixes[i]]
		if h == nil {
			continue
		}
		tokens := float64((i + 1) * step)
		if h.more > 0 {
			found.common = max(found.common, tokens)
		}
		for _, o := range h.list[:h.n] {
			found.add(o, tokens)
		}
	}
	return found
}

func (f *matches) add(o holder, tokens float64) {
	if o.generation != o.upstream.generation {
		tokens *= gapTrust
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

// on returns the tokens cached on u.
func (f *matches) on(u *upstream) float64 {
	for i := range f.n {
		if f.list[i].upstream == u {
			return max(f.list[i].tokens, f.common)
		}
	}
	return f.common
}
