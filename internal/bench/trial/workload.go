package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"quetzalhook"
)

// classLoad describes the requests of one class.
type classLoad struct {
	class       quetzalhook.Class
	service     string        // name of the service; "" for model requests
	serviceTime time.Duration // mean duration of a service call
	// repeatable is false for calls that may run at most once.
	repeatable   bool
	slotShare    float64 // fraction of all slots in use outside bursts and overload
	rate         float64 // calls/s, for services
	promptMin    int
	promptMax    int
	sharedTokens int // prompt tokens that all requests of a topic share
	topics       int
	prefixTokens int     // length of one prefix in tokens
	output       float64 // median length of the output in tokens
	sigma        float64 // standard deviation of the logarithm of the output length
	maxOutput    int
}

// Workload is one of the two reference workloads. Unlike in package workload, its
// load of engines is defined relative to their capacity.
type Workload struct {
	Name    string
	Regions []quetzalhook.Region
	// Engines is the number of engines in each of the three zones. Cheap is how
	// many of these engines the platform may reclaim.
	Engines int
	Cheap   int
	classes []classLoad
}

const (
	model            = quetzalhook.Model("general")
	urgentTTFTTarget = 500 * time.Millisecond
)

// Association returns the reference workload of a balloon sellers' association.
func Association() Workload {
	return Workload{
		Name: "association", Regions: []quetzalhook.Region{"ljubljana", "maribor", "koper"}, Engines: 6, Cheap: 2,
		classes: []classLoad{
			{
				class: quetzalhook.NewClass("permit-question", 0, quetzalhook.WithTTFTTarget(urgentTTFTTarget), quetzalhook.WithLateWorthless(),
					quetzalhook.WithGapTarget(60*time.Millisecond)),
				repeatable: true, slotShare: 0.20, promptMin: 200, promptMax: 600, sharedTokens: 256, topics: 4, prefixTokens: 128,
				output: 80, sigma: 0.4, maxOutput: 300,
			},
			{
				class:   quetzalhook.NewClass("pitch-booking", 1, quetzalhook.WithTTFTTarget(time.Second)),
				service: "booking", serviceTime: 60 * time.Millisecond, rate: 15,
			},
			{
				class: quetzalhook.NewClass("rulebook-question", 2, quetzalhook.WithTTFTTarget(20*time.Second),
					quetzalhook.WithFloorShare(0.15), quetzalhook.WithMustFinish()),
				repeatable: true, slotShare: 0.35, promptMin: 3000, promptMax: 6000, sharedTokens: 2560, topics: 12, prefixTokens: 512,
				output: 500, sigma: 0.5, maxOutput: 2500,
			},
			{
				class: quetzalhook.NewClass("daily-summary", 3, quetzalhook.WithTTFTTarget(60*time.Second),
					quetzalhook.WithFloorShare(0.05), quetzalhook.WithMustFinish()),
				repeatable: true, slotShare: 0.10, promptMin: 1000, promptMax: 2500, sharedTokens: 512, topics: 3, prefixTokens: 256,
				output: 350, sigma: 0.3, maxOutput: 1000,
			},
		},
	}
}

// Foundry returns the reference workload of a foundry's pattern shop.
func Foundry() Workload {
	return Workload{
		Name: "foundry", Regions: []quetzalhook.Region{"addis", "mekelle", "hawassa"}, Engines: 6, Cheap: 3,
		classes: []classLoad{
			{
				class: quetzalhook.NewClass("defect-question", 0, quetzalhook.WithTTFTTarget(urgentTTFTTarget), quetzalhook.WithLateWorthless(),
					quetzalhook.WithGapTarget(60*time.Millisecond)),
				repeatable: true, slotShare: 0.12, promptMin: 300, promptMax: 900, sharedTokens: 256, topics: 6, prefixTokens: 128,
				output: 110, sigma: 0.4, maxOutput: 400,
			},
			{
				class:   quetzalhook.NewClass("grate-order", 1, quetzalhook.WithTTFTTarget(time.Second)),
				service: "order", serviceTime: 80 * time.Millisecond, rate: 8,
			},
			{
				class: quetzalhook.NewClass("quotation", 2, quetzalhook.WithTTFTTarget(20*time.Second),
					quetzalhook.WithFloorShare(0.15), quetzalhook.WithMustFinish()),
				repeatable: true, slotShare: 0.25, promptMin: 1500, promptMax: 3500, sharedTokens: 1024, topics: 8, prefixTokens: 256,
				output: 600, sigma: 0.5, maxOutput: 3000,
			},
			{
				class: quetzalhook.NewClass("specification-review", 3, quetzalhook.WithTTFTTarget(60*time.Second),
					quetzalhook.WithFloorShare(0.10), quetzalhook.WithMustFinish()),
				repeatable: true, slotShare: 0.30, promptMin: 5000, promptMax: 9000, sharedTokens: 2048, topics: 20, prefixTokens: 1024,
				output: 900, sigma: 0.9, maxOutput: 5000,
			},
		},
	}
}

const (
	engineSlots        = 8
	engineTokenRate    = 100 // tokens/s of a single running stream
	enginePrefillRate  = 20000
	priceRegular       = 4.0
	priceCheap         = 1.2
	serviceZones       = 3
	serviceSlots       = 16
	hostAffinityPeriod = 30 * time.Second // how long callers of a small customer use the same host
	largestWeight      = 50
)

// customerWeights holds the relative request rates of the ten customers. Three
// customers are large; the largest sends 50 times as much as a small one.
var customerWeights = []float64{largestWeight, 12, 6, 1, 1, 1, 1, 1, 1, 1}

// upstreams returns the engines and services of all zones.
func (wl Workload) upstreams() []quetzalhook.Upstream {
	var list []quetzalhook.Upstream
	for z, region := range wl.Regions {
		zone := quetzalhook.Zone(string(region) + "-a")
		for i := range wl.Engines {
			u := quetzalhook.Upstream{
				ID: quetzalhook.UpstreamID(fmt.Sprintf("%s-engine-%d", region, i)), Zone: zone, Region: region,
				Models: []quetzalhook.Model{model}, Slots: engineSlots, TokenRate: engineTokenRate,
				PrefillRate: enginePrefillRate, Price: priceRegular,
			}
			if i < wl.Cheap {
				u.Cheap, u.Price = true, priceCheap
			}
			list = append(list, u)
		}
		for _, cl := range wl.classes {
			if cl.service != "" && z < serviceZones {
				list = append(list, quetzalhook.Upstream{
					ID: quetzalhook.UpstreamID(fmt.Sprintf("%s-%s", region, cl.service)), Kind: quetzalhook.KindService,
					Service: cl.service, Zone: zone, Region: region, Slots: serviceSlots, Price: 0.5,
				})
			}
		}
	}
	return list
}

// meanOutput returns the mean of the log-normal output in tokens, ignoring
// maxOutput.
func (cl classLoad) meanOutput() float64 { return cl.output * math.Exp(cl.sigma*cl.sigma/2) }

// slotTime returns the mean time in seconds that a request holds a slot of a full
// engine. It assumes that 70% of the shared prompt tokens are cached.
func (cl classLoad) slotTime() float64 {
	uncached := float64(cl.promptMin+cl.promptMax)/2 - 0.7*float64(cl.sharedTokens)
	return cl.meanOutput()*(1+batchSlope)/engineTokenRate + 2*uncached/enginePrefillRate
}

// Scaled returns the workload with n engines in each zone and the same
// proportion of cheap engines.
func (wl Workload) Scaled(n int) Workload {
	wl.Cheap = wl.Cheap * n / wl.Engines
	wl.Engines = n
	return wl
}

// slots returns the number of slots of all engines.
func (wl Workload) slots() float64 { return float64(len(wl.Regions) * wl.Engines * engineSlots) }

// baseRate returns the arrivals/s of a class outside bursts and overload.
func (wl Workload) baseRate(cl classLoad) float64 {
	if cl.service != "" {
		return cl.rate
	}
	return cl.slotShare * wl.saturationRate(cl)
}

// saturationRate returns the arrivals/s of a class that alone would keep every
// slot busy.
func (wl Workload) saturationRate(cl classLoad) float64 { return wl.slots() / cl.slotTime() }

// generate draws all requests of a run and returns them in order of arrival.
// Each class and each burst has its own random generator, so that the draws of a
// class do not depend on the row and a burst only adds requests.
func generate(cfg Config, row Row, hosts []*host) []*request {
	var all []*request
	for i, cl := range cfg.Workload.classes {
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)+1))
		all = append(all, cl.arrivals(rng, cfg.Workload.baseRate(cl)*max(row.Load, 1), 0, cfg.Duration, hosts)...)
		if cl.class.IsUrgent() && row.Burst > 0 {
			addedRate := max(row.Burst*cfg.Workload.saturationRate(cl)-cfg.Workload.baseRate(cl), 0)
			rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)+101))
			burstHosts := hosts
			if row.Skewed {
				burstHosts = hosts[:1]
			}
			all = append(all, cl.arrivals(rng, addedRate, burstStart, burstStart+burstDuration, burstHosts)...)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].arrived < all[j].arrived })
	for i, r := range all {
		r.ID = quetzalhook.RequestID(fmt.Sprintf("r%06d", i))
	}
	return all
}

// arrivals draws requests that arrive as a Poisson process between two times.
func (cl classLoad) arrivals(rng *rand.Rand, rate float64, from, to time.Duration, hosts []*host) []*request {
	var list []*request
	if rate <= 0 {
		return nil
	}
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return list
		}
		list = append(list, cl.drawRequest(rng, at, hosts))
	}
}

func (cl classLoad) drawRequest(rng *rand.Rand, at time.Duration, hosts []*host) *request {
	customer := drawCustomer(rng)
	r := &request{arrived: at, output: 1}
	r.Customer = quetzalhook.CustomerID(fmt.Sprintf("customer-%02d", customer))
	r.Class, r.Repeatable = cl.class, cl.repeatable
	r.host = hosts[rng.IntN(len(hosts))]
	if customerWeights[customer] == 1 {
		// Callers of a small customer all use one host for hostAffinityPeriod.
		r.host = hosts[(customer+int(at/hostAffinityPeriod))%len(hosts)]
	}
	r.Region = r.host.region
	if cl.service != "" {
		r.Model = quetzalhook.Model(cl.service)
		r.serviceTime = time.Duration((0.5 + rng.Float64()) * float64(cl.serviceTime))
		return r
	}
	r.Model = model
	r.PromptTokens = cl.promptMin + rng.IntN(cl.promptMax-cl.promptMin+1)
	length := cl.output * math.Exp(cl.sigma*rng.NormFloat64())
	r.output = int(min(max(length, 10), float64(cl.maxOutput)))
	r.PrefixTokens = cl.prefixTokens
	topic := rng.IntN(cl.topics)
	for n := cl.prefixTokens; n <= r.PromptTokens; n += cl.prefixTokens {
		if n <= cl.sharedTokens {
			r.Prefixes = append(r.Prefixes, prefixHash(string(cl.class.Name()), topic, n))
		} else {
			r.Prefixes = append(r.Prefixes, rng.Uint64())
		}
	}
	return r
}

// drawCustomer draws the index of a customer in proportion to customerWeights.
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

// prefixHash returns the FNV-1a hash of class, topic and n. It stands for the
// first n prompt tokens, which requests of a class and topic share.
func prefixHash(class string, topic, n int) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(fmt.Sprint(class, topic, n)) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}
