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

// Names of the peer calls.
const (
	withdrawalKind = "key-withdrawal"
	pullKind       = "key-pull"
)

const (
	// fanOut is the number of hosts to which each host sends a withdrawal
	// directly. With 8, it reaches 2,800 hosts in four steps.
	fanOut = 8
	// maxPullsPerRound is the maximum number of members that one round pulls
	// withdrawals from, or that are tried to pull one shard.
	maxPullsPerRound = 3
)

// withdrawalMessage sends withdrawals to a host, or requests the withdrawals of
// the buckets in which the two hosts differ.
type withdrawalMessage struct {
	Withdrawn []ID                 `cbor:"1,keyasint,omitempty"`
	Forward   []quetzalhook.HostID `cbor:"2,keyasint,omitempty"` // hosts to which the receiver passes Withdrawn on
	Buckets   []uint64             `cbor:"3,keyasint,omitempty"` // the sender's bucket hashes, to request the withdrawals of differing buckets
}

// withdrawalAnswer holds the requested withdrawals.
type withdrawalAnswer struct {
	Persisted []ID `cbor:"1,keyasint,omitempty"`
	Pending   []ID `cbor:"2,keyasint,omitempty"`
}

// pullMessage requests the content of a shard.
type pullMessage struct {
	Shard int `cbor:"1,keyasint"`
}

// membersByRecency returns all known hosts, the most recently heard first, so
// that hosts that do not answer do not delay the others.
func (r *Registry) membersByRecency() []quetzalhook.HostID {
	members := slices.Clone(r.peers.Members())
	slices.SortStableFunc(members, func(a, b quetzalhook.Member) int { return cmp.Compare(a.Silent, b.Silent) })
	hosts := make([]quetzalhook.HostID, len(members))
	for i, m := range members {
		hosts[i] = m.Host
	}
	return hosts
}

// spread sends withdrawals to hosts as a tree. It divides the hosts into up to
// fanOut groups and calls one host of each group, which passes the withdrawals
// on to the rest of its group. It returns the number of groups in which a host
// confirmed, and the hosts that did not answer.
func (r *Registry) spread(ctx context.Context, ids []ID, hosts []quetzalhook.HostID) (reached int, missed []quetzalhook.HostID) {
	groups := make([][]quetzalhook.HostID, min(fanOut, len(hosts)))
	for i, h := range hosts {
		groups[i%fanOut] = append(groups[i%fanOut], h)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, group := range groups {
		wg.Go(func() {
			unreachable, ok := r.notifyGroup(ctx, ids, group)
			mu.Lock()
			defer mu.Unlock()
			missed = append(missed, unreachable...)
			if ok {
				reached++
			}
		})
	}
	wg.Wait()
	slices.Sort(missed)
	return reached, missed
}

// notifyGroup sends withdrawals to the hosts of a group in turn until one
// confirms; that host then passes them on to the hosts after it. It returns the
// hosts that did not answer, and whether one confirmed.
func (r *Registry) notifyGroup(ctx context.Context, ids []ID, group []quetzalhook.HostID) (unreachable []quetzalhook.HostID, ok bool) {
	for i, h := range group {
		_, err := r.call(ctx, h, withdrawalMessage{Withdrawn: ids, Forward: group[i+1:]})
		if err == nil {
			return unreachable, true
		}
		r.log.WithError(err).WithField("peer", h).Warn("withdrawal not confirmed")
		unreachable = append(unreachable, h)
	}
	return unreachable, false
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
	if added := r.table.withdraw(r.clock.Now(), m.Withdrawn, false, false); len(added) > 0 {
		r.log.WithFields(logrus.Fields{"keys": len(added), "from": from}).Info("keys withdrawn")
	}
	if len(m.Forward) > 0 {
		// In the background, so that the sender waits only for this host and not
		// for the hosts that it passes the withdrawals on to.
		r.spawn(func() { r.spread(r.ctx, m.Withdrawn, m.Forward) })
	}
	var answer withdrawalAnswer
	if len(m.Buckets) > 0 {
		answer.Persisted, answer.Pending = r.table.differingWithdrawals(m.Buckets)
	}
	return cbor.Marshal(answer)
}

// digest summarises the withdrawn keys of a host: their number and the XOR of
// their hashes.
type digest struct {
	count int
	hash  uint64
}

// syncState records when this host last knew all withdrawals of another host.
type syncState struct {
	at     time.Time // when this host last knew all withdrawals of the other
	digest digest    // a digest of the other host; this host knows all withdrawals that it covers
}

// followPeers compares the digests of the members in every round and pulls the
// withdrawals that this host lacks.
func (r *Registry) followPeers(ctx context.Context) {
	for timing.Sleep(ctx, syncInterval) {
		for _, m := range r.compareDigests(r.peers.Members()) {
			r.pullWithdrawals(ctx, m)
		}
	}
}

// compareDigests updates the sync state of all members. It returns up to
// maxPullsPerRound members that may know withdrawals that this host lacks, no
// two with the same digest.
func (r *Registry) compareDigests(members []quetzalhook.Member) []quetzalhook.Member {
	now := r.clock.Now()
	count, hash := r.table.digest()
	own := digest{count, hash}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := make(map[quetzalhook.HostID]syncState, len(members))
	queried := make(map[digest]bool)
	var toPull []quetzalhook.Member
	for _, m := range members {
		d, state := digest{m.WithdrawnCount, m.WithdrawnHash}, r.synced[m.Host]
		switch heard := now.Add(-m.Silent); {
		case d == own || d == state.digest && !state.at.IsZero():
			if heard.After(state.at) {
				state.at = heard
			}
			state.digest = d
		case !queried[d] && len(toPull) < maxPullsPerRound && m.IsAlive(memberTimeout):
			queried[d] = true
			toPull = append(toPull, m)
		}
		known[m.Host] = state
	}
	r.synced = known
	return toPull
}

// pullWithdrawals requests the withdrawals that this host lacks from a member.
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
	return cbor.Marshal(r.table.shardContent(m.Shard))
}

// pullShard reads a shard from one of the members heard most recently.
func (r *Registry) pullShard(ctx context.Context, n int) error {
	hosts := r.membersByRecency()
	err := error(&Error{Op: "pull", Kind: ErrorUnavailable, Err: errors.New("no other host is known")})
	for _, h := range hosts[:min(len(hosts), maxPullsPerRound)] {
		if err = r.pullFrom(ctx, h, n); err == nil {
			return nil
		}
	}
	return err
}

// pullAll reads all shards from peers.
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
