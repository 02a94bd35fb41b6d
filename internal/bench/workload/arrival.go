package workload

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"quetzalhook"
)

// Arrival is one request to send.
type Arrival struct {
	// At is when the request is sent, counted from the start of the run.
	At       time.Duration
	Workload string
	Model    quetzalhook.Model
	Class    Class
	Customer quetzalhook.CustomerID
	Region   quetzalhook.Region
	// RegionIndex is the index of Region in Workload.Regions.
	RegionIndex int
	Latency     time.Duration // one-way network delay between caller and host
	// ID is unique in the run; for service calls it is also the ID of the order.
	ID string
	// Prefix is the number of the shared system prompt, from 0 to
	// Class.Prefixes-1.
	Prefix       int
	PromptTokens int // without the system prompt
	OutputTokens int
}

// bytesPerToken is the length of one token in the text of a prompt.
const bytesPerToken = 4

// Generate returns the arrivals of all workloads in a run, in order of time.
// scale multiplies all rates. The same arguments give the same arrivals.
func Generate(seed uint64, duration time.Duration, scale float64, workloads ...Workload) []Arrival {
	var arrivals []Arrival
	for i, w := range workloads {
		for j, c := range w.Classes {
			r := rand.New(rand.NewPCG(seed, uint64(i)<<32|uint64(j)))
			arrivals = append(arrivals, w.classArrivals(r, c, seed, duration, scale)...)
		}
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	return arrivals
}

// classArrivals generates the Poisson arrivals of one class. It draws them at the
// peak rate and thins them to the rate at the time of each arrival.
func (w Workload) classArrivals(r *rand.Rand, c Class, seed uint64, duration time.Duration, scale float64) []Arrival {
	peak := 1.0
	for _, b := range w.Bursts {
		if b.Class == c.Name {
			peak = max(peak, b.Factor)
		}
	}
	if c.Rate*scale <= 0 {
		return nil
	}
	var arrivals []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / (c.Rate * scale * peak) * float64(time.Second))
		if at >= duration {
			return arrivals
		}
		if r.Float64()*peak > w.burstFactor(c.Name, float64(at)/float64(duration)) {
			continue
		}
		a := w.drawArrival(r, c)
		a.At = at
		a.ID = fmt.Sprintf("%s-%d-%d", c.Name, seed, len(arrivals))
		arrivals = append(arrivals, a)
	}
}

// burstFactor returns the rate multiplier of a class at a time, which is a
// fraction of the run.
func (w Workload) burstFactor(name quetzalhook.ClassName, at float64) float64 {
	f := 1.0
	for _, b := range w.Bursts {
		if b.Class == name && at >= b.From && at < b.To {
			f = max(f, b.Factor)
		}
	}
	return f
}

func (w Workload) drawArrival(r *rand.Rand, c Class) Arrival {
	region := r.IntN(len(w.Regions))
	a := Arrival{
		Workload: w.Name, Model: w.Model, Class: c, Customer: w.drawCustomer(r),
		Region: w.Regions[region], RegionIndex: region, Latency: w.Latency,
		PromptTokens: c.Prompt.draw(r), OutputTokens: c.Output.draw(r),
	}
	if c.Prefixes > 0 {
		a.Prefix = r.IntN(c.Prefixes)
	}
	return a
}

// drawCustomer draws a customer in proportion to the shares.
func (w Workload) drawCustomer(r *rand.Rand) quetzalhook.CustomerID {
	total := 0.0
	for _, c := range w.Customers {
		total += c.Share
	}
	x := r.Float64() * total
	for _, c := range w.Customers {
		if x -= c.Share; x < 0 {
			return c.Name
		}
	}
	return w.Customers[len(w.Customers)-1].Name
}

// SystemPrompt returns the system prompt, which all requests of the class with
// the same Prefix share.
func (a Arrival) SystemPrompt() string {
	return repeatText(fmt.Sprintf("%s rules %d ", a.Class.Name, a.Prefix), a.Class.PrefixTokens)
}

// UserPrompt returns the user prompt, which is different for each request.
func (a Arrival) UserPrompt() string { return repeatText(a.ID+" ", a.PromptTokens) }

// repeatText repeats s up to a length in tokens. The result holds s at least
// once.
func repeatText(s string, tokens int) string {
	n := max(tokens*bytesPerToken, len(s))
	return strings.Repeat(s, n/len(s)+1)[:n]
}
