package engine

import (
	"context"
	"sort"
	"time"
)

// stream is the generation of one answer. It waits, is in the batch, or has
// ended. Token indexes count from the start of the answer, including a resumed
// part.
type stream struct {
	priority     int
	arrival      int64
	promptTokens int // including the resumed part of the answer
	hashes       []uint64
	cachedTokens int // prompt tokens found in the prefix cache
	first        int // index of the first token to generate
	end          int // index after the last token to generate

	// The fields below are guarded by Engine.mu.
	running    bool
	prefillEnd time.Time // when decoding can start
	produced   int       // index after the last generated token
	signal     chan struct{}
}

func (s *stream) done() bool { return s.produced >= s.end }

// submit inserts a stream into the waiting list, after all streams of the same or
// a more urgent priority.
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
	e.wakeLoop()
}

// cancelStream removes an unfinished stream from the waiting list or the batch. It
// does nothing for a finished one.
func (e *Engine) cancelStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.done() {
		return
	}
	e.stats.Cancelled++
	e.waiting = remove(e.waiting, s)
	e.running = remove(e.running, s)
	e.admit(time.Now())
	e.wakeLoop()
}

func remove(list []*stream, s *stream) []*stream {
	for i, have := range list {
		if have == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// admit moves waiting streams into free slots of the batch and schedules their
// prefill, one prompt after another. The caller holds e.mu.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		hits := e.cache.insert(now, s.hashes, e.faults.EventGap)
		s.cachedTokens = hits * BlockTokens
		uncached := max(s.promptTokens-s.cachedTokens, 1)
		e.stats.PrefillTokens += int64(uncached)
		if e.prefillBusyUntil.Before(now) {
			e.prefillBusyUntil = now
		}
		e.prefillBusyUntil = e.prefillBusyUntil.Add(seconds(float64(uncached) / e.prefillRate * e.slowdown()))
		s.prefillEnd, s.running = e.prefillBusyUntil, true
		e.running = append(e.running, s)
	}
}

// stepTime returns the duration of a decode step with the current batch. The
// caller holds e.mu.
func (e *Engine) stepTime() time.Duration {
	fill := float64(max(len(e.running)-1, 0)) / float64(e.slots)
	return seconds((1 + e.batchSlope*fill) / e.tokenRate * e.slowdown())
}

// slowdown returns the factor by which Faults.Straggler extends prefill and decode
// steps, 1 without that fault. The caller holds e.mu.
func (e *Engine) slowdown() float64 { return max(e.faults.Straggler, 1) }

// step performs one decode step: it generates a token for each running stream
// whose prefill has ended, removes finished streams and admits waiting ones.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.running[:0:0]
	for _, s := range e.running {
		if !s.prefillEnd.After(now) {
			s.produced++
			e.stats.GeneratedTokens++
			e.recentTokens.add(now)
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

// run performs decode steps until ctx ends. It waits while no stream is running.
func (e *Engine) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var next time.Time
	for {
		now := time.Now()
		if e.scheduleStep(now, &next) {
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

// scheduleStep sets next to the time of the next decode step and returns false if
// no stream is running. A step that is already scheduled keeps its time when new
// streams arrive, unless no prefill ends by then.
func (e *Engine) scheduleStep(now time.Time, next *time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) == 0 {
		*next = time.Time{}
		return false
	}
	first := e.running[0].prefillEnd
	for _, s := range e.running {
		if s.prefillEnd.Before(first) {
			first = s.prefillEnd
		}
	}
	if next.After(now) && !first.After(*next) {
		return true
	}
	t := now
	if !next.IsZero() && now.Sub(*next) < e.stepTime() {
		t = *next // a late timer must not lower the token rate
	}
	*next = t.Add(e.stepTime())
	if first.After(*next) {
		*next = first
	}
	return true
}

// wakeLoop makes run determine the time of the next step again.
func (e *Engine) wakeLoop() { notify(e.wake) }

// notify sends on c without blocking. c has a buffer of one, so that a pending
// notification is kept until it is received.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// rateWindow counts the tokens of the last second, in buckets of equal length.
type rateWindow struct {
	buckets    [rateBuckets]int
	lastBucket int64
}

const rateBuckets = 10

func (r *rateWindow) advance(now time.Time) {
	slot := now.UnixNano() / int64(time.Second/rateBuckets)
	for i := max(r.lastBucket+1, slot-rateBuckets+1); i <= slot; i++ {
		r.buckets[i%rateBuckets] = 0
	}
	r.lastBucket = max(r.lastBucket, slot)
}

func (r *rateWindow) add(now time.Time) {
	r.advance(now)
	r.buckets[r.lastBucket%rateBuckets]++
}

func (r *rateWindow) rate(now time.Time) float64 {
	r.advance(now)
	n := 0
	for _, s := range r.buckets {
		n += s
	}
	return float64(n)
}
