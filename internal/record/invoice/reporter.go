// Package invoice reports to the platform, for each window of time, how many
// requests each customer made. A host does so while it holds the lease for this
// task, called the duty.
//
// Before the first report of a window, its counts are frozen: written to the store
// by a conditional write that succeeds for only one reporter. Every report of the
// window has these counts, whichever host sends it. Only a few objects are used,
// and later windows overwrite earlier ones, so that the store does not fill up.
//
// The store may come back from an older copy, which lacks frozen counts that were sent. A
// window that may have been frozen in an earlier era of the store is reported only with the
// counts that a host knows as sent, and otherwise not at all.
package invoice

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/record/tally"
	"quetzalhook/internal/state/invariant"
)

const (
	// collectDelay is how long after the end of a window its counts are collected.
	// It allows for clocks that differ by tens of ms, and for copies of the counts
	// of lost hosts, which arrive within a second.
	collectDelay = 1200 * time.Millisecond
	// maxCollectWait is how long after the end of a window a reporter waits for the
	// counts of hosts that are alive but do not answer. It then freezes the window
	// without them.
	maxCollectWait = 4 * time.Second
	// frozenObjects is the number of objects in the store that hold frozen windows.
	// Consecutive windows use them in turn.
	frozenObjects = 8
	// reportLookback is the number of windows before the current one that are
	// reported if their report is missing, for instance because the previous
	// holder was killed. Reports of older windows would be overdue.
	reportLookback = 3
	// reportTimeout limits the call that sends a report.
	reportTimeout = 700 * time.Millisecond
	// retryAfter is the pause before a failed report is repeated.
	retryAfter = 500 * time.Millisecond
	// maxClockError is how far the clocks of two reporters may differ.
	maxClockError = 500 * time.Millisecond
)

// Duty is the lease for reporting usage. Fencing returns its fencing token and
// whether this host holds it.
type Duty interface {
	Fencing() (uint64, bool)
}

// Sink sends the report of a window to the platform.
type Sink interface {
	ReportUsage(ctx context.Context, fencing uint64, window int64, counts map[quetzalhook.CustomerID]int64) error
}

// Counter collects from all hosts the counts of a window, and those that were sent.
type Counter interface {
	Collect(ctx context.Context, w tally.Window) (tally.Collected, error)
	// AddSent tells hosts the counts that are about to be sent. It returns false if one of
	// them knows other counts as sent.
	AddSent(ctx context.Context, w tally.Window, counts tally.Counts) bool
	// ObserveEra tells the present era of the store.
	ObserveEra(era int64)
	At(t time.Time) tally.Window
	End(w tally.Window) time.Time
}

// frozenCounts is the value of an object that holds the frozen counts of a window.
type frozenCounts struct {
	Window tally.Window `json:"window"`
	Counts tally.Counts `json:"counts"`
	// Era is the era of the store in which the counts were frozen. Hosts of earlier builds
	// omit it.
	Era int64 `json:"era,omitempty"`
}

// maxLead is the largest number of windows by which the clock of a reporter may be
// ahead: a sound window that is replaced could be reported twice.
const maxLead = 10_000

// isSound reports whether a reporter can have frozen f.
func (f frozenCounts) isSound(current tally.Window) bool {
	for _, n := range f.Counts {
		if n < 0 {
			return false
		}
	}
	return f.Window >= 0 && f.Window <= current+maxLead && f.Era >= 0
}

// Reporter freezes and reports windows while its host holds the duty. It is not
// safe for concurrent use.
type Reporter struct {
	duty     Duty
	store    quetzalhook.Store
	sink     Sink
	counter  Counter
	calendar quetzalhook.Clock
	inv      quetzalhook.Invariants
	log      logrus.FieldLogger

	era          int64                         // of the store as of this step
	fencing      uint64                        // fencing token under which reported and frozenCounts were filled
	reported     map[tally.Window]bool         // windows that need no further report
	failedAt     map[tally.Window]time.Time    // time of the last failed attempt
	frozenCounts map[tally.Window]tally.Counts // counts that were sent or about to be sent
}

// New returns a reporter. The time of calendar is the time of day, by which windows
// are determined.
func New(duty Duty, store quetzalhook.Store, sink Sink, counter Counter, calendar quetzalhook.Clock,
	inv quetzalhook.Invariants, log logrus.FieldLogger,
) *Reporter {
	return &Reporter{
		duty: duty, store: store, sink: sink, counter: counter, calendar: calendar, inv: inv, log: log,
		reported: make(map[tally.Window]bool), failedAt: make(map[tally.Window]time.Time),
		frozenCounts: make(map[tally.Window]tally.Counts),
	}
}

// Step reports the windows that are due and not yet reported. It does nothing
// unless this host holds the duty.
func (r *Reporter) Step(ctx context.Context) {
	r.era = r.store.Era()
	r.counter.ObserveEra(r.era)
	fencing, held := r.duty.Fencing()
	if !held {
		return
	}
	if fencing != r.fencing {
		// Another host may have held the duty meanwhile and frozen windows.
		r.fencing = fencing
		clear(r.reported)
		clear(r.frozenCounts)
	}
	now := r.calendar.Now()
	current := r.counter.At(now)
	for w := current - reportLookback; w < current; w++ {
		if r.reported[w] || now.Sub(r.counter.End(w)) < collectDelay || now.Sub(r.failedAt[w]) < retryAfter {
			continue
		}
		if err := r.report(ctx, now, w); err != nil {
			r.failedAt[w] = now
			r.log.WithError(err).WithField("window", w).WithField("age-ms", now.Sub(r.counter.End(w)).Milliseconds()).Warn("usage not reported")
			return
		}
	}
	for w := range r.reported {
		if w < current-frozenObjects {
			delete(r.reported, w)
			delete(r.failedAt, w)
			delete(r.frozenCounts, w)
		}
	}
}

// report freezes a window unless it is frozen already, and sends its counts to the
// platform.
func (r *Reporter) report(ctx context.Context, now time.Time, w tally.Window) error {
	counts, err := r.freeze(ctx, now, w)
	if err != nil || counts == nil {
		return err
	}
	if r.era > 0 && !r.counter.AddSent(ctx, w, counts) {
		r.skip(w, "counts differ")
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	fencing, held := r.duty.Fencing()
	if !held || fencing != r.fencing {
		return &Error{Op: "report", Kind: ErrorNotHolder, Err: errors.New("the duty has passed to another host")}
	}
	before, repeated := r.frozenCounts[w]
	r.inv.Check(invariant.SingleReport, !repeated || equalCounts(before, counts), "window", w, "fencing", fencing)
	r.frozenCounts[w] = counts
	if err := r.sink.ReportUsage(ctx, fencing, int64(w), counts); err != nil {
		return &Error{Op: "report", Kind: ErrorPlatform, Err: err}
	}
	r.reported[w] = true
	r.log.WithField("window", w).WithField("fencing", fencing).WithField("customers", len(counts)).Info("usage reported")
	return nil
}

// skip makes a window need no report: it may have been reported with other counts.
func (r *Reporter) skip(w tally.Window, reason string) {
	r.reported[w] = true
	r.log.WithField("window", w).WithField("era", quetzalhook.EraNumber(r.era)).WithField("reason", reason).Warn("usage skipped")
}

func equalCounts(a, b tally.Counts) bool {
	if len(a) != len(b) {
		return false
	}
	for id, n := range a {
		if b[id] != n {
			return false
		}
	}
	return true
}

// freeze returns the frozen counts of a window. If the window is not frozen, it
// collects the counts of all hosts and writes them to the store. It returns nil
// without an error if w needs no report any more: a later window has replaced it in the
// store, or it may have been sent with counts that no host knows.
func (r *Reporter) freeze(ctx context.Context, now time.Time, w tally.Window) (tally.Counts, error) {
	if counts := r.frozenCounts[w]; counts != nil {
		return counts, nil
	}
	key := fmt.Sprintf("usage/%d", w%frozenObjects)
	stored, version, err := r.readFrozen(ctx, key, r.counter.At(now))
	if err != nil {
		return nil, err
	}
	// A write that was sent in an earlier era may have taken effect in this one, after other
	// counts were frozen there and lost.
	isFrozen := stored.Window == w && version > 0
	if isFrozen && (r.era == 0 || stored.Era == r.era) {
		return stored.Counts, nil
	}
	if stored.Window > w {
		// The object holds a later window already: either this one was reported, or
		// no host held the duty for a long time.
		r.reported[w] = true
		return nil, nil
	}
	c, err := r.counter.Collect(ctx, w)
	if err != nil {
		return nil, &Error{Op: "collect", Kind: ErrorPeers, Err: err}
	}
	if len(c.Missing) > 0 && now.Sub(r.counter.End(w)) < maxCollectWait {
		return nil, &Error{Op: "collect", Kind: ErrorPeers, Err: fmt.Errorf("no counts from %v", c.Missing)}
	}
	counts := c.Counts
	switch {
	case len(c.Sent) > 1:
		r.skip(w, "counts differ")
		return nil, nil
	case len(c.Sent) == 1:
		counts = c.Sent[0]
	case r.mayBeLost(w, c.EraAge):
		r.skip(w, "counts unknown")
		return nil, nil
	case isFrozen && stored.Era == 0:
		return stored.Counts, nil // by a host of an earlier build
	}
	value, err := json.Marshal(frozenCounts{Window: w, Counts: counts, Era: r.era})
	if err != nil {
		return nil, &Error{Op: "freeze", Kind: ErrorStore, Err: err}
	}
	written, err := r.store.Put(ctx, key, value, version)
	if err == nil && written.Era() != r.era {
		err = fmt.Errorf("written in era %d of the store after %d", written.Era(), r.era)
	}
	if err != nil {
		// The write may have taken effect, or another reporter may have written
		// first. The next step reads what the store holds.
		return nil, &Error{Op: "freeze", Kind: ErrorStore, Err: err}
	}
	return counts, nil
}

// mayBeLost reports whether a window may have been frozen in an earlier era of the store,
// so that the store may lack its counts. The hosts have known the present era for age.
func (r *Reporter) mayBeLost(w tally.Window, age time.Duration) bool {
	began := r.calendar.Now().Add(-age)
	return r.era > 0 && r.counter.End(w).Add(collectDelay).Before(began.Add(maxClockError))
}

// readFrozen returns the frozen window that an object holds, and the store version
// of the object. The version is 0 if the object does not exist. An object that no
// reporter has written, which another program has overwritten, is logged; it counts
// as one of no window, so that it is replaced.
func (r *Reporter) readFrozen(ctx context.Context, key string, current tally.Window) (frozenCounts, quetzalhook.Version, error) {
	o, err := r.store.Get(ctx, key)
	var e *quetzalhook.StoreError
	if errors.As(err, &e) && e.Kind == quetzalhook.StoreNotFound {
		return frozenCounts{}, 0, nil
	}
	if err == nil && o.Version.Era() != r.era {
		err = fmt.Errorf("read in era %d of the store after %d", o.Version.Era(), r.era)
	}
	if err != nil {
		return frozenCounts{}, 0, &Error{Op: "read", Kind: ErrorStore, Err: err}
	}
	var f frozenCounts
	err = json.Unmarshal(o.Value, &f)
	if err == nil && !f.isSound(current) {
		err = fmt.Errorf("window %d with %d counts", f.Window, len(f.Counts))
	}
	if err != nil {
		r.log.WithError(err).WithField("key", key).WithField("revision", o.Version).Warn("frozen window cannot be decoded; freezing again")
		return frozenCounts{Window: -1}, o.Version, nil
	}
	if f.Counts == nil {
		f.Counts = make(tally.Counts)
	}
	return f, o.Version, nil
}

// ErrorKind classifies the failures of this package.
type ErrorKind string

const (
	// ErrorNotHolder reports that this host does not hold the duty any more.
	ErrorNotHolder ErrorKind = "not-holder"
	// ErrorStore reports a failure of the store.
	ErrorStore ErrorKind = "store"
	// ErrorPeers reports that the counts of other hosts could not be collected.
	ErrorPeers ErrorKind = "peers"
	// ErrorPlatform reports that sending a report to the platform failed.
	ErrorPlatform ErrorKind = "platform"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return "invoice: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
