package rendezvous

import (
	"fmt"
	"testing"

	"quetzalhook"
)

// Guards against a change of the order of the remaining hosts when one leaves, and
// against different results of First and Rank.
func TestRankAfterLeave(t *testing.T) {
	hosts := []quetzalhook.HostID{"a", "b", "c", "d"}
	for i := range 100 {
		key := fmt.Sprint("key-", i)
		full := Rank(key, hosts)
		if got, want := First(key, hosts), full[0]; got != want {
			t.Fatalf("first of %s: got %s, want %s", key, got, want)
		}
		var want []quetzalhook.HostID
		for _, h := range full {
			if h != "c" {
				want = append(want, h)
			}
		}
		got := Rank(key, []quetzalhook.HostID{"d", "a", "b"})
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("rank of %s without c: got %v, want %v", key, got, want)
		}
	}
}
