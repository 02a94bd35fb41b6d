package health

import "time"

const (
	// budgetWindow is the period over which requests and retries are counted.
	budgetWindow  = 10 * time.Second
	budgetBuckets = 10
)

// Budget limits retries to a fraction of the requests plus a small constant, so
// that retries cannot multiply the load on failing upstreams.
type Budget struct {
	ratio      float64
	minRetries int
	buckets    [budgetBuckets]budgetBucket
}

type budgetBucket struct {
	second   int64
	requests int
	retries  int
}

// NewBudget returns a budget that allows, in any 10 s, ratio retries for each
// request and minRetries on top.
func NewBudget(ratio float64, minRetries int) *Budget {
	return &Budget{ratio: ratio, minRetries: minRetries}
}

// Record counts one request, not a retry.
func (b *Budget) Record(now time.Time) { b.bucket(now).requests++ }

// Allow reports whether one more retry is within the budget, and counts it if
// so.
func (b *Budget) Allow(now time.Time) bool {
	current := b.bucket(now)
	requests, retries := 0, 0
	for _, k := range b.buckets {
		if current.second-k.second < budgetBuckets {
			requests += k.requests
			retries += k.retries
		}
	}
	if float64(retries+1) > b.ratio*float64(requests)+float64(b.minRetries) {
		return false
	}
	current.retries++
	return true
}

func (b *Budget) bucket(now time.Time) *budgetBucket {
	second := now.UnixNano() / int64(budgetWindow/budgetBuckets)
	k := &b.buckets[((second%budgetBuckets)+budgetBuckets)%budgetBuckets]
	if k.second != second {
		*k = budgetBucket{second: second}
	}
	return k
}
