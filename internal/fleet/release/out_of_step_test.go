package release

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
)

// testLink holds back what a host receives. The zero value holds back nothing.
type testLink struct {
	host quetzalhook.HostID
	cell func(quetzalhook.HostID) int

	mu      sync.Mutex
	held    chan struct{}        // closed when the store's answers pass again; nil while they pass
	paused  chan struct{}        // closed when the host continues; nil while it runs
	members []quetzalhook.Member // the newest list before a pause
	queued  bool                 // whether Members returns that list, as if just heard
}

func (l *testLink) hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = make(chan struct{})
}

func (l *testLink) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.held)
	l.held = nil
}

// pause stops the calls of Members, and resume continues them with heartbeats that were
// received before or at the begin of the pause until drain is called.
func (l *testLink) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused, l.queued = make(chan struct{}), true
}

func (l *testLink) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.paused)
	l.paused = nil
}

func (l *testLink) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued = false
}

// await waits until answers of the store pass, or ctx ends.
func (l *testLink) await(ctx context.Context) error {
	l.mu.Lock()
	held := l.held
	l.mu.Unlock()
	if held == nil {
		return nil
	}
	select {
	case <-held:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// linkedPeers are the peers of a host with a testLink.
type linkedPeers struct {
	quetzalhook.Peers
	link *testLink
}

// Members implements quetzalhook.Peers.
func (p linkedPeers) Members() []quetzalhook.Member {
	l := p.link
	l.mu.Lock()
	paused := l.paused
	l.mu.Unlock()
	if paused != nil {
		<-paused
	}
	list := p.Peers.Members()
	for i := range list {
		if l.cell(list[i].Host) != l.cell(l.host) {
			list[i].Distant, list[i].Lag = true, list[i].Silent
			if list[i].Host != "h1" && list[i].Host != "h5" { // a summary tells the state of one host
				list[i].SplitVersion = 0
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queued {
		return l.members
	}
	l.members = list
	return list
}

// linkedStore is a store whose calls and watches get no answers while a testLink is held.
type linkedStore struct {
	quetzalhook.Store
	link *testLink
}

// Get implements quetzalhook.Store.
func (s linkedStore) Get(ctx context.Context, key string) (quetzalhook.Object, error) {
	if err := s.link.await(ctx); err != nil {
		return quetzalhook.Object{}, err
	}
	return s.Store.Get(ctx, key)
}

// List implements quetzalhook.Store.
func (s linkedStore) List(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	if err := s.link.await(ctx); err != nil {
		return quetzalhook.Listing{}, err
	}
	return s.Store.List(ctx, prefix)
}

// Watch implements quetzalhook.Store.
func (s linkedStore) Watch(ctx context.Context, prefix string, after quetzalhook.Version) (quetzalhook.Watch, error) {
	if err := s.link.await(ctx); err != nil {
		return nil, err
	}
	w, err := s.Store.Watch(ctx, prefix, after)
	if err != nil {
		return nil, err
	}
	h := &heldWatch{Watch: w, events: make(chan quetzalhook.Object)}
	watchCtx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go h.run(watchCtx, s.link)
	return h, nil
}

// heldWatch is a watch whose events wait while a testLink is held.
type heldWatch struct {
	quetzalhook.Watch
	events chan quetzalhook.Object
	cancel context.CancelFunc
}

func (w *heldWatch) run(ctx context.Context, l *testLink) {
	defer close(w.events)
	for o := range w.Watch.Events() {
		if l.await(ctx) != nil {
			return
		}
		select {
		case w.events <- o:
		case <-ctx.Done():
			return
		}
	}
}

func (w *heldWatch) Events() <-chan quetzalhook.Object { return w.events }

func (w *heldWatch) Close() error {
	w.cancel()
	return w.Watch.Close()
}

// isolate cuts a host off from the other hosts.
func (c *testCluster) isolate(name string) {
	c.network.SetFaults(peer.NetworkFaults{Cut: func(a, b quetzalhook.HostID) bool { return string(a) == name || string(b) == name }})
}

// takeUpAll lets streams begin at h1 each 50 ms, and takes them up 50 ms later at another
// host. It returns how many go on there at the builds that began them and at others.
func (c *testCluster) takeUpAll(name string, d time.Duration) (right, wrong int) {
	var began map[quetzalhook.RequestID]quetzalhook.Build
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for id, b := range began {
			switch got, ok := c.hosts[name].assigner.Origin("s", id, 20*time.Second); {
			case ok && got == b:
				right++
			case ok:
				wrong++
			}
		}
		began = make(map[quetzalhook.RequestID]quetzalhook.Build)
		for i := range 20 {
			id := quetzalhook.RequestID(fmt.Sprint(time.Now().UnixNano(), "-", i))
			if b, ok := c.hosts["h1"].assigner.Assign("s", id); ok {
				began[id] = b
			}
		}
	}
	return right, wrong
}

func singleCell(quetzalhook.HostID) int { return 0 }

// runOutOfStep runs f with five hosts, of which h1 leads, for each of the others and for
// several times between the loss of contact and the first engine of a new build.
func runOutOfStep(t *testing.T, cell func(quetzalhook.HostID) int, f func(c *testCluster, name string) (right, wrong int)) {
	for _, name := range []string{"h2", "h3", "h4", "h5"} {
		for _, after := range []time.Duration{-600, -100, 0, 300, 2500} {
			after *= time.Millisecond
			synctest.Test(t, func(t *testing.T) {
				c := &testCluster{
					t: t, store: memory.New(), network: peer.NewNetwork(quetzalhook.ClockFunc(time.Now), 1), hosts: make(map[string]*testHost),
					cell: cell,
				}
				c.put("config/main", "1 20")
				for _, line := range []string{"start h1", "start h2", "start h3", "start h4", "start h5", "leaders h1", "upstream a1 30", "wait 6s"} {
					c.play(line)
				}
				if right, _ := c.takeUpAll(name, time.Second); right == 0 {
					t.Errorf("%s: streams that go on before the loss of contact: got 0, want more", name)
				}
				done := make(chan struct{})
				go func() {
					defer close(done)
					time.Sleep(time.Second + after)
					c.play("upstream b1 30")
				}()
				time.Sleep(time.Second)
				if right, wrong := f(c, name); wrong > 0 {
					t.Errorf("%s, new build %v after the loss of contact: streams that go on at another build: got %d of %d, want 0", name, after, wrong, right+wrong)
				}
				<-done
				c.network.SetFaults(peer.NetworkFaults{})
				time.Sleep(4 * time.Second)
				if right, wrong := c.takeUpAll(name, time.Second); right == 0 || wrong > 0 {
					t.Errorf("%s: streams that go on after contact is back: got %d at their build and %d at another, want more than 0 and 0", name, right, wrong)
				}
				for name := range c.hosts {
					c.stop(name)
				}
			})
		}
	}
}

// Guards against a stream that changes its build at a host that was cut off from the other
// hosts, and from the store or not, a short time before.
func TestOriginRightAfterHostIsCutOff(t *testing.T) {
	for _, withStore := range []bool{false, true} {
		t.Run(fmt.Sprint("store answers ", withStore), func(t *testing.T) {
			runOutOfStep(t, singleCell, func(c *testCluster, name string) (right, wrong int) {
				c.isolate(name)
				if !withStore {
					c.hosts[name].link.hold()
					defer c.hosts[name].link.release()
				}
				return c.takeUpAll(name, 12*time.Second)
			})
		})
	}
}

// Guards against a stream that changes its build at a host that is cut off and takes the
// other cells for alive by their last summaries.
func TestOriginAtHostCutOffFromItsCell(t *testing.T) {
	for _, first := range []quetzalhook.HostID{"h4", "h5"} { // of the second cell
		t.Run(string(first), func(t *testing.T) {
			cell := func(host quetzalhook.HostID) int { return cmp.Compare(host, first) | 1 }
			runOutOfStep(t, cell, func(c *testCluster, name string) (right, wrong int) {
				c.isolate(name)
				c.hosts[name].link.hold()
				defer c.hosts[name].link.release()
				return c.takeUpAll(name, 12*time.Second)
			})
		})
	}
}

// Guards against a stream that changes its build at a host that has just resumed, and has
// received heartbeats from before its pause but not the newer ones and no event of the store.
func TestOriginAtHostThatResumes(t *testing.T) {
	for _, pause := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			runOutOfStep(t, singleCell, func(c *testCluster, name string) (right, wrong int) {
				link := c.hosts[name].link
				c.isolate(name)
				link.hold()
				link.pause()
				time.Sleep(pause)
				link.resume()
				right, wrong = c.takeUpAll(name, 300*time.Millisecond)
				link.drain()
				c.network.SetFaults(peer.NetworkFaults{})
				more, moreWrong := c.takeUpAll(name, time.Second)
				link.release()
				return right + more, wrong + moreWrong
			})
		})
	}
}

// Guards against a host that starts after all were killed, serves by the table and the splits
// of the store, and refuses streams because it has not heard the others.
func TestHostThatStartsBeginsStreams(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		for _, line := range []string{"leaders h1", "wait 4s", "kill h1", "kill h2", "start h1"} {
			c.play(line)
		}
		h, refused := c.hosts["h1"], 0
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			table, _ := h.follower.Table()
			if _, ok := h.assigner.Assign("s", "request"); table != nil && !ok {
				refused++
			}
		}
		if refused > 0 {
			t.Errorf("refused: got %d, want none", refused)
		}
	})
}
