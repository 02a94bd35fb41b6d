package dispatch

import "quetzalhook"

// load counts requests and their predicted work by tier.
type load struct {
	tiers [2][quetzalhook.TierCount]struct {
		work  float64
		count int
	}
}

// at returns where the entry is counted: 0 without a slot, 1 with one.
func (l *load) at(e *entry) (int, bool) {
	switch e.counted {
	case stateWaiting, stateDelayed, stateClaimed:
		return 0, true
	case stateRunning, stateStopping:
		return 1, true
	}
	return 0, false
}

// add counts the entry by its state.
func (l *load) add(e *entry) {
	e.counted = e.state
	if i, ok := l.at(e); ok {
		t := &l.tiers[i][e.Request.Class.Tier()]
		t.work += e.Work
		t.count++
	}
}

// remove reverses add.
func (l *load) remove(e *entry) {
	i, ok := l.at(e)
	if !ok {
		return
	}
	t := &l.tiers[i][e.Request.Class.Tier()]
	t.work -= e.Work
	if t.count--; t.count == 0 {
		t.work = 0 // drops rounding errors
	}
	e.counted = stateEnded
}

// work returns the predicted work at i by tier.
func (l *load) work(i int) (sum [quetzalhook.TierCount]float64) {
	for tier := range sum {
		sum[tier] = l.tiers[i][tier].work
	}
	return sum
}

func (l *load) waiting() [quetzalhook.TierCount]float64 { return l.work(0) }
func (l *load) running() [quetzalhook.TierCount]float64 { return l.work(1) }

// held returns the number of requests that hold a slot.
func (l *load) held() (n int) {
	for tier := range l.tiers[1] {
		n += l.tiers[1][tier].count
	}
	return n
}

// queued returns the number of requests without a slot, and how many of them
// are urgent.
func (l *load) queued() (n, urgent int) {
	for tier := range l.tiers[0] {
		n += l.tiers[0][tier].count
	}
	return n, l.tiers[0][quetzalhook.TierUrgent].count
}

// requests returns the number of waiting and running requests by tier.
func (l *load) requests() (n [quetzalhook.TierCount]int) {
	for tier := range n {
		n[tier] = l.tiers[0][tier].count + l.tiers[1][tier].count
	}
	return n
}
