package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/fair"
)

// TierUsage is what customers got lately in one tier of a model of a service.
type TierUsage struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	Model     quetzalhook.Model
	Tier      quetzalhook.Tier
	Customers []fair.Usage // most work first
}

// maxReportedTiers and maxReportedCustomers bound what is taken over from one message
// of another host, and maxReportedWork the work of one customer in ms.
const (
	maxReportedTiers     = 64
	maxReportedCustomers = 256
	maxReportedWork      = 1e9
)

// usageKey names the tier of a pool.
type usageKey struct {
	service string
	model   quetzalhook.Model
	tier    quetzalhook.Tier
}

// Usage counts what the customers of one host got lately, from whichever scheduler. It
// is not safe for concurrent use.
type Usage struct {
	tiers map[usageKey]*fair.Shares[struct{}]
	swept time.Time
}

// NewUsage returns a usage of nothing.
func NewUsage() *Usage { return &Usage{tiers: make(map[usageKey]*fair.Shares[struct{}])} }

// Charge counts a request that starts, with its expected work; see Scheduler.Work.
func (u *Usage) Charge(now time.Time, q quetzalhook.Request, work float64) {
	key := usageKey{service: q.Service, model: q.Model, tier: q.Class.Tier()}
	t := u.tiers[key]
	if t == nil {
		t = fair.New[struct{}](shareHalfLife)
		u.tiers[key] = t
	}
	t.Charge(now, t.Open(q.Customer), work)
	if now.Sub(u.swept) > sweepInterval {
		u.swept = now
		for _, t := range u.tiers {
			t.Sweep(now, negligibleWork, func(*fair.Account[struct{}]) bool { return false })
		}
	}
}

// Top returns the n customers that got most in each tier.
func (u *Usage) Top(now time.Time, n int) []TierUsage {
	var list []TierUsage
	for key, t := range u.tiers {
		list = appendUsage(list, key, t.Top(now, n))
	}
	return sortUsage(list)
}

func appendUsage(list []TierUsage, key usageKey, top []fair.Usage) []TierUsage {
	if len(top) == 0 {
		return list
	}
	return append(list, TierUsage{Service: key.service, Model: key.model, Tier: key.tier, Customers: top})
}

func sortUsage(list []TierUsage) []TierUsage {
	slices.SortFunc(list, func(a, b TierUsage) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Tier, b.Tier))
	})
	return list
}

// Usage returns the n customers that got most in each tier.
func (s *Scheduler) Usage(now time.Time, n int) []TierUsage {
	var list []TierUsage
	for _, p := range s.pools {
		for tier, t := range p.shares {
			list = appendUsage(list, usageKey{service: p.service, model: p.model, tier: tier}, t.Top(now, n))
		}
	}
	return sortUsage(list)
}

// AddUsage adds what customers got from other schedulers before this one.
func (s *Scheduler) AddUsage(now time.Time, list []TierUsage) {
	s.eachUsage(list, func(t *tierShares, a *account, work float64) { t.Charge(now, a, work) })
}

// RaiseUsage takes over what another scheduler knows of customers, including what this
// one knows.
func (s *Scheduler) RaiseUsage(now time.Time, list []TierUsage) {
	s.eachUsage(list, func(t *tierShares, a *account, work float64) {
		t.Charge(now, a, max(work-t.Service(now, a)*a.Weight(), 0))
	})
}

// eachUsage calls f for the accounts of a list from another host, within bounds.
func (s *Scheduler) eachUsage(list []TierUsage, f func(t *tierShares, a *account, work float64)) {
	for _, u := range list[:min(len(list), maxReportedTiers)] {
		p := s.pools[poolName(u.Service, u.Model)]
		if p == nil || s.promises == nil {
			continue // no engine serves it
		}
		t := s.sharesOf(p, u.Tier)
		for _, c := range u.Customers[:min(len(u.Customers), maxReportedCustomers)] {
			if c.Work > 0 && !math.IsInf(c.Work, 1) {
				f(t, t.Open(c.Customer), min(c.Work, maxReportedWork))
			}
		}
	}
}
