package member

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
)

// Times of the protocol.
const (
	// beatInterval separates two heartbeats.
	beatInterval = 250 * time.Millisecond
	// beatsPerRound is the number of heartbeats between two rounds of
	// summaries, profiles and greetings: one second.
	beatsPerRound = 4
	// suspectAfter is four missed heartbeats.
	suspectAfter = time.Second
	// goneAfter is how long a silent host of the own cell may still be alive.
	goneAfter = 3 * time.Second
	// replyInterval bounds the answers to greetings of one host.
	replyInterval = 200 * time.Millisecond
	// leftRetention is how long a planned stop is remembered and passed on; the
	// platform's list may show the host for as long.
	leftRetention = 5 * time.Minute
	// removeAfter is how long a host must be silent, and missing in the
	// platform's list, before it is forgotten.
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

// Report is what a host tells the others of itself.
type Report struct {
	Draining        bool
	Unready         bool
	FreeCapacity    float64
	ConfigVersion   int64
	UpstreamVersion int64
	StoreAge        time.Duration
	WithdrawnCount  int
	WithdrawnHash   uint64
	Demand          quetzalhook.Demand
}

// datagram is one message to send.
type datagram struct {
	to   string
	data []byte
}

// peer is what a host knows of another one.
type peer struct {
	profile  profile
	cell     cellID
	learned  time.Time // when the host became known, for its silence
	seen     time.Time // last sign of life; zero if there was none
	sequence uint64
	replied  time.Time
	left     time.Time // zero unless the host stopped as planned
	beat     beat
	hasBeat  bool // beat is that of the host itself
	demand   demandView
}

// isDescribed reports whether the host has told its state since its start: a
// host of the own cell by a heartbeat, one of another cell by a summary that
// lists it.
func (p *peer) isDescribed(own cellID) bool {
	return p.hasBeat || p.cell != own && !p.seen.IsZero()
}

func (p *peer) silent(now time.Time) time.Duration {
	if p.seen.After(p.learned) {
		return now.Sub(p.seen)
	}
	return now.Sub(p.learned)
}

// gossip is the protocol without sockets and clock. Time is an argument and
// never goes back. It is not safe for concurrent use.
type gossip struct {
	self     Self
	seal     sealer
	seeds    []string
	peers    map[quetzalhook.HostID]*peer
	order    []*peer // all peers, for random choices
	near     []*peer // peers of the own cell
	far      map[cellID]*farCell
	byHash   map[uint32]*peer
	cells    cells
	cell     cellID
	stale    bool // the cells have to be computed again
	sequence uint64
	beats    int
	outgoing demandQueue
	latest   beat // the own beat now
	told     beat // the own beat last sent to the cell
	regions  map[cellID]*cellView
	random   uint64
	blocked  func(quetzalhook.HostID) bool
}

func newGossip(self Self, secret []byte, seeds []string) *gossip {
	return &gossip{
		self: self, seal: newSealer(secret), seeds: slices.Clone(seeds),
		peers: make(map[quetzalhook.HostID]*peer), byHash: make(map[uint32]*peer), stale: true,
		regions: make(map[cellID]*cellView), random: uint64(hostHash(self.Host)) | 1,
		blocked: func(quetzalhook.HostID) bool { return false },
	}
}

func (g *gossip) profile() profile {
	return profile{
		Host: g.self.Host, Incarnation: g.self.Incarnation, Zone: g.self.Zone, Region: g.self.Region,
		Address: g.self.Address, Heartbeat: g.self.Heartbeat, Peer: g.self.Peer, Processors: g.self.Processors,
	}
}

// arrange computes the cells from all hosts that are known.
func (g *gossip) arrange() {
	if !g.stale {
		return
	}
	g.stale = false
	counts := map[quetzalhook.Zone]int{g.self.Zone: 1}
	for _, p := range g.peers {
		if p.left.IsZero() {
			counts[p.profile.Zone]++
		}
	}
	g.cells = newCells(counts)
	g.cell = g.cells.of(g.self.Host, g.self.Zone)
	g.order, g.near = g.order[:0], g.near[:0]
	far := make(map[cellID]*farCell)
	for _, p := range g.peers {
		p.cell = g.cells.of(p.profile.Host, p.profile.Zone)
		if !p.left.IsZero() {
			continue
		}
		g.order = append(g.order, p)
		if p.cell == g.cell {
			g.near = append(g.near, p)
			continue
		}
		if far[p.cell] == nil {
			far[p.cell] = &farCell{}
			if old := g.far[p.cell]; old != nil {
				far[p.cell].asked = old.asked
			}
		}
		far[p.cell].peers = append(far[p.cell].peers, p)
	}
	g.far = far
	byName := func(a, b *peer) int { return strings.Compare(string(a.profile.Host), string(b.profile.Host)) }
	slices.SortFunc(g.order, byName)
	slices.SortFunc(g.near, byName)
	for _, c := range g.far {
		slices.SortFunc(c.peers, byName)
	}
}

// learn adds or updates a host from an introduction. It is no sign of life.
func (g *gossip) learn(now time.Time, f profile) *peer {
	if f.Host == "" || f.Host == g.self.Host {
		return nil
	}
	p := g.peers[f.Host]
	switch {
	case p == nil:
		if f.Left {
			return nil
		}
		p = &peer{profile: f, learned: now}
		g.peers[f.Host], g.byHash[hostHash(f.Host)] = p, p
		g.stale = true
	case f.Incarnation < p.profile.Incarnation:
		return p
	case f.Incarnation > p.profile.Incarnation:
		g.stale = g.stale || f.Zone != p.profile.Zone || !p.left.IsZero()
		*p = peer{profile: merged(p.profile, f), cell: p.cell, learned: now}
		if f.Left {
			p.left = now
		}
	case f.Left && p.left.IsZero():
		p.left, g.stale = now, true
	default:
		g.stale = g.stale || f.Zone != p.profile.Zone && f.Zone != ""
		p.profile = merged(p.profile, f)
	}
	return p
}

// merged returns f with the fields that it leaves empty taken from old.
func merged(old, f profile) profile {
	f.Zone = quetzalhook.Zone(first(string(f.Zone), string(old.Zone)))
	f.Region = quetzalhook.Region(first(string(f.Region), string(old.Region)))
	f.Address = first(f.Address, old.Address)
	f.Heartbeat = first(f.Heartbeat, old.Heartbeat)
	f.Peer = first(f.Peer, old.Peer)
	if f.Processors == 0 {
		f.Processors = old.Processors
	}
	return f
}

func first(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// observeList takes the platform's list of hosts. Hosts that are silent for
// long and not in the list are forgotten.
func (g *gossip) observeList(now time.Time, list []quetzalhook.HostStatus) {
	listed := make(map[quetzalhook.HostID]bool, len(list))
	for _, s := range list {
		listed[s.Host] = true
		g.learn(now, profile{
			Host: s.Host, Incarnation: s.Incarnation, Zone: s.Zone, Heartbeat: s.HeartbeatAddress, Peer: s.PeerAddress,
			Region: s.Region, Address: s.Address, Processors: s.Processors,
		})
	}
	for host, p := range g.peers {
		if !listed[host] && p.silent(now) > removeAfter {
			delete(g.peers, host)
			delete(g.byHash, hostHash(host))
			g.stale = true
		}
	}
}

var errReplay = errors.New("datagram is not newer than the last one")

// receive takes one datagram and returns an answer to it, if there is one.
func (g *gossip) receive(now time.Time, data []byte) (*datagram, error) {
	receiver, p, err := g.seal.open(data)
	if err != nil {
		return nil, err
	}
	if p.Host == g.self.Host {
		if p.Incarnation != g.self.Incarnation {
			return nil, errors.Errorf("another incarnation %d uses the name %s", p.Incarnation, p.Host)
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
		return g.greet(now, p)
	}
	if known == nil || known.profile.Incarnation < p.Incarnation {
		known = g.learn(now, profile{Host: p.Host, Incarnation: p.Incarnation})
	}
	if p.Sequence <= known.sequence {
		return nil, errReplay
	}
	if !known.left.IsZero() {
		return nil, nil
	}
	g.apply(now, known, p)
	if p.Wants && known.profile.Heartbeat != "" {
		return g.summaryAnswer(now, known)
	}
	return nil, nil
}

// greet handles a datagram that is not for this incarnation: its sender is
// told of this host, but nothing else in it counts.
func (g *gossip) greet(now time.Time, p packet) (*datagram, error) {
	if len(p.Profiles) == 0 || p.Profiles[0].Host != p.Host || p.Profiles[0].Incarnation != p.Incarnation {
		return nil, nil
	}
	known := g.learn(now, p.Profiles[0])
	if !known.left.IsZero() || !known.replied.IsZero() && now.Sub(known.replied) < replyInterval {
		return nil, nil
	}
	known.replied = now
	return g.greeting(known.profile.Heartbeat, known.profile.Incarnation)
}

// greeting introduces this host.
func (g *gossip) greeting(to string, receiver quetzalhook.Incarnation) (*datagram, error) {
	if to == "" {
		return nil, nil
	}
	f, err := newFiller(g.packet(), maxBody)
	if err != nil {
		return nil, err
	}
	own := g.profile()
	if !f.fits(own) {
		return nil, errors.New("the own profile does not fit a datagram")
	}
	f.body.Profiles = append(f.body.Profiles, own)
	body, err := f.encode()
	return &datagram{to: to, data: g.seal.seal(receiver, body)}, err
}

// packet returns an empty packet with the next sequence number.
func (g *gossip) packet() packet {
	g.sequence++
	return packet{Host: g.self.Host, Incarnation: g.self.Incarnation, Sequence: g.sequence}
}

// apply takes a packet that is proven to be new.
func (g *gossip) apply(now time.Time, p *peer, m packet) {
	p.seen, p.sequence = now, m.Sequence
	if m.Leaving {
		p.left, g.stale = now, true
		return
	}
	if m.Beat != nil {
		p.beat, p.hasBeat = *m.Beat, true
	}
	p.demand.merge(now, m.InFlight, m.Used)
	for _, f := range m.Profiles {
		g.learn(now, f)
	}
	for _, s := range m.Summaries {
		g.observeSummary(now, s)
	}
}

// members returns the other hosts that have not stopped, by name.
func (g *gossip) members(now time.Time) []quetzalhook.Member {
	g.arrange()
	list := make([]quetzalhook.Member, 0, len(g.peers))
	for host, p := range g.peers {
		if !p.left.IsZero() {
			continue
		}
		b := p.beat
		demand := p.demand.snapshot(now)
		for tier := range quetzalhook.TierCount {
			demand.Waiting[tier], demand.Running[tier] = float64(b.Waiting[tier]), float64(b.Running[tier])
			demand.Requests[tier] = int(b.Requests[tier])
		}
		age := b.StoreAge.duration()
		if p.seen.IsZero() {
			age = (^milliseconds(0)).duration()
		}
		lag := time.Duration(0)
		if p.cell != g.cell {
			lag = cellRetention
			if v := g.regions[p.cell]; v != nil {
				lag = now.Sub(v.at)
			}
		}
		list = append(list, quetzalhook.Member{
			Host: host, Incarnation: p.profile.Incarnation, Zone: p.profile.Zone, Region: p.profile.Region,
			Address: p.profile.Address, PeerAddress: p.profile.Peer, Draining: b.Draining, Unready: b.Unready || !p.isDescribed(g.cell), Silent: p.silent(now),
			Distant: p.cell != g.cell, Lag: lag, FreeCapacity: float64(b.FreePercent) / 100, ConfigVersion: b.ConfigVersion, UpstreamVersion: b.UpstreamVersion, StoreAge: age,
			WithdrawnCount: b.WithdrawnCount, WithdrawnHash: b.WithdrawnHash, Demand: demand,
			Processors: p.profile.Processors,
		})
	}
	slices.SortFunc(list, func(a, b quetzalhook.Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return list
}
