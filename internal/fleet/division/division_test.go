package division

import (
	"fmt"
	"slices"
	"testing"

	"quetzalhook"
)

func engine(i int) quetzalhook.UpstreamID { return quetzalhook.UpstreamID(fmt.Sprintf("i-%d", i)) }

// Guards against groups that are too large for their leader, and against a number
// of groups that flaps when a few engines come and go.
func TestResize(t *testing.T) {
	var d Division
	for _, step := range []struct{ engines, want int }{
		{0, 1}, {18, 1}, {256, 1}, {257, 2}, {240, 2}, {193, 2}, {191, 1}, {3000, 12}, {2200, 12}, {2100, 9}, {10, 1},
	} {
		d = d.Resize(step.engines)
		if got := d.Groups(); got != step.want {
			t.Errorf("groups with %d engines: got %d, want %d", step.engines, got, step.want)
		}
	}
}

// Guards against engines that move between old groups when a group is added, and
// against groups of unequal size.
func TestGroupOf(t *testing.T) {
	const engines = 3000
	eleven, twelve := Division{extra: 10}, Division{extra: 11}
	sizes := make([]int, twelve.Groups())
	moved := 0
	for i := range engines {
		group := twelve.GroupOf(engine(i))
		sizes[group]++
		if group != eleven.GroupOf(engine(i)) {
			moved++
			if got, want := group, 11; got != want {
				t.Fatalf("engine %d moved to group %d, want the new one", i, got)
			}
		}
	}
	if got, want := moved, sizes[11]; got != want {
		t.Errorf("engines moved: got %d, want %d", got, want)
	}
	if got, limit := slices.Max(sizes), engines*5/4/twelve.Groups(); got > limit {
		t.Errorf("largest group: got %d engines, want at most %d", got, limit)
	}
}

// Guards against an uneven distribution of hosts over the groups, and against
// hosts of one group that all use the same second group.
func TestHosts(t *testing.T) {
	const hosts = 300
	d := Division{extra: 11}
	homes, seconds := make([]int, d.Groups()), make(map[[2]int]bool)
	for i := range hosts {
		host := quetzalhook.HostID(fmt.Sprintf("h%d", i))
		var others []quetzalhook.HostID
		for j := range hosts {
			if j != i {
				others = append(others, quetzalhook.HostID(fmt.Sprintf("h%d", j)))
			}
		}
		home := d.Home(Position(host, others), nil)
		homes[home]++
		second := d.Second(host, home)
		if second == home {
			t.Fatalf("host %d: the second group is the home group", i)
		}
		seconds[[2]int{home, second}] = true
	}
	if got, want := slices.Min(homes), hosts/d.Groups(); got != want {
		t.Errorf("hosts of the smallest group: got %d, want %d", got, want)
	}
	if got, least := len(seconds), 6*d.Groups(); got < least {
		t.Errorf("pairs of groups: got %d, want at least %d", got, least)
	}
	if got, want := slices.Max(homes), hosts/d.Groups(); got != want {
		t.Errorf("hosts of the largest group: got %d, want %d", got, want)
	}
	if got, want := (Division{}).Second("h", 0), 0; got != want {
		t.Errorf("second group of a single group: got %d, want %d", got, want)
	}
}

// Guards against long shared prompt parts that are computed in several groups,
// against long prompts that concentrate on a few groups, and against prompts with
// short shared parts that do not go to the group of their host.
func TestPrompts(t *testing.T) {
	const subjects = 136
	d := Division{extra: 3}
	prompt := func(subject, request, tokens int) []quetzalhook.PromptPart {
		return []quetzalhook.PromptPart{
			{Hash: 7, Tokens: tokens / 2}, {Hash: uint64(subject), Tokens: tokens / 2}, {Hash: uint64(1000 + request), Tokens: 5000},
		}
	}
	counts := make([]int, d.Groups())
	for subject := range subjects {
		home := d.Home(0.1, prompt(subject, 1, 6000))
		counts[home]++
		if got, want := d.Home(0.9, prompt(subject, 2, 6000)), home; got != want {
			t.Errorf("subject %d from another host: got group %d, want %d", subject, got, want)
		}
		if got, want := d.Home(0.9, prompt(subject, 1, 300)), 3; got != want {
			t.Errorf("short shared parts: got group %d, want that of the host, %d", got, want)
		}
	}
	if got, limit := slices.Max(counts), subjects*3/2/d.Groups(); got > limit {
		t.Errorf("subjects of the largest group: got %d, want at most %d", got, limit)
	}
	if got, want := d.Home(0.9, []quetzalhook.PromptPart{{Hash: 1, Tokens: 9000}}), 3; got != want {
		t.Errorf("prompt that nobody shares: got group %d, want that of the host, %d", got, want)
	}
}
