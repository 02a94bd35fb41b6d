package soak

import (
	"slices"
	"time"

	"quetzalhook"
)

// CheckPartition fails if first tries at hosts that are partitioned from all upstreams are
// served less than minPartitionRatio times as often as those at the others, and more than
// partitionSlack and one in partitionShare of all fail there. It counts those that are sent
// from stableWindow after the beginning of a partition until its end.
const CheckPartition Check = "partitioned-hosts"

const (
	minPartitionRatio = 2.0 / 3
	partitionSlack    = 10
	partitionShare    = 50
)

// span is a span of time; its end is zero while it lasts.
type span struct{ begin, end time.Time }

// hasEnded reports whether the span ended at t or before.
func (s span) hasEnded(t time.Time) bool { return !s.end.IsZero() && !s.end.After(t) }

// hostSpan is the time in which a host was partitioned from all upstreams.
type hostSpan struct {
	span
	host quetzalhook.HostID
}

// firstTry is a request that its caller had not sent before.
type firstTry struct {
	sent   time.Time
	host   quetzalhook.HostID
	served bool
}

// partitionRecord holds the partitions of hosts from all upstreams, and first tries at
// hosts without another disturbance.
type partitionRecord struct {
	spans   []hostSpan // by their beginning
	tries   []firstTry
	counted []PartitionCounts
}

// PartitionCounts counts the first tries at the partitioned hosts and at the others during
// partitions that overlap.
type PartitionCounts struct {
	Begin, End           time.Time
	Hosts                []quetzalhook.HostID // partitioned ones
	Sent, Served         int                  // at these
	Others, OthersServed int
}

// overlaps reports whether the host was partitioned at any time between two times.
func (p *partitionRecord) overlaps(host quetzalhook.HostID, from, to time.Time) bool {
	return slices.ContainsFunc(p.spans, func(s hostSpan) bool {
		return s.host == host && s.begin.Before(to) && !s.hasEnded(from)
	})
}

// lasts reports whether a partition that began stableWindow before t or earlier lasts at t,
// of the given host, or of any if it is empty.
func (p *partitionRecord) lasts(host quetzalhook.HostID, t time.Time) bool {
	return slices.ContainsFunc(p.spans, func(s hostSpan) bool {
		return (host == "" || s.host == host) && !s.begin.Add(stableWindow).After(t) && !s.hasEnded(t)
	})
}

// HostPartitioned records that a host is partitioned from all upstreams.
func (c *Checker) HostPartitioned(now time.Time, host quetzalhook.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions.spans = append(c.partitions.spans, hostSpan{span{begin: now}, host})
}

// HostRejoined records that a host reaches the upstreams again.
func (c *Checker) HostRejoined(now time.Time, host quetzalhook.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.partitions.spans {
		if s := &c.partitions.spans[i]; s.host == host && s.end.IsZero() {
			s.end = now
		}
	}
}

// FirstTryEnded records a request that its caller had not sent before. It does not count if
// its host had another disturbance.
func (c *Checker) FirstTryEnded(sent time.Time, host quetzalhook.HostID, served, undisturbed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if undisturbed {
		c.partitions.tries = append(c.partitions.tries, firstTry{sent, host, served})
	}
}

// CheckPartitions checks the first tries during each partition. It is called once, when all
// requests have ended.
func (c *Checker) CheckPartitions() {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.partitions
	for _, s := range p.spans {
		if last := len(p.counted) - 1; last < 0 || !s.begin.Before(p.counted[last].End) {
			p.counted = append(p.counted, PartitionCounts{Begin: s.begin, End: s.end})
		}
		n := &p.counted[len(p.counted)-1]
		if s.end.After(n.End) {
			n.End = s.end
		}
		if !slices.Contains(n.Hosts, s.host) {
			n.Hosts = append(n.Hosts, s.host)
		}
	}
	for i := range p.counted {
		n := &p.counted[i]
		p.count(n)
		if n.Sent == 0 || n.Others == 0 {
			continue
		}
		ratio := minPartitionRatio * float64(n.OthersServed) / float64(n.Others)
		isServed := float64(n.Served)/float64(n.Sent) >= ratio || n.Sent-n.Served <= partitionSlack+(n.Sent+n.Others)/partitionShare
		c.check(CheckPartition, isServed, "%v without upstreams served %d of %d first tries in %v, the others %d of %d", n.Hosts, n.Served, n.Sent,
			n.End.Sub(n.Begin.Add(stableWindow)).Round(time.Millisecond), n.OthersServed, n.Others)
	}
}

// count counts the first tries during n. Hosts whose partition began or ended less than
// stableWindow before belong to neither side.
func (p *partitionRecord) count(n *PartitionCounts) {
	for _, t := range p.tries {
		if t.sent.Before(n.Begin) || !t.sent.Before(n.End) {
			continue
		}
		switch {
		case p.lasts(t.host, t.sent):
			n.Sent++
			if t.served {
				n.Served++
			}
		case p.lasts("", t.sent) && !p.overlaps(t.host, t.sent.Add(-stableWindow), t.sent):
			n.Others++
			if t.served {
				n.OthersServed++
			}
		}
	}
}

// Partitions returns the counts of each partition, once CheckPartitions was called.
func (c *Checker) Partitions() []PartitionCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.partitions.counted)
}
