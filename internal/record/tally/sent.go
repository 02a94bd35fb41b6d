package tally

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
)

// sentKind is the name of the peer call that tells a host the counts that are sent for a
// window.
const sentKind = "tally-sent"

const (
	// sentTimeout limits the calls that tell other hosts what is sent.
	sentTimeout = 300 * time.Millisecond
	// maxSent bounds the different counts that are kept for a window: two show that the
	// hosts do not agree.
	maxSent = 2
)

// sentMessage says which counts are sent for a window. The answer is a list of all counts
// that the other host knows as sent.
type sentMessage struct {
	Window Window `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
}

// ObserveEra records the era of the store. The time since its first sight is part of what
// Collect returns.
func (c *Counter) ObserveEra(era int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era != c.era {
		c.era, c.eraSince = era, time.Now()
	}
}

// AddSent records the counts that this host is about to send for a window, and tells two
// other hosts, so that they are known if this host is killed. It returns false if other
// counts are known as sent.
func (c *Counter) AddSent(ctx context.Context, w Window, counts Counts) bool {
	known := c.keepSent(w, counts)
	if len(known) > 1 {
		return false
	}
	body, err := cbor.Marshal(sentMessage{Window: w, Counts: counts})
	if err != nil {
		c.log.WithError(err).Error("cannot encode sent counts")
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, sentTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, to := range c.choosePeers() {
		wg.Go(func() {
			var answer []Counts
			reply, err := c.peers.Call(ctx, to, sentKind, body)
			if err == nil {
				err = cbor.Unmarshal(reply, &answer)
			}
			if err != nil {
				c.log.WithError(err).WithField("peer", to).WithField("window", w).Debug("cannot tell another host which counts are sent")
				return
			}
			c.keepSent(w, answer...)
		})
	}
	wg.Wait()
	return len(c.keepSent(w)) == 1
}

// keepSent records counts as sent for a window and returns all that are known.
func (c *Counter) keepSent(w Window, counts ...Counts) []Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list := addSent(c.sent[w], counts); len(list) > 0 {
		c.sent[w] = list
	}
	return slices.Clone(c.sent[w])
}

// addSent adds the counts to list that differ from those in it.
func addSent(list, counts []Counts) []Counts {
	for _, n := range counts {
		if len(list) < maxSent && !slices.ContainsFunc(list, func(known Counts) bool { return maps.Equal(known, n) }) {
			copied := make(Counts, len(n))
			maps.Copy(copied, n)
			list = append(list, copied)
		}
	}
	return list
}

// handleSent records counts that another host is about to send.
func (c *Counter) handleSent(_ context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	var m sentMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "sent", Kind: ErrorProtocol, Err: err}
	}
	return cbor.Marshal(c.keepSent(m.Window, m.Counts))
}

// eraAge returns the era of the store and how long ago this host first saw it. The caller
// holds c.mu.
func (c *Counter) eraAge() (int64, time.Duration) {
	if c.era == 0 {
		return 0, 0
	}
	return c.era, time.Since(c.eraSince)
}
