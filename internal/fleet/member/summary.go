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
	at      time.Time // when Origin made it, computed from its Age
	relays  int       // how often this host has forwarded it
}

// maxRelays limits how often a host forwards one summary. With 1, each receiver
// passes a summary to only one other host, and the longest silence of a host in a
// fleet of 15 cells was 17 s.
const maxRelays = 3

const (
	// maxLeft limits the planned stops in a summary.
	maxLeft = 16
	// leftSize is the length of one entry of summary.Left in bytes.
	leftSize = 8
)

// otherCell holds the hosts of a cell other than the own.
type otherCell struct {
	peers     []*peer
	lastAsked time.Time // when one of them was last asked for a summary
}

// cellRetention is how long the last summary of a cell is kept.
const cellRetention = 5 * time.Minute

// ownSummary returns the summary of the own cell.
func (g *gossip) ownSummary(now time.Time) summary {
	s := summary{Cell: g.cell, Origin: g.self.Host, State: g.latest, Unready: []byte{}, Draining: []byte{}}
	s.addAlive(g.self.Host, g.latest)
	free, n := int(s.State.FreePercent), 1
	for _, p := range g.cellPeers {
		// Others know more of a host whose state is not known here.
		if !p.leftAt.IsZero() || !p.hasState || p.silence(now) > goneAfter {
			continue
		}
		s.addAlive(p.profile.Host, p.hostState)
		s.State.StoreAge = min(s.State.StoreAge, p.hostState.StoreAge)
		free, n = free+int(p.hostState.FreePercent), n+1
		for tier := range quetzalhook.TierCount {
			s.State.Waiting[tier] += p.hostState.Waiting[tier]
			s.State.Running[tier] += p.hostState.Running[tier]
			s.State.Requests[tier] += p.hostState.Requests[tier]
		}
	}
	s.State.FreePercent = uint8(free / n)
	for _, p := range g.peers {
		if !p.leftAt.IsZero() && p.cell == g.cell && len(s.Left) < maxLeft*leftSize {
			s.Left = binary.BigEndian.AppendUint32(s.Left, hostHash(p.profile.Host))
			s.Left = binary.BigEndian.AppendUint32(s.Left, uint32(p.profile.Incarnation))
		}
	}
	return s
}

// addAlive adds a live host.
func (s *summary) addAlive(host quetzalhook.HostID, state hostState) {
	hash := hostHash(host)
	s.Alive = binary.BigEndian.AppendUint32(s.Alive, hash)
	if state.Unready {
		s.Unready = binary.BigEndian.AppendUint32(s.Unready, hash)
	}
	if state.Draining {
		s.Draining = binary.BigEndian.AppendUint32(s.Draining, hash)
	}
	if state.CutOff {
		s.CutOff = binary.BigEndian.AppendUint32(s.CutOff, hash)
	}
}

// readHashes returns the set of four-byte hashes in a list of a summary.
func readHashes(list []byte) map[uint32]bool {
	set := make(map[uint32]bool, len(list)/4)
	for i := 0; i+4 <= len(list); i += 4 {
		set[binary.BigEndian.Uint32(list[i:])] = true
	}
	return set
}

// summaryDatagrams returns datagrams with summaries for up to two hosts of other
// cells: a random one, and one of the cell that this host has heard of least
// recently, which is also asked for its summary. With random hosts only, the
// longest silence of a host in a fleet of 60 cells was 84 s.
func (g *gossip) summaryDatagrams(now time.Time) ([]datagram, error) {
	if g.cells.single {
		return nil, nil
	}
	own := g.ownSummary(now)
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

// isReachable reports whether datagrams can be sent to a host.
func (g *gossip) isReachable(p *peer) bool {
	return p.leftAt.IsZero() && p.profile.Heartbeat != "" && !g.blocked(p.profile.Host)
}

// pickStalest returns a random host of the cell for which the later of the last
// summary and the last request for one is the oldest, or nil if that host cannot
// be reached. Requests count, so that a cell that does not answer is not picked
// every time.
func (g *gossip) pickStalest(now time.Time) *peer {
	var oldest *otherCell
	var at time.Time
	for _, id := range slices.Sorted(maps.Keys(g.otherCells)) {
		c := g.otherCells[id]
		last := c.lastAsked
		if v := g.cellViews[id]; v != nil && v.at.After(last) {
			last = v.at
		}
		if oldest == nil || last.Before(at) {
			oldest, at = c, last
		}
	}
	if oldest == nil {
		return nil
	}
	oldest.lastAsked = now
	p := oldest.peers[g.nextRandom()%uint64(len(oldest.peers))]
	if !g.isReachable(p) {
		return nil
	}
	return p
}

// summaryAnswer returns the datagram with summaries for a host that asked for
// them.
func (g *gossip) summaryAnswer(now time.Time, p *peer) (*datagram, error) {
	g.updateCells()
	d, err := g.summaryFor(now, p, g.ownSummary(now), false)
	return &d, err
}

// summaryFor returns a datagram for p with the own summary and, as far as they
// fit, the latest summaries of other cells that this host has forwarded fewer than
// maxRelays times. With ask set, the datagram asks p for the summary of its cell.
func (g *gossip) summaryFor(now time.Time, p *peer, own summary, ask bool) (datagram, error) {
	m := g.packet()
	m.WantsSummary = ask
	b, err := newPacketBuilder(m, maxBody)
	if err != nil {
		return datagram{}, err
	}
	if me := g.profile(); (ask || p.lastHeard.IsZero()) && b.reserve(me) {
		b.body.Profiles = append(b.body.Profiles, me)
	}
	if b.reserve(own) {
		b.body.Summaries = append(b.body.Summaries, own)
	}
	for _, v := range g.recentViews(now) {
		s := v.summary
		s.Age = toMilliseconds(now.Sub(v.at))
		if s.Cell == p.cell || v.relays >= maxRelays {
			continue
		}
		if !b.reserve(s) {
			break
		}
		b.body.Summaries = append(b.body.Summaries, s)
		v.relays++
	}
	body, err := b.encode()
	return datagram{to: p.profile.Heartbeat, data: g.seal.seal(p.profile.Incarnation, body)}, err
}

// recentViews returns the views of other cells, the latest first, and removes
// those older than cellRetention.
func (g *gossip) recentViews(now time.Time) []*cellView {
	list := make([]*cellView, 0, len(g.cellViews))
	for id, v := range g.cellViews {
		if now.Sub(v.at) > cellRetention {
			delete(g.cellViews, id)
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

// applySummary stores the summary of another cell if it is newer than the last,
// and updates the hosts that it lists.
func (g *gossip) applySummary(now time.Time, s summary) {
	at := now.Add(-s.Age.duration())
	v := g.cellViews[s.Cell]
	if s.Cell == g.cell || v != nil && !at.After(v.at) || s.Age.duration() > cellRetention {
		return
	}
	if v == nil {
		v = &cellView{}
		g.cellViews[s.Cell] = v
	}
	v.summary, v.at, v.relays = s, at, 0
	for i := 0; i+leftSize <= len(s.Left); i += leftSize {
		p := g.byHash[binary.BigEndian.Uint32(s.Left[i:])]
		if p != nil && p.leftAt.IsZero() && uint32(p.profile.Incarnation) == binary.BigEndian.Uint32(s.Left[i+4:]) {
			p.leftAt, g.cellsStale = now, true
		}
	}
	unready, draining, cutOff := readHashes(s.Unready), readHashes(s.Draining), readHashes(s.CutOff)
	for i := 0; i+4 <= len(s.Alive); i += 4 {
		hash := binary.BigEndian.Uint32(s.Alive[i:])
		p := g.byHash[hash]
		if p == nil || p.cell == g.cell || at.Before(p.lastHeard) {
			continue
		}
		p.lastHeard = at
		p.hostState.CutOff = cutOff[hash]
		if s.Unready != nil && s.Draining != nil {
			p.hostState.Unready, p.hostState.Draining = unready[hash], draining[hash]
		}
		// The hosts of a cell know each other's withdrawals and store ages.
		p.hostState.WithdrawnCount, p.hostState.WithdrawnHash = s.State.WithdrawnCount, s.State.WithdrawnHash
		p.hostState.StoreAge = s.State.StoreAge
		if p.profile.Host == s.Origin {
			p.hostState.Draining, p.hostState.Unready = s.State.Draining, s.State.Unready
			p.hostState.setVersions(s.State.versions())
			p.hostState.SplitVersion = s.State.SplitVersion
		}
	}
}

// CellSummary holds the totals of another cell.
type CellSummary struct {
	Hosts        int           // live hosts
	Age          time.Duration // since the summary was made
	FreeCapacity float64       // mean over the hosts
	Waiting      [quetzalhook.TierCount]float64
	Running      [quetzalhook.TierCount]float64
	Requests     [quetzalhook.TierCount]int
}

// cellSummaries returns the totals of the other cells, the latest first.
func (g *gossip) cellSummaries(now time.Time) []CellSummary {
	var list []CellSummary
	for _, v := range g.recentViews(now) {
		s := CellSummary{
			Hosts: len(v.summary.Alive) / 4, Age: now.Sub(v.at), FreeCapacity: float64(v.summary.State.FreePercent) / 100,
		}
		for tier := range quetzalhook.TierCount {
			s.Waiting[tier] = float64(v.summary.State.Waiting[tier])
			s.Running[tier] = float64(v.summary.State.Running[tier])
			s.Requests[tier] = int(v.summary.State.Requests[tier])
		}
		list = append(list, s)
	}
	return list
}
