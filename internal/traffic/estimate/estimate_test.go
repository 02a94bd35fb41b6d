package estimate

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"testing"

	"quetzalhook"

	"pgregory.net/rapid"
)

// TestMain sets a fixed default seed; -rapid.seed and -rapid.checks override the
// seed and the number of checks.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// TestQuantileError guards against a prediction whose error exceeds the bucket
// width, with and without received tokens, and against one that is not greater
// than the number of received tokens.
func TestQuantileError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New()
		lengths := rapid.SliceOfN(rapid.IntRange(1, 60000), 60, 60).Draw(t, "lengths")
		for _, n := range lengths {
			e.Observe("c", "k", n)
		}
		received := rapid.IntRange(0, 2000).Draw(t, "given")
		rest := slices.DeleteFunc(slices.Sorted(slices.Values(lengths)), func(n int) bool { return n <= received })
		got := e.Quantile("c", "k", 0.5, received)
		if got <= received {
			t.Fatalf("got %d, want more than %d", got, received)
		}
		if len(rest) < 2*minSamples {
			return
		}
		// The bucket that contains received counts in proportion, which may shift
		// the rank by the number of observations in that bucket.
		slack := 1
		for _, n := range lengths {
			if bucket(n) == bucket(max(received, 1)) {
				slack++
			}
		}
		lo, hi := rest[max(len(rest)/2-slack, 0)], rest[min(len(rest)/2+slack, len(rest)-1)]
		if float64(got) < float64(lo)/1.26-1 || float64(got) > float64(hi)*1.26+1 {
			t.Fatalf("got %d, want %d to %d within a bucket", got, lo, hi)
		}
	})
}

// TestFallbackAndDecay guards against a new customer without a prediction, against
// predictions that do not follow a change of the output length, and against more
// histograms than the capacity.
func TestFallbackAndDecay(t *testing.T) {
	e := New(WithCapacity(2))
	if got := e.Quantile("a", "k", 0.5, 0); got != priorTokens {
		t.Errorf("empty: got %d, want %d", got, priorTokens)
	}
	for range 100 {
		e.Observe("a", "k", 100)
	}
	for _, c := range []quetzalhook.CustomerID{"a", "new"} {
		if got := e.Quantile(c, "k", 0.5, 0); got < 80 || got > 125 {
			t.Errorf("customer %s: got %d, want about 100", c, got)
		}
	}
	for range 200 {
		e.Observe("a", "k", 4000)
	}
	if got := e.Quantile("a", "k", 0.5, 0); got < 3200 || got > 5000 {
		t.Errorf("after the change: got %d, want about 4000", got)
	}
	for i := range 10 {
		e.Observe(quetzalhook.CustomerID(fmt.Sprint(i)), "k", 10)
	}
	if got, want := e.Len(), 2; got != want {
		t.Errorf("got %d histograms, want %d", got, want)
	}
}

// TestPredictionLoss compares prediction methods by their pinball loss at the
// median. It guards against histograms by customer that predict worse than those
// by class.
func TestPredictionLoss(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	e := New()
	loss := map[string]float64{}
	for i := range 40000 {
		c := int(math.Floor(40 * math.Pow(rng.Float64(), 2)))
		n := int(math.Exp(4+float64(c%5)*0.7+rng.NormFloat64()*0.6)) + 1
		customer, half := quetzalhook.CustomerID(fmt.Sprint(c)), n/2
		if i > 4000 {
			add := func(method string, got int) { loss[method] += math.Abs(float64(got-n)) / 2 / 36000 }
			add("customer", e.Quantile(customer, "k", 0.5, 0))
			add("class", e.Quantile("none", "k", 0.5, 0))
			add("bound 4096", 4096)
			add("customer after half", e.Quantile(customer, "k", 0.5, half))
		}
		e.Observe(customer, "k", n)
	}
	t.Logf("mean loss in tokens: %v", loss)
	if loss["customer"] >= loss["class"] || loss["customer after half"] >= loss["customer"] {
		t.Errorf("got %v, want customer below class and customer after half below customer", loss)
	}
}

// BenchmarkMemory reports the bytes per histogram of a full estimator.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		e := New()
		for i := range 17000 {
			id := quetzalhook.CustomerID(fmt.Sprint("customer-", i))
			for k := range 6 {
				e.Observe(id, quetzalhook.ClassName(rune('a'+k)), i)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(e.Len()), "B/histogram")
	}
}
