package schedule

import (
	"fmt"
	"testing"
	"time"

	"quetzalhook"
)

// newOverloadedScheduler returns a scheduler whose engines are all full, with the
// given number of waiting requests. Prompts share first parts, as in the users'
// traffic.
func newOverloadedScheduler(now time.Time, engines, slots, waiting int) *Scheduler {
	s := New()
	var list []quetzalhook.Upstream
	for i := range engines {
		list = append(list, quetzalhook.Upstream{
			ID: quetzalhook.UpstreamID(fmt.Sprintf("e%d", i)), Service: "s", Models: []quetzalhook.Model{"m"}, Slots: slots,
			MemoryTokens: 480_000, EventTokens: 7, TokenTransfer: 2 * time.Microsecond,
		})
	}
	s.SetUpstreams(now, list)
	for i := range engines*slots + waiting {
		s.Submit(now, overloadRequest(i))
	}
	return s
}

func overloadRequest(i int) quetzalhook.Request {
	return quetzalhook.Request{
		ID: quetzalhook.RequestID(fmt.Sprint(i)), Service: "s", Model: "m", PromptTokens: 12_000, MaxTokens: 400,
		Class:         quetzalhook.NewClass("c", quetzalhook.Tier(i%3), quetzalhook.WithTTFTTarget(time.Second)),
		CallerTimeout: time.Minute,
		Parts:         []quetzalhook.PromptPart{{Hash: uint64(i % 40), Tokens: 5_400}, {Hash: uint64(1000 + i), Tokens: 6_600}},
	}
}

// BenchmarkOverloadedTick measures the periodic work while all engines are full.
func BenchmarkOverloadedTick(b *testing.B) {
	now := time.Unix(0, 0)
	for _, age := range []time.Duration{0, 40 * time.Second} {
		b.Run(age.String(), func(b *testing.B) {
			s := newOverloadedScheduler(now, 160, 24, 500)
			b.ReportMetric(float64(s.Waiting()), "waiting")
			at := now.Add(age)
			for b.Loop() {
				at = at.Add(time.Microsecond)
				s.Tick(at)
			}
		})
	}
}

// BenchmarkOverloadedEnd measures the end of a request and the start of the next
// one while all engines are full.
func BenchmarkOverloadedEnd(b *testing.B) {
	now := time.Unix(0, 0)
	s := newOverloadedScheduler(now, 160, 24, 500)
	next, n := 0, 160*24+500
	for b.Loop() {
		s.End(now, quetzalhook.RequestID(fmt.Sprint(next)), quetzalhook.AttemptEnd{End: quetzalhook.EndFinished})
		next++
		s.Submit(now, overloadRequest(n))
		n++
	}
}
