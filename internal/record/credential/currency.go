package credential

import (
	"fmt"
	"time"
)

// infiniteAge is the age reported while no read of the store counts; see
// storeAge.
const infiniteAge = time.Duration(1<<63 - 1)

// StoreAge returns the time since this host last read the index of withdrawn
// keys or loaded all keys from the store. Heartbeats carry it. It returns the
// maximum duration until reads without a gap over the currency limit span the
// settle time.
func (r *Registry) StoreAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeAge(r.clock.Now())
}

// storeAge implements StoreAge; the caller holds r.mu. It does not count reads
// until they span the settle time: withdrawals that other hosts accepted
// earlier may not have been in the store yet at the time of a read.
func (r *Registry) storeAge(now time.Time) time.Duration {
	if r.contact.IsZero() || r.contact.Sub(r.contactSince) < r.settleTime {
		return infiniteAge
	}
	return now.Sub(r.contact)
}

// Current reports whether this host may accept keys, because it can establish
// that it knows all withdrawals. If it cannot, Current returns the reason, and
// the host must refuse requests. One of these conditions must hold:
//
//   - This host read the store within the currency limit.
//   - A peer read the store within the currency limit, and this host knows all
//     withdrawals of that peer.
//   - This host knows all withdrawals of every known peer, and has heard each of
//     them within the currency limit. This covers an outage of the store.
//
// A host that has just started waits for the settle time first; see
// WithSettleTime.
//
// The drawback: while the store is down, one peer that disappears without a
// planned stop makes all hosts refuse requests after the currency limit.
//
// Three cases are not covered. If a host that reaches neither the store nor any
// peer accepts a withdrawal, the other hosts do not learn of it; the result of
// Withdraw tells the operator. A withdrawal is lost if all hosts that know it
// stop before it is in the store. A store that returns stale data is
// indistinguishable from one that is up to date.
func (r *Registry) Current(now time.Time) (ok bool, reason string) {
	members := r.peers.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return false, "keys have not been loaded"
	}
	if now.Sub(r.loadedAt) < r.settleTime {
		return false, "keys were loaded less than the settle time ago"
	}
	if r.storeAge(now) <= r.currencyLimit {
		return true, ""
	}
	missing := 0
	for _, m := range members {
		age := now.Sub(r.synced[m.Host].at)
		if age > r.currencyLimit {
			missing++
			continue
		}
		if m.StoreAge <= r.currencyLimit-age {
			return true, ""
		}
	}
	if missing > 0 {
		return false, fmt.Sprintf("no contact with the store for %s, and %d of %d known hosts are not heard",
			r.currencyLimit, missing, len(members))
	}
	return true, ""
}
