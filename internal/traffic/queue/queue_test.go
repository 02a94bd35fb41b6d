package queue

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"quetzalhook"

	"pgregory.net/rapid"
)

// TestMain fixes the seed; the flags -rapid.seed and -rapid.checks set another
// seed and number of cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func item(class quetzalhook.Class, customer string, work float64) *Item {
	return &Item{Work: work, Request: quetzalhook.Request{
		Class: class, Customer: quetzalhook.CustomerID(customer), PromptTokens: int(work), Repeatable: true,
	}}
}

// TestShares guards against unfair shares: the served work per weight of two
// customers with waiting work may differ by at most the largest request of
// each, whatever they send.
func TestShares(t *testing.T) {
	class := quetzalhook.NewClass("draft", 3)
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		q.SetSlots(1, 1)
		const maxWork = 1000
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 6).Draw(t, "weights")
		served := make([]float64, len(weights))
		push := func(i int) {
			work := float64(rapid.IntRange(1, maxWork).Draw(t, "work"))
			q.Push(item(class, fmt.Sprint(i), work), float64(weights[i]))
		}
		for i := range weights {
			for range rapid.IntRange(1, 5).Draw(t, "burst") {
				push(i)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "starts") {
			it := q.NextByTier(epoch)
			q.Take(it)
			q.Run(it)
			q.Stop(it)
			i := int(it.Request.Customer[0] - '0')
			served[i] += it.Work
			push(i) // keeps every customer waiting
			q.Settle(it, it.Work)
			for a := range served {
				for b := range served {
					got := served[a]/float64(weights[a]) - served[b]/float64(weights[b])
					want := maxWork/float64(weights[a]) + maxWork/float64(weights[b])
					if math.Abs(got) > want {
						t.Fatalf("customers %d and %d differ by %.0f, want at most %.0f", a, b, got, want)
					}
				}
			}
		}
	})
}

// TestShed guards against a full queue that drops requests of a customer with
// few waiting requests, or requests that must finish, and against customers and
// classes that are never deleted.
func TestShed(t *testing.T) {
	draft := quetzalhook.NewClass("draft", 3)
	q := New()
	q.Push(item(quetzalhook.NewClass("daily-summary", 3, quetzalhook.WithMustFinish()), "a", 10), 1)
	if got := q.Sheddable(0); got != nil {
		t.Fatalf("got %+v, want none", got)
	}
	for i := range 20 {
		q.Push(item(draft, map[bool]string{true: "small", false: "flood"}[i == 3], 10), 1)
	}
	for range 15 {
		it := q.Sheddable(2)
		if it == nil || it.Request.Customer != "flood" {
			t.Fatalf("got %+v, want one of flood", it)
		}
		q.Remove(it)
		q.Settle(it, 0)
	}
	for it := q.NextByTier(epoch); it != nil; it = q.NextByTier(epoch) {
		q.Remove(it)
		q.Settle(it, 0)
	}
	for i := range 3 {
		q.Advance(epoch.Add(time.Duration(i) * 2 * Window))
		q.Sweep()
	}
	if got := len(q.classes); got != 0 {
		t.Errorf("got %d classes after all work ended, want 0", got)
	}
}
