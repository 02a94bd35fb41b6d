package journal

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/fleet/rendezvous"
)

const (
	// peerKind is the kind of calls that carry operations.
	peerKind = "journal-claim"
	// forwardTimeout bounds the wait for the preferred host, after which the
	// operations are committed directly.
	forwardTimeout = 500 * time.Millisecond
	// avoidFor is how long a preferred host that failed is passed over.
	avoidFor = 2 * time.Second
	// rankFor is how long a ranking of the members is used.
	rankFor = 250 * time.Millisecond
	// maxSilence is how long a preferred host may be silent.
	maxSilence = time.Second
)

// request carries operations on one shard to its preferred host.
type request struct {
	Shard      int         `cbor:"shard"`
	Operations []operation `cbor:"operations"`
}

type reply struct {
	Answers []answer `cbor:"answers"`
}

// preferredHost returns the host that should commit the shard.
func (l *lane) preferredHost() quetzalhook.HostID {
	if l.j.peers == nil {
		return l.j.host
	}
	now := l.j.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.preferred != "" && now.Sub(l.rankedAt) < rankFor {
		return l.preferred
	}
	hosts := []quetzalhook.HostID{l.j.host}
	for _, m := range l.j.peers.Members() {
		if !m.Draining && m.IsAlive(maxSilence) {
			hosts = append(hosts, m.Host)
		}
	}
	l.preferred, l.rankedAt = rendezvous.First(l.key, hosts), now
	return l.preferred
}

// forward sends the operations of this host to the preferred one, answers
// those that it decided, and returns the others for a direct commit. The nonce
// of a claim stays the same, so a claim that took effect on both ways is one.
func (l *lane) forward(to quetzalhook.HostID, batch []*pending) []*pending {
	var rest, sent []*pending
	r := request{Shard: l.shard}
	for _, p := range batch {
		if p.remote {
			rest = append(rest, p)
			continue
		}
		if !p.depart() {
			continue // its caller has left
		}
		sent = append(sent, p)
		r.Operations = append(r.Operations, p.op)
	}
	if len(sent) == 0 {
		return rest
	}
	answers, err := l.call(to, r)
	if err != nil {
		l.avoid = l.j.clock.Now().Add(avoidFor)
		for _, p := range sent {
			p.arrive(neverAbsent) // the other host may commit it at any time
		}
		return append(rest, sent...)
	}
	for i, p := range sent {
		if answers[i].Verdict == verdictLost {
			p.arrive(neverAbsent)
			rest = append(rest, p)
			continue
		}
		l.j.counters.forwarded.Add(1)
		p.answer <- answers[i]
	}
	return rest
}

func (l *lane) call(to quetzalhook.HostID, r request) ([]answer, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(l.j.ctx, forwardTimeout)
	defer cancel()
	body, err = l.j.peers.Call(ctx, to, peerKind, body)
	if err != nil {
		return nil, err
	}
	var a reply
	if err := cbor.Unmarshal(body, &a); err != nil {
		return nil, err
	}
	if len(a.Answers) != len(r.Operations) {
		return nil, errors.Errorf("%s answered %d of %d operations", to, len(a.Answers), len(r.Operations))
	}
	return a.Answers, nil
}

// handle commits the operations of another host. They are never sent on, even
// if this host prefers a third one.
func (j *Journal) handle(ctx context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	var r request
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "decode claims")
	}
	if r.Shard < 0 || r.Shard >= j.shards {
		return nil, errors.Errorf("shard %d does not exist", r.Shard)
	}
	ctx, cancel := context.WithTimeout(ctx, j.timeout)
	defer cancel()
	batch := make([]*pending, len(r.Operations))
	for i, op := range r.Operations {
		batch[i] = newPending(op, true)
	}
	if !j.lanes[r.Shard].enqueue(batch...) {
		return nil, errors.New("the journal is closed")
	}
	a := reply{Answers: make([]answer, len(batch))}
	for i, p := range batch {
		a.Answers[i] = p.wait(ctx)
	}
	return cbor.Marshal(a)
}
