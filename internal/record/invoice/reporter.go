// Package invoice reports the counted requests of each window to the platform
// while its host holds the duty.
//
// The figures of a window are frozen in the store before the first report, by
// a write that only one reporter can make. Every report of a window, by
// whatever holder, has these figures. Frozen windows share a few objects in
// turn, so that the store does not fill up.
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
	// settle is how long after the end of a window its counts are collected:
	// clocks differ by tens of ms, copies of lost hosts arrive within a second.
	settle = 1200 * time.Millisecond
	// patience is how long a reporter waits for hosts that are heard but do not
	// answer.
	patience = 4 * time.Second
	// objects is the number of objects that frozen windows take in turn.
	objects = 8
	// resent is the number of windows before the current one that a new holder
	// looks at: those whose report may be missing and is not overdue.
	resent = 3
	// callLimit bounds one report.
	callLimit = 700 * time.Millisecond
	// retryAfter is the pause before a failed report is repeated.
	retryAfter = 500 * time.Millisecond
)

// Duty tells whether this host holds the duty, with its epoch number.
type Duty interface {
	Fencing() (uint64, bool)
}

// Sink takes the report of a window.
type Sink interface {
	ReportUsage(ctx context.Context, fencing uint64, window int64, counts map[quetzalhook.CustomerID]int64) error
}

// Counter collects the counts of all hosts.
type Counter interface {
	Collect(ctx context.Context, w tally.Window) (tally.Counts, []quetzalhook.HostID, error)
	At(t time.Time) tally.Window
	End(w tally.Window) time.Time
}

// frozen is the value of an object with the figures of a window.
type frozen struct {
	Window tally.Window `json:"window"`
	Counts tally.Counts `json:"counts"`
}

// Reporter reports windows. Its methods are called by one goroutine.
type Reporter struct {
	duty     Duty
	store    quetzalhook.Store
	sink     Sink
	counter  Counter
	calendar quetzalhook.Clock
	inv      quetzalhook.Invariants
	log      logrus.FieldLogger

	fencing  uint64 // of the holding that reported is about
	reported map[tally.Window]bool
	failedAt map[tally.Window]time.Time
	frozen   map[tally.Window]tally.Counts
}

// New returns a reporter. Calendar tells the time of day.
func New(duty Duty, store quetzalhook.Store, sink Sink, counter Counter, calendar quetzalhook.Clock,
	inv quetzalhook.Invariants, log logrus.FieldLogger,
) *Reporter {
	return &Reporter{
		duty: duty, store: store, sink: sink, counter: counter, calendar: calendar, inv: inv, log: log,
		reported: make(map[tally.Window]bool), failedAt: make(map[tally.Window]time.Time),
		frozen: make(map[tally.Window]tally.Counts),
	}
}

// Step reports the windows that are due. It does nothing unless the duty is
// held.
func (r *Reporter) Step(ctx context.Context) {
	fencing, held := r.duty.Fencing()
	if !held {
		return
	}
	if fencing != r.fencing {
		// Another holder may have frozen windows that this one has not seen.
		r.fencing = fencing
		clear(r.reported)
		clear(r.frozen)
	}
	now := r.calendar.Now()
	current := r.counter.At(now)
	for w := current - resent; w < current; w++ {
		if r.reported[w] || now.Sub(r.counter.End(w)) < settle || now.Sub(r.failedAt[w]) < retryAfter {
			continue
		}
		if err := r.report(ctx, now, w); err != nil {
			r.failedAt[w] = now
			r.log.WithError(err).WithField("window", w).WithField("age-ms", now.Sub(r.counter.End(w)).Milliseconds()).Warn("usage not reported")
			return
		}
	}
	for w := range r.reported {
		if w < current-objects {
			delete(r.reported, w)
			delete(r.failedAt, w)
			delete(r.frozen, w)
		}
	}
}

// report freezes a window unless it is frozen, and sends its figures.
func (r *Reporter) report(ctx context.Context, now time.Time, w tally.Window) error {
	counts, err := r.freeze(ctx, now, w)
	if err != nil || counts == nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	fencing, held := r.duty.Fencing()
	if !held || fencing != r.fencing {
		return &Error{Op: "report", Kind: ErrorNotHolder, Err: errors.New("the duty has passed to another host")}
	}
	before, repeated := r.frozen[w]
	r.inv.Check(invariant.SingleReport, !repeated || same(before, counts), "window", w, "fencing", fencing)
	r.frozen[w] = counts
	if err := r.sink.ReportUsage(ctx, fencing, int64(w), counts); err != nil {
		return &Error{Op: "report", Kind: ErrorPlatform, Err: err}
	}
	r.reported[w] = true
	r.log.WithField("window", w).WithField("fencing", fencing).WithField("customers", len(counts)).Info("usage reported")
	return nil
}

func same(a, b tally.Counts) bool {
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

// freeze returns the figures of a window, which it writes to the store unless
// they are there. It returns nil if the window has to wait.
func (r *Reporter) freeze(ctx context.Context, now time.Time, w tally.Window) (tally.Counts, error) {
	if counts := r.frozen[w]; counts != nil {
		return counts, nil
	}
	key := fmt.Sprintf("usage/%d", w%objects)
	have, version, err := r.read(ctx, key)
	if err != nil {
		return nil, err
	}
	if have.Window == w && version > 0 {
		return have.Counts, nil
	}
	if have.Window > w {
		// The object holds a later window already: this one was reported, or
		// nobody held the duty for long.
		r.reported[w] = true
		return nil, nil
	}
	counts, missing, err := r.counter.Collect(ctx, w)
	if err != nil {
		return nil, &Error{Op: "collect", Kind: ErrorPeers, Err: err}
	}
	if len(missing) > 0 && now.Sub(r.counter.End(w)) < patience {
		return nil, &Error{Op: "collect", Kind: ErrorPeers, Err: fmt.Errorf("no counts from %v", missing)}
	}
	value, err := json.Marshal(frozen{Window: w, Counts: counts})
	if err != nil {
		return nil, &Error{Op: "freeze", Kind: ErrorStore, Err: err}
	}
	if _, err := r.store.Put(ctx, key, value, version); err != nil {
		// The write may have taken effect, or another reporter was faster; the
		// next step reads what the store holds.
		return nil, &Error{Op: "freeze", Kind: ErrorStore, Err: err}
	}
	return counts, nil
}

// read returns the window that an object holds; version 0 stands for none.
func (r *Reporter) read(ctx context.Context, key string) (frozen, quetzalhook.Version, error) {
	o, err := r.store.Get(ctx, key)
	var e *quetzalhook.StoreError
	if errors.As(err, &e) && e.Kind == quetzalhook.StoreNotFound {
		return frozen{}, 0, nil
	}
	if err != nil {
		return frozen{}, 0, &Error{Op: "read", Kind: ErrorStore, Err: err}
	}
	var f frozen
	if err := json.Unmarshal(o.Value, &f); err != nil {
		return frozen{}, 0, &Error{Op: "read", Kind: ErrorStore, Err: err}
	}
	if f.Counts == nil {
		f.Counts = make(tally.Counts)
	}
	return f, o.Version, nil
}

// ErrorKind classifies the failures of this package.
type ErrorKind string

const (
	// ErrorNotHolder reports that the duty is not held any more.
	ErrorNotHolder ErrorKind = "not-holder"
	// ErrorStore reports a failure of the store.
	ErrorStore ErrorKind = "store"
	// ErrorPeers reports that other hosts did not answer.
	ErrorPeers ErrorKind = "peers"
	// ErrorPlatform reports that the platform did not take a report.
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
