package soak

import (
	"fmt"
	"sync"
	"time"

	"quetzalhook"
	"quetzalhook/platform/standin"
)

// Check names a promise that a run checks from what callers and upstreams see.
type Check string

// The checks.
const (
	// CheckRunOnce fails if a request that may run once runs twice.
	CheckRunOnce Check = "run-once"
	// CheckTrueRefusal fails if a request runs although it was refused as not
	// run.
	CheckTrueRefusal Check = "true-refusal"
	// CheckWholeAnswer fails if a successful answer is not the one of the
	// request's upstream, in order and whole.
	CheckWholeAnswer Check = "whole-answer"
	// CheckUnchanged fails if an upstream gets a request that no caller sent, or
	// another customer's, or sees a key.
	CheckUnchanged Check = "unchanged-request"
	// CheckNoDenial fails if a request that every configuration allows is denied.
	CheckNoDenial Check = "no-false-denial"
	// CheckLeaving fails if an upstream gets a request too long after it has
	// announced that it leaves.
	CheckLeaving Check = "leaving-upstream"
	// CheckWithdrawnKey fails if a key works too long after its withdrawal.
	CheckWithdrawnKey Check = "withdrawn-key"
	// CheckConfiguration fails if a host serves an older configuration after a
	// newer one, or too long after a newer one was confirmed.
	CheckConfiguration Check = "config-forward"
	// CheckGracefulStop fails if a planned stop breaks a request off.
	CheckGracefulStop Check = "graceful-stop"
	// CheckReport fails if a window is reported with two different figures.
	CheckReport Check = "single-report"
	// CheckHolder fails if two hosts hold a duty with one epoch number, or an
	// older number follows a newer one.
	CheckHolder Check = "single-holder"
	// CheckProcess fails if a process ends by itself.
	CheckProcess Check = "process-lives"
	// CheckRecovery fails if requests are not served after the last fault.
	CheckRecovery Check = "recovery"
)

// Bounds of the users' pages.
const (
	stableWindow  = 4 * time.Second         // after a disturbance until bounds hold again
	leavingBound  = 2500 * time.Millisecond // drain_ms
	configBound   = 2500 * time.Millisecond // config_apply_ms
	lossSlack     = 200 * time.Millisecond  // loss_slack_ms
	thawSlack     = 300 * time.Millisecond  // thaw_ms
	rollbackSlack = 250 * time.Millisecond  // rollback_slack_ms
	stopLimit     = 8 * time.Second         // grace_s
	recoverBound  = 12 * time.Second        // recover_s
	// recoverShare is the part of the requests that must be served after it.
	recoverShare = 0.25
)

// Violation is a broken promise.
type Violation struct {
	Check Check
	Text  string
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Check, v.Text) }

// request is what the ledger knows of a request.
type request struct {
	call       standin.Call
	customer   string
	repeatable bool
	host       quetzalhook.HostID
	sent       time.Time
	runs       []standin.Arrival
	refused    bool
}

// version is the configuration that a host was seen to have in force.
type version struct {
	boot   int
	number int64
	at     time.Time // of the answer that showed it
}

// holding is the last holder of a duty.
type holding struct {
	holder  string
	fencing uint64
}

// Ledger collects what callers, upstreams and the platform see, and checks it.
// It is safe for concurrent use.
type Ledger struct {
	// calm reports whether a host was undisturbed since stableWindow before a
	// time.
	calm func(quetzalhook.HostID, time.Time) bool
	// thawed returns when a host last went on after a pause.
	thawed func(quetzalhook.HostID) time.Time

	mu         sync.Mutex
	requests   map[quetzalhook.RequestID]*request
	left       map[quetzalhook.UpstreamID]time.Time // when the leaving was confirmed
	versions   map[quetzalhook.HostID]version
	confirmed  map[int64]time.Time // of configurations
	withdrawn  map[string]time.Time
	reports    map[int64]string
	holders    map[string]holding
	checked    map[Check]int
	violations []Violation
}

// maxViolations bounds the violations that are kept.
const maxViolations = 50

// NewLedger returns an empty ledger.
func NewLedger(calm func(quetzalhook.HostID, time.Time) bool, thawed func(quetzalhook.HostID) time.Time) *Ledger {
	return &Ledger{
		calm: calm, thawed: thawed, requests: make(map[quetzalhook.RequestID]*request), left: make(map[quetzalhook.UpstreamID]time.Time),
		versions: make(map[quetzalhook.HostID]version), confirmed: make(map[int64]time.Time), withdrawn: make(map[string]time.Time),
		reports: make(map[int64]string), holders: make(map[string]holding), checked: make(map[Check]int),
	}
}

// check counts a check and notes a violation unless it holds. The caller holds
// l.mu.
func (l *Ledger) check(name Check, holds bool, format string, args ...any) {
	l.checked[name]++
	if !holds && len(l.violations) < maxViolations {
		l.violations = append(l.violations, Violation{Check: name, Text: fmt.Sprintf(format, args...)})
	}
}

// Fail notes a violation that was found elsewhere.
func (l *Ledger) Fail(name Check, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check(name, false, format, args...)
}

// Results returns how often each check was made, and the violations.
func (l *Ledger) Results() (checked map[Check]int, violations []Violation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	checked = make(map[Check]int, len(l.checked))
	for name, n := range l.checked {
		checked[name] = n
	}
	return checked, append([]Violation(nil), l.violations...)
}

// Sent notes a request before it leaves its caller.
func (l *Ledger) Sent(now time.Time, host quetzalhook.HostID, customer string, repeatable bool, c standin.Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[c.ID] = &request{call: c, customer: customer, repeatable: repeatable, host: host, sent: now}
}

// Ran notes that an upstream begins to work on a request.
func (l *Ledger) Ran(a standin.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[a.ID]
	if r == nil {
		l.check(CheckUnchanged, false, "%s runs %s, which no caller sent", a.Upstream, a.ID)
		return
	}
	l.check(CheckUnchanged, a.Method == r.call.Method && a.Path == r.call.Path && a.Body == r.call.Body && a.Customer == r.customer && !a.HasKey,
		"%s of %s runs as %s %s of %q (key passed on: %v), sent as %s %s of %q", a.ID, r.host, a.Method, a.Path, a.Customer, a.HasKey,
		r.call.Method, r.call.Path, r.customer)
	r.runs = append(r.runs, a)
	l.check(CheckRunOnce, r.repeatable || a.Moved || len(r.runs) == 1, "%s of %s runs on %s and %s", a.ID, r.host, r.runs[0].Upstream, a.Upstream)
	l.check(CheckTrueRefusal, !r.refused, "%s of %s runs on %s after it was refused", a.ID, r.host, a.Upstream)
	if left, ok := l.left[a.Upstream]; ok && l.calm(r.host, left) {
		l.check(CheckLeaving, a.At.Sub(left) <= leavingBound, "%s of %s reaches %s %v after it announced to leave", a.ID, r.host, a.Upstream, a.At.Sub(left))
	}
}

// Stop describes the planned stop of a request's host, for Answered.
type Stop struct {
	// At is when SIGTERM was sent, zero if it was not.
	At time.Time
	// Alone reports that nothing else was disturbed, from stableWindow before the
	// request to its end.
	Alone bool
}

// Answered notes what a caller got.
func (l *Ledger) Answered(now time.Time, id quetzalhook.RequestID, a standin.Result, stop Stop) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if a.IsNotRun() {
		r.refused = true
		l.check(CheckTrueRefusal, len(r.runs) == 0, "%s of %s is refused with %d after it ran", id, r.host, a.Status)
	}
	if a.Status/100 == 2 && (a.Complete || a.Mismatch != "") {
		l.check(CheckWholeAnswer, a.Mismatch == "", "%s of %s: %s", id, r.host, a.Mismatch)
	}
	if a.Status/100 == 4 && !a.IsNotRun() {
		l.check(CheckNoDenial, false, "%s of %s is answered %d", id, r.host, a.Status)
	}
	if !stop.At.IsZero() && stop.Alone && now.Sub(r.sent) < r.call.Timeout {
		passedOn := len(r.runs) > 0 || now.Sub(r.sent) > lossSlack
		l.check(CheckGracefulStop, a.Complete || !passedOn, "%s of %s breaks off %v after the stop began: %v", id, r.host, now.Sub(stop.At), a.Err)
	}
}

// Left notes that the store has confirmed that an upstream leaves.
func (l *Ledger) Left(now time.Time, id quetzalhook.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left[id] = now
}

// Confirmed notes that the store has confirmed a configuration, with the key
// that it withdraws, if any.
func (l *Ledger) Confirmed(now time.Time, number int64, withdrawn string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmed[number] = now
	if withdrawn != "" {
		l.withdrawn[withdrawn] = now
	}
}

// Served notes whether a host in one boot served a route that only one
// configuration has.
func (l *Ledger) Served(sent, now time.Time, host quetzalhook.HostID, boot int, number int64, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !served {
		at, ok := l.confirmed[number]
		_, replaced := l.confirmed[number+1]
		if ok && !replaced && sent.Sub(at) > configBound && l.calm(host, at) {
			l.check(CheckConfiguration, false, "%s lacks configuration %d %v after it was confirmed", host, number, sent.Sub(at))
		}
		return
	}
	seen := l.versions[host]
	isOlder := seen.boot == boot && number < seen.number
	l.check(CheckConfiguration, !isOlder || sent.Sub(seen.at) <= rollbackSlack, "%s serves configuration %d %v after %d", host, number, sent.Sub(seen.at), seen.number)
	if isOlder {
		return
	}
	if at, replaced := l.confirmed[number+1]; replaced && l.calm(host, at) {
		l.check(CheckConfiguration, sent.Sub(at) <= configBound, "%s serves configuration %d %v after the next one was confirmed", host, number, sent.Sub(at))
	}
	l.versions[host] = version{boot: boot, number: number, at: now}
}

// KeyWorked notes that a host served a request with a key.
func (l *Ledger) KeyWorked(sent time.Time, host quetzalhook.HostID, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.withdrawn[key]
	if ok && l.calm(host, at) {
		l.check(CheckWithdrawnKey, sent.Sub(at) <= configBound, "%s serves a key %v after it was withdrawn", host, sent.Sub(at))
	}
}

// Duty notes a call that the platform accepted. During a disturbance of the
// platform itself, an older epoch number may arrive late.
func (l *Ledger) Duty(d standin.Duty, disturbed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.Window != 0 {
		before, ok := l.reports[d.Window]
		l.check(CheckReport, !ok || before == d.Counts, "window %d is reported as %s and as %s", d.Window, before, d.Counts)
		l.reports[d.Window] = d.Counts
	}
	last, ok := l.holders[d.Subject]
	l.check(CheckHolder, !ok || d.Fencing != last.fencing || d.Holder == last.holder, "%s: %s and %s both act with %d", d.Subject, last.holder, d.Holder, d.Fencing)
	excused := disturbed || d.At.Sub(l.thawed(quetzalhook.HostID(d.Holder))) <= thawSlack
	l.check(CheckHolder, !ok || d.Fencing >= last.fencing || excused, "%s: %s acts with %d after %s with %d", d.Subject, d.Holder, d.Fencing, last.holder, last.fencing)
	if !ok || d.Fencing > last.fencing {
		l.holders[d.Subject] = holding{d.Holder, d.Fencing}
	}
}
