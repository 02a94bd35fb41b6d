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
	// forwardKind is the kind of the peer calls that forward operations.
	forwardKind = "journal-claim"
	// forwardTimeout limits the wait for the preferred host's answers. After it,
	// the operations are committed directly.
	forwardTimeout = 500 * time.Millisecond
	// forwardPause is how long operations are committed directly after forwarding
	// has failed.
	forwardPause = 2 * time.Second
	// rankInterval is how long the choice of the preferred host is reused.
	rankInterval = 250 * time.Millisecond
	// maxSilence is how long a host may be silent and still be chosen as the
	// preferred host.
	maxSilence = time.Second
)

// request carries operations on one shard to its preferred host.
type request struct {
	Shard      int         `cbor:"shard"`
	Operations []operation `cbor:"operations"`
}

// reply has one answer for each operation of a request, in the same order.
type reply struct {
	Answers []answer `cbor:"answers"`
}

// preferredHost returns the host that should commit the operations of the
// shard.
func (c *committer) preferredHost() quetzalhook.HostID {
	if c.j.peers == nil {
		return c.j.host
	}
	now := c.j.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preferred != "" && now.Sub(c.rankedAt) < rankInterval {
		return c.preferred
	}
	hosts := []quetzalhook.HostID{c.j.host}
	for _, m := range c.j.peers.Members() {
		if !m.Draining && m.IsAlive(maxSilence) {
			hosts = append(hosts, m.Host)
		}
	}
	c.preferred, c.rankedAt = rendezvous.First(c.key, hosts), now
	return c.preferred
}

// forward sends the operations of this host to the preferred host, delivers its
// answers, and returns the operations that must be committed directly. An
// operation keeps its nonce, so a claim that is committed on both paths counts
// as one.
func (c *committer) forward(to quetzalhook.HostID, batch []*pending) []*pending {
	var rest, sent []*pending
	r := request{Shard: c.shard}
	for _, p := range batch {
		if p.remote {
			rest = append(rest, p)
			continue
		}
		if !p.beginSend() {
			continue // cancelled
		}
		sent = append(sent, p)
		r.Operations = append(r.Operations, p.op)
	}
	if len(sent) == 0 {
		return rest
	}
	answers, err := c.call(to, r)
	if err != nil {
		c.forwardAfter = c.j.clock.Now().Add(forwardPause)
		for _, p := range sent {
			p.endSend(unprovableBase) // the other host may commit it at any time
		}
		return append(rest, sent...)
	}
	for i, p := range sent {
		if answers[i].Status == statusUnknown {
			p.endSend(unprovableBase)
			rest = append(rest, p)
			continue
		}
		c.j.counters.forwarded.Add(1)
		p.answer <- answers[i]
	}
	return rest
}

func (c *committer) call(to quetzalhook.HostID, r request) ([]answer, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(c.j.ctx, forwardTimeout)
	defer cancel()
	body, err = c.j.peers.Call(ctx, to, forwardKind, body)
	if err != nil {
		return nil, err
	}
	var a reply
	if err := cbor.Unmarshal(body, &a); err != nil {
		return nil, err
	}
	if len(a.Answers) != len(r.Operations) {
		return nil, errors.Errorf("host %s answered %d of %d operations", to, len(a.Answers), len(r.Operations))
	}
	return a.Answers, nil
}

// handleForwarded commits operations received from another host. They are never
// forwarded again, even if this host considers a third one to be the preferred
// host.
func (j *Journal) handleForwarded(ctx context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	var r request
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "decode forwarded operations")
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
	if !j.committers[r.Shard].enqueue(batch...) {
		return nil, errors.New("journal is closed")
	}
	a := reply{Answers: make([]answer, len(batch))}
	for i, p := range batch {
		a.Answers[i] = p.wait(ctx)
	}
	return cbor.Marshal(a)
}
