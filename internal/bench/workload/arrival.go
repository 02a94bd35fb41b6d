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
	// At is the time to send, from the start of the run.
	At       time.Duration
	Workload string
	Model    quetzalhook.Model
	Class    Class
	Customer quetzalhook.CustomerID
	Region   quetzalhook.Region
	// Zone is the index of Region in its workload.
	Zone    int
	Latency time.Duration
	// ID is unique in the run; for service calls it is the order's id.
	ID string
	// Prefix numbers the shared beginning of the prompt.
	Prefix       int
	PromptTokens int // without the prefix
	OutputTokens int
}

const tokenBytes = 4

// Generate returns the arrivals of all workloads in a run, in order of time.
// Scale multiplies all rates. The same arguments give the same arrivals.
func Generate(seed uint64, duration time.Duration, scale float64, workloads ...Workload) []Arrival {
	var arrivals []Arrival
	for i, w := range workloads {
		for j, c := range w.Classes {
			r := rand.New(rand.NewPCG(seed, uint64(i)<<32|uint64(j)))
			arrivals = append(arrivals, w.class(r, c, seed, duration, scale)...)
		}
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	return arrivals
}

// class generates the Poisson arrivals of one class by thinning a process of
// the highest rate.
func (w Workload) class(r *rand.Rand, c Class, seed uint64, duration time.Duration, scale float64) []Arrival {
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
		if r.Float64()*peak > w.factor(c.Name, float64(at)/float64(duration)) {
			continue
		}
		a := w.arrival(r, c)
		a.At = at
		a.ID = fmt.Sprintf("%s-%d-%d", c.Name, seed, len(arrivals))
		arrivals = append(arrivals, a)
	}
}

func (w Workload) factor(name quetzalhook.ClassName, at float64) float64 {
	f := 1.0
	for _, b := range w.Bursts {
		if b.Class == name && at >= b.From && at < b.To {
			f = max(f, b.Factor)
		}
	}
	return f
}

func (w Workload) arrival(r *rand.Rand, c Class) Arrival {
	zone := r.IntN(len(w.Regions))
	a := Arrival{
		Workload: w.Name, Model: w.Model, Class: c, Customer: w.customer(r),
		Region: w.Regions[zone], Zone: zone, Latency: w.Latency,
		PromptTokens: c.Prompt.draw(r), OutputTokens: c.Output.draw(r),
	}
	if c.Prefixes > 0 {
		a.Prefix = r.IntN(c.Prefixes)
	}
	return a
}

func (w Workload) customer(r *rand.Rand) quetzalhook.CustomerID {
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

// SystemPrompt returns the shared beginning of the prompt.
func (a Arrival) SystemPrompt() string {
	return text(fmt.Sprintf("%s rules %d ", a.Class.Name, a.Prefix), a.Class.PrefixTokens)
}

// UserPrompt returns the part of the prompt that is different for each
// request.
func (a Arrival) UserPrompt() string { return text(a.ID+" ", a.PromptTokens) }

// text repeats s to a length in tokens, at least once.
func text(s string, tokens int) string {
	n := max(tokens*tokenBytes, len(s))
	return strings.Repeat(s, n/len(s)+1)[:n]
}
