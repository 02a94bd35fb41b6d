// Package estimate predicts the output length of requests.
//
// An Estimator keeps a decaying histogram of output lengths for each customer
// and class, for each class and for all requests, and answers with quantiles.
// A histogram with too few observations falls back to the next wider one.
// While tokens arrive, the quantile is taken among the lengths above the
// number received so far.
package estimate

import (
	"quetzalhook"
)

const (
	// DefaultCapacity is the number of histograms by customer and class: 17,000
	// customers times 6 classes. At about 160 bytes each they take 16 MB when
	// all are in use; the least recently used is dropped first.
	DefaultCapacity = 17000 * 6
	// minSamples is the number of observations above the tokens received so
	// far that a histogram needs to be used.
	minSamples = 8
	// priorTokens is the prediction without any observation.
	priorTokens = 256
	// maxClasses bounds the histograms by class; further classes share one.
	maxClasses = 256
)

type key struct {
	customer quetzalhook.CustomerID
	class    uint16
}

// cell is the histogram of one customer and class in a list by last use.
type cell struct {
	key        key
	prev, next int32
	hist       histogram
}

// Estimator predicts output lengths.
type Estimator struct {
	capacity int
	cells    []cell // cells[0] is the head of the list
	index    map[key]int32
	classes  map[quetzalhook.ClassName]uint16
	byClass  []histogram
	global   histogram
}

// Option configures an Estimator.
type Option func(*Estimator)

// WithCapacity bounds the number of histograms by customer and class.
func WithCapacity(n int) Option {
	return func(e *Estimator) { e.capacity = max(n, 1) }
}

// New returns an estimator without observations.
func New(opts ...Option) *Estimator {
	e := &Estimator{
		capacity: DefaultCapacity,
		cells:    make([]cell, 1),
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
	e.cell(key{customer, id}).hist.observe(tokens)
}

// Quantile returns the q-quantile of the whole output in tokens of a request
// that has received given tokens and is not finished. The result is above
// given.
func (e *Estimator) Quantile(customer quetzalhook.CustomerID, class quetzalhook.ClassName, q float64, given int) int {
	if id, ok := e.classes[class]; ok {
		if i, ok := e.index[key{customer, id}]; ok {
			if n, ok := e.cells[i].hist.conditional(q, given); ok {
				return n
			}
		}
		if n, ok := e.byClass[id].conditional(q, given); ok {
			return n
		}
	}
	if n, ok := e.global.conditional(q, given); ok {
		return n
	}
	// Beyond everything observed the rest is taken to be half of what came.
	return max(priorTokens, given+given/2+1)
}

// conditional returns the quantile among lengths over given, or false if
// there are too few.
func (h *histogram) conditional(q float64, given int) (int, bool) {
	mass := h.above(given)
	if mass < minSamples*step {
		return 0, false
	}
	return h.quantile(q, given, mass), true
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

// cell returns the cell of k, the most recently used from now on. It reuses
// the least recently used one when all are taken.
func (e *Estimator) cell(k key) *cell {
	i, ok := e.index[k]
	switch {
	case ok:
		e.unlink(i)
	case len(e.cells) <= e.capacity:
		i = int32(len(e.cells))
		e.cells = append(e.cells, cell{key: k})
		e.index[k] = i
	default:
		i = e.cells[0].prev
		e.unlink(i)
		delete(e.index, e.cells[i].key)
		e.cells[i] = cell{key: k}
		e.index[k] = i
	}
	e.link(i)
	return &e.cells[i]
}

func (e *Estimator) unlink(i int32) {
	c := &e.cells[i]
	e.cells[c.prev].next = c.next
	e.cells[c.next].prev = c.prev
}

func (e *Estimator) link(i int32) {
	head := &e.cells[0]
	c := &e.cells[i]
	c.prev, c.next = 0, head.next
	e.cells[head.next].prev = i
	head.next = i
}
