package balance

import (
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/speed"
)

// call is an open call, as far as the speed of its upstream is learnt from it.
type call struct {
	upstream   quetzalhook.Upstream
	at         time.Time
	load       float64 // on the upstream for each of its slots, without this call
	isAnswered bool
}

// service returns the estimate for the calls of a service.
func (b *Balancer) service(name string) *speed.Service {
	s := b.speeds[name]
	if s == nil {
		s = speed.NewService()
		b.speeds[name] = s
	}
	return s
}

// instance returns the upstream of a call, or nil if it is gone.
func (b *Balancer) instance(u quetzalhook.Upstream) *upstream {
	if own := b.upstreams[u.ID]; own != nil && own.info.Started == u.Started && own.info.Address == u.Address {
		return own
	}
	return nil
}

// observe records the time until the head of an answer. The rest takes as long as the
// caller reads.
func (b *Balancer) observe(now time.Time, c *call, v quetzalhook.Verdict) {
	if u := b.instance(c.upstream); u != nil && !c.isAnswered && !v.NotRun && !v.Failed && !v.Moved {
		u.speed.ObserveCall(now, c.load, milliseconds(now.Sub(c.at)))
	}
	c.isAnswered = true
}

// observeEnd records a call that ended without an answer. One that was not sent, or that
// this host has lost with all its paths, tells nothing.
func (b *Balancer) observeEnd(now time.Time, c *call, e quetzalhook.AttemptEnd) {
	if u := b.instance(c.upstream); u != nil && !c.isAnswered && !e.Unsent && !e.NoPath && !e.Verdict.NotRun && e.End != quetzalhook.EndFinished {
		u.speed.ObserveUnanswered(now, c.load, milliseconds(now.Sub(c.at)))
	}
	c.isAnswered = true
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Dispatcher implements speed.Calls.
var _ speed.Calls = (*Dispatcher)(nil)

// TakeSpeeds implements speed.Calls.
func (d *Dispatcher) TakeSpeeds() []speed.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []speed.Report
	for _, u := range d.balancer.upstreams {
		if len(list) == speed.MaxTold {
			break // the rest stays pending
		}
		if ratio, weight, ok := u.speed.Take(); ok {
			list = append(list, speed.NewReport(u.info, ratio, weight))
		}
	}
	return list
}

// ReturnSpeeds implements speed.Calls.
func (d *Dispatcher) ReturnSpeeds(list []speed.Report) {
	d.eachReported(list, func(_ time.Time, u *upstream, r speed.Report) { u.speed.Return(r) })
}

// AddSpeeds implements speed.Calls.
func (d *Dispatcher) AddSpeeds(list []speed.Report) {
	d.eachReported(list, func(now time.Time, u *upstream, r speed.Report) { u.speed.Add(now, r) })
}

// Speeds implements speed.Calls.
func (d *Dispatcher) Speeds() []speed.Report {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.speedsAt.IsZero() && now.Sub(d.speedsAt) < speedsInterval {
		return d.speeds
	}
	var list []speed.Report
	for _, u := range d.balancer.upstreams {
		if ratio, weight, ok := u.speed.Report(now); ok {
			list = append(list, speed.NewReport(u.info, ratio, weight))
		}
	}
	d.speeds, d.speedsAt = speed.Largest(list), now
	return d.speeds
}

// speedsInterval is how long a list of Speeds is used, since a leader returns it to
// every host.
const speedsInterval = 500 * time.Millisecond

// SetSpeeds implements speed.Calls.
func (d *Dispatcher) SetSpeeds(list []speed.Report) {
	d.eachReported(list, func(now time.Time, u *upstream, r speed.Report) { u.speed.Set(now, r) })
}

func (d *Dispatcher) eachReported(list []speed.Report, do func(time.Time, *upstream, speed.Report)) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range list {
		if u := d.balancer.upstreams[r.Upstream]; u != nil && u.info.Started == r.Started {
			do(now, u, r)
		}
	}
}
