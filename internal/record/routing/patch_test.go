package routing

import (
	"context"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// Guards against a patch whose result differs from the table that it was made from, in its
// entries or their order.
func TestPatchResultEqualsTable(t *testing.T) {
	routes := wideTable(1, 12).Routes
	services := []Service{{Name: "a"}, {Name: "b", Scaling: &Scaling{ZonePrices: map[quetzalhook.Zone]float64{"x": 1, "y": 2}}}}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(version int64) *Table {
			table := &Table{Version: version, Services: services}
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(routes)-1), 0, 15).Draw(t, "routes") {
				table.Routes = append(table.Routes, routes[i])
			}
			for _, n := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 4).Draw(t, "customers") {
				table.Customers = append(table.Customers, Customer{ID: "c", Keys: make([]KeyHash, n)})
			}
			return table
		}
		base, want := draw(1), draw(2)
		p, err := newPatch(base, want)
		if err != nil {
			t.Fatal(err)
		}
		data, err := deflate(p)
		if err != nil {
			t.Fatal(err)
		}
		got, err := pullAnswer{TablePatch: data}.table(base)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.EqualFunc(got.Routes, want.Routes, func(a, b Route) bool { return reflect.DeepEqual(a, b) }) ||
			!slices.EqualFunc(got.Customers, want.Customers, func(a, b Customer) bool { return reflect.DeepEqual(a, b) }) ||
			!reflect.DeepEqual(got.Services, want.Services) {
			t.Errorf("table: got %v, want %v", got, want)
		}
	})
}

// Guards against a patch that is applied to another table of the version it was made for.
func TestPatchOfAnotherTable(t *testing.T) {
	routes := wideTable(1, 8).Routes
	rapid.Check(t, func(t *rapid.T) {
		draw := func(version int64) *Table {
			table := &Table{Version: version}
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(routes)-1), 0, 6).Draw(t, "routes") {
				table.Routes = append(table.Routes, routes[i])
			}
			return table
		}
		base, other, want := draw(1), draw(1), draw(2)
		p, err := newPatch(base, want)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := p.apply(other); err == nil && !reflect.DeepEqual(got.Routes, want.Routes) {
			t.Errorf("routes: got %v, want %v or an error", got.Routes, want.Routes)
		}
	})
}

// Guards against a pull between hosts of which one knows neither packed tables nor patches.
func TestPullBesideEarlierBuild(t *testing.T) {
	hosts, pull := newPullChain(t)
	hosts["a"].install(wideTable(1, 3), 1, "test")
	hosts["a"].install(wideTable(2, 4), 2, "test")
	hosts["b"].install(wideTable(1, 3), 1, "test")
	for _, have := range []int64{0, 1, 2} {
		body, err := cbor.Marshal(map[int]any{1: have, 2: 0})
		if err != nil {
			t.Fatal(err)
		}
		data, err := hosts["a"].handlePull(t.Context(), "earlier", body)
		if err != nil {
			t.Fatal(err)
		}
		var answer pullAnswer
		if err := cbor.Unmarshal(data, &answer); err != nil {
			t.Fatal(err)
		}
		if got := answer.Table != nil; got != (have < 2) || answer.PackedTable != nil || answer.TablePatch != nil {
			t.Errorf("answer to version %d: got a plain table: %v, packed %d, patch %d bytes", have, got, len(answer.PackedTable), len(answer.TablePatch))
		}
	}
	hosts["c"].peers.Handle(pullKind, func(context.Context, quetzalhook.HostID, []byte) ([]byte, error) {
		return cbor.Marshal(map[int]any{1: wideTable(2, 4), 2: 2, 4: 0, 8: map[string][]byte{}})
	})
	pull("b", "c")
	if table, _ := hosts["b"].Table(); table.Version != 2 || len(table.Routes) != 4 {
		t.Errorf("table: got version %d with %d routes, want version 2 with 4", table.Version, len(table.Routes))
	}
}

// Guards against a host that stays at its version because no patch applies to its table.
func TestFullTableAfterUselessPatch(t *testing.T) {
	clock := quetzalhook.ClockFunc(time.Now)
	network := peer.NewNetwork(clock, 1)
	from := New("a", memory.New(), network.Endpoint("a"), testSource, clock, discardLogger(), invariant.New(nil))
	endpoint := network.Endpoint("b")
	to := New("b", memory.New(), endpoint, testSource, clock, discardLogger(), invariant.New(nil))
	network.Join(endpoint, func() quetzalhook.Member { return quetzalhook.Member{} })
	source := network.Endpoint("a")
	source.Handle(pullKind, from.handlePull)
	network.Join(source, func() quetzalhook.Member { return quetzalhook.Member{} })
	from.install(wideTable(1, 40), 1, "test")
	from.install(wideTable(2, 50), 2, "test")
	other := wideTable(1, 40)
	other.Routes[0].Priority++
	to.install(other, 1, "test") // another table of the same version
	if err := to.pull(t.Context(), "a", 0, time.Second); err == nil {
		t.Error("pull of a patch for another table: got no error")
	}
	if err := to.pull(t.Context(), "a", 0, time.Second); err != nil {
		t.Error(err)
	}
	if table, _ := to.Table(); table.Version != 2 || len(table.Routes) != 50 {
		t.Errorf("table: got version %d with %d routes, want version 2 with 50", table.Version, len(table.Routes))
	}
}

// Guards against a change of one route that costs more than the control traffic of a host
// that watches for 16 hosts: 20 KB/s, with 10,000 changes a day.
func TestSizeOfChangedRoute(t *testing.T) {
	const limit = 20_000 * 24 * 3600 / 10_000 / 15
	clock := quetzalhook.ClockFunc(time.Now)
	f := New("h", memory.New(), peer.NewNetwork(clock, 1).Endpoint("h"), testSource, clock, discardLogger(), invariant.New(nil))
	changed := wideTable(2, 1441)
	changed.Routes[700].Split = []Share{{Service: "other", Weight: 1}}
	f.install(wideTable(1, 1441), 1, "test")
	f.install(changed, 2, "test")
	body, err := cbor.Marshal(pullRequest{Table: 1, Packed: true, Patches: true})
	if err != nil {
		t.Fatal(err)
	}
	answer, err := f.handlePull(t.Context(), "other", body)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(answer); got > limit {
		t.Errorf("answer: got %d bytes, want at most %d", got, limit)
	}
}

// Guards against a patch from another host that ends the process.
func TestPatchOutOfBounds(t *testing.T) {
	base := wideTable(1, 3)
	for _, run := range []listRun{{From: -1, Count: 1}, {From: 2, Count: 2}, {From: 4, Count: 0}, {Count: -1}, {From: 1 << 62, Count: 1 << 62}} {
		if _, err := (&tablePatch{Base: 1, Version: 2, Routes: []listRun{run}}).apply(base); err == nil {
			t.Errorf("run %+v: got no error", run)
		}
	}
}
