package workload

import (
	"reflect"
	"testing"
	"time"

	"quetzalhook"
)

// Guards against arrivals that differ between two runs with the same seed,
// against bursts that change the rate outside their time, and against customers
// whose number of requests does not match their share.
func TestGenerate(t *testing.T) {
	const duration = 200 * time.Second
	a := Generate(1, duration, 1, All()...)
	if !reflect.DeepEqual(a, Generate(1, duration, 1, All()...)) {
		t.Error("same seed: got different arrivals")
	}
	ids := make(map[string]bool)
	customers := make(map[quetzalhook.CustomerID]int)
	outside, burst := 0, 0
	for _, x := range a {
		if ids[x.ID] {
			t.Fatalf("id %s occurs twice", x.ID)
		}
		ids[x.ID] = true
		customers[x.Customer]++
		if x.Class.Name == "permit-question" {
			if x.At >= 60*time.Second && x.At < 84*time.Second {
				burst++
			} else {
				outside++
			}
		}
	}
	if got, want := float64(outside)/176, 12.0; got < 0.9*want || got > 1.1*want {
		t.Errorf("rate outside bursts: got %.1f/s, want about %.1f/s", got, want)
	}
	if got, want := float64(burst)/24, 36.0; got < 0.85*want || got > 1.15*want {
		t.Errorf("burst rate: got %.1f/s, want about %.1f/s", got, want)
	}
	ratio := float64(customers["association-fairs"]) / float64(customers["association-celje"])
	if ratio < 35 || ratio > 70 {
		t.Errorf("largest to smallest customer: got %.0f, want about 50", ratio)
	}
}
