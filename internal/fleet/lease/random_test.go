package lease

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"quetzalhook/internal/platform/memory"
)

// Guards against two holders at one time, a fencing token that two processes use, and one below
// a token that was used before, when the store comes back from older copies.
func TestRandomReturns(t *testing.T) {
	sends := 0
	for seed := range uint64(200) {
		sends += runRandom(t, seed)
	}
	if sends < 10_000 {
		t.Errorf("got %d sends, want more", sends)
	}
}

func runRandom(t *testing.T, seed uint64) int {
	r := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(t, memory.WithEras())
	f.copy = f.store.Copy()
	hosts := []string{"a", "b", "c"}
	commands := []string{
		"copy", "return", "hear", "late", "land", "lose", "close", "start", "order o", "order-lost o",
		"return-before-write", "return-after-write 0s", "return-after-write 12s", "return-after-write-heard", "return-after-read-heard",
	}
	owners := make(map[uint64]string)
	var trace []string
	var top uint64
	sends := 0
	for range 300 {
		command := "step"
		if r.IntN(3) == 0 {
			command = commands[r.IntN(len(commands))]
		}
		host := hosts[r.IntN(len(hosts))]
		f.run([]string{host, "sleep", fmt.Sprintf("%dms", r.IntN(2500))})
		line := host + " " + command
		trace = append(trace, line+": "+f.run(append([]string{host}, strings.Fields(command)...)))
		if command == "close" {
			f.start(host)
		}
		var holders []string
		for host, l := range f.leases {
			token, held := l.Fencing()
			if !held {
				continue
			}
			process := fmt.Sprint(host, l.incarnation)
			holders = append(holders, process)
			sends++
			if owners[token] == "" {
				owners[token] = process
			}
			if owners[token] != process || token < top {
				t.Fatalf("seed %d: %s sends with token %d of %s after %d\n%s", seed, process, token, owners[token], top, strings.Join(trace[max(0, len(trace)-40):], "\n"))
			}
			top = token
		}
		if len(holders) > 1 {
			t.Fatalf("seed %d: got holders %v, want one\n%s", seed, holders, strings.Join(trace[max(0, len(trace)-40):], "\n"))
		}
	}
	if f.inv.Violations() > 0 {
		t.Fatalf("seed %d: got %d violations, want none\n%s", seed, f.inv.Violations(), strings.Join(trace[max(0, len(trace)-40):], "\n"))
	}
	return sends
}

// Guards against an object that is created for an intent alone, which hides that the store has
// lost the fencing tokens.
func TestRestoredIntentOfMissingObject(t *testing.T) {
	f := newFleet(t, memory.WithEras())
	empty := f.store.Copy()
	for _, line := range []string{"a step", "a sleep 12s", "a step", "a copy", "a order-lost o", "a return", "a sleep 12s"} {
		f.run(strings.Fields(line))
	}
	f.copy = empty
	for _, line := range []string{"a return-after-write 0s", "a step", "a step", "a sleep 12s", "b step", "b sleep 12s", "b step"} {
		f.run(strings.Fields(line))
	}
	if got, want := f.run([]string{"b", "fencing"}), fmt.Sprint(3<<eraTokenBits+1); got != want {
		t.Errorf("got token %s, want %s", got, want)
	}
}
