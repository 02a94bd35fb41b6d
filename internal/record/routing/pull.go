package routing

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
	"quetzalhook/internal/fleet/rendezvous"
	"quetzalhook/internal/state/timing"
)

const (
	// pullKind is the kind of the peer call that reads what has changed.
	pullKind = "routing-pull"
	// pullAttempts bounds the hosts asked in one round.
	pullAttempts = 3
	// pullTimeout bounds one call of a peer: a slow round trip between regions
	// and the making of a connection. It doubles with each round without an
	// answer, up to pullLongest: when all hosts of a cell ask one host on a link
	// of 10 Mbit/s, answers take longer, and a repeated question makes them no
	// shorter.
	pullTimeout = 400 * time.Millisecond
	pullLongest = 3 * time.Second
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
	// Full marks changes and Unchanged together as all upstreams that are listed.
	Full      bool                     `cbor:"5,keyasint,omitempty"`
	Unchanged []quetzalhook.UpstreamID `cbor:"6,keyasint,omitempty"`
}

// pulledUpstream is the record of an upstream between hosts: what is read from
// the store, and no more, since a list goes to every host of a cell.
type pulledUpstream struct {
	ID      quetzalhook.UpstreamID `cbor:"1,keyasint"`
	Version quetzalhook.Version    `cbor:"2,keyasint"`
	Removed bool                   `cbor:"3,keyasint,omitempty"`
	// LapsesIn is set for an upstream that is missing and may still come back.
	LapsesIn time.Duration             `cbor:"4,keyasint,omitempty"`
	Service  string                    `cbor:"5,keyasint,omitempty"`
	Address  string                    `cbor:"6,keyasint,omitempty"`
	Zone     quetzalhook.Zone          `cbor:"7,keyasint,omitempty"`
	Region   quetzalhook.Region        `cbor:"8,keyasint,omitempty"`
	Models   []quetzalhook.Model       `cbor:"9,keyasint,omitempty"`
	State    quetzalhook.UpstreamState `cbor:"10,keyasint,omitempty"`
	Slots    int                       `cbor:"11,keyasint,omitempty"`
	Cheap    bool                      `cbor:"12,keyasint,omitempty"`
	Started  int64                     `cbor:"13,keyasint,omitempty"`
	LeavesIn time.Duration             `cbor:"14,keyasint,omitempty"`
	// Registered is set with LapsesIn: the version of the record itself.
	Registered quetzalhook.Version `cbor:"15,keyasint,omitempty"`
}

func pulled(e *entry, now time.Time) pulledUpstream {
	u := e.upstream
	p := pulledUpstream{ID: u.ID, Version: e.version, Removed: !e.removed.IsZero()}
	if p.Removed {
		return p
	}
	if !e.lapses.IsZero() {
		p.LapsesIn, p.Registered = max(e.lapses.Sub(now), time.Millisecond), e.registered
	}
	p.Service, p.Address, p.Zone, p.Region, p.Models = u.Service, u.Address, u.Zone, u.Region, u.Models
	p.State, p.Slots, p.Cheap, p.Started, p.LeavesIn = u.State, u.Slots, u.Cheap, u.Started, u.LeavesIn
	return p
}

func (p pulledUpstream) upstream() quetzalhook.Upstream {
	return quetzalhook.Upstream{
		ID: p.ID, Service: p.Service, Address: p.Address, Zone: p.Zone, Region: p.Region, Models: p.Models, State: p.State,
		Slots: p.Slots, Cheap: p.Cheap, Started: p.Started, LeavesIn: p.LeavesIn,
	}
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
	for id, e := range f.entries {
		switch {
		case e.version > req.Complete:
			answer.Upstreams = append(answer.Upstreams, pulled(e, now))
		case answer.Full && e.removed.IsZero():
			answer.Unchanged = append(answer.Unchanged, id)
		}
	}
	f.mu.Unlock()
	return cbor.Marshal(answer)
}

// followPeers asks other hosts for changes that their heartbeats announce, and
// does the periodic work.
func (f *Follower) followPeers(ctx context.Context) {
	failures := 0 // rounds in a row in which no host answered
	for timing.Sleep(ctx, tick) {
		f.expire()
		f.settleLapses(ctx)
		hosts := f.ahead(failures > 0)
		if len(hosts) == 0 || f.pullAny(ctx, hosts, min(pullTimeout<<min(failures, maxDoublings), pullLongest)) {
			failures = 0
		} else {
			failures++
		}
	}
}

// maxDoublings keeps the shift of pullTimeout within the type.
const maxDoublings = 8

// pullAny asks hosts in turn until one answers.
func (f *Follower) pullAny(ctx context.Context, hosts []quetzalhook.HostID, timeout time.Duration) bool {
	for _, host := range hosts {
		err := f.pull(ctx, host, f.completeVersion(), timeout)
		if err == nil {
			return true
		}
		if ctx.Err() == nil {
			f.log.WithError(err).WithField("peer", host).WithField("timeout-ms", timeout.Milliseconds()).Info("changes not pulled")
		}
	}
	return false
}

func (f *Follower) completeVersion() quetzalhook.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.complete
}

// some returns a few hosts of the own cell, others each time.
func (f *Follower) some() []quetzalhook.HostID {
	var hosts []quetzalhook.HostID
	for _, m := range f.peers.Members() {
		if !m.Distant && m.IsAlive(watcherSilence) {
			hosts = append(hosts, m.Host)
		}
	}
	ranked := rendezvous.Rank(fmt.Sprint(f.host, f.clock.Now().UnixNano()/int64(tick)), hosts)
	return ranked[:min(pullAttempts, len(ranked))]
}

// ahead returns some hosts that know changes that this one does not. Those that
// watch the store come first, so that each host keeps connections to few others;
// which of them is asked first changes with time, for the case that one does not
// answer. Hosts of other cells count if none of the own cell is ahead, or if far
// is set.
func (f *Follower) ahead(far bool) []quetzalhook.HostID {
	table, upstreams := f.Versions()
	var hosts, near []quetzalhook.HostID
	for _, m := range f.peers.Members() {
		if m.ConfigVersion <= table && m.UpstreamVersion <= upstreams || !m.IsAlive(watcherSilence) {
			continue
		}
		if hosts = append(hosts, m.Host); !m.Distant {
			near = append(near, m.Host)
		}
	}
	if len(near) > 0 && !far {
		hosts = near
	}
	ranked := rendezvous.Rank(watcherKey, hosts)
	ranked = ranked[:min(pullAttempts, len(ranked))]
	return rendezvous.Rank(fmt.Sprint(f.host, f.clock.Now().UnixNano()/int64(tick)), ranked)
}

// pull asks one host for the changes of upstreams after a version, and for a
// newer table, and applies them.
func (f *Follower) pull(ctx context.Context, host quetzalhook.HostID, after quetzalhook.Version, timeout time.Duration) error {
	f.mu.Lock()
	req := pullRequest{Complete: after}
	if f.table != nil {
		req.Table = f.table.Version
	}
	f.mu.Unlock()
	body, err := cbor.Marshal(req)
	if err != nil {
		return &Error{Op: "pull", Kind: ErrorCorrupt, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
	listed := make(map[quetzalhook.UpstreamID]bool, len(answer.Upstreams)+len(answer.Unchanged))
	for _, id := range answer.Unchanged {
		listed[id] = true
	}
	for _, p := range answer.Upstreams {
		id := p.ID
		listed[id] = true
		e := f.entries[id]
		switch {
		case e != nil && !e.lapses.IsZero() && p.Removed && p.Version > e.registered:
			f.remove(now, id, e, p.Version, false) // it has left
		case e != nil && p.LapsesIn > 0 && !e.removed.IsZero() && e.version > p.Registered:
			// The other host does not know that it has left.
		case e != nil && p.Version <= e.version:
		case !p.Removed:
			f.set(p.upstream(), p.Version)
			if p.LapsesIn > 0 {
				f.entries[id].lapses, f.entries[id].registered = now.Add(p.LapsesIn), p.Registered
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
