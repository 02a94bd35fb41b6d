package member

import (
	"cmp"
	"slices"
	"time"

	"quetzalhook"
)

const (
	// sendBudget limits the heartbeats that a host sends, in bytes/s. Together
	// with the traffic that it receives, a host stays under 20 KB/s.
	sendBudget = 8 << 10
	// minBody is the minimum size limit of a heartbeat body in bytes. It leaves
	// room for some demand in a cell that is larger than usual.
	minBody = 60
	// ownProfileRounds is the number of rounds after which the own profile is
	// sent again, for hosts that have restarted and do not know this one.
	ownProfileRounds = 4
	// greetingsPerRound limits the greetings to hosts of the own cell.
	greetingsPerRound = 32
)

// tick returns the datagrams to send now. It is called every
// heartbeatInterval.
func (g *gossip) tick(now time.Time, r Report) ([]datagram, error) {
	g.updateCells()
	round := g.ticks%heartbeatsPerRound == 0
	g.ticks++
	g.latest = toHostState(r)
	if round {
		g.outgoing.update(r.Demand)
		g.removeLeft(now)
	}
	out, err := g.heartbeats(now, round)
	if err != nil || !round {
		return out, err
	}
	more, err := g.summaryDatagrams(now)
	if err != nil {
		return out, err
	}
	greetings, err := g.greetings(now)
	return slices.Concat(out, more, greetings), err
}

// removeLeft removes the hosts that stopped as planned more than leftRetention ago.
func (g *gossip) removeLeft(now time.Time) {
	for host, p := range g.peers {
		if !p.leftAt.IsZero() && now.Sub(p.leftAt) > leftRetention {
			delete(g.peers, host)
			delete(g.byHash, hostHash(host))
		}
	}
}

// heartbeats returns the heartbeat for each host of the cell that has been
// heard. Hosts silent for goneAfter or longer get only one per round, so that
// they are found again after a partition.
func (g *gossip) heartbeats(now time.Time, round bool) ([]datagram, error) {
	var targets []*peer
	for _, p := range g.cellPeers {
		if g.isReachable(p) && !p.lastHeard.IsZero() && (round || p.silence(now) < goneAfter) {
			targets = append(targets, p)
		}
	}
	if len(targets) == 0 {
		return nil, nil
	}
	m := g.packet()
	if round || differs(g.latest, g.lastSent) {
		state := g.latest
		m.State, g.lastSent = &state, state
	} else {
		m.SplitVersion = g.latest.SplitVersion
	}
	limit := max(minBody, sendBudget/(heartbeatsPerRound*len(targets))-headerSize-macSize)
	b, err := newPacketBuilder(m, limit)
	if err != nil {
		return nil, err
	}
	if round {
		g.addProfiles(b)
	}
	g.outgoing.fill(b)
	body, err := b.encode()
	if err != nil {
		return nil, err
	}
	out := make([]datagram, 0, len(targets))
	for _, p := range targets {
		out = append(out, datagram{to: p.profile.Heartbeat, data: g.seal.seal(p.profile.Incarnation, body)})
	}
	return out, nil
}

// addProfiles adds the profile of another host, preferably one that has
// stopped, and every ownProfileRounds rounds the own one. It raises the size
// limit accordingly, so that the profiles do not take up space for demand.
func (g *gossip) addProfiles(b *packetBuilder) {
	limit := b.max
	b.max = maxBody
	before := b.size
	add := func(p profile) {
		if b.reserve(p) {
			b.body.Profiles = append(b.body.Profiles, p)
		}
	}
	if g.ticks%(heartbeatsPerRound*ownProfileRounds) == 1 {
		add(g.profile())
	}
	other := g.pick(func(p *peer) bool { return p.profile.Incarnation > 0 && p.leftAt.IsZero() })
	for _, p := range g.peers {
		if !p.leftAt.IsZero() {
			p.profile.Left = true
			other = p
			break
		}
	}
	if other != nil {
		add(other.profile)
	}
	b.max = min(maxBody, max(limit, before)+b.size-before)
}

// pickAttempts limits the random draws for one choice. A few are enough, because
// almost every host of a large fleet is eligible.
const pickAttempts = 16

// pick returns a random eligible host, or nil if none was drawn.
func (g *gossip) pick(eligible func(*peer) bool) *peer {
	if len(g.order) == 0 {
		return nil
	}
	for range pickAttempts {
		if p := g.order[g.nextRandom()%uint64(len(g.order))]; eligible(p) {
			return p
		}
	}
	return nil
}

// nextRandom returns the next random number, below 2^31.
func (g *gossip) nextRandom() uint64 {
	// A linear congruential generator with Knuth's MMIX constants. Only its high
	// bits are random enough.
	g.random = g.random*6364136223846793005 + 1442695040888963407
	return g.random >> 33
}

// greetings returns greetings for the seeds that belong to no live host, and for
// hosts of the own cell that have not been heard or are silent for longer than
// goneAfter.
func (g *gossip) greetings(now time.Time) ([]datagram, error) {
	var targets []*peer
	known := map[string]bool{g.self.Heartbeat: true, "": true}
	for _, p := range g.cellPeers {
		a := p.profile.Heartbeat
		if (p.lastHeard.IsZero() || p.silence(now) > goneAfter) && p.leftAt.IsZero() && !g.blocked(p.profile.Host) && !known[a] {
			known[a] = true
			targets = append(targets, p)
		}
	}
	if len(g.seeds) > 0 {
		for _, p := range g.order {
			if !p.lastHeard.IsZero() && p.silence(now) < goneAfter {
				known[p.profile.Heartbeat] = true
			}
		}
	}
	slices.SortFunc(targets, func(a, b *peer) int { return cmp.Compare(b.profile.Incarnation, a.profile.Incarnation) })
	var out []datagram
	for _, p := range targets[:min(len(targets), greetingsPerRound)] {
		d, err := g.newGreeting(p.profile.Heartbeat, p.profile.Incarnation)
		if err != nil {
			return nil, err
		}
		out = append(out, *d)
	}
	for _, seed := range g.seeds {
		if known[seed] {
			continue
		}
		d, err := g.newGreeting(seed, 0)
		if err != nil {
			return nil, err
		}
		out = append(out, *d)
	}
	return out, nil
}

// leaveDatagrams returns the datagrams that tell the cell that this host is
// stopping as planned.
func (g *gossip) leaveDatagrams(now time.Time) ([]datagram, error) {
	m := g.packet()
	m.Leaving = true
	b, err := newPacketBuilder(m, maxBody)
	if err != nil {
		return nil, err
	}
	body, err := b.encode()
	if err != nil {
		return nil, err
	}
	var out []datagram
	for _, p := range g.cellPeers {
		if g.isReachable(p) && p.silence(now) < goneAfter {
			out = append(out, datagram{to: p.profile.Heartbeat, data: g.seal.seal(p.profile.Incarnation, body)})
		}
	}
	return out, nil
}

// differs reports whether a state differs so much from the one sent last that it
// must be sent before the next round. Small changes of the load wait for the
// round, which halves the traffic of an idle fleet.
func differs(state, sent hostState) bool {
	if state.Draining != sent.Draining || state.Unready != sent.Unready || state.CutOff != sent.CutOff || state.versions() != sent.versions() ||
		state.SplitVersion != sent.SplitVersion || state.WithdrawnHash != sent.WithdrawnHash ||
		state.Eligible != sent.Eligible || state.Active != sent.Active {
		return true
	}
	for tier := range quetzalhook.TierCount {
		if changed(state.Waiting[tier], sent.Waiting[tier]) || changed(state.Running[tier], sent.Running[tier]) ||
			changed(uint64(state.Requests[tier]), uint64(sent.Requests[tier])) {
			return true
		}
	}
	return changed(uint64(state.FreePercent), uint64(sent.FreePercent))
}

// changed reports whether two values differ by more than a quarter.
func changed(a, b uint64) bool { return 4*max(a, b)-4*min(a, b) > max(a, b) }

// toHostState returns the encoded form of a report.
func toHostState(r Report) hostState {
	state := hostState{
		Draining: r.Draining, Unready: r.Unready, CutOff: r.CutOff, FreePercent: uint8(100 * min(max(r.FreeCapacity, 0), 1)), SplitVersion: r.SplitVersion,
		ConfigVersion: r.ConfigVersion, TableVersion: r.TableVersion, UpstreamVersion: r.UpstreamVersion.Revision(), UpstreamEra: r.UpstreamVersion.Era(),
		EvacuationVersion: r.EvacuationVersion.Revision(), EvacuationEra: r.EvacuationVersion.Era(), Kept: r.Kept,
		WithdrawnCount: r.WithdrawnCount, WithdrawnHash: r.WithdrawnHash, StoreAge: toMilliseconds(r.StoreAge), Eligible: r.Eligible, Active: r.Active,
	}
	for tier := range quetzalhook.TierCount {
		state.Waiting[tier] = uint64(max(r.Demand.Waiting[tier], 0))
		state.Running[tier] = uint64(max(r.Demand.Running[tier], 0))
		state.Requests[tier] = uint32(max(r.Demand.Requests[tier], 0))
	}
	return state
}
