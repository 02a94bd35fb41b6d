// Package fair shares a resource between customers by work and weight.
//
// Shares keeps an account of the work that each customer got. Customers with
// waiting work are served in the order of their work per weight (start-time fair
// queueing). What lies in the past is forgotten in one of two ways. Without a
// half-life, a customer that begins to wait is raised to the virtual time of the
// latest start, so that it gets no credit for the time without work. With a
// half-life, all accounts decay at the same rate: heavy use in the past ends to
// count, and the credit of a quiet customer is at most what others got lately.
//
// The package does no I/O, starts no goroutine and reads no clock. Callers
// serialise the calls and pass a time that never decreases.
package fair

import (
	"math"
	"time"

	"quetzalhook"
)

// Account is the work that one customer got. Value belongs to the user of the
// package.
type Account[V any] struct {
	Value    V
	customer quetzalhook.CustomerID
	weight   float64
	service  float64 // work per weight, times Shares.scale at the time of the work
	position int     // in Shares.ready, or -1
}

// Customer returns the owner of the account.
func (a *Account[V]) Customer() quetzalhook.CustomerID { return a.customer }

// Weight returns the weight of the customer.
func (a *Account[V]) Weight() float64 { return a.weight }

// SetWeight sets the weight of the customer; values that are not positive count as 1.
func (a *Account[V]) SetWeight(w float64) {
	if !(w > 0) || math.IsInf(w, 1) {
		w = 1
	}
	a.weight = w
}

// Shares holds the accounts of the customers of one resource.
type Shares[V any] struct {
	accounts    map[quetzalhook.CustomerID]*Account[V]
	ready       []*Account[V] // heap of the accounts with work that may start
	virtualTime float64       // service of the account that started last
	halfLife    time.Duration // 0 if accounts do not decay
	scaledAt    time.Time     // the time at which the scale is 1
	demands     []demand      // scratch space of Level
}

// New returns shares without accounts. With a half-life above 0, accounts decay.
func New[V any](halfLife time.Duration) *Shares[V] {
	return &Shares[V]{accounts: make(map[quetzalhook.CustomerID]*Account[V]), halfLife: halfLife}
}

// Len returns the number of accounts.
func (s *Shares[V]) Len() int { return len(s.accounts) }

// Find returns the account of a customer, or nil.
func (s *Shares[V]) Find(id quetzalhook.CustomerID) *Account[V] { return s.accounts[id] }

// Open returns the account of a customer, and creates it if there is none.
func (s *Shares[V]) Open(id quetzalhook.CustomerID) *Account[V] {
	a := s.accounts[id]
	if a == nil {
		a = &Account[V]{customer: id, weight: 1, position: -1}
		s.Raise(a)
		s.accounts[id] = a
	}
	return a
}

// Raise is called when a customer begins to wait. Without a half-life, it takes
// the credit of the time without work.
func (s *Shares[V]) Raise(a *Account[V]) {
	if s.halfLife == 0 {
		a.service = max(a.service, s.virtualTime)
	}
}

// Start records that work of an account starts.
func (s *Shares[V]) Start(a *Account[V]) { s.virtualTime = max(s.virtualTime, a.service) }

// Charge adds work to an account; negative work corrects an earlier charge.
func (s *Shares[V]) Charge(now time.Time, a *Account[V], work float64) {
	a.service += work / a.weight * s.scale(now)
	if s.halfLife > 0 {
		a.service = max(a.service, 0)
	}
	if a.position >= 0 {
		s.fix(a.position)
	}
}

// Service returns the work per weight of an account, as of now.
func (s *Shares[V]) Service(now time.Time, a *Account[V]) float64 { return a.service / s.scale(now) }

// IsForgettable reports whether a new account would be equal to this one, apart
// from less than the given work per weight.
func (s *Shares[V]) IsForgettable(now time.Time, a *Account[V], work float64) bool {
	if s.halfLife == 0 {
		return a.service <= s.virtualTime
	}
	return s.Service(now, a) <= work
}

// Forget deletes an account that is not ready.
func (s *Shares[V]) Forget(a *Account[V]) { delete(s.accounts, a.customer) }

// maxScaleExponent bounds the scale to 2^64, far from the limits of float64.
const maxScaleExponent = 64

// scale returns the factor by which work counts more than the same work at
// scaledAt. Scaling new work up instead of old work down keeps the order of the
// heap without a change of every account.
func (s *Shares[V]) scale(now time.Time) float64 {
	if s.halfLife == 0 {
		return 1
	}
	if s.scaledAt.IsZero() {
		s.scaledAt = now
	}
	exponent := float64(now.Sub(s.scaledAt)) / float64(s.halfLife)
	if exponent > maxScaleExponent {
		factor := math.Exp2(-exponent)
		for _, a := range s.accounts {
			a.service *= factor
		}
		s.virtualTime *= factor
		s.scaledAt, exponent = now, 0
	}
	return math.Exp2(exponent)
}
