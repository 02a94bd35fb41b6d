package trial

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

// ClassResult holds the figures of one class.
type ClassResult struct {
	Class      string  `json:"class"`
	Sent       int     `json:"sent"`
	Served     int     `json:"served"`
	InTarget   int     `json:"in-target"`
	Refused    int     `json:"refused"`
	Attainment float64 `json:"attainment"`
	TTFTP50    float64 `json:"ttft-p50-ms"`
	TTFTP95    float64 `json:"ttft-p95-ms"`
	TTFTP99    float64 `json:"ttft-p99-ms"`
	// WorstAttainment is the lowest attainment of a customer in this class, and
	// WorstGap the points by which it is below the class's mean.
	WorstCustomer   quetzalhook.CustomerID `json:"worst-customer"`
	WorstAttainment float64                `json:"worst-attainment"`
	WorstGap        float64                `json:"worst-gap"`
}

// Result holds the figures of one run.
type Result struct {
	Workload string        `json:"workload"`
	Row      string        `json:"row"`
	Policy   string        `json:"policy"`
	Fits     bool          `json:"fits"`
	Classes  []ClassResult `json:"classes"`
	// WorstGap is the largest WorstGap of all classes, and WorstCustomer the
	// customer concerned.
	WorstGap      float64                `json:"worst-gap"`
	WorstCustomer quetzalhook.CustomerID `json:"worst-customer"`
	// Goodput is the useful tokens/s while requests arrive, BusyGoodput in the
	// burst's ten seconds.
	Goodput     float64 `json:"goodput"`
	BusyGoodput float64 `json:"busy-goodput"`
	// Wasted is the fraction of output tokens that reached no served request.
	Wasted float64 `json:"wasted"`
	// Spending is the cost of all upstreams for the run, PerMillion for a
	// million useful tokens.
	Spending   float64 `json:"spending"`
	PerMillion float64 `json:"spending-per-million"`
	// CheapShare is the fraction of output tokens from reclaimable upstreams.
	CheapShare float64 `json:"cheap-share"`
	useful     float64
	Unfinished int `json:"unfinished"`
	// PeakOverload is the largest number of requests on one engine relative to
	// its slots; Overbooked the fraction of engine time with a queue.
	PeakOverload float64           `json:"peak-overload"`
	Overbooked   float64           `json:"overbooked"`
	Cancelled    int               `json:"cancelled"`
	Seconds      float64           `json:"seconds"`
	Invariants   []invariant.Count `json:"invariants"`
	Violations   int64             `json:"violations"`
	Details      []string          `json:"details,omitempty"`
}

// minCustomerRequests is the least number of requests for which a customer's
// attainment is compared; below it one request is over 5 points.
const minCustomerRequests = 20

func measure(w *world, policy string) Result {
	res := Result{
		Workload: w.cfg.Workload.Name, Row: w.row.Name, Policy: policy, Fits: w.row.Fits, Cancelled: w.cancelled,
		Seconds: w.now.Seconds(), Invariants: w.registry.Counts(), Violations: w.registry.Violations(),
		Details: w.registry.Details(),
	}
	for _, name := range slices.Sorted(maps.Keys(w.rules)) {
		res.Invariants = append(res.Invariants, *w.rules[name])
		res.Violations += w.rules[name].Violated
	}
	for _, k := range w.cfg.Workload.kinds {
		c := measureClass(w, k.class)
		res.Classes = append(res.Classes, c)
		if c.WorstGap > res.WorstGap {
			res.WorstGap, res.WorstCustomer = c.WorstGap, c.WorstCustomer
		}
	}
	w.measureTokens(&res)
	w.measureEngines(&res)
	return res
}

// inTarget reports whether the request met the service level of its class.
func (r *request) inTarget() bool {
	if !r.done || r.refused != "" || r.received < r.output {
		return false
	}
	if t := r.Class.TTFTTarget(); t > 0 && r.first-r.arrived > t {
		return false
	}
	gap := r.Class.GapTarget()
	return gap == 0 || r.output < 2 || (r.last-r.first)/time.Duration(r.output-1) <= gap
}

func measureClass(w *world, class quetzalhook.Class) ClassResult {
	c := ClassResult{Class: string(class.Name())}
	type tally struct{ sent, good int }
	byCustomer := map[quetzalhook.CustomerID]*tally{}
	var ttft []float64
	for _, r := range w.requests {
		if r.Class.Name() != class.Name() {
			continue
		}
		t := byCustomer[r.Customer]
		if t == nil {
			t = &tally{}
			byCustomer[r.Customer] = t
		}
		t.sent++
		c.Sent++
		if r.refused != "" {
			c.Refused++
		}
		if r.done && r.refused == "" && r.received == r.output {
			c.Served++
			ttft = append(ttft, float64(r.first-r.arrived)/float64(time.Millisecond))
		}
		if r.inTarget() {
			t.good++
			c.InTarget++
		}
	}
	c.Attainment = ratio(c.InTarget, c.Sent)
	sort.Float64s(ttft)
	c.TTFTP50, c.TTFTP95, c.TTFTP99 = quantile(ttft, 0.5), quantile(ttft, 0.95), quantile(ttft, 0.99)
	c.WorstAttainment = 1
	for _, id := range slices.Sorted(maps.Keys(byCustomer)) {
		t := byCustomer[id]
		if a := ratio(t.good, t.sent); t.sent >= minCustomerRequests && a < c.WorstAttainment {
			c.WorstCustomer, c.WorstAttainment = id, a
		}
	}
	c.WorstGap = 100 * max(c.Attainment-c.WorstAttainment, 0)
	return c
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 1
	}
	return float64(a) / float64(b)
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(math.Ceil(q*float64(len(sorted))))-1, len(sorted)-1)]
}

// measureTokens counts useful and wasted output tokens. An answer is useful if
// it was served whole and, for the urgent class, in target.
func (w *world) measureTokens(res *Result) {
	delivered, useful, calm, busy := 0.0, 0.0, 0.0, 0.0
	for _, r := range w.requests {
		if r.busy > 0 {
			continue
		}
		whole := r.done && r.refused == "" && r.received == r.output
		if whole {
			delivered += float64(r.output)
		} else {
			res.Unfinished++
		}
		if !whole || r.Class.IsUrgent() && !r.inTarget() {
			continue
		}
		useful += float64(r.output)
		calm += r.within(0, w.cfg.Duration)
		busy += r.within(burstStart, burstStart+burstLength)
	}
	res.Goodput = calm / w.cfg.Duration.Seconds()
	res.BusyGoodput = busy / burstLength.Seconds()
	res.useful = useful
	generated := 0.0
	for _, e := range w.engines {
		generated += e.generated
	}
	if generated > 0 {
		res.Wasted = max(1-delivered/generated, 0)
	}
}

// count records n tokens relayed at a time.
func (r *request) count(at time.Duration, n int) {
	second := int(at / time.Second)
	if r.perSecond == nil {
		r.firstSecond = second
	}
	for len(r.perSecond) <= second-r.firstSecond {
		r.perSecond = append(r.perSecond, 0)
	}
	r.perSecond[second-r.firstSecond] += n
}

// within returns the tokens relayed in a span of whole seconds.
func (r *request) within(from, to time.Duration) float64 {
	sum := 0
	for i, n := range r.perSecond {
		if at := time.Duration(r.firstSecond+i) * time.Second; at >= from && at < to {
			sum += n
		}
	}
	return float64(sum)
}

func (w *world) measureEngines(res *Result) {
	cheap, all, engines := 0.0, 0.0, 0.0
	var overbooked time.Duration
	for _, e := range w.engines {
		up := w.now - e.downTotal
		if !e.up {
			up -= w.now - e.downSince
		}
		res.Spending += e.Price * up.Hours()
		if e.Kind != quetzalhook.KindEngine {
			continue
		}
		engines++
		all += e.generated
		if e.Cheap {
			cheap += e.generated
		}
		overbooked += e.overbooked
		res.PeakOverload = max(res.PeakOverload, float64(e.peakJobs)/float64(e.Slots))
	}
	if all > 0 {
		res.CheapShare = cheap / all
	}
	if res.useful > 0 {
		res.PerMillion = res.Spending / res.useful * 1e6
	}
	res.Overbooked = overbooked.Seconds() / engines / w.now.Seconds()
}
