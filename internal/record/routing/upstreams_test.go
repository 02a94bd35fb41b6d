package routing

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// Guards against a cost per changed upstream that grows with the number of
// upstreams: when 1,000 upstreams changed at once, hosts spent seconds rebuilding
// lists and learned of removals 4 s late.
func TestCostOfChange(t *testing.T) {
	const upstreams, changes, limit = 3000, 100, 20_000 // limit in allocated bytes per change
	clock := quetzalhook.ClockFunc(time.Now)
	f := New("h", memory.New(), peer.NewNetwork(clock, 1).Endpoint("h"), testSource, clock, discardLogger(), invariant.New(nil))
	change := func(i int, state string, version int) {
		f.applyUpstreams(nil, &quetzalhook.Object{
			Key: fmt.Sprintf("servers/i%d", i), Value: []byte(state), Version: quetzalhook.Version(version),
		})
	}
	for i := range upstreams {
		change(i, "ready", i+1)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range changes {
		change(i, "leaving", upstreams+i+1)
	}
	runtime.ReadMemStats(&after)
	if got := (after.TotalAlloc - before.TotalAlloc) / changes; got > limit {
		t.Errorf("bytes allocated per change: got %d, want at most %d", got, limit)
	}
	leaving := 0
	for _, u := range f.Upstreams() {
		if u.State == quetzalhook.UpstreamLeaving {
			leaving++
		}
	}
	if got, want := leaving, changes; got != want {
		t.Errorf("leaving upstreams: got %d, want %d", got, want)
	}
}

// Guards against a log line at every list, and a changed record that is not read again.
func TestOddRecordsAreLoggedOnce(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	clock := quetzalhook.ClockFunc(func() time.Time { return now })
	log, logged := logtest.NewNullLogger()
	f := New("h", memory.New(), peer.NewNetwork(clock, 1).Endpoint("h"), testSource, clock, log, invariant.New(nil))
	list := func(version quetzalhook.Version, upstream, table string) {
		objects := []quetzalhook.Object{{Key: "servers/a", Value: []byte(upstream), Version: version}}
		for range 10 {
			f.applyUpstreams(&listing{Listing: quetzalhook.Listing{Objects: objects, Version: 100}}, nil)
			f.applyTable(quetzalhook.Object{Key: "config/main", Value: []byte(table), Version: version})
			now = now.Add(tombstoneRetention)
			f.expire()
		}
	}
	for _, step := range []struct {
		version               quetzalhook.Version
		upstream, table       string
		upstreams, decodeLogs int
	}{
		{1, "odd", "odd", 0, 2}, {2, "ready", "1", 1, 2}, {3, "odd", "odd", 0, 4}, {4, "odd", "odd", 0, 6}, {5, "leaving", "2", 1, 6},
	} {
		list(step.version, step.upstream, step.table)
		got := 0
		for _, e := range logged.AllEntries() {
			if strings.HasPrefix(e.Message, "decoding") {
				got++
			}
		}
		if got != step.decodeLogs {
			t.Errorf("log lines up to version %d: got %d, want %d", step.version, got, step.decodeLogs)
		}
		if got, want := len(f.Upstreams()), step.upstreams; got != want {
			t.Errorf("upstreams at version %d: got %d, want %d", step.version, got, want)
		}
	}
	f.applyUpstreams(&listing{Listing: quetzalhook.Listing{Version: 101}}, nil)
	if got, want := len(f.rejected), 0; got != want {
		t.Errorf("rejected records kept: got %d, want %d", got, want)
	}
}
