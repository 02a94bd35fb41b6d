package trial

import (
	"fmt"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/traffic/placement"
)

// BenchmarkDecision measures one Submit and one End of the policy of quetzalhook
// with its placement, while all slots of the host are in use and requests are
// queued.
func BenchmarkDecision(b *testing.B) {
	class := Association().classes[0].class
	for _, n := range []int{18, 100, 700} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			p := ownPolicy(placement.SlotShares)(Env{Host: "a", Hosts: 6, Region: "r0", Invariants: invariant.New(nil)})
			var list []quetzalhook.Upstream
			for i := range n {
				list = append(list, quetzalhook.Upstream{
					ID: quetzalhook.UpstreamID(fmt.Sprintf("u%03d", i)), Region: quetzalhook.Region(fmt.Sprintf("r%d", i%3)),
					Models: []quetzalhook.Model{model}, Slots: 8, TokenRate: 100, PrefillRate: 20000,
				})
			}
			now := epoch
			p.SetUpstreams(now, list)
			running, starts := []quetzalhook.RequestID{}, 0
			collectStarts := func(actions []quetzalhook.Action) {
				for _, a := range actions {
					if a.Kind == quetzalhook.ActionStart {
						running = append(running, a.Request)
						starts++
					}
				}
			}
			submit := func(i int) {
				collectStarts(p.Submit(now, quetzalhook.Request{
					ID: quetzalhook.RequestID(fmt.Sprintf("q%d", i)), Customer: quetzalhook.CustomerID(fmt.Sprintf("c%d", i%10)),
					Class: class, Model: model, PromptTokens: 400, Repeatable: true,
					Prefixes: []uint64{1, 2, uint64(i)}, PrefixTokens: 128, Region: "r0",
				}))
			}
			next := 0
			for ; next < 4*n; next++ {
				submit(next)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Microsecond)
				id := running[0]
				running = running[1:]
				collectStarts(p.End(now, id, quetzalhook.EndFinished))
				submit(next)
				next++
			}
			b.ReportMetric(float64(starts)/float64(b.N), "starts/op")
		})
	}
}
