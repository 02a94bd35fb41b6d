package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"quetzalhook"
	"quetzalhook/platform/standin"
)

// Check names a guarantee that is checked against what callers and upstreams
// observe.
type Check string

// The checks.
const (
	// CheckRunOnce fails if a request that must run at most once runs twice, or an
	// engine still works on a stream later than overlapBound after it goes on at
	// another one.
	CheckRunOnce Check = "run-once"
	// CheckTrueRefusal fails if a request runs although its response says that it
	// was not executed.
	CheckTrueRefusal Check = "true-refusal"
	// CheckWholeAnswer fails if a successful response differs from what the
	// request's upstream sent, in content, order or length, or a stream contains
	// bytes that are not part of an event, even if it is cut off.
	CheckWholeAnswer Check = "whole-answer"
	// CheckUnchanged fails if an upstream receives a request that no caller sent,
	// that differs from what was sent, that is attributed to another customer, or
	// that contains the caller's key.
	CheckUnchanged Check = "unchanged-request"
	// CheckNoDenial fails if a request that every configuration allows gets a 4xx
	// status for which standin.Result.IsNotRun returns false.
	CheckNoDenial Check = "no-false-denial"
	// CheckLeaving fails if an upstream receives a request later than leavingBound
	// after it has announced that it leaves.
	CheckLeaving Check = "leaving-upstream"
	// CheckWithdrawnKey fails if a key is accepted later than configBound after its
	// withdrawal.
	CheckWithdrawnKey Check = "withdrawn-key"
	// CheckConfiguration fails if a host serves an older configuration after a
	// newer one, or later than configBound after a newer one was confirmed.
	CheckConfiguration Check = "config-forward"
	// CheckGracefulStop fails if a planned stop or reload cuts off a request, or a
	// stop takes too long. A stop may cut off a request that was sent no later than
	// lateRequest after SIGTERM and still runs in the last sixth of stopLimit.
	CheckGracefulStop Check = "graceful-stop"
	// CheckKeptConn fails if hosts without a disturbance close more than maxKeptLost
	// kept connections without a response to a request that has reached an upstream
	// which is not at fault.
	CheckKeptConn Check = "kept-connection"
	// CheckOddEntry fails if a request reaches an upstream whose entry in the store
	// another program has written.
	CheckOddEntry Check = "odd-entry"
	// CheckReport fails if a window is reported with two different counts.
	CheckReport Check = "single-report"
	// CheckHolder fails if two hosts act on a duty with the same fencing token, or
	// a call with an older token follows one with a newer token.
	CheckHolder Check = "single-holder"
	// CheckProcess fails if a process exits unexpectedly, or a fault cannot be
	// injected.
	CheckProcess Check = "process-lives"
	// CheckMemory fails if a host takes more memory than its settings allow.
	CheckMemory Check = "memory"
	// CheckRecovery fails if less than minServedShare of the requests that end more
	// than recoverBound after the last fault are served.
	CheckRecovery Check = "recovery"
)

// Bounds from the user documentation, each with its name there.
const (
	stableWindow  = 4 * time.Second         // from the end of a disturbance until the bounds hold again
	leavingBound  = 2500 * time.Millisecond // drain_ms
	configBound   = 2500 * time.Millisecond // config_apply_ms
	lossSlack     = 200 * time.Millisecond  // loss_slack_ms
	resumeSlack   = 300 * time.Millisecond  // thaw_ms
	rollbackSlack = 250 * time.Millisecond  // rollback_slack_ms
	stopLimit     = 8 * time.Second         // grace_s
	recoverBound  = 12 * time.Second        // recover_s
	overlapBound  = 400 * time.Millisecond
	lateRequest   = 3 * time.Second
	restartBound  = time.Second // after stopLimit, from which on a stop excuses nothing
	maxKeptLost   = 3
	// minServedShare is the fraction of requests that must be served after
	// recoverBound.
	minServedShare = 0.25
)

// Violation is a failed check.
type Violation struct {
	Check Check
	Text  string
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Check, v.Text) }

// request holds what was recorded about a request.
type request struct {
	call       standin.Call
	customer   string
	repeatable bool
	host       quetzalhook.HostID
	sent       time.Time
	runs       []run
	refused    bool
}

// run is the work of an upstream on a request.
type run struct {
	standin.Arrival
	ended time.Time // zero if it has not ended
}

// version is the configuration that a host was last observed to serve.
type version struct {
	boot   int
	number int64
	at     time.Time // when its first response was received
}

// dutyHolder is the host that last acted on a duty.
type dutyHolder struct {
	holder  string
	fencing uint64
}

// Checker records what callers, upstreams and the platform observe, and checks it
// against the guarantees. It is safe for concurrent use.
type Checker struct {
	// isUndisturbed reports whether the last disturbance of a host ended more than
	// stableWindow before the given time.
	isUndisturbed func(quetzalhook.HostID, time.Time) bool
	// resumedAt returns when a host was last resumed after a pause.
	resumedAt func(quetzalhook.HostID) time.Time

	mu           sync.Mutex
	requests     map[quetzalhook.RequestID]*request
	leavingSince map[quetzalhook.UpstreamID]time.Time // when the store confirmed the announcement
	versions     map[quetzalhook.HostID]version
	confirmed    map[int64]time.Time // when the store confirmed a configuration, by its number
	latestSent   int64               // number of the newest configuration that was sent to the store
	services     map[quetzalhook.UpstreamID]string
	withdrawn    map[string]time.Time  // when the store confirmed the withdrawal of a key
	reports      map[int64]string      // counts last reported, by window
	holders      map[string]dutyHolder // by subject of the duty
	stopped      map[quetzalhook.UpstreamID]bool
	keptLost     int
	notices      noticeRecord
	builds       map[quetzalhook.RequestID]quetzalhook.Build // by the request that began the stream
	partitions   partitionRecord
	checked      map[Check]int
	failed       map[Check]int
	violations   []Violation
}

// maxViolations bounds the number of violations of each check that are kept.
const maxViolations = 20

// NewChecker returns a Checker without records.
func NewChecker(isUndisturbed func(quetzalhook.HostID, time.Time) bool, resumedAt func(quetzalhook.HostID) time.Time) *Checker {
	return &Checker{
		isUndisturbed: isUndisturbed, resumedAt: resumedAt, requests: make(map[quetzalhook.RequestID]*request), leavingSince: make(map[quetzalhook.UpstreamID]time.Time),
		versions: make(map[quetzalhook.HostID]version), services: make(map[quetzalhook.UpstreamID]string), confirmed: make(map[int64]time.Time), withdrawn: make(map[string]time.Time),
		reports: make(map[int64]string), holders: make(map[string]dutyHolder), stopped: make(map[quetzalhook.UpstreamID]bool), notices: newNoticeRecord(), builds: make(map[quetzalhook.RequestID]quetzalhook.Build), checked: make(map[Check]int), failed: make(map[Check]int),
	}
}

// check counts a check, and records a violation unless holds is true. The caller
// must hold c.mu.
func (c *Checker) check(name Check, holds bool, format string, args ...any) {
	c.checked[name]++
	if holds {
		return
	}
	c.failed[name]++
	if c.failed[name] <= maxViolations {
		c.violations = append(c.violations, Violation{Check: name, Text: fmt.Sprintf(format, args...)})
	}
}

// Fail records a violation that was detected outside the Checker.
func (c *Checker) Fail(name Check, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(name, false, format, args...)
}

// CheckMemory checks the resident memory of a host.
func (c *Checker) CheckMemory(host quetzalhook.HostID, mb int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(CheckMemory, mb <= hostMemoryMB, "%s has %d MB of memory, want at most %d MB", host, mb, hostMemoryMB)
}

// Results returns the number of times that each check was made, and the
// violations.
func (c *Checker) Results() (checked map[Check]int, violations []Violation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	checked = make(map[Check]int, len(c.checked))
	for name, n := range c.checked {
		checked[name] = n
	}
	return checked, append([]Violation(nil), c.violations...)
}

// RequestSent records a request. It must be called before the request is sent.
func (c *Checker) RequestSent(now time.Time, host quetzalhook.HostID, customer string, repeatable bool, req standin.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[req.ID] = &request{call: req, customer: customer, repeatable: repeatable, host: host, sent: now}
}

// RequestStarted records that an upstream has begun to process a request.
func (c *Checker) RequestStarted(a standin.Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.ID]
	if r == nil {
		c.check(CheckUnchanged, false, "%s runs request %s, which no caller sent", a.Upstream, a.ID)
		return
	}
	c.check(CheckUnchanged, a.Method == r.call.Method && a.Path == r.call.Path && a.Body == r.call.Body && a.Customer == r.customer && !a.HasKey,
		"request %s via %s runs as %s %s of %q (key forwarded: %v), sent as %s %s of %q", a.ID, r.host, a.Method, a.Path, a.Customer, a.HasKey,
		r.call.Method, r.call.Path, r.customer)
	r.runs = append(r.runs, run{Arrival: a})
	c.check(CheckRunOnce, r.repeatable || a.Moved || len(r.runs) == 1, "request %s via %s runs on %s and %s", a.ID, r.host, r.runs[0].Upstream, a.Upstream)
	c.check(CheckTrueRefusal, !r.refused, "request %s via %s runs on %s after it was refused", a.ID, r.host, a.Upstream)
	if leavingSince, ok := c.leavingSince[a.Upstream]; ok && c.isUndisturbed(r.host, leavingSince) {
		c.check(CheckLeaving, a.At.Sub(leavingSince) <= leavingBound, "request %s via %s reaches %s %v after its announcement to leave", a.ID, r.host, a.Upstream, a.At.Sub(leavingSince))
	}
}

// RequestEnded records that an upstream no longer works on a request.
func (c *Checker) RequestEnded(a standin.Arrival, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.ID]
	if r == nil {
		return
	}
	i := slices.IndexFunc(r.runs, func(b run) bool { return b.Upstream == a.Upstream && b.At.Equal(a.At) && b.ended.IsZero() })
	if i < 0 { // the ID was used again
		return
	}
	r.runs[i].ended = now
	for _, b := range r.runs[i+1:] {
		if (b.Moved || b.Resumed) && c.isUndisturbed(r.host, r.sent) && !c.partitions.overlaps(r.host, b.At, now) {
			c.check(CheckRunOnce, now.Sub(b.At) <= overlapBound, "request %s via %s goes on at %s (moved: %v) while %s works on it for %v more",
				a.ID, r.host, b.Upstream, b.Moved, a.Upstream, now.Sub(b.At))
		}
	}
}

// UpstreamStopped records that an upstream is about to end, which breaks off what
// it still serves.
func (c *Checker) UpstreamStopped(id quetzalhook.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped[id] = true
}

// PlannedWork describes planned work on the host that a request was sent to.
type PlannedWork struct {
	// Stop is when SIGTERM was last sent, and Reload when SIGHUP was last sent; zero
	// if never.
	Stop, Reload time.Time
	// Undisturbed reports that no unplanned fault was active from stableWindow
	// before the request to its end.
	Undisturbed bool
}

// ResponseReceived records the response that a caller received.
func (c *Checker) ResponseReceived(now time.Time, id quetzalhook.RequestID, res standin.Result, work PlannedWork) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	c.noticePassedOn(now, r, res)
	if res.IsNotRun() {
		r.refused = true
		c.check(CheckTrueRefusal, len(r.runs) == 0, "request %s via %s is refused with %d after it ran", id, r.host, res.Status)
	}
	if res.Status/100 == 2 && (res.Complete || res.Mismatch != "") {
		c.check(CheckWholeAnswer, res.Mismatch == "", "request %s via %s: %s", id, r.host, res.Mismatch)
	}
	if res.Status/100 == 4 && !res.IsNotRun() {
		c.check(CheckNoDenial, false, "request %s via %s is denied with status %d", id, r.host, res.Status)
	}
	if work.Undisturbed && now.Sub(r.sent) < r.call.Timeout {
		c.checkLoss(now, r, res, work)
	}
}

// checkLoss checks that a response is complete if its request was read. The caller
// must hold c.mu.
func (c *Checker) checkLoss(now time.Time, r *request, res standin.Result, work PlannedWork) {
	for _, a := range r.runs {
		if c.stopped[a.Upstream] {
			return
		}
	}
	passedOn := len(r.runs) > 0
	whole := res.Complete || !passedOn && now.Sub(r.sent) <= lossSlack
	text := fmt.Sprintf("request %s via %s, sent %v before (kept connection: %v, runs: %d), is cut off", r.call.ID, r.host, now.Sub(r.sent).Round(time.Millisecond), res.Kept, len(r.runs))
	isStopped := !work.Stop.IsZero() && now.Sub(work.Stop) <= stopLimit+restartBound
	if isStopped {
		lastSixth := work.Stop.Add(stopLimit * 5 / 6)
		atWork := passedOn && now.After(lastSixth)
		if passedOn {
			last := r.runs[len(r.runs)-1] // a moved request has ended at its first engine
			atWork = atWork && (last.ended.IsZero() || last.ended.After(lastSixth))
		}
		c.check(CheckGracefulStop, whole || atWork && r.sent.Sub(work.Stop) <= lateRequest, "%s %v after SIGTERM: %v", text, now.Sub(work.Stop).Round(time.Millisecond), res.Err)
		return
	}
	if !work.Reload.IsZero() && r.sent.Sub(work.Reload) <= configBound {
		c.check(CheckGracefulStop, whole, "%s %v after SIGHUP: %v", text, now.Sub(work.Reload).Round(time.Millisecond), res.Err)
	}
	if res.Kept && passedOn && c.isUndisturbed(r.host, r.sent) {
		if res.Status == 0 {
			c.keptLost++
		}
		c.check(CheckKeptConn, res.Status != 0 || c.keptLost <= maxKeptLost, "%s: %v (%d times)", text, res.Err, c.keptLost)
	}
}

// UpstreamLeaving records that the store has confirmed an upstream's announcement
// that it leaves.
func (c *Checker) UpstreamLeaving(now time.Time, id quetzalhook.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavingSince[id] = now
}

// ConfigurationConfirmed records that the store has confirmed a configuration, and
// the key that it withdraws, if any.
func (c *Checker) ConfigurationConfirmed(now time.Time, number int64, withdrawn string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed[number] = now
	if withdrawn != "" {
		c.withdrawn[withdrawn] = now
	}
}

// RouteProbed records whether a host served the route that only the configuration
// with the given number has. boot is the number of starts of the host's process.
func (c *Checker) RouteProbed(sent, now time.Time, host quetzalhook.HostID, boot int, number int64, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !served {
		at, ok := c.confirmed[number]
		_, replaced := c.confirmed[number+1]
		if ok && !replaced && sent.Sub(at) > configBound && c.isUndisturbed(host, sent) {
			c.check(CheckConfiguration, false, "%s lacks configuration %d %v after it was confirmed", host, number, sent.Sub(at))
		}
		return
	}
	seen := c.versions[host]
	isOlder := seen.boot == boot && number < seen.number
	c.check(CheckConfiguration, !isOlder || sent.Sub(seen.at) <= rollbackSlack, "%s serves configuration %d %v after configuration %d", host, number, sent.Sub(seen.at), seen.number)
	if isOlder {
		return
	}
	if at, replaced := c.confirmed[number+1]; replaced && c.isUndisturbed(host, sent) {
		c.check(CheckConfiguration, sent.Sub(at) <= configBound, "%s serves configuration %d %v after the next one was confirmed", host, number, sent.Sub(at))
	}
	if seen.boot != boot || number > seen.number {
		c.versions[host] = version{boot: boot, number: number, at: now}
	}
}

// KeyAccepted records that a host served a request with a key.
func (c *Checker) KeyAccepted(sent time.Time, host quetzalhook.HostID, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.withdrawn[key]
	if ok && c.isUndisturbed(host, sent) {
		c.check(CheckWithdrawnKey, sent.Sub(at) <= configBound, "%s accepts a key %v after it was withdrawn", host, sent.Sub(at))
	}
}

// DutyCalled records a duty call that the platform accepted. While the system is
// disturbed, a call with an older fencing token may arrive late.
func (c *Checker) DutyCalled(d standin.DutyCall, disturbed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.Window != 0 {
		before, ok := c.reports[d.Window]
		c.check(CheckReport, !ok || before == d.Counts, "window %d is reported as %s and as %s", d.Window, before, d.Counts)
		c.reports[d.Window] = d.Counts
	}
	last, ok := c.holders[d.Subject]
	c.check(CheckHolder, !ok || d.Fencing != last.fencing || d.Holder == last.holder, "%s: %s and %s both act with fencing token %d", d.Subject, last.holder, d.Holder, d.Fencing)
	allowed := disturbed || d.At.Sub(c.resumedAt(quetzalhook.HostID(d.Holder))) <= resumeSlack
	c.check(CheckHolder, !ok || d.Fencing >= last.fencing || allowed, "%s: %s acts with fencing token %d after %s acted with %d", d.Subject, d.Holder, d.Fencing, last.holder, last.fencing)
	if !ok || d.Fencing > last.fencing {
		c.holders[d.Subject] = dutyHolder{d.Holder, d.Fencing}
	}
}
