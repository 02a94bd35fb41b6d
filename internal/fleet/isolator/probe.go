package isolator

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
	"quetzalhook/internal/state/timing"
	"quetzalhook/internal/traffic/quarantine"
)

// probeKind is the name of the peer call by which a host asks the leader for leave to
// send a request with suspected parts.
const probeKind = "quarantine-probe"

const (
	// askInterval is the time between two questions of a held request to the leader.
	askInterval = 50 * time.Millisecond
	askTimeout  = 250 * time.Millisecond
	// maxHold bounds the time for which a suspicion holds a request up.
	maxHold = 2 * time.Second
	// holdRetryAfter is sent with the refusal after that time.
	holdRetryAfter = time.Second
)

// awaitProbe holds a request up while its parts are suspected, unless it is sent as a
// probe. The leader allows one probe at a time for all hosts. awaitProbe returns a
// refusal after maxHold, and the cause of ctx if that ends before.
func (i *Isolator) awaitProbe(ctx context.Context, t *ticket) error {
	for end := i.clock.Now().Add(maxHold); ; {
		suspected := i.suspectedParts(t.parts)
		if suspected == nil {
			return nil
		}
		if i.askProbe(ctx, suspected.Key()) {
			i.log.WithField("shared-parts", logged(suspected.Parts())).Info("request sent as a probe of suspected prompt parts")
			return nil
		}
		if i.clock.Now().After(end) {
			i.countRefused()
			return &quetzalhook.Refusal{Kind: quetzalhook.RefuseQuarantine, RetryAfter: holdRetryAfter}
		}
		if !timing.Sleep(ctx, askInterval) {
			return context.Cause(ctx)
		}
	}
}

func (i *Isolator) countRefused() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.refused++
}

// suspectedParts returns the suspicion that holds up a request with the parts, or nil if
// there is none or a quarantine refuses the request at once.
func (i *Isolator) suspectedParts(parts []quarantine.Part) *quarantine.Suspicion {
	now := i.clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	s := i.table.Suspect(now, parts)
	if s == nil || i.match(now, parts) != nil {
		return nil
	}
	return s
}

// askProbe asks the leader whether a request with the suspected parts may be sent. If
// the leader does not answer, it may not.
func (i *Isolator) askProbe(ctx context.Context, key string) bool {
	leader := i.settings.Leader()
	if leader == i.settings.Host {
		return i.beginProbe(key)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := i.peers.Call(ctx, leader, probeKind, []byte(key))
	var granted bool
	if err == nil {
		err = cbor.Unmarshal(answer, &granted)
	}
	if err != nil {
		i.log.WithField("peer", leader).WithError(err).Debug("no leave for a probe")
	}
	return granted
}

// handleProbe answers the call of another host.
func (i *Isolator) handleProbe(_ context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	return cbor.Marshal(i.beginProbe(string(body)))
}

// beginProbe reports whether a probe of the suspected parts may begin. A suspicion that
// this host does not know yet, or no longer, is settled by the next exchange of facts.
func (i *Isolator) beginProbe(key string) bool {
	now := i.clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	s := i.table.Suspicion(key)
	return s != nil && s.BeginProbe(now)
}
