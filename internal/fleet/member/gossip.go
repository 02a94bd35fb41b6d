package member

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
)

// Intervals and time limits of the protocol.
const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatsPerRound is the number of heartbeats in a round. Summaries,
	// profiles and greetings are sent once per round, every second.
	heartbeatsPerRound = 4
	// suspectAfter is the silence after which a host of the own cell is suspected
	// to be down: four missed heartbeats.
	suspectAfter = time.Second
	// goneAfter is the silence after which a host of the own cell counts as down.
	goneAfter = 3 * time.Second
	// replyInterval is the minimum time between two replies to greetings of a host.
	replyInterval = 200 * time.Millisecond
	// leftRetention is how long a planned stop is kept and passed on, because the
	// platform's list may still show the host for that time.
	leftRetention = 5 * time.Minute
	// removeAfter is the silence after which a host that is not in the platform's
	// list is removed.
	removeAfter = 30 * time.Second
)

// Self describes the host on which the code runs.
type Self struct {
	Host        quetzalhook.HostID
	Incarnation quetzalhook.Incarnation
	Zone        quetzalhook.Zone
	Region      quetzalhook.Region
	Address     string // for callers
	Heartbeat   string // for heartbeats
	Peer        string // for calls of other hosts
	// Processors is the processor time that the host may use, in cores.
	Processors float64
}

// Report is the state that a host reports to the others.
type Report struct {
	Draining     bool
	Unready      bool
	CutOff       bool // see quetzalhook.Member
	FreeCapacity float64
	// ConfigVersion, TableVersion, UpstreamVersion, EvacuationVersion, SplitVersion and Kept
	// are as in quetzalhook.Member.
	ConfigVersion     int64
	TableVersion      int64
	UpstreamVersion   quetzalhook.Version
	EvacuationVersion quetzalhook.Version
	SplitVersion      int64
	Kept              uint32
	StoreAge          time.Duration
	Eligible          quetzalhook.Roles
	Active            quetzalhook.Roles
	WithdrawnCount    int
	WithdrawnHash     uint64
	Demand            quetzalhook.Demand
}

// datagram is an encoded message and its destination address.
type datagram struct {
	to   string
	data []byte
}

// peer is what this host knows about another one.
type peer struct {
	profile    profile
	cell       cellID
	knownSince time.Time // when the host became known; its silence starts then
	lastHeard  time.Time // when the host was last known to be alive; zero if never
	sequence   uint64
	lastReply  time.Time // last reply to a greeting; zero if there was none
	leftAt     time.Time // when its planned stop became known; zero if none
	hostState  hostState
	hasState   bool // hostState was received from the host itself, not from a summary
	demand     remoteDemand
}

// hasReported reports whether the state of the host since its start is known: for
// a host of the own cell from a heartbeat, for one of another cell from a
// summary that lists it.
func (p *peer) hasReported(own cellID) bool {
	return p.hasState || p.cell != own && !p.lastHeard.IsZero()
}

// silence returns how long the host has not been known to be alive.
func (p *peer) silence(now time.Time) time.Duration {
	if p.lastHeard.After(p.knownSince) {
		return now.Sub(p.lastHeard)
	}
	return now.Sub(p.knownSince)
}

// gossip implements the protocol without sockets or a clock: the caller passes
// the time, which must not go back. It is not safe for concurrent use.
type gossip struct {
	self       Self
	seal       sealer
	seeds      []string // heartbeat addresses of some hosts
	peers      map[quetzalhook.HostID]*peer
	order      []*peer // all that have not left, sorted by name
	cellPeers  []*peer // those in the own cell, sorted by name
	otherCells map[cellID]*otherCell
	byHash     map[uint32]*peer // by hostHash
	cells      cells
	cell       cellID
	cellsStale bool // updateCells must recompute the cells
	sequence   uint64
	ticks      int // calls of tick so far
	outgoing   demandQueue
	latest     hostState // own state as of the last tick
	lastSent   hostState // own state last sent to the cell
	cellViews  map[cellID]*cellView
	random     uint64                        // state of nextRandom
	blocked    func(quetzalhook.HostID) bool // hosts to which no traffic passes, in tests
}

func newGossip(self Self, secret []byte, seeds []string) *gossip {
	return &gossip{
		self: self, seal: newSealer(secret), seeds: slices.Clone(seeds),
		peers: make(map[quetzalhook.HostID]*peer), byHash: make(map[uint32]*peer), cellsStale: true,
		cellViews: make(map[cellID]*cellView), random: uint64(hostHash(self.Host)) | 1,
		blocked: func(quetzalhook.HostID) bool { return false },
	}
}

func (g *gossip) profile() profile {
	return profile{
		Host: g.self.Host, Incarnation: g.self.Incarnation, Zone: g.self.Zone, Region: g.self.Region,
		Address: g.self.Address, Heartbeat: g.self.Heartbeat, Peer: g.self.Peer, Processors: g.self.Processors,
	}
}

// updateCells recomputes the cells from all known hosts if cellsStale is set.
func (g *gossip) updateCells() {
	if !g.cellsStale {
		return
	}
	g.cellsStale = false
	counts := map[quetzalhook.Zone]int{g.self.Zone: 1}
	for _, p := range g.peers {
		if p.leftAt.IsZero() {
			counts[p.profile.Zone]++
		}
	}
	g.cells = newCells(counts)
	g.cell = g.cells.cellOf(g.self.Host, g.self.Zone)
	g.order, g.cellPeers = g.order[:0], g.cellPeers[:0]
	otherCells := make(map[cellID]*otherCell)
	for _, p := range g.peers {
		p.cell = g.cells.cellOf(p.profile.Host, p.profile.Zone)
		if !p.leftAt.IsZero() {
			continue
		}
		g.order = append(g.order, p)
		if p.cell == g.cell {
			g.cellPeers = append(g.cellPeers, p)
			continue
		}
		if otherCells[p.cell] == nil {
			otherCells[p.cell] = &otherCell{}
			if old := g.otherCells[p.cell]; old != nil {
				otherCells[p.cell].lastAsked = old.lastAsked
			}
		}
		otherCells[p.cell].peers = append(otherCells[p.cell].peers, p)
	}
	g.otherCells = otherCells
	byName := func(a, b *peer) int { return strings.Compare(string(a.profile.Host), string(b.profile.Host)) }
	slices.SortFunc(g.order, byName)
	slices.SortFunc(g.cellPeers, byName)
	for _, c := range g.otherCells {
		slices.SortFunc(c.peers, byName)
	}
}

// addProfile adds or updates a host from a profile, and returns the host. It
// returns nil for this host itself and for an unknown host that has left. A
// profile does not show that its host is alive.
func (g *gossip) addProfile(now time.Time, update profile) *peer {
	if update.Host == "" || update.Host == g.self.Host {
		return nil
	}
	p := g.peers[update.Host]
	switch {
	case p == nil:
		if update.Left {
			return nil
		}
		p = &peer{profile: update, knownSince: now}
		g.peers[update.Host], g.byHash[hostHash(update.Host)] = p, p
		g.cellsStale = true
	case update.Incarnation < p.profile.Incarnation:
		return p
	case update.Incarnation > p.profile.Incarnation:
		g.cellsStale = g.cellsStale || update.Zone != p.profile.Zone || !p.leftAt.IsZero()
		*p = peer{profile: mergeProfiles(p.profile, update), cell: p.cell, knownSince: now}
		if update.Left {
			p.leftAt = now
		}
	case update.Left && p.leftAt.IsZero():
		p.leftAt, g.cellsStale = now, true
	default:
		g.cellsStale = g.cellsStale || update.Zone != p.profile.Zone && update.Zone != ""
		p.profile = mergeProfiles(p.profile, update)
	}
	return p
}

// mergeProfiles returns update with its empty fields taken from old.
func mergeProfiles(old, update profile) profile {
	update.Zone = quetzalhook.Zone(firstNonEmpty(string(update.Zone), string(old.Zone)))
	update.Region = quetzalhook.Region(firstNonEmpty(string(update.Region), string(old.Region)))
	update.Address = firstNonEmpty(update.Address, old.Address)
	update.Heartbeat = firstNonEmpty(update.Heartbeat, old.Heartbeat)
	update.Peer = firstNonEmpty(update.Peer, old.Peer)
	if update.Processors == 0 {
		update.Processors = old.Processors
	}
	return update
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// applyHostList adds the hosts of the platform's list and removes hosts that are
// not in it and have been silent for longer than removeAfter.
func (g *gossip) applyHostList(now time.Time, list []quetzalhook.HostStatus) {
	listed := make(map[quetzalhook.HostID]bool, len(list))
	for _, s := range list {
		listed[s.Host] = true
		g.addProfile(now, profile{
			Host: s.Host, Incarnation: s.Incarnation, Zone: s.Zone, Heartbeat: s.HeartbeatAddress, Peer: s.PeerAddress,
			Region: s.Region, Address: s.Address, Processors: s.Processors,
		})
	}
	for host, p := range g.peers {
		if !listed[host] && p.silence(now) > removeAfter {
			delete(g.peers, host)
			delete(g.byHash, hostHash(host))
			g.cellsStale = true
		}
	}
}

var errReplay = errors.New("datagram is not newer than the last one accepted")

// receive processes a datagram and returns the datagram to answer with, or nil.
func (g *gossip) receive(now time.Time, data []byte) (*datagram, error) {
	receiver, p, err := g.seal.open(data)
	if err != nil {
		return nil, err
	}
	if p.Host == g.self.Host {
		if p.Incarnation != g.self.Incarnation {
			return nil, errors.Errorf("another incarnation %d uses this host's name %s", p.Incarnation, p.Host)
		}
		return nil, nil
	}
	if g.blocked(p.Host) {
		return nil, nil
	}
	known := g.peers[p.Host]
	if known != nil && p.Incarnation < known.profile.Incarnation {
		return nil, errReplay
	}
	if receiver != g.self.Incarnation {
		return g.handleGreeting(now, p)
	}
	if known == nil || known.profile.Incarnation < p.Incarnation {
		known = g.addProfile(now, profile{Host: p.Host, Incarnation: p.Incarnation})
	}
	if p.Sequence <= known.sequence {
		// The sender's profile is the same during an incarnation, and may be in no
		// other datagram for some seconds.
		if own, ok := p.ownProfile(); ok {
			g.addProfile(now, own)
		}
		return nil, errReplay
	}
	if !known.leftAt.IsZero() {
		return nil, nil
	}
	g.applyPacket(now, known, p)
	if p.WantsSummary && known.profile.Heartbeat != "" {
		return g.summaryAnswer(now, known)
	}
	return nil, nil
}

// handleGreeting handles a datagram that does not name this incarnation as its
// receiver: it uses only the sender's profile and answers with a greeting, at most
// once per replyInterval to each host. A datagram without that profile is ignored.
func (g *gossip) handleGreeting(now time.Time, p packet) (*datagram, error) {
	own, ok := p.ownProfile()
	if !ok {
		return nil, nil
	}
	known := g.addProfile(now, own)
	if !known.leftAt.IsZero() || !known.lastReply.IsZero() && now.Sub(known.lastReply) < replyInterval {
		return nil, nil
	}
	known.lastReply = now
	return g.newGreeting(known.profile.Heartbeat, known.profile.Incarnation)
}

// newGreeting returns a datagram with the own profile, or nil if the address is
// empty.
func (g *gossip) newGreeting(to string, receiver quetzalhook.Incarnation) (*datagram, error) {
	if to == "" {
		return nil, nil
	}
	b, err := newPacketBuilder(g.packet(), maxBody)
	if err != nil {
		return nil, err
	}
	own := g.profile()
	if !b.reserve(own) {
		return nil, errors.New("profile of this host does not fit into a datagram")
	}
	b.body.Profiles = append(b.body.Profiles, own)
	body, err := b.encode()
	return &datagram{to: to, data: g.seal.seal(receiver, body)}, err
}

// packet returns an empty packet with the next sequence number.
func (g *gossip) packet() packet {
	g.sequence++
	return packet{Host: g.self.Host, Incarnation: g.self.Incarnation, Sequence: g.sequence}
}

// applyPacket applies a packet that is known not to be a replay.
func (g *gossip) applyPacket(now time.Time, p *peer, m packet) {
	p.lastHeard, p.sequence = now, m.Sequence
	if m.Leaving {
		p.leftAt, g.cellsStale = now, true
		return
	}
	if m.State != nil {
		p.hostState, p.hasState = *m.State, true
	} else if m.SplitVersion > 0 {
		p.hostState.SplitVersion = m.SplitVersion
	}
	p.demand.merge(now, m.InFlight, m.Used)
	for _, profile := range m.Profiles {
		g.addProfile(now, profile)
	}
	for _, s := range m.Summaries {
		g.applySummary(now, s)
	}
}

// members returns the other hosts, without those that stopped as planned, sorted
// by name.
func (g *gossip) members(now time.Time) []quetzalhook.Member {
	g.updateCells()
	list := make([]quetzalhook.Member, 0, len(g.peers))
	for host, p := range g.peers {
		if !p.leftAt.IsZero() {
			continue
		}
		state := p.hostState
		demand := p.demand.snapshot(now)
		for tier := range quetzalhook.TierCount {
			demand.Waiting[tier], demand.Running[tier] = float64(state.Waiting[tier]), float64(state.Running[tier])
			demand.Requests[tier] = int(state.Requests[tier])
		}
		age := state.StoreAge.duration()
		if p.lastHeard.IsZero() {
			age = (^milliseconds(0)).duration()
		}
		lag := time.Duration(0)
		if p.cell != g.cell {
			lag = cellRetention
			if v := g.cellViews[p.cell]; v != nil {
				lag = now.Sub(v.at)
			}
		}
		list = append(list, quetzalhook.Member{
			Host: host, Incarnation: p.profile.Incarnation, Zone: p.profile.Zone, Region: p.profile.Region,
			Address: p.profile.Address, PeerAddress: p.profile.Peer, Draining: state.Draining, Unready: state.Unready || !p.hasReported(g.cell), CutOff: state.CutOff, Silent: p.silence(now),
			Distant: p.cell != g.cell, Lag: lag, FreeCapacity: float64(state.FreePercent) / 100, SplitVersion: state.SplitVersion, StoreAge: age, Eligible: state.Eligible, Active: state.Active,
			ConfigVersion: state.ConfigVersion, TableVersion: state.TableVersion, Kept: state.Kept,
			UpstreamVersion: quetzalhook.NewVersion(state.UpstreamEra, state.UpstreamVersion), EvacuationVersion: quetzalhook.NewVersion(state.EvacuationEra, state.EvacuationVersion),
			WithdrawnCount: state.WithdrawnCount, WithdrawnHash: state.WithdrawnHash, Demand: demand,
			Processors: p.profile.Processors,
		})
	}
	slices.SortFunc(list, func(a, b quetzalhook.Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return list
}
