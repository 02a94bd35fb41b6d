package member

import (
	"cmp"
	"slices"
	"time"

	"quetzalhook"
)

const (
	// sendBudget bounds the heartbeats that a host sends, in bytes a second.
	// With what it receives, a host stays under 20 KB/s.
	sendBudget = 8 << 10
	// minBody leaves room for some demand in a cell that is larger than usual.
	minBody = 60
	// ownProfileRounds is the number of rounds between two own profiles; they
	// serve hosts that restarted and do not know this one.
	ownProfileRounds = 4
	// greetingsPerRound bounds the greetings to hosts that have not answered.
	greetingsPerRound = 32
)

// tick returns the datagrams to send now. It is called every beatInterval.
func (g *gossip) tick(now time.Time, r Report) ([]datagram, error) {
	g.arrange()
	round := g.beats%beatsPerRound == 0
	g.beats++
	g.latest = toBeat(r)
	if round {
		g.outgoing.update(r.Demand)
		g.forgetLeft(now)
	}
	out, err := g.heartbeats(now, round)
	if err != nil || !round {
		return out, err
	}
	more, err := g.summaries(now)
	if err != nil {
		return out, err
	}
	greetings, err := g.greetings(now)
	return slices.Concat(out, more, greetings), err
}

// forgetLeft removes hosts whose planned stop has been passed on long enough.
func (g *gossip) forgetLeft(now time.Time) {
	for host, p := range g.peers {
		if !p.left.IsZero() && now.Sub(p.left) > leftRetention {
			delete(g.peers, host)
			delete(g.byHash, hostHash(host))
		}
	}
}

// heartbeats returns the heartbeat for each host of the cell that has been
// heard. Hosts that are gone get one a round, so that they come back after a
// partition.
func (g *gossip) heartbeats(now time.Time, round bool) ([]datagram, error) {
	var targets []*peer
	for _, p := range g.near {
		if p.left.IsZero() && !p.seen.IsZero() && !g.blocked(p.profile.Host) && (round || p.silent(now) < goneAfter) {
			targets = append(targets, p)
		}
	}
	if len(targets) == 0 {
		return nil, nil
	}
	m := g.packet()
	if round || differs(g.latest, g.told) {
		b := g.latest
		m.Beat, g.told = &b, b
	}
	limit := max(minBody, sendBudget/(beatsPerRound*len(targets))-headerSize-macSize)
	f, err := newFiller(m, limit)
	if err != nil {
		return nil, err
	}
	if round {
		g.introduce(f)
	}
	g.outgoing.take(f)
	body, err := f.encode()
	if err != nil {
		return nil, err
	}
	out := make([]datagram, 0, len(targets))
	for _, p := range targets {
		out = append(out, datagram{to: p.profile.Heartbeat, data: g.seal.seal(p.profile.Incarnation, body)})
	}
	return out, nil
}

// introduce adds the profile of another host, first of hosts that have
// stopped, and now and then the own one. They do not use the space of the
// demand.
func (g *gossip) introduce(f *filler) {
	budget := f.max
	f.max = maxBody
	before := f.size
	add := func(p profile) {
		if f.fits(p) {
			f.body.Profiles = append(f.body.Profiles, p)
		}
	}
	if g.beats%(beatsPerRound*ownProfileRounds) == 1 {
		add(g.profile())
	}
	other := g.pick(func(p *peer) bool { return p.profile.Incarnation > 0 && p.left.IsZero() })
	for _, p := range g.peers {
		if !p.left.IsZero() {
			p.profile.Left = true
			other = p
			break
		}
	}
	if other != nil {
		add(other.profile)
	}
	f.max = min(maxBody, max(budget, before)+f.size-before)
}

// pickAttempts bounds the random draws for one choice; almost every host of a
// large fleet is eligible.
const pickAttempts = 16

// pick returns a random host that is eligible, or nil.
func (g *gossip) pick(eligible func(*peer) bool) *peer {
	if len(g.order) == 0 {
		return nil
	}
	for range pickAttempts {
		if p := g.order[g.draw()%uint64(len(g.order))]; eligible(p) {
			return p
		}
	}
	return nil
}

// draw returns the next random number, below 2^31.
func (g *gossip) draw() uint64 {
	// The constants are those of Knuth's MMIX generator; its high bits are the
	// random ones.
	g.random = g.random*6364136223846793005 + 1442695040888963407
	return g.random >> 33
}

// greetings introduces this host to seeds and to hosts that it should hear
// but has not.
func (g *gossip) greetings(now time.Time) ([]datagram, error) {
	var targets []*peer
	known := map[string]bool{g.self.Heartbeat: true, "": true}
	for _, p := range g.near {
		a := p.profile.Heartbeat
		if (p.seen.IsZero() || p.silent(now) > goneAfter) && p.left.IsZero() && !g.blocked(p.profile.Host) && !known[a] {
			known[a] = true
			targets = append(targets, p)
		}
	}
	if len(g.seeds) > 0 {
		for _, p := range g.order {
			if !p.seen.IsZero() && p.silent(now) < goneAfter {
				known[p.profile.Heartbeat] = true
			}
		}
	}
	slices.SortFunc(targets, func(a, b *peer) int { return cmp.Compare(b.profile.Incarnation, a.profile.Incarnation) })
	var out []datagram
	for _, p := range targets[:min(len(targets), greetingsPerRound)] {
		d, err := g.greeting(p.profile.Heartbeat, p.profile.Incarnation)
		if err != nil {
			return nil, err
		}
		out = append(out, *d)
	}
	for _, seed := range g.seeds {
		if known[seed] {
			continue
		}
		d, err := g.greeting(seed, 0)
		if err != nil {
			return nil, err
		}
		out = append(out, *d)
	}
	return out, nil
}

// farewell tells the cell that this host stops now, as planned.
func (g *gossip) farewell(now time.Time) ([]datagram, error) {
	m := g.packet()
	m.Leaving = true
	f, err := newFiller(m, maxBody)
	if err != nil {
		return nil, err
	}
	body, err := f.encode()
	if err != nil {
		return nil, err
	}
	var out []datagram
	for _, p := range g.near {
		if p.left.IsZero() && !g.blocked(p.profile.Host) && p.silent(now) < goneAfter {
			out = append(out, datagram{to: p.profile.Heartbeat, data: g.seal.seal(p.profile.Incarnation, body)})
		}
	}
	return out, nil
}

// differs reports whether b must be told before the next round, given what was
// told last. Small changes of the load wait for the round, which halves the
// traffic of an idle fleet.
func differs(b, told beat) bool {
	if b.Draining != told.Draining || b.Unready != told.Unready || b.ConfigVersion != told.ConfigVersion ||
		b.UpstreamVersion != told.UpstreamVersion || b.WithdrawnHash != told.WithdrawnHash {
		return true
	}
	for tier := range quetzalhook.TierCount {
		if changed(b.Waiting[tier], told.Waiting[tier]) || changed(b.Running[tier], told.Running[tier]) ||
			changed(uint64(b.Requests[tier]), uint64(told.Requests[tier])) {
			return true
		}
	}
	return changed(uint64(b.FreePercent), uint64(told.FreePercent))
}

// changed reports whether two values differ by more than a quarter.
func changed(a, b uint64) bool { return 4*max(a, b)-4*min(a, b) > max(a, b) }

func toBeat(r Report) beat {
	b := beat{
		Draining: r.Draining, Unready: r.Unready, FreePercent: uint8(100 * min(max(r.FreeCapacity, 0), 1)), ConfigVersion: r.ConfigVersion, UpstreamVersion: r.UpstreamVersion,
		WithdrawnCount: r.WithdrawnCount, WithdrawnHash: r.WithdrawnHash, StoreAge: toMilliseconds(r.StoreAge),
	}
	for tier := range quetzalhook.TierCount {
		b.Waiting[tier] = uint64(max(r.Demand.Waiting[tier], 0))
		b.Running[tier] = uint64(max(r.Demand.Running[tier], 0))
		b.Requests[tier] = uint32(max(r.Demand.Requests[tier], 0))
	}
	return b
}
