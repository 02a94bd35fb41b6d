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

// ClassResult holds the measures of one class.
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
	// WorstAttainment is the lowest attainment of a customer in this class.
	// WorstGap is how far it is below Attainment in percentage points.
	WorstCustomer   quetzalhook.CustomerID `json:"worst-customer"`
	WorstAttainment float64                `json:"worst-attainment"`
	WorstGap        float64                `json:"worst-gap"`
}

// Result holds the measures of one run.
type Result struct {
	Workload string        `json:"workload"`
	Row      string        `json:"row"`
	Policy   string        `json:"policy"`
	Fits     bool          `json:"fits"`
	Classes  []ClassResult `json:"classes"`
	// WorstGap is the largest WorstGap of all classes and WorstCustomer the
	// customer that has it.
	WorstGap      float64                `json:"worst-gap"`
	WorstCustomer quetzalhook.CustomerID `json:"worst-customer"`
	// Goodput is the number of useful tokens/s while requests arrive, BusyGoodput
	// that during burstDuration from burstStart on. The function measureTokens
	// defines which tokens are useful.
	Goodput     float64 `json:"goodput"`
	BusyGoodput float64 `json:"busy-goodput"`
	// Wasted is the fraction of the generated output tokens that are not part of
	// a whole answer.
	Wasted float64 `json:"wasted"`
	// Spending is the cost of all upstreams during the run, PerMillion the cost
	// of a million useful tokens.
	Spending   float64 `json:"spending"`
	PerMillion float64 `json:"spending-per-million"`
	// CheapShare is the fraction of output tokens from reclaimable upstreams.
	CheapShare float64 `json:"cheap-share"`
	useful     float64
	Unfinished int `json:"unfinished"`
	// PeakOverload is the largest number of requests on one engine divided by its
	// slots. Overbooked is the fraction of engine time in which requests were
	// queued at the engine.
	PeakOverload float64           `json:"peak-overload"`
	Overbooked   float64           `json:"overbooked"`
	Cancelled    int               `json:"cancelled"`
	Seconds      float64           `json:"seconds"`
	Invariants   []invariant.Count `json:"invariants"`
	Violations   int64             `json:"violations"`
	Details      []string          `json:"details,omitempty"`
}

// minCustomerRequests is the minimum number of requests of a customer in a class
// for which its attainment is compared with that of the class. With fewer, a
// single request changes the attainment by more than 5 percentage points.
const minCustomerRequests = 20

// measure returns the measures of a finished simulation.
func measure(s *simulation, policy string) Result {
	res := Result{
		Workload: s.cfg.Workload.Name, Row: s.row.Name, Policy: policy, Fits: s.row.Fits, Cancelled: s.cancelled,
		Seconds: s.now.Seconds(), Invariants: s.registry.Counts(), Violations: s.registry.Violations(),
		Details: s.registry.Details(),
	}
	for _, name := range slices.Sorted(maps.Keys(s.ruleCounts)) {
		res.Invariants = append(res.Invariants, *s.ruleCounts[name])
		res.Violations += s.ruleCounts[name].Violated
	}
	for _, cl := range s.cfg.Workload.classes {
		c := measureClass(s, cl.class)
		res.Classes = append(res.Classes, c)
		if c.WorstGap > res.WorstGap {
			res.WorstGap, res.WorstCustomer = c.WorstGap, c.WorstCustomer
		}
	}
	s.measureTokens(&res)
	s.measureEngines(&res)
	return res
}

// meetsTargets reports whether the request was served whole and met the service
// level of its class.
func (r *request) meetsTargets() bool {
	if !r.done || r.refused != "" || r.received < r.output {
		return false
	}
	if t := r.Class.TTFTTarget(); t > 0 && r.firstTokenAt-r.arrived > t {
		return false
	}
	gap := r.Class.GapTarget()
	return gap == 0 || r.output < 2 || (r.lastTokenAt-r.firstTokenAt)/time.Duration(r.output-1) <= gap
}

func measureClass(s *simulation, class quetzalhook.Class) ClassResult {
	c := ClassResult{Class: string(class.Name())}
	type counts struct{ sent, inTarget int }
	byCustomer := map[quetzalhook.CustomerID]*counts{}
	var ttft []float64
	for _, r := range s.requests {
		if r.Class.Name() != class.Name() {
			continue
		}
		customer := byCustomer[r.Customer]
		if customer == nil {
			customer = &counts{}
			byCustomer[r.Customer] = customer
		}
		customer.sent++
		c.Sent++
		if r.refused != "" {
			c.Refused++
		}
		if r.done && r.refused == "" && r.received == r.output {
			c.Served++
			ttft = append(ttft, float64(r.firstTokenAt-r.arrived)/float64(time.Millisecond))
		}
		if r.meetsTargets() {
			customer.inTarget++
			c.InTarget++
		}
	}
	c.Attainment = ratio(c.InTarget, c.Sent)
	sort.Float64s(ttft)
	c.TTFTP50, c.TTFTP95, c.TTFTP99 = quantile(ttft, 0.5), quantile(ttft, 0.95), quantile(ttft, 0.99)
	c.WorstAttainment = 1
	for _, id := range slices.Sorted(maps.Keys(byCustomer)) {
		customer := byCustomer[id]
		if a := ratio(customer.inTarget, customer.sent); customer.sent >= minCustomerRequests && a < c.WorstAttainment {
			c.WorstCustomer, c.WorstAttainment = id, a
		}
	}
	c.WorstGap = 100 * max(c.Attainment-c.WorstAttainment, 0)
	return c
}

// ratio returns a/b, or 1 if b is 0.
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

// measureTokens sets the measures of useful and wasted output tokens. The tokens
// of an answer are useful if it was served whole and, for the urgent class, met
// its targets.
func (s *simulation) measureTokens(res *Result) {
	delivered, useful, duringRun, duringBurst := 0.0, 0.0, 0.0, 0.0
	for _, r := range s.requests {
		if r.serviceTime > 0 {
			continue
		}
		whole := r.done && r.refused == "" && r.received == r.output
		if whole {
			delivered += float64(r.output)
		} else {
			res.Unfinished++
		}
		if !whole || r.Class.IsUrgent() && !r.meetsTargets() {
			continue
		}
		useful += float64(r.output)
		duringRun += r.tokensBetween(0, s.cfg.Duration)
		duringBurst += r.tokensBetween(burstStart, burstStart+burstDuration)
	}
	res.Goodput = duringRun / s.cfg.Duration.Seconds()
	res.BusyGoodput = duringBurst / burstDuration.Seconds()
	res.useful = useful
	generated := 0.0
	for _, e := range s.engines {
		generated += e.generated
	}
	if generated > 0 {
		res.Wasted = max(1-delivered/generated, 0)
	}
}

// countTokens records that n tokens were relayed at a time.
func (r *request) countTokens(at time.Duration, n int) {
	second := int(at / time.Second)
	if r.perSecond == nil {
		r.firstSecond = second
	}
	for len(r.perSecond) <= second-r.firstSecond {
		r.perSecond = append(r.perSecond, 0)
	}
	r.perSecond[second-r.firstSecond] += n
}

// tokensBetween returns the number of tokens relayed between two whole seconds.
func (r *request) tokensBetween(from, to time.Duration) float64 {
	sum := 0
	for i, n := range r.perSecond {
		if at := time.Duration(r.firstSecond+i) * time.Second; at >= from && at < to {
			sum += n
		}
	}
	return float64(sum)
}

// measureEngines sets the measures of spending and of the load of engines.
func (s *simulation) measureEngines(res *Result) {
	cheap, all, engines := 0.0, 0.0, 0.0
	var overbooked time.Duration
	for _, e := range s.engines {
		up := s.now - e.downTotal
		if !e.up {
			up -= s.now - e.downSince
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
	res.Overbooked = overbooked.Seconds() / engines / s.now.Seconds()
}
