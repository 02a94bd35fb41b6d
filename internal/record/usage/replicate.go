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
	// replicaKind is the kind of the peer calls that carry replicas.
	replicaKind = "usage-replica"
	// replicas is the number of other hosts that hold a host's totals.
	replicas = 2
	// maxSilence is how long a host of the same cell may be silent and still be
	// chosen. In a large fleet the hosts of other zones are in other cells, whose
	// state is updated less often. Member.IsAlive has a longer limit for them: with
	// this limit alone, the chosen peers would change from second to second, and
	// each new peer gets all totals.
	maxSilence = 3 * time.Second
	// maxAckedPeers is the number of peers above which Meter.ackedSeq is cleared.
	maxAckedPeers = 16
	// linesPerCall is the maximum number of lines in a call. It limits a call to
	// about 100 KB.
	linesPerCall = 2000
)

// Replicate sends two other hosts, its peers, the changes that they do not have
// yet. It returns the first error, but tries both peers in any case.
func (m *Meter) Replicate(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.replicateInterval)
	defer cancel()
	var g errgroup.Group
	for _, to := range m.choosePeers() {
		g.Go(func() error { return m.sendChanges(ctx, to) })
	}
	return g.Wait()
}

// choosePeers returns the peers that get the totals of this host: two in other
// zones, in different ones if possible. If there are too few, it adds peers in
// the same zone.
func (m *Meter) choosePeers() []quetzalhook.Member {
	members := make(map[quetzalhook.HostID]quetzalhook.Member)
	var otherZones, ownZone []quetzalhook.HostID
	for _, p := range m.peers.Members() {
		if p.Draining || !p.IsAlive(maxSilence) {
			continue
		}
		members[p.Host] = p
		if p.Zone == m.zone {
			ownZone = append(ownZone, p.Host)
		} else {
			otherZones = append(otherZones, p.Host)
		}
	}
	ranked := rendezvous.Rank("usage/"+string(m.self.Host), otherZones)
	ranked = append(ranked, rendezvous.Rank("usage/"+string(m.self.Host), ownZone)...)
	var chosen, fallback []quetzalhook.Member
	for _, h := range ranked {
		p := members[h]
		if len(chosen) > 0 && p.Zone == chosen[0].Zone || p.Zone == m.zone {
			fallback = append(fallback, p)
		} else {
			chosen = append(chosen, p)
		}
	}
	chosen = append(chosen, fallback...)
	return chosen[:min(replicas, len(chosen))]
}

// sendChanges sends a peer the changes that it does not have yet.
func (m *Meter) sendChanges(ctx context.Context, to quetzalhook.Member) error {
	peer := Source{Host: to.Host, Incarnation: to.Incarnation}
	records, seq := m.changesFor(peer)
	for _, r := range records {
		body, err := cbor.Marshal(r)
		if err != nil {
			return errors.Wrap(err, "encode usage")
		}
		if _, err := m.peers.Call(ctx, to.Host, replicaKind, body); err != nil {
			return errors.Wrapf(err, "replicate usage to %s", to.Host)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.ackedSeq) > maxAckedPeers {
		clear(m.ackedSeq) // drops former peers; the current ones get all totals once more
	}
	m.ackedSeq[peer] = seq
	return nil
}

// changesFor returns the changes that a peer does not have yet, in records of
// limited size, and the sequence number of the last change. There is at least
// one record, because a replica also shows that its source is alive.
func (m *Meter) changesFor(peer Source) ([]record, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	records := []record{{Source: m.self, Window: m.current}}
	for w, l := range m.windows {
		if l.finalStored {
			records = append(records, record{Source: m.self, Window: w, Final: true})
			continue
		}
		lines := l.changedSince(m.ackedSeq[peer])
		for len(lines) > 0 {
			n := min(linesPerCall, len(lines))
			records = append(records, record{Source: m.self, Window: w, Lines: lines[:n]})
			lines = lines[n:]
		}
	}
	return records, m.seq
}

// handleReplica merges the totals received from another host.
func (m *Meter) handleReplica(_ context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	var r record
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "decode usage replica")
	}
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.replicas[r.Source]
	if p == nil {
		p = &replica{windows: make(map[Window]*ledger)}
		m.replicas[r.Source] = p
	}
	p.lastHeard = now
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
