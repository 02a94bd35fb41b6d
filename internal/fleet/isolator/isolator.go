// Package isolator keeps requests away from engines that would crash them.
//
// An Isolator is a dispatcher before the one that selects engines. When attempts
// fail before or shortly after their first event, it checks whether their engine has
// crashed, and records the prompt parts of these requests in a quarantine.Table. It refuses
// requests that match a quarantine, also those that wait for an engine.
//
// Hosts exchange their tables: each change is sent to a few hosts, which pass on
// what is new to them, and every second each host compares its table with that of
// a few others. The leader keeps the quarantines in the store, so that they outlive
// the loss of all hosts. A host that reaches neither other hosts nor the store still
// applies the quarantines that it knows.
package isolator

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/state/timing"
	"quetzalhook/internal/traffic/quarantine"
)

const (
	// checkTimeout bounds one check of an engine, and checkPause is the time between
	// two checks. An engine counts as running after confirmChecks checks, since its
	// connections may break shortly before it stops listening. If no check succeeds
	// within checkPeriod, the failed attempts are forgotten; the period covers the
	// restart of an engine that does not answer.
	checkTimeout  = time.Second
	checkPause    = 100 * time.Millisecond
	confirmChecks = 2
	checkPeriod   = 6 * time.Second
	// maxFailed bounds the failed attempts that wait for the check of one engine.
	maxFailed = 64
)

// Settings configures an Isolator.
type Settings struct {
	Host quetzalhook.HostID
	// Next selects the engines.
	Next     quetzalhook.Dispatcher
	Detector quetzalhook.CrashDetector
	Store    quetzalhook.Store
	// Leader returns the host that writes the quarantines to the store, and allows probes
	// of suspected parts.
	Leader func() quetzalhook.HostID
	// Duration is how long a first quarantine lasts.
	Duration time.Duration
}

// check is a check of an engine in progress.
type check struct {
	at     time.Time           // first failed attempt
	failed [][]quarantine.Part // shared parts of the failed attempts
}

// Isolator implements quetzalhook.Dispatcher. It is safe for concurrent use.
type Isolator struct {
	settings Settings
	peers    quetzalhook.Peers
	clock    quetzalhook.Clock
	log      logrus.FieldLogger
	started  time.Time

	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	changed chan struct{} // buffered; the table has news for other hosts

	storedEra int64 // era of the store in which stored was listed; belongs to load and save

	mu      sync.Mutex
	closed  bool
	table   *quarantine.Table
	checks  map[quarantine.EngineRun]*check // engines that are being checked
	waiting map[*ticket]context.CancelCauseFunc
	stored  map[string]storedQuarantine // by key of the quarantine
	// sent holds the digests of the facts that were sent to each partner.
	sent    map[quetzalhook.HostID]quarantine.Digests
	refused int64
}

// New returns an isolator and registers its handler with peers.
func New(settings Settings, peers quetzalhook.Peers, clock quetzalhook.Clock, log logrus.FieldLogger) *Isolator {
	i := &Isolator{
		settings: settings, peers: peers, clock: clock, log: log, started: clock.Now(), changed: make(chan struct{}, 1),
		table: quarantine.New(quarantine.WithDuration(settings.Duration)), checks: make(map[quarantine.EngineRun]*check),
		waiting: make(map[*ticket]context.CancelCauseFunc), stored: make(map[string]storedQuarantine),
		sent: make(map[quetzalhook.HostID]quarantine.Digests),
	}
	i.ctx, i.cancel = context.WithCancel(context.Background())
	peers.Handle(exchangeKind, i.handleExchange)
	peers.Handle(probeKind, i.handleProbe)
	return i
}

// Start exchanges and stores quarantines in the background until Close.
func (i *Isolator) Start() {
	i.wg.Go(func() { i.exchange(i.ctx) })
	i.wg.Go(func() {
		if i.load(i.ctx) {
			timing.Every(i.ctx, storeInterval, func() { i.save(i.ctx) })
		}
	})
}

// Close ends the background work and waits for it.
func (i *Isolator) Close() error {
	i.mu.Lock()
	i.closed = true
	i.mu.Unlock()
	i.cancel()
	i.wg.Wait()
	return nil
}

// Quarantines describes the quarantines in force: the time until each ends, by its
// parts.
func (i *Isolator) Quarantines() map[string]string {
	now := i.clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	list := make(map[string]string)
	for _, q := range i.table.Active(now) {
		list[describe(q.Parts())] = q.Until().Sub(now).Round(time.Second).String()
	}
	return list
}

// Refused returns the number of refused requests.
func (i *Isolator) Refused() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.refused
}

// Crashes returns the number of engine crashes that are kept.
func (i *Isolator) Crashes() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.table.Crashes()
}

func describe(parts []quarantine.Part) string {
	text := make([]string, len(parts))
	for i, p := range parts {
		text[i] = p.String()
	}
	return strings.Join(text, ",")
}

// maxLoggedParts bounds the parts in a line of the log.
const maxLoggedParts = 64

// logged returns the last maxLoggedParts parts for the log, and how many are left out.
func logged(parts []quarantine.Part) string {
	left := max(len(parts)-maxLoggedParts, 0)
	if left == 0 {
		return describe(parts)
	}
	return "(" + strconv.Itoa(left) + " more)," + describe(parts[left:])
}

// match returns the refusal of a request with the parts, or nil. The caller holds
// i.mu.
func (i *Isolator) match(now time.Time, parts []quarantine.Part) *quetzalhook.Refusal {
	q, ok := i.table.Match(now, parts)
	if !ok {
		return nil
	}
	return &quetzalhook.Refusal{Kind: quetzalhook.RefuseQuarantine, RetryAfter: q.Until().Sub(now)}
}

// addAnswer records that an engine has answered a request.
func (i *Isolator) addAnswer(parts []quarantine.Part) {
	now := i.clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.table.AddAnswer(now, parts) {
		i.announce()
	}
}

// announce wakes the exchange with other hosts.
func (i *Isolator) announce() {
	select {
	case i.changed <- struct{}{}:
	default:
	}
}

// addFailure records that an attempt failed as its answer began. Unless the
// engine is known to have crashed, it starts a check of the engine.
func (i *Isolator) addFailure(u quetzalhook.Upstream, parts []quarantine.Part) {
	run := quarantine.EngineRun{Upstream: u.ID, Started: u.Started}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.table.HasCrashed(run) {
		i.addCrash(run, i.clock.Now(), parts)
		return
	}
	c := i.checks[run]
	if c == nil && !i.closed {
		c = &check{at: i.clock.Now()}
		i.checks[run] = c
		i.wg.Go(func() { i.check(u, run) })
	}
	if c != nil && len(c.failed) < maxFailed {
		c.failed = append(c.failed, parts)
	}
}

// addCrash records the crash of an engine. The caller holds i.mu.
func (i *Isolator) addCrash(run quarantine.EngineRun, at time.Time, failed ...[]quarantine.Part) {
	now := i.clock.Now()
	i.table.AddCrash(now, run, at, failed...)
	for _, parts := range failed {
		i.log.WithFields(logrus.Fields{"upstream": run.Upstream, "shared-parts": logged(parts), "ms": now.Sub(at).Milliseconds()}).
			Info("engine crashed as its answer began")
	}
	i.applyImposed()
	i.announce()
}

// check finds out whether an engine has crashed, and records the failed attempts if
// it has.
func (i *Isolator) check(u quetzalhook.Upstream, run quarantine.EngineRun) {
	crashed := i.hasCrashed(u)
	i.mu.Lock()
	defer i.mu.Unlock()
	c := i.checks[run]
	delete(i.checks, run)
	if crashed {
		i.addCrash(run, c.at, c.failed...)
	}
}

// hasCrashed checks an engine until the result is certain, for at most checkPeriod.
func (i *Isolator) hasCrashed(u quetzalhook.Upstream) bool {
	running := 0
	for end := i.clock.Now().Add(checkPeriod); i.clock.Now().Before(end); {
		ctx, cancel := context.WithTimeout(i.ctx, checkTimeout)
		crashed, err := i.settings.Detector.HasCrashed(ctx, u)
		cancel()
		switch {
		case err != nil:
			i.log.WithField("upstream", u.ID).WithError(err).Debug("engine not checked")
		case crashed:
			return true
		default:
			if running++; running >= confirmChecks {
				return false
			}
		}
		if !timing.Sleep(i.ctx, checkPause) {
			return false
		}
	}
	return false
}

// applyImposed logs new quarantines and refuses the waiting requests that match
// them. The caller holds i.mu.
func (i *Isolator) applyImposed() {
	now := i.clock.Now()
	imposed := i.table.TakeImposed()
	for _, q := range imposed {
		i.log.WithFields(logrus.Fields{"shared-parts": logged(q.Parts()), "count": q.Count(), "s": q.Until().Sub(now).Seconds()}).
			Warn("prompt parts crash engines; requests with them are refused")
	}
	if len(imposed) == 0 {
		return
	}
	for t, cancel := range i.waiting {
		if refusal := i.match(now, t.parts); refusal != nil {
			cancel(refusal)
		}
	}
}
