package routing

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
	"quetzalhook/internal/fleet/rendezvous"
)

const (
	// pullKind is the kind of the peer call that reads what has changed.
	pullKind = "routing-pull"
	// pullAttempts bounds the hosts asked in one round.
	pullAttempts = 3
	// pullTimeout bounds one call of a peer: a slow round trip between regions
	// and the making of a connection.
	pullTimeout = 400 * time.Millisecond
)

// pullRequest asks for what is newer than the caller's state.
type pullRequest struct {
	Table    int64               `cbor:"1,keyasint"` // version of the table in force
	Complete quetzalhook.Version `cbor:"2,keyasint"` // all upstream changes up to it are known
}

// pullAnswer holds a newer table and the changes of upstreams.
type pullAnswer struct {
	Table        *Table              `cbor:"1,keyasint,omitempty"`
	TableVersion quetzalhook.Version `cbor:"2,keyasint,omitempty"`
	Upstreams    []pulledUpstream    `cbor:"3,keyasint,omitempty"`
	Complete     quetzalhook.Version `cbor:"4,keyasint"`
	// Full marks a list of all upstreams instead of changes.
	Full bool `cbor:"5,keyasint,omitempty"`
}

type pulledUpstream struct {
	Upstream quetzalhook.Upstream `cbor:"1,keyasint"`
	Version  quetzalhook.Version  `cbor:"2,keyasint"`
	Removed  bool                 `cbor:"3,keyasint,omitempty"`
	// LapsesIn is set for an upstream that is missing and may still come back.
	LapsesIn time.Duration `cbor:"4,keyasint,omitempty"`
}

func (f *Follower) handlePull(_ context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	var req pullRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, &Error{Op: "pull", Kind: ErrorCorrupt, Err: err}
	}
	now := f.clock.Now()
	f.mu.Lock()
	answer := pullAnswer{Complete: f.complete, Full: req.Complete < f.purged}
	if f.table != nil && f.table.Version > req.Table {
		answer.Table, answer.TableVersion = f.table, f.tableVersion
	}
	for _, e := range f.entries {
		if e.version > req.Complete || answer.Full {
			p := pulledUpstream{Upstream: e.upstream, Version: e.version, Removed: !e.removed.IsZero()}
			if !e.lapses.IsZero() {
				p.LapsesIn = max(e.lapses.Sub(now), time.Millisecond)
			}
			answer.Upstreams = append(answer.Upstreams, p)
		}
	}
	f.mu.Unlock()
	return cbor.Marshal(answer)
}

// followPeers asks other hosts for changes that their heartbeats announce, and
// does the periodic work.
func (f *Follower) followPeers(ctx context.Context) {
	for sleep(ctx, tick) {
		f.expire()
		for _, m := range f.ahead() {
			if err := f.pull(ctx, m); err == nil {
				break
			} else if ctx.Err() == nil {
				f.log.WithError(err).WithField("peer", m).Info("changes not pulled")
			}
		}
	}
}

// ahead returns some hosts that know changes that this one does not. Those that
// watch the store come first, so that each host keeps connections to few others;
// which of them is asked first changes with time, for the case that one does not
// answer.
func (f *Follower) ahead() []quetzalhook.HostID {
	table, upstreams := f.Versions()
	var hosts, near []quetzalhook.HostID
	for _, m := range f.peers.Members() {
		if m.ConfigVersion <= table && m.UpstreamVersion <= upstreams || !m.IsHeard(watcherSilence) {
			continue
		}
		if hosts = append(hosts, m.Host); !m.Distant {
			near = append(near, m.Host)
		}
	}
	if len(near) > 0 {
		hosts = near
	}
	ranked := rendezvous.Rank(watcherKey, hosts)
	ranked = ranked[:min(pullAttempts, len(ranked))]
	return rendezvous.Rank(fmt.Sprint(f.host, f.clock.Now().UnixNano()/int64(tick)), ranked)
}

// pull asks one host for changes and applies them.
func (f *Follower) pull(ctx context.Context, host quetzalhook.HostID) error {
	f.mu.Lock()
	req := pullRequest{Complete: f.complete}
	if f.table != nil {
		req.Table = f.table.Version
	}
	f.mu.Unlock()
	body, err := cbor.Marshal(req)
	if err != nil {
		return &Error{Op: "pull", Kind: ErrorCorrupt, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := f.peers.Call(ctx, host, pullKind, body)
	if err != nil {
		return &Error{Op: "pull", Kind: ErrorUnavailable, Err: err}
	}
	var answer pullAnswer
	if err := cbor.Unmarshal(reply, &answer); err != nil {
		return &Error{Op: "pull", Kind: ErrorCorrupt, Err: err}
	}
	if answer.Table != nil {
		f.install(answer.Table, answer.TableVersion, string(host))
	}
	f.merge(answer)
	return nil
}

// merge applies the changes that another host knows.
func (f *Follower) merge(answer pullAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	listed := make(map[quetzalhook.UpstreamID]bool, len(answer.Upstreams))
	for _, p := range answer.Upstreams {
		id := p.Upstream.ID
		listed[id] = true
		e := f.entries[id]
		switch {
		case e != nil && p.Version <= e.version:
		case !p.Removed:
			f.set(p.Upstream, p.Version)
			if p.LapsesIn > 0 {
				f.entries[id].lapses = now.Add(p.LapsesIn)
			}
		default:
			f.removeID(now, id, p.Version)
		}
		f.latest = max(f.latest, p.Version)
	}
	if answer.Full {
		for id, e := range f.entries {
			if !listed[id] && e.version <= answer.Complete && e.removed.IsZero() {
				f.remove(now, id, e, answer.Complete, false)
			}
		}
	}
	f.complete = max(f.complete, answer.Complete)
	f.publish()
}
