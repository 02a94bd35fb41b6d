// Package scenario runs the whole system in one process on loopback: entry hosts
// and stand-ins of the platform, engines and services. It sends both reference
// workloads, injects scripted faults, and measures what the callers observe.
package scenario

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/entry/setting"
)

// Size of the deployment.
const (
	zones          = 3
	hostsPerZone   = 2
	enginesPerZone = 6
	cheapPerZone   = 2
	slots          = 8
	serviceSlots   = 16
	tokenRate      = 80.0    // default tokens/s of a stream that runs alone
	batchSlope     = 0.5     // a step of a full batch takes 1.5 times as long
	prefillRate    = 20000.0 // tokens/s
	enginePrice    = 2.0     // an hour
	cheapPrice     = 0.7     // an hour
	servicePrice   = 0.1     // an hour

	// hostsLifetime is how long callers may cache the list of hosts.
	hostsLifetime = time.Second
	// billingWindow is short enough for several windows to end within a run.
	billingWindow = 5 * time.Second
	// listDelay is the delay of changes in the platform's list of hosts.
	listDelay = 2 * time.Second
	// drainTimeout bounds the wait for open requests after the last arrival.
	drainTimeout = 45 * time.Second
)

// Settings configure a run.
type Settings struct {
	Seed uint64
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// Policy is setting.PolicyOwn or setting.PolicyBaseline.
	Policy string
	// Faults lists the faults to inject, by the names that the function Faults
	// returns.
	Faults []string
	// Scale multiplies the rates of both workloads.
	Scale float64
	// TokenRate is the tokens/s of a stream that runs alone on an engine; 0 means
	// 80.
	TokenRate float64
	// HostLog receives the log lines of all hosts; nil discards them.
	HostLog logrus.FieldLogger
	// Log receives the log lines of the run itself; nil discards them.
	Log logrus.FieldLogger
}

// Validate returns an error that names an invalid setting, or nil.
func (s Settings) Validate() error {
	if s.Duration < time.Second {
		return errors.Errorf("duration %s is shorter than 1s", s.Duration)
	}
	if s.Policy != setting.PolicyOwn && s.Policy != setting.PolicyBaseline {
		return errors.Errorf("policy %q is not %s or %s", s.Policy, setting.PolicyOwn, setting.PolicyBaseline)
	}
	for _, name := range s.Faults {
		if !slices.Contains(Faults(), name) {
			return errors.Errorf("fault %q is not one of %s", name, strings.Join(Faults(), ", "))
		}
	}
	return nil
}

func (s Settings) hasFault(fault string) bool { return slices.Contains(s.Faults, fault) }

// zoneName returns the availability zone of a region.
func zoneName(r quetzalhook.Region) quetzalhook.Zone { return quetzalhook.Zone(r + "-a") }

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}
