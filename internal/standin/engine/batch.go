package engine

import (
	"context"
	"sort"
	"time"
)

// stream is one request in the engine.
type stream struct {
	priority int
	arrival  int64
	prompt   int // tokens, including the resumed part of the answer
	hashes   []uint64
	cached   int // prompt tokens found in the cache
	first    int // index of the first token to generate
	total    int // index after the last one

	// The fields below are guarded by Engine.mu.
	running  bool
	ready    time.Time // when the prefill ends
	produced int       // index after the last generated token
	signal   chan struct{}
}

func (s *stream) done() bool { return s.produced >= s.total }

// submit queues a stream.
func (e *Engine) submit(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	s.arrival = e.arrivals
	s.produced = s.first
	s.signal = make(chan struct{}, 1)
	i := sort.Search(len(e.waiting), func(i int) bool { return e.waiting[i].priority > s.priority })
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = s
	e.stats.Requests++
	e.admit(time.Now())
	e.poke()
}

// withdraw removes a stream, finished or not.
func (e *Engine) withdraw(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.done() {
		return
	}
	e.stats.Cancelled++
	e.waiting = remove(e.waiting, s)
	e.running = remove(e.running, s)
	e.admit(time.Now())
	e.poke()
}

func remove(list []*stream, s *stream) []*stream {
	for i, have := range list {
		if have == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// admit moves waiting streams into free slots and starts their prefill, one
// prompt after the other. The caller holds e.mu.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		hits := e.cache.use(now, s.hashes, e.faults.EventGap)
		s.cached = hits * BlockTokens
		fresh := max(s.prompt-s.cached, 1)
		e.stats.PrefillTokens += int64(fresh)
		if e.prefilled.Before(now) {
			e.prefilled = now
		}
		e.prefilled = e.prefilled.Add(seconds(float64(fresh) / e.prefillRate * e.slowness()))
		s.ready, s.running = e.prefilled, true
		e.running = append(e.running, s)
	}
}

// stepTime returns the time that one decode step takes with the present
// batch. The caller holds e.mu.
func (e *Engine) stepTime() time.Duration {
	fill := float64(max(len(e.running)-1, 0)) / float64(e.slots)
	return seconds((1 + e.batchSlope*fill) / e.tokenRate * e.slowness())
}

// slowness is the factor by which a straggler is slower. The caller holds
// e.mu.
func (e *Engine) slowness() float64 { return max(e.faults.Straggler, 1) }

// step generates one token for every running stream whose prefill is done.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.running[:0:0]
	for _, s := range e.running {
		if !s.ready.After(now) {
			s.produced++
			e.stats.GeneratedTokens++
			e.recent.add(now)
			notify(s.signal)
		}
		if s.done() {
			e.stats.Finished++
			continue
		}
		kept = append(kept, s)
	}
	e.running = kept
	e.admit(now)
}

// run is the loop of the engine: one decode step after the other while there
// is work.
func (e *Engine) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var next time.Time
	for {
		now := time.Now()
		if e.await(now, &next) {
			timer.Reset(next.Sub(now))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
			continue
		case <-timer.C:
		}
		if now = time.Now(); !next.IsZero() && !next.After(now) {
			e.step(now)
		}
	}
}

// await sets next to the time of the next step and returns false if there is
// no work. A step that is due keeps its time when new work arrives.
func (e *Engine) await(now time.Time, next *time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) == 0 {
		*next = time.Time{}
		return false
	}
	first := e.running[0].ready
	for _, s := range e.running {
		if s.ready.Before(first) {
			first = s.ready
		}
	}
	if next.After(now) && !first.After(*next) {
		return true
	}
	t := now
	if !next.IsZero() && now.Sub(*next) < e.stepTime() {
		t = *next // keep the pace when the timer was late
	}
	*next = t.Add(e.stepTime())
	if first.After(*next) {
		*next = first
	}
	return true
}

// poke makes the loop look at the batch again.
func (e *Engine) poke() { notify(e.wake) }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// rateWindow counts tokens over the last second in slices.
type rateWindow struct {
	slices [rateSlices]int
	last   int64
}

const rateSlices = 10

func (r *rateWindow) advance(now time.Time) {
	slot := now.UnixNano() / int64(time.Second/rateSlices)
	for i := max(r.last+1, slot-rateSlices+1); i <= slot; i++ {
		r.slices[i%rateSlices] = 0
	}
	r.last = max(r.last, slot)
}

func (r *rateWindow) add(now time.Time) {
	r.advance(now)
	r.slices[r.last%rateSlices]++
}

func (r *rateWindow) rate(now time.Time) float64 {
	r.advance(now)
	n := 0
	for _, s := range r.slices {
		n += s
	}
	return float64(n)
}
