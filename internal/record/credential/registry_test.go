package credential

import (
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// TestMain sets a fixed seed for the randomised tests. Flags on the command line
// override it.
func TestMain(m *testing.M) {
	// With several threads, timers in a synctest bubble sometimes crash the
	// runtime of the race detector.
	runtime.GOMAXPROCS(1)
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// issuedKey is a key that a test issued, with the expected state of its
// withdrawal.
type issuedKey struct {
	key       string
	id        ID
	withdrawn time.Time
	exempt    bool // not checked: only stopped or isolated hosts knew of the withdrawal
	streams   map[*Registry]<-chan struct{}
}

// testFleet runs the registries of several hosts in virtual time.
type testFleet struct {
	t             testing.TB
	store         *memory.Store
	network       *peer.Network
	inv           *invariant.Registry
	hosts         map[quetzalhook.HostID]*Registry
	keys          []*issuedKey
	staleReadsEnd time.Time // when hasStaleReads last ended
	hasStaleReads bool      // the faults let hosts read stale data without an error
}

func newFleet(t testing.TB, n int) *testFleet {
	clock := quetzalhook.ClockFunc(time.Now)
	f := &testFleet{
		t: t, store: memory.New(), network: peer.NewNetwork(clock, 1),
		inv: invariant.New(nil), hosts: make(map[quetzalhook.HostID]*Registry),
	}
	for i := range n {
		f.startHost(hostName(i))
	}
	time.Sleep(2 * time.Second) // virtual; all hosts have loaded their keys by then
	return f
}

func hostName(i int) quetzalhook.HostID { return quetzalhook.HostID(fmt.Sprintf("host-%d", i)) }

func (f *testFleet) startHost(host quetzalhook.HostID) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	zone := quetzalhook.Zone("zone-" + string(host[len(host)-1]%2+'0'))
	endpoint := f.network.Endpoint(host)
	r := NewRegistry(Identity{Host: host, Zone: zone}, f.store, endpoint, quetzalhook.ClockFunc(time.Now), log, f.inv)
	f.network.Join(endpoint, func() quetzalhook.Member {
		count, hash := r.Digest()
		return quetzalhook.Member{Zone: zone, StoreAge: r.StoreAge(), WithdrawnCount: count, WithdrawnHash: hash}
	})
	r.Start(f.t.Context())
	f.hosts[host] = r
}

func (f *testFleet) stopHost(host quetzalhook.HostID) {
	f.network.Leave(host)
	if err := f.hosts[host].Close(); err != nil {
		f.t.Error(err)
	}
	delete(f.hosts, host)
	for _, k := range f.keys {
		k.exempt = k.exempt || !k.withdrawn.IsZero() && !f.isKnown(k)
	}
}

// isKnown reports whether the store or a running host knows the withdrawal of a
// key.
func (f *testFleet) isKnown(k *issuedKey) bool {
	for _, r := range f.hosts {
		if _, ok := r.table.isWithdrawn(k.id); ok {
			return true
		}
	}
	faults := f.store.Faults()
	f.store.SetFaults(memory.Faults{})
	defer f.store.SetFaults(faults)
	for _, r := range f.hosts {
		s, _, err := r.getShard(f.t.Context(), k.id.shard())
		return err == nil && entryOf(s).Count > 0 && contains(s.Withdrawn, k.id)
	}
	return false
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func contains(ids []ID, id ID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

func (f *testFleet) issue(host quetzalhook.HostID) {
	key, id, err := f.hosts[host].Issue(f.t.Context(), "customer")
	if err != nil {
		return
	}
	k := &issuedKey{key: key, id: id, streams: make(map[*Registry]<-chan struct{})}
	for _, r := range f.hosts {
		k.streams[r], _ = r.Withdrawn(id)
	}
	f.keys = append(f.keys, k)
}

func (f *testFleet) withdraw(host quetzalhook.HostID, k *issuedKey) {
	result, err := f.hosts[host].Withdraw(f.t.Context(), k.id)
	if err != nil {
		return // stale reads do not return the key yet
	}
	k.withdrawn = time.Now()
	k.exempt = !result.Persisted && result.Reached == 0
}

// maxAcceptance is how long a host may accept a key after its withdrawal: the
// currency limit, one watch and three rounds of the background loops.
const maxAcceptance = defaultCurrencyLimit + watchDuration + 3*syncInterval

// checkWithdrawn returns an error if a host that is current accepts a key that was
// withdrawn more than maxAcceptance ago.
func (f *testFleet) checkWithdrawn() error {
	if f.hasStaleReads || time.Since(f.staleReadsEnd) < maxAcceptance {
		return nil
	}
	for host, r := range f.hosts {
		for _, k := range f.keys {
			if k.withdrawn.IsZero() || k.exempt || time.Since(k.withdrawn) < maxAcceptance {
				continue
			}
			if current, _ := r.Current(time.Now()); !current {
				continue
			}
			if _, _, ok := r.Lookup(k.key); ok {
				return fmt.Errorf("%s accepts %s, withdrawn %s ago", host, k.id, time.Since(k.withdrawn))
			}
		}
	}
	return nil
}

// healAndVerify ends all faults, checks every key on every host and stops the
// hosts.
func (f *testFleet) healAndVerify() error {
	f.applyFaults(step{Restart: -1})
	time.Sleep(maxAcceptance) // virtual
	for host, r := range f.hosts {
		if ok, reason := r.Current(time.Now()); !ok {
			return fmt.Errorf("%s is not current: %s", host, reason)
		}
		for _, k := range f.keys {
			if s := k.streams[r]; s != nil && isClosed(s) == k.withdrawn.IsZero() && !k.exempt {
				return fmt.Errorf("%s: streams of %s ended: got %t, want %t", host, k.id, isClosed(s), !isClosed(s))
			}
			_, _, ok := r.Lookup(k.key)
			if want := k.withdrawn.IsZero(); ok != want && !k.exempt {
				return fmt.Errorf("%s: lookup of %s: got %t, want %t", host, k.id, ok, want)
			}
			time.Sleep(time.Second) // virtual; keeps below the rate limit of store reads
		}
	}
	for host, r := range f.hosts {
		if own := r.table.pending(func(ID) bool { return false }); len(own) > 0 {
			return fmt.Errorf("%s has %d own withdrawals that are not persisted", host, len(own))
		}
		f.stopHost(host)
	}
	if f.inv.Violations() > 0 {
		return fmt.Errorf("violations: %v", f.inv.Details())
	}
	return nil
}

// step is one step of a randomised test: the faults to set, the hosts that issue
// and withdraw a key, and a pause.
type step struct {
	Store    memory.Faults
	Drop     float64
	Cut      bool // separates hosts 0 and 1 from the others
	Restart  int  // host, -1 for none
	Issue    int  // host
	Withdraw int  // host
	Pause    time.Duration
}

func drawStep(t *rapid.T) step {
	s := step{
		Restart: -1, Issue: rapid.IntRange(0, 4).Draw(t, "issue"), Withdraw: rapid.IntRange(0, 4).Draw(t, "withdraw"),
		Pause: time.Duration(rapid.IntRange(0, 20_000).Draw(t, "pause")) * time.Millisecond,
	}
	for _, fault := range rapid.SliceOfN(rapid.IntRange(0, 7), 0, 3).Draw(t, "faults") {
		switch fault {
		case 0:
			s.Store.Outage = true
		case 1:
			s.Store.SilentWatches = true
		case 2:
			s.Store.StaleReads = true
		case 3:
			s.Store.LoseAnswers = rapid.IntRange(1, 4).Draw(t, "lost")
		case 4:
			s.Store.Delay = 300 * time.Millisecond
		case 5:
			s.Drop = 0.3
		case 6:
			s.Cut = true
		case 7:
			s.Restart = rapid.IntRange(0, 4).Draw(t, "host")
		}
	}
	return s
}

func (f *testFleet) applyFaults(s step) {
	if f.hasStaleReads {
		f.staleReadsEnd = time.Now()
	}
	// One of the cases that Current does not cover: a store that returns stale
	// data without an error looks up to date.
	f.hasStaleReads = s.Store.StaleReads && (s.Cut || s.Store.SilentWatches)
	f.store.SetFaults(s.Store)
	faults := peer.NetworkFaults{Drop: s.Drop, Delay: 12 * time.Millisecond}
	if s.Cut {
		faults.Cut = func(a, b quetzalhook.HostID) bool { return (a < "host-2") != (b < "host-2") }
	}
	f.network.SetFaults(faults)
	if s.Restart >= 0 {
		f.stopHost(hostName(s.Restart))
		f.startHost(hostName(s.Restart))
	}
}

// Guards against watches that fail for ever once the store has come back from an older copy.
func TestWatchAfterReturnOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0)
		f.store = memory.New(memory.WithEras())
		f.startHost("host-0")
		time.Sleep(time.Minute)
		f.store.Return(f.store.Copy())
		time.Sleep(time.Minute)
		before := f.store.Counts()
		time.Sleep(time.Minute)
		after := f.store.Counts()
		if reads, most := after.Reads-before.Reads, int64(time.Minute/watchDuration); reads > most || after.Open != 1 {
			t.Errorf("got %d reads in a minute and %d open watches, want at most %d and 1", reads, after.Open, most)
		}
		f.stopHost("host-0")
	})
}

// Guards against hosts that are current and accept withdrawn keys, against
// withdrawals that are lost or undone, and against issued keys that are refused,
// under up to three faults at once.
func TestWithdrawalRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 3, 10).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 5)
			for i := range 4 {
				f.issue(hostName(i))
			}
			var err error
			for i, s := range steps {
				f.applyFaults(s)
				f.issue(hostName(s.Issue))
				if k := f.keys[i%len(f.keys)]; k.withdrawn.IsZero() {
					f.withdraw(hostName(s.Withdraw), k)
				}
				time.Sleep(s.Pause) // virtual
				if err = f.checkWithdrawn(); err != nil {
					break
				}
			}
			if verifyErr := f.healAndVerify(); err == nil {
				err = verifyErr
			}
			if err != nil {
				t.Errorf("%v after %+v", err, steps)
			}
		})
		if t.Failed() {
			rt.FailNow()
		}
	})
}

// Guards against a withdrawal that reaches other hosts only after a store write
// or a comparison of digests, and against hosts that do not pass it on.
func TestWithdrawalSpreadsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 64)
		f.issue("host-0")
		f.store.SetFaults(memory.Faults{Outage: true})
		f.network.SetFaults(peer.NetworkFaults{Delay: 12 * time.Millisecond})
		f.withdraw("host-0", f.keys[0])
		time.Sleep(100 * time.Millisecond) // virtual; two more levels of the tree
		for host, r := range f.hosts {
			if !isClosed(f.keys[0].streams[r]) {
				t.Errorf("%s: streams of the withdrawn key not ended", host)
			}
		}
		if err := f.healAndVerify(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a host that is reported as missed because one call to it was lost.
func TestWithdrawalIsRepeatedAfterLostCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		f.issue("host-0")
		begin := time.Now()
		f.store.SetFaults(memory.Faults{Outage: true})
		f.network.SetFaults(peer.NetworkFaults{Cut: func(a, b quetzalhook.HostID) bool {
			return (a == "host-1" || b == "host-1") && time.Since(begin) < callTimeout/2
		}})
		result, err := f.hosts["host-0"].Withdraw(t.Context(), f.keys[0].id)
		if err != nil || result.Reached != 3 || len(result.Missed) > 0 {
			t.Errorf("withdrawal: got %+v, %v, want 3 hosts reached", result, err)
		}
		for _, r := range f.hosts {
			if err := r.Close(); err != nil {
				t.Error(err)
			}
		}
	})
}

// Guards against a flood of invented keys that uses up the request rate of the
// store, and against a host that refuses a key newly issued on another host.
func TestUnknownKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		r := f.hosts["host-1"]
		f.issue("host-0")
		if customer, _, ok := r.Lookup(f.keys[0].key); !ok || customer != "customer" {
			t.Errorf("key issued elsewhere: got %q, %t", customer, ok)
		}
		before := f.store.Counts().Reads
		for i := range 1000 {
			r.Lookup(fmt.Sprint("invented-", i%500))
		}
		if got, limit := f.store.Counts().Reads-before, int64(readBurst); got > limit {
			t.Errorf("reads: got %d, want at most %d", got, limit)
		}
		for host := range f.hosts {
			f.stopHost(host)
		}
	})
}
