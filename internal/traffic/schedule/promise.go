package schedule

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhook"
)

// promises are the requests that were refused and may come back at a given time.
type promises struct {
	due   map[uint64]time.Time
	order []promise // in the order in which they were made
}

type promise struct {
	key uint64
	due time.Time
}

const (
	// maxPromises bounds the memory of promises to some 500 KB. Further refused
	// requests are promised nothing.
	maxPromises = 8192
	// promiseLife is how long after its time a promise is kept.
	promiseLife = 2 * time.Second
	// promiseTolerance is how much too early a caller may come back. Its clock and
	// the last digit of Retry-After allow for it.
	promiseTolerance = 20 * time.Millisecond
)

func newPromises() *promises { return &promises{due: make(map[uint64]time.Time)} }

// promiseKey identifies a request that comes back. Each attempt has its own ID, so
// the customer, the class and the prompt tell it apart from others. Copies of one
// request that are sent at once have one promise between them.
func promiseKey(q quetzalhook.Request) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(q.PromptTokens))
	for _, text := range []string{string(q.Customer), string(q.Class.Name()), q.Service, string(q.Model)} {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	key := d.Sum64()
	for _, p := range q.Parts {
		key = key*0x9E3779B97F4A7C15 + p.Hash
	}
	return key
}

// add records a promise, unless there are too many or the request has one.
func (p *promises) add(key uint64, due time.Time) bool {
	if _, ok := p.due[key]; ok || len(p.order) >= maxPromises {
		return false
	}
	p.due[key] = due
	p.order = append(p.order, promise{key: key, due: due})
	return true
}

// take reports whether a request was promised room now, and removes the promise.
func (p *promises) take(now time.Time, key uint64) bool {
	due, ok := p.due[key]
	if !ok || now.Add(promiseTolerance).Before(due) || now.Sub(due) > promiseLife {
		return false
	}
	delete(p.due, key)
	return true
}

// expire deletes old promises. They are kept in the order in which they were made,
// which delays the end of some by at most maxRetryAfter.
func (p *promises) expire(now time.Time) {
	n := 0
	for n < len(p.order) && now.Sub(p.order[n].due) > promiseLife {
		if due, ok := p.due[p.order[n].key]; ok && due.Equal(p.order[n].due) {
			delete(p.due, p.order[n].key)
		}
		n++
	}
	if n > 0 {
		p.order = append(p.order[:0], p.order[n:]...)
	}
}
