package routing

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
)

// modelUpstream is an upstream that writes its record every three seconds, and within two
// seconds of a return.
type modelUpstream struct {
	id, state string // ready, leaving or gone
	started   int
	since     time.Time // of the state
	writeAt   time.Time
	deadSince time.Time // when a record that nobody writes was listed again; zero if none is
}

// returnModel plays the operator, the upstreams and the store.
type returnModel struct {
	f         *testFleet
	random    *rand.Rand
	upstreams []*modelUpstream
	table     int
	tableAt   time.Time // when the table was confirmed
	rewriteAt time.Time // when the operator writes the table again; zero if it need not
	hasCopy   bool
	restored  time.Time
}

const settleLimit = 2500 * time.Millisecond

func (m *returnModel) delay() time.Duration {
	return time.Duration(m.random.IntN(1900)) * time.Millisecond
}

func (m *returnModel) stored(u *modelUpstream) bool {
	_, err := m.f.store.Get(m.f.t.Context(), "servers/"+u.id)
	return err == nil
}

func (m *returnModel) write(u *modelUpstream) {
	m.f.runCommand(fmt.Sprintf("upstream %s %s@%d", u.id, u.state, u.started))
	u.writeAt = time.Now().Add(3 * time.Second)
}

func (m *returnModel) act() {
	now := time.Now()
	switch u := m.upstreams[m.random.IntN(len(m.upstreams))]; m.random.IntN(8) {
	case 0:
		if u.state == "ready" {
			u.state, u.since = "leaving", now
			m.write(u)
		}
	case 1:
		if u.state != "gone" && m.stored(u) {
			u.state, u.since, u.deadSince = "gone", now, time.Time{}
			m.f.runCommand("gone " + u.id)
		}
	case 2:
		if u.state == "gone" {
			u.state, u.started, u.since = "ready", u.started+1, now
			m.write(u)
		}
	case 3:
		m.table++
		m.tableAt, m.rewriteAt = now, time.Time{}
		m.f.runCommand(fmt.Sprint("table ", m.table))
	case 4:
		m.f.runCommand("copy")
		m.hasCopy = true
	case 5:
		if m.hasCopy {
			m.f.runCommand("restore")
			m.restored = now
			m.rewriteAt = now.Add(m.delay())
			for _, u := range m.upstreams {
				u.writeAt, u.deadSince = now.Add(m.delay()), now
			}
		}
	case 6:
		m.f.runCommand(fmt.Sprintf("restart-host h%d open", m.random.IntN(5)))
	}
}

// step does what the operator and the upstreams do regularly, and lets dead records expire.
func (m *returnModel) step() {
	now := time.Now()
	if !m.rewriteAt.IsZero() && !now.Before(m.rewriteAt) {
		m.rewriteAt = time.Time{}
		m.f.runCommand(fmt.Sprint("table ", m.table))
	}
	for _, u := range m.upstreams {
		switch {
		case u.state != "gone" && !now.Before(u.writeAt):
			m.write(u)
		case u.state == "gone" && m.stored(u) && now.Sub(u.deadSince) > 9*time.Second:
			m.f.runCommand("gone " + u.id)
		}
	}
}

// check checks the promises of all hosts. A host that has just started may not know yet.
func (m *returnModel) check(started map[string]time.Time) {
	if time.Since(m.restored) < time.Second {
		return // hosts that do not know yet are told by others
	}
	for name, h := range m.f.hosts {
		if time.Since(started[name]) < settleLimit {
			continue
		}
		if v := h.TableVersion(); v < int64(m.table) && time.Since(m.tableAt) > settleLimit {
			m.f.t.Errorf("%s: table: got %d, want %d", name, v, m.table)
		}
		for _, u := range m.upstreams {
			asked := quetzalhook.Upstream{ID: quetzalhook.UpstreamID(u.id), Started: int64(u.started), Zone: "z"}
			if u.state != "ready" && time.Since(u.since) > settleLimit && h.knows(asked.ID) && h.IsUsable(asked) {
				m.f.t.Errorf("%s: upstream %s: got usable %v after it was %s", name, u.id, time.Since(u.since), u.state)
			}
		}
	}
}

// knows reports whether the host knows an upstream.
func (f *Follower) knows(id quetzalhook.UpstreamID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[id] != nil
}

// Guards against hosts that send to an upstream that leaves or is gone, or go back to an older
// table, in random sequences of changes, returns and restarts of hosts, and against hosts that
// disagree or pull on when all is quiet.
func TestRandomReturns(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { checkRandomReturns(t, seed) }) })
	}
}

func checkRandomReturns(t *testing.T, seed uint64) {
	f := newFleetOf(t, testSource, memory.WithEras())
	defer f.close()
	m := &returnModel{f: f, random: rand.New(rand.NewPCG(seed, 1))}
	m.table, m.tableAt = 1, time.Now()
	f.runCommand("table 1")
	for i := range 6 {
		u := &modelUpstream{id: fmt.Sprint("u", i), state: "ready", started: 1, since: time.Now()}
		m.upstreams = append(m.upstreams, u)
		m.write(u)
	}
	f.runCommand("wait 3s")
	started, followers := make(map[string]time.Time), make(map[string]*Follower)
	for range 240 {
		if m.random.IntN(4) == 0 {
			m.act()
		}
		m.step()
		f.runCommand("wait 250ms")
		for name, h := range f.hosts {
			if followers[name] != h {
				followers[name], started[name] = h, time.Now()
			}
		}
		m.check(started)
	}
	for range 90 {
		m.step()
		f.runCommand("wait 250ms")
	}
	states := make(map[string]bool)
	for _, h := range f.hosts {
		states[f.stateOf(h)] = true
	}
	if len(states) != 1 {
		t.Errorf("states of the hosts: got %v, want the same for all", states)
	}
	got := make(map[string]bool)
	for _, u := range f.hosts["h0"].Upstreams() {
		got[fmt.Sprintf("%s %d %d", u.ID, u.State, u.Started)] = true
	}
	want := make(map[string]bool)
	for _, u := range m.upstreams {
		if u.state == "gone" {
			continue
		}
		state := quetzalhook.UpstreamReady
		if u.state == "leaving" {
			state = quetzalhook.UpstreamLeaving
		}
		want[fmt.Sprintf("%s %d %d", u.id, state, u.started)] = true
	}
	if !maps.Equal(got, want) {
		t.Errorf("listed upstreams: got %v, want %v", got, want)
	}
}
