package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"quetzalhook"
)

// kind describes the requests of one class.
type kind struct {
	class   quetzalhook.Class
	service string        // name of the service; "" for model requests
	busy    time.Duration // mean time of a service call
	// repeatable is false for calls that may run once only.
	repeatable bool
	share      float64 // fraction of all slots that calm traffic keeps busy
	rate       float64 // calls/s, for services
	promptMin  int
	promptMax  int
	shared     int // prompt tokens that all requests of a topic have in common
	topics     int
	step       int     // tokens of one prefix
	output     float64 // median output tokens
	spread     float64 // sigma of the logarithm of the output
	maxOutput  int
}

// Workload is one of the two reference workloads.
type Workload struct {
	Name    string
	Regions []quetzalhook.Region
	// Engines is the number of engines in each of the three zones, Cheap how
	// many of them are reclaimable.
	Engines int
	Cheap   int
	kinds   []kind
}

const (
	model        = quetzalhook.Model("general")
	urgentTarget = 500 * time.Millisecond
)

// Association returns the workload of the balloon sellers' association.
func Association() Workload {
	return Workload{
		Name: "association", Regions: []quetzalhook.Region{"ljubljana", "maribor", "koper"}, Engines: 6, Cheap: 2,
		kinds: []kind{
			{
				class: quetzalhook.NewClass("permit-question", 0, quetzalhook.WithTTFTTarget(urgentTarget), quetzalhook.WithLateWorthless(),
					quetzalhook.WithGapTarget(60*time.Millisecond)),
				repeatable: true, share: 0.20, promptMin: 200, promptMax: 600, shared: 256, topics: 4, step: 128,
				output: 80, spread: 0.4, maxOutput: 300,
			},
			{
				class:   quetzalhook.NewClass("pitch-booking", 1, quetzalhook.WithTTFTTarget(time.Second)),
				service: "booking", busy: 60 * time.Millisecond, rate: 15,
			},
			{
				class: quetzalhook.NewClass("rulebook-question", 2, quetzalhook.WithTTFTTarget(20*time.Second),
					quetzalhook.WithFloorShare(0.15), quetzalhook.WithMustFinish()),
				repeatable: true, share: 0.35, promptMin: 3000, promptMax: 6000, shared: 2560, topics: 12, step: 512,
				output: 500, spread: 0.5, maxOutput: 2500,
			},
			{
				class: quetzalhook.NewClass("daily-summary", 3, quetzalhook.WithTTFTTarget(60*time.Second),
					quetzalhook.WithFloorShare(0.05), quetzalhook.WithMustFinish()),
				repeatable: true, share: 0.10, promptMin: 1000, promptMax: 2500, shared: 512, topics: 3, step: 256,
				output: 350, spread: 0.3, maxOutput: 1000,
			},
		},
	}
}

// Foundry returns the workload of the pattern shop.
func Foundry() Workload {
	return Workload{
		Name: "foundry", Regions: []quetzalhook.Region{"addis", "mekelle", "hawassa"}, Engines: 6, Cheap: 3,
		kinds: []kind{
			{
				class: quetzalhook.NewClass("defect-question", 0, quetzalhook.WithTTFTTarget(urgentTarget), quetzalhook.WithLateWorthless(),
					quetzalhook.WithGapTarget(60*time.Millisecond)),
				repeatable: true, share: 0.12, promptMin: 300, promptMax: 900, shared: 256, topics: 6, step: 128,
				output: 110, spread: 0.4, maxOutput: 400,
			},
			{
				class:   quetzalhook.NewClass("grate-order", 1, quetzalhook.WithTTFTTarget(time.Second)),
				service: "order", busy: 80 * time.Millisecond, rate: 8,
			},
			{
				class: quetzalhook.NewClass("quotation", 2, quetzalhook.WithTTFTTarget(20*time.Second),
					quetzalhook.WithFloorShare(0.15), quetzalhook.WithMustFinish()),
				repeatable: true, share: 0.25, promptMin: 1500, promptMax: 3500, shared: 1024, topics: 8, step: 256,
				output: 600, spread: 0.5, maxOutput: 3000,
			},
			{
				class: quetzalhook.NewClass("specification-review", 3, quetzalhook.WithTTFTTarget(60*time.Second),
					quetzalhook.WithFloorShare(0.10), quetzalhook.WithMustFinish()),
				repeatable: true, share: 0.30, promptMin: 5000, promptMax: 9000, shared: 2048, topics: 20, step: 1024,
				output: 900, spread: 0.9, maxOutput: 5000,
			},
		},
	}
}

const (
	engineSlots     = 8
	engineTokens    = 100 // tokens/s of one stream alone
	enginePrefill   = 20000
	priceRegular    = 4.0
	priceCheap      = 1.2
	serviceCount    = 3
	serviceSlots    = 16
	stickyPeriod    = 30 * time.Second // callers of small customers keep a host so long
	largestCustomer = 50
)

// customers are ten, a few of them large; the largest sends 50 times as much
// as the small ones.
var customerWeights = []float64{largestCustomer, 12, 6, 1, 1, 1, 1, 1, 1, 1}

func (wl Workload) upstreams() []quetzalhook.Upstream {
	var list []quetzalhook.Upstream
	for z, region := range wl.Regions {
		zone := quetzalhook.Zone(string(region) + "-a")
		for i := range wl.Engines {
			u := quetzalhook.Upstream{
				ID: quetzalhook.UpstreamID(fmt.Sprintf("%s-engine-%d", region, i)), Zone: zone, Region: region,
				Models: []quetzalhook.Model{model}, Slots: engineSlots, TokenRate: engineTokens,
				PrefillRate: enginePrefill, Price: priceRegular,
			}
			if i < wl.Cheap {
				u.Cheap, u.Price = true, priceCheap
			}
			list = append(list, u)
		}
		for _, k := range wl.kinds {
			if k.service != "" && z < serviceCount {
				list = append(list, quetzalhook.Upstream{
					ID: quetzalhook.UpstreamID(fmt.Sprintf("%s-%s", region, k.service)), Kind: quetzalhook.KindService,
					Service: k.service, Zone: zone, Region: region, Slots: serviceSlots, Price: 0.5,
				})
			}
		}
	}
	return list
}

// meanOutput is the mean of the log-normal output, ignoring the bound.
func (k kind) meanOutput() float64 { return k.output * math.Exp(k.spread*k.spread/2) }

// slotTime is the mean time that a request holds a slot of a full engine.
func (k kind) slotTime() float64 {
	fresh := float64(k.promptMin+k.promptMax)/2 - 0.7*float64(k.shared)
	return k.meanOutput()*(1+batchSlope)/engineTokens + 2*fresh/enginePrefill
}

// Scaled returns the workload with n engines in each zone, cheap ones in the
// same proportion.
func (wl Workload) Scaled(n int) Workload {
	wl.Cheap = wl.Cheap * n / wl.Engines
	wl.Engines = n
	return wl
}

// slots returns the slots of all engines.
func (wl Workload) slots() float64 { return float64(len(wl.Regions) * wl.Engines * engineSlots) }

// calmRate returns the arrivals/s of calm traffic of a kind.
func (wl Workload) calmRate(k kind) float64 {
	if k.service != "" {
		return k.rate
	}
	return k.share * wl.fullRate(k)
}

// fullRate returns the arrivals/s of a kind that would keep every slot busy.
func (wl Workload) fullRate(k kind) float64 { return wl.slots() / k.slotTime() }

// generate draws all requests of a run in order of arrival. The draws of a
// class do not depend on the row, except for the added burst.
func generate(cfg Config, row Row, hosts []*host) []*request {
	var all []*request
	for i, k := range cfg.Workload.kinds {
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)+1))
		all = append(all, k.arrivals(rng, cfg.Workload.calmRate(k)*max(row.Load, 1), 0, cfg.Duration, hosts)...)
		if k.class.IsUrgent() && row.Burst > 0 {
			extra := max(row.Burst*cfg.Workload.fullRate(k)-cfg.Workload.calmRate(k), 0)
			rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)+101))
			at := hosts
			if row.Skewed {
				at = hosts[:1]
			}
			all = append(all, k.arrivals(rng, extra, burstStart, burstStart+burstLength, at)...)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].arrived < all[j].arrived })
	for i, r := range all {
		r.ID = quetzalhook.RequestID(fmt.Sprintf("r%06d", i))
	}
	return all
}

// arrivals draws a Poisson process of requests.
func (k kind) arrivals(rng *rand.Rand, rate float64, from, to time.Duration, hosts []*host) []*request {
	var list []*request
	if rate <= 0 {
		return nil
	}
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return list
		}
		list = append(list, k.draw(rng, at, hosts))
	}
}

func (k kind) draw(rng *rand.Rand, at time.Duration, hosts []*host) *request {
	customer := drawCustomer(rng)
	r := &request{arrived: at, output: 1}
	r.Customer = quetzalhook.CustomerID(fmt.Sprintf("customer-%02d", customer))
	r.Class, r.Repeatable = k.class, k.repeatable
	r.host = hosts[rng.IntN(len(hosts))]
	if customerWeights[customer] == 1 {
		// The callers of a small customer learned of one host and keep it.
		r.host = hosts[(customer+int(at/stickyPeriod))%len(hosts)]
	}
	r.Region = r.host.region
	if k.service != "" {
		r.Model = quetzalhook.Model(k.service)
		r.busy = time.Duration((0.5 + rng.Float64()) * float64(k.busy))
		return r
	}
	r.Model = model
	r.PromptTokens = k.promptMin + rng.IntN(k.promptMax-k.promptMin+1)
	length := k.output * math.Exp(k.spread*rng.NormFloat64())
	r.output = int(min(max(length, 10), float64(k.maxOutput)))
	r.PrefixTokens = k.step
	topic := rng.IntN(k.topics)
	for n := k.step; n <= r.PromptTokens; n += k.step {
		if n <= k.shared {
			r.Prefixes = append(r.Prefixes, prefixHash(string(k.class.Name()), topic, n))
		} else {
			r.Prefixes = append(r.Prefixes, rng.Uint64())
		}
	}
	return r
}

func drawCustomer(rng *rand.Rand) int {
	total := 0.0
	for _, w := range customerWeights {
		total += w
	}
	x := rng.Float64() * total
	for i, w := range customerWeights {
		if x -= w; x < 0 {
			return i
		}
	}
	return 0
}

func prefixHash(class string, topic, n int) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(fmt.Sprint(class, topic, n)) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}
