// Package invariant counts, for one host, how often each named invariant was
// checked and how often it was violated.
//
// The checks run in production as well as in tests. A violation is logged with
// its details and reported in the metrics, and it makes the demo and the tests
// fail.
package invariant

import (
	"fmt"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Names of the invariants, each with the rule that it checks.
const (
	UrgentNotShed    = "urgent-not-shed"   // no urgent request is preempted, or refused while a lower tier could be preempted
	NoStarvation     = "no-starvation"     // each class gets its floor; a must-finish request ends only served or out of retries
	KeyOwner         = "key-owner"         // a request runs for the customer that owns its key
	KeyNotForwarded  = "key-not-forwarded" // a caller's key is not sent to an upstream
	WithdrawnKey     = "withdrawn-key"     // a withdrawn key is not accepted
	SingleCommander  = "single-commander"  // only the current holder of a role sends its orders
	SingleReport     = "single-report"     // repeated usage reports of a window are identical
	WholeAnswer      = "whole-answer"      // a response is passed on completely
	TrueRefusal      = "true-refusal"      // a request refused as not run did not run
	AtMostOnce       = "at-most-once"      // a request that must not be repeated runs at most once
	LeavingUpstream  = "leaving-upstream"  // no request starts at an upstream that is leaving
	GracefulStop     = "graceful-stop"     // a planned stop interrupts no open request
	ConfigForward    = "config-forward"    // a configuration is only replaced by a newer one
	LegalTransition  = "legal-transition"  // states change only along allowed transitions
	unknownInvariant = "unknown-invariant"
)

// Names returns all invariant names in the order of the design document.
func Names() []string {
	return []string{
		UrgentNotShed, NoStarvation, KeyOwner, KeyNotForwarded, WithdrawnKey,
		SingleCommander, SingleReport, WholeAnswer, TrueRefusal, AtMostOnce,
		LeavingUpstream, GracefulStop, ConfigForward, LegalTransition,
	}
}

// Count holds the numbers of checks and violations of one invariant.
type Count struct {
	Name     string `json:"name"`
	Checked  int64  `json:"checked"`
	Violated int64  `json:"violated"`
}

// counter counts the checks and violations of one invariant.
type counter struct {
	checked  atomic.Int64
	violated atomic.Int64
}

// Registry counts checks and violations by invariant. It implements
// quetzalhook.Invariants and is safe for concurrent use.
type Registry struct {
	log      logrus.FieldLogger
	counters map[string]*counter

	mu              sync.Mutex
	firstViolations []string // names and details of the first violations, for reports
}

// maxDetails is the number of violations whose details are kept.
const maxDetails = 20

// New returns a registry in which all counts are zero. Each violation is logged
// as one line to log, or not at all if log is nil.
func New(log logrus.FieldLogger) *Registry {
	r := &Registry{log: log, counters: make(map[string]*counter)}
	for _, name := range append(Names(), unknownInvariant) {
		r.counters[name] = &counter{}
	}
	return r
}

// Check implements quetzalhook.Invariants. Details are alternating keys and
// values. A check with an unknown name counts as a violation of the invariant
// unknown-invariant.
func (r *Registry) Check(name string, ok bool, details ...any) {
	c, known := r.counters[name]
	if !known {
		c, ok = r.counters[unknownInvariant], false
		details = append(details, "name", name)
	}
	c.checked.Add(1)
	if ok {
		return
	}
	c.violated.Add(1)
	r.recordViolation(name, details)
}

// recordViolation logs a violation and keeps its details if it is one of the
// first.
func (r *Registry) recordViolation(name string, details []any) {
	fields := logrus.Fields{"invariant": name}
	for i := 0; i+1 < len(details); i += 2 {
		fields[fmt.Sprint(details[i])] = details[i+1]
	}
	r.mu.Lock()
	if len(r.firstViolations) < maxDetails {
		r.firstViolations = append(r.firstViolations, fmt.Sprint(name, " ", details))
	}
	r.mu.Unlock()
	if r.log != nil {
		r.log.WithFields(fields).Error("invariant violated")
	}
}

// Counts returns the counts of all invariants, sorted by name.
func (r *Registry) Counts() []Count {
	counts := make([]Count, 0, len(r.counters))
	for name, c := range r.counters {
		if name == unknownInvariant && c.checked.Load() == 0 {
			continue
		}
		counts = append(counts, Count{Name: name, Checked: c.checked.Load(), Violated: c.violated.Load()})
	}
	sort.Slice(counts, func(i, j int) bool { return counts[i].Name < counts[j].Name })
	return counts
}

// Violations returns the number of violations of all invariants together.
func (r *Registry) Violations() int64 {
	var n int64
	for _, c := range r.counters {
		n += c.violated.Load()
	}
	return n
}

// Details returns the names and details of the first violations.
func (r *Registry) Details() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.firstViolations...)
}
