// Package estimate predicts the output length of requests.
//
// An Estimator keeps decaying histograms of output lengths: one for each customer
// and class, one for each class and one for all requests. Quantile uses the most
// specific histogram with enough observations. For a request that has received
// tokens, only lengths above the number received so far count.
package estimate

import (
	"quetzalhook"
)

const (
	// DefaultCapacity is the largest number of histograms by customer and class:
	// 17,000 customers times 6 classes. At about 160 bytes each they take 16 MB
	// when all are in use; the least recently used is evicted first.
	DefaultCapacity = 17000 * 6
	// minSamples is how many observations longer than the tokens received so far
	// a histogram needs in order to be used; older observations count less.
	minSamples = 8
	// priorTokens is the prediction when no histogram has enough observations.
	priorTokens = 256
	// maxClasses bounds the histograms by class. Observations of further classes
	// are added to the last one; their predictions use that of all requests.
	maxClasses = 256
)

type key struct {
	customer quetzalhook.CustomerID
	class    uint16
}

// entry is the histogram of one customer and class, an element of an LRU list.
type entry struct {
	key        key
	prev, next int32
	hist       histogram
}

// Estimator predicts output lengths.
type Estimator struct {
	capacity int
	entries  []entry // entries[0] is the sentinel of the LRU list
	index    map[key]int32
	classes  map[quetzalhook.ClassName]uint16
	byClass  []histogram
	global   histogram
}

// Option configures an Estimator.
type Option func(*Estimator)

// WithCapacity sets the largest number of histograms by customer and class.
func WithCapacity(n int) Option {
	return func(e *Estimator) { e.capacity = max(n, 1) }
}

// New returns an estimator without observations.
func New(opts ...Option) *Estimator {
	e := &Estimator{
		capacity: DefaultCapacity,
		entries:  make([]entry, 1),
		index:    make(map[key]int32),
		classes:  make(map[quetzalhook.ClassName]uint16),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Observe records the output length in tokens of a finished request.
func (e *Estimator) Observe(customer quetzalhook.CustomerID, class quetzalhook.ClassName, tokens int) {
	id := e.class(class)
	e.global.observe(tokens)
	e.byClass[id].observe(tokens)
	e.entry(key{customer, id}).hist.observe(tokens)
}

// Quantile returns the q-quantile of the total output length in tokens of an
// unfinished request that has received the given number of tokens. The result is
// greater than received.
func (e *Estimator) Quantile(customer quetzalhook.CustomerID, class quetzalhook.ClassName, q float64, received int) int {
	if id, ok := e.classes[class]; ok {
		if i, ok := e.index[key{customer, id}]; ok {
			if n, ok := e.entries[i].hist.conditionalQuantile(q, received); ok {
				return n
			}
		}
		if n, ok := e.byClass[id].conditionalQuantile(q, received); ok {
			return n
		}
	}
	if n, ok := e.global.conditionalQuantile(q, received); ok {
		return n
	}
	// Without enough longer observations, the remaining output is assumed to
	// be half of the received one.
	return max(priorTokens, received+received/2+1)
}

// conditionalQuantile returns the quantile among lengths above received, or false
// if there are too few observations of them.
func (h *histogram) conditionalQuantile(q float64, received int) (int, bool) {
	weight := h.weightAbove(received)
	if weight < minSamples*sampleWeight {
		return 0, false
	}
	return h.quantile(q, received, weight), true
}

// Len returns the number of histograms by customer and class.
func (e *Estimator) Len() int { return len(e.index) }

func (e *Estimator) class(name quetzalhook.ClassName) uint16 {
	id, ok := e.classes[name]
	if !ok {
		if len(e.byClass) == maxClasses {
			return maxClasses - 1
		}
		id = uint16(len(e.byClass))
		e.classes[name] = id
		e.byClass = append(e.byClass, histogram{})
	}
	return id
}

// entry returns the entry of k and marks it as most recently used. When the
// capacity is reached, a new entry replaces the least recently used one.
func (e *Estimator) entry(k key) *entry {
	i, ok := e.index[k]
	switch {
	case ok:
		e.unlink(i)
	case len(e.entries) <= e.capacity:
		i = int32(len(e.entries))
		e.entries = append(e.entries, entry{key: k})
		e.index[k] = i
	default:
		i = e.entries[0].prev
		e.unlink(i)
		delete(e.index, e.entries[i].key)
		e.entries[i] = entry{key: k}
		e.index[k] = i
	}
	e.link(i)
	return &e.entries[i]
}

func (e *Estimator) unlink(i int32) {
	c := &e.entries[i]
	e.entries[c.prev].next = c.next
	e.entries[c.next].prev = c.prev
}

func (e *Estimator) link(i int32) {
	head := &e.entries[0]
	c := &e.entries[i]
	c.prev, c.next = 0, head.next
	e.entries[head.next].prev = i
	head.next = i
}
