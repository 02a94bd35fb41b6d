package member

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"quetzalhook"
)

// cellView is the latest summary of another cell.
type cellView struct {
	summary summary
	at      time.Time // when Origin made it, as far as its age tells
	relays  int       // how often this host has passed it on
}

// maxRelays bounds how often a host passes a summary on. With 1 the worst
// silence in 15 cells was 17 s, because a summary then spreads along chains.
const maxRelays = 3

const (
	// maxLeft bounds the planned stops in a summary.
	maxLeft = 16
	// leftSize is the length of one entry of summary.Left.
	leftSize = 8
)

// farCell is another cell and its hosts.
type farCell struct {
	peers []*peer
	asked time.Time // when one of them was last asked for a summary
}

// cellRetention is how long a cell without a new summary is kept.
const cellRetention = 5 * time.Minute

// summaryOf describes the own cell.
func (g *gossip) summaryOf(now time.Time) summary {
	s := summary{Cell: g.cell, Origin: g.self.Host, Beat: g.latest}
	s.Alive = binary.BigEndian.AppendUint32(s.Alive, hostHash(g.self.Host))
	free, n := int(s.Beat.FreePercent), 1
	for _, p := range g.near {
		if !p.left.IsZero() || p.seen.IsZero() || p.silent(now) > goneAfter {
			continue
		}
		s.Alive = binary.BigEndian.AppendUint32(s.Alive, hostHash(p.profile.Host))
		s.Beat.StoreAge = min(s.Beat.StoreAge, p.beat.StoreAge)
		free, n = free+int(p.beat.FreePercent), n+1
		for tier := range quetzalhook.TierCount {
			s.Beat.Waiting[tier] += p.beat.Waiting[tier]
			s.Beat.Running[tier] += p.beat.Running[tier]
			s.Beat.Requests[tier] += p.beat.Requests[tier]
		}
	}
	s.Beat.FreePercent = uint8(free / n)
	for _, p := range g.peers {
		if !p.left.IsZero() && p.cell == g.cell && len(s.Left) < maxLeft*leftSize {
			s.Left = binary.BigEndian.AppendUint32(s.Left, hostHash(p.profile.Host))
			s.Left = binary.BigEndian.AppendUint32(s.Left, uint32(p.profile.Incarnation))
		}
	}
	return s
}

// summaries returns the summaries for a few hosts of other cells: a random
// one, and one of the cell that this host has heard of least recently, which
// is asked for its summary. With random hosts only, the worst silence in 60
// cells was 84 s.
func (g *gossip) summaries(now time.Time) ([]datagram, error) {
	if g.cells.single {
		return nil, nil
	}
	own := g.summaryOf(now)
	asked := g.pickStalest(now)
	random := g.pick(func(p *peer) bool { return p.cell != g.cell && p != asked && g.isReachable(p) })
	var out []datagram
	for _, p := range []*peer{asked, random} {
		if p == nil {
			continue
		}
		d, err := g.summaryFor(now, p, own, p == asked)
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}

func (g *gossip) isReachable(p *peer) bool {
	return p.left.IsZero() && p.profile.Heartbeat != "" && !g.blocked(p.profile.Host)
}

// pickStalest returns a random host of the cell with the oldest view that was
// not asked since. Cells that do not answer take their turn like all others.
func (g *gossip) pickStalest(now time.Time) *peer {
	var oldest *farCell
	var at time.Time
	for _, id := range slices.Sorted(maps.Keys(g.far)) {
		c := g.far[id]
		last := c.asked
		if v := g.regions[id]; v != nil && v.at.After(last) {
			last = v.at
		}
		if oldest == nil || last.Before(at) {
			oldest, at = c, last
		}
	}
	if oldest == nil {
		return nil
	}
	oldest.asked = now
	p := oldest.peers[g.draw()%uint64(len(oldest.peers))]
	if !g.isReachable(p) {
		return nil
	}
	return p
}

// summaryAnswer returns summaries for a host that asked for them.
func (g *gossip) summaryAnswer(now time.Time, p *peer) (*datagram, error) {
	g.arrange()
	d, err := g.summaryFor(now, p, g.summaryOf(now), false)
	return &d, err
}

// summaryFor returns a datagram with the own summary and, as far as they fit,
// the latest of other cells that were not passed on yet.
func (g *gossip) summaryFor(now time.Time, p *peer, own summary, ask bool) (datagram, error) {
	m := g.packet()
	m.Wants = ask
	f, err := newFiller(m, maxBody)
	if err != nil {
		return datagram{}, err
	}
	if me := g.profile(); (ask || p.seen.IsZero()) && f.fits(me) {
		f.body.Profiles = append(f.body.Profiles, me)
	}
	if f.fits(own) {
		f.body.Summaries = append(f.body.Summaries, own)
	}
	for _, v := range g.views(now) {
		s := v.summary
		s.Age = toMilliseconds(now.Sub(v.at))
		if s.Cell == p.cell || v.relays >= maxRelays {
			continue
		}
		if !f.fits(s) {
			break
		}
		f.body.Summaries = append(f.body.Summaries, s)
		v.relays++
	}
	body, err := f.encode()
	return datagram{to: p.profile.Heartbeat, data: g.seal.seal(p.profile.Incarnation, body)}, err
}

// views returns what is known of other cells, the latest first.
func (g *gossip) views(now time.Time) []*cellView {
	list := make([]*cellView, 0, len(g.regions))
	for id, v := range g.regions {
		if now.Sub(v.at) > cellRetention {
			delete(g.regions, id)
			continue
		}
		if id != g.cell {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b *cellView) int {
		if c := b.at.Compare(a.at); c != 0 {
			return c
		}
		return cmp.Compare(a.summary.Cell, b.summary.Cell)
	})
	return list
}

// observeSummary takes the summary of a cell if it is newer than the last.
func (g *gossip) observeSummary(now time.Time, s summary) {
	at := now.Add(-s.Age.duration())
	v := g.regions[s.Cell]
	if s.Cell == g.cell || v != nil && !at.After(v.at) || s.Age.duration() > cellRetention {
		return
	}
	if v == nil {
		v = &cellView{}
		g.regions[s.Cell] = v
	}
	v.summary, v.at, v.relays = s, at, 0
	for i := 0; i+leftSize <= len(s.Left); i += leftSize {
		p := g.byHash[binary.BigEndian.Uint32(s.Left[i:])]
		if p != nil && p.left.IsZero() && uint32(p.profile.Incarnation) == binary.BigEndian.Uint32(s.Left[i+4:]) {
			p.left, g.stale = now, true
		}
	}
	for i := 0; i+4 <= len(s.Alive); i += 4 {
		p := g.byHash[binary.BigEndian.Uint32(s.Alive[i:])]
		if p == nil || p.cell == g.cell || !at.After(p.seen) {
			continue
		}
		p.seen = at
		// The hosts of a cell know each other's withdrawals and store contact.
		p.beat.WithdrawnCount, p.beat.WithdrawnHash = s.Beat.WithdrawnCount, s.Beat.WithdrawnHash
		p.beat.StoreAge = s.Beat.StoreAge
		if p.profile.Host == s.Origin {
			p.beat.ConfigVersion, p.beat.Draining, p.beat.Unready = s.Beat.ConfigVersion, s.Beat.Draining, s.Beat.Unready
			p.beat.UpstreamVersion = s.Beat.UpstreamVersion
		}
	}
}

// CellSummary is the total of another cell.
type CellSummary struct {
	Hosts        int
	Age          time.Duration
	FreeCapacity float64 // mean over the hosts
	Waiting      [quetzalhook.TierCount]float64
	Running      [quetzalhook.TierCount]float64
	Requests     [quetzalhook.TierCount]int
}

func (g *gossip) cellSummaries(now time.Time) []CellSummary {
	var list []CellSummary
	for _, v := range g.views(now) {
		s := CellSummary{
			Hosts: len(v.summary.Alive) / 4, Age: now.Sub(v.at), FreeCapacity: float64(v.summary.Beat.FreePercent) / 100,
		}
		for tier := range quetzalhook.TierCount {
			s.Waiting[tier] = float64(v.summary.Beat.Waiting[tier])
			s.Running[tier] = float64(v.summary.Beat.Running[tier])
			s.Requests[tier] = int(v.summary.Beat.Requests[tier])
		}
		list = append(list, s)
	}
	return list
}
