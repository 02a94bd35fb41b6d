package quarantine

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// fullTable returns a table with as many crashes as it keeps and quarantines, with
// the requests and parts of a busy engine in each crash.
func fullTable(now time.Time) *Table {
	t := New()
	for n := range maxCrashes {
		var requests [][]Part
		for r := range 4 {
			requests = append(requests, []Part{{Model: "m", Hash: uint64(r)}, {Model: "m", Hash: uint64(1000 + 4*n + r)}})
		}
		t.AddCrash(now.Add(time.Duration(n)*time.Second), EngineRun{Upstream: "i-0123456789", Started: int64(n)}, now.Add(time.Duration(n)*time.Second), requests...)
	}
	return t
}

// BenchmarkMerge measures the merge of the facts of a full table with one that knows
// them, and reports their encoded size.
func BenchmarkMerge(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	t := fullTable(now)
	now = now.Add(maxCrashes * time.Second)
	body, err := cbor.Marshal(t.Facts(now))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var facts Facts
		if err := cbor.Unmarshal(body, &facts); err != nil {
			b.Fatal(err)
		}
		t.Merge(now, facts)
	}
	b.ReportMetric(float64(len(body)), "bytes")
}

// BenchmarkAddCrash measures a crash that is added to a full table.
func BenchmarkAddCrash(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	t := fullTable(now)
	now = now.Add(maxCrashes * time.Second)
	n := int64(maxCrashes)
	for b.Loop() {
		n++
		now = now.Add(time.Second)
		t.AddCrash(now, EngineRun{Started: n}, now, []Part{{Model: "m", Hash: 1}})
	}
}

// BenchmarkMatch measures the check of a request against a full table.
func BenchmarkMatch(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	t := fullTable(now)
	for n := range maxQuarantines {
		t.impose(now, []Part{{Hash: uint64(n)}}, make(partSet))
	}
	request := []Part{{Model: "m", Hash: 1}, {Model: "m", Hash: 1 << 40}}
	for b.Loop() {
		t.Match(now, request)
	}
}
