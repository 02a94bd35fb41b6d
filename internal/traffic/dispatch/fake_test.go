package dispatch

import (
	"slices"
	"time"

	"quetzalhook"
)

// fakePlacer places each request on the ready upstream on which this host has
// the fewest requests.
type fakePlacer struct {
	upstreams []quetzalhook.Upstream
	inFlight  map[quetzalhook.UpstreamID]int
	at        map[quetzalhook.RequestID]quetzalhook.UpstreamID
	ejected   quetzalhook.UpstreamID
	// usesLeaving makes the placer ignore the state of upstreams.
	usesLeaving bool
}

func newFakePlacer() *fakePlacer {
	return &fakePlacer{
		inFlight: make(map[quetzalhook.UpstreamID]int),
		at:       make(map[quetzalhook.RequestID]quetzalhook.UpstreamID),
	}
}

func (p *fakePlacer) SetUpstreams(_ time.Time, us []quetzalhook.Upstream) {
	p.upstreams = us
}

func (p *fakePlacer) usable(u quetzalhook.Upstream, m quetzalhook.Model) bool {
	return (u.State == quetzalhook.UpstreamReady && u.ID != p.ejected || p.usesLeaving) && slices.Contains(u.Models, m)
}

func (p *fakePlacer) Place(_ time.Time, r quetzalhook.Request) (best quetzalhook.UpstreamID, ok bool) {
	least := 0
	for _, u := range p.upstreams {
		n := p.inFlight[u.ID]
		if p.usable(u, r.Model) && n < u.Slots && (!ok || n < least) {
			best, least, ok = u.ID, n, true
		}
	}
	return best, ok
}

func (p *fakePlacer) Started(_ time.Time, r quetzalhook.Request, u quetzalhook.UpstreamID) {
	p.inFlight[u]++
	p.at[r.ID] = u
}

func (p *fakePlacer) Ended(_ time.Time, id quetzalhook.RequestID, _ quetzalhook.End) {
	p.inFlight[p.at[id]]--
	delete(p.at, id)
}

func (p *fakePlacer) Slots(_ time.Time, m quetzalhook.Model) (total, free int) {
	for _, u := range p.upstreams {
		if p.usable(u, m) {
			total += u.Slots
			free += max(u.Slots-p.inFlight[u.ID], 0)
		}
	}
	return total, free
}

func (p *fakePlacer) Unfit(time.Time) []quetzalhook.UpstreamID {
	return []quetzalhook.UpstreamID{p.ejected}
}

func (p *fakePlacer) FirstToken(_ time.Time, r quetzalhook.Request, _ quetzalhook.UpstreamID) time.Duration {
	return 50*time.Millisecond + time.Duration(r.PromptTokens)*100*time.Microsecond
}

func (p *fakePlacer) ObserveLoad(time.Time, quetzalhook.Load)          {}
func (p *fakePlacer) ObservePeers(time.Time, []quetzalhook.PeerDemand) {}
func (p *fakePlacer) ObserveDemand(time.Time, quetzalhook.Demand)      {}
func (p *fakePlacer) Progress(time.Time, quetzalhook.RequestID, int)   {}

var _ quetzalhook.Placer = (*fakePlacer)(nil)
