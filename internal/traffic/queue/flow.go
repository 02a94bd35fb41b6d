package queue

import "quetzalhook"

// flow is the waiting work of one customer in one class.
type flow struct {
	customer quetzalhook.CustomerID
	class    *class
	weight   float64
	virtual  float64 // work served per weight; the smallest is served next
	waiting  list
	running  int
	position int // in the class's heap, -1 outside
	parked   bool
}

// flowHeap orders flows by virtual time, ties by customer.
type flowHeap []*flow

func (h flowHeap) less(i, j int) bool {
	if h[i].virtual != h[j].virtual {
		return h[i].virtual < h[j].virtual
	}
	return h[i].customer < h[j].customer
}

func (h flowHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

func (h *flowHeap) push(f *flow) {
	f.position = len(*h)
	*h = append(*h, f)
	h.up(f.position)
}

func (h *flowHeap) remove(f *flow) {
	i, last := f.position, len(*h)-1
	if i != last {
		h.swap(i, last)
	}
	(*h)[last] = nil
	*h = (*h)[:last]
	f.position = -1
	if i != last {
		h.fix(i)
	}
}

func (h *flowHeap) fix(i int) {
	h.down(i)
	h.up(i)
}

func (h flowHeap) up(i int) {
	for i > 0 && h.less(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h flowHeap) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h); c++ {
			if h.less(c, least) {
				least = c
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
