package health

import "time"

const (
	// budgetWindow is the time over which traffic and retries are compared.
	budgetWindow  = 10 * time.Second
	budgetBuckets = 10
)

// Budget limits retries to a share of traffic plus a small constant, so that
// retries cannot multiply the load of a failing fleet.
type Budget struct {
	ratio   float64
	minimum int
	buckets [budgetBuckets]budgetBucket
}

type budgetBucket struct {
	epoch    int64
	requests int
	retries  int
}

// NewBudget returns a budget that allows, in any 10 s, ratio retries for each
// request and minimum retries on top.
func NewBudget(ratio float64, minimum int) *Budget {
	return &Budget{ratio: ratio, minimum: minimum}
}

// Record counts one request, not a retry.
func (b *Budget) Record(now time.Time) { b.bucket(now).requests++ }

// Allow reports whether one more retry is within the budget, and counts it if
// so.
func (b *Budget) Allow(now time.Time) bool {
	current := b.bucket(now)
	requests, retries := 0, 0
	for _, k := range b.buckets {
		if current.epoch-k.epoch < budgetBuckets {
			requests += k.requests
			retries += k.retries
		}
	}
	if float64(retries+1) > b.ratio*float64(requests)+float64(b.minimum) {
		return false
	}
	current.retries++
	return true
}

func (b *Budget) bucket(now time.Time) *budgetBucket {
	epoch := now.UnixNano() / int64(budgetWindow/budgetBuckets)
	k := &b.buckets[((epoch%budgetBuckets)+budgetBuckets)%budgetBuckets]
	if k.epoch != epoch {
		*k = budgetBucket{epoch: epoch}
	}
	return k
}
