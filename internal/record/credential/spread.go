package credential

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"quetzalhook/internal/state/timing"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
)

// Kinds of peer calls.
const (
	withdrawalKind = "key-withdrawal"
	pullKind       = "key-pull"
)

const (
	// fanOut is the number of hosts that each host tells directly. With 8, a
	// withdrawal reaches 2,800 hosts in four steps.
	fanOut = 8
	// pullsPerRound bounds the members that are asked for withdrawals in one
	// round.
	pullsPerRound = 3
)

// withdrawalMessage carries withdrawals, or asks for those that differ.
type withdrawalMessage struct {
	Withdrawn []ID                 `cbor:"1,keyasint,omitempty"`
	Forward   []quetzalhook.HostID `cbor:"2,keyasint,omitempty"` // hosts that the receiver tells
	Buckets   []uint64             `cbor:"3,keyasint,omitempty"` // asks for withdrawals of buckets with another hash
}

// withdrawalAnswer holds the withdrawals asked for.
type withdrawalAnswer struct {
	Persisted []ID `cbor:"1,keyasint,omitempty"`
	Pending   []ID `cbor:"2,keyasint,omitempty"`
}

// pullMessage asks for the content of a shard.
type pullMessage struct {
	Shard int `cbor:"1,keyasint"`
}

// targets returns all known hosts, those heard last first, so that hosts that
// are missing do not delay others.
func (r *Registry) targets() []quetzalhook.HostID {
	members := slices.Clone(r.peers.Members())
	slices.SortStableFunc(members, func(a, b quetzalhook.Member) int { return cmp.Compare(a.Silent, b.Silent) })
	hosts := make([]quetzalhook.HostID, len(members))
	for i, m := range members {
		hosts[i] = m.Host
	}
	return hosts
}

// spread tells withdrawals to hosts: up to fanOut directly, each of which
// tells its part of the others.
func (r *Registry) spread(ctx context.Context, ids []ID, hosts []quetzalhook.HostID) (reached int, missed []quetzalhook.HostID) {
	groups := make([][]quetzalhook.HostID, min(fanOut, len(hosts)))
	for i, h := range hosts {
		groups[i%fanOut] = append(groups[i%fanOut], h)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, group := range groups {
		wg.Go(func() {
			lost, ok := r.tellGroup(ctx, ids, group)
			mu.Lock()
			defer mu.Unlock()
			missed = append(missed, lost...)
			if ok {
				reached++
			}
		})
	}
	wg.Wait()
	slices.Sort(missed)
	return reached, missed
}

// tellGroup tells the first host of a group that answers and leaves the rest
// of the group to it. It returns the hosts that did not answer.
func (r *Registry) tellGroup(ctx context.Context, ids []ID, group []quetzalhook.HostID) (lost []quetzalhook.HostID, ok bool) {
	for i, h := range group {
		_, err := r.call(ctx, h, withdrawalMessage{Withdrawn: ids, Forward: group[i+1:]})
		if err == nil {
			return lost, true
		}
		lost = append(lost, h)
	}
	return lost, false
}

func (r *Registry) call(ctx context.Context, host quetzalhook.HostID, m withdrawalMessage) (withdrawalAnswer, error) {
	var answer withdrawalAnswer
	body, err := cbor.Marshal(m)
	if err != nil {
		return answer, &Error{Op: "spread", Kind: ErrorCorrupt, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := r.peers.Call(ctx, host, withdrawalKind, body)
	if err != nil {
		return answer, &Error{Op: "spread", Kind: ErrorUnavailable, Err: err}
	}
	if err := cbor.Unmarshal(reply, &answer); err != nil {
		return answer, &Error{Op: "spread", Kind: ErrorCorrupt, Err: err}
	}
	return answer, nil
}

func (r *Registry) handleWithdrawal(_ context.Context, from quetzalhook.HostID, body []byte) ([]byte, error) {
	var m withdrawalMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "receive", Kind: ErrorCorrupt, Err: err}
	}
	if news := r.table.withdraw(r.clock.Now(), m.Withdrawn, false, false); len(news) > 0 {
		r.log.WithFields(logrus.Fields{"keys": len(news), "from": from}).Info("keys withdrawn")
	}
	if len(m.Forward) > 0 {
		// The sender waits for this host only, not for those behind it.
		r.spawn(func() { r.spread(r.ctx, m.Withdrawn, m.Forward) })
	}
	var answer withdrawalAnswer
	if len(m.Buckets) > 0 {
		answer.Persisted, answer.Pending = r.table.differing(m.Buckets)
	}
	return cbor.Marshal(answer)
}

// digest describes the withdrawn keys of a host.
type digest struct {
	count int
	hash  uint64
}

// syncState says when this host last knew all withdrawals of another host.
type syncState struct {
	at     time.Time
	digest digest // all withdrawals of this digest are known here
}

// followPeers compares digests and pulls withdrawals that are missing here.
func (r *Registry) followPeers(ctx context.Context) {
	for timing.Sleep(ctx, interval) {
		for _, m := range r.compare(r.peers.Members()) {
			r.pullWithdrawals(ctx, m)
		}
	}
}

// compare updates the sync state of all members and returns some whose
// withdrawals may be missing here, each with another digest.
func (r *Registry) compare(members []quetzalhook.Member) []quetzalhook.Member {
	now := r.clock.Now()
	count, hash := r.table.digest()
	own := digest{count, hash}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := make(map[quetzalhook.HostID]syncState, len(members))
	asked := make(map[digest]bool)
	var ask []quetzalhook.Member
	for _, m := range members {
		d, state := digest{m.WithdrawnCount, m.WithdrawnHash}, r.synced[m.Host]
		switch heard := now.Add(-m.Silent); {
		case d == own || d == state.digest && !state.at.IsZero():
			if heard.After(state.at) {
				state.at = heard
			}
			state.digest = d
		case !asked[d] && len(ask) < pullsPerRound && m.IsAlive(aliveLimit):
			asked[d] = true
			ask = append(ask, m)
		}
		known[m.Host] = state
	}
	r.synced = known
	return ask
}

// pullWithdrawals asks a member for the withdrawals that are missing here.
func (r *Registry) pullWithdrawals(ctx context.Context, m quetzalhook.Member) {
	begin := r.clock.Now()
	answer, err := r.call(ctx, m.Host, withdrawalMessage{Buckets: r.table.bucketHashes()})
	if err != nil {
		r.log.WithError(err).WithField("peer", m.Host).Debug("withdrawals not pulled")
		return
	}
	r.table.withdraw(r.clock.Now(), answer.Persisted, true, false)
	r.table.withdraw(r.clock.Now(), answer.Pending, false, false)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.synced[m.Host] = syncState{at: begin, digest: digest{m.WithdrawnCount, m.WithdrawnHash}}
}

func (r *Registry) handlePull(_ context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	var m pullMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "receive", Kind: ErrorCorrupt, Err: err}
	}
	if !r.isLoaded() {
		return nil, &Error{Op: "receive", Kind: ErrorUnavailable, Err: errors.New("keys are not loaded")}
	}
	return cbor.Marshal(r.table.content(m.Shard))
}

// pullShard merges a shard from one of the members heard last.
func (r *Registry) pullShard(ctx context.Context, n int) error {
	hosts := r.targets()
	err := error(&Error{Op: "pull", Kind: ErrorUnavailable, Err: errors.New("no other host is known")})
	for _, h := range hosts[:min(len(hosts), pullsPerRound)] {
		if err = r.pullFrom(ctx, h, n); err == nil {
			return nil
		}
	}
	return err
}

// pullAll merges all shards from peers.
func (r *Registry) pullAll(ctx context.Context) error {
	for n := range shardCount {
		if err := r.pullShard(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (r *Registry) pullFrom(ctx context.Context, host quetzalhook.HostID, n int) error {
	body, err := cbor.Marshal(pullMessage{Shard: n})
	if err != nil {
		return &Error{Op: "pull", Kind: ErrorCorrupt, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := r.peers.Call(ctx, host, pullKind, body)
	if err != nil {
		return &Error{Op: "pull", Kind: ErrorUnavailable, Err: err}
	}
	var s shard
	if err := cbor.Unmarshal(reply, &s); err != nil {
		return &Error{Op: "pull", Kind: ErrorCorrupt, Err: err}
	}
	r.table.merge(r.clock.Now(), s)
	return nil
}
