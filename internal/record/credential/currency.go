package credential

import (
	"fmt"
	"time"
)

// never is the age of a contact that has not happened.
const never = time.Duration(1<<63 - 1)

// StoreAge returns the time since this host last read the store as a watcher
// of the keys, for the heartbeat; the longest duration while it has no
// contact that shows it to be current.
func (r *Registry) StoreAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeAge(r.clock.Now())
}

// storeAge ignores contacts that have just begun: withdrawals that others
// accepted before may not have been in the store when it was read.
func (r *Registry) storeAge(now time.Time) time.Duration {
	if r.contact.IsZero() || r.contact.Sub(r.contactSince) < r.settle {
		return never
	}
	return now.Sub(r.contact)
}

// Current reports whether this host can show that it knows all withdrawals,
// and the reason if it cannot. It must refuse requests then. It can show it
//
//   - by own contact with the store within the currency limit,
//   - by a peer with such contact all of whose withdrawals are known here, or
//   - while the store is down, by having all withdrawals of every known peer,
//     each heard within the limit.
//
// A host that has just started settles first, see WithSettleTime.
//
// The cost: while the store is down, one peer that is missing without a
// planned stop makes all hosts refuse after the limit. Cases that stay open: a
// withdrawal accepted by a host that reaches neither the store nor any peer is
// unknown to the others, and Withdraw tells the operator so; a withdrawal is
// lost if all hosts that know it stop before it is in the store; a store that
// answers with old state looks like contact.
func (r *Registry) Current(now time.Time) (ok bool, reason string) {
	members := r.peers.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return false, "keys have not been loaded"
	}
	if now.Sub(r.loadedAt) < r.settle {
		return false, "keys have just been loaded"
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
		return false, fmt.Sprintf("no store contact for %s and %d of %d known hosts are missing",
			r.currencyLimit, missing, len(members))
	}
	return true, ""
}
