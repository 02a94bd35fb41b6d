package usage

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"quetzalhook"
	"quetzalhook/internal/fleet/rendezvous"
)

const (
	peerKind = "usage-replica"
	// replicas is the number of peers that hold a host's totals.
	replicas = 2
	// maxSilence is how long a peer may be silent and still be chosen. In a
	// large fleet the hosts of other zones are in other cells, heard of less
	// often: chosen by this limit alone, the peers changed from second to second,
	// and each new peer gets all totals.
	maxSilence = 3 * time.Second
	// maxAcked bounds the peers whose state is remembered.
	maxAcked = 16
	// linesPerCall bounds a call to about 100 KB.
	linesPerCall = 2000
)

// Replicate sends the changes since the last success to two peers in other
// zones. It returns the first error; the other peer is tried all the same.
func (m *Meter) Replicate(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.replicateEvery)
	defer cancel()
	var g errgroup.Group
	for _, to := range m.choose() {
		g.Go(func() error { return m.send(ctx, to) })
	}
	return g.Wait()
}

// choose returns the peers for this host's totals: two in other zones, if
// possible in different ones, else any.
func (m *Meter) choose() []quetzalhook.Member {
	members := make(map[quetzalhook.HostID]quetzalhook.Member)
	var far, near []quetzalhook.HostID
	for _, p := range m.peers.Members() {
		if p.Draining || !p.IsAlive(maxSilence) {
			continue
		}
		members[p.Host] = p
		if p.Zone == m.zone {
			near = append(near, p.Host)
		} else {
			far = append(far, p.Host)
		}
	}
	ranked := rendezvous.Rank("usage/"+string(m.self.Host), far)
	ranked = append(ranked, rendezvous.Rank("usage/"+string(m.self.Host), near)...)
	var chosen, sameZone []quetzalhook.Member
	for _, h := range ranked {
		p := members[h]
		if len(chosen) > 0 && p.Zone == chosen[0].Zone || p.Zone == m.zone {
			sameZone = append(sameZone, p)
		} else {
			chosen = append(chosen, p)
		}
	}
	chosen = append(chosen, sameZone...)
	return chosen[:min(replicas, len(chosen))]
}

// send brings one peer up to date.
func (m *Meter) send(ctx context.Context, to quetzalhook.Member) error {
	peer := Source{Host: to.Host, Incarnation: to.Incarnation}
	records, seq := m.changes(peer)
	for _, r := range records {
		body, err := cbor.Marshal(r)
		if err != nil {
			return errors.Wrap(err, "encode usage")
		}
		if _, err := m.peers.Call(ctx, to.Host, peerKind, body); err != nil {
			return errors.Wrapf(err, "replicate usage to %s", to.Host)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.acked) > maxAcked {
		clear(m.acked) // peers that came and went; the others get all once more
	}
	m.acked[peer] = seq
	return nil
}

// changes returns what a peer lacks, in records of bounded size. There is at
// least one, because a replica also says that its source is alive.
func (m *Meter) changes(peer Source) ([]record, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	records := []record{{Source: m.self, Window: m.current}}
	for w, l := range m.windows {
		if l.finalStored {
			records = append(records, record{Source: m.self, Window: w, Final: true})
			continue
		}
		lines := l.since(m.acked[peer])
		for len(lines) > 0 {
			n := min(linesPerCall, len(lines))
			records = append(records, record{Source: m.self, Window: w, Lines: lines[:n]})
			lines = lines[n:]
		}
	}
	return records, m.seq
}

// handle takes the replica of another host.
func (m *Meter) handle(_ context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	var r record
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "decode usage")
	}
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.replicas[r.Source]
	if p == nil {
		p = &replica{windows: make(map[Window]*ledger)}
		m.replicas[r.Source] = p
	}
	p.heard = now
	if r.Final {
		delete(p.windows, r.Window)
	}
	if len(r.Lines) == 0 {
		return nil, nil
	}
	l := p.windows[r.Window]
	if l == nil {
		l = newLedger()
		p.windows[r.Window] = l
	}
	m.seq++
	l.merge(r.Lines, m.seq)
	return nil, nil
}
