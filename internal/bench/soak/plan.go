package soak

import (
	"fmt"
	"time"

	"quetzalhook/platform/standin"
)

// customers are those of a soak; the key of each never changes.
var customers = []string{"anna", "bogdan", "cilka"}

func stableKey(customer string) string { return "key-of-" + customer }

// markerPath returns a path that only one configuration has a route for.
func markerPath(number int64) string { return fmt.Sprintf("/marker-%d/", number) }

// configuration returns a version of the operator's configuration.
func configuration(number int64, rotating string) standin.Configuration {
	keys := make(map[string][]string)
	for _, c := range customers {
		keys[c] = []string{stableKey(c)}
	}
	keys[customers[0]] = append(keys[customers[0]], rotating)
	long, short := 6*time.Second, 2500*time.Millisecond
	return standin.Configuration{
		Version: number, Host: hostName, EngineService: engineGroup, PlainService: serviceGroup, Zones: []string{"z-a", "z-b", "z-c"}, Keys: keys,
		Routes: []standin.Route{
			{Name: "chat", Prefix: "/chat/", Service: engineGroup, Kind: "streaming", Timeout: long, LatencyTarget: 500 * time.Millisecond, Attempts: 1},
			{Name: "draft", Prefix: "/draft/", Service: engineGroup, Kind: "streaming", Timeout: long, LatencyTarget: time.Second, Attempts: 2, Priority: 1, Resumable: true},
			{Name: "order", Prefix: "/order/", Service: serviceGroup, Kind: "unsafe", Timeout: short, LatencyTarget: 300 * time.Millisecond, Attempts: 1, Priority: 2},
			{Name: "lookup", Prefix: "/lookup/", Service: serviceGroup, Kind: "safe", Timeout: short, LatencyTarget: 300 * time.Millisecond, Attempts: 2, Priority: 2},
			{Name: "marker", Prefix: markerPath(number), Service: serviceGroup, Kind: "safe", Timeout: short, LatencyTarget: 300 * time.Millisecond, Attempts: 2, Priority: 2, Public: true},
		},
	}
}

// configure puts the next configuration in force. It withdraws the key that
// the last one issued.
func (w *World) configure() error {
	w.mu.Lock()
	withdrawn, number := w.rotating, w.config.Version+1
	w.rotating = fmt.Sprintf("rotating-%d", number)
	w.config = configuration(number, w.rotating)
	c := w.config
	w.mu.Unlock()
	if err := c.Put(w.memory); err != nil {
		return &Error{Op: "configure", Kind: ErrorSetup, Err: err}
	}
	w.ledger.Confirmed(time.Now(), number, withdrawn)
	return nil
}

// configureOnce is the fault that changes the configuration. Changes follow
// each other one by one, so that the numbers are confirmed in order.
func (w *World) configureOnce(fault) {
	w.configuring.Lock()
	defer w.configuring.Unlock()
	if err := w.configure(); err != nil {
		w.ledger.Fail(CheckProcess, "%v", err)
	}
}

const (
	// leavingServes is how long an upstream serves after it announced to leave.
	leavingServes = 4 * time.Second
	// crashSilence is how long the entry of a crashed upstream stays.
	crashSilence = 3600 * time.Millisecond
)

// leave lets an upstream announce that it leaves, and replaces it.
func (w *World) leave(f fault) {
	u := w.replace(f.target)
	u.entry.Leaving = true
	if err := u.entry.Put(w.memory); err != nil {
		w.ledger.Fail(CheckProcess, "%v", err)
		return
	}
	w.ledger.Left(time.Now(), u.entry.ID)
	time.Sleep(leavingServes)
	w.remove(u)
}

// crash takes an upstream away without a word, and replaces it.
func (w *World) crash(f fault) {
	u := w.replace(f.target)
	_ = u.server.Close()
	u.proxy.Set(ModeReset)
	time.Sleep(crashSilence)
	w.remove(u)
}

// replace starts another upstream of the same kind and takes the old one off
// the list.
func (w *World) replace(i int) *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	i %= len(w.upstreams)
	u := w.upstreams[i]
	w.upstreams = append(w.upstreams[:i:i], w.upstreams[i+1:]...)
	if err := w.addUpstream(i, u.entry.Service == engineGroup); err != nil {
		w.ledger.Fail(CheckProcess, "%v", err)
	}
	return u
}

// remove ends an upstream that is off the list.
func (w *World) remove(u *upstream) {
	if err := u.entry.Remove(w.memory); err != nil {
		w.ledger.Fail(CheckProcess, "%v", err)
	}
	_ = u.server.Close()
	_ = u.proxy.Close()
}
