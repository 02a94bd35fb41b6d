package capacity

import (
	"math"
	"testing"
	"time"
)

// TestSpendingFollowsDemand guards against a fleet that stays large at night or
// grows too late in the morning. It simulates a day in which demand varies between
// 10% and 100% of the peak, and upstreams start two minutes after the order.
func TestSpendingFollowsDemand(t *testing.T) {
	const step, startSteps = 30 * time.Second, 4 // steps until an ordered upstream is ready
	in := Input{Zones: []Zone{{Zone: "a"}, {Zone: "b"}, {Zone: "c"}}, Slots: 8, RegularPrice: 4, CheapPrice: 1.2}
	var state State
	var pending [startSteps][]Order
	var spent, served, short, orders float64
	var nightSpent, nightServed float64
	now := epoch
	for i := range int(24 * time.Hour / step) {
		now = now.Add(step)
		day := 0.55 - 0.45*math.Cos(2*math.Pi*float64(i)*step.Hours()/24)
		in.Demand[0], in.Demand[2] = 40*day, 120*day
		var plan []Order
		plan, state = Plan(now, state, in)
		orders += float64(len(plan))
		apply(&in, pending[i%startSteps])
		pending[i%startSteps] = plan
		price, slots := 0.0, 0.0
		for _, z := range in.Zones {
			price += float64(z.Regular)*in.RegularPrice + float64(z.Cheap)*in.CheapPrice
			slots += float64((z.Regular + z.Cheap) * in.Slots)
		}
		demand := in.Demand[0] + in.Demand[2]
		spent += price * step.Hours()
		served += demand * step.Hours()
		short += max(demand-slots, 0) * step.Hours()
		if day < 0.3 {
			nightSpent += price * step.Hours()
			nightServed += demand * step.Hours()
		}
	}
	night, day := nightSpent/nightServed, (spent-nightSpent)/(served-nightServed)
	t.Logf("%.0f orders, spending for a slot-hour: day %.3f, night %.3f, short of %.2f%%", orders, day, night, 100*short/served)
	if night > 1.5*day {
		t.Errorf("spending for a slot-hour: got %.3f at night and %.3f by day, want at most 1.5 times", night, day)
	}
	if short > 0.001*served {
		t.Errorf("got %.2f%% of the demand without a slot, want at most 0.1%%", 100*short/served)
	}
	if orders > 200 {
		t.Errorf("got %.0f orders in a day, want at most 200", orders)
	}
}
